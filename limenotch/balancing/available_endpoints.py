"""The endpoints that may be sent requests, in ring order, with sums over all of them.

A change costs time by what changed, not by the length of the list. Weights are listed weights; times are ms.
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
"""Hash of an endpoint's name, and the name."""


def ring_position(name: str) -> RingPosition:
    """Place of an endpoint in an order common to all balancers; similar names lie far apart."""
    return crc32(name.encode()), name


class EndpointsByLocality(NamedTuple):
    """Available endpoints by zone, each list in ring order."""

    local: list[EndpointStatistics]
    remote: list[EndpointStatistics]


class SortedEndpoints:
    """Endpoints in ring order."""

    def __init__(self) -> None:
        """Empty list."""
        self.endpoints: list[EndpointStatistics] = []
        self._positions: list[RingPosition] = []

    def add(self, endpoint: EndpointStatistics) -> None:
        """Insert an endpoint at its position."""
        position = ring_position(endpoint.endpoint.name)
        index = bisect_left(self._positions, position)
        self._positions.insert(index, position)
        self.endpoints.insert(index, endpoint)

    def remove(self, endpoint: EndpointStatistics) -> None:
        """Remove an endpoint, which must be there."""
        index = bisect_left(self._positions, ring_position(endpoint.endpoint.name))
        del self._positions[index]
        del self.endpoints[index]


@dataclass(slots=True)
class WeightSums:
    """Sums over the endpoints of one zone and kind; a warming one's capacity grows linearly with its age."""

    warm: float = 0.0  # weight
    warming: float = 0.0  # weight
    warming_started: float = 0.0  # weight times start in ms

    def capacity_at(self, now: float, slow_start: SlowStart) -> float:
        """Capacity of all of them, in units of warm weight."""
        if self.warming <= 0:
            return self.warm
        grown = (self.warming * now - self.warming_started) / slow_start.warmup_ms
        initial = slow_start.initial_capacity
        return self.warm + initial * self.warming + (1 - initial) * grown


@dataclass(slots=True, eq=False)
class CountedEndpoint:
    """An endpoint with the values by which it was added to the sums, so that the same are subtracted."""

    endpoint: EndpointStatistics
    zone: int
    profile: LatencyProfile
    weight: float
    groups: tuple[SortedEndpoints, ...]
    started: float | None = None  # start in ms; None: warm

    def __lt__(self, other: CountedEndpoint) -> bool:
        """Order of names, for equal times in the heap."""
        return self.endpoint.endpoint.name < other.endpoint.endpoint.name


