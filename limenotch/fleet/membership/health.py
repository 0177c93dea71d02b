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

ANSWERED, UNHEARD, REFUTED = -1, 1, 1


class Health:
    def __init__(self, highest: int) -> None:
        self.highest = highest
        self.score = 0

    def note(self, change: int) -> None:
        self.score = max(0, min(self.highest, self.score + change))

    def paused(self, late_ms: float, period_ms: float) -> None:
        self.note(1 + int(min(late_ms / period_ms, self.highest)))

    def scale(self, span_ms: float) -> float:
        return span_ms * (1 + self.score)
