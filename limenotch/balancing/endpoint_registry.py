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
    left: list[EndpointStatistics]  # gone, or another process now


class EndpointRegistry:
    """The upstreams listed, those banned by hand, and since when each one's process runs."""

    def __init__(self, random: Random) -> None:
        self.servers: dict[str, EndpointStatistics] = {}
        self.kinds: dict[int, LatencyProfile] = {}
        self.turn = 0.0  # of this balancer among those that send to a cold upstream
        self._banned: set[str] = set()  # listed or not
        self._back: dict[str, float] = {}  # when they came back from a ban
        self._doubted: set[EndpointStatistics] = set()  # at rest up to the next list
        self._random = random

    def heard(self, now: float, event: MembershipUpdate, weights: bool) -> RegistryChanges:
        """The whole list, or what changed in it; `weights` says whether listed weights mean something."""
        changes = RegistryChanges([], [])
        if event.listing is MembershipKind.WHOLE:
            listed = {at.name for at in event.upstreams}
            changes.left.extend(self.servers.pop(name) for name in list(self.servers) if name not in listed)
        for at in event.upstreams:
            self._listed(now, at, at.weight if weights else 1.0, changes)
        for server in self._doubted:
            if server.doubted:  # else it rests for another reason by now
                server.rests, server.doubted = 0.0, False
        self._doubted.clear()
        return changes

    def _listed(self, now: float, at: Endpoint, weight: float, changes: RegistryChanges) -> None:
        server = old = self.servers.get(at.name)
        if server is None or server.at.started_ms != at.started_ms:
            server = self._new(at, now)
        elif (server.at, server.weight) == (at, weight):
            return
        server.at, server.weight = at, weight
        server.since = self._since(at)
        if old is not None and old is not server:
            changes.left.append(old)
        if at.stage is EndpointState.GONE:
            self.servers.pop(at.name, None)
            changes.left.append(server)
        else:
            self.servers[at.name] = server
            changes.changed.append(server)

    def ban(self, now: float, event: OperatorEjection) -> RegistryChanges:
        """One that is back was restarted meanwhile: a new process, cold from then on."""
        old = self.servers.get(event.upstream)
        if event.out:
            self._banned.add(event.upstream)
            return RegistryChanges([old] if old is not None else [], [])
        self._banned.discard(event.upstream)
        self._back[event.upstream] = min(
            event.at_ms, now
        )  # of an earlier process, whose clock may have been ahead
        if old is None:
            return RegistryChanges([], [])
        server = self.servers[event.upstream] = self._new(old.at, now)
        server.weight = old.weight
        server.since = self._since(old.at)
        return RegistryChanges([server], [old])

    def _since(self, at: Endpoint) -> float:
        """When its process started, or was let back after that."""
        begun = at.started_ms if at.begun_ms is None else at.begun_ms
        return max(begun, self._back.get(at.name, 0.0))

    def takes(self, server: EndpointStatistics) -> bool:
        """Whether list and operators let it be sent to."""
        return server.at.stage is EndpointState.READY and server.at.name not in self._banned

    def doubt(self, server: EndpointStatistics) -> None:
        """It rests since the list may lack its drain: up to the next list."""
        server.doubted = True
        self._doubted.add(server)

    def _new(self, at: Endpoint, now: float) -> EndpointStatistics:
        """A restart is a new process: nothing that its predecessor showed holds for it."""
        server = EndpointStatistics(at, self.kinds.setdefault(at.kind, LatencyProfile()), now, now)
        # Out of step, or all balancers' first calls would reach a new one at the same time; also with one seed.
        server.credit = (self._random.random() + self.turn) % 1
        return server
