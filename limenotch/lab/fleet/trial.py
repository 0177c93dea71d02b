"""The four rules where sidecars are stopped and killed by faults: what is then owed, and what still is not allowed.

- A call that was with a sidecar at some moment of its stop is owed no answer. It stays known: an attempt that the
  sidecar makes after it woke is no breach by itself (it read the call before it read that its consumer had left), but
  a second one must still be allowed by the call's class.
- A stopped sidecar is told of a drain when it wakes.
- A call is known for OVER_MS after its end, and what the host's loop was late by is not held against an attempt.
- Calls of one that is killed are owed nothing; the consumer, whose connection breaks, calls `request_lost`.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Any

from ..model.rules import Limits, Permissions, RuleChecker

OVER_MS = 2000.0


class Trial(RuleChecker):
    """Memory follows the calls of a run that were excused, which are few and short."""

    def __init__(self, limits: Limits | None = None) -> None:
        super().__init__(limits)
        self.excused = 0
        self._next: Hashable | None = None
        self._via: dict[Hashable, tuple[Hashable, float]] = {}  # call: its sidecar, and when it was taken
        self._paused: dict[Hashable, float] = {}  # sidecar: since when
        self._woke: dict[Hashable, float] = {}  # sidecar: when it last did
        self._kept: dict[Hashable, Any] = {}  # excused calls, with their attempts
        self._over: dict[Hashable, tuple[float, Any]] = {}  # calls by their end, the oldest first

    def next_goes_to(self, sidecar: Hashable) -> None:
        """The call that is taken next is this sidecar's."""
        self._next = sidecar

    def paused(self, now: float, sidecar: Hashable) -> None:
        self._paused.setdefault(sidecar, now)

    def woke(self, now: float, sidecar: Hashable) -> None:
        since = self._paused.pop(sidecar, None)
        if since is None:
            return
        self._woke[sidecar] = now
        for key, at in self._stopped_since_ms.items():
            if key[0] == sidecar and at >= since - self.limits.grace_ms:
                self._stopped_since_ms[key] = now

    def died(self, sidecar: Hashable) -> None:
        self._paused.pop(sidecar, None)
        self._woke.pop(sidecar, None)
        self.sidecar_stopped(sidecar)

    def request_accepted(
        self,
        now: float,
        call: Hashable,
        effect: str,
        scope: str,
        window_ms: float,
        end: float,
        allowed: Permissions | None = None,
    ) -> None:
        super().request_accepted(now, call, effect, scope, window_ms, end, allowed)
        if self._next is not None:
            self._via[call] = (self._next, now)
            self._next = None

    def attempt_sent(self, now: float, call: Hashable, sidecar: Hashable, provider: str, group: int) -> int:
        if call not in self._open and call in self._kept:
            self._recent[call] = self._kept[call]
        elif call not in self._open and call not in self._recent:
            ended, held = self._over.get(call, (0.0, None))
            if held is not None and now - ended <= self.limits.slack_ms + self.lag_ms():
                self._recent[call] = held
        return super().attempt_sent(now, call, sidecar, provider, group)

    def attempt_ended(self, now: float, call: Hashable, attempt: int, outcome: str, ran: bool) -> None:
        kept = self._kept.get(call)
        if call not in self._open and kept is not None and attempt < len(kept.attempts):
            kept.attempts[attempt].over, kept.attempts[attempt].ran = True, ran
        super().attempt_ended(now, call, attempt, outcome, ran)

    def request_answered(self, now: float, call: Hashable, verdict: str) -> None:
        held = self._open.get(call)
        if held is not None and self._was_stopped(call):
            held.left = True  # late or not, it came
        super().request_answered(now, call, verdict)
        self._via.pop(call, None)

    def client_disconnected(self, now: float, call: Hashable) -> None:
        held = self._open.get(call)
        if held is None or held.answered or not self._was_stopped(call):
            super().client_disconnected(now, call)
        else:
            held.note(now, "its consumer left; its sidecar had been stopped")
            held.left = held.answered = True
            self._kept[call] = held
            self.excused += 1
            self._forget_if_finished(now, call, held)
        self._via.pop(call, None)

    def request_lost(self, call: Hashable) -> None:
        super().request_lost(call)
        self._via.pop(call, None)

    def _forget_if_finished(self, now: float, call: Hashable, held: Any) -> None:
        super()._forget_if_finished(now, call, held)
        if call not in self._open:
            self._over[call] = (now, held)
            while self._over and next(iter(self._over.values()))[0] < now - OVER_MS:
                del self._over[next(iter(self._over))]

    def _was_stopped(self, call: Hashable) -> bool:
        sidecar, taken = self._via.get(call, (None, 0.0))
        return sidecar in self._paused or self._woke.get(sidecar, -1.0) >= taken
