"""Events and actions of the wallet component for operators and the host, beside interfaces.py and the log's api.py.

The host calls `Spender` directly for each request, with the same clock as `handle`; its methods neither block nor send
messages. When `Spender.has_changes()` becomes true the host sends the component one `DemandChanged`, and the component
requests what is needed.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple, Protocol

# Events


class OperatorRequest(NamedTuple):
    """An operator's request. Each gets exactly one response with its ticket, within `ask_ms` and the delay of a timer.

    | `action` | |
    | --- | --- |
    | add | adds `amount` (above 0) to the wallet of `tenant`; counts once for each `id` |
    | show | the wallet of `tenant`, or all wallets if it is empty |
    """

    ticket: int
    action: str
    tenant: str = ""
    amount: int = 0
    id: str = ""


class DemandChanged(NamedTuple):
    """An allocation is running low, or a request was rejected."""


class VotersChanged(NamedTuple):
    """The log's voters have changed. The leader uses the reachable ones as witnesses of new allocations."""

    names: tuple[str, ...]


# Actions


class OperatorResponse(NamedTuple):
    """The response to an operator's request.

    `outcome`: done, counted (that id was counted earlier), shown, none, refused, unknown. `body` of shown: wallets by
    tenant, for JSON; of counted: the amount that the id was counted with.
    """

    ticket: int
    outcome: str
    text: str = ""
    body: Any = None


# Called by the host


class Reservation(NamedTuple):
    """The reservation for one request. `cost` 0: the request is free of charge and nothing was reserved."""

    tenant: str
    cost: int
    allocations: tuple[tuple[int, int], ...] = ()  # serial and units; serial 0: reserved on the advance


class Rejected(NamedTuple):
    """No units for the request: the host responds with 429.

    `allocation_pending`: the wallet has credit, which is being requested; a host that can delay a request for
    `retry_after_ms` may try once more then.
    """

    retry_after_ms: float
    allocation_pending: bool = False


class Spender(Protocol):
    """Charges requests. Each reservation is ended exactly once, by `charge` or `release`."""

    def reserve(
        self, now: float, tenant: str, request_class: str, already_charged: bool = False
    ) -> Reservation | Rejected:
        """Reserves the cost of a request, or rejects it; never blocks. `already_charged`: the request repeats a charged
        one.
        """
        ...

    def charge(self, now: float, reservation: Reservation) -> None:
        """Ends the reservation of a request that was served."""
        ...

    def release(self, now: float, reservation: Reservation) -> None:
        """Ends the reservation of a request that was rejected, failed, or whose client disconnected."""
        ...

    def has_changes(self) -> bool:
        """Whether the component has to be sent `DemandChanged`."""
        ...

    def status(self) -> Mapping[str, Any]:
        """For `GET /fleet`."""
        ...
