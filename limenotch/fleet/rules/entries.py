"""What the rules put into the log, as msgpack. Fields are only ever added at the end, with defaults."""

from __future__ import annotations

from typing import Union

import msgspec
from msgspec import Struct


class Put(Struct, frozen=True, array_like=True, tag="put"):
    """Version newest + 1, if `base` is still the newest. `document` is whole, as JSON."""

    id: str
    base: int
    document: bytes
    back: int = 0  # the version whose body it is, if it goes back


class Out(Struct, frozen=True, array_like=True, tag="out"):
    """A ban: a version on whatever is the newest, as it only narrows."""

    id: str
    upstream: str


class Activate(Struct, frozen=True, array_like=True, tag="act"):
    number: int


class Try(Struct, frozen=True, array_like=True, tag="try"):
    """A canary: these sidecars act on the document, if `base` is still the newest."""

    id: str
    base: int
    document: bytes
    names: tuple[str, ...]


class EndTry(Struct, frozen=True, array_like=True, tag="end"):
    """Of the canary of that id; kept, it becomes a version."""

    id: str
    keep: bool
    why: str = ""


Entry = Union[Put, Out, Activate, Try, EndTry]
_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Entry] = msgspec.msgpack.Decoder(Entry)


def encode(entry: Entry) -> bytes:
    return _ENCODER.encode(entry)


def decode(data: bytes) -> Entry | None:
    """None: it is none of these, so another part's or of a newer program."""
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError:
        return None
