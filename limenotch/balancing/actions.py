"""Actions: what the balancer returns for an event, to be carried out in order."""

from __future__ import annotations

from typing import NamedTuple, Union


class SendAttempt(NamedTuple):
    """Send an attempt of the request to the endpoint."""

    request: str
    endpoint: str
    timeout_ms: float


class CancelAttempt(NamedTuple):
    """Stop waiting for an attempt."""

    request: str
    attempt: int


class RejectRequest(NamedTuple):
    """Final answer: rejected. The client may safely repeat the request."""

    request: str
    retry_after_ms: float = 0.0


class FailRequest(NamedTuple):
    """Final answer: failed. The request may have been executed."""

    request: str


class SetTimer(NamedTuple):
    """Deliver a `TimerFired` with this token at `at_ms` on the balancer's clock."""

    at_ms: float
    token: int


class Subscribe(NamedTuple):
    """Ask discovery for the endpoint list and all its changes from now on."""


Action = Union[SendAttempt, CancelAttempt, RejectRequest, FailRequest, SetTimer, Subscribe]
