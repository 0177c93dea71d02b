"""The layout of records in files: encoding and decoding, no I/O.

A segment `log-S` consists of a header and frames; S is the sequence number of the first frame:

    header magic 8 | format 4 | S 8 | crc32c 4 of all before
    frame  crc32c 4 of all after | length 4 | sequence 8 | position 4 | msgpack of one Record, `length` bytes

`position` counts the earlier frames of the same batch. A batch is written only when the one before is synced, so an
invalid frame that precedes a valid frame of a *later batch* was synced once, and is damage. So is every invalid frame
in a segment that a later segment follows. Any other invalid frame may be the torn end of a batch that was never
acknowledged. The distinction is that of R. Alagappan et al., "Protocol-Aware Recovery for Consensus-Based Storage",
FAST 2018; damage in the last batch alone looks like a torn end. A frame of length 0 marks a store closed in order; it
is a batch of its own, so all before it was synced.

A file `snapshot-S` has the complete content that results from everything up to and including sequence S: magic 8 |
format 4 | S 8 | crc32c 4 of all but itself | msgpack of `SnapshotContent`. Numbers are big-endian. The term is in each
entry, covered by the frame's checksum.

CRC-32C (Castagnoli; RFC 3720, section 12.1) detects every burst of up to 32 bits and every 3 flipped bits in a frame of
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
FRAME = Layout(">IQI")  # length, sequence, position; after the checksum
HEADER_SIZE = HEADER.size + CHECKSUM.size
FRAME_SIZE = CHECKSUM.size + FRAME.size
MAX_RECORD_BYTES = 1 << 28

_NAME = re.compile(r"(log|snapshot)-(\d{20})")
_decode: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)
_encode = msgspec.msgpack.Encoder()


class SnapshotContent(Struct, frozen=True, array_like=True):
    """The content of a snapshot file."""

    term_vote: TermVote
    snapshot: Snapshot | None
    entries: tuple[LogEntry, ...]


_decode_snapshot_content: msgspec.msgpack.Decoder[SnapshotContent] = msgspec.msgpack.Decoder(SnapshotContent)


class SegmentContent(NamedTuple):
    """The content of a segment: records with offsets, the next sequence number, the end of the valid part."""

    records: list[tuple[int, Record]]
    next_sequence: int
    valid_end: int
    closed_in_order: bool  # whether the last frame is the mark of an orderly close
    torn_end: str | None  # a description of the bytes after `valid_end`


def segment_name(first: int) -> str:
    """The name of the segment whose first frame has this sequence number."""
    return f"log-{first:020d}"


def snapshot_name(sequence: int) -> str:
    """The name of the snapshot file that covers all up to this sequence number."""
    return f"snapshot-{sequence:020d}"


def sequence_of(kind: str, name: str) -> int | None:
    """The sequence number in the name of a segment (`log`) or snapshot (`snapshot`); None for any other file."""
    name_match = _NAME.fullmatch(name)
    return int(name_match[2]) if name_match and name_match[1] == kind else None


def segment_header(first: int) -> bytes:
    """The header of the segment whose first frame has this sequence number."""
    raw = HEADER.pack(SEGMENT_MAGIC, FORMAT, first)
    return raw + CHECKSUM.pack(crc32c(raw))


def encode_frame(record: Record | None, sequence: int, position: int) -> bytes:
    """A record's frame; None: the mark of an orderly close. Raises StoreError `misfit` if the record is too large."""
    data = b"" if record is None else _encode.encode(record)
    if len(data) > MAX_RECORD_BYTES:
        raise StoreError("misfit", f"a record of {len(data)} bytes; {MAX_RECORD_BYTES} at most")
    checked = FRAME.pack(len(data), sequence, position) + data
    return CHECKSUM.pack(crc32c(checked)) + checked


def encode_snapshot(stored_log: StoredLog, sequence: int) -> bytes:
    """The complete snapshot file that covers all up to this sequence number."""
    raw = HEADER.pack(SNAPSHOT_MAGIC, FORMAT, sequence)
    data = _encode.encode(SnapshotContent(stored_log.term_vote, stored_log.snapshot, tuple(stored_log.entries)))
    return raw + CHECKSUM.pack(crc32c(data, crc32c(raw))) + data


