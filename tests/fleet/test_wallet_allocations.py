"""What a sidecar may spend by itself: under a lease, below an open mark, once."""

from __future__ import annotations

import hypothesis.strategies as some
from hypothesis import given, settings

from limenotch.fleet.wallet import Tuning
from limenotch.fleet.wallet.allocations import Held, Purse
from limenotch.fleet.wallet.api import Reservation, Turned
from limenotch.fleet.wallet.entries import Credit
from limenotch.fleet.wallet.ledger import Book

TUNING = Tuning(cost={"call": 1, "dear": 8, "free": 0}, other_cost=2, retry_after_ms=500, record_ms=40)
OWN = ("a", 1)


def opened(serial: int, size: int, mark: int | None = None) -> Held:
    one = Held(serial, size, 0, (OWN,), 0.0)
    one.asked = size if mark is None else mark
    one.acked(OWN, one.asked)
    return one


def purse(*slices: Held, tuning: Tuning = TUNING, left: int = 0) -> Purse:
    book = Book()
    held = sum(one.size for one in slices)
    if left + held:
        book.apply(1, 1, (Credit("acme", "x", left + held),))
        book.wallets["acme"].left = left
    made = Purse(tuning, book)
    made.until = 1000.0
    for one in slices:
        account = made.got(0.0, "acme", one)
        made.point(account)
    return made


def taken(got: Reservation | Turned) -> Reservation:
    assert isinstance(got, Reservation), got
    return got


def turned(got: Reservation | Turned) -> Turned:
    assert isinstance(got, Turned), got
    return got


def test_reserved_then_charged_or_given_back() -> None:
    one = opened(1, 10)
    bag = purse(one)
    first = taken(bag.reserve(1.0, "acme", "dear"))
    assert (first.cost, first.slices) == (8, ((1, 8),))
    assert turned(bag.reserve(2.0, "acme", "dear")).retry_after_ms == 500
    bag.give_back(3.0, first)
    second = taken(bag.reserve(4.0, "acme", "dear"))
    bag.charge(5.0, second)
    assert (one.spent, one.reserved, one.room, bag.open) == (8, 0, 2, 0)


def test_classes_cost_what_the_settings_say() -> None:
    bag = purse(opened(1, 100))
    assert taken(bag.reserve(1.0, "acme", "free")) == Reservation("acme", 0)
    assert taken(bag.reserve(1.0, "acme", "unheard")).cost == 2
    assert taken(bag.reserve(1.0, "acme", "dear", True)) == Reservation("acme", 0), "a repeat of one that was charged"
    bag.charge(1.0, Reservation("acme", 0))
    bag.give_back(1.0, Reservation("acme", 0))
    assert bag.open == 1


def test_tenants_that_are_not_named_are_not_looked_at() -> None:
    bag = purse(tuning=Tuning(tenants=("acme",)))
    assert taken(bag.reserve(1.0, "other", "call")) == Reservation("other", 0)
    assert isinstance(bag.reserve(1.0, "acme", "call"), Turned)
    assert "other" not in bag.accounts


def test_the_lease_is_looked_at_for_each_call() -> None:
    bag = purse(opened(1, 10))
    under_way = taken(bag.reserve(999.9, "acme", "call"))
    assert isinstance(bag.reserve(1000.0, "acme", "call"), Turned), "a process that slept: no timer has told it"
    bag.charge(5000.0, under_way)
    assert bag.accounts["acme"].slices[1].spent == 1


def test_no_unit_above_an_open_mark() -> None:
    one = opened(1, 10, mark=3)
    bag = purse(one)
    for _ in range(3):
        taken(bag.reserve(1.0, "acme", "call"))
    assert turned(bag.reserve(1.0, "acme", "call")).coming, "it is there, but no witness knows of it"
    one.asked = 5
    assert one.acked(OWN, 7)
    assert one.open == 5, "no further than was asked for"


def test_a_mark_is_open_when_most_hold_it() -> None:
    one = Held(1, 10, 0, (("a", 1), ("b", 1), ("c", 1)), 0.0)
    one.asked = 4
    assert not one.acked(("a", 1), 4)
    assert not one.acked(("a", 1), 4)
    assert not one.acked(("b", 2), 4), "another life of a witness is none"
    assert not one.acked(("d", 1), 4)
    assert not one.acked(("b", 1), 0)
    assert one.acked(("c", 1), 4)
    assert (one.open, one.room) == (4, 4)


def test_a_call_may_be_of_several_slices_and_takes_all_or_nothing() -> None:
    bag = purse(opened(1, 3), opened(2, 4), opened(3, 5))
    whole = taken(bag.reserve(1.0, "acme", "dear"))
    assert whole.slices == ((1, 3), (2, 4), (3, 1))
    assert isinstance(bag.reserve(1.0, "acme", "dear"), Turned)
    assert bag.accounts["acme"].room == 4
    bag.give_back(1.0, whole)
    assert bag.accounts["acme"].room == 12


