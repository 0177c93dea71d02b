"""What every lease in the fleet keeps to, whatever it is on.

A holder counts `lease_ms` from when it *asked*, a granter `lease_ms` x (1 + drift) from when it *answered*, which is
later: so a lease is over at its holder before it is over at its granter, whatever is late, lost, doubled or paused.
Whoever has just become leader knows no leases of those before it and waits one out.

Source: Gray, Cheriton, "Leases" (1989), on monotonic clocks with bounded drift.
"""

from __future__ import annotations

NEVER = float("inf")


class HeldLease:
    """The holder's side. `expires_at_ms` is the one number that each act is held against."""

    def __init__(self, lease_ms: float) -> None:
        self.lease_ms = lease_ms
        self.expires_at_ms = -NEVER
        self.granted_serial = 0  # serial of the grant acted under
        self.serial = 0
        self._requests: dict[int, float] = {}

    def is_valid(self, now: float) -> bool:
        """Whether the lease has not run out."""
        return now < self.expires_at_ms

    def request(self, now: float) -> int:
        """The serial of a new ask; those whose lease would be over are forgotten."""
        self.serial += 1
        self._requests = {serial: at_ms for serial, at_ms in self._requests.items() if now - at_ms < self.lease_ms}
        self._requests[self.serial] = now
        return self.serial

    def accept(self, now: float, serial: int, lease_ms: float) -> bool:
        """Whether it counts: it answers an ask that is newer than the one acted on, and is not over yet."""
        requested_at_ms = self._requests.get(serial)
        if requested_at_ms is None or serial <= self.granted_serial:
            return False
        expires_at_ms = requested_at_ms + min(lease_ms, self.lease_ms)
        if expires_at_ms <= now:
            return False
        self._requests = {earlier: at_ms for earlier, at_ms in self._requests.items() if earlier > serial}
        self.expires_at_ms, self.granted_serial = expires_at_ms, serial
        return True

    def release(self) -> None:
        """All that is held, and all that was asked for, is void."""
        self.expires_at_ms = -NEVER
        self._requests.clear()


class LeaseGranter:
    """The granter's side: since when it leads, and whether leases of others before it may still be held."""

    def __init__(self, max_lease_ms: float) -> None:
        self.max_lease_ms = max_lease_ms
        self.leader_since_ms = NEVER  # never: it is no leader

    def earlier_leases_expired(self, now: float) -> bool:
        """Whether every lease that an earlier leader may have granted has run out by now."""
        return now >= self.leader_since_ms + self.max_lease_ms
