"""The replicated state of all wallets. Every member applies the log's entries to it, without clocks or settings, and
arrives at the same state.

    credit = spent + unallocated + sum of unspent    at every step, for each wallet; only `unallocated` may be negative,
                                                     after an Advance

- An allocation belongs to (name, process_epoch, serial) and ends for good: `serial` only rises, so a repeated or late
  Grant creates none. `spent` of an allocation only rises and its `ceiling` only falls, so Settles may be repeated or
  reordered.
- An entry that is out of order, of an unknown allocation, or committed in another term than it was proposed in changes
  nothing.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from msgspec import Struct

from .entries import Advance, Credit, Entry, Expire, Grant, Settle

MAX_CREDIT = 1 << 60
MAX_NAME_LENGTH = 200
# holders of a wallet whose last Advance is kept; the least recently updated is dropped first
MAX_ADVANCED_HOLDERS = 1000

ProcessId = tuple[str, int]  # name, process epoch


class Allocation(Struct, array_like=True):
    """Units of a wallet that one process may spend."""

    name: str
    process_epoch: int
    serial: int
    ceiling: int  # how much of it may be spent at all
    spent: int  # settled so far
    witnesses: tuple[ProcessId, ...]

    @property
    def unspent(self) -> int:
        """Units allocated and not settled as spent."""
        return self.ceiling - self.spent

    @property
    def holder(self) -> ProcessId:
        """The process that spends it."""
        return (self.name, self.process_epoch)

    @property
    def quorum(self) -> int:
        """How many witnesses are a majority."""
        return len(self.witnesses) // 2 + 1


class Wallet(Struct, array_like=True):
    """One tenant's wallet, in units of credit."""

    credit: int = 0
    spent: int = 0
    unallocated: int = 0
    serial: int = 0  # of the newest allocation
    allocations: dict[int, Allocation] = {}
    credit_ids: dict[str, int] = {}  # by id of a credit: amount
    advance_serials: dict[str, dict[int, int]] = {}  # by name and process epoch: serial of the last Advance

    @property
    def allocated(self) -> int:
        """Units allocated to holders and not settled as spent."""
        return sum(allocation.unspent for allocation in self.allocations.values())

    @property
    def debt(self) -> int:
        """Units served in advance that no credit has covered yet."""
        return max(0, -self.unallocated)

    @property
    def is_balanced(self) -> bool:
        """Whether no credit is lost or created."""
        return self.credit == self.spent + self.unallocated + self.allocated


class _State(Struct, array_like=True):
    index: int
    wallets: dict[str, Wallet]


_DECODER: msgspec.msgpack.Decoder[_State] = msgspec.msgpack.Decoder(_State)


class Applied(NamedTuple):
    """The effect of an entry.

    `outcome`: done, counted (the id was counted earlier), full (too many ids or wallets), bad (invalid or out of
    order); only done changes the ledger. `amount`: what was granted or returned, or what that id was counted with.
    """

    entry: Entry
    outcome: str
    amount: int = 0

    @property
    def ok(self) -> bool:
        """Whether the entry has changed the ledger."""
        return self.outcome == "done"


