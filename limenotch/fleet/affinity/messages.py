"""What sidecars say to each other about bindings. Each bears its sender's `process_epoch`; ages count back from `sent`.

`sent` is the sender's own monotonic time in ms; an age is in tenths of a ms before it. By datagram go Ping and Pong
alone. Sights and covers go by stream: a cover must not pass the sights that it speaks of.
"""

from __future__ import annotations

from msgspec import Struct

from ..interfaces import Message

MOST_ROWS = 512  # in one Sights; some 50 bytes each
MOST_PAGE = 1024  # in one Page or Copies
MOST_KEYS = 16_384  # in one Keys, KEY_BYTES each
KEY_BYTES = 24  # the hash and the digest of its value


class Copy(Struct, frozen=True, array_like=True):
    """One binding. `what`: kind, state, charged in bits; `who`, `by`: places in the message's `providers`, `names`."""

    key: bytes  # 16 bytes, the keyed hash
    what: int
    who: int
    by: int
    gen: int
    move: int
    count: int  # with `by` the version
    age: int  # since the last sight
    old: int  # since its making
    stamp: int = 0  # Lamport counter of the latest sight told


class Undone(Struct, frozen=True, array_like=True):
    key: bytes
    gen: int
    move: int
    count: int  # the sender's own version


Place = tuple[str, str, str]  # provider, cell, zone


class Sights(Message, frozen=True, array_like=True, tag="bi.sights"):
    """To all. `seq` counts them without a gap, per life; `born`: the sender's counter when that life began to tell.

    `kept`: it has rows of an earlier life, which must be asked for from what was last known of that life.
    """

    process_epoch: int
    seq: int
    counter: int
    born: int
    sent: float
    covered: float  # all the sender's sights up to this time of its clock are told
    whole: bool
    providers: tuple[Place, ...]
    names: tuple[str, ...]
    rows: tuple[Copy, ...]
    undone: tuple[Undone, ...] = ()
    kept: bool = False


class Cover(Message, frozen=True, array_like=True, tag="bi.cover"):
    """To all, where nothing else is to be told. `seq`: of the last Sights. All told later has a higher stamp."""

    process_epoch: int
    seq: int
    counter: int
    born: int
    sent: float
    covered: float
    whole: bool
    kept: bool = False


class Ping(Message, frozen=True, array_like=True, tag="bi.ping"):
    process_epoch: int
    sent: float


class Pong(Message, frozen=True, array_like=True, tag="bi.pong"):
    process_epoch: int
    echo: float
    sent: float


class Ask(Message, frozen=True, array_like=True, tag="bi.ask"):
    """For the next page, newest first: stamps above `floor`, before (`stamp`, `key`) of the page before.

    `of`: whose sights are missing here; who does not know all of that life gives nothing. Empty: all is missing.
    """

    process_epoch: int
    serial: int
    floor: int
    stamp: int
    key: bytes
    of: str = ""
    of_process_epoch: int = 0


class Knows(Struct, frozen=True, array_like=True):
    """All Sights of that life up to `seq` are known, and those of its earlier lives. `covered`: age of its cover."""

    name: str
    process_epoch: int
    seq: int
    counter: int
    covered: int


class Page(Message, frozen=True, array_like=True, tag="bi.page"):
    process_epoch: int
    serial: int
    sent: float
    providers: tuple[Place, ...]
    names: tuple[str, ...]
    rows: tuple[Copy, ...]
    last: bool
    whole: bool
    knows: tuple[Knows, ...] = ()  # on the first page: of whom all is in this table, the sender first


class Compare(Message, frozen=True, array_like=True, tag="bi.compare"):
    process_epoch: int
    serial: int


class Digests(Message, frozen=True, array_like=True, tag="bi.digests"):
    """8 bytes for each of 256 ranges of the hash, by its first byte."""

    process_epoch: int
    serial: int
    values: bytes
    whole: bool


class AskKeys(Message, frozen=True, array_like=True, tag="bi.askkeys"):
    process_epoch: int
    serial: int
    range: int
    part: int = 0


class Keys(Message, frozen=True, array_like=True, tag="bi.keys"):
    """What the range has, KEY_BYTES each. In `parts` by the hash's second byte where it has much."""

    process_epoch: int
    serial: int
    range: int
    part: int
    parts: int
    packed: bytes


class Want(Message, frozen=True, array_like=True, tag="bi.want"):
    process_epoch: int
    serial: int
    keys: bytes  # 16 each
    settle: float = 0.0  # ms: what was told since comes by itself


class Copies(Message, frozen=True, array_like=True, tag="bi.copies"):
    """Asked for by Want, or what the other was found to lack (`serial` 0)."""

    process_epoch: int
    serial: int
    sent: float
    providers: tuple[Place, ...]
    names: tuple[str, ...]
    rows: tuple[Copy, ...]


BINDINGS = (Sights, Cover, Ping, Pong, Ask, Page, Compare, Digests, AskKeys, Keys, Want, Copies)
Said = Sights | Cover | Ping | Pong | Ask | Page | Compare | Digests | AskKeys | Keys | Want | Copies
