"""What must hold of every run of the log, looked at from outside: notes and actions, and what the disks hold.

| rule | seen from |
| --- | --- |
| one leader an epoch | LeaderChanged that names its teller |
| one vote an epoch, of one disk, and on it before it is told | Voted, the disk at that instant |
| one entry an index | Agreed of all nodes, all lives |
| each node's agreed go up, none twice in a life | Agreed, Install |
| no id agreed twice | Agreed of all nodes |
| promised: on a quorum's disks at that instant | Promised, the disks (one wiped since counts with what it held) |
| nothing promised is lost | each node's agreed at the end, after the heal |
| a read sees all that was promised before it was asked | ReadAt, ReadReady, Promised |

Nothing of the package it checks is called; messages and actions are known by the names of their classes and fields.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import msgspec

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

    @property
    def broken(self) -> list[str]:
        return list(self._broken)

    def _wrong(self, what: str) -> None:
        self._broken.setdefault(what)

    def started(self, node: str, index: int, held: Mapping[int, str]) -> None:
        """A life begins with the snapshot's state: index to id."""
        self._agreed[node], self._last[node] = dict(held), index

    def wiped(self, held: StoredLog) -> None:
        self._lost_disks.append(StoredLog(held.ballot, held.snapshot, list(held.entries)))

    def saw(self, at: float, node: str, what: Any) -> None:
        look = getattr(self, "_see_" + type(what).__name__.lower(), None)
        if look is not None:
            look(node, what)

    def _see_propose(self, node: str, what: Any) -> None:
        self._asked[node, what.ticket] = what.id

    def _see_readat(self, node: str, what: Any) -> None:
        self._reads[node, what.ticket] = max(self.promised, default=0)

    def _see_leaderchanged(self, node: str, what: Any) -> None:
        if what.name == node and self._leaders.setdefault(what.epoch, node) != node:
            self._wrong(f"epoch {what.epoch} led by {self._leaders[what.epoch]} and {node}")

    def _see_tell(self, node: str, what: Any) -> None:
        message = what.message
        if type(message).__name__ != "Voted" or not message.yes:
            return
        ballot = self._disks()[node].ballot
        vote, _, birth = ballot.vote.partition("?")
        if (ballot.epoch, vote) != (message.epoch, what.to):
            self._wrong(f"vote of {node} for {what.to} in {message.epoch} told before it was on disk")
        if self._votes.setdefault((node, birth, message.epoch), what.to) != what.to:
            self._wrong(f"{node} voted twice in {message.epoch}")

    def _see_store(self, node: str, what: Any) -> None:
        for record in what.records:
            for entry in getattr(record, "entries", ()):
                if entry.kind == "voters":
                    self._later[entry.index] = _voters(entry)

    def _see_agreed(self, node: str, what: Any) -> None:
        entry = (what.epoch, what.data, what.id)
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

    def _see_readready(self, node: str, what: Any) -> None:
        self._count("read")
        if what.index < self._reads[node, what.ticket]:
            self._wrong(f"read on {node} gave {what.index}, {self._reads[node, what.ticket]} was promised before")

    def _see_refused(self, node: str, what: Any) -> None:
        self._count("refused")

    def _see_unknown(self, node: str, what: Any) -> None:
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
