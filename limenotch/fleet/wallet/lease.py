"""The lease on slices: a holder spends only while it has one, whatever it holds.

A grant of it counts only once its holder has applied the log up to the index that the granter had applied: so whoever
spends knows of each Expire that came before. While an Expire is on its way the holder is given none (granting.py).
"""

from __future__ import annotations

from ..leases import NEVER, HeldLease, LeaseGranter
from .messages import LeaseGrant
from .tuning import Tuning

MAX_PENDING_GRANTS = 8  # grants that wait for the log


class SpendLease(HeldLease):
    def __init__(self, tuning: Tuning) -> None:
        super().__init__(tuning.lease_ms)
        self._pending_grants: list[LeaseGrant] = []

    def add_grant(self, grant: LeaseGrant) -> None:
        self._pending_grants = [*self._pending_grants, grant][-MAX_PENDING_GRANTS:]

    def activate_grants(self, now: float, index: int) -> bool:
        """Whether one of the grants counts from now on, as all up to `index` is applied."""
        ready = [grant for grant in self._pending_grants if grant.index <= index]
        if not ready:
            return False
        self._pending_grants = [grant for grant in self._pending_grants if grant.index > index]
        return any([self.accept(now, grant.serial, grant.lease_ms) for grant in ready])

    def release(self) -> None:
        super().release()
        self._pending_grants.clear()


class SpendLeaseGranter(LeaseGranter):
    """The leader's record: until when which holder (name, life) may spend."""

    def __init__(self, tuning: Tuning) -> None:
        super().__init__(tuning.max_lease_ms)
        self._max_holders = tuning.most_holders
        self.expiries: dict[tuple[str, int], float] = {}

    def begin(self, now: float) -> None:
        self.leader_since_ms = now
        self.expiries = {}

    def end(self) -> None:
        self.leader_since_ms = NEVER
        self.expiries = {}

    def grant(self, now: float, holder: tuple[str, int]) -> bool:
        """Whether it is recorded; too many hold one else."""
        self.prune(now)
        if holder not in self.expiries and len(self.expiries) >= self._max_holders:
            return False
        self.expiries.pop(holder, None)
        self.expiries[holder] = now + self.max_lease_ms  # the latest stands last
        return True

    def prune(self, now: float) -> None:
        # In the order of their ends.
        while self.expiries:
            holder, expires_at_ms = next(iter(self.expiries.items()))
            if expires_at_ms > now:
                break
            del self.expiries[holder]

    def is_certainly_expired(self, now: float, holder: tuple[str, int]) -> bool:
        """Whether that holder surely spends nothing, and will not without asking."""
        return self.earlier_leases_expired(now) and self.expiries.get(holder, -NEVER) <= now

    def process_epochs(self, now: float) -> dict[str, int]:
        """By name, the life of who asked last."""
        return {
            name: process_epoch for (name, process_epoch), expires_at_ms in self.expiries.items() if expires_at_ms > now
        }
