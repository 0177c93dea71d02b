"""Joining, gaps, members that can't be heard, and repair by digests: three members in simulated time."""

from __future__ import annotations

import msgspec
import pytest

from limenotch.fleet.affinity import Tuning, messages, pages, repair
from limenotch.fleet.affinity.api import Kind, State
from limenotch.fleet.affinity.last_seen import MOST_COUNT
from limenotch.fleet.affinity.tuning import Ages
from limenotch.fleet.interfaces import MemberChanged, MessageReceived, SendToMember, TimerFired
from limenotch.fleet.wire import MOST_FRAME
from limenotch.lab.fleet import faults
from limenotch.lab.fleet.world import address
from tests.fleet.affinity_worlds import QUICK, Fleet, alone

S = Kind.SESSION
LONG = Tuning(sessions=Ages(opening=1000, open=600_000), join_bytes_per_s=2_000_000)


def notes(fleet: Fleet, *words: str) -> list[tuple[str, str]]:
    return [(seen.node, seen.text) for seen in fleet.world.observed_lines if seen.text.split()[0] in words]


def settled(fleet: Fleet) -> Fleet:
    fleet.run(1000)
    assert all(fleet.table(name).whole for name in fleet.names if fleet.world.alive(name))
    return fleet


def test_all_start_at_once_and_are_whole_after_a_word_of_each() -> None:
    fleet = Fleet("abc")
    fleet.run(600)
    assert all(fleet.table(name).whole for name in "abc")
    assert sorted(notes(fleet, "joins")) == [(name, "joins bindings") for name in "abc"]


def test_a_newcomer_has_the_table_newest_first_within_its_rate() -> None:
    fleet = settled(Fleet("abc", tuning=LONG, started_later="c"))
    many = 10_000
    for number in range(many):
        fleet.see("a", b"%d" % number)
        if number % 500 == 0:
            fleet.run(60)
    fleet.run(500)
    fleet.world.start("c")
    fleet.changed("c", "alive", 1, "a", "b")
    least = 1000 * many * pages.ROW_BYTES / LONG.join_bytes_per_s
    fleet.run(100)
    got: list[bool] = []
    while not fleet.table("c").whole:
        fleet.run(10)
        got = [fleet.find("c", b"%d" % number) is not None for number in (many - 1, 0)]
        assert got[0] or not got[1]
        assert fleet.world.now < 10_000
    assert got == [True, True]
    whole = next(seen.at_ms for seen in fleet.world.observed_lines if seen.node == "c" and seen.text == "whole")
    joins = next(
        seen.at_ms for seen in fleet.world.observed_lines if seen.node == "c" and seen.text == "joins bindings"
    )
    assert least * 0.9 < whole - joins < least * 1.2 + 200
    assert fleet.same()


def test_a_server_that_falls_under_way_is_replaced() -> None:
    fleet = settled(Fleet("abcd", tuning=LONG, started_later="d"))
    for number in range(5000):
        fleet.see("a", b"%d" % number)
    fleet.run(1000)
    fleet.world.start("d")
    fleet.changed("d", "alive", 1, "a", "b", "c")
    while fleet.table("d").live < 1500:
        fleet.run(5)
    for name in "ab":
        fleet.world.kill(name)
    fleet.run(500)
    for name in "ab":
        fleet.changed(name, "dead", 1, "c", "d")
    fleet.run(3500)
    assert fleet.table("d").whole
    assert fleet.table("d").live == 5000


def test_what_a_broken_stream_lost_is_asked_for() -> None:
    """The fall of a batch between two that come: no cover counts till it is there."""
    fleet = settled(Fleet("abc", tuning=LONG))
    lost: list[messages.Sights] = []
    real = fleet.world._send_message

    def carry(node, to, message, carrier):  # type: ignore[no-untyped-def]
        if isinstance(message, messages.Sights) and node.name == "a" and to.name == "b" and not lost:
            lost.append(message)
        else:
            real(node, to, message, carrier)

    fleet.world._send_message = carry  # type: ignore[method-assign]
    fleet.see("a", b"k")
    fleet.run(120)
    assert lost
    assert fleet.who(b"k") == ["p1", None, "p1"]
    b = fleet.of("b").ground.peers.get("a")
    assert b is not None
    fleet.run(300)
    assert b.gap is False
    assert fleet.who(b"k") == ["p1"] * 3


