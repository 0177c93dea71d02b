"""The leader's side: who may spend, who wants what, how much each gets, who is asked to give back, who is gone.

| tenant | what |
| --- | --- |
| wanted, credit left | Grants: what each wants, at most left / (2 x those who want), smaller towards the end |
| short: less left than wanted | Recalls to its other holders, the ms to keep halved each time; without progress rarer |
| of a holder without a lease | a question to its slices' witnesses, then Expire |

- A lease is answered only after the log has said that it leads yet (ReadAt), so none is after another leader's Expire.
- While a holder's Expire is on its way it gets no lease; a lease that is granted ends the question.
- Whoever wants gets at most one slice for each time it has said so, knowing of all it had before.
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
MAX_ALLOCATIONS_PER_HOLDER = 8  # of one tenant at one holder, not settled yet
Propose = Callable[[tuple[entries.Entry, ...], str], int]


class AllocationDemand(NamedTuple):
    newest_serial: int  # the newest slice that its holder knows of
    amount: int
    min_amount: int  # 0: nobody was turned away
    usage: int  # what it uses in `slice_ms`
    expires_at_ms: float


class Shortage:
    """A tenant of which more is wanted than is left: whoever holds or wants of it has enough for `keep_ms` alone."""

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
            now  # of the next recall; of the next look; when there was a want last
        )
        self.spent, self.credit = wallet.spent, wallet.credit
        self.never_recalled = True  # nobody was told
        self.usage_by_holder: dict[ProcessId, int] = {}  # what each used in `slice_ms`, when it wanted last


class AllocationGranter:
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
        self._demands: dict[str, dict[ProcessId, AllocationDemand]] = {}  # those who came first, first
        self._changed_tenants: set[str] = set()
        self._shortages: dict[str, Shortage] = {}
        self._recalls: dict[ProcessId, list[tuple[str, float]]] = {}
        self._serials: dict[str, int] = {}  # proposed last
        self._in_flight: dict[int, dict[str, int]] = {}  # ticket of a Grant: units by tenant
        self._grant_tickets: dict[tuple[str, ProcessId], int] = {}  # the ticket
        self._expiring: dict[int, ProcessId] = {}  # by ticket
        self._inquiries: dict[ProcessId, WitnessInquiry] = {}
        self._last_query_number = 0
        self._next_inquiry_at_ms = NEVER

    def begin(self, now: float, term: int) -> None:
        self.end()
        self.is_leader, self.term = True, term
        self.leases.begin(now)
        self._next_inquiry_at_ms = now + self._tuning.max_lease_ms

    def end(self) -> None:
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
        """The log has said since the ask that this process leads."""
        holder = (name, request.process_epoch)
        if holder in self._expiring.values():
            return None
        if holder not in self.leases.expiries:
            self._changed_tenants.update(self._demands)  # it may have wanted before it had a lease
        if not self.leases.grant(now, holder):
            return None
        self._inquiries.pop(holder, None)
        return messages.LeaseGrant(request.process_epoch, request.serial, self._tuning.lease_ms, self._ledger.index)

    # Wants

    def requests_received(self, now: float, name: str, request: messages.AllocationRequest) -> None:
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
        """The book, of that wallet."""
        if tenant in self._demands:
            self._changed_tenants.add(tenant)

    def proposal_ended(self, ticket: int, committed: bool) -> None:
        """What was proposed is agreed, or refused. What was refused is not proposed again at once, or a log that
        refuses would be asked without end: whoever wants says so again."""
        in_flight = self._in_flight.pop(ticket, {})
        self._grant_tickets = {key: proposed for key, proposed in self._grant_tickets.items() if proposed != ticket}
        self._expiring.pop(ticket, None)
        if committed:
            self._changed_tenants.update(tenant for tenant in in_flight if tenant in self._demands)

    def proposal_outcome_unknown(self, ticket: int) -> None:
        """It may be agreed yet, in this epoch alone: a holder whose Expire it is gets no lease of this leader."""
        if ticket not in self._expiring:
            self.proposal_ended(ticket, False)

    def tick(self, now: float) -> None:
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
        if not self.is_leader:
            return NEVER
        return min(
            self._next_inquiry_at_ms,
            min((shortage.next_check_at_ms for shortage in self._shortages.values()), default=NEVER),
        )

    def choose_witnesses(self, now: float) -> tuple[ProcessId, ...]:
        """The voters that have asked for a lease lately, as they live now; none if those are not most of the voters."""
        process_epochs = self.leases.process_epochs(now)
        process_epochs[self._own_id[0]] = self._own_id[1]
        reachable = tuple((name, process_epochs[name]) for name in self.voters if name in process_epochs)
        return reachable if 2 * len(reachable) > len(self.voters) else ()

    def _propose_grants(self, now: float) -> None:
        witnesses = self.choose_witnesses(now)
        if not witnesses:  # they ask for leases soon
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
        """Grants of what is left of one wallet, and a recall if that is too little."""
        demands = self._demands.get(tenant, {})
        held_serials: dict[ProcessId, list[int]] = {}
        for allocation in wallet.allocations.values():
            held_serials.setdefault(allocation.holder, []).append(allocation.serial)
        for holder, demand in list(demands.items()):
            if now >= demand.expires_at_ms or max(held_serials.get(holder, (0,))) > demand.newest_serial:
                del demands[holder]  # it got one since it said so, and will say so again
        grantable = wallet.unallocated - sum(units.get(tenant, 0) for units in self._in_flight.values())
        grants: list[entries.Grant] = []
        # Slices that are still to be settled hold the credit that is wanted: more of them would bring nothing.
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
            # Of what is short half stays, for those who use little and would else run dry until the next recall.
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
        """It is short from when less is left than two slices for each who wants, until there is credit, or so much is
        left for all who have wanted since."""
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

    # Holders that are gone

    def _is_witness_lost(self, now: float, inquiry: WitnessInquiry, witness: ProcessId) -> bool:
        """Whether that witness can't tell any more: another life is under its name, or it is held dead, for long
        enough, by one that is itself in reach of most voters."""
        name, process_epoch = witness
        if witness == self._own_id or now < self.leases.expiries.get(witness, -NEVER):
            return False
        if name == self._own_id[0] or self.leases.process_epochs(now).get(name, process_epoch) != process_epoch:
            return True
        overdue = now >= inquiry.since_ms + self._tuning.max_lease_ms
        return overdue and self.members.get(name) in UNREACHABLE_STATES and bool(self.choose_witnesses(now))

    def _query_witnesses(self, now: float) -> None:
        """Asks, and asks again, for slices of holders that surely don't spend."""
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
