"""The `[fleet.bindings]` table. Spans in ms of one's own monotonic clock."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Span = Annotated[float, Meta(gt=0, le=31 * 86_400_000.0)]
Rate = Annotated[int, Meta(ge=1000, le=1_000_000_000)]


class Ages(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Idle and longest time of one kind, by state. Kind `key` has its class's window instead of `open`, and at least
    that in its other states: what was sent out may have run, answered or not.
    """

    opening: Span = 2_000.0
    open: Span = 300_000.0
    closing: Span = 5_000.0
    lingering: Span = 2_000.0
    longest: Span = 86_400_000.0  # from its making, whatever is seen of it


class Tuning(Struct, frozen=True, kw_only=True):
    keys: bool = True  # keyed calls are bound to where their repeats are dropped
    session: str = ""  # header field that names a tenant's session; empty: none are bound
    connections: bool = False  # a consumer's kept connection stays with its provider
    key: Ages = Ages()
    sessions: Ages = Ages(open=1_800_000.0)
    conn: Ages = Ages(open=60_000.0)
    flow: Ages = Ages()
    tell: Annotated[float, Meta(gt=0, le=0.5)] = 0.125  # of the idle time: a sight that changes an age by more is told
    batch_ms: Span = 50.0
    cover_ms: Span = 250.0  # between two words of what was told, where nothing else is said
    drift: Annotated[float, Meta(ge=0, le=0.5)] = 0.02
    grave_ms: Span = 30_000.0  # how long a forgotten key's count is kept
    tick_ms: Span = 100.0  # of the wheel
    digest_ms: Span = 2_000.0
    join_bytes_per_s: Rate = 8_388_608
    repair_bytes_per_s: Rate = 1_048_576
    most: Annotated[int, Meta(ge=16, le=16_000_000)] = 1_000_000
    most_opening: Annotated[float, Meta(gt=0, le=1)] = 0.25  # of `most`
    most_moves: Annotated[int, Meta(ge=1, le=1_000_000)] = 10_000  # rows changed in one turn when a provider goes
