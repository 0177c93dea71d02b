"""The lifecycle of requests, independent of the wire protocol: accepted, sent in attempts, answered exactly once.

A protocol's module passes each request here with its message (`payload`), and provides an `AttemptRunner` that sends
such messages to endpoints. Requests are identified by a counter: ids, which clients choose, may recur once they end.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace
from time import monotonic
from typing import Any

from tornado.ioloop import IOLoop

from .. import logs
from ..load_balancer import LoadBalancer, usable_budget_ms
from ..load_balancer_types import (
    AttemptEnding,
    CancelAttempt,
    Command,
    Commands,
    RejectRequest,
    ScheduleTimer,
    StartAttempt,
    WatchDiscovery,
)
from ..metrics import Metrics
from ..request_policy import SentAttempt
from . import final_responses
from .command_queue import CommandQueue
from .pipe import BodyPipe
from .refusal_log import Reason, RefusalLog
from .request import (
    NO_DETAILS,
    Attempt,
    AttemptRunner,
    FinalResponse,
    Request,
    RequestDetails,
    RequestInterceptor,
    RetryLater,
    Verdict,
)
from .request_ids import RequestIds, key_of
from .request_trace import trace_accepted, trace_attempt, trace_final


class RequestManager:
    """Owns all open requests and executes the commands of the load balancer."""

    def __init__(self, load_balancer: LoadBalancer, max_open: int, metrics: Metrics | None = None) -> None:
        """`max_open`: how many requests may be open at once; further ones are rejected."""
        self.load_balancer = load_balancer
        self.max_open = max_open
        self.max_streams: float = math.inf  # long responses that are forwarded at once
        self.metrics = metrics or Metrics()
        # During a shutdown: when every request has to end, in seconds of time.monotonic.
        self.last_deadline = math.inf
        self.interceptors: tuple[RequestInterceptor, ...] = ()
        self.open: dict[int, Request] = {}
        self.streaming: dict[int, Request] = {}  # requests whose responses are being streamed to their clients
        self.attempt_runner: AttemptRunner
        self.watch_discovery: Callable[[], None]
        self.request_ids = RequestIds()
        self.refusals = RefusalLog()
        self._loop = IOLoop.current()
        self._last_number = 0
        self._attempts_in_flight: dict[tuple[int, int], Attempt] = {}  # by the numbers of request and attempt
        self._commands = CommandQueue(self._execute_command)
        self._trace = logs.tracing()

    def is_known(self, request_id: bytes) -> bool:
        """Whether a request with this id is open, or must not run again."""
        return self.request_ids.is_known(request_id, monotonic())

    def accept(
        self,
        request_id: bytes,
        payload: Any,
        class_name: str,
        tenant: str,
        budget_ms: float,
        respond: Callable[[FinalResponse], None],
        has_capacity: bool = True,
        body_pipe: BodyPipe | None = None,
        details: RequestDetails = NO_DETAILS,
    ) -> Request:
        """Accepts a request; `respond` is called exactly once unless its client disconnects first.

        Without `has_capacity` it is rejected. With a `body_pipe`, its time budget starts with `body_received`.
        """
        # Limited by its class: otherwise a request could stay open for days.
        usable_ms = usable_budget_ms(min(budget_ms, self.load_balancer.deadline_ms(class_name)))
        self._last_number += 1
        deadline = math.inf if body_pipe is not None else monotonic() + usable_ms / 1000.0
        request = Request(
            number=self._last_number,
            request_id=request_id,
            class_name=class_name,
            payload=payload,
            deadline=deadline,
            budget_left_s=usable_ms / 1000.0,
            respond=respond,
            body_pipe=body_pipe,
            tenant=tenant,
            details=details,
        )
        request.policy = self.load_balancer.request_policy(class_name, bool(details.idempotency_key))
        self.metrics.count_taken()
        obstacle = self._obstacle(request, has_capacity)
        if obstacle is not None:
            self.refusals.note(obstacle)
            self._close(request, final_responses.without_capacity(self.load_balancer))
        else:
            self._open_request(request, usable_ms)
        return request

    def _obstacle(self, request: Request, has_capacity: bool) -> Reason | None:
        if not has_capacity:
            return Reason.NO_ENDPOINT_DESCRIPTOR
        if not request.policy.is_idempotent and self.request_ids.is_full(monotonic()):
            return Reason.NO_MEMORY_FOR_ID
        if len(self.open) >= self.max_open:
            return Reason.TOO_MANY_OPEN
        return Reason.RESTRICTED if self.load_balancer.rejects_all else None

    def _open_request(self, request: Request, usable_ms: float) -> None:
        self.open[request.number] = request
        self.request_ids.add(request.request_id)
        if not request.policy.is_idempotent:
            self.request_ids.notify(key_of(request.request_id), 2 * request.policy.deadline_s)
        if self._trace:
            trace_accepted(request, usable_ms)
        try:
            self._admit(request)
        except Exception:
            self.client_disconnected(request)  # `accept` raises, so the protocol's module can't end the request
            raise

    def _admit(self, request: Request) -> None:
        """Calls the interceptors that have not admitted the request yet, then passes it to the load balancer."""
        for interceptor in self.interceptors[len(request.interceptors) :]:
            decision = interceptor.request_received(request)
            if isinstance(decision, RetryLater):
                delay_s = decision.delay_ms / 1000.0
                if monotonic() + delay_s < request.deadline:
                    request.waited_ms += decision.delay_ms
                    self._loop.call_later(delay_s, self._resume_admission, request)
                    return
                decision = decision.final
            if decision is not None:
                retry_after_ms = min(decision.retry_after_ms, self.load_balancer.max_retry_after_ms)
                self._close(request, replace(decision, retry_after_ms=retry_after_ms))
                return
            request.interceptors.append(interceptor)
        self._pass_to_load_balancer(request)

    def _resume_admission(self, request: Request) -> None:
        if request.number not in self.open:
            return
        try:
            self._admit(request)
        except Exception as error:  # called by a timer, which would ignore it: the client would get no response
            self.load_balancer.internal_errors.report(error, "an admission")
            self._abandon(request)

    def _pass_to_load_balancer(self, request: Request) -> None:
        hint = request.placement_hint
        if hint is not None and hint.may_have_run:
            ran_at_ms = monotonic() * 1000.0 - hint.age_ms
            request.ran_elsewhere.append(SentAttempt(hint.zone, hint.group, ran_at_ms))
        streamed = request.body_pipe is not None
        budget_left_s = request.budget_left_s if streamed else max(request.deadline - monotonic(), 0.0)
        self.execute(
            self.load_balancer.request_arrived(
                request.number,
                request.class_name,
                request.tenant,
                budget_left_s * 1000.0,
                request.details.is_retry,
                streamed,
                request.placement_hint,
                bool(request.details.idempotency_key),
            )
        )

    def finish_by(self, last_deadline: float) -> None:
        """Starts a shutdown: every request is answered by `last_deadline` (time.monotonic)."""
        self.last_deadline = last_deadline
        self._loop.call_later(max(last_deadline - monotonic(), 0.0), self._end_all)

    def _end_all(self) -> None:
        for request in list(self.open.values()):
            if request.deadline > self.last_deadline:  # otherwise its own timer ends it
                self._abandon(request)

    def _abandon(self, request: Request) -> None:
        """Ends a request that the load balancer has not decided to end, and cancels its attempts."""
        self._close(request, final_responses.abandoned(request))
        self.execute(self.load_balancer.client_disconnected(request.number))
        self._cancel_attempts(request)

    def client_disconnected(self, request: Request) -> None:
        """The client of the request has disconnected: no response is sent, and the attempts are cancelled."""
        if request.number in self.streaming:
            request.client_has_disconnected = True
            self.stream_ended(request, "departed")
        elif request.final is None and not request.client_has_disconnected:
            request.client_has_disconnected = True
            self.metrics.count_ended(request.class_name, "departed")
            self._forget(request)
            self._notify_closed(request)
            self.execute(self.load_balancer.client_disconnected(request.number))
        else:
            return
        self._cancel_attempts(request)

    def _cancel_attempts(self, request: Request) -> None:
        """Cancels all attempts of the request, also one whose response is being streamed."""
        for attempt in request.attempts:
            if not attempt.ended:
                self.attempt_runner.cancel(attempt)

    def body_received(self, request: Request, held_back_s: float) -> None:
        """The last byte of a streamed message was received: the time budget of its request starts.

        `held_back_s`: the part of it that has passed already, in which the endpoint kept the client from sending.
        """
        now = monotonic()
        request.deadline = min(now + max(request.budget_left_s - held_back_s, 0.0), self.last_deadline)
        self._loop.call_later(max(request.deadline - now, 0.0), self.expire_upload, request)

    def expire_upload(self, request: Request) -> None:
        """The time of a request is over; without effect if it has ended, or its endpoint has read all of it."""
        if request.number in self.open and not request.upload_finished:
            self._abandon(request)

    def upload_finished(self, attempt: Attempt) -> None:
        """The last byte of a streamed message was sent, for whose response its request's time is left."""
        request = attempt.request
        request.upload_finished = True
        if math.isinf(request.deadline):
            self.body_received(request, 0.0)
        attempt.started_at = monotonic()
        attempt.deadline = request.deadline
        budget_left_s = max(request.deadline - attempt.started_at, 0.0)
        self.execute(self.load_balancer.upload_finished(request.number, budget_left_s * 1000.0))

    def response_started(
        self, attempt: Attempt, payload: Any, utilisation: float | None = None, per_s: float | None = None
    ) -> bool:
        """A streamed response has begun; returns whether it is the final response of its request, to be forwarded.

        For the load balancer that is the end of the attempt, which its endpoint has served, even if there is no memory
        to forward the response: neither that nor how long the client reads is a sign of the tier's load. The client's
        connection reports the response's end to `stream_ended`. `utilisation` and `per_s`: see `load_of`.
        """
        request = attempt.request
        if not attempt.response_needed:
            return False
        forwarded = len(self.streaming) < self.max_streams
        if forwarded:
            attempt.response_began_at = monotonic()
            self.streaming[request.number] = request
            self._close(request, FinalResponse(Verdict.SERVED, payload))
        else:
            self.refusals.note(Reason.NO_MEMORY_FOR_RESPONSE)
            self._close(request, final_responses.without_memory_for_response(request, self.load_balancer))
        self._report(attempt, AttemptEnding.SERVED, utilisation, per_s)
        return forwarded

    def stream_ended(self, request: Request, ending: str) -> None:
        """A streamed response has ended; `ending` is the name of the metric that counts it."""
        if self.streaming.pop(request.number, None) is not None:
            self._remember(request)
            self.request_ids.discard(request.request_id)
            self.metrics.count_ended(request.class_name, ending)

    def reserve_retry(self, attempt: Attempt) -> bool:
        """Reserves a retry of the request if it would be sent again should this attempt end now, without a response.

        Returns False if it would not: the attempt was sent, and the request may not be repeated or has no retry left.
        """
        request = attempt.request
        return request.may_be_sent_again(attempt) and self.load_balancer.reserve_retry(request.number)

    def attempt_ended(
        self,
        attempt: Attempt,
        ending: AttemptEnding,
        payload: Any = None,
        utilisation: float | None = None,
        per_s: float | None = None,
    ) -> None:
        """An attempt has ended; the response of the first attempt that is served becomes its request's final one."""
        request = attempt.request
        if attempt.ended:
            return
        attempt.ended = True
        attempt.ending = ending
        del self._attempts_in_flight[request.number, attempt.number]
        for interceptor in request.interceptors:
            interceptor.attempt_ended(attempt, ending)
        if ending is AttemptEnding.SERVED and request.final is None and not request.client_has_disconnected:
            self._close(request, FinalResponse(Verdict.SERVED, payload))
        if not attempt.reported:
            self._report(attempt, ending, utilisation, per_s)

    def _report(self, attempt: Attempt, ending: AttemptEnding, utilisation: float | None, per_s: float | None) -> None:
        """Reports the end of an attempt to the load balancer, and executes the commands that it returns."""
        request = attempt.request
        attempt.reported = True
        spent_ms = (monotonic() - attempt.started_at) * 1000.0
        body_consumed = request.body_pipe is not None and request.body_pipe.was_read
        if self._trace:
            trace_attempt(attempt, ending, spent_ms, utilisation, per_s)
        closed = request.final is not None or request.client_has_disconnected
        self.execute(
            self.load_balancer.attempt_finished(
                request.number,
                attempt.number,
                attempt.endpoint_name,
                spent_ms,
                ending,
                closed,
                utilisation,
                per_s,
                body_consumed,
            )
        )

    def execute(self, commands: Commands) -> None:
        """Executes commands in the order given; commands that result from executing one of them come last."""
        self._commands.execute(commands)

    def _handle_timer(self, token: int) -> None:
        self.execute(self.load_balancer.timer_fired(token))

    def _execute_command(self, command: Command) -> None:
        if isinstance(command, StartAttempt):
            self._start_attempt(command)
        elif isinstance(command, ScheduleTimer):
            self._loop.call_later(command.delay_ms / 1000.0, self._handle_timer, command.token)
        elif isinstance(command, WatchDiscovery):
            self.watch_discovery()
        elif isinstance(command, CancelAttempt):
            self._cancel_attempt(command)
        else:
            request = self.open.get(command.request)
            if request is None:
                return
            if isinstance(command, RejectRequest):
                self.refusals.note(Reason.NOT_CHOSEN)
                self._close(request, FinalResponse(Verdict.REJECTED, retry_after_ms=command.retry_after_ms))
            else:
                self._close(request, FinalResponse(Verdict.FAILED, timed_out=monotonic() >= request.deadline))

    def _start_attempt(self, command: StartAttempt) -> None:
        request = self.open.get(command.request)
        if request is None:
            return
        attempt = request.add_attempt(command.endpoint, command.timeout_ms / 1000.0)
        self._attempts_in_flight[request.number, attempt.number] = attempt
        for interceptor in request.interceptors:
            interceptor.attempt_started(attempt)
        self.attempt_runner.start(attempt)

    def _cancel_attempt(self, command: CancelAttempt) -> None:
        # Not looked up among the open requests: a losing hedged attempt is cancelled after its request was answered.
        attempt = self._attempts_in_flight.get((command.request, command.attempt))
        if attempt is not None:
            self.attempt_runner.cancel(attempt)

    def _close(self, request: Request, final: FinalResponse) -> None:
        request.final = final
        if request.number not in self.streaming:
            self.metrics.count_ended(request.class_name, final_responses.METRIC_ENDINGS[final.verdict])
        if self._trace:
            trace_final(request, final, self.load_balancer.decision_metrics())
        self._forget(request)
        self._notify_closed(request)
        request.respond(final)

    def _notify_closed(self, request: Request) -> None:
        for interceptor in request.interceptors:
            interceptor.request_closed(request)

    def _forget(self, request: Request) -> None:
        self._remember(request)
        if self.open.pop(request.number, None) is not None and request.number not in self.streaming:
            self.request_ids.discard(request.request_id)

    def _remember(self, request: Request) -> None:
        """Remembers the id of a request that must not run again, for as long as its client may send it."""
        if request.must_not_run_again:
            now = monotonic()
            self.request_ids.remember(request.request_id, now, now + request.policy.deadline_s)
