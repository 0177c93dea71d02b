"""Deterministic subsetting: the part of a tier that one balancer sends to.

A balancer with few requests can't learn enough of a large tier, and connections from every client to every
endpoint would fill the endpoints' connection tables. Each balancer takes one stretch of an order that all
agree on. The stretches start at even distances, so that all endpoints are covered.
"""

from __future__ import annotations

from collections.abc import Sequence

from .endpoint_statistics import EndpointStatistics

# Endpoints per request in flight: our own requests in flight then show the queue of each.
ENDPOINTS_PER_REQUEST = 1.0
# Balancers that send to each endpoint at least, so that none depends on one balancer.
MIN_BALANCERS_PER_ENDPOINT = 4.0
# Endpoints at least, so that a faulty one is a small part.
MIN_SUBSET_SIZE = 8


def subset(
    groups: Sequence[list[EndpointStatistics]], in_flight: float, rank: int, balancers: int
) -> list[list[EndpointStatistics]]:
    """One stretch of each group, for balancer `rank` (from 0) of `balancers` with `in_flight` requests."""
    subsets: list[list[EndpointStatistics]] = []
    for group in groups:
        size = int(
            max(
                MIN_SUBSET_SIZE,
                ENDPOINTS_PER_REQUEST * in_flight,
                MIN_BALANCERS_PER_ENDPOINT * len(group) / balancers,
            )
        )
        start = rank * len(group) // balancers % max(len(group), 1)
        stretch = group[start : start + size]
        # A stretch that reaches the end goes on at the beginning of the group.
        wrapped = group[: min(size - len(stretch), start)]
        subsets.append(stretch + wrapped)
    return subsets
