"""Whether a further attempt may begin: the pure rule against a checker that was written apart from it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limenotch.balancing.retry_policy import may_repeat
from limenotch.balancing.types import DedupScope, Effect, PriorAttempt, TrafficClass
from limenotch.load_balancer_types import NEVER_RAN, AttemptEnding, DiscoveredEndpoint, DiscoveryStatus
from limenotch.net.attempt_check import Obstacle, obstacle_to
from limenotch.net.request import Attempt, Request
from limenotch.net.request_ids import MAX_REMEMBERED_IDS, RequestIds
from limenotch.request_policy import ARRIVAL_MS, RequestPolicy, SentAttempt

EFFECTS = st.builds(
    lambda effect, scope, window: TrafficClass("c", effect, 100.0, 1000.0, dedup_scope=scope, dedup_window_ms=window),
    st.sampled_from(list(Effect)),
    st.sampled_from(list(DedupScope)),
    st.sampled_from([0.0, 50.0, 400.0, 9000.0]),
)
EARLIER = st.lists(
    st.builds(PriorAttempt, st.sampled_from("ab"), st.sampled_from([1, 2]), st.floats(0.0, 1000.0), st.booleans()),
    max_size=4,
)


def allowed_by_the_pages(
    cls: TrafficClass, ran: Sequence[PriorAttempt], now: float, zone: object, cell: object
) -> bool:
    """The second of the four rules, word for word, with no regard to how the program has it."""
    for one in ran:
        if cls.effect.value == "at_most_once":
            return False
        if cls.effect.value == "deduplicated":
            if now - one.sent_ms >= cls.dedup_window_ms:
                return False
            if cls.dedup_scope.value == "zone" and one.zone != zone:
                return False
            if cls.dedup_scope.value == "cell" and one.cell != cell:
                return False
    return True


@settings(derandomize=True, max_examples=400, deadline=None)
@given(EFFECTS, EARLIER, st.floats(0.0, 10_000.0), st.sampled_from("ab"), st.sampled_from([1, 2]))
def test_the_rule_is_that_of_the_pages(
    cls: TrafficClass, earlier: list[PriorAttempt], now: float, zone: str, cell: int
) -> None:
    ran = [one for one in earlier if one.may_have_run]
    assert may_repeat(cls, earlier, now, zone, cell) is allowed_by_the_pages(cls, ran, now, zone, cell)
    # With no place named it is a client's repeat, that may land anywhere.
    anywhere = all(allowed_by_the_pages(cls, ran, now, z, c) for z in "abc" for c in (1, 2, 3))
    assert may_repeat(cls, earlier, now) is anywhere


# Right before the first byte, over random histories of one call


CHOSEN = DiscoveredEndpoint("p", ("127.0.0.1", 1), DiscoveryStatus.IN_SERVICE, zone="a", group=1, started_ms=5.0)


def call_of(cls: TrafficClass, copies: bool = False) -> Request:
    call = Request(1, b"n", "c", None, 100.0, 100.0, lambda final: None)
    call.policy = RequestPolicy(cls, copies)
    return call


def attempt_of(call: Request, endpoint: DiscoveredEndpoint = CHOSEN) -> Attempt:
    attempt = Attempt(call, len(call.attempts), endpoint.name, 0.0, 90.0, endpoint=endpoint)
    call.attempts.append(attempt)
    return attempt


HISTORY = st.lists(
    st.tuples(
        st.sampled_from([None, *AttemptEnding]),
        st.booleans(),
        st.sampled_from("ab"),
        st.sampled_from([1, 2]),
        st.floats(0.001, 40.0),
    ),
    max_size=4,
)


@settings(derandomize=True, max_examples=600, deadline=None)
@given(EFFECTS, st.booleans(), HISTORY, st.floats(0.0, 10.0))
def test_no_attempt_begins_that_a_checker_forbids(
    cls: TrafficClass, copies: bool, history: list[tuple[AttemptEnding | None, bool, str, int, float]], later: float
) -> None:
    """An ending of None is an attempt that is out; one whose first byte never went out is nothing to anybody."""
    call, now = call_of(cls, copies), 41.0 + later
    for ending, begun, zone, group, at in history:
        attempt = attempt_of(call, CHOSEN._replace(zone=zone, group=group))
        attempt.sent_at = at * begun
        attempt.ended, attempt.ending = ending is not None, ending
    found = obstacle_to(attempt_of(call), CHOSEN, now)

    ran = [
        PriorAttempt(zone, group, at * 1000.0)
        for ending, begun, zone, group, at in history
        if begun and ending not in NEVER_RAN
    ]
    out = any(begun and ending is None for ending, begun, *_ in history)
    may = allowed_by_the_pages(cls, ran, now * 1000.0 + ARRIVAL_MS, "a", 1)
    if out and (not copies or cls.effect is Effect.AT_MOST_ONCE):
        assert found is Obstacle.ANOTHER_IN_FLIGHT
    else:
        assert found is (None if may else Obstacle.RETRY_NOT_ALLOWED)


SAFE = TrafficClass("c", Effect.IDEMPOTENT, 100.0, 1000.0)


def test_each_hindrance_has_its_name() -> None:
    assert obstacle_to(attempt_of(call_of(SAFE)), CHOSEN, 1.0) is None
    gone = attempt_of(call_of(SAFE))
    gone.request.client_gone = True
    assert obstacle_to(gone, CHOSEN, 1.0) is Obstacle.CLIENT_GONE
    over = attempt_of(call_of(SAFE))
    over.ended = True
    assert obstacle_to(over, CHOSEN, 1.0) is Obstacle.ATTEMPT_ENDED
    assert obstacle_to(attempt_of(call_of(SAFE)), CHOSEN, 90.0) is Obstacle.DEADLINE_PASSED
    assert obstacle_to(attempt_of(call_of(SAFE)), None, 1.0) is Obstacle.NOT_IN_SERVICE
    for changed in (CHOSEN._replace(started_ms=6.0), CHOSEN._replace(address=("127.0.0.1", 2))):
        assert obstacle_to(attempt_of(call_of(SAFE)), changed, 1.0) is Obstacle.RESTARTED


def test_a_run_elsewhere_counts_as_an_earlier_attempt() -> None:
    once = call_of(replace(SAFE, effect=Effect.AT_MOST_ONCE))
    once.ran_elsewhere = SentAttempt("a", 1, 0.0)
    assert obstacle_to(attempt_of(once), CHOSEN, 1.0) is Obstacle.RETRY_NOT_ALLOWED


def test_without_a_class_nothing_goes_out_twice() -> None:
    call = Request(1, b"n", "c", None, 100.0, 100.0, lambda final: None)
    first = attempt_of(call)
    assert obstacle_to(first, CHOSEN, 1.0) is None
    first.sent_at, first.ended, first.ending = 1.0, True, AttemptEnding.RESET
    assert obstacle_to(attempt_of(call), CHOSEN, 2.0) is Obstacle.RETRY_NOT_ALLOWED


# Names


@pytest.mark.parametrize("still_open", [True, False])
def test_a_name_stays_taken_while_it_is_open_or_its_client_may_still_wait(still_open: bool) -> None:
    names = RequestIds()
    names.add(b"a")
    assert names.is_known(b"a", 1.0) and not names.is_known(b"b", 1.0)
    names.remember(b"a", 1.0, 5.0)
    if not still_open:
        names.discard(b"a")
    assert names.is_known(b"a", 4.9) and names.is_known(b"a", 5.0) is still_open


def test_names_are_bounded_and_the_oldest_go_first() -> None:
    names = RequestIds()
    for number in range(MAX_REMEMBERED_IDS + 5):
        names.remember(b"%d" % number, 1.0, 9.0)
    assert not names.is_known(b"4", 1.0) and names.is_known(b"5", 1.0)
    names.remember(b"new", 9.5, 12.0)  # all the others are over
    assert len(names._remembered_until) == 1
