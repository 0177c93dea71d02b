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
        self._asked: dict[int, float] = {}

    def is_valid(self, now: float) -> bool:
        """Whether the lease has not run out."""
        return now < self.expires_at_ms

    def request(self, now: float) -> int:
        """The serial of a new ask; those whose lease would be over are forgotten."""
        self.serial += 1
        self._asked = {serial: at for serial, at in self._asked.items() if now - at < self.lease_ms}
        self._asked[self.serial] = now
        return self.serial

    def accept(self, now: float, serial: int, lease_ms: float) -> bool:
        """Whether it counts: it answers an ask that is newer than the one acted on, and is not over yet."""
        asked = self._asked.get(serial)
        if asked is None or serial <= self.granted_serial:
            return False
        until = asked + min(lease_ms, self.lease_ms)
        if until <= now:
            return False
        self._asked = {other: at for other, at in self._asked.items() if other > serial}
        self.expires_at_ms, self.granted_serial = until, serial
        return True

    def release(self) -> None:
        """All that is held, and all that was asked for, is void."""
        self.expires_at_ms = -NEVER
        self._asked.clear()


class LeaseGranter:
    """The granter's side: since when it leads, and whether leases of others before it may still be held."""

    def __init__(self, max_lease_ms: float) -> None:
        self.max_lease_ms = max_lease_ms
        self.leader_since_ms = NEVER  # never: it is no leader

    def earlier_leases_expired(self, now: float) -> bool:
        """Whether every lease that an earlier leader may have granted has run out by now."""
        return now >= self.leader_since_ms + self.max_lease_ms
