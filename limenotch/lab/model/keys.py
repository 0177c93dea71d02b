"""Idempotency keys that the providers of a group share, to drop repeated requests."""

from __future__ import annotations

from collections import deque


class KeyGroup:
    """The keys that the providers of one group have served, each until the end of its window."""

    def __init__(self, all_keys: dict[str, tuple[float, KeyGroup]] | None = None) -> None:
        self._expiry_by_key: dict[str, float] = {}
        self._expiries: deque[tuple[float, str]] = deque()
        self._all_keys = all_keys if all_keys is not None else {}

    def contains(self, now: float, key: str) -> bool:
        """Whether the group has served the key within its window; removes expired keys."""
        while self._expiries and self._expiries[0][0] <= now:
            self._expiry_by_key.pop(self._expiries[0][1], None)
            entry = self._all_keys.get(self._expiries[0][1])
            if entry is not None and entry[0] <= now:
                del self._all_keys[self._expiries[0][1]]
            self._expiries.popleft()
        return key in self._expiry_by_key

    def commit(self, now: float, key: str, window_ms: float) -> bool:
        """Stores the key; False if another group has it too, so that the work has taken effect twice."""
        entry = self._all_keys.get(key)
        is_only_commit = entry is None or entry[1] is self or entry[0] <= now
        if key not in self._expiry_by_key:
            self._expiry_by_key[key] = now + window_ms
            self._expiries.append((now + window_ms, key))
        if is_only_commit:
            self._all_keys[key] = (now + window_ms, self)
        return is_only_commit
