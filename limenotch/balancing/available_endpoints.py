"""The endpoints that may be sent to, in order, with the sums that decisions need of all of them.

Each change of the list is worked in by itself: what it costs grows with what changed, not with the list. Weights are
those of the list; times are in ms.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from heapq import heappop, heappush
from typing import NamedTuple
from zlib import crc32

from .endpoint_statistics import EndpointStatistics, LatencyProfile
from .types import BalancerSettings, DedupScope, SlowStart

RingPosition = tuple[int, str]


def ring_position(name: str) -> RingPosition:
    """Where an endpoint stands in an order that all balancers agree on, far from those with a similar name."""
    return crc32(name.encode()), name


class EndpointsByLocality(NamedTuple):
    """Available endpoints by zone, each list in ring order."""

    local: list[EndpointStatistics]
    remote: list[EndpointStatistics]


class SortedEndpoints:
    """Endpoints sorted by their places."""

    def __init__(self) -> None:
        self.endpoints: list[EndpointStatistics] = []
        self._places: list[RingPosition] = []

    def add(self, server: EndpointStatistics) -> None:
        place = ring_position(server.endpoint.name)
        index = bisect_left(self._places, place)
        self._places.insert(index, place)
        self.endpoints.insert(index, server)

    def remove(self, server: EndpointStatistics) -> None:
        index = bisect_left(self._places, ring_position(server.endpoint.name))
        del self._places[index], self.endpoints[index]


@dataclass(slots=True)
class WeightSums:
    """Of the endpoints of one zone and kind; the capacity of a cold one grows evenly with its age."""

    warm: float = 0.0
    warming: float = 0.0
    warming_started: float = 0.0  # sum of weight times start

    def capacity_at(self, now: float, cold: SlowStart) -> float:
        """What all of them can do, in weights of warm ones."""
        if self.warming <= 0:
            return self.warm
        grown = (self.warming * now - self.warming_started) / cold.warmup_ms
        return self.warm + cold.initial_capacity * self.warming + (1 - cold.initial_capacity) * grown


@dataclass(slots=True, eq=False)
class CountedEndpoint:
    """One endpoint as it was counted, so that the same is taken off again."""

    endpoint: EndpointStatistics
    zone: int
    profile: LatencyProfile
    weight: float
    groups: tuple[SortedEndpoints, ...]
    started: float | None = None  # of a cold one

    def __lt__(self, other: CountedEndpoint) -> bool:
        return self.endpoint.endpoint.name < other.endpoint.endpoint.name


class AvailableEndpoints:
    """Owns the order of the endpoints that may be sent to."""

    def __init__(self, settings: BalancerSettings) -> None:
        """For as long as the settings tell the same zone and the same start."""
        self._cold = settings.slow_start
        self._zone = settings.zone if settings.cross_zone_cost > 0 else None
        self._entries: dict[EndpointStatistics, CountedEndpoint] = {}
        self._warming: list[tuple[float, CountedEndpoint]] = []  # a heap: when each cold one is warm
        self._weights: dict[tuple[int, LatencyProfile], WeightSums] = {}
        self._scopes: dict[tuple[DedupScope, Hashable], SortedEndpoints] = {}
        self._zones: dict[int, int] = {}  # how many in each
        self._own, self._others = SortedEndpoints(), SortedEndpoints()
        self.total_weight = 0.0
        self.warm_weight = 0.0
        self.warm_count = 0  # how many

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, server: EndpointStatistics) -> bool:
        return server in self._entries

    @property
    def by_locality(self) -> EndpointsByLocality:
        """Endpoints of the balancer's zone, and others; all are remote where crossing costs nothing."""
        return EndpointsByLocality(self._own.endpoints, self._others.endpoints)

    @property
    def zone_count(self) -> int:
        """How many zones there are."""
        return len(self._zones)

    def dedup_members(self, scope: DedupScope, key: Hashable) -> list[EndpointStatistics]:
        """Those that drop each other's repeats."""
        found = self._scopes.get((scope, key))
        return found.endpoints if found is not None else []

    def capacities(self, now: float) -> dict[tuple[int, LatencyProfile], float]:
        """By zone and kind, what all can do by the list alone, in weights of warm ones."""
        self.warm_up(now)
        return {key: weights.capacity_at(now, self._cold) for key, weights in self._weights.items()}

    def warm_up(self, now: float) -> None:
        """Those that are warm by now; of those that have left nothing is counted any more."""
        while self._warming and self._warming[0][0] <= now:
            entry = heappop(self._warming)[1]
            if self._entries.get(entry.endpoint) is not entry:
                continue
            weights = self._weights[entry.zone, entry.profile]
            weights.warming -= entry.weight
            weights.warming_started -= entry.weight * (entry.started or 0.0)
            weights.warm += entry.weight
            entry.started = None
            self._count_warm(entry, 1)

    def is_warm(self, server: EndpointStatistics) -> bool:
        """By the latest `warm_up`."""
        entry = self._entries.get(server)
        return entry is not None and entry.started is None

    def update(
        self, now: float, changed: Iterable[EndpointStatistics], left: Iterable[EndpointStatistics]
    ) -> None:
        """`changed` may be sent to, as they are now; `left` may no more, or are other processes now."""
        for server in left:
            self.remove(server)
        for server in sorted(
            changed, key=lambda server: ring_position(server.endpoint.name)
        ):  # a whole list is appended
            self.remove(server)
            self.add(now, server)

    def add(self, now: float, server: EndpointStatistics) -> None:
        at = server.endpoint
        own = self._own if at.zone == self._zone else self._others
        keys = ((DedupScope.ZONE, at.zone), (DedupScope.CELL, at.cell))
        groups = (own, *(self._scopes.setdefault(key, SortedEndpoints()) for key in keys))
        entry = CountedEndpoint(server, at.zone, server.profile, server.listed_weight, groups)
        for ordered in groups:
            ordered.add(server)
        self._entries[server] = entry
        self._zones[at.zone] = self._zones.get(at.zone, 0) + 1
        self.total_weight += entry.weight
        weights = self._weights.setdefault((entry.zone, entry.profile), WeightSums())
        if server.warm_fraction(now, self._cold) < 1.0:
            entry.started = min(server.started_at, now)
            weights.warming += entry.weight
            weights.warming_started += entry.weight * entry.started
            heappush(self._warming, (entry.started + self._cold.warmup_ms, entry))
        else:
            weights.warm += entry.weight
            self._count_warm(entry, 1)

    def remove(self, server: EndpointStatistics) -> None:
        """Nothing for one that is not here."""
        entry = self._entries.pop(server, None)
        if entry is None:
            return
        for ordered in entry.groups:
            ordered.remove(server)
        self._zones[entry.zone] -= 1
        if not self._zones[entry.zone]:
            del self._zones[entry.zone]
        self.total_weight -= entry.weight
        weights = self._weights[entry.zone, entry.profile]
        if entry.started is None:
            weights.warm -= entry.weight
            self._count_warm(entry, -1)
        else:
            weights.warming -= entry.weight
            weights.warming_started -= entry.weight * entry.started

    def _count_warm(self, entry: CountedEndpoint, count: int) -> None:
        self.warm_count += count
        self.warm_weight += count * entry.weight
