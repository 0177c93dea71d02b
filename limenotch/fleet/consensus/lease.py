"""The time in which a leader knows that no other was elected, by its own clock alone.

- Every message of a leader bears a *round*; the time at which a round began is kept. A voter that answers round r
  has, after r began, heard this leader, and elects no other for `election_least_ms` of its own clock.
- So with a quorum's answers the lease runs from the beginning of the latest round that all of the quorum have answered,
  for election_least_ms * (1 - drift) / (1 + drift): over on the leader's clock before the first voter's wait is.
- The lease is asked with the time of *now*: after a pause, the first look tells. It is void once leadership is handed
  over (the next one stands without waiting). A member counts itself as answering always.
- A voter just started waits election_least_ms before it votes: it may have answered before it fell.

Source: thesis, section 6.4.1.
"""

from __future__ import annotations

from .log import Voters

KEPT = 128  # rounds whose beginning is known; an answer to an older one says nothing


class Lease:
    def __init__(self, name: str, now: float, lease_ms: float) -> None:
        self._name, self._lease_ms = name, lease_ms
        self.round = 0
        self.void = False
        self._began: dict[int, float] = {0: now}
        self._answered: dict[str, int] = {}

    def begin(self, now: float) -> int:
        self.round += 1
        self._began[self.round] = now
        self._began.pop(self.round - KEPT, None)
        return self.round

    def answered(self, name: str, number: int) -> None:
        if number <= self.round:
            self._answered[name] = max(self._answered.get(name, 0), number)

    def quorum_round(self, voters: Voters) -> int:
        """The latest round that a quorum has answered; 0 where none."""
        rounds = sorted(
            (self.round if name == self._name else self._answered.get(name, 0) for name in voters.births), reverse=True
        )
        return rounds[voters.quorum - 1]

    def contact(self, voters: Voters) -> float:
        """Since when, at the latest, a quorum has surely been heard."""
        number = self.quorum_round(voters)
        return self._began.get(number, self._began[min(self._began)])

    def holds(self, now: float, voters: Voters) -> bool:
        number = self.quorum_round(voters)
        alone = len(voters.births) == 1 and self._name in voters.births
        began = now if alone else self._began.get(number) if number else None
        return not self.void and began is not None and now < began + self._lease_ms
