"""Notices between sidecars: drains apply at once, additions only by agreement, runs and directories are kept apart."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from limenotch.fleet.consensus import api as log
from limenotch.fleet.interfaces import MemberChanged, MessageReceived, SendToMember, Started
from limenotch.fleet.rules import endpoint_additions, endpoint_list_messages
from limenotch.fleet.rules.api import VotersChanged
from limenotch.fleet.rules.endpoint_list_messages import (
    AgreedChange,
    AgreedEndpointsChanged,
    DifferenceReport,
    DirectorySilent,
    NoticeRequest,
    PeerDrainsChanged,
    StageNotice,
)
from limenotch.fleet.rules.endpoint_lists import NOTICE_INTERVAL_MS, NOTICE_REPEATS, EndpointLists
from limenotch.lab.fleet.lists_drawings import event_of, listed_endpoint, outcome
from limenotch.lab.fleet.scenario import load

TIMELINES = sorted((Path(__file__).parent / "drawings" / "lists").glob("*.txt"))


@pytest.mark.parametrize("path", TIMELINES, ids=lambda path: path.stem)
def test_timeline_comes_out_as_expected(path: Path) -> None:
    outcome(load(path))


def test_the_page_shows_the_timelines() -> None:
    page = (Path(__file__).parents[2] / "docs" / "fleet" / "lists.md").read_text(encoding="utf-8")
    assert len(TIMELINES) >= 6 and all(path.name in page for path in TIMELINES)


def member(name: str, state: str = "alive", process_epoch: int = 1) -> MemberChanged:
    return MemberChanged(name, state, (name, 1), 1, process_epoch)


def lists_of(*members: str, voters: tuple[str, ...] = ("a", "b", "c")) -> EndpointLists:
    lists = EndpointLists("a", 1, "d1", voters, max_endpoints=3)
    lists.handle(0.0, Started())
    for name in members or ("b",):
        lists.handle(0.0, member(name))
    lists.handle(0.0, event_of("whole 5 u v"))
    return lists


def receive(lists: EndpointLists, message: Any, sender: str = "b", now: float = 0.0) -> list[Any]:
    return [
        action
        for action in lists.handle(now, MessageReceived((sender, 1), sender, message))
        if isinstance(action, (PeerDrainsChanged, AgreedEndpointsChanged, log.Propose))
    ]


def notice(
    index: int,
    *stages: tuple[str, str],
    directory: str = "d1",
    serial: int = 1,
    live: bool = True,
    process_epoch: int = 1,
    complete: bool = False,
) -> StageNotice:
    return StageNotice(process_epoch, directory, index, serial, live, stages, complete)


def requested(text: str, at_ms: float) -> endpoint_list_messages.DirectoryListed:
    event = event_of(text)
    assert isinstance(event, endpoint_list_messages.DirectoryListed)
    return event._replace(requested_at_ms=at_ms)


DRAINING_U = ("u", "draining")


def test_a_drain_is_reported_at_once_and_repeatedly_to_reachable_members() -> None:
    lists = lists_of("b", "c", "e")
    lists.handle(1.0, member("e", "dead"))
    lists.handle(4 * NOTICE_INTERVAL_MS, log.LeaderChanged(None, 1))  # its directory's state is reported by now
    sent = [action for action in lists.handle(5000.0, event_of("change 6 -u")) if isinstance(action, SendToMember)]
    assert {send.member for send in sent} == {"b", "c"}
    assert all(isinstance(send.message, StageNotice) and send.message.stages == (DRAINING_U,) for send in sent)
    repeats = [
        action
        for number in range(1, NOTICE_REPEATS + 3)
        for action in lists.handle(5000.0 + number * NOTICE_INTERVAL_MS, Started())
        if isinstance(action, SendToMember) and isinstance(action.message, StageNotice)
    ]
    assert len(repeats) == 2 * NOTICE_REPEATS


def test_a_widely_reported_drain_is_not_reported_again() -> None:
    lists = lists_of("b", "c", "e")
    for number, sender in enumerate("bce"):
        receive(lists, notice(6, DRAINING_U), sender, float(number))
    assert not [
        action
        for action in lists.handle(5000.0, event_of("change 6 -u"))
        if isinstance(action, SendToMember)
        and isinstance(action.message, StageNotice)
        and DRAINING_U in action.message.stages
    ]


def test_a_drain_applies_until_it_is_taken_back_or_the_own_index_reaches_it() -> None:
    lists = lists_of()
    assert receive(lists, notice(7, DRAINING_U)) == [PeerDrainsChanged({"u": "draining"})]
    assert PeerDrainsChanged({}) not in lists.handle(1.0, event_of("change 6 u"))
    assert PeerDrainsChanged({}) in lists.handle(2.0, event_of("change 7 v"))
    receive(lists, notice(8, DRAINING_U, serial=2), now=3.0)
    assert receive(lists, notice(9, ("u", "ready"), serial=3), now=4.0) == [PeerDrainsChanged({})]
    assert receive(lists, notice(8, DRAINING_U, serial=2), now=5.0) == [], "it has an older serial"


def test_a_drain_by_the_own_directory_needs_no_peer() -> None:
    lists = lists_of()
    lists.handle(1.0, event_of("change 8 -u"))
    assert receive(lists, notice(7, DRAINING_U)) == []
    assert receive(lists, notice(8, ("u", "gone")), now=2.0) == [PeerDrainsChanged({"u": "gone"})]


@pytest.mark.parametrize("end", ["dead", "left", "restarted", "silent"])
def test_without_its_reporter_a_later_list_of_the_own_directory_ends_a_drain(end: str) -> None:
    lists = lists_of()
    receive(lists, notice(1, DRAINING_U, directory="d2"))
    assert PeerDrainsChanged({}) not in lists.handle(1.0, event_of("change 6 u")), "its reporter still claims it"
    if end in ("dead", "left"):
        assert PeerDrainsChanged({}) not in lists.handle(2.0, member("b", end))
    elif end == "restarted":
        lists.handle(2.0, member("b", process_epoch=2))
        assert receive(lists, notice(1, directory="d2", process_epoch=2, complete=True), now=2.0) == [], (
            "it knows nothing of the earlier process"
        )
    else:
        assert receive(lists, notice(1, directory="d2", serial=2, live=False), now=2.0) == []
    assert PeerDrainsChanged({}) not in lists.handle(3.0, event_of("change 7 v"))
    assert PeerDrainsChanged({}) in lists.handle(4.0, event_of("change 8 u"))


def test_indexes_of_an_earlier_run_are_not_compared() -> None:
    lists = lists_of()
    lists.handle(0.5, event_of("change 500 v"))
    receive(lists, notice(501, DRAINING_U), now=1.0)
    lists.handle(2.0, requested("whole 3 u v", 0.9))
    assert lists.runs == 1
    assert PeerDrainsChanged({}) not in lists.handle(3.0, event_of("change 600 u")), "its reporter still claims it"
    assert PeerDrainsChanged({}) not in lists.handle(4.0, event_of("change 2 u")) and lists.index == 600
    lists.handle(5.0, member("b", "dead"))
    assert PeerDrainsChanged({}) in lists.handle(6.0, event_of("change 601 u"))


def test_a_complete_list_requested_later_ends_a_drain_whatever_its_index() -> None:
    """The reporter has died, and its index belongs to a run that this sidecar never saw."""
    lists = lists_of()
    receive(lists, notice(501, DRAINING_U), now=1.0)
    lists.handle(2.0, member("b", "dead"))
    assert PeerDrainsChanged({}) not in lists.handle(3.0, requested("whole 7 u v", 0.5)), "requested before"
    assert PeerDrainsChanged({}) in lists.handle(4.0, requested("whole 7 u v", 3.5))


def test_after_a_change_of_directory_drains_of_the_old_one_are_taken_back() -> None:
    lists = lists_of()
    lists.handle(1.0, event_of("change 6 -u"))
    sent = lists.handle(5000.0, event_of("whole 1 v at d2"))
    assert [
        action.message.stages
        for action in sent
        if isinstance(action, SendToMember) and isinstance(action.message, StageNotice)
    ] == [(("u", "ready"),)]


def test_a_request_gets_a_complete_notice_and_only_a_few_new_members_are_sent_one() -> None:
    lists = EndpointLists("a", 1, "d1")
    pulls = [action for name in "bcdefgh" for action in lists.handle(0.0, member(name))]
    assert [action for action in pulls if isinstance(action, SendToMember)] == [
        SendToMember(name, NoticeRequest()) for name in "bcd"
    ]
    other = lists_of()
    other.handle(1.0, event_of("change 6 -u ~v"))
    (sent,) = [
        action
        for action in other.handle(2.0, MessageReceived(("e", 1), "e", NoticeRequest()))
        if isinstance(action, SendToMember)
    ]
    assert isinstance(sent.message, StageNotice) and sent.message.complete
    assert sent.message.stages == (("u", "draining"), ("v", "gone"))


def test_bad_notices_and_excess_entries_are_counted() -> None:
    lists = lists_of()
    receive(lists, notice(9, *((f"x{number}", "gone") for number in range(5)), ("y", "odd")))
    receive(lists, notice(9, ("z" * 100, "gone"), serial=2))
    receive(lists, notice(9, DRAINING_U), "nobody")
    receive(lists, endpoint_list_messages.DifferenceReport("d1"))
    assert len(lists.drains.claims) == 3
    assert lists.counts == {"too many drains": 2, "bad drain": 1, "bad word": 1, "word of nobody": 1}


def test_retained_entries_are_bounded() -> None:
    lists = EndpointLists("a", 1, "d1", max_endpoints=2000)
    for number in range(30):
        names = " ".join(f"p{number}-{each}" for each in range(100))
        lists.handle(float(number), event_of(f"whole {number} {names}"))
    assert len(lists.stages) <= 1000 + 100 and len(lists._reported_restricted) <= 1100


# Additions, by agreement


def leader() -> EndpointLists:
    lists = lists_of()
    lists.handle(0.0, log.LeaderChanged("a", 1))
    return lists


def test_a_quorum_of_voters_must_have_an_endpoint_from_the_same_directory() -> None:
    lists = leader()
    assert receive(lists, DifferenceReport("d2", (listed_endpoint("u"),))) == []
    assert receive(lists, DifferenceReport("d1", (endpoint_list_messages.ListedEndpoint("u", "x"),))) == [], (
        "at another address"
    )
    assert receive(lists, DifferenceReport("d1", (listed_endpoint("u"),)), "e") == [], "not a voter"
    (proposed,) = receive(lists, DifferenceReport("d1", (listed_endpoint("u"),)))
    assert endpoint_list_messages.decode_change(proposed.data) == AgreedChange("d1", (listed_endpoint("u"),))
    assert receive(lists, DifferenceReport("d1", (listed_endpoint("u"),)), "c") == [], "it is proposed already"


def test_a_new_voter_reports_its_endpoints() -> None:
    lists = lists_of(voters=())
    assert not [action for action in lists.handle(1.0, log.LeaderChanged("b", 1)) if isinstance(action, SendToMember)]
    sent = lists.handle(2.0, VotersChanged(("a", "b", "c")))
    assert SendToMember("b", DifferenceReport("d1", (listed_endpoint("u"), listed_endpoint("v")))) in sent


def test_votes_expire_and_agreed_endpoints_are_not_reported_again() -> None:
    lists = leader()
    lists.handle(0.0, event_of("whole 5 v"))
    receive(lists, DifferenceReport("d1", (listed_endpoint("w"),)))
    assert (
        receive(
            lists, DifferenceReport("d1", (listed_endpoint("w"),)), "c", now=endpoint_additions.VOTE_LIFETIME_MS + 1
        )
        == []
    )
    lists.handle(
        9000.0,
        log.EntryCommitted(
            1, 1, endpoint_list_messages.encode(AgreedChange("d1", (listed_endpoint("u"), listed_endpoint("v")))), ""
        ),
    )
    sent = lists.handle(9001.0, log.LeaderChanged("b", 2))
    (difference,) = [
        action.message
        for action in sent
        if isinstance(action, SendToMember) and isinstance(action.message, DifferenceReport)
    ]
    assert difference == DifferenceReport("d1", (), ("u",)), "the own directory does not list it"


def test_agreed_endpoints_are_used_while_the_directory_is_silent() -> None:
    lists = lists_of()
    entry = endpoint_list_messages.encode(AgreedChange("d1", (listed_endpoint("u"), listed_endpoint("w"))))
    assert AgreedEndpointsChanged((listed_endpoint("w"),)) not in lists.handle(
        1.0, log.EntryCommitted(1, 1, entry, "")
    ), "the own directory answers"
    lists.handle(
        1.0, log.EntryCommitted(2, 1, endpoint_list_messages.encode(AgreedChange("d2", (listed_endpoint("x"),))), "")
    )
    assert AgreedEndpointsChanged((listed_endpoint("w"),)) in lists.handle(2.0, DirectorySilent("d1"))
    gone = endpoint_list_messages.encode(AgreedChange("d1", (), ("w",)))
    assert AgreedEndpointsChanged(()) in lists.handle(3.0, log.EntryCommitted(3, 1, gone, ""))
    other = EndpointLists("z", 1, "d1", ("a",), state=lists.state())
    assert AgreedEndpointsChanged((listed_endpoint("u"),)) in other.handle(0.0, DirectorySilent("d1"))
    lists.handle(4.0, log.EntryCommitted(4, 1, b"\xc1", ""))
    assert lists.counts == {"no entry of lists": 1}
