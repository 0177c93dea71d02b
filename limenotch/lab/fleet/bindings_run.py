"""Simulated fleet with the affinity table over membership: clients return through other sidecars, endpoints go.

`Run` has the simulated world, a hub with membership and the affinity component per node, and a checks_bindings.Checker
that receives all events in the world's true time. Runs under faults are in bindings_storms.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from math import inf
from typing import Any, NamedTuple

from limenotch.fleet import membership
from limenotch.fleet.affinity import messages
from limenotch.fleet.affinity.api import AvailableEndpoints, Binding, DeduplicationWindow, Kind, State
from limenotch.fleet.affinity.core import Bindings
from limenotch.fleet.affinity.tuning import Ages, Tuning
from limenotch.fleet.hub import ComponentEvent, ComponentHub
from limenotch.fleet.interfaces import Fenced, MemberChanged
from limenotch.fleet.membership import Membership
from limenotch.fleet.wire import tag_of
from limenotch.lab.fleet import faults
from limenotch.lab.fleet.checks_bindings import LOSSY_MS, Checker, Guarantees, Key
from limenotch.lab.fleet.world import World, address
from limenotch.store.records import StoredLog

PREFIX = tag_of(messages.LastSeenUpdate).partition(".")[0] + "."
SECRET = b"of the laboratory"
AGES = Ages(opening=400, open=1200, closing=500, lingering=300, longest=9000)
FAST = Tuning(
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
MEMBERSHIP_TUNING = membership.Tuning(period_ms=200, timeout_ms=40, gossip_ms=15, reconnect=2)
WINDOW_MS = 1500.0
ENDPOINTS = {f"p{number}": (f"cell{number % 4}", f"z{number % 2}") for number in range(6)}
SWEEP_MS = 20.0


def death_detection_ms(members: membership.Tuning, member_count: int) -> float:
    """Time from a process's death until all members consider it dead: three periods and the longest suspicion."""
    return 3 * members.period_ms + members.suspicion_longest * members.shortest_ms(member_count)


def guarantees(
    tuning: Tuning, members: membership.Tuning, member_count: int, delay_ms: float = 1.0, window_ms: float = WINDOW_MS
) -> Guarantees:
    """What docs/fleet/bindings.md guarantees with these settings, if a message takes at most `delay_ms`."""

    def idle_ms(kind: int, state: int) -> float:
        ages = (tuning.key, tuning.sessions, tuning.conn, tuning.flow)[kind]
        state_ms = (ages.opening, ages.open, ages.closing, ages.lingering)[state]
        if kind == Kind.KEY:  # a request that was sent may have run, whether or not it was answered
            return max(window_ms, state_ms if state != State.OPEN else 0.0)
        return state_ms

    def max_lifetime_ms(kind: int) -> float:
        return (tuning.key, tuning.sessions, tuning.conn, tuning.flow)[kind].longest

    # Batches and watermarks go to all members: above 32 members, their intervals grow with the number of members.
    scale = max(1.0, member_count / 32)
    batch_ms, watermark_ms = tuning.batch_ms * scale, tuning.cover_ms * scale
    return Guarantees(
        idle_ms,
        max_lifetime_ms,
        tuning.tell,
        tuning.drift,
        propagation_ms=batch_ms + 2 * tuning.tick_ms + 3 * delay_ms + 10,
        margin_ms=4 * watermark_ms + 2 * batch_ms + 2 * tuning.tick_ms + 4 * delay_ms,
        convergence_ms=death_detection_ms(members, member_count) + 6 * tuning.digest_ms + 4 * delay_ms,
        agreement_ms=batch_ms + 4 * delay_ms + 3 * tuning.digest_ms,
        age_error_ms=3 * delay_ms + 5,
    )


