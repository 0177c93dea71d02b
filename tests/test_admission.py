"""The door: how many calls may be held, who is turned away first, and rest for providers that choke."""

from __future__ import annotations

from copy import deepcopy
from math import inf, sqrt
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from limenotch.balancing.actions import RejectRequest
from limenotch.balancing.admission import MIN_CONCURRENCY_LIMIT, AdmissionControl
from limenotch.balancing.types import Outcome
from tests.referee import READ, Referee, make_endpoints, make_settings
from tests.test_balancer import steady
from tests.test_zones import Desk


def opened(per_s: float, spent: float = 300.0, aim: float = 1000.0) -> tuple[AdmissionControl, float]:
    """An entry that has seen five seconds of calls, all answered in time."""
    entry, now = AdmissionControl(), 0.0
    for number in range(int(5 * per_s)):
        now = number * 1000 / per_s
        entry.should_reject(now, 1.0, 0.0, 1.0)
        entry.count_answer(now)
        if number % int(per_s) == 0:
            entry.end_window(1000.0, number, 0.0)
            entry.update_limit(spent, spent, aim, known=True)
    return entry, now


def most(entry: AdmissionControl, now: float, value: float = 1.0, live: float = 1.0) -> float:
    """The held calls at which one more is turned away, to a half."""
    asked = ((n / 2, deepcopy(entry)) for n in range(600))  # each time the entry as it stands: asking counts as coming
    return next((held for held, each in asked if each.should_reject(now, value, held, live)), inf)


def test_nothing_is_turned_away_before_the_tier_is_known() -> None:
    assert most(AdmissionControl(), 0.0) == inf


def test_few_calls_are_wide_of_the_bound_while_answers_keep_up() -> None:
    """A quiet day of 30 calls a second lost 8% of its lesser class to chance alone."""
    entry, now = opened(30.0)
    assert most(entry, now) >= 1.4 * entry.concurrency_limit


@given(st.integers(0, 99))
def test_chance_is_no_rush(seed: int) -> None:
    """Twenty calls a second at random: one in ten was refused on the small fleet, for no load at all."""
    random, entry, now, refused = Random(seed), AdmissionControl(), 0.0, 0
    out: list[float] = []  # when each that is held is answered, after 300 ms or so
    for number in range(400):
        now += random.expovariate(0.02)
        for at in [at for at in out if at <= now]:
            out.remove(at)
            entry.count_answer(at)
        if number % 20 == 0:
            entry.end_window(1000.0, 100.0, 0.0)
            entry.update_limit(280.0, 300.0, 1000.0, known=number > 40)
        if entry.should_reject(now, 1.0 + number % 2, len(out), 1.0):
            refused += 1
        else:
            out.append(now + random.uniform(200.0, 400.0))
        out.sort()
    assert refused <= 6  # of 400


def test_the_bound_is_tight_as_soon_as_more_comes_than_is_answered() -> None:
    """A burst was let in on the pace shown, 142 calls at ten providers: all choked within 4 s."""
    entry, now = opened(100.0)
    calm = most(entry, now)
    for number in range(300):  # 300 a second for a second, answered no faster than before
        entry.should_reject(now + number * 10 / 3, 1.0, 0.0, 1.0)
        if number % 3 == 0:
            entry.count_answer(now + number * 10 / 3)
    assert most(entry, now + 1000.0) <= min(calm - sqrt(entry.concurrency_limit), 1.3 * entry.concurrency_limit)


def test_a_tier_that_has_slowed_down_is_not_starved() -> None:
    """All providers twice as slow for 10 s: by the idle latency alone half of what they could do was turned away."""
    entry, now = opened(100.0, spent=250.0)
    before = entry.concurrency_limit
    entry.update_limit(250.0, 550.0, 1000.0, known=True)
    assert entry.concurrency_limit > 1.3 * before
    entry.update_limit(250.0, 5000.0, 1000.0, known=True)
    assert entry.concurrency_limit <= 0.7 * 1000.0 * entry.sustained_goodput  # a jam does not widen it beyond the aim


