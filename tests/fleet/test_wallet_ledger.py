"""The replicated state of wallets: the effect of each entry, that none counts twice, and that no credit is lost."""

from __future__ import annotations

import hypothesis.strategies as some
import msgspec
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from limenotch.fleet.wallet import entries
from limenotch.fleet.wallet.entries import Advance, Credit, Entry, Expire, Grant, Settle
from limenotch.fleet.wallet.ledger import MAX_ADVANCED_HOLDERS, MAX_CREDIT, Applied, Ledger

WITNESSES = (("a", 1), ("b", 1), ("c", 1))


class LedgerHarness:
    """A ledger that applies entries one after the other."""

    def __init__(self, *first: Entry) -> None:
        self.ledger = Ledger()
        for entry in first:
            self.apply(entry)

    def apply(self, entry: Entry, term: int = 1) -> Applied:
        applied = self.ledger.apply(self.ledger.index + 1, term, (entry,))
        assert all(wallet.is_balanced for wallet in self.ledger.wallets.values())
        return applied[0]

    @property
    def acme(self) -> tuple[int, int, int, int]:
        """Credit, spent, unallocated, allocated."""
        wallet = self.ledger.wallets["acme"]
        return wallet.credit, wallet.spent, wallet.unallocated, wallet.allocated


def grant(serial: int, amount: int, name: str = "a", term: int = 1) -> Grant:
    return Grant("acme", name, 1, serial, amount, WITNESSES, term)


def settle(serial: int, spent: int, close: bool = False, retain: int = 0, name: str = "a") -> Settle:
    return Settle("acme", name, 1, serial, spent, close, retain)


def test_credit_counts_once_and_returns_the_counted_amount() -> None:
    harness = LedgerHarness()
    assert harness.apply(Credit("acme", "x", 100)).outcome == "done"
    repeated = harness.apply(Credit("acme", "x", 70))
    assert (repeated.outcome, repeated.amount) == ("counted", 100)
    assert harness.apply(Credit("acme", "y", 1)).ok
    assert harness.acme == (101, 0, 101, 0)


def test_ids_and_wallets_are_bounded_and_kept() -> None:
    harness = LedgerHarness(Credit("acme", "x", 1, most_ids=2), Credit("acme", "y", 1, most_ids=2))
    assert harness.apply(Credit("acme", "z", 1, most_ids=2)).outcome == "full"
    assert harness.apply(Credit("acme", "x", 1, most_ids=2)).outcome == "counted"
    assert harness.apply(Credit("other", "x", 1, most_tenants=1)).outcome == "full"
    assert harness.acme == (2, 0, 2, 0)


@pytest.mark.parametrize(
    "credit",
    [
        Credit("acme", "y", 0),
        Credit("acme", "y", -5),
        Credit("acme", "", 5),
        Credit("", "y", 5),
        Credit("acme", "y", MAX_CREDIT),
        Credit("acme", "i" * 201, 5),
        Credit("t" * 201, "y", 5),
    ],
)
def test_invalid_credit_changes_nothing(credit: Credit) -> None:
    harness = LedgerHarness(Credit("acme", "x", 10))
    assert harness.apply(credit).outcome == "bad"
    assert harness.acme == (10, 0, 10, 0)
    assert list(harness.ledger.wallets) == ["acme"]


def test_grant_takes_unallocated_credit_once() -> None:
    harness = LedgerHarness(Credit("acme", "x", 10))
    assert harness.apply(grant(1, 7)).amount == 7
    assert not harness.apply(grant(1, 7)).ok, "the same again"
    assert harness.apply(grant(3, 7, "b")).amount == 3
    assert not harness.apply(grant(2, 1)).ok, "a late one"
    assert not harness.apply(grant(4, 5)).ok, "nothing unallocated"
    assert harness.acme == (10, 0, 0, 10)
    assert harness.ledger.allocations_by_holder == {("a", 1): {("acme", 1)}, ("b", 1): {("acme", 3)}}


def test_grants_and_expiries_of_another_term_change_nothing() -> None:
    harness = LedgerHarness(Credit("acme", "x", 10))
    assert not harness.apply(grant(1, 7, term=1), term=2).ok
    assert harness.apply(grant(1, 7, term=2), term=2).ok
    assert not harness.apply(Expire("acme", "a", 1, 1, 0, 2), term=3).ok
    assert harness.acme == (10, 0, 3, 7)


