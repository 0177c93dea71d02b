"""The state of a request and of its attempts, and the interfaces of those that take part in them.

Independent of the wire protocol; `RequestManager` owns the instances.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple, Protocol

from ..load_balancer_types import NEVER_RAN, AttemptEnding, DiscoveredEndpoint, PlacementHint
from ..request_policy import RequestPolicy, SentAttempt
from .pipe import BodyPipe


class Verdict(Enum):
    """How a request ended for its client."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class FinalResponse:
    """The one final response to a request."""

    verdict: Verdict
    payload: Any = None  # the response message of the endpoint that served it
    retry_after_ms: float = 0.0
    timed_out: bool = False
    quota_exhausted: bool = False  # rejected because the quota of its tenant is spent


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to have a request served by one endpoint.

    Times are seconds of `time.monotonic`: the event loop's clock follows the wall clock, which may be set.
    """

    request: Request
    number: int  # from 0 within its request
    endpoint_name: str
    started_at: float
    deadline: float
    response_began_at: float = 0.0  # when forwarding of its response began; 0: not yet
    ended: bool = False
    endpoint: DiscoveredEndpoint | None = None  # as listed by discovery when it was selected
    sent_at: float = 0.0  # when its first byte was written; 0: not yet
    ending: AttemptEnding | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether its first byte was sent and its ending, if any, does not exclude that the endpoint ran it."""
        return self.sent_at > 0 and self.ending not in NEVER_RAN

    @property
    def wanted(self) -> bool:
        """Whether it is in flight and its request still waits for a response."""
        return not self.ended and self.request.final is None and not self.request.client_gone


@dataclass(frozen=True, slots=True)
class RequestDetails:
    """Optional properties of a request as its client stated them."""

    idempotency_key: bytes = b""  # by which endpoints recognise a repeated request
    fields: Mapping[bytes, bytes] = field(default_factory=dict)  # header fields by lower-case name
    connection: str = ""  # address of the client connection, "host:port"
    is_retry: bool = False  # marked by the client as a retry of an earlier request


NO_DETAILS = RequestDetails()


@dataclass(slots=True, eq=False)
class Request:
    """One request of a client, from its acceptance to its final response."""

    number: int  # unique within the process; request ids may recur
    request_id: bytes  # chosen by the client
    class_name: str  # its request class
    payload: Any
    deadline: float  # seconds of time.monotonic; infinite while its message is being received
    budget_left_s: float  # of its time budget, counted from the last byte of its message
    respond: Callable[[FinalResponse], None]
    body_pipe: BodyPipe | None = None  # the rest of a streamed message, which can be sent only once
    tenant: str = ""
    details: RequestDetails = NO_DETAILS
    placement_hint: PlacementHint | None = None  # the preferred endpoint
    already_charged: bool = False  # a retry of a request that was charged to the quota
    waited_ms: float = 0.0  # spent waiting for interceptors that returned RetryLater
    interceptors: list[RequestInterceptor] = field(default_factory=list)  # those that admitted it, notified of its end
    attempts: list[Attempt] = field(default_factory=list)
    final: FinalResponse | None = None
    client_gone: bool = False
    client_connected: Callable[[], bool] = lambda: True  # checks at this moment
    policy: RequestPolicy = RequestPolicy()
    ran_elsewhere: SentAttempt | None = None  # as reported by another sidecar

    def possible_executions(self) -> list[SentAttempt]:
        """Its attempts that may have run, including those in flight and one that another sidecar reported."""
        reported = [self.ran_elsewhere] if self.ran_elsewhere is not None else []
        return reported + [
            SentAttempt(attempt.endpoint.zone, attempt.endpoint.group, attempt.sent_at * 1000.0, not attempt.ended)
            for attempt in self.attempts
            if attempt.may_have_run and attempt.endpoint is not None
        ]


class RetryLater(NamedTuple):
    """Not decided yet: ask again after `delay_ms`, or end with `final` if the deadline comes first."""

    delay_ms: float
    final: FinalResponse


class RequestInterceptor(Protocol):
    """Takes part in the admission of requests beside the load balancer, and is notified of their events.

    Its methods run on the event loop and must not block.
    """

    def request_received(self, request: Request) -> FinalResponse | RetryLater | None:
        """Decide on a request before the load balancer does.

        A `FinalResponse` rejects the request; its Retry-After is limited to the configured maximum. With None the
        request is admitted: its `placement_hint` may have been set here, and all events that follow are reported,
        its end once by `request_closed`. After `RetryLater` this is called again, unless the request has ended.
        """
        ...

    def attempt_started(self, attempt: Attempt) -> None:
        """An attempt is about to be sent: from now on it may run."""
        ...

    def attempt_ended(self, attempt: Attempt, ending: AttemptEnding) -> None:
        """An attempt ended; once for each, also after the end of its request."""
        ...

    def request_closed(self, request: Request) -> None:
        """The request ended with `request.final`; None if its client disconnected."""
        ...


class AttemptRunner(Protocol):
    """Carries attempts to endpoints; reports each once to `RequestManager.attempt_ended`, never within `start`."""

    def start(self, attempt: Attempt) -> None:
        """Begin an attempt."""
        ...

    def cancel(self, attempt: Attempt) -> None:
        """End an attempt whose result is not wanted any more."""
        ...
