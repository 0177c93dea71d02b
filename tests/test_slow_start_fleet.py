"""The load of endpoints in slow start from many balancers: at most N + 2 sqrt(N) + 2 requests of mean work.

N is the number that overloads an endpoint. The limit applies in all circumstances.
"""

from __future__ import annotations

import pytest

from limenotch.balancing import Balancer
from limenotch.balancing.actions import Action, SendAttempt
from limenotch.balancing.endpoint_statistics import EndpointStatistics, LatencyProfile
from limenotch.balancing.events import (
    AttemptFinished,
    MembershipKind,
    MembershipUpdate,
    RequestArrived,
    SettingsChanged,
    TimerFired,
)
from limenotch.balancing.types import (
    BalancerSettings,
    DedupScope,
    Effect,
    Endpoint,
    Outcome,
    PriorExecution,
    SlowStart,
    TrafficClass,
)
from tests.helpers.slow_start_circumstances import CIRCUMSTANCES, LOOK, Circumstance
from tests.helpers.slow_start_fleet import simulate

BY_NAME = {case.name: case for case in CIRCUMSTANCES}
# With these seeds endpoints were overloaded while slow start was based on the arrival rate, not on the measured rate.
FAILED_SEEDS = (("no reports, overload", (3, 4, 6, 7)), ("no reports, overload, burst", (5, 7, 8)))
SLOW_START = SlowStart(0.1, 20_000.0, 3.0, 2000.0)


@pytest.mark.parametrize("case", CIRCUMSTANCES, ids=lambda case: case.name)
def test_all_sidecars_together_do_not_overload_an_endpoint_in_slow_start(case: Circumstance) -> None:
    assert simulate(case, 0).worst <= 1.0


@pytest.mark.parametrize(("name", "seeds"), FAILED_SEEDS)
def test_the_arrival_rate_is_not_taken_for_the_capacity_of_a_tier(name: str, seeds: tuple[int, ...]) -> None:
    assert max(simulate(BY_NAME[name], seed).worst for seed in seeds) <= 1.0


def balancer_with_reports(
    balancer_index: int, balancers: int, endpoints: tuple[Endpoint, ...], seed: int = 1, **changes: object
) -> Balancer:
    """A balancer that knows from load reports that a warm endpoint can serve 20 requests/s."""
    base: dict[str, object] = {
        "classes": (LOOK,),
        "balancers": balancers,
        "balancer_index": balancer_index,
        "slow_start": SLOW_START,
        "tier_index": 1,
    }
    balancer = Balancer(BalancerSettings(**(base | changes)), seed)  # type: ignore[arg-type]
    balancer.tier_profile.reported_rate, balancer.tier_profile.reported_use = 20.0, 1.0
    balancer.handle(60_000.0, MembershipUpdate(MembershipKind.COMPLETE, endpoints))
    return balancer


def make_endpoints(count: int, warming_count: int, zones: int = 1) -> tuple[Endpoint, ...]:
    return tuple(
        Endpoint(f"u{number}", zone=number % zones, started_ms=60_000.0 * (number < warming_count))
        for number in range(count)
    )


@pytest.mark.parametrize(
    ("count", "warming_count", "balancers", "zones", "cross_zone_cost"),
    [(10, 1, 30, 1, 0.0), (10, 10, 30, 1, 0.0), (40, 8, 30, 1, 0.0), (40, 40, 30, 1, 0.0), (12, 12, 24, 3, 0.015)],
)
def test_the_slow_start_rates_of_all_balancers_add_up(
    count: int, warming_count: int, balancers: int, zones: int, cross_zone_cost: float
) -> None:
    """They add up to half of the load that overloads an endpoint, for any subset, share in slow start and zone cost."""
    all_balancers = [
        balancer_with_reports(
            index,
            balancers,
            make_endpoints(count, warming_count, zones),
            zone=index % zones,
            cross_zone_cost=cross_zone_cost,
        )
        for index in range(balancers)
    ]
    limit = SLOW_START.overload_multiple * SLOW_START.initial_capacity * 20.0 / 1000
    for number in range(warming_count):
        rate_sum = sum(balancer.registry.endpoints[f"u{number}"].slow_start_rate for balancer in all_balancers)
        assert 0.4 < rate_sum / limit < 0.6


