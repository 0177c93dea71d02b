"""The four rules, by example and by generated sequences of events; the referee checks every action."""

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
                "leave",
                "drain",
                "remove",
                "restart",
                "list",
                "begin",
                "ban",
                "back",
                "retune",
                "once",
            ]
        ),
        st.integers(0, 1000),
        st.sampled_from([o for o in Outcome if o is not Outcome.CANCELLED]),
    ),
    max_size=120,
)


def play(referee: Referee, steps: list[tuple[str, int, Outcome]]) -> None:
    """Turn drawn numbers into legal events."""
    for what, number, outcome in steps:
        names = list(referee.listed)
        if what == "arrive":
            referee.arrive(number % 4, budget_ms=(0.0, 40.0, 900.0, 3000.0)[number // 4 % 4])
        elif what == "wait":
            referee.advance(number)
            for held in [h for h in referee.tracked.values() if not h.answered and h.deadline <= referee.now]:
                referee.disconnect_client(held.arrival.request)
        elif what == "list":
            referee.update_endpoints(make_endpoints(number % 8))
        elif what in ("ban", "back"):
            referee.set_ejected(f"10.0.0.{number % 8}:80", what == "ban")  # listed or not
        elif what == "retune":
            classes = referee.current_settings.classes[number % 4 :] + referee.current_settings.classes[: number % 4]
            referee.change_settings(replace(referee.current_settings, classes=classes, max_attempts=number % 3 + 2))
        elif what == "once":
            referee.arrive(number % 4, single_use_body=True)
        elif what in ("drain", "remove", "restart") and names:
            row = referee.listed[names[number % len(names)]]
            stage = {"drain": EndpointState.DRAINING, "remove": EndpointState.GONE}.get(what, EndpointState.READY)
            started = referee.now if what == "restart" else row.started_ms
            referee.update_endpoints((row._replace(state=stage, started_ms=started),), MembershipKind.INCREMENTAL)
        else:
            out = [
                (name, i)
                for name, held in referee.tracked.items()
                for i in range(len(held.sent))
                if i not in held.ended
            ]
            if not out:
                continue
            name, attempt = out[number % len(out)]
            if what == "finish":
                over = referee.tracked[name].answered
                referee.finish_attempt(name, attempt, Outcome.CANCELLED if over else outcome)
            elif what == "leave":
                referee.disconnect_client(name)


@given(STEPS, st.integers(0, 3), st.integers(0, 9), st.booleans())
def test_rules_hold_for_any_events(steps: list[tuple[str, int, Outcome]], layer: int, seed: int, copies: bool) -> None:
    referee = Referee(make_settings(tier_index=layer, may_hedge=copies), seed, make_endpoints(7))
    play(referee, steps)
    referee.run_to_deadlines()


@pytest.mark.parametrize("index", range(3))
def test_no_copy_of_an_overdue_call_where_copies_are_forbidden(index: int) -> None:
    """An overdue lone attempt asked the gate again, which never asked the settings: 1 call in 100 got a copy."""

    def copied(allowed: bool) -> int:
        referee = Referee(make_settings(may_hedge=allowed), listed=make_endpoints(9))
        twice = 0
        for turn in range(300):
            name, _ = referee.arrive(index)
            # One in eight takes five times as long: its attempt is overdue while its upstream's others are not.
            referee.advance(100.0 if turn % 8 else 500.0)
            twice += len(referee.tracked[name].sent) > 1
            for attempt in range(len(referee.tracked[name].sent)):
                referee.finish_attempt(
                    name, attempt, Outcome.CANCELLED if referee.tracked[name].answered else Outcome.OK
                )
        return twice

    assert copied(True) and not copied(False)


@given(STEPS, st.integers(0, 9))
def test_same_events_same_actions(steps: list[tuple[str, int, Outcome]], seed: int) -> None:
    one, two = (Referee(make_settings(), seed, make_endpoints(7)) for _ in range(2))
    play(one, steps)
    play(two, steps)
    assert one.log == two.log


@pytest.mark.parametrize("index", range(4))
def test_no_upstream_known(index: int) -> None:
    referee = Referee(make_settings())
    referee.arrive(index)
    referee.run_to_deadlines()
    assert any(isinstance(a, (RejectRequest, FailRequest)) for a in referee.log)


def test_held_call_goes_out_once_the_list_comes() -> None:
    referee = Referee(make_settings())
    referee.arrive()
    referee.update_endpoints(make_endpoints(3))
    assert sends(referee.advance(500.0))


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT])
def test_unsafe_goes_again_only_when_it_never_ran(outcome: Outcome) -> None:
    referee = Referee(make_settings(), listed=make_endpoints(7))
    name, actions = referee.arrive(3)
    assert len(sends(actions)) == 1
    assert len(sends(referee.finish_attempt(name, 0, outcome))) == 1


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_unsafe_that_may_have_run_fails(outcome: Outcome) -> None:
    referee = Referee(make_settings(), listed=make_endpoints(7))
    name, _ = referee.arrive(3)
    actions = referee.finish_attempt(name, 0, outcome)
    assert actions == [FailRequest(name)]


