"""A referee for tests: hands events to a balancer and checks each action against the four rules."""

from __future__ import annotations

from dataclasses import dataclass, field

from limenotch.balancing.actions import Action, CancelAttempt, FailRequest, RejectRequest, SendAttempt, SetTimer
from limenotch.balancing.balancer import Balancer
from limenotch.balancing.events import (
    AttemptFinished,
    BalancerStarted,
    ClientDisconnected,
    Event,
    MembershipKind,
    MembershipUpdate,
    OperatorEjection,
    RequestArrived,
    ResponseStarted,
    SettingsChanged,
    TimerFired,
)
from limenotch.balancing.types import (
    NEVER_RAN,
    BalancerSettings,
    DedupScope,
    Effect,
    Endpoint,
    EndpointState,
    Outcome,
    SlowStart,
    TrafficClass,
)

READ = TrafficClass("read", Effect.IDEMPOTENT, 1000.0, 3000.0, 1.0)
WRITE = TrafficClass("write", Effect.DEDUPLICATED, 1000.0, 3000.0, 3.0, 0.0, DedupScope.CELL, 1500.0)
ZONAL = TrafficClass("zonal", Effect.DEDUPLICATED, 1000.0, 3000.0, 3.0, 0.0, DedupScope.ZONE, 1500.0)
PAY = TrafficClass("pay", Effect.AT_MOST_ONCE, 1000.0, 3000.0, 5.0)
COLD = SlowStart(0.2, 10_000.0, 2.5, 1500.0)


