"""What a witness remembers of others' slices, and how a leader asks for it when a holder is gone.

A mark counts as spent if its holder may have spent up to it. Only a mark that most witnesses of the slice hold is
spent up to; of those asked, most answer; two majorities of one set meet. A witness forgets a mark only once its own
book says that the slice has ended, or with its life.

| a slice of a holder that is gone | comes out as |
| --- | --- |
| most of its witnesses have told | Expire with the highest mark told |
| too few live on that most could tell | Expire with all of it |
| else | the leader asks on |
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .entries import Expire
from .ledger import MAX_NAME_LENGTH, Allocation, Ledger, ProcessId

MAX_QUERIED_ALLOCATIONS = 128  # slices of one holder that are asked for at a time

AllocationKey = tuple[str, str, int, int]  # tenant, name, life, serial


class SpendWitness:
    """`most_early`: marks of slices that the book here doesn't know yet."""

    def __init__(self, ledger: Ledger, max_unknown: int) -> None:
        self._ledger, self._max_unknown = ledger, max_unknown
        self._limits: dict[AllocationKey, int] = {}
        self._unknown: set[AllocationKey] = set()

    def __len__(self) -> int:
        return len(self._limits)

    def record_limit(self, tenant: str, holder: ProcessId, serial: int, limit: int) -> bool:
        """Whether it is held now. Not of a slice that has ended, nor of too many that are not known yet."""
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
        return self._limits.get((tenant, *holder, serial), 0)

    def allocation_granted(self, tenant: str, holder: ProcessId, serial: int) -> None:
        self._unknown.discard((tenant, *holder, serial))
        if self._unknown:  # those of lower serials never come any more
            obsolete = [key for key in self._unknown if key[0] == tenant and key[3] <= serial]
            self._forget(obsolete)

    def allocation_ended(self, tenant: str, holder: ProcessId, serial: int) -> None:
        self._limits.pop((tenant, *holder, serial), None)

    def ledger_replaced(self) -> None:
        """The book was replaced."""
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
    """A holder that is gone, and what its slices' witnesses have told. `number` is the question's."""

    def __init__(
        self, number: int, holder: ProcessId, allocations: dict[tuple[str, int], Allocation], now: float
    ) -> None:
        self.number, self.holder, self.allocations = number, holder, allocations
        self.since_ms = self.queried_at_ms = now
        self._replies: dict[ProcessId, dict[tuple[str, int], int]] = {}

    @property
    def keys(self) -> tuple[tuple[str, int], ...]:
        return tuple(self.allocations)

    def unanswered(self) -> set[ProcessId]:
        """Those that have not told."""
        return {
            witness for allocation in self.allocations.values() for witness in allocation.witnesses
        } - self._replies.keys()

    def add_reply(self, witness: ProcessId, limits: dict[tuple[str, int], int]) -> None:
        self._replies[witness] = limits

    def expire_entries(self, term: int, is_lost: Callable[[ProcessId], bool]) -> list[Expire]:
        """Of those slices of which enough is known; `lost`: that witness, in that life, can't tell any more."""
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