def test_settles_commute() -> None:
    first = LedgerHarness(
        Credit("acme", "x", 10), grant(1, 10), settle(1, 2), settle(1, 4, True, 3), settle(1, 5, True, 2)
    )
    second = LedgerHarness(
        Credit("acme", "x", 10), grant(1, 10), settle(1, 5, True, 2), settle(1, 4, True, 3), settle(1, 2)
    )
    assert first.acme == second.acme == (10, 5, 3, 2)
    for harness in (first, second):
        assert harness.apply(settle(1, 6, True)).ok
        assert not harness.apply(settle(1, 9, True)).ok, "it has ended"
        assert harness.acme == (10, 6, 4, 0)
        assert not harness.ledger.allocations_by_holder


def test_settle_spends_at_most_its_allocation() -> None:
    harness = LedgerHarness(Credit("acme", "x", 10), grant(1, 4), settle(1, 9))
    assert harness.acme == (10, 4, 6, 0)
    assert not harness.ledger.wallets["acme"].allocations, "used up: it ends without `close`"
    assert not harness.apply(settle(1, 1, name="b")).ok


def test_expiry_counts_the_limit_or_what_was_settled() -> None:
    harness = LedgerHarness(Credit("acme", "x", 30), grant(1, 10), grant(2, 10), grant(3, 10), settle(1, 6))
    assert harness.apply(Expire("acme", "a", 1, 1, 4, 1)).amount == 4
    assert harness.apply(Expire("acme", "a", 1, 2, 7, 1)).amount == 3
    expired = harness.apply(Expire("acme", "a", 1, 3, 10, 1, False))
    assert (expired.amount, harness.acme) == (10, (30, 23, 7, 0))
    assert not harness.apply(Expire("acme", "a", 1, 3, 0, 1)).ok


def test_advance_counts_once_and_may_overdraw() -> None:
    harness = LedgerHarness(Credit("acme", "x", 3))
    assert harness.apply(Advance("acme", "a", 1, 1, 5)).ok
    assert not harness.apply(Advance("acme", "a", 1, 1, 5)).ok
    assert harness.apply(Advance("acme", "a", 2, 1, 1)).ok
    assert harness.acme == (3, 6, -3, 0)
    assert not harness.apply(grant(1, 1)).ok
    harness.apply(Credit("acme", "y", 5))
    assert harness.apply(grant(1, 9)).amount == 2
    assert not harness.apply(Advance("other", "a", 1, 2, 5)).ok, "the tenant has no wallet"


def test_advance_serials_are_bounded() -> None:
    harness = LedgerHarness(Credit("acme", "x", 3))
    for process_epoch in range(MAX_ADVANCED_HOLDERS + 20):
        harness.apply(Advance("acme", f"n{process_epoch % 7}", process_epoch, 1, 1))
    assert sum(map(len, harness.ledger.wallets["acme"].advance_serials.values())) == MAX_ADVANCED_HOLDERS


def test_index_counts_once_and_state_is_restored() -> None:
    harness = LedgerHarness(Credit("acme", "x", 50), grant(1, 10), settle(1, 3), Advance("acme", "b", 1, 1, 2))
    restored = Ledger()
    restored.install(harness.ledger.state())
    assert restored.state() == harness.ledger.state()
    assert restored.allocations_by_holder == harness.ledger.allocations_by_holder
    assert restored.apply(2, 1, (grant(2, 10),)) == []
    assert restored.apply(5, 1, (grant(2, 10),))[0].ok
    assert restored.last_advance_serial("acme", ("b", 1)) == 1
    with pytest.raises(msgspec.DecodeError):
        restored.install(b"none")


def test_entries_round_trip_and_others_are_ignored() -> None:
    encoded = (
        Credit("acme", "x", 1),
        grant(1, 2),
        settle(1, 2, True, 1),
        Expire("acme", "a", 1, 1, 3, 4, False),
        Advance("acme", "a", 1, 1, 1),
    )
    assert entries.decode(entries.encode(encoded)) == encoded
    assert entries.decode(b"\xc1") is None
    assert entries.decode(msgspec.msgpack.encode([["odd", 1]])) is None


