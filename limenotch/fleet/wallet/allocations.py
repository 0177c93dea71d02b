"""What one sidecar may spend without asking anybody: its slices, as far as their marks are open, under its lease.

    spent + reserved + room = min(open, top), or less        of each slice; `room` is what the next call may take

For each call the clock is held against `until`, and one slice is looked at; all else waits for `holding.py`, which is
told by `wants()`. The host's clock is the part's: a process that slept finds its lease over before it takes a call.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ..leases import NEVER
from .api import Reservation, Turned
from .ledger import Book, Owner
from .tuning import Tuning

ADVANCE = 0  # the serial of what was reserved without a lease


class Held:
    """A slice of one's own."""

    __slots__ = (
        "serial",
        "size",
        "top",
        "witnesses",
        "quorum",
        "spent",
        "reserved",
        "room",
        "open",
        "asked",
        "low",
        "narrowed",
        "closing",
        "acks",
        "got_at",
        "told",
        "told_at",
    )

    def __init__(self, serial: int, top: int, spent: int, witnesses: tuple[Owner, ...], now: float) -> None:
        self.serial, self.size, self.top, self.spent = serial, top, top, spent
        self.witnesses, self.quorum = witnesses, len(witnesses) // 2 + 1
        self.reserved = self.room = 0
        self.open = self.asked = spent  # the mark that most witnesses hold, and that they were told
        self.low = -1  # below this room the holder looks
        self.narrowed = self.closing = False
        self.acks: dict[Owner, int] = {}
        self.got_at = now
        self.told, self.told_at = spent, -NEVER  # the mark last said to witnesses, and when

    @property
    def waits(self) -> bool:
        """For witnesses."""
        return self.asked > self.open and not self.closing

    @property
    def used(self) -> int:
        return self.spent + self.reserved

    @property
    def free(self) -> int:
        """May be reserved once it is open."""
        return 0 if self.closing else self.top - self.spent - self.reserved

    def acked(self, witness: Owner, mark: int) -> bool:
        """Whether more of it is open now."""
        if witness not in self.witnesses or mark <= self.acks.get(witness, 0):
            return False
        self.acks[witness] = mark
        held = sorted(self.acks.values(), reverse=True)
        # Never above what was told here: a witness can't open what its holder did not ask for.
        mark = min(held[self.quorum - 1], self.asked) if len(held) >= self.quorum else 0
        if mark <= self.open:
            return False
        self.open = mark
        self.fit()
        return True

    def fit(self) -> None:
        self.room = 0 if self.closing else max(0, min(self.open, self.top) - self.spent - self.reserved)

    def narrow(self, keep: int) -> int:
        """All but `keep` of what is free is given up for good. Returns what of `keep` is kept."""
        kept = min(keep, self.free)
        self.top = self.used + kept
        self.narrowed = True
        self.closing = self.closing or not kept
        self.fit()
        return kept


class Account:
    """A tenant's, here."""

    __slots__ = (
        "tenant",
        "slices",
        "first",
        "units",
        "turned",
        "last",
        "turned_at",
        "need",
        "dry",
        "paused",
        "noted",
        "ramp",
        "rate",
        "served",
        "rolled",
        "rolled_at",
        "lent",
        "lending",
        "telling",
        "told_serial",
        "span_ms",
        "span_until",
    )

    def __init__(self, tenant: str, now: float) -> None:
        self.tenant = tenant
        self.slices: dict[int, Held] = {}
        self.first: Held | None = None
        self.units = self.turned = 0  # reserved, and turned away, ever
        self.last = self.turned_at = -NEVER  # when
        self.need = 0  # the dearest call turned away since there was room
        self.dry = False  # the holder knows of it
        self.paused = self.noted = False
        self.ramp = 0  # the largest slice to ask for after a pause; 0: any
        self.span_ms, self.span_until = 0.0, -NEVER  # how long slices may last, while there is little left
        self.rate = self.served = 0.0  # units a ms wanted lately, and reserved
        self.rolled, self.rolled_at = (0, 0), now
        self.lent = self.lending = 0  # of the advance: served and not told yet, reserved
        self.telling = 0  # of `lent`, on its way to the log
        self.told_serial = 0

    @property
    def free(self) -> int:
        return sum(one.free for one in self.slices.values())

    @property
    def room(self) -> int:
        return sum(one.room for one in self.slices.values())

    def roll(self, now: float, span_ms: float) -> None:
        """Rates over what has passed since: of the whole `span_ms` what is old counts little. A rise counts at once
        for a half, or who begins would be turned away until the average has seen it."""
        past = now - self.rolled_at
        if past <= 0:
            return
        units, turned = self.units - self.rolled[0], self.turned - self.rolled[1]
        weight = min(1.0, 2 * past / span_ms)
        wanted = (units + turned) / past
        self.rate += (wanted - self.rate) * (max(weight, 0.5) if wanted > self.rate else weight)
        self.served += (units / past - self.served) * weight
        self.rolled, self.rolled_at = (self.units, self.turned), now


