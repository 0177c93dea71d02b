"""Reading a client's connection: one read at a time, going on while a call is open.

Tornado allows one read at a time, has no clean way to cancel one, and does not notice the end of a connection while
bytes lie in its buffer that nobody asks for. So the one pending read is kept here, for whoever wants its bytes.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from enum import Enum

from tornado.iostream import IOStream, StreamClosedError

from .pipe import READ_BYTES, BufferBudget

# What a client may send ahead of the answer that it waits for: several requests whole, of the size that is held whole.
# More than one read brings is held only while the memory for bodies under way isn't used up.
MAX_READ_AHEAD_BYTES = 256 * 1024
MAX_READS_PER_TURN = (
    4  # in a turn of the loop: an end behind all that may be held is noticed in it, and a flood leaves others room
)


class Mode(Enum):
    """What becomes of bytes that come while nobody asks for them."""

    LEAVE = "left in the kernel"
    BUFFER = "held up to a bound, and left in the kernel beyond"
    BUFFER_OR_DROP = "held up to a bound, and dropped beyond, so that the end is always noticed"


class ClientStream(IOStream):
    """Tells of its end at once: Tornado's own close callback comes a turn of the loop later, after timers then due."""

    ended: Callable[[], None] = staticmethod(lambda: None)

    def close_fd(self) -> None:
        super().close_fd()
        self.ended()


class ReadAhead:
    """The bytes of one stream in order, as they come."""

    def __init__(self, stream: IOStream, budget: BufferBudget) -> None:
        self.stream = stream
        self.dropped = False  # bytes are missing: no request can be read any more
        self._budget = budget
        self._mode = Mode.LEAVE
        self._held: list[bytes] = []
        self._size = 0  # of what is held
        self._pending: asyncio.Future[bytes] | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._error: Exception | None = None

    async def read(self) -> bytes:
        """What has come and was not asked for yet, else what comes next.

        Raises StreamClosedError once the connection has ended, whatever is held: nobody waits for an answer to it.
        Raises what `stop` was given.
        """
        self._check()
        if not self._held:
            self._start()
            self._check()
        while not self._held:
            await self._piece()
            self._check()
            self._start()
        data = b"".join(self._held)
        self._drop()
        self._go_on()
        return data

    def set_mode(self, mode: Mode) -> None:
        """From now on. What has come already is read at once as far as it may be held, and an end behind it noticed."""
        self._mode = mode
        self._go_on()

    def fail(self, error: Exception) -> None:
        """The read under way, else the next one, raises this."""
        self._error = error
        self._wake()

    @property
    def empty(self) -> bool:
        """Nothing has come that was not asked for, neither here nor in the kernel."""
        if self._held or self.dropped:
            return False
        if self.stream.closed():
            return True
        if self._pending is None:
            self._start()
            return not self._held
        return not self._pending.done() and not self._in_kernel()

    async def discard(self, most: int) -> None:
        """Read up to the connection's end, or so far, and keep nothing. Raises StreamClosedError at the end."""
        self._error, self._mode = None, Mode.LEAVE
        self._drop()
        while most > 0:
            most -= len(await self.read())

    def close(self) -> None:
        """The connection has ended: what is held is dropped."""
        self._drop()

    def _check(self) -> None:
        if self._error is not None:
            raise self._error
        if self.stream.closed():
            raise StreamClosedError(real_error=self.stream.error)

    def _in_kernel(self) -> bool:
        try:
            return bool(self.stream.socket.recv(1, socket.MSG_PEEK))
        except OSError:  # nothing there, or the connection is broken
            return False

    async def _piece(self) -> None:
        waiter = self._waiter = asyncio.get_running_loop().create_future()
        try:
            await waiter
        finally:
            if self._waiter is waiter:
                self._waiter = None

    def _start(self) -> None:
        """Begin a read unless one is pending; what is there already is held at once."""
        future = self._begin()
        if future is not None and future.done():
            self._keep()
        elif future is not None:
            future.add_done_callback(self._got)

    def _begin(self) -> asyncio.Future[bytes] | None:
        if self._pending is not None or self.stream.closed():
            return None
        try:
            self._pending = asyncio.ensure_future(self.stream.read_bytes(self._budget.piece, partial=True))
        except OSError:  # the connection broke, and the stream has closed
            return None
        return self._pending

    def _got(self, _: asyncio.Future[bytes]) -> None:
        self._keep()
        self._wake()
        self._go_on()

    def _keep(self) -> None:
        """Of a read that is done."""
        future, self._pending = self._pending, None
        if future is None or future.cancelled() or future.exception() is not None:
            return  # the stream has closed
        piece = future.result()
        if self._mode is Mode.BUFFER_OR_DROP and (self.dropped or self._size + len(piece) > self._room):
            self.dropped = True
            self._drop()
        elif not self.stream.closed():
            self._held.append(piece)
            self._count(len(piece))

    @property
    def _room(self) -> int:
        return READ_BYTES if self._budget.exhausted else MAX_READ_AHEAD_BYTES

    def _wants(self) -> bool:
        if self._mode is Mode.BUFFER:
            return self._size < self._room
        return self._mode is Mode.BUFFER_OR_DROP

    def _go_on(self) -> None:
        """Some pieces at once, and the rest in the next turns."""
        for left in range(MAX_READS_PER_TURN, -1, -1):
            future = self._begin() if self._wants() else None
            if future is None:
                return
            if left == 0 or not future.done():
                future.add_done_callback(self._got)
                return
            self._keep()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _drop(self) -> None:
        self._held.clear()
        self._count(-self._size)

    def _count(self, size: int) -> None:
        self._size += size
        self._budget.used += size
