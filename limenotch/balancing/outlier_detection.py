"""Outlier detection: endpoints avoided for a time as they are overfull, unresponsive or ejected."""

from __future__ import annotations

from .balancer_state import BalancerState
from .endpoint_statistics import EndpointStatistics
from .weights import update_weights

# Multiple of its expected latency after which an attempt is overdue.
OVERDUE_MULTIPLE = 2.0
# Overdue answers, by the mean latency of their classes, after which a silent endpoint is unresponsive.
MIN_OVERDUE_ANSWERS = 8.0
# Multiple of the other endpoints' mean requests in flight above which an endpoint is overfull ...
OVERFULL_MULTIPLE = 1.7
# ... with this many requests added to that mean: at low load the own zone shall not spill over.
OVERFULL_ALLOWANCE = 2.0
# Consecutive misses after which an endpoint is ejected, so that one with a long queue can become idle.
EJECTION_MISSES = 4
# Ms: an overloaded endpoint needs up to 5 s of idle time, and each balancer ejects it on its own.
EJECTION_MS = 6000.0
# Fraction of the candidates that may be ejected at once. More would be an outage caused by the balancer.
MAX_EJECTED_FRACTION = 0.5


def is_overfull(state: BalancerState, endpoint: EndpointStatistics) -> bool:
    """Whether it has far more of our requests in flight than the others: its mean latency shows it later."""
    others = len(state.candidates[0]) - 1
    return others > 0 and endpoint.in_flight >= OVERFULL_MULTIPLE * (
        OVERFULL_ALLOWANCE + (state.in_flight - endpoint.in_flight) / others
    )


def check_unresponsive(state: BalancerState, now: float, endpoint: EndpointStatistics) -> bool:
    """Whether it has stopped answering; if that is new, mark it and renew the weights.

    Its machine may be gone although its connections stay open.
    """
    slowness = endpoint.latency_ratio / endpoint.warm_fraction(now, state.settings.slow_start)
    silence_ms = now - endpoint.last_heard_at
    max_expected_answers = max(OVERDUE_MULTIPLE * endpoint.in_flight, MIN_OVERDUE_ANSWERS) * slowness
    if not endpoint.unresponsive and silence_ms * endpoint.expected_rate > max_expected_answers:
        endpoint.unresponsive = True
        state.unresponsive.add(endpoint)
        update_weights(state, now)
    return endpoint.unresponsive


def record_answer(state: BalancerState, now: float, endpoint: EndpointStatistics, in_time: bool) -> None:
    """Count consecutive misses and eject the endpoint after EJECTION_MISSES of them.

    The endpoint gets time to become idle; admission control has a lower limit for as long. Only the first
    tier ejects for misses, as only that tier rejects requests.
    """
    endpoint.consecutive_misses = 0 if in_time else endpoint.consecutive_misses + 1
    if (
        endpoint.consecutive_misses >= EJECTION_MISSES
        and not endpoint.is_ejected(now)
        and not state.settings.tier_index
    ):
        eject(state, now, endpoint)


def eject(state: BalancerState, now: float, endpoint: EndpointStatistics, doubted: bool = False) -> None:
    """Send an endpoint nothing for EJECTION_MS, unless too many are ejected already.

    `doubted`: the endpoint may be draining without the endpoint list saying so. The ejection then ends
    with the next list.
    """
    candidates = state.candidates[0]
    if not endpoint.is_ejected(now):
        ejected = sum(candidate.is_ejected(now) for candidate in candidates)
        if ejected >= MAX_EJECTED_FRACTION * len(candidates):
            return
    endpoint.ejected_until = now + EJECTION_MS
    endpoint.consecutive_misses = 0
    endpoint.suspected_draining = False
    if doubted:
        state.registry.suspect_draining(endpoint)
    update_weights(state, now)
