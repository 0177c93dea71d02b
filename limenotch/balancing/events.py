"""Events: the input of the balancer. The attempts of a request are numbered from 0 in the order sent."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, Union

from .types import BalancerSettings, Endpoint, Outcome, PriorExecution


class MembershipKind(Enum):
    """How a membership update relates to the endpoint list that the balancer has."""

    COMPLETE = "whole"  # the complete list: endpoints not in it are removed
    INCREMENTAL = "changes"  # changed entries only
    UNAVAILABLE = "broken"  # the poll or the subscription failed: the list stays as it is


class BalancerStarted(NamedTuple):
    """The balancer starts; it has no endpoint list yet."""


class MembershipUpdate(NamedTuple):
    """Discovery sent a list of endpoints, or is unavailable."""

    kind: MembershipKind
    endpoints: tuple[Endpoint, ...] = ()


class OperatorEjection(NamedTuple):
    """An operator ejects or readmits an endpoint. This applies until changed, whatever the endpoint list says.

    A readmitted endpoint is in slow start from `readmitted_at_ms` on, or from its listed start if that is later.
    """

    endpoint: str
    ejected: bool
    readmitted_at_ms: float = 0.0


class SettingsChanged(NamedTuple):
    """New settings apply from now on. Open requests keep the class and permissions that they arrived with."""

    settings: BalancerSettings


class RequestArrived(NamedTuple):
    """A request arrived; it must get exactly one final answer within `budget_ms`."""

    request: str
    traffic_class: int  # index into the settings' classes
    budget_ms: float
    tenant: int = 0  # index into the settings' tenants
    is_retry: bool = False
    # Its long body is still being received: it can neither be sent again nor to two endpoints at once.
    single_use_body: bool = False
    # The endpoint to which its session is bound while that endpoint accepts requests; empty for none.
    preferred_endpoint: str = ""
    prior_execution: PriorExecution | None = None
    has_idempotency_key: bool = True  # without it, a deduplicated request runs at most once


class UploadFinished(NamedTuple):
    """The last byte of a request with a single-use body was sent. The request has `budget_ms` from now on."""

    request: str
    budget_ms: float


class ClientDisconnected(NamedTuple):
    """The client has disconnected, so the request needs no answer."""

    request: str


class AttemptFinished(NamedTuple):
    """An attempt ended. `request_answered`: the request already has its final answer."""

    request: str
    endpoint: str
    attempt: int
    elapsed_ms: float
    outcome: Outcome
    request_answered: bool = False
    utilisation: float | None = None  # from 0 to 1, from the endpoint's load report
    requests_per_s: float | None = None  # from the load report; counts the requests of all balancers
    # Part of a single-use body was sent and can't be repeated, so the request can't be sent again.
    body_consumed: bool = False


class ResponseStarted(NamedTuple):
    """A streamed response has begun. From now on only this attempt answers the client."""

    request: str
    endpoint: str
    attempt: int
    elapsed_ms: float


class TimerFired(NamedTuple):
    """The timer that was set by a `SetTimer` with this token fired."""

    token: int


RequestEvent = (
    RequestArrived | UploadFinished | ClientDisconnected | AttemptFinished | ResponseStarted | TimerFired
)
"""Events of one request. A timer may also belong to the subscription to discovery."""

Event = Union[BalancerStarted, MembershipUpdate, OperatorEjection, SettingsChanged, RequestEvent]
