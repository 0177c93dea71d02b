"""What an event costs the decisions does not grow with the list: instructions of the interpreter, counted."""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any

import pytest

from limenotch.balancing import Balancer
from limenotch.balancing.actions import SendAttempt
from limenotch.balancing.available_endpoints import AvailableEndpoints
from limenotch.balancing.endpoint_selection import draw_endpoint
from limenotch.balancing.endpoint_statistics import ClassLatency, EndpointStatistics, LatencyProfile, Request
from limenotch.balancing.events import Event, MembershipKind, MembershipUpdate, RequestArrived
from limenotch.balancing.types import BalancerSettings, Effect, Endpoint, EndpointState, SlowStart, TrafficClass

SMALL, LARGE = 200, 3200
COLD = SlowStart(0.25, 8000.0, 2.0, 1000.0)
LOOK = TrafficClass("look", Effect.IDEMPOTENT, 400.0, 2000.0)
START_MS = 1e6


def counted(action: Callable[[], Any]) -> int:
    """Lines and turns of loops that the interpreter takes; the same at every run, on any machine."""
    count = 0

    def trace(frame: FrameType, event: str, _: Any) -> Any:
        nonlocal count
        count += 1
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        action()
    finally:
        sys.settrace(before)
    return count


def rows(number: int, zones: int = 2) -> tuple[Endpoint, ...]:
    return tuple(Endpoint(f"u{n}", EndpointState.READY, 1.0, n % 3, n % zones, n % 7) for n in range(number))


def told(number: int, balancers: int = 200) -> Balancer:
    settings = BalancerSettings(classes=(LOOK,), balancers=balancers, cross_zone_cost=0.015, slow_start=COLD)
    balancer = Balancer(settings, 1)
    balancer.handle(START_MS, MembershipUpdate(MembershipKind.COMPLETE, rows(number)))
    return balancer


def change(stage: EndpointState, name: str = "u7", started_ms: float = 0.0) -> MembershipUpdate:
    row = Endpoint(name, stage, 1.0, 1, 1, 0, started_ms)
    return MembershipUpdate(MembershipKind.INCREMENTAL, (row,))


@pytest.mark.parametrize(
    "event",
    [
        change(EndpointState.DRAINING),
        change(EndpointState.GONE),
        change(EndpointState.READY, "new"),
        change(EndpointState.READY, started_ms=START_MS - 1000.0),
        RequestArrived("call", 0, 2000.0),
    ],
    ids=["drains", "goes", "comes", "starts anew", "a call"],
)
def test_an_event_costs_no_more_with_a_large_list(event: Event) -> None:
    """The sidecar is one of so many that it draws from 8 endpoints of each zone, whatever the list."""
    costs = []
    for number in (SMALL, LARGE):
        balancer = told(number, balancers=2000)
        assert len(balancer.candidates[0]) == 16
        costs.append(counted(lambda balancer=balancer: balancer.handle(START_MS + 0.1, event)))  # type: ignore[misc]
    assert costs[1] <= 1.3 * costs[0] + 50


def test_a_window_costs_what_is_drawn_from() -> None:
    costs = []
    for number in (SMALL, LARGE):
        balancer = told(number)
        balancer.handle(START_MS + 1.0, RequestArrived("first", 0, 2000.0))
        end = balancer.window_end + 1.0
        costs.append(
            counted(
                lambda balancer=balancer, end=end:  # type: ignore[misc]
                balancer.handle(end, RequestArrived("second", 0, 2000.0))
            )
        )
    drawn = [sum(len(told(number).candidates[0]) for _ in (1,)) for number in (SMALL, LARGE)]
    assert drawn == [16, 64] and costs[1] <= costs[0] * drawn[1] / drawn[0]


