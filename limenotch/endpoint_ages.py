"""When endpoints started, as ages by this process's own monotonic clock.

Endpoint lists give the start of an endpoint's process in Unix time, and wall clocks are set: that of the machine, by
which the lists are written too, or that of this process alone. A start is therefore turned into an age once, when it
is first listed, and the age is counted on from there. Of several ways to know an age the lowest counts, so that an
endpoint that has just started is never taken for one that is warmed up:

| the start against | wrong where |
| --- | --- |
| the wall clock as it is now | this process's clock alone was set |
| the wall clock read at this process's start, and monotonic time since | the machine's clock was set since then |
| the last message of discovery: what it did not list by then has started since | never, but there may be none |

So an age may be too low for as long as discovery was silent, and where a clock is wrong; the endpoint then goes
through slow start once more. It is too high only where this process begins with a clock that is ahead, for what its
first list gives. A process that takes another's place begins with the ages that its predecessor knew.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, Protocol

# Endpoints that are no longer listed but may come back as the same process; the oldest are forgotten first.
MAX_UNLISTED = 10_000


class ListedEndpoint(Protocol):
    """What is needed of an entry of the endpoint list."""

    @property
    def name(self) -> str:
        """The endpoint's name, unique in the list."""

    @property
    def started_ms(self) -> float:
        """Start of its process as listed, in ms of Unix time; 0: long ago."""


class Start(NamedTuple):
    """The start of one process behind an endpoint's name."""

    listed_ms: float  # as listed, in Unix time: tells two processes apart, and nothing else
    at_ms: float  # by the clock of this process


class EndpointAges:
    """Owns the starts of all endpoints that were listed. Times in ms."""

    def __init__(self, clock: Callable[[], float], wall: Callable[[], float]) -> None:
        """`clock` never runs back and began as Unix time; `wall` is Unix time as it is now."""
        self._clock = clock
        self._wall = wall
        self._listed: dict[str, Start] = {}
        self._unlisted: dict[str, Start] = {}

    def record_list(
        self, entries: Iterable[ListedEndpoint], complete: bool, silence_ms: float = math.inf
    ) -> list[float]:
        """The start of each entry by `clock`, 0 for those that started long ago.

        `complete`: entries that are missing are no longer listed. `silence_ms`: how long before this list discovery
        sent its last message; infinite if it sent none.
        """
        now = self._clock()
        wall_ahead_ms = self._wall() - now
        recorded: dict[str, Start] = {}
        start_times: list[float] = []
        for entry in entries:
            start = self._known_start(entry)
            if start is None:
                age_ms = self._lowest_age(now - entry.started_ms, wall_ahead_ms, silence_ms)
                start = Start(entry.started_ms, now - age_ms)
            recorded[entry.name] = start
            start_times.append(start.at_ms if entry.started_ms > 0 else 0.0)
        if complete:
            self._unlist(name for name in self._listed if name not in recorded)
            self._listed = recorded
        else:
            self._listed.update(recorded)
        for name in recorded:
            self._unlisted.pop(name, None)
        return start_times

    def _known_start(self, entry: ListedEndpoint) -> Start | None:
        start = self._listed.get(entry.name) or self._unlisted.get(entry.name)
        return start if start is not None and start.listed_ms == entry.started_ms else None

    @staticmethod
    def _lowest_age(age_by_clock_ms: float, wall_ahead_ms: float, silence_ms: float) -> float:
        return max(min(age_by_clock_ms, age_by_clock_ms + wall_ahead_ms, silence_ms), 0.0)

    def forget(self, names: Iterable[str]) -> None:
        """Endpoints of these names are no longer listed."""
        self._unlist(name for name in names if name in self._listed)

    def _unlist(self, names: Iterable[str]) -> None:
        for name in list(names):
            self._unlisted[name] = self._listed.pop(name)
        while len(self._unlisted) > MAX_UNLISTED:
            del self._unlisted[next(iter(self._unlisted))]

    def export_state(self) -> dict[str, list[float]]:
        """By name, the start as listed and the age, of those whose start is known: for this process's successor."""
        now = self._clock()
        return {
            name: [start.listed_ms, now - start.at_ms] for name, start in self._listed.items() if start.listed_ms > 0
        }

    def import_state(self, exported: Any) -> None:
        """Take what `export_state` gave in another process just now.

        Raises ValueError, with nothing taken, if it is not valid.
        """
        if not isinstance(exported, dict):
            raise ValueError("starts: no table")
        now = self._clock()
        starts = {name: Start(listed_ms, now - age_ms) for name, (listed_ms, age_ms) in map(_checked, exported.items())}
        self._listed.update(starts)


def _checked(item: tuple[Any, Any]) -> tuple[str, tuple[float, float]]:
    name, times = item
    if not (isinstance(name, str) and isinstance(times, list) and len(times) == 2):
        raise ValueError(f"starts: {name!r}")
    if not all(isinstance(number, (int, float)) and math.isfinite(number) and number >= 0 for number in times):
        raise ValueError(f"starts: {name!r}")
    return name, (float(times[0]), float(times[1]))
