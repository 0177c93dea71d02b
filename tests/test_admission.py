"""Admission control: the concurrency limit, which requests are rejected first, and ejection of overloaded endpoints."""

from __future__ import annotations

from copy import deepcopy
from math import inf, sqrt
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from limenotch.balancing.actions import RejectRequest
from limenotch.balancing.admission import MIN_CONCURRENCY_LIMIT, AdmissionControl
from limenotch.balancing.types import Outcome
from tests.referee import READ, Referee, make_endpoints, make_settings
from tests.test_balancer import send_steadily
from tests.test_zones import ZonedReferee


def warmed_up_admission(
    requests_per_s: float, latency_ms: float = 300.0, objective_ms: float = 1000.0
) -> tuple[AdmissionControl, float]:
    """Admission control after 5 s of requests that were all answered in time; and the time."""
    admission, now = AdmissionControl(), 0.0
    for number in range(int(5 * requests_per_s)):
        now = number * 1000 / requests_per_s
        admission.should_reject(now, 1.0, 0.0, 1.0)
        admission.count_answer(now)
        if number % int(requests_per_s) == 0:
            admission.end_window(1000.0, number, 0.0)
            admission.update_limit(latency_ms, latency_ms, objective_ms, known=True)
    return admission, now


def admitted_in_flight(
    admission: AdmissionControl, now: float, value: float = 1.0, live_fraction: float = 1.0
) -> float:
    """Requests in flight from which another request is rejected, in steps of 0.5."""
    # A copy for each probe, since each probe counts as an arrival.
    probes = ((n / 2, deepcopy(admission)) for n in range(600))
    return next(
        (in_flight for in_flight, each in probes if each.should_reject(now, value, in_flight, live_fraction)), inf
    )


def test_no_request_is_rejected_before_the_tier_is_known() -> None:
    assert admitted_in_flight(AdmissionControl(), 0.0) == inf


def test_the_margin_is_wide_while_requests_are_answered_in_time() -> None:
    """At 30 requests/s without overload, random variation alone had 8% of the less important class rejected."""
    admission, now = warmed_up_admission(30.0)
    assert admitted_in_flight(admission, now) >= 1.4 * admission.concurrency_limit


@given(st.integers(0, 99))
def test_random_variation_of_few_arrivals_is_not_taken_for_overload(seed: int) -> None:
    """At 20 random requests/s, one in ten was rejected on a small fleet without load."""
    random, admission, now, rejected = Random(seed), AdmissionControl(), 0.0, 0
    responses_due: list[float] = []  # times of the responses to requests in flight, after about 300 ms
    for number in range(400):
        now += random.expovariate(0.02)
        for due in [due for due in responses_due if due <= now]:
            responses_due.remove(due)
            admission.count_answer(due)
        if number % 20 == 0:
            admission.end_window(1000.0, 100.0, 0.0)
            admission.update_limit(280.0, 300.0, 1000.0, known=number > 40)
        if admission.should_reject(now, 1.0 + number % 2, len(responses_due), 1.0):
            rejected += 1
        else:
            responses_due.append(now + random.uniform(200.0, 400.0))
        responses_due.sort()
    assert rejected <= 6  # of 400


def test_the_margin_is_tight_as_soon_as_arrivals_exceed_responses() -> None:
    """A burst was admitted because of earlier goodput: 142 requests at ten endpoints, all overloaded within 4 s."""
    admission, now = warmed_up_admission(100.0)
    limit_before = admitted_in_flight(admission, now)
    for number in range(300):  # 300/s for one second, answered no faster than before
        admission.should_reject(now + number * 10 / 3, 1.0, 0.0, 1.0)
        if number % 3 == 0:
            admission.count_answer(now + number * 10 / 3)
    assert admitted_in_flight(admission, now + 1000.0) <= min(
        limit_before - sqrt(admission.concurrency_limit), 1.3 * admission.concurrency_limit
    )


def test_the_limit_rises_if_the_whole_tier_becomes_slower() -> None:
    """All endpoints were twice as slow for 10 s: a limit by idle latency rejected half of what they could serve."""
    admission, now = warmed_up_admission(100.0, latency_ms=250.0)
    limit_before = admission.concurrency_limit
    admission.update_limit(250.0, 550.0, 1000.0, known=True)
    assert admission.concurrency_limit > 1.3 * limit_before
    admission.update_limit(250.0, 5000.0, 1000.0, known=True)
    # Overload does not raise it beyond the objective.
    assert admission.concurrency_limit <= 0.7 * 1000.0 * admission.sustained_goodput


