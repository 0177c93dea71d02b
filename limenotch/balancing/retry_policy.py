"""Retry policy: where and until when a request that may have run may run again, and the budget of retries.

Endpoint selection and rejections apply it, and the network code checks it again right before it sends the
first byte of an attempt.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable

from .balancer_state import BalancerState
from .endpoint_statistics import Request
from .types import DedupScope, Effect, PriorAttempt, TrafficClass


def dedup_group(scope: DedupScope, zone: Hashable, cell: Hashable) -> Hashable:
    """The key of the deduplication group: the endpoints that drop duplicates of each other's requests."""
    return {DedupScope.ALL: None, DedupScope.ZONE: zone, DedupScope.CELL: cell}[scope]


def may_repeat(
    traffic_class: TrafficClass,
    earlier: Iterable[PriorAttempt],
    at_ms: float,
    zone: Hashable = None,
    cell: Hashable = None,
) -> bool:
    """Whether the request may run at `at_ms` at an endpoint of this zone and cell.

    Without a zone and a cell, whether it may run at any endpoint.
    """
    may_have_run = [attempt for attempt in earlier if attempt.may_have_run]
    if not may_have_run or traffic_class.effect is not Effect.DEDUPLICATED:
        return not may_have_run or traffic_class.effect is Effect.IDEMPOTENT
    group = dedup_group(traffic_class.dedup_scope, zone, cell)
    return all(
        at_ms < attempt.sent_ms + traffic_class.dedup_window_ms
        and dedup_group(traffic_class.dedup_scope, attempt.zone, attempt.cell) == group
        for attempt in may_have_run
    )


def has_retry_left(state: BalancerState, now: float, request: Request) -> bool:
    """Whether there are time, attempts and retry budget for another attempt at `now` (ms)."""
    time_left = request.deadline - now - request.class_latency.mean_ms * state.tier_profile.lowest
    attempts_left = len(request.attempts) < request.max_attempts
    budget_left = request.retry_reserved or state.retry_budget >= 1
    return time_left > 0 and attempts_left and budget_left and not request.streaming


def reserve_retry(state: BalancerState, now: float, request: Request) -> bool:
    """Reserve a retry for a request, an attempt of which is about to be ended; False if none is left.

    Otherwise other requests could take the retry from the budget before the end of the attempt is reported.
    """
    if not has_retry_left(state, now, request):
        return False
    spend_retry(state, request)
    request.retry_reserved = True
    return True


def spend_retry(state: BalancerState, request: Request) -> None:
    """Take a retry from the budget, or use the one that is reserved for this request."""
    if request.retry_reserved:
        request.retry_reserved = False
    else:
        state.retry_budget -= 1
