"""Events: the input of the balancer. Attempts of a request are numbered from 0 in the order sent."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, Union

from .types import BalancerSettings, Endpoint, Outcome, PriorExecution


class MembershipKind(Enum):
    """How a membership update relates to the endpoint list that the balancer has."""

    COMPLETE = "whole"  # the complete list; endpoints that are missing from it are gone
    INCREMENTAL = "changes"  # changed entries only
    UNAVAILABLE = "broken"  # the poll failed or the subscription broke; the list stays in force


class BalancerStarted(NamedTuple):
    """The balancer starts with no endpoint list."""


class MembershipUpdate(NamedTuple):
    """Discovery sent endpoints, or is unavailable."""

    kind: MembershipKind
    endpoints: tuple[Endpoint, ...] = ()


class OperatorEjection(NamedTuple):
    """An operator ejects or readmits an endpoint. It applies whatever the endpoint list says, until changed.

    A readmitted endpoint is in slow start from `readmitted_at_ms` on, unless the list gives a later start.
    """

    endpoint: str
    ejected: bool
    readmitted_at_ms: float = 0.0


class SettingsChanged(NamedTuple):
    """Other settings apply from now on. Open requests keep the rules under which they arrived."""

    settings: BalancerSettings


class RequestArrived(NamedTuple):
    """A request arrived; it must get exactly one final answer within `budget_ms`."""

    request: str
    traffic_class: int  # index into the settings' classes
    budget_ms: float
    tenant: int = 0  # index into the settings' tenants
    is_retry: bool = False
    # Its body is long and still arriving: it can be sent neither again nor to two endpoints at once.
    single_use_body: bool = False
    # The endpoint that its session stays with while that one accepts requests; empty for none.
    preferred_endpoint: str = ""
    prior_execution: PriorExecution | None = None
    has_idempotency_key: bool = True  # without one, a deduplicated class is at most once


class UploadFinished(NamedTuple):
    """The last byte of a request with a single-use body was sent. Its time starts now: `budget_ms`."""

    request: str
    budget_ms: float


class ClientDisconnected(NamedTuple):
    """The client is gone; the request needs no answer any more."""

    request: str


class AttemptFinished(NamedTuple):
    """An attempt ended; `request_answered` says that the request has its final answer."""

    request: str
    endpoint: str
    attempt: int
    elapsed_ms: float
    outcome: Outcome
    request_answered: bool = False
    utilisation: float | None = None  # from 0 to 1, of the endpoint's load report
    requests_per_s: float | None = None  # of the load report: served for all balancers together
    # Part of a single-use body was sent and is gone, so the request can't be sent again.
    body_consumed: bool = False


class ResponseStarted(NamedTuple):
    """A streamed response has begun; from now on this attempt alone answers the client."""

    request: str
    endpoint: str
    attempt: int
    elapsed_ms: float


class TimerFired(NamedTuple):
    """The timer that a `SetTimer` with this token asked for."""

    token: int


RequestEvent = (
    RequestArrived | UploadFinished | ClientDisconnected | AttemptFinished | ResponseStarted | TimerFired
)
"""Events of one request. A timer may also be that of the subscription to the endpoint list."""

Event = Union[BalancerStarted, MembershipUpdate, OperatorEjection, SettingsChanged, RequestEvent]
