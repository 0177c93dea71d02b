"""The event loop of simulated time: its clock jumps from one scheduled event to the next.

An event is a callback with its arguments, scheduled for a time. Events of one instant run in the order in which they
were scheduled, except that events of `schedule_last` run after all others of that instant: a response that arrives
exactly at the deadline of its request is in time.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from math import inf
from typing import Any


class Kernel:
    """A heap of scheduled events and the current simulated time."""

    __slots__ = ("now", "events", "_heap", "_scheduled")

    def __init__(self) -> None:
        self.now = 0.0  # ms
        self.events = 0
        self._heap: list[tuple[float, int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._scheduled = 0

    def schedule(self, at_ms: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedules the callback for `at_ms`, or for now if that time has passed."""
        self._scheduled += 1
        heappush(self._heap, (at_ms if at_ms > self.now else self.now, 0, self._scheduled, callback, arguments))

    def schedule_last(self, at_ms: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedules the callback as `schedule` does, but after all other events of that instant."""
        self._scheduled += 1
        heappush(self._heap, (at_ms if at_ms > self.now else self.now, 1, self._scheduled, callback, arguments))

    def run(self, until_ms: float = inf) -> None:
        """Runs all events up to and including `until_ms`, or until none is left."""
        heap = self._heap
        while heap and heap[0][0] <= until_ms:
            self.now, _, _, callback, arguments = heappop(heap)
            self.events += 1
            callback(*arguments)
        if until_ms != inf:
            self.now = max(self.now, until_ms)

    @property
    def pending(self) -> int:
        """The number of scheduled events."""
        return len(self._heap)
