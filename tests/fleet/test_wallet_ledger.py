"""The agreed state of wallets: what each entry does, that none does it twice, and that nothing is ever lost."""

from __future__ import annotations

import hypothesis.strategies as some
import msgspec
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from limenotch.fleet.wallet import entries
from limenotch.fleet.wallet.entries import Advance, Credit, Entry, Expire, Grant, Settle
from limenotch.fleet.wallet.ledger import MOST_ADVANCED, MOST_CREDIT, Applied, Book

WITNESSES = (("a", 1), ("b", 1), ("c", 1))


class Told:
    """A book that is told entries one after the other."""

    def __init__(self, *first: Entry) -> None:
        self.book = Book()
        for entry in first:
            self.one(entry)

    def one(self, entry: Entry, term: int = 1) -> Applied:
        applied = self.book.apply(self.book.index + 1, term, (entry,))
        assert all(wallet.sound for wallet in self.book.wallets.values())
        return applied[0]

    @property
    def acme(self) -> tuple[int, int, int, int]:
        """Credit, spent, left, held."""
        wallet = self.book.wallets["acme"]
        return wallet.credit, wallet.spent, wallet.left, wallet.held


def grant(serial: int, amount: int, name: str = "a", term: int = 1) -> Grant:
    return Grant("acme", name, 1, serial, amount, WITNESSES, term)


def settle(serial: int, spent: int, close: bool = False, keep: int = 0, name: str = "a") -> Settle:
    return Settle("acme", name, 1, serial, spent, close, keep)


def test_a_credit_counts_once_and_says_what_counted() -> None:
    told = Told()
    assert told.one(Credit("acme", "x", 100)).word == "done"
    again = told.one(Credit("acme", "x", 70))
    assert (again.word, again.amount) == ("counted", 100)
    assert told.one(Credit("acme", "y", 1)).ok
    assert told.acme == (101, 0, 101, 0)


def test_ids_and_wallets_are_never_forgotten_but_refused() -> None:
    told = Told(Credit("acme", "x", 1, most_ids=2), Credit("acme", "y", 1, most_ids=2))
    assert told.one(Credit("acme", "z", 1, most_ids=2)).word == "full"
    assert told.one(Credit("acme", "x", 1, most_ids=2)).word == "counted"
    assert told.one(Credit("other", "x", 1, most_tenants=1)).word == "full"
    assert told.acme == (2, 0, 2, 0)


@pytest.mark.parametrize(
    "credit",
    [
        Credit("acme", "y", 0),
        Credit("acme", "y", -5),
        Credit("acme", "", 5),
        Credit("", "y", 5),
        Credit("acme", "y", MOST_CREDIT),
        Credit("acme", "i" * 201, 5),
        Credit("t" * 201, "y", 5),
    ],
)
def test_what_can_be_no_credit_is_none(credit: Credit) -> None:
    told = Told(Credit("acme", "x", 10))
    assert told.one(credit).word == "bad"
    assert told.acme == (10, 0, 10, 0)
    assert list(told.book.wallets) == ["acme"]


def test_a_grant_takes_what_is_left_and_never_twice() -> None:
    told = Told(Credit("acme", "x", 10))
    assert told.one(grant(1, 7)).amount == 7
    assert not told.one(grant(1, 7)).ok, "the same again"
    assert told.one(grant(3, 7, "b")).amount == 3
    assert not told.one(grant(2, 1)).ok, "one that comes late"
    assert not told.one(grant(4, 5)).ok, "nothing left"
    assert told.acme == (10, 0, 0, 10)
    assert told.book.owners == {("a", 1): {("acme", 1)}, ("b", 1): {("acme", 3)}}


def test_grants_and_expiries_of_another_epoch_change_nothing() -> None:
    told = Told(Credit("acme", "x", 10))
    assert not told.one(grant(1, 7, term=1), term=2).ok
    assert told.one(grant(1, 7, term=2), term=2).ok
    assert not told.one(Expire("acme", "a", 1, 1, 0, 2), term=3).ok
    assert told.acme == (10, 0, 3, 7)


