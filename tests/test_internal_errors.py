"""Internal errors in the middle of a decision: the request gets its one answer, and no count is left behind."""

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

from .helpers.http_peers import LOOK, answering, ask, renamed, whole
from .helpers.processes import free_port, run, with_sidecar
from .helpers.scripted import Script, calls_of

CLASSES = (
    TrafficClass("look", Effect.IDEMPOTENT, 100.0, 300.0),
    TrafficClass("pay", Effect.AT_MOST_ONCE, 100.0, 300.0),
)
ENDPOINTS = tuple(Endpoint(f"e{number}") for number in range(5))
EVERY = 3  # calls of a function, of which the last fails
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
    """The error that is injected."""


def failing(original: Callable[..., Any]) -> Callable[..., Any]:
    """The same function, of which every third call fails, in turn before and after it has done its work."""
    calls = 0

    def call(*arguments: Any, **more: Any) -> Any:
        nonlocal calls
        calls += 1
        if calls % (2 * EVERY) == 0:
            raise InjectedError
        result = original(*arguments, **more)
        if calls % EVERY == 0:
            raise InjectedError
        return result

    return call


class World:
    """Requests of both classes, and endpoints that answer, fail, reject or stay silent."""

    def __init__(self) -> None:
        self.errors: list[Exception] = []
        self.balancer = ContainedBalancer(BalancerSettings(CLASSES), 1, self.errors.append)
        self.answers = Counter[str]()
        self._random = Random(1)
        self._due: list[tuple[float, int, Event]] = []
        self._attempts = Counter[str]()
        self._ended: set[tuple[str, int]] = set()
        self._order = 0

    def add(self, at: float, event: Event) -> None:
        self._order += 1
        heapq.heappush(self._due, (at, self._order, event))

    def run(self) -> None:
        while self._due:
            now, _, event = heapq.heappop(self._due)
            if isinstance(event, AttemptFinished):
                if (event.request, event.attempt) in self._ended:
                    continue
                event = self._end(event)
            for action in self.balancer.handle(now, event):
                self._execute(now, action)

    def _end(self, event: AttemptFinished) -> AttemptFinished:
        """The end of an attempt; a served one answers its request."""
        self._ended.add((event.request, event.attempt))
        if event.outcome is Outcome.OK and not self.answers[event.request]:
            self.answers[event.request] += 1
        return event._replace(request_answered=bool(self.answers[event.request]))

    def _execute(self, now: float, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.add(max(action.at_ms, now), TimerFired(action.token))
        elif isinstance(action, SendAttempt):
            assert not self.answers[action.request], "sent after its answer"
            number = self._attempts[action.request]
            self._attempts[action.request] += 1
            outcomes = (Outcome.OK, Outcome.OK, Outcome.ERROR, Outcome.REJECTED, Outcome.TIMEOUT)
            outcome = self._random.choice(outcomes)
            spent = action.timeout_ms if outcome is Outcome.TIMEOUT else self._random.uniform(1.0, 120.0)
            ended = AttemptFinished(action.request, action.endpoint, number, spent, outcome, False, 0.5, 10.0)
            self.add(now + spent, ended)
        elif isinstance(action, CancelAttempt):
            ended = AttemptFinished(action.request, "", action.attempt, 1.0, Outcome.CANCELLED)
            self.add(now, ended)
        elif isinstance(action, (RejectRequest, FailRequest)):
            self.answers[action.request] += 1


@pytest.mark.parametrize("name", DECISIONS)
def test_each_request_has_one_answer_and_leaves_no_count_behind(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    # An error lost what was decided: the request stayed open and counted in flight, and nobody answered it.
    owner: Any = balancer if hasattr(balancer, name) else balancer.Balancer
    world = World()
    world.balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, ENDPOINTS))
    monkeypatch.setattr(owner, name, failing(getattr(owner, name)))
    for number in range(300):
        world.add(1.0 + 4.0 * number, RequestArrived(f"r{number}", number % 2, 300.0))
    world.run()
    assert {world.answers[f"r{number}"] for number in range(300)} == {1}
    assert world.errors and all(isinstance(error, InjectedError) for error in world.errors)
    state = world.balancer
    assert (state.in_flight, state.requests, state.timers) == (0, {}, {})
    assert [each.in_flight for each in state.registry.endpoints.values()] == [0] * len(ENDPOINTS)


