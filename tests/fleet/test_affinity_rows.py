"""Rows, wheel and clocks of the bindings against plain models."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limenotch.fleet.affinity import Tuning
from limenotch.fleet.affinity.api import Kind, State
from limenotch.fleet.affinity.clocks import ClockOffset
from limenotch.fleet.affinity.rows import NIL, Rows
from limenotch.fleet.affinity.timer_wheel import SLOTS, TimerWheel
from tests.fleet.affinity_worlds import alone


@pytest.mark.parametrize("spread", [1, 3, 1 << 120])
def test_the_index_is_a_dictionary(spread: int) -> None:
    """Keys that meet in one range and one place, and keys spread over all."""
    random, rows, model = Random(spread), Rows([b"a"]), dict[int, int]()
    for _ in range(4000):
        key = random.randrange(200) * spread
        row = rows.find(key)
        assert row == model.get(key, NIL)
        if row == NIL:
            model[key] = rows.add(key)
        elif random.random() < 0.6:
            rows.free(row)
            del model[key]
        assert len(rows) == len(model)
    assert sorted(rows.rows_in_range(0)) == sorted(row for key, row in model.items() if key >> 120 == 0)


def test_a_row_is_under_200_bytes_and_is_used_again() -> None:
    import tracemalloc

    tracemalloc.start()
    part = alone(Tuning(most=1_000_000))
    before, many = tracemalloc.get_traced_memory()[0], 40_000
    for number in range(many):
        part.table.record_use(1000.0, Kind.SESSION, b"%d" % number, "p1", State.OPEN)
    part.context.update_sender.next_batches(1000.0, 1000)
    each = (tracemalloc.get_traced_memory()[0] - before) / many
    tracemalloc.stop()
    assert 94 < each < 200
    room = len(part.table.rows.high)
    for number in range(many):
        part.table.remove(1000.0, part.table.rows.find(part.table.hash(Kind.SESSION, b"%d" % number)), "over")
    part.table.expire(1000.0 + part.context.tuning.grave_ms + 1000, 10**6)
    assert len(part.table.rows) == 0
    assert not any(part.table.rows.digests)
    for number in range(many):
        part.table.record_use(9e5, Kind.SESSION, b"x%d" % number, "p1", State.OPEN)
    assert len(part.table.rows.high) == room


@given(st.lists(st.tuples(st.floats(0, 3e6), st.booleans()), min_size=1, max_size=60))
@settings(max_examples=60, deadline=None, derandomize=True)
def test_the_wheel_gives_each_row_once_when_due(dues: list[tuple[float, bool]]) -> None:
    rows = Rows([b"a"])
    wheel = TimerWheel(rows, 100.0, 0.0)
    due: dict[int, float] = {}
    for key, (at, dropped) in enumerate(dues):
        row = rows.add(key)
        wheel.schedule(row, at)
        if dropped:
            wheel.unlink(row)
        else:
            due[row] = at
    now = 0.0
    while due:
        now += 50_000.0
        assert now < 4e6
        while (row := wheel.pop_due(now)) != NIL:
            if now < due[row]:  # more than a turn ahead: looked at on the way
                wheel.schedule(row, due[row])
                assert due[row] - now > 0
                continue
            # Not later than a tick and the step of this test.
            assert due.pop(row) > now - 50_000.0 - 200.0
        assert wheel.processed_until_ms <= now < wheel.processed_until_ms + 100.0 or wheel.is_behind(now)


def test_the_wheel_after_a_long_pause_goes_by_pieces() -> None:
    rows = Rows([b"a"])
    wheel = TimerWheel(rows, 10.0, 0.0)
    row = rows.add(1)
    wheel.schedule(row, 10.0 * (SLOTS - 5))
    later, turns, found = 86_400_000.0, 0, False
    while wheel.is_behind(later):
        taken = wheel.pop_due(later)
        found = found or taken == row
        turns += 1
    assert found
    assert 100 < turns < 1000


def test_ages_count_from_when_they_were_sent() -> None:
    clock = ClockOffset(0.01)
    clock.add_one_way_sample(1010.0, 0.0)  # 10 ms under way, ahead by 1000
    assert clock.latest_local_ms(1010.0, 0.0) == 1010.0
    # Later the bound is wider, by what either clock may have gained.
    assert clock.latest_local_ms(11_000.0, 9000.0) == pytest.approx(10_010 + 0.01 * 9000, abs=2)
    clock.add_one_way_sample(11_020.0, 10_018.0)
    for late in (0.0, 5000.0):  # a batch that comes 5 s late is 5 s older, as if it had come at once
        assert clock.latest_local_ms(11_020.0 + late, 10_000.0) == pytest.approx(11_002.2, abs=0.1)


@given(
    st.integers(-(10**6), 10**6),
    st.lists(st.tuples(st.floats(0, 2000), st.floats(0, 500), st.floats(0, 500)), min_size=1, max_size=20),
    st.floats(-1, 1),
)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_the_bounds_hold_under_drift(ahead: int, steps: list[tuple[float, float, float]], pull: float) -> None:
    drift = 0.02
    clock, now, rate = ClockOffset(drift), 1e6, 1 + pull * drift / (1 + drift)

    def theirs(at: float) -> float:
        return ahead + (at - 1e6) * rate

    for wait, there, back in steps:
        asked = now + wait
        sent = theirs(asked + there)
        now = asked + there + back
        clock.add_round_trip_sample(now, asked, sent)
        clock.add_one_way_sample(now, sent)
        for since in (0.0, 900.0):
            at = now + since
            assert clock.earliest_local_ms(at, theirs(at - 400)) <= at - 400 + 1e-6
            assert clock.latest_local_ms(at, theirs(at - 400)) >= at - 400 - 1e-6


def test_nothing_is_covered_before_an_answer() -> None:
    clock = ClockOffset(0.02)
    clock.add_one_way_sample(10.0, 5.0)
    assert clock.earliest_local_ms(10.0, 5.0) == -float("inf")
    assert not clock.has_round_trip
