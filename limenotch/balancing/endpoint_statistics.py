"""What a balancer keeps of upstreams, calls and attempts, and how evidence adds up and fades.

No record knows another's; books.py keeps them, and the files under `policy` alone draw conclusions and act.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp

from .types import Endpoint, PriorAttempt, PriorExecution, SlowStart, TrafficClass

RATE_SPAN_MS = 1000.0  # ms over which a rate looks back: shorter ones take chance for a rush


@dataclass(slots=True, eq=False)
class ClassLatency:
    """Mean latency of one class, in ms, over its latest hundred answers or so."""

    mean_ms: float = 0.0
    samples: int = 0

    def add(self, spent_ms: float) -> None:
        self.samples += 1
        self.mean_ms += (spent_ms - self.mean_ms) / min(self.samples, 100)


@dataclass(slots=True, eq=False)
class LatencyProfile:
    """Recent and lowest mean latency, as multiples of each class's usual, of upstreams that are alike."""

    recent: float = 1.0
    lowest: float = 1.0
    total: float = 0.0
    count: float = 0.0
    window_means: list[float] = field(default_factory=list)  # of the latest windows
    reported_rate: float = (
        0.0  # over the reports of its warm upstreams: requests a second, and use times weight
    )
    reported_use: float = 0.0

    def add(self, ratio: float) -> None:
        self.total, self.count = self.total + ratio, self.count + 1

    def end_window(self, enough: int, span: int) -> None:
        """A window ends: its mean counts if it has `enough` samples, and its lowest over `span` such windows."""
        self.reported_rate, self.reported_use = self.reported_rate * 0.9, self.reported_use * 0.9
        if self.count >= enough:
            recent = self.total / self.count
            self.recent += (recent - self.recent) * self.count / (self.count + enough)
            self.window_means = [*self.window_means[1 - span :], recent]
            self.lowest, self.total, self.count = min(self.window_means), 0.0, 0.0


@dataclass(slots=True)
class FadingRate:
    """Events a ms, each counted with a weight that fades over `RATED` ms."""

    per_ms: float = 0.0
    updated_at: float = 0.0

    def add(self, now: float) -> None:
        self.per_ms, self.updated_at = self.value_at(now) + 1 / RATE_SPAN_MS, now

    def value_at(self, now: float) -> float:
        return self.per_ms * exp((self.updated_at - now) / RATE_SPAN_MS)


