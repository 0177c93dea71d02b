"""The log in simulated time: members that keep what is agreed, clients that propose, faults by a seed, the checker.

A member's layers above are stood in for by a table of index to id. `Run.ask` and the schedules drive clients;
`storm(seed)` is one run under everything at once, the same for the same seed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Any

import msgspec

from limenotch.fleet import consensus
from limenotch.fleet.consensus import api
from limenotch.lab.fleet import faults
from limenotch.lab.fleet.checks_log import Checker
from limenotch.lab.fleet.world import World
from limenotch.store.records import StoredLog

TELLS = (
    api.EntryCommitted,
    api.SnapshotInstalled,
    api.ProposalCommitted,
    api.ProposalRejected,
    api.OutcomeUnknown,
    api.ReadReady,
    api.LeaderChanged,
    api.SnapshotRequested,
)
QUICK = consensus.Tuning(
    heartbeat_ms=50,
    election_least_ms=200,
    election_most_ms=400,
    learner_ms=300,
    retry_ms=100,
    ask_ms=1000,
    snapshot_entries=20,
    tail_entries=5,
    chunk_bytes=256,
    snapshot_bytes_per_s=1 << 20,
)

Table = dict[int, str]


class Member:
    """A part for the world: agreement, and a table above it."""

    def __init__(self, run: Run, name: str, seed: int, held: StoredLog) -> None:
        self.agreement = consensus.Agreement(name, run.voters, held, run.tuning, seed)
        self._run, self._name = run, name
        state = self.agreement.state
        self.table: Table = msgspec.msgpack.decode(state, type=Table) if state else {}
        run.checker.started(name, self.agreement.index, self.table)

    def handle(self, now: float, event: Any) -> list[Any]:
        run, name = self._run, self._name
        run.checker.saw(run.world.now, name, event)
        out: list[Any] = []
        for action in self.agreement.handle(now, event):
            if isinstance(action, TELLS):
                out += self._above(now, action)
            else:
                run.checker.saw(run.world.now, name, action)
                out.append(action)
        return out

    def _above(self, now: float, action: Any) -> list[Any]:
        run, name = self._run, self._name
        if isinstance(action, api.SnapshotRequested):
            return self.handle(now, api.SnapshotState(action.index, msgspec.msgpack.encode(self.table) + b""))
        if isinstance(action, api.SnapshotInstalled):
            self.table = msgspec.msgpack.decode(action.state, type=Table)
            run.checker.installed(name, action.index, self.table)
        else:
            if isinstance(action, api.EntryCommitted):
                self.table[action.index] = action.id
            run.checker.saw(run.world.now, name, action)
        run.told(name, action)
        return []


class Run:
    def __init__(
        self,
        nodes: Iterable[str],
        voters: tuple[str, ...],
        seed: int = 0,
        *,
        tuning: consensus.Tuning = QUICK,
        **weather: Any,
    ) -> None:
        self.voters, self.tuning = voters, tuning
        self.names = list(nodes)
        self.random = Random(f"{seed} run")
        self.checker = Checker(lambda: {name: node.disk.held for name, node in self.world.nodes.items()})
        self.world = World(
            self.names, lambda name, seed, process_epoch, held: Member(self, name, seed, held), seed, **weather
        )
        self.ticket = 0
        self.asked: dict[int, float] = {}
        self.spans: list[float] = []  # ms from proposal to promise
        self.on_told: Callable[[str, Any], None] | None = None

    def told(self, name: str, action: Any) -> None:
        if isinstance(action, api.ProposalCommitted) and action.ticket in self.asked:
            self.spans.append(self.world.now - self.asked.pop(action.ticket))
        if self.on_told is not None:
            self.on_told(name, action)

    def propose(self, name: str, ident: str = "", data: bytes = b"x") -> int:
        self.ticket += 1
        self.asked[self.ticket] = self.world.now
        self.world.poke(name, api.Propose(self.ticket, data, ident or f"p{self.ticket}"))
        return self.ticket

    def read(self, name: str) -> int:
        self.ticket += 1
        self.world.poke(name, api.ReadIndex(self.ticket))
        return self.ticket

    def change(self, name: str, add: str = "", remove: str = "") -> int:
        self.ticket += 1
        self.world.poke(name, api.ChangeVoters(self.ticket, add, remove))
        return self.ticket

    def leader(self) -> str | None:
        """The one in the latest epoch of those that say they lead."""
        leading = [
            (part.term, name) for name in self.names if (part := self.of(name)) is not None and part.leader == name
        ]
        return max(leading)[1] if leading else None

    def of(self, name: str) -> Any:
        part = self.world.part(name)
        return part.agreement if part is not None else None

    def until(self, holds: Callable[[], bool], most_ms: float, step_ms: float = 10.0) -> float:
        """Runs till it holds; gives the ms that took. AssertionError when it doesn't in time."""
        began = self.world.now
        while not holds():
            if self.world.now - began >= most_ms:
                roles = {name: self.of(name).role.value for name in self.names if self.of(name) is not None}
                raise AssertionError(f"not within {most_ms:g} ms: {roles}")
            self.world.run(self.world.now + step_ms)
        return self.world.now - began

    def wipe(self, name: str) -> None:
        self.checker.wiped(self.world.nodes[name].disk.held)
        self.world.wipe(name)

    def calm(self) -> None:
        """All faults end, all processes run."""
        for text in ("heal", "loss 0%", "double 0%", "delay 1..1"):
            self.world.fault(faults.parse(text))
        for name, node in self.world.nodes.items():
            self.world.fault(faults.parse(f"disk {name} ok"))
            if not self.world.alive(name):
                self.world.start(name)
            elif node.paused:
                self.world.wake(name)

    def settle(self, most_ms: float = 20_000.0) -> None:
        """After the heal: a further promise, told everywhere."""
        self.calm()
        ident = f"last{self.world.now:.0f}"
        asked = [-1e9]

        def everywhere() -> bool:
            leader = self.leader()
            if leader is not None and self.world.now - asked[0] >= 500:
                asked[0] = self.world.now
                self.propose(leader, ident)
            return all(ident in self.world.part(name).table.values() for name in self.names)

        self.until(everywhere, most_ms)
        self.world.run(self.world.now + 2 * self.tuning.learner_ms)
        self.checker.ended(self.names)


