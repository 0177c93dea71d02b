"""The endpoints to which requests may be sent, in ring order, with sums of their capacity.

The cost of an update grows with the number of changed endpoints, not with the length of the list. Weights are
those of the endpoint list; times are in ms.
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
    """Position of an endpoint in the order that all balancers use; endpoints of similar names lie far apart."""
    return crc32(name.encode()), name


class EndpointsByLocality(NamedTuple):
    """Available endpoints by zone, each list in ring order."""

    local: list[EndpointStatistics]
    remote: list[EndpointStatistics]


class SortedEndpoints:
    """Endpoints in ring order."""

    def __init__(self) -> None:
        """Start with no endpoints."""
        self.endpoints: list[EndpointStatistics] = []
        self._positions: list[RingPosition] = []

    def add(self, endpoint: EndpointStatistics) -> None:
        """Insert an endpoint at its position."""
        position = ring_position(endpoint.endpoint.name)
        index = bisect_left(self._positions, position)
        self._positions.insert(index, position)
        self.endpoints.insert(index, endpoint)

    def remove(self, endpoint: EndpointStatistics) -> None:
        """Remove an endpoint, which must be in the list."""
        index = bisect_left(self._positions, ring_position(endpoint.endpoint.name))
        del self._positions[index]
        del self.endpoints[index]


@dataclass(slots=True)
class WeightSums:
    """Sums over the endpoints of one zone and kind. In slow start, capacity grows linearly with age."""

    warm: float = 0.0  # sum of the weights of endpoints past slow start
    warming: float = 0.0  # sum of the weights of endpoints in slow start
    warming_start_sum: float = 0.0  # sum of weight times process start in ms, of endpoints in slow start

    def capacity_at(self, now: float, slow_start: SlowStart) -> float:
        """Capacity of all these endpoints at `now`, in units of the weight of warm endpoints."""
        if self.warming <= 0:
            return self.warm
        warmed_weight = (self.warming * now - self.warming_start_sum) / slow_start.warmup_ms
        initial = slow_start.initial_capacity
        return self.warm + initial * self.warming + (1 - initial) * warmed_weight


@dataclass(slots=True, eq=False)
class CountedEndpoint:
    """An endpoint with the values that were added to the sums for it, so that the same values are subtracted."""

    endpoint: EndpointStatistics
    zone: int
    profile: LatencyProfile
    weight: float
    groups: tuple[SortedEndpoints, ...]
    started: float | None = None  # start of its slow start in ms; None once it is warm

    def __lt__(self, other: CountedEndpoint) -> bool:
        """Order by name, for entries with equal times in the heap."""
        return self.endpoint.endpoint.name < other.endpoint.endpoint.name


class AvailableEndpoints:
    """Owns the available endpoints, their ring order and the sums over them."""

    def __init__(self, settings: BalancerSettings) -> None:
        """Start empty. Create a new object when the settings' zone, cross-zone cost or slow start change."""
        self._slow_start = settings.slow_start
        self._zone = settings.zone if settings.cross_zone_cost > 0 else None
        self._entries: dict[EndpointStatistics, CountedEndpoint] = {}
        self._warming: list[tuple[float, CountedEndpoint]] = []  # heap by the time at which slow start ends
        self._sums: dict[tuple[int, LatencyProfile], WeightSums] = {}
        self._dedup_groups: dict[tuple[DedupScope, Hashable], SortedEndpoints] = {}
        self._zone_counts: dict[int, int] = {}  # number of endpoints by zone
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
        """Endpoints of the balancer's zone, and the others. All are remote if crossing zones has no cost."""
        return EndpointsByLocality(self._local.endpoints, self._remote.endpoints)

    @property
    def zone_count(self) -> int:
        """Number of zones with available endpoints."""
        return len(self._zone_counts)

    def dedup_members(self, scope: DedupScope, key: Hashable) -> list[EndpointStatistics]:
        """Endpoints of the deduplication group `key`, which drop duplicates of each other's requests."""
        members = self._dedup_groups.get((scope, key))
        return members.endpoints if members is not None else []

    def capacities(self, now: float) -> dict[tuple[int, LatencyProfile], float]:
        """Capacity by zone and kind, by listed weights and slow start alone, in units of warm weight."""
        self.warm_up(now)
        return {key: sums.capacity_at(now, self._slow_start) for key, sums in self._sums.items()}

    def warm_up(self, now: float) -> None:
        """Move the endpoints whose slow start is over to the warm sums."""
        while self._warming and self._warming[0][0] <= now:
            entry = heappop(self._warming)[1]
            if self._entries.get(entry.endpoint) is not entry:
                continue  # it has been removed or replaced since
            sums = self._sums[entry.zone, entry.profile]
            sums.warming -= entry.weight
            sums.warming_start_sum -= entry.weight * (entry.started or 0.0)
            sums.warm += entry.weight
            entry.started = None
            self._count_warm(entry, 1)

    def is_warm(self, endpoint: EndpointStatistics) -> bool:
        """Whether the endpoint is available and past slow start, as of the latest call of `warm_up`."""
        entry = self._entries.get(endpoint)
        return entry is not None and entry.started is None

    def update(
        self, now: float, changed: Iterable[EndpointStatistics], removed: Iterable[EndpointStatistics]
    ) -> None:
        """Add or update the endpoints in `changed`, all of them available, and remove those in `removed`."""
        for endpoint in removed:
            self.remove(endpoint)
        # In ring order, so that the endpoints of a complete list are appended without moving others.
        for endpoint in sorted(changed, key=lambda each: ring_position(each.endpoint.name)):
            self.remove(endpoint)
            self.add(now, endpoint)

    def add(self, now: float, endpoint: EndpointStatistics) -> None:
        """Add an endpoint that is not available yet."""
        entry = self._create_entry(endpoint)
        for group in entry.groups:
            group.add(endpoint)
        self._entries[endpoint] = entry
        self._zone_counts[entry.zone] = self._zone_counts.get(entry.zone, 0) + 1
        self.total_weight += entry.weight
        sums = self._sums.setdefault((entry.zone, entry.profile), WeightSums())
        if endpoint.warm_fraction(now, self._slow_start) < 1.0:
            entry.started = min(endpoint.started_at, now)
            sums.warming += entry.weight
            sums.warming_start_sum += entry.weight * entry.started
            heappush(self._warming, (entry.started + self._slow_start.warmup_ms, entry))
        else:
            sums.warm += entry.weight
            self._count_warm(entry, 1)

    def _create_entry(self, endpoint: EndpointStatistics) -> CountedEndpoint:
        zone = endpoint.endpoint.zone
        by_locality = self._local if zone == self._zone else self._remote
        by_zone = self._dedup_groups.setdefault((DedupScope.ZONE, zone), SortedEndpoints())
        by_cell = self._dedup_groups.setdefault((DedupScope.CELL, endpoint.endpoint.cell), SortedEndpoints())
        groups = (by_locality, by_zone, by_cell)
        return CountedEndpoint(endpoint, zone, endpoint.profile, endpoint.listed_weight, groups)

    def remove(self, endpoint: EndpointStatistics) -> None:
        """Remove an endpoint. Does nothing if it is not available."""
        entry = self._entries.pop(endpoint, None)
        if entry is None:
            return
        for group in entry.groups:
            group.remove(endpoint)
        self._zone_counts[entry.zone] -= 1
        if not self._zone_counts[entry.zone]:
            del self._zone_counts[entry.zone]
        self.total_weight -= entry.weight
        sums = self._sums[entry.zone, entry.profile]
        if entry.started is None:
            sums.warm -= entry.weight
            self._count_warm(entry, -1)
        else:
            sums.warming -= entry.weight
            sums.warming_start_sum -= entry.weight * entry.started

    def _count_warm(self, entry: CountedEndpoint, sign: int) -> None:
        self.warm_count += sign
        self.warm_weight += sign * entry.weight
