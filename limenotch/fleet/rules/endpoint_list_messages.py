"""What passes about the directory's list: with the host, between sidecars, and into the log."""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from msgspec import Struct

from ..interfaces import Message

READY = "ready"
STAGES = ("ready", "draining", "gone")  # each restricts more than the one before
MOST_NAMES = 2000  # of one word
ROOM = 700  # bytes of names in a word by datagram
MOST_ENTRIES = 64  # of one message to the leader, or of one entry of the log
MOST_NAME = 80  # bytes; a directory with longer names is served as ever, but not told of


class Named(Struct, frozen=True, array_like=True):
    """A provider as a directory names it."""

    name: str
    address: str
    zone: str = ""
    kind: str = ""
    group: int = 0
    weight: float = 1.0
    since_ms: float = 0.0


# Events


class Listed(NamedTuple):
    """From one's own directory, on a watch that lives: name to stage, and who is ready in full.

    `whole`: who is not named is gone; `asked_ms`: when such a list was asked for, after all that was heard if not said.
    """

    directory: str
    index: int  # type: ignore[assignment]
    whole: bool
    stages: dict[str, str]
    ready: tuple[Named, ...] = ()
    asked_ms: float = float("inf")


class DirectorySilent(NamedTuple):
    """The watch ended or failed. What it told last stands; peers' drains act on, and what was agreed on serves."""

    directory: str


# Actions


class PeerDrain(NamedTuple):
    """The host sends nothing new to these, whatever its own list says; names to `draining` or `gone`."""

    names: dict[str, str]


class Arrived(NamedTuple):
    """Agreed on, and not in the list that one's silent directory told last. Nothing: it is heard again."""

    entries: tuple[Named, ...]


# Between sidecars


class Word(Message, frozen=True, array_like=True, tag="li.word"):
    """Of the speaker's own directory. Those of one serial belong together; an older one is no news. By datagram when
    something changed, all that it restricts by a stream to who asks.
    """

    begun: int  # differs between two processes of the speaker's name
    directory: str
    index: int
    serial: int
    live: bool  # its watch stands
    names: tuple[tuple[str, str], ...] = ()  # name and stage
    whole: bool = False  # all that it restricts


class Pull(Message, frozen=True, array_like=True, tag="li.pull"):
    """Tell me all of yours."""


class Know(Message, frozen=True, array_like=True, tag="li.know"):
    """A voter's, to the leader: what its directory has otherwise than what was agreed on."""

    directory: str
    ready: tuple[Named, ...] = ()
    gone: tuple[str, ...] = ()


# In the log


class Agree(Struct, frozen=True, array_like=True):
    """From this directory a quorum of voters held these, and held these no more."""

    directory: str
    ready: tuple[Named, ...] = ()
    gone: tuple[str, ...] = ()


class Held(Struct, frozen=True, array_like=True):
    """For the snapshot: name to directory and entry."""

    agreed: dict[str, tuple[str, Named]]


_encoder = msgspec.msgpack.Encoder()
_agree: msgspec.msgpack.Decoder[Agree] = msgspec.msgpack.Decoder(Agree)
_held: msgspec.msgpack.Decoder[Held] = msgspec.msgpack.Decoder(Held)


def encode(entry: Agree | Held) -> bytes:
    return _encoder.encode(entry)


def agree_of(data: bytes) -> Agree | None:
    """None: it is none of these, so a newer program's."""
    try:
        return _agree.decode(data)
    except msgspec.DecodeError:
        return None


def held_of(data: bytes) -> Held:
    """Raises msgspec.DecodeError on what is no state of lists."""
    return _held.decode(data)
