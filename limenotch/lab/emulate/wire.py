"""HTTP/1.1 connections for the laboratory, with the parsers of `limenotch.net.http1`.

asyncio protocols with callbacks, not streams and coroutines as in the program: the load tool and hundreds of emulated
providers share one process, and a stream with two coroutines a request costs about three times as much.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from typing import cast

from ...net import http1

MOST_BACKLOG = 512
MOST_UNREAD = 1 << 20  # bytes that wait for a peer that does not read, before its connection is reset


def reset(transport: asyncio.Transport) -> None:
    """Close with RST: what a process that dies leaves behind."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


class Served(asyncio.Protocol):
    """One connection to a server of ours. One request at a time; `request` hears of each, `gone` of the end."""

    def __init__(
        self,
        request: Callable[[Served, http1.Message], None],
        gone: Callable[[Served], None],
        met: Callable[[Served], bool],
    ) -> None:
        self._request, self._gone, self._met = request, gone, met
        self._parser = http1.RequestParser()
        self.transport: asyncio.Transport | None = None
        self.busy = False
        self.count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if not self._met(self):
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
                self._request(self, message)

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
        """False if the connection is gone, or goes because its peer does not read."""
        if self.transport is None or self.transport.is_closing():
            return False
        if self.transport.get_write_buffer_size() > MOST_UNREAD:
            reset(self.transport)
            return False
        self.transport.write(wire)
        return True

    def end(self, hard: bool = False) -> None:
        if self.transport is not None:
            reset(self.transport) if hard else self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self._gone(self)


class Asking(asyncio.Protocol):
    """One connection of a client of ours; `done` gets the answer to the request under way, or None."""

    def __init__(self, idle: Callable[[Asking], None], gone: Callable[[Asking], None]) -> None:
        self._idle, self._gone = idle, gone
        self._parser = http1.ResponseParser()
        self._done: Callable[[http1.Message | None], None] | None = None
        self.transport: asyncio.Transport | None = None
        self.used = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def ask(self, wire: bytes, done: Callable[[http1.Message | None], None]) -> None:
        assert self.transport is not None
        self._done = done
        self.used += 1
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
        done, self._done = self._done, None
        if not message.keep_alive:
            self.close()
        elif done is not None:
            self._idle(self)
        if done is not None:
            done(message)

    def close(self) -> None:
        """Give up what is under way; its `done` hears nothing more."""
        if self.transport is not None:
            self.transport.close()

    def drop(self) -> None:
        self._done = None
        self.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self._gone(self)
        done, self._done = self._done, None
        if done is not None:
            done(None)


class Pool:
    """Connections to one address: idle ones are used again, more are opened as needed, up to `most`."""

    def __init__(self, host: str, port: int, most: int = 1000) -> None:
        self.host, self.port, self._most = host, port, most
        self._idle: list[Asking] = []
        self._all: set[Asking] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.opened = 0
        self.opening = 0

    @property
    def count(self) -> int:
        return len(self._all)

    def ask(
        self, wire: bytes, done: Callable[[http1.Message | None], None], began: Callable[[Asking], None] | None = None
    ) -> None:
        """`done` is called once, with None if no answer came; `began` gets the connection once the request is out."""
        while self._idle:
            connection = self._idle.pop()
            if connection.open:
                if began is not None:
                    began(connection)
                connection.ask(wire, self._again(wire, done, began, connection.used))
                return
        if len(self._all) + self.opening >= self._most:
            asyncio.get_running_loop().call_soon(done, None)
            return
        self.opening += 1
        task = asyncio.get_running_loop().create_task(self._open(wire, done, began))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _again(
        self,
        wire: bytes,
        done: Callable[[http1.Message | None], None],
        began: Callable[[Asking], None] | None,
        used: int,
    ) -> Callable[[http1.Message | None], None]:
        """A kept connection that ends without a byte may have crossed the request: once more on a new one."""

        def answered(message: http1.Message | None) -> None:
            if message is None and used > 0:
                self.opening += 1
                task = asyncio.get_running_loop().create_task(self._open(wire, done, began))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            else:
                done(message)

        return answered

    async def _open(
        self, wire: bytes, done: Callable[[http1.Message | None], None], began: Callable[[Asking], None] | None
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(
                lambda: Asking(self._idle.append, self._all.discard), self.host, self.port
            )
        except OSError:
            done(None)
            return
        finally:
            self.opening -= 1
        self.opened += 1
        self._all.add(connection)
        if began is not None:
            began(connection)
        if connection.open:
            connection.ask(wire, done)
        else:
            done(None)

    def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        for connection in list(self._all):
            connection.drop()
        self._idle.clear()


def listener(port: int = 0) -> socket.socket:
    """On 127.0.0.1; port 0: the kernel's choice. Raises OSError if a given port is taken."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", port))
        sock.listen(MOST_BACKLOG)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock
