"""Rules over the log in simulated time: each member is a log component and a rules component, connected by hand.

`randomized_run(seed)` is one run with network partitions, pauses, kills, leader changes and clocks that drift as far as
the settings allow, with operators who change the rules at every member; what was in force is checked by
checks_rules.RulesChecker.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from random import Random
from typing import Any

from limenotch.balancing.settings import read_settings
from limenotch.fleet import consensus
from limenotch.fleet.consensus import api as log
from limenotch.fleet.interfaces import (
    Fenced,
    LogLine,
    MemberChanged,
    MessageReceived,
    SendToMember,
    SetTimer,
    ShutdownStarted,
    Started,
    TimerFired,
)
from limenotch.fleet.rules import Rules, Tuning, api
from limenotch.fleet.rules.changes import DocumentCheck
from limenotch.fleet.rules.document import Document
from limenotch.fleet.rules.messages import RULES_MESSAGES
from limenotch.lab.fleet import faults
from limenotch.lab.fleet.checks_rules import RulesChecker
from limenotch.lab.fleet.world import World, address
from limenotch.store.records import StoredLog

FOR_RULES = (
    log.EntryCommitted,
    log.SnapshotInstalled,
    log.ProposalCommitted,
    log.ProposalRejected,
    log.OutcomeUnknown,
    log.ReadReady,
    log.LeaderChanged,
)
FIRST_RULES_TOKEN = 1000  # the rules' timers have tokens from here on
LOG_TUNING = consensus.Tuning(
    heartbeat_ms=50,
    election_least_ms=200,
    election_most_ms=400,
    learner_ms=200,
    retry_ms=100,
    ask_ms=1000,
    snapshot_entries=20,
    tail_entries=5,
)
QUICK_TUNING = Tuning(lease_ms=600, drift=0.02, grace_ms=50, check_ms=200, ask_ms=3000)
FIRST_DOCUMENT: Document = {
    "settings": {
        "classes": [
            {"name": "read", "effect": "idempotent", "target_ms": 100, "hard_limit_ms": 1000},
            {
                "name": "pay",
                "effect": "deduplicated",
                "dedup_scope": "all",
                "window_ms": 5000,
                "target_ms": 200,
                "hard_limit_ms": 2000,
            },
        ],
        "tenants": [{"name": "t1", "quota_per_s": 100}],
        "permissions": {"max_attempts": 3},
    },
    "bans": {},
    "directory": "127.0.0.1:7700",
}


def settings_check(document: Document) -> str | None:
    """What the program's own reader of settings objects to."""
    try:
        read_settings(document["settings"])
    except (ValueError, TypeError, AttributeError) as error:
        return f"settings.{error}"
    return None


