"""What the balancer answers: actions, to be carried out in order."""

from __future__ import annotations

from typing import NamedTuple, Union


class SendAttempt(NamedTuple):
    """Make an attempt at the call."""

    request: str
    endpoint: str
    timeout_ms: float


class CancelAttempt(NamedTuple):
    """Stop waiting for an attempt."""

    request: str
    attempt: int


class RejectRequest(NamedTuple):
    """Final answer: turned away; a repeat is harmless."""

    request: str
    retry_after_ms: float = 0.0


class FailRequest(NamedTuple):
    """Final answer: it failed; nothing is promised of its effect."""

    request: str


class SetTimer(NamedTuple):
    at_ms: float
    token: int


class Subscribe(NamedTuple):
    """Ask the list service for all changes from now on."""


Action = Union[SendAttempt, CancelAttempt, RejectRequest, FailRequest, SetTimer, Subscribe]
