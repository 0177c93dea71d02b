"""Bugs injected into the wallet, one at a time: the randomized fault run with the given seed must find each."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from limenotch.fleet import leases
from limenotch.fleet.wallet import allocations, entries, lease, ledger, quota_grants, spend_witness
from limenotch.lab.fleet.wallet_run import Run
from limenotch.lab.fleet.wallet_storm import isolated_holder_run, random_fault_run

InjectBug = Callable[[pytest.MonkeyPatch], None]
FaultRun = Callable[[int], Run]


def lease_counted_from_the_response(patch: pytest.MonkeyPatch) -> None:
    """Counted from when the answer is handled, not from when the lease was requested."""
    real = leases.HeldLease.accept

    def take(self: leases.HeldLease, now: float, serial: int, lease_ms: float) -> bool:
        if serial in self._requests:
            self._requests[serial] = now
        return real(self, now, serial, lease_ms)

    patch.setattr(leases.HeldLease, "accept", take)


def lease_not_checked(patch: pytest.MonkeyPatch) -> None:
    """After it was once granted: not checked for each request; the component still requests it in time."""
    real = allocations.Spender.reserve

    def reserve(
        self: allocations.Spender, now: float, tenant: str, request_class: str, already_charged: bool = False
    ) -> Any:
        return real(self, min(now, self.lease_expires_at_ms - 1), tenant, request_class, already_charged)

    patch.setattr(allocations.Spender, "reserve", reserve)


def credit_ids_forgotten(patch: pytest.MonkeyPatch) -> None:
    """All ids but the last are forgotten."""
    real = ledger.Ledger._credit

    def credit(self: ledger.Ledger, entry: entries.Credit) -> ledger.Applied:
        if (
            (wallet := self.wallets.get(entry.tenant)) is not None
            and entry.id in wallet.credit_ids
            and next(reversed(wallet.credit_ids)) != entry.id
        ):
            del wallet.credit_ids[entry.id]
        return real(self, entry)

    patch.setattr(ledger.Ledger, "_credit", credit)


def expired_without_querying_witnesses(patch: pytest.MonkeyPatch) -> None:
    """What its holder had settled counts."""

    def expire_entries(self: spend_witness.WitnessInquiry, term: int, is_lost: Any) -> list[entries.Expire]:
        return [
            entries.Expire(tenant, *self.holder, serial, allocation.spent, term)
            for (tenant, serial), allocation in self.allocations.items()
        ]

    patch.setattr(spend_witness.WitnessInquiry, "expire_entries", expire_entries)


def lowest_limit_counts(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(spend_witness, "max", min, raising=False)


def limit_raised_by_one_witness(patch: pytest.MonkeyPatch) -> None:
    real = allocations.LocalAllocation.acknowledge

    def acknowledge(self: allocations.LocalAllocation, name: Any, limit: int) -> bool:
        self.quorum = 1
        return real(self, name, limit)

    patch.setattr(allocations.LocalAllocation, "acknowledge", acknowledge)


def limits_forgotten_in_an_election(patch: pytest.MonkeyPatch) -> None:
    """By a witness that becomes leader."""
    forget_by_ledger: dict[int, Callable[[], None]] = {}
    real = quota_grants.AllocationGranter.begin

    def begin(self: quota_grants.AllocationGranter, now: float, term: int) -> None:
        real(self, now, term)
        forget_by_ledger[id(self._ledger)]()

    real_init = spend_witness.SpendWitness.__init__

    def init(self: spend_witness.SpendWitness, own_ledger: ledger.Ledger, max_unknown: int) -> None:
        real_init(self, own_ledger, max_unknown)
        forget_by_ledger[id(own_ledger)] = self._limits.clear

    patch.setattr(spend_witness.SpendWitness, "__init__", init)
    patch.setattr(quota_grants.AllocationGranter, "begin", begin)


def recall_ignores_reservations(patch: pytest.MonkeyPatch) -> None:
    def reduce(self: allocations.LocalAllocation, retain: int) -> int:
        retained = min(retain, self.unreserved)
        self.ceiling = self.spent + retained
        self.reduced = True
        self.closing = self.closing or not retained
        self.update_available()
        return retained

    patch.setattr(allocations.LocalAllocation, "reduce", reduce)


def new_leader_expires_at_once(patch: pytest.MonkeyPatch) -> None:
    """The leader knows no leases, and takes that for there being none."""
    real = quota_grants.AllocationGranter.begin

    def begin(self: quota_grants.AllocationGranter, now: float, term: int) -> None:
        real(self, now, term)
        self._next_inquiry_at_ms = now

    patch.setattr(quota_grants.AllocationGranter, "begin", begin)
    patch.setattr(leases.LeaseGranter, "earlier_leases_expired", lambda self, now: now >= self.leader_since_ms)


def lease_record_too_short(patch: pytest.MonkeyPatch) -> None:
    """The grant is in flight, and the granter's record ends too early."""
    real = lease.SpendLeaseGranter.grant

    def grant(self: lease.SpendLeaseGranter, now: float, holder: tuple[str, int]) -> bool:
        recorded = real(self, now, holder)
        if recorded:
            self.expiries[holder] = now + self.max_lease_ms / 4
        return recorded

    patch.setattr(lease.SpendLeaseGranter, "grant", grant)


def closing_allocation_serves_requests(patch: pytest.MonkeyPatch) -> None:
    """Units released from it are reserved again."""

    def update_available(self: allocations.LocalAllocation) -> None:
        self.available = max(0, min(self.open_limit, self.size) - self.spent - self.reserved)

    patch.setattr(allocations.LocalAllocation, "update_available", update_available)


# The run, and the first seed that finds the bug: one more than that many were needed.
BUGS: dict[Any, tuple[FaultRun, int]] = {
    lease_counted_from_the_response: (isolated_holder_run, 24),
    lease_not_checked: (isolated_holder_run, 0),
    new_leader_expires_at_once: (isolated_holder_run, 1),
    lease_record_too_short: (isolated_holder_run, 0),
    credit_ids_forgotten: (random_fault_run, 0),
    expired_without_querying_witnesses: (random_fault_run, 0),
    lowest_limit_counts: (random_fault_run, 0),
    limit_raised_by_one_witness: (random_fault_run, 5),
    limits_forgotten_in_an_election: (random_fault_run, 15),
    recall_ignores_reservations: (random_fault_run, 4),
    closing_allocation_serves_requests: (random_fault_run, 0),
}
