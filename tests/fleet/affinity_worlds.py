"""Members with bindings in simulated time, for tests. Membership is told by the test, or is the real one in a hub."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from limenotch.fleet.affinity import Bindings, Tuning, messages
from limenotch.fleet.affinity.api import Bound, Kind, Providers, State
from limenotch.fleet.affinity.table import Shared
from limenotch.fleet.affinity.tuning import Ages
from limenotch.fleet.hub import ComponentEvent, ComponentHub
from limenotch.fleet.interfaces import Fenced, MemberChanged, MessageReceived, Started, TimerFired
from limenotch.fleet.membership import Membership
from limenotch.lab.fleet.members import TUNING
from limenotch.lab.fleet.world import World, address
from limenotch.store.records import StoredLog

KEY = b"0123456789abcdef"
THERE = {"p1": ("c1", "z1"), "p2": ("c1", "z1"), "p3": ("c2", "z2")}
QUICK = Tuning(
    sessions=Ages(opening=1000, open=4000, closing=500, lingering=500),
    key=Ages(open=3000),
    flow=Ages(opening=1000, open=4000, closing=500, lingering=500),
)


def alone(tuning: Tuning = QUICK, name: str = "a") -> Bindings:
    """One that nobody else is with, whole, at 1000 ms."""
    part = Bindings(name, 1, KEY, tuning)
    part.handle(0.0, Started())
    part.handle(0.0, MemberChanged(name, "alive", address(name), 0, 1))
    part.handle(0.0, Providers(THERE))
    part.handle(1000.0, TimerFired(1))
    part.handle(1000.0, TimerFired(1))
    assert part.table.whole
    return part


class Told:
    """A member whose membership is what `Fleet` says."""

    def __init__(self, fleet: Fleet, name: str, process_epoch: int) -> None:
        self.fleet, self.name, self.process_epoch = fleet, name, process_epoch
        self.bindings = Bindings(name, process_epoch, KEY, fleet.tuning, 5)

    def handle(self, now: float, event: Any) -> list[Any]:
        out = self.bindings.handle(now, event)
        if isinstance(event, Started):
            for other in sorted(self.fleet.there | {self.name}):
                process_epoch = self.process_epoch if other == self.name else self.fleet.process_epochs.get(other, 1)
                out += self.bindings.handle(now, MemberChanged(other, "alive", address(other), 0, process_epoch))
            out += self.bindings.handle(now, Providers(THERE))
        return out


class Hubbed:
    """A member with the real membership below."""

    def __init__(self, fleet: Fleet, name: str, seed: int, process_epoch: int) -> None:
        membership = Membership(name, address(name), process_epoch, [address("a"), address("b")], TUNING, seed)
        self.bindings = Bindings(name, process_epoch, KEY, fleet.tuning, seed)
        self.hub = ComponentHub((("mb.", membership), ("bi.", self.bindings)), membership)

    def handle(self, now: float, event: Any) -> list[Any]:
        out: list[Any] = self.hub.handle(now, event)
        if isinstance(event, Started):
            out += self.hub.handle(now, ComponentEvent("bi.", Providers(THERE)))
        return out


class Fleet:
    def __init__(
        self,
        names: Iterable[str],
        seed: int = 1,
        tuning: Tuning = QUICK,
        real: bool = False,
        mute: str = "",
        **weather: Any,
    ) -> None:
        """`mute`: of `started_later`, held alive all the same."""
        self.names, self.tuning = list(names), tuning
        self.there = set(self.names) - set(weather.get("started_later", "")) | set(mute)
        self.process_epochs: dict[str, int] = {}
        self._real = real
        self.world = World(self.names, self._make, seed, **weather)

    def _make(self, name: str, seed: int, process_epoch: int, held: StoredLog) -> Any:
        self.process_epochs[name] = process_epoch
        return Hubbed(self, name, seed, process_epoch) if self._real else Told(self, name, process_epoch)

    def of(self, name: str) -> Bindings:
        part: Bindings = self.world.component(name).bindings
        return part

    def table(self, name: str) -> Shared:
        return self.of(name).table

    def now(self, name: str) -> float:
        node = self.world.nodes[name]
        return max(node.now, node.monotonic_ms(self.world.now))

    def run(self, span: float) -> None:
        self.world.run(self.world.now + span)

    def say(self, event: Any, *names: str) -> None:
        for name in names or self.names:
            if self.world.alive(name):
                self.world.deliver_event(name, ComponentEvent("bi.", event) if self._real else event)

    def changed(self, who: str, state: str, process_epoch: int, *names: str) -> None:
        self.there.add(who)
        self.say(MemberChanged(who, state, address(who), 0, process_epoch), *names)

    def fence(self, who: str) -> None:
        """It has been dead to the others; all hear of its next life."""
        self.process_epochs[who] += 1
        self.say(Fenced(), who)
        self.changed(who, "alive", self.process_epochs[who])

    def see(
        self,
        name: str,
        key: bytes,
        provider: str = "p1",
        state: State = State.OPEN,
        kind: Kind = Kind.SESSION,
        charged: bool = False,
    ) -> bool:
        return self.table(name).see(self.now(name), kind, key, provider, state, charged)

    def find(self, name: str, key: bytes, kind: Kind = Kind.SESSION) -> Bound | None:
        return self.table(name).find(self.now(name), kind, key)

    def who(self, key: bytes, kind: Kind = Kind.SESSION) -> list[str | None]:
        """The provider that each has it bound to."""
        found = [self.find(name, key, kind) for name in self.names if self.world.alive(name)]
        return [each and each.provider for each in found]

    def same(self) -> bool:
        """Whether all hold the same values."""
        return len({tuple(self.table(name).rows.digests) for name in self.names if self.world.alive(name)}) == 1


def rounds(part: Bindings, now: float) -> list[messages.Sights]:
    return part.ground.teller.batches(now)


def hear(part: Bindings, message: Any, now: float, sender: str = "a") -> list[Any]:
    """As of a member whose clock is the same."""
    if part.ground.peers.get(sender) is None:
        part.handle(now, MemberChanged(sender, "alive", address(sender), 0, 1))
        part.handle(now, MessageReceived(address(sender), sender, messages.Pong(1, now, now)))
    return part.handle(now, MessageReceived(address(sender), sender, message))


def sights(key: bytes, seen: float, now: float, seq: int = 1, **other: Any) -> messages.Sights:
    """As the member `z` would tell it."""
    made = alone(name="z")
    made.table.see(seen, Kind.SESSION, key, other.get("provider", "p1"), State.OPEN)
    (batch,) = made.ground.teller.batches(now)
    return msgspec.structs.replace(batch, seq=seq)
