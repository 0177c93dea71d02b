"""Unusual load reports: a rate without utilisation, no rate, or from endpoints of weight 0."""

from __future__ import annotations

import asyncio

import pytest

from limenotch.balancing import Balancer
from limenotch.balancing.actions import SendAttempt
from limenotch.balancing.events import AttemptFinished, MembershipKind, MembershipUpdate, RequestArrived
from limenotch.balancing.learned_state import export_state, import_state
from limenotch.balancing.types import BalancerSettings, Effect, Endpoint, Outcome, TrafficClass

from .helpers.http_peers import LOOK, SETTINGS, fetch, reply, replying, with_new_id
from .helpers.processes import run, with_sidecar

CLASSES = (TrafficClass("look", Effect.IDEMPOTENT, 400.0, 900.0),)
ENDPOINTS = tuple(Endpoint(f"e{number}", zone=number % 2) for number in range(4))


def serve_with_reports(
    balancer: Balancer, utilisation: float, requests_per_s: float, requests: int = 400
) -> dict[str, int]:
    """Send requests 10 ms apart, answered 5 ms later with this report; return their number by endpoint."""
    received = dict[str, int]()
    start = max(balancer.now, 0.0)
    for number in range(requests):
        now, name = start + 10.0 * number, f"{start}-{number}"
        for action in balancer.handle(now, RequestArrived(name, 0, 900.0)):
            if isinstance(action, SendAttempt):
                received[action.endpoint] = received.get(action.endpoint, 0) + 1
                ended = AttemptFinished(name, action.endpoint, 0, 5.0, Outcome.OK, True, utilisation, requests_per_s)
                balancer.handle(now + 5.0, ended)
    return received


def make_balancer(endpoints: tuple[Endpoint, ...], cross_zone_cost: float = 0.0) -> Balancer:
    balancer = Balancer(BalancerSettings(CLASSES, cross_zone_cost=cross_zone_cost), 1)
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, endpoints))
    return balancer


@pytest.mark.parametrize("cross_zone_cost", [0.0, 0.05])
@pytest.mark.parametrize(("utilisation", "requests_per_s"), [(0.0, 10.0), (0.0, 0.0), (0.3, 0.0), (1e-300, 10.0)])
def test_requests_are_served_with_any_first_report(
    utilisation: float, requests_per_s: float, cross_zone_cost: float
) -> None:
    # An idle endpoint may report a rate with utilisation 0: division by it lost requests at each update of the weights.
    received = serve_with_reports(make_balancer(ENDPOINTS, cross_zone_cost), utilisation, requests_per_s)
    assert sum(received.values()) == 400


def test_an_idle_report_does_not_starve_endpoints_that_have_not_reported() -> None:
    # Without a minimum utilisation, the endpoint that reported first would count as far larger than the others.
    received = serve_with_reports(make_balancer(ENDPOINTS), 0.0, 10.0)
    assert min(received.get(endpoint.name, 0) for endpoint in ENDPOINTS) >= 50


def test_reports_of_endpoints_of_weight_0_are_accepted() -> None:
    received = serve_with_reports(make_balancer(tuple(each._replace(weight=0.0) for each in ENDPOINTS)), 0.3, 10.0)
    assert sum(received.values()) == 400


def test_state_learnt_from_idle_reports_alone_can_be_imported() -> None:
    # A process of an earlier version exports a rate without utilisation.
    predecessor = make_balancer(ENDPOINTS)
    serve_with_reports(predecessor, 0.3, 10.0, requests=40)
    for profile in (predecessor.tier_profile, *predecessor.registry.profiles.values()):
        profile.reported_use = 0.0
    successor = make_balancer(ENDPOINTS)
    import_state(successor, export_state(predecessor))
    successor.now = predecessor.now
    assert sum(serve_with_reports(successor, 0.0, 10.0, requests=40).values()) == 40


def test_all_requests_get_responses_while_idle_endpoints_report() -> None:
    classes = [{"name": "look", "effect": "idempotent", "target_ms": 50.0, "hard_limit_ms": 2000.0}]
    handler, _ = replying(reply(200, (b"X-Load-Report", b"TEXT util=0.00, qps=10, latency_ms=1")))

    async def use(port: int) -> None:
        for _ in range(60):
            assert (await fetch(port, with_new_id(LOOK))).status == 200
            await asyncio.sleep(0.005)

    run(with_sidecar(handler, use, extra={"settings": {**SETTINGS, "classes": classes}}))


def test_a_process_whose_clock_is_behind_its_predecessors_imports_its_learnt_state() -> None:
    # The wall clock was set back between both starts: decay of observations from the future overflowed at each update.
    predecessor = Balancer(BalancerSettings(CLASSES), 1)
    predecessor.handle(3_600_000.0, MembershipUpdate(MembershipKind.COMPLETE, ENDPOINTS))
    serve_with_reports(predecessor, 0.3, 10.0, requests=100)
    successor = make_balancer(ENDPOINTS)
    import_state(successor, export_state(predecessor))
    assert sum(serve_with_reports(successor, 0.3, 20.0, requests=200).values()) == 200
