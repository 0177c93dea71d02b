"""The log in simulated time: members with a table on top, clients that propose and read, seeded faults, a checker.

A table of index to proposal id stands in for the layers above. Callers of `Run` drive the clients;
`run_random_faults(seed)` is one run under all kinds of faults at once, the same for the same seed.
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

ACTIONS_FOR_LAYERS_ABOVE = (
    api.EntryCommitted,
    api.SnapshotInstalled,
    api.ProposalCommitted,
    api.ProposalRejected,
    api.OutcomeUnknown,
    api.ReadReady,
    api.LeaderChanged,
    api.SnapshotRequested,
)
FAST_TUNING = consensus.Tuning(
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
    """A component for the simulated world: consensus, and a table on top of it."""

    def __init__(self, run: Run, name: str, seed: int, stored_log: StoredLog) -> None:
        self.consensus = consensus.Consensus(name, run.voters, stored_log, run.tuning, seed)
        self._run, self._name = run, name
        state = self.consensus.state
        self.table: Table = msgspec.msgpack.decode(state, type=Table) if state else {}
        run.checker.process_started(name, self.consensus.index, self.table)

    def handle(self, now: float, event: Any) -> list[Any]:
        """Handles one event; shows it and the resulting actions to the checker."""
        run, name = self._run, self._name
        run.checker.observe(run.world.now, name, event)
        out: list[Any] = []
        for action in self.consensus.handle(now, event):
            if isinstance(action, ACTIONS_FOR_LAYERS_ABOVE):
                out += self._handle_for_layers_above(now, action)
            else:
                run.checker.observe(run.world.now, name, action)
                out.append(action)
        return out

    def _handle_for_layers_above(self, now: float, action: Any) -> list[Any]:
        run, name = self._run, self._name
        if isinstance(action, api.SnapshotRequested):
            return self.handle(now, api.SnapshotState(action.index, msgspec.msgpack.encode(self.table) + b""))
        if isinstance(action, api.SnapshotInstalled):
            self.table = msgspec.msgpack.decode(action.state, type=Table)
            run.checker.snapshot_installed(name, action.index, self.table)
        else:
            if isinstance(action, api.EntryCommitted):
                self.table[action.index] = action.id
            run.checker.observe(run.world.now, name, action)
        run.on_action(name, action)
        return []


class Run:
    """A simulated group with its checker. Times in ms of simulated time."""

    def __init__(
        self,
        nodes: Iterable[str],
        voters: tuple[str, ...],
        seed: int = 0,
        *,
        tuning: consensus.Tuning = FAST_TUNING,
        **network: Any,
    ) -> None:
        self.voters, self.tuning = voters, tuning
        self.names = list(nodes)
        self.random = Random(f"{seed} run")
        self.checker = Checker(lambda: {name: node.disk.content for name, node in self.world.nodes.items()})
        self.world = World(
            self.names,
            lambda name, seed, process_epoch, stored_log: Member(self, name, seed, stored_log),
            seed,
            **network,
        )
        self.ticket = 0
        self.proposed_at_ms: dict[int, float] = {}
        self.acknowledgement_ms: list[float] = []  # ms from each proposal to its acknowledgement
        self.action_observer: Callable[[str, Any], None] | None = None

    def on_action(self, name: str, action: Any) -> None:
        """A member has sent an action to the layers above."""
        if isinstance(action, api.ProposalCommitted) and action.ticket in self.proposed_at_ms:
            self.acknowledgement_ms.append(self.world.now - self.proposed_at_ms.pop(action.ticket))
        if self.action_observer is not None:
            self.action_observer(name, action)

    def propose(self, name: str, proposal_id: str = "", data: bytes = b"x") -> int:
        """Proposes an entry at a node; returns the ticket."""
        self.ticket += 1
        self.proposed_at_ms[self.ticket] = self.world.now
        self.world.deliver_event(name, api.Propose(self.ticket, data, proposal_id or f"p{self.ticket}"))
        return self.ticket

    def read(self, name: str) -> int:
        """Requests a read at a node; returns the ticket."""
        self.ticket += 1
        self.world.deliver_event(name, api.ReadIndex(self.ticket))
        return self.ticket

    def change(self, name: str, add: str = "", remove: str = "") -> int:
        """Requests a change of the voters at a node; returns the ticket."""
        self.ticket += 1
        self.world.deliver_event(name, api.ChangeVoters(self.ticket, add, remove))
        return self.ticket

    def leader(self) -> str | None:
        """Of the nodes that lead by their own state, the one with the highest term."""
        leaders = [
            (component.term, name)
            for name in self.names
            if (component := self.consensus_of(name)) is not None and component.leader == name
        ]
        return max(leaders)[1] if leaders else None

    def consensus_of(self, name: str) -> Any:
        """The Consensus object of a node; None while its process is down."""
        component = self.world.component(name)
        return component.consensus if component is not None else None

    def run_until(self, condition: Callable[[], bool], timeout_ms: float, step_ms: float = 10.0) -> float:
        """Runs until the condition is met; returns the ms that this took. Raises AssertionError after `timeout_ms`."""
        began_ms = self.world.now
        while not condition():
            if self.world.now - began_ms >= timeout_ms:
                roles = {
                    name: self.consensus_of(name).role.value
                    for name in self.names
                    if self.consensus_of(name) is not None
                }
                raise AssertionError(f"not within {timeout_ms:g} ms: {roles}")
            self.world.run(self.world.now + step_ms)
        return self.world.now - began_ms

    def wipe(self, name: str) -> None:
        """Ends the process of a node and empties its disk."""
        self.checker.disk_wiped(self.world.nodes[name].disk.content)
        self.world.wipe(name)

    def end_faults(self) -> None:
        """Ends all faults and starts or wakes all processes."""
        for text in ("heal", "loss 0%", "double 0%", "delay 1..1"):
            self.world.apply_fault(faults.parse(text))
        for name, node in self.world.nodes.items():
            self.world.apply_fault(faults.parse(f"disk {name} ok"))
            if not self.world.alive(name):
                self.world.start(name)
            elif node.paused:
                self.world.wake(name)

    def check_convergence(self, timeout_ms: float = 20_000.0) -> None:
        """Ends all faults, and checks that a further proposal and all acknowledged ones reach every node."""
        self.end_faults()
        proposal_id = f"last{self.world.now:.0f}"
        proposed_at_ms = [-1e9]

        def everywhere() -> bool:
            leader = self.leader()
            if leader is not None and self.world.now - proposed_at_ms[0] >= 500:
                proposed_at_ms[0] = self.world.now
                self.propose(leader, proposal_id)
            return all(proposal_id in self.world.component(name).table.values() for name in self.names)

        self.run_until(everywhere, timeout_ms)
        self.world.run(self.world.now + 2 * self.tuning.learner_ms)
        self.checker.check_converged(self.names)


def run_random_faults(seed: int, duration_ms: float = 4000.0, prepare: Callable[[Run], None] | None = None) -> Run:
    """A randomized fault run: three or five voters, up to two learners, clients at every node, faults all the time.

    All faults end at the end, and the group must converge. `prepare` is called once a leader is elected.
    """
    random = Random(f"{seed} storm")
    voter_count = random.choice((3, 3, 5))
    names = list("abcdefg"[: voter_count + random.choice((0, 1, 2))])
    run = Run(names, tuple(names[:voter_count]), seed, drift_ppm=5000.0, wake_order=random.choice(("timers", "heard")))
    run.run_until(lambda: run.leader() is not None, 10_000)
    world = run.world
    if prepare is not None:
        prepare(run)
    began_ms = world.now
    world.apply_fault(faults.parse(f"loss {random.choice((0, 0, 5, 20))}%"))
    world.apply_fault(faults.parse(f"delay 1..{random.choice((1, 5, 40))}"))
    world.apply_fault(faults.parse(f"double {random.choice((0, 10))}%"))
    # Either a disk is lost or voters change: a change may leave two voters, of which none may lose its disk.
    wiped = changes = random.random() < 0.5
    repeated_ids: list[str] = []
    while world.now < began_ms + duration_ms:
        world.run(world.now + random.choice((1, 5, 20, 60)))
        name = random.choice(names)
        choice = random.random()
        if choice < 0.55:
            proposal_id = random.choice(repeated_ids) if repeated_ids and random.random() < 0.3 else f"s{run.ticket}"
            run.propose(name, proposal_id)
            if random.random() < 0.3:
                repeated_ids.append(proposal_id)
        elif choice < 0.8:
            run.read(name)
        elif choice < 0.83 and changes:
            world.run(world.now + 20)
            leader = run.leader() or name
            run.change(leader, *random.sample(["", *names], 2))
        elif choice > 0.92:
            wiped = _fault(run, random, name, wiped)
    run.check_convergence()
    return run


def _fault(run: Run, random: Random, name: str, wiped: bool) -> bool:
    """Injects one random fault. Returns whether a disk was wiped so far: it is done at most once in a run."""
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
    other_nodes = [node for node in run.names if node != name]
    if kind == "leader":
        name = run.leader() or name
        kind = random.choice(("pause", "kill", "one way", "cut"))
        other_nodes = [node for node in run.names if node != name]
    if kind == "kill" and world.alive(name):
        world.kill(name)
    elif kind == "start" and not world.alive(name):
        world.start(name)
    elif kind in ("pause", "wake") and world.alive(name):
        getattr(world, kind)(name)
    elif kind == "cut":
        world.apply_fault(faults.parse(f"cut {name} | {' '.join(other_nodes)}"))
    elif kind == "one way":
        joined_names = " ".join(other_nodes)
        world.apply_fault(faults.parse(random.choice((f"cut {name} > {joined_names}", f"cut {joined_names} > {name}"))))
    elif kind == "heal":
        world.apply_fault(faults.parse("heal"))
    elif kind == "disk":
        world.apply_fault(faults.parse(f"disk {name} {random.choice(('full', 'torn', 'slow 150', 'read-only'))}"))
    elif kind == "disk ok":
        world.apply_fault(faults.parse(f"disk {name} ok"))
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
