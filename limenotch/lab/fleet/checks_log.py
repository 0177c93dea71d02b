"""What must hold of every run of the log, looked at from outside: notes and actions, and what the disks hold.

| rule | seen from |
| --- | --- |
| one leader an epoch | LeaderChanged that names its teller |
| one vote an epoch, of one disk, and on it before it is told | Voted, the disk at that instant |
| one entry an index | EntryCommitted of all nodes, all lives |
| each node's agreed go up, none twice in a life | EntryCommitted, SnapshotInstalled |
| no id agreed twice | EntryCommitted of all nodes |
| promised: on a quorum's disks at that instant | ProposalCommitted, the disks (a wiped one counts with what it held) |
| nothing promised is lost | each node's agreed at the end, after the heal |
| a read sees all that was promised before it was asked | ReadIndex, ReadReady, ProposalCommitted |

Nothing of the package it checks is called; messages and actions are known by their types and
fields.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from limenotch.fleet.consensus import api
from limenotch.fleet.consensus.messages import Voted
from limenotch.fleet.interfaces import SendToMember, Store
from limenotch.store.records import StoredLog


class Checker:
    """`saw` is told all that is asked of and done by every node; `broken` tells what was wrong, once each."""

    def __init__(self, disks: Callable[[], Mapping[str, StoredLog]]) -> None:
        self._disks = disks
        self._lost_disks: list[StoredLog] = []
        self._broken: dict[str, None] = {}
        self._leaders: dict[int, str] = {}
        self._votes: dict[tuple[str, str, int], str] = {}
        self._entries: dict[int, tuple[int, bytes, str]] = {}
        self._by_id: dict[str, int] = {}
        self._agreed: dict[str, dict[int, str]] = {}
        self._last: dict[str, int] = {}
        self._asked: dict[tuple[str, int], str] = {}
        self._reads: dict[tuple[str, int], int] = {}
        self._later: dict[int, set[str]] = {}  # voters by index, as a leader gave them to its disk
        self.promised: dict[int, str] = {}  # index: id
        self.answers: dict[str, int] = {}
        self._looks: dict[type, Callable[[str, Any], None]] = {
            api.Propose: self._see_proposal,
            api.ReadIndex: self._see_read_asked,
            api.LeaderChanged: self._see_leader,
            SendToMember: self._see_message,
            Store: self._see_stored,
            api.EntryCommitted: self._see_committed,
            api.ProposalCommitted: self._see_promised,
            api.ReadReady: self._see_read_ready,
            api.ProposalRejected: self._see_rejected,
            api.OutcomeUnknown: self._see_outcome_unknown,
        }

    @property
    def broken(self) -> list[str]:
        return list(self._broken)

    def _wrong(self, what: str) -> None:
        self._broken.setdefault(what)

    def started(self, node: str, index: int, held: Mapping[int, str]) -> None:
        """A life begins with the snapshot's state: index to id."""
        self._agreed[node], self._last[node] = dict(held), index

    def wiped(self, held: StoredLog) -> None:
        self._lost_disks.append(StoredLog(held.term_vote, held.snapshot, list(held.entries)))

    def saw(self, at: float, node: str, what: Any) -> None:
        look = self._looks.get(type(what))
        if look is not None:
            look(node, what)

    def _see_proposal(self, node: str, what: Any) -> None:
        self._asked[node, what.ticket] = what.id

    def _see_read_asked(self, node: str, what: Any) -> None:
        self._reads[node, what.ticket] = max(self.promised, default=0)

    def _see_leader(self, node: str, what: Any) -> None:
        if what.name == node and self._leaders.setdefault(what.term, node) != node:
            self._wrong(f"epoch {what.term} led by {self._leaders[what.term]} and {node}")

    def _see_message(self, node: str, what: Any) -> None:
        message = what.message
        if not isinstance(message, Voted) or not message.yes:
            return
        ballot = self._disks()[node].term_vote
        vote, _, birth = ballot.vote.partition("?")
        if (ballot.term, vote) != (message.term, what.member):
            self._wrong(f"vote of {node} for {what.member} in {message.term} told before it was on disk")
        if self._votes.setdefault((node, birth, message.term), what.member) != what.member:
            self._wrong(f"{node} voted twice in {message.term}")

    def _see_stored(self, node: str, what: Any) -> None:
        for record in what.records:
            for entry in getattr(record, "entries", ()):
                if entry.kind == "voters":
                    self._later[entry.index] = _voters(entry)

    def _see_committed(self, node: str, what: Any) -> None:
        entry = (what.term, what.data, what.id)
        if self._entries.setdefault(what.index, entry) != entry:
            self._wrong(f"two entries agreed at {what.index}")
        if what.id and self._by_id.setdefault(what.id, what.index) != what.index:
            self._wrong(f"id {what.id} agreed at {self._by_id[what.id]} and {what.index}")
        if what.index <= self._last[node]:
            self._wrong(f"{node} was told {what.index} after {self._last[node]}")
        self._last[node] = what.index
        self._agreed[node][what.index] = what.id

    def installed(self, node: str, index: int, held: Mapping[int, str]) -> None:
        if index < self._last[node]:
            self._wrong(f"{node} went back from {self._last[node]} to {index} by a snapshot")
        self._agreed[node], self._last[node] = dict(held), index

    def _see_promised(self, node: str, what: Any) -> None:
        self._count("promised")
        ident = self._asked.get((node, what.ticket))
        if ident is None:
            return
        self.promised[what.index] = ident
        if not self._on_quorum(what.index, ident):
            self._wrong(f"{ident} promised at {what.index} without a quorum's disks")

    def _see_read_ready(self, node: str, what: Any) -> None:
        self._count("read")
        if what.index < self._reads[node, what.ticket]:
            self._wrong(f"read on {node} gave {what.index}, {self._reads[node, what.ticket]} was promised before")

    def _see_rejected(self, node: str, what: Any) -> None:
        self._count("refused")

    def _see_outcome_unknown(self, node: str, what: Any) -> None:
        self._count("unknown")

    def _count(self, what: str) -> None:
        self.answers[what] = self.answers.get(what, 0) + 1

    def _on_quorum(self, index: int, ident: str) -> bool:
        """By the voters in force at the index on some disk, or by any later ones: a leader counts by a change as soon
        as it has made it, which is sound since quorums of two neighbours share a member (thesis, 4.1)."""
        disks = self._disks()
        having = {name for name, held in disks.items() if _holds(held, index, ident)}
        lost = sum(1 for held in self._lost_disks if _holds(held, index, ident))
        for held in disks.values():
            voters = set(held.snapshot.voters) if held.snapshot else set()
            for entry in held.entries:
                if entry.kind == "voters":
                    if entry.index > index and _enough(having, lost, voters):
                        return True
                    voters = _voters(entry)
            if _enough(having, lost, voters):
                return True
        return any(at > index and _enough(having, lost, voters) for at, voters in self._later.items())

    def ended(self, up: list[str]) -> None:
        """All is healed and quiet: what was promised is everywhere."""
        for node in up:
            held = self._agreed[node]
            missing = [ident for index, ident in self.promised.items() if held.get(index) != ident]
            if missing:
                self._wrong(f"{node} lacks {len(missing)} promised, first {missing[0]}")


def _voters(entry: Any) -> set[str]:
    return set(msgspec.msgpack.decode(entry.data)[0])


def _holds(held: StoredLog, index: int, ident: str) -> bool:
    if held.snapshot is not None and held.snapshot.index >= index:
        return True
    place = index - held.base - 1
    return place < len(held.entries) and ident.encode() in held.entries[place].data


def _enough(having: set[str], lost: int, voters: set[str]) -> bool:
    return bool(voters) and len(having & voters) + lost >= len(voters) // 2 + 1
