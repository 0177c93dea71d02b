"""Bugs injected into the log one at a time, each as a program has had it: the checker must find them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from limenotch.fleet.consensus import elections, lease, node, replicate
from limenotch.fleet.consensus.log import Log, encode_payload
from limenotch.store.records import TermVote

InjectBug = Callable[[pytest.MonkeyPatch], None]


def vote_not_persisted(patch: pytest.MonkeyPatch) -> None:
    def set_term_vote(self: node.Node, term: int, vote: str) -> None:
        self.term, self.voted_for = term, vote
        self.stored_term_vote = (term, vote)
        self._store(TermVote(term, f"?{self.disk_id}"))

    patch.setattr(node.Node, "set_term_vote", set_term_vote)


def acked_before_stored(patch: pytest.MonkeyPatch) -> None:
    original = Log.append

    def append(self: Log, entries: Any) -> None:
        original(self, entries)
        self.stored_index = self.last_index

    patch.setattr(Log, "append", append)


def earlier_term_counted(patch: pytest.MonkeyPatch) -> None:
    def advance_commit_index(self: replicate.LeaderState) -> None:
        self._node.commit_index = max(self._node.commit_index, self.quorum_stored_index())

    patch.setattr(replicate.LeaderState, "advance_commit_index", advance_commit_index)


def lease_ignores_a_pause(patch: pytest.MonkeyPatch) -> None:
    def is_valid(self: lease.Lease, now: float, voters: Any) -> bool:
        return not self.revoked and self.quorum_round(voters) > 0

    patch.setattr(lease.Lease, "is_valid", is_valid)
    patch.setattr(replicate.LeaderState, "check_quorum_contact", lambda self: None)


def conflicting_tail_not_removed(patch: pytest.MonkeyPatch) -> None:
    def first_conflict(self: Log, entries: Any) -> int:
        return sum(1 for entry in entries if entry.index <= self.last_index)

    patch.setattr(Log, "first_conflict", first_conflict)


def ids_not_in_snapshot(patch: pytest.MonkeyPatch) -> None:
    original = encode_payload
    patch.setattr(node, "encode_payload", lambda state: original(msgspec.structs.replace(state, index_by_id=[])))


def votes_twice(patch: pytest.MonkeyPatch) -> None:
    original = elections.Elections.on_vote_request

    def on_vote_request(self: elections.Elections, sender: str, message: Any) -> None:
        if message.term == self._node.term and self._node.role.value == "follower":
            self._node.voted_for = ""
        original(self, sender, message)

    patch.setattr(elections.Elections, "on_vote_request", on_vote_request)


def shorter_log_elected(patch: pytest.MonkeyPatch) -> None:
    def may_vote_for(self: elections.Elections, message: Any) -> bool:
        return message.disk_id == self._node.disk_id and not self._node.disk_failure

    patch.setattr(elections.Elections, "_may_vote_for", may_vote_for)


def wiped_disk_counts(patch: pytest.MonkeyPatch) -> None:
    """A voter that is back on an empty disk keeps its disk id."""
    original = node.Node.__init__

    def init(self: node.Node, name: str, configured_voters: Any, stored_log: Any, tuning: Any, seed: int) -> None:
        original(self, name, configured_voters, stored_log, tuning, seed)
        if self.is_new_disk:
            self.disk_id = f"{name}0"

    patch.setattr(node.Node, "__init__", init)


def new_leader_reads_too_early(patch: pytest.MonkeyPatch) -> None:
    """A leader answers reads before an entry of its own term is committed."""
    patch.setattr(replicate.LeaderState, "knows_committed", property(lambda self: True))


def repeated_proposal_committed_twice(patch: pytest.MonkeyPatch) -> None:
    """Proposal ids, pending and committed, are forgotten."""

    def apply_committed(self: node.Node) -> Any:
        self.index_by_id.clear()
        return original(self)

    original = node.Node.apply_committed
    patch.setattr(node.Node, "apply_committed", apply_committed)


def failed_write_ignored(patch: pytest.MonkeyPatch) -> None:
    """A failed write is treated as successful."""
    patch.setattr(node.Node, "on_store_failed", lambda self, ticket, reason: self.on_stored(ticket))


INJECTED_BUGS: dict[str, InjectBug] = {
    inject.__name__: inject
    for inject in (
        vote_not_persisted,
        acked_before_stored,
        earlier_term_counted,
        lease_ignores_a_pause,
        conflicting_tail_not_removed,
        ids_not_in_snapshot,
        votes_twice,
        shorter_log_elected,
        wiped_disk_counts,
        new_leader_reads_too_early,
        repeated_proposal_committed_twice,
        failed_write_ignored,
    )
}
