"""Bindings over membership in simulated time: consumers that come back through other sidecars, providers that go.

`Run` is the world, a hub of membership and bindings a node, and checks_bindings.Checker told of everything in the
world's true time. Runs under faults are in bindings_storms.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from math import inf
from typing import Any, NamedTuple

from limenotch.fleet import membership
from limenotch.fleet.affinity import messages
from limenotch.fleet.affinity.api import Bound, Kind, Providers, State, Window
from limenotch.fleet.affinity.core import Bindings
from limenotch.fleet.affinity.tuning import Ages, Tuning
from limenotch.fleet.hub import ComponentEvent, ComponentHub
from limenotch.fleet.interfaces import Fenced, MemberChanged
from limenotch.fleet.membership import Membership
from limenotch.fleet.wire import tag_of
from limenotch.lab.fleet import faults
from limenotch.lab.fleet.checks_bindings import LOSSY_MS, Checker, Key, Stated
from limenotch.lab.fleet.world import World, address
from limenotch.store.records import StoredLog

PREFIX = tag_of(messages.Sights).partition(".")[0] + "."
SECRET = b"of the laboratory"
AGES = Ages(opening=400, open=1200, closing=500, lingering=300, longest=9000)
QUICK = Tuning(
    key=AGES,
    sessions=AGES,
    conn=AGES,
    flow=AGES,
    batch_ms=20,
    cover_ms=60,
    grave_ms=4000,
    tick_ms=20,
    digest_ms=200,
    session="s",
    connections=True,
    most=5000,
)
MEMBERS = membership.Tuning(period_ms=200, timeout_ms=40, gossip_ms=15, reconnect=2)
WINDOW_MS = 1500.0
THERE = {f"p{number}": (f"cell{number % 4}", f"z{number % 2}") for number in range(6)}
SWEEP_MS = 20.0


def detect_ms(members: membership.Tuning, count: int) -> float:
    """From a process's fall until all hold it dead: a probe's turn and its answer's time, and the longest suspicion."""
    return 3 * members.period_ms + members.suspicion_longest * members.shortest_ms(count)


def stated(
    tuning: Tuning, members: membership.Tuning, count: int, delay_ms: float = 1.0, window_ms: float = WINDOW_MS
) -> Stated:
    """What docs/fleet/bindings.md promises of these settings where a message takes `delay_ms` at most."""

    def idle(kind: int, state: int) -> float:
        ages = (tuning.key, tuning.sessions, tuning.conn, tuning.flow)[kind]
        of_state = (ages.opening, ages.open, ages.closing, ages.lingering)[state]
        if kind == Kind.KEY:  # whatever was sent out may have run, answered or not
            return max(window_ms, of_state if state != State.OPEN else 0.0)
        return of_state

    def longest(kind: int) -> float:
        return (tuning.key, tuning.sessions, tuning.conn, tuning.flow)[kind].longest

    scale = max(1.0, count / 32)  # of batches and covers, which go to all
    batch, cover = tuning.batch_ms * scale, tuning.cover_ms * scale
    return Stated(
        idle,
        longest,
        tuning.tell,
        tuning.drift,
        told_ms=batch + 2 * tuning.tick_ms + 3 * delay_ms + 10,
        spare_ms=4 * cover + 2 * batch + 2 * tuning.tick_ms + 4 * delay_ms,
        mend_ms=detect_ms(members, count) + 6 * tuning.digest_ms + 4 * delay_ms,
        agree_ms=batch + 4 * delay_ms + 3 * tuning.digest_ms,
        young_ms=3 * delay_ms + 5,
    )


class Recorded:
    """The bindings' part, and what it is told by membership and its host, at the instant when it is told."""

    def __init__(self, run: Run, name: str, part: Bindings) -> None:
        self.run, self.name, self.part = run, name, part

    def handle(self, now: float, event: Any) -> list[Any]:
        checker, at = self.run.checker, self.run.world.now
        if isinstance(event, Fenced):
            checker.fenced(at, self.name)
        elif isinstance(event, MemberChanged):
            checker.holds(at, self.name, event.name, event.state, event.process_epoch)
        elif isinstance(event, Providers):
            checker.providers(at, self.name, event.there)
        return self.part.handle(now, event)


class Member(NamedTuple):
    hub: ComponentHub
    membership: Membership
    bindings: Bindings

    def handle(self, now: float, event: Any) -> list[Any]:
        return self.hub.handle(now, event)


