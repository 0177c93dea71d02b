"""Collects garbage early while memory is short: the interpreter counts objects, not the bytes that they hold."""

from __future__ import annotations

import gc
from collections.abc import Callable
from time import monotonic

from .memory_limits import private_bytes

CHECK_INTERVAL_S = 0.05  # a collection takes some milliseconds


class GarbageCollector:
    """Collects unreachable connections and requests, which refer to each other in cycles."""

    def __init__(self, used_bytes: Callable[[], int] = private_bytes) -> None:
        """`used_bytes`: the memory that the process takes now."""
        self.threshold_bytes = float("inf")
        self._used_bytes = used_bytes
        self._next_check_at = 0.0  # s

    def check(self) -> None:
        """To be called whenever connections or requests come or go: collects if the threshold is passed."""
        now = monotonic()
        if now < self._next_check_at:
            return
        if self._used_bytes() > self.threshold_bytes:
            gc.collect()
            now = monotonic()
        self._next_check_at = now + CHECK_INTERVAL_S
