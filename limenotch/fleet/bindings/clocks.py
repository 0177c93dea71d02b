"""What another's monotonic time is on one's own clock: between two bounds, both mended by every message.

own = theirs + offset, and the offset changes by `drift` of the time passed at most.

- A message sent at s (theirs) and heard at h (own) shows offset <= h - s. The least such, widened by the drift since,
  is the upper bound: with it an age is counted from when it was sent, however long it was under way.
- An answer that was sent at s to what one sent at t (own) shows offset >= t - s: the lower bound. What another says
  it has covered counts by this one: too early rather than too late.

Each new sample is held against the one kept as that one has widened by now, so that one number does for all samples.
"""

from __future__ import annotations

INFINITE = float("inf")


class Clock:
    """Of one sender's one life."""

    __slots__ = ("drift", "known", "_upper", "_lower")

    def __init__(self, drift: float) -> None:
        self.drift = drift
        self.known = False  # from one answer on: what came by a stream may have lain in it for long
        self._upper = INFINITE  # least of (offset - drift x when heard)
        self._lower = -INFINITE  # most of (offset + drift x when heard)

    def heard(self, now: float, sent: float) -> None:
        self._upper = min(self._upper, now - sent - self.drift * now)

    def answered(self, now: float, asked: float, sent: float) -> None:
        """`asked` in one's own time, and not after `now`."""
        self.known = True
        self._lower = max(self._lower, asked - sent + self.drift * now)

    def latest(self, now: float, theirs: float) -> float:
        """No earlier than it truly was; `now` if nothing was ever heard."""
        at = theirs + self._upper + self.drift * now
        return min(now, at + self.drift * (now - at)) if self._upper < INFINITE else now

    def earliest(self, now: float, theirs: float) -> float:
        """No later than it truly was; minus infinite if nothing was ever answered."""
        at = theirs + self._lower - self.drift * now
        return min(now, at - self.drift * max(0.0, now - at)) if self._lower > -INFINITE else -INFINITE