def test_a_retry_within_a_group_does_not_change_slow_start_rates() -> None:
    """The weights for such a request ignore zones, which raised the rates of endpoints in other zones twentyfold."""
    classes = (
        TrafficClass("keyed", Effect.DEDUPLICATED, 1000.0, 3000.0, dedup_scope=DedupScope.ZONE, dedup_window_ms=3000.0),
    )
    balancer = balancer_with_reports(0, 4, make_endpoints(9, 9, 3), classes=classes, cross_zone_cost=0.015)
    before = {name: endpoint.slow_start_rate for name, endpoint in balancer.registry.endpoints.items()}
    for number in range(50):
        balancer.handle(
            60_001.0 + number,
            RequestArrived(str(number), 0, 3000.0, prior_execution=PriorExecution(1, 0, 60_000.0)),
        )
    assert before == {name: endpoint.slow_start_rate for name, endpoint in balancer.registry.endpoints.items()}


def test_credit_is_limited_to_one_request_and_half_an_overload_window() -> None:
    endpoint = EndpointStatistics(Endpoint("u"), LatencyProfile(), 0.0, 0.0)
    endpoint.slow_start_rate = 0.01
    assert endpoint.accrue_credit(50.0, 2000.0) == 0.5
    assert endpoint.accrue_credit(1e6, 2000.0) == 11.0


def test_balancers_with_the_same_seed_start_with_different_credits() -> None:
    """With equal seeds, the first requests of balancers that started together arrived at the same moment."""
    credits = sorted(
        balancer_with_reports(balancer_index, 30, make_endpoints(4, 4), seed=9)
        .registry.endpoints["u0"]
        .slow_start_credit
        for balancer_index in range(30)
    )
    assert max(b - a for a, b in zip(credits, credits[1:], strict=False)) < 3 / 30
    assert credits[-1] - credits[0] > 0.9


def test_requests_to_a_warm_endpoint_do_not_reduce_its_credit_in_a_longer_slow_start() -> None:
    """Requests to a warm endpoint used up its credit: after a SIGHUP with a longer slow start it got no requests."""
    balancer = balancer_with_reports(0, 1, make_endpoints(1, 1))
    for number in range(2000):
        now = 85_000.0 + number * 2  # warm by then
        for action in balancer.handle(now, RequestArrived(f"c{number}", 0, 4000.0)):
            if isinstance(action, SendAttempt):
                finished = AttemptFinished(action.request, action.endpoint, 0, 5.0, Outcome.OK, False, 0.5, 10.0)
                balancer.handle(now + 1, finished)
    longer_slow_start = SlowStart(0.1, 60_000.0, 3.0, 2000.0)
    balancer.handle(89_100.0, SettingsChanged(BalancerSettings((LOOK,), slow_start=longer_slow_start, tier_index=1)))
    attempts = [
        attempt
        for index in range(300)
        for attempt in balancer.handle(89_200.0 + index * 10, RequestArrived(f"d{index}", 0, 4000.0))
        if isinstance(attempt, SendAttempt)
    ]
    assert len(attempts) > 20


def test_responses_of_removed_endpoints_do_not_count_in_the_measured_rate() -> None:
    """Nine of ten endpoints are replaced. Their last responses must not count as those of the one that remains."""
    settings = BalancerSettings((LOOK,), slow_start=SLOW_START, tier_index=1)
    balancer = Balancer(settings, 2)
    warm = tuple(Endpoint(f"u{index}") for index in range(10))
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, warm))
    now = 0.0

    def send_request(number: int) -> list[Action]:
        return balancer.handle(now, RequestArrived(f"c{number}", 0, 4000.0))

    for number in range(1000):
        now = 1.0 + number * 10
        for action in send_request(number):
            if isinstance(action, SendAttempt):
                balancer.handle(now, AttemptFinished(action.request, action.endpoint, 0, 5.0, Outcome.OK))
    assert 8.0 < balancer.measured_rate < 12.0  # of 100 requests/s
    in_flight = [
        action for number in range(1000, 1200) for action in send_request(number) if isinstance(action, SendAttempt)
    ]
    started = tuple(Endpoint(f"v{index}", started_ms=now) for index in range(9))
    balancer.handle(now, MembershipUpdate(MembershipKind.COMPLETE, (warm[0], *started)))
    for send in in_flight:
        balancer.handle(now, AttemptFinished(send.request, send.endpoint, 0, 5.0, Outcome.OK))
    balancer.handle(now + 2000.0, TimerFired(-1))
    assert balancer.measured_rate < 20.0
