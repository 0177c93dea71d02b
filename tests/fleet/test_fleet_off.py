"""Without a `[fleet]` table nothing of the fleet is imported or opened; with one, exactly two more sockets are open."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import tomllib
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from limenotch.lab.emulate.sidecars import free_port
from limenotch.net.sockets import MAX_OPERATOR_CONNECTIONS, DescriptorLimits
from limenotch.settings import DescriptorSettings
from tests.helpers.http_peers import LOOK, SETTINGS, fetch, reply, replying

ROOT = Path(__file__).parent.parent.parent
KEY = "sixteen bytes ok"
# As `python -m limenotch serve`; prints the names of all imported modules at the end.
RUN = """
import json, sys
from limenotch.cli import main
sys.argv = ["limenotch", "serve"]
try:
    main()
finally:
    print(json.dumps(sorted(sys.modules)))
"""
FLEET_MODULES = (
    "limenotch.fleet",
    "limenotch.store",
    "limenotch.net.peer_transport",
    "limenotch.net.peer_streams",
    "limenotch.net.log_storage",
    "limenotch.net.admin.log",
    "limenotch.net.admin.queries",
    "limenotch.net.admin.rules",
    "limenotch.net.admin.wallet",
    "limenotch.fleet_adapters",
    "limenotch.fleet_node",
)


def fleet_modules(modules: list[str]) -> list[str]:
    return [name for name in modules if name.startswith(FLEET_MODULES)]


class Sidecar:
    """A process of the program that serves requests."""

    def __init__(self, process: asyncio.subprocess.Process, port: int, admin: int, fleet: int) -> None:
        self.process, self.port, self.admin, self.fleet = process, port, admin, fleet

    def sockets(self) -> Counter[str]:
        """Its open sockets, by kind."""
        folder = Path(f"/proc/{self.process.pid}")
        inodes = set()
        for link in (folder / "fd").iterdir():
            with contextlib.suppress(OSError):
                inodes.add(os.readlink(link))
        found: Counter[str] = Counter()
        for kind in ("tcp", "udp", "tcp6", "udp6"):
            for line in (folder / "net" / kind).read_text().splitlines()[1:]:
                fields = line.split()
                if f"socket:[{fields[9]}]" in inodes and (kind.startswith("udp") or fields[3] == "0A"):
                    found[kind] += 1  # datagrams, and listeners
        return found

    async def status(self) -> dict[str, Any]:
        answer = await fetch(self.admin, b"GET /fleet HTTP/1.1\r\n\r\n")
        assert answer.status == 200
        status: dict[str, Any] = json.loads(answer.body)
        return status

    async def end(self) -> list[str]:
        """Shut the process down gracefully; the modules that it had imported."""
        self.process.send_signal(signal.SIGTERM)
        out, _ = await asyncio.wait_for(self.process.communicate(), 20)
        assert self.process.returncode == 0
        modules: list[str] = json.loads(out.splitlines()[-1])
        return modules


@contextlib.asynccontextmanager
async def serving(
    folder: Path, name: str = "n", fleet: str | None = None, port: int = 0, key: str = KEY
) -> AsyncIterator[Sidecar]:
    """`fleet`: more lines of the table; None: no table."""
    handler, _ = replying(reply(200))
    endpoint = await asyncio.start_server(handler, "127.0.0.1", 0)
    endpoints = [
        {
            "name": "a",
            "address": "127.0.0.1:%d" % endpoint.sockets[0].getsockname()[1],  # noqa: UP031
            "zone": "a",
            "status": "in_service",
        }
    ]
    ports = free_port(), free_port(), port or free_port()
    config, settings = folder / f"{name}.json", folder / f"{name}.toml"
    config.write_text(
        json.dumps(
            {
                "name": name,
                "listen": f"127.0.0.1:{ports[0]}",
                "discovery": f"127.0.0.1:{free_port()}",
                "seed": "1f",
                "admin_addr": f"127.0.0.1:{ports[1]}",
                "settings": SETTINGS,
                "known": {"index": 3, "snapshot": True, "endpoints": endpoints},
            }
        )
    )
    (folder / "key").write_text(key)
    text = '[log]\nform = "json"\n'
    if fleet is not None:
        text += f'[fleet]\ngroup = "g"\nlisten = "127.0.0.1:{ports[2]}"\nkey_file = "{folder / "key"}"\n{fleet}'
    settings.write_text(text)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        RUN,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
        env={"LB_CONFIG": str(config), "LIMENOTCH_SETTINGS": str(settings), "PYTHONDONTWRITEBYTECODE": "1"},
    )
    try:
        async with asyncio.timeout(20):
            while True:
                with contextlib.suppress(OSError):
                    if (await fetch(ports[1], b"GET /healthcheck HTTP/1.1\r\n\r\n")).status == 200:
                        break
                assert process.returncode is None
                await asyncio.sleep(0.02)
        assert (await fetch(ports[0], LOOK)).status == 200
        yield Sidecar(process, *ports)
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
        endpoint.close()


def test_without_the_table_nothing_is_imported_or_opened_and_with_it_two_sockets_are(tmp_path: Path) -> None:
    async def case() -> None:
        async with serving(tmp_path) as off, serving(tmp_path, "on", "") as on:
            async with asyncio.timeout(20):
                while not (await on.status())["listening"]:
                    await asyncio.sleep(0.02)
            assert off.sockets() == {"tcp": 2} and on.sockets() == {"tcp": 3, "udp": 1}
            assert (await fetch(off.admin, b"GET /fleet HTTP/1.1\r\n\r\n")).status == 404
            assert (await fetch(on.admin, b"POST /fleet HTTP/1.1\r\nContent-Length: 0\r\n\r\n")).status == 405
            status = await on.status()
            assert (status["name"], status["group"], status["at"]) == ("on", "g", f"127.0.0.1:{on.fleet}")
            assert status["dropped"]["digest"] == 0 and status["streams"]["accepted"] == 0 and status["life"] > 0
            assert fleet_modules(await off.end()) == []
            assert fleet_modules(await on.end())  # so that the prefixes are those of modules that exist

    asyncio.run(case())


def test_the_deployed_command_has_no_settings() -> None:
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    assert run.split()[-3:] == ["-m", "limenotch", "serve"] and "SETTINGS" not in run and "--settings" not in run


def test_descriptors_are_reserved_for_the_fleet_only_if_it_is_on() -> None:
    for limit in (64, 1024):
        off, on = DescriptorLimits(limit), DescriptorLimits(limit, DescriptorSettings(), 74)
        left = max(limit - DescriptorSettings().reserve - MAX_OPERATOR_CONNECTIONS - 74, 8)
        assert (
            off.clients.limit + off.endpoints.limit == limit - DescriptorSettings().reserve - MAX_OPERATOR_CONNECTIONS
        )
        assert on.clients.limit + on.endpoints.limit == left


@pytest.mark.parametrize("name", ["limenotch.settings", "limenotch.app", "limenotch.cli.serve"])
def test_importing_the_program_imports_nothing_of_the_fleet(name: str) -> None:
    async def case() -> bytes:
        code = f"import sys, json, {name}; print(json.dumps(sorted(sys.modules)))"
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", code, cwd=ROOT, stdout=asyncio.subprocess.PIPE
        )
        return (await process.communicate())[0]

    assert fleet_modules(json.loads(asyncio.run(case()))) == []
