"""What one sidecar may spend without a round trip: its allocations, up to their spend limits, while its lease is valid.

    spent + reserved + available <= min(open_limit, ceiling)   of each allocation; `available`: for the next requests

The path of each request compares the clock with `lease_expires_at_ms` and looks at one allocation. All other work is
left to quota_holder.py, which `has_changes()` calls for. The clock is the component's, read by the host for each
request: a process that was suspended finds its lease expired before it admits a request.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ..leases import NEVER
from .api import Rejected, Reservation
from .ledger import Ledger, ProcessId
from .tuning import Tuning

ADVANCE_SERIAL = 0  # serial in reservations that were made on the advance, without a lease


class LocalAllocation:
    """An allocation of this process. All amounts are units of credit."""

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
        # the spend limit that most witnesses have acknowledged, and the one requested
        self.open_limit = self.requested_limit = spent
        self.low_water = -1  # the holder reviews the account when `available` falls below it
        self.reduced = self.closing = False
        self.acks: dict[ProcessId, int] = {}
        self.granted_at_ms = now
        self.sent_limit, self.sent_at_ms = spent, -NEVER  # the limit sent to witnesses last, and when

    @property
    def awaits_witnesses(self) -> bool:
        """Whether a higher spend limit is requested and not yet acknowledged by most witnesses."""
        return self.requested_limit > self.open_limit and not self.closing

    @property
    def used(self) -> int:
        """Units charged or reserved."""
        return self.spent + self.reserved

    @property
    def unreserved(self) -> int:
        """Units that may still be reserved, once the spend limit is raised to the ceiling."""
        return 0 if self.closing else self.ceiling - self.spent - self.reserved

    def acknowledge(self, witness: ProcessId, limit: int) -> bool:
        """Records a witness's acknowledgement; returns whether the spend limit rose."""
        if witness not in self.witnesses or limit <= self.acks.get(witness, 0):
            return False
        self.acks[witness] = limit
        acknowledged = sorted(self.acks.values(), reverse=True)
        # Never above what was requested here: a witness can't allow more than the holder asked for.
        limit = min(acknowledged[self.quorum - 1], self.requested_limit) if len(acknowledged) >= self.quorum else 0
        if limit <= self.open_limit:
            return False
        self.open_limit = limit
        self.update_available()
        return True

    def update_available(self) -> None:
        """Recomputes `available` after a change of limits or reservations."""
        self.available = 0 if self.closing else max(0, min(self.open_limit, self.ceiling) - self.spent - self.reserved)

    def reduce(self, retain: int) -> int:
        """Permanently gives up all unreserved units but `retain`; returns how many of `retain` are retained."""
        retained = min(retain, self.unreserved)
        self.ceiling = self.used + retained
        self.reduced = True
        self.closing = self.closing or not retained
        self.update_available()
        return retained


