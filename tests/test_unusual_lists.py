"""Endpoint lists that a healthy discovery does not send: empty, all draining, of weight 0, or with a name twice."""

from __future__ import annotations

import pytest

from limenotch.balancing import Balancer
from limenotch.balancing.actions import SendAttempt
from limenotch.balancing.events import (
    AttemptFinished,
    MembershipKind,
    MembershipUpdate,
    OperatorEjection,
    RequestArrived,
)
from limenotch.balancing.types import (
    BalancerSettings,
    DedupScope,
    Effect,
    Endpoint,
    EndpointState,
    Outcome,
    TrafficClass,
)

CLASSES = (TrafficClass("look", Effect.IDEMPOTENT, 400.0, 900.0),)


def test_an_empty_complete_list_is_applied_after_reports_if_crossing_zones_has_a_cost() -> None:
    balancer = Balancer(BalancerSettings(CLASSES, cross_zone_cost=0.05), 1)
    listed = (Endpoint("a", zone=0), Endpoint("b", zone=1))
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, listed))
    (sent, *_) = [
        action for action in balancer.handle(1.0, RequestArrived("1", 0, 900.0)) if isinstance(action, SendAttempt)
    ]
    balancer.handle(31.0, AttemptFinished("1", sent.endpoint, 0, 30.0, Outcome.OK, True, 0.5, 40.0))
    balancer.handle(40.0, MembershipUpdate(MembershipKind.COMPLETE, ()))
    assert len(balancer.available) == 0


def test_of_two_processes_of_one_name_in_one_update_one_stays_listed() -> None:
    balancer = Balancer(BalancerSettings(CLASSES), 1)
    entries = (Endpoint("y", zone=2, weight=2.0), Endpoint("y", zone=2, started_ms=500.0))
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, (Endpoint("x"), *entries)))
    assert len(balancer.available) == len(balancer.registry.endpoints) == 2


ENDPOINTS_IN_THREE_ZONES = tuple(Endpoint(f"e{number}", zone=number % 3) for number in range(6))


def balancer_with_reports(endpoints: tuple[Endpoint, ...]) -> Balancer:
    """A balancer that has served requests with load reports, with a cross-zone cost, and then gets this list."""
    balancer = Balancer(BalancerSettings(CLASSES, cross_zone_cost=0.05), 1)
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, ENDPOINTS_IN_THREE_ZONES))
    serve(balancer)
    balancer.handle(balancer.now, MembershipUpdate(MembershipKind.COMPLETE, endpoints))
    return balancer


def serve(balancer: Balancer) -> list[str]:
    """Send 50 requests 10 ms apart, each answered 5 ms later; return their endpoints."""
    sent = list[str]()
    start = max(balancer.now, 0.0)
    for number in range(50):
        now, name = start + 10.0 * number, f"{start}-{number}"
        for action in balancer.handle(now, RequestArrived(name, 0, 900.0)):
            if isinstance(action, SendAttempt):
                sent.append(action.endpoint)
                ended = AttemptFinished(name, action.endpoint, 0, 5.0, Outcome.OK, True, 0.5, 40.0 + number)
                balancer.handle(now + 5.0, ended)
    return sent


def test_no_event_fails_while_all_endpoints_drain_if_crossing_zones_has_a_cost() -> None:
    # The total capacity is then 0: a division by it failed at every event until the list changed.
    draining = tuple(each._replace(state=EndpointState.DRAINING) for each in ENDPOINTS_IN_THREE_ZONES)
    balancer = balancer_with_reports(draining)
    assert serve(balancer) == []
    balancer.handle(balancer.now, MembershipUpdate(MembershipKind.COMPLETE, ENDPOINTS_IN_THREE_ZONES))
    assert len(serve(balancer)) == 50


def test_no_event_fails_while_operators_eject_all_endpoints_if_crossing_zones_has_a_cost() -> None:
    balancer = balancer_with_reports(ENDPOINTS_IN_THREE_ZONES)
    for each in ENDPOINTS_IN_THREE_ZONES:
        balancer.handle(balancer.now, OperatorEjection(each.name, True))
    assert serve(balancer) == []
    balancer.handle(balancer.now, OperatorEjection("e3", False, balancer.now))
    assert set(serve(balancer)) == {"e3"}


@pytest.mark.parametrize("zones_of_weight_0", [(0,), (1,), (1, 2), (0, 1, 2)])
def test_requests_are_served_if_all_endpoints_of_a_zone_have_weight_0(zones_of_weight_0: tuple[int, ...]) -> None:
    # Without load reports, the capacity of a zone whose endpoints all have weight 0 is 0.
    endpoints = tuple(
        each._replace(weight=0.0, started_ms=100.0) if each.zone in zones_of_weight_0 else each
        for each in ENDPOINTS_IN_THREE_ZONES
    )
    assert len(serve(balancer_with_reports(endpoints))) == 50


def test_a_process_listed_twice_in_one_update_counts_once() -> None:
    balancer = Balancer(BalancerSettings(CLASSES), 1)
    entries = (Endpoint("y"), Endpoint("y", weight=2.0), Endpoint("x"), Endpoint("y", state=EndpointState.DRAINING))
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, entries))
    assert (len(balancer.available), len(balancer.registry.endpoints)) == (1, 2)
    assert set(serve(balancer)) == {"x"}


@pytest.mark.parametrize("kind", [MembershipKind.COMPLETE, MembershipKind.INCREMENTAL])
def test_a_process_replaced_and_removed_within_one_update_gets_no_requests(kind: MembershipKind) -> None:
    # The replaced process stayed available forever, with updates of both kinds.
    balancer = Balancer(BalancerSettings(CLASSES), 1)
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, (Endpoint("x"), Endpoint("y"))))
    removed = Endpoint("y", state=EndpointState.GONE, started_ms=500.0)
    update = (Endpoint("x"), Endpoint("y", weight=2.0), Endpoint("y", started_ms=500.0), removed)
    balancer.handle(0.0, MembershipUpdate(kind, update))
    assert (len(balancer.available), len(balancer.registry.endpoints)) == (1, 1)
    assert set(serve(balancer)) == {"x"}


def test_a_deduplicated_request_stays_in_the_group_that_its_endpoint_had_at_sending() -> None:
    # Duplicates are dropped there. If a list moved the endpoint to another cell meanwhile, the retry went there, too.
    deduplicated = TrafficClass(
        "keyed", Effect.DEDUPLICATED, 400.0, 900.0, dedup_scope=DedupScope.CELL, dedup_window_ms=9e3
    )
    for seed in range(20):
        balancer = Balancer(BalancerSettings((deduplicated,)), seed)
        old = tuple(Endpoint(f"e{number}", cell=number % 2) for number in range(6))
        balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, old))
        first = next(a for a in balancer.handle(1.0, RequestArrived("r", 0, 900.0)) if isinstance(a, SendAttempt))
        cell = next(each.cell for each in old if each.name == first.endpoint)
        moved = Endpoint(first.endpoint, cell=1 - cell)
        balancer.handle(2.0, MembershipUpdate(MembershipKind.INCREMENTAL, (moved,)))
        actions = balancer.handle(3.0, AttemptFinished("r", first.endpoint, 0, 2.0, Outcome.ERROR))
        retried = [action.endpoint for action in actions if isinstance(action, SendAttempt)]
        same_cell = {each.name for each in old if each.cell == cell} - {first.endpoint}
        assert len(retried) == 1 and set(retried) <= same_cell
