"""Pending proposals, reads and voter changes: the member's own requests, and those that other members forward.

- Each request gets one response: promised, read, refused (it is not carried out), or unknown. A request over a limit is
  refused at once.
- A proposal whose id is among the latest committed, or in the log already, is not appended again: the requester gets
  the index of the first one, now or when that is committed.
- A member that does not lead forwards requests to the leader. A forwarded request is unknown when there is no response
  within ask_ms or the leader changes meanwhile.
- The index of a read is fixed once the leader has committed an entry of its own term. The read is answered when the
  lease is valid, or when a quorum has answered a heartbeat round that began later.

Source: thesis, section 6.3 (exactly once), 6.4 (reads).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ...store.records import LogEntry
from ..interfaces import Carrier
from . import api, messages
from .log import COMMAND
from .node import NEVER, Node, decode_command, encode_command
from .replicate import LeaderState


@dataclass(frozen=True, slots=True)
class Requester:
    """The origin of a request."""

    ticket: int
    forwarded_by: str = ""  # the member that forwarded the request; empty: this member
    process_epoch: int = 0


@dataclass(slots=True)
class PendingRead:
    """A read that the leader has not answered yet."""

    requester: Requester
    expires_at_ms: float
    index: int = -1
    round: int = 0


@dataclass(slots=True)
class PendingForward:
    """A request sent to the leader, without a response yet."""

    kind: str
    expires_at_ms: float


class ClientRequests:
    """Accepts, forwards and answers proposals and reads."""

    def __init__(self, node: Node, leader_state: LeaderState) -> None:
        self._node, self._leader_state = node, leader_state
        self._by_index: dict[int, list[Requester]] = {}
        self._waiting_count = 0
        self._by_id: dict[str, int] = {}
        self._reads: list[PendingRead] = []
        self._forwarded: dict[int, PendingForward] = {}
        self._unapplied_reads: list[
            tuple[int, int]
        ] = []  # ticket, index: reads that wait until `index` is applied here
        self.shutting_down = False

    # Responses

    def respond(self, requester: Requester, kind: str, index: int = 0, reason: str = "") -> None:
        """Sends the response to the requester: as an action if it is local, else as a message."""
        node = self._node
        hint = node.leader or ""
        if requester.forwarded_by:
            if kind in ("promised", "read"):  # so that the requester applies it before the next heartbeat
                self._leader_state.send_commit_index(requester.forwarded_by)
            node.send(
                requester.forwarded_by,
                messages.ForwardedResponse(kind, requester.ticket, requester.process_epoch, index, reason, hint),
                Carrier.STREAM,
            )
        elif kind == "promised":
            node.actions.append(api.ProposalCommitted(requester.ticket, index))
        elif kind == "read":
            if index <= node.last_applied:
                node.actions.append(api.ReadReady(requester.ticket, index))
            else:
                self._unapplied_reads.append((requester.ticket, index))
        elif kind == "refused":
            node.actions.append(api.ProposalRejected(requester.ticket, reason, node.leader))
        else:
            node.actions.append(api.OutcomeUnknown(requester.ticket))

    def on_response(self, message: messages.ForwardedResponse) -> None:
        """The leader's response to a forwarded request; one to an earlier process or an expired request is dropped."""
        node = self._node
        if message.process_epoch == node.process_epoch and self._forwarded.pop(message.ticket, None) is not None:
            if message.kind == "refused":
                node.actions.append(api.ProposalRejected(message.ticket, message.reason, message.leader or None))
            else:
                self.respond(Requester(message.ticket), message.kind, message.index)

    # Requests

    def on_request(self, sender: str, message: messages.ForwardedRequest, request_change: Any) -> None:
        """A request that another member forwards; `request_change` handles voter changes."""
        requester = Requester(message.ticket, sender, message.process_epoch)
        if not self._node.is_leader:
            self.respond(requester, "refused", reason=self._no_leader_reason())
        elif message.kind == "propose":
            self.propose(requester, message.data, message.id)
        elif message.kind == "read":
            self.read(requester)
        elif message.kind == "change":
            request_change(requester, message.id, message.remove)

    def _no_leader_reason(self) -> str:
        return f"disk {self._node.disk_failure}" if self._node.disk_failure else "no leader"

    def forward(
        self, requester: Requester, kind: str, data: bytes = b"", proposal_id: str = "", remove: str = ""
    ) -> None:
        """Sends the request to the leader; refused if none is known or too many are forwarded already."""
        node = self._node
        if node.leader is None:
            self.respond(requester, "refused", reason=self._no_leader_reason())
        elif len(self._forwarded) >= node.tuning.most_pending:
            self.respond(requester, "refused", reason="busy")
        else:
            self._forwarded[requester.ticket] = PendingForward(kind, node.now + node.tuning.ask_ms)
            node.send(
                node.leader,
                messages.ForwardedRequest(kind, requester.ticket, node.process_epoch, data, proposal_id, remove),
                Carrier.STREAM,
            )

    def propose(self, requester: Requester, data: bytes, proposal_id: str) -> None:
        """Appends the proposal to the log, joins it to an earlier one with the same id, forwards or refuses it."""
        node, tuning = self._node, self._node.tuning
        first_index = node.index_by_id.get(proposal_id) if proposal_id else None
        if first_index is not None:
            self.respond(requester, "promised", first_index)
            return
        reason = self._refusal_reason(data, proposal_id)
        if reason:
            self.respond(requester, "refused", reason=reason)
            return
        if not node.is_leader:
            self.forward(requester, "propose", data, proposal_id)
            return
        index = self._by_id.get(proposal_id) if proposal_id else None
        if index is None:
            blocked_by = node.append_blocked_by or (
                "log full" if len(node.log.entries) >= tuning.most_log_entries else ""
            )
            if blocked_by or self.shutting_down:
                self.respond(requester, "refused", reason=blocked_by or "leaving")
                return
            index = node.log.last_index + 1
            if proposal_id:
                self._by_id[proposal_id] = index
            node.append((LogEntry(index, node.term, COMMAND, encode_command(proposal_id, data)),))
            self._leader_state.replicate_to_voters()
        self._by_index.setdefault(index, []).append(requester)
        self._waiting_count += 1

    def _refusal_reason(self, data: bytes, proposal_id: str) -> str:
        tuning = self._node.tuning
        if len(data) > tuning.most_entry_bytes or len(proposal_id.encode()) > 256:
            return "too large"
        return "busy" if self._waiting_count >= tuning.most_pending else ""

    def read(self, requester: Requester) -> None:
        """Queues the read on the leader, forwards or refuses it."""
        node = self._node
        if not node.is_leader:
            self.forward(requester, "read")
        elif len(self._reads) >= node.tuning.most_pending:
            self.respond(requester, "refused", reason="busy")
        else:
            self._reads.append(PendingRead(requester, node.now + node.tuning.ask_ms))

    # Progress

    def on_leadership_gained(self) -> None:
        """This member leads: collects the ids of the entries in its log that are not committed yet."""
        node = self._node
        self._by_id = {}
        for entry in node.log.entries_between(node.last_applied + 1, node.log.last_index, node.log.last_index, 1 << 62):
            proposal_id = decode_command(entry.data)[0] if entry.kind == COMMAND else ""
            if proposal_id:
                self._by_id.setdefault(proposal_id, entry.index)

    def on_leadership_lost(self) -> None:
        """This member no longer leads: pending proposals become unknown, pending reads are refused."""
        waiting, self._by_index, self._by_id, self._waiting_count = self._by_index, {}, {}, 0
        for requesters in waiting.values():
            for requester in requesters:
                self.respond(requester, "unknown")
        reads, self._reads = self._reads, []
        for read in reads:
            self.respond(read.requester, "refused", reason="no leader")

    def leader_changed(self) -> None:
        """Ends forwarded requests: the old leader may have carried out a proposal; a read is surely not done."""
        forwarded, self._forwarded = self._forwarded, {}
        for ticket, pending in forwarded.items():
            self._end_unanswered(ticket, pending)

    def _end_unanswered(self, ticket: int, pending: PendingForward) -> None:
        if pending.kind == "read":
            self.respond(Requester(ticket), "refused", reason="no leader")
        else:
            self.respond(Requester(ticket), "unknown")

    def on_applied(self, applied: list[tuple[LogEntry, str, int]]) -> None:
        """Answers requests for entries applied now: entry, proposal id, index of the id's first commit."""
        for entry, proposal_id, first_index in applied:
            if proposal_id:
                self._by_id.pop(proposal_id, None)
            for requester in self._by_index.pop(entry.index, ()):
                self._waiting_count -= 1
                self.respond(requester, "promised", first_index)
        if self._unapplied_reads:
            ready, self._unapplied_reads = self._unapplied_reads, []
            for ticket, index in ready:
                self.respond(Requester(ticket), "read", index)

    def advance(self) -> None:
        """Fixes the index of new reads, answers the confirmed ones, ends what has waited too long."""
        node, leader_state = self._node, self._leader_state
        if self._reads and node.is_leader and leader_state.knows_committed:
            lease_valid = leader_state.holds_lease()
            new_reads = [read for read in self._reads if read.index < 0]
            for read in new_reads:
                read.index, read.round = node.commit_index, leader_state.lease.round + 1
            if new_reads and not lease_valid:
                leader_state.send_heartbeats()
            answered_round = leader_state.lease.quorum_round(node.log.voters)
            unconfirmed: list[PendingRead] = []
            for read in self._reads:
                if lease_valid or answered_round >= read.round:
                    self.respond(read.requester, "read", read.index)
                else:
                    unconfirmed.append(read)
            self._reads = unconfirmed
        expired = [read for read in self._reads if node.now >= read.expires_at_ms]
        if expired:
            self._reads = [read for read in self._reads if node.now < read.expires_at_ms]
            for read in expired:
                self.respond(read.requester, "refused", reason="no quorum")
        for ticket in [ticket for ticket, pending in self._forwarded.items() if node.now >= pending.expires_at_ms]:
            self._end_unanswered(ticket, self._forwarded.pop(ticket))

    def next_deadline_ms(self) -> float:
        """When the next request expires; NEVER without any."""
        reads = min((read.expires_at_ms for read in self._reads), default=NEVER)
        return min(reads, min((pending.expires_at_ms for pending in self._forwarded.values()), default=NEVER))
