"""The store of one log, on disk and in memory, and the order of operations that keeps it readable.

A batch without a snapshot is appended to the last segment and synced. A batch with one becomes a new snapshot file of
all that is held after it; the next batch begins a segment, and what the new file covers is removed. Whatever fails is
undone before the next batch: a new name is removed, the segment is cut back to its last good end and synced. Only what
is synced counts, as after a failed fsync nothing else is known (A. Rebello et al., "Can Applications Recover from fsync
Failures?", ATC 2020).

States of a store:

    closed          open() -> ready; StoreError -> closed
    ready           write() -> ready; an operation fails -> needs repair
    needs repair    write() repairs first -> ready, or StoreError -> needs repair
    ready, needs repair   close() -> closed
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Sequence

from . import segments
from .files import TEMPORARY_SUFFIX, Files, StoreError, store_error
from .records import Record, Snapshot, StoredLog, TermVote

SEGMENT_BYTES = 4 << 20  # size from which on the next segment begins: an open with a torn end reads through one
MAX_STORE_BYTES = 64 << 20  # of all files together
TERM_VOTE_RESERVE_BYTES = 64 << 10  # more, for term votes alone: a full log must not stop elections


class Store:
    """Used by one thread. After an OSError of the files only StoreError is raised, and the content is as before."""

    def __init__(self, files: Files, max_bytes: int = MAX_STORE_BYTES, segment_bytes: int = SEGMENT_BYTES) -> None:
        """`most_bytes` bounds the files together; a new snapshot, half as large at most, stands beside them shortly."""
        self._files = files
        self._max_bytes = max_bytes
        self._segment_bytes = segment_bytes
        self._stored: StoredLog | None = None
        self._next_sequence = 1  # sequence
        self._segment: str | None = None  # of the segment that is appended to; None: the next batch begins one
        self._handle = -1
        self._closed = False  # the segment ends in the mark of an orderly close
        self._sizes: dict[str, int] = {}  # of every file that counts, its good part
        self._obsolete: list[str] = []  # covered by the snapshot, not removed yet
        self._doubtful_file: str | None = None  # a new file that may be on disk and must not be
        self._needs_repair = False
        self._compacted_bytes = 0  # bytes on disk when last compacted of its own accord
        self.torn_end: str | None = None  # what open() has cut off

    @property
    def disk_bytes(self) -> int:
        """Bytes of all files that count, as far as they are valid."""
        return sum(self._sizes.values())

    def open(self) -> StoredLog:
        """Reads everything, cuts a torn end. Raises StoreError `damaged`, `version`, or as an operation failed."""
        if self._stored is not None:
            raise RuntimeError("open twice")
        self._sizes = {}
        self._obsolete = []
        self.torn_end = None
        try:
            held = self._read()
            self._sync_last_segment()
        except OSError as error:
            self._close_files()
            raise store_error(error) from None
        self._stored = held
        self._compacted_bytes = self.disk_bytes
        self._remove_obsolete()
        return StoredLog(held.term_vote, held.snapshot, list(held.entries))

    def write(self, records: Sequence[Record]) -> None:
        """On disk when it returns: one fsync, or with a snapshot among them one new file. Raises StoreError.

        `full`, `read-only`, `removed`, `torn`: nothing of it counts, the same may be tried again. `misfit`: it does not
        follow what is held, and never will.
        """
        held = self._require_open()
        if not records:
            return
        self._repair()
        snaps = any(isinstance(record, Snapshot) for record in records)
        frames = b"" if snaps else self._frames(records)
        if not snaps and self._ensure_space(len(frames), all(isinstance(record, TermVote) for record in records)):
            frames = self._frames(records)
        undo = _apply(held, records)
        try:
            if snaps:
                self._write_snapshot(held, self._next_sequence + len(records) - 1)
            else:
                self._append(frames)
        except BaseException as error:
            undo()
            if not isinstance(error, OSError):
                raise
            self._needs_repair = True
            with contextlib.suppress(StoreError):
                self._repair()  # gives its bytes back now if it can
            raise store_error(error) from None
        self._next_sequence += len(records)
        if snaps:
            self._remove_obsolete()
            self._compacted_bytes = self.disk_bytes

    def close(self) -> None:
        """Marks an orderly end where that can be done. Never fails; twice does no harm."""
        if self._stored is not None and self._segment is not None and not self._closed:
            with contextlib.suppress(StoreError, OSError):
                self._repair()
                self._append(segments.encode_frame(None, self._next_sequence, 0))
        self._close_files()

    # Reading

    def _read(self) -> StoredLog:
        names = self._files.names()
        self._obsolete = [name for name in names if name.endswith(TEMPORARY_SUFFIX)]
        kept = sorted(seq for seq in (segments.sequence_of("snapshot", name) for name in names) if seq is not None)
        logs = sorted(seq for seq in (segments.sequence_of("log", name) for name in names) if seq is not None)
        held, covered = StoredLog(), 0
        if kept:
            covered = kept[-1]
            name = segments.snapshot_name(covered)
            raw = self._files.read(name)
            held, self._sizes[name] = segments.decode_snapshot(name, raw, covered), len(raw)
        self._obsolete += [segments.snapshot_name(seq) for seq in kept[:-1]]
        self._obsolete += [segments.segment_name(seq) for seq in logs if seq <= covered]
        self._next_sequence, self._segment, self._closed = covered + 1, None, False
        live = [seq for seq in logs if seq > covered]
        for first in live:
            self._read_segment(held, first, first == live[-1])
        return held

    def _read_segment(self, held: StoredLog, first: int, last: bool) -> None:
        name = segments.segment_name(first)
        if first != self._next_sequence:
            raise segments.damaged_error(name, 0, f"it begins with {first}; {self._next_sequence} is missing before it")
        raw = self._files.read(name)
        read = segments.decode_segment(name, raw, first, last)
        for offset, record in read.records:
            try:
                held.apply(record)
            except ValueError as error:
                raise segments.damaged_error(name, offset, f"it does not follow: {error}") from None
        self._next_sequence, self._sizes[name], self.torn_end, self._closed = (
            read.next_sequence,
            read.valid_end,
            read.torn_end,
            read.closed_in_order,
        )
        if last:
            self._segment = name

    def _sync_last_segment(self) -> None:
        """What was read may lie in the system's memory only, if the process alone had died: now it is on disk."""
        if self._segment is None:
            return
        if self.torn_end is not None:
            self._files.truncate(self._segment, self._sizes[self._segment])
        self._handle = self._files.open_append(self._segment)
        self._files.sync(self._handle)

    # Writing

    def _frames(self, records: Sequence[Record]) -> bytes:
        return b"".join(
            segments.encode_frame(record, self._next_sequence + place, place) for place, record in enumerate(records)
        )

    def _append(self, frames: bytes) -> None:
        if self._segment is not None and self._sizes[self._segment] >= self._segment_bytes:
            self._close_segment()
        if self._segment is None:
            name, head = segments.segment_name(self._next_sequence), segments.segment_header(self._next_sequence)
            self._doubtful_file = name
            self._files.replace(name, head)
            self._doubtful_file = None
            self._segment, self._sizes[name] = name, len(head)
            self._handle = self._files.open_append(name)
        self._files.write(self._handle, frames)
        self._files.sync(self._handle)
        self._sizes[self._segment] += len(frames)
        self._closed = False

    def _write_snapshot(self, held: StoredLog, sequence: int) -> None:
        """A snapshot's file; what it covers is obsolete from then on."""
        raw = segments.encode_snapshot(held, sequence)
        if len(raw) > self._max_bytes // 2:
            raise StoreError("full", f"a snapshot of {len(raw)} bytes; {self._max_bytes // 2} is half of all")
        name = segments.snapshot_name(sequence)
        self._doubtful_file = name
        self._files.replace(name, raw)
        self._doubtful_file = None
        self._obsolete += [old for old in self._sizes if old not in self._obsolete]
        self._close_segment()
        self._sizes[name] = len(raw)

    def _ensure_space(self, size: int, only_term_votes: bool) -> bool:
        """Whether the sequence went on. Raises StoreError `full`.

        Where replaced entries and term votes may have grown to a quarter of the bound, they are dropped before it
        says no.
        """
        self._remove_obsolete()
        size += segments.HEADER_SIZE
        most = self._max_bytes + (TERM_VOTE_RESERVE_BYTES if only_term_votes else 0)
        moved = False
        if self.disk_bytes + size > most and self.disk_bytes - self._compacted_bytes >= self._max_bytes // 4:
            self._compacted_bytes = self.disk_bytes
            moved = self._compact()
        if self.disk_bytes + size > most:
            raise StoreError("full", f"{self.disk_bytes} bytes are held and {size} asked for; {most} at most")
        return moved

    def _compact(self) -> bool:
        try:
            self._write_snapshot(self._require_open(), self._next_sequence)
        except StoreError:
            return False  # what is held is itself too large
        except OSError as error:
            self._needs_repair = True
            raise store_error(error) from None
        self._next_sequence += 1  # the snapshot has a number as a record has
        self._remove_obsolete()
        self._compacted_bytes = self.disk_bytes
        return True

    def _repair(self) -> None:
        """Back to what is known to be on disk. Raises StoreError; then the next batch tries again."""
        if not self._needs_repair:
            return
        try:
            if self._handle >= 0:
                handle, self._handle = self._handle, -1
                self._files.close(handle)
            if self._doubtful_file is not None:
                self._files.remove(self._doubtful_file)
                self._doubtful_file = None
            if self._segment is not None:
                self._files.truncate(self._segment, self._sizes[self._segment])
                self._handle = self._files.open_append(self._segment)
        except OSError as error:
            raise store_error(error) from None
        self._needs_repair = False

    def _remove_obsolete(self) -> None:
        """Removes what the snapshot covers. A failure leaves it for later: it does no harm but to take room."""
        with contextlib.suppress(OSError):
            while self._obsolete:
                self._files.remove(self._obsolete[0])
                self._sizes.pop(self._obsolete.pop(0), None)

    def _require_open(self) -> StoredLog:
        if self._stored is None:
            raise StoreError("closed", "the store is not open")
        return self._stored

    def _close_segment(self) -> None:
        handle, self._handle, self._segment = self._handle, -1, None
        if handle >= 0:
            with contextlib.suppress(OSError):  # all of it is synced
                self._files.close(handle)

    def _close_files(self) -> None:
        self._close_segment()
        self._stored, self._needs_repair, self._doubtful_file = None, False, None


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
