"""Hedging, endpoint selection, endpoint health and goodput, by example. The referee checks every action."""

from __future__ import annotations

from dataclasses import replace
from math import inf

import pytest

from limenotch.balancing.actions import RejectRequest
from limenotch.balancing.endpoint_selection import draw_endpoint
from limenotch.balancing.endpoint_statistics import ClassLatency, Request
from limenotch.balancing.hedging import hedge_pays_off
from limenotch.balancing.types import Outcome
from limenotch.balancing.weights import update_weights

from .referee import READ, WRITE, ZONAL, Referee, make_endpoints, make_settings, sends


def test_rejected_requests_do_not_add_to_the_retry_budget() -> None:
    """Incident i4bceea: under overload, rejected requests paid for hedged attempts of the few admitted ones."""
    referee = Referee(make_settings(), listed=make_endpoints(5))
    referee.balancer.retry_budget = 0.0
    for _ in range(100):
        referee.arrive(0, budget_ms=0.0)
    assert referee.balancer.retry_budget == 0.0


def test_a_reserved_retry_is_taken_by_no_other_request() -> None:
    # Guards review/2's related path: several responses were given up for the same retry of the budget.
    referee = Referee(make_settings(classes=(READ,)), listed=make_endpoints(5))
    balancer = referee.balancer
    names = [referee.arrive(0)[0] for _ in range(2)]
    balancer.retry_budget = 1.0
    assert [balancer.reserve_retry(referee.now, name) for name in (*names, names[0])] == [True, False, True]
    for name in reversed(names):
        referee.finish_attempt(name, 0, Outcome.RESET)
    assert [len(referee.tracked[name].sent) for name in names] == [2, 1]
    assert balancer.retry_budget == 0.0


def test_a_reserved_retry_that_is_not_needed_returns_to_the_budget() -> None:
    referee = Referee(make_settings(classes=(READ,)), listed=make_endpoints(5))
    balancer = referee.balancer
    name, _ = referee.arrive(0)
    balancer.retry_budget = 1.0
    assert balancer.reserve_retry(referee.now, name) and balancer.retry_budget == 0.0
    referee.finish_attempt(name, 0, Outcome.OK)
    assert balancer.retry_budget == 1.0
    assert not balancer.reserve_retry(referee.now, name)


def test_a_burst_of_ten_is_admitted_at_low_load() -> None:
    """At 10 requests/s, random variation alone exceeded the limit: 4% were rejected without an attempt."""
    referee = Referee(make_settings(classes=(READ,)), listed=make_endpoints(5))
    for _ in range(40):  # one request at a time, answered in time
        name, _ = referee.arrive(0)
        referee.advance(100.0)
        for attempt in range(len(referee.tracked[name].sent)):
            referee.finish_attempt(name, attempt, Outcome.CANCELLED if referee.tracked[name].answered else Outcome.OK)
    burst = [referee.arrive(0)[1] for _ in range(10)]
    assert not any(isinstance(action, RejectRequest) for actions in burst for action in actions)


def test_a_hedged_attempt_of_a_deduplicated_request_stays_in_its_group() -> None:
    """Incident i213c49: with large cells, a hedged attempt was allowed in another cell of the same zone."""
    endpoints = tuple(entry._replace(cell=i % 2, zone=0) for i, entry in enumerate(make_endpoints(50)))
    referee = Referee(make_settings(classes=(WRITE,)), listed=endpoints)
    hedged = 0
    for turn in range(400):
        name, _ = referee.arrive(0)
        referee.advance(150.0 if turn % 16 < 8 else 200.0)
        hedged += len(referee.tracked[name].sent) == 2
        for attempt in range(len(referee.tracked[name].sent)):
            answered = referee.tracked[name].answered
            referee.finish_attempt(name, attempt, Outcome.CANCELLED if answered else Outcome.OK)
    assert hedged


