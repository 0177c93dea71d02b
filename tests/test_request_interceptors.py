"""Who has a say in calls: told of each once, from its taking to its end, however it ends."""

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

Told = tuple[Any, ...]
ONE: list[Command] = [StartAttempt(1, "a", 100.0)]
TURNS_AWAY = FinalResponse(Verdict.REJECTED, retry_after_ms=900.0, quota_exhausted=True)


class Ear:
    """Notes what it is told; turns calls away where it has an answer for them."""

    def __init__(self, answer: FinalResponse | None = None, hint: PlacementHint | None = None) -> None:
        self._answer, self._hint = answer, hint
        self.told: list[Told] = []

    def request_received(self, call: Request) -> FinalResponse | RetryLater | None:
        self.told.append(("taken", call.number))
        call.placement_hint = self._hint or call.placement_hint
        return self._answer

    def attempt_started(self, invoker_call: Attempt) -> None:
        self.told.append(("sent", invoker_call.number))

    def attempt_ended(self, invoker_call: Attempt, ending: AttemptEnding) -> None:
        self.told.append(("ended", invoker_call.number, ending))

    def request_closed(self, call: Request) -> None:
        self.told.append(("closed", call.final.verdict if call.final is not None else None))


class Case:
    """One call, its final answers, and two that are told of it; `play` on a loop."""

    def __init__(self, picked: list[Command], *then: list[Command], advice_ms: float = 0.0) -> None:
        self.script = ScriptedLoadBalancer(picked, then, advice_ms)
        self.ears = [Ear(), Ear()]
        self.finals: list[FinalResponse] = []

    def play(
        self,
        use: Callable[[Request, ManualAttemptRunner], None] = lambda call, hand: None,
        room: bool = True,
        alike: bool = True,
    ) -> list[Told]:
        """What the first was told; `alike`: both were."""

        async def case() -> None:
            calls, hand = make_request_manager(self.script, *self.ears)
            call = calls.accept(b"n", None, "look", "acme", 9000.0, self.finals.append, room)
            use(call, hand)
            assert not calls.open and not calls.is_known(b"n") and not calls.streaming

        asyncio.run(case())
        assert not alike or self.ears[0].told == self.ears[1].told
        return self.ears[0].told


def test_served_after_a_repeat() -> None:
    case = Case(ONE, [StartAttempt(1, "b", 100.0)])

    def use(call: Request, hand: ManualAttemptRunner) -> None:
        hand.end(0, AttemptEnding.ERROR)
        hand.end(1)

    assert case.play(use) == [
        ("taken", 1),
        ("sent", 0),
        ("ended", 0, AttemptEnding.ERROR),
        ("sent", 1),
        ("ended", 1, AttemptEnding.SERVED),
        ("closed", Verdict.SERVED),
    ]
    assert [final.verdict for final in case.finals] == [Verdict.SERVED]


def test_a_second_copy_and_its_loser() -> None:
    case = Case([*ONE, StartAttempt(1, "b", 100.0)], [CancelAttempt(1, 0)])
    assert case.play(lambda call, hand: hand.end(1)) == [
        ("taken", 1),
        ("sent", 0),
        ("sent", 1),
        ("ended", 1, AttemptEnding.SERVED),
        ("closed", Verdict.SERVED),
        ("ended", 0, AttemptEnding.CANCELLED),
    ]
    assert len(case.finals) == 1


def test_an_attempt_that_ends_after_its_call_and_twice_is_told_once() -> None:
    case = Case([*ONE, StartAttempt(1, "b", 100.0)])

    def use(call: Request, hand: ManualAttemptRunner) -> None:
        hand.end(0)
        hand.end(1)
        hand.end(1, AttemptEnding.RESET)

    assert [told for told in case.play(use) if told[0] != "sent"] == [
        ("taken", 1),
        ("ended", 0, AttemptEnding.SERVED),
        ("closed", Verdict.SERVED),
        ("ended", 1, AttemptEnding.SERVED),
    ]


@pytest.mark.parametrize(
    ("last", "verdict"), [(RejectRequest(1, 5.0), Verdict.REJECTED), (FailRequest(1), Verdict.FAILED)]
)
def test_rejected_and_failed(last: Command, verdict: Verdict) -> None:
    case = Case(ONE, [last])
    assert case.play(lambda call, hand: hand.end(0, AttemptEnding.ERROR)) == [
        ("taken", 1),
        ("sent", 0),
        ("ended", 0, AttemptEnding.ERROR),
        ("closed", verdict),
    ]
    untried = Case([last])
    assert untried.play() == [("taken", 1), ("closed", verdict)]
    assert [final.verdict for final in case.finals + untried.finals] == [verdict] * 2


def test_departed_once_and_without_an_answer() -> None:
    case = Case(ONE)

    def use(call: Request, hand: ManualAttemptRunner) -> None:
        hand.request_manager.client_disconnected(call)
        hand.request_manager.client_disconnected(call)

    assert case.play(use) == [("taken", 1), ("sent", 0), ("closed", None), ("ended", 0, AttemptEnding.CANCELLED)]
    assert not case.finals


