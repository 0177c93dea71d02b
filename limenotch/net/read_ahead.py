"""Reading ahead on a client's connection, one read at a time, also while a request is open.

Tornado allows one read at a time, has no clean way to cancel one, and does not notice the end of a connection while
bytes that nobody reads are in its buffer. So the one pending read is owned here, for whoever needs its bytes.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from enum import Enum

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

from ..config import host_port
from .pipe import READ_BYTES, BufferBudget

# Bytes that a client may send ahead of the response it waits for: several complete requests of buffered size.
# Beyond one read they are buffered only while the memory budget for bodies is not exhausted.
MAX_READ_AHEAD_BYTES = 256 * 1024
# In a turn of the event loop: the end of a connection behind all that may be buffered is noticed in that turn, and a
# flood of bytes leaves time for other connections.
MAX_READS_PER_TURN = 4


class Mode(Enum):
    """What happens to bytes that arrive while nobody reads."""

    LEAVE = "left in the kernel"
    BUFFER = "buffered up to a limit, and left in the kernel beyond"
    BUFFER_OR_DROP = "buffered up to a limit, and dropped beyond, so that the end of the connection is always noticed"


class IdleEndError(Exception):
    """The connection is ended while it is idle, between two requests."""


class ClientStream(IOStream):
    """Reports its end at once: Tornado's close callback runs a turn of the event loop later, after timers then due."""

    ended: Callable[[], None] = staticmethod(lambda: None)

    def close_fd(self) -> None:
        """Close the descriptor and call `ended` (overrides IOStream)."""
        super().close_fd()
        self.ended()

    async def write_within(self, limit_s: float, data: bytes) -> None:
        """Write, for a limited time: the connection of a client that does not read would never be freed.

        Raises StreamClosedError.
        """
        written = self.write(data)
        timer = IOLoop.current().call_later(limit_s, self.close)
        try:
            await written
        finally:
            IOLoop.current().remove_timeout(timer)

    def peer_connected(self) -> bool:
        """Whether the client is there as far as the kernel knows, which learns of its end before a busy event loop."""
        try:
            return self.socket.recv(1, socket.MSG_PEEK) != b""
        except BlockingIOError:
            return True
        except (OSError, AttributeError):  # broken, or closed by us
            return False

    def peer_address(self) -> str:
        """The client's address, "host:port"; empty if it has disconnected already."""
        try:
            return host_port(self.socket.getpeername()[:2])
        except OSError:
            return ""

    def shut_down_sending(self) -> None:
        """Shut down our sending side, unless the client has disconnected already."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        """Reset the connection, so that the client does not take what was written for a complete response."""
        if not self.closed():
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.close()


class ReadAhead:
    """The bytes of one stream in order, as they arrive."""

    def __init__(self, stream: IOStream, budget: BufferBudget) -> None:
        self.stream = stream
        self.dropped = False  # bytes are missing: no further request can be read
        self._budget = budget
        self._mode = Mode.LEAVE
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        self._pending: asyncio.Future[bytes] | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._error: Exception | None = None

    async def read(self) -> bytes:
        """The bytes buffered so far, else the next ones that arrive.

        Raises StreamClosedError once the connection has ended, whatever is buffered: nobody waits for a response.
        Raises the error that `fail` was given.
        """
        self._check()
        if not self._buffer:
            self._start_read()
            self._check()
        while not self._buffer:
            await self._wait_for_read()
            self._check()
            self._start_read()
        data = b"".join(self._buffer)
        self._clear_buffer()
        self._read_ahead()
        return data

    def set_mode(self, mode: Mode) -> None:
        """Set the mode; what has arrived is read at once as far as that allows, and an end behind it noticed."""
        self._mode = mode
        self._read_ahead()

    def fail(self, error: Exception) -> None:
        """Make the read in progress, else the next one, raise this error."""
        self._error = error
        self._wake()

    @property
    def empty(self) -> bool:
        """Whether no unread bytes have arrived, neither here nor in the kernel."""
        if self._buffer or self.dropped:
            return False
        if self.stream.closed():
            return True
        if self._pending is None:
            self._start_read()
            return not self._buffer
        return not self._pending.done() and not self._has_bytes_in_kernel()

    async def discard(self, limit: int) -> None:
        """Read and drop up to `limit` bytes. Raises StreamClosedError at the end of the connection."""
        self._error = None
        self._mode = Mode.LEAVE
        self._clear_buffer()
        while limit > 0:
            limit -= len(await self.read())

    def close(self) -> None:
        """The connection has ended: drop what is buffered."""
        self._clear_buffer()

    def _check(self) -> None:
        if self._error is not None:
            raise self._error
        if self.stream.closed():
            raise StreamClosedError(real_error=self.stream.error)

    def _has_bytes_in_kernel(self) -> bool:
        try:
            return bool(self.stream.socket.recv(1, socket.MSG_PEEK))
        except OSError:  # no bytes, or the connection is broken
            return False

    async def _wait_for_read(self) -> None:
        waiter = self._waiter = asyncio.get_running_loop().create_future()
        try:
            await waiter
        finally:
            if self._waiter is waiter:
                self._waiter = None

    def _start_read(self) -> None:
        """Begin a read unless one is pending; bytes that are there already are buffered at once."""
        future = self._begin_read()
        if future is not None and future.done():
            self._take_result()
        elif future is not None:
            future.add_done_callback(self._read_finished)

    def _begin_read(self) -> asyncio.Future[bytes] | None:
        if self._pending is not None or self.stream.closed():
            return None
        try:
            self._pending = asyncio.ensure_future(self.stream.read_bytes(self._budget.piece, partial=True))
        except OSError:  # the connection broke, and the stream has closed itself
            return None
        return self._pending

    def _read_finished(self, _: asyncio.Future[bytes]) -> None:
        self._take_result()
        self._wake()
        self._read_ahead()

    def _take_result(self) -> None:
        """Buffer or drop the bytes of a read that is done."""
        future = self._pending
        self._pending = None
        if future is None or future.cancelled() or future.exception() is not None:
            return  # the stream has closed
        piece = future.result()
        if self._mode is Mode.BUFFER_OR_DROP and (self.dropped or self._buffered_bytes + len(piece) > self._capacity):
            self.dropped = True
            self._clear_buffer()
        elif not self.stream.closed():
            self._buffer.append(piece)
            self._count(len(piece))

    @property
    def _capacity(self) -> int:
        return READ_BYTES if self._budget.exhausted else MAX_READ_AHEAD_BYTES

    def _wants_more(self) -> bool:
        if self._mode is Mode.BUFFER:
            return self._buffered_bytes < self._capacity
        return self._mode is Mode.BUFFER_OR_DROP

    def _read_ahead(self) -> None:
        """Read some pieces at once, and further ones in the next turns of the event loop."""
        for reads_left in range(MAX_READS_PER_TURN, -1, -1):
            future = self._begin_read() if self._wants_more() else None
            if future is None:
                return
            if reads_left == 0 or not future.done():
                future.add_done_callback(self._read_finished)
                return
            self._take_result()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _clear_buffer(self) -> None:
        self._buffer.clear()
        self._count(-self._buffered_bytes)

    def _count(self, size: int) -> None:
        self._buffered_bytes += size
        self._budget.used += size