class RulesMember:
    """One node's components."""

    def __init__(self, run: RulesRun, name: str, seed: int, process_epoch: int, stored: StoredLog) -> None:
        self.run, self.name = run, name
        self.log_component = consensus.Consensus(name, run.voters, stored, run.log, seed)
        self.rules_component = Rules(
            name,
            process_epoch,
            run.voters,
            FIRST_DOCUMENT,
            run.checks.get(name, settings_check),
            run.tuning,
            self.log_component.state,
        )

    def handle(self, now: float, event: Any) -> list[Any]:
        """Feed an event to the components.

        What they send to each other waits until all actions before it have been handed out, as in a hub: an entry's
        Store must not be overtaken by that of a proposal which it led to.
        """
        actions: list[Any] = []
        pending: deque[tuple[bool, Any]] = deque()  # whether for the rules (else the log), and the event
        is_for_rules = isinstance(event, MessageReceived) and isinstance(event.message, RULES_MESSAGES)
        if isinstance(event, TimerFired) and event.token >= FIRST_RULES_TOKEN:
            is_for_rules, event = True, TimerFired(event.token - FIRST_RULES_TOKEN)
        is_for_both = isinstance(event, (Started, Fenced, ShutdownStarted))
        if (
            is_for_both
            or is_for_rules
            or isinstance(event, (api.OperatorRequest, api.RequestsCounted, api.VotersChanged))
        ):
            pending.append((True, event))
        if isinstance(event, Started):
            pending += [(True, MemberChanged(peer, "alive", address(peer), 1, 1)) for peer in self.run.names]
        if is_for_both or not pending:
            pending.append((False, event))
        while pending:
            for_rules, event = pending.popleft()
            if for_rules:
                for action in self.rules_component.handle(now, event):
                    self._apply_rules_action(action, actions, pending)
                if self.run.has_world:
                    rules = self.rules_component.rules
                    self.run.checker.version_agreed(rules.newest, rules.document(rules.newest))
                continue
            if isinstance(event, log.SnapshotRequested):  # all entries before it have been applied by now
                event = log.SnapshotState(event.index, self.rules_component.state())
            for action in self.log_component.handle(now, event):
                if isinstance(action, log.SnapshotRequested):
                    pending.append((False, action))
                elif isinstance(action, FOR_RULES):
                    pending.append((True, action))
                else:
                    actions.append(action)
        return actions

    def _apply_rules_action(self, action: Any, actions: list[Any], pending: deque[tuple[bool, Any]]) -> None:
        run = self.run
        if isinstance(action, (api.RulesInForce, api.RestrictedRules)):
            if run.has_world:
                node = run.world.nodes[self.name]
                run.checker.rules_reported(run.world.now, self.name, action, node.clock_offset_ms, node.clock_rate)
        elif isinstance(action, api.OperatorResponse):
            if run.has_world:
                run.answers.append((run.world.now, self.name, action))
            text = f"yes {action.version}" + (f": {action.text}" if action.text else "")
            actions.append(LogLine(text if action.ok else f"no: {action.text}"))
        elif isinstance(action, SetTimer):
            actions.append(SetTimer(action.at_ms, action.token + FIRST_RULES_TOKEN))
        elif isinstance(action, (log.Propose, log.ReadIndex)):
            pending.append((False, action))
        elif isinstance(action, (SendToMember, LogLine)):
            actions.append(action)
        else:
            raise TypeError(f"no action of rules: {action!r}")


class RulesRun:
    """Members, and what operators and the checker know of them."""

    def __init__(
        self,
        nodes: Iterable[str],
        voters: tuple[str, ...],
        seed: int | None = 0,
        *,
        tuning: Tuning = QUICK_TUNING,
        log_tuning: consensus.Tuning = LOG_TUNING,
        checks: dict[str, DocumentCheck] | None = None,
        **network_conditions: Any,
    ) -> None:
        """Without a `seed` it has no world and no checker: its members run in the world of an expected timeline."""
        self.names, self.voters = list(nodes), voters
        self.tuning, self.log = tuning, log_tuning
        self.checks = checks or {}
        self.checker = RulesChecker()
        self.answers: list[tuple[float, str, api.OperatorResponse]] = []
        self.ticket = 0
        self.has_world = seed is not None
        if seed is not None:
            self.world = World(self.names, self.make, seed, **network_conditions)

    def make(self, name: str, seed: int, process_epoch: int, stored: StoredLog) -> RulesMember:
        return RulesMember(self, name, seed, process_epoch, stored)

    def component(self, name: str) -> Rules | None:
        member = self.world.component(name)
        return member.rules_component if member is not None else None

    def ask(self, name: str, operation: str, **document: Any) -> int:
        """An operator's request at a member; returns its ticket."""
        self.ticket += 1
        self.world.deliver_event(name, api.OperatorRequest(self.ticket, operation, document, f"ask{self.ticket}"))
        return self.ticket

    def answer(self, ticket: int) -> api.OperatorResponse | None:
        return next((answer for _, _, answer in self.answers if answer.ticket == ticket), None)

    def _clock(self, name: str) -> float:
        return self.world.nodes[name].monotonic_ms(self.world.now)

    def kill(self, name: str) -> None:
        self.world.kill(name)
        self.checker.process_ended(self.world.now, name)

    def leader(self) -> str | None:
        leaders = [
            (component.term, name) for name in self.names if (component := self.component(name)) and component.is_leader
        ]
        return max(leaders)[1] if leaders else None

    def converge(self, timeout_ms: float = 10_000.0) -> None:
        """Run until all members hold a lease and use the newest version, active. AssertionError after `timeout_ms`."""
        deadline_ms = self.world.now + timeout_ms
        while True:
            components = [component for name in self.names if (component := self.component(name)) is not None]
            newest = max((component.rules.newest for component in components), default=0)
            if len(components) == len(self.names) and all(
                component.rules.active == newest
                and component.lease.divisor
                and component.lease.is_valid(self._clock(component.name))
                for component in components
            ):
                return
            if self.world.now >= deadline_ms:
                raise AssertionError(
                    f"not within {timeout_ms:g} ms: "
                    + ", ".join(
                        f"{each.name} {each.rules.active}/{each.rules.newest} divisor {each.lease.divisor}"
                        for each in components
                    )
                )
            self.world.run(self.world.now + 10)


