"""Many sidecars and one discovery service that serves their queries in turn, on a simulated clock."""

from __future__ import annotations

import heapq
from random import Random

from limenotch.net.discovery.schedule import (
    Action,
    Connected,
    DiscoveryState,
    Event,
    LineReceived,
    ListReceived,
    TimerExpired,
    WatchEnded,
    WatchRequested,
    WatchState,
)

SILENCE_S = 2.5
REJECTION_S = 0.006  # the time that a rejection takes the service
ROUND_TRIP_S = 0.008


class DiscoveryQueue:
    """Serves queries in turn; a query that would wait longer than `max_wait_s` for its list is rejected at once."""

    def __init__(self, list_s: float, max_wait_s: float, busy_until: float) -> None:
        self._list_s, self._max_wait_s, self._free_at = list_s, max_wait_s, busy_until

    def query(self, now: float) -> float | None:
        """Returns when the list is sent; None: the query is rejected."""
        begin_at = max(self._free_at, now)
        if begin_at + self._list_s - now > self._max_wait_s:
            self._free_at = begin_at + REJECTION_S
            return None
        self._free_at = begin_at + self._list_s
        return self._free_at


class Sidecars:
    """Query schedules, each with its own random numbers, that all follow the same discovery service from the start."""

    def __init__(self, count: int, discovery: DiscoveryQueue, seed: int) -> None:
        self._discovery = discovery
        self.schedules = [DiscoveryState(SILENCE_S, Random(f"{seed}/{number}")) for number in range(count)]
        self.listed_at = [0.0] * count
        self._pending: list[tuple[float, int, int, Event, int]] = []  # time, order, sidecar, event, query
        self._order = 0
        self._latest_query = [0] * count
        for schedule in self.schedules:
            for event in (WatchRequested(), Connected(), ListReceived()):
                schedule.handle(0.0, event)

    def run(self, until_s: float) -> None:
        """Handles all events due by then; established watches get their empty lines in time."""
        while self._pending and self._pending[0][0] <= until_s:
            now, _, number, event, query = heapq.heappop(self._pending)
            if query in (0, self._latest_query[number]):
                self.handle(now, number, event)

    def handle(self, now: float, number: int, event: Event) -> None:
        """Handles an event of one sidecar and makes the queries that follow from it."""
        schedule = self.schedules[number]
        if isinstance(event, TimerExpired) and schedule.state is WatchState.FOLLOWING:
            event = LineReceived()
        if isinstance(event, ListReceived):
            self.listed_at[number] = now
        for action in schedule.handle(now, event):
            if action is Action.OPEN_WATCH:
                self._query(now, number)
        if schedule.timer_at is not None:
            self._schedule(schedule.timer_at, number, TimerExpired())

    def _query(self, now: float, number: int) -> None:
        self._latest_query[number] += 1
        listed_at = self._discovery.query(now)
        if listed_at is None:
            self._schedule(now + ROUND_TRIP_S, number, WatchEnded(), self._latest_query[number])
        else:
            self._schedule(listed_at, number, Connected(), self._latest_query[number])
            self._schedule(listed_at, number, ListReceived(), self._latest_query[number])

    def _schedule(self, due_at: float, number: int, event: Event, query: int = 0) -> None:
        self._order += 1
        heapq.heappush(self._pending, (due_at, self._order, number, event, query))


def list_waits_after_closed_watches(seed: int, closed_count: int) -> list[float]:
    """Waits in s for a new list, of `closed_count` sidecars whose watches close while reset watches are still served.

    The times are those of a recorded incident: of 16 watches 13 are reset at once and 3 after 1 s; discovery is busy
    for 1.4 s, then makes a list in 0.33 s, and closes some watches 4.8 s after the resets in place of sending a change.
    """
    reset_at, closed_at, until_s = 1.0, 5.76, 20.0
    sidecars = Sidecars(16, DiscoveryQueue(0.329, 1.0, busy_until=reset_at + 1.38), seed)
    later = set(Random(seed).sample(range(16), 3))
    sidecars.run(reset_at)
    for number in set(range(16)) - later:
        sidecars.handle(reset_at, number, WatchEnded())
    sidecars.run(reset_at + 1.0)
    for number in later:
        sidecars.handle(reset_at + 1.0, number, WatchEnded())
    sidecars.run(closed_at)
    following = [number for number, schedule in enumerate(sidecars.schedules) if schedule.state is WatchState.FOLLOWING]
    for number in following[:closed_count]:
        sidecars.handle(closed_at, number, WatchEnded(closed=True))
    sidecars.run(until_s)
    return [sidecars.listed_at[number] - closed_at for number in following[:closed_count]]
