"""What the host says to the bindings and hears of them, besides contract.py.

The host calls `SelectionTable` itself, for each call, with the same clock as `handle`; nothing there waits or speaks.
What is to be told of it goes out with the part's own timers.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum
from typing import Any, NamedTuple, Protocol

# Events


class AvailableEndpoints(NamedTuple):
    """What may take work now, and where it stands: the whole list, after each change of it and of bans.

    A provider that was there and is not any more has gone: its bindings end.
    """

    available: Mapping[str, tuple[str, str]]  # name: (cell, zone)


class DeduplicationWindow(NamedTuple):
    """How long repeats of a class's keyed calls are dropped, in ms; the longest of them is the key's idle time."""

    longest_ms: float


# What the host asks of the table


class Kind(IntEnum):
    KEY = 0
    SESSION = 1
    CONN = 2
    FLOW = 3


class State(IntEnum):
    OPENING = 0  # sent out, no answer yet
    OPEN = 1
    CLOSING = 2
    LINGERING = 3


class Binding(NamedTuple):
    """What a key belongs to. `seen_ms`: how long ago anyone saw it last; `made_ms`: how long ago it was made."""

    endpoint: str
    cell: str
    zone: str
    state: State
    idle_ms: float
    age_ms: float
    charged: bool


class Table(Protocol):
    """All members' bindings, as this one knows them."""

    @property
    def complete(self) -> bool:
        """False while it joins: a key that is not found may be bound all the same."""
        ...

    def find(self, now: float, kind: Kind, key: bytes) -> Binding | None:
        """None for one that is over, whether or not it is dropped yet."""
        ...

    def record_use(
        self, now: float, kind: Kind, key: bytes, endpoint: str, state: State, charged: bool = False
    ) -> bool:
        """A sight of one's own: makes the binding, or makes it young; `provider` another one than bound moves it only
        where the bound one is gone. False: the table is full, and it is not bound (counted).
        """
        ...

    def undo(self, now: float, kind: Kind, key: bytes) -> None:
        """One's own, still opening, surely reached nobody: it is dropped here, and told so to who was told of it."""
        ...

    def status(self) -> Mapping[str, Any]: ...