def storm(seed: int, span_ms: float = 4000.0, before: Callable[[Run], None] | None = None) -> Run:
    """Three or five voters, a learner or two, clients everywhere, and faults all the time; then calm."""
    random = Random(f"{seed} storm")
    many = random.choice((3, 3, 5))
    names = list("abcdefg"[: many + random.choice((0, 1, 2))])
    run = Run(names, tuple(names[:many]), seed, drift_ppm=5000.0, wake=random.choice(("timers", "heard")))
    run.until(lambda: run.leader() is not None, 10_000)
    world = run.world
    if before is not None:
        before(run)
    begin = world.now
    world.fault(faults.parse(f"loss {random.choice((0, 0, 5, 20))}%"))
    world.fault(faults.parse(f"delay 1..{random.choice((1, 5, 40))}"))
    world.fault(faults.parse(f"double {random.choice((0, 10))}%"))
    # Either a disk is lost or voters change: among two voters left by a change, one disk is too many.
    wiped = changes = random.random() < 0.5
    retry: list[str] = []
    while world.now < begin + span_ms:
        world.run(world.now + random.choice((1, 5, 20, 60)))
        name = random.choice(names)
        what = random.random()
        if what < 0.55:
            ident = random.choice(retry) if retry and random.random() < 0.3 else f"s{run.ticket}"
            run.propose(name, ident)
            if random.random() < 0.3:
                retry.append(ident)
        elif what < 0.8:
            run.read(name)
        elif what < 0.83 and changes:
            world.run(world.now + 20)
            leader = run.leader() or name
            run.change(leader, *random.sample(["", *names], 2))
        elif what > 0.92:
            wiped = _fault(run, random, name, wiped)
    run.settle()
    return run


def _fault(run: Run, random: Random, name: str, wiped: bool) -> bool:
    world = run.world
    kind = random.choice(
        (
            "kill",
            "kill",
            "start",
            "pause",
            "pause",
            "wake",
            "wake",
            "cut",
            "one way",
            "heal",
            "heal",
            "disk",
            "disk ok",
            "disk ok",
            "all",
            "wipe",
            "leader",
        )
    )
    others = [other for other in run.names if other != name]
    if kind == "leader":
        name = run.leader() or name
        kind = random.choice(("pause", "kill", "one way", "cut"))
        others = [other for other in run.names if other != name]
    if kind == "kill" and world.alive(name):
        world.kill(name)
    elif kind == "start" and not world.alive(name):
        world.start(name)
    elif kind in ("pause", "wake") and world.alive(name):
        getattr(world, kind)(name)
    elif kind == "cut":
        world.fault(faults.parse(f"cut {name} | {' '.join(others)}"))
    elif kind == "one way":
        rest = " ".join(others)
        world.fault(faults.parse(random.choice((f"cut {name} > {rest}", f"cut {rest} > {name}"))))
    elif kind == "heal":
        world.fault(faults.parse("heal"))
    elif kind == "disk":
        world.fault(faults.parse(f"disk {name} {random.choice(('full', 'torn', 'slow 150', 'read-only'))}"))
    elif kind == "disk ok":
        world.fault(faults.parse(f"disk {name} ok"))
    elif kind == "all":
        for each in run.names:
            if world.alive(each):
                world.kill(each)
            world.start(each)
    elif kind == "wipe" and not wiped:
        run.wipe(name)
        world.start(name)
        return True
    return wiped
