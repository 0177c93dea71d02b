"""The `[fleet.wallet]` table. Spans in ms of the local monotonic clock, amounts in whole units of credit."""

from __future__ import annotations

from math import ceil
from typing import Annotated, Literal

from msgspec import Meta, Struct

Span = Annotated[float, Meta(gt=0, le=86_400_000)]
Units = Annotated[int, Meta(ge=0, le=1_000_000_000)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]


class Tuning(Struct, frozen=True, kw_only=True):
    """The keys of the table; see the module."""

    tenants: tuple[Name, ...] = ("*",)  # who has a wallet; "*": all tenants of the configuration
    cost: dict[Name, Units] = {}  # of a request, by class
    other_cost: Units = 1  # of a class that `cost` does not name
    lease_ms: Span = 3000.0  # how long allocations are spent without contact to the leader
    drift: Annotated[float, Meta(ge=0, le=0.5)] = 0.02  # how much faster one clock may run than another, as a share
    slice_ms: Span = 2000.0  # span that one allocation lasts at the holder's own rate
    least_slice: Annotated[int, Meta(ge=1, le=1_000_000_000)] = 10
    # share of an allocation that each raise of the spend limit allows, at least `least_slice`
    step: Annotated[float, Meta(gt=0, le=1)] = 0.25
    record_ms: Span = 200.0  # between two records of what was spent, while there is spending
    idle_ms: Span = 2000.0  # an allocation that was not used for so long is returned
    retry_after_ms: Span = 5000.0  # Retry-After of rejected requests, where the configuration allows it
    without_lease: Literal["pause", "advance"] = "pause"
    advance: Units = 0  # units for each tenant and sidecar, with "advance"
    ask_ms: Span = 10_000.0  # an operator's request without a result by then is answered `unknown`
    most_tenants: Annotated[int, Meta(ge=1, le=100_000)] = 10_000
    most_ids: Annotated[int, Meta(ge=1, le=1_000_000)] = 100_000  # ids of credits of one wallet
    most_holders: Annotated[int, Meta(ge=1, le=10_000)] = 1000
    most_asks: Annotated[int, Meta(ge=1, le=10_000)] = 64
    most_reserved: Annotated[int, Meta(ge=1, le=1_000_000)] = 100_000  # open reservations at one sidecar

    @property
    def max_lease_ms(self) -> float:
        """How long a lease counts at the leader, from its answer."""
        return self.lease_ms * (1 + self.drift)

    @property
    def pause_ms(self) -> float:
        """From when nothing is unallocated and a request was rejected, until all sidecars reject that tenant or the
        credit is spent: what other holders have comes back.

        The sum of a dead holder's lease and the query of its witnesses, a recall that waits for its interval, and
        settlements. The log's own time to commit is counted as `record_ms`, twice.
        """
        return self.max_lease_ms + self.lease_ms / 3 + self.idle_ms + 4 * self.record_ms

    @property
    def resume_ms(self) -> float:
        """From when credit is committed until each sidecar that rejected the tenant can spend: it has sent an
        allocation request, or sends it with its next lease request; then a grant and a first spend limit.
        """
        return self.lease_ms / 3 + 3 * self.record_ms

    def step_of(self, size: int, dearest: int = 1) -> int:
        """The most units of an allocation of `size` that may wrongly count as spent after a crash of the holder.

        `dearest`: the cost of the most expensive request. If most witnesses are lost as well the whole allocation
        counts.
        """
        return min(size, max(ceil(self.step * size), self.least_slice, dearest))