def test_what_a_slice_gave_up_is_not_taken_again() -> None:
    one = opened(1, 10)
    bag = purse(one)
    first, second = taken(bag.reserve(1.0, "acme", "call")), taken(bag.reserve(1.0, "acme", "call"))
    assert one.narrow(3) == 3
    assert (one.top, one.room, one.closing) == (5, 3, False)
    assert one.narrow(0) == 0
    assert (one.top, one.room, one.closing) == (2, 0, True)
    bag.give_back(2.0, first)
    assert one.room == 0, "it goes back to the wallet"
    bag.charge(2.0, second)
    assert (one.top, one.spent) == (1, 1)
    assert bag.wants()


def test_a_reservation_outlives_its_slice() -> None:
    bag = purse(opened(1, 10))
    kept = taken(bag.reserve(1.0, "acme", "call"))
    bag.ended("acme", 1)
    assert isinstance(bag.reserve(1.0, "acme", "call"), Turned)
    bag.charge(2.0, kept)
    assert bag.open == 0


def test_advance_is_bounded_and_only_without_a_lease() -> None:
    bag = purse(opened(1, 1), tuning=Tuning(without_lease="advance", advance=3))
    taken(bag.reserve(1.0, "acme", "call"))
    assert isinstance(bag.reserve(1.0, "acme", "call"), Turned), "under a lease nothing is lent"
    bag.until = 0.0
    lent = [taken(bag.reserve(1.0, "acme", "call")) for _ in range(3)]
    assert isinstance(bag.reserve(1.0, "acme", "call"), Turned)
    bag.charge(2.0, lent[0])
    assert isinstance(bag.reserve(2.0, "acme", "call"), Turned), "served and not told yet"
    bag.give_back(2.0, lent[1])
    taken(bag.reserve(2.0, "acme", "call"))
    assert bag.accounts["acme"].lent == 1
    assert isinstance(bag.reserve(1.0, "nobody", "call"), Turned), "a tenant without a wallet is lent nothing"


def test_open_calls_and_tenants_are_bounded() -> None:
    bag = purse(opened(1, 10), tuning=Tuning(most_reserved=2, most_tenants=1))
    one = taken(bag.reserve(1.0, "acme", "call"))
    taken(bag.reserve(1.0, "acme", "call"))
    assert isinstance(bag.reserve(1.0, "acme", "call"), Turned)
    assert isinstance(bag.reserve(1.0, "other", "call"), Turned)
    assert list(bag.accounts) == ["acme"]
    bag.charge(1.0, one)
    taken(bag.reserve(1.0, "acme", "call"))


def test_says_what_it_wants_once() -> None:
    bag = purse(opened(1, 10), left=5)
    bag.touched.clear()
    for _ in range(10):
        taken(bag.reserve(1.0, "acme", "call"))
    assert turned(bag.reserve(1.0, "acme", "call")).coming
    assert bag.wants()
    bag.touched.clear()
    for _ in range(100):
        assert turned(bag.reserve(1.0, "acme", "call")).coming
    assert not bag.wants()


@settings(max_examples=150, derandomize=True, deadline=None)
@given(some.lists(some.tuples(some.sampled_from("rrrrcgmnk"), some.integers(0, 12)), max_size=80))
def test_whatever_comes_it_stays_below_the_marks(steps: list[tuple[str, int]]) -> None:
    """r reserves, c charges, g gives back, m opens a mark, n narrows, k ends a slice."""
    bag = purse(opened(1, 10, 0), opened(2, 20, 0))
    account = bag.accounts["acme"]
    slices, kept, served = dict(account.slices), [], 0
    for what, number in steps:
        one = slices[1 + number % 2]
        if what == "r":
            got = bag.reserve(1.0, "acme", "dear" if number > 9 else "call")
            if isinstance(got, Reservation):
                kept.append(got)
        elif what in "cg" and kept:
            ended = kept.pop(number % len(kept))
            (bag.charge if what == "c" else bag.give_back)(1.0, ended)
            served += ended.cost if what == "c" else 0
        elif what == "m":
            one.asked = max(one.asked, min(one.top, one.used + number))
            one.acked(OWN, one.asked)
        elif what == "n":
            one.narrow(number)
        elif what == "k" and number == 0:
            bag.ended("acme", one.serial)
        for held in account.slices.values():
            assert 0 <= held.spent <= held.used <= max(held.open, 0)
            assert held.used <= held.top <= held.size
            assert held.used + held.room <= max(held.used, min(held.open, held.top))
        assert bag.open == len(kept)
    if len(account.slices) == 2:
        assert served == sum(held.spent for held in account.slices.values())
