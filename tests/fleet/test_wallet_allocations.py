"""What a sidecar may spend locally: only under a lease, below an acknowledged limit, and once."""

from __future__ import annotations

import hypothesis.strategies as some
from hypothesis import given, settings

from limenotch.fleet.wallet import Tuning
from limenotch.fleet.wallet.allocations import LocalAllocation, Spender
from limenotch.fleet.wallet.api import Rejected, Reservation
from limenotch.fleet.wallet.entries import Credit
from limenotch.fleet.wallet.ledger import Ledger

TUNING = Tuning(cost={"call": 1, "dear": 8, "free": 0}, other_cost=2, retry_after_ms=500, record_ms=40)
OWN_ID = ("a", 1)


def create_allocation(serial: int, size: int, limit: int | None = None) -> LocalAllocation:
    allocation = LocalAllocation(serial, size, 0, (OWN_ID,), 0.0)
    allocation.requested_limit = size if limit is None else limit
    allocation.acknowledge(OWN_ID, allocation.requested_limit)
    return allocation


def create_spender(*allocations: LocalAllocation, tuning: Tuning = TUNING, unallocated: int = 0) -> Spender:
    ledger = Ledger()
    allocated = sum(allocation.size for allocation in allocations)
    if unallocated + allocated:
        ledger.apply(1, 1, (Credit("acme", "x", unallocated + allocated),))
        ledger.wallets["acme"].unallocated = unallocated
    spender = Spender(tuning, ledger)
    spender.lease_expires_at_ms = 1000.0
    for allocation in allocations:
        account = spender.add_allocation(0.0, "acme", allocation)
        spender.select_current(account)
    return spender


def expect_reservation(decision: Reservation | Rejected) -> Reservation:
    assert isinstance(decision, Reservation), decision
    return decision


def expect_rejection(decision: Reservation | Rejected) -> Rejected:
    assert isinstance(decision, Rejected), decision
    return decision


def test_reservations_are_charged_or_released() -> None:
    allocation = create_allocation(1, 10)
    spender = create_spender(allocation)
    first = expect_reservation(spender.reserve(1.0, "acme", "dear"))
    assert (first.cost, first.allocations) == (8, ((1, 8),))
    assert expect_rejection(spender.reserve(2.0, "acme", "dear")).retry_after_ms == 500
    spender.release(3.0, first)
    second = expect_reservation(spender.reserve(4.0, "acme", "dear"))
    spender.charge(5.0, second)
    assert (allocation.spent, allocation.reserved, allocation.available, spender.open_reservations) == (8, 0, 2, 0)


def test_cost_follows_the_settings() -> None:
    spender = create_spender(create_allocation(1, 100))
    assert expect_reservation(spender.reserve(1.0, "acme", "free")) == Reservation("acme", 0)
    assert expect_reservation(spender.reserve(1.0, "acme", "unheard")).cost == 2
    assert expect_reservation(spender.reserve(1.0, "acme", "dear", True)) == Reservation("acme", 0), (
        "repeats a charged request"
    )
    spender.charge(1.0, Reservation("acme", 0))
    spender.release(1.0, Reservation("acme", 0))
    assert spender.open_reservations == 1


def test_tenants_without_a_wallet_are_ignored() -> None:
    spender = create_spender(tuning=Tuning(tenants=("acme",)))
    assert expect_reservation(spender.reserve(1.0, "other", "call")) == Reservation("other", 0)
    assert isinstance(spender.reserve(1.0, "acme", "call"), Rejected)
    assert "other" not in spender.accounts


def test_lease_is_checked_for_each_request() -> None:
    spender = create_spender(create_allocation(1, 10))
    in_flight = expect_reservation(spender.reserve(999.9, "acme", "call"))
    assert isinstance(spender.reserve(1000.0, "acme", "call"), Rejected), "a suspended process: no timer has fired yet"
    spender.charge(5000.0, in_flight)
    assert spender.accounts["acme"].allocations[1].spent == 1


def test_no_unit_above_the_acknowledged_limit() -> None:
    allocation = create_allocation(1, 10, limit=3)
    spender = create_spender(allocation)
    for _ in range(3):
        expect_reservation(spender.reserve(1.0, "acme", "call"))
    assert expect_rejection(spender.reserve(1.0, "acme", "call")).allocation_pending, (
        "allocated, but above the acknowledged limit"
    )
    allocation.requested_limit = 5
    assert allocation.acknowledge(OWN_ID, 7)
    assert allocation.open_limit == 5, "no higher than was requested"


def test_limit_needs_a_majority_of_witnesses() -> None:
    allocation = LocalAllocation(1, 10, 0, (("a", 1), ("b", 1), ("c", 1)), 0.0)
    allocation.requested_limit = 4
    assert not allocation.acknowledge(("a", 1), 4)
    assert not allocation.acknowledge(("a", 1), 4)
    assert not allocation.acknowledge(("b", 2), 4), "another process with the name of a witness"
    assert not allocation.acknowledge(("d", 1), 4)
    assert not allocation.acknowledge(("b", 1), 0)
    assert allocation.acknowledge(("c", 1), 4)
    assert (allocation.open_limit, allocation.available) == (4, 4)


def test_request_may_use_several_allocations_or_none() -> None:
    spender = create_spender(create_allocation(1, 3), create_allocation(2, 4), create_allocation(3, 5))
    reservation = expect_reservation(spender.reserve(1.0, "acme", "dear"))
    assert reservation.allocations == ((1, 3), (2, 4), (3, 1))
    assert isinstance(spender.reserve(1.0, "acme", "dear"), Rejected)
    assert spender.accounts["acme"].available == 4
    spender.release(1.0, reservation)
    assert spender.accounts["acme"].available == 12


