"""Records of endpoints, requests and attempts, with decaying sums of what was observed of them.

The records contain data only. balancer_state.py owns them, and the modules listed under `policy` in
deploy/balancer.toml base their decisions on them. Times and durations are in ms.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp
from typing import NamedTuple

from .types import Endpoint, PriorAttempt, PriorExecution, SlowStart, TrafficClass

RATE_SPAN_MS = 1000.0  # time constant of arrival rates; with a shorter one chance looks like a burst
CLASS_SAMPLES = 100  # responses over which the mean latency of a class is computed
WINDOW_DECAY = 0.9  # factor on decaying sums at the end of each window
MIN_REPORTED_UTILISATION = 0.0005  # of an endpoint that serves requests: its report may be rounded to 0


@dataclass(slots=True, eq=False)
class ClassLatency:
    """Mean latency of one traffic class over about its latest `CLASS_SAMPLES` responses."""

    mean_ms: float = 0.0
    samples: int = 0

    def add(self, latency_ms: float) -> None:
        """Add the latency of one response."""
        self.samples += 1
        self.mean_ms += (latency_ms - self.mean_ms) / min(self.samples, CLASS_SAMPLES)


@dataclass(slots=True, eq=False)
class LatencyProfile:
    """Latency and reported load of the endpoints of one kind, or of the tier.

    Latencies are ratios to the mean latency of the request's class.
    """

    recent: float = 1.0  # smoothed mean ratio
    lowest: float = 1.0  # lowest mean ratio of the latest windows: that of an idle endpoint
    total: float = 0.0  # sum of the ratios since the latest window mean
    count: float = 0.0  # number of ratios in `total`
    window_means: list[float] = field(default_factory=list)  # mean ratios of the latest windows, oldest first
    reported_rate: float = 0.0  # decaying sum of requests per second reported by warm endpoints
    reported_use: float = 0.0  # decaying sum of their reported utilisation times listed weight

    def add(self, ratio: float) -> None:
        """Add the latency ratio of one attempt."""
        self.total += ratio
        self.count += 1

    def add_report(self, requests_per_s: float, utilisation: float, listed_weight: float) -> None:
        """Add the load report of a warm endpoint. One of weight 0 can't be scaled to weight 1, and is ignored."""
        if listed_weight <= 0:
            return
        self.reported_rate += requests_per_s
        self.reported_use += utilisation * listed_weight

    def end_window(self, min_samples: int, max_windows: int) -> None:
        """Decay the reported sums and, if there are at least `min_samples` ratios, add their mean.

        `lowest` becomes the lowest mean of the last `max_windows` windows.
        """
        self.reported_rate *= WINDOW_DECAY
        self.reported_use *= WINDOW_DECAY
        if self.count < min_samples:
            return
        mean = self.total / self.count
        self.recent += (mean - self.recent) * self.count / (self.count + min_samples)
        self.window_means = [*self.window_means[1 - max_windows :], mean]
        self.lowest = min(self.window_means)
        self.total = 0.0
        self.count = 0.0


@dataclass(slots=True)
class FadingRate:
    """Rate of events per ms, as an average with exponential decay and the time constant `RATE_SPAN_MS`."""

    per_ms: float = 0.0
    updated_at: float = 0.0

    def add(self, now: float) -> None:
        """Count one event."""
        self.per_ms = self.value_at(now) + 1 / RATE_SPAN_MS
        self.updated_at = now

    def value_at(self, now: float) -> float:
        """Events per ms as of `now`."""
        return self.per_ms * exp((self.updated_at - now) / RATE_SPAN_MS)


