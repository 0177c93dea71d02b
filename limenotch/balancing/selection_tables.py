"""Tables of candidates with cumulative weights, from which endpoints are drawn at random."""

from __future__ import annotations

from itertools import accumulate
from typing import TYPE_CHECKING

from .endpoint_statistics import EndpointStatistics

if TYPE_CHECKING:
    from .balancer_state import BalancerState

SelectionTable = tuple[list[EndpointStatistics], list[float]]
"""Endpoints, and their cumulative selection weights."""

# Lowest estimated capacity. It is above 0 so that every endpoint that is not ejected can be drawn.
MIN_CAPACITY = 1e-9


def selection_table(endpoints: list[EndpointStatistics]) -> SelectionTable:
    """Table for a random choice in proportion to the selection weights."""
    return endpoints, list(accumulate(endpoint.selection_weight for endpoint in endpoints))


def update_selection_tables(state: BalancerState, candidates: list[EndpointStatistics]) -> None:
    """Rebuild the tables after the weights of all candidates were updated."""
    state.candidates = selection_table(candidates)
    live_capacity = sum(endpoint.estimated_capacity for endpoint in candidates if endpoint.selection_weight)
    capacity = sum(endpoint.estimated_capacity for endpoint in candidates)
    state.live_fraction = live_capacity / max(capacity, MIN_CAPACITY)
    all_local = not state.settings.cross_zone_cost
    state.local_candidates = selection_table(
        [endpoint for endpoint in candidates if all_local or endpoint.endpoint.zone == state.settings.zone]
    )
    state.dedup_candidates.clear()


def use_listed_weights(state: BalancerState, now: float) -> None:
    """Set the weights of all available endpoints to the listed ones. Slow start continues as before."""
    candidates = [endpoint for members in state.by_locality for endpoint in members]
    for endpoint in candidates:
        endpoint.estimated_capacity = max(endpoint.listed_weight, MIN_CAPACITY)
        endpoint.selection_weight = 0.0 if endpoint.is_ejected(now) else endpoint.estimated_capacity
    update_selection_tables(state, candidates)
