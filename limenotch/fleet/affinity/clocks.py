"""What another's monotonic time is on one's own clock: between two bounds, both mended by every message.

own = theirs + offset, and the offset changes by `drift` of the time passed at most.

- A message sent at s (theirs) and heard at h (own) shows that the offset is h - s at most: the upper bound. With it an
  age is counted from when it was sent, however long it was under way.
- An answer that was sent at s to what one sent at t (own) shows that it is t - s at least: the lower bound. What
  another says it has covered counts by this one: too early rather than too late.

A sample says the less of another of their times the further that is away: `drift` of the time between. So of all
samples those count that no other one beats at its own time. MOST of them are kept, those heard last.
"""

from __future__ import annotations

INFINITE = float("inf")
MOST = 16


class _Bound:
    """Of the offset, from above; with negative offsets from below."""

    __slots__ = ("slope", "samples")

    def __init__(self, drift: float) -> None:
        self.slope = drift / (1 - drift)  # of their time, by which one's own may be longer
        self.samples: list[tuple[float, float]] = []  # their time, offset

    def add(self, sent: float, offset: float) -> None:
        slope, samples = self.slope, self.samples
        for time, other in samples:
            if other + slope * abs(sent - time) <= offset:
                return
        kept = [(time, other) for time, other in samples if offset + slope * abs(sent - time) > other]
        self.samples = [*kept[1 - MOST :], (sent, offset)]


class Clock:
    """Of one sender's one life."""

    __slots__ = ("known", "_upper", "_lower")

    def __init__(self, drift: float) -> None:
        self.known = False  # from one answer on: what came by a stream may have lain in it for long
        self._upper, self._lower = _Bound(drift), _Bound(drift)

    def heard(self, now: float, sent: float) -> None:
        self._upper.add(sent, now - sent)

    def answered(self, now: float, asked: float, sent: float) -> None:
        """`asked` in one's own time, and not after `now`."""
        self.known = True
        self._lower.add(sent, sent - asked)

    def latest(self, now: float, theirs: float) -> float:
        """No earlier than it truly was; `now` if nothing was ever heard."""
        slope, best = self._upper.slope, now
        for time, offset in self._upper.samples:
            at = theirs + offset + slope * abs(theirs - time)
            if at < best:
                best = at
        return best

    def earliest(self, now: float, theirs: float) -> float:
        """No later than it truly was; minus infinite if nothing was ever answered."""
        slope, best = self._lower.slope, -INFINITE
        for time, offset in self._lower.samples:
            at = theirs - offset - slope * abs(theirs - time)
            if at > best:
                best = at
        return min(now, best)