def test_no_hedging_while_the_concurrency_limit_is_used_up() -> None:
    """A tier that was never idle has no low mean latency: the use of the concurrency limit must prevent hedging."""
    referee = Referee(make_settings(classes=(READ,)), listed=make_endpoints(5))
    balancer = referee.balancer
    first, second = balancer.candidates[0][:2]
    name, _ = referee.arrive(0)
    request = balancer.requests[name]
    balancer.class_latencies[balancer.settings.classes[0].name].mean_ms, balancer.hedgeable = 150.0, balancer.arrivals
    for endpoint in (first, second):
        endpoint.latency_ratio, endpoint.profile.lowest, endpoint.in_flight = 1.2, 1.0, 0
    assert hedge_pays_off(balancer, referee.now, request, first, second, 1.0)
    balancer.in_flight, balancer.mean_in_flight, balancer.admission.concurrency_limit = 20, 20.0, 20.0
    assert not hedge_pays_off(balancer, referee.now, request, first, second, 1.0)


@pytest.mark.parametrize("tier_index", [0, 1])
def test_the_concurrency_limit_prevents_hedging_only_in_the_first_tier(tier_index: int) -> None:
    """Later tiers reject nothing, yet their limit prevented hedging of urgent requests at idle endpoints."""
    referee = Referee(make_settings(classes=(READ,), tier_index=tier_index), listed=make_endpoints(5))
    send_steadily(referee, 200, Outcome.OK)
    balancer = referee.balancer
    name, _ = referee.arrive(0)
    first, second = balancer.candidates[0][:2]
    first.utilisation = second.utilisation = 0.2
    first.utilisation_at = second.utilisation_at = referee.now
    first.in_flight = second.in_flight = 0
    balancer.in_flight, balancer.hedgeable = 100, balancer.arrivals
    assert hedge_pays_off(balancer, referee.now, balancer.requests[name], first, second, 1.0) is bool(tier_index)
    assert (balancer.admission.concurrency_limit < inf) is not bool(tier_index)


def test_hedging_pays_off_where_formula_1_says_so() -> None:
    """Service time 100 ms, 1000 - 100 ms left. At load 0.2 one attempt misses with 0.2 e^-7.2 = 1.5e-4, and two at 0.4
    with (0.4 e^-5.4)^2 = 3.3e-6: hedge. At load 0.6 hedging makes both loads 1.2, a certain miss: do not hedge."""
    referee = Referee(make_settings(classes=(READ,)), listed=make_endpoints(5))
    balancer = referee.balancer
    first, second = balancer.candidates[0][:2]
    name, _ = referee.arrive(0)
    request = balancer.requests[name]
    balancer.class_latencies[balancer.settings.classes[0].name].mean_ms, balancer.hedgeable = 100.0, balancer.arrivals
    for load, hedged in ((0.2, True), (0.6, False)):
        first.utilisation = second.utilisation = load
        first.utilisation_at = second.utilisation_at = referee.now
        first.in_flight = second.in_flight = 0
        assert hedge_pays_off(balancer, referee.now, request, first, second, 1.0) is hedged


def test_endpoints_are_drawn_in_proportion_to_their_weights() -> None:
    """With equal weights, each of eight endpoints gets an eighth of the draws, within four standard deviations."""
    referee = Referee(make_settings(), 5, make_endpoints(8))
    request = Request("c", READ, ClassLatency(), 3, 1e9, 1e9)
    drawn = [draw_endpoint(referee.balancer, referee.now, request, None) for _ in range(8000)]
    for endpoint in referee.balancer.candidates[0]:
        assert abs(drawn.count(endpoint) - 1000) < 4 * (8000 * 0.125 * 0.875) ** 0.5


@pytest.mark.parametrize("outcome", list(Outcome))
@pytest.mark.parametrize("class_index", range(4))
def test_each_outcome_leads_to_one_answer(class_index: int, outcome: Outcome) -> None:
    referee = Referee(make_settings(), listed=make_endpoints(7))
    name, _ = referee.arrive(class_index)
    while not referee.tracked[name].answered:
        request = referee.tracked[name]
        waiting = [i for i in range(len(request.sent)) if i not in request.ended]
        referee.finish_attempt(name, waiting[0], outcome)


