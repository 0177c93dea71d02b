"""The value types between the load balancer and the network code: discovered endpoints, attempt endings, commands."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class DiscoveryStatus(Enum):
    """What discovery says of an endpoint."""

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
    started_ms: float = 0.0  # Unix time at which its process started; 0: not known

    @property
    def accepts_requests(self) -> bool:
        """Whether new attempts may be sent to it."""
        return self.status is DiscoveryStatus.IN_SERVICE


class AttemptEnding(Enum):
    """How an attempt ended. The values stand in log lines."""

    SERVED = "served"
    ERROR = "error"
    REJECTED = "turned away"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "abandoned"
    NOT_SENT = "not sent"


# The endings that show that an attempt never ran. After any other ending it may have run.
NEVER_RAN = frozenset({AttemptEnding.REJECTED, AttemptEnding.CONNECT_FAILED, AttemptEnding.NOT_SENT})


class PlacementHint(NamedTuple):
    """Where a request should go, because of what was done for it elsewhere."""

    preferred_endpoint: str = ""  # the endpoint to which it is sticky while that endpoint accepts requests
    may_have_run: bool = False  # whether it may have run already; retries then go where duplicates are dropped
    zone: str = ""  # where it may have run
    group: int = 0  # where it may have run
    age_ms: float = 0.0  # how long ago it may have run


class StartAttempt(NamedTuple):
    """Send an attempt. The attempts of one request are numbered from 0 in the order of these commands."""

    request: int
    endpoint: str
    timeout_ms: float


class CancelAttempt(NamedTuple):
    """Cancel an attempt that is in flight."""

    request: int
    attempt: int


class RejectRequest(NamedTuple):
    """Final answer: a rejection. The client may safely retry, best after `retry_after_ms`."""

    request: int
    retry_after_ms: float


class FailRequest(NamedTuple):
    """Final answer: a failure."""

    request: int


class ScheduleTimer(NamedTuple):
    """Call `timer_fired(token)` after `delay_ms`."""

    delay_ms: float
    token: int


class WatchDiscovery(NamedTuple):
    """Ask discovery for its endpoint list and for all changes from now on."""


Command = StartAttempt | CancelAttempt | RejectRequest | FailRequest | ScheduleTimer | WatchDiscovery
Commands = list[Command]
