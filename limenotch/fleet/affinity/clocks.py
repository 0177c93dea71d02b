"""Converts a peer's monotonic time to the local clock, as an interval that each message narrows.

local = remote + offset; the offset changes by at most `drift` of the elapsed time.

- A message sent at s (remote) and received at r (local) shows that the offset is at most r - s: the upper bound. With
  it an age counts from the time of sending, whatever the delay of the message.
- An answer sent at s (remote) to a request sent at t (local) shows that the offset is at least t - s: the lower bound.
  A peer's watermark is converted by this bound, so that it comes out too early rather than too late.

A sample loses precision with the distance from its own time, by `drift` of that distance. A sample is therefore
dropped if another one gives a tighter bound at its time. Of the rest the latest MAX_SAMPLES are retained.
"""

from __future__ import annotations

INFINITE = float("inf")
MAX_SAMPLES = 16


class _OffsetBound:
    """Upper bound of the offset; given negated offsets it is the lower bound."""

    __slots__ = ("slope", "samples")

    def __init__(self, drift: float) -> None:
        self.slope = drift / (1 - drift)  # local ms that may be gained or lost per remote ms
        self.samples: list[tuple[float, float]] = []  # remote time, offset

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
    """Bounds of the clock offset of one process epoch of one peer."""

    __slots__ = ("has_round_trip", "_upper", "_lower")

    def __init__(self, drift: float) -> None:
        self.has_round_trip = False  # until an answer came: a message may have waited in its stream for long
        self._upper, self._lower = _OffsetBound(drift), _OffsetBound(drift)

    def add_one_way_sample(self, now: float, sent_ms: float) -> None:
        self._upper.add(sent_ms, now - sent_ms)

    def add_round_trip_sample(self, now: float, request_sent_ms: float, sent_ms: float) -> None:
        """`request_sent_ms` is local time, not after `now`; `sent_ms` is the peer's time of its answer."""
        self.has_round_trip = True
        self._lower.add(sent_ms, sent_ms - request_sent_ms)

    def latest_local_ms(self, now: float, remote_ms: float) -> float:
        """Latest local time that `remote_ms` can be; `now` if no message has been received."""
        slope, best = self._upper.slope, now
        for sample_ms, offset in self._upper.samples:
            local_ms = remote_ms + offset + slope * abs(remote_ms - sample_ms)
            if local_ms < best:
                best = local_ms
        return best

    def earliest_local_ms(self, now: float, remote_ms: float) -> float:
        """Earliest local time that `remote_ms` can be; minus infinity if no answer has been received."""
        slope, best = self._lower.slope, -INFINITE
        for sample_ms, offset in self._lower.samples:
            local_ms = remote_ms - offset - slope * abs(remote_ms - sample_ms)
            if local_ms > best:
                best = local_ms
        return min(now, best)
