"""Eviction from a full table: classes, order, and that all members evict the same rows."""

from __future__ import annotations

from random import Random

import pytest

from limenotch.fleet.affinity import Tuning
from limenotch.fleet.affinity.api import AvailableEndpoints, Kind, State
from limenotch.fleet.affinity.core import Bindings
from limenotch.fleet.affinity.eviction import ENDING, OPENED, OPENING, PROTECTED, EvictionOrder, eviction_class
from limenotch.fleet.affinity.rows import ENDPOINT_REMOVED, NIL, STATE_SHIFT, TOMBSTONE, Rows
from limenotch.fleet.affinity.tuning import Ages
from limenotch.fleet.interfaces import LogLine, TimerFired
from tests.fleet.affinity_worlds import ENDPOINTS, single_member

SMALL = Tuning(most=16, most_opening=0.25, flow=Ages(opening=60_000))


def found_keys(bindings: Bindings, kind: Kind, *keys: bytes) -> list[bytes]:
    return [key for key in keys if bindings.table.find(2000.0, kind, key) is not None]


def fill(bindings: Bindings, count: int = 16, state: State = State.OPEN, kind: Kind = Kind.FLOW) -> list[bytes]:
    """Binds `count` keys, one per batch, so that each has its own stamp."""
    keys = [b"%s%d" % (state.name.encode(), number) for number in range(count)]
    for key in keys:
        bindings.table.record_use(1000.0, kind, key, "p1", state)
        bindings.context.update_sender.next_batches(1000.0)
    return keys


@pytest.mark.parametrize(
    ("kind", "state", "ended", "number"),
    [
        (Kind.FLOW, State.OPENING, False, OPENING),
        (Kind.FLOW, State.OPEN, False, OPENED),
        (Kind.CONN, State.CLOSING, False, ENDING),
        (Kind.SESSION, State.LINGERING, False, ENDING),
        (Kind.CONN, State.OPEN, True, ENDING),
        (Kind.CONN, State.OPENING, True, ENDING),
        (Kind.KEY, State.OPEN, True, PROTECTED),
        (Kind.KEY, State.OPENING, False, PROTECTED),
        (Kind.KEY, State.CLOSING, False, PROTECTED),
    ],
)
def test_eviction_class_by_flags(kind: Kind, state: State, ended: bool, number: int) -> None:
    assert eviction_class(kind | state << STATE_SHIFT | (ENDPOINT_REMOVED if ended else 0)) == number


