"""How long a suspect has to refute a suspicion: long while one member reports it, shorter as others confirm it.

Source: Lifeguard (2018), "Local Health Aware Suspicion": with C independent confirmations of the K expected,
timeout = max(shortest, longest - (longest - shortest) * log(C + 1) / log(K + 1)). A suspicion of a higher incarnation,
or of another process epoch, is a new one and starts afresh.
"""

from __future__ import annotations

from math import log


class Suspicion:
    """A suspicion here of one process epoch and incarnation of a member. Times in ms."""

    def __init__(self, now: float, reported_by: str, min_ms: float, max_ms: float, expected_confirmations: int) -> None:
        self.started_ms = now
        self.reporters = {reported_by}
        self.min_ms, self.max_ms = min_ms, max_ms
        self.expected_confirmations = expected_confirmations

    @property
    def confirmations(self) -> int:
        """Independent confirmations so far."""
        return len(self.reporters) - 1

    @property
    def expires_at_ms(self) -> float:
        """When the suspect is declared dead."""
        if self.expected_confirmations <= 0:
            return self.started_ms + self.min_ms
        share = log(self.confirmations + 1) / log(self.expected_confirmations + 1)
        return self.started_ms + max(self.min_ms, self.max_ms - (self.max_ms - self.min_ms) * share)

    def confirm(self, reported_by: str) -> bool:
        """Whether the confirmation counts: from another reporter, and not more than expected."""
        if reported_by in self.reporters or self.confirmations >= self.expected_confirmations:
            return False
        self.reporters.add(reported_by)
        return True

    def restart(self, now: float) -> None:
        """After a pause of this process: earlier confirmations count, but the suspect gets its time again."""
        self.started_ms = now
