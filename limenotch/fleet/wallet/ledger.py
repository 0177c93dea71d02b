"""The agreed state of all wallets: what the log's entries make of them, the same at all, without clocks or settings.

    credit = spent + left + sum of held        at every step, for each wallet; `left` alone may be below 0 (Advance)

- A slice is of (name, life, serial) and ends for good: `serial` only rises, so a Grant that comes twice, or late,
  makes none. `spent` of a slice only rises and its `top` only sinks, so Settles may come twice or in any order.
- An entry that is out of order, of an unknown slice, or of another epoch than the one the log took it in, changes
  nothing.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from msgspec import Struct

from .entries import Advance, Credit, Entry, Expire, Grant, Settle

MOST_CREDIT = 1 << 60
MOST_NAME = 200
MOST_ADVANCED = 1000  # holders of a wallet whose Advances are told apart; the first told are forgotten first

Owner = tuple[str, int]  # name, life


class Slice(Struct, array_like=True):
    name: str
    process_epoch: int
    serial: int
    top: int  # what of it may be spent at all
    spent: int  # settled so far
    witnesses: tuple[Owner, ...]

    @property
    def held(self) -> int:
        return self.top - self.spent

    @property
    def owner(self) -> Owner:
        return (self.name, self.process_epoch)

    @property
    def quorum(self) -> int:
        return len(self.witnesses) // 2 + 1


class Wallet(Struct, array_like=True):
    credit: int = 0
    spent: int = 0
    left: int = 0
    serial: int = 0  # of the newest slice
    slices: dict[int, Slice] = {}
    ids: dict[str, int] = {}  # of credits: amount
    advanced: dict[str, dict[int, int]] = {}  # name, life: the serial told last

    @property
    def held(self) -> int:
        return sum(one.held for one in self.slices.values())

    @property
    def sound(self) -> bool:
        return self.credit == self.spent + self.left + self.held


class _State(Struct, array_like=True):
    index: int
    wallets: dict[str, Wallet]


_DECODER: msgspec.msgpack.Decoder[_State] = msgspec.msgpack.Decoder(_State)


class Applied(NamedTuple):
    """What became of an entry. `word`: done, counted, full, bad (nothing changed); `amount`: what was granted, came
    back, or was counted under that id before."""

    entry: Entry
    word: str
    amount: int = 0

    @property
    def ok(self) -> bool:
        return self.word == "done"


class Book:
    def __init__(self) -> None:
        self.index = 0  # of the last that was applied
        self.wallets: dict[str, Wallet] = {}
        self.owners: dict[Owner, set[tuple[str, int]]] = {}  # tenant and serial of their slices

    def state(self) -> bytes:
        return msgspec.msgpack.encode(_State(self.index, self.wallets))

    def install(self, state: bytes) -> None:
        """Raises msgspec.DecodeError on what is no state."""
        read: _State = _DECODER.decode(state)
        self.index, self.wallets = read.index, read.wallets
        self.owners = {}
        for tenant, wallet in self.wallets.items():
            for one in wallet.slices.values():
                self.owners.setdefault(one.owner, set()).add((tenant, one.serial))

    def slice(self, tenant: str, name: str, process_epoch: int, serial: int) -> Slice | None:
        wallet = self.wallets.get(tenant)
        one = wallet.slices.get(serial) if wallet is not None else None
        return one if one is not None and one.owner == (name, process_epoch) else None

    def told(self, tenant: str, owner: Owner) -> int:
        """The serial of its last Advance."""
        wallet = self.wallets.get(tenant)
        return wallet.advanced.get(owner[0], {}).get(owner[1], 0) if wallet is not None else 0

    def apply(self, index: int, term: int, entries: tuple[Entry, ...]) -> list[Applied]:
        """Each index once: one that was applied changes nothing, and nothing is returned."""
        if index <= self.index:
            return []
        self.index = index
        return [self._apply(entry, term) for entry in entries]

    def _apply(self, entry: Entry, term: int) -> Applied:
        if isinstance(entry, Credit):
            return self._credit(entry)
        wallet = self.wallets.get(entry.tenant)
        if wallet is None:
            return Applied(entry, "bad")
        if isinstance(entry, Grant):
            return self._grant(wallet, entry, term)
        if isinstance(entry, Settle):
            return self._settle(wallet, entry)
        if isinstance(entry, Expire):
            return self._expire(wallet, entry, term)
        return self._advance(wallet, entry)

    def _credit(self, entry: Credit) -> Applied:
        wallet = self.wallets.get(entry.tenant)
        if wallet is not None and entry.id in wallet.ids:
            return Applied(entry, "counted", wallet.ids[entry.id])
        held = wallet.credit if wallet is not None else 0
        names = 0 < len(entry.tenant) <= MOST_NAME and 0 < len(entry.id) <= MOST_NAME
        if not names or not 0 < entry.amount <= MOST_CREDIT - held:
            return Applied(entry, "bad")
        if wallet is None:
            if len(self.wallets) >= entry.most_tenants:
                return Applied(entry, "full")
            wallet = self.wallets[entry.tenant] = Wallet()
        if len(wallet.ids) >= entry.most_ids:
            return Applied(entry, "full")
        wallet.ids[entry.id] = entry.amount
        wallet.credit += entry.amount
        wallet.left += entry.amount
        return Applied(entry, "done", entry.amount)

    def _grant(self, wallet: Wallet, entry: Grant, term: int) -> Applied:
        amount = min(entry.amount, wallet.left)
        if entry.term != term or entry.serial <= wallet.serial or amount <= 0 or not entry.witnesses:
            return Applied(entry, "bad")
        wallet.serial = entry.serial
        wallet.left -= amount
        wallet.slices[entry.serial] = Slice(entry.name, entry.process_epoch, entry.serial, amount, 0, entry.witnesses)
        self.owners.setdefault((entry.name, entry.process_epoch), set()).add((entry.tenant, entry.serial))
        return Applied(entry, "done", amount)

    def _settle(self, wallet: Wallet, entry: Settle) -> Applied:
        one = self.slice(entry.tenant, entry.name, entry.process_epoch, entry.serial)
        if one is None or entry.spent < 0 or entry.keep < 0:
            return Applied(entry, "bad")
        self._spend(wallet, one, entry.spent)
        top = max(one.spent, min(one.top, entry.spent + entry.keep)) if entry.close else one.top
        back = one.top - top
        self._narrow(entry.tenant, wallet, one, top)
        return Applied(entry, "done", back)

    def _expire(self, wallet: Wallet, entry: Expire, term: int) -> Applied:
        one = self.slice(entry.tenant, entry.name, entry.process_epoch, entry.serial)
        if one is None or entry.term != term or entry.mark < 0:
            return Applied(entry, "bad")
        held = one.held
        self._spend(wallet, one, entry.mark)
        back = one.held
        self._narrow(entry.tenant, wallet, one, one.spent)
        return Applied(entry, "done", back if entry.told else held)

    def _advance(self, wallet: Wallet, entry: Advance) -> Applied:
        if (
            entry.serial <= self.told(entry.tenant, (entry.name, entry.process_epoch))
            or not 0 < entry.amount <= MOST_CREDIT
        ):
            return Applied(entry, "bad")
        process_epochs = wallet.advanced.pop(entry.name, {})
        process_epochs.pop(entry.process_epoch, None)
        process_epochs[entry.process_epoch] = entry.serial
        wallet.advanced[entry.name] = process_epochs  # the one told last stands last
        while sum(map(len, wallet.advanced.values())) > MOST_ADVANCED:
            first = next(iter(wallet.advanced))
            del wallet.advanced[first][next(iter(wallet.advanced[first]))]
            if not wallet.advanced[first]:
                del wallet.advanced[first]
        wallet.spent += entry.amount
        wallet.left -= entry.amount
        return Applied(entry, "done", entry.amount)

    def _spend(self, wallet: Wallet, one: Slice, spent: int) -> None:
        new = max(0, min(spent, one.top) - one.spent)
        one.spent += new
        wallet.spent += new

    def _narrow(self, tenant: str, wallet: Wallet, one: Slice, top: int) -> None:
        """What is above `top` goes back; a slice that holds nothing more ends."""
        wallet.left += one.top - top
        one.top = top
        if one.held == 0:
            del wallet.slices[one.serial]
            owned = self.owners[one.owner]
            owned.discard((tenant, one.serial))
            if not owned:
                del self.owners[one.owner]
