"""Whether another attempt may start: the retry policy against an independent reference implementation."""

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

TRAFFIC_CLASSES = st.builds(
    lambda effect, scope, window: TrafficClass("c", effect, 100.0, 1000.0, dedup_scope=scope, dedup_window_ms=window),
    st.sampled_from(list(Effect)),
    st.sampled_from(list(DedupScope)),
    st.sampled_from([0.0, 50.0, 400.0, 9000.0]),
)
EARLIER_ATTEMPTS = st.lists(
    st.builds(PriorAttempt, st.sampled_from("ab"), st.sampled_from([1, 2]), st.floats(0.0, 1000.0), st.booleans()),
    max_size=4,
)


def reference_allows(
    traffic_class: TrafficClass, executed: Sequence[PriorAttempt], now: float, zone: object, cell: object
) -> bool:
    """The retry rule as specified, independent of the program's implementation."""
    for each in executed:
        if traffic_class.effect.value == "at_most_once":
            return False
        if traffic_class.effect.value == "deduplicated":
            if now - each.sent_ms >= traffic_class.dedup_window_ms:
                return False
            if traffic_class.dedup_scope.value == "zone" and each.zone != zone:
                return False
            if traffic_class.dedup_scope.value == "cell" and each.cell != cell:
                return False
    return True


@settings(derandomize=True, max_examples=400, deadline=None)
@given(TRAFFIC_CLASSES, EARLIER_ATTEMPTS, st.floats(0.0, 10_000.0), st.sampled_from("ab"), st.sampled_from([1, 2]))
def test_may_repeat_agrees_with_the_reference(
    traffic_class: TrafficClass, earlier: list[PriorAttempt], now: float, zone: str, cell: int
) -> None:
    executed = [each for each in earlier if each.may_have_run]
    assert may_repeat(traffic_class, earlier, now, zone, cell) is reference_allows(
        traffic_class, executed, now, zone, cell
    )
    # Without a zone and a cell it is a retry by the client, which may reach any endpoint.
    anywhere = all(reference_allows(traffic_class, executed, now, z, c) for z in "abc" for c in (1, 2, 3))
    assert may_repeat(traffic_class, earlier, now) is anywhere


# The check right before the first byte of an attempt


CHOSEN_ENDPOINT = DiscoveredEndpoint(
    "p", ("127.0.0.1", 1), DiscoveryStatus.IN_SERVICE, zone="a", group=1, started_ms=5.0
)


def make_request(traffic_class: TrafficClass, may_hedge: bool = False) -> Request:
    request = Request(1, b"n", "c", None, 100.0, 100.0, lambda final: None)
    request.policy = RequestPolicy(traffic_class, may_hedge)
    return request


def make_attempt(request: Request, endpoint: DiscoveredEndpoint = CHOSEN_ENDPOINT) -> Attempt:
    attempt = Attempt(request, len(request.attempts), endpoint.name, 0.0, 90.0, endpoint=endpoint)
    request.attempts.append(attempt)
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
@given(TRAFFIC_CLASSES, st.booleans(), HISTORY, st.floats(0.0, 10.0))
def test_obstacles_agree_with_the_reference_for_random_histories(
    traffic_class: TrafficClass,
    may_hedge: bool,
    history: list[tuple[AttemptEnding | None, bool, str, int, float]],
    later_s: float,
) -> None:
    """An ending of None means that the attempt is in flight. Attempts whose first byte was not sent do not count."""
    request, now = make_request(traffic_class, may_hedge), 41.0 + later_s
    for ending, started, zone, group, sent_at_s in history:
        attempt = make_attempt(request, CHOSEN_ENDPOINT._replace(zone=zone, group=group))
        attempt.sent_at = sent_at_s * started
        attempt.ended, attempt.ending = ending is not None, ending
    obstacle = obstacle_to(make_attempt(request), CHOSEN_ENDPOINT, now)

    executed = [
        PriorAttempt(zone, group, sent_at_s * 1000.0)
        for ending, started, zone, group, sent_at_s in history
        if started and ending not in NEVER_RAN
    ]
    any_in_flight = any(started and ending is None for ending, started, *_ in history)
    is_allowed = reference_allows(traffic_class, executed, now * 1000.0 + ARRIVAL_MS, "a", 1)
    if any_in_flight and (not may_hedge or traffic_class.effect is Effect.AT_MOST_ONCE):
        assert obstacle is Obstacle.ANOTHER_IN_FLIGHT
    else:
        assert obstacle is (None if is_allowed else Obstacle.RETRY_NOT_ALLOWED)


