"""The store of one log, on disk and in memory, and the order of operations that keeps it readable.

A batch without a snapshot is appended to the last segment and synced. A batch with one creates a snapshot file with the
complete content after it; the next batch begins a segment, and files that the snapshot covers are removed. After a
failure, all its effects are undone before the next batch: a new name is removed, the segment is truncated to its last
valid end and synced. Only synced data counts, as nothing else is known after a failed fsync (A. Rebello et al., "Can
Applications Recover from fsync Failures?", ATC 2020).

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

SEGMENT_BYTES = 4 << 20  # a larger segment is followed by a new one; an open with a torn end searches one segment
MAX_STORE_BYTES = 64 << 20  # of all files together
TERM_VOTE_RESERVE_BYTES = 64 << 10  # in addition, for term votes alone: a full log must not stop elections


class Store:
    """Used by one thread. Raises only StoreError for a failed file operation; the content is then as before."""

    def __init__(self, files: Files, max_bytes: int = MAX_STORE_BYTES, segment_bytes: int = SEGMENT_BYTES) -> None:
        """`max_bytes` bounds all files together; a new snapshot of at most half as much briefly exists in addition."""
        self._files = files
        self._max_bytes = max_bytes
        self._segment_bytes = segment_bytes
        self._stored: StoredLog | None = None
        self._next_sequence = 1
        self._segment: str | None = None  # name of the segment to append to; None: the next batch begins one
        self._handle = -1
        self._closed = False  # whether the segment ends with the mark of an orderly close
        self._sizes: dict[str, int] = {}  # valid bytes of every file in use
        self._obsolete: list[str] = []  # files covered by the snapshot and not removed yet
        self._doubtful_file: str | None = None  # a new file that may be on disk and must be removed
        self._needs_repair = False
        self._compacted_bytes = 0  # bytes on disk after the latest snapshot
        self.torn_end: str | None = None  # what open() has truncated

    @property
    def disk_bytes(self) -> int:
        """Bytes of all files in use, as far as they are valid."""
        return sum(self._sizes.values())

    def open(self) -> StoredLog:
        """Reads everything, truncates a torn end. Raises StoreError `damaged`, `version`, or as an operation failed."""
        if self._stored is not None:
            raise RuntimeError("open twice")
        self._sizes = {}
        self._obsolete = []
        self.torn_end = None
        try:
            stored_log = self._read()
            self._sync_last_segment()
        except OSError as error:
            self._close_files()
            raise store_error(error) from None
        self._stored = stored_log
        self._compacted_bytes = self.disk_bytes
        self._remove_obsolete()
        return StoredLog(stored_log.term_vote, stored_log.snapshot, list(stored_log.entries))

    def write(self, records: Sequence[Record]) -> None:
        """Returns when the records are on disk: one fsync, or with a snapshot one new file. Raises StoreError.

        `full`, `read-only`, `removed`, `torn`: no record is stored, the same may be tried again. `misfit`: the records
        do not follow the content, now or later.
        """
        stored_log = self._require_open()
        if not records:
            return
        self._repair()
        has_snapshot = any(isinstance(record, Snapshot) for record in records)
        frames = b"" if has_snapshot else self._frames(records)
        if not has_snapshot and self._ensure_space(
            len(frames), all(isinstance(record, TermVote) for record in records)
        ):
            frames = self._frames(records)
        undo = _apply(stored_log, records)
        try:
            if has_snapshot:
                self._write_snapshot(stored_log, self._next_sequence + len(records) - 1)
            else:
                self._append(frames)
        except BaseException as error:
            undo()
            if not isinstance(error, OSError):
                raise
            self._needs_repair = True
            with contextlib.suppress(StoreError):
                self._repair()  # frees the space now if possible
            raise store_error(error) from None
        self._next_sequence += len(records)
        if has_snapshot:
            self._remove_obsolete()
            self._compacted_bytes = self.disk_bytes

    def close(self) -> None:
        """Appends the mark of an orderly close if possible. Never fails; may be called more than once."""
        if self._stored is not None and self._segment is not None and not self._closed:
            with contextlib.suppress(StoreError, OSError):
                self._repair()
                self._append(segments.encode_frame(None, self._next_sequence, 0))
        self._close_files()

    # Reading

    def _read(self) -> StoredLog:
        names = self._files.names()
        self._obsolete = [name for name in names if name.endswith(TEMPORARY_SUFFIX)]
        snapshots = sorted(
            sequence for sequence in (segments.sequence_of("snapshot", name) for name in names) if sequence is not None
        )
        segment_sequences = sorted(
            sequence for sequence in (segments.sequence_of("log", name) for name in names) if sequence is not None
        )
        stored_log, covered = StoredLog(), 0
        if snapshots:
            covered = snapshots[-1]
            name = segments.snapshot_name(covered)
            raw = self._files.read(name)
            stored_log, self._sizes[name] = segments.decode_snapshot(name, raw, covered), len(raw)
        self._obsolete += [segments.snapshot_name(sequence) for sequence in snapshots[:-1]]
        self._obsolete += [segments.segment_name(sequence) for sequence in segment_sequences if sequence <= covered]
        self._next_sequence, self._segment, self._closed = covered + 1, None, False
        live_segments = [sequence for sequence in segment_sequences if sequence > covered]
        for first in live_segments:
            self._read_segment(stored_log, first, first == live_segments[-1])
        return stored_log

    def _read_segment(self, stored_log: StoredLog, first: int, last: bool) -> None:
        name = segments.segment_name(first)
        if first != self._next_sequence:
            raise segments.damaged_error(name, 0, f"it begins with {first}; {self._next_sequence} is missing before it")
        raw = self._files.read(name)
        read = segments.decode_segment(name, raw, first, last)
        for offset, record in read.records:
            try:
                stored_log.apply(record)
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
        """Syncs what was read: if only the process was killed, it may be in the kernel's memory alone."""
        if self._segment is None:
            return
        if self.torn_end is not None:
            self._files.truncate(self._segment, self._sizes[self._segment])
        self._handle = self._files.open_append(self._segment)
        self._files.sync(self._handle)

    # Writing

    def _frames(self, records: Sequence[Record]) -> bytes:
        return b"".join(
            segments.encode_frame(record, self._next_sequence + position, position)
            for position, record in enumerate(records)
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

    def _write_snapshot(self, stored_log: StoredLog, sequence: int) -> None:
        """Writes a snapshot file; the files that it covers are obsolete from then on."""
        raw = segments.encode_snapshot(stored_log, sequence)
        if len(raw) > self._max_bytes // 2:
            raise StoreError("full", f"a snapshot of {len(raw)} bytes; {self._max_bytes // 2} at most")
        name = segments.snapshot_name(sequence)
        self._doubtful_file = name
        self._files.replace(name, raw)
        self._doubtful_file = None
        self._obsolete += [old for old in self._sizes if old not in self._obsolete]
        self._close_segment()
        self._sizes[name] = len(raw)

    def _ensure_space(self, size: int, only_term_votes: bool) -> bool:
        """Whether it compacted the store, which advances the sequence. Raises StoreError `full`.

        It compacts, dropping replaced entries and old term votes, only where these may take a quarter of the limit.
        """
        self._remove_obsolete()
        size += segments.HEADER_SIZE
        limit = self._max_bytes + (TERM_VOTE_RESERVE_BYTES if only_term_votes else 0)
        compacted = False
        if self.disk_bytes + size > limit and self.disk_bytes - self._compacted_bytes >= self._max_bytes // 4:
            self._compacted_bytes = self.disk_bytes
            compacted = self._compact()
        if self.disk_bytes + size > limit:
            raise StoreError("full", f"{self.disk_bytes} bytes are stored and {size} requested; {limit} at most")
        return compacted

    def _compact(self) -> bool:
        try:
            self._write_snapshot(self._require_open(), self._next_sequence)
        except StoreError:
            return False  # the content alone is too large
        except OSError as error:
            self._needs_repair = True
            raise store_error(error) from None
        self._next_sequence += 1  # the snapshot has a sequence number like a record
        self._remove_obsolete()
        self._compacted_bytes = self.disk_bytes
        return True

    def _repair(self) -> None:
        """Returns to the state that is known to be on disk. Raises StoreError; the next batch tries again."""
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
        """Removes files that the snapshot covers. After a failure they stay for later and only take space."""
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
            with contextlib.suppress(OSError):  # all data is synced already
                self._files.close(handle)

    def _close_files(self) -> None:
        self._close_segment()
        self._stored, self._needs_repair, self._doubtful_file = None, False, None


def _apply(stored_log: StoredLog, records: Sequence[Record]) -> Callable[[], None]:
    """Applies all records; returns a function that undoes it. Raises StoreError `misfit`, with nothing applied."""
    undo: list[Callable[[], None]] = []

    def roll_back() -> None:
        for step in reversed(undo):
            step()

    for record in records:
        undo.append(_undo_step(stored_log, record))
        try:
            stored_log.apply(record)
        except ValueError as error:
            undo.pop()
            roll_back()
            raise StoreError("misfit", str(error)) from None
    return roll_back


def _undo_step(stored_log: StoredLog, record: Record) -> Callable[[], None]:
    term_vote, snapshot, entries = stored_log.term_vote, stored_log.snapshot, stored_log.entries
    position = len(entries)
    if not isinstance(record, (TermVote, Snapshot)) and record.entries:
        position = min(position, max(record.entries[0].index - stored_log.base_index - 1, 0))
    tail = entries[position:]

    def step() -> None:
        stored_log.term_vote, stored_log.snapshot, stored_log.entries = term_vote, snapshot, entries
        entries[position:] = tail

    return step