def test_keyed_goes_again_within_its_group_only() -> None:
    for seed in range(30):
        referee = Referee(make_settings(), seed, make_endpoints(9))
        name, first = referee.arrive(1)
        again = sends(referee.finish_attempt(name, 0, Outcome.ERROR))
        assert len(first) >= 1 and len(again) == 1


def test_keyed_is_not_sent_after_its_window() -> None:
    referee = Referee(make_settings(), listed=make_endpoints(9))
    name, _ = referee.arrive(1, budget_ms=3000.0)
    referee.advance(1600.0)
    assert not sends(referee.finish_attempt(name, 0, Outcome.ERROR))


def test_idempotent_goes_again() -> None:
    referee = Referee(make_settings(), listed=make_endpoints(7))
    name, _ = referee.arrive(0)
    first = referee.tracked[name].sent[0][1]
    for attempt in range(len(referee.tracked[name].sent)):
        again = sends(referee.finish_attempt(name, attempt, Outcome.ERROR))
    assert again and again[0].endpoint != first


def test_drained_gets_nothing_from_the_moment_it_is_told() -> None:
    referee = Referee(make_settings(), listed=make_endpoints(4))
    rows = tuple(r._replace(state=EndpointState.DRAINING) for r in make_endpoints(4)[:3])
    referee.update_endpoints(rows, MembershipKind.INCREMENTAL)
    for _ in range(100):
        _, actions = referee.arrive()
        assert {s.endpoint for s in sends(actions)} <= {make_endpoints(4)[3].name}


def test_whole_list_drops_who_is_not_on_it() -> None:
    referee = Referee(make_settings(), listed=make_endpoints(4))
    referee.update_endpoints(make_endpoints(1))
    for _ in range(50):
        referee.arrive()


def test_all_draining() -> None:
    referee = Referee(make_settings(), listed=make_endpoints(4, stage=EndpointState.DRAINING))
    referee.arrive()
    referee.run_to_deadlines()


def test_lost_subscription_is_asked_for_again_out_of_step() -> None:
    """A balancer that lost its subscription knows of no drain; all asking at once jam the list service."""
    delays = set()
    for seed in range(5):
        referee = Referee(make_settings(must_subscribe=True), seed, make_endpoints(4))
        assert Subscribe() in referee.log
        timers = [
            a for a in referee.handle_event(MembershipUpdate(MembershipKind.UNAVAILABLE)) if isinstance(a, SetTimer)
        ]
        assert len(timers) == 1
        delays.add(timers[0].at_ms)
        assert Subscribe() in referee.advance(10_000.0)
    assert len(delays) == 5


