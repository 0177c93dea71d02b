"""What is kept of a call and of its attempts, and who has a part in them. Owned by `RequestManager`.

Carried in no protocol.
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
    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class FinalResponse:
    """The one final answer of a call."""

    verdict: Verdict
    payload: Any = None  # of the provider that served it
    retry_after_ms: float = 0.0
    timed_out: bool = False
    quota_exhausted: bool = False  # rejected, as its tenant has nothing to spend


@dataclass(slots=True, eq=False)
class Attempt:
    request: Request
    number: int
    endpoint_name: str
    started_at: float  # by time.monotonic: the loop's own clock is the wall's, which may be set
    deadline: float
    response_began_at: float = 0.0  # when its answer began to be passed on
    ended: bool = False
    endpoint: DiscoveredEndpoint | None = None  # as the list told of it when it was chosen
    sent_at: float = 0.0  # when its first byte was written, by time.monotonic; 0: not yet
    ending: AttemptEnding | None = None

    @property
    def may_have_run(self) -> bool:
        """Its first byte is out, and it is still out or ended in a way that leaves open whether it ran."""
        return self.sent_at > 0 and self.ending not in NEVER_RAN

    @property
    def wanted(self) -> bool:
        """Not yet over, and its call still waits for an answer."""
        return not self.ended and self.request.final is None and not self.request.client_gone


@dataclass(frozen=True, slots=True)
class RequestDetails:
    """What a consumer said of a call beside what it is."""

    idempotency_key: bytes = b""  # by which providers know a repeat
    fields: Mapping[bytes, bytes] = field(default_factory=dict)  # header fields, names in lower case
    connection: str = ""  # the consumer's connection
    is_retry: bool = False  # marked as a repeat of one that came before


NO_DETAILS = RequestDetails()


@dataclass(slots=True, eq=False)
class Request:
    number: int
    request_id: bytes  # as the consumer calls it
    class_name: str  # its class
    payload: Any
    deadline: float  # by time.monotonic; without one while its message is coming
    budget_left_s: float  # of its budget, from the last byte of its message
    respond: Callable[[FinalResponse], None]
    body_pipe: BodyPipe | None = None  # of a long message: what goes out once
    tenant: str = ""
    details: RequestDetails = NO_DETAILS
    placement_hint: PlacementHint | None = None  # where it should go
    already_charged: bool = False  # a repeat of one that was paid for
    waited_ms: float = 0.0  # for who said Later
    interceptors: list[RequestInterceptor] = field(default_factory=list)  # who took it, and is told of its end
    attempts: list[Attempt] = field(default_factory=list)
    final: FinalResponse | None = None
    client_gone: bool = False
    client_connected: Callable[[], bool] = lambda: True  # whether its client is there, by a look at this moment
    policy: RequestPolicy = RequestPolicy()
    ran_elsewhere: SentAttempt | None = None  # by another sidecar's word

    def possible_executions(self) -> list[SentAttempt]:
        """Its attempts that may have run, those that are out included."""
        told = [self.ran_elsewhere] if self.ran_elsewhere is not None else []
        return told + [
            SentAttempt(attempt.endpoint.zone, attempt.endpoint.group, attempt.sent_at * 1000.0, not attempt.ended)
            for attempt in self.attempts
            if attempt.may_have_run and attempt.endpoint is not None
        ]


class RetryLater(NamedTuple):
    """What it takes to say is on its way: to be asked again after so long, or `final` if there is no such time."""

    delay_ms: float
    final: FinalResponse


class RequestInterceptor(Protocol):
    """Who has a say in calls beside the decisions: told of each call from its taking to its end. Never waits."""

    def request_received(self, call: Request) -> FinalResponse | RetryLater | None:
        """Before the decisions hear of it. A final answer turns it away, with no more advice on when to return than the
        configuration allows; else it may set the call's `hint`, and is told of all that follows, its end by `closed`,
        once. Asked again after Later, unless the call has ended meanwhile.
        """
        ...

    def attempt_started(self, invoker_call: Attempt) -> None:
        """An attempt is being made: from now on it may run."""
        ...

    def attempt_ended(self, invoker_call: Attempt, ending: AttemptEnding) -> None:
        """An attempt ended; once each, also after its call's end."""
        ...

    def request_closed(self, call: Request) -> None:
        """`call.final` is its answer; none: its consumer has gone."""
        ...


class AttemptRunner(Protocol):
    """Carries invoker calls to providers; tells Calls.ended of each once, never from within `make`."""

    def start(self, invoker_call: Attempt) -> None: ...

    def cancel(self, invoker_call: Attempt) -> None: ...
