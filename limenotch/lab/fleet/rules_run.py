"""Rules over the log in simulated time: each member is the log's part and the rules' part, put together by hand.

`storm(seed)` is one run under cuts, pauses, kills, leader changes and clocks that drift as far as the settings allow,
with operators who change the rules everywhere; what came in force is held against checks_rules.Checker.
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
from limenotch.fleet.rules.changes import Check
from limenotch.fleet.rules.document import Document
from limenotch.fleet.rules.messages import RULES
from limenotch.lab.fleet import faults
from limenotch.lab.fleet.checks_rules import Checker
from limenotch.lab.fleet.world import World, address
from limenotch.store.records import StoredLog

TO_RULES = (
    log.EntryCommitted,
    log.SnapshotInstalled,
    log.ProposalCommitted,
    log.ProposalRejected,
    log.OutcomeUnknown,
    log.ReadReady,
    log.LeaderChanged,
)
TOKEN = 1000  # the rules' timers begin here
LOG = consensus.Tuning(
    heartbeat_ms=50,
    election_least_ms=200,
    election_most_ms=400,
    learner_ms=200,
    retry_ms=100,
    ask_ms=1000,
    snapshot_entries=20,
    tail_entries=5,
)
QUICK = Tuning(lease_ms=600, drift=0.02, grace_ms=50, check_ms=200, ask_ms=3000)
FIRST: Document = {
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
    try:
        read_settings(document["settings"])
    except (ValueError, TypeError, AttributeError) as error:
        return f"settings.{error}"
    return None


class Member:
    def __init__(self, run: Run, name: str, seed: int, process_epoch: int, held: StoredLog) -> None:
        self.run, self.name = run, name
        self.agreement = consensus.Consensus(name, run.voters, held, run.log, seed)
        self.rules = Rules(
            name,
            process_epoch,
            run.voters,
            FIRST,
            run.checks.get(name, settings_check),
            run.tuning,
            self.agreement.state,
        )

    def handle(self, now: float, event: Any) -> list[Any]:
        """What parts say to each other waits until all that came before it has been given out, as in a hub: an entry's
        Store must not be passed by that of a proposal which it led to.
        """
        out: list[Any] = []
        waiting: deque[tuple[bool, Any]] = deque()  # for the rules or the log, event
        mine = isinstance(event, MessageReceived) and isinstance(event.message, RULES)
        if isinstance(event, TimerFired) and event.token >= TOKEN:
            mine, event = True, TimerFired(event.token - TOKEN)
        both = isinstance(event, (Started, Fenced, ShutdownStarted))
        if both or mine or isinstance(event, (api.OperatorRequest, api.Counted, api.Voters)):
            waiting.append((True, event))
        if isinstance(event, Started):
            waiting += [(True, MemberChanged(other, "alive", address(other), 1, 1)) for other in self.run.names]
        if both or not waiting:
            waiting.append((False, event))
        while waiting:
            for_rules, event = waiting.popleft()
            if for_rules:
                for action in self.rules.handle(now, event):
                    self._from_rules(action, out, waiting)
                if self.run.hosted:
                    book = self.rules.book
                    self.run.checker.agreed(book.newest, book.document(book.newest))
                continue
            if isinstance(event, log.SnapshotRequested):  # all that was agreed before it has been applied by now
                event = log.SnapshotState(event.index, self.rules.state())
            for action in self.agreement.handle(now, event):
                if isinstance(action, log.SnapshotRequested):
                    waiting.append((False, action))
                elif isinstance(action, TO_RULES):
                    waiting.append((True, action))
                else:
                    out.append(action)
        return out

    def _from_rules(self, action: Any, out: list[Any], waiting: deque[tuple[bool, Any]]) -> None:
        run = self.run
        if isinstance(action, (api.InForce, api.Narrow)):
            if run.hosted:
                node = run.world.nodes[self.name]
                run.checker.acted(run.world.now, self.name, action, node.ahead, node.rate)
        elif isinstance(action, api.OperatorResponse):
            if run.hosted:
                run.answers.append((run.world.now, self.name, action))
            yes = f"yes {action.version}" + (f": {action.text}" if action.text else "")
            out.append(LogLine(yes if action.ok else f"no: {action.text}"))
        elif isinstance(action, SetTimer):
            out.append(SetTimer(action.at_ms, action.token + TOKEN))
        elif isinstance(action, (log.Propose, log.ReadIndex)):
            waiting.append((False, action))
        elif isinstance(action, (SendToMember, LogLine)):
            out.append(action)
        else:
            raise TypeError(f"no action of rules: {action!r}")


class Run:
    def __init__(
        self,
        nodes: Iterable[str],
        voters: tuple[str, ...],
        seed: int | None = 0,
        *,
        tuning: Tuning = QUICK,
        log_tuning: consensus.Tuning = LOG,
        checks: dict[str, Check] | None = None,
        **weather: Any,
    ) -> None:
        """Without a `seed` it has no world and no checker: its members are hosted by a drawing's."""
        self.names, self.voters = list(nodes), voters
        self.tuning, self.log = tuning, log_tuning
        self.checks = checks or {}
        self.checker = Checker()
        self.answers: list[tuple[float, str, api.OperatorResponse]] = []
        self.ticket = 0
        self.hosted = seed is not None
        if seed is not None:
            self.world = World(self.names, self.make, seed, **weather)

    def make(self, name: str, seed: int, process_epoch: int, held: StoredLog) -> Member:
        return Member(self, name, seed, process_epoch, held)

    def rules(self, name: str) -> Rules | None:
        part = self.world.part(name)
        return part.rules if part is not None else None

    def ask(self, name: str, what: str, **document: Any) -> int:
        self.ticket += 1
        self.world.poke(name, api.OperatorRequest(self.ticket, what, document, f"ask{self.ticket}"))
        return self.ticket

    def answer(self, ticket: int) -> api.OperatorResponse | None:
        return next((answer for _, _, answer in self.answers if answer.ticket == ticket), None)

    def _clock(self, name: str) -> float:
        return self.world.nodes[name].clock(self.world.now)

    def kill(self, name: str) -> None:
        self.world.kill(name)
        self.checker.ended(self.world.now, name)

    def leader(self) -> str | None:
        leading = [(rules.term, name) for name in self.names if (rules := self.rules(name)) and rules.leads]
        return max(leading)[1] if leading else None

    def settled(self, most_ms: float = 10_000.0) -> None:
        """Until all act under a lease on the newest version, active. AssertionError if not in time."""
        until = self.world.now + most_ms
        while True:
            held = [rules for name in self.names if (rules := self.rules(name)) is not None]
            newest = max((rules.book.newest for rules in held), default=0)
            if len(held) == len(self.names) and all(
                rules.book.active == newest and rules.holder.parts and rules.holder.is_valid(self._clock(rules.name))
                for rules in held
            ):
                return
            if self.world.now >= until:
                raise AssertionError(
                    f"not within {most_ms:g} ms: "
                    + ", ".join(
                        f"{one.name} {one.book.active}/{one.book.newest} parts {one.holder.parts}" for one in held
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


def storm(seed: int, span_ms: float = 6000.0, tuning: Tuning = QUICK) -> Run:
    """Clocks differ by up to the bound of drift: each is out by a little less than half of it."""
    random = Random(f"{seed} rules")
    many = random.choice((3, 3, 5))
    names = list("abcdefgh"[: many + random.choice((0, 1, 3))])
    run = Run(
        names,
        tuple(names[:many]),
        seed,
        tuning=tuning,
        drift_ppm=tuning.drift * 0.49e6,
        wake=random.choice(("timers", "heard")),
    )
    world = run.world
    run.settled()
    world.fault(faults.parse(f"loss {random.choice((0, 0, 5, 20))}%"))
    world.fault(faults.parse(f"delay 1..{random.choice((1, 5, 40))}"))
    begin = world.now
    while world.now < begin + span_ms:
        world.run(world.now + random.choice((5, 20, 60, 150)))
        name = random.choice(names)
        what = random.random()
        if what < 0.35:
            run.ask(name, "propose", change=_change(random, run.ticket))
        elif what < 0.42:
            run.ask(name, "ban", upstream=f"u{random.randint(1, 3)}")
        elif what > 0.78:
            _fault(run, random, name)
    calm(run)
    run.settled(15_000)
    run.checker.check(world.now, tuning.contradiction_ms)
    return run


def _fault(run: Run, random: Random, name: str) -> None:
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
    rest = " ".join(other for other in run.names if other != name)
    if kind == "kill" and world.alive(name):
        run.kill(name)
    elif kind == "start" and not world.alive(name):
        world.start(name)
    elif kind in ("pause", "wake") and world.alive(name):
        getattr(world, kind)(name)
    elif kind == "cut":
        world.fault(faults.parse(f"cut {name} | {rest}"))
    elif kind == "one way":
        world.fault(faults.parse(random.choice((f"cut {name} > {rest}", f"cut {rest} > {name}"))))
    elif kind == "heal":
        world.fault(faults.parse("heal"))
    elif kind == "fence" and world.alive(name):
        world.poke(name, Fenced())


def calm(run: Run) -> None:
    world = run.world
    for text in ("heal", "loss 0%", "delay 1..1"):
        world.fault(faults.parse(text))
    for name, node in world.nodes.items():
        if not world.alive(name):
            world.start(name)
        elif node.paused:
            world.wake(name)