class RecordedComponent:
    """The affinity component; reports the events that it receives to the checker."""

    def __init__(self, run: Run, name: str, component: Bindings) -> None:
        self.run, self.name, self.component = run, name, component

    def handle(self, now: float, event: Any) -> list[Any]:
        checker, true_time = self.run.checker, self.run.world.now
        if isinstance(event, Fenced):
            checker.fenced(true_time, self.name)
        elif isinstance(event, MemberChanged):
            checker.member_changed(true_time, self.name, event.name, event.state, event.process_epoch)
        elif isinstance(event, AvailableEndpoints):
            checker.endpoints_changed(true_time, self.name, event.available)
        return self.component.handle(now, event)


class NodeComponents(NamedTuple):
    hub: ComponentHub
    membership: Membership
    bindings: Bindings

    def handle(self, now: float, event: Any) -> list[Any]:
        return self.hub.handle(now, event)


class Run:
    """A simulated fleet; its methods act on one node, or on all."""

    def __init__(
        self,
        nodes: Iterable[str],
        seed: int = 0,
        *,
        tuning: Tuning = FAST,
        members: membership.Tuning = MEMBERSHIP_TUNING,
        delay_ms: float = 1.0,
        window_ms: float = WINDOW_MS,
        endpoints: Mapping[str, tuple[str, str]] = ENDPOINTS,
        **network_conditions: Any,
    ) -> None:
        self.names = list(nodes)
        self.tuning, self.members, self.endpoints, self.window_ms = tuning, members, dict(endpoints), window_ms
        self.checker = Checker(guarantees(tuning, members, len(self.names), delay_ms, window_ms), self.names)
        self.keys: dict[Key, None] = {}  # all keys ever used, in order
        self._keys_by_hash: dict[bytes, Key] = {}
        self._key_in_use: Key | None = None
        self.world = World(self.names, self.make, seed, delay_ms=delay_ms, **network_conditions)

    def make(self, name: str, seed: int, process_epoch: int, stored_log: StoredLog) -> NodeComponents:
        members = Membership(
            name, address(name), process_epoch, [address(seed_name) for seed_name in self.names[:2]], self.members, seed
        )
        bindings = Bindings(name, process_epoch, SECRET, self.tuning, seed)
        bindings.on_end = lambda reason, key_hash: self._row_ended(name, bindings, reason, key_hash)
        self.checker.process_started(self.world.now, name, process_epoch)
        recorded = RecordedComponent(self, name, bindings)
        hub = ComponentHub([("mb.", members), (PREFIX, recorded)], members)
        self.world.kernel.schedule(self.world.now, self._send_settings, name)
        return NodeComponents(hub, members, bindings)

    def _send_settings(self, name: str) -> None:
        self.notify(name, DeduplicationWindow(self.window_ms))
        self.notify(name, AvailableEndpoints(dict(self.endpoints)))

    def _row_ended(self, name: str, bindings: Bindings, reason: str, key_hash: bytes) -> None:
        components = self.world.component(name)
        key = self._keys_by_hash.get(key_hash)
        if key == self._key_in_use and reason == "over":
            return  # the binding expired, and is used again before its removal: no lookup misses it
        if key is not None and components is not None and components.bindings is bindings:
            self.checker.row_ended(self.world.now, name, key, reason)

    def notify(self, name: str, event: Any) -> None:
        self.world.deliver_event(name, ComponentEvent(PREFIX, event))

    def bindings(self, name: str) -> Bindings | None:
        """The node's component; None if no process is running there."""
        node = self.world.nodes[name]
        return node.component.bindings if node.component is not None and not node.paused else None

    def local_time(self, name: str) -> float:
        node = self.world.nodes[name]
        node.now = max(node.now, node.monotonic_ms(self.world.now))
        return node.now

    # Clients

    def record_use(self, name: str, key: Key, endpoint: str, state: int = State.OPEN) -> bool:
        """Records a use at a node. False: no process is running there, or the table rejected it."""
        bindings = self.bindings(name)
        if bindings is None:
            return False
        if key not in self.keys:
            self.keys[key] = None
            self._keys_by_hash[bindings.hash_of(Kind(key[0]), key[1])] = key
        now, self._key_in_use = self.local_time(name), key
        accepted = bindings.table.record_use(now, Kind(key[0]), key[1], endpoint, State(state))
        self._key_in_use = None
        self.checker.use_recorded(self.world.now, name, key, endpoint, state, accepted)
        return accepted

    def find(self, name: str, key: Key) -> Binding | None:
        bindings = self.bindings(name)
        if bindings is None:
            return None
        bound = bindings.table.find(self.local_time(name), Kind(key[0]), key[1])
        self.checker.lookup(self.world.now, name, key, bound, bindings.table.complete)
        return bound

    def undo(self, name: str, key: Key) -> None:
        bindings = self.bindings(name)
        if bindings is not None:
            bindings.table.undo(self.local_time(name), Kind(key[0]), key[1])
            self.checker.binding_undone(self.world.now, name, key)

    def client_request(self, name: str, key: Key, endpoint: str, state: int = State.OPEN) -> str | None:
        """A client's request: goes to the bound endpoint, else to `endpoint`. Returns where it went."""
        if self.bindings(name) is None:
            return None
        bound = self.find(name, key)
        chosen = bound.endpoint if bound is not None else endpoint
        return chosen if self.record_use(name, key, chosen, state) else None

    # Time and faults

    def fault(self, text: str) -> None:
        self.world.apply_fault(faults.parse(text))
        self.report_impairments()

    def report_impairments(self) -> None:
        """Reports to the checker which links lose or delay messages."""
        network_conditions, names = self.world.conditions, self.names
        links = {
            link
            for link in network_conditions.blocked_links | set(network_conditions.extra_delays_ms)
            if link[0] != link[1]
        }
        for unreachable in network_conditions.muted | network_conditions.paused | network_conditions.dead:
            links |= {(unreachable, name) for name in names if name != unreachable}
        for unreachable in network_conditions.paused | network_conditions.dead:
            links |= {(name, unreachable) for name in names if name != unreachable}
        now = self.world.now
        self.checker.links_impaired(now, links)
        self.checker.slowest_link_ms = max([self.checker.slowest_link_ms, *network_conditions.extra_delays_ms.values()])
        lossy = network_conditions.default_shares["loss"] > 0 or any(network_conditions.link_shares["loss"].values())
        if lossy:
            self.checker.lossy_until = inf
        elif self.checker.lossy_until == inf:
            self.checker.lossy_until = now + LOSSY_MS

    def kill(self, name: str) -> None:
        self.checker.process_ended(self.world.now, name)
        self.fault(f"kill {name}")

    def run(self, until_ms: float, sweep_ms: float = SWEEP_MS) -> None:
        """Runs until `until_ms`, and looks up all keys at all nodes each `sweep_ms`."""
        while self.world.now < until_ms:
            self.world.run(min(until_ms, self.world.now + sweep_ms))
            self.sweep()

    def sweep(self) -> None:
        for name in self.names:
            if self.bindings(name) is not None:
                for key in self.keys:
                    self.find(name, key)
        self.checker.sweep(self.world.now)

    def wait_until_joined(self, max_ms: float = 5000.0) -> None:
        """Runs until all nodes hold all alive and have complete tables. AssertionError if that takes too long."""
        until_ms = self.world.now + max_ms
        while not self._all_joined():
            if self.world.now >= until_ms:
                raise AssertionError(f"not all tables are complete within {max_ms:g} ms")
            self.world.run(self.world.now + 10)

    def _all_joined(self) -> bool:
        for name in self.names:
            components = self.world.component(name)
            if (
                components is None
                or components.membership.size() != len(self.names)
                or not components.bindings.table.complete
            ):
                return False
        return True

    def end_faults(self) -> None:
        for text in ("heal", "loss 0%", "delay 1..1", "double 0%", "reorder 0%"):
            self.fault(text)
        for name, node in self.world.nodes.items():
            if not self.world.alive(name):
                self.fault(f"start {name}")
            elif node.paused:
                self.fault(f"wake {name}")
        self.checker.faults_ended(self.world.now)