def test_one_that_is_held_alive_and_not_heard_is_heard_through_another() -> None:
    fleet = settled(Fleet("abc"))
    fleet.world.apply_fault(faults.parse("cut a > b"))
    for _ in range(30):
        fleet.see("a", b"k")
        fleet.run(200)
        assert fleet.world.now < 2700 or fleet.find("b", b"k") is not None
    # After its last sight all forget it, though b never hears a: covers come through c too.
    fleet.run(QUICK.sessions.open * 1.04 + 1500)
    assert fleet.who(b"k") == [None] * 3


def test_a_member_without_bindings_blocks_nothing_for_long() -> None:
    """An older program: it is a member, and never says a word of them."""
    fleet = Fleet("abc", started_later="c", mute="c", tuning=msgspec.structs.replace(QUICK, grave_ms=3000.0))
    fleet.run(500)
    assert fleet.table("a").whole is False  # it may know what nobody else does
    fleet.see("a", b"k")
    fleet.run(QUICK.sessions.open + 3500)
    assert fleet.who(b"k") == [None, None]


def test_digests_find_what_differs_and_only_that_goes() -> None:
    fleet = settled(Fleet("abc", tuning=LONG))
    for number in range(3000):
        fleet.see("a", b"%d" % number)
    fleet.run(3000)
    assert fleet.same() and not notes(fleet, "repairs")
    table, before = fleet.table("b"), fleet.world.nodes["b"].traffic.bytes
    for number in range(20):  # as if never heard of
        row = table.rows.find(table.hash(S, b"%d" % number))
        table.bury(fleet.now("b"), row, "over")
        table.wheel.drop(row)
        table.rows.free(row)
    assert not fleet.same()
    fleet.run(6000)
    assert fleet.same()
    assert notes(fleet, "repairs")
    sent = sum(fleet.world.nodes[name].traffic.by_tag.get("bi.copies", [0, 0])[1] for name in "abc")
    assert 0 < sent < 20 * 100 * 3
    assert before >= 0
    again = len(notes(fleet, "repairs"))
    fleet.run(6000)
    assert len(notes(fleet, "repairs")) == again


def test_repair_keeps_to_its_rate() -> None:
    slow = msgspec.structs.replace(LONG, repair_bytes_per_s=20_000)
    fleet = settled(Fleet("ab", tuning=slow))
    for number in range(4000):
        fleet.see("a", b"%d" % number)
    fleet.run(2000)
    fleet.table("b").clear(fleet.now("b"))
    start, begin = fleet.world.now, sum(traffic(fleet, name) for name in "ab")
    fleet.run(5000)
    assert 0 < fleet.table("b").live < 4000
    sent = sum(traffic(fleet, name) for name in "ab") - begin
    # Both may lead an exchange; what was begun is finished.
    assert sent < 2 * 20_000 * (fleet.world.now - start) / 1000 + 40_000
    fleet.run(30_000)
    assert fleet.same()


def traffic(fleet: Fleet, name: str) -> int:
    tags = fleet.world.nodes[name].traffic.by_tag
    return sum(tags.get(f"bi.{tag}", [0, 0])[1] for tag in ("keys", "copies", "want", "digests"))


def test_a_range_with_much_goes_in_parts() -> None:
    part, other = alone(LONG), alone(LONG, "z")
    for number in range(3000):
        part.table.see(1000.0, S, b"%d" % number, "p1", State.OPEN)
        other.table.see(1000.0, S, b"%d" % number, "p1", State.OPEN)
    keys = {key for one in range(256) for part_ in range(4) for key in repair.listed(part.table, one, part_, 4)}
    assert len(keys) == 3000
    answer = repair.keys(part.table, 1, messages.AskKeys(1, 1, 7))
    assert answer is not None and answer.parts == 1
    assert len(answer.packed) == 24 * len(repair.listed(part.table, 7, 0, 1))
    assert repair.keys(part.table, 1, messages.AskKeys(1, 1, 256)) is None
    assert repair.keys(part.table, 1, messages.AskKeys(1, 1, 7, 1)) is None
    most = messages.Keys(1, 1, 1, 1, 1, bytes(2 * messages.MOST_KEYS * messages.KEY_BYTES))
    assert len(msgspec.msgpack.encode(most)) < MOST_FRAME


