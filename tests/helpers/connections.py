"""Clients' connections without the rest of the program: calls wait for a list that never comes."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Callable, Coroutine
from typing import Any

from limenotch.balancing.settings import read_settings
from limenotch.load_balancer import LoadBalancer
from limenotch.net.client_connection import ClientConnection
from limenotch.net.client_listener import ClientListener
from limenotch.net.pipe import BufferBudget
from limenotch.net.requests import RequestManager
from limenotch.net.sockets import DescriptorLimits
from limenotch.settings import ClientSettings as Tuning

from .http_peers import SETTINGS
from .processes import free_port

UP = b"GET /up HTTP/1.1\r\nHost: s\r\n\r\n"
STEPS = 100_000  # turns of the loop; far from what it takes


class Connections:
    """The listener with all its connections, and what a test asks of them."""

    def __init__(self, tuning: Tuning, limit: int) -> None:
        self.calls = RequestManager(LoadBalancer(read_settings(SETTINGS), 1), 10)
        self.calls.watch_discovery = lambda: None
        self.sockets, self.budget = DescriptorLimits(limit), BufferBudget(1024 * 1024)
        self.all = ClientListener(self.calls, self.calls.load_balancer, self.sockets, lambda: True, tuning, self.budget)
        self.port = free_port()
        self.all.listen(("127.0.0.1", self.port))

    async def client(self) -> tuple[socket.socket, ClientConnection]:
        """A new connection, blocking at the client's end: what it sends is in the other's kernel on return."""
        sock = socket.create_connection(("127.0.0.1", self.port))
        address = sock.getsockname()
        sock.settimeout(20.0)
        found: list[ClientConnection] = []

        def admitted() -> bool:
            found.extend(c for c in self.all._open if c.stream.socket.getpeername() == address)
            return bool(found)

        await until(admitted)
        await until(lambda: found[0] in self.all._idle)
        return sock, found[0]

    def taken(self) -> int:
        return self.calls.metrics.count("taken")

    def end(self) -> None:
        self.all._stop_listening()
        for consumer in list(self.all._open):
            consumer.stream.close()


async def until(holds: Callable[[], bool], turns: int | None = STEPS) -> None:
    """Turns of the loop until it holds; without a fault that is soon. `turns` None: the case's own limit holds."""
    for _ in itertools.count() if turns is None else range(turns):
        if holds():
            return
        await asyncio.sleep(0)
    raise AssertionError("never came")


async def received(sock: socket.socket, up_to: bytes = b"") -> bytes:
    """All up to the end, or as far as this. Raises ConnectionResetError where the connection was reset."""

    def read() -> bytes:
        data = b""
        while not (up_to and up_to in data) and (piece := sock.recv(65536)):
            data += piece
        return data

    return await asyncio.to_thread(read)


async def with_connections(
    use: Callable[[Connections], Coroutine[Any, Any, None]],
    tuning: Tuning = Tuning(),  # noqa: B008 (frozen)
    limit: int = 1024,
) -> None:
    connections = Connections(tuning, limit)
    try:
        await use(connections)
    finally:
        connections.end()
