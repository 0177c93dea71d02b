"""Streams long bodies from one connection to another, with bounded memory."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from .memory_limits import SocketBuffers
from .socket_gauge import SocketGauge
from .turn_quota import TurnQuota

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # a body up to this size is buffered completely, so that it can be sent again
READ_BYTES = 64 * 1024  # in one read
SMALL_READ_BYTES = 8 * 1024  # in one read while the budget is exhausted
MAX_PIPE_BYTES = 128 * 1024  # buffered in one pipe
GROWTH_STEP_BYTES = 256 * 1024
LONG_READS_PER_TURN = 16  # of the event loop
REQUEST_FRACTION = 3 / 4  # of the budget, that requests may take


class PipeBrokenError(Exception):
    """The pipe was broken: its writer can't complete the body, or its reader needs no more of it."""


class BufferBudget:
    """The memory that all pipes and buffers share. Once it is exhausted, each still makes progress in small pieces."""

    def __init__(self, limit: int) -> None:
        self.limit = limit  # bytes
        self.used = 0  # bytes
        self.shortage = False  # whether the process holds too much for further requests, whatever is used here
        self.severe_shortage = False  # whether it holds too much for any buffer to grow
        self.sockets: SocketBuffers | None = None  # sizes for new connections; None: the defaults
        self.gauge = SocketGauge()  # of the connections that share the budget
        self.long_reads = TurnQuota(LONG_READS_PER_TURN)  # of long bodies, on all connections that share the budget
        self.grown: Callable[[], None] = lambda: None  # called after each growth by GROWTH_STEP_BYTES
        self._announced = 0  # bytes in use at the last call of `grown`

    @property
    def exhausted(self) -> bool:
        """Whether the limit is reached, or memory is very short."""
        return self.severe_shortage or self.used >= self.limit

    def charge(self, size: int) -> None:
        """Counts `size` more bytes, or less if it is negative."""
        self.used += size
        if self.used > self._announced + GROWTH_STEP_BYTES:
            self._announced = self.used
            self.grown()
        elif self.used < self._announced:
            self._announced = self.used

    @property
    def read_bytes(self) -> int:
        """How many bytes to read at once at this moment."""
        return SMALL_READ_BYTES if self.exhausted else READ_BYTES

    def requires_streaming(self, size: int) -> bool:
        """Whether a body of which `size` bytes have arrived is to be streamed rather than buffered completely."""
        return size > MAX_BUFFERED_BODY_BYTES or size > SMALL_READ_BYTES and self.exhausted


class RequestBudget(BufferBudget):
    """The part of a budget that incomplete requests may take: the rest is left to responses."""

    def __init__(self, whole: BufferBudget) -> None:
        """What is charged here is charged to `whole`."""
        super().__init__(0)
        self._whole = whole
        self.gauge = whole.gauge
        self.long_reads = whole.long_reads

    @property
    def exhausted(self) -> bool:
        """Whether the part's limit is reached, or memory is short."""
        whole = self._whole
        return whole.shortage or whole.used >= whole.limit * REQUEST_FRACTION

    def charge(self, size: int) -> None:
        """Counts `size` more bytes of the whole budget, or less if it is negative."""
        self._whole.charge(size)


class BudgetShare:
    """What one owner of bytes or parsed objects holds of a budget."""

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self.bytes = 0

    def set(self, size: int) -> None:
        """The owner holds `size` bytes from now on."""
        growth = size - self.bytes
        self.bytes = size
        self._budget.charge(growth)


class BodyPipe:
    """The pieces of one body: `put` by the connection it arrives on, and `get` by the one it is forwarded on."""

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self._pieces: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._ended = False
        self._broken = False
        self._changed: asyncio.Event = asyncio.Event()
        self.was_read = False  # whether a piece was read: the rest is not the complete body

    async def put(self, piece: bytes) -> None:
        """Adds a piece, and waits until there is capacity for the next one. Raises PipeBrokenError."""
        self.add(piece)
        await self.wait_for_capacity()

    def add(self, piece: bytes) -> None:
        """Adds a piece, to be followed by `wait_for_capacity`."""
        if piece and not self._broken:
            self._pieces.append(piece)
            self._count(len(piece))
            self._changed.set()

    @property
    def is_full(self) -> bool:
        """Whether a piece has to be read before the next one is added."""
        if self._broken or not self._pieces:
            return False
        return self._buffered_bytes >= MAX_PIPE_BYTES or self._budget.exhausted

    async def wait_for_capacity(self) -> None:
        """Waits until the next piece may be added. Raises PipeBrokenError."""
        while self.is_full:
            self._changed.clear()
            await self._changed.wait()
        if self._broken:
            raise PipeBrokenError

    async def get(self) -> bytes:
        """Waits for the next piece; b"" at the end of the body. Raises PipeBrokenError."""
        while not self._pieces and not self._ended and not self._broken:
            self._changed.clear()
            await self._changed.wait()
        if self._broken:
            raise PipeBrokenError
        if not self._pieces:
            return b""
        self.was_read = True
        piece = self._pieces.popleft()
        self._count(-len(piece))
        self._changed.set()
        return piece

    def end(self) -> None:
        """Marks the body as complete: no further piece is put."""
        self._ended = True
        self._changed.set()

    def break_off(self) -> None:
        """Breaks the pipe, from either end, and drops its content."""
        self._count(-self._buffered_bytes)
        self._pieces.clear()
        self._broken = True
        self._changed.set()

    def _count(self, size: int) -> None:
        self._buffered_bytes += size
        self._budget.charge(size)
