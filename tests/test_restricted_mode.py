"""A sidecar without the others' word: it does less, for open calls too, from its lease's end on whatever wakes it."""

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
def test_what_may_have_run_is_not_sent_again_and_not_said_to_be_harmless(cls: TrafficClass, outcome: Outcome) -> None:
    given = make_settings(classes=(cls,))
    referee = Referee(given, listed=make_endpoints(7))
    name, _ = referee.arrive(0)
    referee.change_settings(replace(given, restricted=True))  # an open call as well
    answer = referee.finish_attempt(name, 0, outcome)
    assert not sends(answer) and referee.tracked[name].answered
    assert not any(isinstance(act, actions.RejectRequest) for act in answer)


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT])
def test_what_surely_never_ran_goes_on(outcome: Outcome) -> None:
    referee = Referee(make_settings(restricted=True), listed=make_endpoints(7))
    name, _ = referee.arrive(0)
    assert sends(referee.finish_attempt(name, 0, outcome))


def test_no_copy_is_made() -> None:
    """The same days as where copies are seen to be made at once or when overdue."""

    def copies(narrow: bool) -> int:
        referee = Referee(make_settings(restricted=narrow), listed=make_endpoints(9))
        twice = 0
        for turn in range(300):
            name, _ = referee.arrive(0)
            referee.advance(100.0 if turn % 8 else 500.0)
            twice += len(referee.tracked[name].sent) > 1
            for attempt in range(len(referee.tracked[name].sent)):
                referee.finish_attempt(
                    name, attempt, Outcome.CANCELLED if referee.tracked[name].answered else Outcome.OK
                )
        return twice

    assert copies(False) and not copies(True)


def test_cold_upstreams_get_nothing_from_who_has_no_part() -> None:
    rows = tuple(row._replace(started_ms=999.0) for row in make_endpoints(7))  # all: where else could a call go
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


def test_the_allowance_of_cold_upstreams_is_divided_by_the_parts_agreed_on() -> None:
    rooms = []
    for parts in (0.0, 4.0, 16.0):
        referee = Referee(make_settings(balancers=2, processes=2), listed=make_endpoints(7))
        referee.balancer.tier_profile.reported_rate = referee.balancer.tier_profile.reported_use = (
            1.0  # reports tell what the tier can do
        )
        referee.change_settings(make_settings(balancers=2, processes=2, agreed_slow_start_divisor=parts))
        rooms.append(referee.balancer.slow_start_rate)
    assert rooms[0] == pytest.approx(2 * rooms[1]) and rooms[1] == pytest.approx(4 * rooms[2])


class Clock:
    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


def leased(refusing: bool = False) -> tuple[LoadBalancer, Clock]:
    clock = Clock()
    facade = LoadBalancer(make_settings(classes=(READ,)), 7, clock=clock)
    facade.start()
    facade.endpoints_listed(
        [DiscoveredEndpoint(f"p{n}", ("127.0.0.1", n), DiscoveryStatus.IN_SERVICE) for n in range(5)], True
    )
    facade.set_lease(1500.0, reject_without_lease=refusing)
    return facade, clock


def made(orders: list[Command]) -> list[StartAttempt]:
    return [order for order in orders if isinstance(order, StartAttempt)]


def test_the_first_event_after_a_pause_finds_the_lease_run_out() -> None:
    """No timer runs here: SIGSTOP for 10 s, and the provider's answer is what the loop handles first."""
    facade, clock = leased()
    (call,) = made(facade.request_arrived(1, "read", "", 900.0))[:1]
    clock.now = 1499.0
    assert made(facade.attempt_finished(1, 0, call.endpoint, 5.0, AttemptEnding.ERROR, False)), (
        "the lease holds: it is tried again"
    )
    facade, clock = leased()
    (call,) = made(facade.request_arrived(1, "read", "", 900.0))[:1]
    clock.now = 1500.0
    orders = facade.attempt_finished(1, 0, call.endpoint, 5.0, AttemptEnding.ERROR, False)
    assert not made(orders) and any(isinstance(order, FailRequest) for order in orders)
    assert facade.restricted


def test_a_new_lease_widens_again_and_settings_read_meanwhile_do_not() -> None:
    facade, clock = leased()
    clock.now = 5000.0
    facade.apply_settings(make_settings(classes=(READ,)))
    (call,) = made(facade.request_arrived(1, "read", "", 20000.0))[:1]
    assert not made(facade.attempt_finished(1, 0, call.endpoint, 5.0, AttemptEnding.RESET, False))
    facade.set_lease(8000.0)
    (call,) = made(facade.request_arrived(2, "read", "", 20000.0))[:1]
    assert made(facade.attempt_finished(2, 0, call.endpoint, 5.0, AttemptEnding.RESET, False))


def test_without_a_lease_all_is_rejected_where_the_settings_say_so() -> None:
    facade, clock = leased(refusing=True)
    assert not facade.rejects_all
    clock.now = 1500.0
    assert facade.rejects_all and not leased()[0].rejects_all


def test_one_that_is_alone_never_becomes_narrow() -> None:
    clock = Clock()
    facade = LoadBalancer(make_settings(classes=(READ,)), 7, clock=clock)
    clock.now = 1e12
    assert not facade.restricted and not facade.rejects_all
    assert not [order for order in facade.start() if not isinstance(order, (ScheduleTimer, RejectRequest))]
