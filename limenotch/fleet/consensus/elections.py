"""Elections: how the group is bootstrapped, and how a voter that misses its leader becomes leader.

- Bootstrap: the first configured voter by name bootstraps the group, only when *all* of them have empty logs. The first
  entry lists the voters with their disk ids. A voter that lost its disk cannot take part a second time.
- A voter that had contact with a leader within election_least_ms, or started within it, answers neither
  PreVoteRequest nor VoteRequest, unless the leader itself transferred its leadership. The lease rests on this
  (lease.py).
- A granted vote is sent only when it is on disk; a candidate counts its own vote from then on.
- A request names the disk id of the voter asked, by the requester's log: a voter that has not read yet of its own
  admission answers, a voter on another disk than the log means does not.

Source: Ongaro, Ousterhout (2014), section 5.2, 5.4.1; thesis, 9.6 (pre-vote), 4.2.3 (disruptive members).
"""

from __future__ import annotations

from collections.abc import Callable

from ...store.records import LogEntry
from . import messages
from .log import VOTERS, Voters, encode_payload
from .node import Node
from .states import Cause, Role


class Elections:
    """Bootstrap, pre-votes and votes; calls `on_won` when this member becomes leader."""

    def __init__(self, node: Node, on_won: Callable[[], None]) -> None:
        self._node, self._on_won = node, on_won
        self._granted_by: set[str] = set()
        self._pending_vote: tuple[int, str] | None = None  # a granted vote that waits for the disk: term, candidate
        self._new_disk_ids: dict[str, str] = {}
        self._highest_term = 0  # the highest term of any voter with an empty log

    # Bootstrap

    @property
    def may_bootstrap(self) -> bool:
        """Whether this member is the one to bootstrap the group: the first configured voter, with an empty log."""
        node = self._node
        return (
            node.log_is_empty
            and node.stored_term_vote is not None
            and bool(node.configured_voters)
            and node.name == min(node.configured_voters)
        )

    def request_bootstrap(self) -> None:
        """Sends a bootstrap request to the other configured voters, each heartbeat_ms while no leader is known."""
        node = self._node
        for name in node.configured_voters:
            if name != node.name:
                node.send(name, messages.BootstrapRequest(node.configured_voters))
        self._bootstrap()

    def on_bootstrap_request(self, sender: str, message: messages.BootstrapRequest) -> None:
        """Answers with this disk's id if the log here is empty and the same voters are configured."""
        node = self._node
        if set(message.voters) != set(node.configured_voters):
            node.count("found: other voters named")
        elif node.log_is_empty and node.stored_term_vote is not None and not node.disk_failure:
            node.send(sender, messages.BootstrapResponse(node.configured_voters, node.disk_id, node.term))

    def on_bootstrap_response(self, sender: str, message: messages.BootstrapResponse) -> None:
        """Records the disk id of a voter with an empty log."""
        if self.may_bootstrap and set(message.voters) == set(self._node.configured_voters):
            self._new_disk_ids[sender] = message.disk_id
            self._highest_term = max(self._highest_term, message.term)
            self._bootstrap()

    def _bootstrap(self) -> None:
        node = self._node
        disk_ids = {name: self._new_disk_ids.get(name, "") for name in node.configured_voters}
        disk_ids[node.name] = node.disk_id
        if self.may_bootstrap and not node.disk_failure and all(disk_ids.values()):
            node.set_term_vote(max(self._highest_term, node.term) + 1, node.name)
            node.append((LogEntry(1, node.term, VOTERS, encode_payload(Voters(disk_ids))),))
            node.transition(Cause.BOOTSTRAPPED)
            self._on_won()

    # Candidacy

    def on_election_timeout(self) -> None:
        """The election timeout has passed: asks the voters whether they would vote for this member."""
        node = self._node
        node.reset_election_timeout()
        if node.role is Role.LEADER or not node.is_voter or node.disk_failure or node.stored_term_vote is None:
            return
        node.transition(Cause.LEADER_TIMEOUT)
        node.set_leader(None)
        self._granted_by = {node.name}
        self._request_votes(pre_vote=True)
        self._count_pre_votes()

    def on_timeout_now(self, term: int) -> None:
        """The leader has transferred its leadership to this member: starts an election without a pre-vote."""
        node = self._node
        if term == node.term and node.role is Role.FOLLOWER and node.is_voter and not node.disk_failure:
            node.transition(Cause.TIMEOUT_NOW)
            self._start_election(by_leader=True)

    def _start_election(self, by_leader: bool) -> None:
        node = self._node
        node.set_term_vote(node.term + 1, node.name)
        node.set_leader(None)
        node.reset_election_timeout()
        self._granted_by = set()
        self._request_votes(pre_vote=False, by_leader=by_leader)

    def _request_votes(self, pre_vote: bool, by_leader: bool = False) -> None:
        node = self._node
        log = node.log
        for name, disk_id in log.voters.disk_ids.items():
            if name == node.name:
                continue
            if pre_vote:
                node.send(name, messages.PreVoteRequest(node.term + 1, log.last_index, log.last_term, disk_id))
            else:
                node.send(name, messages.VoteRequest(node.term, log.last_index, log.last_term, disk_id, by_leader))

    def _count_pre_votes(self) -> None:
        node = self._node
        if (
            node.role is Role.PRE_CANDIDATE
            and len(self._granted_by & node.log.voters.disk_ids.keys()) >= node.log.voters.quorum
        ):
            node.transition(Cause.PRE_VOTE_WON)
            self._start_election(by_leader=False)

    def _count_votes(self) -> None:
        node = self._node
        if (
            node.role is Role.CANDIDATE
            and len(self._granted_by & node.log.voters.disk_ids.keys()) >= node.log.voters.quorum
        ):
            node.transition(Cause.ELECTED)
            self._on_won()

    # Votes

    def _may_vote_for(self, message: messages.PreVoteRequest | messages.VoteRequest) -> bool:
        """Whether the request means this disk, the disk works, and the candidate's log is at least as up to date."""
        node = self._node
        log = node.log
        return (
            message.disk_id == node.disk_id
            and not node.disk_failure
            and node.stored_term_vote is not None
            and (message.last_term, message.last_index) >= (log.last_term, log.last_index)
        )

    def _has_current_leader(self) -> bool:
        node = self._node
        return node.is_leader or node.now - node.leader_contact_ms < node.tuning.election_least_ms

    def on_pre_vote_request(self, sender: str, message: messages.PreVoteRequest) -> None:
        """Answers whether this member would vote for the sender; changes nothing here."""
        node = self._node
        granted = message.term > node.term and not self._has_current_leader() and self._may_vote_for(message)
        node.send(sender, messages.PreVoteResponse(message.term if granted else node.term, granted))
        if not granted and node.leader is not None:  # the sender may have been removed without being notified
            node.send(sender, messages.LeaderHint(node.term, node.leader, tuple(node.log.voters.disk_ids)))

    def on_vote_request(self, sender: str, message: messages.VoteRequest) -> None:
        """Votes for the sender, rejects the request, or ignores it while a leader is current."""
        node = self._node
        if message.term < node.term:
            node.send(sender, messages.VoteResponse(node.term, False))
            return
        if self._has_current_leader() and not message.by_leader:
            return
        if message.term > node.term:
            node.enter_higher_term(message.term)
        elif node.role is Role.PRE_CANDIDATE:
            node.transition(Cause.HIGHER_TERM)
        granted = (
            node.voted_for in ("", sender)
            and node.role in (Role.FOLLOWER, Role.LEARNER)
            and self._may_vote_for(message)
        )
        if not granted:
            node.send(sender, messages.VoteResponse(node.term, False))
            return
        if node.voted_for != sender:
            node.set_term_vote(node.term, sender)
        node.reset_election_timeout()
        self._pending_vote = (node.term, sender)
        self.on_stored()

    def on_pre_vote_response(self, sender: str, message: messages.PreVoteResponse) -> None:
        """Counts an answer to a pre-vote request."""
        node = self._node
        if message.term > node.term and not message.granted:
            node.enter_higher_term(message.term)
        elif message.granted and message.term == node.term + 1 and node.role is Role.PRE_CANDIDATE:
            self._granted_by.add(sender)
            self._count_pre_votes()

    def on_vote_response(self, sender: str, message: messages.VoteResponse) -> None:
        """Counts a vote."""
        node = self._node
        if message.term > node.term:
            node.enter_higher_term(message.term)
        elif message.granted and message.term == node.term and node.role is Role.CANDIDATE:
            self._granted_by.add(sender)
            self._count_votes()

    def on_stored(self) -> None:
        """A write has reached the disk: sends or counts the vote that waited for it."""
        node = self._node
        if not node.term_vote_stored:
            return
        if self._pending_vote is not None:
            term, candidate = self._pending_vote
            if (term, candidate) == node.stored_term_vote:
                node.send(candidate, messages.VoteResponse(term, True))
            self._pending_vote = None
        if node.role is Role.CANDIDATE and node.stored_term_vote == (node.term, node.name):
            self._granted_by.add(node.name)
            self._count_votes()
