"""Members, consumers and directories for drawings of bindings.

Keys are named by kind: `k1` a keyed call (window 1500 ms), `s1` a session, `c1` a connection, `f1` a flow.
`ask a WORDS`: `see f1 p1`, `see f1 p1 opening` (or `open`, `closing`, `lingering`), `undo f1`, `gone p1` and `back p1`
(its own directory says so), `many 10000 p1` (flows `m0`, ... seen in one ms), `flood 100 p1` (half-open, `o0`, ...),
`calls 15 p1` (keyed calls `k100`, ...).

Each node is asked each 5 ms for all keys named in the file, and notes what has changed: `f1 p1` (found there),
`f1 none` (not found any more). Of many: `200 of m`, how many are found, when its table has changed. Head
`most`: rows a table has; `opening`: the part of them that half-open ones may have.
"""

from __future__ import annotations

import re
from typing import Any

from msgspec.structs import replace

from limenotch.fleet import membership
from limenotch.fleet.affinity.api import Bound, Kind, Providers, State, Window
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
MEMBERS = membership.Tuning(period_ms=200, timeout_ms=40, gossip_ms=15, reconnect=2)
WINDOW_MS = 1500.0
THERE = {"p1": ("x", "z1"), "p2": ("x", "z1"), "p3": ("y", "z2")}
KINDS = {"k": Kind.KEY, "s": Kind.SESSION, "c": Kind.CONN}
GROUPS = {"many": ("m", State.OPEN), "flood": ("o", State.OPENING), "calls": ("k10", State.OPEN)}
PROBE_MS = 5.0


def kind_of(key: str) -> Kind:
    return KINDS.get(key[0], Kind.FLOW)


class Told:
    """A node's parts; its bindings are told the window and a full directory when the process begins."""

    def __init__(self, members: Membership, bindings: Bindings) -> None:
        self.membership, self.bindings = members, bindings
        self.hub = ComponentHub([("mb.", members), (PREFIX, bindings)], members)

    def handle(self, now: float, event: Any) -> list[Any]:
        out: list[Any] = self.hub.handle(now, event)
        if isinstance(event, Started):
            for told in (Window(WINDOW_MS), Providers(THERE)):
                out += self.hub.handle(now, ComponentEvent(PREFIX, told))
        return out


class Prober:
    """Asks all nodes, and notes what has changed since it asked them last."""

    def __init__(self, scenario: ExpectedTimeline) -> None:
        named = (re.fullmatch(r"(?:see|undo) (\w+)( .*)?", getattr(fault, "words", "")) for _, fault in scenario.faults)
        self.keys = sorted({found[1] for found in named if found})
        self.scenario = scenario
        self.groups: dict[str, int] = {}
        self.last: dict[str, tuple[Any, dict[str, str]]] = {}  # by node: its part, what was found
        self.there: dict[str, dict[str, tuple[str, str]]] = {}

    def begin(self, world: World) -> None:
        world.kernel.late(world.now + PROBE_MS, self.probe, world)

    def probe(self, world: World) -> None:
        for name, node in world.nodes.items():
            if node.component is not None and not node.paused:
                self.look(world, name)
        self.begin(world)

    def look(self, world: World, name: str) -> None:
        node = world.nodes[name]
        part, last = self.last.get(name, (None, {}))
        if part is not node.component:
            last = {}
        now: dict[str, str] = {}
        clock = max(node.now, node.monotonic_ms(world.now))
        for key in self.keys:
            bound = self._find(node.component.bindings, clock, key)
            now[key] = f"{key} {bound.provider}" if bound is not None else f"{key} none"
            if bound is None and key not in last:
                last[key] = now[key]
        figures = node.component.bindings.table.status()
        now["changes"] = f"{figures['held']} {figures['graves']}"
        for group, most in self.groups.items():
            now[group] = last.get(group, f"0 of {group}")
            if now["changes"] != last.get("changes") or group not in last:
                found = (self._find(node.component.bindings, clock, f"{group}{number}") for number in range(most))
                now[group] = f"{sum(bound is not None for bound in found)} of {group}"
                last.setdefault(group, f"0 of {group}")
        for key, text in now.items():
            if last.get(key) != text and key != "changes":
                world.observed_lines.append(ObservedLine(world.now, name, text))
        self.last[name] = (node.component, now)

    def _find(self, bindings: Bindings, clock: float, key: str) -> Bound | None:
        return bindings.table.find(clock, kind_of(key), key.encode())

    def ask(self, world: World, name: str, words: str) -> None:
        """ValueError on words that there are not."""
        node = world.nodes[name]
        word, _, rest = words.partition(" ")
        about = rest.split()
        if word in ("gone", "back"):
            there = self.there.setdefault(name, dict(THERE))
            there.pop(about[0], None)
            if word == "back":
                there[about[0]] = THERE[about[0]]
            world.deliver_event(name, ComponentEvent(PREFIX, Providers(dict(there))))
            return
        if node.component is None or node.paused:
            return
        table, clock = node.component.bindings.table, max(node.now, node.monotonic_ms(world.now))
        if word == "see":
            state = State[about[2].upper()] if len(about) > 2 else State.OPEN
            if not table.see(clock, kind_of(about[0]), about[0].encode(), about[1], state):
                world.observed_lines.append(ObservedLine(world.now, name, f"{about[0]} refused"))
        elif word == "undo":
            table.undo(clock, kind_of(about[0]), about[0].encode())
        elif word in GROUPS:
            group, state = GROUPS[word]
            refused = sum(
                not table.see(clock, kind_of(group), f"{group}{number}".encode(), about[1], state)
                for number in range(int(about[0]))
            )
            self.groups[group] = int(about[0])
            if refused:
                world.observed_lines.append(ObservedLine(world.now, name, f"{refused} of {group} refused"))
        else:
            raise ValueError(f"ask {name} {words}: no such words")
        self.look(world, name)


def outcome(scenario: ExpectedTimeline, exact: bool = True) -> Outcome:
    """AssertionError where it did not come out, if `exact`."""
    tuning = replace(
        TUNING,
        most=int(scenario.number("most", TUNING.most)),
        most_opening=scenario.number("opening", TUNING.most_opening),
    )
    prober = Prober(scenario)
    seeds = [address(name) for name in scenario.nodes[:2]]

    def make(name: str, seed: int, process_epoch: int, held: StoredLog) -> Told:
        members = Membership(name, address(name), process_epoch, seeds, MEMBERS, seed)
        return Told(members, Bindings(name, process_epoch, SECRET, tuning, seed))

    return (check if exact else simulate)(scenario, make, prober.ask, prober.begin)
