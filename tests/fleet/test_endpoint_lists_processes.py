"""Endpoint lists on processes: one directory, whose changes reach a and b, and c only through them. Clients send to c.

Each step waits until an endpoint gets requests again, so the requests must reach all endpoints that may be used.
Several clients at once, of a class with a short latency objective, ensure this. A single client need not: with nothing
in flight all requests go to the endpoint that has been the fastest, for as long as evidence lasts, which is four
objectives (36 s with the usual settings of tests; of 24 runs under load, four took longer, each with a correct list).
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
from tests.helpers.http_peers import LOOK, SETTINGS, fetch, reply, with_new_id

ROOT = Path(__file__).parent.parent.parent
FLEET_TABLES = """
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
GRACE_S = 0.25  # from the report of a drain until nothing new is sent
CLIENTS = 3
RESPONSE_S = 0.02  # so that requests overlap
CLASS = {"name": "look", "effect": "idempotent", "target_ms": 250.0, "hard_limit_ms": 20000.0}


class EndpointServer:
    """An endpoint that answers every request and records when the last one came."""

    def __init__(self, name: str) -> None:
        self.name, self.port, self.request_count = name, 0, 0
        self.last_request_s = 0.0

    async def listen(self, stack: AsyncExitStack) -> EndpointServer:
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
                    self.request_count, self.last_request_s = self.request_count + 1, monotonic()
                    await asyncio.sleep(RESPONSE_S)
                    writer.write(reply(200))
        writer.close()

    def entry(self, status: str) -> dict[str, Any]:
        return {"name": self.name, "address": f"127.0.0.1:{self.port}", "zone": "a", "status": status}


class Directory:
    """One address for all. New watches are accepted while `accepts_watches`; `report` writes to the live ones."""

    def __init__(self) -> None:
        self.port, self.index, self.accepts_watches = 0, 10, True
        self.entries: dict[str, dict[str, Any]] = {}
        self.watches: list[asyncio.StreamWriter] = []

    async def listen(self, stack: AsyncExitStack) -> Directory:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        stack.callback(server.close)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            if not await reader.readuntil(b"\r\n\r\n") or not self.accepts_watches:
                writer.close()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches.append(writer)
            self._write(writer, list(self.entries.values()), True)
            while not writer.is_closing():
                await asyncio.sleep(1)
                writer.write(b"1\r\n\n\r\n")
        writer.close()

    def _write(self, writer: asyncio.StreamWriter, entries: list[dict[str, Any]], snapshot: bool) -> None:
        document = json.dumps({"index": self.index, "snapshot": snapshot, "endpoints": entries}).encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(document), document))

    def report(self, entry: dict[str, Any]) -> None:
        self.index += 1
        self.entries[entry["name"]] = entry
        for writer in self.watches:
            if not writer.is_closing():
                self._write(writer, [entry], False)

    def close_watch(self, number: int) -> None:
        self.watches[number].close()


