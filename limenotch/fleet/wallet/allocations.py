"""What one sidecar may spend without asking anybody: its slices, as far as their marks are open, under its lease.

    spent + reserved + room = min(open, top), or less        of each slice; `room` is what the next call may take

For each call the clock is held against `until`, and one slice is looked at; all else waits for `holding.py`, which is
told by `wants()`. The host's clock is the part's: a process that slept finds its lease over before it takes a call.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ..leases import NEVER
from .api import Rejected, Reservation
from .ledger import Ledger, ProcessId
from .tuning import Tuning

ADVANCE_SERIAL = 0  # the serial of what was reserved without a lease


class LocalAllocation:
    """A slice of one's own."""

    __slots__ = (
        "serial",
        "size",
        "ceiling",
        "witnesses",
        "quorum",
        "spent",
        "reserved",
        "available",
        "open_limit",
        "requested_limit",
        "low_water",
        "reduced",
        "closing",
        "acks",
        "granted_at_ms",
        "sent_limit",
        "sent_at_ms",
    )

    def __init__(self, serial: int, ceiling: int, spent: int, witnesses: tuple[ProcessId, ...], now: float) -> None:
        self.serial, self.size, self.ceiling, self.spent = serial, ceiling, ceiling, spent
        self.witnesses, self.quorum = witnesses, len(witnesses) // 2 + 1
        self.reserved = self.available = 0
        self.open_limit = self.requested_limit = spent  # the mark that most witnesses hold, and that they were told
        self.low_water = -1  # below this room the holder looks
        self.reduced = self.closing = False
        self.acks: dict[ProcessId, int] = {}
        self.granted_at_ms = now
        self.sent_limit, self.sent_at_ms = spent, -NEVER  # the mark last said to witnesses, and when

    @property
    def awaits_witnesses(self) -> bool:
        """For witnesses."""
        return self.requested_limit > self.open_limit and not self.closing

    @property
    def used(self) -> int:
        return self.spent + self.reserved

    @property
    def unreserved(self) -> int:
        """May be reserved once it is open."""
        return 0 if self.closing else self.ceiling - self.spent - self.reserved

    def acknowledge(self, witness: ProcessId, limit: int) -> bool:
        """Whether more of it is open now."""
        if witness not in self.witnesses or limit <= self.acks.get(witness, 0):
            return False
        self.acks[witness] = limit
        acknowledged = sorted(self.acks.values(), reverse=True)
        # Never above what was told here: a witness can't open what its holder did not ask for.
        limit = min(acknowledged[self.quorum - 1], self.requested_limit) if len(acknowledged) >= self.quorum else 0
        if limit <= self.open_limit:
            return False
        self.open_limit = limit
        self.update_available()
        return True

    def update_available(self) -> None:
        self.available = 0 if self.closing else max(0, min(self.open_limit, self.ceiling) - self.spent - self.reserved)

    def reduce(self, retain: int) -> int:
        """All but `keep` of what is free is given up for good. Returns what of `keep` is kept."""
        retained = min(retain, self.unreserved)
        self.ceiling = self.used + retained
        self.reduced = True
        self.closing = self.closing or not retained
        self.update_available()
        return retained


