"""What a run's record adds up: a window of time, a class or an account, a tier; and histograms of latencies."""

from __future__ import annotations

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

HIGHEST_US = 600_000_000


def histogram() -> HdrHistogram:
    return HdrHistogram(1, HIGHEST_US, 3)


def quantiles(hist: HdrHistogram) -> dict[str, float]:
    """In ms."""
    count = hist.get_total_count()
    if not count:
        return {"count": 0}
    result = {"count": count, "mean": round(hist.get_mean_value() / 1000.0, 3)}
    for name, part in (("p50", 50.0), ("p90", 90.0), ("p95", 95.0), ("p99", 99.0), ("p99.9", 99.9), ("max", 100.0)):
        result[name] = round(hist.get_value_at_percentile(part) / 1000.0, 3)
    return result


@dataclass(slots=True)
class Window:
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
    """Of a class or an account."""

    asked: int = 0
    worth: float = 0.0
    earned: float = 0.0
    served: int = 0
    in_time: int = 0

    @property
    def service(self) -> float:
        return self.earned / self.worth if self.worth > 0 else 1.0


@dataclass(slots=True)
class TierSums:
    attempts: int = 0
    again: int = 0  # second and later attempts of a call, copies included
    crossings: int = 0
