"""The wallet's log entries, encoded as msgpack, several to one entry of the log. Fields are only added at the end, with
defaults.

Limits are part of the entry: every member applies it as its proposer decided, whatever its own settings are. `term` is
the term of the leader that proposed the entry; the entry counts only if the log committed it in that term. So a
proposal of a former leader, whose outcome it never learned, can't take effect under a new leader that has granted other
leases since.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Union

import msgspec
from msgspec import Struct

MAX_ENTRIES = 128  # wallet entries in one entry of the log


class Credit(Struct, frozen=True, array_like=True, tag="add"):
    """Adds credit. An `id` counts once in the lifetime of the wallet."""

    tenant: str
    id: str
    amount: int
    most_ids: int = 100_000
    most_tenants: int = 10_000


class Grant(Struct, frozen=True, array_like=True, tag="grant"):
    """Allocates min(amount, unallocated) to (name, process_epoch). `serial` is higher than all earlier ones of the
    wallet.
    """

    tenant: str
    name: str
    process_epoch: int
    serial: int
    amount: int
    witnesses: tuple[tuple[str, int], ...]  # names and process epochs
    term: int


class Settle(Struct, frozen=True, array_like=True, tag="settle"):
    """The holder reports `spent`, the total so far. `close`: what is unspent returns to the wallet but for `retain`
    units, for requests in flight or expected soon; the allocation ends when nothing is retained.
    """

    tenant: str
    name: str
    process_epoch: int
    serial: int
    spent: int
    close: bool
    retain: int = 0


class Expire(Struct, frozen=True, array_like=True, tag="expire"):
    """Ends the allocation of a holder that can no longer spend: `spend_limit` counts as spent, the rest returns.

    `witnessed` false: too few witnesses are left, so the whole allocation counts as spent.
    """

    tenant: str
    name: str
    process_epoch: int
    serial: int
    spend_limit: int
    term: int
    witnessed: bool = True


class Advance(Struct, frozen=True, array_like=True, tag="advance"):
    """Units served without an allocation. `serial` is higher than all earlier ones of this wallet and holder."""

    tenant: str
    name: str
    process_epoch: int
    serial: int
    amount: int


Entry = Union[Credit, Grant, Settle, Expire, Advance]
_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[tuple[Entry, ...]] = msgspec.msgpack.Decoder(tuple[Entry, ...])


def encode(entries: Sequence[Entry]) -> bytes:
    """Several entries as the data of one entry of the log."""
    return _ENCODER.encode(entries)


def decode(data: bytes) -> tuple[Entry, ...] | None:
    """None: no entry of the wallet, but of another component or of a newer version."""
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError:
        return None
