"""Deterministic subsetting: chooses the endpoints of a tier to which one balancer sends requests.

A balancer with few requests can't learn enough about a large tier, and connections from every balancer to
every endpoint would fill the endpoints' connection tables. Each balancer takes one contiguous range of the
ring order, which is the same for all balancers. The ranges start at even distances, so that all endpoints
are covered.
"""

from __future__ import annotations

from collections.abc import Sequence

from .endpoint_statistics import EndpointStatistics

# Endpoints per request in flight: a balancer's own requests in flight then show the queue of each endpoint.
ENDPOINTS_PER_REQUEST = 1.0
# Minimum number of balancers that send to an endpoint, so that no endpoint depends on one balancer.
MIN_BALANCERS_PER_ENDPOINT = 4.0
# Minimum number of endpoints, so that a faulty endpoint gets only a small share of the requests.
MIN_SUBSET_SIZE = 8


def subset(
    groups: Sequence[list[EndpointStatistics]], in_flight: float, balancer_index: int, balancers: int
) -> list[list[EndpointStatistics]]:
    """One range of each group, for balancer number `balancer_index` (from 0) of `balancers`.

    `in_flight` is the mean number of its requests in flight.
    """
    subsets: list[list[EndpointStatistics]] = []
    for group in groups:
        size = int(
            max(
                MIN_SUBSET_SIZE,
                ENDPOINTS_PER_REQUEST * in_flight,
                MIN_BALANCERS_PER_ENDPOINT * len(group) / balancers,
            )
        )
        start = balancer_index * len(group) // balancers % max(len(group), 1)
        first_part = group[start : start + size]
        # A range that reaches the end continues at the beginning of the group.
        wrapped_part = group[: min(size - len(first_part), start)]
        subsets.append(first_part + wrapped_part)
    return subsets
