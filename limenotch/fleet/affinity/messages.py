"""Messages between the affinity components of sidecars. Each has its sender's `process_epoch`.

`sent_ms` is the sender's monotonic time; an age is in tenths of a ms before it. Ping and Pong go by datagram, all
others by stream: a watermark must not overtake the updates that it refers to.
"""

from __future__ import annotations

from msgspec import Struct

from ..interfaces import Message

MAX_UPDATE_ROWS = 512  # in one LastSeenUpdate; some 50 bytes each
MAX_PAGE_ROWS = 1024  # in one Page or RowReplicas
MAX_RANGE_KEYS = 16_384  # in one RangeKeys, KEY_BYTES each
KEY_BYTES = 24  # the hash and the digest of its value


class RowReplica(Struct, frozen=True, array_like=True):
    """One binding. `flags`: bits of kind, state, charged; `endpoint`, `author`: indexes into the message's `endpoints`
    and `authors`. `generation`, `moves`, `version`: see values.py.
    """

    key: bytes  # 16 bytes, the keyed hash
    flags: int
    endpoint: int
    author: int
    generation: int
    moves: int
    version: int  # Lamport counter, compared before the author's name
    last_seen_age: int  # since the last use
    created_age: int  # since its creation
    stamp: int = 0  # Lamport counter of the latest announced use


class UndoneBinding(Struct, frozen=True, array_like=True):
    """A binding that its author removes because its request reached no endpoint."""

    key: bytes
    generation: int
    moves: int
    version: int  # as written by the sender


Placement = tuple[str, str, str]  # endpoint, cell, zone


class LastSeenUpdate(Message, frozen=True, array_like=True, tag="bi.sights"):
    """To all members. `seq` counts the updates of a process epoch without gaps; `initial_counter`: the sender's Lamport
    counter when that process epoch began to send.

    `retained_rows`: the sender has rows of an earlier process epoch; receivers request them from the counter last
    known.
    """

    process_epoch: int
    seq: int
    counter: int
    initial_counter: int
    sent_ms: float
    watermark_ms: float  # the sender has announced its uses up to this time of its clock
    complete: bool
    endpoints: tuple[Placement, ...]
    authors: tuple[str, ...]
    rows: tuple[RowReplica, ...]
    undone: tuple[UndoneBinding, ...] = ()
    retained_rows: bool = False


class Watermark(Message, frozen=True, array_like=True, tag="bi.cover"):
    """To all members, when there is no update to send. `seq`: of the last update. Later updates have higher stamps."""

    process_epoch: int
    seq: int
    counter: int
    initial_counter: int
    sent_ms: float
    watermark_ms: float
    complete: bool
    retained_rows: bool = False


class Ping(Message, frozen=True, array_like=True, tag="bi.ping"):
    """Asks for a sample of the receiver's clock."""

    process_epoch: int
    sent_ms: float


class Pong(Message, frozen=True, array_like=True, tag="bi.pong"):
    """Answers a Ping; `echo_ms`: the Ping's `sent_ms`."""

    process_epoch: int
    echo_ms: float
    sent_ms: float


class PageRequest(Message, frozen=True, array_like=True, tag="bi.ask"):
    """Requests the next page, newest first: stamps above `floor` that precede (`stamp`, `key`), the previous page's
    end.

    `member`: whose updates are missing; a receiver that does not know all updates of that process epoch answers with an
    empty page. Empty: all rows are requested.
    """

    process_epoch: int
    serial: int
    floor: int
    stamp: int
    key: bytes
    member: str = ""
    member_process_epoch: int = 0


class KnownMember(Struct, frozen=True, array_like=True):
    """A member whose updates up to `seq`, and those of its earlier process epochs, the sender knows completely.

    `watermark_age`: of the member's watermark.
    """

    name: str
    process_epoch: int
    seq: int
    counter: int
    watermark_age: int


class Page(Message, frozen=True, array_like=True, tag="bi.page"):
    """Answers a PageRequest. `last`: no page follows; `complete`: the sender is not joining itself."""

    process_epoch: int
    serial: int
    sent_ms: float
    endpoints: tuple[Placement, ...]
    authors: tuple[str, ...]
    rows: tuple[RowReplica, ...]
    last: bool
    complete: bool
    known_members: tuple[KnownMember, ...] = ()  # on the first page only, the sender first


class DigestRequest(Message, frozen=True, array_like=True, tag="bi.compare"):
    """Begins an anti-entropy exchange."""

    process_epoch: int
    serial: int


class RangeDigests(Message, frozen=True, array_like=True, tag="bi.digests"):
    """Answers a DigestRequest: 8 bytes for each of 256 ranges of the hash, by its first byte."""

    process_epoch: int
    serial: int
    values: bytes
    complete: bool


class RangeKeysRequest(Message, frozen=True, array_like=True, tag="bi.askkeys"):
    """Requests keys and digests of the rows in a range, or in a subrange of it."""

    process_epoch: int
    serial: int
    range: int
    subrange: int = 0


class RangeKeys(Message, frozen=True, array_like=True, tag="bi.keys"):
    """Keys and digests of a range, KEY_BYTES each. A large range is split in `subranges` by the hash's second byte."""

    process_epoch: int
    serial: int
    range: int
    subrange: int
    subranges: int
    packed: bytes


class RowsRequest(Message, frozen=True, array_like=True, tag="bi.want"):
    """Requests the rows of these keys."""

    process_epoch: int
    serial: int
    keys: bytes  # 16 each
    in_flight_ms: float = 0.0  # rows announced within this many ms arrive as updates and are left out


class RowReplicas(Message, frozen=True, array_like=True, tag="bi.copies"):
    """Answers a RowsRequest, or brings rows that the receiver was found to lack (`serial` 0)."""

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
