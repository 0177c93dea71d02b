"""Several layers on one log: which layer an entry belongs to, and which part of a snapshot. Stateless, no I/O.

The data and the id of an entry begin with the prefix of the layer that proposed it (`ru.`); the state in a snapshot is
a msgpack map from prefix to the state of that layer. So no layer knows of another or reads its entries.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

import msgspec

from .interfaces import Component

_states: msgspec.msgpack.Decoder[dict[str, bytes]] = msgspec.msgpack.Decoder(dict[str, bytes])


class ReplicatedComponent(Component, Protocol):
    """A layer on the log.

    Its events are, besides the usual ones, what `consensus.api` calls actions, except SnapshotRequested, which the hub
    answers by `state`. Its actions may be the events of `consensus.api`, except SnapshotState.
    """

    def state(self) -> bytes:
        """The state that results from all entries committed so far, for a snapshot."""
        ...


def add_prefix(prefix: str, data: bytes) -> bytes:
    """The data of an entry as it goes into the log; `split_prefix` reverses it."""
    return prefix.encode() + data


def split_prefix(data: bytes) -> tuple[str, bytes]:
    """The prefix and the layer's own data; the prefix is empty if there is none."""
    head, dot, rest = data.partition(b".")
    return (head.decode("latin-1") + ".", rest) if dot else ("", data)


def join_states(states: Mapping[str, bytes]) -> bytes:
    """The state of a snapshot, from the layers' states by prefix; `split_states` reverses it."""
    return msgspec.msgpack.encode(dict(states))


def split_states(state: bytes | None) -> dict[str, bytes]:
    """The layers' states by prefix. Raises msgspec.DecodeError on bytes that `join_states` did not make."""
    return _states.decode(state) if state else {}
