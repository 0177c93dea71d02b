"""The layout of records in files: bytes to values and back, no I/O.

A segment `log-S` is a head and frames, the first of sequence S:

    head   magic 8 | format 4 | S 8 | crc32c 4 of all before
    frame  crc32c 4 of all behind | length 4 | sequence 8 | place 4 | msgpack of one Record, `length` bytes

`place` counts the frames of the same batch before this one. A batch is written only when the one before is synced; so
a bad frame with a good frame of a *later batch* behind it had been synced once, and is damage. A bad frame with none
such behind it may be the torn end of a batch that was never acknowledged. The difference is that of R. Alagappan et
al., "Protocol-Aware Recovery for Consensus-Based Storage", FAST 2018; damage in the last batch alone looks as a torn
end. A frame of length 0 is the mark of a store closed in order; as a batch of its own it covers all before it.

A `snapshot-S` holds all that is held after sequence S: magic 8 | format 4 | S 8 | crc32c 4 of all but itself | msgpack
of `SnapshotContent`. Numbers are big-endian. The term stands in each entry, under the frame's checksum.

CRC-32C (Castagnoli; RFC 3720, section 12.1) finds every burst of up to 32 bits and every 3 flipped bits in a frame of
the sizes here.
"""

from __future__ import annotations

import re
from struct import Struct as Layout
from typing import NamedTuple

import msgspec
from crc32c import crc32c
from msgspec import Struct

from .files import StoreError
from .records import LogEntry, Record, Snapshot, StoredLog, TermVote

FORMAT = 1  # version of the layout
SEGMENT_MAGIC = b"LIMElog\n"
SNAPSHOT_MAGIC = b"LIMEkept"
HEADER = Layout(">8sIQ")  # magic, format, sequence
CHECKSUM = Layout(">I")  # CRC-32C
FRAME = Layout(">IQI")  # length, sequence, place; behind the checksum
HEADER_SIZE = HEADER.size + CHECKSUM.size
FRAME_SIZE = CHECKSUM.size + FRAME.size
MAX_RECORD_BYTES = 1 << 28

_NAME = re.compile(r"(log|snapshot)-(\d{20})")
_decode: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)
_encode = msgspec.msgpack.Encoder()


class SnapshotContent(Struct, frozen=True, array_like=True):
    """What a snapshot's file holds."""

    term_vote: TermVote
    snapshot: Snapshot | None
    entries: tuple[LogEntry, ...]


_decode_kept: msgspec.msgpack.Decoder[SnapshotContent] = msgspec.msgpack.Decoder(SnapshotContent)


class SegmentContent(NamedTuple):
    """What a segment holds: records with their offsets, the sequence after the last, where the valid part ends."""

    records: list[tuple[int, Record]]
    next_sequence: int
    valid_end: int
    closed_in_order: bool  # its last frame is the mark of an orderly close
    torn_end: str | None  # what follows `valid_end` and why it does not count


def segment_name(first: int) -> str:
    """The file of the segment whose first frame has this sequence number."""
    return f"log-{first:020d}"


def snapshot_name(sequence: int) -> str:
    """The file of the snapshot that holds all up to this sequence number."""
    return f"snapshot-{sequence:020d}"


def sequence_of(kind: str, name: str) -> int | None:
    """Of a segment's (`log`) or snapshot's (`snapshot`) name; None for any other file."""
    found = _NAME.fullmatch(name)
    return int(found[2]) if found and found[1] == kind else None


def segment_header(first: int) -> bytes:
    """The bytes with which the segment begins whose first frame has this sequence number."""
    raw = HEADER.pack(SEGMENT_MAGIC, FORMAT, first)
    return raw + CHECKSUM.pack(crc32c(raw))


def encode_frame(record: Record | None, sequence: int, place: int) -> bytes:
    """A record as bytes; None: the mark of an orderly close. Raises StoreError `misfit` if the record is too large."""
    data = b"" if record is None else _encode.encode(record)
    if len(data) > MAX_RECORD_BYTES:
        raise StoreError("misfit", f"a record of {len(data)} bytes; {MAX_RECORD_BYTES} at most")
    behind = FRAME.pack(len(data), sequence, place) + data
    return CHECKSUM.pack(crc32c(behind)) + behind


