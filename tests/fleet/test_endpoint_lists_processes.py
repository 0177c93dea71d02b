"""Lists on processes: one directory, whose word reaches a and b, and c only by theirs. Consumers call c throughout.

Each step waits until a provider is called again, so the calls must reach all that may be called. Several consumers at
once, of a class with a short aim, do so. One alone need not: with nothing under way all go to the provider that has
been the quickest, for as long as evidence lasts, which is four aims (36 s with the usual settings of tests; of 24 runs
beside load four were over before that, each with a list that was right).
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from time import monotonic
from typing import Any

from limenotch.lab.emulate.sidecars import free_port
from limenotch.net import http1
from tests.helpers.http_peers import LOOK, SETTINGS, ask, renamed, whole

ROOT = Path(__file__).parent.parent.parent
BESIDE = """
[fleet.membership]
period_ms = 400
timeout_ms = 120
[fleet.agreement]
heartbeat_ms = 80
election_least_ms = 500
election_most_ms = 900
[fleet.rules]
lease_ms = 2000
"""
GRACE_S = 0.25  # from a drain's telling until nothing new is sent
CONSUMERS = 3
ANSWER_S = 0.02  # so that calls overlap
CLASS = {"name": "look", "effect": "idempotent", "target_ms": 250.0, "hard_limit_ms": 20000.0}


class Provider:
    """Answers all it is asked; when it was, last."""

    def __init__(self, name: str) -> None:
        self.name, self.port, self.asked = name, 0, 0
        self.last = 0.0

    async def listen(self, stack: AsyncExitStack) -> Provider:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        stack.callback(server.close)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = http1.RequestParser()
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while data := await reader.read(65536):
                parser.feed(data)
                while parser.take() is not None:
                    self.asked, self.last = self.asked + 1, monotonic()
                    await asyncio.sleep(ANSWER_S)
                    writer.write(whole(200))
        writer.close()

    def line(self, status: str) -> dict[str, Any]:
        return {"name": self.name, "address": f"127.0.0.1:{self.port}", "zone": "a", "status": status}


class Directory:
    """One address for all. Watches are taken in turn while `open`; `tell` writes to those that stand."""

    def __init__(self) -> None:
        self.port, self.index, self.open = 0, 10, True
        self.lines: dict[str, dict[str, Any]] = {}
        self.watches: list[asyncio.StreamWriter] = []

    async def listen(self, stack: AsyncExitStack) -> Directory:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        stack.callback(server.close)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            if not await reader.readuntil(b"\r\n\r\n") or not self.open:
                writer.close()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches.append(writer)
            self._write(writer, list(self.lines.values()), True)
            while not writer.is_closing():
                await asyncio.sleep(1)
                writer.write(b"1\r\n\n\r\n")
        writer.close()

    def _write(self, writer: asyncio.StreamWriter, lines: list[dict[str, Any]], snapshot: bool) -> None:
        document = json.dumps({"index": self.index, "snapshot": snapshot, "endpoints": lines}).encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(document), document))

    def tell(self, line: dict[str, Any]) -> None:
        self.index += 1
        self.lines[line["name"]] = line
        for writer in self.watches:
            if not writer.is_closing():
                self._write(writer, [line], False)

    def end(self, number: int) -> None:
        self.watches[number].close()


@contextlib.asynccontextmanager
async def sidecar(
    folder: Path, name: str, ports: dict[str, int], directory: Directory
) -> AsyncIterator[tuple[int, int]]:
    """Its port for calls, and that for operators."""
    listen, admin = free_port(), free_port()
    config, settings = folder / f"{name}.json", folder / f"{name}.toml"
    config.write_text(
        json.dumps(
            {
                "name": name,
                "listen": f"127.0.0.1:{listen}",
                "discovery": f"127.0.0.1:{directory.port}",
                "seed": "1f",
                "admin_addr": f"127.0.0.1:{admin}",
                "settings": {**SETTINGS, "classes": [CLASS]},
            }
        )
    )
    (folder / "key").write_text("sixteen bytes ok")
    seeds = [f"127.0.0.1:{port}" for port in ports.values()]
    settings.write_text(
        f'[fleet]\ngroup = "g"\nlisten = "127.0.0.1:{ports[name]}"\nkey_file = "{folder / "key"}"\n'
        f'folder = "{folder / name}"\nvoters = ["a", "b", "c"]\nseeds = {json.dumps(seeds)}\n{BESIDE}'
    )
    with (folder / f"{name}.log").open("wb") as logged:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "limenotch",
            "serve",
            "--log",
            "json",
            cwd=ROOT,
            stdout=logged,
            stderr=logged,
            env={**os.environ, "LB_CONFIG": str(config), "LIMENOTCH_SETTINGS": str(settings)},
        )
    try:
        await until(lambda: up(admin))
        yield listen, admin
    finally:
        process.kill()
        await process.wait()


async def up(admin: int) -> bool:
    with contextlib.suppress(OSError):
        return (await ask(admin, b"GET /healthcheck HTTP/1.1\r\n\r\n")).status == 200
    return False


async def until(holds: Callable[[], Any], within_s: float = 40.0) -> None:
    """The time is a bound for a broken program only."""
    async with asyncio.timeout(within_s):
        while not await holds():
            await asyncio.sleep(0.02)


async def lists(admin: int) -> dict[str, Any]:
    answer = await ask(admin, b"GET /fleet HTTP/1.1\r\n\r\n")
    told: dict[str, Any] = json.loads(answer.body)["parts"]["lists"]
    return told


async def case(folder: Path) -> None:
    async with AsyncExitStack() as stack:
        u, v, w = [await Provider(name).listen(stack) for name in "uvw"]
        directory = await Directory().listen(stack)
        directory.lines = {"u": u.line("in_service"), "v": v.line("in_service")}
        ports = {name: free_port() for name in "abc"}
        at = {name: await stack.enter_async_context(sidecar(folder, name, ports, directory)) for name in "abc"}

        async def agreed(count: int) -> bool:
            return {(await lists(admin)).get("agreed") for _, admin in at.values()} == {count}

        await until(lambda: agreed(2))
        statuses: list[int] = []

        async def seen() -> str:
            """What explains a state that was not reached: the consumer, the providers, each sidecar's lists and log."""
            lines = [f"consumers {consumers}, {len(statuses)} answers, the last {statuses[-5:]}"]
            lines += [f"{p.name}: asked {p.asked}, last {monotonic() - p.last:.1f} s ago" for p in (u, v, w)]
            for name, (_, admin) in at.items():
                log = (folder / f"{name}.log").read_text().splitlines()[-40:]
                lines += [f"{name}: {await lists(admin)}", *log]
            return "\n".join(lines)

        async def consume() -> None:
            while True:
                statuses.append((await ask(at["c"][0], renamed(LOOK))).status)
                await asyncio.sleep(0.01)

        consumers = [asyncio.get_running_loop().create_task(consume()) for _ in range(CONSUMERS)]
        for consumer in consumers:
            stack.callback(consumer.cancel)

        async def more(provider: Provider, calls: int = 5) -> None:
            before = provider.asked

            async def came() -> bool:
                return provider.asked >= before + calls

            await until(came)

        async def steps() -> None:
            await more(u)
            directory.open = False
            directory.end(2)

            async def silent() -> bool:
                return (await lists(at["c"][1]))["live"] is False

            await until(silent)
            await more(u)
            told = monotonic()
            directory.tell(u.line("terminating"))  # to a and b alone
            await more(v, 60)
            assert u.last <= told + GRACE_S, "c sends on to a provider whose drain its peers heard"
            assert (await lists(at["c"][1]))["drained_by_peers"] == 1
            assert w.asked == 0
            directory.tell(w.line("in_service"))

            async def arrived() -> bool:
                return bool((await lists(at["c"][1]))["arrived_by_agreement"] == 1)

            await until(arrived)
            await more(w, 1)  # cold: by its part of the allowance, a few a second
            directory.tell(u.line("in_service"))
            await more(u)
            assert set(statuses) == {200}
            directory.open = True

            async def heard_again() -> bool:
                told = await lists(at["c"][1])
                return bool(told["live"]) and told["arrived_by_agreement"] == 0 == told["drained_by_peers"]

            await until(heard_again)
            await more(w, 1)  # cold: by its part of the allowance, a few a second
            assert set(statuses) == {200} and not any(consumer.done() for consumer in consumers)

        try:
            await steps()
        except (TimeoutError, AssertionError) as error:
            error.add_note(await seen())
            raise


def test_a_sidecar_whose_directory_is_silent_is_served_by_its_peers(tmp_path: Path) -> None:
    asyncio.run(asyncio.wait_for(case(tmp_path), 120))