def _change(random: Random, count: int) -> dict[str, Any]:
    kind = random.randrange(6)
    if kind == 0:
        return {"settings": {"permissions": {"max_attempts": random.randint(1, 6)}}}
    if kind == 1:
        effect = random.choice(("at_most_once", "deduplicated", "idempotent"))
        return {"settings": {"classes": {"pay": {"effect": effect, "window_ms": random.choice((0, 1000, 9000))}}}}
    if kind == 2:
        return {"settings": {"tenants": {"t1": {"quota_per_s": random.choice((0, 10, 50, 200))}}}}
    if kind == 3:
        return {"settings": {"permissions": {"parallel_tries": random.random() < 0.5}}}
    if kind == 4:
        return {"bans": {f"u{random.randint(1, 3)}": {"out": random.random() < 0.5, "at_ms": count}}}
    entry = {"effect": "idempotent", "target_ms": 50, "hard_limit_ms": 500}
    return {"settings": {"classes": {f"c{random.randint(1, 2)}": random.choice((None, entry))}}}


def randomized_run(seed: int, span_ms: float = 6000.0, tuning: Tuning = QUICK_TUNING) -> RulesRun:
    """One randomized fault run.

    Clocks differ by up to the bound of drift: each is off by a little less than half of it.
    """
    random = Random(f"{seed} rules")
    voter_count = random.choice((3, 3, 5))
    names = list("abcdefgh"[: voter_count + random.choice((0, 1, 3))])
    run = RulesRun(
        names,
        tuple(names[:voter_count]),
        seed,
        tuning=tuning,
        drift_ppm=tuning.drift * 0.49e6,
        wake_order=random.choice(("timers", "heard")),
    )
    world = run.world
    run.converge()
    world.apply_fault(faults.parse(f"loss {random.choice((0, 0, 5, 20))}%"))
    world.apply_fault(faults.parse(f"delay 1..{random.choice((1, 5, 40))}"))
    begin_ms = world.now
    while world.now < begin_ms + span_ms:
        world.run(world.now + random.choice((5, 20, 60, 150)))
        name = random.choice(names)
        choice = random.random()
        if choice < 0.35:
            run.ask(name, "propose", change=_change(random, run.ticket))
        elif choice < 0.42:
            run.ask(name, "ban", upstream=f"u{random.randint(1, 3)}")
        elif choice > 0.78:
            _inject_fault(run, random, name)
    end_faults(run)
    run.converge(15_000)
    run.checker.check(world.now, tuning.contradiction_ms)
    return run


def _inject_fault(run: RulesRun, random: Random, name: str) -> None:
    world = run.world
    kind = random.choice(
        (
            "kill",
            "start",
            "start",
            "pause",
            "pause",
            "wake",
            "wake",
            "cut",
            "one way",
            "heal",
            "heal",
            "leader",
            "fence",
        )
    )
    if kind == "leader":
        name = run.leader() or name
        kind = random.choice(("pause", "kill", "one way", "cut"))
    others = " ".join(peer for peer in run.names if peer != name)
    if kind == "kill" and world.alive(name):
        run.kill(name)
    elif kind == "start" and not world.alive(name):
        world.start(name)
    elif kind in ("pause", "wake") and world.alive(name):
        getattr(world, kind)(name)
    elif kind == "cut":
        world.apply_fault(faults.parse(f"cut {name} | {others}"))
    elif kind == "one way":
        world.apply_fault(faults.parse(random.choice((f"cut {name} > {others}", f"cut {others} > {name}"))))
    elif kind == "heal":
        world.apply_fault(faults.parse("heal"))
    elif kind == "fence" and world.alive(name):
        world.deliver_event(name, Fenced())


def end_faults(run: RulesRun) -> None:
    """Remove all network faults, and start and wake all members."""
    world = run.world
    for text in ("heal", "loss 0%", "delay 1..1"):
        world.apply_fault(faults.parse(text))
    for name, node in world.nodes.items():
        if not world.alive(name):
            world.start(name)
        elif node.paused:
            world.wake(name)
