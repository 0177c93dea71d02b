"""While a jammed discovery keeps a process waiting, nothing is sent on a list that misses what counts as told."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from limenotch.net.admission import Hindrance, hindrance
from limenotch.net.call import Final, Verdict
from limenotch.net.discovery import (
    OVERDUE_S,
    PENDING_S,
    TOLD_S,
    Connected,
    DiscoveryState,
    Due,
    Ended,
    Listed,
    Moved,
    Wanted,
)

from .helpers.scripted import Script, calls_of, take
from .test_repeats import CHOSEN, SAFE, attempt_of, call_of


def following() -> DiscoveryState:
    """A watch that told its list at 0."""
    state = DiscoveryState(2.4, Random(1))
    for event in (Wanted(), Connected(), Listed()):
        state.handle(0.0, event)
    return state


def call_again(state: DiscoveryState) -> float:
    """The next call, connected in the moment in which it begins."""
    assert state.due is not None
    now = state.due
    state.handle(now, Due())
    state.handle(now, Connected())
    return now


def test_a_watch_that_fell_silent_counts_from_its_last_line() -> None:
    state = following()
    state.handle(2.4, Due())
    began = call_again(state)
    assert not state.overdue(TOLD_S - 0.01)
    state.handle(began + 2.0, Ended())  # 503 after a wait in the queue
    call_again(state)
    assert not state.overdue(TOLD_S - 0.01)
    assert state.overdue(TOLD_S) and state.overdue(TOLD_S + OVERDUE_S - 0.01)
    assert not state.overdue(TOLD_S + OVERDUE_S)  # broken rather than jammed: the list held is better than none
    state.handle(TOLD_S + 0.5, Listed())
    assert not state.overdue(TOLD_S + 0.5)


def test_a_discovery_that_is_down_makes_nothing_overdue() -> None:
    state = following()
    state.handle(1.0, Ended())
    now = 1.0
    while now < 30.0:
        assert state.due is not None
        now = state.due
        state.handle(now, Due())
        state.handle(now + 0.001, Connected())
        state.handle(now + 0.002, Ended())  # reset or 503 at once
        assert not any(state.overdue(now + 0.1 * tenth) for tenth in range(20))


def test_it_counts_from_the_last_refusal_once_discovery_is_back() -> None:
    # Guards the jam after an outage: seven in ten were held up beyond what counts as told.
    state = following()
    state.handle(1.0, Ended())
    refused = call_again(state)
    state.handle(refused + 0.01, Ended())
    began = call_again(state)
    assert not state.overdue(refused + 0.01 + TOLD_S - 0.1)
    state.handle(began + 2.0, Ended())
    began = call_again(state)
    state.handle(began + 2.0, Ended())
    assert state.overdue(refused + 0.01 + TOLD_S)
    assert PENDING_S < 2.0


def test_a_connection_that_does_not_come_up_is_no_queue() -> None:
    state = following()
    state.handle(1.0, Ended())
    for _ in range(6):
        assert state.due is not None
        state.handle(state.due, Due())  # begins, or gives up the connection
        assert not state.overdue(state.due - 0.01)


def test_a_move_begins_anew() -> None:
    state = following()
    state.handle(5.0, Moved())
    state.handle(5.0, Connected())
    assert not state.overdue(5.0 + TOLD_S - 0.01) and state.overdue(5.0 + TOLD_S)


def test_calls_are_turned_away_and_attempts_do_not_begin() -> None:
    finals: list[Final] = []

    async def case() -> None:
        calls, hand = calls_of(Script([]))
        calls.list_overdue = lambda: True
        take(calls, finals.append)
        assert not calls.open and not hand.out

    asyncio.run(case())
    assert [final.verdict for final in finals] == [Verdict.REJECTED]
    assert hindrance(attempt_of(call_of(SAFE)), CHOSEN, 1.0, list_overdue=True) is Hindrance.LIST_OVERDUE


@pytest.mark.parametrize("pushed", [False, True])
def test_nothing_is_overdue_before_anybody_asks_or_while_a_watch_stands(pushed: bool) -> None:
    state = DiscoveryState(2.4, Random(1), pushed)
    assert not state.overdue(100.0)
    assert not following().overdue(2.39)
