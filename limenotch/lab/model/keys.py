"""Keys of calls whose repeats are dropped, as the providers of one group know them together."""

from __future__ import annotations

from collections import deque


class Group:
    """What the providers of one group know together of the keys they have served."""

    def __init__(self, everyone: dict[str, tuple[float, Group]] | None = None) -> None:
        self._done: dict[str, float] = {}
        self._ages: deque[tuple[float, str]] = deque()
        self._everyone = everyone if everyone is not None else {}

    def knows(self, now: float, key: str) -> bool:
        while self._ages and self._ages[0][0] <= now:
            self._done.pop(self._ages[0][1], None)
            held = self._everyone.get(self._ages[0][1])
            if held is not None and held[0] <= now:
                del self._everyone[self._ages[0][1]]
            self._ages.popleft()
        return key in self._done

    def commit(self, now: float, key: str, window_ms: float) -> bool:
        """Keep the key; False if another group has it too, so that the work has taken effect twice."""
        other = self._everyone.get(key)
        once = other is None or other[1] is self or other[0] <= now
        if key not in self._done:
            self._done[key] = now + window_ms
            self._ages.append((now + window_ms, key))
        if once:
            self._everyone[key] = (now + window_ms, self)
        return once
