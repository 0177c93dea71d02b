"""The rate of responses that warm endpoints have served. Slow start is based on it where none reports load."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .available_endpoints import AvailableEndpoints
from .endpoint_statistics import EndpointStatistics

RATE_SMOOTHING = 0.2  # weight of a new window in a mean over windows
MIN_WEIGHT = 1e-9  # a sum of listed weights up to this counts as 0, because of rounding


@dataclass(slots=True, eq=False)
class ServedRate:
    """Responses per second and unit of listed weight; the rates of all balancers add up to the tier's.

    Until a warm endpoint has responded, the rate is the arrival rate. Later it does not fall below the arrival rate,
    since overload does not reduce capacity. It stays unchanged while no endpoint is warm, and also while no endpoint is
    listed or all have weight 0, since there is no rate per unit of weight then.
    """

    per_weight: float = 0.0
    is_measured: bool = False  # whether a warm endpoint has responded

    def end_window(
        self,
        available: AvailableEndpoints,
        observed: Iterable[EndpointStatistics],
        arrivals_per_s: float,
        span_ms: float,
    ) -> None:
        """Add the rate of a window of `span_ms` ms, and reset the endpoints' response counts for the next one."""
        if available.total_weight > MIN_WEIGHT:
            has_warm = available.warm_count > 0 and available.warm_weight > MIN_WEIGHT
            responses = sum(each.window_answers for each in observed if available.is_warm(each))
            response_rate = responses / span_ms * 1000 / available.warm_weight if has_warm else 0.0
            self._add(arrivals_per_s / available.total_weight, response_rate, has_warm)
        for endpoint in observed:
            endpoint.window_answers = 0

    def _add(self, arrival_rate: float, response_rate: float, has_warm: bool) -> None:
        if response_rate and not self.is_measured:
            self.per_weight = response_rate
            self.is_measured = True
        elif self.is_measured and has_warm:
            target = max(response_rate, min(self.per_weight, arrival_rate))
            self.per_weight += (target - self.per_weight) * RATE_SMOOTHING
        elif not self.is_measured and not has_warm:
            self.per_weight += (arrival_rate - self.per_weight) * (RATE_SMOOTHING if self.per_weight else 1.0)