IDEMPOTENT = TrafficClass("c", Effect.IDEMPOTENT, 100.0, 1000.0)


def test_each_obstacle_is_reported() -> None:
    assert obstacle_to(make_attempt(make_request(IDEMPOTENT)), CHOSEN_ENDPOINT, 1.0) is None
    disconnected = make_attempt(make_request(IDEMPOTENT))
    disconnected.request.client_has_disconnected = True
    assert obstacle_to(disconnected, CHOSEN_ENDPOINT, 1.0) is Obstacle.CLIENT_DISCONNECTED
    ended = make_attempt(make_request(IDEMPOTENT))
    ended.ended = True
    assert obstacle_to(ended, CHOSEN_ENDPOINT, 1.0) is Obstacle.ATTEMPT_ENDED
    assert obstacle_to(make_attempt(make_request(IDEMPOTENT)), CHOSEN_ENDPOINT, 90.0) is Obstacle.DEADLINE_PASSED
    assert obstacle_to(make_attempt(make_request(IDEMPOTENT)), None, 1.0) is Obstacle.NOT_IN_SERVICE
    for changed in (CHOSEN_ENDPOINT._replace(started_ms=6.0), CHOSEN_ENDPOINT._replace(address=("127.0.0.1", 2))):
        assert obstacle_to(make_attempt(make_request(IDEMPOTENT)), changed, 1.0) is Obstacle.RESTARTED


def test_an_execution_through_another_sidecar_counts_as_an_earlier_attempt() -> None:
    at_most_once = make_request(replace(IDEMPOTENT, effect=Effect.AT_MOST_ONCE))
    at_most_once.ran_elsewhere.append(SentAttempt("a", 1, 0.0))
    assert obstacle_to(make_attempt(at_most_once), CHOSEN_ENDPOINT, 1.0) is Obstacle.RETRY_NOT_ALLOWED


def test_without_a_class_no_request_is_sent_twice() -> None:
    request = Request(1, b"n", "c", None, 100.0, 100.0, lambda final: None)
    first = make_attempt(request)
    assert obstacle_to(first, CHOSEN_ENDPOINT, 1.0) is None
    first.sent_at, first.ended, first.ending = 1.0, True, AttemptEnding.RESET
    assert obstacle_to(make_attempt(request), CHOSEN_ENDPOINT, 2.0) is Obstacle.RETRY_NOT_ALLOWED


# Request IDs


@pytest.mark.parametrize("still_open", [True, False])
def test_an_id_is_known_while_its_request_is_open_or_its_client_may_still_wait(still_open: bool) -> None:
    ids = RequestIds()
    ids.add(b"a")
    assert ids.is_known(b"a", 1.0) and not ids.is_known(b"b", 1.0)
    ids.remember(b"a", 1.0, 5.0)
    if not still_open:
        ids.discard(b"a")
    assert ids.is_known(b"a", 4.9) and ids.is_known(b"a", 5.0) is still_open


def test_remembered_ids_are_limited_and_the_oldest_are_dropped_first() -> None:
    ids = RequestIds()
    for number in range(MAX_REMEMBERED_IDS + 5):
        ids.remember(b"%d" % number, 1.0, 9.0)
    assert not ids.is_known(b"4", 1.0) and ids.is_known(b"5", 1.0)
    ids.remember(b"new", 9.5, 12.0)  # all others have expired
    assert len(ids._remembered_until) == 1
