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
        if self.advance_clock(now_ms):
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
            if event.request in self.requests and not self.requests[event.request].answered:
                self._close(self.requests[event.request], acts)
        elif isinstance(event, ResponseStarted):
            if event.request in self.requests and not self.requests[event.request].answered:
                self.requests[event.request].streaming = True
                self._cancel(self.requests[event.request], event.attempt, acts)
        elif isinstance(event, UploadFinished):
            self.record_upload(now_ms, event)
        elif isinstance(event, (OperatorEjection, SettingsChanged)):
            self.apply_operator_event(now_ms, event)
            update_weights(self, now_ms)
        elif isinstance(event, BalancerStarted):
            acts += [Subscribe()] if self.settings.must_subscribe else []
        else:
            raise TypeError(f"not an event of events.py: {event!r}")
        if weights_due(self, now_ms):
            update_weights(self, now_ms)
        return acts

    # The list of upstreams

    def _membership(self, now: float, event: MembershipUpdate, acts: list[Action]) -> None:
        self.discovery_failures = (
            min(self.discovery_failures + 1, 3) if event.kind is MembershipKind.UNAVAILABLE else 0
        )
        if self.discovery_failures:
            # Blind to drains, ask again; later each time, out of step, or the list service stays jammed.
            wait = (
                min(self.window_ms, ASK_MS)
                * 2.0 ** (self.discovery_failures - 1)
                * (0.1 + 0.4 * self.random.random())
            )
            self.schedule_timer(now + wait, None, acts)
            return
        self.apply_registry_changes(
            now, self.registry.apply_membership(now, event, self.settings.weights_listed)
        )
        self.weights_stale = True

    def _renew(self, now: float) -> None:
        if self.end_window(now):
            update_admission_limit(self)
        update_weights(self, now)

    # Calls

    def _arrival(self, now: float, event: RequestArrived, acts: list[Action]) -> None:
        call = self.record_arrival(now, event)
        if call.deadline <= now or (not self.settings.tier_index and is_rejected(self, now, call, event)):
            self._finish(now, call, acts)
        else:
            # Refused calls earn no copies: in incident i4bceea they paid for a third more at a full entry.
            self.retry_budget = min(self.retry_budget + RETRIES, BURST)
            self._place(now, call, acts)

    def _place(self, now: float, call: Request, acts: list[Action]) -> None:
        """First landing of a call, or the next attempt after the earlier ones ended."""
        one, two = choose_endpoints(self, now, call)
        if one is None:
            # Nothing to send to now: while it can be in time hold the call, or a silent list would lose it.
            rest = any(s.is_ejected(now) for s in self.candidates[0])
            if (
                rest
                or call.attempts
                or now + self.window_ms / 8 >= min(call.deadline, call.objective - self.typical_latency_ms)
            ):
                self._finish(now, call, acts)
            else:
                self.schedule_timer(now + self.window_ms / 8, call, acts)
            return
        self.record_send(now, call, one, acts)
        if should_hedge_at_once(self, now, call, one, two) and two:
            self.record_send(now, call, two, acts, copy=1)
        elif call.traffic_class.effect is not Effect.AT_MOST_ONCE:
            self.schedule_timer(now + hedge_delay(self, call, one), call, acts)

    def _finished(self, now: float, event: AttemptFinished, acts: list[Action]) -> None:
        ended = self.record_end(now, event)
        if ended is None:
            return
        call, attempt = ended
        self.record_report(now, attempt.target, event)
        if event.outcome in (Outcome.OK, Outcome.TIMEOUT) and not attempt.target.unresponsive:
            record_answer(self, now, attempt.target, event.outcome is Outcome.OK and now <= call.objective)
        elif (
            event.outcome is Outcome.REJECTED and self.discovery_failures
        ):  # the list may lack that it drains
            eject(self, now, attempt.target, doubted=True)
        self.record_outcome(now, call, attempt.target, event)
        if event.request_answered or event.outcome is Outcome.OK:
            self._close(call, acts)
        elif not call.answered and not any(t.open for t in call.attempts):
            call.max_attempts *= not (
                call.single_use_body and event.body_consumed
            )  # what is gone of it can't go out again
            self._further(now, call, acts)

    def _further(self, now: float, call: Request, acts: list[Action]) -> None:
        left = call.deadline - now - call.class_latency.mean_ms * self.tier_profile.lowest
        if (
            left > 0
            and len(call.attempts) < call.max_attempts
            and self.retry_budget >= 1
            and not call.streaming
        ):
            self.retry_budget -= 1
            self._place(now, call, acts)
        else:
            self._finish(now, call, acts)

    def _finish(self, now: float, call: Request, acts: list[Action]) -> None:
        """Final answer without success: a refusal where a repeat is harmless, else a failure."""
        begun = call.possible_executions()
        last = (
            call.objective - call.traffic_class.latency_objective_ms + call.traffic_class.deadline_ms
        )  # until then its client may come again
        harmless = may_repeat(call.traffic_class, begun, last) and not (begun and self.settings.restricted)
        wait = min(self.settings.max_retry_after_ms, self.window_ms)
        acts.append(RejectRequest(call.name, wait) if harmless else FailRequest(call.name))
        self._close(call, acts)

    def _close(self, call: Request, acts: list[Action]) -> None:
        call.answered = True
        self._cancel(call, -1, acts)
        self.forget_request(call)

    def _cancel(self, call: Request, but: int, acts: list[Action]) -> None:
        if self.settings.may_cancel:
            acts += [CancelAttempt(call.name, n) for n, t in enumerate(call.attempts) if t.open and n != but]

    def _timer(self, now: float, token: int, acts: list[Action]) -> None:
        if token not in self.timers:
            return
        call = self.timers.pop(token)
        if call is None:
            acts.append(Subscribe())
        elif not call.attempts and not call.answered:
            self._place(now, call, acts)
        elif not (call.answered or call.streaming) and sum(t.open for t in call.attempts) == 1:
            handle_overdue_attempt(self, now, call, acts)
