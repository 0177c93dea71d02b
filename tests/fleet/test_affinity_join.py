"""State transfer, gaps, unreachable members and anti-entropy, with three members in simulated time."""

from __future__ import annotations

import msgspec
import pytest

from limenotch.fleet.affinity import Tuning, messages, pages, repair
from limenotch.fleet.affinity.api import Kind, State
from limenotch.fleet.affinity.last_seen import MAX_COUNTER
from limenotch.fleet.affinity.tuning import Ages
from limenotch.fleet.interfaces import MemberChanged, MessageReceived, SendToMember, TimerFired
from limenotch.fleet.wire import MAX_FRAME_BYTES
from limenotch.lab.fleet import faults
from limenotch.lab.fleet.world import address
from tests.fleet.affinity_worlds import FAST, Fleet, single_member

SESSION = Kind.SESSION
LONG = Tuning(sessions=Ages(opening=1000, open=600_000), join_bytes_per_s=2_000_000)


def log_texts(fleet: Fleet, *words: str) -> list[tuple[str, str]]:
    return [(seen.node, seen.text) for seen in fleet.world.observed_lines if seen.text.split()[0] in words]


def complete(fleet: Fleet) -> Fleet:
    fleet.run(1000)
    assert all(fleet.table(name).complete for name in fleet.names if fleet.world.alive(name))
    return fleet


def test_members_that_start_together_are_complete_after_one_message_of_each() -> None:
    fleet = Fleet("abc")
    fleet.run(600)
    assert all(fleet.table(name).complete for name in "abc")
    assert sorted(log_texts(fleet, "joins")) == [(name, "joins bindings") for name in "abc"]


def test_a_joining_member_fetches_the_table_newest_first_within_the_rate() -> None:
    fleet = complete(Fleet("abc", tuning=LONG, started_later="c"))
    count = 10_000
    for number in range(count):
        fleet.record_use("a", b"%d" % number)
        if number % 500 == 0:
            fleet.run(60)
    fleet.run(500)
    fleet.world.start("c")
    fleet.member_changed("c", "alive", 1, "a", "b")
    min_ms = 1000 * count * pages.ROW_BYTES / LONG.join_bytes_per_s
    fleet.run(100)
    found: list[bool] = []
    while not fleet.table("c").complete:
        fleet.run(10)
        found = [fleet.find("c", b"%d" % number) is not None for number in (count - 1, 0)]
        assert found[0] or not found[1]
        assert fleet.world.now < 10_000
    assert found == [True, True]
    complete_at = next(seen.at_ms for seen in fleet.world.observed_lines if seen.node == "c" and seen.text == "whole")
    joins_at = next(
        seen.at_ms for seen in fleet.world.observed_lines if seen.node == "c" and seen.text == "joins bindings"
    )
    assert min_ms * 0.9 < complete_at - joins_at < min_ms * 1.2 + 200
    assert fleet.is_converged()


def test_a_serving_peer_that_dies_during_the_transfer_is_replaced() -> None:
    fleet = complete(Fleet("abcd", tuning=LONG, started_later="d"))
    for number in range(5000):
        fleet.record_use("a", b"%d" % number)
    fleet.run(1000)
    fleet.world.start("d")
    fleet.member_changed("d", "alive", 1, "a", "b", "c")
    while fleet.table("d").live_rows < 1500:
        fleet.run(5)
    for name in "ab":
        fleet.world.kill(name)
    fleet.run(500)
    for name in "ab":
        fleet.member_changed(name, "dead", 1, "c", "d")
    fleet.run(3500)
    assert fleet.table("d").complete
    assert fleet.table("d").live_rows == 5000


def test_an_update_lost_with_its_stream_is_fetched() -> None:
    """A message is lost between two that arrive: the watermark does not advance until it has been fetched."""
    fleet = complete(Fleet("abc", tuning=LONG))
    lost_updates: list[messages.LastSeenUpdate] = []
    real_carry = fleet.world._send_message

    def carry(node, to, message, carrier):  # type: ignore[no-untyped-def]
        if isinstance(message, messages.LastSeenUpdate) and node.name == "a" and to.name == "b" and not lost_updates:
            lost_updates.append(message)
        else:
            real_carry(node, to, message, carrier)

    fleet.world._send_message = carry  # type: ignore[method-assign]
    fleet.record_use("a", b"k")
    fleet.run(120)
    assert lost_updates
    assert fleet.bound_endpoints(b"k") == ["p1", None, "p1"]
    peer = fleet.bindings_of("b").context.peers.get("a")
    assert peer is not None
    fleet.run(300)
    assert peer.has_gap is False
    assert fleet.bound_endpoints(b"k") == ["p1"] * 3


