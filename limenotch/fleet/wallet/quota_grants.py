"""The leader's side: grants leases and allocations, recalls allocations, and expires those of lost holders.

| tenant | what the leader does |
| --- | --- |
| allocations requested, credit left | Grants: what is requested, at most left / (2 x requesting holders) |
| shortage: less left than requested | Recalls to other holders, each halves the ms to retain; rarer without effect |
| allocations of a holder without a lease | queries their witnesses, then proposes Expire |

- A lease request is answered only after the log has confirmed the leadership (ReadIndex), so no lease follows another
  leader's Expire.
- While a holder's Expire is in flight the holder gets no lease; granting a lease ends the query of its witnesses.
- A holder gets at most one allocation for each request that it sent with knowledge of all its earlier allocations.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from ..interfaces import Carrier, SendToMember
from ..leases import NEVER
from . import entries, messages
from .lease import SpendLeaseGranter
from .ledger import Ledger, ProcessId, Wallet
from .spend_witness import MAX_QUERIED_ALLOCATIONS, WitnessInquiry
from .tuning import Tuning

UNREACHABLE_STATES = frozenset({"dead", "left"})
MAX_ALLOCATIONS_PER_HOLDER = 8  # of one tenant at one holder, not yet settled
Propose = Callable[[tuple[entries.Entry, ...], str], int]


class AllocationDemand(NamedTuple):
    """The last allocation request of a holder for one tenant."""

    newest_serial: int  # serial of the newest allocation that the holder knows of
    amount: int
    min_amount: int  # 0: no request was rejected
    usage: int  # units that the holder uses in `slice_ms`
    expires_at_ms: float


class Shortage:
    """A tenant of which more is requested than is unallocated: each holder may retain what it uses in `retain_ms`."""

    __slots__ = (
        "retain_ms",
        "interval_ms",
        "next_recall_at_ms",
        "next_check_at_ms",
        "spent",
        "credit",
        "usage_by_holder",
        "last_request_at_ms",
        "never_recalled",
    )

    def __init__(self, now: float, tuning: Tuning, wallet: Wallet) -> None:
        self.retain_ms, self.interval_ms = tuning.slice_ms / 2, tuning.record_ms / 2
        self.next_recall_at_ms = self.next_check_at_ms = self.last_request_at_ms = (
            now  # of the next recall, the next check, the last allocation request
        )
        self.spent, self.credit = wallet.spent, wallet.credit
        self.never_recalled = True  # no recall was sent yet
        # units that each holder used in `slice_ms`, by its last request
        self.usage_by_holder: dict[ProcessId, int] = {}


class AllocationGranter:
    """Active only on the leader, between `begin` and `end`."""

    def __init__(
        self, name: str, process_epoch: int, ledger: Ledger, tuning: Tuning, voters: tuple[str, ...], propose: Propose
    ) -> None:
        self._own_id: ProcessId = (name, process_epoch)
        self._ledger, self._tuning, self._propose = ledger, tuning, propose
        self.voters = voters
        self.members: dict[str, str] = {}
        self.leases = SpendLeaseGranter(tuning)
        self.actions: list[Any] = []
        self.term = 0
        self.is_leader = False
        self._demands: dict[str, dict[ProcessId, AllocationDemand]] = {}  # in the order of arrival
        self._changed_tenants: set[str] = set()
        self._shortages: dict[str, Shortage] = {}
        self._recalls: dict[ProcessId, list[tuple[str, float]]] = {}
        self._serials: dict[str, int] = {}  # of the last Grant proposed
        self._in_flight: dict[int, dict[str, int]] = {}  # by ticket of a proposal of Grants: units by tenant
        self._grant_tickets: dict[tuple[str, ProcessId], int] = {}  # ticket of the proposed Grant
        self._expiring: dict[int, ProcessId] = {}  # by ticket
        self._inquiries: dict[ProcessId, WitnessInquiry] = {}
        self._last_query_number = 0
        self._next_inquiry_at_ms = NEVER

    def begin(self, now: float, term: int) -> None:
        """This process has become leader of `term`."""
        self.end()
        self.is_leader, self.term = True, term
        self.leases.begin(now)
        self._next_inquiry_at_ms = now + self._tuning.max_lease_ms

    def end(self) -> None:
        """This process no longer leads: everything learned as leader is dropped."""
        self.is_leader = False
        self.leases.end()
        for table in (
            self._demands,
            self._shortages,
            self._serials,
            self._in_flight,
            self._grant_tickets,
            self._expiring,
            self._inquiries,
            self._recalls,
            self._changed_tenants,
        ):
            table.clear()
        self._next_inquiry_at_ms = NEVER

    # Leases

    def grant_lease(self, now: float, name: str, request: messages.LeaseRequest) -> messages.LeaseGrant | None:
        """Grants a lease. The log must have confirmed this process's leadership since the request came."""
        holder = (name, request.process_epoch)
        if holder in self._expiring.values():
            return None
        if holder not in self.leases.expiries:
            self._changed_tenants.update(self._demands)  # it may have requested allocations before it had a lease
        if not self.leases.grant(now, holder):
            return None
        self._inquiries.pop(holder, None)
        return messages.LeaseGrant(request.process_epoch, request.serial, self._tuning.lease_ms, self._ledger.index)

    # Allocation requests

    def requests_received(self, now: float, name: str, request: messages.AllocationRequest) -> None:
        """Records a holder's allocation requests; invalid items are ignored."""
        if not self.is_leader:
            return
        holder, expires_at_ms = (name, request.process_epoch), now + self._tuning.lease_ms
        for tenant, newest_serial, amount, min_amount, usage in request.requests:
            if tenant not in self._ledger.wallets or amount <= 0 or min_amount < 0 or usage < 0:
                continue
            demands = self._demands.setdefault(tenant, {})
            if holder in demands or len(demands) < self._tuning.most_holders:
                demands[holder] = AllocationDemand(newest_serial, amount, min(min_amount, amount), usage, expires_at_ms)
                self._changed_tenants.add(tenant)

    def ledger_changed(self, tenant: str) -> None:
        """The ledger has changed for that tenant."""
        if tenant in self._demands:
            self._changed_tenants.add(tenant)

    def proposal_ended(self, ticket: int, committed: bool) -> None:
        """A proposal was committed or rejected.

        What was rejected is not proposed again at once, or a log that rejects everything would get proposals without
        end: the holder will repeat its request.
        """
        in_flight = self._in_flight.pop(ticket, {})
        self._grant_tickets = {key: proposed for key, proposed in self._grant_tickets.items() if proposed != ticket}
        self._expiring.pop(ticket, None)
        if committed:
            self._changed_tenants.update(tenant for tenant in in_flight if tenant in self._demands)

    def proposal_outcome_unknown(self, ticket: int) -> None:
        """It may still be committed, in this term alone: a holder whose Expire it is gets no lease of this leader."""
        if ticket not in self._expiring:
            self.proposal_ended(ticket, False)

    def tick(self, now: float) -> None:
        """Proposes grants, sends recalls and queries that are due."""
        if not self.is_leader:
            return
        for tenant, shortage in self._shortages.items():
            if now >= shortage.next_check_at_ms:
                self._changed_tenants.add(tenant)
        if self._changed_tenants:
            self._propose_grants(now)
        for (name, process_epoch), recalls in self._recalls.items():
            for start in range(0, len(recalls), messages.MAX_ITEMS):
                batch = tuple(recalls[start : start + messages.MAX_ITEMS])
                self.actions.append(
                    SendToMember(
                        name,
                        messages.Recall(process_epoch, batch),
                        messages.choose_carrier([recall[0] for recall in batch]),
                    )
                )
        self._recalls.clear()
        if now >= self._next_inquiry_at_ms:
            self._query_witnesses(now)

    def next_due_ms(self) -> float:
        """When `tick` has to be called next."""
        if not self.is_leader:
            return NEVER
        return min(
            self._next_inquiry_at_ms,
            min((shortage.next_check_at_ms for shortage in self._shortages.values()), default=NEVER),
        )

    def choose_witnesses(self, now: float) -> tuple[ProcessId, ...]:
        """The voters with a lease, under their current process epochs; none if they are no majority of the voters."""
        process_epochs = self.leases.process_epochs(now)
        process_epochs[self._own_id[0]] = self._own_id[1]
        reachable = tuple((name, process_epochs[name]) for name in self.voters if name in process_epochs)
        return reachable if 2 * len(reachable) > len(self.voters) else ()

    def _propose_grants(self, now: float) -> None:
        witnesses = self.choose_witnesses(now)
        if not witnesses:  # voters will request leases soon
            for shortage in self._shortages.values():
                shortage.next_check_at_ms = max(shortage.next_check_at_ms, now + shortage.interval_ms)
            return
        changed_tenants, self._changed_tenants = self._changed_tenants, set()
        grants: list[entries.Entry] = []
        for tenant in sorted(changed_tenants):
            wallet = self._ledger.wallets.get(tenant)
            if wallet is None:
                continue
            if len(grants) + len(self._demands.get(tenant, ())) > entries.MAX_ENTRIES and grants:
                self._changed_tenants.add(tenant)
                continue
            grants += self._allocate(now, tenant, wallet, witnesses)
        for start in range(0, len(grants), entries.MAX_ENTRIES):
            batch = tuple(grants[start : start + entries.MAX_ENTRIES])
            in_flight: dict[str, int] = {}
            ticket = self._propose(batch, "grant")
            for grant in batch:
                assert isinstance(grant, entries.Grant)
                in_flight[grant.tenant] = in_flight.get(grant.tenant, 0) + grant.amount
                self._grant_tickets[grant.tenant, (grant.name, grant.process_epoch)] = ticket
            self._in_flight[ticket] = in_flight

    def _allocate(
        self, now: float, tenant: str, wallet: Wallet, witnesses: tuple[ProcessId, ...]
    ) -> list[entries.Grant]:
        """Grants from what one wallet has unallocated, and recalls if that is too little."""
        demands = self._demands.get(tenant, {})
        held_serials: dict[ProcessId, list[int]] = {}
        for allocation in wallet.allocations.values():
            held_serials.setdefault(allocation.holder, []).append(allocation.serial)
        for holder, demand in list(demands.items()):
            if now >= demand.expires_at_ms or max(held_serials.get(holder, (0,))) > demand.newest_serial:
                del demands[holder]  # it got an allocation since it sent the request, and will send another
        grantable = wallet.unallocated - sum(units.get(tenant, 0) for units in self._in_flight.values())
        grants: list[entries.Grant] = []
        # Allocations that are not settled yet hold the credit that is requested: granting more would not help.
        eligible = [
            (holder, demand)
            for holder, demand in demands.items()
            if (tenant, holder) not in self._grant_tickets
            and len(held_serials.get(holder, ())) < MAX_ALLOCATIONS_PER_HOLDER
            and now < self.leases.expiries.get(holder, -NEVER)
        ]
        shortage = self._update_shortage(now, tenant, wallet, eligible, grantable)
        is_unmet, half = False, grantable // (2 * max(1, len(eligible)))
        for holder, demand in eligible:
            if shortage is None:
                share = max(demand.min_amount, half)
            else:
                share = max(demand.min_amount, int(demand.usage * shortage.retain_ms / self._tuning.slice_ms), 1)
            # In a shortage half is kept back, for holders that use little and would otherwise have none until the next
            # recall.
            limit = grantable if shortage is None else min(grantable, max(demand.min_amount, (grantable + 1) // 2))
            amount = min(demand.amount, share, limit)
            is_unmet = is_unmet or amount < min(demand.amount, share)
            if amount <= 0:
                break
            serial = self._serials[tenant] = max(wallet.serial, self._serials.get(tenant, 0)) + 1
            grants.append(entries.Grant(tenant, *holder, serial, amount, witnesses, self.term))
            del demands[holder]
            grantable -= amount
        if shortage is not None and now >= shortage.next_recall_at_ms:
            if (is_unmet or shortage.never_recalled) and held_serials.keys() - {holder for holder, _ in eligible[:1]}:
                self._queue_recalls(
                    now,
                    tenant,
                    wallet,
                    shortage,
                    [*held_serials, *(holder for holder in demands if holder not in held_serials)],
                )
            else:
                shortage.next_check_at_ms = now + shortage.interval_ms
        if not demands:
            self._demands.pop(tenant, None)
        return grants

    def _update_shortage(
        self,
        now: float,
        tenant: str,
        wallet: Wallet,
        eligible: list[tuple[ProcessId, AllocationDemand]],
        grantable: int,
    ) -> Shortage | None:
        """The tenant's shortage, if any. It begins when less is unallocated than two allocations for each requesting
        holder. It ends when credit is added, when as much is unallocated for all that have requested since, or when
        nobody requests.
        """
        shortage = self._shortages.get(tenant)
        if shortage is None:
            if not eligible or 2 * sum(demand.usage for _, demand in eligible) <= grantable:
                return None
            shortage = self._shortages[tenant] = Shortage(now, self._tuning, wallet)
        for holder, demand in eligible:
            shortage.usage_by_holder[holder], shortage.last_request_at_ms = demand.usage, now
        overdue = now >= shortage.last_request_at_ms + 2 * self._tuning.idle_ms
        if overdue or wallet.credit != shortage.credit or grantable > 2 * sum(shortage.usage_by_holder.values()):
            del self._shortages[tenant]
            return None
        return shortage

    def _queue_recalls(
        self, now: float, tenant: str, wallet: Wallet, shortage: Shortage, holders: list[ProcessId]
    ) -> None:
        tuning = self._tuning
        if wallet.spent != shortage.spent:
            shortage.spent, shortage.interval_ms = wallet.spent, tuning.record_ms / 2
        if not shortage.never_recalled:
            shortage.retain_ms = max(shortage.retain_ms / 2, tuning.record_ms / 4)
        shortage.never_recalled = False
        for holder in holders:
            self._recalls.setdefault(holder, []).append((tenant, shortage.retain_ms))
        shortage.next_recall_at_ms = shortage.next_check_at_ms = now + shortage.interval_ms
        shortage.interval_ms = min(2 * shortage.interval_ms, max(tuning.idle_ms, tuning.record_ms / 2))

    # Lost holders: without a lease

    def _is_witness_lost(self, now: float, inquiry: WitnessInquiry, witness: ProcessId) -> bool:
        """Whether that witness can no longer answer: its name has another process epoch, or it has been considered dead
        for long enough by a leader that itself reaches most voters.
        """
        name, process_epoch = witness
        if witness == self._own_id or now < self.leases.expiries.get(witness, -NEVER):
            return False
        if name == self._own_id[0] or self.leases.process_epochs(now).get(name, process_epoch) != process_epoch:
            return True
        overdue = now >= inquiry.since_ms + self._tuning.max_lease_ms
        return overdue and self.members.get(name) in UNREACHABLE_STATES and bool(self.choose_witnesses(now))

    def _query_witnesses(self, now: float) -> None:
        """Queries, and queries again, the witnesses of holders that certainly can't spend."""
        tuning = self._tuning
        self._next_inquiry_at_ms = now + tuning.lease_ms / 6
        for holder in [holder for holder in self._inquiries if holder not in self._ledger.allocations_by_holder]:
            del self._inquiries[holder]
        for holder, allocations in self._ledger.allocations_by_holder.items():
            if holder in self._expiring.values() or not self.leases.is_certainly_expired(now, holder):
                continue
            inquiry = self._inquiries.get(holder)
            if inquiry is None:
                self._last_query_number += 1
                queried = {
                    key: allocation
                    for key in sorted(allocations)[:MAX_QUERIED_ALLOCATIONS]
                    if (allocation := self._ledger.slice(key[0], *holder, key[1])) is not None
                }
                inquiry = self._inquiries[holder] = WitnessInquiry(self._last_query_number, holder, queried, now)
            elif now < inquiry.queried_at_ms + tuning.lease_ms / 3:
                self._propose_expiries(now, inquiry)
                continue
            inquiry.queried_at_ms = now
            for name, process_epoch in sorted(inquiry.unanswered()):
                if not self._is_witness_lost(now, inquiry, (name, process_epoch)):
                    self._send_query(name, inquiry)
            self._propose_expiries(now, inquiry)

    def _send_query(self, name: str, inquiry: WitnessInquiry) -> None:
        self.actions.append(
            SendToMember(
                name,
                messages.WitnessQuery(inquiry.number, self._own_id[1], *inquiry.holder, inquiry.keys),
                Carrier.STREAM,
            )
        )

    def reply_received(self, now: float, name: str, reply: messages.WitnessReply) -> None:
        """Records a witness's answer to the current query of a holder."""
        inquiry = next((inquiry for inquiry in self._inquiries.values() if inquiry.number == reply.number), None)
        if (
            not self.is_leader
            or reply.asker_epoch != self._own_id[1]
            or inquiry is None
            or len(reply.limits) != len(inquiry.allocations)
        ):
            return
        inquiry.add_reply((name, reply.process_epoch), dict(zip(inquiry.keys, reply.limits, strict=True)))
        self._propose_expiries(now, inquiry)

    def _propose_expiries(self, now: float, inquiry: WitnessInquiry) -> None:
        expiries = inquiry.expire_entries(self.term, lambda witness: self._is_witness_lost(now, inquiry, witness))
        if expiries and self.leases.is_certainly_expired(now, inquiry.holder):
            del self._inquiries[inquiry.holder]
            self._expiring[self._propose(tuple(expiries), "expire")] = inquiry.holder