class LedgerModel(RuleBasedStateMachine):
    """Valid and invalid entries of all kinds, repeated and reordered, against plain sums of those that counted."""

    @initialize()
    def begin(self) -> None:
        self.ledger, self.index = Ledger(), 0
        self.credits: dict[str, dict[str, int]] = {"x": {}, "y": {}}
        self.advanced = {"x": 0, "y": 0}
        self.spent: dict[tuple[str, int], int] = {}  # the highest one settled, by tenant and serial
        self.earlier: list[tuple[Entry, int]] = []

    def apply(self, entry: Entry, term: int = 1) -> Applied:
        self.index += 1
        self.earlier.append((entry, term))
        before = {tenant: (wallet.spent, wallet.credit) for tenant, wallet in self.ledger.wallets.items()}
        applied = self.ledger.apply(self.index, term, (entry,))[0]
        for tenant, (spent, credit) in before.items():
            assert self.ledger.wallets[tenant].spent >= spent
            assert self.ledger.wallets[tenant].credit >= credit
        return applied

    @rule(tenant=some.sampled_from("xy"), credit_id=some.sampled_from("123"), amount=some.integers(0, 40))
    def credit(self, tenant: str, credit_id: str, amount: int) -> None:
        applied = self.apply(Credit(tenant, credit_id, amount))
        assert applied.ok == (amount > 0 and credit_id not in self.credits[tenant])
        if applied.ok:
            self.credits[tenant][credit_id] = amount

    @rule(
        tenant=some.sampled_from("xy"),
        name=some.sampled_from("ab"),
        serial=some.integers(0, 12),
        amount=some.integers(0, 30),
        term=some.integers(1, 2),
    )
    def grant(self, tenant: str, name: str, serial: int, amount: int, term: int) -> None:
        self.apply(Grant(tenant, name, 1, serial, amount, WITNESSES, 1), term)

    @rule(
        tenant=some.sampled_from("xy"),
        name=some.sampled_from("ab"),
        serial=some.integers(0, 12),
        spent=some.integers(0, 30),
        close=some.booleans(),
        retain=some.integers(0, 5),
    )
    def settle(self, tenant: str, name: str, serial: int, spent: int, close: bool, retain: int) -> None:
        self.apply(Settle(tenant, name, 1, serial, spent, close, retain))

    @rule(
        tenant=some.sampled_from("xy"),
        name=some.sampled_from("ab"),
        serial=some.integers(0, 12),
        spend_limit=some.integers(0, 30),
        term=some.integers(1, 2),
    )
    def expire(self, tenant: str, name: str, serial: int, spend_limit: int, term: int) -> None:
        allocation = self.ledger.slice(tenant, name, 1, serial)
        applied = self.apply(Expire(tenant, name, 1, serial, spend_limit, 1), term)
        assert applied.ok == (allocation is not None and term == 1)
        if applied.ok:
            assert self.ledger.slice(tenant, name, 1, serial) is None

    @rule(tenant=some.sampled_from("xy"), serial=some.integers(0, 5), amount=some.integers(0, 5))
    def advance(self, tenant: str, serial: int, amount: int) -> None:
        applied = self.apply(Advance(tenant, "a", 1, serial, amount))
        self.advanced[tenant] += amount if applied.ok else 0

    @rule(index=some.integers(0, 1000))
    def repeat(self, index: int) -> None:
        """An earlier entry again: credits count once."""
        if self.earlier:
            entry, term = self.earlier[index % len(self.earlier)]
            credit = self.ledger.wallets.get(entry.tenant)
            before = credit.credit if credit is not None else 0
            applied = self.apply(entry, term)
            if isinstance(entry, Advance):
                self.advanced[entry.tenant] += entry.amount if applied.ok else 0
            elif isinstance(entry, Credit) and entry.amount:
                assert not applied.ok
            else:
                wallet = self.ledger.wallets.get(entry.tenant)
                assert (wallet.credit if wallet is not None else 0) == before

    @rule()
    def snapshot(self) -> None:
        ledger = Ledger()
        ledger.install(self.ledger.state())
        assert ledger.allocations_by_holder == self.ledger.allocations_by_holder
        self.ledger = ledger

    @invariant()
    def nothing_is_lost(self) -> None:
        for tenant, wallet in self.ledger.wallets.items():
            assert wallet.credit == sum(self.credits[tenant].values())
            allocated = sum(allocation.ceiling - allocation.spent for allocation in wallet.allocations.values())
            assert wallet.credit == wallet.spent + wallet.unallocated + allocated
            assert wallet.unallocated >= -self.advanced[tenant]
            assert all(0 <= allocation.spent < allocation.ceiling for allocation in wallet.allocations.values())


TestLedgerModel = LedgerModel.TestCase
TestLedgerModel.settings = settings(max_examples=60, stateful_step_count=40, derandomize=True, deadline=None)
