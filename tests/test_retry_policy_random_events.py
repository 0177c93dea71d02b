"""The retry policy under random sequences of events, for classes whose duplicates all endpoints drop."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from limenotch.balancing.actions import FailRequest, RejectRequest
from limenotch.balancing.types import DedupScope, Outcome, TrafficClass

from .referee import PAY, READ, WRITE, Referee, make_endpoints, make_settings
from .test_balancing_rules import STEPS, apply_steps

LONG_WINDOW = replace(
    WRITE, name="long", dedup_scope=DedupScope.ALL, dedup_window_ms=10_000.0
)  # longer than the client's deadline
SHORT_WINDOW = replace(WRITE, name="short", dedup_scope=DedupScope.ALL, dedup_window_ms=300.0)


@hypothesis_settings(derandomize=True, deadline=None)
@given(STEPS, st.integers(0, 2**32), st.booleans(), st.booleans())
def test_no_sequence_of_events_breaks_a_rule(
    steps: list[tuple[str, int, Outcome]], seed: int, may_hedge: bool, may_cancel: bool
) -> None:
    settings = make_settings(classes=(READ, LONG_WINDOW, SHORT_WINDOW, PAY), may_hedge=may_hedge, may_cancel=may_cancel)
    referee = Referee(settings, seed, listed=make_endpoints(7))
    apply_steps(referee, steps)
    referee.run_to_deadlines()


@pytest.mark.parametrize(("traffic_class", "answer"), [(LONG_WINDOW, RejectRequest), (SHORT_WINDOW, FailRequest)])
def test_a_request_is_rejected_only_while_duplicates_of_any_retry_are_dropped(
    traffic_class: TrafficClass, answer: type[RejectRequest | FailRequest]
) -> None:
    # A rejection means that a retry is harmless at any time before the client's deadline.
    referee = Referee(make_settings(classes=(traffic_class,), max_attempts=1), listed=make_endpoints(5))
    name, _ = referee.arrive(0, budget_ms=2000.0)
    referee.finish_attempt(name, 0, Outcome.RESET)
    assert [type(action) for action in referee.log if isinstance(action, (RejectRequest, FailRequest))] == [answer]
