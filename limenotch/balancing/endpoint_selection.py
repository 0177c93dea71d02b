"""Endpoint selection: draws several candidates at random by weight, and takes the best of them.

If endpoints report their load, two are drawn, and the one with the higher probability of a short wait is
taken. If none does, more are drawn and the one with the lowest expected cost is taken.
"""

from __future__ import annotations

from bisect import bisect
from math import exp, inf

from .balancer_state import BalancerState
from .endpoint_statistics import EndpointStatistics, Request
from .outlier_detection import check_unresponsive, is_overfull
from .retry_policy import dedup_group, may_repeat
from .selection_tables import SelectionTable, selection_table
from .types import DedupScope, Effect
from .weights import update_all_weights, update_weights

# Draws to find a usable endpoint. More draws would distort the weights of the remaining candidates.
MAX_DRAWS = 4
# Length of a short wait, in service times. The better of two candidates is chosen by it.
SHORT_WAIT_SERVICE_TIMES = 2.0
# Minimum lead in success rate of the second candidate, for a request whose first attempt restricts retries.
MIN_SUCCESS_RATE_GAIN = 0.15
# Time constant of a load report, in windows: an endpoint without requests does not report its shorter queue.
REPORT_FADE_WINDOWS = 0.5
# A request is urgent if a late response keeps less than this fraction of its weight.
MIN_TOLERANT_LATE_WEIGHT = 0.5
# Further candidates without load reports: requests in flight from this balancer then show queues first.
EXTRA_CANDIDATES = 9
# One in this many of these is drawn from the balancer's own zone.
LOCAL_CANDIDATE_INTERVAL = 3
# Weight of the cross-zone cost, relative to the probability of a response in time.
CROSS_ZONE_COST_MULTIPLE = 1.5
# Upper limit of the utilisation estimated from a report or from latency.
MAX_LOAD = 0.99


def choose_endpoints(
    state: BalancerState, now: float, request: Request
) -> tuple[EndpointStatistics | None, EndpointStatistics | None]:
    """The endpoint of the next attempt and, for an urgent request, one to hedge it; None if there is none."""
    sticky = _usable_preferred_endpoint(state, now, request)
    if sticky is not None:
        return sticky, None
    last = request.attempts[-1].target if request.attempts else None
    first = _draw_first(state, now, request, last)
    if first is None and state.weights_stale:  # all candidates may have been removed from the list
        update_weights(state, now)
        first = _draw_first(state, now, request, last)
    if first is None:
        return None, None
    urgent = request.traffic_class.late_weight < MIN_TOLERANT_LATE_WEIGHT
    second = None
    if not request.attempts and (urgent or not request.traffic_class.retry_is_harmless):
        second = draw_endpoint(state, now, request, first)
    if not state.tier_profile.reported_rate:
        first, second = _choose_by_cost(state, now, request, last, first, second)
    elif second is not None and _is_better(state, second, first, urgent):
        first, second = second, first
    return first, second if urgent else None


def _usable_preferred_endpoint(
    state: BalancerState, now: float, request: Request
) -> EndpointStatistics | None:
    """The endpoint to which the request's session is bound, if its first attempt can be sent there."""
    if not request.preferred_endpoint or request.attempts:
        return None
    endpoint = state.find_available(request.preferred_endpoint)
    if endpoint is None or check_unresponsive(state, now, endpoint) or is_overfull(state, endpoint):
        return None
    return endpoint if within_slow_start(state, endpoint, now) else None


def _draw_first(
    state: BalancerState, now: float, request: Request, last: EndpointStatistics | None
) -> EndpointStatistics | None:
    """Draw an endpoint other than the last attempt's, or else any, even if unresponsive or overfull."""
    return draw_endpoint(state, now, request, last) or draw_endpoint(
        state, now, request, None, include_unhealthy=True
    )


def _choose_by_cost(
    state: BalancerState,
    now: float,
    request: Request,
    last: EndpointStatistics | None,
    first: EndpointStatistics,
    second: EndpointStatistics | None,
) -> tuple[EndpointStatistics, EndpointStatistics | None]:
    """The cheapest of both and of further candidates, and the next cheapest if `second` was given."""
    extra = [
        draw_endpoint(state, now, request, last, own_zone_only=number % LOCAL_CANDIDATE_INTERVAL == 0)
        for number in range(EXTRA_CANDIDATES)
    ]
    drawn = [first, *filter(None, [second, *extra])]
    drawn.sort(key=lambda endpoint: expected_cost(state, now, request, endpoint))
    cheapest = drawn[0]
    if second is None:
        return cheapest, None
    return cheapest, next((endpoint for endpoint in drawn if endpoint is not cheapest), None)


def _is_better(
    state: BalancerState, second: EndpointStatistics, first: EndpointStatistics, urgent: bool
) -> bool:
    """Whether `second` is better: by the probability of a short wait if urgent, else by success rate."""
    if urgent:
        return short_wait_probability(state, second) > short_wait_probability(state, first)
    return second.success_rate > first.success_rate + MIN_SUCCESS_RATE_GAIN


