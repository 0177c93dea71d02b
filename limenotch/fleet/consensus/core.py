"""The consensus component: dispatches events to the package's classes, then takes the steps that follow, in one order.

Rules
- Before it handles any event, a leader checks when it last had contact with a quorum (a pause shows here); without
  contact it steps down. The lease is checked with the event's own time.
- After each event: completed writes are counted, committed entries are sent to the layers above in order, requests are
  answered, voter changes continue.
- Invalid messages change nothing: `handle` raises only on an unknown event (TypeError) or a clock that runs backwards
  (ValueError).
- `seed` must differ between any two processes of a name: disk ids and process epochs are drawn from it.

Role transitions: states.TABLE. Messages: messages.py. Sources: Ongaro, Ousterhout (2014); thesis (2014).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ...store.records import StoredLog
from .. import interfaces
from . import api, messages
from .client_requests import ClientRequests, Requester
from .elections import Elections
from .follower import FollowerState
from .log import decode_payload
from .node import DISK_ID_SEPARATOR, NEVER, Node
from .reconfiguration import VoterChanges
from .replicate import LeaderState
from .states import Cause, Role
from .tuning import Tuning


class Consensus:
    """A member of the Raft group, as a component of the hub.

    `voters`: the voters configured, used only at the first start of the group. `stored_log`: what the store has read.
    The layers above start from `state` (their part of the snapshot found; None: there is no snapshot), made at `index`.
    """

    def __init__(
        self, name: str, voters: tuple[str, ...], stored_log: StoredLog, tuning: Tuning | None = None, seed: int = 0
    ) -> None:
        """Raises ValueError on invalid names, msgspec.DecodeError on a store that this program did not write."""
        if (
            not name
            or any(DISK_ID_SEPARATOR in each or not each for each in (name, *voters))
            or len(set(voters)) != len(voters)
        ):
            raise ValueError(f"names must be unique, not empty and without {DISK_ID_SEPARATOR!r}: {name!r}, {voters!r}")
        self._node = node = Node(name, tuple(voters), stored_log, tuning or Tuning(), seed)
        self._dead_members: set[str] = set()
        self._leader_state = LeaderState(node)
        self._requests = ClientRequests(node, self._leader_state)
        self._voter_changes = VoterChanges(node, self._leader_state, self._requests)
        self._follower_state = FollowerState(node, self._dead_members)
        self._elections = Elections(node, self._on_won)
        self._known_leader: str | None = None
        self._logged_voters: tuple[str, ...] = tuple(node.log.voters.disk_ids)
        self.index = node.last_applied
        self.state = decode_payload(stored_log.snapshot).state if stored_log.snapshot else None
        node.on_leadership_lost = self._on_leadership_lost
        self._events: dict[type, Callable[[Any], None]] = {
            interfaces.Started: self._on_started,
            interfaces.MessageReceived: self._on_message,
            interfaces.TimerFired: lambda event: node.on_timer_fired(),
            interfaces.ShutdownStarted: self._on_shutdown,
            interfaces.Stored: lambda event: node.on_stored(event.ticket),
            interfaces.StoreFailed: lambda event: node.on_store_failed(event.ticket, event.reason),
            interfaces.MemberChanged: self._on_member_changed,
            interfaces.Fenced: self._on_fenced,
            api.Propose: lambda event: self._requests.propose(Requester(event.ticket), event.data, event.id),
            api.ReadIndex: lambda event: self._requests.read(Requester(event.ticket)),
            api.ChangeVoters: lambda event: self._voter_changes.request_change(
                Requester(event.ticket), event.add, event.remove
            ),
            api.SnapshotState: lambda event: node.on_snapshot_state(event.index, event.state),
        }
        follower_state, elections, leader_state = self._follower_state, self._elections, self._leader_state
        self._messages: dict[type, Callable[[str, Any], None]] = {
            messages.BootstrapRequest: elections.on_bootstrap_request,
            messages.BootstrapResponse: elections.on_bootstrap_response,
            messages.JoinRequest: leader_state.on_join_request,
            messages.LeaderHint: lambda sender, message: follower_state.on_leader_hint(message),
            messages.PreVoteRequest: elections.on_pre_vote_request,
            messages.PreVoteResponse: elections.on_pre_vote_response,
            messages.VoteRequest: elections.on_vote_request,
            messages.VoteResponse: elections.on_vote_response,
            messages.AppendRequest: follower_state.on_append,
            messages.AppendResponse: leader_state.on_append_response,
            messages.SnapshotChunk: follower_state.on_chunk,
            messages.SnapshotChunkResponse: leader_state.on_chunk_response,
            messages.TimeoutNow: lambda sender, message: elections.on_timeout_now(message.term)
            if sender == node.leader
            else None,
            messages.ForwardedRequest: lambda sender, message: self._requests.on_request(
                sender, message, self._voter_changes.request_change
            ),
            messages.ForwardedResponse: lambda sender, message: self._requests.on_response(message),
        }

    # For operators, the laboratory and tests

    @property
    def role(self) -> Role:
        """The current role."""
        return self._node.role

    @property
    def leader(self) -> str | None:
        """The leader of the current term, if known."""
        return self._node.leader

    @property
    def term(self) -> int:
        """The current term."""
        return self._node.term

    @property
    def applied_index(self) -> int:
        """The index of the last applied entry."""
        return self._node.last_applied

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters of the latest configuration in the log, committed or not."""
        return tuple(self._node.log.voters.disk_ids)

    @property
    def counts(self) -> dict[str, int]:
        """How often each invalid or rejected input was seen, by its name."""
        return self._node.counts

    def status(self) -> dict[str, Any]:
        """For operators: indexes are those of log entries; `disk` is `ok` or why nothing is written."""
        node, log = self._node, self._node.log
        return {
            "role": node.role.value,
            "leader": node.leader,
            "epoch": node.term,
            "voters": sorted(self.voters),
            "agreed": node.last_applied,
            "last": log.last_index,
            "on_disk": log.stored_index,
            "snapshot": log.snapshot_index,
            "disk": node.disk_failure or "ok",
            "counts": dict(node.counts),
        }

    def holds_lease(self, now: float) -> bool:
        """Whether this member leads and no other can have been elected by `now`."""
        self._node.now = max(self._node.now, now)
        return self._leader_state.holds_lease()

    # Events and what follows them

    def handle(self, now: float, event: Any) -> list[Any]:
        """Handles one event at `now` (ms, never running backwards); returns the actions to carry out, in order."""
        node = self._node
        if now < node.now:
            raise ValueError(f"time runs backwards from {node.now} to {now}")
        handler = self._events.get(type(event))
        if handler is None:
            raise TypeError(f"not an event of consensus: {event!r}")
        node.now, node.actions = now, []
        self._leader_state.check_quorum_contact()
        handler(event)
        self._tick()
        self._advance()
        node.set_timer(self._next_deadline_ms())
        return node.actions

    def _tick(self) -> None:
        node = self._node
        node.retry_failed_writes()
        if node.is_leader:
            self._leader_state.tick()
        elif node.now >= node.leader_timeout_at_ms:
            if node.role is Role.LEARNER:
                self._follower_state.on_leader_timeout()
            else:
                self._elections.on_election_timeout()
        if node.now >= self._follower_state.next_query_ms:
            if node.role is not Role.LEARNER:
                self._follower_state.next_query_ms = NEVER
            else:
                self._follower_state.query_leader()
                if self._elections.may_bootstrap:
                    self._follower_state.next_query_ms = node.now + node.tuning.heartbeat_ms
                    self._elections.request_bootstrap()

    def _advance(self) -> None:
        node = self._node
        stored = (node.stored_term_vote, node.log.stored_index)
        if stored != self._stored:
            self._stored = stored
            self._elections.on_stored()
            self._follower_state.on_stored()
        if node.is_leader:
            self._leader_state.advance_commit_index()
        applied = node.apply_committed()
        self._requests.on_applied(applied)
        self._requests.advance()
        self._voter_changes.advance()
        node.update_role()
        if node.leader != self._known_leader:
            self._known_leader = node.leader
            self._requests.leader_changed()
        if node.log.voters_index <= node.commit_index and self.voters != self._logged_voters:
            self._logged_voters = self.voters
            node.log_line(" ".join(("voters", *sorted(self.voters))))

    _stored: tuple[tuple[int, str] | None, int] | None = None

    def _next_deadline_ms(self) -> float:
        node = self._node
        deadline_ms = min(node.disk_retry_at_ms, self._requests.next_deadline_ms(), self._follower_state.next_query_ms)
        if node.is_leader:
            return min(deadline_ms, self._leader_state.next_deadline_ms(), self._voter_changes.next_deadline_ms())
        return min(deadline_ms, node.leader_timeout_at_ms)

    # Events

    def _on_started(self, event: interfaces.Started) -> None:
        node = self._node
        node.leader_contact_ms = node.now
        if node.is_new_disk:
            node.set_term_vote(0, "")
        if node.role is Role.LEARNER:
            self._follower_state.next_query_ms = node.now
        else:
            node.reset_election_timeout()

    def _on_message(self, event: interfaces.MessageReceived) -> None:
        handler = self._messages.get(type(event.message))
        if handler is None:
            self._node.count("no message of agreement")
        elif event.sender == self._node.name:
            self._node.count("own name heard")
        else:
            handler(event.sender, event.message)

    def _on_shutdown(self, event: interfaces.ShutdownStarted) -> None:
        self._requests.shutting_down = True
        if self._node.is_leader and len(self._node.log.voters.disk_ids) > 1:
            self._leader_state.transfer_leadership()

    def _on_member_changed(self, event: interfaces.MemberChanged) -> None:
        """Uses membership as a hint alone: which members to query, and how long to wait for a leader declared dead."""
        node = self._node
        if event.state != "dead":
            self._dead_members.discard(event.name)
            return
        if len(self._dead_members) < node.tuning.most_learners:
            self._dead_members.add(event.name)
        if node.is_leader:
            self._leader_state.forget_learner(event.name)
        elif event.name == node.leader and node.role is Role.FOLLOWER:
            earliest = (
                node.leader_contact_ms
                + node.tuning.election_least_ms
                + node.random.uniform(0, node.tuning.heartbeat_ms)
            )
            node.leader_timeout_at_ms = min(node.leader_timeout_at_ms, max(node.now, earliest))

    def _on_fenced(self, event: interfaces.Fenced) -> None:
        node = self._node
        if node.role in (Role.LEADER, Role.CANDIDATE, Role.PRE_CANDIDATE):
            node.transition(Cause.FENCED)
            node.reset_election_timeout()

    def _on_won(self) -> None:
        self._leader_state.on_elected()
        self._requests.on_leadership_gained()

    def _on_leadership_lost(self) -> None:
        self._requests.on_leadership_lost()
        self._voter_changes.on_leadership_lost()