def test_reduced_units_are_not_reserved_again() -> None:
    allocation = create_allocation(1, 10)
    spender = create_spender(allocation)
    first, second = (
        expect_reservation(spender.reserve(1.0, "acme", "call")),
        expect_reservation(spender.reserve(1.0, "acme", "call")),
    )
    assert allocation.reduce(3) == 3
    assert (allocation.ceiling, allocation.available, allocation.closing) == (5, 3, False)
    assert allocation.reduce(0) == 0
    assert (allocation.ceiling, allocation.available, allocation.closing) == (2, 0, True)
    spender.release(2.0, first)
    assert allocation.available == 0, "it returns to the wallet"
    spender.charge(2.0, second)
    assert (allocation.ceiling, allocation.spent) == (1, 1)
    assert spender.has_changes()


def test_reservation_outlives_its_allocation() -> None:
    spender = create_spender(create_allocation(1, 10))
    reservation = expect_reservation(spender.reserve(1.0, "acme", "call"))
    spender.remove_allocation("acme", 1)
    assert isinstance(spender.reserve(1.0, "acme", "call"), Rejected)
    spender.charge(2.0, reservation)
    assert spender.open_reservations == 0


def test_advance_is_bounded_and_only_without_a_lease() -> None:
    spender = create_spender(create_allocation(1, 1), tuning=Tuning(without_lease="advance", advance=3))
    expect_reservation(spender.reserve(1.0, "acme", "call"))
    assert isinstance(spender.reserve(1.0, "acme", "call"), Rejected), "no advance under a lease"
    spender.lease_expires_at_ms = 0.0
    advanced = [expect_reservation(spender.reserve(1.0, "acme", "call")) for _ in range(3)]
    assert isinstance(spender.reserve(1.0, "acme", "call"), Rejected)
    spender.charge(2.0, advanced[0])
    assert isinstance(spender.reserve(2.0, "acme", "call"), Rejected), "served and not recorded yet"
    spender.release(2.0, advanced[1])
    expect_reservation(spender.reserve(2.0, "acme", "call"))
    assert spender.accounts["acme"].advanced_units == 1
    assert isinstance(spender.reserve(1.0, "nobody", "call"), Rejected), "no advance without a wallet"


def test_open_reservations_and_accounts_are_bounded() -> None:
    spender = create_spender(create_allocation(1, 10), tuning=Tuning(most_reserved=2, most_tenants=1))
    reservation = expect_reservation(spender.reserve(1.0, "acme", "call"))
    expect_reservation(spender.reserve(1.0, "acme", "call"))
    assert isinstance(spender.reserve(1.0, "acme", "call"), Rejected)
    assert isinstance(spender.reserve(1.0, "other", "call"), Rejected)
    assert list(spender.accounts) == ["acme"]
    spender.charge(1.0, reservation)
    expect_reservation(spender.reserve(1.0, "acme", "call"))


def test_a_shortage_is_reported_once() -> None:
    spender = create_spender(create_allocation(1, 10), unallocated=5)
    spender.changed_tenants.clear()
    for _ in range(10):
        expect_reservation(spender.reserve(1.0, "acme", "call"))
    assert expect_rejection(spender.reserve(1.0, "acme", "call")).allocation_pending
    assert spender.has_changes()
    spender.changed_tenants.clear()
    for _ in range(100):
        assert expect_rejection(spender.reserve(1.0, "acme", "call")).allocation_pending
    assert not spender.has_changes()


@settings(max_examples=150, derandomize=True, deadline=None)
@given(some.lists(some.tuples(some.sampled_from("rrrrcgmnk"), some.integers(0, 12)), max_size=80))
def test_random_operations_stay_below_the_limits(steps: list[tuple[str, int]]) -> None:
    """r reserves, c charges, g releases, m raises a limit, n reduces, k ends an allocation."""
    spender = create_spender(create_allocation(1, 10, 0), create_allocation(2, 20, 0))
    account = spender.accounts["acme"]
    allocations, open_reservations, served = dict(account.allocations), [], 0
    for action, number in steps:
        chosen = allocations[1 + number % 2]
        if action == "r":
            decision = spender.reserve(1.0, "acme", "dear" if number > 9 else "call")
            if isinstance(decision, Reservation):
                open_reservations.append(decision)
        elif action in "cg" and open_reservations:
            ended = open_reservations.pop(number % len(open_reservations))
            (spender.charge if action == "c" else spender.release)(1.0, ended)
            served += ended.cost if action == "c" else 0
        elif action == "m":
            chosen.requested_limit = max(chosen.requested_limit, min(chosen.ceiling, chosen.used + number))
            chosen.acknowledge(OWN_ID, chosen.requested_limit)
        elif action == "n":
            chosen.reduce(number)
        elif action == "k" and number == 0:
            spender.remove_allocation("acme", chosen.serial)
        for allocation in account.allocations.values():
            assert 0 <= allocation.spent <= allocation.used <= max(allocation.open_limit, 0)
            assert allocation.used <= allocation.ceiling <= allocation.size
            assert allocation.used + allocation.available <= max(
                allocation.used, min(allocation.open_limit, allocation.ceiling)
            )
        assert spender.open_reservations == len(open_reservations)
    if len(account.allocations) == 2:
        assert served == sum(allocation.spent for allocation in account.allocations.values())
