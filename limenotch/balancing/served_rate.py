"""The rate that warm endpoints have shown to serve, from which slow start is computed where none report load."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .available_endpoints import AvailableEndpoints
from .endpoint_statistics import EndpointStatistics

RATE_SMOOTHING = 0.2  # weight of a new window in a mean over windows
MIN_WEIGHT = 1e-9  # a sum of listed weights up to this is 0, with what sums of floats leave behind


@dataclass(slots=True, eq=False)
class ServedRate:
    """Responses per second and unit of weight; the rates of all balancers add up to the tier's.

    Before a warm endpoint has responded it is the arrival rate. It falls no lower than the arrival rate, since overload
    does not lessen capacity, and stays as it is while no endpoint is warm. Without any weight there is no rate per unit
    of it: while no endpoint is listed, or all have weight 0, it stays as it is too.
    """

    per_weight: float = 0.0
    is_proved: bool = False  # a warm endpoint has responded

    def end_window(
        self,
        available: AvailableEndpoints,
        observed: Iterable[EndpointStatistics],
        arrivals_per_s: float,
        span_ms: float,
    ) -> None:
        """Add a window of `span_ms` ms, and begin to count the responses of the next one."""
        if available.total_weight > MIN_WEIGHT:
            has_warm = available.warm_count > 0 and available.warm_weight > MIN_WEIGHT
            responses = sum(each.window_answers for each in observed if available.is_warm(each))
            response_rate = responses / span_ms * 1000 / available.warm_weight if has_warm else 0.0
            self._add(arrivals_per_s / available.total_weight, response_rate, has_warm)
        for endpoint in observed:
            endpoint.window_answers = 0

    def _add(self, arrival_rate: float, response_rate: float, has_warm: bool) -> None:
        if response_rate and not self.is_proved:
            self.per_weight = response_rate
            self.is_proved = True
        elif self.is_proved and has_warm:
            target = max(response_rate, min(self.per_weight, arrival_rate))
            self.per_weight += (target - self.per_weight) * RATE_SMOOTHING
        elif not self.is_proved and not has_warm:
            self.per_weight += (arrival_rate - self.per_weight) * (RATE_SMOOTHING if self.per_weight else 1.0)
