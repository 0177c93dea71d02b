"""What operators and the host say to the wallet and hear of it, besides contract.py and the log's api.py.

The host calls `Purse` itself, for each call, with the same clock as `handle`; nothing there waits or speaks. When
`Purse.wants()` turns true the host tells the part `Look()`, once: what it wants is then asked for.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple, Protocol

# Events


class OperatorRequest(NamedTuple):
    """An operator's. Each gets exactly one OperatorResponse with its ticket, in `ask_ms` and a little at the latest.

    | what | |
    | --- | --- |
    | add | `tenant`, `amount` above 0, `id`: counts once |
    | show | `tenant`: its wallet; empty: all of them |
    """

    ticket: int
    action: str
    tenant: str = ""
    amount: int = 0
    id: str = ""


class DemandChanged(NamedTuple):
    """The purse wants something: a slice is running low, or somebody was turned away."""


class VotersChanged(NamedTuple):
    """Who votes on the log now; the leader makes the living ones witnesses of new slices."""

    names: tuple[str, ...]


# Actions


class OperatorResponse(NamedTuple):
    """`word`: done, counted (that id was, before), shown, none, refused, unknown. `body` of shown: for JSON; of
    counted: how much that id was for."""

    ticket: int
    outcome: str
    text: str = ""
    body: Any = None


# What the host asks of the purse


class Reservation(NamedTuple):
    """Of one call. `cost` 0: nothing is owed, and nothing was taken."""

    tenant: str
    cost: int
    allocations: tuple[tuple[int, int], ...] = ()  # serial and units; serial 0: of the advance


class Rejected(NamedTuple):
    """Nothing to spend here now: 429. `coming`: there is credit and it is being asked for; a host that can hold a call
    for `retry_after_ms` may ask once more then."""

    retry_after_ms: float
    allocation_pending: bool = False


class Spender(Protocol):
    """Each Reservation is ended once, by `charge` or `give_back`."""

    def reserve(
        self, now: float, tenant: str, request_class: str, already_charged: bool = False
    ) -> Reservation | Rejected:
        """For a call that was taken; `paid`: a repeat of one that was charged. Never waits."""
        ...

    def charge(self, now: float, reservation: Reservation) -> None:
        """It was served."""
        ...

    def release(self, now: float, reservation: Reservation) -> None:
        """It was rejected, failed, or its consumer has gone."""
        ...

    def has_changes(self) -> bool: ...

    def status(self) -> Mapping[str, Any]: ...