def draw_endpoint(
    state: BalancerState,
    now: float,
    request: Request,
    avoid: EndpointStatistics | None,
    include_unhealthy: bool = False,
    own_zone_only: bool = False,
) -> EndpointStatistics | None:
    """Draw an endpoint by weight from those that the retry policy allows; None after MAX_DRAWS in vain.

    Never returns `avoid`. Returns an unresponsive or overfull endpoint only with `include_unhealthy`.
    """
    endpoints, weight_sums = allowed_candidates(state, now, request, own_zone_only)
    for _ in range(MAX_DRAWS):
        if not weight_sums or weight_sums[-1] <= 0:
            return None
        endpoint = _draw_by_weight(state, endpoints, weight_sums)
        if not endpoint.available:  # it has become unavailable since the weights were computed
            endpoints, weight_sums = selection_table(
                [candidate for candidate in endpoints if candidate.available]
            )
            if not weight_sums or weight_sums[-1] <= 0:
                return None
            endpoint = _draw_by_weight(state, endpoints, weight_sums)
        if not include_unhealthy and (
            check_unresponsive(state, now, endpoint) and endpoint.in_flight or is_overfull(state, endpoint)
        ):
            endpoints, weight_sums = selection_table(
                [candidate for candidate in endpoints if candidate is not endpoint]
            )
        elif endpoint is not avoid and within_slow_start(state, endpoint, now):
            return endpoint
    return None


def _draw_by_weight(
    state: BalancerState, endpoints: list[EndpointStatistics], weight_sums: list[float]
) -> EndpointStatistics:
    return endpoints[bisect(weight_sums, state.random.random() * weight_sums[-1], 0, len(weight_sums) - 1)]


def allowed_candidates(
    state: BalancerState, now: float, request: Request, own_zone_only: bool = False
) -> SelectionTable:
    """The candidates that the retry policy allows for the next attempt, and their cumulative weights."""
    earlier = request.prior_attempts() if request.attempts or request.prior_execution else []
    if not earlier or request.traffic_class.effect is Effect.IDEMPOTENT and not state.settings.restricted:
        return state.local_candidates if own_zone_only else state.candidates
    first, scope = earlier[0], request.traffic_class.dedup_scope
    if state.settings.restricted or not may_repeat(
        request.traffic_class, earlier, now, first.zone, first.cell
    ):
        return [], []
    if scope is DedupScope.ALL:
        return state.candidates
    key = (scope, dedup_group(scope, first.zone, first.cell))
    if key not in state.dedup_candidates:
        members = list(state.available.dedup_members(*key))
        update_all_weights(state, members, now)
        state.dedup_candidates[key] = selection_table(members)
    return state.dedup_candidates[key]


def within_slow_start(state: BalancerState, endpoint: EndpointStatistics, now: float) -> bool:
    """Whether an endpoint, if it is in slow start, may get one more request from this balancer."""
    if endpoint.warm_fraction(now, state.settings.slow_start) >= 1.0:
        return True
    return (
        state.settings.slow_start_divisor != inf
        and endpoint.accrue_credit(now, state.settings.slow_start.overload_window_ms) >= 1.0
    )


def estimated_load(state: BalancerState, endpoint: EndpointStatistics) -> float:
    """Utilisation from 0 to 1 by a recent report or else by latency, corrected by own requests in flight."""
    load = 1 - endpoint.profile.lowest / max(endpoint.latency_ratio, endpoint.profile.lowest)
    if endpoint.utilisation is not None:
        report_age_windows = (state.now - endpoint.utilisation_at) / state.window_ms
        load += (endpoint.utilisation - load) * exp(-report_age_windows / REPORT_FADE_WINDOWS)
    usual_in_flight = state.mean_in_flight * endpoint.selection_weight / max(state.candidates[1][-1], 1e-9)
    in_flight = max(endpoint.in_flight, usual_in_flight)
    return 1 - (1 - min(load, MAX_LOAD)) * (usual_in_flight + 1) / (in_flight + 1)


def short_wait_probability(state: BalancerState, endpoint: EndpointStatistics) -> float:
    """Probability of success after a wait of at most SHORT_WAIT_SERVICE_TIMES.

    With a longer wait, a low error rate would outweigh any queue.
    """
    load = estimated_load(state, endpoint)
    return endpoint.success_rate * (1 - load * exp(-(1 - load) * SHORT_WAIT_SERVICE_TIMES))


def expected_cost(state: BalancerState, now: float, request: Request, endpoint: EndpointStatistics) -> float:
    """Probability of missing the latency objective, by requests in flight, plus the cross-zone cost."""
    count = len(state.candidates[0])
    relative_queue = (
        (endpoint.in_flight + 1)
        * state.candidates[1][-1]
        / count
        / endpoint.selection_weight
        / (state.mean_in_flight / count + 1)
    )
    time_left_ms = max(request.objective - now, 1.0)
    late = exp(-time_left_ms / max(request.class_latency.mean_ms * relative_queue, 1e-3))
    zone_cost = state.settings.cross_zone_cost if endpoint.endpoint.zone != state.settings.zone else 0.0
    # Far from the objective all queues cost about the same: the last term then prefers the shorter queue.
    return (
        1
        - min(endpoint.success_rate / state.best_success_rate, 1.0) * (1 - late)
        + CROSS_ZONE_COST_MULTIPLE * zone_cost
        + 1e-6 * relative_queue
    )
