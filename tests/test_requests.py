"""What is owed to open calls when the program leaves or has no room, by a script in place of the decisions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import monotonic
from typing import Any

import pytest

from limenotch.load_balancer_types import AttemptEnding, Command, Commands, StartAttempt
from limenotch.net.request import FinalResponse, Request, Verdict
from limenotch.net.requests import RequestManager

from .helpers.scripted import ManualAttemptRunner, ScriptedLoadBalancer, accept_request, make_request_manager

ONE: list[Command] = [StartAttempt(1, "a", 9000.0)]


@pytest.mark.parametrize("allowed_ms", [0.0, 300.0, 9000.0])
def test_advice_on_when_to_return_is_what_the_settings_allow_without_room_too(allowed_ms: float) -> None:
    # Guards settings that forbid the advice: a full sidecar once told a second of its own.
    finals: list[FinalResponse] = []

    async def case() -> None:
        calls, _ = make_request_manager(ScriptedLoadBalancer([], retry_after_ms=allowed_ms), max_open_requests=0)
        accept_request(calls, finals.append)

    asyncio.run(case())
    assert [(final.verdict, final.retry_after_ms) for final in finals] == [(Verdict.REJECTED, min(allowed_ms, 1000.0))]


Act = Callable[[RequestManager, ManualAttemptRunner, Request], None]


def nothing(calls: RequestManager, hand: ManualAttemptRunner, call: Request) -> None:
    """Its attempt still waits for a connection."""


def written(calls: RequestManager, hand: ManualAttemptRunner, call: Request) -> None:
    hand.started[0].sent_at = monotonic()


def rejected_by_the_endpoint(calls: RequestManager, hand: ManualAttemptRunner, call: Request) -> None:
    hand.started[0].sent_at = monotonic()
    hand.end(0, AttemptEnding.REJECTED)


@pytest.mark.parametrize(
    ("act", "verdict"),
    [(nothing, Verdict.REJECTED), (written, Verdict.FAILED), (rejected_by_the_endpoint, Verdict.REJECTED)],
)
def test_calls_that_are_open_have_one_answer_by_the_end_of_leaving(act: Act, verdict: Verdict) -> None:
    # Guards clients of long deadlines: what the kill finds unanswered has no answer at all.
    finals: list[FinalResponse] = []

    async def case() -> None:
        calls, hand = make_request_manager(ScriptedLoadBalancer(ONE))
        answered = asyncio.Event()

        def answer(final: FinalResponse) -> None:
            finals.append(final)
            answered.set()

        call = accept_request(calls, answer)
        act(calls, hand, call)
        calls.finish_by(monotonic())
        await answered.wait()
        assert not calls.open and all(attempt.ended for attempt in hand.started)
        assert ("depart", 1) in calls.load_balancer.reported  # type: ignore[attr-defined]

    asyncio.run(case())
    assert [final.verdict for final in finals] == [verdict]


def test_a_call_that_ends_before_the_end_of_leaving_has_its_own_time() -> None:
    finals: list[FinalResponse] = []

    async def case() -> None:
        calls, hand = make_request_manager(ScriptedLoadBalancer(ONE))
        accept_request(calls, finals.append)
        calls.finish_by(monotonic() + 60.0)
        calls._end_all()  # as if it were that late: the call ends by itself long before
        assert len(calls.open) == 1 and not finals and not hand.started[0].ended

    asyncio.run(case())


def test_a_call_whose_taking_fails_is_not_kept() -> None:
    # Guards its id and its place among the open calls: its client is told of the fault, and nobody ends it later.
    class Failing(ScriptedLoadBalancer):
        def request_arrived(self, *arguments: Any, **more: Any) -> Commands:
            raise RuntimeError("a fault")

    async def case() -> None:
        calls, _ = make_request_manager(Failing([]))
        with pytest.raises(RuntimeError):
            accept_request(calls, lambda final: None)
        assert not calls.open and not calls.is_known(b"n")

    asyncio.run(case())