@contextlib.asynccontextmanager
async def sidecar(
    folder: Path, name: str, ports: dict[str, int], directory: Directory
) -> AsyncIterator[tuple[int, int]]:
    """Its port for requests, and that for operators."""
    request_port, admin = free_port(), free_port()
    config, settings = folder / f"{name}.json", folder / f"{name}.toml"
    config.write_text(
        json.dumps(
            {
                "name": name,
                "listen": f"127.0.0.1:{request_port}",
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
        f'folder = "{folder / name}"\nvoters = ["a", "b", "c"]\nseeds = {json.dumps(seeds)}\n{FLEET_TABLES}'
    )
    with (folder / f"{name}.log").open("wb") as log_file:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "limenotch",
            "serve",
            "--log",
            "json",
            cwd=ROOT,
            stdout=log_file,
            stderr=log_file,
            env={**os.environ, "LB_CONFIG": str(config), "LIMENOTCH_SETTINGS": str(settings)},
        )
    try:
        await wait_until(lambda: is_healthy(admin))
        yield request_port, admin
    finally:
        process.kill()
        await process.wait()


async def is_healthy(admin: int) -> bool:
    with contextlib.suppress(OSError):
        return (await fetch(admin, b"GET /healthcheck HTTP/1.1\r\n\r\n")).status == 200
    return False


async def wait_until(condition: Callable[[], Any], within_s: float = 40.0) -> None:
    """The time is a bound for a broken program only."""
    async with asyncio.timeout(within_s):
        while not await condition():
            await asyncio.sleep(0.02)


async def list_status(admin: int) -> dict[str, Any]:
    answer = await fetch(admin, b"GET /fleet HTTP/1.1\r\n\r\n")
    status: dict[str, Any] = json.loads(answer.body)["parts"]["lists"]
    return status


async def case(folder: Path) -> None:
    async with AsyncExitStack() as stack:
        u, v, w = [await EndpointServer(name).listen(stack) for name in "uvw"]
        directory = await Directory().listen(stack)
        directory.entries = {"u": u.entry("in_service"), "v": v.entry("in_service")}
        ports = {name: free_port() for name in "abc"}
        sidecars = {name: await stack.enter_async_context(sidecar(folder, name, ports, directory)) for name in "abc"}

        async def agreed(count: int) -> bool:
            return {(await list_status(admin)).get("agreed") for _, admin in sidecars.values()} == {count}

        await wait_until(lambda: agreed(2))
        statuses: list[int] = []

        async def describe_state() -> str:
            """What explains a state that was not reached: clients, endpoints, each sidecar's list status and log."""
            lines = [f"clients {clients}, {len(statuses)} responses, the last {statuses[-5:]}"]
            lines += [
                f"{each.name}: {each.request_count} requests, last {monotonic() - each.last_request_s:.1f} s ago"
                for each in (u, v, w)
            ]
            for name, (_, admin) in sidecars.items():
                log = (folder / f"{name}.log").read_text().splitlines()[-40:]
                lines += [f"{name}: {await list_status(admin)}", *log]
            return "\n".join(lines)

        async def send_requests() -> None:
            while True:
                statuses.append((await fetch(sidecars["c"][0], with_new_id(LOOK))).status)
                await asyncio.sleep(0.01)

        clients = [asyncio.get_running_loop().create_task(send_requests()) for _ in range(CLIENTS)]
        for client in clients:
            stack.callback(client.cancel)

        async def requests_at(server: EndpointServer, increase: int = 5) -> None:
            before = server.request_count

            async def arrived_there() -> bool:
                return server.request_count >= before + increase

            await wait_until(arrived_there)

        async def steps() -> None:
            await requests_at(u)
            directory.accepts_watches = False
            directory.close_watch(2)

            async def is_silent() -> bool:
                return (await list_status(sidecars["c"][1]))["live"] is False

            await wait_until(is_silent)
            await requests_at(u)
            reported_s = monotonic()
            directory.report(u.entry("terminating"))  # to a and b alone
            await requests_at(v, 60)
            assert u.last_request_s <= reported_s + GRACE_S, (
                "c still sends to an endpoint whose drain its peers received"
            )
            assert (await list_status(sidecars["c"][1]))["drained_by_peers"] == 1
            assert w.request_count == 0
            directory.report(w.entry("in_service"))

            async def arrived() -> bool:
                return bool((await list_status(sidecars["c"][1]))["arrived_by_agreement"] == 1)

            await wait_until(arrived)
            await requests_at(w, 1)  # in slow start: by its share of the allowance, a few requests a second
            directory.report(u.entry("in_service"))
            await requests_at(u)
            assert set(statuses) == {200}
            directory.accepts_watches = True

            async def answers_again() -> bool:
                status = await list_status(sidecars["c"][1])
                return bool(status["live"]) and status["arrived_by_agreement"] == 0 == status["drained_by_peers"]

            await wait_until(answers_again)
            await requests_at(w, 1)  # in slow start: by its share of the allowance, a few requests a second
            assert set(statuses) == {200} and not any(client.done() for client in clients)

        try:
            await steps()
        except (TimeoutError, AssertionError) as error:
            error.add_note(await describe_state())
            raise


def test_a_sidecar_with_a_silent_directory_uses_its_peers_reports(tmp_path: Path) -> None:
    asyncio.run(asyncio.wait_for(case(tmp_path), 120))
