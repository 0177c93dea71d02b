"""Nodes and commands for the expected timelines of the affinity table (tests/fleet/drawings/bindings).

Keys are named by kind: `k1` an idempotency key (window 1500 ms), `s1` a session, `c1` a connection, `f1` a flow. `ask a
COMMAND`: `see f1 p1`, `see f1 p1 opening` (or `open`, `closing`, `lingering`), `undo f1`, `gone p1` and `back p1` (in
that node's list of endpoints), `many 10000 p1` (flows `m0`, ... used in one ms), `flood 100 p1` (opening flows `o0`,
...), `calls 15 p1` (keys `k100`, ...).

Each node is probed every 5 ms for all keys in the file, and changes are recorded: `f1 p1` (found there), `f1 none` (no
longer found). Of a group: `200 of m`, the number found, when the node's table has changed. Settings in the head:
`most`: rows per table; `opening`: the share of them that opening rows may take.
"""

from __future__ import annotations

import re
from typing import Any

from msgspec.structs import replace

from limenotch.fleet import membership
from limenotch.fleet.affinity.api import AvailableEndpoints, Binding, DeduplicationWindow, Kind, State
from limenotch.fleet.affinity.core import Bindings
from limenotch.fleet.affinity.tuning import Ages, Tuning
from limenotch.fleet.hub import ComponentEvent, ComponentHub
from limenotch.fleet.interfaces import Started
from limenotch.fleet.membership import Membership
from limenotch.lab.fleet.bindings_run import PREFIX, SECRET
from limenotch.lab.fleet.drawing import ExpectedTimeline
from limenotch.lab.fleet.scenario import Outcome, check, simulate
from limenotch.lab.fleet.world import ObservedLine, World, address
from limenotch.store.records import StoredLog

AGES = Ages(opening=400, open=1000, closing=300, lingering=200, longest=20_000)
TUNING = Tuning(
    key=AGES,
    sessions=AGES,
    conn=AGES,
    flow=AGES,
    batch_ms=20,
    cover_ms=50,
    grave_ms=4000,
    tick_ms=20,
    digest_ms=200,
    session="s",
    connections=True,
)
MEMBERSHIP_TUNING = membership.Tuning(period_ms=200, timeout_ms=40, gossip_ms=15, reconnect=2)
WINDOW_MS = 1500.0
ENDPOINTS = {"p1": ("x", "z1"), "p2": ("x", "z1"), "p3": ("y", "z2")}
KINDS = {"k": Kind.KEY, "s": Kind.SESSION, "c": Kind.CONN}
GROUPS = {"many": ("m", State.OPEN), "flood": ("o", State.OPENING), "calls": ("k10", State.OPEN)}
PROBE_MS = 5.0


def kind_of(key: str) -> Kind:
    return KINDS.get(key[0], Kind.FLOW)


class ConfiguredNode:
    """A node's components; at its start the affinity component receives the window and a complete endpoint list."""

    def __init__(self, members: Membership, bindings: Bindings) -> None:
        self.membership, self.bindings = members, bindings
        self.hub = ComponentHub([("mb.", members), (PREFIX, bindings)], members)

    def handle(self, now: float, event: Any) -> list[Any]:
        out: list[Any] = self.hub.handle(now, event)
        if isinstance(event, Started):
            for initial_event in (DeduplicationWindow(WINDOW_MS), AvailableEndpoints(ENDPOINTS)):
                out += self.hub.handle(now, ComponentEvent(PREFIX, initial_event))
        return out


