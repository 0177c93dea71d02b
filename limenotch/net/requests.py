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

from .. import load_balancer as house
from .. import logs
from ..load_balancer import AttemptEnding, Commands, LoadBalancer, usable_budget_ms
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
        self.facade, self.max_open = facade, max_open
        self.figures = figures or Metrics()
        self.last = math.inf  # while the program leaves: when calls still to come have to end, by time.monotonic
        self.beside: tuple[RequestInterceptor, ...] = ()
        self.open: dict[int, Request] = {}
        self.passing: dict[int, Request] = {}  # their answers are being passed on
        self._names = RequestIds()
        self.invoker: AttemptRunner
        self.watch: Callable[[], None]
        self._loop = IOLoop.current()
        self._count = 0
        self._out: dict[tuple[int, int], Attempt] = {}
        self._todo: deque[house.Command] = deque()
        self._working = False
        self._trace = logs.tracing()

    def has(self, name: bytes) -> bool:
        """Whether a call of this name is open, or one that may not run again was."""
        return self._names.taken(name, monotonic())

    def take(
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
        budget_ms = min(budget_ms, self.facade.longest_ms(class_name))  # else a call could stay open for days
        left = usable_budget_ms(budget_ms)
        self._count += 1
        end = math.inf if rest is not None else monotonic() + left / 1000.0
        call = Request(self._count, name, class_name, payload, end, left / 1000.0, answer, rest, tenant, about)
        call.permits = self.facade.permits(class_name, bool(about.key))
        self.figures.took()
        if not room or len(self.open) >= self.max_open or self.facade.shut:
            self._close(call, FinalResponse(Verdict.REJECTED, retry_after_ms=min(FULL_MS, self.facade.most_advice_ms)))
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
                resent=about.resent,
            )
        try:
            self._admit(call)
        except Exception:
            self.depart(call)  # whoever brought it never had it
            raise
        return call

    def _admit(self, call: Request) -> None:
        """Ask who has a say and has not said yet, then the decisions."""
        for one in self.beside[len(call.told) :]:
            said = one.taken(call)
            if isinstance(said, RetryLater):
                if monotonic() + said.ms / 1000.0 < call.end:
                    call.waited_ms += said.ms
                    self._loop.call_later(said.ms / 1000.0, self._admit_later, call)
                    return
                said = said.final
            if said is not None:
                advice = min(said.retry_after_ms, self.facade.most_advice_ms)
                self._close(call, replace(said, retry_after_ms=advice))
                return
            call.told.append(one)
        if call.hint is not None and call.hint.ran:
            ran_at_ms = monotonic() * 1000.0 - call.hint.ago_ms
            call.ran_elsewhere = SentAttempt(call.hint.zone, call.hint.group, ran_at_ms)
        left = call.left_s if call.rest is not None else max(call.end - monotonic(), 0.0)
        self.carry_out(
            self.facade.pick(
                call.number,
                call.kind,
                call.tenant,
                left * 1000.0,
                call.about.resent,
                call.rest is not None,
                call.hint,
                bool(call.about.key),
            )
        )

    def _admit_later(self, call: Request) -> None:
        if call.number in self.open:
            self._admit(call)

    def end_by(self, last: float) -> None:
        """The program leaves: every call, open ones included, has its answer by then (`time.monotonic`)."""
        self.last = last
        self._loop.call_later(max(last - monotonic(), 0.0), self._end_all)

    def _end_all(self) -> None:
        for call in list(self.open.values()):
            if call.end <= self.last:
                continue  # its own time sees to it
            ran = any(attempt.may_have_run for attempt in call.made)
            self._close(call, FinalResponse(Verdict.FAILED, timed_out=True) if ran else FinalResponse(Verdict.REJECTED))
            self.carry_out(self.facade.depart(call.number))
            self._release(call)

    def depart(self, call: Request) -> None:
        """The consumer is gone: nothing is owed, its invoker calls end."""
        if call.number in self.passing:
            call.gone = True
            self.passed_on(call, "departed")
        elif call.final is None and not call.gone:
            call.gone = True
            self.figures.ended(call.kind, "departed")
            self._forget(call)
            self._tell_end(call)
            self.carry_out(self.facade.depart(call.number))
        else:
            return
        self._release(call)

    def _release(self, call: Request) -> None:
        """Its attempts end, as nobody waits for their answers: also the one whose answer is passed on."""
        for invoker_call in call.made:  # those the module may not cancel, too
            if not invoker_call.over:
                self.invoker.abandon(invoker_call)

    def uploaded(self, invoker_call: Attempt) -> None:
        """The last byte of a long message was written: its time begins."""
        invoker_call.began = monotonic()
        call = invoker_call.call
        invoker_call.end = call.end = min(invoker_call.began + call.left_s, self.last)
        left = max(call.end - invoker_call.began, 0.0)
        self.carry_out(self.facade.uploaded(call.number, left * 1000.0))

    def begun(
        self, invoker_call: Attempt, payload: Any, utilisation: float | None = None, per_s: float | None = None
    ) -> bool:
        """A long answer has begun; whether it is its call's final answer, to be passed on as it comes.

        To the module that is the invoker call's end: its provider has done the work, and how long the consumer reads
        is no sign of load. Whoever passes the answer on tells `passed_on` when that is over.
        """
        call = invoker_call.call
        if not invoker_call.wanted:
            return False
        invoker_call.first = monotonic()
        self.passing[call.number] = call
        self._close(call, FinalResponse(Verdict.SERVED, payload))
        self._report(invoker_call, AttemptEnding.SERVED, utilisation, per_s)
        return True

    def passed_on(self, call: Request, end: str) -> None:
        """A long answer is over, as one of the figures' ends."""
        if self.passing.pop(call.number, None) is not None:
            self._names.discard(call.name)
            self.figures.ended(call.kind, end)

    def ended(
        self,
        invoker_call: Attempt,
        ending: AttemptEnding,
        payload: Any = None,
        utilisation: float | None = None,
        per_s: float | None = None,
    ) -> None:
        """An invoker call ended; the first that served its call is its answer."""
        if invoker_call.over:
            return
        invoker_call.over = True
        invoker_call.ending = ending
        call = invoker_call.call
        del self._out[call.number, invoker_call.number]
        for one in call.told:
            one.ended(invoker_call, ending)
        if ending is AttemptEnding.SERVED and call.final is None and not call.gone:
            self._close(call, FinalResponse(Verdict.SERVED, payload))
        if not invoker_call.first:  # else it was reported when its answer began
            self._report(invoker_call, ending, utilisation, per_s)

    def _report(
        self, invoker_call: Attempt, ending: AttemptEnding, utilisation: float | None, per_s: float | None
    ) -> None:
        call, spent = invoker_call.call, (monotonic() - invoker_call.began) * 1000.0
        gone = call.rest is not None and call.rest.begun
        if self._trace:
            log.debug(
                "invoked",
                call=call.number,
                number=invoker_call.number,
                provider=invoker_call.provider,
                ending=ending.value,
                spent_ms=round(spent, 1),
                util=utilisation,
                per_s=per_s,
            )
        closed = call.final is not None or call.gone
        self.carry_out(
            self.facade.report(
                call.number,
                invoker_call.number,
                invoker_call.provider,
                spent,
                ending,
                closed,
                utilisation,
                per_s,
                gone,
            )
        )

    def tick(self, ticket: int) -> None:
        self.carry_out(self.facade.tick(ticket))

    def carry_out(self, orders: Commands) -> None:
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

    def _carry_out(self, order: house.Command) -> None:
        if isinstance(order, house.StartAttempt):
            self._invoke(order)
        elif isinstance(order, house.ScheduleTimer):
            self._loop.call_later(order.delay_ms / 1000.0, self.tick, order.ticket)
        elif isinstance(order, house.WatchDiscovery):
            self.watch()
        elif isinstance(order, house.CancelAttempt):
            self._abandon(order)
        else:
            call = self.open.get(order.call)
            if call is None:
                return
            if isinstance(order, house.RejectRequest):
                self._close(call, FinalResponse(Verdict.REJECTED, retry_after_ms=order.retry_after_ms))
            else:
                self._close(call, FinalResponse(Verdict.FAILED, timed_out=monotonic() >= call.end))

    def _invoke(self, order: house.StartAttempt) -> None:
        call = self.open.get(order.call)
        if call is None:
            return
        now = monotonic()
        end = math.inf if call.end == math.inf else min(now + order.wait_ms / 1000.0, call.end)
        invoker_call = Attempt(call, len(call.made), order.provider, now, end)
        call.made.append(invoker_call)
        self._out[call.number, invoker_call.number] = invoker_call
        for one in call.told:
            one.sent(invoker_call)
        self.invoker.make(invoker_call)

    def _abandon(self, order: house.CancelAttempt) -> None:
        # Kept apart from the open calls: a loser is abandoned after its call was answered.
        invoker_call = self._out.get((order.call, order.number))
        if invoker_call is not None:
            self.invoker.abandon(invoker_call)

    def _close(self, call: Request, final: FinalResponse) -> None:
        call.final = final
        if call.number not in self.passing:
            self.figures.ended(call.kind, ENDS[final.verdict])
        if self._trace:
            log.debug(
                "final", call=call.number, verdict=final.verdict.value, invoked=len(call.made), **self.facade.figures()
            )
        self._forget(call)
        self._tell_end(call)
        call.answer(final)

    def _tell_end(self, call: Request) -> None:
        for one in call.told:
            one.closed(call)

    def _forget(self, call: Request) -> None:
        if not call.permits.free and any(attempt.may_have_run for attempt in call.made):
            now = monotonic()
            self._names.remember(call.name, now, now + call.permits.longest_s)
        if self.open.pop(call.number, None) is not None and call.number not in self.passing:
            self._names.discard(call.name)
