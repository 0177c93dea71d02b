"""A discovery service on loopback: one list, one queue of requests, any number of addresses.

Requests are handled in turn, `list_s` each; a request that would wait longer than `max_wait_s` is rejected at once. A
retired address accepts no connections and closes the open ones `RETIREMENT_S` later, as after a new configuration.
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
REJECTION = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
RETIREMENT_S = 1.5

Entries = list[dict[str, Any]]
EMPTY_LINE_S = 1.0


def chunk(line: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(line) + 1, line + b"\n")


@dataclass(eq=False)
class Address:
    """One address of the service."""

    server: asyncio.Server
    watches: set[Writer] = field(default_factory=set)
    request_count: int = 0
    rejects_all: bool = False  # reject every request at once

    @property
    def name(self) -> str:
        return host_port(self.server.sockets[0].getsockname())


class DiscoveryService:
    """The endpoint list and the watches on it."""

    def __init__(
        self, endpoints: list[dict[str, Any]], list_s: float = 0.0, max_wait_s: float = 2.0, ends_watches: bool = False
    ) -> None:
        """`ends_watches`: a change ends all watches instead of being sent."""
        self.version = 1
        self._ends_watches = ends_watches
        self._silent: set[Writer] = set()  # watches that get no more data
        self._requests_to_hang = 0  # how many of the next requests are never answered
        self.answered_at: list[float] = []  # times of the lists sent, by time.monotonic
        self._endpoints = {entry["name"]: entry for entry in endpoints}
        self._list_s, self._max_wait_s = list_s, max_wait_s
        self._free_at = 0.0  # when all waiting requests are handled
        self._addresses: list[Address] = []
        self._list_filter: Callable[[Entries], Entries] = list  # applied to complete lists only

    async def listen(self, rejects_all: bool = False) -> Address:
        """Opens another address of the service."""
        address: Address | None = None

        async def handle(reader: Reader, writer: Writer) -> None:
            assert address is not None
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await self._serve(address, reader, writer)

        address = Address(await asyncio.start_server(handle, "127.0.0.1", 0), rejects_all=rejects_all)
        self._addresses.append(address)
        return address

    async def retire(self, address: Address) -> None:
        """Stops accepting connections; returns once the open connections are closed."""
        address.server.close()
        await asyncio.sleep(RETIREMENT_S)
        for writer in address.watches:
            writer.transport.abort()

    def set_status(self, *names: str, status: str = "terminating") -> None:
        """Changes the status of endpoints; sends one line for each at once to every open watch."""
        for name in names:
            self.update_endpoint({**self._endpoints[name], "status": status})

    def update_endpoint(self, entry: dict[str, Any]) -> None:
        """Adds or replaces an endpoint; sends a line at once to every open watch."""
        self.version += 1
        self._endpoints[entry["name"]] = entry
        self._send(self._document([entry], complete=False))

    def set_list_filter(self, list_filter: Callable[[Entries], Entries] = list) -> None:
        """Applies a filter to complete lists from now on; sends such a list at once to every open watch."""
        self.version += 1
        self._list_filter = list_filter
        self._send(self._complete_list())

    def _send(self, line: bytes) -> None:
        for address in self._addresses:
            for writer in address.watches - self._silent:
                if self._ends_watches:
                    writer.close()
                else:
                    writer.write(chunk(line))

    def _complete_list(self) -> bytes:
        current = [entry for entry in self._endpoints.values() if entry["status"] != "terminated"]
        return self._document(self._list_filter(current), complete=True)

    def silence_watches(self) -> None:
        """Sends no more data on the open watches, which stay open."""
        for address in self._addresses:
            self._silent |= address.watches

    def hang_next_request(self) -> None:
        """Leaves the next request unanswered."""
        self._requests_to_hang += 1

    def close(self) -> None:
        for address in self._addresses:
            address.server.close()
            for writer in address.watches:
                writer.transport.abort()

    def _document(self, entries: list[dict[str, Any]], complete: bool) -> bytes:
        return json.dumps({"index": self.version, "snapshot": complete, "endpoints": entries}).encode()

    async def _serve(self, address: Address, reader: Reader, writer: Writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        address.request_count += 1
        now = monotonic()
        if address.rejects_all or self._free_at - now > self._max_wait_s:
            writer.write(REJECTION)
            writer.close()
            return
        # A request that the client gives up while it waits is handled all the same: the service can't know.
        if self._requests_to_hang:
            self._requests_to_hang -= 1
            await reader.read()
            return
        self._free_at = max(self._free_at, now) + self._list_s
        await asyncio.sleep(self._free_at - now)
        writer.write(CHUNKED + chunk(self._complete_list()))
        self.answered_at.append(monotonic())
        address.watches.add(writer)
        try:
            while not writer.is_closing():
                await asyncio.sleep(EMPTY_LINE_S)
                if writer not in self._silent:
                    writer.write(chunk(b""))
        finally:
            address.watches.discard(writer)
