"""What the wallet puts into the log: a few entries at a time, as msgpack. Fields are only ever added at the end, with
defaults.

Bounds travel in the entry: whoever applies it decides as its proposer did, whatever its own settings are. `term` is
the leader's that proposed it: it counts only if the log took it in that epoch. So what an old leader asked for and
never heard of again can't come true under a new one, which has granted other leases since.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Union

import msgspec
from msgspec import Struct

MAX_ENTRIES = 128  # entries in one of the log's


class Credit(Struct, frozen=True, array_like=True, tag="add"):
    """`id` counts once for the wallet's life."""

    tenant: str
    id: str
    amount: int
    most_ids: int = 100_000
    most_tenants: int = 10_000


class Grant(Struct, frozen=True, array_like=True, tag="grant"):
    """min(amount, left) is held by (name, life); `serial` is above all before it of this wallet."""

    tenant: str
    name: str
    process_epoch: int
    serial: int
    amount: int
    witnesses: tuple[tuple[str, int], ...]  # names and lives
    term: int


class Settle(Struct, frozen=True, array_like=True, tag="settle"):
    """`spent`: the whole so far. `close`: all that is held goes back to `left`, but for `keep`, if calls under way or
    soon to come want it; the slice ends where that is 0."""

    tenant: str
    name: str
    process_epoch: int
    serial: int
    spent: int
    close: bool
    retain: int = 0


class Expire(Struct, frozen=True, array_like=True, tag="expire"):
    """`mark` counts as spent, the rest goes back. `told` false: too few witnesses live on, so all counts as spent."""

    tenant: str
    name: str
    process_epoch: int
    serial: int
    spend_limit: int
    term: int
    witnessed: bool = True


class Advance(Struct, frozen=True, array_like=True, tag="advance"):
    """Served beyond all slices; `serial` is above all before it of this wallet and holder."""

    tenant: str
    name: str
    process_epoch: int
    serial: int
    amount: int


Entry = Union[Credit, Grant, Settle, Expire, Advance]
_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[tuple[Entry, ...]] = msgspec.msgpack.Decoder(tuple[Entry, ...])


def encode(entries: Sequence[Entry]) -> bytes:
    return _ENCODER.encode(entries)


def decode(data: bytes) -> tuple[Entry, ...] | None:
    """None: it is none of these, so another part's or of a newer program."""
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError:
        return None
