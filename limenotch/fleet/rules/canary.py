"""Whether a canary's calls go worse than the others': a sequential test on counts, of the leader.

Model: a call goes bad (rejected, failed, late) by chance p at the others and q at the canaries. Of all bad calls of one
look, the canaries' share is, when p = q, and when theirs are `rise` times as likely,

    s0 = canaries' calls / all calls        s1 = rise s0 / (1 + (rise - 1) s0)

so the unknown p falls out. A look adds  bad ln(s1 / s0) + (others' bad) ln((1 - s1) / (1 - s0))  with its own s0: rates
that move with the day harm nothing. Given the total, the canaries' bad calls are hypergeometric when p = q; the added
term's exponential is convex in them, so its mean is at most the binomial's (Hoeffding 1963, theorem 4), which is 1.

It goes back when the sum passes ln(1 / alpha). By Ville's inequality (1939) the chance that this ever happens, however
often one looks, is at most alpha when q = p. It is kept when `span_ms` is over and canaries have taken `least_calls`;
with fewer it goes on, to `most_ms` at the latest, and then goes back.

Source: Wald, "Sequential Tests of Statistical Hypotheses" (1945); Przyborowski, Wilenski (1940) for comparing two rates
by their total.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import log

from msgspec import Struct


class Tuning(Struct, frozen=True, forbid_unknown_fields=True):
    alpha: float = 0.01  # chance of going back for nothing
    rise: float = 2.0  # the rise that is looked for: this many times the others' odds
    span_ms: float = 600_000.0
    most_ms: float = 3_600_000.0
    least_calls: int = 200

    def __post_init__(self) -> None:
        """Raises ValueError naming the setting."""
        if not 0 < self.alpha < 0.5:
            raise ValueError(f"alpha: {self.alpha} is not between 0 and 0.5")
        if not 1 < self.rise <= 100:
            raise ValueError(f"rise: {self.rise} is not between 1 and 100")
        if not 0 < self.span_ms <= self.most_ms:
            raise ValueError("span_ms: not above 0, or more than most_ms")
        if self.least_calls < 1:
            raise ValueError("least_calls: less than 1")


@dataclass(slots=True)
class Trend:
    """One canary's test. `look` gives `back`, `keep` or nothing yet."""

    tuning: Tuning
    since: float
    evidence: float = 0.0  # ln of the likelihood ratio
    taken: int = 0  # by canaries

    def look(self, now: float, taken: int, bad: int, others_taken: int, others_bad: int) -> str:
        """Counts since the last look. A look in which either group took nothing tells nothing."""
        self.taken += taken
        if taken > 0 and others_taken > 0:
            none = taken / (taken + others_taken)
            rise = self.tuning.rise * none / (1 + (self.tuning.rise - 1) * none)
            self.evidence += bad * log(rise / none) + others_bad * log((1 - rise) / (1 - none))
        if self.evidence >= -log(self.tuning.alpha):
            return "back"
        if now - self.since >= self.tuning.span_ms and self.taken >= self.tuning.least_calls:
            return "keep"
        return "back" if now - self.since >= self.tuning.most_ms else ""


LOOK_MS = 1000.0
AGAIN_MS = 5000.0  # an end that was proposed and is not agreed yet


class Watch:
    """The leader's: what sidecars counted of the canary that is under way. A new leader begins anew."""

    def __init__(self, tuning: Tuning) -> None:
        self._tuning = tuning
        self._trend: Trend | None = None
        self._id = ""
        self._counts = [0, 0, 0, 0]  # canaries' taken and bad, others' taken and bad
        self._look_at = 0.0

    def counted(self, now: float, ident: str, canary: bool, taken: int, bad: int) -> str:
        """`back`, `keep` or nothing yet. Counts that can't be are not counted."""
        if self._trend is None or self._id != ident:
            self._trend, self._id = Trend(self._tuning, now), ident
            self._counts, self._look_at = [0, 0, 0, 0], now + LOOK_MS
        if not 0 <= bad <= taken:
            return ""
        first = 0 if canary else 2
        self._counts[first] += taken
        self._counts[first + 1] += bad
        if now < self._look_at:
            return ""
        counts, self._counts, self._look_at = self._counts, [0, 0, 0, 0], now + LOOK_MS
        found = self._trend.look(now, *counts)
        if found:
            self._look_at = now + AGAIN_MS
        return found

    def figures(self) -> Mapping[str, float]:
        return {"evidence": self._trend.evidence, "taken": self._trend.taken} if self._trend else {}

    def forget(self) -> None:
        self._trend = None
