"""A test harness that passes events to a balancer and checks each of its actions against the rules.

The rules: each request gets exactly one answer, in time; a request that may have run is repeated only where its class
allows that; only available endpoints get requests; the settings in force at a request's arrival are respected.
"""

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
SLOW_START = SlowStart(0.2, 10_000.0, 2.5, 1500.0)


def make_endpoints(count: int, state: EndpointState = EndpointState.READY) -> tuple[Endpoint, ...]:
    return tuple(Endpoint(f"10.0.0.{i}:80", state, zone=i % 2, cell=i // 3) for i in range(count))


def make_settings(**changes: object) -> BalancerSettings:
    base: dict[str, object] = {"classes": (READ, WRITE, ZONAL, PAY), "max_attempts": 4, "slow_start": SLOW_START}
    return BalancerSettings(**(base | changes))  # type: ignore[arg-type]


@dataclass
class TrackedRequest:
    arrival: RequestArrived
    deadline: float
    sent: list[tuple[float, str]] = field(default_factory=list)
    sent_to: list[Endpoint] = field(default_factory=list)  # their list entries at the time of sending
    ended: dict[int, Outcome] = field(default_factory=dict)
    answered: bool = False
    max_attempts: int = 0  # by the settings at its arrival
    traffic_class: TrafficClass = READ  # likewise
    may_hedge: bool = True  # likewise
    may_cancel: bool = True  # likewise


class Referee:
    """Tracks the endpoint list, requests and their attempts. Raises AssertionError if an action breaks a rule."""

    def __init__(self, current_settings: BalancerSettings, seed: int = 7, listed: tuple[Endpoint, ...] = ()) -> None:
        self.current_settings, self.now = current_settings, 1000.0
        self.balancer = Balancer(current_settings, seed)
        self.listed: dict[str, Endpoint] = {}
        self.ejected_names: set[str] = set()
        self.tracked: dict[str, TrackedRequest] = {}
        self.timers: list[tuple[float, int]] = []
        self.log: list[Action] = []
        self.request_count = 0
        self.handle_event(BalancerStarted())
        self.update_endpoints(listed)

    def handle_event(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self.check_action(action)
        self.log += actions
        return actions

    def update_endpoints(
        self, listed: tuple[Endpoint, ...], kind: MembershipKind = MembershipKind.COMPLETE
    ) -> list[Action]:
        if kind is MembershipKind.COMPLETE:
            self.listed = {}
        self.listed |= {entry.name: entry for entry in listed}
        return self.handle_event(MembershipUpdate(kind, listed))

    def set_ejected(self, name: str, is_ejected: bool) -> list[Action]:
        if is_ejected:
            self.ejected_names.add(name)
        else:
            self.ejected_names.discard(name)
        return self.handle_event(OperatorEjection(name, is_ejected, self.now))

    def change_settings(self, new_settings: BalancerSettings) -> list[Action]:
        self.current_settings = new_settings
        return self.handle_event(SettingsChanged(new_settings))

    def arrive(
        self, class_index: int = 0, budget_ms: float = 3000.0, tenant: int = 0, single_use_body: bool = False
    ) -> tuple[str, list[Action]]:
        self.request_count += 1
        name = f"request-{self.request_count}"
        arrival = RequestArrived(name, class_index, budget_ms, tenant, single_use_body=single_use_body)
        traffic_class = self.current_settings.classes[class_index]
        current_settings = self.current_settings
        self.tracked[name] = TrackedRequest(
            arrival,
            self.now + budget_ms,
            max_attempts=current_settings.max_attempts,
            traffic_class=traffic_class,
            may_hedge=current_settings.may_hedge,
            may_cancel=current_settings.may_cancel,
        )
        return name, self.handle_event(arrival)

    def finish_attempt(
        self,
        name: str,
        attempt: int = 0,
        outcome: Outcome = Outcome.OK,
        utilisation: float | None = None,
        requests_per_s: float | None = None,
    ) -> list[Action]:
        request = self.tracked[name]
        sent, endpoint = request.sent[attempt]
        request.ended[attempt] = outcome
        request.answered = request.answered or outcome is Outcome.OK
        elapsed_ms = self.now - sent
        return self.handle_event(
            AttemptFinished(name, endpoint, attempt, elapsed_ms, outcome, request.answered, utilisation, requests_per_s)
        )

    def disconnect_client(self, name: str) -> list[Action]:
        self.tracked[name].answered = True
        return self.handle_event(ClientDisconnected(name))

    def start_response(self, name: str, attempt: int = 0) -> list[Action]:
        sent, endpoint = self.tracked[name].sent[attempt]
        return self.handle_event(ResponseStarted(name, endpoint, attempt, self.now - sent))

    def advance(self, duration_ms: float) -> list[Action]:
        """Let `duration_ms` pass; timers fire in order of time."""
        end_ms, actions = self.now + duration_ms, []
        while self.timers and min(self.timers)[0] <= end_ms:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            actions += self.handle_event(TimerFired(timer[1]))
        self.now = end_ms
        return actions

    def run_to_deadlines(self) -> None:
        """Run all requests to their deadlines, at which attempts time out. Each must have one answer by then."""
        while open_requests := [each for each in self.tracked.values() if not each.answered]:
            request = min(open_requests, key=lambda each: each.deadline)
            self.advance(max(request.deadline - self.now, 0.0))
            for attempt in [i for i in range(len(request.sent)) if i not in request.ended]:
                if not request.answered:
                    self.finish_attempt(request.arrival.request, attempt, Outcome.TIMEOUT)
            assert request.answered, f"{request.arrival.request} has no answer"

    def check_action(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.timers.append((max(action.at_ms, self.now), action.token))
        elif isinstance(action, CancelAttempt):
            assert action.attempt < len(self.tracked[action.request].sent), "cancels an attempt that was never sent"
            assert self.tracked[action.request].may_cancel, "cancels although the settings forbid it"
        elif isinstance(action, SendAttempt):
            self.check_send(action)
        elif isinstance(action, (FailRequest, RejectRequest)):
            request = self.tracked[action.request]
            assert not request.answered, "answers a request twice"
            assert self.now <= request.deadline + 20, "answers after the deadline"
            request.answered = True
            traffic_class = request.traffic_class
            retry_is_harmless = traffic_class.effect is Effect.IDEMPOTENT or (
                traffic_class.effect is Effect.DEDUPLICATED and traffic_class.dedup_scope is DedupScope.ALL
            )
            executions = self.may_have_run(request)
            assert isinstance(action, FailRequest) or retry_is_harmless or not executions, (
                "rejects a request that may have run"
            )
            if isinstance(action, RejectRequest) and executions and traffic_class.effect is Effect.DEDUPLICATED:
                arrived_ms = request.deadline - request.arrival.budget_ms
                assert arrived_ms + traffic_class.deadline_ms < executions[0][0] + traffic_class.dedup_window_ms, (
                    "rejects a request that a retry may run again"
                )

    def may_have_run(self, request: TrackedRequest) -> list[tuple[float, str]]:
        return [sent for i, sent in enumerate(request.sent) if request.ended.get(i) not in NEVER_RAN]

    def check_send(self, action: SendAttempt) -> None:
        request = self.tracked[action.request]
        assert not request.answered, "sends an answered request"
        assert self.now <= request.deadline, "sends after the deadline"
        entry = self.listed.get(action.endpoint)
        assert entry is not None and entry.state is EndpointState.READY, (
            "sends to an endpoint that is draining or removed"
        )
        assert action.endpoint not in self.ejected_names, "sends to an endpoint that an operator ejected"
        traffic_class = request.traffic_class
        executions = self.may_have_run(request)
        if executions and traffic_class.effect is Effect.AT_MOST_ONCE:
            raise AssertionError("retries a request that must not run twice")
        if executions and traffic_class.effect is Effect.DEDUPLICATED:
            first = request.sent_to[request.sent.index(executions[0])]
            same_group = (
                first.zone == entry.zone if traffic_class.dedup_scope is DedupScope.ZONE else first.cell == entry.cell
            )
            assert same_group or traffic_class.dedup_scope is DedupScope.ALL, (
                "retries a deduplicated request outside its group"
            )
            assert self.now - executions[0][0] <= traffic_class.dedup_window_ms, (
                "retries a deduplicated request after its window"
            )
        assert len(request.sent) < request.max_attempts, "more attempts than allowed"
        in_flight = [i for i in range(len(request.sent)) if i not in request.ended]
        assert not (request.arrival.single_use_body and in_flight), "sends a single-use body twice at once"
        assert request.may_hedge or not in_flight, "hedges although the settings forbid it"
        assert action.timeout_ms > 0
        request.sent.append((self.now, action.endpoint))
        request.sent_to.append(entry)


def sends(actions: list[Action]) -> list[SendAttempt]:
    return [a for a in actions if isinstance(a, SendAttempt)]
