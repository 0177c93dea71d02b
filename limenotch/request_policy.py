"""What a call's class and settings let its attempts do, as both stood when the call came."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .balancing.retry_policy import may_repeat
from .balancing.types import Effect, PriorAttempt, TrafficClass

# A request counts at its endpoint with its last byte: what the way there and a busy core may take until then.
ARRIVAL_MS = 20.0


@dataclass(frozen=True, slots=True)
class SentAttempt:
    """An attempt whose first byte has gone out, here or through another sidecar."""

    zone: str
    group: int
    sent_ms: float
    in_flight: bool = False  # it has not ended yet

    def as_prior_attempt(self) -> PriorAttempt:
        """The same in the decision module's terms."""
        return PriorAttempt(self.zone, self.group, self.sent_ms)


@dataclass(frozen=True, slots=True)
class RequestPolicy:
    """Asked right before an attempt's first byte. Without a class nothing may go out twice."""

    traffic_class: TrafficClass = TrafficClass("", Effect.AT_MOST_ONCE, 1.0, 1.0)
    may_hedge: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether a second run is harmless wherever and whenever it comes."""
        return self.traffic_class.effect is Effect.IDEMPOTENT

    @property
    def deadline_s(self) -> float:
        """How long a client waits, over all its tries."""
        return self.traffic_class.deadline_ms / 1000.0

    def allows_concurrent(self, sent: Iterable[SentAttempt]) -> bool:
        """Whether a further attempt may be out together with those that are."""
        once = self.traffic_class.effect is Effect.AT_MOST_ONCE
        return not any(attempt.in_flight for attempt in sent) or (self.may_hedge and not once)

    def allows_retry(self, may_have_run: Iterable[SentAttempt], zone: str, group: int, now_ms: float) -> bool:
        """Whether an attempt may begin now at an endpoint of this zone and group, after those that may have run."""
        earlier = [attempt.as_prior_attempt() for attempt in may_have_run]
        return may_repeat(self.traffic_class, earlier, now_ms + ARRIVAL_MS, zone, group)
