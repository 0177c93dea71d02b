"""The rules of the referee, by example and by random sequences of events. The referee checks every action."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limenotch.balancing.actions import CancelAttempt, FailRequest, RejectRequest, SetTimer, Subscribe
from limenotch.balancing.events import (
    AttemptFinished,
    ClientDisconnected,
    MembershipKind,
    MembershipUpdate,
    ResponseStarted,
    TimerFired,
)
from limenotch.balancing.types import Endpoint, EndpointState, Outcome

from .referee import Referee, make_endpoints, make_settings, sends

STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "arrive",
                "finish",
                "finish",
                "wait",
                "disconnect",
                "drain",
                "remove",
                "restart",
                "list",
                "no event",
                "eject",
                "readmit",
                "change settings",
                "single-use body",
            ]
        ),
        st.integers(0, 1000),
        st.sampled_from([outcome for outcome in Outcome if outcome is not Outcome.CANCELLED]),
    ),
    max_size=120,
)


def apply_steps(referee: Referee, steps: list[tuple[str, int, Outcome]]) -> None:
    """Convert random steps to valid events, and apply them."""
    for kind, number, outcome in steps:
        names = list(referee.listed)
        if kind == "arrive":
            referee.arrive(number % 4, budget_ms=(0.0, 40.0, 900.0, 3000.0)[number // 4 % 4])
        elif kind == "wait":
            referee.advance(number)
            for request in [
                each for each in referee.tracked.values() if not each.answered and each.deadline <= referee.now
            ]:
                referee.disconnect_client(request.arrival.request)
        elif kind == "list":
            referee.update_endpoints(make_endpoints(number % 8))
        elif kind in ("eject", "readmit"):
            referee.set_ejected(f"10.0.0.{number % 8}:80", kind == "eject")  # whether it is listed or not
        elif kind == "change settings":
            classes = referee.current_settings.classes[number % 4 :] + referee.current_settings.classes[: number % 4]
            referee.change_settings(replace(referee.current_settings, classes=classes, max_attempts=number % 3 + 2))
        elif kind == "single-use body":
            referee.arrive(number % 4, single_use_body=True)
        elif kind in ("drain", "remove", "restart") and names:
            entry = referee.listed[names[number % len(names)]]
            state = {"drain": EndpointState.DRAINING, "remove": EndpointState.GONE}.get(kind, EndpointState.READY)
            started_ms = referee.now if kind == "restart" else entry.started_ms
            referee.update_endpoints((entry._replace(state=state, started_ms=started_ms),), MembershipKind.INCREMENTAL)
        else:
            in_flight = [
                (name, i)
                for name, request in referee.tracked.items()
                for i in range(len(request.sent))
                if i not in request.ended
            ]
            if not in_flight:
                continue
            name, attempt = in_flight[number % len(in_flight)]
            if kind == "finish":
                answered = referee.tracked[name].answered
                referee.finish_attempt(name, attempt, Outcome.CANCELLED if answered else outcome)
            elif kind == "disconnect":
                referee.disconnect_client(name)


@given(STEPS, st.integers(0, 3), st.integers(0, 9), st.booleans())
def test_no_sequence_of_events_breaks_a_rule(
    steps: list[tuple[str, int, Outcome]], tier_index: int, seed: int, may_hedge: bool
) -> None:
    referee = Referee(make_settings(tier_index=tier_index, may_hedge=may_hedge), seed, make_endpoints(7))
    apply_steps(referee, steps)
    referee.run_to_deadlines()


@pytest.mark.parametrize("class_index", range(3))
def test_an_overdue_request_is_not_hedged_if_the_settings_forbid_hedging(class_index: int) -> None:
    """The check for an overdue attempt ignored the settings: 1 request in 100 was hedged."""

    def count_hedged(may_hedge: bool) -> int:
        referee = Referee(make_settings(may_hedge=may_hedge), listed=make_endpoints(9))
        hedged = 0
        for turn in range(300):
            name, _ = referee.arrive(class_index)
            # One in eight takes five times as long: it is overdue, while others at its endpoint are not.
            referee.advance(100.0 if turn % 8 else 500.0)
            hedged += len(referee.tracked[name].sent) > 1
            for attempt in range(len(referee.tracked[name].sent)):
                referee.finish_attempt(
                    name, attempt, Outcome.CANCELLED if referee.tracked[name].answered else Outcome.OK
                )
        return hedged

    assert count_hedged(True) and not count_hedged(False)


@given(STEPS, st.integers(0, 9))
def test_the_same_events_lead_to_the_same_actions(steps: list[tuple[str, int, Outcome]], seed: int) -> None:
    first, second = (Referee(make_settings(), seed, make_endpoints(7)) for _ in range(2))
    apply_steps(first, steps)
    apply_steps(second, steps)
    assert first.log == second.log


@pytest.mark.parametrize("class_index", range(4))
def test_requests_without_any_endpoint_are_answered(class_index: int) -> None:
    referee = Referee(make_settings())
    referee.arrive(class_index)
    referee.run_to_deadlines()
    assert any(isinstance(action, (RejectRequest, FailRequest)) for action in referee.log)


def test_a_waiting_request_is_sent_once_a_list_arrives() -> None:
    referee = Referee(make_settings())
    referee.arrive()
    referee.update_endpoints(make_endpoints(3))
    assert sends(referee.advance(500.0))


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT])
def test_an_at_most_once_request_is_retried_if_it_never_ran(outcome: Outcome) -> None:
    referee = Referee(make_settings(), listed=make_endpoints(7))
    name, actions = referee.arrive(3)
    assert len(sends(actions)) == 1
    assert len(sends(referee.finish_attempt(name, 0, outcome))) == 1


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_an_at_most_once_request_that_may_have_run_fails(outcome: Outcome) -> None:
    referee = Referee(make_settings(), listed=make_endpoints(7))
    name, _ = referee.arrive(3)
    actions = referee.finish_attempt(name, 0, outcome)
    assert actions == [FailRequest(name)]


def test_a_deduplicated_request_is_retried_only_within_its_group() -> None:
    for seed in range(30):
        referee = Referee(make_settings(), seed, make_endpoints(9))
        name, first = referee.arrive(1)
        retry = sends(referee.finish_attempt(name, 0, Outcome.ERROR))
        assert len(first) >= 1 and len(retry) == 1


def test_a_deduplicated_request_is_not_retried_after_its_window() -> None:
    referee = Referee(make_settings(), listed=make_endpoints(9))
    name, _ = referee.arrive(1, budget_ms=3000.0)
    referee.advance(1600.0)
    assert not sends(referee.finish_attempt(name, 0, Outcome.ERROR))


def test_an_idempotent_request_is_retried_at_another_endpoint() -> None:
    referee = Referee(make_settings(), listed=make_endpoints(7))
    name, _ = referee.arrive(0)
    first = referee.tracked[name].sent[0][1]
    for attempt in range(len(referee.tracked[name].sent)):
        retry = sends(referee.finish_attempt(name, attempt, Outcome.ERROR))
    assert retry and retry[0].endpoint != first


def test_a_draining_endpoint_gets_no_requests_from_the_update_on() -> None:
    referee = Referee(make_settings(), listed=make_endpoints(4))
    entries = tuple(entry._replace(state=EndpointState.DRAINING) for entry in make_endpoints(4)[:3])
    referee.update_endpoints(entries, MembershipKind.INCREMENTAL)
    for _ in range(100):
        _, actions = referee.arrive()
        assert {send.endpoint for send in sends(actions)} <= {make_endpoints(4)[3].name}


def test_a_complete_list_removes_endpoints_that_are_not_in_it() -> None:
    referee = Referee(make_settings(), listed=make_endpoints(4))
    referee.update_endpoints(make_endpoints(1))
    for _ in range(50):
        referee.arrive()


def test_requests_are_answered_while_all_endpoints_drain() -> None:
    referee = Referee(make_settings(), listed=make_endpoints(4, state=EndpointState.DRAINING))
    referee.arrive()
    referee.run_to_deadlines()


def test_balancers_subscribe_again_at_different_times_after_a_failure() -> None:
    """A balancer without a subscription misses drains. If all subscribe again at once, they overload discovery."""
    delays = set()
    for seed in range(5):
        referee = Referee(make_settings(must_subscribe=True), seed, make_endpoints(4))
        assert Subscribe() in referee.log
        timers = [
            action
            for action in referee.handle_event(MembershipUpdate(MembershipKind.UNAVAILABLE))
            if isinstance(action, SetTimer)
        ]
        assert len(timers) == 1
        delays.add(timers[0].at_ms)
        assert Subscribe() in referee.advance(10_000.0)
    assert len(delays) == 5


def warming_load(entries: tuple[Endpoint, ...], seed: int = 3) -> float:
    """The highest load of an endpoint in slow start in its overload window, relative to an equal share of requests."""
    referee = Referee(make_settings(), seed, make_endpoints(len(entries)))
    names: list[str] = []
    for _ in range(1500):
        name, _ = referee.arrive()
        names.append(name)
        referee.advance(10.0)
        for attempt in range(len(referee.tracked[name].sent)):
            answered = referee.tracked[name].answered
            referee.finish_attempt(name, attempt, Outcome.CANCELLED if answered else Outcome.OK)
    start = referee.now
    warming = tuple(entry._replace(started_ms=start) if entry.started_ms else entry for entry in entries)
    referee.update_endpoints(warming, MembershipKind.INCREMENTAL)
    sent_times: dict[str, list[float]] = {}
    for _ in range(300):
        name, actions = referee.arrive()
        for send in sends(actions):
            sent_times.setdefault(send.endpoint, []).append(referee.now)
        referee.advance(10.0)
        for attempt in range(len(referee.tracked[name].sent)):
            answered = referee.tracked[name].answered
            referee.finish_attempt(name, attempt, Outcome.CANCELLED if answered else Outcome.OK)
    warm_share = 100.0 / len(entries) * 1.5
    names = [entry.name for entry in warming if entry.started_ms]
    return max(len([t for t in sent_times.get(each, []) if t < start + 1500.0]) for each in names) / warm_share


def test_an_endpoint_in_slow_start_gets_a_reduced_load() -> None:
    entries = tuple(entry._replace(started_ms=1.0) if i == 0 else entry for i, entry in enumerate(make_endpoints(10)))
    assert warming_load(entries) <= 0.5


def test_endpoints_get_a_reduced_load_if_most_are_in_slow_start() -> None:
    """Weights are relative: if most endpoints restart, as in a deployment, only an absolute limit protects them."""
    entries = tuple(entry._replace(started_ms=1.0) if i else entry for i, entry in enumerate(make_endpoints(10)))
    assert warming_load(entries) <= 0.5


def test_the_first_response_cancels_the_other_attempt() -> None:
    referee = Referee(make_settings(), listed=make_endpoints(7))
    for turn in range(300):
        name, _ = referee.arrive(0)
        referee.advance(150.0 if turn % 16 < 8 else 200.0)
        is_hedged = len(referee.tracked[name].sent) == 2
        actions = referee.finish_attempt(name, 0)
        if is_hedged:
            assert CancelAttempt(name, 1) in actions
            return
    raise AssertionError("no request was hedged on an idle fleet")


def test_a_client_disconnect_cancels_open_attempts() -> None:
    referee = Referee(make_settings(), listed=make_endpoints(7))
    name, _ = referee.arrive(0)
    assert CancelAttempt(name, 0) in referee.disconnect_client(name)
    assert referee.finish_attempt(name, 0, Outcome.CANCELLED) == []


def test_unexpected_events_are_ignored() -> None:
    referee = Referee(make_settings(), listed=make_endpoints(3))
    assert referee.handle_event(AttemptFinished("nobody", "10.0.0.1:80", 0, 5.0, Outcome.OK, True)) == []
    assert referee.handle_event(ClientDisconnected("nobody")) == []
    assert referee.handle_event(TimerFired(999)) == []
    assert referee.handle_event(ResponseStarted("nobody", "10.0.0.1:80", 0, 5.0)) == []
    referee.update_endpoints(
        (Endpoint("unknown", EndpointState.GONE), Endpoint("other", EndpointState.DRAINING)), MembershipKind.INCREMENTAL
    )
    for budget_ms in (0.0, -5.0):
        name, _ = referee.arrive(0, budget_ms)
        assert referee.tracked[name].answered or referee.tracked[name].sent


def test_no_other_attempt_is_sent_once_a_response_has_started() -> None:
    referee = Referee(make_settings(), listed=make_endpoints(5))
    name, _ = referee.arrive(0)
    referee.start_response(name)
    assert not sends(referee.advance(5000.0))


def test_an_object_that_is_not_an_event_is_a_type_error() -> None:
    with pytest.raises(TypeError, match="not an event"):
        Referee(make_settings()).balancer.handle(2000.0, "KNOCK")  # type: ignore[arg-type]


def test_an_event_earlier_than_the_previous_one_is_an_error() -> None:
    referee = Referee(make_settings())
    with pytest.raises(ValueError, match="backwards"):
        referee.balancer.handle(referee.now - 1, TimerFired(1))
