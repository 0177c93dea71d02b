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


class ListUpdate(NamedTuple):
    """Written to a watcher now."""

    watcher: Hashable
    complete: bool
    entries: tuple[Entry, ...]


class WatchFailed(NamedTuple):
    """The watch, or the call for it, has failed now."""

    watcher: Hashable


@dataclass(slots=True)
class _Watch:
    phase_ms: float
    next_change_index: int = -1  # the latest change it has; -1: not served yet
    due_at_ms: float = inf  # when it is written to next


class Directory:
    def __init__(self, spec: DirectorySpec, chance: Chance) -> None:
        self.spec, self._chance = spec, chance
        self.entries: dict[str, Entry] = {}  # as known here, those gone left out
        self.down = False
        self._change_log: list[Entry] = []  # all of them, in the order known
        self._watches: dict[Hashable, _Watch] = {}
        self._events: list[tuple[float, int, str, Any]] = []
        self._event_count = 0
        self._idle_at_ms = 0.0

    def add_initial(self, entry: Entry) -> None:
        """Listed from the beginning."""
        self.entries[entry.name] = entry
        self._change_log.append(entry)

    def schedule_change(self, now: float, entry: Entry, silent: bool = False) -> None:
        """A provider has changed; it becomes known after the lag for that kind of change."""
        spec = self.spec
        lag_range_ms = {"ready": spec.add_ms, "draining": spec.drain_ms, "gone": spec.notice_ms}[entry.stage]
        if silent:
            lag_range_ms = spec.silent_ms
        self._schedule(now + self._chance.between(*lag_range_ms), "learn", entry)

    def forget_endpoint(self, now: float, name: str, duration_ms: float) -> None:
        """It loses an entry that is alive, and finds it again."""
        entry = self.entries.get(name)
        if entry is not None:
            self._schedule(now, "learn", replace(entry, stage="gone"))
            self._schedule(now + duration_ms, "learn", entry)

    def set_down(self, now: float, down: bool) -> None:
        self.down = down
        if down:
            self._schedule(now, "end", None)

    def query(self, now: float, watcher: Hashable) -> None:
        """A call for the whole list and all changes from then on."""
        start_ms = max(now, self._idle_at_ms)
        if self.down or start_ms + self.spec.call_ms - now > self.spec.timeout_ms:
            self._schedule(now + self.spec.timeout_ms if not self.down else now, "fail", watcher)
            return
        self._idle_at_ms = start_ms + self.spec.call_ms
        self._schedule(self._idle_at_ms, "serve", watcher)

    def remove_watcher(self, watcher: Hashable) -> None:
        self._watches.pop(watcher, None)

    def next_event_ms(self) -> float:
        return self._events[0][0] if self._events else inf

    def run(self, now: float) -> list[ListUpdate | WatchFailed]:
        updates: list[ListUpdate | WatchFailed] = []
        while self._events and self._events[0][0] <= now:
            due_at_ms, _, kind, subject = heappop(self._events)
            if kind == "learn":
                self._apply_change(due_at_ms, subject)
            elif kind == "write":
                self._write_update(subject, updates)
            elif kind == "serve":
                self._answer_query(due_at_ms, subject, updates)
            elif kind == "fail":
                updates.append(WatchFailed(subject))
            else:
                updates += [WatchFailed(watcher) for watcher in self._watches]
                self._watches.clear()
        return updates

    def _schedule(self, due_at_ms: float, kind: str, subject: Any) -> None:
        self._event_count += 1
        heappush(self._events, (due_at_ms, self._event_count, kind, subject))

    def _apply_change(self, now: float, entry: Entry) -> None:
        if entry.stage == "gone":
            if self.entries.pop(entry.name, None) is None:
                return
        else:
            current = self.entries.get(entry.name)
            if current is not None and current.stage == "draining" and entry.started_ms == current.started_ms:
                return  # news that were overtaken
            self.entries[entry.name] = entry
        self._change_log.append(entry)
        for name, watch in self._watches.items():
            if watch.due_at_ms == inf:
                self._schedule_write(now, name, watch)

    def _schedule_write(self, now: float, watcher: Hashable, watch: _Watch) -> None:
        period = self.spec.period_ms
        until_next_ms = (watch.phase_ms - now) % period if period > 0 else 0.0
        watch.due_at_ms = now + until_next_ms + self.spec.spread_ms * self._chance.uniform()
        self._schedule(watch.due_at_ms, "write", watcher)

    def _write_update(self, watcher: Hashable, updates: list[ListUpdate | WatchFailed]) -> None:
        watch = self._watches.get(watcher)
        if watch is None or watch.due_at_ms == inf:
            return
        watch.due_at_ms = inf
        changed = self._change_log[watch.next_change_index :]
        watch.next_change_index = len(self._change_log)
        latest = {entry.name: entry for entry in changed}
        if latest:
            updates.append(ListUpdate(watcher, False, tuple(latest.values())))

    def _answer_query(self, now: float, watcher: Hashable, updates: list[ListUpdate | WatchFailed]) -> None:
        if self.down:
            updates.append(WatchFailed(watcher))
            return
        self._watches[watcher] = _Watch(self.spec.period_ms * self._chance.uniform(), len(self._change_log))
        updates.append(ListUpdate(watcher, True, tuple(self.entries.values())))
