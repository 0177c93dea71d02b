"""Last-seen updates: which uses are announced when, and how received updates and replicas are applied."""

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
from tests.fleet.affinity_worlds import FAST, KEY, make_update, next_updates, receive, single_member

SESSION = Kind.SESSION


def test_uses_are_not_announced_singly_and_the_last_one_is_announced_in_time() -> None:
    """Threshold: an eighth of 4 s. Uses each 100 ms are announced each 600 ms, the rest at the announced expiry."""
    bindings = single_member()
    announcements = 0
    for now in range(1000, 11_000, 100):
        bindings.table.record_use(float(now), SESSION, b"k", "p1", State.OPEN)
        bindings.table.expire(float(now), 100)
        announcements += len(next_updates(bindings, float(now)))
    assert 10_000 / 600 - 2 <= announcements <= 10_000 / 500 + 1
    row = bindings.table.rows.find(bindings.table.hash(SESSION, b"k"))
    last_use_ms, announced_ms = bindings.table.rows.last_seen_ms[row], bindings.table.rows.announced_ms[row]
    assert announced_ms < last_use_ms == 10_900.0
    for now in range(11_000, 16_000, 100):
        bindings.table.expire(float(now), 100)
        batch = next_updates(bindings, float(now))
        if batch:
            break
    assert announced_ms + FAST.sessions.open <= now <= announced_ms + FAST.sessions.open + FAST.tick_ms
    assert bindings.table.rows.announced_ms[row] == last_use_ms


def test_a_use_withheld_after_the_row_was_inspected_is_announced_in_time() -> None:
    bindings = single_member()
    for now in (1000.0, 4900.0):
        receive(bindings, make_update(b"k", now, now, seq=int(now)), now, "z")
    for time_ms in range(4900, 5200, 50):
        bindings.table.expire(float(time_ms), 10)
    bindings.table.record_use(5200.0, SESSION, b"k", "p1", State.OPEN)  # changes less than an eighth of 4 s
    assert not next_updates(bindings, 5200.0)
    announcements = []
    for time_ms in range(5200, 9200, 50):
        bindings.table.expire(float(time_ms), 10)
        announcements += [(time_ms, batch) for batch in next_updates(bindings, float(time_ms))]
    assert [time_ms for time_ms, _ in announcements] == [pytest.approx(8950, abs=75)]
    assert announcements[0][1].watermark_ms >= 8900


def test_an_expired_value_replaces_none_in_use() -> None:
    """The value was created first and would win, but its last use is long ago."""
    bindings = single_member()
    bindings.table.counter = 50
    bindings.table.record_use(6000.0, SESSION, b"k", "p2", State.OPEN)
    receive(bindings, make_update(b"k", 1000.0, 1000.0), 6100.0, "z")
    found = bindings.table.find(6101.0, SESSION, b"k")
    assert found is not None and found.endpoint == "p2"
    receive(bindings, make_update(b"k", 6150.0, 6150.0, seq=2), 6151.0, "z")
    found = bindings.table.find(6152.0, SESSION, b"k")
    assert found is not None and found.endpoint == "p1"


def test_a_local_use_survives_a_winning_value_with_an_older_use() -> None:
    bindings = single_member()
    key = bindings.table.hash(SESSION, b"k")
    bindings.table.record_use(4000.0, SESSION, b"k", "p1", State.OPEN)
    bindings.table.apply_replica(
        4100.0, key, SESSION | State.OPENING << 2, ("p2", "c1", "z1"), 1, 0, 9, "z", 3800.0, 3800.0, 9, True
    )
    found = bindings.table.find(4100.0, SESSION, b"k")
    assert found is not None
    assert (found.endpoint, found.state, found.idle_ms) == ("p2", State.OPEN, 100.0)


def test_the_watermark_waits_for_the_complete_round() -> None:
    bindings = single_member(Tuning())
    for number in range(3000):
        bindings.table.record_use(1050.0, SESSION, b"%d" % number, "p1", State.OPEN)
    before = bindings.context.update_sender.watermark_ms
    bindings.table.expire(1200.0, 10)
    first = next_updates(bindings, 1200.0)
    bindings.table.record_use(1200.0, SESSION, b"later", "p1", State.OPEN)
    assert [len(each.rows) for each in first] == [512, 512]
    assert bindings.context.update_sender.watermark_ms == before < 1050.0
    rest: list[messages.LastSeenUpdate] = []
    while bindings.context.update_sender.round_unfinished:
        rest += next_updates(bindings, 1300.0)
    assert [each.seq for each in first + rest] == list(range(1, 7))
    assert rest[-1].watermark_ms == 1200.0
    assert all(each.watermark_ms < 1050.0 for each in rest[:-1])
    assert len(next_updates(bindings, 1400.0)[0].rows) == 1


