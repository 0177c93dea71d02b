"""The ages of endpoints, by this process's own monotonic clock.

Endpoint lists give the start of an endpoint's process in Unix time. A wall clock may be set at any time: that of the
machine, which also timestamps the lists, or that of this process alone. A start is therefore converted to an age once,
when it is first listed, and from then on the age follows the monotonic clock. There are three estimates of an age. The
lowest is used, so that an endpoint that has just started never counts as warmed up:

| listed start compared with | wrong if |
| --- | --- |
| the wall clock as it is now | the clock of this process alone was set |
| the wall clock read at this process's start, plus monotonic time since | the machine's clock was set since then |
| the last message of discovery: an endpoint that it did not list has started since | never, but there may be none |

So an age may be too low, by the time that discovery was silent, or because a clock is wrong. The endpoint then goes
through slow start once more. An age is too high only if this process starts with a clock that is ahead, and only for
endpoints of its first list. A process that replaces another starts with the ages that its predecessor knew.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, Protocol

# Number of endpoints to remember that are no longer listed but may return as the same process. Oldest go first.
MAX_UNLISTED = 10_000


class ListedEndpoint(Protocol):
    """The fields of an entry of the endpoint list that are needed here."""

    @property
    def name(self) -> str:
        """The endpoint's name, unique in the list."""

    @property
    def started_ms(self) -> float:
        """Start of the endpoint's process as listed, in ms of Unix time; 0: long ago."""


class ProcessStart(NamedTuple):
    """The start of the process that has an endpoint's name."""

    listed_ms: float  # as listed, in Unix time: used only to distinguish two processes
    started_at_ms: float  # by the monotonic clock of this process


class EndpointAges:
    """Owns the starts of all listed endpoints. Times are in ms."""

    def __init__(self, clock: Callable[[], float], wall_clock: Callable[[], float]) -> None:
        """`clock` is Unix time that never runs backwards; `wall_clock` is Unix time as it is now."""
        self._clock = clock
        self._wall_clock = wall_clock
        self._listed: dict[str, ProcessStart] = {}
        self._unlisted: dict[str, ProcessStart] = {}

    def record_list(
        self, entries: Iterable[ListedEndpoint], complete: bool, silence_ms: float = math.inf
    ) -> list[float]:
        """Record an endpoint list; return the start of each entry by `clock`, or 0 if it started long ago.

        `complete`: endpoints that are missing from the list are no longer listed. `silence_ms`: the time between the
        previous message of discovery and this list; infinite if there was none.
        """
        now = self._clock()
        wall_ahead_ms = self._wall_clock() - now
        recorded: dict[str, ProcessStart] = {}
        start_times: list[float] = []
        for entry in entries:
            start = self._known_start(entry)
            if start is None:
                age_ms = self._lowest_age(now - entry.started_ms, wall_ahead_ms, silence_ms)
                start = ProcessStart(entry.started_ms, now - age_ms)
            recorded[entry.name] = start
            start_times.append(start.started_at_ms if entry.started_ms > 0 else 0.0)
        if complete:
            self._unlist(name for name in self._listed if name not in recorded)
            self._listed = recorded
        else:
            self._listed.update(recorded)
        for name in recorded:
            self._unlisted.pop(name, None)
        return start_times

    def _known_start(self, entry: ListedEndpoint) -> ProcessStart | None:
        start = self._listed.get(entry.name) or self._unlisted.get(entry.name)
        return start if start is not None and start.listed_ms == entry.started_ms else None

    @staticmethod
    def _lowest_age(age_by_clock_ms: float, wall_ahead_ms: float, silence_ms: float) -> float:
        return max(min(age_by_clock_ms, age_by_clock_ms + wall_ahead_ms, silence_ms), 0.0)

    def forget(self, names: Iterable[str]) -> None:
        """Record that endpoints of these names are no longer listed."""
        self._unlist(name for name in names if name in self._listed)

    def _unlist(self, names: Iterable[str]) -> None:
        for name in list(names):
            self._unlisted[name] = self._listed.pop(name)
        while len(self._unlisted) > MAX_UNLISTED:
            del self._unlisted[next(iter(self._unlisted))]

    def export_state(self) -> dict[str, list[float]]:
        """Export the known starts for the process that replaces this one: by name, the listed start and the age."""
        now = self._clock()
        return {
            name: [start.listed_ms, now - start.started_at_ms]
            for name, start in self._listed.items()
            if start.listed_ms > 0
        }

    def import_state(self, exported: Any) -> None:
        """Import what another process has just exported with `export_state`.

        Raises ValueError, and imports nothing, if it is not valid.
        """
        if not isinstance(exported, dict):
            raise ValueError("starts: expected an object")
        now = self._clock()
        starts = {
            name: ProcessStart(listed_ms, now - age_ms)
            for name, (listed_ms, age_ms) in map(_check_start, exported.items())
        }
        self._listed.update(starts)


def _check_start(item: tuple[Any, Any]) -> tuple[str, tuple[float, float]]:
    name, times = item
    if not (isinstance(name, str) and isinstance(times, list) and len(times) == 2):
        raise ValueError(f"starts: {name!r}: expected two times of 0 or more")
    if not all(isinstance(number, (int, float)) and math.isfinite(number) and number >= 0 for number in times):
        raise ValueError(f"starts: {name!r}: expected two times of 0 or more")
    return name, (float(times[0]), float(times[1]))