def test_what_a_new_process_told_under_low_counters_is_asked_for() -> None:
    """It was not heard, and heard nobody: its counters began anew, under what was known of the process before."""
    part = alone()
    part.handle(1000.0, MemberChanged("z", "alive", address("z"), 0, 1))
    old = part.ground.peers.get("z")
    assert old is not None
    old.upto = 500
    part.handle(1100.0, MemberChanged("z", "alive", address("z"), 0, 2))
    part.handle(1100.0, MessageReceived(address("z"), "z", messages.Pong(2, 1100.0, 1100.0)))
    part.handle(1200.0, MessageReceived(address("z"), "z", messages.Cover(2, 10, 12, 2, 1200.0, 1200.0, True)))
    new = part.ground.peers.get("z")
    assert new is not None
    assert new.gap and new.upto == 2
    out = part.handle(1300.0, TimerFired(1))
    asks = [act.message for act in out if isinstance(act, SendToMember) and isinstance(act.message, messages.Ask)]
    assert [ask.floor for ask in asks] == [2]


@pytest.mark.parametrize(
    "message",
    [
        messages.Ask(1, 1, -5, 0, b"x" * 16),
        messages.Ask(1, 1, 0, 0, b"short"),
        messages.AskKeys(1, 1, 999),
        messages.Want(1, 1, b"odd"),
        messages.Page(1, 77, 0.0, (), (), (), True, True),
        messages.Digests(1, 77, b"", True),
        messages.Keys(1, 77, 0, 0, 1, b""),
        messages.Copies(1, 77, 0.0, (), (), ()),
        messages.Cover(1, -1, 0, 0, 0.0, 0.0, True),
        messages.Cover(1, 1, 1 << 63, 0, 0.0, 0.0, True),
        messages.Pong(1, 1e9, 0.0),
        messages.Sights(1, 1, 1, 0, float("nan"), 0.0, True, (), (), ()),
    ],
)
def test_nonsense_is_borne(message: messages.Said) -> None:
    fleet = settled(Fleet("ab"))
    fleet.see("a", b"k")
    fleet.run(100)
    fleet.world.deliver_event("a", MessageReceived(address("b"), "b", message))
    fleet.run(2000)
    assert fleet.who(b"k") == ["p1", "p1"]
    assert fleet.table("a").counter < MOST_COUNT
    fleet.run(4000)
    assert fleet.who(b"k") == [None, None]


def test_pages_that_go_round_in_circles_are_given_up() -> None:
    fleet = settled(Fleet("ab", tuning=LONG, started_later="b"))
    fleet.world.start("b")
    fleet.changed("b", "alive", 1, "a")
    fleet.run(1000)
    peer = fleet.of("b").ground.peers.get("a")
    assert peer is not None
    fetch = pages.Fetch(peer, 5, -1, None, 1e6, 0.0)
    row = messages.Copy(b"k" * 16, 5, 0, 0, 0, 0, 1, 0, 0, 9)
    for now in (1e9, 1e9 + 1000):
        assert fetch.ask(now, 1) is not None
        fetch.heard(fleet.table("b"), now, messages.Page(1, 5, 0.0, (("p1", "", ""),), ("a",), (row,), False, True))
    assert fetch.done and fetch.first is None


def test_who_joins_is_told_by_all_that_speak_to_it() -> None:
    fleet = settled(Fleet("ab"))
    out = fleet.of("a").handle(
        fleet.now("a"), MessageReceived(address("b"), "b", messages.Ask(1, 3, -1, MOST_COUNT, b"\xff" * 16))
    )
    (page,) = [act.message for act in out if isinstance(act, SendToMember)]
    assert isinstance(page, messages.Page) and page.last
    assert {known.name for known in page.knows} == {"a", "b"}
