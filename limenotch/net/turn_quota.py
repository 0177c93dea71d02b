"""Shares the turns of the event loop: long bodies take a limited part of each, however many of them arrive."""

from __future__ import annotations

import asyncio
from collections import deque


class TurnQuota:
    """Allows a number of operations in each turn of the event loop; others wait for a later turn, in their order.

    Each message of a short exchange takes a few turns. If all operations that are due were done in one turn, that
    would last for as long as they are many, and each short exchange for several times as long.
    """

    def __init__(self, operations: int) -> None:
        """`operations`: how many are allowed in one turn."""
        self._operations = operations
        self._left = operations  # in this turn
        self._waiting: deque[asyncio.Future[None]] = deque()

    def take(self) -> bool:
        """Counts an operation of this turn; returns False if it has to wait for its turn."""
        if self._left == 0:
            return False
        if self._left == self._operations:
            asyncio.get_running_loop().call_soon(self._start_turn)
        self._left -= 1
        return True

    def wait(self, waiter: asyncio.Future[None]) -> None:
        """Sets the result of `waiter` when its operation may be done, unless the future is done before."""
        self._waiting.append(waiter)

    def _start_turn(self) -> None:
        self._left = self._operations
        while self._waiting and (self._waiting[0].done() or self.take()):
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