def decode_snapshot(name: str, raw: bytes, sequence: int) -> StoredLog:
    """The content of a snapshot file. Raises StoreError `damaged` or `version`."""
    _check_header(name, raw, SNAPSHOT_MAGIC, sequence)
    data = memoryview(raw)[HEADER_SIZE:]
    if crc32c(data, crc32c(raw[: HEADER.size])) != CHECKSUM.unpack_from(raw, HEADER.size)[0]:
        raise damaged_error(name, 0, "its checksum is wrong")
    try:
        content = _decode_snapshot_content.decode(data)
    except msgspec.MsgspecError as error:
        raise damaged_error(name, HEADER_SIZE, f"not what this program writes: {error}") from None
    return StoredLog(content.term_vote, content.snapshot, list(content.entries))


def decode_segment(name: str, raw: bytes, first: int, last: bool) -> SegmentContent:
    """All of a segment's records. `last`: no later segment exists, so its end may be torn.

    Raises StoreError `damaged` or `version`.
    """
    _check_header(name, raw, SEGMENT_MAGIC, first)
    if crc32c(raw[: HEADER.size]) != CHECKSUM.unpack_from(raw, HEADER.size)[0]:
        raise damaged_error(name, 0, "the checksum of its head is wrong")
    records: list[tuple[int, Record]] = []
    offset = HEADER_SIZE
    sequence = first
    closed = False
    view = memoryview(raw)
    while offset < len(raw):
        length = _valid_length(view, offset, sequence)
        if length is None:
            if not last:
                raise damaged_error(name, offset, "a later segment follows")
            later_batch = _find_later_batch(view, offset, sequence)
            if later_batch is not None:
                raise damaged_error(name, offset, f"a sound record of a later batch follows at {later_batch}")
            return SegmentContent(
                records, sequence, offset, False, f"{name}: {len(raw) - offset} bytes from {offset} on"
            )
        closed = length == 0
        if length:
            try:
                records.append((offset, _decode.decode(view[offset + FRAME_SIZE : offset + FRAME_SIZE + length])))
            except msgspec.MsgspecError as error:
                raise damaged_error(name, offset, f"not what this program writes: {error}") from None
        offset += FRAME_SIZE + length
        sequence += 1
    return SegmentContent(records, sequence, offset, closed, None)


def _check_header(name: str, raw: bytes, magic: bytes, sequence: int) -> None:
    if len(raw) < HEADER_SIZE:
        raise damaged_error(name, 0, f"only {len(raw)} bytes long")
    magic_found, version, number_found = HEADER.unpack_from(raw)
    if magic_found != magic:
        raise damaged_error(name, 0, "it begins otherwise")
    if version != FORMAT:
        raise StoreError("version", f"{name}: format {version}; this program reads {FORMAT}")
    if number_found != sequence:
        raise damaged_error(name, 12, f"it begins with {number_found}, not as its name says")


def _valid_length(view: memoryview, offset: int, sequence: int | None) -> int | None:
    """The length of the frame's data if the frame is valid and, unless `sequence` is None, has that number."""
    if len(view) - offset < FRAME_SIZE:
        return None
    length, number_found, _ = FRAME.unpack_from(view, offset + CHECKSUM.size)
    end = offset + FRAME_SIZE + length
    if end > len(view) or (sequence is not None and number_found != sequence):
        return None
    return length if crc32c(view[offset + CHECKSUM.size : end]) == CHECKSUM.unpack_from(view, offset)[0] else None


def _find_later_batch(view: memoryview, offset: int, sequence: int) -> int | None:
    """The offset after `offset` of a valid frame of a batch that began after `sequence`; None if there is none.

    The length in an invalid frame cannot be trusted, so every offset is tried. `number_found - position` is the
    sequence number of the first frame in the candidate's batch. `highest` is more than any frame here can have: each
    takes at least FRAME_SIZE bytes. Numbers above it are skipped without computing a checksum.
    """
    highest = sequence + (len(view) - offset) // FRAME_SIZE + 1
    for candidate in range(offset + 1, len(view) - FRAME_SIZE + 1):
        _, number_found, position = FRAME.unpack_from(view, candidate + CHECKSUM.size)
        if (
            sequence < number_found - position <= number_found <= highest
            and _valid_length(view, candidate, None) is not None
        ):
            return candidate
    return None


def damaged_error(name: str, offset: int, text: str) -> StoreError:
    """The error of a file that was damaged after it was synced."""
    return StoreError("damaged", f"{name} at offset {offset}: {text}")