def test_settles_in_any_order_come_to_the_same() -> None:
    one = Told(Credit("acme", "x", 10), grant(1, 10), settle(1, 2), settle(1, 4, True, 3), settle(1, 5, True, 2))
    two = Told(Credit("acme", "x", 10), grant(1, 10), settle(1, 5, True, 2), settle(1, 4, True, 3), settle(1, 2))
    assert one.acme == two.acme == (10, 5, 3, 2)
    for told in (one, two):
        assert told.one(settle(1, 6, True)).ok
        assert not told.one(settle(1, 9, True)).ok, "it has ended"
        assert told.acme == (10, 6, 4, 0)
        assert not told.book.owners


def test_a_settle_can_spend_no_more_than_its_slice() -> None:
    told = Told(Credit("acme", "x", 10), grant(1, 4), settle(1, 9))
    assert told.acme == (10, 4, 6, 0)
    assert not told.book.wallets["acme"].slices, "used up: it ends without a closing word"
    assert not told.one(settle(1, 1, name="b")).ok


def test_an_expiry_counts_the_mark_but_never_less_than_was_settled() -> None:
    told = Told(Credit("acme", "x", 30), grant(1, 10), grant(2, 10), grant(3, 10), settle(1, 6))
    assert told.one(Expire("acme", "a", 1, 1, 4, 1)).amount == 4
    assert told.one(Expire("acme", "a", 1, 2, 7, 1)).amount == 3
    lost = told.one(Expire("acme", "a", 1, 3, 10, 1, False))
    assert (lost.amount, told.acme) == (10, (30, 23, 7, 0))
    assert not told.one(Expire("acme", "a", 1, 3, 0, 1)).ok


def test_an_advance_counts_once_and_may_leave_less_than_nothing() -> None:
    told = Told(Credit("acme", "x", 3))
    assert told.one(Advance("acme", "a", 1, 1, 5)).ok
    assert not told.one(Advance("acme", "a", 1, 1, 5)).ok
    assert told.one(Advance("acme", "a", 2, 1, 1)).ok
    assert told.acme == (3, 6, -3, 0)
    assert not told.one(grant(1, 1)).ok
    told.one(Credit("acme", "y", 5))
    assert told.one(grant(1, 9)).amount == 2
    assert not told.one(Advance("other", "a", 1, 2, 5)).ok, "of no wallet"


def test_holders_whose_advances_are_told_apart_are_bounded() -> None:
    told = Told(Credit("acme", "x", 3))
    for process_epoch in range(MOST_ADVANCED + 20):
        told.one(Advance("acme", f"n{process_epoch % 7}", process_epoch, 1, 1))
    assert sum(map(len, told.book.wallets["acme"].advanced.values())) == MOST_ADVANCED


def test_an_index_counts_once_and_the_state_comes_back() -> None:
    told = Told(Credit("acme", "x", 50), grant(1, 10), settle(1, 3), Advance("acme", "b", 1, 1, 2))
    again = Book()
    again.install(told.book.state())
    assert again.state() == told.book.state()
    assert again.owners == told.book.owners
    assert again.apply(2, 1, (grant(2, 10),)) == []
    assert again.apply(5, 1, (grant(2, 10),))[0].ok
    assert again.told("acme", ("b", 1)) == 1
    with pytest.raises(msgspec.DecodeError):
        again.install(b"none")


def test_entries_go_through_the_log_and_what_is_none_is_left() -> None:
    told = (
        Credit("acme", "x", 1),
        grant(1, 2),
        settle(1, 2, True, 1),
        Expire("acme", "a", 1, 1, 3, 4, False),
        Advance("acme", "a", 1, 1, 1),
    )
    assert entries.decode(entries.encode(told)) == told
    assert entries.decode(b"\xc1") is None
    assert entries.decode(msgspec.msgpack.encode([["odd", 1]])) is None


