"""A balancer that goes on after an internal error: each request gets one answer, and no count is left behind."""

from __future__ import annotations

from collections.abc import Callable

from .actions import Action, CancelAttempt, FailRequest, RejectRequest, SendAttempt
from .balancer import Balancer
from .endpoint_statistics import Request
from .events import (
    AttemptFinished,
    ClientDisconnected,
    Event,
    RequestArrived,
    RequestEvent,
    TimerFired,
)
from .types import BalancerSettings

ANSWERS = (RejectRequest, FailRequest)


class ContainedBalancer(Balancer):
    """Ends the request of an event that fails. Errors in events of no request, such as a list, are raised."""

    def __init__(self, settings: BalancerSettings, seed: int, on_error: Callable[[Exception], None]) -> None:
        """`on_error` is told of each error that is contained."""
        super().__init__(settings, seed)
        self._on_error = on_error

    def report_error(self, error: Exception) -> None:
        """Tell `on_error`; the caller goes on."""
        self._on_error(error)

    def _apply(self, now: float, event: Event, actions: list[Action]) -> None:
        try:
            super()._apply(now, event, actions)
        except Exception as error:
            if not isinstance(event, RequestEvent):
                raise
            self._on_error(error)
            actions[:] = self._end_request(event, actions)

    def _start_window(self, now: float) -> None:
        try:
            super()._start_window(now)
        except Exception as error:
            self._on_error(error)

    def _end_request(self, event: RequestEvent, decided: list[Action]) -> list[Action]:
        """The actions that replace those `decided` before the error.

        Attempts that were decided on are not sent. The answer is a rejection unless an attempt that was sent may have
        run.
        """
        actions: list[Action] = [action for action in decided if not isinstance(action, SendAttempt)]
        answered = any(isinstance(action, ANSWERS) for action in decided) or _needs_no_answer(event)
        request = self._request_of(event)
        if request is None:  # not recorded yet, or forgotten
            if isinstance(event, RequestArrived) and not answered:
                actions.append(RejectRequest(event.request))
            return actions
        sent = len(request.attempts) - sum(isinstance(action, SendAttempt) for action in decided)
        self._end_attempts(request, sent, actions)
        if not request.answered and not answered:
            failed = bool(request.possible_executions())
            actions.append(FailRequest(request.name) if failed else RejectRequest(request.name))
        request.answered = True
        self.requests.pop(request.name, None)
        return actions

    def _request_of(self, event: RequestEvent) -> Request | None:
        """The request of an event that failed, if it is still held; its timer is done."""
        if isinstance(event, TimerFired):
            return self.timers.pop(event.token, None)
        return self.requests.get(event.request)

    def _end_attempts(self, request: Request, sent: int, actions: list[Action]) -> None:
        """Take the open attempts from the counts; cancel those of them, the first `sent`, that were sent."""
        for number, attempt in enumerate(request.attempts):
            if not attempt.open:
                continue
            if attempt.in_flight:
                self.in_flight -= 1
            attempt.end(may_have_run=number < sent)
            if number < sent and request.may_cancel:
                actions.append(CancelAttempt(request.name, number))


def _needs_no_answer(event: RequestEvent) -> bool:
    if isinstance(event, AttemptFinished):
        return event.request_answered
    return isinstance(event, ClientDisconnected)
