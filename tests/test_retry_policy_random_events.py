"""The rule on repeats over generated sequences of events, for keyed classes that every upstream drops repeats of."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings as drawn
from hypothesis import strategies as st

from limenotch.balancing.actions import FailRequest, RejectRequest
from limenotch.balancing.types import DedupScope, Outcome, TrafficClass

from .referee import PAY, READ, WRITE, Referee, make_endpoints, make_settings
from .test_balancing_rules import STEPS, play

LONG = replace(
    WRITE, name="long", dedup_scope=DedupScope.ALL, dedup_window_ms=10_000.0
)  # outlasts its client's patience
SHORT = replace(WRITE, name="short", dedup_scope=DedupScope.ALL, dedup_window_ms=300.0)


@drawn(derandomize=True, deadline=None)
@given(STEPS, st.integers(0, 2**32), st.booleans(), st.booleans())
def test_rules_hold_for_any_events(
    steps: list[tuple[str, int, Outcome]], seed: int, copies: bool, cancel: bool
) -> None:
    given_ = make_settings(classes=(READ, LONG, SHORT, PAY), may_hedge=copies, may_cancel=cancel)
    referee = Referee(given_, seed, listed=make_endpoints(7))
    play(referee, steps)
    referee.run_to_deadlines()


@pytest.mark.parametrize(("cls", "ending"), [(LONG, RejectRequest), (SHORT, FailRequest)])
def test_refused_only_while_the_repeat_of_any_client_is_dropped(
    cls: TrafficClass, ending: type[RejectRequest | FailRequest]
) -> None:
    # Guards work that may run once in a window: a refusal says that a repeat is harmless, whenever it comes.
    referee = Referee(make_settings(classes=(cls,), max_attempts=1), listed=make_endpoints(5))
    name, _ = referee.arrive(0, budget_ms=2000.0)
    referee.finish_attempt(name, 0, Outcome.RESET)
    assert [type(action) for action in referee.log if isinstance(action, (RejectRequest, FailRequest))] == [ending]
