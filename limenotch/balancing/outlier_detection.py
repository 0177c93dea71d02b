"""Outlier detection: which endpoints are avoided for a time, being overfull, unresponsive or ejected."""

from __future__ import annotations

from .balancer_state import BalancerState
from .endpoint_statistics import EndpointStatistics
from .weights import update_weights

# Multiple of its expected latency after which an attempt is overdue.
OVERDUE_MULTIPLE = 2.0
# Responses overdue, by the mean latency of their classes, for a silent endpoint to count as unresponsive.
MIN_OVERDUE_ANSWERS = 8.0
# Multiple of the other endpoints' mean requests in flight above which an endpoint is overfull ...
OVERFULL_MULTIPLE = 1.7
# ... with this many requests added to the mean, so that at low load the own zone does not spill over.
OVERFULL_ALLOWANCE = 2.0
# Consecutive misses after which an endpoint is ejected, so that it can work off a long queue.
EJECTION_MISSES = 4
# An overloaded endpoint needs up to 5 s of idle time, and each balancer ejects it independently.
EJECTION_MS = 6000.0
# Fraction of the candidates that may be ejected at once. Ejecting more would itself cause an outage.
MAX_EJECTED_FRACTION = 0.5


def is_overfull(state: BalancerState, endpoint: EndpointStatistics) -> bool:
    """Whether this balancer has far more requests in flight there; mean latency would show that later."""
    others = len(state.candidates[0]) - 1
    return others > 0 and endpoint.in_flight >= OVERFULL_MULTIPLE * (
        OVERFULL_ALLOWANCE + (state.in_flight - endpoint.in_flight) / others
    )


def check_unresponsive(state: BalancerState, now: float, endpoint: EndpointStatistics) -> bool:
    """Whether it has stopped responding. If that is new, marks it as unresponsive and updates the weights.

    Its machine may have failed although its connections stay open.
    """
    slowness = endpoint.latency_ratio / endpoint.warm_fraction(now, state.settings.slow_start)
    silence_ms = now - endpoint.last_response_at
    max_expected_answers = max(OVERDUE_MULTIPLE * endpoint.in_flight, MIN_OVERDUE_ANSWERS) * slowness
    if not endpoint.unresponsive and silence_ms * endpoint.expected_rate > max_expected_answers:
        endpoint.unresponsive = True
        state.unresponsive.add(endpoint)
        update_weights(state, now)
    return endpoint.unresponsive


def record_answer(state: BalancerState, now: float, endpoint: EndpointStatistics, in_time: bool) -> None:
    """Count consecutive misses, and eject the endpoint after EJECTION_MISSES of them.

    The endpoint gets time to become idle, during which admission control has a lower limit. Only balancers of
    the first tier eject for misses, since only they reject requests.
    """
    endpoint.consecutive_misses = 0 if in_time else endpoint.consecutive_misses + 1
    if (
        endpoint.consecutive_misses >= EJECTION_MISSES
        and not endpoint.is_ejected(now)
        and not state.settings.tier_index
    ):
        eject(state, now, endpoint)


def eject(
    state: BalancerState, now: float, endpoint: EndpointStatistics, may_be_draining: bool = False
) -> None:
    """Send an endpoint nothing for EJECTION_MS, unless too many are ejected already.

    `may_be_draining`: the endpoint may be draining although the list says that it is ready. The ejection
    then ends with the next list.
    """
    candidates = state.candidates[0]
    if not endpoint.is_ejected(now):
        ejected = sum(candidate.is_ejected(now) for candidate in candidates)
        if ejected >= MAX_EJECTED_FRACTION * len(candidates):
            return
    endpoint.ejected_until = now + EJECTION_MS
    endpoint.consecutive_misses = 0
    endpoint.suspected_draining = False
    if may_be_draining:
        state.registry.suspect_draining(endpoint)
    update_weights(state, now)
