"""Slow start of a whole tier at once; the failures were found with the simulator's scenario `cold-fleet`."""

from __future__ import annotations

import heapq

import pytest

from limenotch.balancing import Balancer
from limenotch.balancing.actions import FailRequest, RejectRequest, SendAttempt, SetTimer
from limenotch.balancing.events import (
    AttemptFinished,
    Event,
    MembershipKind,
    MembershipUpdate,
    RequestArrived,
    TimerFired,
)
from limenotch.balancing.types import BalancerSettings, Effect, Endpoint, Outcome, SlowStart, TrafficClass

OBJECTIVE_MS, DEADLINE_MS, WARMUP_MS = 2000.0, 5000.0, 24_000.0
SETTINGS = BalancerSettings(
    classes=(TrafficClass("look", Effect.IDEMPOTENT, OBJECTIVE_MS, DEADLINE_MS, late_weight=0.5),),
    slow_start=SlowStart(0.12, WARMUP_MS, 4.0, 3000.0),
    may_hedge=False,
)


class Simulation:
    """One balancer and four endpoints that respond to each attempt after 50 ms; a request every 10 ms."""

    def __init__(self) -> None:
        self.balancer = Balancer(SETTINGS, 1)
        self.events: list[tuple[float, int, Event]] = []
        self.sent_at: list[float] = []
        self.answers: dict[str, tuple[float, bool]] = {}
        self.arrived_at: dict[str, float] = {}
        self.count = 0

    def schedule(self, time: float, event: Event) -> None:
        self.count += 1
        heapq.heappush(self.events, (time, self.count, event))

    def schedule_list(self, time: float, started: float) -> None:
        endpoints = tuple(Endpoint(f"u{number}-{started:g}", started_ms=started) for number in range(4))
        self.schedule(time, MembershipUpdate(MembershipKind.COMPLETE, endpoints))

    def schedule_requests(self, start: float, end: float) -> None:
        for number in range(int((end - start) / 10)):
            self.schedule(start + number * 10, RequestArrived(f"{start}-{number}", 0, DEADLINE_MS))

    def run(self) -> None:
        while self.events:
            now, _, event = heapq.heappop(self.events)
            if isinstance(event, RequestArrived):
                self.arrived_at[event.request] = now
            for action in self.balancer.handle(now, event):
                if isinstance(action, SendAttempt):
                    self.sent_at.append(now)
                    finished = AttemptFinished(action.request, action.endpoint, 0, 50.0, Outcome.OK, False, 0.3)
                    self.schedule(now + 50, finished)
                elif isinstance(action, SetTimer):
                    self.schedule(action.at_ms, TimerFired(action.token))
                elif isinstance(action, (RejectRequest, FailRequest)):
                    self.answers[action.request] = (
                        now - self.arrived_at[action.request],
                        isinstance(action, RejectRequest),
                    )


def simulate_restart_of_all() -> Simulation:
    simulation = Simulation()
    simulation.schedule_list(0.0, 0.0)
    simulation.schedule_requests(1.0, 60_000.0)
    simulation.schedule_list(20_000.0, 20_000.0)  # all four endpoints are replaced at once
    simulation.run()
    return simulation


def test_a_restarted_tier_is_sent_what_it_can_serve_as_it_warms_up() -> None:
    """The slow-start rate fell with the load that it allowed, so the tier got less and less of what it could serve."""
    sent_at = simulate_restart_of_all().sent_at
    demand = 100.0
    for second in (24, 30, 36, 40):
        capacity = 0.12 + 0.88 * (second + 0.5 - 20) / 24
        fraction = sum(second * 1000 <= time < second * 1000 + 1000 for time in sent_at) / (
            demand * min(1.2 * capacity, 1.0)
        )
        assert 0.75 < fraction < 2.0, second  # far below the 4 that overload an endpoint


def test_a_request_that_no_endpoint_can_take_is_rejected_before_its_objective() -> None:
    """Such requests waited until their deadlines before they were rejected."""
    waits_ms = [wait_ms for wait_ms, is_rejected in simulate_restart_of_all().answers.values() if is_rejected]
    assert waits_ms and max(waits_ms) <= OBJECTIVE_MS < 0.5 * DEADLINE_MS


@pytest.mark.parametrize("weight", [None, 0.0])
def test_arrivals_while_no_weight_is_listed_do_not_raise_the_slow_start_rate(weight: float | None) -> None:
    # The arrival rate, divided by a weight of 0, was taken for the tier's rate: new endpoints got all requests at once.
    simulation = Simulation()
    warm = () if weight is None else tuple(Endpoint(f"w{number}", weight=weight) for number in range(2))
    simulation.schedule(0.0, MembershipUpdate(MembershipKind.COMPLETE, warm))
    simulation.schedule_requests(1.0, 10_000.0)
    starting = tuple(Endpoint(f"c{number}", started_ms=6000.0) for number in range(4))
    simulation.schedule(6000.0, MembershipUpdate(MembershipKind.INCREMENTAL, starting))
    simulation.run()
    # A warm tier serves the 300 arrivals of 3 s. In slow start it may be sent four times 0.12 of that.
    assert 0 < sum(6000.0 <= time < 9000.0 for time in simulation.sent_at) <= 4.0 * 0.12 * 300 + 4
