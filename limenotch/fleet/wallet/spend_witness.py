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
from .ledger import MOST_NAME, Book, Owner, Slice

MOST_ASKED = 128  # slices of one holder that are asked for at a time

Key = tuple[str, str, int, int]  # tenant, name, life, serial


class Memory:
    """`most_early`: marks of slices that the book here doesn't know yet."""

    def __init__(self, book: Book, most_early: int) -> None:
        self._book, self._most = book, most_early
        self._marks: dict[Key, int] = {}
        self._early: set[Key] = set()

    def __len__(self) -> int:
        return len(self._marks)

    def tell(self, tenant: str, owner: Owner, serial: int, mark: int) -> bool:
        """Whether it is held now. Not of a slice that has ended, nor of too many that are not known yet."""
        key = (tenant, *owner, serial)
        if len(tenant) > MOST_NAME or mark < 0:
            return False
        if key not in self._marks and self._book.slice(*key) is None:
            wallet = self._book.wallets.get(tenant)
            if (wallet is not None and serial <= wallet.serial) or len(self._early) >= self._most:
                return False
            self._early.add(key)
        self._marks[key] = max(mark, self._marks.get(key, 0))
        return True

    def mark(self, tenant: str, owner: Owner, serial: int) -> int:
        return self._marks.get((tenant, *owner, serial), 0)

    def granted(self, tenant: str, owner: Owner, serial: int) -> None:
        self._early.discard((tenant, *owner, serial))
        if self._early:  # those of lower serials never come any more
            late = [key for key in self._early if key[0] == tenant and key[3] <= serial]
            self._forget(late)

    def ended(self, tenant: str, owner: Owner, serial: int) -> None:
        self._marks.pop((tenant, *owner, serial), None)

    def installed(self) -> None:
        """The book was replaced."""
        early = set()
        for key in list(self._marks):
            if self._book.slice(*key) is not None:
                continue
            wallet = self._book.wallets.get(key[0])
            if wallet is not None and key[3] <= wallet.serial:
                del self._marks[key]
            else:
                early.add(key)
        self._early = early

    def _forget(self, keys: Iterable[Key]) -> None:
        for key in keys:
            self._early.discard(key)
            self._marks.pop(key, None)


class Gone:
    """A holder that is gone, and what its slices' witnesses have told. `number` is the question's."""

    def __init__(self, number: int, owner: Owner, slices: dict[tuple[str, int], Slice], now: float) -> None:
        self.number, self.owner, self.slices = number, owner, slices
        self.since = self.asked_at = now
        self._told: dict[Owner, dict[tuple[str, int], int]] = {}

    @property
    def keys(self) -> tuple[tuple[str, int], ...]:
        return tuple(self.slices)

    def witnesses(self) -> set[Owner]:
        """Those that have not told."""
        return {witness for one in self.slices.values() for witness in one.witnesses} - self._told.keys()

    def told(self, witness: Owner, marks: dict[tuple[str, int], int]) -> None:
        self._told[witness] = marks

    def ends(self, term: int, lost: Callable[[Owner], bool]) -> list[Expire]:
        """Of those slices of which enough is known; `lost`: that witness, in that life, can't tell any more."""
        ends: list[Expire] = []
        for (tenant, serial), one in self.slices.items():
            told = [marks.get((tenant, serial), 0) for witness, marks in self._told.items() if witness in one.witnesses]
            if len(told) >= one.quorum:
                ends.append(Expire(tenant, *self.owner, serial, max(0, min(one.top, max(told))), term))
            elif (
                len(told) + sum(1 for witness in one.witnesses if witness not in self._told and not lost(witness))
                < one.quorum
            ):
                ends.append(Expire(tenant, *self.owner, serial, one.top, term, False))
        return ends