class Model(RuleBasedStateMachine):
    """Entries of all kinds, right and wrong, again and out of order, against plain sums of what counted."""

    @initialize()
    def begin(self) -> None:
        self.book, self.index = Book(), 0
        self.credits: dict[str, dict[str, int]] = {"x": {}, "y": {}}
        self.lent = {"x": 0, "y": 0}
        self.spent: dict[tuple[str, int], int] = {}  # the highest word of it, by tenant and serial
        self.old: list[tuple[Entry, int]] = []

    def tell(self, entry: Entry, term: int = 1) -> Applied:
        self.index += 1
        self.old.append((entry, term))
        before = {tenant: (wallet.spent, wallet.credit) for tenant, wallet in self.book.wallets.items()}
        applied = self.book.apply(self.index, term, (entry,))[0]
        for tenant, (spent, credit) in before.items():
            assert self.book.wallets[tenant].spent >= spent
            assert self.book.wallets[tenant].credit >= credit
        return applied

    @rule(tenant=some.sampled_from("xy"), ident=some.sampled_from("123"), amount=some.integers(0, 40))
    def credit(self, tenant: str, ident: str, amount: int) -> None:
        applied = self.tell(Credit(tenant, ident, amount))
        assert applied.ok == (amount > 0 and ident not in self.credits[tenant])
        if applied.ok:
            self.credits[tenant][ident] = amount

    @rule(
        tenant=some.sampled_from("xy"),
        name=some.sampled_from("ab"),
        serial=some.integers(0, 12),
        amount=some.integers(0, 30),
        term=some.integers(1, 2),
    )
    def grant(self, tenant: str, name: str, serial: int, amount: int, term: int) -> None:
        self.tell(Grant(tenant, name, 1, serial, amount, WITNESSES, 1), term)

    @rule(
        tenant=some.sampled_from("xy"),
        name=some.sampled_from("ab"),
        serial=some.integers(0, 12),
        spent=some.integers(0, 30),
        close=some.booleans(),
        keep=some.integers(0, 5),
    )
    def settle(self, tenant: str, name: str, serial: int, spent: int, close: bool, keep: int) -> None:
        self.tell(Settle(tenant, name, 1, serial, spent, close, keep))

    @rule(
        tenant=some.sampled_from("xy"),
        name=some.sampled_from("ab"),
        serial=some.integers(0, 12),
        mark=some.integers(0, 30),
        term=some.integers(1, 2),
    )
    def expire(self, tenant: str, name: str, serial: int, mark: int, term: int) -> None:
        held = self.book.slice(tenant, name, 1, serial)
        applied = self.tell(Expire(tenant, name, 1, serial, mark, 1), term)
        assert applied.ok == (held is not None and term == 1)
        if applied.ok:
            assert self.book.slice(tenant, name, 1, serial) is None

    @rule(tenant=some.sampled_from("xy"), serial=some.integers(0, 5), amount=some.integers(0, 5))
    def advance(self, tenant: str, serial: int, amount: int) -> None:
        applied = self.tell(Advance(tenant, "a", 1, serial, amount))
        self.lent[tenant] += amount if applied.ok else 0

    @rule(which=some.integers(0, 1000))
    def again(self, which: int) -> None:
        """Any entry from before: what counts of it has counted, but for a credit's none."""
        if self.old:
            entry, term = self.old[which % len(self.old)]
            credit = self.book.wallets.get(entry.tenant)
            before = credit.credit if credit is not None else 0
            applied = self.tell(entry, term)
            if isinstance(entry, Advance):
                self.lent[entry.tenant] += entry.amount if applied.ok else 0
            elif isinstance(entry, Credit) and entry.amount:
                assert not applied.ok
            else:
                wallet = self.book.wallets.get(entry.tenant)
                assert (wallet.credit if wallet is not None else 0) == before

    @rule()
    def snapshot(self) -> None:
        book = Book()
        book.install(self.book.state())
        assert book.owners == self.book.owners
        self.book = book

    @invariant()
    def nothing_is_lost(self) -> None:
        for tenant, wallet in self.book.wallets.items():
            assert wallet.credit == sum(self.credits[tenant].values())
            held = sum(one.top - one.spent for one in wallet.slices.values())
            assert wallet.credit == wallet.spent + wallet.left + held
            assert wallet.left >= -self.lent[tenant]
            assert all(0 <= one.spent < one.top for one in wallet.slices.values())


TestModel = Model.TestCase
TestModel.settings = settings(max_examples=60, stateful_step_count=40, derandomize=True, deadline=None)
