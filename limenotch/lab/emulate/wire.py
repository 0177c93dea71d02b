"""HTTP/1.1 connections for the laboratory, with the parsers of `limenotch.net.http1`.

The connections are asyncio protocols with callbacks, not streams and coroutines as in the program: the load tool and
hundreds of emulated providers share one process, and a stream with two coroutines per request costs about three times
as much.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from typing import cast

from ...net import http1

LISTEN_BACKLOG = 512
MAX_UNREAD_BYTES = 1 << 20  # unsent bytes after which the connection of a peer that does not read is reset


def reset(transport: asyncio.Transport) -> None:
    """Closes with RST, as the kernel does for a process that dies."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


class ServerConnection(asyncio.Protocol):
    """A server's connection. Calls `on_request` for one request at a time, and `on_closed` at the end."""

    def __init__(
        self,
        on_request: Callable[[ServerConnection, http1.Message], None],
        on_closed: Callable[[ServerConnection], None],
        on_connected: Callable[[ServerConnection], bool],
    ) -> None:
        self._on_request, self._on_closed, self._on_connected = on_request, on_closed, on_connected
        self._parser = http1.RequestParser()
        self.transport: asyncio.Transport | None = None
        self.busy = False
        self.count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if not self._on_connected(self):
            reset(self.transport)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed(data)
            self._next()
        except http1.MalformedError as error:
            self.answer(http1.write_response(error.status, [], b"", close=True), close=True)

    def _next(self) -> None:
        if not self.busy and self.transport is not None:
            message = self._parser.take()
            if message is not None:
                self.busy = True
                self.count += 1
                self._on_request(self, message)

    def answer(self, wire: bytes, close: bool = False) -> None:
        if not self.write(wire):
            return
        assert self.transport is not None
        self.busy = False
        if close:
            self.transport.close()
        else:
            self.data_received(b"")

    def write(self, wire: bytes) -> bool:
        """Writes data; False if the connection is closed, or is reset now because its peer does not read."""
        if self.transport is None or self.transport.is_closing():
            return False
        if self.transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            reset(self.transport)
            return False
        self.transport.write(wire)
        return True

    def end(self, hard: bool = False) -> None:
        if self.transport is not None:
            reset(self.transport) if hard else self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self._on_closed(self)


class ClientConnection(asyncio.Protocol):
    """A client's connection. The callback of `send` gets the response, or None if there is none."""

    def __init__(self, idle: Callable[[ClientConnection], None], on_closed: Callable[[ClientConnection], None]) -> None:
        self._idle, self._on_closed = idle, on_closed
        self._parser = http1.ResponseParser()
        self._on_response: Callable[[http1.Message | None], None] | None = None
        self.transport: asyncio.Transport | None = None
        self.request_count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def send(self, wire: bytes, on_response: Callable[[http1.Message | None], None]) -> None:
        assert self.transport is not None
        self._on_response = on_response
        self.request_count += 1
        self.transport.write(wire)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed(data)
            message = self._parser.take()
        except http1.MalformedError:
            self.close()
            return
        if message is None:
            return
        on_response, self._on_response = self._on_response, None
        if not message.keep_alive:
            self.close()
        elif on_response is not None:
            self._idle(self)
        if on_response is not None:
            on_response(message)

    def close(self) -> None:
        """Closes the connection; a pending callback gets None once it is closed."""
        if self.transport is not None:
            self.transport.close()

    def abandon(self) -> None:
        """Closes the connection without a call of the pending callback."""
        self._on_response = None
        self.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self._on_closed(self)
        on_response, self._on_response = self._on_response, None
        if on_response is not None:
            on_response(None)


class Pool:
    """Connections to one address: idle ones are reused, more are opened as needed, up to `max_connections`."""

    def __init__(self, host: str, port: int, max_connections: int = 1000) -> None:
        self.host, self.port, self._max_connections = host, port, max_connections
        self._idle: list[ClientConnection] = []
        self._connections: set[ClientConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.opened = 0
        self.opening = 0

    @property
    def count(self) -> int:
        return len(self._connections)

    def send(
        self,
        wire: bytes,
        on_response: Callable[[http1.Message | None], None],
        on_sent: Callable[[ClientConnection], None] | None = None,
    ) -> None:
        """`on_response` is called once, with None without a response; `on_sent` gets the connection of the request."""
        while self._idle:
            connection = self._idle.pop()
            if connection.open:
                if on_sent is not None:
                    on_sent(connection)
                connection.send(
                    wire, self._retry_on_new_connection(wire, on_response, on_sent, connection.request_count)
                )
                return
        if len(self._connections) + self.opening >= self._max_connections:
            asyncio.get_running_loop().call_soon(on_response, None)
            return
        self.opening += 1
        task = asyncio.get_running_loop().create_task(self._open(wire, on_response, on_sent))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _retry_on_new_connection(
        self,
        wire: bytes,
        on_response: Callable[[http1.Message | None], None],
        on_sent: Callable[[ClientConnection], None] | None,
        request_count: int,
    ) -> Callable[[http1.Message | None], None]:
        """Retries once on a new connection: an idle one that ends without a byte may have closed before the request."""

        def answered(message: http1.Message | None) -> None:
            if message is None and request_count > 0:
                self.opening += 1
                task = asyncio.get_running_loop().create_task(self._open(wire, on_response, on_sent))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            else:
                on_response(message)

        return answered

    async def _open(
        self,
        wire: bytes,
        on_response: Callable[[http1.Message | None], None],
        on_sent: Callable[[ClientConnection], None] | None,
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(
                lambda: ClientConnection(self._idle.append, self._connections.discard), self.host, self.port
            )
        except OSError:
            on_response(None)
            return
        finally:
            self.opening -= 1
        self.opened += 1
        self._connections.add(connection)
        if on_sent is not None:
            on_sent(connection)
        if connection.open:
            connection.send(wire, on_response)
        else:
            on_response(None)

    def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        for connection in list(self._connections):
            connection.abandon()
        self._idle.clear()


def listener(port: int = 0) -> socket.socket:
    """A listening socket on 127.0.0.1; with port 0 the kernel chooses. Raises OSError if the given port is taken."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", port))
        sock.listen(LISTEN_BACKLOG)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock
