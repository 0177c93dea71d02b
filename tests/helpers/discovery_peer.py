"""A discovery service whose responses the test writes, and a DiscoveryClient that watches it."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable, Coroutine
from typing import Any

from limenotch import settings
from limenotch.load_balancer_types import DiscoveredEndpoint
from limenotch.net.discovery.client import DiscoveryClient

from .http_peers import Reader, Writer
from .processes import run

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SILENCE_S = 0.3  # far longer than a request takes here, and short to wait for


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def list_document(index: int, *names: str, complete: bool = True, status: str = "in_service") -> bytes:
    entries = [{"name": name, "address": "127.0.0.1:1", "status": status} for name in names]
    return json.dumps({"index": index, "snapshot": complete, "endpoints": entries}).encode() + b"\n"


class DiscoveryRequest:
    """A request that the discovery service has received."""

    def __init__(self, target: bytes, reader: Reader, writer: Writer) -> None:
        self.target, self.reader, self.writer = target, reader, writer

    def send(self, *pieces: bytes) -> None:
        self.writer.write(b"".join(pieces))

    def send_immediately(self, data: bytes) -> None:
        """Sends without the event loop: the data is in the kernel when this returns."""
        self.writer.get_extra_info("socket")._sock.send(data)

    async def wait_closed(self) -> None:
        with contextlib.suppress(ConnectionResetError):  # a close with unread bytes resets the connection
            await self.reader.read()


class ScriptedDiscovery:
    """A discovery service that queues its requests for the test to answer."""

    def __init__(self) -> None:
        self.requests = asyncio.Queue[DiscoveryRequest]()

    async def start(self) -> tuple[str, int]:
        self._server = await asyncio.start_server(self._handle, "127.0.0.1", 0)
        address: tuple[str, int] = self._server.sockets[0].getsockname()
        return address

    async def _handle(self, reader: Reader, writer: Writer) -> None:
        target = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1]
        await self.requests.put(DiscoveryRequest(target, reader, writer))


class WatchRecorder:
    """A DiscoveryClient; records the lists and the ends of watches that it reports."""

    def __init__(self, address: tuple[str, int], silence_s: float = SILENCE_S) -> None:
        self.lists = asyncio.Queue[tuple[list[str], bool]]()
        self.broken_watches = asyncio.Queue[None]()
        self.client = DiscoveryClient(
            address,
            self._record_list,
            lambda: self.broken_watches.put_nowait(None),
            settings.DiscoverySettings(silence_s=silence_s),
        )

    def _record_list(self, endpoints: list[DiscoveredEndpoint], complete: bool) -> None:
        self.lists.put_nowait(([p.name for p in endpoints], complete))


def run_case(
    body: Callable[[ScriptedDiscovery, WatchRecorder], Coroutine[Any, Any, None]], silence_s: float = SILENCE_S
) -> None:
    """Runs `body` with a discovery service and a client that watches it."""

    async def play() -> None:
        peer = ScriptedDiscovery()
        recorder = WatchRecorder(await peer.start(), silence_s)
        recorder.client.watch()
        try:
            await body(peer, recorder)
        finally:
            recorder.client.close()

    run(play())
