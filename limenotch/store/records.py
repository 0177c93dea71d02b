"""The records of the store, and the log that they form. Plain values, also used by the simulated disk.

A store contains a term vote, at most one snapshot, and the entries after it without a gap. Records are applied in the
order in which they were submitted. A batch is on disk completely or, after a crash of the machine, up to one of its
records.
"""

from __future__ import annotations

from typing import Union

from msgspec import Struct


class LogEntry(Struct, frozen=True, array_like=True, gc=False):
    """An entry of the log. Consensus defines `kind`: a command, the voters, or the empty entry of a new leader."""

    index: int  # from 1, without a gap
    term: int  # of the leader that created the entry
    kind: str
    data: bytes = b""


class TermVote(Struct, frozen=True, array_like=True, tag="ballot"):
    """The current term, and the candidate that got this member's vote in it (empty: none). Raft's persistent state."""

    term: int
    vote: str = ""


class Append(Struct, frozen=True, array_like=True, tag="append"):
    """Entries that continue the log. If the first one's index exists, all entries from there on are replaced."""

    entries: tuple[LogEntry, ...]


class Snapshot(Struct, frozen=True, array_like=True, tag="snapshot"):
    """The state after `index`. Entries up to it are dropped; all are, if the log does not reach or match it."""

    index: int
    term: int
    state: bytes
    voters: tuple[str, ...] = ()  # as committed at `index`


Record = Union[TermVote, Append, Snapshot]


class StoredLog(Struct):
    """The content of a store; `apply` defines the effect of records, on disk and in simulated time."""

    term_vote: TermVote = TermVote(0)
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = []

    def apply(self, record: Record) -> None:
        """Raises ValueError on a record that would leave a gap or go back before the snapshot."""
        if isinstance(record, TermVote):
            self.term_vote = record
        elif isinstance(record, Append):
            self._append(record.entries)
        else:
            self._apply_snapshot(record)

    @property
    def base_index(self) -> int:
        """The index before the first entry."""
        return self.snapshot.index if self.snapshot is not None else 0

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.entries[-1].index if self.entries else self.base_index

    def _append(self, entries: tuple[LogEntry, ...]) -> None:
        for offset, entry in enumerate(entries):
            if entry.index != entries[0].index + offset:
                raise ValueError(f"append: a gap before {entry.index}")
        if not entries:
            return
        first = entries[0].index
        if not self.base_index < first <= self.last_index + 1:
            raise ValueError(f"append: {first} does not follow {self.last_index}, or lies behind {self.base_index}")
        del self.entries[first - self.base_index - 1 :]
        self.entries += entries

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        if snapshot.index < self.base_index:
            raise ValueError(f"snapshot: {snapshot.index} lies behind {self.base_index}")
        covered = snapshot.index - self.base_index  # how many of the entries it covers
        matches = 0 < covered <= len(self.entries) and self.entries[covered - 1].term == snapshot.term
        tail_stays = snapshot.index == self.base_index or matches
        self.entries = self.entries[covered:] if tail_stays else []
        self.snapshot = snapshot
