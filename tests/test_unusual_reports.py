"""Load reports that say little: no utilisation at a rate, no rate, or from endpoints of weight 0."""

from __future__ import annotations

import asyncio

import pytest

from limenotch.balancing import Balancer
from limenotch.balancing.actions import SendAttempt
from limenotch.balancing.events import AttemptFinished, MembershipKind, MembershipUpdate, RequestArrived
from limenotch.balancing.learned_state import export_state, import_state
from limenotch.balancing.types import BalancerSettings, Effect, Endpoint, Outcome, TrafficClass

from .helpers.http_peers import LOOK, SETTINGS, answering, ask, renamed, whole
from .helpers.processes import run, with_sidecar

CLASSES = (TrafficClass("look", Effect.IDEMPOTENT, 400.0, 900.0),)
ENDPOINTS = tuple(Endpoint(f"e{number}", zone=number % 2) for number in range(4))


def report_from_each(balancer: Balancer, utilisation: float, per_s: float, requests: int = 400) -> dict[str, int]:
    """Requests 10 ms apart, answered 5 ms later with this report; how many went to each endpoint."""
    received = dict[str, int]()
    start = max(balancer.now, 0.0)
    for number in range(requests):
        at, name = start + 10.0 * number, f"{start}-{number}"
        for action in balancer.handle(at, RequestArrived(name, 0, 900.0)):
            if isinstance(action, SendAttempt):
                received[action.endpoint] = received.get(action.endpoint, 0) + 1
                ended = AttemptFinished(name, action.endpoint, 0, 5.0, Outcome.OK, True, utilisation, per_s)
                balancer.handle(at + 5.0, ended)
    return received


def balancer_of(endpoints: tuple[Endpoint, ...], cross_zone_cost: float = 0.0) -> Balancer:
    balancer = Balancer(BalancerSettings(CLASSES, cross_zone_cost=cross_zone_cost), 1)
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, endpoints))
    return balancer


@pytest.mark.parametrize("cross_zone_cost", [0.0, 0.05])
@pytest.mark.parametrize(("utilisation", "per_s"), [(0.0, 10.0), (0.0, 0.0), (0.3, 0.0), (1e-300, 10.0)])
def test_requests_are_served_whatever_the_first_reports_say(
    utilisation: float, per_s: float, cross_zone_cost: float
) -> None:
    # An idle endpoint reports no utilisation at some rate: the division lost requests at each renewal of the weights.
    received = report_from_each(balancer_of(ENDPOINTS, cross_zone_cost), utilisation, per_s)
    assert sum(received.values()) == 400


def test_an_idle_report_does_not_starve_endpoints_that_have_not_reported() -> None:
    # With no floor under the use, who reported first would count as far larger than the rest.
    received = report_from_each(balancer_of(ENDPOINTS), 0.0, 10.0)
    assert min(received.get(endpoint.name, 0) for endpoint in ENDPOINTS) >= 50


def test_reports_of_endpoints_of_weight_0_are_taken() -> None:
    received = report_from_each(balancer_of(tuple(each._replace(weight=0.0) for each in ENDPOINTS)), 0.3, 10.0)
    assert sum(received.values()) == 400


def test_what_an_earlier_process_learnt_from_idle_reports_alone_is_taken() -> None:
    # A process of an earlier version hands on a rate with no utilisation.
    earlier = balancer_of(ENDPOINTS)
    report_from_each(earlier, 0.3, 10.0, requests=40)
    for profile in (earlier.tier_profile, *earlier.registry.profiles.values()):
        profile.reported_use = 0.0
    successor = balancer_of(ENDPOINTS)
    import_state(successor, export_state(earlier))
    successor.now = earlier.now
    assert sum(report_from_each(successor, 0.0, 10.0, requests=40).values()) == 40


def test_no_connection_closes_unanswered_while_idle_endpoints_report() -> None:
    classes = [{"name": "look", "effect": "idempotent", "target_ms": 50.0, "hard_limit_ms": 2000.0}]
    handler, _ = answering(whole(200, (b"X-Load-Report", b"TEXT util=0.00, qps=10, latency_ms=1")))

    async def use(port: int) -> None:
        for _ in range(60):
            assert (await ask(port, renamed(LOOK))).status == 200
            await asyncio.sleep(0.005)

    run(with_sidecar(handler, use, more={"settings": {**SETTINGS, "classes": classes}}))


def test_a_process_whose_clock_is_behind_its_predecessors_takes_what_that_one_learnt() -> None:
    # The wall clock was set back between the two starts: observations from the future overflowed at each renewal.
    earlier = Balancer(BalancerSettings(CLASSES), 1)
    earlier.handle(3_600_000.0, MembershipUpdate(MembershipKind.COMPLETE, ENDPOINTS))
    report_from_each(earlier, 0.3, 10.0, requests=100)
    successor = balancer_of(ENDPOINTS)
    import_state(successor, export_state(earlier))
    assert sum(report_from_each(successor, 0.3, 20.0, requests=200).values()) == 200
