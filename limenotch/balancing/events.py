"""What the balancer is told. Attempts of a request are numbered from 0 in the order sent."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, Union

from .types import BalancerSettings, Endpoint, Outcome, PriorExecution


class MembershipKind(Enum):
    """How a membership event relates to the list already held."""

    COMPLETE = "whole"  # the complete list; who is not on it is gone
    INCREMENTAL = "changes"  # changed entries only
    UNAVAILABLE = "broken"  # asking failed or the subscription broke; the list stands


class BalancerStarted(NamedTuple):
    """The balancer begins; it knows nothing yet."""


class MembershipUpdate(NamedTuple):
    kind: MembershipKind
    endpoints: tuple[Endpoint, ...] = ()


class OperatorEjection(NamedTuple):
    """An upstream is taken out by hand, or let back: it holds whatever the list says, until the next word.

    One that is back is cold from `at_ms` on, unless the list tells a later start.
    """

    endpoint: str
    ejected: bool
    readmitted_at_ms: float = 0.0  # of the return


class SettingsChanged(NamedTuple):
    """Other settings from now on; calls that are open keep the rules that they came under."""

    settings: BalancerSettings


class RequestArrived(NamedTuple):
    """A call came in; it is owed exactly one final answer within `budget_ms`."""

    request: str
    traffic_class: int
    budget_ms: float
    tenant: int = 0
    is_retry: bool = False
    single_use_body: bool = (
        False  # its message is long and still coming: it can't be sent twice, nor to two at once
    )
    preferred_endpoint: str = ""  # the upstream that it stays with while that one may take work
    prior_execution: PriorExecution | None = None
    has_idempotency_key: bool = True  # has a key, where its class is deduplicated by one


class UploadFinished(NamedTuple):
    """The last byte of a call that goes out once was sent. Its time begins: `budget_ms` from now."""

    request: str
    budget_ms: float


class ClientDisconnected(NamedTuple):
    """The client is gone; nothing is owed any more."""

    request: str


class AttemptFinished(NamedTuple):
    """An attempt ended; `closed` says that the call has its final answer."""

    request: str
    endpoint: str
    attempt: int
    elapsed_ms: float
    outcome: Outcome
    request_answered: bool = False
    utilisation: float | None = None  # as the upstream reports it
    requests_per_s: float | None = (
        None  # requests a second that it served, of all balancers, as it reports it
    )
    body_consumed: bool = (
        False  # of a call that goes out once: some of its message is gone, so it can't go out again
    )


class ResponseStarted(NamedTuple):
    """A streamed answer has begun; the attempt now belongs to the client."""

    request: str
    endpoint: str
    attempt: int
    elapsed_ms: float


class TimerFired(NamedTuple):
    token: int


Event = Union[
    BalancerStarted,
    MembershipUpdate,
    OperatorEjection,
    SettingsChanged,
    RequestArrived,
    UploadFinished,
    ClientDisconnected,
    AttemptFinished,
    ResponseStarted,
    TimerFired,
]
