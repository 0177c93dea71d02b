"""The leader lease: a time in which the leader knows, by its own clock alone, that no other member was elected.

- Every message of a leader carries the number of its *round*; the time at which each round began is recorded. A voter
  that answers round r has heard from this leader after r began, and elects no other for `election_least_ms` of its own
  clock.
- With the answers of a quorum, the lease therefore runs from the beginning of the latest round that all of the quorum
  have answered, for election_least_ms * (1 - drift) / (1 + drift): it ends, by the leader's clock, before the first
  voter's wait does. This time is `lease_ms`; `drift` bounds how much faster or slower a clock may run.
- Each check compares the lease with the current time, so the first check after a pause of the process notices if the
  lease has expired. The lease is revoked when leadership is transferred (the successor starts its election without
  waiting). A member counts itself as always answering.
- A voter that has just started waits election_least_ms before it votes: it may have answered before it crashed.

Source: thesis, section 6.4.1.
"""

from __future__ import annotations

from .log import Voters

MAX_ROUNDS = 128  # rounds whose beginning is recorded; answers to older rounds do not count


class Lease:
    """Rounds of a leader and the voters' answers to them. Times in ms of the leader's clock."""

    def __init__(self, name: str, now: float, lease_ms: float) -> None:
        self._name, self._lease_ms = name, lease_ms
        self.round = 0
        self.revoked = False
        self._round_began_ms: dict[int, float] = {0: now}
        self._answered_round: dict[str, int] = {}

    def begin_round(self, now: float) -> int:
        """Begins a round; returns its number."""
        self.round += 1
        self._round_began_ms[self.round] = now
        self._round_began_ms.pop(self.round - MAX_ROUNDS, None)
        return self.round

    def record_answer(self, name: str, round_number: int) -> None:
        """Records that a voter has answered the round."""
        if round_number <= self.round:
            self._answered_round[name] = max(self._answered_round.get(name, 0), round_number)

    def quorum_round(self, voters: Voters) -> int:
        """The latest round that a quorum has answered; 0 if there is none."""
        rounds = sorted(
            (self.round if name == self._name else self._answered_round.get(name, 0) for name in voters.disk_ids),
            reverse=True,
        )
        return rounds[voters.quorum - 1]

    def quorum_contact_ms(self, voters: Voters) -> float:
        """The beginning of the latest round that a quorum has answered: a quorum had contact at or after it.

        If the beginning of that round is no longer recorded, it is the oldest recorded beginning.
        """
        round_number = self.quorum_round(voters)
        return self._round_began_ms.get(round_number, self._round_began_ms[min(self._round_began_ms)])

    def is_valid(self, now: float, voters: Voters) -> bool:
        """Whether the lease is valid at `now`."""
        round_number = self.quorum_round(voters)
        is_only_voter = len(voters.disk_ids) == 1 and self._name in voters.disk_ids
        began_ms = now if is_only_voter else self._round_began_ms.get(round_number) if round_number else None
        return not self.revoked and began_ms is not None and now < began_ms + self._lease_ms
