"""How long a suspect has to say otherwise: long while one member says so, shorter as others find the same.

Source: Lifeguard (2018), "Local Health Aware Suspicion": with C independent confirmations of the K looked for,
timeout = max(shortest, longest - (longest - shortest) * log(C + 1) / log(K + 1)). A suspicion of a higher incarnation,
or of another life, is a new one and starts afresh.
"""

from __future__ import annotations

from math import log


class Suspicion:
    """Of one life and incarnation of a member, as held by one other. Spans in milliseconds."""

    def __init__(self, now: float, by: str, shortest: float, longest: float, looked_for: int) -> None:
        self.began = now
        self.by = {by}
        self.shortest, self.longest = shortest, longest
        self.looked_for = looked_for

    @property
    def confirmed(self) -> int:
        return len(self.by) - 1

    @property
    def until(self) -> float:
        if self.looked_for <= 0:
            return self.began + self.shortest
        share = log(self.confirmed + 1) / log(self.looked_for + 1)
        return self.began + max(self.shortest, self.longest - (self.longest - self.shortest) * share)

    def confirm(self, by: str) -> bool:
        """Whether this was news: another finder, and not more than are looked for."""
        if by in self.by or self.confirmed >= self.looked_for:
            return False
        self.by.add(by)
        return True

    def restart(self, now: float) -> None:
        """After a pause of one's own: what was found before it counts, but the suspect gets its time again."""
        self.began = now
