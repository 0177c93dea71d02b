"""Value types used in events and actions, and the balancer's settings.

Times are in ms of one monotonic clock; durations are in ms too.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field, replace
from enum import Enum
from math import inf
from typing import NamedTuple


class Effect(Enum):
    """What a second execution of a request would do."""

    IDEMPOTENT = "idempotent"  # no effect: the request may be repeated at any time
    DEDUPLICATED = "deduplicated"  # the endpoints of one group drop it, for a limited time
    AT_MOST_ONCE = "at_most_once"  # harm: the request must not run twice


class DedupScope(Enum):
    """Which endpoints drop the duplicates of a deduplicated request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class EndpointState(Enum):
    """State of an endpoint, as listed by discovery."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "refused"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


# Outcomes after which the attempt was certainly not executed.
NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


def _require(valid: bool, key: str, expected: str) -> None:
    if not valid:
        raise ValueError(f"{key}: expected {expected}")


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """Rules for the requests of one kind. Raises ValueError, naming the key, for a value out of range."""

    name: str
    effect: Effect
    latency_objective_ms: float  # a request answered within this counts with its full weight
    deadline_ms: float  # how long the client waits at most, over all its retries
    priority_weight: float = 1.0  # value of an answer, relative to those of other classes
    late_weight: float = 0.0  # fraction of the weight that an answer after the objective keeps
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window_ms: float = 0.0  # how long duplicates of a deduplicated request are dropped
    streaming: bool = False  # responses are streamed to the client

    @property
    def retry_is_harmless(self) -> bool:
        """Whether a repeat at any endpoint is harmless even if the request was executed."""
        deduplicated = self.effect is Effect.DEDUPLICATED and self.dedup_scope is DedupScope.ALL
        return deduplicated or self.effect is Effect.IDEMPOTENT

    def for_request(self, has_idempotency_key: bool) -> TrafficClass:
        """The rules for one request. Without an idempotency key, endpoints can't recognise its duplicates."""
        if has_idempotency_key or self.effect is not Effect.DEDUPLICATED:
            return self
        return replace(self, effect=Effect.AT_MOST_ONCE)

    def __post_init__(self) -> None:
        _require(self.latency_objective_ms > 0, "classes.aim_ms", "a number above 0")
        _require(self.deadline_ms > 0, "classes.deadline_ms", "a number above 0")
        _require(self.priority_weight >= 0, "classes.worth", "0 or more")
        _require(0 <= self.late_weight <= 1, "classes.late_worth", "0 to 1")
        _require(self.dedup_window_ms >= 0, "classes.window_ms", "0 or more")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A group of clients with a quota. Raises ValueError for a quota below 0."""

    name: str
    quota_per_s: float = 0.0  # requests per s over all balancers; 0: no quota

    def __post_init__(self) -> None:
        _require(self.quota_per_s >= 0, "tenants.quota_per_s", "0 or more")


@dataclass(frozen=True, slots=True)
class SlowStart:
    """How a started endpoint warms up. Raises ValueError, naming the key, for a value out of range."""

    initial_capacity: float = 1.0  # fraction of its full capacity at its start
    warmup_ms: float = 0.0  # from its start to its full capacity
    overload_multiple: float = 2.0  # it fails if it is sent this many times its present capacity ...
    overload_window_ms: float = 1000.0  # ... for this long

    def __post_init__(self) -> None:
        _require(0 < self.initial_capacity <= 1, "cold.capacity", "above 0, at most 1")
        _require(self.warmup_ms >= 0, "cold.warm_ms", "0 or more")
        _require(self.overload_multiple > 0, "cold.fall_multiple", "a number above 0")
        _require(self.overload_window_ms > 0, "cold.fall_ms", "a number above 0")


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """Settings of one balancer. Raises ValueError, naming the key, for a value out of range."""

    classes: tuple[TrafficClass, ...]
    tenants: tuple[Tenant, ...] = ()
    balancers: int = 1  # balancers that share this tier's traffic, this one included
    processes: int = 1  # processes of this balancer that run at once, while one takes over from another
    balancer_index: int = 0  # number of this balancer among them, from 0
    tier_index: int = 0  # 0: requests come from clients; above 0: from endpoints of the previous tier
    zone: int = 0  # the zone that this balancer is in
    over_quota_weight: float = 1.0  # fraction of its weight that a request over its tenant's quota keeps
    must_subscribe: bool = False  # discovery sends the endpoint list only to subscribers
    weights_listed: bool = True  # whether the weights of the endpoint list are used
    max_attempts: int = 3  # per request
    may_cancel: bool = True
    may_hedge: bool = True  # two attempts of one request may be in flight at once
    max_retry_after_ms: float = 0.0  # 0: clients ignore Retry-After
    cross_zone_cost: float = 0.0  # cost of sending a request to another zone
    slow_start: SlowStart = field(default_factory=SlowStart)
    # Restricted mode, without contact to the peers: no request that may have run is sent again, and endpoints in
    # slow start get no requests.
    restricted: bool = False
    # The number of shares into which the peers agreed to divide the requests to endpoints in slow start; 0: the
    # number is `balancers`.
    agreed_slow_start_divisor: float = 0.0

    def __post_init__(self) -> None:
        _require(len(self.classes) > 0, "classes", "at least one")
        _require(self.balancers >= 1, "balancers", "1 or more")
        _require(self.processes >= 1, "processes", "1 or more")
        _require(self.balancer_index >= 0, "rank", "0 or more")
        _require(self.tier_index >= 0, "layer", "0 or more")
        _require(0 <= self.over_quota_weight <= 1, "over_share_worth", "0 to 1")
        _require(self.max_attempts >= 1, "max_attempts", "1 or more")
        _require(self.max_retry_after_ms >= 0, "max_retry_after_ms", "0 or more")
        _require(self.cross_zone_cost >= 0, "crossing_cost", "0 or more")
        _require(self.agreed_slow_start_divisor >= 0, "cold_parts", "0 or more")

    @property
    def instances(self) -> int:
        """Number of processes among which limits that apply to all balancers together are divided."""
        return self.balancers * self.processes

    @property
    def slow_start_divisor(self) -> float:
        """The same for requests to endpoints in slow start. Infinite: this balancer may send them none."""
        return inf if self.restricted else (self.agreed_slow_start_divisor or self.balancers) * self.processes


class Endpoint(NamedTuple):
    """One entry of the endpoint list."""

    name: str
    state: EndpointState = EndpointState.READY
    weight: float = 1.0  # capacity relative to other endpoints
    kind: int = 0  # endpoints of the same kind have the same hardware
    zone: int = 0
    cell: int = 0
    started_ms: float = 0.0  # start of its process; 0: long ago. Distinguishes two processes of one name
    # The same by the balancer's own clock, if that differs from the clock of the list.
    started_local_ms: float | None = None


class PriorExecution(NamedTuple):
    """Where attempts of another balancer may have run. Retries must go where duplicates are dropped."""

    zone: int
    cell: int
    sent_ms: float  # when the first of these attempts was sent


class PriorAttempt(NamedTuple):
    """An attempt that was sent, by this balancer or another one."""

    zone: Hashable
    cell: Hashable
    sent_ms: float
    may_have_run: bool = True  # true while it is in flight, too
