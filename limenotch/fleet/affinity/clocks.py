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
MAX_SAMPLES = 16


class _OffsetBound:
    """Of the offset, from above; with negative offsets from below."""

    __slots__ = ("slope", "samples")

    def __init__(self, drift: float) -> None:
        self.slope = drift / (1 - drift)  # of their time, by which one's own may be longer
        self.samples: list[tuple[float, float]] = []  # their time, offset

    def add(self, sent_ms: float, offset: float) -> None:
        slope, samples = self.slope, self.samples
        for sample_ms, sample_offset in samples:
            if sample_offset + slope * abs(sent_ms - sample_ms) <= offset:
                return
        remaining = [
            (sample_ms, sample_offset)
            for sample_ms, sample_offset in samples
            if offset + slope * abs(sent_ms - sample_ms) > sample_offset
        ]
        self.samples = [*remaining[1 - MAX_SAMPLES :], (sent_ms, offset)]


class ClockOffset:
    """Of one sender's one life."""

    __slots__ = ("has_round_trip", "_upper", "_lower")

    def __init__(self, drift: float) -> None:
        self.has_round_trip = False  # from one answer on: what came by a stream may have lain in it for long
        self._upper, self._lower = _OffsetBound(drift), _OffsetBound(drift)

    def add_one_way_sample(self, now: float, sent_ms: float) -> None:
        self._upper.add(sent_ms, now - sent_ms)

    def add_round_trip_sample(self, now: float, request_sent_ms: float, sent_ms: float) -> None:
        """`asked` in one's own time, and not after `now`."""
        self.has_round_trip = True
        self._lower.add(sent_ms, sent_ms - request_sent_ms)

    def latest_local_ms(self, now: float, remote_ms: float) -> float:
        """No earlier than it truly was; `now` if nothing was ever heard."""
        slope, best = self._upper.slope, now
        for sample_ms, offset in self._upper.samples:
            local_ms = remote_ms + offset + slope * abs(remote_ms - sample_ms)
            if local_ms < best:
                best = local_ms
        return best

    def earliest_local_ms(self, now: float, remote_ms: float) -> float:
        """No later than it truly was; minus infinite if nothing was ever answered."""
        slope, best = self._lower.slope, -INFINITE
        for sample_ms, offset in self._lower.samples:
            local_ms = remote_ms - offset - slope * abs(remote_ms - sample_ms)
            if local_ms > best:
                best = local_ms
        return min(now, best)