class Purse:
    """See api.Purse. `until`, the slices and their marks are the part's to change; the host calls the rest."""

    def __init__(self, tuning: Tuning, book: Book) -> None:
        self._tuning, self._book = tuning, book
        self._cost, self._other = dict(tuning.cost), tuning.other_cost
        self._tenants = frozenset(tuning.tenants)
        self._most = tuning.most_reserved
        self.until = -NEVER
        self.open = 0  # reservations
        self.accounts: dict[str, Account] = {}
        self.touched: set[str] = set()  # tenants to look at
        self.counts = {"turned": 0, "coming": 0, "advanced": 0}

    def pays(self, tenant: str) -> bool:
        return tenant in self._tenants or "*" in self._tenants

    def wants(self) -> bool:
        return bool(self.touched)

    def reserve(self, now: float, tenant: str, kind: str, paid: bool = False) -> Reservation | Turned:
        cost = self._cost.get(kind, self._other)
        if paid or not cost:
            return Reservation(tenant, 0)
        account = self.accounts.get(tenant)
        if account is not None and now < self.until:
            one = account.first
            if one is not None and one.room >= cost and self.open < self._most:
                one.room -= cost
                one.reserved += cost
                account.units += cost
                account.last = now
                self.open += 1
                if one.room < one.low:
                    self.touched.add(tenant)
                return Reservation(tenant, cost, ((one.serial, cost),))
        return self._reserve(now, tenant, account, cost)

    def charge(self, now: float, reservation: Reservation) -> None:
        tenant, cost, slices = reservation
        if not cost:
            return
        self.open -= 1
        account = self.accounts.get(tenant)
        if account is None:
            return
        for serial, units in slices:
            one = account.slices.get(serial)
            if one is not None:
                one.reserved -= units
                one.spent += units
                if one.spent >= one.top:
                    self.touched.add(tenant)
            elif serial == ADVANCE:
                account.lending -= units
                account.lent += units
                self.touched.add(tenant)

    def give_back(self, now: float, reservation: Reservation) -> None:
        tenant, cost, slices = reservation
        if not cost:
            return
        self.open -= 1
        account = self.accounts.get(tenant)
        if account is None:
            return
        for serial, units in slices:
            one = account.slices.get(serial)
            if one is not None:
                one.reserved -= units
                if one.closing:
                    one.top -= units
                    if one.spent >= one.top:
                        self.touched.add(tenant)
                else:
                    one.fit()
                    if account.first is None or account.first.room < one.room:
                        account.first = one
            elif serial == ADVANCE:
                account.lending -= units

    def _reserve(self, now: float, tenant: str, account: Account | None, cost: int) -> Reservation | Turned:
        """What the first slice alone does not answer."""
        tuning = self._tuning
        if not self.pays(tenant):
            return Reservation(tenant, 0)
        if account is None:
            if len(self.accounts) >= tuning.most_tenants:
                self.counts["turned"] += 1
                return Turned(tuning.retry_after_ms)
            account = self.accounts[tenant] = Account(tenant, now)
        leased = now < self.until
        if self.open < self._most:
            if leased:
                taken = self._gather(account, cost)
                if taken:
                    account.units += cost
                    account.last = now
                    self.open += 1
                    self.touched.add(tenant)
                    return Reservation(tenant, cost, taken)
            elif (
                tuning.without_lease == "advance"
                and tenant in self._book.wallets
                and account.lent + account.lending + cost <= tuning.advance
            ):
                account.lending += cost
                account.last = now
                self.open += 1
                self.counts["advanced"] += cost
                return Reservation(tenant, cost, ((ADVANCE, cost),))
        account.turned += cost
        account.turned_at = now
        account.need = max(account.need, cost)
        if not account.dry:
            account.dry = True
            self.touched.add(tenant)
        wallet = self._book.wallets.get(tenant)
        left = max(0, wallet.left) if wallet is not None else 0
        if leased and account.free + left >= cost:
            self.counts["coming"] += 1
            return Turned(tuning.record_ms, True)
        account.paused = True
        self.counts["turned"] += 1
        return Turned(tuning.retry_after_ms)

    def _gather(self, account: Account, cost: int) -> tuple[tuple[int, int], ...]:
        """Of several slices, the oldest first; nothing is taken if all of them are not enough."""
        if account.room < cost:
            return ()
        taken: list[tuple[int, int]] = []
        for one in account.slices.values():
            units = min(one.room, cost)
            if units:
                one.room -= units
                one.reserved += units
                cost -= units
                taken.append((one.serial, units))
            if one.room:
                account.first = one
                break
        return tuple(taken)

    # The part's

    def got(self, now: float, tenant: str, one: Held) -> Account:
        account = self.accounts.get(tenant)
        if account is None:
            account = self.accounts[tenant] = Account(tenant, now)
        account.slices[one.serial] = one
        self.touched.add(tenant)
        return account

    def ended(self, tenant: str, serial: int) -> None:
        account = self.accounts.get(tenant)
        if account is not None and (one := account.slices.pop(serial, None)) is not None:
            if account.first is one:
                self.point(account)
            self.touched.add(tenant)

    def point(self, account: Account) -> None:
        """`first` is the oldest slice with room."""
        account.first = next((one for one in account.slices.values() if one.room), None)

    def status(self) -> Mapping[str, Any]:
        """Units by tenant: reserved and not ended yet, free under slices held, open for the next calls."""
        return {
            "open": self.open,
            "counts": dict(self.counts),
            "tenants": {
                account.tenant: {
                    "slices": len(account.slices),
                    "free": account.free,
                    "room": account.room,
                    "reserved": sum(one.reserved for one in account.slices.values()),
                    "advanced": account.lent,
                    "paused": account.paused,
                }
                for account in self.accounts.values()
            },
        }
