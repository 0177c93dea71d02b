"""The `[fleet.wallet]` table. Spans in ms of one's own monotonic clock, amounts in whole units of credit."""

from __future__ import annotations

from math import ceil
from typing import Annotated, Literal

from msgspec import Meta, Struct

Span = Annotated[float, Meta(gt=0, le=86_400_000)]
Units = Annotated[int, Meta(ge=0, le=1_000_000_000)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]


class Tuning(Struct, frozen=True, kw_only=True):
    tenants: tuple[Name, ...] = ("*",)  # who pays; "*": all that the configuration names
    cost: dict[Name, Units] = {}  # of a call, by class
    other_cost: Units = 1  # of a class that `cost` does not name
    lease_ms: Span = 3000.0  # how long slices are spent without a word of the leader
    drift: Annotated[float, Meta(ge=0, le=0.5)] = 0.02  # how much faster one clock may run than another, as a share
    slice_ms: Span = 2000.0  # of a holder's own rate, in one slice
    least_slice: Annotated[int, Meta(ge=1, le=1_000_000_000)] = 10
    step: Annotated[float, Meta(gt=0, le=1)] = 0.25  # of a slice: what a new mark opens, `least_slice` at least
    record_ms: Span = 200.0  # between two words of what was spent, while something was
    idle_ms: Span = 2000.0  # a slice that nothing was taken from for so long is called back
    retry_after_ms: Span = 5000.0  # what those turned away are told, where the configuration allows that
    without_lease: Literal["pause", "advance"] = "pause"
    advance: Units = 0  # a tenant and sidecar, with "advance"
    ask_ms: Span = 10_000.0  # an operator's call without a word of its end is answered `unknown`
    most_tenants: Annotated[int, Meta(ge=1, le=100_000)] = 10_000
    most_ids: Annotated[int, Meta(ge=1, le=1_000_000)] = 100_000  # credits of one wallet
    most_holders: Annotated[int, Meta(ge=1, le=10_000)] = 1000
    most_asks: Annotated[int, Meta(ge=1, le=10_000)] = 64
    most_reserved: Annotated[int, Meta(ge=1, le=1_000_000)] = 100_000  # calls open at one sidecar

    @property
    def max_lease_ms(self) -> float:
        """How long a lease counts at the leader, from its answer."""
        return self.lease_ms * (1 + self.drift)

    @property
    def pause_ms(self) -> float:
        """From when nothing is left, and somebody was turned away, until all turn that tenant away or the credit is
        spent: what is held elsewhere comes back. A dead holder's lease and the question to its witnesses; a recall
        that waits its turn; settlements. The log's own time for a promise is in `record_ms`, twice.
        """
        return self.max_lease_ms + self.lease_ms / 3 + self.idle_ms + 4 * self.record_ms

    @property
    def resume_ms(self) -> float:
        """From when credit is agreed until whoever turned somebody away can spend: they have said so, or say so at
        their next ask; a grant, a first mark."""
        return self.lease_ms / 3 + 3 * self.record_ms

    def step_of(self, size: int, dearest: int = 1) -> int:
        """Units of a slice that a death can count wrongly, at the most: as spent, though nobody was served. `dearest`:
        the cost of the dearest call. All of the slice where most of its witnesses are gone as well."""
        return min(size, max(ceil(self.step * size), self.least_slice, dearest))
