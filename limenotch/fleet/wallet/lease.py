"""The lease on allocations: a holder spends only while its lease is valid, whatever its allocations are.

A lease takes effect only after its holder has applied the log up to the index that the granter had applied, so a holder
that spends knows of every earlier Expire. While an Expire of its allocations is in flight the holder gets no lease
(quota_grants.py).
"""

from __future__ import annotations

from ..leases import NEVER, HeldLease, LeaseGranter
from .messages import LeaseGrant
from .tuning import Tuning

MAX_PENDING_GRANTS = 8  # grants kept until the log has been applied far enough


class SpendLease(HeldLease):
    """The holder's side. Grants wait until the log has been applied far enough."""

    def __init__(self, tuning: Tuning) -> None:
        super().__init__(tuning.lease_ms)
        self._pending_grants: list[LeaseGrant] = []

    def add_grant(self, grant: LeaseGrant) -> None:
        """Keeps a grant until `activate_grants`; the oldest of more than MAX_PENDING_GRANTS is dropped."""
        self._pending_grants = [*self._pending_grants, grant][-MAX_PENDING_GRANTS:]

    def activate_grants(self, now: float, index: int) -> bool:
        """Accepts the pending grants whose `index` has been applied; returns whether one of them extends the lease."""
        ready = [grant for grant in self._pending_grants if grant.index <= index]
        if not ready:
            return False
        self._pending_grants = [grant for grant in self._pending_grants if grant.index > index]
        return any([self.accept(now, grant.serial, grant.lease_ms) for grant in ready])

    def release(self) -> None:
        """Drops the lease and the pending grants."""
        super().release()
        self._pending_grants.clear()


class SpendLeaseGranter(LeaseGranter):
    """The leader's record of the time until which each holder (name, process_epoch) may spend."""

    def __init__(self, tuning: Tuning) -> None:
        super().__init__(tuning.max_lease_ms)
        self._max_holders = tuning.most_holders
        self.expiries: dict[tuple[str, int], float] = {}

    def begin(self, now: float) -> None:
        """This process has become leader."""
        self.leader_since_ms = now
        self.expiries = {}

    def end(self) -> None:
        """This process no longer leads."""
        self.leader_since_ms = NEVER
        self.expiries = {}

    def grant(self, now: float, holder: tuple[str, int]) -> bool:
        """Records a lease; False if as many holders as allowed have one."""
        self.prune(now)
        if holder not in self.expiries and len(self.expiries) >= self._max_holders:
            return False
        self.expiries.pop(holder, None)
        self.expiries[holder] = now + self.max_lease_ms  # the latest expiry stays last
        return True

    def prune(self, now: float) -> None:
        """Removes the leases that have expired."""
        # In the order of expiry.
        while self.expiries:
            holder, expires_at_ms = next(iter(self.expiries.items()))
            if expires_at_ms > now:
                break
            del self.expiries[holder]

    def is_certainly_expired(self, now: float, holder: tuple[str, int]) -> bool:
        """Whether that holder certainly can't spend now, nor later without a new lease."""
        return self.earlier_leases_expired(now) and self.expiries.get(holder, -NEVER) <= now

    def process_epochs(self, now: float) -> dict[str, int]:
        """By name, the process epoch that requested a lease last, of valid leases."""
        return {
            name: process_epoch for (name, process_epoch), expires_at_ms in self.expiries.items() if expires_at_ms > now
        }
