"""The cost of an event does not grow with the length of the endpoint list; it is measured in trace events."""

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
SLOW_START = SlowStart(0.25, 8000.0, 2.0, 1000.0)
LOOK = TrafficClass("look", Effect.IDEMPOTENT, 400.0, 2000.0)
START_MS = 1e6


def count_trace_events(action: Callable[[], Any]) -> int:
    """Number of trace events, for calls and lines, of the interpreter: the same in every run, on any machine."""
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


def make_endpoints(count: int, zones: int = 2) -> tuple[Endpoint, ...]:
    return tuple(
        Endpoint(f"u{number}", EndpointState.READY, 1.0, number % 3, number % zones, number % 7)
        for number in range(count)
    )


def balancer_with_list(number: int, balancers: int = 200) -> Balancer:
    settings = BalancerSettings(classes=(LOOK,), balancers=balancers, cross_zone_cost=0.015, slow_start=SLOW_START)
    balancer = Balancer(settings, 1)
    balancer.handle(START_MS, MembershipUpdate(MembershipKind.COMPLETE, make_endpoints(number)))
    return balancer


def change_of(state: EndpointState, name: str = "u7", started_ms: float = 0.0) -> MembershipUpdate:
    endpoint = Endpoint(name, state, 1.0, 1, 1, 0, started_ms)
    return MembershipUpdate(MembershipKind.INCREMENTAL, (endpoint,))


@pytest.mark.parametrize(
    "event",
    [
        change_of(EndpointState.DRAINING),
        change_of(EndpointState.GONE),
        change_of(EndpointState.READY, "new"),
        change_of(EndpointState.READY, started_ms=START_MS - 1000.0),
        RequestArrived("call", 0, 2000.0),
    ],
    ids=["draining", "removed", "added", "restarted", "request"],
)
def test_the_cost_of_an_event_does_not_grow_with_the_list(event: Event) -> None:
    """There are so many sidecars that each draws from 8 endpoints per zone, whatever the length of the list."""
    costs = []
    for number in (SMALL, LARGE):
        balancer = balancer_with_list(number, balancers=2000)
        assert len(balancer.candidates[0]) == 16
        costs.append(count_trace_events(lambda balancer=balancer: balancer.handle(START_MS + 0.1, event)))  # type: ignore[misc]
    assert costs[1] <= 1.3 * costs[0] + 50


def test_the_cost_of_a_window_grows_only_with_the_candidates() -> None:
    costs = []
    for number in (SMALL, LARGE):
        balancer = balancer_with_list(number)
        balancer.handle(START_MS + 1.0, RequestArrived("first", 0, 2000.0))
        end = balancer.window_end + 1.0
        costs.append(
            count_trace_events(
                lambda balancer=balancer, end=end:  # type: ignore[misc]
                balancer.handle(end, RequestArrived("second", 0, 2000.0))
            )
        )
    candidate_counts = [sum(len(balancer_with_list(number).candidates[0]) for _ in (1,)) for number in (SMALL, LARGE)]
    assert candidate_counts == [16, 64] and costs[1] <= costs[0] * candidate_counts[1] / candidate_counts[0]


def test_weights_of_a_long_list_are_not_updated_at_each_of_many_changes() -> None:
    """A single sidecar draws from all 3,200 endpoints. Half of them drain within 6 s, with an update for each."""
    balancer, weight_times = balancer_with_list(LARGE, balancers=1), set[float]()
    for number in range(LARGE // 2):
        balancer.handle(START_MS + 6000.0 * number / (LARGE / 2), change_of(EndpointState.DRAINING, f"u{number}"))
        weight_times.add(balancer.weights_at)
    assert 6 <= len(weight_times) <= 60  # windows of 0.2 s included
    assert len(balancer.available) == LARGE // 2


def test_a_draining_endpoint_is_not_drawn_even_before_the_weights_are_updated() -> None:
    balancer = balancer_with_list(SMALL, balancers=1)
    draining = {f"u{number}" for number in range(SMALL - 10)}
    balancer.handle(
        START_MS + 0.01,
        MembershipUpdate(
            MembershipKind.INCREMENTAL,
            tuple(
                entry._replace(state=EndpointState.DRAINING)
                for entry in make_endpoints(SMALL)
                if entry.name in draining
            ),
        ),
    )
    assert balancer.weights_stale and {endpoint.endpoint.name for endpoint in balancer.candidates[0]} >= draining
    request = Request("c", LOOK, ClassLatency(), 3, 1e9, 1e9)
    drawn = {
        endpoint.endpoint.name
        for _ in range(300)
        if (endpoint := draw_endpoint(balancer, START_MS + 0.01, request, None))
    }
    assert drawn == {f"u{number}" for number in range(SMALL - 10, SMALL)}


def test_requests_go_to_new_endpoints_if_all_candidates_have_drained() -> None:
    balancer = balancer_with_list(SMALL, balancers=1)
    drained = tuple(endpoint._replace(state=EndpointState.DRAINING) for endpoint in make_endpoints(SMALL))
    new = tuple(Endpoint(f"n{number}", EndpointState.READY) for number in range(20))
    balancer.handle(START_MS + 0.01, MembershipUpdate(MembershipKind.INCREMENTAL, drained + new))
    assert balancer.weights_stale
    (send, *_) = balancer.handle(START_MS + 0.02, RequestArrived("call", 0, 2000.0))
    assert isinstance(send, SendAttempt) and send.endpoint.startswith("n")


def make_statistics(
    name: str, zone: int, profile: LatencyProfile, weight: float, started_ms: float
) -> EndpointStatistics:
    endpoint = EndpointStatistics(
        Endpoint(name, EndpointState.READY, weight, 0, zone, 0, started_ms), profile, 0.0, 0.0
    )
    endpoint.listed_weight, endpoint.started_at = weight, started_ms
    return endpoint


def test_the_incremental_sums_equal_sums_over_all_endpoints() -> None:
    profiles = [LatencyProfile(), LatencyProfile()]
    available, current = (
        AvailableEndpoints(BalancerSettings(classes=(LOOK,), cross_zone_cost=0.1, slow_start=SLOW_START)),
        dict[str, EndpointStatistics](),
    )
    now = START_MS
    for step in range(600):
        now += 37.0
        name = f"u{step * 7919 % 83}"
        previous = current.pop(name, None)
        if previous is not None and step % 3 == 0:
            available.update(now, [], [previous])
        else:
            started_ms = now - 500.0 * (step % 40) if step % 5 else 0.0
            endpoint = current[name] = make_statistics(name, step % 3, profiles[step % 2], 1.0 + step % 4, started_ms)
            available.update(now, [endpoint], [previous] if previous is not None else [])
        capacities = available.capacities(now)
        for zone in range(3):
            for profile in profiles:
                expected = sum(
                    each.listed_weight * each.warm_fraction(now, SLOW_START)
                    for each in current.values()
                    if each.endpoint.zone == zone and each.profile is profile
                )
                assert capacities.get((zone, profile), 0.0) == pytest.approx(expected, abs=1e-6)
        assert available.total_weight == pytest.approx(sum(each.listed_weight for each in current.values()))
        assert available.warm_count == sum(each.warm_fraction(now, SLOW_START) >= 1.0 for each in current.values())
        assert len(available) == len(current) and available.zone_count == len(
            {each.endpoint.zone for each in current.values()}
        )
        local, remote = available.by_locality
        assert {each.endpoint.name for each in local} == {
            name for name, each in current.items() if each.endpoint.zone == 0
        }
        assert len(local) + len(remote) == len(current)