def test_shares_of_many_are_not_taken_for_each_of_many_changes() -> None:
    """A lone sidecar draws from all 3,200: half of them drain within 6 s, a line for each."""
    balancer, taken = told(LARGE, balancers=1), set[float]()
    for number in range(LARGE // 2):
        balancer.handle(START_MS + 6000.0 * number / (LARGE / 2), change(EndpointState.DRAINING, f"u{number}"))
        taken.add(balancer.weights_at)
    assert 6 <= len(taken) <= 60  # windows of 0.2 s included
    assert len(balancer.available) == LARGE // 2


def test_one_that_drains_is_not_drawn_before_shares_are_taken_again() -> None:
    balancer = told(SMALL, balancers=1)
    gone = {f"u{number}" for number in range(SMALL - 10)}
    balancer.handle(
        START_MS + 0.01,
        MembershipUpdate(
            MembershipKind.INCREMENTAL,
            tuple(row._replace(state=EndpointState.DRAINING) for row in rows(SMALL) if row.name in gone),
        ),
    )
    assert balancer.weights_stale and {server.endpoint.name for server in balancer.candidates[0]} >= gone
    call = Request("c", LOOK, ClassLatency(), 3, 1e9, 1e9)
    drawn = {
        server.endpoint.name for _ in range(300) if (server := draw_endpoint(balancer, START_MS + 0.01, call, None))
    }
    assert drawn == {f"u{number}" for number in range(SMALL - 10, SMALL)}


def test_where_all_that_were_drawn_from_have_gone_the_new_ones_are_sent_to() -> None:
    balancer = told(SMALL, balancers=1)
    drains = tuple(row._replace(state=EndpointState.DRAINING) for row in rows(SMALL))
    comes = tuple(Endpoint(f"n{number}", EndpointState.READY) for number in range(20))
    balancer.handle(START_MS + 0.01, MembershipUpdate(MembershipKind.INCREMENTAL, drains + comes))
    assert balancer.weights_stale
    (send, *_) = balancer.handle(START_MS + 0.02, RequestArrived("call", 0, 2000.0))
    assert isinstance(send, SendAttempt) and send.endpoint.startswith("n")


def server_of(name: str, zone: int, kind: LatencyProfile, weight: float, since: float) -> EndpointStatistics:
    server = EndpointStatistics(Endpoint(name, EndpointState.READY, weight, 0, zone, 0, since), kind, 0.0, 0.0)
    server.listed_weight, server.started_at = weight, since
    return server


def test_the_sums_are_those_of_a_pass_over_all_whatever_came_and_went() -> None:
    kinds = [LatencyProfile(), LatencyProfile()]
    ready, held = (
        AvailableEndpoints(BalancerSettings(classes=(LOOK,), cross_zone_cost=0.1, slow_start=COLD)),
        dict[str, EndpointStatistics](),
    )
    now = START_MS
    for step in range(600):
        now += 37.0
        name = f"u{step * 7919 % 83}"
        old = held.pop(name, None)
        if old is not None and step % 3 == 0:
            ready.update(now, [], [old])
        else:
            since = now - 500.0 * (step % 40) if step % 5 else 0.0
            server = held[name] = server_of(name, step % 3, kinds[step % 2], 1.0 + step % 4, since)
            ready.update(now, [server], [old] if old is not None else [])
        able = ready.capacities(now)
        for zone in range(3):
            for kind in kinds:
                wanted = sum(
                    s.listed_weight * s.warm_fraction(now, COLD)
                    for s in held.values()
                    if s.endpoint.zone == zone and s.profile is kind
                )
                assert able.get((zone, kind), 0.0) == pytest.approx(wanted, abs=1e-6)
        assert ready.total_weight == pytest.approx(sum(s.listed_weight for s in held.values()))
        assert ready.warm_count == sum(s.warm_fraction(now, COLD) >= 1.0 for s in held.values())
        assert len(ready) == len(held) and ready.zone_count == len({s.endpoint.zone for s in held.values()})
        near, far = ready.by_locality
        assert {s.endpoint.name for s in near} == {name for name, s in held.items() if s.endpoint.zone == 0}
        assert len(near) + len(far) == len(held)
