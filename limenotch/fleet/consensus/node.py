"""The state that all parts of the package share: term and vote, log, role, pending writes, and the actions so far.

Rules that this module alone enforces
- The vote and the log change only together with a Store action; their stored state advances only by Stored.
- After a failed write, only one retry at a time is written. It contains all that is not on disk: term and vote, the
  snapshot, the entries after `log.stored_index`. It thus replaces whatever the failed writes left (as Append does).
- While the disk fails, the member does not vote, start elections or lead. It still follows, within its memory limits.

Source: Ongaro, Ousterhout (2014), figure 2, "updated on stable storage before responding".
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from ...store.records import Append, LogEntry, Snapshot, StoredLog, TermVote
from ..interfaces import Carrier, LogLine, Message, SendToMember, SetTimer, Store
from . import api
from .log import COMMAND, NO_VOTERS, Log, SnapshotPayload, Voters, decode_payload, encode_payload
from .states import Cause, Role, next_role
from .tuning import Tuning

NEVER = float("inf")
DISK_ID_SEPARATOR = "?"  # separates, in the vote on disk, the candidate's name and the id of this disk
MAX_PENDING_WRITES = 1024  # pending writes; beyond it no more entries are accepted


@dataclass(slots=True)
class Write:
    """A write whose Stored or StoreFailed is pending."""

    ticket: int
    term_vote: tuple[int, str]
    last_index: int  # entries up to it are on disk once this write is; lowered when they are replaced
    snapshot_index: int


class Node:
    """The shared state. Methods append to `actions`; the component returns them after each event."""

    def __init__(
        self, name: str, configured_voters: tuple[str, ...], stored_log: StoredLog, tuning: Tuning, seed: int
    ) -> None:
        self.name, self.configured_voters, self.tuning = name, configured_voters, tuning
        self.random = Random(seed)
        self.process_epoch = self.random.getrandbits(48)
        self.log = Log(stored_log)
        vote, separator, disk_id = stored_log.term_vote.vote.partition(DISK_ID_SEPARATOR)
        self.is_new_disk = stored_log == StoredLog(entries=[])
        self.disk_id = f"{self.random.getrandbits(48):x}" if self.is_new_disk else disk_id
        self.term, self.voted_for = stored_log.term_vote.term, vote
        self.stored_term_vote: tuple[int, str] | None = None if self.is_new_disk else (self.term, self.voted_for)
        self.stored_snapshot_index = self.log.snapshot_index
        self.leader: str | None = None
        self.announced_leader: tuple[str | None, int] = (None, -1)
        self.now = 0.0
        self.leader_contact_ms = 0.0  # the last message of a leader, or the start
        self.leader_timeout_at_ms = NEVER  # the end of the wait for a leader
        self.commit_index = self.last_applied = self.log.snapshot_index
        self.role = Role.FOLLOWER if self.is_voter else Role.LEARNER
        self.index_by_id: dict[str, int] = (
            dict(decode_payload(stored_log.snapshot).index_by_id) if stored_log.snapshot else {}
        )
        self.pending_snapshot: tuple[int, int, list[tuple[str, int]], Voters] | None = None
        self.disk_failure = ""
        self.disk_retry_at_ms = NEVER
        self.pending_writes: deque[Write] = deque()
        self.last_ticket = 0
        self.actions: list[Any] = []
        self.on_leadership_lost: Callable[[], None] = lambda: None  # called when this member stops leading
        self.counts: dict[str, int] = {}
        self._timer_at_ms = NEVER

    # State

    @property
    def is_voter(self) -> bool:
        """Whether any configuration since the commit index includes this member on this disk.

        A removed voter stays a voter until its removal is committed.
        """
        return any(
            voters.disk_ids.get(self.name) == self.disk_id for voters in self.log.voters_since(self.commit_index)
        )

    @property
    def log_is_empty(self) -> bool:
        """Whether the log has no entry and no snapshot."""
        return self.log.last_index == 0

    @property
    def is_leader(self) -> bool:
        """Whether this member is the leader."""
        return self.role is Role.LEADER

    @property
    def term_vote_stored(self) -> bool:
        """Whether the current term and vote are on disk."""
        return self.stored_term_vote == (self.term, self.voted_for)

    def other_voters(self) -> list[str]:
        """The voters in force except this member."""
        return [name for name in self.log.voters.disk_ids if name != self.name]

    # Actions

    def send(self, member: str, message: Message, carrier: Carrier = Carrier.DATAGRAM) -> None:
        """Sends a message to a member."""
        self.actions.append(SendToMember(member, message, carrier))

    def log_line(self, text: str, **fields: Any) -> None:
        """Writes a structured log line."""
        self.actions.append(LogLine(text, fields))

    def count(self, kind: str) -> None:
        """Counts an invalid or rejected input under its name."""
        self.counts[kind] = self.counts.get(kind, 0) + 1

    def set_timer(self, at_ms: float) -> None:
        """Sets a timer, unless one is set for an earlier time: one pending timer is enough."""
        if at_ms < self._timer_at_ms:
            self._timer_at_ms = at_ms
            self.actions.append(SetTimer(at_ms, 1))

    def on_timer_fired(self) -> None:
        """A timer has fired."""
        if self.now >= self._timer_at_ms:
            self._timer_at_ms = NEVER

    def reset_election_timeout(self) -> None:
        """Draws a new election timeout."""
        tuning = self.tuning
        self.leader_timeout_at_ms = self.now + self.random.uniform(tuning.election_least_ms, tuning.election_most_ms)

    # Roles and terms

    def transition(self, cause: Cause) -> None:
        """Changes the role by the table of transitions."""
        was_leader = self.is_leader
        self.role = next_role(self.role, cause)
        if was_leader:
            self.on_leadership_lost()
            self.set_leader(None)

    def set_leader(self, leader: str | None) -> None:
        """Sets the leader, or None, and reports a change."""
        self.leader = leader
        if self.announced_leader == (leader, self.term) or leader is None and self.announced_leader[0] is None:
            return
        self.announced_leader = (leader, self.term)
        self.actions.append(api.LeaderChanged(leader, self.term))
        if leader is None:
            self.log_line("no leader", epoch=self.term)
        elif leader == self.name:
            self.log_line(f"leads {self.term}")
        else:
            self.log_line(f"follows {leader} {self.term}")

    def enter_higher_term(self, term: int) -> None:
        """Enters a higher term that another member is in."""
        if self.role in (Role.LEADER, Role.CANDIDATE, Role.PRE_CANDIDATE):
            self.transition(Cause.HIGHER_TERM)
            self.reset_election_timeout()
        self.set_leader(None)
        self.set_term_vote(term, "")

    def update_role(self) -> None:
        """Takes the role that the voters in the log imply; a leader stays leader until its removal is committed."""
        if self.role is Role.LEARNER and self.is_voter:
            self.transition(Cause.ADMITTED)
            self.reset_election_timeout()
        elif self.role is not Role.LEARNER and not self.is_leader and not self.is_voter:
            if self.role is not Role.FOLLOWER:
                self.transition(Cause.HIGHER_TERM)
            self.transition(Cause.REMOVED)

    # The disk

    def set_term_vote(self, term: int, vote: str) -> None:
        """Sets term and vote, and writes them."""
        self.term, self.voted_for = term, vote
        self._store(self._term_vote_record())

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Appends entries to the log and writes them."""
        self.log.append(entries)
        for write in self.pending_writes:
            write.last_index = min(write.last_index, entries[0].index - 1)
        self._store(Append(entries))

    def store_snapshot(self, snapshot: Snapshot) -> None:
        """Writes the snapshot with which the log was compacted or replaced."""
        self._store(snapshot)

    def on_stored(self, ticket: int) -> None:
        """Writes up to this ticket are on disk."""
        log = self.log
        if ticket > self.last_ticket or not self.pending_writes or ticket < self.pending_writes[0].ticket:
            return
        while self.pending_writes and self.pending_writes[0].ticket <= ticket:
            write = self.pending_writes.popleft()
            self.stored_term_vote, self.stored_snapshot_index = write.term_vote, write.snapshot_index
            log.stored_index = max(log.stored_index, min(write.last_index, log.last_index))
        if self.disk_failure:
            self.log_line(f"disk {self.disk_failure} no more")
            self.disk_failure, self.disk_retry_at_ms = "", NEVER
            if self.role in (Role.FOLLOWER, Role.PRE_CANDIDATE):
                self.reset_election_timeout()
            if not self.all_stored:
                self._store_all()

    def on_store_failed(self, ticket: int, reason: str) -> None:
        """A write has failed: all pending writes count as failed, and a retry is scheduled."""
        if ticket > self.last_ticket:
            return
        self.pending_writes.clear()
        self.disk_retry_at_ms = self.now + self.tuning.retry_ms
        if not self.disk_failure:
            self.disk_failure = reason
            self.log_line(f"disk {reason}")
        self.disk_failure = reason
        if self.role in (Role.LEADER, Role.CANDIDATE, Role.PRE_CANDIDATE):
            self.transition(Cause.DISK_FAILED)
            self.reset_election_timeout()

    def retry_failed_writes(self) -> None:
        """Writes all that is not on disk, if the time for the retry has come."""
        if self.now >= self.disk_retry_at_ms:
            self.disk_retry_at_ms = NEVER
            self._store_all()

    @property
    def all_stored(self) -> bool:
        """Whether term, vote, log and snapshot are all on disk."""
        log = self.log
        return (
            self.term_vote_stored
            and log.stored_index == log.last_index
            and self.stored_snapshot_index == log.snapshot_index
        )

    @property
    def append_blocked_by(self) -> str:
        """Why no more entries are accepted here; empty: they are."""
        log, tuning = self.log, self.tuning
        if len(log.entries) >= tuning.most_log_entries + tuning.tail_entries or log.bytes >= tuning.most_log_bytes:
            return "log full"
        return "disk slow" if len(self.pending_writes) >= MAX_PENDING_WRITES else ""

    def _term_vote_record(self) -> TermVote:
        return TermVote(
            self.term, f"{self.voted_for}{DISK_ID_SEPARATOR}{self.disk_id}" if self.disk_id else self.voted_for
        )

    def _store_all(self) -> None:
        log = self.log
        records: list[Any] = [self._term_vote_record()]
        first_index = log.stored_index + 1
        if log.snapshot and self.stored_snapshot_index != log.snapshot_index:
            records.append(log.snapshot)
            first_index = max(first_index, log.snapshot_index + 1)
        unstored = tuple(log.entries[first_index - log.base_index - 1 :])
        self._write(*records, *([Append(unstored)] if unstored else []))

    def _store(self, record: Any) -> None:
        if not self.disk_failure:  # else the next retry includes it
            self._write(record)

    def _write(self, *records: Any) -> None:
        self.last_ticket += 1
        self.pending_writes.append(
            Write(self.last_ticket, (self.term, self.voted_for), self.log.last_index, self.log.snapshot_index)
        )
        self.actions.append(Store(self.last_ticket, records))

    # Committed entries

    def apply_committed(self) -> list[tuple[LogEntry, str, int]]:
        """Sends newly committed entries to the layers above.

        Returns all entries applied now, each with its proposal id and the index of the first commit of that id.
        """
        applied: list[tuple[LogEntry, str, int]] = []
        while self.last_applied < self.commit_index:
            self.last_applied += 1
            entry = self.log.entry_at(self.last_applied)
            if entry.kind != COMMAND:
                applied.append((entry, "", entry.index))
                continue
            proposal_id, data = decode_command(entry.data)
            first_index = self.index_by_id.get(proposal_id) if proposal_id else None
            if first_index is None:
                self.actions.append(api.EntryCommitted(entry.index, entry.term, data, proposal_id))
                if proposal_id and self.tuning.most_ids:
                    self.index_by_id[proposal_id] = entry.index
                    if len(self.index_by_id) > self.tuning.most_ids:
                        del self.index_by_id[next(iter(self.index_by_id))]
            applied.append((entry, proposal_id, entry.index if first_index is None else first_index))
        if applied and self.pending_snapshot is None:
            self._request_snapshot()
        return applied

    def on_snapshot_state(self, index: int, state: bytes) -> None:
        """The answer to SnapshotRequested.

        A state for another index is counted, one that is too large is logged; neither is used.
        """
        if self.pending_snapshot is None or self.pending_snapshot[0] != index:
            self.count("compact not asked for")
            return
        snapshot_index, term, index_by_id, voters = self.pending_snapshot
        self.pending_snapshot = None
        payload = encode_payload(SnapshotPayload(state, index_by_id, voters))
        if len(payload) > self.tuning.most_snapshot_bytes:
            self.log_line("snapshot too large", bytes=len(payload))
        elif snapshot_index > self.log.snapshot_index:
            snapshot = Snapshot(snapshot_index, term, payload, tuple(voters.disk_ids))
            self.log.compact(snapshot, self.tuning.tail_entries)
            self.store_snapshot(snapshot)

    def install_snapshot(self, snapshot: Snapshot, state: SnapshotPayload) -> None:
        """Replaces log and state by a snapshot received from the leader."""
        if self.log.term_at(snapshot.index) != snapshot.term:
            for write in self.pending_writes:
                write.last_index = 0  # these entries are no longer in the log
        self.log.install(snapshot, state.voters)
        self.store_snapshot(snapshot)
        self.pending_snapshot = None
        self.index_by_id = dict(state.index_by_id)
        self.commit_index = max(self.commit_index, snapshot.index)
        self.last_applied = snapshot.index
        self.actions.append(api.SnapshotInstalled(snapshot.index, state.state))

    def _request_snapshot(self) -> None:
        log, tuning = self.log, self.tuning
        due = self.last_applied - log.snapshot_index >= tuning.snapshot_entries
        if due or log.bytes >= tuning.snapshot_bytes and self.last_applied > log.snapshot_index:
            term = log.term_at(self.last_applied)
            assert term is not None
            self.pending_snapshot = (
                self.last_applied,
                term,
                list(self.index_by_id.items()),
                log.voters_as_of(self.last_applied),
            )
            self.actions.append(api.SnapshotRequested(self.last_applied))


def encode_command(proposal_id: str, data: bytes) -> bytes:
    """The data of a command entry: proposal id and the proposal's own data."""
    name = proposal_id.encode()
    return len(name).to_bytes(2, "big") + name + data


def decode_command(data: bytes) -> tuple[str, bytes]:
    """Proposal id and data of a command entry."""
    size = int.from_bytes(data[:2], "big") + 2
    return data[2:size].decode(), data[size:]


__all__ = ["NEVER", "NO_VOTERS", "Node", "decode_command", "encode_command"]
