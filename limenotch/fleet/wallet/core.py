"""The wallet component: applies the log's entries to the ledger, spends this sidecar's allocations, serves as a witness
for other holders, and grants allocations while it leads.

| state of a holder | requests of a tenant with a wallet | what ends the state |
| --- | --- | --- |
| no lease | rejected, or served up to `advance` units, by the settings | a lease, and its granter's entries applied |
| leased, units available | reserved at once | the lease expires, a fence, an allocation ends |
| leased, no units, credit unallocated | rejected briefly: an allocation is requested | allocation and spend limit |
| leased, no credit | rejected: the tenant is paused | new credit, or units that other holders return |

Rules
- A unit is reserved only from an allocation of this process, below a limit acknowledged by most witnesses, under a
  lease.
- A lease counts from when it was requested, and only after all entries that its granter had applied are applied here.
- An allocation ends when its holder settles it, or when its holder can no longer spend and its witnesses were queried.
- What reduces an allocation (a recall, a fence, a shutdown) takes effect in the event that brings it, permanently; it
  is settled afterwards.
- `process_epoch` identifies the process: limits and allocations end with it. After a fence, membership knows a member
  under another incarnation, so the leader takes a voter's process epoch from that voter's lease requests.

Source: docs/fleet/wallet-design.md. Messages: messages.py. Entries: entries.py.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from .. import interfaces
from ..consensus import api as log
from ..interfaces import Carrier, LogLine, MessageReceived, SendToMember, SetTimer
from ..leases import NEVER
from . import entries, messages
from .allocations import Spender
from .api import DemandChanged, OperatorRequest, VotersChanged
from .lease import SpendLease
from .ledger import Applied, Ledger
from .operator_requests import OperatorRequestHandler
from .quota_grants import AllocationGranter
from .quota_holder import AllocationHolder
from .spend_witness import SpendWitness
from .tuning import Tuning

OWN_ADDRESS = ("", 0)  # sender address of messages that this process sends to itself


class Wallet:
    """The component; see the module.

    `state`: the wallet's share of the log's snapshot found at start, if any. Raises msgspec.DecodeError if it is
    invalid.
    """

    def __init__(
        self,
        name: str,
        process_epoch: int,
        tuning: Tuning | None = None,
        voters: tuple[str, ...] = (),
        state: bytes | None = None,
    ) -> None:
        self.name, self.process_epoch, self.tuning = name, process_epoch, tuning or Tuning()
        self.ledger = Ledger()
        if state is not None:
            self.ledger.install(state)
        self.spender = Spender(self.tuning, self.ledger)
        self.lease = SpendLease(self.tuning)
        self.spend_witness = SpendWitness(self.ledger, self.tuning.most_tenants)
        self.counts: dict[str, int] = {}
        self.leader: str | None = None
        self.term = 0
        own_id = (name, process_epoch)
        self.allocation_holder = AllocationHolder(
            own_id, self.ledger, self.spender, self.spend_witness, self.tuning, self._propose
        )
        self.granter = AllocationGranter(name, process_epoch, self.ledger, self.tuning, tuple(voters), self._propose)
        self.operator_requests = OperatorRequestHandler(self.ledger, self.tuning, self._next_ticket)
        self._actions: list[Any] = []
        self._now = -NEVER
        self._timer_at_ms = NEVER
        self._request_lease_at_ms = NEVER
        self._ticket = 0
        self._proposal_kinds: dict[int, str] = {}  # what each proposal is for: settle, grant, expire
        self._lease_requests: dict[
            tuple[str, int], messages.LeaseRequest
        ] = {}  # not yet confirmed by a read of the log
        # by ticket: term, and the lease requests received before the read
        self._pending_reads: dict[int, tuple[int, dict[tuple[str, int], messages.LeaseRequest]]] = {}
        self._event_handlers: dict[type, Callable[[Any], None]] = {
            interfaces.Started: lambda event: None,
            interfaces.MessageReceived: self._message_received,
            interfaces.TimerFired: self._timer_fired,
            interfaces.ShutdownStarted: lambda event: self._shutdown_started(),
            interfaces.MemberChanged: self._member_changed,
            interfaces.Fenced: lambda event: self._fenced(),
            DemandChanged: lambda event: None,
            OperatorRequest: lambda event: self.operator_requests.submit(self._now, event),
            VotersChanged: lambda event: setattr(self.granter, "voters", event.names),
            log.EntryCommitted: self._entry_committed,
            log.SnapshotInstalled: self._snapshot_installed,
            log.LeaderChanged: self._leader_changed,
            log.ProposalCommitted: lambda event: self._proposal_ended(event.ticket, "committed", "", event.index),
            log.ProposalRejected: lambda event: self._proposal_ended(event.ticket, "refused", event.why),
            log.OutcomeUnknown: lambda event: self._proposal_ended(
                event.ticket, "unknown", "ask again with the same id"
            ),
            log.ReadReady: self._read_ready,
        }
        self._message_handlers: dict[type, Callable[[str, Any], None]] = {
            messages.LeaseRequest: self._lease_requested,
            messages.LeaseGrant: self._lease_received,
            messages.SpendLimitRequest: self._limits_requested,
            messages.SpendLimitAck: self._limits_acknowledged,
            messages.AllocationRequest: lambda sender, request: self.granter.requests_received(
                self._now, sender, request
            ),
            messages.Recall: self._recall_received,
            messages.WitnessQuery: self._witness_queried,
            messages.WitnessReply: lambda sender, reply: self.granter.reply_received(self._now, sender, reply),
        }

    @property
    def is_leader(self) -> bool:
        """Whether this process leads the log, as far as it knows."""
        return self.leader == self.name

    def handle(self, now: float, event: Any) -> list[Any]:
        """Handles an event; returns actions. ValueError if `now` (ms) moves backwards, TypeError on an unknown
        event.
        """
        if now < self._now:
            raise ValueError(f"clock moved backwards from {self._now} to {now}")
        handler = self._event_handlers.get(type(event))
        if handler is None:
            raise TypeError(f"unexpected event: {event!r}")
        self._now = now
        self._actions = self.allocation_holder.actions = self.granter.actions = self.operator_requests.actions = []
        handler(event)
        self._tick()
        self._deliver_to_self()
        self._arm_timer()
        return self._actions

    def state(self) -> bytes:
        """The ledger for the log's snapshot, exactly as of the last entry applied."""
        return self.ledger.state()

    # Events

    def _timer_fired(self, event: interfaces.TimerFired) -> None:
        if self._now >= self._timer_at_ms:
            self._timer_at_ms = NEVER

    def _message_received(self, event: MessageReceived) -> None:
        handler = self._message_handlers.get(type(event.message))
        if handler is None:
            self._count("no message of the wallet")
        else:
            handler(event.sender, event.message)

    def _member_changed(self, event: interfaces.MemberChanged) -> None:
        members = self.granter.members
        if event.name in members or len(members) < self.tuning.most_holders:
            members[event.name] = event.state

    def _fenced(self) -> None:
        """Other members declared this process dead: its lease is void. What it recorded as a witness stays valid."""
        self.lease.release()
        self.spender.lease_expires_at_ms = -NEVER
        self.allocation_holder.reduce_all()
        self._pending_reads.clear()
        self._lease_requests.clear()
        self._request_lease_at_ms = self._now if self.leader is not None else NEVER

    def _shutdown_started(self) -> None:
        self.allocation_holder.shutting_down = True
        self.allocation_holder.reduce_all()

    # The log

    def _next_ticket(self) -> int:
        self._ticket += 1
        return self._ticket

    def _propose(self, wallet_entries: tuple[entries.Entry, ...], kind: str) -> int:
        ticket = self._next_ticket()
        self._proposal_kinds[ticket] = kind
        self._actions.append(log.Propose(ticket, entries.encode(wallet_entries)))
        return ticket

    def _proposal_ended(self, ticket: int, outcome: str, reason: str, index: int = 0) -> None:
        kind = self._proposal_kinds.pop(ticket, "")
        if kind == "settle":
            self.allocation_holder.settlement_ended()
        elif kind:
            if outcome == "unknown":
                self.granter.proposal_outcome_unknown(ticket)
            else:
                self.granter.proposal_ended(ticket, outcome == "committed")
        elif outcome == "committed":
            self.operator_requests.proposal_committed(ticket, index)
        elif self._pending_reads.pop(ticket, None) is None:
            self.operator_requests.request_ended(ticket, outcome, reason)

    def _entry_committed(self, event: log.EntryCommitted) -> None:
        wallet_entries = entries.decode(event.data)
        if wallet_entries is None:
            self._count("no entry of the wallet")
            return
        for applied in self.ledger.apply(event.index, event.term, wallet_entries):
            if not applied.ok:
                self._count(f"{type(applied.entry).__name__} {applied.outcome}")
            self._entry_applied(event.index, applied)

    def _entry_applied(self, index: int, applied: Applied) -> None:
        entry = applied.entry
        if isinstance(entry, entries.Credit):
            self.operator_requests.credit_applied(index, applied)
            if applied.ok:
                self._actions.append(LogLine(f"paid {entry.tenant} {entry.amount}", {"id": entry.id}))
                self.allocation_holder.credit_added(entry.tenant)
        elif applied.ok:
            is_own = (entry.name, entry.process_epoch) == (self.name, self.process_epoch)
            holder = (entry.name, entry.process_epoch)
            if isinstance(entry, entries.Grant):
                self.spend_witness.allocation_granted(entry.tenant, holder, entry.serial)
                allocation = self.ledger.slice(entry.tenant, *holder, entry.serial)
                if is_own and allocation is not None:
                    self.allocation_holder.allocation_granted(self._now, entry.tenant, entry.serial, allocation)
            elif isinstance(entry, entries.Advance):
                if is_own:
                    self.allocation_holder.advance_recorded(entry.tenant, entry.amount)
            else:
                if isinstance(entry, entries.Expire):
                    what = "back" if entry.witnessed else "lost"
                    self._actions.append(LogLine(f"{what} {entry.tenant} {applied.amount}", {"of": entry.name}))
                if self.ledger.slice(entry.tenant, *holder, entry.serial) is None:
                    self.spend_witness.allocation_ended(entry.tenant, holder, entry.serial)
                    if is_own:
                        self.allocation_holder.allocation_ended(entry.tenant, entry.serial)
        self.allocation_holder.wallet_changed(entry.tenant)
        self.granter.ledger_changed(entry.tenant)

    def _snapshot_installed(self, event: log.SnapshotInstalled) -> None:
        self.ledger.install(event.state)
        self.spend_witness.ledger_replaced()
        self.allocation_holder.ledger_replaced(self._now)

    def _leader_changed(self, event: log.LeaderChanged) -> None:
        if (event.name, event.term) == (self.leader, self.term):
            return
        self.leader, self.term = event.name, event.term
        self._lease_requests.clear()
        self._pending_reads.clear()
        if self.is_leader:
            self.granter.begin(self._now, event.term)
        else:
            self.granter.end()
        self._request_lease_at_ms = self._now if event.name is not None else NEVER

    # Leases

    def _request_lease(self) -> None:
        if self.leader is None:
            self._request_lease_at_ms = NEVER
            return
        self._actions.append(
            SendToMember(
                self.leader, messages.LeaseRequest(self.lease.request(self._now), self.process_epoch), Carrier.DATAGRAM
            )
        )
        self._request_lease_at_ms = self._now + self.tuning.lease_ms / 3

    def _lease_requested(self, sender: str, request: messages.LeaseRequest) -> None:
        if not self.is_leader:
            return
        key = (sender, request.process_epoch)
        previous = self._lease_requests.get(key)
        if len(self._lease_requests) < self.tuning.most_holders and (
            previous is None or previous.serial < request.serial
        ):
            self._lease_requests[key] = request

    def _read_ready(self, event: log.ReadReady) -> None:
        if event.ticket not in self._pending_reads:
            self.operator_requests.read_ready(event.ticket)
            return
        term, requests = self._pending_reads.pop(event.ticket)
        if not self.is_leader or term != self.term:
            return
        for (name, _), request in requests.items():
            grant = self.granter.grant_lease(self._now, name, request)
            if grant is not None:
                self._actions.append(SendToMember(name, grant, Carrier.DATAGRAM))

    def _lease_received(self, sender: str, grant: messages.LeaseGrant) -> None:
        if grant.process_epoch == self.process_epoch:
            self.lease.add_grant(grant)

    # Spend limits and recalls

    def _limits_requested(self, sender: str, request: messages.SpendLimitRequest) -> None:
        holder = (sender, request.process_epoch)
        recorded = tuple(
            item
            for item in request.limits[: messages.MAX_ITEMS]
            if self.spend_witness.record_limit(item[0], holder, item[1], item[2])
        )
        if recorded:
            carrier = messages.choose_carrier([item[0] for item in recorded])
            self._actions.append(
                SendToMember(
                    sender, messages.SpendLimitAck(self.process_epoch, request.process_epoch, recorded), carrier
                )
            )

    def _limits_acknowledged(self, sender: str, ack: messages.SpendLimitAck) -> None:
        if ack.holder_epoch == self.process_epoch:
            self.allocation_holder.limits_acknowledged((sender, ack.process_epoch), ack.limits)

    def _recall_received(self, sender: str, recall: messages.Recall) -> None:
        if recall.process_epoch == self.process_epoch:
            self.allocation_holder.recalls_received(self._now, recall.recalls)

    def _witness_queried(self, sender: str, query: messages.WitnessQuery) -> None:
        limits = tuple(
            self.spend_witness.limit(tenant, (query.name, query.process_epoch), serial)
            for tenant, serial in query.allocations[: messages.MAX_ITEMS]
        )
        self._actions.append(
            SendToMember(
                sender,
                messages.WitnessReply(query.number, query.asker_epoch, self.process_epoch, limits),
                Carrier.STREAM,
            )
        )

    # After each event

    def _tick(self) -> None:
        now = self._now
        if now >= self._request_lease_at_ms:
            self._request_lease()
            self._send_allocation_requests(True)
        if self.lease.activate_grants(now, self.ledger.index):
            self.spender.lease_expires_at_ms = self.lease.expires_at_ms
            self.allocation_holder.lease_granted(now)
        self.allocation_holder.tick(now, self.leader is not None)
        self._send_allocation_requests(False)
        if self._lease_requests and len(self._pending_reads) < 2:
            ticket = self._next_ticket()
            self._pending_reads[ticket] = (self.term, self._lease_requests)
            self._lease_requests = {}
            self._actions.append(log.ReadIndex(ticket))
        self.granter.tick(now)
        self.operator_requests.tick(now)

    def _send_allocation_requests(self, again: bool) -> None:
        if self.leader is not None:
            for request in self.allocation_holder.pending_requests(again):
                carrier = messages.choose_carrier([item[0] for item in request.requests])
                self._actions.append(SendToMember(self.leader, request, carrier))

    def _deliver_to_self(self) -> None:
        """Delivers messages of this process to itself (as leader, holder, witness); they never go over the network."""
        pending: deque[Any] = deque()

        def collect() -> None:
            outgoing = [
                action
                for action in self._actions
                if not (isinstance(action, SendToMember) and action.member == self.name)
            ]
            pending.extend(
                action.message
                for action in self._actions
                if isinstance(action, SendToMember) and action.member == self.name
            )
            self._actions[:] = outgoing

        collect()
        while pending:
            self._message_received(MessageReceived(OWN_ADDRESS, self.name, pending.popleft()))
            self._tick()
            collect()

    def _arm_timer(self) -> None:
        due_at_ms = min(
            self._request_lease_at_ms,
            self.allocation_holder.next_due_ms(),
            self.granter.next_due_ms(),
            self.operator_requests.next_due_ms(),
        )
        if due_at_ms < self._timer_at_ms:
            self._timer_at_ms = due_at_ms
            self._actions.append(SetTimer(due_at_ms, 1))

    def _count(self, reason: str) -> None:
        self.counts[reason] = self.counts.get(reason, 0) + 1
