"""Actions that the balancer returns for an event. The program carries them out in the order returned."""

from __future__ import annotations

from typing import NamedTuple, Union


class SendAttempt(NamedTuple):
    """Send an attempt of the request to the endpoint."""

    request: str
    endpoint: str
    timeout_ms: float


class CancelAttempt(NamedTuple):
    """Cancel an attempt that is in flight; its response is no longer needed."""

    request: str
    attempt: int


class RejectRequest(NamedTuple):
    """Answer the client with a rejection. The client may safely retry the request."""

    request: str
    retry_after_ms: float = 0.0


class FailRequest(NamedTuple):
    """Answer the client with a failure. The request may have been executed."""

    request: str


class SetTimer(NamedTuple):
    """Deliver a `TimerFired` with this token at `at_ms` on the balancer's clock."""

    at_ms: float
    token: int


class Subscribe(NamedTuple):
    """Subscribe to discovery: to the complete endpoint list, and to all changes of it from then on."""


Action = Union[SendAttempt, CancelAttempt, RejectRequest, FailRequest, SetTimer, Subscribe]