def test_the_lowest_limit_does_not_overload_a_small_tier() -> None:
    """Three sidecars at 15 requests/s had a minimum limit of 12 each, 36 at three endpoints: overload for 20 s."""
    admission, now = warmed_up_admission(15.0, latency_ms=330.0, objective_ms=750.0)
    for number in range(60):  # four times as many arrive
        admission.should_reject(now + number * 1000 / 60, 1.0, 0.0, 1.0)
        if number % 4 == 0:
            admission.count_answer(now + number * 1000 / 60)
    # At least the requests in service, at most twice the limit by Little's law.
    assert 15.0 * 0.33 <= admitted_in_flight(admission, now + 1000.0) <= 2 * 15.0 * 0.456


@given(st.lists(st.floats(0.001, 100.0), min_size=1, max_size=60), st.floats(0.0, 1.0))
def test_requests_of_lower_value_are_rejected_first(values: list[float], live_fraction: float) -> None:
    admission, now = warmed_up_admission(50.0)
    for value in values:
        admission.should_reject(now, value, 0.0, live_fraction)
    low, high = min(values), max(values)
    assert admitted_in_flight(admission, now, low, live_fraction) <= admitted_in_flight(
        admission, now, high, live_fraction
    )


@given(st.lists(st.tuples(st.floats(1.0, 2000.0), st.floats(0, 500), st.floats(0, 500)), max_size=30))
def test_the_limit_never_falls_below_its_minimum(windows: list[tuple[float, float, float]]) -> None:
    admission = AdmissionControl()
    for span, successes, misses in windows:
        admission.end_window(span, successes, misses)
        admission.update_limit(100.0, 200.0, 1000.0, known=True)
        assert admission.concurrency_limit >= MIN_CONCURRENCY_LIMIT and 0 <= admission.sustained_goodput < inf


def answer_as_overloaded(referee: ZonedReferee, endpoint: str, answer_interval: int = 7) -> None:
    """Behave as an overloaded endpoint: answer one of `answer_interval` requests just in time, the others never."""
    for request, number, name, sent_at in referee.open_attempts():
        if name == endpoint and not request.answered and referee.now - sent_at >= 990.0:
            in_time = int(request.arrival.request.removeprefix("request-")) % answer_interval == 0
            if in_time or referee.now - sent_at >= 1000.0:
                referee.finish_attempt(request.arrival.request, number, Outcome.OK if in_time else Outcome.TIMEOUT)


def test_an_overloaded_endpoint_is_ejected_long_enough_to_become_idle() -> None:
    """An overloaded endpoint recovers after 2 to 5 s of idle time. With a few requests it did not for 25 s."""
    referee = ZonedReferee(cross_zone_cost=0.0, zones=("abc",))
    referee.warm_up()
    history = []
    for _ in range(1200):
        referee.step(0, 500.0, except_endpoint="a")
        answer_as_overloaded(referee, "a")
        history.append(referee.in_flight()["a"])
    idle = max(len(run) for run in "".join("x" if n else "." for n in history).split("x"))
    assert idle >= 480  # 4.8 s without a break


def test_an_endpoint_starts_without_old_observations_after_its_ejection() -> None:
    """Because of the observations before its ejection it got hardly any requests after it."""
    referee = ZonedReferee(cross_zone_cost=0.0, zones=("abc",))
    referee.warm_up()
    endpoint = referee.balancer.registry.endpoints["a"]
    while not endpoint.ejected_until:
        referee.step(0, 500.0, except_endpoint="a")
        answer_as_overloaded(referee, "a")
    while endpoint.ejected_until or not endpoint.selection_weight:  # until the end of the next window
        referee.step(0, 500.0)
    assert endpoint.selection_weight > 0 and endpoint.failures < 1 and endpoint.latency_ratio < 1.2


def test_at_most_half_of_a_tier_is_ejected_at_once() -> None:
    """Ejecting all of them would cause an outage."""
    referee = ZonedReferee(cross_zone_cost=0.0, zones=("abcd",))
    referee.warm_up()
    max_ejected = 0
    for _ in range(1500):
        referee.advance(10.0)
        referee.send()
        for name in "abcd":
            answer_as_overloaded(referee, name)
        max_ejected = max(
            max_ejected, sum(referee.now < each.ejected_until for each in referee.balancer.registry.endpoints.values())
        )
    assert max_ejected == 2


def test_requests_are_admitted_again_after_an_overload_with_nothing_in_flight() -> None:
    """The mean in flight changed only at responses: with nothing in flight, 40 requests/s were rejected for 3 s."""
    referee = Referee(make_settings(classes=(READ,)), listed=make_endpoints(4))
    balancer = referee.balancer
    send_steadily(referee, 40, Outcome.OK)
    # An overload has just ended: all of its requests have been answered.
    balancer.mean_in_flight = 10 * balancer.admission.concurrency_limit
    assert not balancer.in_flight
    for _ in range(60):
        referee.advance(25.0)
        _, actions = referee.arrive(0)
        if not any(isinstance(action, RejectRequest) for action in actions):
            return
    raise AssertionError("rejected all requests for 1.5 s with nothing in flight")
