"""A discovery service on loopback: one list, one queue of calls, any number of addresses that come and go.

Calls are handled in turn, `list_s` each; one that would wait for longer than `patience_s` is refused at once. An
address that is retired accepts nothing new and closes what is open `RETIRED_S` later, as after a new configuration.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic
from typing import Any

from limenotch.config import host_port

from .http_peers import Reader, Writer

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
REFUSED = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
RETIRED_S = 1.5

Entries = list[dict[str, Any]]
EMPTY_LINE_S = 1.0


def chunk(line: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(line) + 1, line + b"\n")


@dataclass(eq=False)
class Address:
    """One address of the service."""

    server: asyncio.Server
    watches: set[Writer] = field(default_factory=set)
    calls: int = 0
    refuses: bool = False  # every call, at once

    @property
    def name(self) -> str:
        return host_port(self.server.sockets[0].getsockname())


class DiscoveryService:
    """The list and those that watch it."""

    def __init__(
        self, endpoints: list[dict[str, Any]], list_s: float = 0.0, patience_s: float = 2.0, ends: bool = False
    ) -> None:
        """`ends`: a watch ends in place of telling a change."""
        self.version = 1
        self._ends = ends
        self._silent: set[Writer] = set()  # watches that tell nothing any more
        self._hanging = 0  # calls to come that are never answered
        self.answered: list[float] = []  # when, by time.monotonic
        self._endpoints = {entry["name"]: entry for entry in endpoints}
        self._list_s, self._patience_s = list_s, patience_s
        self._free_at = 0.0  # when the calls that wait are handled
        self._addresses: list[Address] = []
        self._disguise: Callable[[Entries], Entries] = list  # what whole lists say of the endpoints

    async def listen(self, refuses: bool = False) -> Address:
        """One more address."""
        address: Address | None = None

        async def handle(reader: Reader, writer: Writer) -> None:
            assert address is not None
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await self._serve(address, reader, writer)

        address = Address(await asyncio.start_server(handle, "127.0.0.1", 0), refuses=refuses)
        self._addresses.append(address)
        return address

    async def retire(self, address: Address) -> None:
        """After a new configuration: nothing new is accepted; returns once what was open is closed."""
        address.server.close()
        await asyncio.sleep(RETIRED_S)
        for writer in address.watches:
            writer.transport.abort()

    def change(self, *names: str, status: str = "terminating") -> None:
        """These endpoints have another status; a line for each, at once, on every watch that stands."""
        for name in names:
            self.tell({**self._endpoints[name], "status": status})

    def tell(self, entry: dict[str, Any]) -> None:
        """This endpoint is new, or listed in another way; a line at once, on every watch that stands."""
        self.version += 1
        self._endpoints[entry["name"]] = entry
        self._send(self._document([entry], whole=False))

    def disguise(self, disguise: Callable[[Entries], Entries] = list) -> None:
        """Whole lists say something else of the endpoints from now on; one goes to every watch that stands, at once."""
        self.version += 1
        self._disguise = disguise
        self._send(self._whole_list())

    def _send(self, line: bytes) -> None:
        for address in self._addresses:
            for writer in address.watches - self._silent:
                if self._ends:
                    writer.close()
                else:
                    writer.write(chunk(line))

    def _whole_list(self) -> bytes:
        listed = [entry for entry in self._endpoints.values() if entry["status"] != "terminated"]
        return self._document(self._disguise(listed), whole=True)

    def silence(self) -> None:
        """All watches that stand fall silent, and stay open."""
        for address in self._addresses:
            self._silent |= address.watches

    def hang_next(self) -> None:
        """The next call is never answered."""
        self._hanging += 1

    def close(self) -> None:
        for address in self._addresses:
            address.server.close()
            for writer in address.watches:
                writer.transport.abort()

    def _document(self, entries: list[dict[str, Any]], whole: bool) -> bytes:
        return json.dumps({"index": self.version, "snapshot": whole, "endpoints": entries}).encode()

    async def _serve(self, address: Address, reader: Reader, writer: Writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        address.calls += 1
        now = monotonic()
        if address.refuses or self._free_at - now > self._patience_s:
            writer.write(REFUSED)
            writer.close()
            return
        # What is given up while it waits is handled all the same: the service can't tell.
        if self._hanging:
            self._hanging -= 1
            await reader.read()
            return
        self._free_at = max(self._free_at, now) + self._list_s
        await asyncio.sleep(self._free_at - now)
        writer.write(CHUNKED + chunk(self._whole_list()))
        self.answered.append(monotonic())
        address.watches.add(writer)
        try:
            while not writer.is_closing():
                await asyncio.sleep(EMPTY_LINE_S)
                if writer not in self._silent:
                    writer.write(chunk(b""))
        finally:
            address.watches.discard(writer)
