"""The directory (discovery service) of one tier: it lags, serves queries in turn, goes down, and loses entries.

A change of a provider becomes known here after a lag and is written to each watcher at that watcher's next period. A
watch starts with a query for the complete list. Queries are served one after another, and a query that would wait
longer than the time-out fails. When the directory goes down, all watches end, and queries fail while it is down.
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
    """Lags and service times of a directory, in ms."""

    add_ms: tuple[float, float] = (250.0, 1600.0)  # until a started provider is listed
    drain_ms: tuple[float, float] = (50.0, 300.0)  # until an announced drain is listed
    notice_ms: tuple[float, float] = (1900.0, 4900.0)  # until a death is noticed
    silent_ms: tuple[float, float] = (6300.0, 13000.0)  # until a silent machine is noticed
    period_ms: float = 500.0  # interval between updates to a watcher
    spread_ms: float = 50.0
    call_ms: float = 20.0  # time to serve a query of the complete list
    timeout_ms: float = 2000.0


@dataclass(frozen=True, slots=True)
class Entry:
    """An entry of the endpoint list."""

    name: str
    stage: str = "ready"  # ready, draining, gone
    zone: int = 0
    kind: int = 0
    group: int = 0
    weight: float = 1.0
    started_ms: float = 0.0


class ListUpdate(NamedTuple):
    """An update of the list that is written to a watcher: the complete list or changed entries."""

    watcher: Hashable
    complete: bool
    entries: tuple[Entry, ...]


class WatchFailed(NamedTuple):
    """The watch, or the query for it, has failed."""

    watcher: Hashable


@dataclass(slots=True)
class _Watch:
    phase_ms: float
    next_change_index: int = -1  # into the change log; -1: no update written yet
    due_at_ms: float = inf  # when the next update is written


class Directory:
    """A state machine; `run` must be called at the time that `next_event_ms` gives."""

    def __init__(self, spec: DirectorySpec, chance: Chance) -> None:
        self.spec, self._chance = spec, chance
        self.entries: dict[str, Entry] = {}  # as known here, without removed providers
        self.down = False
        self._change_log: list[Entry] = []  # all changes, in the order in which they became known
        self._watches: dict[Hashable, _Watch] = {}
        self._events: list[tuple[float, int, str, Any]] = []
        self._event_count = 0
        self._idle_at_ms = 0.0

    def add_initial(self, entry: Entry) -> None:
        """Lists a provider from the beginning of the run."""
        self.entries[entry.name] = entry
        self._change_log.append(entry)

    def schedule_change(self, now: float, entry: Entry, silent: bool = False) -> None:
        """A provider has changed; the change becomes known after the lag of its kind."""
        spec = self.spec
        lag_range_ms = {"ready": spec.add_ms, "draining": spec.drain_ms, "gone": spec.notice_ms}[entry.stage]
        if silent:
            lag_range_ms = spec.silent_ms
        self._schedule(now + self._chance.between(*lag_range_ms), "learn", entry)

    def forget_endpoint(self, now: float, name: str, duration_ms: float) -> None:
        """Loses the entry of a running provider and lists it again after `duration_ms`."""
        entry = self.entries.get(name)
        if entry is not None:
            self._schedule(now, "learn", replace(entry, stage="gone"))
            self._schedule(now + duration_ms, "learn", entry)

    def set_down(self, now: float, down: bool) -> None:
        """Takes the directory down, which ends all watches, or up again."""
        self.down = down
        if down:
            self._schedule(now, "end", None)

    def query(self, now: float, watcher: Hashable) -> None:
        """A query for the complete list and for a watch of all later changes."""
        start_ms = max(now, self._idle_at_ms)
        if self.down or start_ms + self.spec.call_ms - now > self.spec.timeout_ms:
            self._schedule(now + self.spec.timeout_ms if not self.down else now, "fail", watcher)
            return
        self._idle_at_ms = start_ms + self.spec.call_ms
        self._schedule(self._idle_at_ms, "serve", watcher)

    def remove_watcher(self, watcher: Hashable) -> None:
        """Ends a watch without a message."""
        self._watches.pop(watcher, None)

    def next_event_ms(self) -> float:
        """The time of the next event; inf if there is none."""
        return self._events[0][0] if self._events else inf

    def run(self, now: float) -> list[ListUpdate | WatchFailed]:
        """Handles all events up to `now` and returns the messages to watchers."""
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
                return  # outdated: the drain of this process is known already
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
