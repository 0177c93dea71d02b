"""When endpoints started, as ages by this process's own monotonic clock.

Lists tell the start of an endpoint's process in Unix time, and wall clocks are set: that of the machine, by which the
lists are written too, or that of this process alone. A start is therefore turned into an age once, when it is first
told, and the age is counted on from there. Of several ways to know an age the least counts, so that a fresh endpoint is
never met as warm:

| the start against | wrong where |
| --- | --- |
| the wall clock as it is now | this process's clock alone was set |
| the wall clock read at this process's start, and monotonic time since | the machine's clock was set since then |
| the last word of discovery: what it did not list by then has started since | never, but there may be none |

So an age may be too small for as long as discovery was late with its word, and where a clock is wrong; the endpoint is
then warmed up once more. It is too large only where this process begins with a clock that is ahead, for what its first
list tells. A process that takes another's place begins with the ages that its predecessor knew.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, Protocol

MOST_GONE = 10_000  # endpoints that are no longer listed but may come back, as the same process; the oldest go first


class ListedEndpoint(Protocol):
    """What is needed of a line of the list."""

    @property
    def name(self) -> str: ...

    @property
    def started_ms(self) -> float: ...


class Start(NamedTuple):
    """Of one process behind a name."""

    since_ms: float  # as listed, in Unix time: tells two processes apart, and nothing else
    at_ms: float  # by the clock of this process


class EndpointAges:
    """Owns the starts of all endpoints that were listed. Times in ms."""

    def __init__(self, clock: Callable[[], float], wall: Callable[[], float]) -> None:
        """`clock` never runs back and began as Unix time; `wall` is Unix time as it is now."""
        self._clock, self._wall = clock, wall
        self._listed: dict[str, Start] = {}
        self._gone: dict[str, Start] = {}

    def record_list(self, entries: Iterable[ListedEndpoint], whole: bool, unheard_ms: float = math.inf) -> list[float]:
        """The start of each entry by `clock`, 0 for those that started long ago.

        `unheard_ms`: how long before this list discovery had its last word; infinite if it had none.
        """
        now = self._clock()
        ahead = self._wall() - now
        found, starts = dict[str, Start](), list[float]()
        for entry in entries:
            start = self._known(entry)
            if start is None:
                start = Start(entry.started_ms, now - self._age(now - entry.started_ms, ahead, unheard_ms))
            found[entry.name] = start
            starts.append(start.at_ms if entry.started_ms > 0 else 0.0)
        if whole:
            self._forget(name for name in self._listed if name not in found)
            self._listed = found
        else:
            self._listed.update(found)
        for name in found:
            self._gone.pop(name, None)
        return starts

    def _known(self, entry: ListedEndpoint) -> Start | None:
        start = self._listed.get(entry.name) or self._gone.get(entry.name)
        return start if start is not None and start.since_ms == entry.started_ms else None

    @staticmethod
    def _age(by_clock: float, ahead: float, unheard_ms: float) -> float:
        return max(min(by_clock, by_clock + ahead, unheard_ms), 0.0)

    def forget(self, names: Iterable[str]) -> None:
        """These are no longer listed."""
        self._forget(name for name in names if name in self._listed)

    def _forget(self, names: Iterable[str]) -> None:
        for name in list(names):
            self._gone[name] = self._listed.pop(name)
        while len(self._gone) > MOST_GONE:
            del self._gone[next(iter(self._gone))]

    # For the process that takes this one's place

    def export_state(self) -> dict[str, list[float]]:
        """Name to the start as listed and the age, of those whose start is known."""
        now = self._clock()
        return {name: [start.since_ms, now - start.at_ms] for name, start in self._listed.items() if start.since_ms > 0}

    def import_state(self, told: Any) -> None:
        """What `told` gave in another process just now. Raises ValueError, with nothing taken, if it is not sound."""
        if not isinstance(told, dict):
            raise ValueError("starts: no table")
        now = self._clock()
        taken = {name: Start(since_ms, now - age_ms) for name, (since_ms, age_ms) in map(_checked, told.items())}
        self._listed.update(taken)


def _checked(row: tuple[Any, Any]) -> tuple[str, tuple[float, float]]:
    name, pair = row
    if not (isinstance(name, str) and isinstance(pair, list) and len(pair) == 2):
        raise ValueError(f"starts: {name!r}")
    if not all(isinstance(number, (int, float)) and math.isfinite(number) and number >= 0 for number in pair):
        raise ValueError(f"starts: {name!r}")
    return name, (float(pair[0]), float(pair[1]))
