"""A disk in memory under the store: falls at any operation, errors, a bound on room. Seeded, so always the same.

It keeps what the system would hold in memory apart from what is on the disk; a fall keeps of the rest what chance
leaves: names up to some change of the folder, and of unsynced bytes some first part, with holes.
"""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from hypothesis import strategies as st

from limenotch.store.files import TEMPORARY_SUFFIX
from limenotch.store.records import Append, LogEntry, Record, Snapshot, StoredLog, TermVote

PAGE = 64  # bytes; small, so that small batches span several


class FellError(Exception):
    """The machine fell: nothing after this operation took place. Not an OSError: the store can't catch it."""


@dataclass
class File:
    now: bytes = b""
    synced: bytes = b""


@dataclass
class Disk:
    """Files, see limenotch.store.files. `before` is asked at each single operation and may raise."""

    seed: int = 0
    room: int = 1 << 40  # bytes
    before: Callable[[int], None] = lambda number: None
    steps: int = 0
    syncs: int = 0
    names_now: dict[str, File] = field(default_factory=dict)
    names_synced: dict[str, File] = field(default_factory=dict)
    folder: list[dict[str, File]] = field(default_factory=list)  # as it was after each change since its last sync
    handles: dict[int, File] = field(default_factory=dict)
    opened: int = 0

    def step(self) -> None:
        self.steps += 1
        self.before(self.steps)

    def fall(self) -> Disk:
        """The disk that the machine finds when it is back."""
        chance = Random(self.seed * 1_000_003 + self.steps)
        names = chance.choice([self.names_synced, *self.folder])
        found = Disk(self.seed + 1)
        for name, file in names.items():
            data = self._left(file, chance)
            found.names_now[name] = File(data, data)
        found.names_synced = dict(found.names_now)
        return found

    @staticmethod
    def _left(file: File, chance: Random) -> bytes:
        if not file.now.startswith(file.synced):  # cut back: that may be on the disk or not
            return chance.choice([file.now, file.synced])
        rest = bytearray(file.now[len(file.synced) :])
        del rest[chance.randint(0, len(rest)) :]
        for at in range(0, len(rest), PAGE):
            if chance.random() < 0.25:
                rest[at : at + PAGE] = bytes(len(rest[at : at + PAGE]))
        return file.synced + bytes(rest)

    def _find(self, name: str) -> File:
        if name not in self.names_now:
            raise FileNotFoundError(errno.ENOENT, name)
        return self.names_now[name]

    def _rename(self, names: dict[str, File]) -> None:
        self.names_now = names
        self.folder.append(names)

    def _sync_folder(self) -> None:
        self.step()
        self.names_synced, self.folder = self.names_now, []

    def _put(self, file: File, data: bytes) -> None:
        room = self.room - sum(len(one.now) for one in self.names_now.values())
        try:
            self.step()
        except OSError:
            file.now += data[: len(data) // 2]
            raise
        except FellError:
            file.now += data
            raise
        file.now += data[: max(room, 0)]
        if room < len(data):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def _sync(self, file: File) -> None:
        self.step()
        self.syncs += 1
        file.synced = file.now

    # Files

    def open_append(self, name: str) -> int:
        self.step()
        self.opened += 1
        self.handles[self.opened] = self._find(name)
        return self.opened

    def write(self, handle: int, data: bytes) -> None:
        self._put(self.handles[handle], data)

    def sync(self, handle: int) -> None:
        self._sync(self.handles[handle])
        if all(file is not self.handles[handle] for file in self.names_now.values()):
            raise FileNotFoundError(errno.ENOENT, "removed")

    def close(self, handle: int) -> None:
        del self.handles[handle]

    def read(self, name: str) -> bytes:
        self.step()
        return self._find(name).now

    def replace(self, name: str, data: bytes) -> None:
        self.step()
        aside = name + TEMPORARY_SUFFIX
        file = File()
        self._rename(self.names_now | {aside: file})
        try:
            self._put(file, data)
            self._sync(file)
            self.step()
        except OSError:
            self._rename({old: one for old, one in self.names_now.items() if old != aside})
            raise
        self._rename({old: one for old, one in self.names_now.items() if old != aside} | {name: file})
        self._sync_folder()

    def remove(self, name: str) -> None:
        self.step()
        self._rename({old: one for old, one in self.names_now.items() if old != name})
        self._sync_folder()

    def names(self) -> list[str]:
        self.step()
        return list(self.names_now)

    def truncate(self, name: str, size: int) -> None:
        self.step()
        file = self._find(name)
        file.now = file.now[:size]
        self._sync(file)


def entries(first: int, count: int, term: int, size: int = 5) -> Append:
    return Append(tuple(LogEntry(first + n, term, "command", b"%d" % term * size) for n in range(count)))


@st.composite
def histories(draw: st.DrawFn, batches: int = 6) -> list[list[Record]]:
    """Batches of records that follow each other: ballots, appends that may replace, snapshots that may leap ahead."""
    held, term, history = StoredLog(), 1, []
    for _ in range(draw(st.integers(1, batches))):
        batch: list[Record] = []
        for _ in range(draw(st.integers(1, 4))):
            kind = draw(st.integers(0, 7))
            record: Record
            if kind == 0:
                term += 1
                record = TermVote(term, draw(st.sampled_from(["", "a", "b"])))
            elif kind == 1 and held.last > 0:
                index = draw(st.integers(max(held.base, 1), held.last + 3))
                record = Snapshot(index, term, b"s" * draw(st.integers(0, 150)), ("a", "b"))
            else:
                first = draw(st.integers(held.base + 1, held.last + 1))
                record = entries(first, draw(st.integers(1, 3)), term, draw(st.integers(0, 60)))
            held.apply(record)
            batch.append(record)
        history.append(batch)
    return history


def same(one: StoredLog, other: StoredLog) -> bool:
    return (one.term_vote, one.snapshot, one.entries) == (other.term_vote, other.snapshot, other.entries)


def states(history: list[list[Record]]) -> list[StoredLog]:
    """What is held after each record, and before the first."""
    held = StoredLog()
    found = [StoredLog()]
    for record in (record for batch in history for record in batch):
        held.apply(record)
        found.append(StoredLog(held.term_vote, held.snapshot, list(held.entries)))
    return found
