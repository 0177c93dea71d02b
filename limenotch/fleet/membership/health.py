"""How far a member may trust its own clock and ears: Lifeguard's local health multiplier.

Source: Dadgar, Phillips, Currey, "Lifeguard" (2018), "Local Health Aware Probe". A score from 0 to the highest; one's
own timeouts are lengthened by 1 + score.

    event                                              score
    a probe was answered, in whatever way              - 1
    a probe failed, and most relays asked sent
    not even a nack (or there was none to ask)         + 1
    somebody suspects us (we refute)                   + 1
    own timers fired late (a pause)                    + 1, and 1 for each period

That a probe failed of which most relays sent a nack says nothing against us: they heard us, and didn't reach it either.
"""

from __future__ import annotations

PROBE_ANSWERED, PROBE_UNCONFIRMED, SUSPICION_REFUTED = -1, 1, 1


class Health:
    def __init__(self, max_score: int) -> None:
        self.max_score = max_score
        self.score = 0

    def adjust(self, change: int) -> None:
        self.score = max(0, min(self.max_score, self.score + change))

    def on_pause(self, late_ms: float, period_ms: float) -> None:
        self.adjust(1 + int(min(late_ms / period_ms, self.max_score)))

    def scale_ms(self, span_ms: float) -> float:
        return span_ms * (1 + self.score)
