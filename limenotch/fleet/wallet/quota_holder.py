"""The holder's side: a purse's marks, wants, settlements and advances, and how recalls narrow it.

| what | when | goes to |
| --- | --- | --- |
| mark | less than half a step is open | the slice's witnesses, each `record_ms` until held |
| want | less than half of a slice's worth is free, or a call was turned away | the leader, again with each lease |
| settle, closing | used up, idle, recalled, fenced, leaving | the log, all tenants in one entry, one at a time |
| settle | something was spent | the same, once a lease's time |
| advance | the log answers again | the log, with its serial until it is agreed |
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from math import ceil
from typing import Any

from ..interfaces import LogLine, SendToMember
from ..leases import NEVER
from . import entries, messages
from .allocations import Account, Held, Purse
from .ledger import Book, Owner, Slice
from .spend_witness import Memory
from .tuning import Tuning

Propose = Callable[[tuple[entries.Entry, ...], str], int]


class Holding:
    def __init__(
        self, owner: Owner, book: Book, purse: Purse, memory: Memory, tuning: Tuning, propose: Propose
    ) -> None:
        self._owner, self._book, self._purse, self._memory = owner, book, purse, memory
        self._tuning, self._propose = tuning, propose
        self.out: list[Any] = []
        self.leaving = False
        self._settling = False  # an entry of ours is on its way
        self._settle_at = -NEVER
        self._regular_at = -NEVER
        self._dirty = False  # something to settle, perhaps
        self._heard = False  # there is a leader
        self._scan_at = NEVER
        self._again_at = NEVER  # marks that were not held yet
        self._unheld: set[str] = set()  # tenants with such
        self._wants: dict[str, tuple[int, int, int, int]] = {}
        self._news = False  # a want that the leader was not told

    # What the log says

    def granted(self, now: float, tenant: str, serial: int, agreed: Slice) -> None:
        account = self._purse.got(now, tenant, Held(serial, agreed.top, agreed.spent, agreed.witnesses, now))
        account.ramp *= 2
        account.dry = False
        self._wants.pop(tenant, None)
        self.out.append(LogLine(f"holds {tenant} {agreed.held}", {"serial": serial}))
        if self.leaving:
            account.slices[serial].narrow(0)

    def paid(self, tenant: str) -> None:
        """Whoever was turned away wants at once."""
        account = self._purse.accounts.get(tenant)
        if account is not None:
            account.dry, account.span_until = False, -NEVER
            self._purse.touched.add(tenant)
            self._news = True  # a leader that knew no such wallet has not kept what was wanted

    def leased(self, now: float) -> None:
        """From now on, or anew."""
        self._purse.touched.update(
            account.tenant for account in self._purse.accounts.values() if account.paused or account.lent
        )

    def ended(self, tenant: str, serial: int) -> None:
        self._purse.ended(tenant, serial)

    def advanced(self, tenant: str, amount: int) -> None:
        account = self._purse.accounts.get(tenant)
        if account is not None and account.telling:
            account.lent -= amount
            account.telling = 0

    def installed(self, now: float) -> None:
        """The book was replaced: slices that ended meanwhile, and such as were granted."""
        for account in self._purse.accounts.values():
            for serial in list(account.slices):
                if self._book.slice(account.tenant, *self._owner, serial) is None:
                    self._purse.ended(account.tenant, serial)
            if account.telling and self._book.told(account.tenant, self._owner) >= account.told_serial:
                self.advanced(account.tenant, account.telling)
            if account.paused:
                self.paid(account.tenant)  # perhaps
        for tenant, serial in sorted(self._book.owners.get(self._owner, ())):
            one = self._book.slice(tenant, *self._owner, serial)
            known = self._purse.accounts.get(tenant)
            if one is not None and (known is None or serial not in known.slices):
                self.granted(now, tenant, serial, one)

    def told(self) -> None:
        """The entry that was on its way has ended, so or so."""
        self._settling = False
        # What could not be said is said anew, at `settle_at`: a log that refuses would be asked without end.
        self._dirty = True

    # What others say

    def held(self, witness: Owner, marks: Iterable[tuple[str, int, int]]) -> None:
        for tenant, serial, mark in marks:
            account = self._purse.accounts.get(tenant)
            one = account.slices.get(serial) if account is not None else None
            if account is not None and one is not None and one.acked(witness, mark):
                account.dry = False
                if account.first is None or not account.first.room:
                    self._purse.point(account)
                self._purse.touched.add(tenant)

    def recalled(self, now: float, recalls: Iterable[tuple[str, float]]) -> None:
        for tenant, keep_ms in recalls:
            account = self._purse.accounts.get(tenant)
            if account is not None and keep_ms >= 0:
                self._roll(now, account)
                account.span_ms = min(keep_ms, self._tuning.slice_ms)
                account.span_until = now + self._tuning.lease_ms
                self._narrow(account, int(account.served * account.span_ms + 0.5))
                self._settle_at = min(self._settle_at, now)
                self._regular_at = -NEVER  # by what was spent the leader sees whether it goes on

    def void(self) -> None:
        """Fenced, or leaving: nothing held is reserved from any more."""
        for account in self._purse.accounts.values():
            self._narrow(account, 0)
        self._settle_at = -NEVER

    def _narrow(self, account: Account, keep: int) -> None:
        """The oldest keep; a slice that was narrowed before is not touched below what it keeps."""
        for one in account.slices.values():
            keep -= one.narrow(keep)
        self._purse.point(account)
        self._purse.touched.add(account.tenant)

    # In the course of time

    def tick(self, now: float, leader: bool) -> None:
        """`leader`: there is one to be told."""
        purse = self._purse
        self._heard = leader
        if now >= self._scan_at:
            self._scan(now)
        touched, purse.touched = purse.touched, set()
        for tenant in sorted(touched):
            if (account := purse.accounts.get(tenant)) is not None:
                self._see(now, account)
        if touched:
            self._scan_at = min(self._scan_at, now + self._tuning.idle_ms / 4)
            self._dirty = True
        if now >= self._again_at:
            self._again_at = NEVER
            self._unheld = {
                tenant
                for tenant in self._unheld
                if (account := purse.accounts.get(tenant)) is not None
                and any(one.waits for one in account.slices.values())
            }
            touched |= self._unheld
        self._mark(now, touched)
        self._settle(now)

    def due(self) -> float:
        due = min(self._scan_at, self._again_at)
        return min(due, self._settle_at) if self._dirty and not self._settling and self._heard else due

    def _scan(self, now: float) -> None:
        """All accounts, a few times in `idle_ms`: rates, what is idle, what is not known any more."""
        purse, tuning = self._purse, self._tuning
        for account in list(purse.accounts.values()):
            self._roll(now, account)
            seen = max(account.last, account.turned_at)
            for one in account.slices.values():
                if not one.closing and now - max(account.last, one.got_at) >= tuning.idle_ms:
                    one.narrow(0)
                    self._purse.point(account)
            account.dry = False
            if now - account.turned_at >= tuning.idle_ms + tuning.retry_after_ms:
                account.need = 0  # who was turned away does not come back
            if (
                not account.slices
                and not account.lent
                and not account.lending
                and now - seen >= tuning.idle_ms + tuning.retry_after_ms
            ):
                del purse.accounts[account.tenant]
                self._wants.pop(account.tenant, None)
            elif account.slices or account.need or account.lent:
                purse.touched.add(account.tenant)
        self._scan_at = now + tuning.idle_ms / 4 if purse.accounts else NEVER

    def _roll(self, now: float, account: Account) -> None:
        if now - account.rolled_at >= self._tuning.record_ms / 4:
            account.roll(now, self._tuning.slice_ms)

    def _see(self, now: float, account: Account) -> None:
        """What this tenant needs here: a mark told, a slice asked for; and where to look next."""
        tuning = self._tuning
        self._roll(now, account)
        if account.paused and not account.noted:
            account.noted = True
            account.ramp = max(1, tuning.least_slice // 2)  # doubled with each slice
            why = "nothing left" if self._purse.until > now else "no lease"
            self.out.append(LogLine(f"pauses {account.tenant}", {"why": why}))
        room = account.room
        if room and room >= account.need:
            account.need = 0
            account.dry = False
            if account.paused and self._purse.until > now:
                account.paused = account.noted = False
                self.out.append(LogLine(f"resumes {account.tenant}"))
        pace = ceil(account.rate * tuning.slice_ms)
        target = max(pace, tuning.least_slice)
        if now < account.span_until:  # there is little left
            target = min(target, max(1, ceil(account.rate * account.span_ms)))
        if account.ramp >= max(pace, tuning.least_slice):
            account.ramp = 0
        elif account.ramp:
            target = min(target, account.ramp)
        target = max(target, account.need)
        free = account.free
        short = max(0, account.need - room)
        for one in account.slices.values():
            if not one.closing and one.open < one.top and one.asked == one.open:
                step = tuning.step_of(one.size, account.need)
                if 2 * one.room < step or short:
                    one.asked = max(one.open, min(one.top, one.used + max(step, short)))
                    short -= max(0, one.asked - one.open)
        active = now - max(account.last, account.turned_at) < tuning.idle_ms or account.need
        if active and not self.leaving and (2 * free <= target or free < account.need):
            newest = max(account.slices, default=0)
            known = self._wants.get(account.tenant)
            want = (newest, target, account.need, pace)
            self._wants[account.tenant] = want
            self._news = self._news or known is None or known[0] != newest or want[2] > known[2]
        else:
            self._wants.pop(account.tenant, None)
        for one in account.slices.values():
            if one.asked > one.open or one.closing:
                one.low = -1
            elif one.open < one.top:
                one.low = ceil(tuning.step_of(one.size) / 2)
            else:
                one.low = -1 if account.tenant in self._wants else target // 2 + 1 - (free - one.free)

    def _mark(self, now: float, tenants: set[str]) -> None:
        """To each witness what it has not held yet: a new mark at once, an old one each `record_ms`."""
        marks: dict[Owner, list[tuple[str, int, int]]] = {}
        for tenant in sorted(tenants):
            account = self._purse.accounts.get(tenant)
            for one in list(account.slices.values()) if account is not None else ():
                if not one.waits or (one.told == one.asked and now < one.told_at + self._tuning.record_ms):
                    continue
                one.told, one.told_at = one.asked, now
                if self._owner in one.witnesses and self._memory.tell(tenant, self._owner, one.serial, one.asked):
                    self.held(self._owner, ((tenant, one.serial, one.asked),))
                for witness in one.witnesses if one.waits else ():
                    if witness != self._owner and one.asked > one.acks.get(witness, 0):
                        marks.setdefault(witness, []).append((tenant, one.serial, one.asked))
                        self._unheld.add(tenant)
        for (name, _), of in marks.items():
            for at in range(0, len(of), messages.MOST):
                part = tuple(of[at : at + messages.MOST])
                self.out.append(
                    SendToMember(
                        name, messages.Mark(self._owner[1], part), messages.carrier([mark[0] for mark in part])
                    )
                )
        if self._unheld and self._again_at == NEVER:
            self._again_at = now + self._tuning.record_ms

    def wants(self, again: bool) -> list[messages.Want]:
        """What the leader is to be told: all of it `again`, or if there is something new."""
        if not self._wants or not (again or self._news):
            return []
        self._news = False
        wants = [(tenant, *want) for tenant, want in self._wants.items()]
        return [
            messages.Want(self._owner[1], tuple(wants[at : at + messages.MOST]))
            for at in range(0, len(wants), messages.MOST)
        ]

    # The log

    def _settle(self, now: float) -> None:
        if not self._dirty or self._settling or not self._heard or now < self._settle_at:
            return
        self._dirty = False
        told: list[entries.Entry] = []
        owned = self._book.owners.get(self._owner, set())
        regular = now >= self._regular_at
        for tenant, serial in sorted(owned):
            agreed = self._book.slice(tenant, *self._owner, serial)
            account = self._purse.accounts.get(tenant)
            one = account.slices.get(serial) if account is not None else None
            if agreed is not None and one is not None and self._differs(agreed, one, regular):
                told.append(
                    entries.Settle(
                        tenant,
                        *self._owner,
                        serial,
                        one.spent,
                        one.narrowed or one.spent == one.top,
                        one.top - one.spent,
                    )
                )
        for account in self._purse.accounts.values():
            if account.lent and self._purse.until > now:
                if not account.telling:
                    account.telling = account.lent
                    account.told_serial = self._book.told(account.tenant, self._owner) + 1
                told.append(entries.Advance(account.tenant, *self._owner, account.told_serial, account.telling))
        if regular:
            self._regular_at = now + self._tuning.lease_ms
        if told:
            self._settling = True
            self._settle_at = now + self._tuning.record_ms
            self._propose(tuple(told[: entries.MOST]), "settle")
        else:
            self._settle_at = min(self._settle_at, now)

    def _differs(self, agreed: Slice, one: Held, regular: bool) -> bool:
        return one.top < agreed.top or (one.spent == one.top) or (regular and one.spent > agreed.spent)