def test_an_undo_applies_everywhere_except_where_the_binding_was_used() -> None:
    first, second, third = (single_member(name=name) for name in "abc")
    first.table.record_use(1000.0, SESSION, b"k", "p1", State.OPENING)
    (batch,) = next_updates(first, 1010.0)
    for bindings in (second, third):
        receive(bindings, batch, 1011.0)
        assert bindings.table.find(1012.0, SESSION, b"k") is not None
    third.table.record_use(1012.0, SESSION, b"k", "p1", State.OPENING)
    first.table.undo(1013.0, SESSION, b"k")
    (undone,) = next_updates(first, 1020.0)
    for bindings in (second, third):
        receive(bindings, undone, 1021.0)
    assert [bindings.table.find(1022.0, SESSION, b"k") is not None for bindings in (first, second, third)] == [
        False,
        False,
        True,
    ]
    (again,) = next_updates(third, 1030.0)  # it is in use there: announced at once
    receive(first, again, 1031.0, "c")
    assert first.table.find(1032.0, SESSION, b"k") is not None
    first.table.record_use(1033.0, SESSION, b"k", "p1", State.OPEN)
    first.table.undo(1034.0, SESSION, b"k")
    assert first.table.find(1035.0, SESSION, b"k") is not None
    assert first.counts["not to be undone"] == 1


def test_a_delayed_update_is_older() -> None:
    bindings = single_member()
    batch = make_update(b"k", 1000.0, 1000.0)
    receive(bindings, batch, 1001.0, "z")
    bindings.table.remove(1002.0, bindings.table.rows.find(bindings.table.hash(SESSION, b"k")), "over")
    late = make_update(b"k2", 1000.0, 1000.0, seq=2)
    receive(bindings, late, 4000.0, "z")
    found = bindings.table.find(4000.0, SESSION, b"k2")
    assert found is not None and 2850 <= found.idle_ms <= 3000
    receive(bindings, make_update(b"k3", 1000.0, 1000.0, seq=3), 6000.0, "z")
    assert bindings.table.find(6000.0, SESSION, b"k3") is None


def test_messages_wait_until_the_clock_offset_is_known() -> None:
    """The messages may have waited in their stream for any time."""
    bindings = single_member()
    bindings.handle(2000.0, MemberChanged("z", "alive", address("z"), 0, 1))
    old = make_update(b"k", 1000.0, 1000.0)
    actions = bindings.handle(9000.0, MessageReceived(address("z"), "z", old))
    assert [type(act.message) for act in actions if isinstance(act, SendToMember)] == [messages.Ping]
    assert bindings.table.find(9000.0, SESSION, b"k") is None
    bindings.handle(9002.0, MessageReceived(address("z"), "z", messages.Pong(1, 9000.0, 9001.0)))
    assert bindings.table.find(9002.0, SESSION, b"k") is None
    assert bindings.table.live_rows == 0


def test_a_stale_replica_revives_nothing_and_a_crossing_update_does() -> None:
    bindings = single_member()
    key = bindings.table.hash(SESSION, b"k")
    bindings.table.record_use(1000.0, SESSION, b"k", "p1", State.OPEN)
    row = bindings.table.rows.find(key)
    values = (bindings.table.rows.generation[row], 0, bindings.table.rows.version[row], "a")
    bindings.table.expire(5500.0, 100)
    assert bindings.table.live_rows == 0
    flags = SESSION | State.OPEN << 2
    assert not bindings.table.apply_replica(5510.0, key, flags, ("p1", "c1", "z1"), *values, 1240.0, 1000.0, 9, False)
    assert bindings.table.live_rows == 0
    assert not bindings.table.apply_replica(5510.0, key, flags, ("p1", "c1", "z1"), *values, 1000.0, 1000.0, 9, True)
    assert bindings.table.apply_replica(5510.0, key, flags, ("p1", "c1", "z1"), *values, 4900.0, 1000.0, 9, True)
    assert bindings.table.live_rows == 1
    bindings.table.remove(5600.0, bindings.table.rows.find(key), "undo")
    assert not bindings.table.apply_replica(5700.0, key, flags, ("p1", "c1", "z1"), *values, 5500.0, 1000.0, 9, False)
    # A binding that was used since where it had not been removed.
    assert bindings.table.apply_replica(6000.0, key, flags, ("p1", "c1", "z1"), *values, 5900.0, 1000.0, 9, False)


def test_a_binding_created_after_a_removal_is_applied_even_with_a_lower_generation() -> None:
    bindings = single_member()
    key, flags, placement = bindings.table.hash(SESSION, b"k"), SESSION | State.OPEN << 2, ("p2", "c1", "z1")
    for now in (1000.0, 6000.0):  # bound and removed twice
        bindings.table.record_use(now, SESSION, b"k", "p1", State.OPEN)
        bindings.table.expire(now + 4500.0, 100)
    assert bindings.table.live_rows == 0
    assert bindings.table.apply_replica(10_600.0, key, flags, placement, 0, 0, 7, "z", 10_550.0, 10_550.0, 9, False)
    found = bindings.table.find(10_601.0, SESSION, b"k")
    assert found is not None and found.endpoint == "p2"