def test_updates_of_an_unreachable_live_peer_come_through_another() -> None:
    fleet = complete(Fleet("abc"))
    fleet.world.apply_fault(faults.parse("cut a > b"))
    for _ in range(30):
        fleet.record_use("a", b"k")
        fleet.run(200)
        assert fleet.world.now < 2700 or fleet.find("b", b"k") is not None
    # After the last use all remove it, though nothing of a arrives at b: a's watermark also comes through c.
    fleet.run(FAST.sessions.open * 1.04 + 1500)
    assert fleet.bound_endpoints(b"k") == [None] * 3


def test_a_member_without_the_component_blocks_removal_only_for_a_while() -> None:
    """As with an older version, which is a member and never sends a message of the component."""
    fleet = Fleet("abc", started_later="c", silent="c", tuning=msgspec.structs.replace(FAST, grave_ms=3000.0))
    fleet.run(500)
    assert fleet.table("a").complete is False  # c may have bindings that no other member knows
    fleet.record_use("a", b"k")
    fleet.run(FAST.sessions.open + 3500)
    assert fleet.bound_endpoints(b"k") == [None, None]


def test_anti_entropy_finds_and_sends_only_what_differs() -> None:
    fleet = complete(Fleet("abc", tuning=LONG))
    for number in range(3000):
        fleet.record_use("a", b"%d" % number)
    fleet.run(3000)
    assert fleet.is_converged() and not log_texts(fleet, "repairs")
    table, before = fleet.table("b"), fleet.world.nodes["b"].traffic.bytes
    for number in range(20):  # as if the updates had never arrived
        row = table.rows.find(table.hash(SESSION, b"%d" % number))
        table.remove(fleet.now("b"), row, "over")
        table.wheel.unlink(row)
        table.rows.free(row)
    assert not fleet.is_converged()
    fleet.run(6000)
    assert fleet.is_converged()
    assert log_texts(fleet, "repairs")
    sent = sum(fleet.world.nodes[name].traffic.by_tag.get("bi.copies", [0, 0])[1] for name in "abc")
    assert 0 < sent < 20 * 100 * 3
    assert before >= 0
    again = len(log_texts(fleet, "repairs"))
    fleet.run(6000)
    assert len(log_texts(fleet, "repairs")) == again


def test_repair_keeps_to_its_rate() -> None:
    slow = msgspec.structs.replace(LONG, repair_bytes_per_s=20_000)
    fleet = complete(Fleet("ab", tuning=slow))
    for number in range(4000):
        fleet.record_use("a", b"%d" % number)
    fleet.run(2000)
    fleet.table("b").clear(fleet.now("b"))
    start, begin = fleet.world.now, sum(traffic(fleet, name) for name in "ab")
    fleet.run(5000)
    assert 0 < fleet.table("b").live_rows < 4000
    sent = sum(traffic(fleet, name) for name in "ab") - begin
    # Both members may lead an exchange, and a started one is finished.
    assert sent < 2 * 20_000 * (fleet.world.now - start) / 1000 + 40_000
    fleet.run(30_000)
    assert fleet.is_converged()


def traffic(fleet: Fleet, name: str) -> int:
    tags = fleet.world.nodes[name].traffic.by_tag
    return sum(tags.get(f"bi.{tag}", [0, 0])[1] for tag in ("keys", "copies", "want", "digests"))


def test_a_large_range_is_split_into_subranges() -> None:
    bindings, other = single_member(LONG), single_member(LONG, "z")
    for number in range(3000):
        bindings.table.record_use(1000.0, SESSION, b"%d" % number, "p1", State.OPEN)
        other.table.record_use(1000.0, SESSION, b"%d" % number, "p1", State.OPEN)
    keys = {
        key
        for range_number in range(256)
        for subrange in range(4)
        for key in repair.row_digests(bindings.table, range_number, subrange, 4)
    }
    assert len(keys) == 3000
    answer = repair.build_keys(bindings.table, 1, messages.RangeKeysRequest(1, 1, 7))
    assert answer is not None and answer.subranges == 1
    assert len(answer.packed) == 24 * len(repair.row_digests(bindings.table, 7, 0, 1))
    assert repair.build_keys(bindings.table, 1, messages.RangeKeysRequest(1, 1, 256)) is None
    assert repair.build_keys(bindings.table, 1, messages.RangeKeysRequest(1, 1, 7, 1)) is None
    largest = messages.RangeKeys(1, 1, 1, 1, 1, bytes(2 * messages.MAX_RANGE_KEYS * messages.KEY_BYTES))
    assert len(msgspec.msgpack.encode(largest)) < MAX_FRAME_BYTES


