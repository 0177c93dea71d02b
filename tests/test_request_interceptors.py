"""Request interceptors: each is notified once of every step of a request, however the request ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from limenotch.load_balancer_types import (
    AttemptEnding,
    CancelAttempt,
    Command,
    FailRequest,
    PlacementHint,
    RejectRequest,
    StartAttempt,
)
from limenotch.net.request import Attempt, FinalResponse, Request, RetryLater, Verdict
from limenotch.net.requests import RequestManager

from .helpers.scripted import ManualAttemptRunner, ScriptedLoadBalancer, accept_request, make_request_manager

Notification = tuple[Any, ...]
ONE_ATTEMPT: list[Command] = [StartAttempt(1, "a", 100.0)]
REJECTION = FinalResponse(Verdict.REJECTED, retry_after_ms=900.0, quota_exhausted=True)


class RecordingInterceptor:
    """Records its notifications; rejects requests if it has a response for them."""

    def __init__(self, response: FinalResponse | None = None, hint: PlacementHint | None = None) -> None:
        self._response, self._hint = response, hint
        self.notifications: list[Notification] = []

    def request_received(self, request: Request) -> FinalResponse | RetryLater | None:
        self.notifications.append(("taken", request.number))
        request.placement_hint = self._hint or request.placement_hint
        return self._response

    def attempt_started(self, attempt: Attempt) -> None:
        self.notifications.append(("sent", attempt.number))

    def attempt_ended(self, attempt: Attempt, ending: AttemptEnding) -> None:
        self.notifications.append(("ended", attempt.number, ending))

    def request_closed(self, request: Request) -> None:
        self.notifications.append(("closed", request.final.verdict if request.final is not None else None))


class InterceptedRequest:
    """One request, its final responses and two interceptors; `play` runs it in an event loop."""

    def __init__(self, first_commands: list[Command], *later_commands: list[Command], advice_ms: float = 0.0) -> None:
        self.script = ScriptedLoadBalancer(first_commands, later_commands, advice_ms)
        self.interceptors = [RecordingInterceptor(), RecordingInterceptor()]
        self.finals: list[FinalResponse] = []

    def play(
        self,
        use: Callable[[Request, ManualAttemptRunner], None] = lambda request, runner: None,
        has_capacity: bool = True,
        same_notifications: bool = True,
    ) -> list[Notification]:
        """Returns the notifications of the first; `same_notifications`: checks that the second got the same."""

        async def case() -> None:
            request_manager, runner = make_request_manager(self.script, *self.interceptors)
            request = request_manager.accept(b"n", None, "look", "acme", 9000.0, self.finals.append, has_capacity)
            use(request, runner)
            assert not request_manager.open and not request_manager.is_known(b"n") and not request_manager.streaming

        asyncio.run(case())
        assert not same_notifications or self.interceptors[0].notifications == self.interceptors[1].notifications
        return self.interceptors[0].notifications


def test_served_after_a_retry() -> None:
    case = InterceptedRequest(ONE_ATTEMPT, [StartAttempt(1, "b", 100.0)])

    def use(request: Request, runner: ManualAttemptRunner) -> None:
        runner.end(0, AttemptEnding.ERROR)
        runner.end(1)

    assert case.play(use) == [
        ("taken", 1),
        ("sent", 0),
        ("ended", 0, AttemptEnding.ERROR),
        ("sent", 1),
        ("ended", 1, AttemptEnding.SERVED),
        ("closed", Verdict.SERVED),
    ]
    assert [final.verdict for final in case.finals] == [Verdict.SERVED]


def test_a_hedged_attempt_and_the_cancelled_first() -> None:
    case = InterceptedRequest([*ONE_ATTEMPT, StartAttempt(1, "b", 100.0)], [CancelAttempt(1, 0)])
    assert case.play(lambda request, runner: runner.end(1)) == [
        ("taken", 1),
        ("sent", 0),
        ("sent", 1),
        ("ended", 1, AttemptEnding.SERVED),
        ("closed", Verdict.SERVED),
        ("ended", 0, AttemptEnding.CANCELLED),
    ]
    assert len(case.finals) == 1


def test_an_attempt_that_ends_twice_after_its_request_is_notified_once() -> None:
    case = InterceptedRequest([*ONE_ATTEMPT, StartAttempt(1, "b", 100.0)])

    def use(request: Request, runner: ManualAttemptRunner) -> None:
        runner.end(0)
        runner.end(1)
        runner.end(1, AttemptEnding.RESET)

    assert [notification for notification in case.play(use) if notification[0] != "sent"] == [
        ("taken", 1),
        ("ended", 0, AttemptEnding.SERVED),
        ("closed", Verdict.SERVED),
        ("ended", 1, AttemptEnding.SERVED),
    ]


@pytest.mark.parametrize(
    ("last", "verdict"), [(RejectRequest(1, 5.0), Verdict.REJECTED), (FailRequest(1), Verdict.FAILED)]
)
def test_rejected_and_failed(last: Command, verdict: Verdict) -> None:
    case = InterceptedRequest(ONE_ATTEMPT, [last])
    assert case.play(lambda request, runner: runner.end(0, AttemptEnding.ERROR)) == [
        ("taken", 1),
        ("sent", 0),
        ("ended", 0, AttemptEnding.ERROR),
        ("closed", verdict),
    ]
    rejected_untried = InterceptedRequest([last])
    assert rejected_untried.play() == [("taken", 1), ("closed", verdict)]
    assert [final.verdict for final in case.finals + rejected_untried.finals] == [verdict] * 2


def test_a_disconnected_client_is_notified_once_without_a_response() -> None:
    case = InterceptedRequest(ONE_ATTEMPT)

    def use(request: Request, runner: ManualAttemptRunner) -> None:
        runner.request_manager.client_disconnected(request)
        runner.request_manager.client_disconnected(request)

    assert case.play(use) == [("taken", 1), ("sent", 0), ("closed", None), ("ended", 0, AttemptEnding.CANCELLED)]
    assert not case.finals


@pytest.mark.parametrize("end", ["answered", "broken off", "departed"])
def test_a_streamed_response_closes_the_request_once_when_it_starts(end: str) -> None:
    case = InterceptedRequest(ONE_ATTEMPT)

    def use(request: Request, runner: ManualAttemptRunner) -> None:
        assert runner.request_manager.response_started(runner.started[0], b"first")
        assert runner.request_manager.is_known(b"n") and case.interceptors[0].notifications[-1] == (
            "closed",
            Verdict.SERVED,
        )
        if end == "departed":
            runner.request_manager.client_disconnected(request)
        else:
            runner.end(0, AttemptEnding.SERVED if end == "answered" else AttemptEnding.RESET)
            runner.request_manager.stream_ended(request, "answered" if end == "answered" else "errored")

    ending = {"answered": AttemptEnding.SERVED, "broken off": AttemptEnding.RESET, "departed": AttemptEnding.CANCELLED}[
        end
    ]
    assert case.play(use) == [("taken", 1), ("sent", 0), ("closed", Verdict.SERVED), ("ended", 0, ending)]
    assert len(case.finals) == 1


def test_a_rejection_by_the_first_interceptor_does_not_reach_the_second() -> None:
    case = InterceptedRequest(ONE_ATTEMPT)
    case.interceptors[0] = RecordingInterceptor(REJECTION)
    assert (
        case.play(same_notifications=False) == [("taken", 1)]
        and not case.interceptors[1].notifications
        and not case.script.hints
    )
    assert [(final.verdict, final.quota_exhausted) for final in case.finals] == [(Verdict.REJECTED, True)]


def test_a_rejection_by_the_second_interceptor_closes_the_request_for_the_first() -> None:
    case = InterceptedRequest(ONE_ATTEMPT)
    case.interceptors[1] = RecordingInterceptor(REJECTION)
    assert case.play(same_notifications=False) == [("taken", 1), ("closed", Verdict.REJECTED)]
    assert case.interceptors[1].notifications == [("taken", 1)]
    assert not case.script.hints and len(case.finals) == 1


@pytest.mark.parametrize("allowed_ms", [0.0, 500.0, 900.0, 2000.0])
def test_retry_after_is_limited_by_the_configuration(allowed_ms: float) -> None:
    case = InterceptedRequest(ONE_ATTEMPT, advice_ms=allowed_ms)
    case.interceptors = [RecordingInterceptor(REJECTION)] * 2
    case.play()
    assert case.finals[0].retry_after_ms == min(allowed_ms, 900.0)


def test_a_request_rejected_for_capacity_reaches_no_interceptor() -> None:
    case = InterceptedRequest(ONE_ATTEMPT)
    assert case.play(has_capacity=False) == []
    assert [final.verdict for final in case.finals] == [Verdict.REJECTED]


def test_the_last_hint_goes_to_the_load_balancer() -> None:
    case = InterceptedRequest([FailRequest(1)])
    case.interceptors = [
        RecordingInterceptor(hint=PlacementHint("a")),
        RecordingInterceptor(hint=PlacementHint("b", True, "z", 2, 30.0)),
    ]
    case.play()
    assert case.script.hints == [PlacementHint("b", True, "z", 2, 30.0)]
    plain = InterceptedRequest([FailRequest(1)])
    plain.play()
    assert plain.script.hints == [None]


def test_each_request_is_notified_separately() -> None:
    async def case() -> None:
        interceptor, finals = RecordingInterceptor(), list[FinalResponse]()
        request_manager, runner = make_request_manager(ScriptedLoadBalancer([]), interceptor)
        first, second = (accept_request(request_manager, finals.append, name) for name in (b"1", b"2"))
        request_manager.client_disconnected(second)
        request_manager.client_disconnected(first)
        assert interceptor.notifications == [("taken", 1), ("taken", 2), ("closed", None), ("closed", None)]

    asyncio.run(case())


class DelayingInterceptor(RecordingInterceptor):
    """Answers RetryLater a number of times before its response."""

    def __init__(self, delays: int, response: FinalResponse | None = None, delay_ms: float = 1.0) -> None:
        super().__init__(response)
        self._remaining_delays, self._delay_ms = delays, delay_ms

    def request_received(self, request: Request) -> FinalResponse | RetryLater | None:
        response = super().request_received(request)
        self._remaining_delays -= 1
        return RetryLater(self._delay_ms, REJECTION) if self._remaining_delays >= 0 else response


def play_delayed_request(
    first: RecordingInterceptor,
    use: Callable[[Request, ManualAttemptRunner, RequestManager], None],
    budget_ms: float = 9000.0,
) -> tuple[RecordingInterceptor, list[FinalResponse]]:
    """Plays a request that the first of two interceptors delays.

    `use` is called once the request has started or ended, or after three notifications of the first.
    """
    second, finals = RecordingInterceptor(), list[FinalResponse]()

    async def case() -> None:
        request_manager, runner = make_request_manager(ScriptedLoadBalancer(ONE_ATTEMPT), first, second)
        request = request_manager.accept(b"n", None, "look", "acme", budget_ms, finals.append)
        async with asyncio.timeout(5):
            while not runner.started and not finals and len(first.notifications) < 3:
                await asyncio.sleep(0)
        use(request, runner, request_manager)
        assert not request_manager.open and not request_manager.is_known(b"n")

    asyncio.run(case())
    return second, finals


def test_a_delayed_request_is_notified_to_later_interceptors_once() -> None:
    first = DelayingInterceptor(2)
    second, finals = play_delayed_request(first, lambda request, runner, request_manager: runner.end(0))
    assert [notification[0] for notification in first.notifications] == [
        "taken",
        "taken",
        "taken",
        "sent",
        "ended",
        "closed",
    ]
    assert [notification[0] for notification in second.notifications] == ["taken", "sent", "ended", "closed"]
    assert [final.verdict for final in finals] == [Verdict.SERVED]


def test_a_delayed_request_is_rejected_without_time_for_another_query() -> None:
    second, finals = play_delayed_request(
        DelayingInterceptor(9, delay_ms=200.0), lambda request, runner, request_manager: None, budget_ms=100.0
    )
    assert [final.quota_exhausted for final in finals] == [True] and not second.notifications


def test_a_delayed_request_of_a_disconnected_client_is_not_queried_again() -> None:
    first = DelayingInterceptor(9)
    second, finals = play_delayed_request(
        first, lambda request, runner, request_manager: request_manager.client_disconnected(request)
    )
    assert (
        not finals
        and not second.notifications
        and {notification[0] for notification in first.notifications} == {"taken"}
    )
