"""How long a suspect has to say otherwise: long while one member says so, shorter as others find the same.

Source: Lifeguard (2018), "Local Health Aware Suspicion": with C independent confirmations of the K looked for,
timeout = max(shortest, longest - (longest - shortest) * log(C + 1) / log(K + 1)). A suspicion of a higher incarnation,
or of another life, is a new one and starts afresh.
"""

from __future__ import annotations

from math import log


class Suspicion:
    """Of one life and incarnation of a member, as held by one other. Spans in milliseconds."""

    def __init__(self, now: float, reported_by: str, min_ms: float, max_ms: float, expected_confirmations: int) -> None:
        self.started_ms = now
        self.reporters = {reported_by}
        self.min_ms, self.max_ms = min_ms, max_ms
        self.expected_confirmations = expected_confirmations

    @property
    def confirmations(self) -> int:
        return len(self.reporters) - 1

    @property
    def expires_at_ms(self) -> float:
        if self.expected_confirmations <= 0:
            return self.started_ms + self.min_ms
        share = log(self.confirmations + 1) / log(self.expected_confirmations + 1)
        return self.started_ms + max(self.min_ms, self.max_ms - (self.max_ms - self.min_ms) * share)

    def confirm(self, reported_by: str) -> bool:
        """Whether this was news: another finder, and not more than are looked for."""
        if reported_by in self.reporters or self.confirmations >= self.expected_confirmations:
            return False
        self.reporters.add(reported_by)
        return True

    def restart(self, now: float) -> None:
        """After a pause of one's own: what was found before it counts, but the suspect gets its time again."""
        self.started_ms = now