def test_an_eviction_order_matches_a_sorted_list() -> None:
    random, rows = Random(4), Rows([b"a"])
    order, model = EvictionOrder(rows), dict[int, tuple[int, int]]()
    for number in range(3000):
        if model and random.random() < 0.45:
            row = order.lowest() if random.random() < 0.5 else random.choice(list(model))
            order.drop(row, model.pop(row)[0])
            rows.free(row)
        else:
            row = rows.add(random.getrandbits(128))
            stamp = max(0, number // 7 + random.randrange(-30, 3))
            rows.stamp[row] = stamp
            order.add(row, stamp)
            model[row] = (stamp, rows.key(row))
        lowest = order.lowest()
        assert lowest == (min(model, key=lambda each: model[each]) if model else NIL)
        if number % 100 == 0:
            by_stamp = sorted(model, key=lambda each: model[each], reverse=True)
            assert list(order.newest(-1, 1 << 60, (1 << 128) - 1)) == by_stamp
            if len(by_stamp) > 8:
                after, floor = model[by_stamp[3]], model[by_stamp[7]][0]
                assert list(order.newest(floor, *after)) == [row for row in by_stamp[4:] if model[row][0] > floor]
    assert order.size == len(model)


def test_ending_rows_are_evicted_first_then_the_longest_idle() -> None:
    bindings = single_member(SMALL)
    keys = fill(bindings)
    bindings.table.record_use(1500.0, Kind.FLOW, keys[9], "p1", State.CLOSING)
    bindings.table.record_use(1500.0, Kind.FLOW, keys[0], "p1", State.OPEN)
    bindings.table.announce(bindings.table.rows.find(bindings.table.hash(Kind.FLOW, keys[0])))
    bindings.context.update_sender.next_batches(1500.0)
    for number, evicted in enumerate((keys[9], keys[1], keys[2])):
        assert bindings.table.record_use(1600.0, Kind.FLOW, b"new%d" % number, "p1", State.OPEN)
        bindings.context.update_sender.next_batches(1600.0)
        assert evicted not in found_keys(bindings, Kind.FLOW, *keys)
    assert found_keys(bindings, Kind.FLOW, *keys) == [keys[0], *keys[3:9], *keys[10:]]
    assert bindings.counts["gave way"] == 3


def test_opening_rows_evict_no_open_row() -> None:
    bindings = single_member(SMALL)
    keys = fill(bindings, 12)
    for number in range(100):
        bindings.table.record_use(1100.0, Kind.FLOW, b"half%d" % number, "p1", State.OPENING)
    assert found_keys(bindings, Kind.FLOW, *keys) == keys
    assert bindings.table.opening == 4
    fill(bindings, 4, kind=Kind.SESSION)
    assert len(found_keys(bindings, Kind.FLOW, *keys)) == 8  # open rows evict older open rows
    assert bindings.table.opening == 4
    assert not bindings.table.record_use(1200.0, Kind.KEY, b"key", "p1", State.OPENING) or bindings.table.opening <= 4


def test_keys_in_their_window_are_never_evicted_and_new_bindings_are_rejected() -> None:
    bindings = single_member(SMALL)
    keys = fill(bindings, kind=Kind.KEY)
    assert not bindings.table.record_use(1100.0, Kind.FLOW, b"x", "p1", State.OPEN)
    assert not bindings.table.record_use(1100.0, Kind.KEY, b"x", "p1", State.OPEN)
    assert found_keys(bindings, Kind.KEY, *keys) == keys
    assert bindings.counts["refused"] == 2
    assert bindings.table.record_use(1100.0, Kind.KEY, keys[0], "p1", State.OPEN)


def test_opening_keys_are_limited_to_their_share() -> None:
    bindings = single_member(SMALL)
    assert [bindings.table.record_use(1100.0, Kind.KEY, b"%d" % each, "p1", State.OPENING) for each in range(6)] == [
        True
    ] * 4 + [False] * 2


@pytest.mark.parametrize("seed", range(5))
def test_the_same_rows_stay_in_any_order_of_arrival(seed: int) -> None:
    """The table ends with the highest rows in the eviction order."""
    random = Random(seed)
    replicas = [
        (
            random.getrandbits(128),
            Kind.FLOW | random.choice((State.OPEN, State.CLOSING)) << STATE_SHIFT,
            random.randrange(1, 8),
        )
        for _ in range(60)
    ]
    stored = []
    for _ in range(3):
        bindings = single_member(SMALL)
        random.shuffle(replicas)
        for key, flags, stamp in replicas:
            bindings.table.apply_replica(
                1000.0, key, flags, ("p1", "c1", "z1"), 0, 0, stamp, "b", 1000.0, 1000.0, stamp, True
            )
        rows = bindings.table.rows
        stored.append(
            {key for key, _, _ in replicas if (row := rows.find(key)) != NIL and not rows.flags[row] & TOMBSTONE}
        )
        assert len(stored[-1]) == 16
    order = sorted(replicas, key=lambda each: (eviction_class(each[1]) != ENDING, each[2], each[0]))
    assert stored[0] == stored[1] == stored[2] == {key for key, _, _ in order[-16:]}


def test_a_full_table_is_logged_once_and_ended_rows_are_evicted_first() -> None:
    bindings = single_member(SMALL)
    keys = fill(bindings, kind=Kind.CONN)
    bindings.handle(1000.0, AvailableEndpoints({name: at for name, at in ENDPOINTS.items() if name != "p1"}))
    assert found_keys(bindings, Kind.CONN, *keys) == []
    now, log_texts = 1000.0, []
    for number in range(20):
        now += 100.0
        bindings.table.record_use(now, Kind.CONN, b"n%d" % number, "p2", State.OPEN)
        log_texts += [act.text for act in bindings.handle(now, TimerFired(1)) if isinstance(act, LogLine)]
    assert log_texts == ["full"]
    assert bindings.table.live_rows == 16
