"""What a witness records of other holders' allocations, and how a leader queries it about a lost holder.

A holder spends only up to a limit that most witnesses of the allocation have recorded. The leader waits for answers of
a majority; two majorities of one set intersect, so the highest limit answered covers all that may have been spent. A
witness forgets a limit only when its own ledger shows that the allocation has ended, or when its process ends.

| an allocation of a lost holder, one that can no longer spend | result |
| --- | --- |
| most of its witnesses have answered | Expire with the highest limit answered |
| too few are left for a majority | Expire with the whole allocation |
| else | the leader queries again |
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .entries import Expire
from .ledger import MAX_NAME_LENGTH, Allocation, Ledger, ProcessId

MAX_QUERIED_ALLOCATIONS = 128  # allocations of one holder in one query

AllocationKey = tuple[str, str, int, int]  # tenant, name, process epoch, serial


class SpendWitness:
    """The spend limits that this process has recorded as a witness.

    `max_unknown`: how many limits of allocations that are not yet in this process's ledger are kept.
    """

    def __init__(self, ledger: Ledger, max_unknown: int) -> None:
        self._ledger, self._max_unknown = ledger, max_unknown
        self._limits: dict[AllocationKey, int] = {}
        self._unknown: set[AllocationKey] = set()

    def __len__(self) -> int:
        return len(self._limits)

    def record_limit(self, tenant: str, holder: ProcessId, serial: int, limit: int) -> bool:
        """Records a limit; returns whether it is recorded now.

        Rejected: limits of an allocation that has ended, and of too many allocations that are not yet known.
        """
        key = (tenant, *holder, serial)
        if len(tenant) > MAX_NAME_LENGTH or limit < 0:
            return False
        if key not in self._limits and self._ledger.slice(*key) is None:
            wallet = self._ledger.wallets.get(tenant)
            if (wallet is not None and serial <= wallet.serial) or len(self._unknown) >= self._max_unknown:
                return False
            self._unknown.add(key)
        self._limits[key] = max(limit, self._limits.get(key, 0))
        return True

    def limit(self, tenant: str, holder: ProcessId, serial: int) -> int:
        """The recorded limit, 0 if none."""
        return self._limits.get((tenant, *holder, serial), 0)

    def allocation_granted(self, tenant: str, holder: ProcessId, serial: int) -> None:
        """The allocation has appeared in the ledger."""
        self._unknown.discard((tenant, *holder, serial))
        if self._unknown:  # allocations with lower serials can no longer be granted
            obsolete = [key for key in self._unknown if key[0] == tenant and key[3] <= serial]
            self._forget(obsolete)

    def allocation_ended(self, tenant: str, holder: ProcessId, serial: int) -> None:
        """Forgets the limit of an allocation that has ended."""
        self._limits.pop((tenant, *holder, serial), None)

    def ledger_replaced(self) -> None:
        """The ledger was replaced."""
        unknown = set()
        for key in list(self._limits):
            if self._ledger.slice(*key) is not None:
                continue
            wallet = self._ledger.wallets.get(key[0])
            if wallet is not None and key[3] <= wallet.serial:
                del self._limits[key]
            else:
                unknown.add(key)
        self._unknown = unknown

    def _forget(self, keys: Iterable[AllocationKey]) -> None:
        for key in keys:
            self._unknown.discard(key)
            self._limits.pop(key, None)


class WitnessInquiry:
    """The query of witnesses about a lost holder, and their answers. `number` identifies the query."""

    def __init__(
        self, number: int, holder: ProcessId, allocations: dict[tuple[str, int], Allocation], now: float
    ) -> None:
        self.number, self.holder, self.allocations = number, holder, allocations
        self.since_ms = self.queried_at_ms = now
        self._replies: dict[ProcessId, dict[tuple[str, int], int]] = {}

    @property
    def keys(self) -> tuple[tuple[str, int], ...]:
        """Tenant and serial of each allocation, in the order of the query."""
        return tuple(self.allocations)

    def unanswered(self) -> set[ProcessId]:
        """Witnesses that have not answered."""
        return {
            witness for allocation in self.allocations.values() for witness in allocation.witnesses
        } - self._replies.keys()

    def add_reply(self, witness: ProcessId, limits: dict[tuple[str, int], int]) -> None:
        """Records a witness's answer."""
        self._replies[witness] = limits

    def expire_entries(self, term: int, is_lost: Callable[[ProcessId], bool]) -> list[Expire]:
        """Expire entries for the allocations of which enough is known. `is_lost`: that witness, a process, can no
        longer answer.
        """
        expiries: list[Expire] = []
        for (tenant, serial), allocation in self.allocations.items():
            limits_answered = [
                limits.get((tenant, serial), 0)
                for witness, limits in self._replies.items()
                if witness in allocation.witnesses
            ]
            if len(limits_answered) >= allocation.quorum:
                expiries.append(
                    Expire(tenant, *self.holder, serial, max(0, min(allocation.ceiling, max(limits_answered))), term)
                )
            elif (
                len(limits_answered)
                + sum(1 for witness in allocation.witnesses if witness not in self._replies and not is_lost(witness))
                < allocation.quorum
            ):
                expiries.append(Expire(tenant, *self.holder, serial, allocation.ceiling, term, False))
        return expiries
