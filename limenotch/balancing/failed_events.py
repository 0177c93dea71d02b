"""What is left to do for a request when an error interrupted an event of it: one answer, and no count left behind."""

from __future__ import annotations

from .actions import Action, CancelAttempt, FailRequest, RejectRequest, SendAttempt
from .balancer_state import BalancerState
from .endpoint_statistics import Request
from .events import AttemptFinished, ClientDisconnected, Event, RequestArrived

ANSWERS = (RejectRequest, FailRequest)


def end_failed_request(
    state: BalancerState, event: Event, request: Request | None, decided: list[Action]
) -> list[Action]:
    """The actions that replace those `decided` before the error.

    `request` is None if the error came before the event's request was recorded, or after it was forgotten. Attempts
    that were decided on are not sent. The answer is a rejection unless an attempt that was sent may have run.
    """
    actions: list[Action] = [action for action in decided if not isinstance(action, SendAttempt)]
    answered = any(isinstance(action, ANSWERS) for action in decided) or _needs_no_answer(event)
    if request is None:
        if isinstance(event, RequestArrived) and not answered:
            actions.append(RejectRequest(event.request))
        return actions
    sent = len(request.attempts) - sum(isinstance(action, SendAttempt) for action in decided)
    for number, attempt in enumerate(request.attempts):
        if not attempt.open:
            continue
        if attempt.in_flight:
            state.in_flight -= 1
        attempt.end(may_have_run=number < sent)
        if number < sent and state.settings.may_cancel:
            actions.append(CancelAttempt(request.name, number))
    if not request.answered and not answered:
        failed = bool(request.possible_executions())
        actions.append(FailRequest(request.name) if failed else RejectRequest(request.name))
    request.answered = True
    state.requests.pop(request.name, None)
    return actions


def _needs_no_answer(event: Event) -> bool:
    if isinstance(event, AttemptFinished):
        return event.request_answered
    return isinstance(event, ClientDisconnected)
