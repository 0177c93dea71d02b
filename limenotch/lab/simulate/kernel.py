"""A clock that jumps from event to event.

An event is a function and its arguments at a time. Events of one instant happen in the order they were asked for,
those marked `late` after all others: an answer that comes at the very end of its call's time is in time.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from math import inf
from typing import Any


class Kernel:
    __slots__ = ("now", "events", "_heap", "_count")

    def __init__(self) -> None:
        self.now = 0.0  # ms
        self.events = 0
        self._heap: list[tuple[float, int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def at(self, time: float, do: Callable[..., None], *about: Any) -> None:
        """At `time`, or now if that has passed."""
        self._count += 1
        heappush(self._heap, (time if time > self.now else self.now, 0, self._count, do, about))

    def late(self, time: float, do: Callable[..., None], *about: Any) -> None:
        """As `at`, after all else of that instant."""
        self._count += 1
        heappush(self._heap, (time if time > self.now else self.now, 1, self._count, do, about))

    def run(self, until: float = inf) -> None:
        """All events before or at `until`."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, _, do, about = heappop(heap)
            self.events += 1
            do(*about)
        if until != inf:
            self.now = max(self.now, until)

    @property
    def pending(self) -> int:
        return len(self._heap)
