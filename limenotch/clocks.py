"""The clocks of a process, in milliseconds of Unix time."""

from __future__ import annotations

import time

MS_PER_S = 1000.0


class MonotonicUnixClock:
    """Unix time in ms that never runs backwards: reads the wall clock once, and then adds monotonic time."""

    def __init__(self) -> None:
        """Read the wall clock, for the first and only time."""
        self._wall_offset_s = time.time() - time.monotonic()

    def __call__(self) -> float:
        """The present time in ms."""
        return (self._wall_offset_s + time.monotonic()) * MS_PER_S


def wall_clock_ms() -> float:
    """The wall clock in ms. It may be set forwards or backwards at any time."""
    return time.time() * MS_PER_S
