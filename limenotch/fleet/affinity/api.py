"""What the host says to the bindings and hears of them, besides contract.py.

The host calls `SelectionTable` itself, for each call, with the same clock as `handle`; nothing there waits or speaks.
What is to be told of it goes out with the part's own timers.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum
from typing import Any, NamedTuple, Protocol

# Events


class Providers(NamedTuple):
    """What may take work now, and where it stands: the whole list, after each change of it and of bans.

    A provider that was there and is not any more has gone: its bindings end.
    """

    there: Mapping[str, tuple[str, str]]  # name: (cell, zone)


class Window(NamedTuple):
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


class Bound(NamedTuple):
    """What a key belongs to. `seen_ms`: how long ago anyone saw it last; `made_ms`: how long ago it was made."""

    provider: str
    cell: str
    zone: str
    state: State
    seen_ms: float
    made_ms: float
    charged: bool


class Table(Protocol):
    """All members' bindings, as this one knows them."""

    @property
    def whole(self) -> bool:
        """False while it joins: a key that is not found may be bound all the same."""
        ...

    def find(self, now: float, kind: Kind, key: bytes) -> Bound | None:
        """None for one that is over, whether or not it is dropped yet."""
        ...

    def see(self, now: float, kind: Kind, key: bytes, provider: str, state: State, charged: bool = False) -> bool:
        """A sight of one's own: makes the binding, or makes it young; `provider` another one than bound moves it only
        where the bound one is gone. False: the table is full, and it is not bound (counted).
        """
        ...

    def undo(self, now: float, kind: Kind, key: bytes) -> None:
        """One's own, still opening, surely reached nobody: it is dropped here, and told so to who was told of it."""
        ...

    def figures(self) -> Mapping[str, Any]: ...
