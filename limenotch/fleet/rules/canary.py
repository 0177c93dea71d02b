"""Whether the requests of a canary trial go worse than the others: the leader's sequential test on counts.

Model: a request is unsuccessful (rejected, failed, overdue) with probability p at the other sidecars and q at the
canaries. Of all unsuccessful requests of one sample, the canaries' share is, when p = q, and when theirs are `rise`
times as likely,

    s0 = canaries' requests / all requests        s1 = rise s0 / (1 + (rise - 1) s0)

so the unknown p cancels. A sample adds  bad ln(s1 / s0) + (others' bad) ln((1 - s1) / (1 - s0))  with its own s0, where
bad counts unsuccessful requests: rates that change over the day do no harm. Given the total, the canaries' unsuccessful
requests are hypergeometric when p = q; the exponential of the added term is convex in them, so its mean is at most the
binomial's (Hoeffding 1963, theorem 4), which is 1.

The change is withdrawn when the sum exceeds ln(1 / alpha). By Ville's inequality (1939) the probability that this ever
happens, however often samples are taken, is at most alpha when q = p. The change is kept when `span_ms` is over and the
canaries have had `least_calls` requests; with fewer the trial goes on, until `most_ms` at the latest, and is then
withdrawn.

Source: Wald, "Sequential Tests of Statistical Hypotheses" (1945); Przyborowski, Wilenski (1940) for comparing two rates
by their total.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import log

from msgspec import Struct


class Tuning(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of canary trials."""

    alpha: float = 0.01  # probability of withdrawing a harmless change
    rise: float = 2.0  # the rise to detect: this many times the odds at the other sidecars
    span_ms: float = 600_000.0
    most_ms: float = 3_600_000.0
    least_calls: int = 200

    def __post_init__(self) -> None:
        """Raises ValueError naming the setting."""
        if not 0 < self.alpha < 0.5:
            raise ValueError(f"alpha: {self.alpha} is not between 0 and 0.5")
        if not 1 < self.rise <= 100:
            raise ValueError(f"rise: {self.rise} is not between 1 and 100")
        if not 0 < self.span_ms <= self.most_ms:
            raise ValueError("span_ms: not above 0, or more than most_ms")
        if self.least_calls < 1:
            raise ValueError("least_calls: less than 1")


@dataclass(slots=True)
class SequentialTest:
    """The test of one canary trial."""

    tuning: Tuning
    started_at_ms: float
    log_likelihood_ratio: float = 0.0
    canary_requests: int = 0

    def add_sample(
        self, now: float, requests: int, unsuccessful: int, other_requests: int, other_unsuccessful: int
    ) -> str:
        """Add counts since the last sample; returns `back`, `keep` or nothing yet.

        A sample in which either group had no requests tells nothing.
        """
        self.canary_requests += requests
        if requests > 0 and other_requests > 0:
            null_share = requests / (requests + other_requests)
            rise_share = self.tuning.rise * null_share / (1 + (self.tuning.rise - 1) * null_share)
            self.log_likelihood_ratio += unsuccessful * log(rise_share / null_share) + other_unsuccessful * log(
                (1 - rise_share) / (1 - null_share)
            )
        if self.log_likelihood_ratio >= -log(self.tuning.alpha):
            return "back"
        if now - self.started_at_ms >= self.tuning.span_ms and self.canary_requests >= self.tuning.least_calls:
            return "keep"
        return "back" if now - self.started_at_ms >= self.tuning.most_ms else ""


SAMPLE_INTERVAL_MS = 1000.0
REPEAT_INTERVAL_MS = 5000.0  # until an end that was proposed, and is not agreed on yet, is proposed again


class CanaryMonitor:
    """The leader's counts of the trial under way, as sidecars report them. A new leader starts from nothing."""

    def __init__(self, tuning: Tuning) -> None:
        self._tuning = tuning
        self._test: SequentialTest | None = None
        self._id = ""
        self._counts = [0, 0, 0, 0]  # requests and unsuccessful ones of the canaries, then of the others
        self._next_sample_ms = 0.0

    def add_counts(self, now: float, ident: str, is_canary: bool, requests: int, unsuccessful: int) -> str:
        """Returns `back`, `keep` or nothing yet. Impossible counts are ignored."""
        if self._test is None or self._id != ident:
            self._test, self._id = SequentialTest(self._tuning, now), ident
            self._counts, self._next_sample_ms = [0, 0, 0, 0], now + SAMPLE_INTERVAL_MS
        if not 0 <= unsuccessful <= requests:
            return ""
        offset = 0 if is_canary else 2
        self._counts[offset] += requests
        self._counts[offset + 1] += unsuccessful
        if now < self._next_sample_ms:
            return ""
        counts, self._counts, self._next_sample_ms = self._counts, [0, 0, 0, 0], now + SAMPLE_INTERVAL_MS
        verdict = self._test.add_sample(now, *counts)
        if verdict:
            self._next_sample_ms = now + REPEAT_INTERVAL_MS
        return verdict

    def log_fields(self) -> Mapping[str, float]:
        """The state of the test, for a log line."""
        return {"evidence": self._test.log_likelihood_ratio, "taken": self._test.canary_requests} if self._test else {}

    def reset(self) -> None:
        """Forget the counts: the leader has changed."""
        self._test = None
