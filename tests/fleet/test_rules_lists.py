"""What peers tell of lists: drains at once, arrivals never, runs and directories kept apart."""

from __future__ import annotations

from typing import Any

from limenotch.fleet.contract import Heard, MemberChanged, Tell
from limenotch.fleet.rules.lists import DirectorySilent, Drained, Listed, Lists, PeerDrain


def heard(lists: Lists, index: int, run: int = 0, directory: str = "d1", stage: str = "draining") -> list[Any]:
    return lists.handle(0.0, Heard(("b", 1), "b", Drained(directory, run, index, (("u", stage),))))


def held(index: int = 5) -> Lists:
    lists = Lists("a", "d1", most=3)
    lists.handle(0.0, MemberChanged("b", "alive", ("b", 1), 1, 1))
    lists.handle(0.0, Listed({"u": "ready", "v": "ready"}, index, True))
    return lists


def test_a_drain_is_told_and_acts_also_while_the_directory_is_silent() -> None:
    lists = held()
    told = lists.handle(0.0, Listed({"u": "draining"}, 6, False))
    assert told == [Tell("b", Drained("d1", 0, 6, (("u", "draining"),)))]
    other = held()
    other.handle(0.0, DirectorySilent())
    assert heard(other, 6) == [PeerDrain({"u": "draining"})]
    assert other.handle(0.0, Listed({"u": "ready"}, 7, False)) == [PeerDrain({})]


def test_what_ones_own_list_has_passed_is_no_news() -> None:
    lists = held()
    assert heard(lists, 4) == []


def test_a_restarted_directory_counts_anew() -> None:
    lists = held(500)
    assert heard(lists, 2, run=1) == [PeerDrain({"u": "draining"})], "of another run: its index tells nothing"
    assert lists.handle(0.0, Listed({"u": "ready"}, 501, False)) == []
    assert PeerDrain({}) in lists.handle(0.0, Listed({"u": "ready", "v": "ready"}, 3, True))


def test_a_drain_from_a_directory_that_disagrees_stands() -> None:
    lists = held()
    assert heard(lists, 1, directory="d2", stage="gone") == [PeerDrain({"u": "gone"})]
    assert lists.handle(0.0, Listed({"u": "ready"}, 9, True))[-1] != PeerDrain({})


def test_bad_drains_and_too_many_are_counted() -> None:
    lists = held()
    names = tuple((f"x{number}", "gone") for number in range(5))
    lists.handle(0.0, Heard(("b", 1), "b", Drained("d1", 0, 9, (*names, ("y", "ready")))))
    assert len(lists.drained) == 3
    assert lists.counts == {"too many drains": 2, "bad drain": 1}
