"""Clients that left: what they had sent is not sent on, and their ids do not run a second time, in any process."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from limenotch.net import http1
from limenotch.net.pipe import BufferBudget
from limenotch.net.read_ahead import ClientStream

from .helpers.http_peers import Reader, Writer, fetch
from .helpers.processes import Processes, free_port, run

DEADLINE_MS = 500
LONG_DEADLINE_MS = 20_000  # an id is known for so long; a process starts in less
LONG_BODY = b"l" * 200_000


def settings(deadline_ms: int) -> dict[str, Any]:
    once = {"name": "once", "effect": "at_most_once", "target_ms": deadline_ms / 2, "hard_limit_ms": deadline_ms}
    return {
        "classes": [once],
        "permissions": {"max_attempts": 3, "connect_timeout_ms": 1000.0},
        "registry_mode": "ask",
    }


def request(name: str, path: str = "/api") -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nHost: s\r\nX-Call-Id: {name}\r\nX-Call-Class: once\r\nX-Caller: a\r\n"
        f"X-Budget: {LONG_DEADLINE_MS}m\r\nContent-Length: 0\r\n\r\n"
    ).encode()


class Sidecars:
    """Processes of one sidecar before one endpoint, which counts the requests that it gets by id."""

    def __init__(self, folder: Path, deadline_ms: int = LONG_DEADLINE_MS) -> None:
        self.deadline_ms = deadline_ms
        self.ran = Counter[str]()
        self.processes = Processes(folder)
        self.port = free_port()
        self.raw: dict[str, Any] = {}

    async def start(self) -> asyncio.subprocess.Process:
        if not self.raw:
            server = await asyncio.start_server(self._respond, "127.0.0.1", 0)
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            self.raw = {
                "listen": f"127.0.0.1:{self.port}",
                "discovery": f"127.0.0.1:{free_port()}",
                "known": {
                    "index": 3,
                    "snapshot": True,
                    "endpoints": [{"name": "a", "address": address, "zone": "a", "status": "in_service"}],
                },
                "settings": settings(self.deadline_ms),
            }
        return (await self.processes.serve(self.raw))[0]

    async def _respond(self, reader: Reader, writer: Writer) -> None:
        parser = http1.RequestParser()
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                parser.feed(data)
                while (message := parser.take()) is not None:
                    self.ran[message.fields[b"x-call-id"].decode()] += 1
                    if message.target == b"/long":
                        await self._write_slowly(writer)
                    else:
                        writer.write(http1.write_response(200, [], b"done"))
        writer.close()

    async def _write_slowly(self, writer: Writer) -> None:
        writer.write(http1.response_head(200, [], len(LONG_BODY), close=False))
        for start in range(0, len(LONG_BODY), len(LONG_BODY) // 20):
            writer.write(LONG_BODY[start : start + len(LONG_BODY) // 20])
            await writer.drain()
            await asyncio.sleep(0.1)


def test_a_client_that_left_behind_unread_bytes_counts_as_gone() -> None:
    async def case() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        client = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
        stream = ClientStream(accepted, BufferBudget(0), 1024)
        client.sendall(b"x" * 1000)
        assert stream.peer_connected()
        client.close()
        await asyncio.sleep(0.05)
        assert not stream.peer_connected()
        stream.close()
        listener.close()

    run(case())


def test_requests_of_a_client_that_left_with_much_unread_are_not_sent_on(tmp_path: Path) -> None:
    async def case() -> None:
        sidecars = Sidecars(tmp_path)
        process = await sidecars.start()
        try:
            client = socket.create_connection(("127.0.0.1", sidecars.port))
            await asyncio.sleep(0.1)
            process.send_signal(signal.SIGSTOP)
            wire = b"".join(request(f"left-{number}") for number in range(4000))
            client.setblocking(False)
            client.send(wire)
            client.close()
            await asyncio.sleep(0.3)
            process.send_signal(signal.SIGCONT)
            assert (await fetch(sidecars.port, request("after"))).status == 200
            await asyncio.sleep(0.3)
            assert sidecars.ran == {"after": 1}
        finally:
            await sidecars.processes.kill_all()

    run(case())


def test_an_id_does_not_run_again_after_its_client_left_within_a_long_response(tmp_path: Path) -> None:
    async def case() -> None:
        sidecars = Sidecars(tmp_path, DEADLINE_MS)
        await sidecars.start()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", sidecars.port)
            writer.write(request("r1", "/long"))
            await reader.readexactly(1000)
            await asyncio.sleep(2.5 * DEADLINE_MS / 1000.0)
            writer.close()
            await asyncio.sleep(0.1)
            assert (await fetch(sidecars.port, request("r1"))).status == 409
            assert sidecars.ran == {"r1": 1}
        finally:
            await sidecars.processes.kill_all()

    run(case())


@pytest.mark.parametrize("first", ["before the hand-over", "in the old process", "in the new process"])
def test_an_id_does_not_run_again_in_the_other_process_of_an_upgrade(first: str, tmp_path: Path) -> None:
    async def case() -> None:
        sidecars = Sidecars(tmp_path)
        old = await sidecars.start()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", sidecars.port)

            async def send_to_old() -> int:
                writer.write(request("r1"))
                return int((await reader.readline()).split()[1])

            if first == "before the hand-over":
                assert await send_to_old() == 200
            else:  # the connection has to be with the old process
                writer.write(b"GET /up HTTP/1.1\r\nHost: s\r\n\r\n")
                await reader.readuntil(b"\r\n\r\n")
            await sidecars.start()
            if first == "in the old process":
                assert await send_to_old() == 200
            old.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.05)  # from then on new connections are with the new process
            again = (await fetch(sidecars.port, request("r1"))).status
            if first == "in the new process":
                assert again == 200
                assert await send_to_old() in (409, 502)
            else:
                assert again in (409, 502)
            assert sidecars.ran == {"r1": 1}
        finally:
            writer.close()
            await sidecars.processes.kill_all()

    run(case())
