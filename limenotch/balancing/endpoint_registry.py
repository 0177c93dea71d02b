"""Who there is to send to: what the list and the operators say, kept apart from what is decided on it."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from .endpoint_statistics import EndpointStatistics, LatencyProfile
from .events import MembershipKind, MembershipUpdate, OperatorEjection
from .types import Endpoint, EndpointState


class RegistryChanges(NamedTuple):
    """What a list, or a word of the operators, has changed."""

    changed: list[EndpointStatistics]  # new, or listed in another way than before
    removed: list[EndpointStatistics]  # gone, or another process now


class EndpointRegistry:
    """The upstreams listed, those banned by hand, and since when each one's process runs."""

    def __init__(self, random: Random) -> None:
        self.endpoints: dict[str, EndpointStatistics] = {}
        self.profiles: dict[int, LatencyProfile] = {}
        self.phase = 0.0  # of this balancer among those that send to a cold upstream
        self._banned: set[str] = set()  # listed or not
        self._back: dict[str, float] = {}  # when they came back from a ban
        self._doubted: set[EndpointStatistics] = set()  # at rest up to the next list
        self._random = random

    def apply_membership(self, now: float, event: MembershipUpdate, weights: bool) -> RegistryChanges:
        """The whole list, or what changed in it; `weights` says whether listed weights mean something."""
        changes = RegistryChanges([], [])
        if event.kind is MembershipKind.COMPLETE:
            listed = {at.name for at in event.endpoints}
            changes.removed.extend(
                self.endpoints.pop(name) for name in list(self.endpoints) if name not in listed
            )
        for at in event.endpoints:
            self._listed(now, at, at.weight if weights else 1.0, changes)
        for server in self._doubted:
            if server.suspected_draining:  # else it rests for another reason by now
                server.ejected_until, server.suspected_draining = 0.0, False
        self._doubted.clear()
        return changes

    def _listed(self, now: float, at: Endpoint, weight: float, changes: RegistryChanges) -> None:
        server = old = self.endpoints.get(at.name)
        if server is None or server.endpoint.started_ms != at.started_ms:
            server = self._new(at, now)
        elif (server.endpoint, server.listed_weight) == (at, weight):
            return
        server.endpoint, server.listed_weight = at, weight
        server.started_at = self._since(at)
        if old is not None and old is not server:
            changes.removed.append(old)
        if at.state is EndpointState.GONE:
            self.endpoints.pop(at.name, None)
            changes.removed.append(server)
        else:
            self.endpoints[at.name] = server
            changes.changed.append(server)

    def apply_ejection(self, now: float, event: OperatorEjection) -> RegistryChanges:
        """One that is back was restarted meanwhile: a new process, cold from then on."""
        old = self.endpoints.get(event.endpoint)
        if event.ejected:
            self._banned.add(event.endpoint)
            return RegistryChanges([old] if old is not None else [], [])
        self._banned.discard(event.endpoint)
        self._back[event.endpoint] = min(
            event.readmitted_at_ms, now
        )  # of an earlier process, whose clock may have been ahead
        if old is None:
            return RegistryChanges([], [])
        server = self.endpoints[event.endpoint] = self._new(old.endpoint, now)
        server.listed_weight = old.listed_weight
        server.started_at = self._since(old.endpoint)
        return RegistryChanges([server], [old])

    def _since(self, at: Endpoint) -> float:
        """When its process started, or was let back after that."""
        begun = at.started_ms if at.started_local_ms is None else at.started_local_ms
        return max(begun, self._back.get(at.name, 0.0))

    def accepts_requests(self, server: EndpointStatistics) -> bool:
        """Whether list and operators let it be sent to."""
        return server.endpoint.state is EndpointState.READY and server.endpoint.name not in self._banned

    def suspect_draining(self, server: EndpointStatistics) -> None:
        """It rests since the list may lack its drain: up to the next list."""
        server.suspected_draining = True
        self._doubted.add(server)

    def _new(self, at: Endpoint, now: float) -> EndpointStatistics:
        """A restart is a new process: nothing that its predecessor showed holds for it."""
        server = EndpointStatistics(at, self.profiles.setdefault(at.kind, LatencyProfile()), now, now)
        # Out of step, or all balancers' first calls would reach a new one at the same time; also with one seed.
        server.slow_start_credit = (self._random.random() + self.phase) % 1
        return server