@dataclass(slots=True, eq=False)
class EndpointStatistics:
    """What this balancer has observed of one process of an endpoint."""

    endpoint: Endpoint
    profile: LatencyProfile  # of the endpoints of its kind
    updated_at: float  # time to which the sums of `fade` have decayed
    credit_at: float  # time to which `slow_start_credit` has accrued
    listed_weight: float = 1.0
    selection_weight: float = 0.0
    in_flight: int = 0  # this balancer's attempts in flight
    expected_rate: float = 0.0  # responses per ms expected of these, by their classes' mean latencies
    window_answers: int = 0  # successful responses in the current window
    latency_ratio_sum: float = 0.0  # decaying sum of latency ratios
    latency_samples: float = 0.0  # decaying number of these ratios
    successes: float = 0.0  # decaying number of attempts that met the latency objective
    failures: float = 0.0  # decaying number of attempts that missed it or failed
    latency_ratio: float = 1.0  # mean ratio, shrunk towards the mean of its kind
    success_rate: float = 1.0  # fraction of successes, shrunk towards that of the tier
    slow_start_credit: float = 0.0  # requests of mean cost that may be sent in slow start
    slow_start_rate: float = 0.0  # credit accrued per ms
    last_response_at: float = 0.0  # its last response, or the first attempt after none was in flight
    unresponsive: bool = False  # more responses are overdue than random variation explains
    utilisation: float | None = None  # from its latest load report
    utilisation_at: float = 0.0
    last_report: tuple[float | None, float | None] = (None, None)  # utilisation, requests per second
    reported_rate_sum: float = 0.0  # decaying sum of reported requests per second
    reported_use_sum: float = 0.0  # decaying sum of reported utilisation
    last_report_at: float = 0.0
    consecutive_misses: int = 0  # attempts since the latest that met its objective
    ejected_until: float = 0.0  # 0: not ejected
    suspected_draining: bool = False  # ejected until the next list, which may list it as draining
    started_at: float = 0.0  # process start by the list, or readmission by an operator; 0: long ago
    available: bool = False  # listed as ready and not ejected by an operator
    estimated_capacity: float = 1.0  # requests per second for all balancers; without reports, its weight
    assured_capacity: float = 1.0  # the same, limited to the capacity that its kind, weight and age suggest

    def warm_fraction(self, now: float, slow_start: SlowStart) -> float:
        """Fraction of its full capacity available now, by the linear slow-start ramp."""
        age_ms = max(now - self.started_at, 0.0)  # the clock of the list may be ahead
        if self.started_at <= 0 or age_ms >= slow_start.warmup_ms:
            return 1.0
        initial = slow_start.initial_capacity
        return initial + (1 - initial) * age_ms / slow_start.warmup_ms

    def is_ejected(self, now: float) -> bool:
        """Whether it is ejected now. Once the ejection has expired, drops the observations made before it.

        With them its weight would stay too low to get the requests that would show its recovery.
        """
        if 0 < self.ejected_until <= now:
            self.ejected_until = 0.0
            self.latency_ratio_sum = 0.0
            self.latency_samples = 0.0
            self.successes = 0.0
            self.failures = 0.0
        return self.ejected_until > 0

    def accrue_credit(self, now: float, overload_window_ms: float) -> float:
        """Slow-start credit as of `now`: at most one request plus half of `overload_window_ms` of accrual.

        Credit does not expire: with many balancers each accrues one request in seconds, and would seldom need
        it just then, so that most of the endpoint's capacity would stay unused.
        """
        max_credit = 1.0 + self.slow_start_rate * overload_window_ms / 2
        accrued = self.slow_start_credit + (now - self.credit_at) * self.slow_start_rate
        self.slow_start_credit = min(accrued, max_credit)
        self.credit_at = now
        return self.slow_start_credit

    def fade(self, now: float, memory_ms: float) -> None:
        """Decay latencies, successes and failures to `now`, with the time constant `memory_ms`."""
        decay = exp((self.updated_at - now) / memory_ms)
        self.latency_ratio_sum *= decay
        self.latency_samples *= decay
        self.successes *= decay
        self.failures *= decay
        self.updated_at = now

    def reset_evidence(self) -> None:
        """Reset the sums of observations and reports."""
        self.latency_ratio_sum = 0.0
        self.latency_samples = 0.0
        self.successes = 0.0
        self.failures = 0.0
        self.reported_rate_sum = 0.0
        self.reported_use_sum = 0.0

    def is_forgotten(self, now: float, max_age_ms: float) -> bool:
        """Whether its observations are older than `max_age_ms` and no longer needed."""
        if self.in_flight or self.unresponsive or self.ejected_until:
            return False
        return now - max(self.updated_at, self.last_report_at, self.last_response_at) > max_age_ms

    def add_report(self, now: float, memory_ms: float, utilisation: float, requests_per_s: float) -> None:
        """Add a load report to the sums of reports, which decay with the time constant `memory_ms`."""
        decay = exp((self.last_report_at - now) / memory_ms)
        self.last_report_at = now
        self.reported_rate_sum = self.reported_rate_sum * decay + requests_per_s
        self.reported_use_sum = self.reported_use_sum * decay + utilisation


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at an endpoint."""

    target: EndpointStatistics
    listed: Endpoint  # the target's list entry at sending: a later list may give another zone or cell
    sent_at: float
    open: bool = True  # has not ended yet
    may_have_run: bool = True  # the endpoint may have executed the request
    in_flight: bool = False  # counted as load, since the endpoint has the request's entire body
    expected_rate: float = 0.0  # responses per ms, by the mean latency of its class

    def count_in_flight(self, now: float) -> None:
        """Count the attempt as load on its endpoint from now on."""
        endpoint = self.target
        if not endpoint.in_flight:
            endpoint.last_response_at = now
        self.sent_at = now
        self.in_flight = True
        endpoint.in_flight += 1
        endpoint.expected_rate += self.expected_rate

    def end(self, may_have_run: bool) -> None:
        """Mark the attempt as ended. `in_flight` keeps its value: whether the attempt was counted as load."""
        self.open = False
        self.may_have_run = may_have_run
        if self.in_flight:
            self.target.in_flight -= 1
            self.target.expected_rate -= self.expected_rate


@dataclass(slots=True, eq=False)
class Request:
    """A request from its arrival until it is answered and all its attempts have ended.

    Its class and permissions are those of the settings at its arrival, even if the settings change. Restricted mode is
    the exception: it applies to open requests at once.
    """

    name: str
    traffic_class: TrafficClass
    class_latency: ClassLatency
    max_attempts: int
    deadline: float  # time after which a response has no value
    objective: float  # time after which a response has less value
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False
    streaming: bool = False  # its streamed response has begun
    retry_reserved: bool = False  # the retry budget has paid for its next attempt
    single_use_body: bool = False
    preferred_endpoint: str = ""
    prior_execution: PriorExecution | None = None
    may_hedge: bool = True
    may_cancel: bool = True
    max_retry_after_ms: float = 0.0

    def possible_executions(self) -> list[PriorAttempt]:
        """This balancer's attempts that may have run."""
        return [
            PriorAttempt(attempt.listed.zone, attempt.listed.cell, attempt.sent_at)
            for attempt in self.attempts
            if attempt.may_have_run
        ]

    def prior_attempts(self) -> list[PriorAttempt]:
        """All attempts that may have run, those through another balancer first."""
        prior = self.prior_execution
        if prior is None:
            return self.possible_executions()
        return [PriorAttempt(prior.zone, prior.cell, prior.sent_ms), *self.possible_executions()]


class EndedAttempt(NamedTuple):
    """An attempt that has just ended, with its request."""

    request: Request
    attempt: Attempt
