"""The records of the store, and the log that they add up to. Plain values: the simulated disk uses them too.

A store holds a term vote, at most one snapshot, and the entries after it, without a gap. Records are applied in the
order they were given; a batch is on disk whole or, after a fall of the machine, up to some record of it.
"""

from __future__ import annotations

from typing import Union

from msgspec import Struct


class LogEntry(Struct, frozen=True, array_like=True, gc=False):
    """One entry of the log. `kind` is consensus': a command, a change of voters, the empty line of a new leader."""

    index: int  # from 1, without a gap
    term: int  # in which its leader made it
    kind: str
    data: bytes = b""


class TermVote(Struct, frozen=True, array_like=True, tag="ballot"):
    """The current term, and whom this member voted for in it (empty: nobody yet). Raft's persistent state."""

    term: int
    vote: str = ""


class Append(Struct, frozen=True, array_like=True, tag="append"):
    """Entries that follow what is held. If the first one's index is held already, all from there on is replaced."""

    entries: tuple[LogEntry, ...]


class Snapshot(Struct, frozen=True, array_like=True, tag="snapshot"):
    """The state after `index`: entries up to it are dropped; all are, if the log held does not reach or match it."""

    index: int
    term: int
    state: bytes
    voters: tuple[str, ...] = ()  # as agreed at `index`


Record = Union[TermVote, Append, Snapshot]


class StoredLog(Struct):
    """The content of a store; `apply` is the one meaning of records, on disk and in simulated time."""

    term_vote: TermVote = TermVote(0)
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = []

    def apply(self, record: Record) -> None:
        """Raises ValueError on what would leave a gap or go back behind the snapshot."""
        if isinstance(record, TermVote):
            self.term_vote = record
        elif isinstance(record, Append):
            self._append(record.entries)
        else:
            self._snap(record)

    @property
    def base(self) -> int:
        """The index that the first entry held would follow."""
        return self.snapshot.index if self.snapshot is not None else 0

    @property
    def last(self) -> int:
        """The index of the last entry."""
        return self.entries[-1].index if self.entries else self.base

    def _append(self, entries: tuple[LogEntry, ...]) -> None:
        for number, entry in enumerate(entries):
            if entry.index != entries[0].index + number:
                raise ValueError(f"append: a gap before {entry.index}")
        if not entries:
            return
        first = entries[0].index
        if not self.base < first <= self.last + 1:
            raise ValueError(f"append: {first} does not follow {self.last}, or lies behind {self.base}")
        del self.entries[first - self.base - 1 :]
        self.entries += entries

    def _snap(self, snapshot: Snapshot) -> None:
        if snapshot.index < self.base:
            raise ValueError(f"snapshot: {snapshot.index} lies behind {self.base}")
        place = snapshot.index - self.base  # of the entries held, how many it covers
        same = 0 < place <= len(self.entries) and self.entries[place - 1].term == snapshot.term
        kept = snapshot.index == self.base or same
        self.entries = self.entries[place:] if kept else []
        self.snapshot = snapshot
