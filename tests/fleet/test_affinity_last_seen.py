"""What of the table is told, and what becomes of what is heard."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from limenotch.fleet.affinity import Tuning, messages
from limenotch.fleet.affinity.api import Kind, State
from limenotch.fleet.affinity.core import Bindings
from limenotch.fleet.affinity.expiry import expiry_bound_ms, interval_factor
from limenotch.fleet.affinity.last_seen import apply_replicas, pack_rows
from limenotch.fleet.affinity.rows import NIL
from limenotch.fleet.affinity.tuning import Ages
from limenotch.fleet.interfaces import (
    MAX_DATAGRAM_BYTES,
    Fenced,
    MemberChanged,
    MessageReceived,
    SendToMember,
    Started,
    TimerFired,
)
from limenotch.lab.fleet.world import address
from tests.fleet.affinity_worlds import FAST, KEY, alone, hear, rounds, sights

S = Kind.SESSION


def test_nothing_is_told_a_call_and_the_last_sight_is_told_in_time() -> None:
    """An eighth of 4 s: a sight each 100 ms is told each 600 ms, and what was held back when others' age runs out."""
    part = alone()
    told = 0
    for now in range(1000, 11_000, 100):
        part.table.record_use(float(now), S, b"k", "p1", State.OPEN)
        part.table.expire(float(now), 100)
        told += len(rounds(part, float(now)))
    assert 10_000 / 600 - 2 <= told <= 10_000 / 500 + 1
    row = part.table.rows.find(part.table.hash(S, b"k"))
    last, held = part.table.rows.last_seen_ms[row], part.table.rows.announced_ms[row]
    assert held < last == 10_900.0
    for now in range(11_000, 16_000, 100):
        part.table.expire(float(now), 100)
        batch = rounds(part, float(now))
        if batch:
            break
    assert held + FAST.sessions.open <= now <= held + FAST.sessions.open + FAST.tick_ms
    assert part.table.rows.announced_ms[row] == last


def test_what_is_held_back_after_the_row_was_looked_at_is_told_in_time() -> None:
    part = alone()
    for now in (1000.0, 4900.0):
        hear(part, sights(b"k", now, now, seq=int(now)), now, "z")
    for at in range(4900, 5200, 50):
        part.table.expire(float(at), 10)
    part.table.record_use(5200.0, S, b"k", "p1", State.OPEN)  # an eighth of 4 s is more than this changes
    assert not rounds(part, 5200.0)
    told = []
    for at in range(5200, 9200, 50):
        part.table.expire(float(at), 10)
        told += [(at, batch) for batch in rounds(part, float(at))]
    assert [at for at, _ in told] == [pytest.approx(8950, abs=75)]
    assert told[0][1].watermark_ms >= 8900


def test_a_value_that_is_over_replaces_none_that_is_in_use() -> None:
    """It was made first, and would win; but nobody has seen it for long."""
    part = alone()
    part.table.counter = 50
    part.table.record_use(6000.0, S, b"k", "p2", State.OPEN)
    hear(part, sights(b"k", 1000.0, 1000.0), 6100.0, "z")
    found = part.table.find(6101.0, S, b"k")
    assert found is not None and found.endpoint == "p2"
    hear(part, sights(b"k", 6150.0, 6150.0, seq=2), 6151.0, "z")
    found = part.table.find(6152.0, S, b"k")
    assert found is not None and found.endpoint == "p1"


def test_an_own_sight_is_not_lost_to_a_value_with_an_older_one() -> None:
    part = alone()
    key = part.table.hash(S, b"k")
    part.table.record_use(4000.0, S, b"k", "p1", State.OPEN)
    part.table.apply_replica(
        4100.0, key, S | State.OPENING << 2, ("p2", "c1", "z1"), 1, 0, 9, "z", 3800.0, 3800.0, 9, True
    )
    found = part.table.find(4100.0, S, b"k")
    assert found is not None
    assert (found.endpoint, found.state, found.idle_ms) == ("p2", State.OPEN, 100.0)


def test_covered_waits_for_the_whole_round() -> None:
    part = alone(Tuning())
    for number in range(3000):
        part.table.record_use(1050.0, S, b"%d" % number, "p1", State.OPEN)
    before = part.context.update_sender.watermark_ms
    part.table.expire(1200.0, 10)
    first = rounds(part, 1200.0)
    part.table.record_use(1200.0, S, b"later", "p1", State.OPEN)
    assert [len(each.rows) for each in first] == [512, 512]
    assert part.context.update_sender.watermark_ms == before < 1050.0
    rest: list[messages.LastSeenUpdate] = []
    while part.context.update_sender.round_unfinished:
        rest += rounds(part, 1300.0)
    assert [each.seq for each in first + rest] == list(range(1, 7))
    assert rest[-1].watermark_ms == 1200.0
    assert all(each.watermark_ms < 1050.0 for each in rest[:-1])
    assert len(rounds(part, 1400.0)[0].rows) == 1