def fleet(count: int, stage: EndpointState = EndpointState.READY) -> tuple[Endpoint, ...]:
    return tuple(Endpoint(f"10.0.0.{i}:80", stage, zone=i % 2, cell=i // 3) for i in range(count))


def settings(**changes: object) -> BalancerSettings:
    base: dict[str, object] = {"classes": (READ, WRITE, ZONAL, PAY), "max_attempts": 4, "slow_start": COLD}
    return BalancerSettings(**(base | changes))  # type: ignore[arg-type]


@dataclass
class Held:
    arrival: RequestArrived
    deadline: float
    sent: list[tuple[float, str]] = field(default_factory=list)
    sent_to: list[Endpoint] = field(default_factory=list)  # as listed at each send
    ended: dict[int, Outcome] = field(default_factory=dict)
    over: bool = False
    most: int = 0  # attempts, by the settings in force when it came
    cls: TrafficClass = READ  # likewise
    may_hedge: bool = True  # likewise
    may_cancel: bool = True  # likewise


class Referee:
    """Knows the list as told, the calls held and their attempts; raises where a rule breaks."""

    def __init__(self, given: BalancerSettings, seed: int = 7, rows: tuple[Endpoint, ...] = ()) -> None:
        self.given, self.now = given, 1000.0
        self.balancer = Balancer(given, seed)
        self.rows: dict[str, Endpoint] = {}
        self.banned: set[str] = set()
        self.calls: dict[str, Held] = {}
        self.timers: list[tuple[float, int]] = []
        self.log: list[Action] = []
        self.count = 0
        self.tell(BalancerStarted())
        self.members(rows)

    def tell(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self.check(action)
        self.log += actions
        return actions

    def members(self, rows: tuple[Endpoint, ...], listing: MembershipKind = MembershipKind.COMPLETE) -> list[Action]:
        if listing is MembershipKind.COMPLETE:
            self.rows = {}
        self.rows |= {row.name: row for row in rows}
        return self.tell(MembershipUpdate(listing, rows))

    def ban(self, name: str, out: bool) -> list[Action]:
        if out:
            self.banned.add(name)
        else:
            self.banned.discard(name)
        return self.tell(OperatorEjection(name, out, self.now))

    def retune(self, given: BalancerSettings) -> list[Action]:
        self.given = given
        return self.tell(SettingsChanged(given))

    def arrive(
        self, index: int = 0, budget: float = 3000.0, tenant: int = 0, once: bool = False
    ) -> tuple[str, list[Action]]:
        self.count += 1
        name = f"call-{self.count}"
        arrival = RequestArrived(name, index, budget, tenant, single_use_body=once)
        cls = self.given.classes[index]
        given = self.given
        self.calls[name] = Held(
            arrival,
            self.now + budget,
            most=given.max_attempts,
            cls=cls,
            may_hedge=given.may_hedge,
            may_cancel=given.may_cancel,
        )
        return name, self.tell(arrival)

    def finish(
        self,
        name: str,
        attempt: int = 0,
        outcome: Outcome = Outcome.OK,
        util: float | None = None,
        per_s: float | None = None,
    ) -> list[Action]:
        held = self.calls[name]
        sent, upstream = held.sent[attempt]
        held.ended[attempt] = outcome
        held.over = held.over or outcome is Outcome.OK
        spent = self.now - sent
        return self.tell(AttemptFinished(name, upstream, attempt, spent, outcome, held.over, util, per_s))

    def leave(self, name: str) -> list[Action]:
        self.calls[name].over = True
        return self.tell(ClientDisconnected(name))

    def begin(self, name: str, attempt: int = 0) -> list[Action]:
        sent, upstream = self.calls[name].sent[attempt]
        return self.tell(ResponseStarted(name, upstream, attempt, self.now - sent))

    def wait(self, span: float) -> list[Action]:
        """Let time pass; timers fire and time-outs end what is still out, in order of time."""
        until, actions = self.now + span, []
        while self.timers and min(self.timers)[0] <= until:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            actions += self.tell(TimerFired(due[1]))
        self.now = until
        return actions

    def settle(self) -> None:
        """Run every call to its deadline; each must have had its one answer by then."""
        while open_calls := [h for h in self.calls.values() if not h.over]:
            held = min(open_calls, key=lambda h: h.deadline)
            self.wait(max(held.deadline - self.now, 0.0))
            for attempt in [i for i in range(len(held.sent)) if i not in held.ended]:
                if not held.over:
                    self.finish(held.arrival.request, attempt, Outcome.TIMEOUT)
            assert held.over, f"{held.arrival.request} was lost"

    def check(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.timers.append((max(action.at_ms, self.now), action.token))
        elif isinstance(action, CancelAttempt):
            assert action.attempt < len(self.calls[action.request].sent), "cancels what was never sent"
            assert self.calls[action.request].may_cancel, "cancels where the settings forbid it"
        elif isinstance(action, SendAttempt):
            self.check_send(action)
        elif isinstance(action, (FailRequest, RejectRequest)):
            held = self.calls[action.request]
            assert not held.over, "answers twice"
            assert self.now <= held.deadline + 20, "answers too late"
            held.over = True
            cls = held.cls
            free = cls.effect is Effect.IDEMPOTENT or (
                cls.effect is Effect.DEDUPLICATED and cls.dedup_scope is DedupScope.ALL
            )
            ran = self.may_have_run(held)
            assert isinstance(action, FailRequest) or free or not ran, "refuses what may have run"
            if isinstance(action, RejectRequest) and ran and cls.effect is Effect.DEDUPLICATED:
                came = held.deadline - held.arrival.budget_ms
                assert came + cls.deadline_ms < ran[0][0] + cls.dedup_window_ms, "refuses what its repeat may run again"

    def may_have_run(self, held: Held) -> list[tuple[float, str]]:
        return [s for i, s in enumerate(held.sent) if held.ended.get(i) not in NEVER_RAN]

    def check_send(self, action: SendAttempt) -> None:
        held = self.calls[action.request]
        assert not held.over, "sends for a call that is over"
        assert self.now <= held.deadline, "sends after the deadline"
        row = self.rows.get(action.endpoint)
        assert row is not None and row.state is EndpointState.READY, "sends to an upstream that drains or is gone"
        assert action.endpoint not in self.banned, "sends to an upstream that is out by hand"
        cls = held.cls
        ran = self.may_have_run(held)
        if ran and cls.effect is Effect.AT_MOST_ONCE:
            raise AssertionError("sends an unsafe call again")
        if ran and cls.effect is Effect.DEDUPLICATED:
            first = held.sent_to[held.sent.index(ran[0])]
            same = first.zone == row.zone if cls.dedup_scope is DedupScope.ZONE else first.cell == row.cell
            assert same or cls.dedup_scope is DedupScope.ALL, "repeats a keyed call outside its group"
            assert self.now - ran[0][0] <= cls.dedup_window_ms, "repeats a keyed call after its window"
        assert len(held.sent) < held.most, "more attempts than allowed"
        copies = [i for i in range(len(held.sent)) if i not in held.ended]
        assert not (held.arrival.single_use_body and copies), "sends to two what can go out once"
        assert held.may_hedge or not copies, "sends a copy where the settings forbid any"
        assert action.timeout_ms > 0
        held.sent.append((self.now, action.endpoint))
        held.sent_to.append(row)


def sends(actions: list[Action]) -> list[SendAttempt]:
    return [a for a in actions if isinstance(a, SendAttempt)]
