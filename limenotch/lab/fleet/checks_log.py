"""Invariants of every run of the log, checked from outside by log lines, actions and the content of the disks.

| invariant | observed in |
| --- | --- |
| at most one leader a term | LeaderChanged that names its own node |
| one vote a term for each disk, on the disk before it is sent | VoteResponse, the disk at that moment |
| one entry an index | EntryCommitted of all nodes and processes |
| committed indexes increase at each node, none twice in a process | EntryCommitted, SnapshotInstalled |
| no proposal id is committed twice | EntryCommitted of all nodes |
| an acknowledged proposal is on the disks of a quorum | ProposalCommitted, the disks (a wiped one as it was before) |
| no acknowledged proposal is lost | the committed entries of each node at the end, after all faults |
| a read sees all that was acknowledged before it was requested | ReadIndex, ReadReady, ProposalCommitted |

The checker calls nothing of the package under test; it knows messages and actions by their types and fields.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from limenotch.fleet.consensus import api
from limenotch.fleet.consensus.messages import VoteResponse
from limenotch.fleet.interfaces import SendToMember, Store
from limenotch.store.records import StoredLog


class Checker:
    """`observe` gets every event and action of every node; `violations` lists the violations, each once."""

    def __init__(self, disks: Callable[[], Mapping[str, StoredLog]]) -> None:
        self._disks = disks
        self._lost_disks: list[StoredLog] = []
        self._violations: dict[str, None] = {}
        self._leader_by_term: dict[int, str] = {}
        self._votes: dict[tuple[str, str, int], str] = {}
        self._entries: dict[int, tuple[int, bytes, str]] = {}
        self._index_by_id: dict[str, int] = {}
        self._committed: dict[str, dict[int, str]] = {}
        self._last_index: dict[str, int] = {}
        self._proposed_ids: dict[tuple[str, int], str] = {}
        self._read_floor: dict[tuple[str, int], int] = {}
        self._voters_by_index: dict[int, set[str]] = {}  # index of a voters entry: its voters, as written to any disk
        self.acknowledged: dict[int, str] = {}  # index of an acknowledged proposal: its id
        self.outcomes: dict[str, int] = {}
        self._observers: dict[type, Callable[[str, Any], None]] = {
            api.Propose: self._observe_proposal,
            api.ReadIndex: self._observe_read_request,
            api.LeaderChanged: self._observe_leader,
            SendToMember: self._observe_message,
            Store: self._observe_store,
            api.EntryCommitted: self._observe_commit,
            api.ProposalCommitted: self._observe_acknowledgement,
            api.ReadReady: self._observe_read_ready,
            api.ProposalRejected: self._observe_rejection,
            api.OutcomeUnknown: self._observe_unknown_outcome,
        }

    @property
    def violations(self) -> list[str]:
        """The violations found so far."""
        return list(self._violations)

    def _violation(self, text: str) -> None:
        self._violations.setdefault(text)

    def process_started(self, node: str, index: int, table: Mapping[int, str]) -> None:
        """A process of `node` starts with a snapshot made at `index`, whose state maps index to proposal id."""
        self._committed[node], self._last_index[node] = dict(table), index

    def disk_wiped(self, stored_log: StoredLog) -> None:
        """A disk with this content is lost."""
        self._lost_disks.append(StoredLog(stored_log.term_vote, stored_log.snapshot, list(stored_log.entries)))

    def observe(self, at_ms: float, node: str, item: Any) -> None:
        """An event or action of `node`."""
        observer = self._observers.get(type(item))
        if observer is not None:
            observer(node, item)

    def _observe_proposal(self, node: str, item: Any) -> None:
        self._proposed_ids[node, item.ticket] = item.id

    def _observe_read_request(self, node: str, item: Any) -> None:
        self._read_floor[node, item.ticket] = max(self.acknowledged, default=0)

    def _observe_leader(self, node: str, item: Any) -> None:
        if item.name == node and self._leader_by_term.setdefault(item.term, node) != node:
            self._violation(f"term {item.term} led by {self._leader_by_term[item.term]} and {node}")

    def _observe_message(self, node: str, item: Any) -> None:
        message = item.message
        if not isinstance(message, VoteResponse) or not message.granted:
            return
        term_vote = self._disks()[node].term_vote
        vote, _, disk_id = term_vote.vote.partition("?")
        if (term_vote.term, vote) != (message.term, item.member):
            self._violation(f"vote of {node} for {item.member} in term {message.term} sent before it was on disk")
        if self._votes.setdefault((node, disk_id, message.term), item.member) != item.member:
            self._violation(f"{node} voted twice in term {message.term}")

    def _observe_store(self, node: str, item: Any) -> None:
        for record in item.records:
            for entry in getattr(record, "entries", ()):
                if entry.kind == "voters":
                    self._voters_by_index[entry.index] = _voters(entry)

    def _observe_commit(self, node: str, item: Any) -> None:
        entry = (item.term, item.data, item.id)
        if self._entries.setdefault(item.index, entry) != entry:
            self._violation(f"two entries committed at {item.index}")
        if item.id and self._index_by_id.setdefault(item.id, item.index) != item.index:
            self._violation(f"id {item.id} committed at {self._index_by_id[item.id]} and {item.index}")
        if item.index <= self._last_index[node]:
            self._violation(f"{node} got {item.index} after {self._last_index[node]}")
        self._last_index[node] = item.index
        self._committed[node][item.index] = item.id

    def snapshot_installed(self, node: str, index: int, table: Mapping[int, str]) -> None:
        """A snapshot made at `index` has replaced the state of `node`."""
        if index < self._last_index[node]:
            self._violation(f"{node} went back from {self._last_index[node]} to {index} by a snapshot")
        self._committed[node], self._last_index[node] = dict(table), index

    def _observe_acknowledgement(self, node: str, item: Any) -> None:
        self._count("promised")
        proposal_id = self._proposed_ids.get((node, item.ticket))
        if proposal_id is None:
            return
        self.acknowledged[item.index] = proposal_id
        if not self._is_on_quorum(item.index, proposal_id):
            self._violation(f"{proposal_id} acknowledged at {item.index} without a quorum's disks")

    def _observe_read_ready(self, node: str, item: Any) -> None:
        self._count("read")
        if item.index < self._read_floor[node, item.ticket]:
            self._violation(
                f"read on {node} returned {item.index}, {self._read_floor[node, item.ticket]} was acknowledged before"
            )

    def _observe_rejection(self, node: str, item: Any) -> None:
        self._count("refused")

    def _observe_unknown_outcome(self, node: str, item: Any) -> None:
        self._count("unknown")

    def _count(self, outcome: str) -> None:
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    def _is_on_quorum(self, index: int, proposal_id: str) -> bool:
        """Whether a quorum's disks have the entry.

        The quorum is that of the voters in force at the index on some disk, or of any later ones: a leader counts by a
        new configuration as soon as it has appended it, which is valid since quorums of two adjacent configurations
        share a member (thesis, 4.1).
        """
        disks = self._disks()
        stored_on = {name for name, stored_log in disks.items() if _has_entry(stored_log, index, proposal_id)}
        lost_disks = sum(1 for stored_log in self._lost_disks if _has_entry(stored_log, index, proposal_id))
        for stored_log in disks.values():
            voters = set(stored_log.snapshot.voters) if stored_log.snapshot else set()
            for entry in stored_log.entries:
                if entry.kind == "voters":
                    if entry.index > index and _is_quorum(stored_on, lost_disks, voters):
                        return True
                    voters = _voters(entry)
            if _is_quorum(stored_on, lost_disks, voters):
                return True
        return any(
            changed_index > index and _is_quorum(stored_on, lost_disks, voters)
            for changed_index, voters in self._voters_by_index.items()
        )

    def check_converged(self, nodes: list[str]) -> None:
        """All faults are over and the fleet is idle: every node must have every acknowledged proposal."""
        for node in nodes:
            committed = self._committed[node]
            missing = [
                proposal_id for index, proposal_id in self.acknowledged.items() if committed.get(index) != proposal_id
            ]
            if missing:
                self._violation(f"{node} lacks {len(missing)} acknowledged proposals, the first {missing[0]}")


def _voters(entry: Any) -> set[str]:
    return set(msgspec.msgpack.decode(entry.data)[0])


def _has_entry(stored_log: StoredLog, index: int, proposal_id: str) -> bool:
    if stored_log.snapshot is not None and stored_log.snapshot.index >= index:
        return True
    position = index - stored_log.base_index - 1
    return position < len(stored_log.entries) and proposal_id.encode() in stored_log.entries[position].data


def _is_quorum(stored_on: set[str], lost_disks: int, voters: set[str]) -> bool:
    return bool(voters) and len(stored_on & voters) + lost_disks >= len(voters) // 2 + 1
