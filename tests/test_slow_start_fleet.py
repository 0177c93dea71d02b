"""Cold endpoints under the sum of many balancers: N + 2 root N + 2 requests of mean work, whatever the circumstance."""

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
# Each of these seeds went over before the rate shown took the place of demand.
FOUND = (("no reports, overload", (3, 4, 6, 7)), ("no reports, overload, burst", (5, 7, 8)))
COLD = SlowStart(0.1, 20_000.0, 3.0, 2000.0)


@pytest.mark.parametrize("case", CIRCUMSTANCES, ids=lambda case: case.name)
def test_the_sum_of_all_sidecars_pushes_no_cold_endpoint_over(case: Circumstance) -> None:
    assert simulate(case, 0).worst <= 1.0


@pytest.mark.parametrize(("name", "seeds"), FOUND)
def test_demand_is_not_taken_for_what_a_tier_can_do(name: str, seeds: tuple[int, ...]) -> None:
    assert max(simulate(BY_NAME[name], seed).worst for seed in seeds) <= 1.0


def told(rank: int, total: int, rows: tuple[Endpoint, ...], seed: int = 1, **given: object) -> Balancer:
    """A balancer that knows by reports what a warm endpoint can do: 20 a second."""
    base: dict[str, object] = {
        "classes": (LOOK,),
        "balancers": total,
        "balancer_index": rank,
        "slow_start": COLD,
        "tier_index": 1,
    }
    balancer = Balancer(BalancerSettings(**(base | given)), seed)  # type: ignore[arg-type]
    balancer.tier_profile.reported_rate, balancer.tier_profile.reported_use = 20.0, 1.0
    balancer.handle(60_000.0, MembershipUpdate(MembershipKind.COMPLETE, rows))
    return balancer


def rows(number: int, cold: int, zones: int = 1) -> tuple[Endpoint, ...]:
    return tuple(Endpoint(f"u{n}", zone=n % zones, started_ms=60_000.0 * (n < cold)) for n in range(number))


@pytest.mark.parametrize(
    ("number", "cold", "total", "zones", "price"),
    [(10, 1, 30, 1, 0.0), (10, 10, 30, 1, 0.0), (40, 8, 30, 1, 0.0), (40, 40, 30, 1, 0.0), (12, 12, 24, 3, 0.015)],
)
def test_the_parts_of_all_add_up(number: int, cold: int, total: int, zones: int, price: float) -> None:
    """Whatever is drawn from, how much is cold and how dear crossings are: half of what pushes each one over."""
    all_ = [told(r, total, rows(number, cold, zones), zone=r % zones, cross_zone_cost=price) for r in range(total)]
    limit = COLD.overload_multiple * COLD.initial_capacity * 20.0 / 1000
    for n in range(cold):
        room = sum(balancer.registry.endpoints[f"u{n}"].slow_start_rate for balancer in all_)
        assert 0.4 < room / limit < 0.6


def test_a_keyed_repeat_leaves_the_part_as_it_is() -> None:
    """The group's shares are taken anew for it, without the distance: the part of far cold ones grew twentyfold."""
    classes = (
        TrafficClass("keyed", Effect.DEDUPLICATED, 1000.0, 3000.0, dedup_scope=DedupScope.ZONE, dedup_window_ms=3000.0),
    )
    balancer = told(0, 4, rows(9, 9, 3), classes=classes, cross_zone_cost=0.015)
    before = {name: server.slow_start_rate for name, server in balancer.registry.endpoints.items()}
    for call in range(50):
        balancer.handle(
            60_001.0 + call, RequestArrived(str(call), 0, 3000.0, prior_execution=PriorExecution(1, 0, 60_000.0))
        )
    assert before == {name: server.slow_start_rate for name, server in balancer.registry.endpoints.items()}


def test_a_balancer_saves_up_one_request_and_half_a_span() -> None:
    server = EndpointStatistics(Endpoint("u"), LatencyProfile(), 0.0, 0.0)
    server.slow_start_rate = 0.01
    assert server.accrue_credit(50.0, 2000.0) == 0.5
    assert server.accrue_credit(1e6, 2000.0) == 11.0


def test_balancers_of_one_seed_take_turns() -> None:
    """With one seed for all, the first requests of all that started together came in the same moment."""
    credits = sorted(
        told(rank, 30, rows(4, 4), seed=9).registry.endpoints["u0"].slow_start_credit for rank in range(30)
    )
    assert max(b - a for a, b in zip(credits, credits[1:], strict=False)) < 3 / 30
    assert credits[-1] - credits[0] > 0.9


def test_new_cold_rules_find_no_debt_of_warm_times() -> None:
    """Calls sent to a warm endpoint were charged to its credit, and a longer ramp by SIGHUP then gave it nothing."""
    balancer = told(0, 1, rows(1, 1))
    for number in range(2000):
        now = 85_000.0 + number * 2  # warm by then
        for action in balancer.handle(now, RequestArrived(f"c{number}", 0, 4000.0)):
            if isinstance(action, SendAttempt):
                done = AttemptFinished(action.request, action.endpoint, 0, 5.0, Outcome.OK, False, 0.5, 10.0)
                balancer.handle(now + 1, done)
    longer = SlowStart(0.1, 60_000.0, 3.0, 2000.0)
    balancer.handle(89_100.0, SettingsChanged(BalancerSettings((LOOK,), slow_start=longer, tier_index=1)))
    sent = [
        a
        for n in range(300)
        for a in balancer.handle(89_200.0 + n * 10, RequestArrived(f"d{n}", 0, 4000.0))
        if isinstance(a, SendAttempt)
    ]
    assert len(sent) > 20


def test_answers_of_those_that_left_are_no_rate_of_those_that_stay() -> None:
    """Ten answer, nine are replaced: what the nine still answer is not what the one can do."""
    settings = BalancerSettings((LOOK,), slow_start=COLD, tier_index=1)
    balancer = Balancer(settings, 2)
    listed = tuple(Endpoint(f"u{n}") for n in range(10))
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, listed))
    now = 0.0

    def call(number: int) -> list[Action]:
        return balancer.handle(now, RequestArrived(f"c{number}", 0, 4000.0))

    for number in range(1000):
        now = 1.0 + number * 10
        for action in call(number):
            if isinstance(action, SendAttempt):
                balancer.handle(now, AttemptFinished(action.request, action.endpoint, 0, 5.0, Outcome.OK))
    assert 8.0 < balancer.measured_rate < 12.0  # of 100 a second
    out = [action for number in range(1000, 1200) for action in call(number) if isinstance(action, SendAttempt)]
    cold = tuple(Endpoint(f"v{n}", started_ms=now) for n in range(9))
    balancer.handle(now, MembershipUpdate(MembershipKind.COMPLETE, (listed[0], *cold)))
    for send in out:
        balancer.handle(now, AttemptFinished(send.request, send.endpoint, 0, 5.0, Outcome.OK))
    balancer.handle(now + 2000.0, TimerFired(-1))
    assert balancer.measured_rate < 20.0