def test_a_request_that_may_have_run_is_failed_and_one_that_was_not_sent_is_rejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    errors: list[Exception] = []
    balancing = ContainedBalancer(BalancerSettings(CLASSES), 1, errors.append)
    balancing.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, ENDPOINTS))
    balancing.handle(1.0, RequestArrived("sent", 1, 300.0))
    monkeypatch.setattr(balancer, "choose_endpoints", failing(lambda *_: (None, None)))
    monkeypatch.setattr(balancer_state.BalancerState, "record_outcome", failing(lambda *_: None))
    finished = AttemptFinished("sent", "e0", 0, 5.0, Outcome.ERROR)
    answers = [balancing.handle(2.0, RequestArrived(f"new-{number}", 1, 1.0)) for number in range(EVERY)][-1]
    assert answers == [RejectRequest(f"new-{EVERY - 1}")]
    monkeypatch.setattr(balancer_state.BalancerState, "record_report", lambda *_: 1 / 0)
    assert balancing.handle(3.0, finished) == [FailRequest("sent")]
    assert [type(error) for error in errors] == [InjectedError, ZeroDivisionError]


def test_a_renewal_that_fails_takes_no_event_with_it(monkeypatch: pytest.MonkeyPatch) -> None:
    errors: list[Exception] = []
    balancing = ContainedBalancer(BalancerSettings(CLASSES), 1, errors.append)
    monkeypatch.setattr(weights, "_renew_weights", lambda *_: 1 / 0)
    balancing.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, ENDPOINTS))
    sent = list[str]()
    for number in range(100):
        actions = balancing.handle(10.0 * number, RequestArrived(f"r{number}", 0, 300.0))
        sent += [action.endpoint for action in actions if isinstance(action, SendAttempt)]
        done = AttemptFinished(f"r{number}", sent[-1], 0, 5.0, Outcome.OK, True)
        balancing.handle(10.0 * number + 5, done)
        if number == 50:
            balancing.handle(505.0, MembershipUpdate(MembershipKind.COMPLETE, ENDPOINTS[:2]))
    assert len(sent) >= 100 and set(sent[:50]) == {each.name for each in ENDPOINTS}
    assert set(sent[60:]) == {"e0", "e1"}
    assert len(errors) > 10


def test_errors_are_raised_where_nobody_is_told_of_them(monkeypatch: pytest.MonkeyPatch) -> None:
    balancing = Balancer(BalancerSettings(CLASSES), 1)
    monkeypatch.setattr(balancer, "choose_endpoints", lambda *_: 1 / 0)
    with pytest.raises(ZeroDivisionError):
        balancing.handle(0.0, RequestArrived("r", 0, 300.0))


def test_errors_are_counted_all_and_logged_with_their_cause_at_a_bounded_rate(
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


def test_a_resumed_admission_that_fails_answers_its_client() -> None:
    # Nobody waits for that call: a class that a new configuration has dropped left the request open for good.
    class Failing(Script):
        internal_errors = InternalErrors()

        def request_arrived(self, *arguments: Any, **more: Any) -> Any:
            raise KeyError("a class that is gone")

    async def case() -> None:
        finals: list[FinalResponse] = []
        calls, _ = calls_of(Failing([]))
        request = Request(1, b"n", "look", None, 1e9, 1.0, finals.append)
        calls.open[1] = request
        calls._resume_admission(request)
        assert [final.verdict for final in finals] == [Verdict.REJECTED]
        assert not calls.open and Failing.internal_errors.count == 1

    run(case())


def test_a_client_is_answered_and_operators_see_the_count(monkeypatch: pytest.MonkeyPatch) -> None:
    handler, _ = answering(whole(200))
    admin = free_port()
    monkeypatch.setattr(balancer, "choose_endpoints", failing(endpoint_selection.choose_endpoints))

    async def use(port: int) -> None:
        statuses = [(await ask(port, renamed(LOOK))).status for _ in range(3 * EVERY)]
        assert statuses == [200, 200, 503] * 3
        stats = await ask(admin, b"GET /stats HTTP/1.1\r\nHost: o\r\n\r\n")
        assert b"lb.internal_errors:3|c\n" in stats.body

    run(with_sidecar(handler, use, more={"admin_addr": f"127.0.0.1:{admin}"}))