@pytest.mark.parametrize("slow_count", [1, 8])
def test_one_slow_endpoint_gets_fewer_requests_but_not_if_all_are_slow(slow_count: int) -> None:
    referee = Referee(make_settings(max_attempts=1), listed=make_endpoints(8))
    names = [entry.name for entry in make_endpoints(8)[:slow_count]]
    received = dict.fromkeys([entry.name for entry in make_endpoints(8)], 0)
    for _ in range(800):
        name, _ = referee.arrive(0)
        endpoint_name = referee.tracked[name].sent[0][1]
        received[endpoint_name] += 1
        referee.advance(300.0 if endpoint_name in names else 30.0)
        referee.finish_attempt(name, 0)
    assert (received[names[0]] < 50) == (slow_count == 1)


def one_local_endpoint() -> Referee:
    """A referee with one endpoint in the balancer's zone and three in another; crossing zones has a cost."""
    endpoints = tuple(entry._replace(zone=int(i > 0), cell=0) for i, entry in enumerate(make_endpoints(4)))
    return Referee(make_settings(classes=(READ,), cross_zone_cost=0.015, max_attempts=4), listed=endpoints)


def answer_request(referee: Referee, name: str, outcome: Outcome = Outcome.OK) -> str:
    """End the first attempt with `outcome` and cancel the others; return the endpoint of the first."""
    request = referee.tracked[name]
    for attempt in range(len(request.sent)):
        if attempt not in request.ended:
            referee.finish_attempt(name, attempt, Outcome.CANCELLED if request.answered else outcome)
    return request.sent[0][1]


def test_no_endpoint_has_far_more_requests_in_flight_than_the_others() -> None:
    """A local endpoint had 46 requests in flight and the others 3 each: mean latency showed the overload too late."""
    referee = one_local_endpoint()
    sent = [send.endpoint for _ in range(40) for send in sends(referee.arrive(0)[1])]
    assert max(sent.count(name) for name in referee.listed) <= len(sent) / 2


def test_an_unresponsive_endpoint_gets_few_requests_and_these_are_sent_elsewhere_too() -> None:
    """A failed machine kept its connections open: requests waited there until their deadlines."""
    referee = one_local_endpoint()
    local = next(iter(referee.listed))
    for _ in range(100):
        name, _ = referee.arrive(0)
        referee.advance(100.0)
        answer_request(referee, name)
    stuck: list[str] = []
    for _ in range(40):
        name, _ = referee.arrive(0)
        stuck += [name] if referee.tracked[name].sent[0][1] == local else []
        referee.advance(50.0)
        for request in [each for each in referee.tracked.values() if not each.answered and each.sent[-1][1] != local]:
            referee.finish_attempt(request.arrival.request, len(request.sent) - 1)
    assert 0 < len(stuck) < 12
    # Requests stuck there do not count against the concurrency limit.
    assert {endpoint.endpoint.name for endpoint in referee.balancer.unresponsive} == {local}
    assert all(referee.tracked[name].answered for name in stuck[:-1])  # none waits only for the unresponsive endpoint


def test_a_response_ends_the_unresponsive_state() -> None:
    referee = one_local_endpoint()
    local = referee.balancer.registry.endpoints[next(iter(referee.listed))]
    local.unresponsive = True
    referee.balancer.unresponsive.add(local)
    while True:
        name, _ = referee.arrive(0)
        if answer_request(referee, name) == local.endpoint.name:
            break
    assert not local.unresponsive and not referee.balancer.unresponsive


