"""Lifecycle of a request: admission, attempts, retries, final answer. Input: events.py; output: actions.py.

Each decision has its own module, listed under `policy` in deploy/balancer.toml: admission control
(admission.py), endpoint weights (weights.py) within a subset (subsetting.py), outlier ejection
(outlier_detection.py), endpoint selection (endpoint_selection.py), hedging (hedging.py) and retries
(retry_policy.py). balancer_state.py has the state. The first successful response cancels the other attempts.
"""

from __future__ import annotations

from .actions import Action, CancelAttempt, FailRequest, RejectRequest, Subscribe
from .admission import is_rejected, update_admission_limit
from .balancer_state import BURST_REQUESTS, BalancerState
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
from .hedging import RETRY_BUDGET_RATIO, handle_overdue_attempt, hedge_delay, should_hedge_at_once
from .outlier_detection import eject, record_answer
from .retry_policy import has_retry_left, may_repeat, reserve_retry, spend_retry
from .types import Effect, Outcome
from .weights import update_weights, weights_due

MAX_SUBSCRIBE_BACKOFF_BASE_MS = 1000.0
MIN_BACKOFF_JITTER = 0.1  # fraction of the backoff that is the shortest delay
BACKOFF_JITTER_RANGE = 0.4  # fraction of the backoff that is added at random
MAX_DISCOVERY_FAILURES = 3  # consecutive failures up to which the backoff doubles
SELECTION_RETRIES_PER_WINDOW = 8  # while no endpoint can take a waiting request


