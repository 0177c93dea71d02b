"""The two sides of every lease in the fleet: the holder's and the granter's.

A holder counts `lease_ms` from its request, a granter `lease_ms` x (1 + drift) from its response, which is later. So a
lease expires at its holder before it expires at its granter, whatever is delayed, lost, duplicated or paused. A new
leader knows nothing of the leases of earlier leaders and waits until the longest of them has expired.

Source: Gray, Cheriton, "Leases" (1989), on monotonic clocks with bounded drift.
"""

from __future__ import annotations

NEVER = float("inf")


class HeldLease:
    """The holder's side. The holder acts only before `expires_at_ms`."""

    def __init__(self, lease_ms: float) -> None:
        self.lease_ms = lease_ms
        self.expires_at_ms = -NEVER
        self.granted_serial = 0  # serial of the current grant
        self.serial = 0
        self._requests: dict[int, float] = {}

    def is_valid(self, now: float) -> bool:
        """Whether the lease has not expired."""
        return now < self.expires_at_ms

    def request(self, now: float) -> int:
        """Records a new request and returns its serial; drops requests whose lease would have expired."""
        self.serial += 1
        self._requests = {serial: at_ms for serial, at_ms in self._requests.items() if now - at_ms < self.lease_ms}
        self._requests[self.serial] = now
        return self.serial

    def accept(self, now: float, serial: int, lease_ms: float) -> bool:
        """Whether a grant takes effect: it answers a newer request than the current grant, and has not expired."""
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
        """End the lease, and ignore grants for all earlier requests."""
        self.expires_at_ms = -NEVER
        self._requests.clear()


class LeaseGranter:
    """The granter's side: since when it leads, and whether leases of earlier leaders may still be valid.

    `max_lease_ms` is by the granter's clock and includes the factor (1 + drift).
    """

    def __init__(self, max_lease_ms: float) -> None:
        self.max_lease_ms = max_lease_ms
        self.leader_since_ms = NEVER  # NEVER: it does not lead

    def earlier_leases_expired(self, now: float) -> bool:
        """Whether every lease that an earlier leader may have granted has expired."""
        return now >= self.leader_since_ms + self.max_lease_ms
