"""Client connections without the rest of the program: requests wait for an endpoint list that never arrives."""

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
MAX_LOOP_TURNS = 100_000  # far more than any condition needs


class Connections:
    """A client listener with its connections, request manager, descriptor limits and buffer budget."""

    def __init__(self, client_settings: Tuning, limit: int) -> None:
        self.request_manager = RequestManager(LoadBalancer(read_settings(SETTINGS), 1), 10)
        self.request_manager.watch_discovery = lambda: None
        self.sockets, self.budget = DescriptorLimits(limit), BufferBudget(1024 * 1024)
        self.listener = ClientListener(
            self.request_manager,
            self.request_manager.load_balancer,
            self.sockets,
            lambda: True,
            client_settings,
            self.budget,
        )
        self.port = free_port()
        self.listener.listen(("127.0.0.1", self.port))

    async def client(self) -> tuple[socket.socket, ClientConnection]:
        """Opens a connection and waits until it is accepted.

        The client socket blocks: the data of a send is in the listener's kernel buffer when the send returns.
        """
        sock = socket.create_connection(("127.0.0.1", self.port))
        address = sock.getsockname()
        sock.settimeout(20.0)
        accepted: list[ClientConnection] = []

        def is_accepted() -> bool:
            accepted.extend(c for c in self.listener._open if c.stream.socket.getpeername() == address)
            return bool(accepted)

        await wait_until(is_accepted)
        await wait_until(lambda: accepted[0] in self.listener._idle)
        return sock, accepted[0]

    def accepted_requests(self) -> int:
        return self.request_manager.metrics.count("taken")

    def close(self) -> None:
        self.listener._stop_listening()
        for connection in list(self.listener._open):
            connection.stream.close()


async def wait_until(condition: Callable[[], bool], max_turns: int | None = MAX_LOOP_TURNS) -> None:
    """Runs the event loop until the condition is true. Raises AssertionError after `max_turns`; None: no limit."""
    for _ in itertools.count() if max_turns is None else range(max_turns):
        if condition():
            return
        await asyncio.sleep(0)
    raise AssertionError("condition not met")


async def read_from(sock: socket.socket, end_marker: bytes = b"") -> bytes:
    """Reads up to the end of the stream, or until `end_marker` was read. Raises ConnectionResetError on a reset."""

    def read() -> bytes:
        data = b""
        while not (end_marker and end_marker in data) and (chunk := sock.recv(65536)):
            data += chunk
        return data

    return await asyncio.to_thread(read)


async def with_connections(
    use: Callable[[Connections], Coroutine[Any, Any, None]],
    client_settings: Tuning = Tuning(),  # noqa: B008 (frozen)
    limit: int = 1024,
) -> None:
    connections = Connections(client_settings, limit)
    try:
        await use(connections)
    finally:
        connections.close()