def test_what_reached_nobody_is_undone_everywhere_but_where_it_was_seen() -> None:
    one, two, three = (alone(name=name) for name in "abc")
    one.table.record_use(1000.0, S, b"k", "p1", State.OPENING)
    (batch,) = rounds(one, 1010.0)
    for part in (two, three):
        hear(part, batch, 1011.0)
        assert part.table.find(1012.0, S, b"k") is not None
    three.table.record_use(1012.0, S, b"k", "p1", State.OPENING)
    one.table.undo(1013.0, S, b"k")
    (undone,) = rounds(one, 1020.0)
    for part in (two, three):
        hear(part, undone, 1021.0)
    assert [part.table.find(1022.0, S, b"k") is not None for part in (one, two, three)] == [False, False, True]
    (again,) = rounds(three, 1030.0)  # it is in use there: told at once
    hear(one, again, 1031.0, "c")
    assert one.table.find(1032.0, S, b"k") is not None
    one.table.record_use(1033.0, S, b"k", "p1", State.OPEN)
    one.table.undo(1034.0, S, b"k")
    assert one.table.find(1035.0, S, b"k") is not None
    assert one.counts["not to be undone"] == 1


def test_a_batch_that_comes_late_is_older() -> None:
    part = alone()
    batch = sights(b"k", 1000.0, 1000.0)
    hear(part, batch, 1001.0, "z")
    part.table.remove(1002.0, part.table.rows.find(part.table.hash(S, b"k")), "over")
    late = sights(b"k2", 1000.0, 1000.0, seq=2)
    hear(part, late, 4000.0, "z")
    found = part.table.find(4000.0, S, b"k2")
    assert found is not None and 2850 <= found.idle_ms <= 3000
    hear(part, sights(b"k3", 1000.0, 1000.0, seq=3), 6000.0, "z")
    assert part.table.find(6000.0, S, b"k3") is None


def test_first_words_of_a_life_wait_until_its_clock_is_known() -> None:
    """They may have lain in a stream for as long as they like."""
    part = alone()
    part.handle(2000.0, MemberChanged("z", "alive", address("z"), 0, 1))
    old = sights(b"k", 1000.0, 1000.0)
    out = part.handle(9000.0, MessageReceived(address("z"), "z", old))
    assert [type(act.message) for act in out if isinstance(act, SendToMember)] == [messages.Ping]
    assert part.table.find(9000.0, S, b"k") is None
    part.handle(9002.0, MessageReceived(address("z"), "z", messages.Pong(1, 9000.0, 9001.0)))
    assert part.table.find(9002.0, S, b"k") is None
    assert part.table.live_rows == 0


def test_a_copy_of_what_was_forgotten_revives_nothing_and_a_sight_that_crossed_does() -> None:
    part = alone()
    key = part.table.hash(S, b"k")
    part.table.record_use(1000.0, S, b"k", "p1", State.OPEN)
    row = part.table.rows.find(key)
    values = (part.table.rows.generation[row], 0, part.table.rows.version[row], "a")
    part.table.expire(5500.0, 100)
    assert part.table.live_rows == 0
    what = S | State.OPEN << 2
    assert not part.table.apply_replica(5510.0, key, what, ("p1", "c1", "z1"), *values, 1240.0, 1000.0, 9, False)
    assert part.table.live_rows == 0
    assert not part.table.apply_replica(5510.0, key, what, ("p1", "c1", "z1"), *values, 1000.0, 1000.0, 9, True)
    assert part.table.apply_replica(5510.0, key, what, ("p1", "c1", "z1"), *values, 4900.0, 1000.0, 9, True)
    assert part.table.live_rows == 1
    part.table.remove(5600.0, part.table.rows.find(key), "undo")
    assert not part.table.apply_replica(5700.0, key, what, ("p1", "c1", "z1"), *values, 5500.0, 1000.0, 9, False)
    # One that was used since where it was not forgotten.
    assert part.table.apply_replica(6000.0, key, what, ("p1", "c1", "z1"), *values, 5900.0, 1000.0, 9, False)


def test_what_was_made_after_it_was_forgotten_is_taken_though_its_maker_knew_of_no_earlier_one() -> None:
    part = alone()
    key, what, place = part.table.hash(S, b"k"), S | State.OPEN << 2, ("p2", "c1", "z1")
    for now in (1000.0, 6000.0):  # twice bound, twice forgotten
        part.table.record_use(now, S, b"k", "p1", State.OPEN)
        part.table.expire(now + 4500.0, 100)
    assert part.table.live_rows == 0
    assert part.table.apply_replica(10_600.0, key, what, place, 0, 0, 7, "z", 10_550.0, 10_550.0, 9, False)
    found = part.table.find(10_601.0, S, b"k")
    assert found is not None and found.endpoint == "p2"


