"""Row storage, timer wheel and clock offsets of the affinity table, compared with simple models."""

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
from tests.fleet.affinity_worlds import single_member


@pytest.mark.parametrize("spread", [1, 3, 1 << 120])
def test_the_index_matches_a_dictionary(spread: int) -> None:
    """Keys that collide in one range and slot, and keys spread over all ranges."""
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


def test_a_row_takes_under_200_bytes_and_is_reused() -> None:
    import tracemalloc

    tracemalloc.start()
    bindings = single_member(Tuning(most=1_000_000))
    before, many = tracemalloc.get_traced_memory()[0], 40_000
    for number in range(many):
        bindings.table.record_use(1000.0, Kind.SESSION, b"%d" % number, "p1", State.OPEN)
    bindings.context.update_sender.next_batches(1000.0, 1000)
    each = (tracemalloc.get_traced_memory()[0] - before) / many
    tracemalloc.stop()
    assert 94 < each < 200
    capacity = len(bindings.table.rows.high)
    for number in range(many):
        bindings.table.remove(
            1000.0, bindings.table.rows.find(bindings.table.hash(Kind.SESSION, b"%d" % number)), "over"
        )
    bindings.table.expire(1000.0 + bindings.context.tuning.grave_ms + 1000, 10**6)
    assert len(bindings.table.rows) == 0
    assert not any(bindings.table.rows.digests)
    for number in range(many):
        bindings.table.record_use(9e5, Kind.SESSION, b"x%d" % number, "p1", State.OPEN)
    assert len(bindings.table.rows.high) == capacity


@given(st.lists(st.tuples(st.floats(0, 3e6), st.booleans()), min_size=1, max_size=60))
@settings(max_examples=60, deadline=None, derandomize=True)
def test_the_wheel_returns_each_row_once_when_due(schedule: list[tuple[float, bool]]) -> None:
    rows = Rows([b"a"])
    wheel = TimerWheel(rows, 100.0, 0.0)
    due_at_ms: dict[int, float] = {}
    for key, (at, dropped) in enumerate(schedule):
        row = rows.add(key)
        wheel.schedule(row, at)
        if dropped:
            wheel.unlink(row)
        else:
            due_at_ms[row] = at
    now = 0.0
    while due_at_ms:
        now += 50_000.0
        assert now < 4e6
        while (row := wheel.pop_due(now)) != NIL:
            if now < due_at_ms[row]:  # more than a turn ahead: inspected once per turn
                wheel.schedule(row, due_at_ms[row])
                assert due_at_ms[row] - now > 0
                continue
            # Not later than a tick plus the step of this test.
            assert due_at_ms.pop(row) > now - 50_000.0 - 200.0
        assert wheel.processed_until_ms <= now < wheel.processed_until_ms + 100.0 or wheel.is_behind(now)


def test_the_wheel_catches_up_in_steps_after_a_long_pause() -> None:
    rows = Rows([b"a"])
    wheel = TimerWheel(rows, 10.0, 0.0)
    row = rows.add(1)
    wheel.schedule(row, 10.0 * (SLOTS - 5))
    later, turns, found = 86_400_000.0, 0, False
    while wheel.is_behind(later):
        popped = wheel.pop_due(later)
        found = found or popped == row
        turns += 1
    assert found
    assert 100 < turns < 1000


def test_ages_count_from_the_time_of_sending() -> None:
    clock = ClockOffset(0.01)
    clock.add_one_way_sample(1010.0, 0.0)  # delay of 10 ms, offset of 1000 ms
    assert clock.latest_local_ms(1010.0, 0.0) == 1010.0
    # Later the bound is wider, by the possible drift of both clocks.
    assert clock.latest_local_ms(11_000.0, 9000.0) == pytest.approx(10_010 + 0.01 * 9000, abs=2)
    clock.add_one_way_sample(11_020.0, 10_018.0)
    for late in (0.0, 5000.0):  # a delay of 5 s does not change the converted time
        assert clock.latest_local_ms(11_020.0 + late, 10_000.0) == pytest.approx(11_002.2, abs=0.1)


@given(
    st.integers(-(10**6), 10**6),
    st.lists(st.tuples(st.floats(0, 2000), st.floats(0, 500), st.floats(0, 500)), min_size=1, max_size=20),
    st.floats(-1, 1),
)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_clock_bounds_hold_under_drift(ahead: int, steps: list[tuple[float, float, float]], pull: float) -> None:
    drift = 0.02
    clock, now, rate = ClockOffset(drift), 1e6, 1 + pull * drift / (1 + drift)

    def remote_ms(at: float) -> float:
        return ahead + (at - 1e6) * rate

    for wait, there, back in steps:
        request_sent_ms = now + wait
        sent_ms = remote_ms(request_sent_ms + there)
        now = request_sent_ms + there + back
        clock.add_round_trip_sample(now, request_sent_ms, sent_ms)
        clock.add_one_way_sample(now, sent_ms)
        for since in (0.0, 900.0):
            at = now + since
            assert clock.earliest_local_ms(at, remote_ms(at - 400)) <= at - 400 + 1e-6
            assert clock.latest_local_ms(at, remote_ms(at - 400)) >= at - 400 - 1e-6


def test_no_lower_clock_bound_before_an_answer() -> None:
    clock = ClockOffset(0.02)
    clock.add_one_way_sample(10.0, 5.0)
    assert clock.earliest_local_ms(10.0, 5.0) == -float("inf")
    assert not clock.has_round_trip
