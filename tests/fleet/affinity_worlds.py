"""Simulated members with the affinity component. Membership events come from the test, or from the real component."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from limenotch.fleet.affinity import Bindings, Tuning, messages
from limenotch.fleet.affinity.api import AvailableEndpoints, Binding, Kind, State
from limenotch.fleet.affinity.table import AffinityTable
from limenotch.fleet.affinity.tuning import Ages
from limenotch.fleet.hub import ComponentEvent, ComponentHub
from limenotch.fleet.interfaces import Fenced, MemberChanged, MessageReceived, Started, TimerFired
from limenotch.fleet.membership import Membership
from limenotch.lab.fleet.members import TUNING
from limenotch.lab.fleet.world import World, address
from limenotch.store.records import StoredLog

KEY = b"0123456789abcdef"
ENDPOINTS = {"p1": ("c1", "z1"), "p2": ("c1", "z1"), "p3": ("c2", "z2")}
FAST = Tuning(
    sessions=Ages(opening=1000, open=4000, closing=500, lingering=500),
    key=Ages(open=3000),
    flow=Ages(opening=1000, open=4000, closing=500, lingering=500),
)


def single_member(tuning: Tuning = FAST, name: str = "a") -> Bindings:
    """The component of the only member of a fleet, with a complete table, at 1000 ms."""
    bindings = Bindings(name, 1, KEY, tuning)
    bindings.handle(0.0, Started())
    bindings.handle(0.0, MemberChanged(name, "alive", address(name), 0, 1))
    bindings.handle(0.0, AvailableEndpoints(ENDPOINTS))
    bindings.handle(1000.0, TimerFired(1))
    bindings.handle(1000.0, TimerFired(1))
    assert bindings.table.complete
    return bindings


class FakeMembershipNode:
    """A member that receives membership events from `Fleet`."""

    def __init__(self, fleet: Fleet, name: str, process_epoch: int) -> None:
        self.fleet, self.name, self.process_epoch = fleet, name, process_epoch
        self.bindings = Bindings(name, process_epoch, KEY, fleet.tuning, 5)

    def handle(self, now: float, event: Any) -> list[Any]:
        out = self.bindings.handle(now, event)
        if isinstance(event, Started):
            for other in sorted(self.fleet.listed_members | {self.name}):
                process_epoch = self.process_epoch if other == self.name else self.fleet.process_epochs.get(other, 1)
                out += self.bindings.handle(now, MemberChanged(other, "alive", address(other), 0, process_epoch))
            out += self.bindings.handle(now, AvailableEndpoints(ENDPOINTS))
        return out


class RealMembershipNode:
    """A member with the real membership component."""

    def __init__(self, fleet: Fleet, name: str, seed: int, process_epoch: int) -> None:
        membership = Membership(name, address(name), process_epoch, [address("a"), address("b")], TUNING, seed)
        self.bindings = Bindings(name, process_epoch, KEY, fleet.tuning, seed)
        self.hub = ComponentHub((("mb.", membership), ("bi.", self.bindings)), membership)

    def handle(self, now: float, event: Any) -> list[Any]:
        out: list[Any] = self.hub.handle(now, event)
        if isinstance(event, Started):
            out += self.hub.handle(now, ComponentEvent("bi.", AvailableEndpoints(ENDPOINTS)))
        return out


class Fleet:
    def __init__(
        self,
        names: Iterable[str],
        seed: int = 1,
        tuning: Tuning = FAST,
        real_membership: bool = False,
        silent: str = "",
        **world_options: Any,
    ) -> None:
        """`later` (a world option): members that start later; `silent`: those of them that are held alive already."""
        self.names, self.tuning = list(names), tuning
        self.listed_members = set(self.names) - set(world_options.get("started_later", "")) | set(silent)
        self.process_epochs: dict[str, int] = {}
        self._real_membership = real_membership
        self.world = World(self.names, self._make, seed, **world_options)

    def _make(self, name: str, seed: int, process_epoch: int, stored_log: StoredLog) -> Any:
        self.process_epochs[name] = process_epoch
        return (
            RealMembershipNode(self, name, seed, process_epoch)
            if self._real_membership
            else FakeMembershipNode(self, name, process_epoch)
        )

    def bindings_of(self, name: str) -> Bindings:
        bindings: Bindings = self.world.component(name).bindings
        return bindings

    def table(self, name: str) -> AffinityTable:
        return self.bindings_of(name).table

    def now(self, name: str) -> float:
        node = self.world.nodes[name]
        return max(node.now, node.monotonic_ms(self.world.now))

    def run(self, span_ms: float) -> None:
        self.world.run(self.world.now + span_ms)

    def send_event(self, event: Any, *names: str) -> None:
        for name in names or self.names:
            if self.world.alive(name):
                self.world.deliver_event(name, ComponentEvent("bi.", event) if self._real_membership else event)

    def member_changed(self, member: str, state: str, process_epoch: int, *names: str) -> None:
        self.listed_members.add(member)
        self.send_event(MemberChanged(member, state, address(member), 0, process_epoch), *names)

    def fence(self, member: str) -> None:
        """Fences a member that the others held dead; all receive its next process epoch."""
        self.process_epochs[member] += 1
        self.send_event(Fenced(), member)
        self.member_changed(member, "alive", self.process_epochs[member])

    def record_use(
        self,
        name: str,
        key: bytes,
        endpoint: str = "p1",
        state: State = State.OPEN,
        kind: Kind = Kind.SESSION,
        charged: bool = False,
    ) -> bool:
        return self.table(name).record_use(self.now(name), kind, key, endpoint, state, charged)

    def find(self, name: str, key: bytes, kind: Kind = Kind.SESSION) -> Binding | None:
        return self.table(name).find(self.now(name), kind, key)

    def bound_endpoints(self, key: bytes, kind: Kind = Kind.SESSION) -> list[str | None]:
        """The endpoint to which each running member has the key bound."""
        found = [self.find(name, key, kind) for name in self.names if self.world.alive(name)]
        return [each and each.endpoint for each in found]

    def is_converged(self) -> bool:
        """Whether all running members have the same values."""
        return len({tuple(self.table(name).rows.digests) for name in self.names if self.world.alive(name)}) == 1


def next_updates(bindings: Bindings, now: float) -> list[messages.LastSeenUpdate]:
    return bindings.context.update_sender.next_batches(now)


def receive(bindings: Bindings, message: Any, now: float, sender: str = "a") -> list[Any]:
    """Delivers a message of a member whose clock has no offset."""
    if bindings.context.peers.get(sender) is None:
        bindings.handle(now, MemberChanged(sender, "alive", address(sender), 0, 1))
        bindings.handle(now, MessageReceived(address(sender), sender, messages.Pong(1, now, now)))
    return bindings.handle(now, MessageReceived(address(sender), sender, message))


def make_update(key: bytes, last_use_ms: float, now: float, seq: int = 1, **options: Any) -> messages.LastSeenUpdate:
    """The update that the member `z` would send."""
    bindings = single_member(name="z")
    bindings.table.record_use(last_use_ms, Kind.SESSION, key, options.get("endpoint", "p1"), State.OPEN)
    (batch,) = bindings.context.update_sender.next_batches(now)
    return msgspec.structs.replace(batch, seq=seq)
