"""The follower's side: appends the leader's entries, acknowledges those on disk, finds a leader when none is known.

- No committed entry is ever removed: an append that would do so is counted and not answered.
- `match_index` in a response covers entries that are on disk and the same as this leader's; no response is sent
  before the term itself is on disk.
- A learner queries the voters in turn, one each `learner_ms`, until one leads or names the leader.

Source: Ongaro, Ousterhout (2014), figure 2, AppendEntries; section 5.3 for the hint that skips a term at a time.
"""

from __future__ import annotations

from . import messages
from .node import NEVER, Node
from .snapshots import IncomingSnapshot
from .states import Cause, Role

LAGGING_ENTRIES = 64  # entries; a member that was further behind logs when it has caught up


class FollowerState:
    """What a member keeps while it follows a leader or looks for one."""

    def __init__(self, node: Node, dead_members: set[str]) -> None:
        self._node, self._dead_members = node, dead_members
        self._matched_index = 0  # up to this index the log matches the leader's of `_matched_term`
        self._matched_term = 0
        self._leader_round = 0
        self._is_lagging = False
        self._queries_sent = 0
        self.next_query_ms = NEVER
        self.incoming = IncomingSnapshot(node.tuning)

    def _accept_leader(self, sender: str, term: int, round_number: int) -> bool:
        """Whether the sender is the current leader; if so, it is followed from now on."""
        node = self._node
        if term < node.term:
            return False
        if term > node.term:
            node.enter_higher_term(term)
        if node.is_leader or (node.leader not in (None, sender)):
            node.count("two leaders")  # impossible unless a rule of this package is broken
            return False
        if node.role in (Role.CANDIDATE, Role.PRE_CANDIDATE):
            node.transition(Cause.LEADER_SEEN)
        if self._matched_term != term or node.leader is None:
            self._matched_term, self._matched_index, self._leader_round = term, 0, 0
        node.set_leader(sender)
        node.leader_contact_ms = node.now
        self._leader_round = max(self._leader_round, round_number)
        node.reset_election_timeout()
        if not node.is_voter:
            node.leader_timeout_at_ms = node.now + 3 * node.tuning.learner_ms
        self.next_query_ms = NEVER
        return True

    def on_append(self, sender: str, message: messages.AppendRequest) -> None:
        """Appends the entries if they follow the log here, and answers."""
        node = self._node
        if not self._accept_leader(sender, message.term, message.round):
            if message.term < node.term:
                self._respond(sender, False, 0)
            return
        log = node.log
        entries, prev_index, prev_term = message.entries, message.prev_index, message.prev_term
        if prev_index < log.snapshot_index:  # entries up to a snapshot are committed, so they match
            skip = min(len(entries), log.snapshot_index - prev_index)
            entries, prev_index = entries[skip:], prev_index + skip
            if prev_index < log.snapshot_index:
                self._respond(sender, True, 0)
                return
            prev_term = log.term_at(prev_index) or 0
        own_term = log.term_at(prev_index)
        if message.commit_index > node.commit_index + LAGGING_ENTRIES:
            self._is_lagging = True
        if own_term != prev_term:
            self._respond(
                sender, False, log.last_index if own_term is None else self._last_before_term(prev_index, own_term)
            )
            return
        position = log.first_conflict(entries)
        new_entries = entries[position:]
        if new_entries and new_entries[0].index <= node.commit_index:
            node.count("append behind what is agreed")
            return
        if new_entries and node.append_blocked_by:
            node.count(node.append_blocked_by)
            self._respond(sender, True, 0)
            return
        if new_entries:
            node.append(new_entries)
            node.update_role()
        self._matched_index = max(self._matched_index, prev_index + len(entries))
        node.commit_index = max(node.commit_index, min(message.commit_index, self._matched_index))
        if self._is_lagging and node.commit_index >= message.commit_index:
            self._is_lagging = False
            node.log_line(f"caught up {node.commit_index}")
        self._respond(sender, True, 0)

    def _last_before_term(self, index: int, term: int) -> int:
        """The last index before the entries of that term: none of these can be the leader's."""
        log = self._node.log
        lowest = max(log.snapshot_index, self._node.commit_index)
        while index > lowest and log.term_at(index) == term:
            index -= 1
        return index

    def _respond(self, leader: str, success: bool, hint: int) -> None:
        node = self._node
        if not node.term_vote_stored:
            return
        match_index = min(self._matched_index, node.log.stored_index)
        node.send(
            leader,
            messages.AppendResponse(
                node.term,
                success,
                match_index,
                self._matched_index if success else hint,
                self._leader_round,
                node.disk_id,
            ),
        )

    def on_stored(self) -> None:
        """A write has reached the disk: reports the progress to the leader."""
        node = self._node
        if node.leader is not None and not node.is_leader and self._matched_term == node.term:
            self._respond(node.leader, True, 0)

    def on_chunk(self, sender: str, message: messages.SnapshotChunk) -> None:
        """Takes a chunk of a snapshot; installs the snapshot when it is complete."""
        node = self._node
        if not self._accept_leader(sender, message.term, message.round):
            return
        if message.index <= node.commit_index:  # committed here: the next append finds where the logs match
            self.incoming.reset()
            self._matched_index = max(self._matched_index, node.commit_index)
            self._respond(sender, True, 0)
            return
        self._is_lagging = True
        next_offset, completed = self.incoming.add_chunk(message)
        if completed is not None:
            node.install_snapshot(*completed)
            node.update_role()
            self._matched_index = message.index
            self._respond(sender, True, 0)
        elif node.term_vote_stored:
            node.send(
                sender,
                messages.SnapshotChunkResponse(node.term, message.index, next_offset, self._leader_round, node.disk_id),
            )

    # Search for a leader

    def on_leader_timeout(self) -> None:
        """A learner has not heard from its leader for too long: it looks for one."""
        node = self._node
        node.set_leader(None)
        node.leader_timeout_at_ms = NEVER
        self.next_query_ms = node.now

    def query_leader(self) -> None:
        """Asks the next voter for its log or leader; voters that membership declares dead are asked only if all are."""
        node = self._node
        self.next_query_ms = node.now + node.tuning.learner_ms
        if node.stored_term_vote is None:
            return
        voters = sorted((set(node.log.voters.disk_ids) or set(node.configured_voters)) - {node.name})
        names = [name for name in voters if name not in self._dead_members] or voters
        if names:
            self._queries_sent += 1
            node.send(names[self._queries_sent % len(names)], messages.JoinRequest(node.disk_id, node.log.last_index))

    def on_leader_hint(self, message: messages.LeaderHint) -> None:
        """A voter has named the leader: asks that member for its log."""
        node = self._node
        has_no_leader = node.role in (Role.LEARNER, Role.PRE_CANDIDATE) and node.leader is None
        if message.term >= node.term and has_no_leader and message.leader != node.name:
            node.send(message.leader, messages.JoinRequest(node.disk_id, node.log.last_index))
