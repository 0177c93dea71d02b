"""Endpoint lists that no healthy discovery sends: empty, or with one name twice."""

from __future__ import annotations

from limenotch.balancing import Balancer
from limenotch.balancing.actions import SendAttempt
from limenotch.balancing.events import AttemptFinished, MembershipKind, MembershipUpdate, RequestArrived
from limenotch.balancing.types import BalancerSettings, Effect, Endpoint, Outcome, TrafficClass

CLASSES = (TrafficClass("look", Effect.IDEMPOTENT, 400.0, 900.0),)


def test_an_empty_complete_list_is_taken_after_reports_where_crossing_zones_has_a_cost() -> None:
    balancer = Balancer(BalancerSettings(CLASSES, cross_zone_cost=0.05), 1)
    listed = (Endpoint("a", zone=0), Endpoint("b", zone=1))
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, listed))
    (sent, *_) = [
        action for action in balancer.handle(1.0, RequestArrived("1", 0, 900.0)) if isinstance(action, SendAttempt)
    ]
    balancer.handle(31.0, AttemptFinished("1", sent.endpoint, 0, 30.0, Outcome.OK, True, 0.5, 40.0))
    balancer.handle(40.0, MembershipUpdate(MembershipKind.COMPLETE, ()))
    assert len(balancer.available) == 0


def test_two_processes_of_one_name_in_one_update_leave_one() -> None:
    balancer = Balancer(BalancerSettings(CLASSES), 1)
    twice = (Endpoint("y", zone=2, weight=2.0), Endpoint("y", zone=2, started_ms=500.0))
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, (Endpoint("x"), *twice)))
    assert len(balancer.available) == len(balancer.registry.endpoints) == 2
