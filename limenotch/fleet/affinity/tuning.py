"""Settings of the `[fleet.bindings]` table. Times in ms of the local monotonic clock."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Span = Annotated[float, Meta(gt=0, le=31 * 86_400_000.0)]
Rate = Annotated[int, Meta(ge=1000, le=1_000_000_000)]


class Ages(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Idle times of one kind by state, and its longest lifetime. Kind `key` has the longest deduplication window as its
    idle time, or the state's own if that is longer and the state is not open: a request that was sent may have run.
    """

    opening: Span = 2_000.0
    open: Span = 300_000.0
    closing: Span = 5_000.0
    lingering: Span = 2_000.0
    longest: Span = 86_400_000.0  # from the creation, whatever its uses


class Tuning(Struct, frozen=True, kw_only=True):
    """Settings of the affinity table."""

    keys: bool = True  # idempotency keys are bound to where their repeats are deduplicated
    session: str = ""  # header field that names a tenant's session; empty: sessions are not bound
    connections: bool = False  # a client's persistent connection stays with its endpoint
    key: Ages = Ages()
    sessions: Ages = Ages(open=1_800_000.0)
    conn: Ages = Ages(open=60_000.0)
    flow: Ages = Ages()
    tell: Annotated[float, Meta(gt=0, le=0.5)] = 0.125  # of the idle time: smaller changes of an age are withheld
    batch_ms: Span = 50.0
    cover_ms: Span = 250.0  # between watermarks, if no update is sent
    drift: Annotated[float, Meta(ge=0, le=0.5)] = 0.02
    grave_ms: Span = 30_000.0  # how long a tombstone is kept
    tick_ms: Span = 100.0  # of the wheel
    digest_ms: Span = 2_000.0
    join_bytes_per_s: Rate = 8_388_608
    repair_bytes_per_s: Rate = 1_048_576
    most: Annotated[int, Meta(ge=16, le=16_000_000)] = 1_000_000
    most_opening: Annotated[float, Meta(gt=0, le=1)] = 0.25  # of `most`
    most_moves: Annotated[int, Meta(ge=1, le=1_000_000)] = 10_000  # rows per turn when an endpoint is removed
