"""The directory of one tier: it lags, serves its callers in turn, goes down, and may forget.

What happens to a provider becomes known here after a lag (`learns`), and is written to each watcher at that
watcher's next period. A new watch is a call for the whole list: calls are served one after another, and one that
has waited too long fails. When the directory is down, watches end and calls fail after their time.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, replace
from heapq import heappop, heappush
from math import inf
from typing import Any, NamedTuple

from .chance import Chance


@dataclass(frozen=True, slots=True)
class DirectorySpec:
    add_ms: tuple[float, float] = (250.0, 1600.0)  # until a provider that has started is listed
    drain_ms: tuple[float, float] = (50.0, 300.0)  # until a drain that was announced is listed
    notice_ms: tuple[float, float] = (1900.0, 4900.0)  # until a death is noticed
    silent_ms: tuple[float, float] = (6300.0, 13000.0)  # until a silent machine is noticed
    period_ms: float = 500.0  # how often a watcher is written to
    spread_ms: float = 50.0
    call_ms: float = 20.0  # work for one call of the whole list
    timeout_ms: float = 2000.0


@dataclass(frozen=True, slots=True)
class Entry:
    """One line of the list."""

    name: str
    stage: str = "ready"  # ready, draining, gone
    zone: int = 0
    kind: int = 0
    group: int = 0
    weight: float = 1.0
    started_ms: float = 0.0


class Tell(NamedTuple):
    """Written to a watcher now."""

    watcher: Hashable
    whole: bool
    entries: tuple[Entry, ...]


class Broken(NamedTuple):
    """The watch, or the call for it, has failed now."""

    watcher: Hashable


@dataclass(slots=True)
class _Watch:
    offset: float
    version: int = -1  # the latest change it has; -1: not served yet
    at: float = inf  # when it is written to next


class Directory:
    def __init__(self, spec: DirectorySpec, chance: Chance) -> None:
        self.spec, self._chance = spec, chance
        self.entries: dict[str, Entry] = {}  # as known here, those gone left out
        self.down = False
        self._changes: list[Entry] = []  # all of them, in the order known
        self._watches: dict[Hashable, _Watch] = {}
        self._todo: list[tuple[float, int, str, Any]] = []
        self._count = 0
        self._free_at = 0.0

    def known(self, entry: Entry) -> None:
        """Listed from the beginning."""
        self.entries[entry.name] = entry
        self._changes.append(entry)

    def happens(self, now: float, entry: Entry, silent: bool = False) -> None:
        """A provider has changed; it becomes known after the lag for that kind of change."""
        spec = self.spec
        lag = {"ready": spec.add_ms, "draining": spec.drain_ms, "gone": spec.notice_ms}[entry.stage]
        if silent:
            lag = spec.silent_ms
        self._put(now + self._chance.between(*lag), "learn", entry)

    def forget(self, now: float, name: str, for_ms: float) -> None:
        """It loses an entry that is alive, and finds it again."""
        entry = self.entries.get(name)
        if entry is not None:
            self._put(now, "learn", replace(entry, stage="gone"))
            self._put(now + for_ms, "learn", entry)

    def go_down(self, now: float, down: bool) -> None:
        self.down = down
        if down:
            self._put(now, "end", None)

    def ask(self, now: float, watcher: Hashable) -> None:
        """A call for the whole list and all changes from then on."""
        start = max(now, self._free_at)
        if self.down or start + self.spec.call_ms - now > self.spec.timeout_ms:
            self._put(now + self.spec.timeout_ms if not self.down else now, "fail", watcher)
            return
        self._free_at = start + self.spec.call_ms
        self._put(self._free_at, "serve", watcher)

    def leave(self, watcher: Hashable) -> None:
        self._watches.pop(watcher, None)

    def due(self) -> float:
        return self._todo[0][0] if self._todo else inf

    def run(self, now: float) -> list[Tell | Broken]:
        told: list[Tell | Broken] = []
        while self._todo and self._todo[0][0] <= now:
            at, _, what, about = heappop(self._todo)
            if what == "learn":
                self._learn(at, about)
            elif what == "write":
                self._write(about, told)
            elif what == "serve":
                self._serve(at, about, told)
            elif what == "fail":
                told.append(Broken(about))
            else:
                told += [Broken(watcher) for watcher in self._watches]
                self._watches.clear()
        return told

    def _put(self, at: float, what: str, about: Any) -> None:
        self._count += 1
        heappush(self._todo, (at, self._count, what, about))

    def _learn(self, now: float, entry: Entry) -> None:
        if entry.stage == "gone":
            if self.entries.pop(entry.name, None) is None:
                return
        else:
            held = self.entries.get(entry.name)
            if held is not None and held.stage == "draining" and entry.started_ms == held.started_ms:
                return  # news that were overtaken
            self.entries[entry.name] = entry
        self._changes.append(entry)
        for name, watch in self._watches.items():
            if watch.at == inf:
                self._plan(now, name, watch)

    def _plan(self, now: float, watcher: Hashable, watch: _Watch) -> None:
        period = self.spec.period_ms
        ahead = (watch.offset - now) % period if period > 0 else 0.0
        watch.at = now + ahead + self.spec.spread_ms * self._chance.uniform()
        self._put(watch.at, "write", watcher)

    def _write(self, watcher: Hashable, told: list[Tell | Broken]) -> None:
        watch = self._watches.get(watcher)
        if watch is None or watch.at == inf:
            return
        watch.at = inf
        changed = self._changes[watch.version :]
        watch.version = len(self._changes)
        latest = {entry.name: entry for entry in changed}
        if latest:
            told.append(Tell(watcher, False, tuple(latest.values())))

    def _serve(self, now: float, watcher: Hashable, told: list[Tell | Broken]) -> None:
        if self.down:
            told.append(Broken(watcher))
            return
        self._watches[watcher] = _Watch(self.spec.period_ms * self._chance.uniform(), len(self._changes))
        told.append(Tell(watcher, True, tuple(self.entries.values())))
