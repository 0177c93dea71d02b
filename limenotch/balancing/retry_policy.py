"""Retry policy: where and until when a request that may have been executed may be executed again.

Endpoint selection and rejections apply it, and the network code checks it again right before it sends the
first byte of an attempt.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable

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