class Balancer(BalancerState):
    """Handles events in the order given. The caller carries out the returned actions in order."""

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Apply one event and return the actions that follow from it.

        Raises ValueError if `now_ms` is before the previous event's, or for an unknown traffic class.
        Raises TypeError for an object that is not an event.
        """
        actions: list[Action] = []
        if self.advance_clock(now_ms):
            self._start_window(now_ms)
        self._apply(now_ms, event, actions)
        if weights_due(self, now_ms):
            update_weights(self, now_ms)
        return actions

    def _apply(self, now: float, event: Event, actions: list[Action]) -> None:
        if isinstance(event, RequestArrived):
            self._handle_arrival(now, event, actions)
        elif isinstance(event, AttemptFinished):
            self._handle_attempt_finished(now, event, actions)
        elif isinstance(event, TimerFired):
            self._handle_timer(now, event.token, actions)
        elif isinstance(event, MembershipUpdate):
            self._handle_membership_update(now, event, actions)
        elif isinstance(event, (ClientDisconnected, ResponseStarted, UploadFinished)):
            self._handle_client_progress(now, event, actions)
        elif isinstance(event, (OperatorEjection, SettingsChanged)):
            self.apply_operator_event(now, event)
            update_weights(self, now)
        elif isinstance(event, BalancerStarted):
            actions += [Subscribe()] if self.settings.must_subscribe else []
        else:
            raise TypeError(f"not an event of events.py: {event!r}")

    # Endpoint list and windows

    def _handle_membership_update(self, now: float, event: MembershipUpdate, actions: list[Action]) -> None:
        if event.kind is MembershipKind.UNAVAILABLE:
            self.discovery_failures = min(self.discovery_failures + 1, MAX_DISCOVERY_FAILURES)
            self._schedule_subscribe(now, actions)
            return
        self.discovery_failures = 0
        changes = self.registry.apply_membership(now, event, self.settings.weights_listed)
        self.apply_registry_changes(now, changes)
        self.weights_stale = True

    def _schedule_subscribe(self, now: float, actions: list[Action]) -> None:
        """Subscribe again after exponential backoff, with jitter so as not to overload discovery."""
        base = min(self.window_ms, MAX_SUBSCRIBE_BACKOFF_BASE_MS)
        backoff = base * 2.0 ** (self.discovery_failures - 1)
        delay = backoff * (MIN_BACKOFF_JITTER + BACKOFF_JITTER_RANGE * self.random.random())
        self.schedule_timer(now + delay, None, actions)

    def _start_window(self, now: float) -> None:
        if self.end_window(now):
            update_admission_limit(self)
        update_weights(self, now)

    # Requests

    def _handle_arrival(self, now: float, event: RequestArrived, actions: list[Action]) -> None:
        request = self.record_arrival(now, event)
        expired = request.deadline <= now
        # Only the first tier sheds load: requests of later tiers have already been admitted.
        if expired or (not self.settings.tier_index and is_rejected(self, now, request, event)):
            self._finish_without_success(now, request, actions)
            return
        # Only admitted requests add to the retry budget. Otherwise overload would pay for more attempts.
        self.retry_budget = min(self.retry_budget + RETRY_BUDGET_RATIO, BURST_REQUESTS)
        self._send_attempt(now, request, actions)

    def _send_attempt(self, now: float, request: Request, actions: list[Action]) -> None:
        """Send the first attempt, or a retry after all earlier ones have ended; hedge it if that pays off."""
        primary, secondary = choose_endpoints(self, now, request)
        if primary is None:
            self._wait_for_endpoint(now, request, actions)
            return
        self.record_send(now, request, primary, actions)
        if should_hedge_at_once(self, now, request, primary, secondary) and secondary:
            self.record_send(now, request, secondary, actions, hedges=1)
        elif request.traffic_class.effect is not Effect.AT_MOST_ONCE:
            self.schedule_timer(now + hedge_delay(self, request, primary), request, actions)

    def _wait_for_endpoint(self, now: float, request: Request, actions: list[Action]) -> None:
        """Select again later, as no endpoint accepts the request now; end it if it would then be late."""
        retry_at = now + self.window_ms / SELECTION_RETRIES_PER_WINDOW
        any_ejected = any(endpoint.is_ejected(now) for endpoint in self.candidates[0])
        latest = min(request.deadline, request.objective - self.typical_latency_ms)
        if any_ejected or request.attempts or retry_at >= latest:
            self._finish_without_success(now, request, actions)
        else:
            self.schedule_timer(retry_at, request, actions)

    def _handle_attempt_finished(self, now: float, event: AttemptFinished, actions: list[Action]) -> None:
        ended = self.record_end(now, event)
        if ended is None:
            return
        request, attempt = ended
        endpoint = attempt.target
        self.record_report(now, endpoint, event)
        if event.outcome in (Outcome.OK, Outcome.TIMEOUT) and not endpoint.unresponsive:
            in_time = event.outcome is Outcome.OK and now <= request.objective
            record_answer(self, now, endpoint, in_time)
        elif event.outcome is Outcome.REJECTED and self.discovery_failures:
            # While discovery fails, the endpoint may be draining although the list says that it is ready.
            eject(self, now, endpoint, may_be_draining=True)
        self.record_outcome(now, request, endpoint, event)
        if event.request_answered or event.outcome is Outcome.OK:
            self._close(request, actions)
        elif not request.answered and not any(other.open for other in request.attempts):
            if request.single_use_body and event.body_consumed:
                request.max_attempts = 0  # the consumed part of the body cannot be sent again
            self._retry_or_finish(now, request, actions)

    def _retry_or_finish(self, now: float, request: Request, actions: list[Action]) -> None:
        if has_retry_left(self, now, request):
            spend_retry(self, request)
            self._send_attempt(now, request, actions)
        else:
            self._finish_without_success(now, request, actions)

    def reserve_retry(self, now: float, name: str) -> bool:
        """Reserve a retry for a request, an attempt of which is about to be ended; False if it has none."""
        request = self.requests.get(name)
        return request is not None and reserve_retry(self, now, request)

    def _finish_without_success(self, now: float, request: Request, actions: list[Action]) -> None:
        """Reject the request if the client may safely retry it; fail it otherwise."""
        executions = request.possible_executions()
        traffic_class = request.traffic_class
        # The client may retry until its own deadline.
        last_retry_at = request.objective - traffic_class.latency_objective_ms + traffic_class.deadline_ms
        is_safe = may_repeat(traffic_class, executions, last_retry_at)
        if is_safe and not (executions and self.settings.restricted):
            retry_after_ms = min(request.max_retry_after_ms, self.window_ms)
            actions.append(RejectRequest(request.name, retry_after_ms))
        else:
            actions.append(FailRequest(request.name))
        self._close(request, actions)

    def _handle_client_progress(
        self, now: float, event: ClientDisconnected | ResponseStarted | UploadFinished, actions: list[Action]
    ) -> None:
        if isinstance(event, UploadFinished):
            self.record_upload(now, event)
            return
        request = self.requests.get(event.request)
        if request is None or request.answered:
            return
        if isinstance(event, ClientDisconnected):
            self._close(request, actions)
        else:
            request.streaming = True
            self._cancel_attempts(request, actions, except_attempt=event.attempt)

    def _close(self, request: Request, actions: list[Action]) -> None:
        request.answered = True
        self._cancel_attempts(request, actions)
        self.forget_request(request)

    def _cancel_attempts(self, request: Request, actions: list[Action], except_attempt: int = -1) -> None:
        """Cancel the open attempts other than number `except_attempt`, if the request permits cancelling."""
        if request.may_cancel:
            for number, attempt in enumerate(request.attempts):
                if attempt.open and number != except_attempt:
                    actions.append(CancelAttempt(request.name, number))

    def _handle_timer(self, now: float, token: int, actions: list[Action]) -> None:
        if token not in self.timers:
            return
        request = self.timers[token]
        if request is None:
            actions.append(Subscribe())
        elif request.answered:
            pass
        elif not request.attempts:
            self._send_attempt(now, request, actions)
        elif not request.streaming and sum(attempt.open for attempt in request.attempts) == 1:
            handle_overdue_attempt(self, now, request, actions)
        del self.timers[token]  # last: after an error the entry is needed to find the request