def test_a_replica_that_returns_refreshes_nothing() -> None:
    """A local use comes back as a replica, with a delay of 40 ms each way."""
    first, second = single_member(), single_member(name="z")
    first.table.record_use(1000.0, SESSION, b"k", "p1", State.OPEN)
    (batch,) = next_updates(first, 1000.0)
    receive(second, batch, 1040.0, "a")
    receive(first, messages.Pong(1, 1000.0, 1040.0), 1080.0, "z")
    before = first.table.rows.last_seen_ms[0]
    for now in range(1100, 3000, 100):
        packed = pack_rows(second.table, [second.table.rows.find(second.table.hash(SESSION, b"k"))], float(now))
        peer = first.context.peers.get("z")
        assert peer is not None
        apply_replicas(first.table, now + 40.0, peer, float(now), packed, False)
        assert first.table.rows.last_seen_ms[0] == before


def test_ten_thousand_rows_that_expire_at_once_are_removed_in_steps() -> None:
    bindings = single_member(Tuning(conn=Ages(open=1000)))
    for number in range(10_000):
        bindings.table.record_use(2000.0, Kind.CONN, b"%d" % number, "p1", State.OPEN)
    while bindings.context.update_sender.round_unfinished or bindings.table.to_announce:
        next_updates(bindings, 2000.0)
    now, turns, max_per_turn = 3500.0, 0, 0
    while bindings.table.live_rows:
        before = bindings.table.live_rows
        bindings.handle(now, TimerFired(1))
        max_per_turn, turns, now = max(max_per_turn, before - bindings.table.live_rows), turns + 1, now + 1.0
        assert turns < 100
    assert 0 < max_per_turn <= 500


def test_messages_of_older_and_newer_versions_are_read() -> None:
    batch = make_update(b"k", 1000.0, 1000.0)
    plain = msgspec.msgpack.decode(msgspec.msgpack.encode(batch))
    older, newer = plain[:-2], [*plain, "more"]  # without `undone`, `retained_rows` and the rows' stamps
    older[-1] = [row[:-1] for row in older[-1]]
    for each in (older, newer):
        read: messages.LastSeenUpdate = msgspec.msgpack.decode(
            msgspec.msgpack.encode(each), type=messages.LastSeenUpdate
        )
        other = single_member()
        receive(other, read, 1000.0, "z")
        assert other.table.find(1001.0, SESSION, b"k") is not None


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
def test_invalid_replicas_change_nothing(change: dict[str, Any]) -> None:
    bindings = single_member()
    batch = make_update(b"k", 1000.0, 1000.0)
    bad = msgspec.structs.replace(batch, rows=(msgspec.structs.replace(batch.rows[0], **change),))
    receive(bindings, bad, 1001.0, "z")
    assert bindings.table.live_rows == 0
    assert bindings.counts["unsound copy"] == 1


def test_messages_are_bounded_in_size() -> None:
    bindings = single_member(Tuning())
    for number in range(2000):
        bindings.table.record_use(1050.0, SESSION, b"%d" % number, "p1", State.OPEN)
    for batch in next_updates(bindings, 1100.0):
        assert len(msgspec.msgpack.encode(batch)) < 64 * 1024
    assert len(msgspec.msgpack.encode(messages.Pong(1 << 60, 1e9, 1e9))) < MAX_DATAGRAM_BYTES


def test_unknown_events_and_a_clock_that_runs_backwards() -> None:
    bindings = Bindings("a", 1, KEY)
    with pytest.raises(TypeError):
        bindings.handle(1.0, "x")
    bindings.handle(2.0, Started())
    with pytest.raises(ValueError, match="back"):
        bindings.handle(1.0, TimerFired(1))
    bindings.handle(3.0, MessageReceived(address("z"), "z", MemberChanged("z", "alive", address("z"), 0, 1)))  # type: ignore[arg-type]
    assert bindings.counts["no message of bindings"] == 1


def test_fencing_retains_young_rows_and_removes_expired_ones_at_once() -> None:
    bindings = single_member()
    bindings.handle(1000.0, MemberChanged("z", "alive", address("z"), 0, 1))
    bindings.table.record_use(1000.0, SESSION, b"old", "p1", State.OPEN)
    bindings.table.record_use(4000.0, SESSION, b"young", "p1", State.OPEN)
    bindings.handle(5500.0, TimerFired(1))
    assert bindings.table.find(5500.0, SESSION, b"old") is not None  # z's watermark is before its expiry
    bindings.handle(5500.0, Fenced())
    bindings.handle(5500.0, MemberChanged("a", "alive", address("a"), 0, 2))
    bindings.handle(5600.0, TimerFired(1))
    assert bindings.table.find(5600.0, SESSION, b"old") is None
    assert bindings.table.find(5600.0, SESSION, b"young") is not None
    assert not bindings.table.complete
    assert bindings.table.rows.find(bindings.table.hash(SESSION, b"none")) == NIL


def test_the_expiry_bound_grows_with_members_and_delays() -> None:
    small, large = (expiry_bound_ms(FAST, 4000, 3000, members, 10) for members in (3, 200))
    assert 4000 + 3000 < small < large
    assert interval_factor(32) == 1 and interval_factor(200) == 6.25
