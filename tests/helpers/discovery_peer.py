"""A discovery that does with its calls what the test says, and a Directory that watches it."""

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
SILENCE_S = 0.3  # far beyond what a call takes here, and short to wait for


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def listing(index: int, *names: str, whole: bool = True, status: str = "in_service") -> bytes:
    entries = [{"name": name, "address": "127.0.0.1:1", "status": status} for name in names]
    return json.dumps({"index": index, "snapshot": whole, "endpoints": entries}).encode() + b"\n"


class Call:
    """One call that has come to a discovery."""

    def __init__(self, target: bytes, reader: Reader, writer: Writer) -> None:
        self.target, self.reader, self.writer = target, reader, writer

    def send(self, *pieces: bytes) -> None:
        self.writer.write(b"".join(pieces))

    def send_now(self, data: bytes) -> None:
        """In the kernel when this returns."""
        self.writer.get_extra_info("socket")._sock.send(data)

    async def ended(self) -> None:
        with contextlib.suppress(ConnectionResetError):  # it may be closed over bytes that nobody read
            await self.reader.read()


class Discovery:
    """A peer that does with its calls what the test says."""

    def __init__(self) -> None:
        self.calls = asyncio.Queue[Call]()

    async def begin(self) -> tuple[str, int]:
        self._server = await asyncio.start_server(self._handle, "127.0.0.1", 0)
        at: tuple[str, int] = self._server.sockets[0].getsockname()
        return at

    async def _handle(self, reader: Reader, writer: Writer) -> None:
        target = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1]
        await self.calls.put(Call(target, reader, writer))


class Held:
    """A Directory and what it told."""

    def __init__(self, at: tuple[str, int], silence_s: float = SILENCE_S) -> None:
        self.heard = asyncio.Queue[tuple[list[str], bool]]()
        self.broken = asyncio.Queue[None]()
        self.directory = DiscoveryClient(
            at, self._hear, lambda: self.broken.put_nowait(None), settings.DiscoverySettings(silence_s=silence_s)
        )

    def _hear(self, providers: list[DiscoveredEndpoint], whole: bool) -> None:
        self.heard.put_nowait(([p.name for p in providers], whole))


def case(body: Callable[[Discovery, Held], Coroutine[Any, Any, None]], silence_s: float = SILENCE_S) -> None:
    """One discovery and one Directory that watches it."""

    async def whole() -> None:
        peer = Discovery()
        held = Held(await peer.begin(), silence_s)
        held.directory.watch()
        try:
            await body(peer, held)
        finally:
            held.directory.close()

    run(whole())
