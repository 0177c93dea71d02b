"""Changes of the voters, one voter at a time, while the log runs.

- A change is one log entry that adds or removes one voter. The next change waits until it is committed, and the first
  one until the leader has committed an entry of its own term (Ongaro's correction of 2015).
- A voter is added only after it has caught up as a learner. A leader that is removed leads until its removal is
  committed, then transfers its leadership.
- A voter that is back on another disk has lost its promises, so it must not count as a voter. The leader
  removes it at once if the leader had recent contact with a quorum of the other voters, and adds it again when it has
  caught up. The entry that removes the voter marks it as returning, so that a later leader can add it again.

Source: thesis, chapter 4.
"""

from __future__ import annotations

from .client_requests import ClientRequests, Requester
from .log import Voters
from .node import NEVER, Node
from .replicate import LeaderState

CATCH_UP_ENTRIES = 16  # a member has caught up if it lacks at most so many committed entries
MAX_VOTERS = 9  # each further voter adds a disk to every commit


class VoterChanges:
    """The pending voter change on the leader."""

    def __init__(self, node: Node, leader_state: LeaderState, requests: ClientRequests) -> None:
        self._node, self._leader_state, self._requests = node, leader_state, requests
        self._requested: tuple[Requester, str, str, float] | None = None

    def request_change(self, requester: Requester, add: str, remove: str) -> None:
        """Accepts a change of voters, forwards it to the leader, or refuses it."""
        node = self._node
        disk_ids = node.log.voters.disk_ids
        reason = ""
        if not node.is_leader:
            self._requests.forward(requester, "change", proposal_id=add, remove=remove)
            return
        if self._requested is not None:
            reason = "a change is under way"
        elif not add and not remove or add == remove:
            reason = "no change"
        elif add and add not in disk_ids and len(disk_ids) >= MAX_VOTERS:
            reason = f"at most {MAX_VOTERS} voters"
        elif remove in disk_ids and not add and len(disk_ids) == 1:
            reason = "the last voter"
        if reason:
            self._requests.respond(requester, "refused", reason=reason)
        else:
            self._requested = (requester, add, remove, node.now + node.tuning.change_ms)

    def on_leadership_lost(self) -> None:
        """This member no longer leads: the outcome of the pending change is unknown."""
        if self._requested is not None:
            requester, self._requested = self._requested[0], None
            self._requests.respond(requester, "unknown")

    def next_deadline_ms(self) -> float:
        """When the pending change expires; NEVER without one."""
        return self._requested[3] if self._requested is not None else NEVER

    def advance(self) -> None:
        """Takes the next step of the pending change, or re-adds voters that have returned."""
        node, leader_state = self._node, self._leader_state
        voters = node.log.voters
        if not node.is_leader or not leader_state.knows_committed or node.log.voters_index > node.commit_index:
            return
        if not node.is_voter:
            # The committed voters are without this leader. A requested change that adds no voter (""), or one that is a
            # voter by now, is done: respond, then give up leadership.
            if self._requested is not None and self._requested[1] in ("", *voters.disk_ids):
                self._requests.respond(self._requested[0], "promised", node.log.voters_index)
                self._requested = None
            leader_state.transfer_leadership()
        elif self._requested is not None:
            self._advance_change(voters, *self._requested)
        else:
            self._readd_returned(voters)

    def _advance_change(
        self, voters: Voters, requester: Requester, add: str, remove: str, expires_at_ms: float
    ) -> None:
        node, leader_state = self._node, self._leader_state
        if add and add not in voters.disk_ids:
            if self._has_caught_up(add):
                leader_state.append_voters(voters.with_voter(add, leader_state.peers[add].disk_id or ""))
            elif node.now >= expires_at_ms:
                self._requested = None
                self._requests.respond(requester, "refused", reason=f"{add} did not catch up")
        elif remove in voters.disk_ids:
            leader_state.append_voters(voters.without(remove, returns=False))
        else:
            self._requested = None
            self._requests.respond(requester, "promised", node.log.voters_index)

    def _readd_returned(self, voters: Voters) -> None:
        leader_state = self._leader_state
        for name, disk_id in voters.disk_ids.items():
            peer = leader_state.peers.get(name)
            if peer is not None and peer.disk_id not in (None, disk_id) and self._quorum_without(voters, name):
                leader_state.append_voters(voters.without(name, returns=True))
                return
        for name in voters.returning:
            if name not in voters.disk_ids and len(voters.disk_ids) < MAX_VOTERS and self._has_caught_up(name):
                leader_state.append_voters(voters.with_voter(name, leader_state.peers[name].disk_id or ""))
                return

    def _quorum_without(self, voters: Voters, without: str) -> bool:
        node, leader_state = self._node, self._leader_state
        in_contact = sum(
            1
            for name, disk_id in voters.disk_ids.items()
            if name != without
            and (
                name == node.name
                or leader_state.peers[name].disk_id == disk_id
                and node.now - leader_state.peers[name].last_contact_ms < node.tuning.election_most_ms
            )
        )
        return in_contact >= (len(voters.disk_ids) - 1) // 2 + 1

    def _has_caught_up(self, name: str) -> bool:
        peer = self._leader_state.peers.get(name)
        return (
            peer is not None
            and peer.disk_id is not None
            and peer.match_index + CATCH_UP_ENTRIES >= self._node.commit_index > 0
        )
