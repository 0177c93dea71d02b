"""The one place where tests start, wait for and end sidecars, processes and coroutines."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import subprocess
import sys
from collections.abc import Callable, Coroutine, Iterator, Mapping
from pathlib import Path
from typing import Any

from limenotch import app, config
from limenotch.lab.emulate.sidecars import free_port
from limenotch.settings import Settings

from .http_peers import GET_HEALTH, SETTINGS, Handler, ask

__all__ = ["ROOT", "Processes", "begun", "finished", "free_port", "printed_by", "run", "with_sidecar"]

ROOT = Path(__file__).parent.parent.parent
LIMIT_S = 60.0  # for what must end; far from what it takes


def run(case: Coroutine[Any, Any, None]) -> None:
    """A case that goes wrong may wait for what never comes; one that goes right is far from this limit."""
    asyncio.run(asyncio.wait_for(case, LIMIT_S))


async def with_sidecar(
    handler: Handler,
    use: Callable[[int], Coroutine[Any, Any, None]],
    ends: bool = False,
    tuning: Settings = Settings(),  # noqa: B008 (frozen)
    more: dict[str, Any] | None = None,
    port: int = 0,
    environ: dict[str, str] | None = None,
) -> None:
    """Starts a provider and a sidecar that knows it by two names; ends them unless `use` has.

    `more` is laid over the configuration.
    """
    provider = await asyncio.start_server(handler, "127.0.0.1", 0)
    address = "127.0.0.1:%d" % provider.sockets[0].getsockname()[1]  # noqa: UP031
    listed = [{"name": name, "address": address, "zone": "a", "status": "in_service"} for name in "ab"]
    port = port or free_port()
    raw = {
        "name": "n",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{free_port()}",
        "seed": "1f",
        "known": {"index": 3, "snapshot": True, "endpoints": listed},
        "settings": SETTINGS,
        **(more or {}),
    }
    serving = asyncio.create_task(app.serve(config.parse(raw, environ or {}), tuning))
    while True:
        try:
            ready = await ask(port, b"GET /up HTTP/1.1\r\n\r\n")
            break
        except OSError:
            assert not serving.done()
            await asyncio.sleep(0)
    assert ready.status == 200  # with a list but no directory
    try:
        await use(port)
    finally:
        if not ends:
            serving.cancel()
        await asyncio.wait([serving])
        provider.close()
    assert serving.cancelled() or serving.exception() is None


def finished(
    command: list[str], text: str | None = None, env: Mapping[str, str] | None = None
) -> subprocess.CompletedProcess[str]:
    """A process that ended by itself, and what it printed."""
    return subprocess.run(
        command, input=text, capture_output=True, text=True, cwd=ROOT, env=env, timeout=LIMIT_S, check=False
    )


def printed_by(code: str) -> str:
    """What a fresh interpreter prints that runs this."""
    done = finished([sys.executable, "-c", code])
    assert done.returncode == 0, done.stderr
    return done.stdout


@contextlib.contextmanager
def begun(*arguments: str, env: Mapping[str, str] | None = None) -> Iterator[subprocess.Popen[str]]:
    """`python -m ARGUMENTS`, with its standard output to read; killed at the end if it has not ended."""
    process = subprocess.Popen(
        [sys.executable, "-m", *arguments],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
        env=env,
    )
    try:
        yield process
    finally:
        process.kill()
        process.communicate(timeout=LIMIT_S)


class Processes:
    """`limenotch serve` processes that share a folder, under the loop of one case."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.all: list[asyncio.subprocess.Process] = []

    async def serve(
        self, raw: dict[str, Any], kept: bool = True, module: str = "limenotch", more: Mapping[str, str] | None = None
    ) -> tuple[asyncio.subprocess.Process, int]:
        """One of this configuration and its second address; returns when it is ready. `kept`: it has the folder.

        `module` is run with `serve`; `more` is laid over the environment.
        """
        admin = free_port()
        path = self.folder / f"{admin}.json"
        path.write_text(json.dumps({**raw, "admin_addr": f"127.0.0.1:{admin}"}))
        environ = {**os.environ, "LB_CONFIG": str(path), "TMPDIR": str(self.folder), **(more or {})}
        if not kept:
            del environ["TMPDIR"]
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", module, "serve", env=environ, stderr=asyncio.subprocess.DEVNULL
        )
        self.all.append(process)
        while True:
            assert process.returncode is None
            with contextlib.suppress(OSError, AssertionError):
                if (await ask(admin, GET_HEALTH)).status == 200:
                    return process, admin
            await asyncio.sleep(0.01)

    async def end(self) -> None:
        for process in self.all:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