class TenantAccount:
    """A tenant's, here."""

    __slots__ = (
        "tenant",
        "allocations",
        "current",
        "reserved_units",
        "rejected_units",
        "last_reserved_at_ms",
        "last_rejected_at_ms",
        "needed",
        "shortage_known",
        "paused",
        "pause_logged",
        "ramp_limit",
        "demand_per_ms",
        "reserved_per_ms",
        "rates_base",
        "rates_updated_at_ms",
        "advanced_units",
        "advance_reserved",
        "advance_proposed",
        "advance_serial",
        "restricted_span_ms",
        "restricted_until_ms",
    )

    def __init__(self, tenant: str, now: float) -> None:
        self.tenant = tenant
        self.allocations: dict[int, LocalAllocation] = {}
        self.current: LocalAllocation | None = None
        self.reserved_units = self.rejected_units = 0  # reserved, and turned away, ever
        self.last_reserved_at_ms = self.last_rejected_at_ms = -NEVER  # when
        self.needed = 0  # the dearest call turned away since there was room
        self.shortage_known = False  # the holder knows of it
        self.paused = self.pause_logged = False
        self.ramp_limit = 0  # the largest slice to ask for after a pause; 0: any
        self.restricted_span_ms, self.restricted_until_ms = (
            0.0,
            -NEVER,
        )  # how long slices may last, while there is little left
        self.demand_per_ms = self.reserved_per_ms = 0.0  # units a ms wanted lately, and reserved
        self.rates_base, self.rates_updated_at_ms = (0, 0), now
        self.advanced_units = self.advance_reserved = 0  # of the advance: served and not told yet, reserved
        self.advance_proposed = 0  # of `lent`, on its way to the log
        self.advance_serial = 0

    @property
    def unreserved(self) -> int:
        return sum(allocation.unreserved for allocation in self.allocations.values())

    @property
    def available(self) -> int:
        return sum(allocation.available for allocation in self.allocations.values())

    def update_rates(self, now: float, span_ms: float) -> None:
        """Rates over what has passed since: of the whole `span_ms` what is old counts little. A rise counts at once
        for a half, or who begins would be turned away until the average has seen it."""
        elapsed_ms = now - self.rates_updated_at_ms
        if elapsed_ms <= 0:
            return
        units, rejected = self.reserved_units - self.rates_base[0], self.rejected_units - self.rates_base[1]
        weight = min(1.0, 2 * elapsed_ms / span_ms)
        demand = (units + rejected) / elapsed_ms
        self.demand_per_ms += (demand - self.demand_per_ms) * (
            max(weight, 0.5) if demand > self.demand_per_ms else weight
        )
        self.reserved_per_ms += (units / elapsed_ms - self.reserved_per_ms) * weight
        self.rates_base, self.rates_updated_at_ms = (self.reserved_units, self.rejected_units), now


