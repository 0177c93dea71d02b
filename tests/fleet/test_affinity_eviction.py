"""A full table: who gives way, in which order, and that it is the same everywhere."""

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
from tests.fleet.affinity_worlds import ENDPOINTS, alone

SMALL = Tuning(most=16, most_opening=0.25, flow=Ages(opening=60_000))


def held(part: Bindings, kind: Kind, *keys: bytes) -> list[bytes]:
    return [key for key in keys if part.table.find(2000.0, kind, key) is not None]


def fill(part: Bindings, count: int = 16, state: State = State.OPEN, kind: Kind = Kind.FLOW) -> list[bytes]:
    """One a batch, so that each has a stamp of its own."""
    keys = [b"%s%d" % (state.name.encode(), number) for number in range(count)]
    for key in keys:
        part.table.record_use(1000.0, kind, key, "p1", state)
        part.context.update_sender.next_batches(1000.0)
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
def test_classes(kind: Kind, state: State, ended: bool, number: int) -> None:
    assert eviction_class(kind | state << STATE_SHIFT | (ENDPOINT_REMOVED if ended else 0)) == number


def test_an_order_is_a_sorted_list() -> None:
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


def test_what_is_going_gives_way_first_then_the_longest_idle() -> None:
    part = alone(SMALL)
    keys = fill(part)
    part.table.record_use(1500.0, Kind.FLOW, keys[9], "p1", State.CLOSING)
    part.table.record_use(1500.0, Kind.FLOW, keys[0], "p1", State.OPEN)
    part.table.announce(part.table.rows.find(part.table.hash(Kind.FLOW, keys[0])))
    part.context.update_sender.next_batches(1500.0)
    for number, gone in enumerate((keys[9], keys[1], keys[2])):
        assert part.table.record_use(1600.0, Kind.FLOW, b"new%d" % number, "p1", State.OPEN)
        part.context.update_sender.next_batches(1600.0)
        assert gone not in held(part, Kind.FLOW, *keys)
    assert held(part, Kind.FLOW, *keys) == [keys[0], *keys[3:9], *keys[10:]]
    assert part.counts["gave way"] == 3


def test_half_open_ones_push_out_no_open_one() -> None:
    part = alone(SMALL)
    keys = fill(part, 12)
    for number in range(100):
        part.table.record_use(1100.0, Kind.FLOW, b"half%d" % number, "p1", State.OPENING)
    assert held(part, Kind.FLOW, *keys) == keys
    assert part.table.opening == 4
    fill(part, 4, kind=Kind.SESSION)
    assert len(held(part, Kind.FLOW, *keys)) == 8  # open ones push out open ones, and these are the older
    assert part.table.opening == 4
    assert not part.table.record_use(1200.0, Kind.KEY, b"key", "p1", State.OPENING) or part.table.opening <= 4


def test_keys_in_their_window_never_give_way_and_new_ones_are_refused() -> None:
    part = alone(SMALL)
    keys = fill(part, kind=Kind.KEY)
    assert not part.table.record_use(1100.0, Kind.FLOW, b"x", "p1", State.OPEN)
    assert not part.table.record_use(1100.0, Kind.KEY, b"x", "p1", State.OPEN)
    assert held(part, Kind.KEY, *keys) == keys
    assert part.counts["refused"] == 2
    assert part.table.record_use(1100.0, Kind.KEY, keys[0], "p1", State.OPEN)


def test_keys_half_open_have_their_share_only() -> None:
    part = alone(SMALL)
    assert [part.table.record_use(1100.0, Kind.KEY, b"%d" % each, "p1", State.OPENING) for each in range(6)] == [
        True
    ] * 4 + [False] * 2


@pytest.mark.parametrize("seed", range(5))
def test_in_whatever_order_copies_come_the_same_ones_stay(seed: int) -> None:
    """The table holds the highest of all."""
    random = Random(seed)
    copies = [
        (
            random.getrandbits(128),
            Kind.FLOW | random.choice((State.OPEN, State.CLOSING)) << STATE_SHIFT,
            random.randrange(1, 8),
        )
        for _ in range(60)
    ]
    kept = []
    for _ in range(3):
        part = alone(SMALL)
        random.shuffle(copies)
        for key, what, stamp in copies:
            part.table.apply_replica(
                1000.0, key, what, ("p1", "c1", "z1"), 0, 0, stamp, "b", 1000.0, 1000.0, stamp, True
            )
        rows = part.table.rows
        kept.append({key for key, _, _ in copies if (row := rows.find(key)) != NIL and not rows.flags[row] & TOMBSTONE})
        assert len(kept[-1]) == 16
    order = sorted(copies, key=lambda each: (eviction_class(each[1]) != ENDING, each[2], each[0]))
    assert kept[0] == kept[1] == kept[2] == {key for key, _, _ in order[-16:]}


def test_full_is_noted_once_an_episode_and_what_ended_goes_first() -> None:
    part = alone(SMALL)
    keys = fill(part, kind=Kind.CONN)
    part.handle(1000.0, AvailableEndpoints({name: at for name, at in ENDPOINTS.items() if name != "p1"}))
    assert held(part, Kind.CONN, *keys) == []
    now, notes = 1000.0, []
    for number in range(20):
        now += 100.0
        part.table.record_use(now, Kind.CONN, b"n%d" % number, "p2", State.OPEN)
        notes += [act.text for act in part.handle(now, TimerFired(1)) if isinstance(act, LogLine)]
    assert notes == ["full"]
    assert part.table.live_rows == 16
