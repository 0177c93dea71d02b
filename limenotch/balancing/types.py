"""The values that events and actions carry, and the balancer's settings.

Times are milliseconds of one clock that never runs backwards; durations are milliseconds too.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field, replace
from enum import Enum
from math import inf
from typing import NamedTuple


class Effect(Enum):
    """What a second run of a call would do."""

    IDEMPOTENT = "idempotent"  # nothing: repeat at will
    DEDUPLICATED = "deduplicated"  # dropped by the upstreams of one group, for a time
    AT_MOST_ONCE = "at_most_once"  # harm: never run twice


class DedupScope(Enum):
    """Which upstreams drop the repeats of a deduplicated call."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class EndpointState(Enum):
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


NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


def _need(ok: bool, key: str, want: str) -> None:
    if not ok:
        raise ValueError(f"{key}: expected {want}")


@dataclass(frozen=True, slots=True)
class TrafficClass:
    name: str
    effect: Effect
    latency_objective_ms: float  # answered within this, a call earns its full worth
    deadline_ms: float  # the client's whole wait
    priority_weight: float = 1.0
    late_weight: float = 0.0  # share of the worth still earned after the aim
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window_ms: float = 0.0  # deduplicated: how long a repeat is remembered
    streaming: bool = False

    @property
    def retry_is_harmless(self) -> bool:
        """Whether a repeat at any upstream is harmless, also after the call may have run."""
        deduplicated = self.effect is Effect.DEDUPLICATED and self.dedup_scope is DedupScope.ALL
        return deduplicated or self.effect is Effect.IDEMPOTENT

    def for_request(self, keyed: bool) -> TrafficClass:
        """What holds for a call of it: without its key nobody can tell a repeat."""
        if keyed or self.effect is not Effect.DEDUPLICATED:
            return self
        return replace(self, effect=Effect.AT_MOST_ONCE)

    def __post_init__(self) -> None:
        _need(self.latency_objective_ms > 0, "classes.aim_ms", "a number above 0")
        _need(self.deadline_ms > 0, "classes.deadline_ms", "a number above 0")
        _need(self.priority_weight >= 0, "classes.worth", "0 or more")
        _need(0 <= self.late_weight <= 1, "classes.late_worth", "0 to 1")
        _need(self.dedup_window_ms >= 0, "classes.window_ms", "0 or more")


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    quota_per_s: float = 0.0  # over all balancers; 0 means no quota

    def __post_init__(self) -> None:
        _need(self.quota_per_s >= 0, "tenants.quota_per_s", "0 or more")


@dataclass(frozen=True, slots=True)
class SlowStart:
    """A started upstream can do `capacity` of its work at first and all of it after `warm_ms`."""

    initial_capacity: float = 1.0
    warmup_ms: float = 0.0
    overload_multiple: float = 2.0  # sent this many times its present capacity ...
    overload_window_ms: float = 1000.0  # ... for this long, it falls over

    def __post_init__(self) -> None:
        _need(0 < self.initial_capacity <= 1, "cold.capacity", "above 0, at most 1")
        _need(self.warmup_ms >= 0, "cold.warm_ms", "0 or more")
        _need(self.overload_multiple > 0, "cold.fall_multiple", "a number above 0")
        _need(self.overload_window_ms > 0, "cold.fall_ms", "a number above 0")


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    classes: tuple[TrafficClass, ...]
    tenants: tuple[Tenant, ...] = ()
    balancers: int = 1  # how many share this tier's traffic, this one included
    processes: int = 1  # of this balancer's place that live at once, while one takes over from another
    balancer_index: int = 0  # this balancer's number among them, from 0
    tier_index: int = 0  # 0: calls come from clients; above: from servers of the tier before
    zone: int = 0  # where this balancer stands
    over_quota_weight: float = 1.0  # worth of a call over its tenant's quota, as a share
    must_subscribe: bool = False  # the list comes only to those who subscribe
    weights_listed: bool = True  # upstream weights mean something
    max_attempts: int = 3
    may_cancel: bool = True
    may_hedge: bool = True  # two attempts of one call may be out together
    max_retry_after_ms: float = 0.0  # 0: clients take no advice on when to return
    cross_zone_cost: float = 0.0  # price of sending a call to another zone
    slow_start: SlowStart = field(default_factory=SlowStart)
    restricted: bool = (
        False  # without the others' word: nothing goes out again that may have run, and nothing to cold ones
    )
    agreed_slow_start_divisor: float = (
        0.0  # by which cold upstreams' allowance is divided, where that is agreed on; 0: by `parts`
    )

    def __post_init__(self) -> None:
        _need(len(self.classes) > 0, "classes", "at least one")
        _need(self.balancers >= 1, "balancers", "1 or more")
        _need(self.processes >= 1, "processes", "1 or more")
        _need(self.balancer_index >= 0, "rank", "0 or more")
        _need(self.tier_index >= 0, "layer", "0 or more")
        _need(0 <= self.over_quota_weight <= 1, "over_share_worth", "0 to 1")
        _need(self.max_attempts >= 1, "max_attempts", "1 or more")
        _need(self.max_retry_after_ms >= 0, "max_retry_after_ms", "0 or more")
        _need(self.cross_zone_cost >= 0, "crossing_cost", "0 or more")
        _need(self.agreed_slow_start_divisor >= 0, "cold_parts", "0 or more")

    @property
    def instances(self) -> int:
        """Into how many what all may do together is divided."""
        return self.balancers * self.processes

    @property
    def slow_start_divisor(self) -> float:
        """The same for what all may send a cold upstream; infinite: this balancer has no part of it."""
        return inf if self.restricted else (self.agreed_slow_start_divisor or self.balancers) * self.processes


class Endpoint(NamedTuple):
    """One line of the list."""

    name: str
    state: EndpointState = EndpointState.READY
    weight: float = 1.0
    kind: int = 0
    zone: int = 0
    cell: int = 0
    started_ms: float = 0.0  # 0: long ago; tells two processes of a name apart
    started_local_ms: float | None = None  # the same by the balancer's own clock, where that is another one


class PriorExecution(NamedTuple):
    """Where a call may have run already, through another balancer: its repeats go where they are dropped."""

    zone: int
    cell: int
    sent_ms: float  # of the first of them


class PriorAttempt(NamedTuple):
    """An attempt that was sent, here or elsewhere. While it is out it may run."""

    zone: Hashable
    cell: Hashable
    sent_ms: float
    may_have_run: bool = True  # may have run, for all that is known
