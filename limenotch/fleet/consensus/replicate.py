"""The side that leads: what each member has, what goes to it next, and what is agreed by that.

| mode of a peer | sends | leaves it when |
| --- | --- | --- |
| probe | one append at a heartbeat, to find where the logs agree | an Ack says ok: stream |
| stream | each new entry at once, in bounds (most_flight*) | a refusal, or two heartbeats without progress: probe |
| snapshot | chunks (snapshots.py), since the log here begins later | it holds the snapshot: probe |

- An entry is agreed when a quorum of the voters in force has it on disk *and* it is of this leader's epoch (figure 8);
  the leader's own disk counts like any other, and a voter on another disk than the log means counts as none.
- Voters get entries at once; learners only what is agreed, at most every `learner_batch_ms`, and a heartbeat each
  `learner_ms`: n learners cost n messages and n answers each learner_ms when nothing is agreed.
- A learner that has been silent for five learner_ms is forgotten; it asks again.

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
from .log import EMPTY, VOTERS, Voters, pack
from .node import NEVER, Node
from .snapshots import Outgoing
from .states import Cause, Role


class Mode(Enum):
    PROBE = "probe"
    STREAM = "stream"
    SNAPSHOT = "snapshot"


@dataclass(slots=True)
class Peer:
    next: int
    heard_at: float
    beat_at: float = 0.0  # a learner's next heartbeat
    mode: Mode = Mode.PROBE
    match: int = 0  # on its disk
    held: int = 0  # at least in its memory
    birth: str | None = None  # of the disk that it last spoke from
    moved_at: float = 0.0  # last progress
    flight: deque[tuple[int, int]] = field(default_factory=deque)  # last index, bytes
    flying: int = 0


class Leading:
    def __init__(self, node: Node) -> None:
        self._node = node
        self.peers: dict[str, Peer] = {}
        self.lease = Lease(node.name, 0.0, node.tuning.lease_ms)
        self.outgoing = Outgoing(node.tuning)
        self.first = 0  # of this leader's own entries
        self._beat_at = self._news_at = NEVER

    def begin(self) -> None:
        """Elected, or the founder: a line of its own epoch first, if its log has none yet."""
        node = self._node
        now = node.now
        self.lease = Lease(node.name, now, node.tuning.lease_ms)
        self.outgoing = Outgoing(node.tuning)
        self.peers = {name: Peer(node.log.last + 1, now) for name in node.others()}
        node.follow(node.name)
        if node.log.last_term == node.term:
            self.first = node.log.last
        else:
            self.first = node.log.last + 1
            node.append((LogEntry(self.first, node.term, EMPTY),))
        self.beat()

    @property
    def sure(self) -> bool:
        """Something of its own epoch is agreed: it knows all that was agreed before."""
        return self._node.commit >= self.first

    def holds(self) -> bool:
        node = self._node
        return node.leads and self.lease.holds(node.now, node.log.voters)

    def look(self) -> None:
        """Before the first act of each event: has a quorum been heard? After a pause it was not."""
        node = self._node
        if not node.leads or len(node.log.voters.births) <= 1:
            return
        if node.now - self.lease.contact(node.log.voters) >= node.tuning.election_most_ms:
            node.become(Cause.ALONE)
            node.wait()

    def change(self, voters: Voters) -> int:
        node = self._node
        index = node.log.last + 1
        node.append((LogEntry(index, node.term, VOTERS, pack(voters)),))
        for name in node.others():
            self.peers.setdefault(name, Peer(index, node.now))
        self.send_all()
        return index

    # Sending

    def beat(self) -> None:
        node = self._node
        self.lease.begin(node.now)
        self._beat_at = node.now + node.tuning.heartbeat_ms
        for name in node.others():
            self._send(name, self.peers[name], beat=True)

    def due(self) -> float:
        learners = min((peer.beat_at for name, peer in self.peers.items() if not self._votes(name)), default=NEVER)
        return min(self._beat_at, self._news_at, learners, self.outgoing.due())

    def tick(self) -> None:
        node, tuning = self._node, self._node.tuning
        now = node.now
        if now >= self._beat_at:
            self.beat()
        news = now >= self._news_at
        if news:
            self._news_at = NEVER
        for name, peer in list(self.peers.items()):
            if self._votes(name):
                continue
            if now - peer.heard_at >= 5 * tuning.learner_ms:
                self.forget(name)
            elif now >= peer.beat_at:
                peer.beat_at = now + tuning.learner_ms
                self._send(name, peer, beat=True)
            elif news:
                self._send(name, peer, beat=False)
        self._chunks()

    def forget(self, name: str) -> None:
        if not self._votes(name):
            self.peers.pop(name, None)
            self.outgoing.to.pop(name, None)

    def send_all(self) -> None:
        for name in self._node.others():
            self._send(name, self.peers[name], beat=False)

    def inform(self, name: str) -> None:
        """What is agreed by now, at once."""
        peer = self.peers.get(name)
        if self._node.leads and peer is not None:
            self._send(name, peer, beat=True)

    def _votes(self, name: str) -> bool:
        return name in self._node.log.voters.births

    def _send(self, name: str, peer: Peer, beat: bool) -> None:
        node, log, tuning = self._node, self._node.log, self._node.tuning
        upto = log.last if self._votes(name) else node.commit
        if peer.mode is Mode.STREAM and beat and peer.flight:
            pace = tuning.heartbeat_ms if self._votes(name) else tuning.learner_ms
            if node.now - peer.moved_at >= 2 * pace:
                self._probe(peer, peer.held + 1)
        if peer.next <= log.base:
            peer.mode = Mode.SNAPSHOT
        if peer.mode is Mode.SNAPSHOT:
            if log.snapshot is not None and self.outgoing.begin(name, log.snapshot):
                self._chunks()
            if beat:
                self._append(name, 0, ())
            return
        if peer.mode is Mode.PROBE:
            if beat or not peer.flight:
                entries = log.part(peer.next, upto, tuning.most_batch_entries, tuning.most_batch_bytes)
                peer.flight.clear()
                peer.flight.append((peer.next - 1 + len(entries), 0))
                peer.moved_at = node.now
                self._append(name, peer.next - 1, entries)
            return
        sent = False
        while peer.next <= upto and len(peer.flight) < tuning.most_flight and peer.flying < tuning.most_flight_bytes:
            entries = log.part(peer.next, upto, tuning.most_batch_entries, tuning.most_batch_bytes)
            size = sum(len(entry.data) for entry in entries)
            if not peer.flight:
                peer.moved_at = node.now
            peer.flight.append((entries[-1].index, size))
            peer.flying += size
            self._append(name, peer.next - 1, entries)
            peer.next = entries[-1].index + 1
            sent = True
        if beat and not sent:
            self._append(name, max(peer.held, log.base), ())

    def _append(self, name: str, prev: int, entries: tuple[LogEntry, ...]) -> None:
        node = self._node
        term = node.log.term_of(prev) or 0
        carrier = Carrier.STREAM if entries else Carrier.DATAGRAM
        node.tell(name, messages.Append(node.term, prev, term, entries, node.commit, self.lease.round), carrier)

    def _probe(self, peer: Peer, index: int) -> None:
        peer.mode, peer.next, peer.flying = Mode.PROBE, index, 0
        peer.flight.clear()

    def _chunks(self) -> None:
        node = self._node
        for name, transfer, data in self.outgoing.next(node.now, 3 * node.tuning.heartbeat_ms):
            snapshot = transfer.snapshot
            node.tell(
                name,
                messages.Chunk(
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

    # Hearing

    def on_follow(self, sender: str, message: messages.Follow) -> None:
        node = self._node
        if not node.leads:
            if node.leader is not None:
                node.tell(sender, messages.Leads(node.term, node.leader, tuple(node.log.voters.births)))
            return
        peer = self.peers.get(sender)
        if peer is None:
            if len(self.peers) >= node.tuning.most_learners:
                node.count("too many learners")
                return
            peer = self.peers[sender] = Peer(message.last + 1, node.now)
        self._speaks(peer, message.birth)
        peer.heard_at = node.now
        self.outgoing.to.pop(sender, None)
        peer.held = 0
        self._probe(peer, min(message.last, node.log.last) + 1)
        peer.beat_at = node.now + node.tuning.learner_ms
        self._send(sender, peer, beat=True)

    def _speaks(self, peer: Peer, birth: str) -> None:
        if peer.birth not in (None, birth):  # what the old disk held is gone
            peer.match = peer.held = 0
        peer.birth = birth

    def _current(self, sender: str, term: int) -> Peer | None:
        node = self._node
        if term > node.term:
            node.adopt(term)
            return None
        return self.peers.get(sender) if node.leads and term == node.term else None

    def on_ack(self, sender: str, message: messages.Ack) -> None:
        peer = self._current(sender, message.term)
        if peer is None:
            return
        node = self._node
        self._speaks(peer, message.birth)
        peer.heard_at = node.now
        if node.log.voters.births.get(sender) == message.birth:
            self.lease.answered(sender, message.round)
        if not message.ok:
            if peer.mode is not Mode.SNAPSHOT and message.held < peer.next - 1:
                self._probe(peer, max(peer.match, min(message.held, node.log.last)) + 1)
                self._send(sender, peer, beat=True)
            return
        moved = message.held > peer.held
        peer.match, peer.held = max(peer.match, message.match), max(peer.held, message.held)
        if moved:
            peer.moved_at = node.now
        while peer.flight and peer.flight[0][0] <= peer.held:
            peer.flying -= peer.flight.popleft()[1]
        if peer.mode is Mode.PROBE and peer.held >= peer.next - 1:
            peer.mode, peer.flying = Mode.STREAM, 0
            peer.flight.clear()
            peer.next = peer.held + 1
        elif peer.mode is Mode.SNAPSHOT and self._has(sender, peer.held):
            self.outgoing.to.pop(sender, None)
            self._probe(peer, peer.held + 1)
        self.count()
        if node.leads:
            self._send(sender, peer, beat=False)

    def _has(self, name: str, held: int) -> bool:
        """Whether it needs no more of its transfer: what follows may be a newer snapshot, all the same."""
        transfer = self.outgoing.to.get(name)
        return held >= self._node.log.base or transfer is not None and held >= transfer.snapshot.index

    def on_chunk_ack(self, sender: str, message: messages.ChunkAck) -> None:
        peer = self._current(sender, message.term)
        if peer is not None:
            self._speaks(peer, message.birth)
            peer.heard_at = peer.moved_at = self._node.now
            if self._node.log.voters.births.get(sender) == message.birth:
                self.lease.answered(sender, message.round)
            self.outgoing.answered(sender, message)
            self._chunks()

    def count(self) -> None:
        """Moves `commit` to what a quorum has on disk, if that is of this epoch."""
        node = self._node
        index = self.majority()
        if index > node.commit and node.log.term_of(index) == node.term:
            node.commit = index
            if self._news_at == NEVER:
                self._news_at = node.now + node.tuning.learner_batch_ms

    def majority(self) -> int:
        node = self._node
        voters = node.log.voters
        on_disk: list[int] = []
        for name, birth in voters.births.items():
            if name == node.name:
                on_disk.append(node.log.stored)
            else:
                peer = self.peers[name]
                on_disk.append(peer.match if peer.birth == birth else 0)
        on_disk.sort(reverse=True)
        return on_disk[voters.quorum - 1] if on_disk else 0

    # Going

    def best(self) -> str | None:
        """The voter with most on its disk among those heard lately."""
        node = self._node
        near = [
            (self.peers[name].match, name)
            for name in node.others()
            if node.now - self.peers[name].heard_at < node.tuning.election_least_ms
        ]
        return max(near)[1] if near else None

    def hand_over(self) -> None:
        """The lease ends with this, whatever becomes of it."""
        node = self._node
        best = self.best()
        self.lease.void = True
        if best is not None:
            node.tell(best, messages.Stand(node.term), Carrier.STREAM)
        if node.role is Role.LEADER:
            node.become(Cause.GOES)
            node.wait()
