"""How records lie in files. Bytes to values and back, no I/O.

A segment `log-S` is a head and frames, the first of sequence S:

    head   magic 8 | format 4 | S 8 | crc32c 4 of all before
    frame  crc32c 4 of all behind | length 4 | sequence 8 | place 4 | msgpack of one Record, `length` bytes

`place` counts the frames of the same batch before this one. A batch is written only when the one before is synced;
so a bad frame with a good frame of a *later batch* behind it had been synced once, and is damage. A bad frame with
none such behind it may be the torn end of a batch that was never promised. The difference is that of R. Alagappan et
al., "Protocol-Aware Recovery for Consensus-Based Storage", FAST 2018; damage in the last batch alone looks as a torn
end. A frame of length 0 is the mark of a store closed in order; as a batch of its own it covers all before it.

A `snapshot-S` holds all that is held after sequence S: magic 8 | format 4 | S 8 | crc32c 4 of all but itself | msgpack
of `Kept`. Numbers are big-endian. The epoch stands in each entry, under the frame's checksum.

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

FORMAT = 1
LOG, KEPT = b"LIMElog\n", b"LIMEkept"
HEAD = Layout(">8sIQ")
SUM = Layout(">I")
FRAME = Layout(">IQI")  # behind the checksum
HEAD_SIZE = HEAD.size + SUM.size
FRAME_SIZE = SUM.size + FRAME.size
MOST_RECORD = 1 << 28  # bytes of one record

_NAME = re.compile(r"(log|snapshot)-(\d{20})")
_decode: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)
_encode = msgspec.msgpack.Encoder()


class Kept(Struct, frozen=True, array_like=True):
    """What a snapshot's file holds."""

    ballot: TermVote
    snapshot: Snapshot | None
    entries: tuple[LogEntry, ...]


_decode_kept: msgspec.msgpack.Decoder[Kept] = msgspec.msgpack.Decoder(Kept)


class Read(NamedTuple):
    """A segment read: its records with their offsets, the sequence after the last, and where the good part ends."""

    records: list[tuple[int, Record]]
    next: int
    end: int
    closed: bool  # its last frame is the mark of an orderly close
    torn: str | None  # what follows `end` and why it does not count


def segment_name(first: int) -> str:
    return f"log-{first:020d}"


def snapshot_name(sequence: int) -> str:
    return f"snapshot-{sequence:020d}"


def sequence_of(kind: str, name: str) -> int | None:
    """Of a segment's (`log`) or snapshot's (`snapshot`) name; None for any other file."""
    found = _NAME.fullmatch(name)
    return int(found[2]) if found and found[1] == kind else None


def head(first: int) -> bytes:
    raw = HEAD.pack(LOG, FORMAT, first)
    return raw + SUM.pack(crc32c(raw))


def frame(record: Record | None, sequence: int, place: int) -> bytes:
    """None: the mark of an orderly close. Raises StoreError `misfit` if the record is too large."""
    data = b"" if record is None else _encode.encode(record)
    if len(data) > MOST_RECORD:
        raise StoreError("misfit", f"a record of {len(data)} bytes; {MOST_RECORD} at most")
    behind = FRAME.pack(len(data), sequence, place) + data
    return SUM.pack(crc32c(behind)) + behind


def kept_file(held: StoredLog, sequence: int) -> bytes:
    raw = HEAD.pack(KEPT, FORMAT, sequence)
    data = _encode.encode(Kept(held.term_vote, held.snapshot, tuple(held.entries)))
    return raw + SUM.pack(crc32c(data, crc32c(raw))) + data


def read_kept(name: str, raw: bytes, sequence: int) -> StoredLog:
    """Raises StoreError `damaged` or `version`."""
    _check_head(name, raw, KEPT, sequence)
    data = memoryview(raw)[HEAD_SIZE:]
    if crc32c(data, crc32c(raw[: HEAD.size])) != SUM.unpack_from(raw, HEAD.size)[0]:
        raise damaged(name, 0, "its checksum is wrong")
    try:
        kept = _decode_kept.decode(data)
    except msgspec.MsgspecError as error:
        raise damaged(name, HEAD_SIZE, f"not what this program writes: {error}") from None
    return StoredLog(kept.ballot, kept.snapshot, list(kept.entries))


def read_segment(name: str, raw: bytes, first: int, last: bool) -> Read:
    """`last`: no later segment exists, so its end may be torn. Raises StoreError `damaged` or `version`."""
    _check_head(name, raw, LOG, first)
    if crc32c(raw[: HEAD.size]) != SUM.unpack_from(raw, HEAD.size)[0]:
        raise damaged(name, 0, "the checksum of its head is wrong")
    records: list[tuple[int, Record]] = []
    at, sequence, closed = HEAD_SIZE, first, False
    view = memoryview(raw)
    while at < len(raw):
        length = _sound(view, at, sequence)
        if length is None:
            if not last:
                raise damaged(name, at, "a later segment follows")
            synced = _later(view, at, sequence)
            if synced is not None:
                raise damaged(name, at, f"a sound record of a later batch follows at {synced}")
            return Read(records, sequence, at, False, f"{name}: {len(raw) - at} bytes from {at} on")
        closed = length == 0
        if length:
            try:
                records.append((at, _decode.decode(view[at + FRAME_SIZE : at + FRAME_SIZE + length])))
            except msgspec.MsgspecError as error:
                raise damaged(name, at, f"not what this program writes: {error}") from None
        at, sequence = at + FRAME_SIZE + length, sequence + 1
    return Read(records, sequence, at, closed, None)


def _check_head(name: str, raw: bytes, magic: bytes, sequence: int) -> None:
    if len(raw) < HEAD_SIZE:
        raise damaged(name, 0, f"only {len(raw)} bytes long")
    found, version, numbered = HEAD.unpack_from(raw)
    if found != magic:
        raise damaged(name, 0, "it begins otherwise")
    if version != FORMAT:
        raise StoreError("version", f"{name}: format {version}; this program reads {FORMAT}")
    if numbered != sequence:
        raise damaged(name, 12, f"it begins with {numbered}, not as its name says")


def _sound(view: memoryview, at: int, sequence: int | None) -> int | None:
    """The length of the frame's data if it is sound; `sequence`: and has this number."""
    if len(view) - at < FRAME_SIZE:
        return None
    length, numbered, _ = FRAME.unpack_from(view, at + SUM.size)
    end = at + FRAME_SIZE + length
    if end > len(view) or (sequence is not None and numbered != sequence):
        return None
    return length if crc32c(view[at + SUM.size : end]) == SUM.unpack_from(view, at)[0] else None


def _later(view: memoryview, at: int, sequence: int) -> int | None:
    """Where behind `at` a sound frame of a batch lies that began after `sequence`; None if nowhere.

    The length that stands in a bad frame is worth nothing, so every offset is tried.
    """
    most = sequence + (len(view) - at) // FRAME_SIZE + 1
    for here in range(at + 1, len(view) - FRAME_SIZE + 1):
        _, numbered, place = FRAME.unpack_from(view, here + SUM.size)
        if sequence < numbered - place <= numbered <= most and _sound(view, here, None) is not None:
            return here
    return None


def damaged(name: str, offset: int, text: str) -> StoreError:
    return StoreError("damaged", f"{name} at offset {offset}: {text}")
