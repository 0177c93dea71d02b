"""Faults planted into the wallet by hand, one at a time: each must be found, in the storm of its seed."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from limenotch.fleet import leases
from limenotch.fleet.wallet import allocations, entries, lease, ledger, quota_grants, spend_witness
from limenotch.lab.fleet.wallet_run import Run
from limenotch.lab.fleet.wallet_storm import aside, storm

Plant = Callable[[pytest.MonkeyPatch], None]
Storm = Callable[[int], Run]


def lease_kept_over_a_pause(patch: pytest.MonkeyPatch) -> None:
    """Counted from when the answer is handled, not from when it was asked for."""
    real = leases.HeldLease.accept

    def take(self: leases.HeldLease, now: float, serial: int, lease_ms: float) -> bool:
        if serial in self._requests:
            self._requests[serial] = now
        return real(self, now, serial, lease_ms)

    patch.setattr(leases.HeldLease, "accept", take)


def lease_not_looked_at(patch: pytest.MonkeyPatch) -> None:
    """Once it was had; for each call, that is: the part still asks in time."""
    real = allocations.Purse.reserve

    def reserve(self: allocations.Purse, now: float, tenant: str, kind: str, paid: bool = False) -> Any:
        return real(self, min(now, self.until - 1), tenant, kind, paid)

    patch.setattr(allocations.Purse, "reserve", reserve)


def credit_counted_twice_after_a_lost_answer(patch: pytest.MonkeyPatch) -> None:
    """The ids are forgotten, all but the last."""
    real = ledger.Book._credit

    def credit(self: ledger.Book, entry: entries.Credit) -> ledger.Applied:
        if (
            (wallet := self.wallets.get(entry.tenant)) is not None
            and entry.id in wallet.ids
            and next(reversed(wallet.ids)) != entry.id
        ):
            del wallet.ids[entry.id]
        return real(self, entry)

    patch.setattr(ledger.Book, "_credit", credit)


def expired_without_the_witnesses(patch: pytest.MonkeyPatch) -> None:
    """What its holder had settled counts."""

    def ends(self: spend_witness.Gone, term: int, lost: Any) -> list[entries.Expire]:
        return [
            entries.Expire(tenant, *self.owner, serial, one.spent, term)
            for (tenant, serial), one in self.slices.items()
        ]

    patch.setattr(spend_witness.Gone, "ends", ends)


def lowest_mark_told(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(spend_witness, "max", min, raising=False)


def mark_opened_by_one_witness(patch: pytest.MonkeyPatch) -> None:
    real = allocations.Held.acked

    def acked(self: allocations.Held, name: Any, mark: int) -> bool:
        self.quorum = 1
        return real(self, name, mark)

    patch.setattr(allocations.Held, "acked", acked)


def marks_forgotten_in_an_election(patch: pytest.MonkeyPatch) -> None:
    """By a witness that begins to lead."""
    forgets: dict[int, Callable[[], None]] = {}
    real = quota_grants.Granting.begin

    def begin(self: quota_grants.Granting, now: float, term: int) -> None:
        real(self, now, term)
        forgets[id(self._book)]()

    made = spend_witness.Memory.__init__

    def init(self: spend_witness.Memory, of: ledger.Book, most_early: int) -> None:
        made(self, of, most_early)
        forgets[id(of)] = self._marks.clear

    patch.setattr(spend_witness.Memory, "__init__", init)
    patch.setattr(quota_grants.Granting, "begin", begin)


def recall_that_forgets_what_is_reserved(patch: pytest.MonkeyPatch) -> None:
    def narrow(self: allocations.Held, keep: int) -> int:
        kept = min(keep, self.free)
        self.top = self.spent + kept
        self.narrowed = True
        self.closing = self.closing or not kept
        self.fit()
        return kept

    patch.setattr(allocations.Held, "narrow", narrow)


def new_leader_expires_at_once(patch: pytest.MonkeyPatch) -> None:
    """It knows no leases, and takes that for there being none."""
    real = quota_grants.Granting.begin

    def begin(self: quota_grants.Granting, now: float, term: int) -> None:
        real(self, now, term)
        self._gone_at = now

    patch.setattr(quota_grants.Granting, "begin", begin)
    patch.setattr(leases.LeaseGranter, "earlier_leases_expired", lambda self, now: now >= self.leader_since_ms)


def expired_during_a_lease(patch: pytest.MonkeyPatch) -> None:
    """Its answer is on its way, and the record is of when it was asked for."""
    real = lease.Granter.grant

    def grant(self: lease.Granter, now: float, owner: tuple[str, int]) -> bool:
        found = real(self, now, owner)
        if found:
            self.records[owner] = now + self.max_lease_ms / 4
        return found

    patch.setattr(lease.Granter, "grant", grant)


def closing_slice_takes_calls(patch: pytest.MonkeyPatch) -> None:
    """What is given back of it is reserved again."""

    def fit(self: allocations.Held) -> None:
        self.room = max(0, min(self.open, self.size) - self.spent - self.reserved)

    patch.setattr(allocations.Held, "fit", fit)


# The storm, and the first of its seeds that finds it: one more than that many were needed.
BUGS: dict[Any, tuple[Storm, int]] = {
    lease_kept_over_a_pause: (aside, 24),
    lease_not_looked_at: (aside, 0),
    new_leader_expires_at_once: (aside, 1),
    expired_during_a_lease: (aside, 0),
    credit_counted_twice_after_a_lost_answer: (storm, 0),
    expired_without_the_witnesses: (storm, 0),
    lowest_mark_told: (storm, 0),
    mark_opened_by_one_witness: (storm, 5),
    marks_forgotten_in_an_election: (storm, 15),
    recall_that_forgets_what_is_reserved: (storm, 4),
    closing_slice_takes_calls: (storm, 0),
}
