"""The holder's side: raises spend limits, requests allocations, settles them, records advances, and follows recalls.

| what | when | where to |
| --- | --- | --- |
| spend limit | less than half a step is available | the witnesses, each `record_ms` until acknowledged |
| allocation request | less than half an allocation is unreserved; a rejection | the leader, again with each lease |
| settlement, closing | used up, idle, recalled, fenced, shutdown | the log, all tenants in one entry, one at a time |
| settlement | something was spent | the same, once in the span of a lease |
| advance | the log is available again | the log, with one serial until it is committed |
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from math import ceil
from typing import Any

from ..interfaces import LogLine, SendToMember
from ..leases import NEVER
from . import entries, messages
from .allocations import LocalAllocation, Spender, TenantAccount
from .ledger import Allocation, Ledger, ProcessId
from .spend_witness import SpendWitness
from .tuning import Tuning

Propose = Callable[[tuple[entries.Entry, ...], str], int]


class AllocationHolder:
    """Manages the allocations of this process."""

    def __init__(
        self,
        holder: ProcessId,
        ledger: Ledger,
        spender: Spender,
        spend_witness: SpendWitness,
        tuning: Tuning,
        propose: Propose,
    ) -> None:
        self._own_id, self._ledger, self._spender, self._spend_witness = holder, ledger, spender, spend_witness
        self._tuning, self._propose = tuning, propose
        self.actions: list[Any] = []
        self.shutting_down = False
        self._settling = False  # a settlement entry is in flight
        self._settle_at_ms = -NEVER
        self._regular_settle_at_ms = -NEVER
        self._may_settle = False  # there may be something to settle
        self._has_leader = False  # a leader is known
        self._scan_at_ms = NEVER
        self._resend_at_ms = NEVER  # to send unacknowledged limits again
        self._unacknowledged: set[str] = set()  # tenants with unacknowledged limits
        self._requests: dict[str, tuple[int, int, int, int]] = {}
        self._has_new_request = False  # an allocation request that was not yet sent to the leader

    # Events of the ledger

    def allocation_granted(self, now: float, tenant: str, serial: int, recorded: Allocation) -> None:
        """A Grant for this process was applied."""
        account = self._spender.add_allocation(
            now, tenant, LocalAllocation(serial, recorded.ceiling, recorded.spent, recorded.witnesses, now)
        )
        account.ramp_limit *= 2
        account.shortage_known = False
        self._requests.pop(tenant, None)
        self.actions.append(LogLine(f"holds {tenant} {recorded.unspent}", {"serial": serial}))
        if self.shutting_down:
            account.allocations[serial].reduce(0)

    def credit_added(self, tenant: str) -> None:
        """Credit was added: a tenant whose requests were rejected requests an allocation at once."""
        account = self._spender.accounts.get(tenant)
        if account is not None:
            account.shortage_known, account.restricted_until_ms = False, -NEVER
            self._spender.changed_tenants.add(tenant)
            self._has_new_request = True  # a leader that knew no such wallet has not recorded the request

    def lease_granted(self, now: float) -> None:
        """The lease was granted or extended."""
        self._spender.changed_tenants.update(
            account.tenant for account in self._spender.accounts.values() if account.paused or account.advanced_units
        )

    def allocation_ended(self, tenant: str, serial: int) -> None:
        """An allocation of this process has ended in the ledger."""
        self._spender.remove_allocation(tenant, serial)

    def advance_recorded(self, tenant: str, amount: int) -> None:
        """An Advance of this process was applied."""
        account = self._spender.accounts.get(tenant)
        if account is not None and account.advance_proposed:
            account.advanced_units -= amount
            account.owed_units += amount
            account.advance_proposed = 0

    def wallet_changed(self, tenant: str) -> None:
        """The tenant's wallet was changed by an entry or replaced: credit may have covered this process's advances.

        Which advances it covers is not recorded. So each process takes as much of the debt as it may have caused: the
        sum over all processes is never less than the debt.
        """
        account = self._spender.accounts.get(tenant)
        if account is not None and account.owed_units:
            account.owed_units = min(account.owed_units, self._ledger.wallets[tenant].debt)

    def ledger_replaced(self, now: float) -> None:
        """The ledger was replaced: some allocations may have ended or been granted in between."""
        for account in self._spender.accounts.values():
            for serial in list(account.allocations):
                if self._ledger.slice(account.tenant, *self._own_id, serial) is None:
                    self._spender.remove_allocation(account.tenant, serial)
            if (
                account.advance_proposed
                and self._ledger.last_advance_serial(account.tenant, self._own_id) >= account.advance_serial
            ):
                self.advance_recorded(account.tenant, account.advance_proposed)
            self.wallet_changed(account.tenant)
            if account.paused:
                self.credit_added(account.tenant)  # credit may have been added
        for tenant, serial in sorted(self._ledger.allocations_by_holder.get(self._own_id, ())):
            allocation = self._ledger.slice(tenant, *self._own_id, serial)
            known = self._spender.accounts.get(tenant)
            if allocation is not None and (known is None or serial not in known.allocations):
                self.allocation_granted(now, tenant, serial, allocation)

    def settlement_ended(self) -> None:
        """The settlement entry in flight was committed, rejected, or its outcome is unknown."""
        self._settling = False
        # What was not committed is proposed again at `_settle_at_ms`: a log that rejects would otherwise get proposals
        # without end.
        self._may_settle = True

    # Messages

    def limits_acknowledged(self, witness: ProcessId, limits: Iterable[tuple[str, int, int]]) -> None:
        """A witness has recorded spend limits."""
        for tenant, serial, limit in limits:
            account = self._spender.accounts.get(tenant)
            allocation = account.allocations.get(serial) if account is not None else None
            if account is not None and allocation is not None and allocation.acknowledge(witness, limit):
                account.shortage_known = False
                if account.current is None or not account.current.available:
                    self._spender.select_current(account)
                self._spender.changed_tenants.add(tenant)

    def recalls_received(self, now: float, recalls: Iterable[tuple[str, float]]) -> None:
        """The leader asks to return what is not used within some ms."""
        for tenant, retain_ms in recalls:
            account = self._spender.accounts.get(tenant)
            if account is not None and retain_ms >= 0:
                self._update_rates(now, account)
                account.restricted_span_ms = min(retain_ms, self._tuning.slice_ms)
                account.restricted_until_ms = now + self._tuning.lease_ms
                self._reduce(account, int(account.reserved_per_ms * account.restricted_span_ms + 0.5))
                self._settle_at_ms = min(self._settle_at_ms, now)
                # what was spent shows the leader whether its recalls have an effect
                self._regular_settle_at_ms = -NEVER

    def reduce_all(self) -> None:
        """After a fence or at shutdown: gives up all that is unreserved."""
        for account in self._spender.accounts.values():
            self._reduce(account, 0)
        self._settle_at_ms = -NEVER

    def _reduce(self, account: TenantAccount, retain: int) -> None:
        """The oldest allocations retain first; one that was reduced before is not reduced below what it retains."""
        for allocation in account.allocations.values():
            retain -= allocation.reduce(retain)
        self._spender.select_current(account)
        self._spender.changed_tenants.add(account.tenant)

    # Timers

    def tick(self, now: float, has_leader: bool) -> None:
        """`has_leader`: there is a leader to send to."""
        spender = self._spender
        self._has_leader = has_leader
        if now >= self._scan_at_ms:
            self._scan_accounts(now)
        changed_tenants, spender.changed_tenants = spender.changed_tenants, set()
        for tenant in sorted(changed_tenants):
            if (account := spender.accounts.get(tenant)) is not None:
                self._review(now, account)
        if changed_tenants:
            self._scan_at_ms = min(self._scan_at_ms, now + self._tuning.idle_ms / 4)
            self._may_settle = True
        if now >= self._resend_at_ms:
            self._resend_at_ms = NEVER
            self._unacknowledged = {
                tenant
                for tenant in self._unacknowledged
                if (account := spender.accounts.get(tenant)) is not None
                and any(allocation.awaits_witnesses for allocation in account.allocations.values())
            }
            changed_tenants |= self._unacknowledged
        self._send_limits(now, changed_tenants)
        self._propose_settlements(now)

    def next_due_ms(self) -> float:
        """When `tick` has to be called next."""
        due_at_ms = min(self._scan_at_ms, self._resend_at_ms)
        return (
            min(due_at_ms, self._settle_at_ms)
            if self._may_settle and not self._settling and self._has_leader
            else due_at_ms
        )

    def _scan_accounts(self, now: float) -> None:
        """Reviews all accounts, four times in `idle_ms`: rates, idle allocations, accounts to forget."""
        spender, tuning = self._spender, self._tuning
        for account in list(spender.accounts.values()):
            self._update_rates(now, account)
            last_request_at_ms = max(account.last_reserved_at_ms, account.last_rejected_at_ms)
            for allocation in account.allocations.values():
                if (
                    not allocation.closing
                    and now - max(account.last_reserved_at_ms, allocation.granted_at_ms) >= tuning.idle_ms
                ):
                    allocation.reduce(0)
                    self._spender.select_current(account)
            account.shortage_known = False
            if now - account.last_rejected_at_ms >= tuning.idle_ms + tuning.retry_after_ms:
                account.needed = 0  # the rejected clients do not retry any more
            if (
                not account.allocations
                and not account.advance_used
                and now - last_request_at_ms >= tuning.idle_ms + tuning.retry_after_ms
            ):
                del spender.accounts[account.tenant]
                self._requests.pop(account.tenant, None)
            elif account.allocations or account.needed or account.advanced_units:
                spender.changed_tenants.add(account.tenant)
        self._scan_at_ms = now + tuning.idle_ms / 4 if spender.accounts else NEVER

    def _update_rates(self, now: float, account: TenantAccount) -> None:
        if now - account.rates_updated_at_ms >= self._tuning.record_ms / 4:
            account.update_rates(now, self._tuning.slice_ms)

    def _review(self, now: float, account: TenantAccount) -> None:
        """Decides what this tenant needs here (a higher spend limit, an allocation) and when to review it next."""
        tuning = self._tuning
        self._update_rates(now, account)
        if account.paused and not account.pause_logged:
            account.pause_logged = True
            account.ramp_limit = max(1, tuning.least_slice // 2)  # doubled with each allocation
            reason = "nothing left" if self._spender.lease_expires_at_ms > now else "no lease"
            self.actions.append(LogLine(f"pauses {account.tenant}", {"why": reason}))
        available = account.available
        if available and available >= account.needed:
            account.needed = 0
            account.shortage_known = False
            if account.paused and self._spender.lease_expires_at_ms > now:
                account.paused = account.pause_logged = False
                self.actions.append(LogLine(f"resumes {account.tenant}"))
        usage = ceil(account.demand_per_ms * tuning.slice_ms)
        target = max(usage, tuning.least_slice)
        if now < account.restricted_until_ms:  # the wallet is nearly empty
            target = min(target, max(1, ceil(account.demand_per_ms * account.restricted_span_ms)))
        if account.ramp_limit >= max(usage, tuning.least_slice):
            account.ramp_limit = 0
        elif account.ramp_limit:
            target = min(target, account.ramp_limit)
        target = max(target, account.needed)
        unreserved = account.unreserved
        missing = max(0, account.needed - available)
        for allocation in account.allocations.values():
            if (
                not allocation.closing
                and allocation.open_limit < allocation.ceiling
                and allocation.requested_limit == allocation.open_limit
            ):
                step = tuning.step_of(allocation.size, account.needed)
                if 2 * allocation.available < step or missing:
                    allocation.requested_limit = max(
                        allocation.open_limit, min(allocation.ceiling, allocation.used + max(step, missing))
                    )
                    missing -= max(0, allocation.requested_limit - allocation.open_limit)
        is_active = (
            now - max(account.last_reserved_at_ms, account.last_rejected_at_ms) < tuning.idle_ms or account.needed
        )
        if is_active and not self.shutting_down and (2 * unreserved <= target or unreserved < account.needed):
            newest_serial = max(account.allocations, default=0)
            previous = self._requests.get(account.tenant)
            request = (newest_serial, target, account.needed, usage)
            self._requests[account.tenant] = request
            self._has_new_request = (
                self._has_new_request or previous is None or previous[0] != newest_serial or request[2] > previous[2]
            )
        else:
            self._requests.pop(account.tenant, None)
        for allocation in account.allocations.values():
            if allocation.requested_limit > allocation.open_limit or allocation.closing:
                allocation.low_water = -1
            elif allocation.open_limit < allocation.ceiling:
                allocation.low_water = ceil(tuning.step_of(allocation.size) / 2)
            else:
                allocation.low_water = (
                    -1 if account.tenant in self._requests else target // 2 + 1 - (unreserved - allocation.unreserved)
                )

    def _send_limits(self, now: float, tenants: set[str]) -> None:
        """Sends each witness the limits that it has not acknowledged: a new one at once, an old one each
        `record_ms`.
        """
        limits: dict[ProcessId, list[tuple[str, int, int]]] = {}
        for tenant in sorted(tenants):
            account = self._spender.accounts.get(tenant)
            for allocation in list(account.allocations.values()) if account is not None else ():
                if not allocation.awaits_witnesses or (
                    allocation.sent_limit == allocation.requested_limit
                    and now < allocation.sent_at_ms + self._tuning.record_ms
                ):
                    continue
                allocation.sent_limit, allocation.sent_at_ms = allocation.requested_limit, now
                if self._own_id in allocation.witnesses and self._spend_witness.record_limit(
                    tenant, self._own_id, allocation.serial, allocation.requested_limit
                ):
                    self.limits_acknowledged(self._own_id, ((tenant, allocation.serial, allocation.requested_limit),))
                for witness in allocation.witnesses if allocation.awaits_witnesses else ():
                    if witness != self._own_id and allocation.requested_limit > allocation.acks.get(witness, 0):
                        limits.setdefault(witness, []).append((tenant, allocation.serial, allocation.requested_limit))
                        self._unacknowledged.add(tenant)
        for (name, _), items in limits.items():
            for start in range(0, len(items), messages.MAX_ITEMS):
                batch = tuple(items[start : start + messages.MAX_ITEMS])
                self.actions.append(
                    SendToMember(
                        name,
                        messages.SpendLimitRequest(self._own_id[1], batch),
                        messages.choose_carrier([limit[0] for limit in batch]),
                    )
                )
        if self._unacknowledged and self._resend_at_ms == NEVER:
            self._resend_at_ms = now + self._tuning.record_ms

    def pending_requests(self, again: bool) -> list[messages.AllocationRequest]:
        """Messages for the leader: all requests if `again`, else only if there is a new one."""
        if not self._requests or not (again or self._has_new_request):
            return []
        self._has_new_request = False
        items = [(tenant, *request) for tenant, request in self._requests.items()]
        return [
            messages.AllocationRequest(self._own_id[1], tuple(items[start : start + messages.MAX_ITEMS]))
            for start in range(0, len(items), messages.MAX_ITEMS)
        ]

    # The log

    def _propose_settlements(self, now: float) -> None:
        if not self._may_settle or self._settling or not self._has_leader or now < self._settle_at_ms:
            return
        self._may_settle = False
        proposed: list[entries.Entry] = []
        own_keys = self._ledger.allocations_by_holder.get(self._own_id, set())
        is_regular = now >= self._regular_settle_at_ms
        for tenant, serial in sorted(own_keys):
            recorded = self._ledger.slice(tenant, *self._own_id, serial)
            account = self._spender.accounts.get(tenant)
            allocation = account.allocations.get(serial) if account is not None else None
            if (
                recorded is not None
                and allocation is not None
                and self._needs_settling(recorded, allocation, is_regular)
            ):
                proposed.append(
                    entries.Settle(
                        tenant,
                        *self._own_id,
                        serial,
                        allocation.spent,
                        allocation.reduced or allocation.spent == allocation.ceiling,
                        allocation.ceiling - allocation.spent,
                    )
                )
        for account in self._spender.accounts.values():
            if account.advanced_units and self._spender.lease_expires_at_ms > now:
                if not account.advance_proposed:
                    account.advance_proposed = account.advanced_units
                    account.advance_serial = self._ledger.last_advance_serial(account.tenant, self._own_id) + 1
                proposed.append(
                    entries.Advance(account.tenant, *self._own_id, account.advance_serial, account.advance_proposed)
                )
        if is_regular:
            self._regular_settle_at_ms = now + self._tuning.lease_ms
        if proposed:
            self._settling = True
            self._settle_at_ms = now + self._tuning.record_ms
            self._propose(tuple(proposed[: entries.MAX_ENTRIES]), "settle")
        else:
            self._settle_at_ms = min(self._settle_at_ms, now)

    def _needs_settling(self, recorded: Allocation, allocation: LocalAllocation, is_regular: bool) -> bool:
        return (
            allocation.ceiling < recorded.ceiling
            or (allocation.spent == allocation.ceiling)
            or (is_regular and allocation.spent > recorded.spent)
        )
