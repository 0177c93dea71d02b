"""A tier that is cold as a whole: found by the laboratory's `cold-fleet`, seen here without it."""

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

AIM, END, WARM = 2000.0, 5000.0, 24_000.0
SETTINGS = BalancerSettings(
    classes=(TrafficClass("look", Effect.IDEMPOTENT, AIM, END, late_weight=0.5),),
    slow_start=SlowStart(0.12, WARM, 4.0, 3000.0),
    may_hedge=False,
)


class Day:
    """One balancer and four upstreams that answer each attempt after 50 ms; a call every 10 ms."""

    def __init__(self) -> None:
        self.balancer = Balancer(SETTINGS, 1)
        self.heap: list[tuple[float, int, Event]] = []
        self.sent: list[float] = []
        self.ended: dict[str, tuple[float, bool]] = {}
        self.begun: dict[str, float] = {}
        self.count = 0

    def at(self, time: float, event: Event) -> None:
        self.count += 1
        heapq.heappush(self.heap, (time, self.count, event))

    def listed(self, time: float, started: float) -> None:
        ups = tuple(Endpoint(f"u{n}-{started:g}", started_ms=started) for n in range(4))
        self.at(time, MembershipUpdate(MembershipKind.COMPLETE, ups))

    def calls(self, begin: float, end: float) -> None:
        for number in range(int((end - begin) / 10)):
            self.at(begin + number * 10, RequestArrived(f"{begin}-{number}", 0, END))

    def run(self) -> None:
        while self.heap:
            now, _, event = heapq.heappop(self.heap)
            if isinstance(event, RequestArrived):
                self.begun[event.request] = now
            for action in self.balancer.handle(now, event):
                if isinstance(action, SendAttempt):
                    self.sent.append(now)
                    done = AttemptFinished(action.request, action.endpoint, 0, 50.0, Outcome.OK, False, 0.3)
                    self.at(now + 50, done)
                elif isinstance(action, SetTimer):
                    self.at(action.at_ms, TimerFired(action.token))
                elif isinstance(action, (RejectRequest, FailRequest)):
                    self.ended[action.request] = (now - self.begun[action.request], isinstance(action, RejectRequest))


def cold_day() -> Day:
    day = Day()
    day.listed(0.0, 0.0)
    day.calls(1.0, 60_000.0)
    day.listed(20_000.0, 20_000.0)  # all four are replaced at once
    day.run()
    return day


def test_a_cold_tier_is_sent_what_it_can_do_as_it_warms() -> None:
    """The rate that credits follow fell with the credits, and a cold tier was sent less and less of what it could."""
    sent = cold_day().sent
    demand = 100.0
    for second in (24, 30, 36, 40):
        capacity = 0.12 + 0.88 * (second + 0.5 - 20) / 24
        part = sum(second * 1000 <= at < second * 1000 + 1000 for at in sent) / (demand * min(1.2 * capacity, 1.0))
        assert 0.75 < part < 2.0, second  # far under the 4 that push it over


def test_a_call_that_cannot_be_placed_in_time_is_refused_while_it_is_worth_trying_elsewhere() -> None:
    """Such calls were held until the very end of their time, and then refused."""
    ages = [age for age, refused in cold_day().ended.values() if refused]
    assert ages and max(ages) <= AIM < 0.5 * END


@pytest.mark.parametrize("weight", [None, 0.0])
def test_requests_while_no_weight_is_listed_say_nothing_of_what_cold_endpoints_can_do(weight: float | None) -> None:
    # The arrival rate per unit of no weight was taken for the tier's: cold endpoints got all requests at once.
    day = Day()
    warm = () if weight is None else tuple(Endpoint(f"w{number}", weight=weight) for number in range(2))
    day.at(0.0, MembershipUpdate(MembershipKind.COMPLETE, warm))
    day.calls(1.0, 10_000.0)
    cold = tuple(Endpoint(f"c{number}", started_ms=6000.0) for number in range(4))
    day.at(6000.0, MembershipUpdate(MembershipKind.INCREMENTAL, cold))
    day.run()
    # A warm tier serves the 300 arrivals of 3 s, and a cold one may be sent four times its 0.12 of that.
    assert 0 < sum(6000.0 <= at < 9000.0 for at in day.sent) <= 4.0 * 0.12 * 300 + 4
