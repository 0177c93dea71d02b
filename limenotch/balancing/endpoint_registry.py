"""The endpoints that discovery lists, and which of them operators have ejected. Makes no selection."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from .endpoint_statistics import EndpointStatistics, LatencyProfile
from .events import MembershipKind, MembershipUpdate, OperatorEjection
from .types import Endpoint, EndpointState


class RegistryChanges(NamedTuple):
    """Endpoints changed by one membership update or by an operator."""

    changed: list[EndpointStatistics]  # new, or with a changed entry
    removed: list[EndpointStatistics]  # no longer listed, or replaced by another process


class EndpointRegistry:
    """Owns the listed endpoints by name, and the names that operators have ejected or readmitted."""

    def __init__(self, random: Random) -> None:
        """Start empty. `random` spreads the balancers' first requests to a new endpoint over time."""
        self.endpoints: dict[str, EndpointStatistics] = {}
        self.profiles: dict[int, LatencyProfile] = {}  # by kind of endpoint
        self.phase = 0.0  # offset of this balancer's slow-start credit among all balancers, 0 to 1
        self._ejected: set[str] = set()  # names ejected by operators; they need not be listed
        self._readmitted_at: dict[str, float] = {}  # by name, in ms
        self._suspected: set[EndpointStatistics] = set()  # possibly draining; ejected until the next list
        self._random = random

    def apply_membership(self, now: float, event: MembershipUpdate, use_weights: bool) -> RegistryChanges:
        """Apply a complete or incremental endpoint list. Without `use_weights` all weights are 1."""
        changes = RegistryChanges([], [])
        if event.kind is MembershipKind.COMPLETE:
            listed = {entry.name for entry in event.endpoints}
            unlisted = [name for name in self.endpoints if name not in listed]
            changes.removed.extend(self.endpoints.pop(name) for name in unlisted)
        for entry in event.endpoints:
            self._apply_entry(now, entry, entry.weight if use_weights else 1.0, changes)
        self._clear_suspicions()
        # An update may have several entries of one name: only the process of the last entry stays listed.
        listed_changes = [each for each in changes.changed if self._is_listed(each)]
        return RegistryChanges(listed_changes, changes.removed)

    def _is_listed(self, endpoint: EndpointStatistics) -> bool:
        return self.endpoints.get(endpoint.endpoint.name) is endpoint

    def apply_weights(self, use_weights: bool) -> None:
        """From now on use the listed weights, or weight 1 for all endpoints."""
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
        """End the ejections that were to last until the next endpoint list."""
        for endpoint in self._suspected:
            if endpoint.suspected_draining:  # otherwise it has since been ejected for another reason
                endpoint.ejected_until = 0.0
                endpoint.suspected_draining = False
        self._suspected.clear()

    def apply_ejection(self, now: float, event: OperatorEjection) -> RegistryChanges:
        """Eject or readmit an endpoint. A readmitted endpoint counts as a new process, in slow start."""
        old = self.endpoints.get(event.endpoint)
        if event.ejected:
            self._ejected.add(event.endpoint)
            return RegistryChanges([old] if old is not None else [], [])
        self._ejected.discard(event.endpoint)
        # An earlier process of the balancer, whose clock was ahead, may have recorded the time.
        self._readmitted_at[event.endpoint] = min(event.readmitted_at_ms, now)
        if old is None:
            return RegistryChanges([], [])
        endpoint = self._create(old.endpoint, now)
        endpoint.listed_weight = old.listed_weight
        endpoint.started_at = self._started_at(old.endpoint)
        self.endpoints[event.endpoint] = endpoint
        return RegistryChanges([endpoint], [old])

    def _started_at(self, entry: Endpoint) -> float:
        """Start of the endpoint's process or its readmission, whichever is later, in ms of the local clock."""
        started_ms = entry.started_ms if entry.started_local_ms is None else entry.started_local_ms
        return max(started_ms, self._readmitted_at.get(entry.name, 0.0))

    def accepts_requests(self, endpoint: EndpointStatistics) -> bool:
        """Whether the endpoint is listed as ready and not ejected by an operator."""
        entry = endpoint.endpoint
        return entry.state is EndpointState.READY and entry.name not in self._ejected

    def suspect_draining(self, endpoint: EndpointStatistics) -> None:
        """Mark an ejected endpoint as possibly draining, so that the next list ends its ejection."""
        endpoint.suspected_draining = True
        self._suspected.add(endpoint)

    def _create(self, entry: Endpoint, now: float) -> EndpointStatistics:
        """Create the statistics of a new process. Observations of an earlier process do not apply to it."""
        profile = self.profiles.setdefault(entry.kind, LatencyProfile())
        endpoint = EndpointStatistics(entry, profile, now, now)
        # Offsets differ between balancers even with equal seeds, so that first requests do not coincide.
        endpoint.slow_start_credit = (self._random.random() + self.phase) % 1
        return endpoint
