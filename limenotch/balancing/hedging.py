"""Hedging: whether a request gets a second attempt while the first is in flight, at once or when overdue.

An urgent request that may be repeated is hedged if formula (1) of the source paper gives the pair a higher
probability of a response in time, including the effect of the added load on all other requests.
"""

from __future__ import annotations

from math import exp

from .actions import Action
from .balancer_state import BURST_REQUESTS, BalancerState
from .endpoint_selection import (
    MIN_TOLERANT_LATE_WEIGHT,
    allowed_candidates,
    draw_endpoint,
    estimated_load,
    short_wait_probability,
)
from .endpoint_statistics import EndpointStatistics, Request
from .outlier_detection import OVERDUE_MULTIPLE, check_unresponsive
from .types import Effect

# Hedged attempts and retries per admitted request. The limit keeps them from multiplying over the tiers.
RETRY_BUDGET_RATIO = 0.2
# In service times. With more time left, any endpoint below two thirds load responds in time without hedging.
MAX_URGENT_SERVICE_TIMES = 10.0
# Up to this fraction of requests that can't be hedged, the effect on them is ignored.
MIN_UNHEDGEABLE_FRACTION = 0.01


def should_hedge_at_once(
    state: BalancerState,
    now: float,
    request: Request,
    first: EndpointStatistics,
    second: EndpointStatistics | None,
) -> bool:
    """Whether a request that has just been sent to `first` is also sent to `second` at the same time."""
    repeatable = request.traffic_class.effect is not Effect.AT_MOST_ONCE and request.may_hedge
    hedgeable = repeatable and _is_short_of_time(now, request, first)
    state.hedgeable += hedgeable and second is not None
    return (
        hedgeable
        and second is not None
        and hedge_allowed(state, now, request, second)
        and hedge_pays_off(state, now, request, first, second, state.hedgeable / state.arrivals)
    )


def hedge_delay(state: BalancerState, request: Request, endpoint: EndpointStatistics) -> float:
    """Time in ms that a single attempt may be in flight before hedging is considered again."""
    return max(OVERDUE_MULTIPLE * request.class_latency.mean_ms * endpoint.latency_ratio, state.window_ms / 8)


def miss_probability(
    state: BalancerState, now: float, request: Request, endpoint: EndpointStatistics, load: float
) -> float:
    """Probability that an attempt fails or, given the time left, waits too long to respond in time.

    `load` is the utilisation of the endpoint, from 0 to 1. The wait is that of a queue with one server.
    """
    # The service time at an idle endpoint of this kind, in ms.
    service_ms = max(request.class_latency.mean_ms * endpoint.profile.lowest, 1e-3)
    max_wait_ms = request.deadline - now - service_ms
    if load >= 1 or max_wait_ms <= 0:
        return 1.0
    return 1 - endpoint.success_rate * (1 - load * exp(-(1 - load) * max_wait_ms / service_ms))


def hedge_pays_off(
    state: BalancerState,
    now: float,
    request: Request,
    first: EndpointStatistics,
    second: EndpointStatistics,
    hedged_fraction: float,
) -> bool:
    """Whether hedging `hedged_fraction` of the requests raises P = p_urgent * p_lax of formula (1)."""
    current_hedged_fraction = state.hedged / max(state.arrivals, 1)
    unhedgeable_fraction = 1 - state.hedgeable / max(state.arrivals, 1)
    # A tier that was never idle has no low mean latency: the use of the concurrency limit shows its load.
    limit_use = (state.in_flight - 1) / state.admission.concurrency_limit
    pair = [
        (endpoint, max(estimated_load(state, endpoint), limit_use) / (1 + current_hedged_fraction))
        for endpoint in (first, second)
    ]
    unhedged_misses = [miss_probability(state, now, request, endpoint, load) for endpoint, load in pair]
    hedged_misses = [
        miss_probability(state, now, request, endpoint, load * (1 + hedged_fraction))
        for endpoint, load in pair
    ]
    other_requests_factor = 1.0
    if unhedgeable_fraction > MIN_UNHEDGEABLE_FRACTION:
        other_requests_factor = (2 - sum(hedged_misses)) / max(2 - sum(unhedged_misses), 1e-9)
    return (1 - hedged_misses[0] * hedged_misses[1]) * other_requests_factor > 1 - unhedged_misses[0]


def hedge_allowed(
    state: BalancerState,
    now: float,
    request: Request,
    endpoint: EndpointStatistics,
    unbudgeted: bool = False,
) -> bool:
    """Whether settings, number of attempts, retry budget and retry policy allow a hedged attempt there.

    With `unbudgeted`, the retry budget is not checked.
    """
    budget_spent = state.retry_budget < BURST_REQUESTS / 2 and not unbudgeted
    if (
        request.single_use_body
        or not request.may_hedge
        or len(request.attempts) >= request.max_attempts
        or budget_spent
    ):
        return False
    # The endpoint may be outside the deduplication group that drops duplicates of this request.
    return endpoint in allowed_candidates(state, now, request)[0]


def handle_overdue_attempt(state: BalancerState, now: float, request: Request, actions: list[Action]) -> None:
    """Consider a second attempt for a request whose only open attempt is overdue; append the actions."""
    first = next(attempt for attempt in request.attempts if attempt.open).target
    second = draw_endpoint(state, now, request, first)
    if (
        check_unresponsive(state, now, first)
        and second is not None
        and hedge_allowed(state, now, request, second, unbudgeted=True)
    ):
        state.record_send(now, request, second, actions)
        return
    if now < request.deadline:
        state.schedule_timer(now + hedge_delay(state, request, first), request, actions)
    urgent = request.traffic_class.late_weight < MIN_TOLERANT_LATE_WEIGHT and _is_short_of_time(
        now, request, first
    )
    if second is None or not urgent or not hedge_allowed(state, now, request, second):
        return
    # The request may be overdue because it is costly, and a hedged attempt would cost as much: only the other
    # requests of its endpoint show whether another endpoint is better.
    better = short_wait_probability(state, second) > short_wait_probability(state, first)
    if better and hedge_pays_off(state, now, request, first, second, RETRY_BUDGET_RATIO):
        state.record_send(now, request, second, actions, hedges=1)


def _is_short_of_time(now: float, request: Request, endpoint: EndpointStatistics) -> bool:
    """Whether the time left is at most MAX_URGENT_SERVICE_TIMES of an idle endpoint of this kind."""
    service_ms = request.class_latency.mean_ms * endpoint.profile.lowest
    return request.deadline - now <= service_ms * MAX_URGENT_SERVICE_TIMES
