"""What is to be done when: many due times over the host's one timer, since timers are never called back."""

from __future__ import annotations

import heapq

Key = tuple[str, str | int]


class Agenda:
    """Each key is due once at most; a later `at` moves it. Bounded by its keys."""

    def __init__(self) -> None:
        self._due: dict[Key, float] = {}
        self._heap: list[tuple[float, Key]] = []
        self._armed: float | None = None

    def at(self, when: float, key: Key) -> None:
        self._due[key] = when
        heapq.heappush(self._heap, (when, key))
        if len(self._heap) > 64 + 4 * len(self._due):
            self._heap = [(when, key) for key, when in self._due.items()]
            heapq.heapify(self._heap)

    def drop(self, key: Key) -> None:
        self._due.pop(key, None)

    def __contains__(self, key: Key) -> bool:
        return key in self._due

    def first(self) -> float | None:
        while self._heap and self._due.get(self._heap[0][1]) != self._heap[0][0]:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def pop(self, now: float) -> Key | None:
        """A key that is due, the longest due first."""
        first = self.first()
        if first is None or first > now:
            return None
        key = heapq.heappop(self._heap)[1]
        del self._due[key]
        return key

    def fired(self, now: float) -> None:
        if self._armed is not None and now >= self._armed:
            self._armed = None

    def arm(self) -> float | None:
        """When the host should call, if it was not asked already for then or sooner."""
        first = self.first()
        if first is None or (self._armed is not None and self._armed <= first):
            return None
        self._armed = first
        return first
