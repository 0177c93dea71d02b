"""A disk in memory for the store: crashes at any operation, errors, limited capacity. Seeded, so always the same.

It separates what the kernel would cache from what is on the disk. After a crash, chance decides which unsynced changes
remain: the names as after some change of the folder, and of the unsynced bytes a first part, with holes.
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


class CrashError(Exception):
    """The machine crashed: no later operation happens. Not an OSError, so that the store cannot catch it."""


@dataclass
class File:
    now: bytes = b""
    synced: bytes = b""


@dataclass
class Disk:
    """Implements limenotch.store.files.Files. `before_operation` is called at each single operation and may raise."""

    seed: int = 0
    capacity: int = 1 << 40  # bytes
    before_operation: Callable[[int], None] = lambda number: None
    operations: int = 0
    syncs: int = 0
    names_now: dict[str, File] = field(default_factory=dict)
    names_synced: dict[str, File] = field(default_factory=dict)
    unsynced_names: list[dict[str, File]] = field(default_factory=list)  # after each change since the last sync
    handles: dict[int, File] = field(default_factory=dict)
    opened: int = 0

    def count_operation(self) -> None:
        self.operations += 1
        self.before_operation(self.operations)

    def crash(self) -> Disk:
        """The disk that the machine finds when it is up again."""
        random = Random(self.seed * 1_000_003 + self.operations)
        names = random.choice([self.names_synced, *self.unsynced_names])
        found = Disk(self.seed + 1)
        for name, file in names.items():
            data = self._remaining_bytes(file, random)
            found.names_now[name] = File(data, data)
        found.names_synced = dict(found.names_now)
        return found

    @staticmethod
    def _remaining_bytes(file: File, random: Random) -> bytes:
        if not file.now.startswith(file.synced):  # truncated: that may be on the disk or not
            return random.choice([file.now, file.synced])
        unsynced = bytearray(file.now[len(file.synced) :])
        del unsynced[random.randint(0, len(unsynced)) :]
        for offset in range(0, len(unsynced), PAGE):
            if random.random() < 0.25:
                unsynced[offset : offset + PAGE] = bytes(len(unsynced[offset : offset + PAGE]))
        return file.synced + bytes(unsynced)

    def _find(self, name: str) -> File:
        if name not in self.names_now:
            raise FileNotFoundError(errno.ENOENT, name)
        return self.names_now[name]

    def _rename(self, names: dict[str, File]) -> None:
        self.names_now = names
        self.unsynced_names.append(names)

    def _sync_folder(self) -> None:
        self.count_operation()
        self.names_synced, self.unsynced_names = self.names_now, []

    def _put(self, file: File, data: bytes) -> None:
        capacity = self.capacity - sum(len(file_now.now) for file_now in self.names_now.values())
        try:
            self.count_operation()
        except OSError:
            file.now += data[: len(data) // 2]
            raise
        except CrashError:
            file.now += data
            raise
        file.now += data[: max(capacity, 0)]
        if capacity < len(data):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def _sync(self, file: File) -> None:
        self.count_operation()
        self.syncs += 1
        file.synced = file.now

    # Files

    def open_append(self, name: str) -> int:
        self.count_operation()
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
        self.count_operation()
        return self._find(name).now

    def replace(self, name: str, data: bytes) -> None:
        self.count_operation()
        temporary = name + TEMPORARY_SUFFIX
        file = File()
        self._rename(self.names_now | {temporary: file})
        try:
            self._put(file, data)
            self._sync(file)
            self.count_operation()
        except OSError:
            self._rename({old: other_file for old, other_file in self.names_now.items() if old != temporary})
            raise
        self._rename({old: other_file for old, other_file in self.names_now.items() if old != temporary} | {name: file})
        self._sync_folder()

    def remove(self, name: str) -> None:
        self.count_operation()
        self._rename({old: other_file for old, other_file in self.names_now.items() if old != name})
        self._sync_folder()

    def names(self) -> list[str]:
        self.count_operation()
        return list(self.names_now)

    def truncate(self, name: str, size: int) -> None:
        self.count_operation()
        file = self._find(name)
        file.now = file.now[:size]
        self._sync(file)


def entries(first: int, count: int, term: int, size: int = 5) -> Append:
    return Append(tuple(LogEntry(first + n, term, "command", b"%d" % term * size) for n in range(count)))


@st.composite
def histories(draw: st.DrawFn, batches: int = 6) -> list[list[Record]]:
    """Batches of records in a valid order: term votes, appends that may replace, snapshots that may skip ahead."""
    content, term, history = StoredLog(), 1, []
    for _ in range(draw(st.integers(1, batches))):
        batch: list[Record] = []
        for _ in range(draw(st.integers(1, 4))):
            kind = draw(st.integers(0, 7))
            record: Record
            if kind == 0:
                term += 1
                record = TermVote(term, draw(st.sampled_from(["", "a", "b"])))
            elif kind == 1 and content.last_index > 0:
                index = draw(st.integers(max(content.base_index, 1), content.last_index + 3))
                record = Snapshot(index, term, b"s" * draw(st.integers(0, 150)), ("a", "b"))
            else:
                first = draw(st.integers(content.base_index + 1, content.last_index + 1))
                record = entries(first, draw(st.integers(1, 3)), term, draw(st.integers(0, 60)))
            content.apply(record)
            batch.append(record)
        history.append(batch)
    return history


def same_content(first: StoredLog, second: StoredLog) -> bool:
    return (first.term_vote, first.snapshot, first.entries) == (second.term_vote, second.snapshot, second.entries)


def states(history: list[list[Record]]) -> list[StoredLog]:
    """The content before the first record and after each record."""
    content = StoredLog()
    found = [StoredLog()]
    for record in (record for batch in history for record in batch):
        content.apply(record)
        found.append(StoredLog(content.term_vote, content.snapshot, list(content.entries)))
    return found
