"""A balancer that continues after an internal error: each request gets one answer, and counters stay correct."""

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
    """Ends the request whose event fails. Errors in other events, such as an endpoint list, are raised."""

    def __init__(self, settings: BalancerSettings, seed: int, on_error: Callable[[Exception], None]) -> None:
        """`on_error` is called with each error that is contained."""
        super().__init__(settings, seed)
        self._on_error = on_error

    def report_error(self, error: Exception) -> None:
        """Pass the error to `on_error` and return, so that the caller continues."""
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

    def _end_request(self, event: RequestEvent, decided_actions: list[Action]) -> list[Action]:
        """End the request of the event that failed; return the actions that replace those decided before the error.

        Attempts among `decided_actions` are not sent. The client gets a rejection, or a failure if an attempt that was
        sent may have run.
        """
        actions: list[Action] = [action for action in decided_actions if not isinstance(action, SendAttempt)]
        answered = any(isinstance(action, ANSWERS) for action in decided_actions) or _needs_no_answer(event)
        request = self._request_of(event)
        if request is None:  # not recorded yet, or already dropped
            if isinstance(event, RequestArrived) and not answered:
                actions.append(RejectRequest(event.request))
            return actions
        sent_count = len(request.attempts) - sum(
            isinstance(action, SendAttempt) for action in decided_actions
        )
        self._end_attempts(request, sent_count, actions)
        if not request.answered and not answered:
            failed = bool(request.possible_executions())
            actions.append(FailRequest(request.name) if failed else RejectRequest(request.name))
        request.answered = True
        self.release_retry(request)
        self.requests.pop(request.name, None)
        return actions

    def _request_of(self, event: RequestEvent) -> Request | None:
        """The request of the event that failed, if it is still recorded. Drops the timer of a timer event."""
        if isinstance(event, TimerFired):
            return self.timers.pop(event.token, None)
        return self.requests.get(event.request)

    def _end_attempts(self, request: Request, sent_count: int, actions: list[Action]) -> None:
        """End the open attempts, and cancel those that were sent: the first `sent_count` of the request."""
        for number, attempt in enumerate(request.attempts):
            if not attempt.open:
                continue
            if attempt.in_flight:
                self.in_flight -= 1
            attempt.end(may_have_run=number < sent_count)
            if number < sent_count and request.may_cancel:
                actions.append(CancelAttempt(request.name, number))


def _needs_no_answer(event: RequestEvent) -> bool:
    if isinstance(event, AttemptFinished):
        return event.request_answered
    return isinstance(event, ClientDisconnected)
