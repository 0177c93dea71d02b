"""What sidecars say to each other about bindings. Each bears its sender's `process_epoch`; ages count back from `sent`.

`sent` is the sender's own monotonic time in ms; an age is in tenths of a ms before it. By datagram go Ping and Pong
alone. Sights and covers go by stream: a cover must not pass the sights that it speaks of.
"""

from __future__ import annotations

from msgspec import Struct

from ..interfaces import Message

MAX_UPDATE_ROWS = 512  # in one Sights; some 50 bytes each
MAX_PAGE_ROWS = 1024  # in one Page or Copies
MAX_RANGE_KEYS = 16_384  # in one Keys, KEY_BYTES each
KEY_BYTES = 24  # the hash and the digest of its value


class RowReplica(Struct, frozen=True, array_like=True):
    """One binding. `what`: kind, state, charged in bits; `who`, `by`: places in the message's `providers`, `names`."""

    key: bytes  # 16 bytes, the keyed hash
    flags: int
    endpoint: int
    author: int
    generation: int
    moves: int
    version: int  # with `by` the version
    last_seen_age: int  # since the last sight
    created_age: int  # since its making
    stamp: int = 0  # Lamport counter of the latest sight told


class UndoneBinding(Struct, frozen=True, array_like=True):
    key: bytes
    generation: int
    moves: int
    version: int  # the sender's own version


Placement = tuple[str, str, str]  # provider, cell, zone


class LastSeenUpdate(Message, frozen=True, array_like=True, tag="bi.sights"):
    """To all. `seq` counts them without a gap, per life; `born`: the sender's counter when that life began to tell.

    `kept`: it has rows of an earlier life, which must be asked for from what was last known of that life.
    """

    process_epoch: int
    seq: int
    counter: int
    initial_counter: int
    sent_ms: float
    watermark_ms: float  # all the sender's sights up to this time of its clock are told
    complete: bool
    endpoints: tuple[Placement, ...]
    authors: tuple[str, ...]
    rows: tuple[RowReplica, ...]
    undone: tuple[UndoneBinding, ...] = ()
    retained_rows: bool = False


class Watermark(Message, frozen=True, array_like=True, tag="bi.cover"):
    """To all, where nothing else is to be told. `seq`: of the last Sights. All told later has a higher stamp."""

    process_epoch: int
    seq: int
    counter: int
    initial_counter: int
    sent_ms: float
    watermark_ms: float
    complete: bool
    retained_rows: bool = False


class Ping(Message, frozen=True, array_like=True, tag="bi.ping"):
    process_epoch: int
    sent_ms: float


class Pong(Message, frozen=True, array_like=True, tag="bi.pong"):
    process_epoch: int
    echo_ms: float
    sent_ms: float


class PageRequest(Message, frozen=True, array_like=True, tag="bi.ask"):
    """For the next page, newest first: stamps above `floor`, before (`stamp`, `key`) of the page before.

    `of`: whose sights are missing here; who does not know all of that life gives nothing. Empty: all is missing.
    """

    process_epoch: int
    serial: int
    floor: int
    stamp: int
    key: bytes
    member: str = ""
    member_process_epoch: int = 0


class KnownMember(Struct, frozen=True, array_like=True):
    """All Sights of that life up to `seq` are known, and those of its earlier lives. `covered`: age of its cover."""

    name: str
    process_epoch: int
    seq: int
    counter: int
    watermark_age: int


class Page(Message, frozen=True, array_like=True, tag="bi.page"):
    process_epoch: int
    serial: int
    sent_ms: float
    endpoints: tuple[Placement, ...]
    authors: tuple[str, ...]
    rows: tuple[RowReplica, ...]
    last: bool
    complete: bool
    known_members: tuple[KnownMember, ...] = ()  # on the first page: of whom all is in this table, the sender first


class DigestRequest(Message, frozen=True, array_like=True, tag="bi.compare"):
    process_epoch: int
    serial: int


class RangeDigests(Message, frozen=True, array_like=True, tag="bi.digests"):
    """8 bytes for each of 256 ranges of the hash, by its first byte."""

    process_epoch: int
    serial: int
    values: bytes
    complete: bool


class RangeKeysRequest(Message, frozen=True, array_like=True, tag="bi.askkeys"):
    process_epoch: int
    serial: int
    range: int
    subrange: int = 0


class RangeKeys(Message, frozen=True, array_like=True, tag="bi.keys"):
    """What the range has, KEY_BYTES each. In `parts` by the hash's second byte where it has much."""

    process_epoch: int
    serial: int
    range: int
    subrange: int
    subranges: int
    packed: bytes


class RowsRequest(Message, frozen=True, array_like=True, tag="bi.want"):
    process_epoch: int
    serial: int
    keys: bytes  # 16 each
    in_flight_ms: float = 0.0  # ms: what was told since comes by itself


class RowReplicas(Message, frozen=True, array_like=True, tag="bi.copies"):
    """Asked for by Want, or what the other was found to lack (`serial` 0)."""

    process_epoch: int
    serial: int
    sent_ms: float
    endpoints: tuple[Placement, ...]
    authors: tuple[str, ...]
    rows: tuple[RowReplica, ...]


MESSAGE_TYPES = (
    LastSeenUpdate,
    Watermark,
    Ping,
    Pong,
    PageRequest,
    Page,
    DigestRequest,
    RangeDigests,
    RangeKeysRequest,
    RangeKeys,
    RowsRequest,
    RowReplicas,
)
AffinityMessage = (
    LastSeenUpdate
    | Watermark
    | Ping
    | Pong
    | PageRequest
    | Page
    | DigestRequest
    | RangeDigests
    | RangeKeysRequest
    | RangeKeys
    | RowsRequest
    | RowReplicas
)
