"""The life of one call, in no protocol: taken, placed by invoker calls, answered exactly once.

A protocol takes calls here with whatever message it wants carried (`payload`), and gives an invoker that
carries payloads to providers. Calls are kept by a counter of their own: ids of the consumers may repeat,
though not while a call is open.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from time import monotonic
from typing import Any

from tornado.ioloop import IOLoop

from .. import load_balancer_types as commands
from .. import logs
from ..load_balancer import LoadBalancer, usable_budget_ms
from ..load_balancer_types import AttemptEnding, Commands
from ..metrics import Metrics
from ..request_policy import SentAttempt
from .pipe import BodyPipe
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
from .request_ids import RequestIds

log = logs.get(__name__)

FULL_MS = 1000.0  # when to come again while there is no room at all; less where the settings allow less
ENDS = {Verdict.SERVED: "answered", Verdict.REJECTED: "deferred", Verdict.FAILED: "errored"}  # in the figures


class RequestManager:
    """Owns all open calls; carries out what the facade orders."""

    def __init__(self, facade: LoadBalancer, max_open: int, figures: Metrics | None = None) -> None:
        self.load_balancer, self.max_open = facade, max_open
        self.metrics = figures or Metrics()
        self.last_deadline = (
            math.inf
        )  # while the program leaves: when calls still to come have to end, by time.monotonic
        self.interceptors: tuple[RequestInterceptor, ...] = ()
        self.open: dict[int, Request] = {}
        self.streaming: dict[int, Request] = {}  # their answers are being passed on
        self._names = RequestIds()
        self.attempt_runner: AttemptRunner
        self.watch_discovery: Callable[[], None]
        self._loop = IOLoop.current()
        self._count = 0
        self._out: dict[tuple[int, int], Attempt] = {}
        self._todo: deque[commands.Command] = deque()
        self._working = False
        self._trace = logs.tracing()

    def is_known(self, name: bytes) -> bool:
        """Whether a call of this name is open, or one that may not run again was."""
        return self._names.taken(name, monotonic())

    def accept(
        self,
        name: bytes,
        payload: Any,
        class_name: str,
        tenant: str,
        budget_ms: float,
        answer: Callable[[FinalResponse], None],
        room: bool = True,
        rest: BodyPipe | None = None,
        about: RequestDetails = NO_DETAILS,
    ) -> Request:
        """A call was taken; `answer` is called once unless it departs. Without `room`: rejected at once.

        With `rest` its message is still coming, and its time begins when the message is whole.
        """
        budget_ms = min(budget_ms, self.load_balancer.deadline_ms(class_name))  # else a call could stay open for days
        left = usable_budget_ms(budget_ms)
        self._count += 1
        end = math.inf if rest is not None else monotonic() + left / 1000.0
        call = Request(self._count, name, class_name, payload, end, left / 1000.0, answer, rest, tenant, about)
        call.policy = self.load_balancer.request_policy(class_name, bool(about.idempotency_key))
        self.metrics.count_taken()
        if not room or len(self.open) >= self.max_open or self.load_balancer.rejects_all:
            self._close(
                call,
                FinalResponse(Verdict.REJECTED, retry_after_ms=min(FULL_MS, self.load_balancer.max_retry_after_ms)),
            )
            return call
        self.open[call.number] = call
        self._names.add(name)
        if self._trace:
            log.debug(
                "taken",
                call=call.number,
                id=name.decode("latin-1"),
                kind=class_name,
                account=tenant,
                left_ms=round(left),
                resent=about.is_retry,
            )
        try:
            self._admit(call)
        except Exception:
            self.client_disconnected(call)  # whoever brought it never had it
            raise
        return call

    def _admit(self, call: Request) -> None:
        """Ask who has a say and has not said yet, then the decisions."""
        for one in self.interceptors[len(call.interceptors) :]:
            said = one.request_received(call)
            if isinstance(said, RetryLater):
                if monotonic() + said.delay_ms / 1000.0 < call.deadline:
                    call.waited_ms += said.delay_ms
                    self._loop.call_later(said.delay_ms / 1000.0, self._admit_later, call)
                    return
                said = said.final
            if said is not None:
                advice = min(said.retry_after_ms, self.load_balancer.max_retry_after_ms)
                self._close(call, replace(said, retry_after_ms=advice))
                return
            call.interceptors.append(one)
        if call.placement_hint is not None and call.placement_hint.may_have_run:
            ran_at_ms = monotonic() * 1000.0 - call.placement_hint.age_ms
            call.ran_elsewhere = SentAttempt(call.placement_hint.zone, call.placement_hint.group, ran_at_ms)
        left = call.budget_left_s if call.body_pipe is not None else max(call.deadline - monotonic(), 0.0)
        self.execute(
            self.load_balancer.request_arrived(
                call.number,
                call.class_name,
                call.tenant,
                left * 1000.0,
                call.details.is_retry,
                call.body_pipe is not None,
                call.placement_hint,
                bool(call.details.idempotency_key),
            )
        )

    def _admit_later(self, call: Request) -> None:
        if call.number in self.open:
            self._admit(call)

    def finish_by(self, last: float) -> None:
        """The program leaves: every call, open ones included, has its answer by then (`time.monotonic`)."""
        self.last_deadline = last
        self._loop.call_later(max(last - monotonic(), 0.0), self._end_all)

    def _end_all(self) -> None:
        for call in list(self.open.values()):
            if call.deadline <= self.last_deadline:
                continue  # its own time sees to it
            ran = any(attempt.may_have_run for attempt in call.attempts)
            self._close(call, FinalResponse(Verdict.FAILED, timed_out=True) if ran else FinalResponse(Verdict.REJECTED))
            self.execute(self.load_balancer.client_disconnected(call.number))
            self._release(call)

    def client_disconnected(self, call: Request) -> None:
        """The consumer is gone: nothing is owed, its invoker calls end."""
        if call.number in self.streaming:
            call.client_gone = True
            self.stream_ended(call, "departed")
        elif call.final is None and not call.client_gone:
            call.client_gone = True
            self.metrics.count_ended(call.class_name, "departed")
            self._forget(call)
            self._tell_end(call)
            self.execute(self.load_balancer.client_disconnected(call.number))
        else:
            return
        self._release(call)

    def _release(self, call: Request) -> None:
        """Its attempts end, as nobody waits for their answers: also the one whose answer is passed on."""
        for invoker_call in call.attempts:  # those the module may not cancel, too
            if not invoker_call.ended:
                self.attempt_runner.cancel(invoker_call)

    def upload_finished(self, invoker_call: Attempt) -> None:
        """The last byte of a long message was written: its time begins."""
        invoker_call.started_at = monotonic()
        call = invoker_call.request
        invoker_call.deadline = call.deadline = min(invoker_call.started_at + call.budget_left_s, self.last_deadline)
        left = max(call.deadline - invoker_call.started_at, 0.0)
        self.execute(self.load_balancer.upload_finished(call.number, left * 1000.0))

    def response_started(
        self, invoker_call: Attempt, payload: Any, utilisation: float | None = None, per_s: float | None = None
    ) -> bool:
        """A long answer has begun; whether it is its call's final answer, to be passed on as it comes.

        To the module that is the invoker call's end: its provider has done the work, and how long the consumer reads
        is no sign of load. Whoever passes the answer on tells `passed_on` when that is over.
        """
        call = invoker_call.request
        if not invoker_call.wanted:
            return False
        invoker_call.response_began_at = monotonic()
        self.streaming[call.number] = call
        self._close(call, FinalResponse(Verdict.SERVED, payload))
        self._report(invoker_call, AttemptEnding.SERVED, utilisation, per_s)
        return True

    def stream_ended(self, call: Request, end: str) -> None:
        """A long answer is over, as one of the figures' ends."""
        if self.streaming.pop(call.number, None) is not None:
            self._names.discard(call.request_id)
            self.metrics.count_ended(call.class_name, end)

    def attempt_ended(
        self,
        invoker_call: Attempt,
        ending: AttemptEnding,
        payload: Any = None,
        utilisation: float | None = None,
        per_s: float | None = None,
    ) -> None:
        """An invoker call ended; the first that served its call is its answer."""
        if invoker_call.ended:
            return
        invoker_call.ended = True
        invoker_call.ending = ending
        call = invoker_call.request
        del self._out[call.number, invoker_call.number]
        for one in call.interceptors:
            one.attempt_ended(invoker_call, ending)
        if ending is AttemptEnding.SERVED and call.final is None and not call.client_gone:
            self._close(call, FinalResponse(Verdict.SERVED, payload))
        if not invoker_call.response_began_at:  # else it was reported when its answer began
            self._report(invoker_call, ending, utilisation, per_s)

    def _report(
        self, invoker_call: Attempt, ending: AttemptEnding, utilisation: float | None, per_s: float | None
    ) -> None:
        call, spent = invoker_call.request, (monotonic() - invoker_call.started_at) * 1000.0
        gone = call.body_pipe is not None and call.body_pipe.begun
        if self._trace:
            log.debug(
                "invoked",
                call=call.number,
                number=invoker_call.number,
                provider=invoker_call.endpoint_name,
                ending=ending.value,
                spent_ms=round(spent, 1),
                util=utilisation,
                per_s=per_s,
            )
        closed = call.final is not None or call.client_gone
        self.execute(
            self.load_balancer.attempt_finished(
                call.number,
                invoker_call.number,
                invoker_call.endpoint_name,
                spent,
                ending,
                closed,
                utilisation,
                per_s,
                gone,
            )
        )

    def timer_fired(self, ticket: int) -> None:
        self.execute(self.load_balancer.timer_fired(ticket))

    def execute(self, orders: Commands) -> None:
        """In the order given, also where carrying out one brings further ones."""
        self._todo.extend(orders)
        if self._working:
            return
        self._working = True
        try:
            while self._todo:
                self._carry_out(self._todo.popleft())
        finally:
            self._working = False

    def _carry_out(self, order: commands.Command) -> None:
        if isinstance(order, commands.StartAttempt):
            self._invoke(order)
        elif isinstance(order, commands.ScheduleTimer):
            self._loop.call_later(order.delay_ms / 1000.0, self.timer_fired, order.token)
        elif isinstance(order, commands.WatchDiscovery):
            self.watch_discovery()
        elif isinstance(order, commands.CancelAttempt):
            self._abandon(order)
        else:
            call = self.open.get(order.request)
            if call is None:
                return
            if isinstance(order, commands.RejectRequest):
                self._close(call, FinalResponse(Verdict.REJECTED, retry_after_ms=order.retry_after_ms))
            else:
                self._close(call, FinalResponse(Verdict.FAILED, timed_out=monotonic() >= call.deadline))

    def _invoke(self, order: commands.StartAttempt) -> None:
        call = self.open.get(order.request)
        if call is None:
            return
        now = monotonic()
        end = math.inf if call.deadline == math.inf else min(now + order.timeout_ms / 1000.0, call.deadline)
        invoker_call = Attempt(call, len(call.attempts), order.endpoint, now, end)
        call.attempts.append(invoker_call)
        self._out[call.number, invoker_call.number] = invoker_call
        for one in call.interceptors:
            one.attempt_started(invoker_call)
        self.attempt_runner.start(invoker_call)

    def _abandon(self, order: commands.CancelAttempt) -> None:
        # Kept apart from the open calls: a loser is abandoned after its call was answered.
        invoker_call = self._out.get((order.request, order.attempt))
        if invoker_call is not None:
            self.attempt_runner.cancel(invoker_call)

    def _close(self, call: Request, final: FinalResponse) -> None:
        call.final = final
        if call.number not in self.streaming:
            self.metrics.count_ended(call.class_name, ENDS[final.verdict])
        if self._trace:
            log.debug(
                "final",
                call=call.number,
                verdict=final.verdict.value,
                invoked=len(call.attempts),
                **self.load_balancer.decision_metrics(),
            )
        self._forget(call)
        self._tell_end(call)
        call.respond(final)

    def _tell_end(self, call: Request) -> None:
        for one in call.interceptors:
            one.request_closed(call)

    def _forget(self, call: Request) -> None:
        if not call.policy.is_idempotent and any(attempt.may_have_run for attempt in call.attempts):
            now = monotonic()
            self._names.remember(call.request_id, now, now + call.policy.deadline_s)
        if self.open.pop(call.number, None) is not None and call.number not in self.streaming:
            self._names.discard(call.request_id)