@pytest.mark.parametrize("end", ["answered", "broken off", "departed"])
def test_a_long_answer_closes_when_it_begins_and_never_again(end: str) -> None:
    case = Case(ONE)

    def use(call: Request, hand: ManualAttemptRunner) -> None:
        assert hand.request_manager.response_started(hand.started[0], b"first")
        assert hand.request_manager.is_known(b"n") and case.ears[0].told[-1] == ("closed", Verdict.SERVED)
        if end == "departed":
            hand.request_manager.client_disconnected(call)
        else:
            hand.end(0, AttemptEnding.SERVED if end == "answered" else AttemptEnding.RESET)
            hand.request_manager.stream_ended(call, "answered" if end == "answered" else "errored")

    ending = {"answered": AttemptEnding.SERVED, "broken off": AttemptEnding.RESET, "departed": AttemptEnding.CANCELLED}[
        end
    ]
    assert case.play(use) == [("taken", 1), ("sent", 0), ("closed", Verdict.SERVED), ("ended", 0, ending)]
    assert len(case.finals) == 1


def test_turned_away_by_the_first_nobody_else_hears_of_it() -> None:
    case = Case(ONE)
    case.ears[0] = Ear(TURNS_AWAY)
    assert case.play(alike=False) == [("taken", 1)] and not case.ears[1].told and not case.script.hints
    assert [(final.verdict, final.quota_exhausted) for final in case.finals] == [(Verdict.REJECTED, True)]


def test_turned_away_by_the_second_the_first_is_told_of_the_end() -> None:
    case = Case(ONE)
    case.ears[1] = Ear(TURNS_AWAY)
    assert case.play(alike=False) == [("taken", 1), ("closed", Verdict.REJECTED)]
    assert case.ears[1].told == [("taken", 1)]
    assert not case.script.hints and len(case.finals) == 1


@pytest.mark.parametrize("allowed", [0.0, 500.0, 900.0, 2000.0])
def test_advice_on_when_to_return_is_what_the_configuration_allows(allowed: float) -> None:
    case = Case(ONE, advice_ms=allowed)
    case.ears = [Ear(TURNS_AWAY)] * 2
    case.play()
    assert case.finals[0].retry_after_ms == min(allowed, 900.0)


def test_what_the_door_turns_away_nobody_is_told_of() -> None:
    case = Case(ONE)
    assert case.play(room=False) == []
    assert [final.verdict for final in case.finals] == [Verdict.REJECTED]


def test_the_last_hint_goes_to_the_decisions() -> None:
    case = Case([FailRequest(1)])
    case.ears = [Ear(hint=PlacementHint("a")), Ear(hint=PlacementHint("b", True, "z", 2, 30.0))]
    case.play()
    assert case.script.hints == [PlacementHint("b", True, "z", 2, 30.0)]
    plain = Case([FailRequest(1)])
    plain.play()
    assert plain.script.hints == [None]


def test_each_call_is_told_of_by_itself() -> None:
    async def case() -> None:
        ear, finals = Ear(), list[FinalResponse]()
        calls, hand = make_request_manager(ScriptedLoadBalancer([]), ear)
        first, second = (accept_request(calls, finals.append, name) for name in (b"1", b"2"))
        calls.client_disconnected(second)
        calls.client_disconnected(first)
        assert ear.told == [("taken", 1), ("taken", 2), ("closed", None), ("closed", None)]

    asyncio.run(case())


class Slow(Ear):
    """Says Later so many times first."""

    def __init__(self, times: int, answer: FinalResponse | None = None, ms: float = 1.0) -> None:
        super().__init__(answer)
        self._times, self._ms = times, ms

    def request_received(self, call: Request) -> FinalResponse | RetryLater | None:
        said = super().request_received(call)
        self._times -= 1
        return RetryLater(self._ms, TURNS_AWAY) if self._times >= 0 else said


def held(
    first: Ear, use: Callable[[Request, ManualAttemptRunner, RequestManager], None], budget_ms: float = 9000.0
) -> tuple[Ear, list[FinalResponse]]:
    """A call that the first of two holds; `use` when that one has let it go, or at once if it never does."""
    second, finals = Ear(), list[FinalResponse]()

    async def case() -> None:
        calls, hand = make_request_manager(ScriptedLoadBalancer(ONE), first, second)
        call = calls.accept(b"n", None, "look", "acme", budget_ms, finals.append)
        async with asyncio.timeout(5):
            while not hand.started and not finals and len(first.told) < 3:
                await asyncio.sleep(0)
        use(call, hand, calls)
        assert not calls.open and not calls.is_known(b"n")

    asyncio.run(case())
    return second, finals


def test_a_call_is_held_until_what_is_on_its_way_has_come_and_told_of_once() -> None:
    first = Slow(2)
    second, finals = held(first, lambda call, hand, calls: hand.end(0))
    assert [told[0] for told in first.told] == ["taken", "taken", "taken", "sent", "ended", "closed"]
    assert [told[0] for told in second.told] == ["taken", "sent", "ended", "closed"]
    assert [final.verdict for final in finals] == [Verdict.SERVED]


def test_a_held_call_is_turned_away_when_there_is_no_time_to_ask_again() -> None:
    second, finals = held(Slow(9, ms=200.0), lambda call, hand, calls: None, budget_ms=100.0)
    assert [final.quota_exhausted for final in finals] == [True] and not second.told


def test_a_held_call_whose_consumer_goes_is_not_asked_of_again() -> None:
    first = Slow(9)
    second, finals = held(first, lambda call, hand, calls: calls.client_disconnected(call))
    assert not finals and not second.told and {told[0] for told in first.told} == {"taken"}
