"""A sidecar without a valid lease does less, for open requests too, from the first event after the end of its lease."""

from __future__ import annotations

from dataclasses import replace
from math import inf

import pytest

from limenotch.balancing import actions
from limenotch.balancing.types import DedupScope, Effect, Outcome, TrafficClass
from limenotch.load_balancer import LoadBalancer
from limenotch.load_balancer_types import (
    AttemptEnding,
    Command,
    DiscoveredEndpoint,
    DiscoveryStatus,
    FailRequest,
    RejectRequest,
    ScheduleTimer,
    StartAttempt,
)

from .referee import READ, WRITE, Referee, make_endpoints, make_settings, sends

KEYED = TrafficClass("keyed", Effect.DEDUPLICATED, 1000.0, 3000.0, 3.0, 0.0, DedupScope.ALL, 1500.0)
MAY_HAVE_RUN = (Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT)


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
@pytest.mark.parametrize("cls", [READ, KEYED, WRITE])
def test_a_request_that_may_have_run_is_not_retried_and_not_reported_as_harmless(
    cls: TrafficClass, outcome: Outcome
) -> None:
    configured = make_settings(classes=(cls,))
    referee = Referee(configured, listed=make_endpoints(7))
    name, _ = referee.arrive(0)
    referee.change_settings(replace(configured, restricted=True))  # for an open request as well
    result = referee.finish_attempt(name, 0, outcome)
    assert not sends(result) and referee.tracked[name].answered
    assert not any(isinstance(action, actions.RejectRequest) for action in result)


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT])
def test_a_request_that_certainly_did_not_run_is_retried(outcome: Outcome) -> None:
    referee = Referee(make_settings(restricted=True), listed=make_endpoints(7))
    name, _ = referee.arrive(0)
    assert sends(referee.finish_attempt(name, 0, outcome))


def test_no_request_is_hedged() -> None:
    """On the same schedule, requests are hedged at once or when overdue without restricted mode."""

    def count_hedged(restricted: bool) -> int:
        referee = Referee(make_settings(restricted=restricted), listed=make_endpoints(9))
        hedged = 0
        for number in range(300):
            name, _ = referee.arrive(0)
            referee.advance(100.0 if number % 8 else 500.0)
            hedged += len(referee.tracked[name].sent) > 1
            for attempt in range(len(referee.tracked[name].sent)):
                referee.finish_attempt(
                    name, attempt, Outcome.CANCELLED if referee.tracked[name].answered else Outcome.OK
                )
        return hedged

    assert count_hedged(False) and not count_hedged(True)


def test_endpoints_in_slow_start_get_nothing_without_a_share_of_the_allowance() -> None:
    rows = tuple(
        row._replace(started_ms=999.0) for row in make_endpoints(7)
    )  # all of them, so that there is no other endpoint
    for changes in ({"restricted": True}, {"agreed_slow_start_divisor": inf}):
        referee = Referee(make_settings(classes=(READ,), **changes), listed=rows)
        for _ in range(100):
            referee.arrive(0)
            referee.advance(20.0)
        assert not sends(referee.log)
    referee = Referee(make_settings(classes=(READ,)), listed=rows)
    for _ in range(100):
        referee.arrive(0)
        referee.advance(20.0)
    assert sends(referee.log)


def test_the_slow_start_allowance_is_divided_by_the_agreed_divisor() -> None:
    rates = []
    for divisor in (0.0, 4.0, 16.0):
        referee = Referee(make_settings(balancers=2, processes=2), listed=make_endpoints(7))
        referee.balancer.tier_profile.reported_rate = referee.balancer.tier_profile.reported_use = (
            1.0  # load reports say what the tier can do
        )
        referee.change_settings(make_settings(balancers=2, processes=2, agreed_slow_start_divisor=divisor))
        rates.append(referee.balancer.slow_start_rate)
    assert rates[0] == pytest.approx(2 * rates[1]) and rates[1] == pytest.approx(4 * rates[2])


class ManualClock:
    """A clock that the test sets, in ms."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


def leased(reject_without_lease: bool = False) -> tuple[LoadBalancer, ManualClock]:
    clock = ManualClock()
    load_balancer = LoadBalancer(make_settings(classes=(READ,)), 7, clock=clock)
    load_balancer.start()
    load_balancer.endpoints_listed(
        [DiscoveredEndpoint(f"p{n}", ("127.0.0.1", n), DiscoveryStatus.IN_SERVICE) for n in range(5)], True
    )
    load_balancer.set_lease(1500.0, reject_without_lease=reject_without_lease)
    return load_balancer, clock


def started_attempts(commands: list[Command]) -> list[StartAttempt]:
    return [command for command in commands if isinstance(command, StartAttempt)]


def test_the_first_event_after_a_pause_finds_the_lease_expired() -> None:
    """No timer runs here: after SIGSTOP for 10 s, the endpoint's response is what the loop handles first."""
    load_balancer, clock = leased()
    (attempt,) = started_attempts(load_balancer.request_arrived(1, "read", "", 900.0))[:1]
    clock.now = 1499.0
    assert started_attempts(load_balancer.attempt_finished(1, 0, attempt.endpoint, 5.0, AttemptEnding.ERROR, False)), (
        "the lease is valid: the request is retried"
    )
    load_balancer, clock = leased()
    (attempt,) = started_attempts(load_balancer.request_arrived(1, "read", "", 900.0))[:1]
    clock.now = 1500.0
    commands = load_balancer.attempt_finished(1, 0, attempt.endpoint, 5.0, AttemptEnding.ERROR, False)
    assert not started_attempts(commands) and any(isinstance(command, FailRequest) for command in commands)
    assert load_balancer.restricted


def test_a_new_lease_ends_restricted_mode_and_reloaded_settings_do_not() -> None:
    load_balancer, clock = leased()
    clock.now = 5000.0
    load_balancer.apply_settings(make_settings(classes=(READ,)))
    (attempt,) = started_attempts(load_balancer.request_arrived(1, "read", "", 20000.0))[:1]
    assert not started_attempts(load_balancer.attempt_finished(1, 0, attempt.endpoint, 5.0, AttemptEnding.RESET, False))
    load_balancer.set_lease(8000.0)
    (attempt,) = started_attempts(load_balancer.request_arrived(2, "read", "", 20000.0))[:1]
    assert started_attempts(load_balancer.attempt_finished(2, 0, attempt.endpoint, 5.0, AttemptEnding.RESET, False))


def test_without_a_lease_all_is_rejected_where_the_settings_say_so() -> None:
    load_balancer, clock = leased(reject_without_lease=True)
    assert not load_balancer.rejects_all
    clock.now = 1500.0
    assert load_balancer.rejects_all and not leased()[0].rejects_all


def test_a_sidecar_without_a_fleet_is_never_restricted() -> None:
    clock = ManualClock()
    load_balancer = LoadBalancer(make_settings(classes=(READ,)), 7, clock=clock)
    clock.now = 1e12
    assert not load_balancer.restricted and not load_balancer.rejects_all
    assert not [command for command in load_balancer.start() if not isinstance(command, (ScheduleTimer, RejectRequest))]