def test_an_age_grows_no_younger_by_going_round() -> None:
    """One's own sight, back as a copy by a way of 40 ms."""
    one, two = alone(), alone(name="z")
    one.table.record_use(1000.0, S, b"k", "p1", State.OPEN)
    (batch,) = rounds(one, 1000.0)
    hear(two, batch, 1040.0, "a")
    hear(one, messages.Pong(1, 1000.0, 1040.0), 1080.0, "z")
    before = one.table.rows.last_seen_ms[0]
    for now in range(1100, 3000, 100):
        packed = pack_rows(two.table, [two.table.rows.find(two.table.hash(S, b"k"))], float(now))
        peer = one.context.peers.get("z")
        assert peer is not None
        apply_replicas(one.table, now + 40.0, peer, float(now), packed, False)
        assert one.table.rows.last_seen_ms[0] == before


def test_ten_thousand_that_expire_in_one_ms_go_by_pieces() -> None:
    part = alone(Tuning(conn=Ages(open=1000)))
    for number in range(10_000):
        part.table.record_use(2000.0, Kind.CONN, b"%d" % number, "p1", State.OPEN)
    while part.context.update_sender.round_unfinished or part.table.to_announce:
        rounds(part, 2000.0)
    now, turns, most = 3500.0, 0, 0
    while part.table.live_rows:
        before = part.table.live_rows
        part.handle(now, TimerFired(1))
        most, turns, now = max(most, before - part.table.live_rows), turns + 1, now + 1.0
        assert turns < 100
    assert 0 < most <= 500


def test_an_old_programs_messages_are_read_and_newer_ones_fields_skipped() -> None:
    batch = sights(b"k", 1000.0, 1000.0)
    plain = msgspec.msgpack.decode(msgspec.msgpack.encode(batch))
    older, newer = plain[:-2], [*plain, "more"]  # without `undone`, `kept` and the rows' stamps
    older[-1] = [row[:-1] for row in older[-1]]
    for each in (older, newer):
        read: messages.LastSeenUpdate = msgspec.msgpack.decode(
            msgspec.msgpack.encode(each), type=messages.LastSeenUpdate
        )
        other = alone()
        hear(other, read, 1000.0, "z")
        assert other.table.find(1001.0, S, b"k") is not None


@pytest.mark.parametrize(
    "change",
    [
        {"key": b"short"},
        {"flags": 64},
        {"flags": -1},
        {"endpoint": 5},
        {"author": -1},
        {"generation": 1 << 32},
        {"moves": 1 << 16},
        {"version": 1 << 63},
        {"last_seen_age": -1},
        {"created_age": -1},
        {"stamp": -1},
    ],
)
def test_unsound_copies_change_nothing(change: dict[str, Any]) -> None:
    part = alone()
    batch = sights(b"k", 1000.0, 1000.0)
    bad = msgspec.structs.replace(batch, rows=(msgspec.structs.replace(batch.rows[0], **change),))
    hear(part, bad, 1001.0, "z")
    assert part.table.live_rows == 0
    assert part.counts["unsound copy"] == 1


def test_datagrams_are_small_and_streams_bounded() -> None:
    part = alone(Tuning())
    for number in range(2000):
        part.table.record_use(1050.0, S, b"%d" % number, "p1", State.OPEN)
    for batch in rounds(part, 1100.0):
        assert len(msgspec.msgpack.encode(batch)) < 64 * 1024
    assert len(msgspec.msgpack.encode(messages.Pong(1 << 60, 1e9, 1e9))) < MAX_DATAGRAM_BYTES


def test_events_that_are_none_and_time_that_runs_back() -> None:
    part = Bindings("a", 1, KEY)
    with pytest.raises(TypeError):
        part.handle(1.0, "x")
    part.handle(2.0, Started())
    with pytest.raises(ValueError, match="back"):
        part.handle(1.0, TimerFired(1))
    part.handle(3.0, MessageReceived(address("z"), "z", MemberChanged("z", "alive", address("z"), 0, 1)))  # type: ignore[arg-type]
    assert part.counts["no message of bindings"] == 1


def test_fenced_keeps_the_young_and_drops_the_over_at_once() -> None:
    part = alone()
    part.handle(1000.0, MemberChanged("z", "alive", address("z"), 0, 1))
    part.table.record_use(1000.0, S, b"old", "p1", State.OPEN)
    part.table.record_use(4000.0, S, b"young", "p1", State.OPEN)
    part.handle(5500.0, TimerFired(1))
    assert part.table.find(5500.0, S, b"old") is not None  # z has not covered its end
    part.handle(5500.0, Fenced())
    part.handle(5500.0, MemberChanged("a", "alive", address("a"), 0, 2))
    part.handle(5600.0, TimerFired(1))
    assert part.table.find(5600.0, S, b"old") is None
    assert part.table.find(5600.0, S, b"young") is not None
    assert not part.table.complete
    assert part.table.rows.find(part.table.hash(S, b"none")) == NIL


def test_stated_times_grow_with_members_and_paths() -> None:
    few, many = (expiry_bound_ms(FAST, 4000, 3000, members, 10) for members in (3, 200))
    assert 4000 + 3000 < few < many
    assert interval_factor(32) == 1 and interval_factor(200) == 6.25
