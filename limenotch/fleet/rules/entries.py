"""The log entries of the rules, as msgpack. New fields are added only at the end, with defaults.

The names of the classes are part of the ids under which the log counts an entry once (core.py).
"""

from __future__ import annotations

from typing import Union

import msgspec
from msgspec import Struct


class Put(Struct, frozen=True, array_like=True, tag="put"):
    """Creates version newest + 1 if `base` is still the newest. `document` is complete, as JSON."""

    id: str
    base: int
    document: bytes
    restored_version: int = 0  # the version whose document this is, if it restores one


class Out(Struct, frozen=True, array_like=True, tag="out"):
    """An operator's ejection of an endpoint: a version on top of whichever is the newest, as it only restricts."""

    id: str
    endpoint: str


class Activate(Struct, frozen=True, array_like=True, tag="act"):
    """Makes version `number` the active one."""

    number: int


class Try(Struct, frozen=True, array_like=True, tag="try"):
    """Starts a canary trial: these sidecars use the document, if `base` is still the newest version."""

    id: str
    base: int
    document: bytes
    canary_members: tuple[str, ...]


class EndTry(Struct, frozen=True, array_like=True, tag="end"):
    """Ends the canary trial `id`; with `keep`, its document becomes a version."""

    id: str
    keep: bool
    reason: str = ""


Entry = Union[Put, Out, Activate, Try, EndTry]
_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Entry] = msgspec.msgpack.Decoder(Entry)


def encode(entry: Entry) -> bytes:
    return _ENCODER.encode(entry)


def decode(data: bytes) -> Entry | None:
    """None if the data are not one of these entries: another component's, or of a newer program."""
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError:
        return None
