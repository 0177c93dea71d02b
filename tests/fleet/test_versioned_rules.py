"""Versions: who wins, going back, what is in force, what is kept."""

from __future__ import annotations

from typing import Any

from limenotch.fleet.rules import document as doc
from limenotch.fleet.rules.entries import Activate, EndTry, Out, Put, Try
from limenotch.fleet.rules.versioned_rules import Applied, Book
from limenotch.lab.fleet.rules_run import FIRST


def put(book: Book, change: dict[str, Any], base: int | None = None, ident: str = "x") -> Applied:
    whole = doc.merge(book.document(book.newest), change)
    return book.apply(Put(ident, book.newest if base is None else base, doc.encode(whole)))


def attempts(number: int) -> dict[str, Any]:
    return {"settings": {"permissions": {"max_attempts": number}}}


def acting(book: Book, name: str = "a") -> int:
    return int(book.written(book.acting(name), True)["settings"]["permissions"]["max_attempts"])


def test_one_of_two_wins_and_the_other_hears_its_number() -> None:
    book = Book(FIRST)
    assert put(book, attempts(2), 1) == Applied("x", True, "", 2)
    lost = put(book, attempts(5), 1, "y")
    assert not lost.ok
    assert "version 2 won" in lost.text


def test_narrows_when_heard_widens_when_active() -> None:
    book = Book(FIRST)
    put(book, attempts(5))
    assert acting(book) == 3
    put(book, attempts(2))
    put(book, attempts(4))
    assert acting(book) == 2
    book.apply(Activate(3))
    assert acting(book) == 2
    book.apply(Activate(4))
    assert acting(book) == 4
    assert book.diff(3, 4) == [("settings.permissions.max_attempts", "widens")]


def test_no_class_would_be_left_between_is_refused_by_key() -> None:
    book = Book(FIRST)
    entry = {"effect": "idempotent", "target_ms": 1, "hard_limit_ms": 2}
    refused = put(book, {"settings": {"classes": {"read": None, "pay": None, "new": entry}}})
    assert "settings.classes" in refused.text


def test_a_return_ends_bans_told_before_it_alone() -> None:
    book = Book(FIRST)
    book.tell_ban("u", 1, 10)
    book.tell_ban("v", 2, 10)
    put(book, {"bans": {"u": {"out": False}, "v": {"out": False}}})
    assert book.acting("a")["bans", "u"][0]
    book.apply(Activate(2))
    assert not book.acting("a")["bans", "u"][0]
    assert book.acting("a")["bans", "v"][0]
    put(book, attempts(2))
    book.apply(Activate(3))
    assert book.acting("a")["bans", "v"][0], "a later version of something else returns nothing"


def test_many_bans_while_nothing_can_be_active_take_one_place() -> None:
    book = Book(FIRST, most_versions=4)
    for number in range(50):
        assert book.apply(Out(f"b{number}", f"u{number}")).ok
    assert book.waiting == 1
    assert sum(ban["out"] for ban in book.written(book.acting("a"), True)["bans"].values()) == 50


def test_waiting_and_old_versions_are_bounded() -> None:
    book = Book(FIRST, most_versions=4)
    for _ in range(4):
        assert put(book, attempts(2)).ok
    assert "wait" in put(book, attempts(2)).text
    for _ in range(20):
        book.apply(Activate(book.newest))
        assert put(book, attempts(3)).ok
    assert len(book.versions) <= 10


def test_the_state_comes_back() -> None:
    book = Book(FIRST)
    put(book, attempts(5))
    book.apply(Try("t", 2, doc.encode(doc.merge(book.document(2), attempts(1))), ("a",)))
    again = Book(FIRST)
    again.install(book.state())
    assert (again.newest, again.active, again.trial) == (2, 1, book.trial)
    assert again.acting("a") == book.acting("a")


def test_a_canary_acts_where_named_and_is_kept_or_dropped() -> None:
    book = Book(FIRST)
    tried = doc.encode(doc.merge(FIRST, {**attempts(2)}))
    assert book.apply(Try("t", 1, tried, ("a",))).ok
    assert (acting(book, "a"), acting(book, "b")) == (2, 3)
    assert not book.apply(Try("s", 1, tried, ("b",))).ok
    book.apply(EndTry("t", False))
    assert acting(book, "a") == 3
    book.apply(Try("t2", 1, tried, ("a",)))
    book.apply(EndTry("t2", True))
    assert (book.newest, acting(book, "b")) == (2, 2)


def test_without_a_lease_nothing_runs_twice() -> None:
    document = Book(FIRST).written(Book(FIRST).narrow(), False)
    assert {entry["effect"] for entry in document["settings"]["classes"]} == {"at_most_once"}
    assert document["settings"]["permissions"] == {"max_attempts": 3, "parallel_tries": False}
    assert document["cold_sends"] is False