@dataclass(slots=True, eq=False)
class EndpointStatistics:
    """What this balancer knows of one upstream. Sums fade with age, counted from `stamp`."""

    endpoint: Endpoint
    profile: LatencyProfile  # of its kind
    updated_at: float
    credit_at: float
    listed_weight: float = 1.0
    selection_weight: float = 0.0
    in_flight: int = 0  # our attempts that are out
    expected_rate: float = 0.0  # answers a ms that these are to give, each by the usual latency of its class
    window_answers: int = 0  # that it gave in this window
    latency_ratio_sum: float = 0.0  # sum of latencies as multiples of the usual, over `count` answers
    latency_samples: float = 0.0
    successes: float = 0.0
    failures: float = 0.0
    latency_ratio: float = 1.0  # mean ratio, shrunk toward the kind's
    success_rate: float = 1.0  # part of attempts served in time, shrunk toward the tier's
    slow_start_credit: float = 0.0  # requests of mean work that we may still send while it is cold
    slow_start_rate: float = 0.0  # and how many more a ms
    last_heard_at: float = 0.0  # when it last answered, or was first sent to since nothing was out
    unresponsive: bool = False  # it owes more answers than chance explains, and has given none since
    utilisation: float | None = None
    utilisation_at: float = 0.0  # when that was last told
    last_report: tuple[float | None, float | None] = (
        None,
        None,
    )  # its last report, which many answers repeat
    reported_rate_sum: float = (
        0.0  # sums over its reports, fading: requests a second, and the use of its cores
    )
    reported_use_sum: float = 0.0
    last_report_at: float = 0.0
    consecutive_misses: int = 0  # misses since its last answer in time
    ejected_until: float = 0.0  # until when it is sent nothing, to become idle
    suspected_draining: bool = False  # it does so since the list may lack its drain: up to the next list
    started_at: float = 0.0  # when it last started, by the list or by its return from a ban; 0: long ago
    available: bool = False  # it may be sent to
    estimated_capacity: float = (
        1.0  # requests a second that it can do now, from all balancers; its weight where none are reported
    )
    assured_capacity: float = (
        1.0  # the same, but no more than the settings' ramp makes of what its kind can do
    )

    def warm_fraction(self, now: float, cold: SlowStart) -> float:
        """The least part of its work that it can do now, by the slowest ramp allowed."""
        age = max(now - self.started_at, 0.0)  # by another clock it may start in the future
        if self.started_at <= 0 or age >= cold.warmup_ms:
            return 1.0
        return cold.initial_capacity + (1 - cold.initial_capacity) * age / cold.warmup_ms

    def is_ejected(self, now: float) -> bool:
        """Whether it rests; one that has done so is met as new, or it would not be tried beside others that answer."""
        if 0 < self.ejected_until <= now:
            self.ejected_until = self.latency_ratio_sum = self.latency_samples = self.successes = (
                self.failures
            ) = 0.0
        return self.ejected_until > 0

    def accrue_credit(self, now: float, keep_ms: float) -> float:
        """Its credit as of now: one request, and half of what it earns in `keep_ms`, are saved up at most.

        One that is given up instead when it is not sent in time leaves most of a cold upstream's room unused: with many
        balancers each earns a request in ten seconds and would have to need it within the next two.
        """
        most = 1.0 + self.slow_start_rate * keep_ms / 2
        self.slow_start_credit, self.credit_at = (
            min(self.slow_start_credit + (now - self.credit_at) * self.slow_start_rate, most),
            now,
        )
        return self.slow_start_credit

    def fade(self, now: float, memory: float) -> None:
        """What answers have shown, brought to `now`."""
        fade = exp((self.updated_at - now) / memory)
        self.latency_ratio_sum, self.latency_samples = (
            self.latency_ratio_sum * fade,
            self.latency_samples * fade,
        )
        self.successes, self.failures, self.updated_at = self.successes * fade, self.failures * fade, now

    def reset_evidence(self) -> None:
        """Nothing that it has shown counts any more."""
        self.latency_ratio_sum = self.latency_samples = self.successes = self.failures = (
            self.reported_rate_sum
        ) = self.reported_use_sum = 0.0

    def add_report(self, now: float, memory: float, util: float, per_s: float) -> None:
        fade = exp((self.last_report_at - now) / memory)
        self.last_report, self.last_report_at = (util, per_s), now
        self.reported_rate_sum, self.reported_use_sum = (
            self.reported_rate_sum * fade + per_s,
            self.reported_use_sum * fade + util,
        )


@dataclass(slots=True, eq=False)
class Attempt:
    target: EndpointStatistics
    sent_at: float
    open: bool = True
    may_have_run: bool = True  # may have run, for all that is known
    in_flight: bool = False  # as out: its server has it whole
    expected_rate: float = 0.0  # answers a ms that it is to give: one in the usual latency of its class


@dataclass(slots=True, eq=False)
class Request:
    name: str
    traffic_class: TrafficClass  # this and `most` as they were when it came
    class_latency: ClassLatency  # of its class
    max_attempts: int  # attempts
    deadline: float  # an answer after this is worth nothing
    objective: float  # and after this less
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False
    streaming: bool = False
    single_use_body: bool = False
    preferred_endpoint: str = ""
    prior_execution: PriorExecution | None = None

    def possible_executions(self) -> list[PriorAttempt]:
        """Its attempts that may have run."""
        return [
            PriorAttempt(t.target.endpoint.zone, t.target.endpoint.cell, t.sent_at)
            for t in self.attempts
            if t.may_have_run
        ]

    def prior_attempts(self) -> list[PriorAttempt]:
        """The same, after what was told of it elsewhere."""
        if self.prior_execution is None:
            return self.possible_executions()
        return [
            PriorAttempt(self.prior_execution.zone, self.prior_execution.cell, self.prior_execution.sent_ms),
            *self.possible_executions(),
        ]
