"""The clocks of one process, in milliseconds of Unix time."""

from __future__ import annotations

import time

MS_PER_S = 1000.0


class MonotonicUnixClock:
    """Unix time in ms that never runs back: the wall clock is read once, after that only monotonic time counts."""

    def __init__(self) -> None:
        """Read the wall clock."""
        self._wall_offset_s = time.time() - time.monotonic()

    def __call__(self) -> float:
        """The time now, in ms."""
        return (self._wall_offset_s + time.monotonic()) * MS_PER_S


def wall_clock_ms() -> float:
    """The wall clock in ms, which may be set forward or back at any time."""
    return time.time() * MS_PER_S
