"""The state of requests and of their attempts, and the interfaces of the components that take part in handling them.

Independent of the wire protocol. `RequestManager` owns the requests and attempts.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from time import monotonic
from typing import Any, NamedTuple, Protocol

from ..load_balancer_types import NEVER_RAN, AttemptEnding, DiscoveredEndpoint, PlacementHint
from ..request_policy import RequestPolicy, SentAttempt
from .pipe import BodyPipe


class Verdict(Enum):
    """How a request ended, as its client sees it."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class FinalResponse:
    """The final response to a request; each request has at most one."""

    verdict: Verdict
    payload: Any = None  # the response message of the endpoint that served it
    retry_after_ms: float = 0.0
    timed_out: bool = False
    quota_exhausted: bool = False  # rejected because the quota of its tenant is used up


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to have a request served by one endpoint.

    Times are seconds of `time.monotonic`: the event loop's clock follows the system's clock, which may be set.
    """

    request: Request
    number: int  # from 0 within its request
    endpoint_name: str
    started_at: float
    deadline: float
    response_began_at: float = 0.0  # when its response began to be forwarded; 0: not yet
    reported: bool = False  # whether the load balancer knows its end
    ended: bool = False
    endpoint: DiscoveredEndpoint | None = None  # as listed by discovery when it was selected
    sent_at: float = 0.0  # when its first byte was written; 0: not yet
    ending: AttemptEnding | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether the endpoint may have run it: its first byte was sent, and its ending does not rule it out."""
        return self.sent_at > 0 and self.ending not in NEVER_RAN

    @property
    def is_hedge(self) -> bool:
        """Whether another attempt of its request is in flight."""
        return any(other is not self and not other.ended for other in self.request.attempts)

    @property
    def response_needed(self) -> bool:
        """Whether the attempt is in flight and its request still waits for a response."""
        return not self.ended and self.request.final is None and not self.request.client_has_disconnected


@dataclass(frozen=True, slots=True)
class RequestDetails:
    """Optional properties of a request that its client has sent."""

    idempotency_key: bytes = b""  # with it endpoints recognise a repeated request
    fields: Mapping[bytes, bytes] = field(default_factory=dict)  # header fields by lower-case name
    connection: str = ""  # the client's address, "host:port"; empty: unknown
    is_retry: bool = False  # marked by the client as a retry of an earlier request


NO_DETAILS = RequestDetails()


@dataclass(slots=True, eq=False)
class Request:
    """One request of a client, from its arrival to its final response."""

    number: int  # unique within the process; request ids may recur
    request_id: bytes  # chosen by the client
    class_name: str  # its request class
    payload: Any
    deadline: float  # seconds of time.monotonic; infinite while its message is being received
    budget_left_s: float  # its time budget, which starts when the last byte of its message has been received
    respond: Callable[[FinalResponse], None]
    body_pipe: BodyPipe | None = None  # the rest of a streamed message, which can be read only once
    tenant: str = ""
    details: RequestDetails = NO_DETAILS
    placement_hint: PlacementHint | None = None  # the preferred endpoint
    already_charged: bool = False  # whether it is a retry of a request that was charged to the quota
    upload_finished: bool = False  # whether the last byte of a streamed message was sent to an endpoint
    waited_ms: float = 0.0  # spent waiting for interceptors that returned RetryLater
    interceptors: list[RequestInterceptor] = field(default_factory=list)  # that have admitted it: notified of its end
    attempts: list[Attempt] = field(default_factory=list)
    final: FinalResponse | None = None
    client_has_disconnected: bool = False
    client_connected: Callable[[], bool] = lambda: True  # whether the client is connected at this moment
    policy: RequestPolicy = RequestPolicy()
    # Attempts sent by another sidecar, as that one reported them, or run by another process than the one chosen.
    ran_elsewhere: list[SentAttempt] = field(default_factory=list)

    def add_attempt(self, endpoint_name: str, timeout_s: float) -> Attempt:
        """A new attempt, which ends with its request's deadline at the latest; without one it has no timeout."""
        now = monotonic()
        deadline = min(now + timeout_s, self.deadline) if self.deadline < math.inf else math.inf
        attempt = Attempt(self, len(self.attempts), endpoint_name, now, deadline)
        self.attempts.append(attempt)
        return attempt

    def count_replaced(self, old: DiscoveredEndpoint, new: DiscoveredEndpoint) -> None:
        """Counts attempts sent to `old` as run by `new` too, which is listed at its address."""
        for attempt in self.attempts:
            chosen = attempt.endpoint
            if attempt.may_have_run and chosen is not None and (chosen.name, chosen.address) == (old.name, old.address):
                self.ran_elsewhere.append(SentAttempt(new.zone, new.group, attempt.sent_at * 1000.0))

    @property
    def must_not_run_again(self) -> bool:
        """Whether the request may have run, and a second execution could do harm."""
        return not self.policy.is_idempotent and any(attempt.may_have_run for attempt in self.attempts)

    def may_be_sent_again(self, attempt: Attempt) -> bool:
        """Whether the class and the body of the request allow to send it again where `attempt` was sent."""
        endpoint = attempt.endpoint
        if endpoint is None or (self.body_pipe is not None and self.body_pipe.was_read):
            return False
        now_ms = monotonic() * 1000.0
        return self.policy.allows_retry(self.possible_executions(), endpoint.zone, endpoint.group, now_ms)

    def possible_executions(self) -> list[SentAttempt]:
        """The attempts that may have run, including those in flight and those in `ran_elsewhere`."""
        return self.ran_elsewhere + [
            SentAttempt(attempt.endpoint.zone, attempt.endpoint.group, attempt.sent_at * 1000.0, not attempt.ended)
            for attempt in self.attempts
            if attempt.may_have_run and attempt.endpoint is not None
        ]


class RetryLater(NamedTuple):
    """An interceptor has not decided yet: it is called again after `delay_ms`.

    If the request's deadline comes first, the request ends with `final`.
    """

    delay_ms: float
    final: FinalResponse


class RequestInterceptor(Protocol):
    """Takes part in the admission of requests before the load balancer, and is notified of their events.

    Its methods run on the event loop and must not block.
    """

    def request_received(self, request: Request) -> FinalResponse | RetryLater | None:
        """Decides on a request before the load balancer does.

        A `FinalResponse` ends the request; its Retry-After is limited to the configured maximum. None admits the
        request: this method may set its `placement_hint`, and the interceptor is notified of all events that follow,
        of its end once by `request_closed`. After `RetryLater` this is called again, unless the request has ended.
        """
        ...

    def attempt_started(self, attempt: Attempt) -> None:
        """An attempt is about to be sent: from now on the endpoint may run it."""
        ...

    def attempt_ended(self, attempt: Attempt, ending: AttemptEnding) -> None:
        """An attempt has ended; called once for each attempt, also after the end of its request."""
        ...

    def request_closed(self, request: Request) -> None:
        """The request has ended with `request.final`, which is None if its client has disconnected."""
        ...


class AttemptRunner(Protocol):
    """Sends attempts to endpoints; reports each end once, not within `start`, to `RequestManager.attempt_ended`."""

    def start(self, attempt: Attempt) -> None:
        """Starts an attempt."""
        ...

    def cancel(self, attempt: Attempt) -> None:
        """Ends an attempt whose result is not needed any more."""
        ...