class Ledger:
    """All wallets by tenant; see the module."""

    def __init__(self) -> None:
        self.index = 0  # of the last entry applied
        self.wallets: dict[str, Wallet] = {}
        self.allocations_by_holder: dict[ProcessId, set[tuple[str, int]]] = {}  # tenant and serial

    def state(self) -> bytes:
        """The encoded state, for a snapshot."""
        return msgspec.msgpack.encode(_State(self.index, self.wallets))

    def install(self, state: bytes) -> None:
        """Replaces the ledger with an encoded state. Raises msgspec.DecodeError if that is invalid."""
        read: _State = _DECODER.decode(state)
        self.index, self.wallets = read.index, read.wallets
        self.allocations_by_holder = {}
        for tenant, wallet in self.wallets.items():
            for allocation in wallet.allocations.values():
                self.allocations_by_holder.setdefault(allocation.holder, set()).add((tenant, allocation.serial))

    def slice(self, tenant: str, name: str, process_epoch: int, serial: int) -> Allocation | None:
        """The allocation if it exists and belongs to that process."""
        wallet = self.wallets.get(tenant)
        allocation = wallet.allocations.get(serial) if wallet is not None else None
        return allocation if allocation is not None and allocation.holder == (name, process_epoch) else None

    def last_advance_serial(self, tenant: str, holder: ProcessId) -> int:
        """The serial of the holder's last Advance, 0 if none."""
        wallet = self.wallets.get(tenant)
        return wallet.advance_serials.get(holder[0], {}).get(holder[1], 0) if wallet is not None else 0

    def apply(self, index: int, term: int, entries: tuple[Entry, ...]) -> list[Applied]:
        """Applies an entry of the log once; an index that was already applied changes nothing and returns an empty
        list.
        """
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
        if wallet is not None and entry.id in wallet.credit_ids:
            return Applied(entry, "counted", wallet.credit_ids[entry.id])
        credited = wallet.credit if wallet is not None else 0
        names_valid = 0 < len(entry.tenant) <= MAX_NAME_LENGTH and 0 < len(entry.id) <= MAX_NAME_LENGTH
        if not names_valid or not 0 < entry.amount <= MAX_CREDIT - credited:
            return Applied(entry, "bad")
        if wallet is None:
            if len(self.wallets) >= entry.most_tenants:
                return Applied(entry, "full")
            wallet = self.wallets[entry.tenant] = Wallet()
        if len(wallet.credit_ids) >= entry.most_ids:
            return Applied(entry, "full")
        wallet.credit_ids[entry.id] = entry.amount
        wallet.credit += entry.amount
        wallet.unallocated += entry.amount
        return Applied(entry, "done", entry.amount)

    def _grant(self, wallet: Wallet, entry: Grant, term: int) -> Applied:
        amount = min(entry.amount, wallet.unallocated)
        if entry.term != term or entry.serial <= wallet.serial or amount <= 0 or not entry.witnesses:
            return Applied(entry, "bad")
        wallet.serial = entry.serial
        wallet.unallocated -= amount
        wallet.allocations[entry.serial] = Allocation(
            entry.name, entry.process_epoch, entry.serial, amount, 0, entry.witnesses
        )
        self.allocations_by_holder.setdefault((entry.name, entry.process_epoch), set()).add(
            (entry.tenant, entry.serial)
        )
        return Applied(entry, "done", amount)

    def _settle(self, wallet: Wallet, entry: Settle) -> Applied:
        allocation = self.slice(entry.tenant, entry.name, entry.process_epoch, entry.serial)
        if allocation is None or entry.spent < 0 or entry.retain < 0:
            return Applied(entry, "bad")
        self._record_spent(wallet, allocation, entry.spent)
        ceiling = (
            max(allocation.spent, min(allocation.ceiling, entry.spent + entry.retain))
            if entry.close
            else allocation.ceiling
        )
        returned = allocation.ceiling - ceiling
        self._lower_ceiling(entry.tenant, wallet, allocation, ceiling)
        return Applied(entry, "done", returned)

    def _expire(self, wallet: Wallet, entry: Expire, term: int) -> Applied:
        allocation = self.slice(entry.tenant, entry.name, entry.process_epoch, entry.serial)
        if allocation is None or entry.term != term or entry.spend_limit < 0:
            return Applied(entry, "bad")
        unspent = allocation.unspent
        self._record_spent(wallet, allocation, entry.spend_limit)
        returned = allocation.unspent
        self._lower_ceiling(entry.tenant, wallet, allocation, allocation.spent)
        return Applied(entry, "done", returned if entry.witnessed else unspent)

    def _advance(self, wallet: Wallet, entry: Advance) -> Applied:
        if (
            entry.serial <= self.last_advance_serial(entry.tenant, (entry.name, entry.process_epoch))
            or not 0 < entry.amount <= MAX_CREDIT
        ):
            return Applied(entry, "bad")
        process_epochs = wallet.advance_serials.pop(entry.name, {})
        process_epochs.pop(entry.process_epoch, None)
        process_epochs[entry.process_epoch] = entry.serial
        wallet.advance_serials[entry.name] = process_epochs  # the most recently updated stays last
        while sum(map(len, wallet.advance_serials.values())) > MAX_ADVANCED_HOLDERS:
            oldest = next(iter(wallet.advance_serials))
            del wallet.advance_serials[oldest][next(iter(wallet.advance_serials[oldest]))]
            if not wallet.advance_serials[oldest]:
                del wallet.advance_serials[oldest]
        wallet.spent += entry.amount
        wallet.unallocated -= entry.amount
        return Applied(entry, "done", entry.amount)

    def _record_spent(self, wallet: Wallet, allocation: Allocation, spent: int) -> None:
        newly_spent = max(0, min(spent, allocation.ceiling) - allocation.spent)
        allocation.spent += newly_spent
        wallet.spent += newly_spent

    def _lower_ceiling(self, tenant: str, wallet: Wallet, allocation: Allocation, ceiling: int) -> None:
        """Returns what is above `ceiling` to the wallet; an allocation without unspent units ends."""
        wallet.unallocated += allocation.ceiling - ceiling
        allocation.ceiling = ceiling
        if allocation.unspent == 0:
            del wallet.allocations[allocation.serial]
            held_keys = self.allocations_by_holder[allocation.holder]
            held_keys.discard((tenant, allocation.serial))
            if not held_keys:
                del self.allocations_by_holder[allocation.holder]
