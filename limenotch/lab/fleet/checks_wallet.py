"""Checks a history of spending, independently of the wallet's own code: it knows requests, operators and replicated
states.

The checker is notified, in the order of simulated time, of operators' requests and their responses, of each
reservation and its end at every sidecar, and of each member's replicated state after each entry. It raises
AssertionError at the first of:

1. More is charged and reserved at all sidecars, crashed ones included, than the highest credit in any replicated state.
2. A replicated state in which credit is not spent + unallocated + allocated, an amount is negative, or credit or spent
   has decreased.
3. Two members with different states after the same entry.
4. More credit than the requested ids add up to; at the end, credit that was confirmed and is missing.
5. More reserved from an allocation than the replicated states leave it, before or after it was settled or expired.
6. At the end: a charged request that is missing in `spent`; or `spent` above what was reserved, beyond the bound of
   each allocation.

With an advance, sidecars may exceed the credit by `advance` for each process that ever ran.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import ceil
from typing import NamedTuple

AllocationKey = tuple[str, str, int, int]  # tenant, name, process epoch, serial


class AgreedAllocation(NamedTuple):
    """An allocation in a replicated state."""

    ceiling: int  # how much of it may be spent at all
    spent: int
    witnesses: tuple[tuple[str, int], ...] = ()  # names and process epochs


class Claim(NamedTuple):
    """What a log entry states about an allocation."""

    spent: int
    expired: bool  # by the leader, not by its holder


class AgreedWallet(NamedTuple):
    """One tenant's wallet in a replicated state."""

    credit: int
    spent: int
    unallocated: int
    allocations: Mapping[tuple[str, int, int], AgreedAllocation]  # by name, process epoch, serial

    @property
    def allocated(self) -> int:
        """Units allocated to holders and not settled as spent."""
        return sum(allocation.ceiling - allocation.spent for allocation in self.allocations.values())


@dataclass
class TrackedAllocation:
    """What the states alone show of an allocation."""

    amount: int  # as granted
    ceiling: int  # how much may be reserved of it; once closed, what counts as spent
    spent: int = 0  # its share of the wallet's `spent`
    taken: int = 0  # reserved and charged
    peak_taken: int = 0  # highest `taken` so far: units released since may count as spent
    closed: bool = False
    overcounted: int = 0  # at its closing: `spent` minus `taken`, the units that count as spent and were not taken
    max_overcounted: int = 0  # highest allowed `overcounted`: 0 if its holder settled the allocation
    witnesses: tuple[tuple[str, int], ...] = ()


@dataclass
class TenantTotals:
    """One tenant's totals over all sidecars and their process epochs."""

    requested_credits: dict[str, int] = field(default_factory=dict)  # requested by operators: id, amount
    confirmed_ids: set[str] = field(default_factory=set)  # answered done or counted
    charged: int = 0
    reserved: int = 0
    advanced: int = 0  # units of `charged` and `reserved` that come from the advance, not from an allocation
    max_credit: int = 0  # the highest in any replicated state
    served: list[tuple[float, str]] = field(default_factory=list)
    rejections: list[tuple[float, str, int]] = field(default_factory=list)  # time, name, units taken by then
    pending_rejections: int = 0  # rejections after which the client may retry at once


