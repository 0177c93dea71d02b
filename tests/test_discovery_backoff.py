"""When discovery is queried again: by failures, by the time left, out of step with others."""

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


def waits(failures: int, taken: float = 0.0, pushed: bool = False) -> list[float]:
    """Of 200 sidecars: from the end of the last of so many calls in a row, each `taken` long, to the next call."""
    found = []
    for seed in range(200):
        machine, now = DiscoveryState(SILENCE_S, Random(seed), pushed), 0.0
        machine.handle(now, WatchRequested())
        for _ in range(failures):
            now += taken
            machine.handle(now, WatchEnded())
            assert machine.timer_at is not None
            wait, now = machine.timer_at - now, machine.timer_at
            machine.handle(now, TimerExpired())
        found.append(wait)
    return sorted(found)


def refused_waits(since_s: float) -> list[float]:
    """Of 200 sidecars: the wait after a refused call, up to so long after the last word of a watch."""
    found = []
    for seed in range(200):
        machine = DiscoveryState(SILENCE_S, Random(seed))
        machine.handle(0.0, WatchRequested())
        machine.handle(0.0, Connected())
        machine.handle(0.0, ListReceived())
        machine.handle(since_s - 0.5, WatchEnded())
        assert machine.timer_at is not None
        refused = machine.timer_at
        machine.handle(refused, TimerExpired())
        machine.handle(refused, WatchEnded())
        wait = machine.timer_at - refused
        found.append(wait)
    return sorted(found)


def test_refused_callers_with_time_left_leave_the_places_to_those_without_a_list_for_longest() -> None:
    """On real days whoever had a list lately came first to a full discovery, and others were over the 6 s."""
    for later_s, earlier_s in ((5.5, 4.0), (4.0, 2.0), (2.0, 0.5)):
        assert refused_waits(later_s)[-1] < refused_waits(earlier_s)[-1]
    assert 1.5 <= sum(refused_waits(0.5)) / 200 <= refused_waits(0.5)[-1] <= schedule.MAX_REFUSED_BACKOFF_S
    assert (
        refused_waits(5.5)[-1] <= schedule.REFUSED_BACKOFF_BASE_S + schedule.REFUSED_BACKOFF_PER_SECOND
    )  # a second is left at most
    assert 0.9 <= refused_waits(30.0)[-1] <= 1.0  # over the time anyway: as after any second failure


@pytest.mark.parametrize("failures", [1, 2, 3, 30])
def test_two_hundred_sidecars_do_not_ask_in_step(failures: int) -> None:
    """In no tenth of the span that their waits have there are more than twice their even part."""
    found = waits(failures)
    span = found[-1] - found[0]
    assert len(set(found)) == 200 and span >= 0.7 * schedule.MAX_BACKOFFS_S[min(failures, 3) - 1]
    assert max(sum(at <= wait < at + span / 10 for wait in found) for at in found) <= 40


def test_while_nothing_answers_the_pace_falls_and_no_call_is_late() -> None:
    assert sum(waits(30)) / 200 >= 1.0 and waits(30)[-1] <= 2.0  # refused at once
    jammed = waits(30, taken=2.0)
    assert sum(jammed) / 200 >= 0.75 and jammed[-1] <= schedule.MAX_QUERY_INTERVAL_S - 2.0
    assert waits(30, taken=3.0)[-1] <= schedule.MAX_QUERY_INTERVAL_S - 3.0  # as long as a call may hang


@pytest.mark.parametrize("failures", [2, 3, 30])
def test_callers_that_were_kept_in_a_queue_wait_longer_than_those_refused_at_once(failures: int) -> None:
    # Guards drains: on the bench the last lists came 5.9 to 7.1 s after discovery's return, with one wait for both.
    refused, queued = waits(failures), waits(failures, taken=2.0)
    assert queued[-1] > 1.4 * refused[-1] and sum(queued) > 1.4 * sum(refused)
    assert max(2.0 + wait for wait in queued) <= schedule.MAX_QUERY_INTERVAL_S


def test_where_lists_are_pushed_the_agent_is_asked_again_within_the_least_grace() -> None:
    """What the agent gets at discovery's return counts at once; a drain's grace is a quarter of a second or more."""
    for failures in (1, 2, 3, 30):
        assert waits(failures, pushed=True)[-1] <= 0.2
    assert waits(1, pushed=True)[-1] <= 0.05
    assert sum(waits(30, pushed=True)) / 200 >= 0.1


def test_a_watch_that_ends_with_each_list_is_not_begun_again_without_pause() -> None:
    """Each call that brings a list and ends at once counts as one more failure: a poll of every second or so."""
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


@pytest.mark.parametrize("aim_ms", [20.0, 400.0, 2000.0, 8000.0, 60_000.0])
def test_the_module_asks_again_in_time_whatever_the_aims(aim_ms: float) -> None:
    # Guards against a wait of up to twice the mean aim (8 s for aims of 8 s), and against a number that overflowed at
    # the 1025th failure in a row, after which nobody asked any more.
    look = TrafficClass("look", Effect.IDEMPOTENT, aim_ms, 2 * aim_ms)
    balancer = Balancer(BalancerSettings(classes=(look,), must_subscribe=True), 1)
    for _ in range(1100):
        (timer,) = balancer.handle(0.0, MembershipUpdate(MembershipKind.UNAVAILABLE))
        assert isinstance(timer, SetTimer) and 0.0 < timer.at_ms <= 2000.0
