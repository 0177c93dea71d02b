"""The endpoints that discovery lists and operators allow; which of them is chosen is decided elsewhere."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from .endpoint_statistics import EndpointStatistics, LatencyProfile
from .events import MembershipKind, MembershipUpdate, OperatorEjection
from .types import Endpoint, EndpointState


class RegistryChanges(NamedTuple):
    """Endpoints that a membership update or an operator has changed."""

    changed: list[EndpointStatistics]  # new, or with another entry than before
    removed: list[EndpointStatistics]  # gone, or replaced by another process


class EndpointRegistry:
    """Listed endpoints by name, and those that operators ejected or readmitted."""

    def __init__(self, random: Random) -> None:
        """Empty registry; `random` spreads the first requests to started endpoints over time."""
        self.endpoints: dict[str, EndpointStatistics] = {}
        self.profiles: dict[int, LatencyProfile] = {}  # by the endpoints' kind
        self.phase = 0.0  # this balancer's offset in slow start among all balancers, 0 to 1
        self._ejected: set[str] = set()  # by operators; names that need not be listed
        self._readmitted_at: dict[str, float] = {}  # ms
        self._suspected: set[EndpointStatistics] = set()  # ejected until the next list
        self._random = random

    def apply_membership(self, now: float, event: MembershipUpdate, use_weights: bool) -> RegistryChanges:
        """Apply a complete or incremental endpoint list; without `use_weights` all weights are 1."""
        changes = RegistryChanges([], [])
        if event.kind is MembershipKind.COMPLETE:
            listed = {entry.name for entry in event.endpoints}
            unlisted = [name for name in self.endpoints if name not in listed]
            changes.removed.extend(self.endpoints.pop(name) for name in unlisted)
        for entry in event.endpoints:
            self._apply_entry(now, entry, entry.weight if use_weights else 1.0, changes)
        self._clear_suspicions()
        # An update may have several entries of one name: only the process of the last one is listed.
        listed_changes = [each for each in changes.changed if self._is_listed(each)]
        return RegistryChanges(listed_changes, changes.removed)

    def _is_listed(self, endpoint: EndpointStatistics) -> bool:
        return self.endpoints.get(endpoint.endpoint.name) is endpoint

    def apply_weights(self, use_weights: bool) -> None:
        """Use the weights of the list from now on, or 1 for all endpoints."""
        for endpoint in self.endpoints.values():
            endpoint.listed_weight = endpoint.endpoint.weight if use_weights else 1.0

    def _apply_entry(self, now: float, entry: Endpoint, weight: float, changes: RegistryChanges) -> None:
        old = self.endpoints.get(entry.name)
        if old is None or old.endpoint.started_ms != entry.started_ms:
            endpoint = self._create(entry, now)
        elif (old.endpoint, old.listed_weight) == (entry, weight):
            return
        else:
            endpoint = old
        endpoint.endpoint = entry
        endpoint.listed_weight = weight
        endpoint.started_at = self._started_at(entry)
        if old is not None and old is not endpoint:
            changes.removed.append(old)
        if entry.state is EndpointState.GONE:
            self.endpoints.pop(entry.name, None)
            changes.removed.append(endpoint)
        else:
            self.endpoints[entry.name] = endpoint
            changes.changed.append(endpoint)

    def _clear_suspicions(self) -> None:
        """End the ejections that waited for this list."""
        for endpoint in self._suspected:
            if endpoint.suspected_draining:  # otherwise it has been ejected for another reason since
                endpoint.ejected_until = 0.0
                endpoint.suspected_draining = False
        self._suspected.clear()

    def apply_ejection(self, now: float, event: OperatorEjection) -> RegistryChanges:
        """Eject or readmit an endpoint; a readmitted one counts as a new process, in slow start."""
        old = self.endpoints.get(event.endpoint)
        if event.ejected:
            self._ejected.add(event.endpoint)
            return RegistryChanges([old] if old is not None else [], [])
        self._ejected.discard(event.endpoint)
        # The time may come from an earlier process of the balancer, whose clock was ahead.
        self._readmitted_at[event.endpoint] = min(event.readmitted_at_ms, now)
        if old is None:
            return RegistryChanges([], [])
        endpoint = self._create(old.endpoint, now)
        endpoint.listed_weight = old.listed_weight
        endpoint.started_at = self._started_at(old.endpoint)
        self.endpoints[event.endpoint] = endpoint
        return RegistryChanges([endpoint], [old])

    def _started_at(self, entry: Endpoint) -> float:
        """Start of the endpoint's process, or its readmission if that is later; ms of the local clock."""
        started_ms = entry.started_ms if entry.started_local_ms is None else entry.started_local_ms
        return max(started_ms, self._readmitted_at.get(entry.name, 0.0))

    def accepts_requests(self, endpoint: EndpointStatistics) -> bool:
        """Whether the list and the operators allow requests to it."""
        entry = endpoint.endpoint
        return entry.state is EndpointState.READY and entry.name not in self._ejected

    def suspect_draining(self, endpoint: EndpointStatistics) -> None:
        """Mark an ejected endpoint as possibly draining; the next list ends its ejection."""
        endpoint.suspected_draining = True
        self._suspected.add(endpoint)

    def _create(self, entry: Endpoint, now: float) -> EndpointStatistics:
        """Statistics of a new process: observations of an earlier one do not hold for it."""
        profile = self.profiles.setdefault(entry.kind, LatencyProfile())
        endpoint = EndpointStatistics(entry, profile, now, now)
        # Offsets differ between balancers, also with equal seeds: their first requests do not coincide.
        endpoint.slow_start_credit = (self._random.random() + self.phase) % 1
        return endpoint
