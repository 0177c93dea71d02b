"""What peers tell of lists: drains at once, arrivals by agreement alone, runs and directories kept apart."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from limenotch.fleet.consensus import api as log
from limenotch.fleet.interfaces import MemberChanged, MessageReceived, SendToMember, Started
from limenotch.fleet.rules import endpoint_additions, endpoint_list_messages
from limenotch.fleet.rules.api import Voters
from limenotch.fleet.rules.endpoint_list_messages import Agree, Arrived, DirectorySilent, Know, PeerDrain, Pull, Word
from limenotch.fleet.rules.endpoint_lists import AGAIN, AGAIN_MS, Lists
from limenotch.lab.fleet.lists_drawings import event_of, named, outcome
from limenotch.lab.fleet.scenario import load

FILES = sorted((Path(__file__).parent / "drawings" / "lists").glob("*.txt"))


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_comes_out(path: Path) -> None:
    outcome(load(path))


def test_the_page_shows_them() -> None:
    page = (Path(__file__).parents[2] / "docs" / "fleet" / "lists.md").read_text(encoding="utf-8")
    assert len(FILES) >= 6 and all(path.name in page for path in FILES)


def member(name: str, state: str = "alive", process_epoch: int = 1) -> MemberChanged:
    return MemberChanged(name, state, (name, 1), 1, process_epoch)


def held(*members: str, voters: tuple[str, ...] = ("a", "b", "c")) -> Lists:
    lists = Lists("a", 1, "d1", voters, most=3)
    lists.handle(0.0, Started())
    for name in members or ("b",):
        lists.handle(0.0, member(name))
    lists.handle(0.0, event_of("whole 5 u v"))
    return lists


def heard(lists: Lists, message: Any, sender: str = "b", now: float = 0.0) -> list[Any]:
    return [
        action
        for action in lists.handle(now, MessageReceived((sender, 1), sender, message))
        if isinstance(action, (PeerDrain, Arrived, log.Propose))
    ]


def word(
    index: int,
    *names: tuple[str, str],
    directory: str = "d1",
    serial: int = 1,
    live: bool = True,
    begun: int = 1,
    whole: bool = False,
) -> Word:
    return Word(begun, directory, index, serial, live, names, whole)


def asked(words: str, at: float) -> endpoint_list_messages.Listed:
    event = event_of(words)
    assert isinstance(event, endpoint_list_messages.Listed)
    return event._replace(asked_ms=at)


U = ("u", "draining")


def test_a_drain_is_told_at_once_and_again_to_who_is_there() -> None:
    lists = held("b", "c", "e")
    lists.handle(1.0, member("e", "dead"))
    lists.handle(4 * AGAIN_MS, log.LeaderChanged(None, 1))  # that its directory answers was told by now
    told = [action for action in lists.handle(5000.0, event_of("change 6 -u")) if isinstance(action, SendToMember)]
    assert {one.member for one in told} == {"b", "c"}
    assert all(isinstance(one.message, Word) and one.message.names == (U,) for one in told)
    more = [
        action
        for number in range(1, AGAIN + 3)
        for action in lists.handle(5000.0 + number * AGAIN_MS, Started())
        if isinstance(action, SendToMember) and isinstance(action.message, Word)
    ]
    assert len(more) == 2 * AGAIN


def test_who_heard_it_from_enough_does_not_tell_it() -> None:
    lists = held("b", "c", "e")
    for number, sender in enumerate("bce"):
        heard(lists, word(6, U), sender, float(number))
    assert not [
        action
        for action in lists.handle(5000.0, event_of("change 6 -u"))
        if isinstance(action, SendToMember) and isinstance(action.message, Word) and U in action.message.names
    ]


def test_it_stands_until_taken_back_or_passed_by_the_own_index() -> None:
    lists = held()
    assert heard(lists, word(7, U)) == [PeerDrain({"u": "draining"})]
    assert PeerDrain({}) not in lists.handle(1.0, event_of("change 6 u"))
    assert PeerDrain({}) in lists.handle(2.0, event_of("change 7 v"))
    heard(lists, word(8, U, serial=2), now=3.0)
    assert heard(lists, word(9, ("u", "ready"), serial=3), now=4.0) == [PeerDrain({})]
    assert heard(lists, word(8, U, serial=2), now=5.0) == [], "late: of an older serial"


def test_who_drains_by_its_own_directory_needs_no_peer() -> None:
    lists = held()
    lists.handle(1.0, event_of("change 8 -u"))
    assert heard(lists, word(7, U)) == []
    assert heard(lists, word(8, ("u", "gone")), now=2.0) == [PeerDrain({"u": "gone"})]


@pytest.mark.parametrize("end", ["dead", "left", "anew", "silent"])
def test_with_no_teller_the_own_directorys_later_word_ends_it(end: str) -> None:
    lists = held()
    heard(lists, word(1, U, directory="d2"))
    assert PeerDrain({}) not in lists.handle(1.0, event_of("change 6 u")), "its teller says so yet"
    if end in ("dead", "left"):
        assert PeerDrain({}) not in lists.handle(2.0, member("b", end))
    elif end == "anew":
        lists.handle(2.0, member("b", process_epoch=2))
        assert heard(lists, word(1, directory="d2", begun=2, whole=True), now=2.0) == [], "it knows nothing of before"
    else:
        assert heard(lists, word(1, directory="d2", serial=2, live=False), now=2.0) == []
    assert PeerDrain({}) not in lists.handle(3.0, event_of("change 7 v"))
    assert PeerDrain({}) in lists.handle(4.0, event_of("change 8 u"))


def test_of_a_run_that_is_over_no_index_is_compared() -> None:
    lists = held()
    lists.handle(0.5, event_of("change 500 v"))
    heard(lists, word(501, U), now=1.0)
    lists.handle(2.0, asked("whole 3 u v", 0.9))
    assert lists.runs == 1
    assert PeerDrain({}) not in lists.handle(3.0, event_of("change 600 u")), "its teller says so yet"
    assert PeerDrain({}) not in lists.handle(4.0, event_of("change 2 u")) and lists.index == 600
    lists.handle(5.0, member("b", "dead"))
    assert PeerDrain({}) in lists.handle(6.0, event_of("change 601 u"))


def test_a_whole_list_asked_for_later_ends_it_whatever_its_index() -> None:
    """Its teller died, and its index was of a run that this sidecar never saw."""
    lists = held()
    heard(lists, word(501, U), now=1.0)
    lists.handle(2.0, member("b", "dead"))
    assert PeerDrain({}) not in lists.handle(3.0, asked("whole 7 u v", 0.5)), "asked before"
    assert PeerDrain({}) in lists.handle(4.0, asked("whole 7 u v", 3.5))


def test_a_directory_that_moves_takes_back_what_the_old_one_drained() -> None:
    lists = held()
    lists.handle(1.0, event_of("change 6 -u"))
    told = lists.handle(5000.0, event_of("whole 1 v at d2"))
    assert [one.message.names for one in told if isinstance(one, SendToMember) and isinstance(one.message, Word)] == [
        (("u", "ready"),)
    ]


def test_who_asks_is_told_all_and_who_is_new_asks_a_few() -> None:
    lists = Lists("a", 1, "d1")
    asked = [action for name in "bcdefgh" for action in lists.handle(0.0, member(name))]
    assert [action for action in asked if isinstance(action, SendToMember)] == [
        SendToMember(name, Pull()) for name in "bcd"
    ]
    other = held()
    other.handle(1.0, event_of("change 6 -u ~v"))
    (told,) = [
        action
        for action in other.handle(2.0, MessageReceived(("e", 1), "e", Pull()))
        if isinstance(action, SendToMember)
    ]
    assert isinstance(told.message, Word) and told.message.whole
    assert told.message.names == (("u", "draining"), ("v", "gone"))


def test_bad_words_and_too_many_are_counted() -> None:
    lists = held()
    heard(lists, word(9, *((f"x{number}", "gone") for number in range(5)), ("y", "odd")))
    heard(lists, word(9, ("z" * 100, "gone"), serial=2))
    heard(lists, word(9, U), "nobody")
    heard(lists, endpoint_list_messages.Know("d1"))
    assert len(lists.drains.claims) == 3
    assert lists.counts == {"too many drains": 2, "bad drain": 1, "bad word": 1, "word of nobody": 1}


def test_what_lists_remember_is_bounded() -> None:
    lists = Lists("a", 1, "d1", most=2000)
    for number in range(30):
        names = " ".join(f"p{number}-{each}" for each in range(100))
        lists.handle(float(number), event_of(f"whole {number} {names}"))
    assert len(lists.own) <= 1000 + 100 and len(lists._said) <= 1100


# New ones, by agreement


def leader() -> Lists:
    lists = held()
    lists.handle(0.0, log.LeaderChanged("a", 1))
    return lists


def test_a_quorum_of_voters_must_hold_it_from_the_same_directory() -> None:
    lists = leader()
    assert heard(lists, Know("d2", (named("u"),))) == []
    assert heard(lists, Know("d1", (endpoint_list_messages.Named("u", "x"),))) == [], "at another address"
    assert heard(lists, Know("d1", (named("u"),)), "e") == [], "no voter"
    (proposed,) = heard(lists, Know("d1", (named("u"),)))
    assert endpoint_list_messages.agree_of(proposed.data) == Agree("d1", (named("u"),))
    assert heard(lists, Know("d1", (named("u"),)), "c") == [], "it is on its way"


def test_who_becomes_a_voter_tells_what_it_has() -> None:
    lists = held(voters=())
    assert not [one for one in lists.handle(1.0, log.LeaderChanged("b", 1)) if isinstance(one, SendToMember)]
    told = lists.handle(2.0, Voters(("a", "b", "c")))
    assert SendToMember("b", Know("d1", (named("u"), named("v")))) in told


def test_votes_are_of_late_and_what_is_agreed_is_not_asked_for_again() -> None:
    lists = leader()
    lists.handle(0.0, event_of("whole 5 v"))
    heard(lists, Know("d1", (named("w"),)))
    assert heard(lists, Know("d1", (named("w"),)), "c", now=endpoint_additions.LATELY_MS + 1) == []
    lists.handle(
        9000.0, log.EntryCommitted(1, 1, endpoint_list_messages.encode(Agree("d1", (named("u"), named("v")))), "")
    )
    told = lists.handle(9001.0, log.LeaderChanged("b", 2))
    (know,) = [one.message for one in told if isinstance(one, SendToMember) and isinstance(one.message, Know)]
    assert know == Know("d1", (), ("u",)), "the own directory has not that one"


def test_agreed_ones_serve_where_the_directory_is_silent() -> None:
    lists = held()
    entry = endpoint_list_messages.encode(Agree("d1", (named("u"), named("w"))))
    assert Arrived((named("w"),)) not in lists.handle(1.0, log.EntryCommitted(1, 1, entry, "")), "the own one answers"
    lists.handle(1.0, log.EntryCommitted(2, 1, endpoint_list_messages.encode(Agree("d2", (named("x"),))), ""))
    assert Arrived((named("w"),)) in lists.handle(2.0, DirectorySilent("d1"))
    gone = endpoint_list_messages.encode(Agree("d1", (), ("w",)))
    assert Arrived(()) in lists.handle(3.0, log.EntryCommitted(3, 1, gone, ""))
    other = Lists("z", 1, "d1", ("a",), state=lists.state())
    assert Arrived((named("u"),)) in other.handle(0.0, DirectorySilent("d1"))
    lists.handle(4.0, log.EntryCommitted(4, 1, b"\xc1", ""))
    assert lists.counts == {"no entry of lists": 1}


# Under faults
