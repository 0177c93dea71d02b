"""Rates of arrivals and of responses in time, for admission control. Rates are in events per ms."""

from __future__ import annotations

from .endpoint_statistics import FadingRate

# Responses in time per miss below which the sustained goodput decays fast. It outlasts a lull, not an overload.
MIN_ANSWERS_PER_MISS = 5.0
# Factor on the counts of arrivals by value at the end of each window.
VALUE_COUNT_DECAY = 0.7
# Counts of arrivals up to this are dropped at the end of a window.
MIN_VALUE_COUNT = 0.1


class ArrivalRates:
    """Counts arrivals and responses in time. Makes no decisions."""

    def __init__(self) -> None:
        """Start with no arrivals and no responses."""
        self.goodput = 0.0  # responses in time per ms, smoothed over the last windows
        self.sustained_goodput = 0.0  # the highest goodput reached, decaying
        self.arrivals = FadingRate()
        self.answers = FadingRate()
        self._window_answers = 0
        self._arrivals_by_value: dict[float, float] = {}  # decaying counts

    def count_answer(self, now: float) -> None:
        """Count one response in time."""
        self._window_answers += 1
        self.answers.add(now)

    def end_window(self, span: float, successes: float, misses: float) -> None:
        """End a window of `span` ms. `successes` (responses in time) and `misses` are decaying counts."""
        smoothing = 0.4 if self.goodput else 1.0
        self.goodput += (self._window_answers / span - self.goodput) * smoothing
        decay = 0.9 if successes >= MIN_ANSWERS_PER_MISS * misses else 0.5
        self.sustained_goodput = max(self.goodput, self.sustained_goodput * decay)
        self._window_answers = 0

    def count_arrival(self, now: float, value: float) -> float:
        """Count one arrival of this value, and return the fraction of all arrivals that have a higher value."""
        self.arrivals.add(now)
        value = float(f"{value:.1g}")
        self._arrivals_by_value[value] = self._arrivals_by_value.get(value, 0.0) + 1
        higher = sum(count for other, count in self._arrivals_by_value.items() if other > value)
        return higher / sum(self._arrivals_by_value.values())

    def fade_values(self) -> None:
        """Decay the counts of arrivals by value at the end of a window."""
        self._arrivals_by_value = {
            value: count * VALUE_COUNT_DECAY
            for value, count in self._arrivals_by_value.items()
            if count > MIN_VALUE_COUNT
        }
