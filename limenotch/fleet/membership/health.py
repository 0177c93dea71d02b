"""How far a member may trust its own timeouts: Lifeguard's local health multiplier.

Source: Dadgar, Phillips, Currey, "Lifeguard" (2018), "Local Health Aware Probe". The score is from 0 to `max_score`;
the member's own timeouts are multiplied by 1 + score.

    event                                              score
    a probe was answered, directly or indirectly       - 1
    a probe failed, and at most half of the relays
    sent a nack (or there was no relay)                + 1
    this process refutes a suspicion                   + 1
    own timers fired late (a pause)                    + 1, and 1 for each period

A failed probe for which most relays sent a nack does not raise the score: the relays received the requests, and could
not reach the target either.
"""

from __future__ import annotations

PROBE_ANSWERED, PROBE_UNCONFIRMED, SUSPICION_REFUTED = -1, 1, 1


class Health:
    """The health score; 0 is healthy."""

    def __init__(self, max_score: int) -> None:
        self.max_score = max_score
        self.score = 0

    def adjust(self, change: int) -> None:
        """Change the score within its bounds."""
        self.score = max(0, min(self.max_score, self.score + change))

    def on_pause(self, late_ms: float, period_ms: float) -> None:
        """Raise the score for timers that fired late."""
        self.adjust(1 + int(min(late_ms / period_ms, self.max_score)))

    def scale_ms(self, span_ms: float) -> float:
        """A timeout multiplied by 1 + score."""
        return span_ms * (1 + self.score)
