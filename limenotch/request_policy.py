"""What the attempts of a request may do, by its class and the settings at its arrival."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .balancing.retry_policy import may_repeat
from .balancing.types import Effect, PriorAttempt, TrafficClass
from .clocks import MS_PER_S

# Time allowed, on a busy core, until the endpoint has a request's last byte, at which it checks for duplicates.
ARRIVAL_MS = 20.0


@dataclass(frozen=True, slots=True)
class SentAttempt:
    """An attempt whose first byte has been sent, by this sidecar or another."""

    zone: str
    group: int
    sent_ms: float  # monotonic time
    in_flight: bool = False

    def as_prior_attempt(self) -> PriorAttempt:
        """Convert to the balancer's type."""
        return PriorAttempt(self.zone, self.group, self.sent_ms)


@dataclass(frozen=True, slots=True)
class RequestPolicy:
    """Rules that are checked right before the first byte of an attempt is sent. The default allows no retries."""

    traffic_class: TrafficClass = TrafficClass("", Effect.AT_MOST_ONCE, 1.0, 1.0)
    may_hedge: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether a second execution is harmless, at any endpoint and any time."""
        return self.traffic_class.effect is Effect.IDEMPOTENT

    @property
    def deadline_s(self) -> float:
        """The time in seconds for which a client waits at most, over all its retries."""
        return self.traffic_class.deadline_ms / MS_PER_S

    def allows_concurrent(self, sent: Iterable[SentAttempt]) -> bool:
        """Whether another attempt may start while those of `sent` that are in flight continue."""
        if not any(attempt.in_flight for attempt in sent):
            return True
        return self.may_hedge and self.traffic_class.effect is not Effect.AT_MOST_ONCE

    def allows_retry(self, may_have_run: Iterable[SentAttempt], zone: str, group: int, now_ms: float) -> bool:
        """Whether an attempt may start now at an endpoint of this zone and group, given those that may have run."""
        prior_attempts = [attempt.as_prior_attempt() for attempt in may_have_run]
        return may_repeat(self.traffic_class, prior_attempts, now_ms + ARRIVAL_MS, zone, group)
