"""Long bodies on their way from one connection to another, a bounded part at a time."""

from __future__ import annotations

import asyncio
from collections import deque

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # up to here a body is held whole, so that it can be had or sent again
READ_BYTES = 64 * 1024  # of one read
SMALL_READ_BYTES = 8 * 1024  # the same where memory is short
MAX_PIPE_BYTES = 128 * 1024  # in one pipe


class BrokenError(Exception):
    """The other end of a pipe is gone: of what was put in, or of who was to take it."""


class BufferBudget:
    """Bytes that all pipes may hold together. Beyond, each still gets a small piece at a time: none stands still."""

    def __init__(self, limit: int) -> None:
        self.limit, self.used = limit, 0

    @property
    def exhausted(self) -> bool:
        return self.used >= self.limit

    @property
    def piece(self) -> int:
        """How much to read at once now."""
        return SMALL_READ_BYTES if self.exhausted else READ_BYTES

    def beyond(self, size: int) -> bool:
        """Whether a body of which `size` bytes are there is not held any longer."""
        return size > MAX_BUFFERED_BODY_BYTES or size > SMALL_READ_BYTES and self.exhausted


class BodyPipe:
    """One body: `put` by the connection it comes from, `get` by the one it goes to."""

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self._pieces: deque[bytes] = deque()
        self._size = 0
        self._ended = self._broken = False
        self._change: asyncio.Event = asyncio.Event()
        self.begun = False  # a piece was taken: what is left is not the whole any more

    async def put(self, piece: bytes) -> None:
        """Returns when there is room for the next piece. Raises BrokenError once nobody takes any more."""
        if piece and not self._broken:
            self._pieces.append(piece)
            self._count(len(piece))
            self._change.set()
        while self._pieces and (self._size >= MAX_PIPE_BYTES or self._budget.exhausted) and not self._broken:
            self._change.clear()
            await self._change.wait()
        if self._broken:
            raise BrokenError

    async def get(self) -> bytes:
        """The next piece; b"" at the end. Raises BrokenError if the end never comes."""
        while not self._pieces and not self._ended and not self._broken:
            self._change.clear()
            await self._change.wait()
        if self._broken:
            raise BrokenError
        if not self._pieces:
            return b""
        self.begun = True
        piece = self._pieces.popleft()
        self._count(-len(piece))
        self._change.set()
        return piece

    def end(self) -> None:
        """All was put."""
        self._ended = True
        self._change.set()

    def cut(self) -> None:
        """From either end: what is in it is dropped. Of no effect once all was taken."""
        self._count(-self._size)
        self._pieces.clear()
        self._broken = True
        self._change.set()

    def _count(self, size: int) -> None:
        self._size += size
        self._budget.used += size
