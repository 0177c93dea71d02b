"""Value types that the load balancer and the network code exchange: endpoints, attempt endings, commands."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class DiscoveryStatus(Enum):
    """Status of an endpoint, as reported by discovery."""

    IN_SERVICE = "in_service"
    TERMINATING = "terminating"
    TERMINATED = "terminated"


class DiscoveredEndpoint(NamedTuple):
    """One entry of discovery's endpoint list."""

    name: str
    address: tuple[str, int]
    status: DiscoveryStatus
    zone: str = ""
    kind: str = ""
    group: int = 0
    weight: float = 1.0
    started_ms: float = 0.0  # start of its process in ms of Unix time; 0: not known

    @property
    def accepts_requests(self) -> bool:
        """Whether new attempts may be sent to it."""
        return self.status is DiscoveryStatus.IN_SERVICE


class AttemptEnding(Enum):
    """How an attempt ended. The values are written to log lines."""

    SERVED = "served"
    ERROR = "error"
    REJECTED = "turned away"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "abandoned"
    NOT_SENT = "not sent"


# Endings that prove that the request did not run. After any other ending it may have run.
NEVER_RAN = frozenset({AttemptEnding.REJECTED, AttemptEnding.CONNECT_FAILED, AttemptEnding.NOT_SENT})


class PlacementHint(NamedTuple):
    """Where a request should be sent, because of its session or of attempts made elsewhere."""

    preferred_endpoint: str = ""  # endpoint to which its session is bound while it accepts requests
    may_have_run: bool = False  # it may have run already: send it where duplicates are dropped
    zone: str = ""  # the zone where it may have run
    group: int = 0  # the group where it may have run
    age_ms: float = 0.0  # how long ago it may have run


class StartAttempt(NamedTuple):
    """Send an attempt. The attempts of a request are numbered from 0 in the order of these commands."""

    request: int
    endpoint: str
    timeout_ms: float


class CancelAttempt(NamedTuple):
    """Cancel an attempt that is in flight."""

    request: int
    attempt: int


class RejectRequest(NamedTuple):
    """Answer the client with a rejection. The client may safely retry, preferably after `retry_after_ms`."""

    request: int
    retry_after_ms: float


class FailRequest(NamedTuple):
    """Answer the client with a failure. The request may have run."""

    request: int


class ScheduleTimer(NamedTuple):
    """Call `timer_fired(token)` after `delay_ms`."""

    delay_ms: float
    token: int


class WatchDiscovery(NamedTuple):
    """Watch discovery: request its endpoint list, and all changes of it from then on."""


Command = StartAttempt | CancelAttempt | RejectRequest | FailRequest | ScheduleTimer | WatchDiscovery
Commands = list[Command]