def cold_share(rows: tuple[Endpoint, ...], seed: int = 3) -> float:
    """Most that one cold upstream is sent within the span that could fell it, per warm upstream's take."""
    referee = Referee(make_settings(), seed, make_endpoints(len(rows)))
    names: list[str] = []
    for _ in range(1500):
        name, _ = referee.arrive()
        names.append(name)
        referee.advance(10.0)
        for attempt in range(len(referee.tracked[name].sent)):
            over = referee.tracked[name].answered
            referee.finish_attempt(name, attempt, Outcome.CANCELLED if over else Outcome.OK)
    start = referee.now
    cold = tuple(r._replace(started_ms=start) if r.started_ms else r for r in rows)
    referee.update_endpoints(cold, MembershipKind.INCREMENTAL)
    got: dict[str, list[float]] = {}
    for _ in range(300):
        name, actions = referee.arrive()
        for send in sends(actions):
            got.setdefault(send.endpoint, []).append(referee.now)
        referee.advance(10.0)
        for attempt in range(len(referee.tracked[name].sent)):
            over = referee.tracked[name].answered
            referee.finish_attempt(name, attempt, Outcome.CANCELLED if over else Outcome.OK)
    even = 100.0 / len(rows) * 1.5
    names = [r.name for r in cold if r.started_ms]
    return max(len([t for t in got.get(n, []) if t < start + 1500.0]) for n in names) / even


def test_cold_upstream_is_ramped() -> None:
    rows = tuple(r._replace(started_ms=1.0) if i == 0 else r for i, r in enumerate(make_endpoints(10)))
    assert cold_share(rows) <= 0.5


def test_most_of_the_fleet_cold_at_once() -> None:
    """A deploy: shares are relative, so with most upstreams cold only an absolute cap keeps them up."""
    rows = tuple(r._replace(started_ms=1.0) if i else r for i, r in enumerate(make_endpoints(10)))
    assert cold_share(rows) <= 0.5


def test_first_answer_cancels_the_other() -> None:
    referee = Referee(make_settings(), listed=make_endpoints(7))
    for turn in range(300):
        name, _ = referee.arrive(0)
        referee.advance(150.0 if turn % 16 < 8 else 200.0)
        copied = len(referee.tracked[name].sent) == 2
        actions = referee.finish_attempt(name, 0)
        if copied:
            assert CancelAttempt(name, 1) in actions
            return
    raise AssertionError("an idle fleet never got a copy")


def test_departure_cancels_what_is_out() -> None:
    referee = Referee(make_settings(), listed=make_endpoints(7))
    name, _ = referee.arrive(0)
    assert CancelAttempt(name, 0) in referee.disconnect_client(name)
    assert referee.finish_attempt(name, 0, Outcome.CANCELLED) == []


def test_odd_but_legal_is_quiet() -> None:
    referee = Referee(make_settings(), listed=make_endpoints(3))
    assert referee.handle_event(AttemptFinished("nobody", "10.0.0.1:80", 0, 5.0, Outcome.OK, True)) == []
    assert referee.handle_event(ClientDisconnected("nobody")) == []
    assert referee.handle_event(TimerFired(999)) == []
    assert referee.handle_event(ResponseStarted("nobody", "10.0.0.1:80", 0, 5.0)) == []
    referee.update_endpoints(
        (Endpoint("unknown", EndpointState.GONE), Endpoint("other", EndpointState.DRAINING)), MembershipKind.INCREMENTAL
    )
    for budget in (0.0, -5.0):
        name, _ = referee.arrive(0, budget)
        assert referee.tracked[name].answered or referee.tracked[name].sent


def test_started_stream_is_left_alone() -> None:
    referee = Referee(make_settings(), listed=make_endpoints(5))
    name, _ = referee.arrive(0)
    referee.start_response(name)
    assert not sends(referee.advance(5000.0))


def test_wrong_event_type() -> None:
    with pytest.raises(TypeError, match="not an event"):
        Referee(make_settings()).balancer.handle(2000.0, "KNOCK")  # type: ignore[arg-type]


def test_time_that_runs_backwards() -> None:
    referee = Referee(make_settings())
    with pytest.raises(ValueError, match="backwards"):
        referee.balancer.handle(referee.now - 1, TimerFired(1))
