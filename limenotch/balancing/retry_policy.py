"""The one rule on repeats: where and until when a call that may have run may run again.

Placement and refusals ask it, and the network once more right before an attempt's first byte.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable

from .types import DedupScope, Effect, PriorAttempt, TrafficClass


def dedup_group(scope: DedupScope, zone: Hashable, cell: Hashable) -> Hashable:
    """A name for the upstreams that drop each other's repeats."""
    return {DedupScope.ALL: None, DedupScope.ZONE: zone, DedupScope.CELL: cell}[scope]


def may_repeat(
    cls: TrafficClass,
    earlier: Iterable[PriorAttempt],
    at_ms: float,
    zone: Hashable = None,
    cell: Hashable = None,
) -> bool:
    """Whether the call may run at this time, at an upstream there or, with no place named, anywhere."""
    ran = [one for one in earlier if one.may_have_run]
    if not ran or cls.effect is not Effect.DEDUPLICATED:
        return not ran or cls.effect is Effect.IDEMPOTENT
    there = dedup_group(cls.dedup_scope, zone, cell)
    return all(
        at_ms < one.sent_ms + cls.dedup_window_ms
        and dedup_group(cls.dedup_scope, one.zone, one.cell) == there
        for one in ran
    )
