"""What is to be done when: many due times over the host's one timer, since timers are never called back."""

from __future__ import annotations

import heapq

Key = tuple[str, str | int]


class TimerQueue:
    """Each key is due once at most; a later `at` moves it. Bounded by its keys."""

    def __init__(self) -> None:
        self._due: dict[Key, float] = {}
        self._heap: list[tuple[float, Key]] = []
        self._timer_at_ms: float | None = None

    def schedule(self, due_ms: float, key: Key) -> None:
        self._due[key] = due_ms
        heapq.heappush(self._heap, (due_ms, key))
        if len(self._heap) > 64 + 4 * len(self._due):
            self._heap = [(due_ms, key) for key, due_ms in self._due.items()]
            heapq.heapify(self._heap)

    def cancel(self, key: Key) -> None:
        self._due.pop(key, None)

    def __contains__(self, key: Key) -> bool:
        return key in self._due

    def next_due_ms(self) -> float | None:
        while self._heap and self._due.get(self._heap[0][1]) != self._heap[0][0]:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> Key | None:
        """A key that is due, the longest due first."""
        next_due = self.next_due_ms()
        if next_due is None or next_due > now:
            return None
        key = heapq.heappop(self._heap)[1]
        del self._due[key]
        return key

    def timer_fired(self, now: float) -> None:
        if self._timer_at_ms is not None and now >= self._timer_at_ms:
            self._timer_at_ms = None

    def timer_to_set(self) -> float | None:
        """When the host should call, if it was not asked already for then or sooner."""
        next_due = self.next_due_ms()
        if next_due is None or (self._timer_at_ms is not None and self._timer_at_ms <= next_due):
            return None
        self._timer_at_ms = next_due
        return next_due