def test_requests_leave_their_zone_if_its_endpoint_fails_fast() -> None:
    """A local endpoint that responded 500 within 2 ms got half of all requests, since it was never slow."""
    balancer = one_local_endpoint().balancer
    for endpoint in balancer.registry.endpoints.values():
        own = endpoint.endpoint.zone == 0
        endpoint.successes, endpoint.failures = (0.0, 10.0) if own else (5.0, 0.0)
        balancer.observed[endpoint] = None  # as if it had been sent requests
        balancer.total_successes, balancer.total_failures = (
            balancer.total_successes + endpoint.successes,
            balancer.total_failures + endpoint.failures,
        )
    for _ in range(2):  # the second update uses the success rates computed by the first
        update_weights(balancer, balancer.now)
    weights = {endpoint.endpoint.zone: endpoint.selection_weight for endpoint in balancer.registry.endpoints.values()}
    assert weights[0] < 0.05 * 3 * weights[1]


def test_a_request_whose_first_attempt_restricts_retries_goes_to_the_more_reliable_endpoint() -> None:
    # A deduplicated request was sent four times in a row to one endpoint of its zone, which failed two of three.
    tolerant = replace(ZONAL, late_weight=0.5)
    referee = Referee(make_settings(classes=(tolerant,)), listed=make_endpoints(8))
    balancer = referee.balancer
    failing = balancer.candidates[0][0]
    failing.success_rate = 0.4
    firsts = [
        draw_endpoint(balancer, referee.now, Request("c", tolerant, ClassLatency(), 3, 1e9, 1e9), None)
        for _ in range(400)
    ]
    assert firsts.count(failing) > 20  # it is drawn ...
    for _ in range(100):
        name, actions = referee.arrive(0)
        (send,) = sends(actions)  # not hedged, since it is not urgent
        assert send.endpoint != failing.endpoint.name  # ... but the other candidate is used
        referee.finish_attempt(name, 0, Outcome.OK)


def send_steadily(referee: Referee, steps: int, outcome: Outcome) -> None:
    """Send a request every 50 ms, `steps` times. Each attempt ends 50 ms later with `outcome`."""
    for _ in range(steps):
        name, _ = referee.arrive(0)
        referee.advance(50.0)
        request = referee.tracked[name]
        for attempt in range(len(request.sent)):
            if attempt not in request.ended and not request.answered:
                referee.finish_attempt(name, attempt, outcome)


def test_sustained_goodput_falls_while_responses_miss_their_objective() -> None:
    """After a burst, overloaded endpoints missed nearly every request for 25 s, while the goodput before the burst,
    which decayed by only a tenth per window, kept the limit high."""
    referee = Referee(make_settings(classes=(READ,)), listed=make_endpoints(5))
    send_steadily(referee, 200, Outcome.OK)
    before = referee.balancer.admission.sustained_goodput
    assert before > 0
    send_steadily(referee, 60, Outcome.ERROR)  # six windows of failures
    assert referee.balancer.admission.sustained_goodput < 0.3 * before


def test_sustained_goodput_outlasts_a_lull() -> None:
    """Fewer requests, all answered in time, do not mean less capacity: the limit must not fall in a lull."""
    referee = Referee(make_settings(classes=(READ,)), listed=make_endpoints(5))
    send_steadily(referee, 200, Outcome.OK)
    before = referee.balancer.admission.sustained_goodput
    for _ in range(6):  # six windows with one request each
        send_steadily(referee, 1, Outcome.OK)
        referee.advance(450.0)
    assert referee.balancer.admission.sustained_goodput > 0.5 * before


@pytest.mark.parametrize("attempt_limit", [1, 2, 4])
def test_a_request_with_a_single_use_body_has_at_most_the_allowed_attempts(attempt_limit: int) -> None:
    """Such a request may be sent elsewhere while no part of its body was sent. Each time raised its limit by one."""
    referee = Referee(make_settings(max_attempts=attempt_limit), listed=make_endpoints(7))
    name, _ = referee.arrive(0, single_use_body=True)
    for attempt in range(attempt_limit):
        assert len(referee.tracked[name].sent) == attempt + 1
        referee.finish_attempt(name, attempt, Outcome.ERROR)
    assert len(referee.tracked[name].sent) == attempt_limit and referee.tracked[name].answered