class AvailableEndpoints:
    """Owns the available endpoints, their order and their sums."""

    def __init__(self, settings: BalancerSettings) -> None:
        """Empty set; valid while the settings' zone, cost of crossing zones and slow start stay the same."""
        self._slow_start = settings.slow_start
        self._zone = settings.zone if settings.cross_zone_cost > 0 else None
        self._entries: dict[EndpointStatistics, CountedEndpoint] = {}
        self._warming: list[tuple[float, CountedEndpoint]] = []  # heap by the time at which each is warm
        self._sums: dict[tuple[int, LatencyProfile], WeightSums] = {}
        self._scopes: dict[tuple[DedupScope, Hashable], SortedEndpoints] = {}
        self._zones: dict[int, int] = {}  # number of endpoints by zone
        self._local = SortedEndpoints()
        self._remote = SortedEndpoints()
        self.total_weight = 0.0
        self.warm_weight = 0.0
        self.warm_count = 0

    def __len__(self) -> int:
        """Number of available endpoints."""
        return len(self._entries)

    def __contains__(self, endpoint: EndpointStatistics) -> bool:
        """Whether the endpoint is available."""
        return endpoint in self._entries

    @property
    def by_locality(self) -> EndpointsByLocality:
        """Endpoints of the balancer's zone, and others; all are remote where crossing costs nothing."""
        return EndpointsByLocality(self._local.endpoints, self._remote.endpoints)

    @property
    def zone_count(self) -> int:
        """Number of zones with available endpoints."""
        return len(self._zones)

    def dedup_members(self, scope: DedupScope, key: Hashable) -> list[EndpointStatistics]:
        """Endpoints that recognise each other's executions of a request."""
        members = self._scopes.get((scope, key))
        return members.endpoints if members is not None else []

    def capacities(self, now: float) -> dict[tuple[int, LatencyProfile], float]:
        """Capacity by zone and kind, from listed weights and slow start alone, in units of warm weight."""
        self.warm_up(now)
        return {key: sums.capacity_at(now, self._slow_start) for key, sums in self._sums.items()}

    def warm_up(self, now: float) -> None:
        """Move the endpoints whose slow start is over to the warm sums."""
        while self._warming and self._warming[0][0] <= now:
            entry = heappop(self._warming)[1]
            if self._entries.get(entry.endpoint) is not entry:
                continue  # removed since
            sums = self._sums[entry.zone, entry.profile]
            sums.warming -= entry.weight
            sums.warming_started -= entry.weight * (entry.started or 0.0)
            sums.warm += entry.weight
            entry.started = None
            self._count_warm(entry, 1)

    def is_warm(self, endpoint: EndpointStatistics) -> bool:
        """Whether the endpoint is available and was warm at the latest `warm_up`."""
        entry = self._entries.get(endpoint)
        return entry is not None and entry.started is None

    def update(
        self, now: float, changed: Iterable[EndpointStatistics], removed: Iterable[EndpointStatistics]
    ) -> None:
        """Add or update the endpoints in `changed`, which are available; drop those in `removed`."""
        for endpoint in removed:
            self.remove(endpoint)
        # In ring order, so that a complete list is appended without moving entries.
        for endpoint in sorted(changed, key=lambda each: ring_position(each.endpoint.name)):
            self.remove(endpoint)
            self.add(now, endpoint)

    def add(self, now: float, endpoint: EndpointStatistics) -> None:
        """Add an endpoint that is not there yet."""
        entry = self._create_entry(endpoint)
        for group in entry.groups:
            group.add(endpoint)
        self._entries[endpoint] = entry
        self._zones[entry.zone] = self._zones.get(entry.zone, 0) + 1
        self.total_weight += entry.weight
        sums = self._sums.setdefault((entry.zone, entry.profile), WeightSums())
        if endpoint.warm_fraction(now, self._slow_start) < 1.0:
            entry.started = min(endpoint.started_at, now)
            sums.warming += entry.weight
            sums.warming_started += entry.weight * entry.started
            heappush(self._warming, (entry.started + self._slow_start.warmup_ms, entry))
        else:
            sums.warm += entry.weight
            self._count_warm(entry, 1)

    def _create_entry(self, endpoint: EndpointStatistics) -> CountedEndpoint:
        zone = endpoint.endpoint.zone
        by_locality = self._local if zone == self._zone else self._remote
        by_zone = self._scopes.setdefault((DedupScope.ZONE, zone), SortedEndpoints())
        by_cell = self._scopes.setdefault((DedupScope.CELL, endpoint.endpoint.cell), SortedEndpoints())
        groups = (by_locality, by_zone, by_cell)
        return CountedEndpoint(endpoint, zone, endpoint.profile, endpoint.listed_weight, groups)

    def remove(self, endpoint: EndpointStatistics) -> None:
        """Remove an endpoint; one that is not there is ignored."""
        entry = self._entries.pop(endpoint, None)
        if entry is None:
            return
        for group in entry.groups:
            group.remove(endpoint)
        self._zones[entry.zone] -= 1
        if not self._zones[entry.zone]:
            del self._zones[entry.zone]
        self.total_weight -= entry.weight
        sums = self._sums[entry.zone, entry.profile]
        if entry.started is None:
            sums.warm -= entry.weight
            self._count_warm(entry, -1)
        else:
            sums.warming -= entry.weight
            sums.warming_started -= entry.weight * entry.started

    def _count_warm(self, entry: CountedEndpoint, sign: int) -> None:
        self.warm_count += sign
        self.warm_weight += sign * entry.weight