class Spender:
    """See api.Purse. `until`, the slices and their marks are the part's to change; the host calls the rest."""

    def __init__(self, tuning: Tuning, ledger: Ledger) -> None:
        self._tuning, self._ledger = tuning, ledger
        self._cost_by_class, self._other_cost = dict(tuning.cost), tuning.other_cost
        self._tenants = frozenset(tuning.tenants)
        self._max_reservations = tuning.most_reserved
        self.lease_expires_at_ms = -NEVER
        self.open_reservations = 0  # reservations
        self.accounts: dict[str, TenantAccount] = {}
        self.changed_tenants: set[str] = set()  # tenants to look at
        self.counts = {"turned": 0, "coming": 0, "advanced": 0}

    def has_wallet(self, tenant: str) -> bool:
        return tenant in self._tenants or "*" in self._tenants

    def has_changes(self) -> bool:
        return bool(self.changed_tenants)

    def reserve(
        self, now: float, tenant: str, request_class: str, already_charged: bool = False
    ) -> Reservation | Rejected:
        cost = self._cost_by_class.get(request_class, self._other_cost)
        if already_charged or not cost:
            return Reservation(tenant, 0)
        account = self.accounts.get(tenant)
        if account is not None and now < self.lease_expires_at_ms:
            allocation = account.current
            if (
                allocation is not None
                and allocation.available >= cost
                and self.open_reservations < self._max_reservations
            ):
                allocation.available -= cost
                allocation.reserved += cost
                account.reserved_units += cost
                account.last_reserved_at_ms = now
                self.open_reservations += 1
                if allocation.available < allocation.low_water:
                    self.changed_tenants.add(tenant)
                return Reservation(tenant, cost, ((allocation.serial, cost),))
        return self._reserve(now, tenant, account, cost)

    def charge(self, now: float, reservation: Reservation) -> None:
        tenant, cost, allocations = reservation
        if not cost:
            return
        self.open_reservations -= 1
        account = self.accounts.get(tenant)
        if account is None:
            return
        for serial, units in allocations:
            allocation = account.allocations.get(serial)
            if allocation is not None:
                allocation.reserved -= units
                allocation.spent += units
                if allocation.spent >= allocation.ceiling:
                    self.changed_tenants.add(tenant)
            elif serial == ADVANCE_SERIAL:
                account.advance_reserved -= units
                account.advanced_units += units
                self.changed_tenants.add(tenant)

    def release(self, now: float, reservation: Reservation) -> None:
        tenant, cost, allocations = reservation
        if not cost:
            return
        self.open_reservations -= 1
        account = self.accounts.get(tenant)
        if account is None:
            return
        for serial, units in allocations:
            allocation = account.allocations.get(serial)
            if allocation is not None:
                allocation.reserved -= units
                if allocation.closing:
                    allocation.ceiling -= units
                    if allocation.spent >= allocation.ceiling:
                        self.changed_tenants.add(tenant)
                else:
                    allocation.update_available()
                    if account.current is None or account.current.available < allocation.available:
                        account.current = allocation
            elif serial == ADVANCE_SERIAL:
                account.advance_reserved -= units

    def _reserve(self, now: float, tenant: str, account: TenantAccount | None, cost: int) -> Reservation | Rejected:
        """What the first slice alone does not answer."""
        tuning = self._tuning
        if not self.has_wallet(tenant):
            return Reservation(tenant, 0)
        if account is None:
            if len(self.accounts) >= tuning.most_tenants:
                self.counts["turned"] += 1
                return Rejected(tuning.retry_after_ms)
            account = self.accounts[tenant] = TenantAccount(tenant, now)
        leased = now < self.lease_expires_at_ms
        if self.open_reservations < self._max_reservations:
            if leased:
                reserved = self._reserve_across(account, cost)
                if reserved:
                    account.reserved_units += cost
                    account.last_reserved_at_ms = now
                    self.open_reservations += 1
                    self.changed_tenants.add(tenant)
                    return Reservation(tenant, cost, reserved)
            elif (
                tuning.without_lease == "advance"
                and tenant in self._ledger.wallets
                and account.advanced_units + account.advance_reserved + cost <= tuning.advance
            ):
                account.advance_reserved += cost
                account.last_reserved_at_ms = now
                self.open_reservations += 1
                self.counts["advanced"] += cost
                return Reservation(tenant, cost, ((ADVANCE_SERIAL, cost),))
        account.rejected_units += cost
        account.last_rejected_at_ms = now
        account.needed = max(account.needed, cost)
        if not account.shortage_known:
            account.shortage_known = True
            self.changed_tenants.add(tenant)
        wallet = self._ledger.wallets.get(tenant)
        unallocated = max(0, wallet.unallocated) if wallet is not None else 0
        if leased and account.unreserved + unallocated >= cost:
            self.counts["coming"] += 1
            return Rejected(tuning.record_ms, True)
        account.paused = True
        self.counts["turned"] += 1
        return Rejected(tuning.retry_after_ms)

    def _reserve_across(self, account: TenantAccount, cost: int) -> tuple[tuple[int, int], ...]:
        """Of several slices, the oldest first; nothing is taken if all of them are not enough."""
        if account.available < cost:
            return ()
        reserved: list[tuple[int, int]] = []
        for allocation in account.allocations.values():
            units = min(allocation.available, cost)
            if units:
                allocation.available -= units
                allocation.reserved += units
                cost -= units
                reserved.append((allocation.serial, units))
            if allocation.available:
                account.current = allocation
                break
        return tuple(reserved)

    # The part's

    def add_allocation(self, now: float, tenant: str, allocation: LocalAllocation) -> TenantAccount:
        account = self.accounts.get(tenant)
        if account is None:
            account = self.accounts[tenant] = TenantAccount(tenant, now)
        account.allocations[allocation.serial] = allocation
        self.changed_tenants.add(tenant)
        return account

    def remove_allocation(self, tenant: str, serial: int) -> None:
        account = self.accounts.get(tenant)
        if account is not None and (allocation := account.allocations.pop(serial, None)) is not None:
            if account.current is allocation:
                self.select_current(account)
            self.changed_tenants.add(tenant)

    def select_current(self, account: TenantAccount) -> None:
        """`first` is the oldest slice with room."""
        account.current = next(
            (allocation for allocation in account.allocations.values() if allocation.available), None
        )

    def status(self) -> Mapping[str, Any]:
        """Units by tenant: reserved and not ended yet, free under slices held, open for the next calls."""
        return {
            "open": self.open_reservations,
            "counts": dict(self.counts),
            "tenants": {
                account.tenant: {
                    "slices": len(account.allocations),
                    "free": account.unreserved,
                    "room": account.available,
                    "reserved": sum(allocation.reserved for allocation in account.allocations.values()),
                    "advanced": account.advanced_units,
                    "paused": account.paused,
                }
                for account in self.accounts.values()
            },
        }
