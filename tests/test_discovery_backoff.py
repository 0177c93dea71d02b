"""The backoff before the next query to discovery: by failures, by the time left, not in step with other sidecars."""

from __future__ import annotations

from random import Random

import pytest

from limenotch.balancing import Balancer
from limenotch.balancing.actions import SetTimer
from limenotch.balancing.events import MembershipKind, MembershipUpdate
from limenotch.balancing.types import BalancerSettings, Effect, TrafficClass
from limenotch.net.discovery import schedule
from limenotch.net.discovery.schedule import (
    Connected,
    DiscoveryState,
    ListReceived,
    TimerExpired,
    WatchEnded,
    WatchRequested,
)

from .test_discovery_states import SILENCE_S


def draw_backoffs(failures: int, query_s: float = 0.0, pushed: bool = False) -> list[float]:
    """The backoffs of 200 sidecars, sorted, after consecutive queries that failed `query_s` after their start."""
    backoffs = []
    for seed in range(200):
        machine, now = DiscoveryState(SILENCE_S, Random(seed), pushed), 0.0
        machine.handle(now, WatchRequested())
        for _ in range(failures):
            now += query_s
            machine.handle(now, WatchEnded())
            assert machine.timer_at is not None
            backoff, now = machine.timer_at - now, machine.timer_at
            machine.handle(now, TimerExpired())
        backoffs.append(backoff)
    return sorted(backoffs)


def draw_backoffs_after_rejection(since_s: float) -> list[float]:
    """The backoffs of 200 sidecars, sorted, after a rejected query, `since_s` or less after a watch's last line."""
    backoffs = []
    for seed in range(200):
        machine = DiscoveryState(SILENCE_S, Random(seed))
        machine.handle(0.0, WatchRequested())
        machine.handle(0.0, Connected())
        machine.handle(0.0, ListReceived())
        machine.handle(since_s - 0.5, WatchEnded())
        assert machine.timer_at is not None
        rejected_at = machine.timer_at
        machine.handle(rejected_at, TimerExpired())
        machine.handle(rejected_at, WatchEnded())
        backoff = machine.timer_at - rejected_at
        backoffs.append(backoff)
    return sorted(backoffs)


def test_rejected_sidecars_with_time_left_wait_for_those_without_a_list_for_longest() -> None:
    """In runs at discovery's capacity, sidecars with a recent list were served first, and others after the 6 s."""
    for later_s, earlier_s in ((5.5, 4.0), (4.0, 2.0), (2.0, 0.5)):
        assert draw_backoffs_after_rejection(later_s)[-1] < draw_backoffs_after_rejection(earlier_s)[-1]
    assert (
        1.5
        <= sum(draw_backoffs_after_rejection(0.5)) / 200
        <= draw_backoffs_after_rejection(0.5)[-1]
        <= schedule.MAX_REFUSED_BACKOFF_S
    )
    assert (
        draw_backoffs_after_rejection(5.5)[-1] <= schedule.REFUSED_BACKOFF_BASE_S + schedule.REFUSED_BACKOFF_PER_SECOND
    )  # at most a second is left
    assert 0.9 <= draw_backoffs_after_rejection(30.0)[-1] <= 1.0  # the deadline has passed: as after any second failure


@pytest.mark.parametrize("failures", [1, 2, 3, 30])
def test_two_hundred_sidecars_do_not_query_in_step(failures: int) -> None:
    """No tenth of the range of their backoffs contains more than twice its share."""
    backoffs = draw_backoffs(failures)
    span = backoffs[-1] - backoffs[0]
    assert len(set(backoffs)) == 200 and span >= 0.7 * schedule.MAX_BACKOFFS_S[min(failures, 3) - 1]
    assert max(sum(start <= backoff < start + span / 10 for backoff in backoffs) for start in backoffs) <= 40


def test_queries_become_rarer_while_discovery_is_down_and_none_is_late() -> None:
    assert sum(draw_backoffs(30)) / 200 >= 1.0 and draw_backoffs(30)[-1] <= 2.0  # rejected at once
    queued = draw_backoffs(30, query_s=2.0)
    assert sum(queued) / 200 >= 0.75 and queued[-1] <= schedule.MAX_QUERY_INTERVAL_S - 2.0
    assert draw_backoffs(30, query_s=3.0)[-1] <= schedule.MAX_QUERY_INTERVAL_S - 3.0  # longer than any query may take


@pytest.mark.parametrize("failures", [2, 3, 30])
def test_the_backoff_is_longer_after_a_queued_query_than_after_a_rejected_one(failures: int) -> None:
    # With the same backoff for both, the last lists came 5.9 to 7.1 s after discovery's return in a benchmark, too
    # late for drains.
    rejected, queued = draw_backoffs(failures), draw_backoffs(failures, query_s=2.0)
    assert queued[-1] > 1.4 * rejected[-1] and sum(queued) > 1.4 * sum(rejected)
    assert max(2.0 + backoff for backoff in queued) <= schedule.MAX_QUERY_INTERVAL_S


def test_an_agent_that_pushes_lists_is_queried_again_within_the_shortest_grace_period() -> None:
    """A change counts as known as soon as the agent has it, and a drain's grace is a quarter of a second or more."""
    for failures in (1, 2, 3, 30):
        assert draw_backoffs(failures, pushed=True)[-1] <= 0.2
    assert draw_backoffs(1, pushed=True)[-1] <= 0.05
    assert sum(draw_backoffs(30, pushed=True)) / 200 >= 0.1


def test_a_watch_that_ends_after_its_list_is_not_restarted_at_once() -> None:
    """Each query that receives a list and ends at once counts as one more failure: there is one in about a second."""
    machine, now, gaps = DiscoveryState(SILENCE_S, Random(3)), 0.0, []
    machine.handle(now, WatchRequested())
    for _ in range(40):
        machine.handle(now, Connected())
        machine.handle(now + 0.01, ListReceived())
        machine.handle(now + 0.02, WatchEnded())
        assert machine.timer_at is not None
        gaps.append(machine.timer_at - now)
        now = machine.timer_at
        machine.handle(now, TimerExpired())
    assert sum(gaps[3:]) / len(gaps[3:]) >= 1.0 and max(gaps) <= 2.1


@pytest.mark.parametrize("objective_ms", [20.0, 400.0, 2000.0, 8000.0, 60_000.0])
def test_the_load_balancer_watches_again_in_time_whatever_the_latency_objectives(objective_ms: float) -> None:
    # The wait was up to twice the mean latency objective once (8 s for objectives of 8 s), and it overflowed at the
    # 1025th consecutive failure, after which there was no further query.
    traffic_class = TrafficClass("look", Effect.IDEMPOTENT, objective_ms, 2 * objective_ms)
    balancer = Balancer(BalancerSettings(classes=(traffic_class,), must_subscribe=True), 1)
    for _ in range(1100):
        (timer,) = balancer.handle(0.0, MembershipUpdate(MembershipKind.UNAVAILABLE))
        assert isinstance(timer, SetTimer) and 0.0 < timer.at_ms <= 2000.0
