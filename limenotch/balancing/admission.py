"""Admission control: which requests the first tier rejects to shed load.

By Little's law the number of requests that may be in flight is the goodput (responses in time per ms) times
the longest wait after which a response is still in time. The number in flight varies randomly by about its
square root, so each margin around this limit is given in square roots of the limit. The margin is wide while
requests are answered in time as fast as they arrive, and tight while clearly more arrive. Requests of higher
value get a larger margin.

No I/O and no clock: the time is passed with each request. Times are in ms, rates in events per ms.
"""

from __future__ import annotations

from math import inf, sqrt
from typing import TYPE_CHECKING

from .endpoint_statistics import RATE_SPAN_MS, Request
from .events import RequestArrived
from .rates import ArrivalRates

if TYPE_CHECKING:
    from .balancer_state import BalancerState

# Lowest limit, in requests. It admits a few requests at once before any goodput is known.
MIN_CONCURRENCY_LIMIT = 3.0
# Fraction of the time between an idle tier's latency and the shortest objective that a request may wait.
OBJECTIVE_WAIT_FRACTION = 0.3
# The wait may be this multiple of the recent latency, so that a tier that has become slow is not starved ...
RECENT_LATENCY_MULTIPLE = 1.2
# ... but at most this fraction of the shortest latency objective.
MAX_WAIT_FRACTION = 0.7
# Margin while arrivals are answered in time, in square roots of the limit. Chance exceeds it 1 time in 40.
WIDE_MARGIN = 2.0
# Margin under overload, in square roots of the limit. The number in flight is half smoothed and varies less.
TIGHT_MARGIN = 0.5
# Added to the margin for the highest value and subtracted for the lowest, in square roots of the limit.
VALUE_MARGIN = 1.25
# Arrivals per response in time up to which the margin is wide.
WIDE_MARGIN_MAX_OVERLOAD = 1.1
# Arrivals per response in time from which the margin is tight.
TIGHT_MARGIN_MIN_OVERLOAD = 1.4


class AdmissionControl(ArrivalRates):
    """The concurrency limit of the first tier, and the decision to reject a request."""

    concurrency_limit = inf  # requests in flight

    def update_limit(self, idle_ms: float, recent_ms: float, objective_ms: float, known: bool) -> None:
        """Set the concurrency limit. It stays infinite while the tier's latency is not `known`.

        `idle_ms` is the latency of the tier when idle, `recent_ms` its recent latency and `objective_ms` the
        shortest latency objective of all traffic classes.
        """
        wait = idle_ms + OBJECTIVE_WAIT_FRACTION * max(objective_ms - idle_ms, idle_ms / 2)
        wait = max(wait, min(RECENT_LATENCY_MULTIPLE * recent_ms, MAX_WAIT_FRACTION * objective_ms))
        self.concurrency_limit = max(self.sustained_goodput * wait, MIN_CONCURRENCY_LIMIT) if known else inf
        self.fade_values()

    def should_reject(self, now: float, value: float, in_flight: float, live_fraction: float) -> bool:
        """Count a request that arrived and return whether to reject it.

        `value` is its priority weight per ms of work, `in_flight` the number of requests in flight, and
        `live_fraction` the fraction of the tier's capacity that is not ejected. Requests of the lowest value
        are rejected first: the larger the fraction of arrivals with a higher value, the smaller the margin.
        """
        higher_value_fraction = self.count_arrival(now, value)
        margin = self._margin(now) + VALUE_MARGIN * (1 - 2 * higher_value_fraction)
        limit = self.concurrency_limit * live_fraction
        return in_flight >= limit + margin * sqrt(limit)

    def _margin(self, now: float) -> float:
        """The margin at the present overload for a request of median value, in square roots of the limit."""
        # The number of arrivals varies by about sqrt(n): at 20 a second, that alone would look like overload.
        arrivals = self.arrivals.value_at(now) * RATE_SPAN_MS
        overload = (arrivals - sqrt(arrivals)) / max(self.answers.value_at(now) * RATE_SPAN_MS, 1e-9)
        overload_range = TIGHT_MARGIN_MIN_OVERLOAD - WIDE_MARGIN_MAX_OVERLOAD
        tightness = min(max((overload - WIDE_MARGIN_MAX_OVERLOAD) / overload_range, 0.0), 1.0)
        return WIDE_MARGIN - (WIDE_MARGIN - TIGHT_MARGIN) * tightness


def update_admission_limit(state: BalancerState) -> None:
    """Update the concurrency limit at the end of a window.

    Only the first tier rejects requests, so the other tiers have no limit. Hedging reads the limit too.
    """
    # Before two windows have a mean, a balancer just started would take its first requests for overload.
    known = len(state.tier_profile.window_means) > 1 and not state.settings.tier_index
    state.admission.update_limit(
        state.tier_profile.lowest * state.typical_latency_ms,
        state.tier_profile.recent * state.typical_latency_ms,
        min(traffic_class.latency_objective_ms for traffic_class in state.settings.classes),
        known,
    )


def is_rejected(state: BalancerState, now: float, request: Request, event: RequestArrived) -> bool:
    """Whether admission control rejects this request. Counts the arrival: call it once per request."""
    weight = state.request_weight(now, request, event)
    # Requests stuck at an unresponsive endpoint do not load the others. The mean smooths random variation.
    unresponsive_in_flight = sum(endpoint.in_flight for endpoint in state.unresponsive)
    in_flight = (state.in_flight + state.mean_in_flight) / 2 - unresponsive_in_flight
    value = weight / max(request.class_latency.mean_ms, 1.0)
    return state.admission.should_reject(now, value, in_flight, state.live_fraction)
