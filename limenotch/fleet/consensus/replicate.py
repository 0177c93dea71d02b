"""The leader's side: what each member has, what is sent to it next, and which entries are thereby committed.

| mode of a peer | sends | until |
| --- | --- | --- |
| probe | one append at each heartbeat, to find where the logs match | a successful response: stream |
| stream | each new entry at once, within limits (most_flight*) | rejected, or no progress in two heartbeats: probe |
| snapshot | chunks (snapshots.py), since the log here begins later | the peer has the snapshot: probe |

- An entry is committed when a quorum of the voters in force has it on disk *and* it is of this leader's term
  (figure 8). The leader's own disk counts like any other; a voter on another disk than the log means does not count.
- Voters get entries at once. Learners get only committed entries, at most every `learner_batch_ms`, and a heartbeat
  each `learner_ms`: n learners cost n messages and n responses each learner_ms when nothing is committed.
- A learner that was silent for five learner_ms is forgotten; it joins again by itself.

Source: Ongaro, Ousterhout (2014), figure 2, 5.3, 5.4.2; thesis, 10.2 (pipelining), 6.2 (leader without a quorum).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from ...store.records import LogEntry
from ..interfaces import Carrier
from . import messages
from .lease import Lease
from .log import EMPTY, VOTERS, Voters, encode_payload
from .node import NEVER, Node
from .snapshots import OutgoingSnapshots
from .states import Cause, Role


class Mode(Enum):
    """How the leader sends to a peer; see the table above."""

    PROBE = "probe"
    STREAM = "stream"
    SNAPSHOT = "snapshot"


@dataclass(slots=True)
class Peer:
    """What the leader knows of a voter or learner. Times in ms."""

    next: int  # index of the next entry to send
    last_contact_ms: float
    next_heartbeat_ms: float = 0.0  # when the next heartbeat to a learner is due
    mode: Mode = Mode.PROBE
    match_index: int = 0  # entries up to it are on the peer's disk
    received_index: int = 0  # entries up to it are at least in the peer's memory
    disk_id: str | None = None  # of the disk named in the peer's latest message
    last_progress_ms: float = 0.0  # of the last progress
    in_flight: deque[tuple[int, int]] = field(default_factory=deque)  # messages without a response: last index, bytes
    in_flight_bytes: int = 0


class LeaderState:
    """Replication to voters and learners; used only while this member leads."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self.peers: dict[str, Peer] = {}
        self.lease = Lease(node.name, 0.0, node.tuning.lease_ms)
        self.outgoing = OutgoingSnapshots(node.tuning)
        self.first_own_index = 0  # the first index of this leader's term
        self._next_heartbeat_ms = self._next_learner_batch_ms = NEVER

    def on_elected(self) -> None:
        """Starts leading after an election or bootstrap: appends an entry of its own term if the log has none yet."""
        node = self._node
        now = node.now
        self.lease = Lease(node.name, now, node.tuning.lease_ms)
        self.outgoing = OutgoingSnapshots(node.tuning)
        self.peers = {name: Peer(node.log.last_index + 1, now) for name in node.other_voters()}
        node.set_leader(node.name)
        if node.log.last_term == node.term:
            self.first_own_index = node.log.last_index
        else:
            self.first_own_index = node.log.last_index + 1
            node.append((LogEntry(self.first_own_index, node.term, EMPTY),))
        self.send_heartbeats()

    @property
    def knows_committed(self) -> bool:
        """Whether an entry of its own term is committed, so that it knows of all entries committed before."""
        return self._node.commit_index >= self.first_own_index

    def holds_lease(self) -> bool:
        """Whether this member leads and its lease is valid."""
        node = self._node
        return node.is_leader and self.lease.is_valid(node.now, node.log.voters)

    def check_quorum_contact(self) -> None:
        """Steps down without contact with a quorum for too long; called before each event, as a pause shows here."""
        node = self._node
        if not node.is_leader or len(node.log.voters.disk_ids) <= 1:
            return
        if node.now - self.lease.quorum_contact_ms(node.log.voters) >= node.tuning.election_most_ms:
            node.transition(Cause.QUORUM_LOST)
            node.reset_election_timeout()

    def append_voters(self, voters: Voters) -> int:
        """Appends an entry with the new voters; returns its index."""
        node = self._node
        index = node.log.last_index + 1
        node.append((LogEntry(index, node.term, VOTERS, encode_payload(voters)),))
        for name in node.other_voters():
            self.peers.setdefault(name, Peer(index, node.now))
        self.replicate_to_voters()
        return index

    # Sending

    def send_heartbeats(self) -> None:
        """Begins a round and sends a heartbeat to all voters."""
        node = self._node
        self.lease.begin_round(node.now)
        self._next_heartbeat_ms = node.now + node.tuning.heartbeat_ms
        for name in node.other_voters():
            self._send(name, self.peers[name], is_heartbeat=True)

    def next_deadline_ms(self) -> float:
        """When the next heartbeat, learner batch or chunk is due."""
        learners = min(
            (peer.next_heartbeat_ms for name, peer in self.peers.items() if not self._is_voter(name)), default=NEVER
        )
        return min(self._next_heartbeat_ms, self._next_learner_batch_ms, learners, self.outgoing.next_deadline_ms())

    def tick(self) -> None:
        """Sends what is due."""
        node, tuning = self._node, self._node.tuning
        now = node.now
        if now >= self._next_heartbeat_ms:
            self.send_heartbeats()
        learner_batch_due = now >= self._next_learner_batch_ms
        if learner_batch_due:
            self._next_learner_batch_ms = NEVER
        for name, peer in list(self.peers.items()):
            if self._is_voter(name):
                continue
            if now - peer.last_contact_ms >= 5 * tuning.learner_ms:
                self.forget_learner(name)
            elif now >= peer.next_heartbeat_ms:
                peer.next_heartbeat_ms = now + tuning.learner_ms
                self._send(name, peer, is_heartbeat=True)
            elif learner_batch_due:
                self._send(name, peer, is_heartbeat=False)
        self._send_chunks()

    def forget_learner(self, name: str) -> None:
        """Drops a learner."""
        if not self._is_voter(name):
            self.peers.pop(name, None)
            self.outgoing.transfers.pop(name, None)

    def replicate_to_voters(self) -> None:
        """Sends new entries to all voters."""
        for name in self._node.other_voters():
            self._send(name, self.peers[name], is_heartbeat=False)

    def send_commit_index(self, name: str) -> None:
        """Sends the commit index to a member at once."""
        peer = self.peers.get(name)
        if self._node.is_leader and peer is not None:
            self._send(name, peer, is_heartbeat=True)

    def _is_voter(self, name: str) -> bool:
        return name in self._node.log.voters.disk_ids

    def _send(self, name: str, peer: Peer, is_heartbeat: bool) -> None:
        node, log, tuning = self._node, self._node.log, self._node.tuning
        last_sendable = log.last_index if self._is_voter(name) else node.commit_index
        if peer.mode is Mode.STREAM and is_heartbeat and peer.in_flight:
            interval_ms = tuning.heartbeat_ms if self._is_voter(name) else tuning.learner_ms
            if node.now - peer.last_progress_ms >= 2 * interval_ms:
                self._start_probe(peer, peer.received_index + 1)
        if peer.next <= log.base_index:
            peer.mode = Mode.SNAPSHOT
        if peer.mode is Mode.SNAPSHOT:
            if log.snapshot is not None and self.outgoing.begin(name, log.snapshot):
                self._send_chunks()
            if is_heartbeat:
                self._send_append(name, 0, ())
            return
        if peer.mode is Mode.PROBE:
            if is_heartbeat or not peer.in_flight:
                entries = log.entries_between(
                    peer.next, last_sendable, tuning.most_batch_entries, tuning.most_batch_bytes
                )
                peer.in_flight.clear()
                peer.in_flight.append((peer.next - 1 + len(entries), 0))
                peer.last_progress_ms = node.now
                self._send_append(name, peer.next - 1, entries)
            return
        sent = False
        while (
            peer.next <= last_sendable
            and len(peer.in_flight) < tuning.most_flight
            and peer.in_flight_bytes < tuning.most_flight_bytes
        ):
            entries = log.entries_between(peer.next, last_sendable, tuning.most_batch_entries, tuning.most_batch_bytes)
            size = sum(len(entry.data) for entry in entries)
            if not peer.in_flight:
                peer.last_progress_ms = node.now
            peer.in_flight.append((entries[-1].index, size))
            peer.in_flight_bytes += size
            self._send_append(name, peer.next - 1, entries)
            peer.next = entries[-1].index + 1
            sent = True
        if is_heartbeat and not sent:
            self._send_append(name, max(peer.received_index, log.base_index), ())

    def _send_append(self, name: str, prev_index: int, entries: tuple[LogEntry, ...]) -> None:
        node = self._node
        term = node.log.term_at(prev_index) or 0
        carrier = Carrier.STREAM if entries else Carrier.DATAGRAM
        node.send(
            name,
            messages.AppendRequest(node.term, prev_index, term, entries, node.commit_index, self.lease.round),
            carrier,
        )

    def _start_probe(self, peer: Peer, index: int) -> None:
        peer.mode, peer.next, peer.in_flight_bytes = Mode.PROBE, index, 0
        peer.in_flight.clear()

    def _send_chunks(self) -> None:
        node = self._node
        for name, transfer, data in self.outgoing.next(node.now, 3 * node.tuning.heartbeat_ms):
            snapshot = transfer.snapshot
            node.send(
                name,
                messages.SnapshotChunk(
                    node.term,
                    snapshot.index,
                    snapshot.term,
                    len(snapshot.state),
                    transfer.offset,
                    data,
                    snapshot.voters,
                    self.lease.round,
                ),
                Carrier.STREAM,
            )

    # Receiving

    def on_join_request(self, sender: str, message: messages.JoinRequest) -> None:
        """Adds the sender as a learner, or names the leader."""
        node = self._node
        if not node.is_leader:
            if node.leader is not None:
                node.send(sender, messages.LeaderHint(node.term, node.leader, tuple(node.log.voters.disk_ids)))
            return
        peer = self.peers.get(sender)
        if peer is None:
            if len(self.peers) >= node.tuning.most_learners:
                node.count("too many learners")
                return
            peer = self.peers[sender] = Peer(message.last_index + 1, node.now)
        self._record_disk(peer, message.disk_id)
        peer.last_contact_ms = node.now
        self.outgoing.transfers.pop(sender, None)
        peer.received_index = 0
        self._start_probe(peer, min(message.last_index, node.log.last_index) + 1)
        peer.next_heartbeat_ms = node.now + node.tuning.learner_ms
        self._send(sender, peer, is_heartbeat=True)

    def _record_disk(self, peer: Peer, disk_id: str) -> None:
        if peer.disk_id not in (None, disk_id):  # the entries on the old disk are lost
            peer.match_index = peer.received_index = 0
        peer.disk_id = disk_id

    def _peer_of_current_term(self, sender: str, term: int) -> Peer | None:
        node = self._node
        if term > node.term:
            node.enter_higher_term(term)
            return None
        return self.peers.get(sender) if node.is_leader and term == node.term else None

    def on_append_response(self, sender: str, message: messages.AppendResponse) -> None:
        """Records a member's progress, and continues with what it lacks."""
        peer = self._peer_of_current_term(sender, message.term)
        if peer is None:
            return
        node = self._node
        self._record_disk(peer, message.disk_id)
        peer.last_contact_ms = node.now
        if node.log.voters.disk_ids.get(sender) == message.disk_id:
            self.lease.record_answer(sender, message.round)
        if not message.success:
            if peer.mode is not Mode.SNAPSHOT and message.received_index < peer.next - 1:
                self._start_probe(peer, max(peer.match_index, min(message.received_index, node.log.last_index)) + 1)
                self._send(sender, peer, is_heartbeat=True)
            return
        progressed = message.received_index > peer.received_index
        peer.match_index, peer.received_index = (
            max(peer.match_index, message.match_index),
            max(peer.received_index, message.received_index),
        )
        if progressed:
            peer.last_progress_ms = node.now
        while peer.in_flight and peer.in_flight[0][0] <= peer.received_index:
            peer.in_flight_bytes -= peer.in_flight.popleft()[1]
        if peer.mode is Mode.PROBE and peer.received_index >= peer.next - 1:
            peer.mode, peer.in_flight_bytes = Mode.STREAM, 0
            peer.in_flight.clear()
            peer.next = peer.received_index + 1
        elif peer.mode is Mode.SNAPSHOT and self._has_snapshot(sender, peer.received_index):
            self.outgoing.transfers.pop(sender, None)
            self._start_probe(peer, peer.received_index + 1)
        self.advance_commit_index()
        if node.is_leader:
            self._send(sender, peer, is_heartbeat=False)

    def _has_snapshot(self, name: str, received_index: int) -> bool:
        """Whether the peer needs no more of its transfer; it may need a newer snapshot next all the same."""
        transfer = self.outgoing.transfers.get(name)
        return (
            received_index >= self._node.log.base_index
            or transfer is not None
            and received_index >= transfer.snapshot.index
        )

    def on_chunk_response(self, sender: str, message: messages.SnapshotChunkResponse) -> None:
        """Continues the transfer of a snapshot."""
        peer = self._peer_of_current_term(sender, message.term)
        if peer is not None:
            self._record_disk(peer, message.disk_id)
            peer.last_contact_ms = peer.last_progress_ms = self._node.now
            if self._node.log.voters.disk_ids.get(sender) == message.disk_id:
                self.lease.record_answer(sender, message.round)
            self.outgoing.on_response(sender, message)
            self._send_chunks()

    def advance_commit_index(self) -> None:
        """Advances the commit index to what a quorum has on disk, if that entry is of this term."""
        node = self._node
        index = self.quorum_stored_index()
        if index > node.commit_index and node.log.term_at(index) == node.term:
            node.commit_index = index
            if self._next_learner_batch_ms == NEVER:
                self._next_learner_batch_ms = node.now + node.tuning.learner_batch_ms

    def quorum_stored_index(self) -> int:
        """The highest index that a quorum of the voters has on disk."""
        node = self._node
        voters = node.log.voters
        on_disk: list[int] = []
        for name, disk_id in voters.disk_ids.items():
            if name == node.name:
                on_disk.append(node.log.stored_index)
            else:
                peer = self.peers[name]
                on_disk.append(peer.match_index if peer.disk_id == disk_id else 0)
        on_disk.sort(reverse=True)
        return on_disk[voters.quorum - 1] if on_disk else 0

    # Transfer of leadership

    def transfer_target(self) -> str | None:
        """The voter with the most entries on its disk among those with recent contact."""
        node = self._node
        candidates = [
            (self.peers[name].match_index, name)
            for name in node.other_voters()
            if node.now - self.peers[name].last_contact_ms < node.tuning.election_least_ms
        ]
        return max(candidates)[1] if candidates else None

    def transfer_leadership(self) -> None:
        """Transfers leadership to the best voter and steps down; the lease ends with this in any case."""
        node = self._node
        target = self.transfer_target()
        self.lease.revoked = True
        if target is not None:
            node.send(target, messages.TimeoutNow(node.term), Carrier.STREAM)
        if node.role is Role.LEADER:
            node.transition(Cause.LEADERSHIP_TRANSFERRED)
            node.reset_election_timeout()
