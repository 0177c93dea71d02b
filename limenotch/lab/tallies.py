"""Sums of a run's record, by time window, class, account and tier; and histograms of latencies."""

from __future__ import annotations

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 600_000_000


def histogram() -> HdrHistogram:
    """A histogram of latencies in us, with three significant digits."""
    return HdrHistogram(1, MAX_LATENCY_US, 3)


def quantiles(hist: HdrHistogram) -> dict[str, float]:
    """Count, mean and quantiles of a histogram, in ms."""
    count = hist.get_total_count()
    if not count:
        return {"count": 0}
    result = {"count": count, "mean": round(hist.get_mean_value() / 1000.0, 3)}
    for name, percentile in (
        ("p50", 50.0),
        ("p90", 90.0),
        ("p95", 95.0),
        ("p99", 99.0),
        ("p99.9", 99.9),
        ("max", 100.0),
    ):
        result[name] = round(hist.get_value_at_percentile(percentile) / 1000.0, 3)
    return result


@dataclass(slots=True)
class Window:
    """Sums of a time window; the fields are keys of the record."""

    asked: int = 0
    worth: float = 0.0
    earned: float = 0.0
    tries: int = 0
    retries: int = 0
    served: int = 0
    rejected: int = 0
    failed: int = 0
    timed_out: int = 0
    attempts: int = 0
    copies: int = 0


@dataclass(slots=True)
class Sums:
    """Sums of a class or an account."""

    asked: int = 0
    worth: float = 0.0
    earned: float = 0.0
    served: int = 0
    in_time: int = 0

    @property
    def service(self) -> float:
        """The earned share of the worth; 1 without requests."""
        return self.earned / self.worth if self.worth > 0 else 1.0


@dataclass(slots=True)
class TierSums:
    """Sums of a tier."""

    attempts: int = 0
    again: int = 0  # second and later attempts of a request, including hedged attempts
    crossings: int = 0
