"""Reads ahead on a client's connection, also while a request is open, so that its end is noticed.

Tornado allows one read at a time, can't cancel a read cleanly, and does not notice the end of a connection while unread
bytes are in its buffer. So `ReadAhead` owns the one pending read, and buffers its bytes for the connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct
from collections.abc import Callable
from enum import Enum

from tornado.iostream import StreamClosedError

from ..config import host_port
from .counted_stream import CountedStream
from .pipe import SMALL_READ_BYTES, BufferBudget
from .slow_peers import write_to_reader

# Bytes that a client may send before it has received its response: several complete requests that are short enough to
# be buffered. More than one read is buffered only while the memory budget for bodies is not exhausted.
MAX_READ_AHEAD_BYTES = 256 * 1024
# Enough reads in one turn of the event loop to buffer all that may be buffered and to notice an end of the connection
# behind it, and few enough that a flood of bytes leaves time for other connections.
MAX_READS_PER_TURN = 4
MAX_TURNS_AHEAD = 256


class Mode(Enum):
    """What happens to bytes that arrive while no `read` waits for them."""

    LEAVE = "left in the kernel"
    BUFFER = "buffered up to a limit, and left in the kernel beyond"
    BUFFER_OR_DROP = "buffered up to a limit, and dropped beyond, so that the end of the connection is always noticed"


class IdleEndError(Exception):
    """The sidecar ends the connection while it is idle, between two requests."""


class ClientStream(CountedStream):
    """A client's connection that reports its end at once.

    Tornado's close callback runs in the next turn of the event loop, after the timers that are due by then.
    """

    ended: Callable[[], None] = staticmethod(lambda: None)

    def __init__(self, sock: socket.socket, budget: BufferBudget, max_buffer_size: int) -> None:
        """See CountedStream."""
        super().__init__(sock, budget, max_buffer_size)
        self._next_owner: Callable[[socket.socket], None] | None = None  # of the socket
        self._polls_ends = hasattr(select, "POLLRDHUP")  # not on all systems
        if self._polls_ends:
            self._end_poll = select.poll()
            self._end_poll.register(sock, select.POLLRDHUP)

    def hand_over(self, owner: Callable[[socket.socket], None]) -> None:
        """Ends the stream, and passes its socket, which stays open, to `owner`."""
        self._next_owner = owner
        self.close()

    def close_fd(self) -> None:
        """Closes the descriptor, unless that is handed over, and calls `ended` (overrides IOStream)."""
        old = self.socket
        handed_over = socket.socket(old.family, old.type, old.proto, old.detach()) if self._next_owner else None
        super().close_fd()
        if self.error is not None:
            self.error.__traceback__ = None  # refers to this stream
        ended = self.ended
        vars(self).pop("ended", None)  # refers to the connection, which refers to this stream
        ended()
        if handed_over is not None and self._next_owner is not None:
            self._next_owner(handed_over)

    async def write_to_reader(self, silence_s: float, data: bytes) -> None:
        """Writes `data`; resets the connection if the client reads nothing for `silence_s` seconds.

        An orderly end would mark what the kernel still sends as a complete response if that has no length. Raises
        StreamClosedError.
        """
        await write_to_reader(self, data, silence_s, self.reset, self._budget)

    def peer_connected(self) -> bool:
        """Whether the client is connected as far as the kernel knows, which a busy event loop may not have noticed.

        The kernel knows the end of a connection also while unread bytes are before it.
        """
        try:
            if self._polls_ends and self._end_poll.poll(0):
                return False
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
        """Shuts down our sending side, unless the client has disconnected already."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        """Resets the connection, so that the client does not take what was written for a complete response."""
        if not self.closed():
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.close()


class ReadAhead:
    """The bytes of one stream, in the order in which they arrive."""

    def __init__(self, stream: CountedStream, budget: BufferBudget) -> None:
        self.stream = stream
        self.dropped = False  # whether bytes were dropped: no further request can be read then
        self._budget = budget
        self._mode = Mode.LEAVE
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        self._pending: asyncio.Future[bytes] | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._turn: asyncio.Future[None] | None = None  # done when a long body may be read on
        self._error: Exception | None = None

    async def wait_for_turn(self) -> None:
        """Waits for the turn of the event loop in which the next piece of a long body may be read."""
        if self._budget.long_reads.take():
            return
        self._turn = asyncio.get_running_loop().create_future()
        self._budget.long_reads.wait(self._turn)
        try:
            await self._turn
        finally:
            self._turn = None

    async def read(self) -> bytes:
        """The buffered bytes; if there are none, waits for the next ones.

        Bytes that have arrived already are returned in the next turn of the event loop: a client that sends all the
        time would otherwise be the only one that is served.

        Raises StreamClosedError once the connection has ended, even if bytes are buffered, as the client would not get
        a response. Raises the error passed to `fail`.
        """
        self._check()
        if not self._buffer:
            self._start_read()
            self._check()
        if self._buffer:
            await asyncio.sleep(0)
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
        """Sets the mode, and reads at once what has arrived, as far as the mode allows it."""
        self._mode = mode
        self._read_ahead()

    def fail(self, error: Exception) -> None:
        """Makes the `read` in progress, else the next one, raise this error."""
        self._error = error
        self._wake()
        if self._turn is not None and not self._turn.done():
            self._turn.set_result(None)

    @property
    def empty(self) -> bool:
        """Whether there are no unread bytes, neither in the buffers of this process nor in the kernel."""
        if self._buffer or self.dropped:
            return False
        if self.stream.closed():
            return True
        if self._pending is None:
            self._start_read()
            return not self._buffer
        return not self._pending.done() and not self._has_bytes_in_kernel()

    async def read_to_end(self) -> None:
        """Reads ahead what has arrived, so that the end of a connection behind it is noticed before it matters.

        Takes MAX_TURNS_AHEAD turns of the event loop at most, as a client may send all the time.
        """
        for _ in range(MAX_TURNS_AHEAD):
            if self.stream.closed() or not self._has_bytes_in_kernel():
                return
            await asyncio.sleep(0)

    def close(self) -> None:
        """Drops what is buffered, after the end of the connection."""
        self._clear_buffer()
        self._error = None  # refers to the frames that it was raised in

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
            del waiter  # the error of a cancelled future refers to this frame

    def _start_read(self) -> None:
        """Starts a read unless one is pending; bytes that have arrived already are buffered at once."""
        future = self._begin_read()
        if future is not None and future.done():
            self._take_result()
        elif future is not None:
            future.add_done_callback(self._read_finished)

    def _begin_read(self) -> asyncio.Future[bytes] | None:
        if self._pending is not None or self.stream.closed():
            return None
        try:
            self._pending = self.stream.read_piece()
        except OSError:  # the connection is broken, and the stream has closed itself
            return None
        return self._pending

    def _read_finished(self, _: asyncio.Future[bytes]) -> None:
        self._take_result()
        self._wake()
        self._read_ahead()

    def _take_result(self) -> None:
        """Buffers or drops the bytes of a read that is done."""
        future = self._pending
        self._pending = None
        if future is None or future.cancelled() or future.exception() is not None:
            return  # the stream is closed
        piece = future.result()
        self.stream.taken(piece)
        if self._mode is Mode.BUFFER_OR_DROP and (self.dropped or self._buffered_bytes + len(piece) > self._capacity):
            self.dropped = True
            self._clear_buffer()
        elif not self.stream.closed():
            self._buffer.append(piece)
            self._count(len(piece))

    @property
    def _capacity(self) -> int:
        return SMALL_READ_BYTES if self._budget.exhausted else MAX_READ_AHEAD_BYTES

    def _should_read_ahead(self) -> bool:
        if self._mode is Mode.BUFFER:
            return self._buffered_bytes < self._capacity
        return self._mode is Mode.BUFFER_OR_DROP

    def _read_ahead(self) -> None:
        """Reads up to MAX_READS_PER_TURN pieces at once, and further pieces in the next turns of the event loop."""
        for reads_left in range(MAX_READS_PER_TURN, -1, -1):
            future = self._begin_read() if self._should_read_ahead() else None
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
        self._budget.charge(size)
