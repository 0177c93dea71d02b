"""Several layers above one log: whose an entry is, and what of a snapshot is whose. No I/O, nothing kept.

An entry's data and id begin with the prefix of the layer that proposed it (`ru.`); a snapshot's state is a msgpack map
from prefix to that layer's state. So layers know nothing of each other, and none reads what another wrote.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

import msgspec

from .interfaces import Component

_states: msgspec.msgpack.Decoder[dict[str, bytes]] = msgspec.msgpack.Decoder(dict[str, bytes])


class ReplicatedComponent(Component, Protocol):
    """A layer above the log. Its events are besides the usual ones what `agreement.api` calls actions, but for
    WantSnapshot: that is answered for it by `state`. Its actions may be the events there, but for Compact."""

    def state(self) -> bytes:
        """All it holds of what was Agreed, at this moment."""
        ...


def add_prefix(prefix: str, data: bytes) -> bytes:
    """An entry's data as it goes into the log; `split_prefix` takes it apart."""
    return prefix.encode() + data


def split_prefix(data: bytes) -> tuple[str, bytes]:
    """Prefix and the layer's own data; an empty prefix where there is none."""
    head, dot, rest = data.partition(b".")
    return (head.decode("latin-1") + ".", rest) if dot else ("", data)


def join_states(states: Mapping[str, bytes]) -> bytes:
    """A snapshot's state, of the states by prefix; `split_states` takes it apart."""
    return msgspec.msgpack.encode(dict(states))


def split_states(state: bytes | None) -> dict[str, bytes]:
    """Raises msgspec.DecodeError on what no hub has joined."""
    return _states.decode(state) if state else {}