class Prober:
    """Probes all nodes, and records what has changed since the last probe."""

    def __init__(self, scenario: ExpectedTimeline) -> None:
        named = (re.fullmatch(r"(?:see|undo) (\w+)( .*)?", getattr(fault, "words", "")) for _, fault in scenario.faults)
        self.keys = sorted({found[1] for found in named if found})
        self.scenario = scenario
        self.groups: dict[str, int] = {}
        self.last: dict[str, tuple[Any, dict[str, str]]] = {}  # by node: its component, what was found
        self.endpoints: dict[str, dict[str, tuple[str, str]]] = {}

    def begin(self, world: World) -> None:
        world.kernel.schedule_last(world.now + PROBE_MS, self.probe, world)

    def probe(self, world: World) -> None:
        for name, node in world.nodes.items():
            if node.component is not None and not node.paused:
                self.probe_node(world, name)
        self.begin(world)

    def probe_node(self, world: World, name: str) -> None:
        node = world.nodes[name]
        last_component, last = self.last.get(name, (None, {}))
        if last_component is not node.component:
            last = {}
        current: dict[str, str] = {}
        now_ms = max(node.now, node.monotonic_ms(world.now))
        for key in self.keys:
            bound = self._find(node.component.bindings, now_ms, key)
            current[key] = f"{key} {bound.endpoint}" if bound is not None else f"{key} none"
            if bound is None and key not in last:
                last[key] = current[key]
        status = node.component.bindings.table.status()
        current["changes"] = f"{status['held']} {status['graves']}"
        for group, count in self.groups.items():
            current[group] = last.get(group, f"0 of {group}")
            if current["changes"] != last.get("changes") or group not in last:
                found = (self._find(node.component.bindings, now_ms, f"{group}{number}") for number in range(count))
                current[group] = f"{sum(bound is not None for bound in found)} of {group}"
                last.setdefault(group, f"0 of {group}")
        for key, text in current.items():
            if last.get(key) != text and key != "changes":
                world.observed_lines.append(ObservedLine(world.now, name, text))
        self.last[name] = (node.component, current)

    def _find(self, bindings: Bindings, now_ms: float, key: str) -> Binding | None:
        return bindings.table.find(now_ms, kind_of(key), key.encode())

    def run_command(self, world: World, name: str, words: str) -> None:
        """Runs a command of the timeline at a node. ValueError on an unknown command."""
        node = world.nodes[name]
        command, _, rest = words.partition(" ")
        arguments = rest.split()
        if command in ("gone", "back"):
            endpoints = self.endpoints.setdefault(name, dict(ENDPOINTS))
            endpoints.pop(arguments[0], None)
            if command == "back":
                endpoints[arguments[0]] = ENDPOINTS[arguments[0]]
            world.deliver_event(name, ComponentEvent(PREFIX, AvailableEndpoints(dict(endpoints))))
            return
        if node.component is None or node.paused:
            return
        table, now_ms = node.component.bindings.table, max(node.now, node.monotonic_ms(world.now))
        if command == "see":
            state = State[arguments[2].upper()] if len(arguments) > 2 else State.OPEN
            if not table.record_use(now_ms, kind_of(arguments[0]), arguments[0].encode(), arguments[1], state):
                world.observed_lines.append(ObservedLine(world.now, name, f"{arguments[0]} refused"))
        elif command == "undo":
            table.undo(now_ms, kind_of(arguments[0]), arguments[0].encode())
        elif command in GROUPS:
            group, state = GROUPS[command]
            rejected = sum(
                not table.record_use(now_ms, kind_of(group), f"{group}{number}".encode(), arguments[1], state)
                for number in range(int(arguments[0]))
            )
            self.groups[group] = int(arguments[0])
            if rejected:
                world.observed_lines.append(ObservedLine(world.now, name, f"{rejected} of {group} refused"))
        else:
            raise ValueError(f"ask {name} {words}: unknown command")
        self.probe_node(world, name)


def outcome(scenario: ExpectedTimeline, exact: bool = True) -> Outcome:
    """Plays the scenario. With `exact`, raises AssertionError if it differs from the expected timeline."""
    tuning = replace(
        TUNING,
        most=int(scenario.number("most", TUNING.most)),
        most_opening=scenario.number("opening", TUNING.most_opening),
    )
    prober = Prober(scenario)
    seeds = [address(name) for name in scenario.nodes[:2]]

    def make(name: str, seed: int, process_epoch: int, stored_log: StoredLog) -> ConfiguredNode:
        members = Membership(name, address(name), process_epoch, seeds, MEMBERSHIP_TUNING, seed)
        return ConfiguredNode(members, Bindings(name, process_epoch, SECRET, tuning, seed))

    return (check if exact else simulate)(scenario, make, prober.run_command, prober.begin)
