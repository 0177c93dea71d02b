"""Leases on rules: how long a sidecar may use more than the restricted rules, and who grants that.

| who | counts from | for |
| --- | --- | --- |
| holder | when it sent the request | lease_ms |
| granter | when it granted, which is later | lease_ms x (1 + drift) |

So a lease expires at its holder before it expires in the granter's records (../leases.py); a grant is accepted only for
the newest request that it can answer. The granter is the leader of the log, and has confirmed with the log since the
request arrived that it still leads (core.py). A new leader knows no leases: it waits for one lease's time before
`may_activate`.

The slow-start budget is divided: the sum of 1 / divisor over all sidecars that may hold a lease is at most 1.
A record keeps each divisor that its holder may still use; a new sidecar gets 0 until the others have reported that
they use a larger divisor.

Source of leases on monotonic clocks with bounded drift: Gray, Cheriton, "Leases" (1989).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from fractions import Fraction
from math import ceil

from ..leases import NEVER, HeldLease, LeaseGranter
from .messages import LeaseGrant, LeaseRequest
from .tuning import Tuning

MAX_OUTSTANDING_GRANTS = 8  # grants of one holder kept apart; above this, all count as the one with the largest share


class RulesLease(HeldLease):
    """A sidecar's own lease."""

    def __init__(self, tuning: Tuning) -> None:
        super().__init__(tuning.lease_ms)
        self.divisor = 0

    def accept_grant(self, now: float, grant: LeaseGrant) -> bool:
        """Whether the grant is accepted: it is of a request that can still be answered."""
        if not self.accept(now, grant.serial, grant.lease_ms):
            return False
        self.divisor = max(0, grant.divisor)
        return True

    def release(self) -> None:
        super().release()
        self.divisor = 0


@dataclass(slots=True)
class LeaseRecord:
    """What a holder (name and process epoch) may use: a version, and the divisors of its grants."""

    version: int
    expires_at_ms: float = -NEVER
    grants: list[tuple[int, int, float]] = field(default_factory=list)  # serial, divisor, expiry

    def slow_start_share(self, now: float) -> Fraction:
        """The largest share of the slow-start allowance that a valid grant gives."""
        divisors = [divisor for _, divisor, expires_at_ms in self.grants if divisor and expires_at_ms > now]
        return Fraction(1, min(divisors)) if divisors else Fraction(0)


class RulesLeaseGranter(LeaseGranter):
    """The leader's records of leases."""

    def __init__(self, tuning: Tuning) -> None:
        super().__init__(tuning.max_lease_ms)
        self._tuning = tuning
        self.records: dict[tuple[str, int], LeaseRecord] = {}

    def start_leadership(self, now: float) -> None:
        """This sidecar became the leader: it knows no leases yet."""
        self.leader_since_ms = now
        self.records = {}

    def end_leadership(self) -> None:
        self.leader_since_ms = NEVER
        self.records = {}

    def prune(self, now: float) -> None:
        """Remove the records whose leases have expired."""
        for key in [key for key, record in self.records.items() if record.expires_at_ms <= now]:
            del self.records[key]

    def grant(self, now: float, name: str, request: LeaseRequest, version: int) -> LeaseGrant | None:
        """A lease for a sidecar that has applied `version`, the newest.

        None: too many sidecars hold a lease.
        """
        self.prune(now)
        key = (name, request.process_epoch)
        record = self.records.get(key)
        if record is None:
            if len(self.records) >= self._tuning.most_holders:
                return None
            record = self.records[key] = LeaseRecord(version)
            if request.divisor and not self.earlier_leases_expired(now):
                # Granted by an earlier leader: its expiry is not known, but is at most one lease's time away.
                record.grants.append((request.granted_serial, request.divisor, now + self._tuning.max_lease_ms))
        record.grants = [
            granted for granted in record.grants if granted[0] >= request.granted_serial and granted[2] > now
        ]
        record.version = max(record.version, version)
        record.expires_at_ms = max(record.expires_at_ms, now + self._tuning.max_lease_ms)
        divisor = self._divisor(now, key, request)
        record.grants.append((request.serial, divisor, record.expires_at_ms))
        if len(record.grants) > MAX_OUTSTANDING_GRANTS:
            divisors = [divisor for _, divisor, _ in record.grants if divisor]
            record.grants = [(request.serial, min(divisors, default=0), record.expires_at_ms)]
        return LeaseGrant(request.serial, self._tuning.lease_ms, divisor)

    def _divisor(self, now: float, key: tuple[str, int], request: LeaseRequest) -> int:
        if not self.earlier_leases_expired(now):
            return max(request.divisor, len(self.records)) if request.divisor else 0
        available_share = 1 - sum(
            (record.slow_start_share(now) for holder, record in self.records.items() if holder != key), Fraction(0)
        )
        if available_share <= 0:
            return 0
        return max(len(self.records), ceil(1 / available_share))

    def may_activate(self, number: int, now: float) -> bool:
        """Whether every lease that may still be valid belongs to a sidecar that has applied this version."""
        return self.earlier_leases_expired(now) and all(
            record.version >= number or record.expires_at_ms <= now for record in self.records.values()
        )

    def due_at_ms(self, number: int, now: float) -> float:
        """When `may_activate` may become true because leases expire."""
        outdated = [record.expires_at_ms for record in self.records.values() if record.version < number]
        return max([self.leader_since_ms + self._tuning.max_lease_ms, *outdated], default=now)
