"""Internal errors in the middle of a decision: the request gets exactly one answer, and counters stay correct."""

from __future__ import annotations

import heapq
import logging
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import pytest

from limenotch.balancing import Balancer, balancer, balancer_state, endpoint_selection, weights
from limenotch.balancing.actions import Action, CancelAttempt, FailRequest, RejectRequest, SendAttempt, SetTimer
from limenotch.balancing.contained_balancer import ContainedBalancer
from limenotch.balancing.events import (
    AttemptFinished,
    Event,
    MembershipKind,
    MembershipUpdate,
    RequestArrived,
    TimerFired,
)
from limenotch.balancing.types import BalancerSettings, Effect, Endpoint, Outcome, TrafficClass
from limenotch.internal_errors import MIN_LOG_INTERVAL_S, InternalErrors
from limenotch.net.request import FinalResponse, Request, Verdict

from .helpers.http_peers import LOOK, fetch, reply, replying, with_new_id
from .helpers.processes import free_port, run, with_sidecar
from .helpers.scripted import ScriptedLoadBalancer, make_request_manager

CLASSES = (
    TrafficClass("look", Effect.IDEMPOTENT, 100.0, 300.0),
    TrafficClass("pay", Effect.AT_MOST_ONCE, 100.0, 300.0),
)
ENDPOINTS = tuple(Endpoint(f"e{number}") for number in range(5))
FAILURE_INTERVAL = 3  # one in this many calls of a function fails
DECISIONS = (
    "choose_endpoints",
    "should_hedge_at_once",
    "hedge_delay",
    "is_rejected",
    "record_answer",
    "handle_overdue_attempt",
    "may_repeat",
    "record_arrival",
    "record_send",
    "record_end",
    "record_report",
    "record_outcome",
    "forget_request",
    "_retry_or_finish",
    "_finish_without_success",
)


class InjectedError(Exception):
    """An error injected by a test."""


def failing(original: Callable[..., Any]) -> Callable[..., Any]:
    """A function like `original`, of which every third call fails, alternately before and after it has run."""
    call_count = 0

    def failing_call(*arguments: Any, **keywords: Any) -> Any:
        nonlocal call_count
        call_count += 1
        if call_count % (2 * FAILURE_INTERVAL) == 0:
            raise InjectedError
        result = original(*arguments, **keywords)
        if call_count % FAILURE_INTERVAL == 0:
            raise InjectedError
        return result

    return failing_call


class Simulation:
    """Requests of both classes, and endpoints that succeed, fail, reject or do not respond."""

    def __init__(self) -> None:
        self.errors: list[Exception] = []
        self.balancer = ContainedBalancer(BalancerSettings(CLASSES), 1, self.errors.append)
        self.answers = Counter[str]()
        self._random = Random(1)
        self._events: list[tuple[float, int, Event]] = []
        self._attempts = Counter[str]()
        self._ended: set[tuple[str, int]] = set()
        self._order = 0

    def add(self, time: float, event: Event) -> None:
        self._order += 1
        heapq.heappush(self._events, (time, self._order, event))

    def run(self) -> None:
        while self._events:
            now, _, event = heapq.heappop(self._events)
            if isinstance(event, AttemptFinished):
                if (event.request, event.attempt) in self._ended:
                    continue
                event = self._end(event)
            for action in self.balancer.handle(now, event):
                self._execute(now, action)

    def _end(self, event: AttemptFinished) -> AttemptFinished:
        """Complete the event of an attempt that ended. A successful attempt answers its request."""
        self._ended.add((event.request, event.attempt))
        if event.outcome is Outcome.OK and not self.answers[event.request]:
            self.answers[event.request] += 1
        return event._replace(request_answered=bool(self.answers[event.request]))

    def _execute(self, now: float, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.add(max(action.at_ms, now), TimerFired(action.token))
        elif isinstance(action, SendAttempt):
            assert not self.answers[action.request], "sent after the request was answered"
            number = self._attempts[action.request]
            self._attempts[action.request] += 1
            outcomes = (Outcome.OK, Outcome.OK, Outcome.ERROR, Outcome.REJECTED, Outcome.TIMEOUT)
            outcome = self._random.choice(outcomes)
            elapsed_ms = action.timeout_ms if outcome is Outcome.TIMEOUT else self._random.uniform(1.0, 120.0)
            ended = AttemptFinished(action.request, action.endpoint, number, elapsed_ms, outcome, False, 0.5, 10.0)
            self.add(now + elapsed_ms, ended)
        elif isinstance(action, CancelAttempt):
            ended = AttemptFinished(action.request, "", action.attempt, 1.0, Outcome.CANCELLED)
            self.add(now, ended)
        elif isinstance(action, (RejectRequest, FailRequest)):
            self.answers[action.request] += 1


@pytest.mark.parametrize("name", DECISIONS)
def test_each_request_gets_one_answer_and_all_counters_return_to_zero(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # An error lost the actions decided so far: the request stayed open, counted as in flight, and was never answered.
    owner: Any = balancer if hasattr(balancer, name) else balancer.Balancer
    simulation = Simulation()
    simulation.balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, ENDPOINTS))
    monkeypatch.setattr(owner, name, failing(getattr(owner, name)))
    for number in range(300):
        simulation.add(1.0 + 4.0 * number, RequestArrived(f"r{number}", number % 2, 300.0))
    simulation.run()
    assert {simulation.answers[f"r{number}"] for number in range(300)} == {1}
    assert simulation.errors and all(isinstance(error, InjectedError) for error in simulation.errors)
    state = simulation.balancer
    assert (state.in_flight, state.requests, state.timers) == (0, {}, {})
    assert [each.in_flight for each in state.registry.endpoints.values()] == [0] * len(ENDPOINTS)


