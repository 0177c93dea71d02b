"""The lease on slices: a holder spends only while it has one, whatever it holds.

A grant of it counts only once its holder has applied the log up to the index that the granter had applied: so whoever
spends knows of each Expire that came before. While an Expire is on its way the holder is given none (granting.py).
"""

from __future__ import annotations

from ..leases import NEVER, HeldLease, LeaseGranter
from .messages import Lease
from .tuning import Tuning

MOST_WAITING = 8  # grants that wait for the log


class Holder(HeldLease):
    def __init__(self, tuning: Tuning) -> None:
        super().__init__(tuning.lease_ms)
        self._waiting: list[Lease] = []

    def grant(self, lease: Lease) -> None:
        self._waiting = [*self._waiting, lease][-MOST_WAITING:]

    def look(self, now: float, index: int) -> bool:
        """Whether one of the grants counts from now on, as all up to `index` is applied."""
        ready = [lease for lease in self._waiting if lease.index <= index]
        if not ready:
            return False
        self._waiting = [lease for lease in self._waiting if lease.index > index]
        return any([self.accept(now, lease.serial, lease.lease_ms) for lease in ready])

    def release(self) -> None:
        super().release()
        self._waiting.clear()


class Granter(LeaseGranter):
    """The leader's record: until when which holder (name, life) may spend."""

    def __init__(self, tuning: Tuning) -> None:
        super().__init__(tuning.held_ms)
        self._most = tuning.most_holders
        self.records: dict[tuple[str, int], float] = {}

    def begin(self, now: float) -> None:
        self.leader_since_ms = now
        self.records = {}

    def end(self) -> None:
        self.leader_since_ms = NEVER
        self.records = {}

    def grant(self, now: float, owner: tuple[str, int]) -> bool:
        """Whether it is recorded; too many hold one else."""
        self.prune(now)
        if owner not in self.records and len(self.records) >= self._most:
            return False
        self.records.pop(owner, None)
        self.records[owner] = now + self.max_lease_ms  # the latest stands last
        return True

    def prune(self, now: float) -> None:
        # In the order of their ends.
        while self.records:
            owner, until = next(iter(self.records.items()))
            if until > now:
                break
            del self.records[owner]

    def free(self, now: float, owner: tuple[str, int]) -> bool:
        """Whether that holder surely spends nothing, and will not without asking."""
        return self.earlier_leases_expired(now) and self.records.get(owner, -NEVER) <= now

    def process_epochs(self, now: float) -> dict[str, int]:
        """By name, the life of who asked last."""
        return {name: process_epoch for (name, process_epoch), until in self.records.items() if until > now}