class Run:
    def __init__(
        self,
        nodes: Iterable[str],
        seed: int = 0,
        *,
        tuning: Tuning = QUICK,
        members: membership.Tuning = MEMBERS,
        delay_ms: float = 1.0,
        window_ms: float = WINDOW_MS,
        there: Mapping[str, tuple[str, str]] = THERE,
        **weather: Any,
    ) -> None:
        self.names = list(nodes)
        self.tuning, self.members, self.there, self.window_ms = tuning, members, dict(there), window_ms
        self.checker = Checker(stated(tuning, members, len(self.names), delay_ms, window_ms), self.names)
        self.keys: dict[Key, None] = {}  # all that were ever seen, in order
        self._hashes: dict[bytes, Key] = {}
        self._seeing: Key | None = None
        self.world = World(self.names, self.make, seed, delay_ms=delay_ms, **weather)

    def make(self, name: str, seed: int, process_epoch: int, held: StoredLog) -> Member:
        members = Membership(
            name, address(name), process_epoch, [address(one) for one in self.names[:2]], self.members, seed
        )
        bindings = Bindings(name, process_epoch, SECRET, self.tuning, seed)
        bindings.watch = lambda why, mark: self._ended(name, bindings, why, mark)
        self.checker.began(self.world.now, name, process_epoch)
        recorded = Recorded(self, name, bindings)
        hub = ComponentHub([("mb.", members), (PREFIX, recorded)], members)
        self.world.kernel.at(self.world.now, self._settings, name)
        return Member(hub, members, bindings)

    def _settings(self, name: str) -> None:
        self.tell(name, Window(self.window_ms))
        self.tell(name, Providers(dict(self.there)))

    def _ended(self, name: str, bindings: Bindings, why: str, mark: bytes) -> None:
        part = self.world.component(name)
        key = self._hashes.get(mark)
        if key == self._seeing and why == "over":
            return  # over by its age, and seen again before it could be forgotten: nobody finds it missing
        if key is not None and part is not None and part.bindings is bindings:
            self.checker.dropped(self.world.now, name, key, why)

    def tell(self, name: str, event: Any) -> None:
        self.world.deliver_event(name, ComponentEvent(PREFIX, event))

    def bindings(self, name: str) -> Bindings | None:
        """None if no process runs there that could be asked now."""
        node = self.world.nodes[name]
        return node.component.bindings if node.component is not None and not node.paused else None

    def clock(self, name: str) -> float:
        node = self.world.nodes[name]
        node.now = max(node.now, node.monotonic_ms(self.world.now))
        return node.now

    # Consumers

    def see(self, name: str, key: Key, provider: str, state: int = State.OPEN) -> bool:
        """False: no process there, or it was refused."""
        bindings = self.bindings(name)
        if bindings is None:
            return False
        if key not in self.keys:
            self.keys[key] = None
            self._hashes[bindings.hash_of(Kind(key[0]), key[1])] = key
        now, self._seeing = self.clock(name), key
        taken = bindings.table.see(now, Kind(key[0]), key[1], provider, State(state))
        self._seeing = None
        self.checker.sees(self.world.now, name, key, provider, state, taken)
        return taken

    def find(self, name: str, key: Key) -> Bound | None:
        bindings = self.bindings(name)
        if bindings is None:
            return None
        bound = bindings.table.find(self.clock(name), Kind(key[0]), key[1])
        self.checker.found(self.world.now, name, key, bound, bindings.table.whole)
        return bound

    def undo(self, name: str, key: Key) -> None:
        bindings = self.bindings(name)
        if bindings is not None:
            bindings.table.undo(self.clock(name), Kind(key[0]), key[1])
            self.checker.undone(self.world.now, name, key)

    def come(self, name: str, key: Key, provider: str, state: int = State.OPEN) -> str | None:
        """A consumer: stays where it is bound, else goes to `provider`. Gives where it went."""
        if self.bindings(name) is None:
            return None
        bound = self.find(name, key)
        to = bound.provider if bound is not None else provider
        return to if self.see(name, key, to, state) else None

    # Time and faults

    def fault(self, text: str) -> None:
        self.world.apply_fault(faults.parse(text))
        self.looked()

    def looked(self) -> None:
        """Tells the checker which ways nothing passes, or not in time."""
        weather, names = self.world.conditions, self.names
        ways = {way for way in weather.blocked_links | set(weather.extra_delays_ms) if way[0] != way[1]}
        for out in weather.muted | weather.paused | weather.dead:
            ways |= {(out, name) for name in names if name != out}
        for out in weather.paused | weather.dead:
            ways |= {(name, out) for name in names if name != out}
        now = self.world.now
        self.checker.impaired(now, ways)
        self.checker.slow_ms = max([self.checker.slow_ms, *weather.extra_delays_ms.values()])
        lossy = weather.default_shares["loss"] > 0 or any(weather.link_shares["loss"].values())
        if lossy:
            self.checker.lossy_until = inf
        elif self.checker.lossy_until == inf:
            self.checker.lossy_until = now + LOSSY_MS

    def kill(self, name: str) -> None:
        self.checker.ended(self.world.now, name)
        self.fault(f"kill {name}")

    def run(self, until: float, sweep_ms: float = SWEEP_MS) -> None:
        """All are asked for all keys each `sweep_ms`."""
        while self.world.now < until:
            self.world.run(min(until, self.world.now + sweep_ms))
            self.sweep()

    def sweep(self) -> None:
        for name in self.names:
            if self.bindings(name) is not None:
                for key in self.keys:
                    self.find(name, key)
        self.checker.sweep(self.world.now)

    def joined(self, most_ms: float = 5000.0) -> None:
        """Until all hold all alive and have whole tables. AssertionError if not in time."""
        until = self.world.now + most_ms
        while not self._one():
            if self.world.now >= until:
                raise AssertionError(f"not all whole within {most_ms:g} ms")
            self.world.run(self.world.now + 10)

    def _one(self) -> bool:
        for name in self.names:
            part = self.world.component(name)
            if part is None or part.membership.size() != len(self.names) or not part.bindings.table.whole:
                return False
        return True

    def calm(self) -> None:
        for text in ("heal", "loss 0%", "delay 1..1", "double 0%", "reorder 0%"):
            self.fault(text)
        for name, node in self.world.nodes.items():
            if not self.world.alive(name):
                self.fault(f"start {name}")
            elif node.paused:
                self.fault(f"wake {name}")
        self.checker.rough(self.world.now)