def test_a_request_that_may_have_run_is_failed_and_one_that_was_not_sent_is_rejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    errors: list[Exception] = []
    contained = ContainedBalancer(BalancerSettings(CLASSES), 1, errors.append)
    contained.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, ENDPOINTS))
    contained.handle(1.0, RequestArrived("sent", 1, 300.0))
    monkeypatch.setattr(balancer, "choose_endpoints", failing(lambda *_: (None, None)))
    monkeypatch.setattr(balancer_state.BalancerState, "record_outcome", failing(lambda *_: None))
    finished = AttemptFinished("sent", "e0", 0, 5.0, Outcome.ERROR)
    answers = [contained.handle(2.0, RequestArrived(f"new-{number}", 1, 1.0)) for number in range(FAILURE_INTERVAL)][-1]
    assert answers == [RejectRequest(f"new-{FAILURE_INTERVAL - 1}")]
    monkeypatch.setattr(balancer_state.BalancerState, "record_report", lambda *_: 1 / 0)
    assert contained.handle(3.0, finished) == [FailRequest("sent")]
    assert [type(error) for error in errors] == [InjectedError, ZeroDivisionError]


def test_a_failed_update_of_the_weights_fails_no_event(monkeypatch: pytest.MonkeyPatch) -> None:
    errors: list[Exception] = []
    contained = ContainedBalancer(BalancerSettings(CLASSES), 1, errors.append)
    monkeypatch.setattr(weights, "_renew_weights", lambda *_: 1 / 0)
    contained.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, ENDPOINTS))
    sent = list[str]()
    for number in range(100):
        actions = contained.handle(10.0 * number, RequestArrived(f"r{number}", 0, 300.0))
        sent += [action.endpoint for action in actions if isinstance(action, SendAttempt)]
        finished = AttemptFinished(f"r{number}", sent[-1], 0, 5.0, Outcome.OK, True)
        contained.handle(10.0 * number + 5, finished)
        if number == 50:
            contained.handle(505.0, MembershipUpdate(MembershipKind.COMPLETE, ENDPOINTS[:2]))
    assert len(sent) >= 100 and set(sent[:50]) == {each.name for each in ENDPOINTS}
    assert set(sent[60:]) == {"e0", "e1"}
    assert len(errors) > 10


def test_a_balancer_that_does_not_contain_errors_raises_them(monkeypatch: pytest.MonkeyPatch) -> None:
    contained = Balancer(BalancerSettings(CLASSES), 1)
    monkeypatch.setattr(balancer, "choose_endpoints", lambda *_: 1 / 0)
    with pytest.raises(ZeroDivisionError):
        contained.handle(0.0, RequestArrived("r", 0, 300.0))


def test_all_errors_are_counted_and_logged_with_their_cause_at_a_limited_rate(
    caplog: pytest.LogCaptureFixture,
) -> None:
    now = 0.0
    errors = InternalErrors(lambda: now)
    with caplog.at_level(logging.ERROR):
        for _ in range(100):
            errors.report(InjectedError("a cause"), "a decision")
        now = MIN_LOG_INTERVAL_S
        errors.report(InjectedError("another cause"), "a decision")
    assert errors.count == 101
    logged: list[Any] = [record.msg for record in caplog.records]
    assert [(each["event"], each["not_logged_before"]) for each in logged] == [
        ("internal error", 0),
        ("internal error", 99),
    ]
    assert [str(each["exc_info"]) for each in logged] == ["a cause", "another cause"]


def test_a_resumed_admission_that_fails_rejects_the_request() -> None:
    # If a new configuration had removed the request's class, the error left the request open forever.
    class Failing(ScriptedLoadBalancer):
        internal_errors = InternalErrors()

        def request_arrived(self, *arguments: Any, **keywords: Any) -> Any:
            raise KeyError("a removed class")

    async def case() -> None:
        finals: list[FinalResponse] = []
        request_manager, _ = make_request_manager(Failing([]))
        request = Request(1, b"n", "look", None, 1e9, 1.0, finals.append)
        request_manager.open[1] = request
        request_manager._resume_admission(request)
        assert [final.verdict for final in finals] == [Verdict.REJECTED]
        assert not request_manager.open and Failing.internal_errors.count == 1

    run(case())


def test_clients_get_responses_and_operators_see_the_count(monkeypatch: pytest.MonkeyPatch) -> None:
    handler, _ = replying(reply(200))
    admin = free_port()
    monkeypatch.setattr(balancer, "choose_endpoints", failing(endpoint_selection.choose_endpoints))

    async def use(port: int) -> None:
        statuses = [(await fetch(port, with_new_id(LOOK))).status for _ in range(3 * FAILURE_INTERVAL)]
        assert statuses == [200, 200, 503] * 3
        stats = await fetch(admin, b"GET /stats HTTP/1.1\r\nHost: o\r\n\r\n")
        assert b"lb.internal_errors:3|c\n" in stats.body

    run(with_sidecar(handler, use, extra={"admin_addr": f"127.0.0.1:{admin}"}))