class Checker:
    """Owns the history; see the module. Times are in ms."""

    def __init__(self, step: float, advance: int = 0, min_step: int = 1) -> None:
        """`step`: the share of an allocation that may wrongly count as spent after a crash, at least `min_step`."""
        self.step, self.advance, self.min_step = step, advance, min_step
        self.totals: dict[str, TenantTotals] = defaultdict(TenantTotals)
        self.allocations: dict[AllocationKey, TrackedAllocation] = {}
        self.process_epochs: dict[str, int] = {}  # the latest of each name
        self.ended_processes: set[tuple[str, int]] = set()
        self.unreachable: set[str] = set()  # paused or partitioned, now or a moment ago
        self.last_index = 0
        self.state_digests: dict[int, int] = {}  # digest by index
        self.latest_state: dict[str, AgreedWallet] = {}
        # times at which nothing was unallocated any more
        self.emptied_at_ms: dict[str, list[float]] = defaultdict(list)
        self._open_requests: set[tuple[str, int, int]] = set()  # name, process epoch, number of the request

    # Sidecars

    def started(self, name: str, process_epoch: int) -> None:
        """A process of that name has started; all earlier ones have ended."""
        for previous in range(self.process_epochs.get(name, process_epoch), process_epoch):
            self.ended_processes.add((name, previous))
        self.process_epochs[name] = process_epoch

    def died(self, name: str) -> None:
        """The current process of that name has ended."""
        if name in self.process_epochs:
            self.ended_processes.add((name, self.process_epochs[name]))

    # Operators

    def credit_requested(self, tenant: str, credit_id: str, amount: int) -> None:
        """An id counts for the amount that it was first requested with."""
        self.totals[tenant].requested_credits.setdefault(credit_id, amount)

    def responded(self, tenant: str, credit_id: str, outcome: str) -> None:
        """An operator's request was answered."""
        if outcome in ("done", "counted"):
            self.totals[tenant].confirmed_ids.add(credit_id)
            self._require(
                credit_id in self.totals[tenant].requested_credits,
                f"{tenant}: {credit_id} is answered {outcome} but was never requested",
            )

    # Requests

    def reserved(
        self,
        at_ms: float,
        name: str,
        process_epoch: int,
        number: int,
        tenant: str,
        allocations: Iterable[tuple[int, int]],
    ) -> None:
        """`allocations`: serial and units; serial 0 is the advance."""
        totals, context = self.totals[tenant], f"{at_ms:.1f}: {name}.{process_epoch} {tenant}"
        self._require((name, process_epoch) not in self.ended_processes, f"{context}: reserves after its process ended")
        self._open_requests.add((name, process_epoch, number))
        for serial, units in allocations:
            self._require(units > 0, f"{context}: reserves {units}")
            totals.reserved += units
            if not serial:
                totals.advanced += units
                continue
            tracked = self.allocations.get((tenant, name, process_epoch, serial))
            self._require(
                tracked is not None, f"{context}: reserves from allocation {serial}, which is in no replicated state"
            )
            assert tracked is not None
            tracked.taken += units
            tracked.peak_taken = max(tracked.peak_taken, tracked.taken)
            self._require(
                tracked.taken <= tracked.ceiling,
                f"{context}: allocation {serial} has {tracked.ceiling}{' and is closed' * tracked.closed},"
                f" {tracked.taken} are taken",
            )
        total = totals.charged + totals.reserved
        limit = totals.max_credit + self.advance * max(1, len(self.ended_processes) + len(self.process_epochs))
        self._require(
            total <= limit,
            f"{context}: overspent: {total} charged and reserved, "
            f"{totals.max_credit} credited, {totals.advanced} in advance",
        )
        if sum(units for _, units in allocations):
            totals.served.append((at_ms, name))

    def charged(
        self, name: str, process_epoch: int, number: int, tenant: str, allocations: Iterable[tuple[int, int]]
    ) -> None:
        """A request was served: its reservation counts as charged."""
        self._request_ended(name, process_epoch, number)
        for _, units in allocations:
            self.totals[tenant].reserved -= units
            self.totals[tenant].charged += units

    def released(
        self, name: str, process_epoch: int, number: int, tenant: str, allocations: Iterable[tuple[int, int]]
    ) -> None:
        """A request was not served: its reservation is released."""
        self._request_ended(name, process_epoch, number)
        for serial, units in allocations:
            self.totals[tenant].reserved -= units
            if serial:
                self.allocations[(tenant, name, process_epoch, serial)].taken -= units
            else:
                self.totals[tenant].advanced -= units

    def rejected(self, at_ms: float, name: str, tenant: str, pending: bool = False) -> None:
        """A request was rejected. `pending`: the client may retry at once, as some credit is not allocated here yet."""
        totals = self.totals[tenant]
        if pending:
            totals.pending_rejections += 1
        else:
            totals.rejections.append((at_ms, name, totals.charged + totals.reserved))

    def _request_ended(self, name: str, process_epoch: int, number: int) -> None:
        self._require(
            (name, process_epoch, number) in self._open_requests, f"{name}.{process_epoch}: request {number} ends twice"
        )
        self._open_requests.discard((name, process_epoch, number))

    # Replicated states

    def state_applied(
        self,
        at_ms: float,
        name: str,
        index: int,
        state: Mapping[str, AgreedWallet],
        claims: Mapping[AllocationKey, Claim] | None = None,
    ) -> None:
        """Records the complete state of `name` right after entry `index`.

        `claims`: what the entry states about allocations. Where several end with one entry the states show only the sum
        of what was spent; the sum is checked against the states. Without a claim an allocation counts as settled by its
        holder.
        """
        digest = hash(
            tuple(
                (tenant, wallet.credit, wallet.spent, wallet.unallocated, frozenset(wallet.allocations.items()))
                for tenant, wallet in sorted(state.items())
            )
        )
        if index <= self.last_index:
            known = self.state_digests.get(index)
            self._require(
                known is None or known == digest, f"{at_ms:.1f}: {name} differs from other members after entry {index}"
            )
            return
        self.last_index, self.state_digests[index] = index, digest
        for tenant, wallet in state.items():
            previous = self.latest_state.get(tenant)
            if wallet != previous:
                self._check_wallet(
                    f"{at_ms:.1f}: {name}, entry {index}, {tenant}", at_ms, tenant, previous, wallet, claims or {}
                )
        missing_wallets = self.latest_state.keys() - state.keys()
        self._require(
            not missing_wallets, f"{at_ms:.1f}: {name}, entry {index}: missing wallets: {sorted(missing_wallets)}"
        )
        self.latest_state = dict(state)

    def _check_wallet(
        self,
        where: str,
        at_ms: float,
        tenant: str,
        previous: AgreedWallet | None,
        wallet: AgreedWallet,
        claims: Mapping[AllocationKey, Claim],
    ) -> None:
        previous = previous or AgreedWallet(0, 0, 0, {})
        totals = self.totals[tenant]
        self._require(
            wallet.credit == wallet.spent + wallet.unallocated + wallet.allocated,
            f"{where}: credit {wallet.credit} is not spent {wallet.spent} "
            f"+ unallocated {wallet.unallocated} + allocated {wallet.allocated}",
        )
        negative = [
            key for key, allocation in wallet.allocations.items() if not 0 <= allocation.spent <= allocation.ceiling
        ]
        self._require(
            not negative and (wallet.unallocated >= 0 or self.advance > 0),
            f"{where}: below 0: unallocated {wallet.unallocated}, allocations {negative}",
        )
        self._require(
            wallet.credit >= previous.credit, f"{where}: credit decreased from {previous.credit} to {wallet.credit}"
        )
        self._require(
            wallet.spent >= previous.spent, f"{where}: spent decreased from {previous.spent} to {wallet.spent}"
        )
        requested = sum(totals.requested_credits.values())
        self._require(
            wallet.credit <= requested, f"{where}: credit {wallet.credit}, all requested ids add up to {requested}"
        )
        totals.max_credit = max(totals.max_credit, wallet.credit)
        self._check_allocations(where, tenant, previous, wallet, claims)
        if wallet.unallocated <= 0 < previous.unallocated:
            self.emptied_at_ms[tenant].append(at_ms)

    def _check_allocations(
        self,
        where: str,
        tenant: str,
        previous: AgreedWallet,
        wallet: AgreedWallet,
        claims: Mapping[AllocationKey, Claim],
    ) -> None:
        unexplained = wallet.spent - previous.spent
        for local_key, agreed in wallet.allocations.items():
            key = (tenant, *local_key)
            if local_key not in previous.allocations:
                self._require(key not in self.allocations, f"{where}: allocation {local_key} is granted again")
                self.allocations[key] = TrackedAllocation(agreed.ceiling, agreed.ceiling, witnesses=agreed.witnesses)
            tracked = self.allocations[key]
            self._require(
                agreed.ceiling <= tracked.ceiling and agreed.spent >= tracked.spent,
                f"{where}: allocation {local_key} grew from {tracked.spent} of {tracked.ceiling} "
                f"to {agreed.spent} of {agreed.ceiling}",
            )
            unexplained -= agreed.spent - tracked.spent
            tracked.ceiling, tracked.spent = agreed.ceiling, agreed.spent
            self._require(
                tracked.taken <= tracked.ceiling,
                f"{where}: allocation {local_key} has {tracked.ceiling} now, {tracked.taken} are taken",
            )
        ended_keys = [local_key for local_key in previous.allocations if local_key not in wallet.allocations]
        for local_key in ended_keys:
            key = (tenant, *local_key)
            tracked = self.allocations[key]
            claim = claims.get(key, Claim(tracked.spent + unexplained, False))
            newly_spent = min(tracked.ceiling, max(tracked.spent, claim.spent)) - tracked.spent
            unexplained -= newly_spent
            tracked.spent += newly_spent
            tracked.ceiling, tracked.closed, tracked.overcounted = tracked.spent, True, tracked.spent - tracked.taken
            tracked.max_overcounted = self._max_overcounted(tracked) if claim.expired else 0
            self._require(
                tracked.overcounted >= 0,
                f"{where}: allocation {local_key} is closed with {tracked.spent} spent, {tracked.taken} are taken",
            )
        self._require(
            unexplained == 0 or unexplained > 0 and self.advance > 0,
            f"{where}: spent is {unexplained} more than its allocations account for",
        )

    def _max_overcounted(self, tracked: TrackedAllocation) -> int:
        """The whole amount, unless most witnesses are present; then one step and the units released since the peak."""
        present = sum(not self._is_gone(name, process_epoch) for name, process_epoch in tracked.witnesses)
        step = max(self.min_step, ceil(self.step * tracked.amount))
        return (
            tracked.amount
            if 2 * present <= len(tracked.witnesses)
            else min(tracked.amount, step + tracked.peak_taken - tracked.taken)
        )

    def _is_gone(self, name: str, process_epoch: int) -> bool:
        return (
            (name, process_epoch) in self.ended_processes
            or self.process_epochs.get(name, process_epoch) != process_epoch
            or name in self.unreachable
        )

    # The end

    def check_final_state(self) -> None:
        """The last check, after a quiet phase in which all requests ended and each allocation was settled or
        expired.
        """
        for tenant, totals in self.totals.items():
            wallet = self.latest_state.get(tenant, AgreedWallet(0, 0, 0, {}))
            confirmed = sum(totals.requested_credits[credit_id] for credit_id in totals.confirmed_ids)
            self._require(
                wallet.credit >= confirmed, f"{tenant}: credit lost: {wallet.credit}, confirmed were {confirmed}"
            )
            taken = totals.charged + totals.reserved
            unrecorded = totals.advanced if self.advance else 0
            self._require(
                wallet.spent + unrecorded >= taken, f"{tenant}: {taken} were taken, {wallet.spent} count as spent"
            )
            self._require(not wallet.allocations, f"{tenant}: allocations remain: {dict(wallet.allocations)}")
        for key, tracked in self.allocations.items():
            self._require(
                tracked.overcounted <= tracked.max_overcounted,
                f"{key}: {tracked.overcounted} of {tracked.amount} wrongly count as spent, "
                f"at most {tracked.max_overcounted} may",
            )

    def paused_ms(self, tenant: str, since_ms: float) -> float:
        """From the first rejection after nothing was unallocated to the last reservation at any sidecar."""
        emptied_ms = min((at_ms for at_ms in self.emptied_at_ms[tenant] if at_ms >= since_ms), default=float("inf"))
        start_ms = min(
            (at_ms for at_ms, _, _ in self.totals[tenant].rejections if at_ms >= emptied_ms), default=float("inf")
        )
        return max([0.0, *(at_ms - start_ms for at_ms, _ in self.totals[tenant].served if at_ms > start_ms)])

    def resumed_ms(self, tenant: str, since_ms: float, names: Iterable[str]) -> float:
        """From `since_ms`, when the credit was confirmed, until each of `names` has had a reservation."""
        firsts: dict[str, float] = {}
        for at_ms, name in self.totals[tenant].served:
            if at_ms >= since_ms:
                firsts.setdefault(name, at_ms)
        return max(firsts.get(name, float("inf")) for name in names) - since_ms

    @staticmethod
    def _require(condition: bool, error: str) -> None:
        if not condition:
            raise AssertionError(error)