def test_updates_of_a_new_process_under_low_counters_are_fetched() -> None:
    """The new process had received nothing, so its counter restarted below what is known of the earlier process."""
    bindings = single_member()
    bindings.handle(1000.0, MemberChanged("z", "alive", address("z"), 0, 1))
    old = bindings.context.peers.get("z")
    assert old is not None
    old.known_counter = 500
    bindings.handle(1100.0, MemberChanged("z", "alive", address("z"), 0, 2))
    bindings.handle(1100.0, MessageReceived(address("z"), "z", messages.Pong(2, 1100.0, 1100.0)))
    bindings.handle(1200.0, MessageReceived(address("z"), "z", messages.Watermark(2, 10, 12, 2, 1200.0, 1200.0, True)))
    new = bindings.context.peers.get("z")
    assert new is not None
    assert new.has_gap and new.known_counter == 2
    actions = bindings.handle(1300.0, TimerFired(1))
    requests = [
        act.message
        for act in actions
        if isinstance(act, SendToMember) and isinstance(act.message, messages.PageRequest)
    ]
    assert [request.floor for request in requests] == [2]


@pytest.mark.parametrize(
    "message",
    [
        messages.PageRequest(1, 1, -5, 0, b"x" * 16),
        messages.PageRequest(1, 1, 0, 0, b"short"),
        messages.RangeKeysRequest(1, 1, 999),
        messages.RowsRequest(1, 1, b"odd"),
        messages.Page(1, 77, 0.0, (), (), (), True, True),
        messages.RangeDigests(1, 77, b"", True),
        messages.RangeKeys(1, 77, 0, 0, 1, b""),
        messages.RowReplicas(1, 77, 0.0, (), (), ()),
        messages.Watermark(1, -1, 0, 0, 0.0, 0.0, True),
        messages.Watermark(1, 1, 1 << 63, 0, 0.0, 0.0, True),
        messages.Pong(1, 1e9, 0.0),
        messages.LastSeenUpdate(1, 1, 1, 0, float("nan"), 0.0, True, (), (), ()),
    ],
)
def test_invalid_messages_do_no_harm(message: messages.AffinityMessage) -> None:
    fleet = complete(Fleet("ab"))
    fleet.record_use("a", b"k")
    fleet.run(100)
    fleet.world.deliver_event("a", MessageReceived(address("b"), "b", message))
    fleet.run(2000)
    assert fleet.bound_endpoints(b"k") == ["p1", "p1"]
    assert fleet.table("a").counter < MAX_COUNTER
    fleet.run(4000)
    assert fleet.bound_endpoints(b"k") == [None, None]


def test_a_fetch_whose_pages_do_not_progress_is_given_up() -> None:
    fleet = complete(Fleet("ab", tuning=LONG, started_later="b"))
    fleet.world.start("b")
    fleet.member_changed("b", "alive", 1, "a")
    fleet.run(1000)
    peer = fleet.bindings_of("b").context.peers.get("a")
    assert peer is not None
    fetch = pages.Fetch(peer, 5, -1, None, 1e6, 0.0)
    row = messages.RowReplica(b"k" * 16, 5, 0, 0, 0, 0, 1, 0, 0, 9)
    for now in (1e9, 1e9 + 1000):
        assert fetch.next_request(now, 1) is not None
        fetch.on_page(fleet.table("b"), now, messages.Page(1, 5, 0.0, (("p1", "", ""),), ("a",), (row,), False, True))
    assert fetch.done and fetch.first_page is None


def test_the_first_page_lists_the_known_members() -> None:
    fleet = complete(Fleet("ab"))
    actions = fleet.bindings_of("a").handle(
        fleet.now("a"), MessageReceived(address("b"), "b", messages.PageRequest(1, 3, -1, MAX_COUNTER, b"\xff" * 16))
    )
    (page,) = [act.message for act in actions if isinstance(act, SendToMember)]
    assert isinstance(page, messages.Page) and page.last
    assert {known.name for known in page.known_members} == {"a", "b"}
