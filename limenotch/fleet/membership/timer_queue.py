"""A queue of due times over one timer of the host, as the host's timers can't be cancelled."""

from __future__ import annotations

import heapq

Key = tuple[str, str | int]


class TimerQueue:
    """Each key is due at most once; scheduling it again moves it. Bounded by the number of keys."""

    def __init__(self) -> None:
        self._due: dict[Key, float] = {}
        self._heap: list[tuple[float, Key]] = []
        self._timer_at_ms: float | None = None

    def schedule(self, due_ms: float, key: Key) -> None:
        """Make a key due at `due_ms`."""
        self._due[key] = due_ms
        heapq.heappush(self._heap, (due_ms, key))
        if len(self._heap) > 64 + 4 * len(self._due):
            self._heap = [(due_ms, key) for key, due_ms in self._due.items()]
            heapq.heapify(self._heap)

    def cancel(self, key: Key) -> None:
        """Remove a key."""
        self._due.pop(key, None)

    def __contains__(self, key: Key) -> bool:
        return key in self._due

    def next_due_ms(self) -> float | None:
        """The earliest due time; None if there is none."""
        while self._heap and self._due.get(self._heap[0][1]) != self._heap[0][0]:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> Key | None:
        """A key that is due, the longest overdue first; None if none is due."""
        next_due = self.next_due_ms()
        if next_due is None or next_due > now:
            return None
        key = heapq.heappop(self._heap)[1]
        del self._due[key]
        return key

    def timer_fired(self, now: float) -> None:
        """The host's timer has fired."""
        if self._timer_at_ms is not None and now >= self._timer_at_ms:
            self._timer_at_ms = None

    def timer_to_set(self) -> float | None:
        """The time in ms for a timer of the host; None if one is already set for then or earlier."""
        next_due = self.next_due_ms()
        if next_due is None or (self._timer_at_ms is not None and self._timer_at_ms <= next_due):
            return None
        self._timer_at_ms = next_due
        return next_due