class TenantAccount:
    """The local state of a tenant's account."""

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
        "owed_units",
        "restricted_span_ms",
        "restricted_until_ms",
    )

    def __init__(self, tenant: str, now: float) -> None:
        self.tenant = tenant
        self.allocations: dict[int, LocalAllocation] = {}
        self.current: LocalAllocation | None = None
        self.reserved_units = self.rejected_units = 0  # units reserved and units rejected since the account was created
        self.last_reserved_at_ms = self.last_rejected_at_ms = -NEVER  # times of the last reservation and rejection
        self.needed = 0  # cost of the most expensive request rejected since units were last available
        self.shortage_known = False  # the holder has already been notified of the shortage
        self.paused = self.pause_logged = False
        self.ramp_limit = 0  # the largest allocation to request after a pause; 0: no limit
        self.restricted_span_ms, self.restricted_until_ms = (
            0.0,
            -NEVER,
        )  # how long allocations may last while the wallet is nearly empty, and until when that applies
        # units per ms: requested recently (reserved or rejected), and reserved
        self.demand_per_ms = self.reserved_per_ms = 0.0
        self.rates_base, self.rates_updated_at_ms = (0, 0), now
        # units of the advance: served and not yet in the ledger; reserved
        self.advanced_units = self.advance_reserved = 0
        self.advance_proposed = 0  # of `advanced_units`: proposed to the log and not yet committed
        self.advance_serial = 0
        self.owed_units = 0  # of this process's advances: in the ledger, and not known to be covered by credit

    @property
    def unreserved(self) -> int:
        """Sum over the allocations; see LocalAllocation."""
        return sum(allocation.unreserved for allocation in self.allocations.values())

    @property
    def available(self) -> int:
        """Sum over the allocations."""
        return sum(allocation.available for allocation in self.allocations.values())

    @property
    def advance_used(self) -> int:
        """Units of the advance that are served or reserved and not covered by credit."""
        return self.owed_units + self.advanced_units + self.advance_reserved

    def update_rates(self, now: float, span_ms: float) -> None:
        """Updates the moving averages with what has happened since the last update; old data fades over `span_ms`.

        A rise counts with a weight of at least one half: otherwise requests of a tenant that has just started would be
        rejected until the average had caught up.
        """
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
    """Charges requests; see api.Spender.

    The lease's expiry, the allocations and their limits are changed by the component alone; the host calls the rest.
    """

    def __init__(self, tuning: Tuning, ledger: Ledger) -> None:
        self._tuning, self._ledger = tuning, ledger
        self._cost_by_class, self._other_cost = dict(tuning.cost), tuning.other_cost
        self._tenants = frozenset(tuning.tenants)
        self._max_reservations = tuning.most_reserved
        self.lease_expires_at_ms = -NEVER
        self.open_reservations = 0  # reservations that are neither charged nor released
        self.accounts: dict[str, TenantAccount] = {}
        self.changed_tenants: set[str] = set()  # tenants that the holder has to review
        self.counts = {"turned": 0, "coming": 0, "advanced": 0}

    def has_wallet(self, tenant: str) -> bool:
        """Whether the settings have a wallet for the tenant."""
        return tenant in self._tenants or "*" in self._tenants

    def has_changes(self) -> bool:
        """Whether the holder has accounts to review; the host then sends `DemandChanged`."""
        return bool(self.changed_tenants)

    def reserve(
        self, now: float, tenant: str, request_class: str, already_charged: bool = False
    ) -> Reservation | Rejected:
        """See api.Spender."""
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
        """See api.Spender."""
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
        """See api.Spender."""
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
        """The slow path: anything that the current allocation alone can't decide."""
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
                and account.advance_used + cost <= tuning.advance
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
        """Reserves from several allocations, the oldest first; reserves nothing if their sum is below `cost`."""
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

    # For the component alone

    def add_allocation(self, now: float, tenant: str, allocation: LocalAllocation) -> TenantAccount:
        """Adds a granted allocation and returns its account, which is created if needed."""
        account = self.accounts.get(tenant)
        if account is None:
            account = self.accounts[tenant] = TenantAccount(tenant, now)
        account.allocations[allocation.serial] = allocation
        self.changed_tenants.add(tenant)
        return account

    def remove_allocation(self, tenant: str, serial: int) -> None:
        """Removes an allocation that has ended in the ledger."""
        account = self.accounts.get(tenant)
        if account is not None and (allocation := account.allocations.pop(serial, None)) is not None:
            if account.current is allocation:
                self.select_current(account)
            self.changed_tenants.add(tenant)

    def select_current(self, account: TenantAccount) -> None:
        """Makes the oldest allocation with available units the current one."""
        account.current = next(
            (allocation for allocation in account.allocations.values() if allocation.available), None
        )

    def status(self) -> Mapping[str, Any]:
        """For `GET /fleet`, units by tenant: reserved by requests in flight, unreserved, available to the next
        requests.
        """
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
