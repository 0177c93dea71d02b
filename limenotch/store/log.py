"""The store: what is held, on disk and in memory, and the order of operations that keeps it readable.

A batch without a snapshot is appended to the last segment and synced. A batch with one becomes a new snapshot file of
all that is held after it; the next batch begins a segment, and what the new file covers is removed. Whatever fails is
undone before the next batch: a new name is removed, the segment is cut back to its last good end and synced. Only what
is synced counts, as after a failed fsync nothing else is known (A. Rebello et al., "Can Applications Recover from fsync
Failures?", ATC 2020).

States of a store:

    shut    open() -> ready; StoreError -> shut
    ready   write() -> ready; an operation fails -> unsure
    unsure  write() mends first -> ready, or StoreError -> unsure
    ready, unsure   close() -> shut
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Sequence

from . import segments
from .files import ASIDE, Files, StoreError, told
from .records import Record, Snapshot, StoredLog, TermVote

SEGMENT = 4 << 20  # bytes at which the next one begins: an open that finds a torn end looks through one
MOST = 64 << 20  # bytes on disk
BALLOTS = 64 << 10  # bytes more for ballots alone: a full log must not stop elections


class Store:
    """One thread's. After an OSError of the files only StoreError comes out, and what is held is as before."""

    def __init__(self, files: Files, most_bytes: int = MOST, segment_bytes: int = SEGMENT) -> None:
        """`most_bytes` bounds the files together; a new snapshot, half as large at most, stands beside them shortly."""
        self._files, self._most, self._segment_bytes = files, most_bytes, segment_bytes
        self._held: StoredLog | None = None
        self._next = 1  # sequence
        self._name: str | None = None  # of the segment that is appended to; None: the next batch begins one
        self._handle = -1
        self._closed = False  # the segment ends in the mark of an orderly close
        self._sizes: dict[str, int] = {}  # of every file that counts, its good part
        self._litter: list[str] = []  # covered by the snapshot, not removed yet
        self._doubtful: str | None = None  # a new file that may be on disk and must not be
        self._unsure = False
        self._tidied = 0  # bytes on disk when last compacted of its own accord
        self.torn: str | None = None  # what open() has cut off

    @property
    def disk_bytes(self) -> int:
        return sum(self._sizes.values())

    def open(self) -> StoredLog:
        """Reads everything, cuts a torn end. Raises StoreError `damaged`, `version`, or as an operation failed."""
        if self._held is not None:
            raise RuntimeError("open twice")
        self._sizes, self._litter, self.torn = {}, [], None
        try:
            held = self._read()
            self._settle()
        except OSError as error:
            self._let_go()
            raise told(error) from None
        self._held = held
        self._tidied = self.disk_bytes
        self._sweep()
        return StoredLog(held.term_vote, held.snapshot, list(held.entries))

    def write(self, records: Sequence[Record]) -> None:
        """On disk when it returns: one fsync, or with a snapshot among them one new file. Raises StoreError.

        `full`, `read-only`, `removed`, `torn`: nothing of it counts, the same may be tried again. `misfit`: it does not
        follow what is held, and never will.
        """
        held = self._opened()
        if not records:
            return
        self._mend()
        snaps = any(isinstance(record, Snapshot) for record in records)
        frames = b"" if snaps else self._frames(records)
        if not snaps and self._make_room(len(frames), all(isinstance(record, TermVote) for record in records)):
            frames = self._frames(records)
        undo = _apply(held, records)
        try:
            if snaps:
                self._keep(held, self._next + len(records) - 1)
            else:
                self._append(frames)
        except BaseException as error:
            undo()
            if not isinstance(error, OSError):
                raise
            self._unsure = True
            with contextlib.suppress(StoreError):
                self._mend()  # gives its bytes back now if it can
            raise told(error) from None
        self._next += len(records)
        if snaps:
            self._sweep()
            self._tidied = self.disk_bytes

    def close(self) -> None:
        """Marks an orderly end where that can be done. Never fails; twice does no harm."""
        if self._held is not None and self._name is not None and not self._closed:
            with contextlib.suppress(StoreError, OSError):
                self._mend()
                self._append(segments.frame(None, self._next, 0))
        self._let_go()

    # Reading

    def _read(self) -> StoredLog:
        names = self._files.names()
        self._litter = [name for name in names if name.endswith(ASIDE)]
        kept = sorted(seq for seq in (segments.sequence_of("snapshot", name) for name in names) if seq is not None)
        logs = sorted(seq for seq in (segments.sequence_of("log", name) for name in names) if seq is not None)
        held, covered = StoredLog(), 0
        if kept:
            covered = kept[-1]
            name = segments.snapshot_name(covered)
            raw = self._files.read(name)
            held, self._sizes[name] = segments.read_kept(name, raw, covered), len(raw)
        self._litter += [segments.snapshot_name(seq) for seq in kept[:-1]]
        self._litter += [segments.segment_name(seq) for seq in logs if seq <= covered]
        self._next, self._name, self._closed = covered + 1, None, False
        live = [seq for seq in logs if seq > covered]
        for first in live:
            self._read_segment(held, first, first == live[-1])
        return held

    def _read_segment(self, held: StoredLog, first: int, last: bool) -> None:
        name = segments.segment_name(first)
        if first != self._next:
            raise segments.damaged(name, 0, f"it begins with {first}; {self._next} is missing before it")
        raw = self._files.read(name)
        read = segments.read_segment(name, raw, first, last)
        for offset, record in read.records:
            try:
                held.apply(record)
            except ValueError as error:
                raise segments.damaged(name, offset, f"it does not follow: {error}") from None
        self._next, self._sizes[name], self.torn, self._closed = read.next, read.end, read.torn, read.closed
        if last:
            self._name = name

    def _settle(self) -> None:
        """What was read may lie in the system's memory only, if the process alone had died: now it is on disk."""
        if self._name is None:
            return
        if self.torn is not None:
            self._files.truncate(self._name, self._sizes[self._name])
        self._handle = self._files.open_append(self._name)
        self._files.sync(self._handle)

    # Writing

    def _frames(self, records: Sequence[Record]) -> bytes:
        return b"".join(segments.frame(record, self._next + place, place) for place, record in enumerate(records))

    def _append(self, frames: bytes) -> None:
        if self._name is not None and self._sizes[self._name] >= self._segment_bytes:
            self._let_go_of_segment()
        if self._name is None:
            name, head = segments.segment_name(self._next), segments.head(self._next)
            self._doubtful = name
            self._files.replace(name, head)
            self._doubtful = None
            self._name, self._sizes[name] = name, len(head)
            self._handle = self._files.open_append(name)
        self._files.write(self._handle, frames)
        self._files.sync(self._handle)
        self._sizes[self._name] += len(frames)
        self._closed = False

    def _keep(self, held: StoredLog, sequence: int) -> None:
        """A snapshot's file; what it covers is litter from then on."""
        raw = segments.kept_file(held, sequence)
        if len(raw) > self._most // 2:
            raise StoreError("full", f"a snapshot of {len(raw)} bytes; {self._most // 2} is half of all")
        name = segments.snapshot_name(sequence)
        self._doubtful = name
        self._files.replace(name, raw)
        self._doubtful = None
        self._litter += [old for old in self._sizes if old not in self._litter]
        self._let_go_of_segment()
        self._sizes[name] = len(raw)

    def _make_room(self, size: int, ballots: bool) -> bool:
        """Whether the sequence went on. Raises StoreError `full`.

        Where replaced entries and ballots may have grown to a quarter of the bound, they are dropped before it says no.
        """
        self._sweep()
        size += segments.HEAD_SIZE
        most = self._most + (BALLOTS if ballots else 0)
        moved = False
        if self.disk_bytes + size > most and self.disk_bytes - self._tidied >= self._most // 4:
            self._tidied = self.disk_bytes
            moved = self._compact()
        if self.disk_bytes + size > most:
            raise StoreError("full", f"{self.disk_bytes} bytes are held and {size} asked for; {most} at most")
        return moved

    def _compact(self) -> bool:
        try:
            self._keep(self._opened(), self._next)
        except StoreError:
            return False  # what is held is itself too large
        except OSError as error:
            self._unsure = True
            raise told(error) from None
        self._next += 1  # the snapshot has a number as a record has
        self._sweep()
        self._tidied = self.disk_bytes
        return True

    def _mend(self) -> None:
        """Back to what is known to be on disk. Raises StoreError; then the next batch tries again."""
        if not self._unsure:
            return
        try:
            if self._handle >= 0:
                handle, self._handle = self._handle, -1
                self._files.close(handle)
            if self._doubtful is not None:
                self._files.remove(self._doubtful)
                self._doubtful = None
            if self._name is not None:
                self._files.truncate(self._name, self._sizes[self._name])
                self._handle = self._files.open_append(self._name)
        except OSError as error:
            raise told(error) from None
        self._unsure = False

    def _sweep(self) -> None:
        """Removes what the snapshot covers. A failure leaves it for later: it does no harm but to take room."""
        with contextlib.suppress(OSError):
            while self._litter:
                self._files.remove(self._litter[0])
                self._sizes.pop(self._litter.pop(0), None)

    def _opened(self) -> StoredLog:
        if self._held is None:
            raise StoreError("closed", "the store is not open")
        return self._held

    def _let_go_of_segment(self) -> None:
        handle, self._handle, self._name = self._handle, -1, None
        if handle >= 0:
            with contextlib.suppress(OSError):  # all of it is synced
                self._files.close(handle)

    def _let_go(self) -> None:
        self._let_go_of_segment()
        self._held, self._unsure, self._doubtful = None, False, None


def _apply(held: StoredLog, records: Sequence[Record]) -> Callable[[], None]:
    """Applies all; returns what takes it back. Raises StoreError `misfit`, with nothing applied."""
    undo: list[Callable[[], None]] = []

    def back() -> None:
        for step in reversed(undo):
            step()

    for record in records:
        undo.append(_way_back(held, record))
        try:
            held.apply(record)
        except ValueError as error:
            undo.pop()
            back()
            raise StoreError("misfit", str(error)) from None
    return back


def _way_back(held: StoredLog, record: Record) -> Callable[[], None]:
    ballot, snapshot, entries = held.term_vote, held.snapshot, held.entries
    place = len(entries)
    if not isinstance(record, (TermVote, Snapshot)) and record.entries:
        place = min(place, max(record.entries[0].index - held.base - 1, 0))
    tail = entries[place:]

    def step() -> None:
        held.term_vote, held.snapshot, held.entries = ballot, snapshot, entries
        entries[place:] = tail

    return step