def test_few_providers_are_not_filled_by_a_floor() -> None:
    """Three sidecars with 15 calls a second each held 12 at least, 36 on three providers: all choked, for 20 s."""
    entry, now = opened(15.0, spent=330.0, aim=750.0)
    for number in range(60):  # four times as many come
        entry.should_reject(now + number * 1000 / 60, 1.0, 0.0, 1.0)
        if number % 4 == 0:
            entry.count_answer(now + number * 1000 / 60)
    assert 15.0 * 0.33 <= most(entry, now + 1000.0) <= 2 * 15.0 * 0.456  # what is in service; twice Little's bound


@given(st.lists(st.floats(0.001, 100.0), min_size=1, max_size=60), st.floats(0.0, 1.0))
def test_the_lesser_worth_is_turned_away_first(values: list[float], live: float) -> None:
    entry, now = opened(50.0)
    for value in values:
        entry.should_reject(now, value, 0.0, live)
    low, high = min(values), max(values)
    assert most(entry, now, low, live) <= most(entry, now, high, live)


@given(st.lists(st.tuples(st.floats(1.0, 2000.0), st.floats(0, 500), st.floats(0, 500)), max_size=30))
def test_the_bound_never_closes_the_door(windows: list[tuple[float, float, float]]) -> None:
    entry = AdmissionControl()
    for span, good, bad in windows:
        entry.end_window(span, good, bad)
        entry.update_limit(100.0, 200.0, 1000.0, known=True)
        assert entry.concurrency_limit >= MIN_CONCURRENCY_LIMIT and 0 <= entry.sustained_goodput < inf


def choked(desk: Desk, at: str, answers: int = 7) -> None:
    """What a choked provider does: it answers one call of so many just in time, and the others not at all."""
    for held, number, name, since in desk.out():
        if name == at and not held.answered and desk.now - since >= 990.0:
            in_time = int(held.arrival.request.removeprefix("call-")) % answers == 0
            if in_time or desk.now - since >= 1000.0:
                desk.finish_attempt(held.arrival.request, number, Outcome.OK if in_time else Outcome.TIMEOUT)


def test_a_provider_that_misses_call_after_call_is_left_to_become_idle() -> None:
    """Sent a call now and then it never had the 2 to 5 s of idleness that a choked one wants: it stayed so for 25 s."""
    desk = Desk(crossing=0.0, zones=("abc",))
    desk.learn()
    held = []
    for _ in range(1200):
        desk.step(0, 500.0, but="a")
        choked(desk, "a")
        held.append(desk.held()["a"])
    idle = max(len(run) for run in "".join("x" if n else "." for n in held).split("x"))
    assert idle >= 480  # 4.8 s on end


def test_one_that_has_rested_is_met_as_new() -> None:
    """By what it had shown before its rest it was hardly tried again."""
    desk = Desk(crossing=0.0, zones=("abc",))
    desk.learn()
    server = desk.balancer.registry.endpoints["a"]
    while not server.ejected_until:
        desk.step(0, 500.0, but="a")
        choked(desk, "a")
    while server.ejected_until or not server.selection_weight:  # to the window's end after it
        desk.step(0, 500.0)
    assert server.selection_weight > 0 and server.failures < 1 and server.latency_ratio < 1.2


def test_no_more_than_half_of_a_tier_rests_at_once() -> None:
    """All of them at rest would be an outage of our own making."""
    desk = Desk(crossing=0.0, zones=("abcd",))
    desk.learn()
    most = 0
    for _ in range(1500):
        desk.advance(10.0)
        desk.call()
        for name in "abcd":
            choked(desk, name)
        most = max(most, sum(desk.now < s.ejected_until for s in desk.balancer.registry.endpoints.values()))
    assert most == 2


def test_a_door_that_nothing_comes_out_of_opens_again() -> None:
    """Its mean of what is held moved with answers alone: with nothing out it refused 40 calls a second for 3 s."""
    referee = Referee(make_settings(classes=(READ,)), listed=make_endpoints(4))
    balancer = referee.balancer
    steady(referee, 40, Outcome.OK)
    balancer.mean_in_flight = (
        10 * balancer.admission.concurrency_limit
    )  # a jam has just ended: every call of it is over
    assert not balancer.in_flight
    for _ in range(60):
        referee.advance(25.0)
        _, acts = referee.arrive(0)
        if not any(isinstance(act, RejectRequest) for act in acts):
            return
    raise AssertionError("shut for 1.5 s with nothing out")
