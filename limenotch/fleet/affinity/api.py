"""Interface between the host and the affinity component, besides interfaces.py.

The host calls the table directly for each request, with the same clock that it gives to `handle`. The table's methods
neither block nor send; the component's timers send the resulting updates.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum
from typing import Any, NamedTuple, Protocol

# Events


class AvailableEndpoints(NamedTuple):
    """The complete list of endpoints that accept requests, sent after each change of discovery or of ejections.

    The bindings of an endpoint that is no longer in the list end.
    """

    available: Mapping[str, tuple[str, str]]  # name: (cell, zone)


class DeduplicationWindow(NamedTuple):
    """The longest deduplication window of all classes, in ms: the idle time of bound keys."""

    longest_ms: float


# The table, as the host uses it


class Kind(IntEnum):
    """What a bound key identifies."""

    KEY = 0
    SESSION = 1
    CONN = 2
    FLOW = 3


class State(IntEnum):
    """Stage of a binding, which selects its idle time."""

    OPENING = 0  # a request has been sent, no response yet
    OPEN = 1
    CLOSING = 2
    LINGERING = 3


class Binding(NamedTuple):
    """The endpoint that a key is bound to.

    `idle_ms`: time since any member last used it; `age_ms`: time since it was created.
    """

    endpoint: str
    cell: str
    zone: str
    state: State
    idle_ms: float
    age_ms: float
    charged: bool


class Table(Protocol):
    """The bindings of all members, as this member knows them."""

    @property
    def complete(self) -> bool:
        """False while this member is joining: a key that is not found may still be bound."""
        ...

    def find(self, now: float, kind: Kind, key: bytes) -> Binding | None:
        """Returns None for an expired binding, even if its row has not been removed yet."""
        ...

    def record_use(
        self, now: float, kind: Kind, key: bytes, endpoint: str, state: State, charged: bool = False
    ) -> bool:
        """Records a use of the key at this member: creates the binding, or refreshes it.

        An `endpoint` other than the bound one moves the binding only if the bound one has been removed. Returns False
        if the table is full and the key is not bound (counted).
        """
        ...

    def undo(self, now: float, kind: Kind, key: bytes) -> None:
        """Removes a binding that this member created, that is still opening, and whose request reached no endpoint.

        Members that have received the binding are told to remove it.
        """
        ...

    def status(self) -> Mapping[str, Any]:
        """Sizes and counts for `GET /fleet`."""
        ...
