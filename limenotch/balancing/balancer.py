"""What becomes of a call: let in, sent, tried again, given up. Events: events.py; actions: actions.py.

Each decision has its file, all named under `policy` in deploy/balancer.toml: who is turned away (entry.py),
the shares of upstreams (shares.py) in a part of the tier (subset.py), whom calls avoid (verdicts.py), where
an attempt goes (placement.py), copies (copies.py). The first answer cancels the others. books.py keeps state.
"""

from __future__ import annotations

from .actions import Action, CancelAttempt, FailRequest, RejectRequest, Subscribe
from .admission import is_rejected, update_admission_limit
from .balancer_state import BURST, BalancerState
from .endpoint_selection import choose_endpoints
from .endpoint_statistics import Request
from .events import (
    AttemptFinished,
    BalancerStarted,
    ClientDisconnected,
    Event,
    MembershipKind,
    MembershipUpdate,
    OperatorEjection,
    RequestArrived,
    ResponseStarted,
    SettingsChanged,
    TimerFired,
    UploadFinished,
)
from .hedging import RETRIES, handle_overdue_attempt, hedge_delay, should_hedge_at_once
from .outlier_detection import eject, record_answer
from .retry_policy import may_repeat
from .types import Effect, Outcome
from .weights import update_weights, weights_due

ASK_MS = 1000.0  # window by which asking again is timed at most: of 6 s, all that there is, a third is waited


class Balancer(BalancerState):
    """Feed it events in order; carry out the actions it returns in order."""

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        acts: list[Action] = []
        if self.advance(now_ms):
            self._renew(now_ms)
        if isinstance(event, RequestArrived):
            self._arrival(now_ms, event, acts)
        elif isinstance(event, AttemptFinished):
            self._finished(now_ms, event, acts)
        elif isinstance(event, TimerFired):
            self._timer(now_ms, event.token, acts)
        elif isinstance(event, MembershipUpdate):
            self._membership(now_ms, event, acts)
        elif isinstance(event, ClientDisconnected):
            if event.call in self.calls and not self.calls[event.call].done:
                self._close(self.calls[event.call], acts)
        elif isinstance(event, ResponseStarted):
            if event.call in self.calls and not self.calls[event.call].done:
                self.calls[event.call].streaming = True
                self._cancel(self.calls[event.call], event.attempt, acts)
        elif isinstance(event, UploadFinished):
            self.uploaded(now_ms, event)
        elif isinstance(event, (OperatorEjection, SettingsChanged)):
            self.hear(now_ms, event)
            update_weights(self, now_ms)
        elif isinstance(event, BalancerStarted):
            acts += [Subscribe()] if self.set.must_ask else []
        else:
            raise TypeError(f"not an event of events.py: {event!r}")
        if weights_due(self, now_ms):
            update_weights(self, now_ms)
        return acts

    # The list of upstreams

    def _membership(self, now: float, event: MembershipUpdate, acts: list[Action]) -> None:
        self.failures = min(self.failures + 1, 3) if event.listing is MembershipKind.BROKEN else 0
        if self.failures:
            # Blind to drains, ask again; later each time, out of step, or the list service stays jammed.
            wait = min(self.window, ASK_MS) * 2.0 ** (self.failures - 1) * (0.1 + 0.4 * self.random.random())
            self.wake(now + wait, None, acts)
            return
        self.relist(now, self.roster.heard(now, event, self.set.weights_listed))
        self.stale = True

    def _renew(self, now: float) -> None:
        if self.end_window(now):
            update_admission_limit(self)
        update_weights(self, now)

    # Calls

    def _arrival(self, now: float, event: RequestArrived, acts: list[Action]) -> None:
        call = self.take(now, event)
        if call.end <= now or (not self.set.layer and is_rejected(self, now, call, event)):
            self._finish(now, call, acts)
        else:
            # Refused calls earn no copies: in incident i4bceea they paid for a third more at a full entry.
            self.budget = min(self.budget + RETRIES, BURST)
            self._place(now, call, acts)

    def _place(self, now: float, call: Request, acts: list[Action]) -> None:
        """First landing of a call, or the next attempt after the earlier ones ended."""
        one, two = choose_endpoints(self, now, call)
        if one is None:
            # Nothing to send to now: while it can be in time hold the call, or a silent list would lose it.
            rest = any(s.at_rest(now) for s in self.table[0])
            if rest or call.tries or now + self.window / 8 >= min(call.end, call.aim - self.typical):
                self._finish(now, call, acts)
            else:
                self.wake(now + self.window / 8, call, acts)
            return
        self.send(now, call, one, acts)
        if should_hedge_at_once(self, now, call, one, two) and two:
            self.send(now, call, two, acts, copy=1)
        elif call.cls.effect is not Effect.AT_MOST_ONCE:
            self.wake(now + hedge_delay(self, call, one), call, acts)

    def _finished(self, now: float, event: AttemptFinished, acts: list[Action]) -> None:
        ended = self.ended(now, event)
        if ended is None:
            return
        call, attempt = ended
        self.reported(now, attempt.server, event)
        if event.outcome in (Outcome.OK, Outcome.TIMEOUT) and not attempt.server.quiet:
            record_answer(self, now, attempt.server, event.outcome is Outcome.OK and now <= call.aim)
        elif event.outcome is Outcome.REFUSED and self.failures:  # the list may lack that it drains
            eject(self, now, attempt.server, doubted=True)
        self.learn(now, call, attempt.server, event)
        if event.closed or event.outcome is Outcome.OK:
            self._close(call, acts)
        elif not call.done and not any(t.open for t in call.tries):
            call.most *= not (call.once and event.spent)  # what is gone of it can't go out again
            self._further(now, call, acts)

    def _further(self, now: float, call: Request, acts: list[Action]) -> None:
        left = call.end - now - call.usual.mean * self.tier.low
        if left > 0 and len(call.tries) < call.most and self.budget >= 1 and not call.streaming:
            self.budget -= 1
            self._place(now, call, acts)
        else:
            self._finish(now, call, acts)

    def _finish(self, now: float, call: Request, acts: list[Action]) -> None:
        """Final answer without success: a refusal where a repeat is harmless, else a failure."""
        begun = call.begun()
        last = call.aim - call.cls.aim_ms + call.cls.deadline_ms  # until then its client may come again
        harmless = may_repeat(call.cls, begun, last) and not (begun and self.set.narrow)
        wait = min(self.set.max_retry_after_ms, self.window)
        acts.append(RejectRequest(call.name, wait) if harmless else FailRequest(call.name))
        self._close(call, acts)

    def _close(self, call: Request, acts: list[Action]) -> None:
        call.done = True
        self._cancel(call, -1, acts)
        self.forget(call)

    def _cancel(self, call: Request, but: int, acts: list[Action]) -> None:
        if self.set.may_cancel:
            acts += [CancelAttempt(call.name, n) for n, t in enumerate(call.tries) if t.open and n != but]

    def _timer(self, now: float, token: int, acts: list[Action]) -> None:
        if token not in self.timers:
            return
        call = self.timers.pop(token)
        if call is None:
            acts.append(Subscribe())
        elif not call.tries and not call.done:
            self._place(now, call, acts)
        elif not (call.done or call.streaming) and sum(t.open for t in call.tries) == 1:
            handle_overdue_attempt(self, now, call, acts)
