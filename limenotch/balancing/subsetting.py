"""The part of a tier that one balancer draws from, by the list, its number and the calls that it holds.

A balancer with few calls can't learn of a large tier, and connections from every caller to every upstream
fill the upstreams' tables. Each balancer takes one stretch of an order that all agree on; the stretches start
at even distances, so that all upstreams are covered (deterministic subsetting).
"""

from __future__ import annotations

from collections.abc import Sequence

from .endpoint_statistics import EndpointStatistics

SPREAD = 1.0  # upstreams drawn from for each call held: our own calls then tell of each one's queue
OVERLAP = 4.0  # balancers that draw from each upstream at the least, so that none depends on one of them
FEWEST = 8  # upstreams drawn from at the least, so that one in trouble is a small part


def subset(
    groups: Sequence[list[EndpointStatistics]], held: float, rank: int, balancers: int
) -> list[list[EndpointStatistics]]:
    """Of each group one stretch, for balancer `rank` of `balancers`, which holds `held` calls."""
    chosen: list[list[EndpointStatistics]] = []
    for group in groups:
        size = int(max(FEWEST, SPREAD * held, OVERLAP * len(group) / balancers))
        first = rank * len(group) // balancers % max(len(group), 1)
        stretch = group[first : first + size]
        chosen.append(stretch + group[: min(size - len(stretch), first)])
    return chosen
