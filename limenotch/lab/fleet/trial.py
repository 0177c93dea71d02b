"""The four rules for requests where faults pause and kill sidecars: which responses are required, what is forbidden.

- A request that a sidecar had during a pause needs no response. The checker retains it: an attempt that the sidecar
  makes after its pause is no violation by itself (the sidecar read the request before it read that its client had
  disconnected), but the class of the request has to allow a second one.
- A paused sidecar is considered notified of a drain when it resumes.
- A request is known for ENDED_REQUEST_RETENTION_MS after its end, plus the delay of the host's event loop.
- Requests at a killed sidecar need no response; the client, whose connection breaks, calls `RuleChecker.request_lost`.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Any

from ..model.rules import Limits, Permissions, RuleChecker

ENDED_REQUEST_RETENTION_MS = 2000.0


class RulesUnderFaults(RuleChecker):
    """The rules under faults. Memory grows with the number of excused requests in a run, which are few and small."""

    def __init__(self, limits: Limits | None = None) -> None:
        super().__init__(limits)
        self.excused = 0
        self._next_sidecar: Hashable | None = None
        self._sidecar_of: dict[Hashable, tuple[Hashable, float]] = {}  # request: its sidecar, and when it was accepted
        self._paused_since: dict[Hashable, float] = {}  # sidecar: start of its pause
        self._resumed_at: dict[Hashable, float] = {}  # sidecar: end of its latest pause
        self._excused_requests: dict[Hashable, Any] = {}  # with their attempts
        self._ended_requests: dict[
            Hashable, tuple[float, Any]
        ] = {}  # requests with the times of their ends, oldest first

    def assign_next_request(self, sidecar: Hashable) -> None:
        """Assigns the next accepted request to this sidecar."""
        self._next_sidecar = sidecar

    def sidecar_paused(self, now: float, sidecar: Hashable) -> None:
        """Starts the pause of a sidecar."""
        self._paused_since.setdefault(sidecar, now)

    def sidecar_resumed(self, now: float, sidecar: Hashable) -> None:
        """Ends the pause of a sidecar. Drain notices from shortly before or during the pause count from now."""
        paused_at = self._paused_since.pop(sidecar, None)
        if paused_at is None:
            return
        self._resumed_at[sidecar] = now
        for key, told_at in self._stopped_since_ms.items():
            if key[0] == sidecar and told_at >= paused_at - self.limits.grace_ms:
                self._stopped_since_ms[key] = now

    def sidecar_ended(self, sidecar: Hashable) -> None:
        """Forgets the state of a sidecar that has ended."""
        self._paused_since.pop(sidecar, None)
        self._resumed_at.pop(sidecar, None)
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
        if self._next_sidecar is not None:
            self._sidecar_of[call] = (self._next_sidecar, now)
            self._next_sidecar = None

    def attempt_sent(self, now: float, call: Hashable, sidecar: Hashable, provider: str, group: int) -> int:
        if call not in self._open and call in self._excused_requests:
            self._recent[call] = self._excused_requests[call]
        elif call not in self._open and call not in self._recent:
            ended, request = self._ended_requests.get(call, (0.0, None))
            if request is not None and now - ended <= self.limits.slack_ms + self.lag_ms():
                self._recent[call] = request
        return super().attempt_sent(now, call, sidecar, provider, group)

    def attempt_ended(self, now: float, call: Hashable, attempt: int, outcome: str, ran: bool) -> None:
        request = self._excused_requests.get(call)
        if call not in self._open and request is not None and attempt < len(request.attempts):
            request.attempts[attempt].over, request.attempts[attempt].ran = True, ran
        super().attempt_ended(now, call, attempt, outcome, ran)

    def request_answered(self, now: float, call: Hashable, verdict: str) -> None:
        request = self._open.get(call)
        if request is not None and self._was_paused(call):
            request.left = True  # the response arrived, late or not
        super().request_answered(now, call, verdict)
        self._sidecar_of.pop(call, None)

    def client_disconnected(self, now: float, call: Hashable) -> None:
        request = self._open.get(call)
        if request is None or request.answered or not self._was_paused(call):
            super().client_disconnected(now, call)
        else:
            request.note(now, "its client disconnected; its sidecar had been paused")
            request.left = request.answered = True
            self._excused_requests[call] = request
            self.excused += 1
            self._forget_if_finished(now, call, request)
        self._sidecar_of.pop(call, None)

    def request_lost(self, call: Hashable) -> None:
        super().request_lost(call)
        self._sidecar_of.pop(call, None)

    def _forget_if_finished(self, now: float, request: Hashable, tracked: Any) -> None:
        super()._forget_if_finished(now, request, tracked)
        if request not in self._open:
            self._ended_requests[request] = (now, tracked)
            while (
                self._ended_requests and next(iter(self._ended_requests.values()))[0] < now - ENDED_REQUEST_RETENTION_MS
            ):
                del self._ended_requests[next(iter(self._ended_requests))]

    def _was_paused(self, call: Hashable) -> bool:
        sidecar, accepted_at = self._sidecar_of.get(call, (None, 0.0))
        return sidecar in self._paused_since or self._resumed_at.get(sidecar, -1.0) >= accepted_at