def encode_snapshot(held: StoredLog, sequence: int) -> bytes:
    """The whole file of a snapshot of `held`, which holds all up to this sequence number."""
    raw = HEADER.pack(SNAPSHOT_MAGIC, FORMAT, sequence)
    data = _encode.encode(SnapshotContent(held.term_vote, held.snapshot, tuple(held.entries)))
    return raw + CHECKSUM.pack(crc32c(data, crc32c(raw))) + data


def decode_snapshot(name: str, raw: bytes, sequence: int) -> StoredLog:
    """What a snapshot's file holds. Raises StoreError `damaged` or `version`."""
    _check_header(name, raw, SNAPSHOT_MAGIC, sequence)
    data = memoryview(raw)[HEADER_SIZE:]
    if crc32c(data, crc32c(raw[: HEADER.size])) != CHECKSUM.unpack_from(raw, HEADER.size)[0]:
        raise damaged_error(name, 0, "its checksum is wrong")
    try:
        kept = _decode_kept.decode(data)
    except msgspec.MsgspecError as error:
        raise damaged_error(name, HEADER_SIZE, f"not what this program writes: {error}") from None
    return StoredLog(kept.term_vote, kept.snapshot, list(kept.entries))


def decode_segment(name: str, raw: bytes, first: int, last: bool) -> SegmentContent:
    """All of a segment's records. `last`: no later segment exists, so its end may be torn.

    Raises StoreError `damaged` or `version`.
    """
    _check_header(name, raw, SEGMENT_MAGIC, first)
    if crc32c(raw[: HEADER.size]) != CHECKSUM.unpack_from(raw, HEADER.size)[0]:
        raise damaged_error(name, 0, "the checksum of its head is wrong")
    records: list[tuple[int, Record]] = []
    at = HEADER_SIZE
    sequence = first
    closed = False
    view = memoryview(raw)
    while at < len(raw):
        length = _valid_length(view, at, sequence)
        if length is None:
            if not last:
                raise damaged_error(name, at, "a later segment follows")
            synced = _find_later_batch(view, at, sequence)
            if synced is not None:
                raise damaged_error(name, at, f"a sound record of a later batch follows at {synced}")
            return SegmentContent(records, sequence, at, False, f"{name}: {len(raw) - at} bytes from {at} on")
        closed = length == 0
        if length:
            try:
                records.append((at, _decode.decode(view[at + FRAME_SIZE : at + FRAME_SIZE + length])))
            except msgspec.MsgspecError as error:
                raise damaged_error(name, at, f"not what this program writes: {error}") from None
        at += FRAME_SIZE + length
        sequence += 1
    return SegmentContent(records, sequence, at, closed, None)


def _check_header(name: str, raw: bytes, magic: bytes, sequence: int) -> None:
    if len(raw) < HEADER_SIZE:
        raise damaged_error(name, 0, f"only {len(raw)} bytes long")
    found, version, numbered = HEADER.unpack_from(raw)
    if found != magic:
        raise damaged_error(name, 0, "it begins otherwise")
    if version != FORMAT:
        raise StoreError("version", f"{name}: format {version}; this program reads {FORMAT}")
    if numbered != sequence:
        raise damaged_error(name, 12, f"it begins with {numbered}, not as its name says")


def _valid_length(view: memoryview, at: int, sequence: int | None) -> int | None:
    """The length of the frame's data if it is sound; `sequence`: and has this number."""
    if len(view) - at < FRAME_SIZE:
        return None
    length, numbered, _ = FRAME.unpack_from(view, at + CHECKSUM.size)
    end = at + FRAME_SIZE + length
    if end > len(view) or (sequence is not None and numbered != sequence):
        return None
    return length if crc32c(view[at + CHECKSUM.size : end]) == CHECKSUM.unpack_from(view, at)[0] else None


def _find_later_batch(view: memoryview, at: int, sequence: int) -> int | None:
    """Where behind `at` a sound frame of a batch lies that began after `sequence`; None if nowhere.

    The length that stands in a bad frame is worth nothing, so every offset is tried.
    """
    most = sequence + (len(view) - at) // FRAME_SIZE + 1
    for here in range(at + 1, len(view) - FRAME_SIZE + 1):
        _, numbered, place = FRAME.unpack_from(view, here + CHECKSUM.size)
        if sequence < numbered - place <= numbered <= most and _valid_length(view, here, None) is not None:
            return here
    return None


def damaged_error(name: str, offset: int, text: str) -> StoreError:
    """The error of a file that was damaged after it had been synced."""
    return StoreError("damaged", f"{name} at offset {offset}: {text}")
