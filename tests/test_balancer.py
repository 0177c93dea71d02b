"""Copies, the gate, placement and health, by example; the referee checks every action."""

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


def test_refused_calls_earn_no_copies() -> None:
    """Incident i4bceea: at a full entry, refused calls paid for copies of the few let in."""
    referee = Referee(make_settings(), listed=make_endpoints(5))
    referee.balancer.retry_budget = 0.0
    for _ in range(100):
        referee.arrive(0, budget_ms=0.0)
    assert referee.balancer.retry_budget == 0.0


def test_a_small_entry_takes_a_handful_at_once() -> None:
    """At ten calls a second, chance alone passed what the pace allowed: 4% were refused untried."""
    referee = Referee(make_settings(classes=(READ,)), listed=make_endpoints(5))
    for _ in range(40):  # a quiet day: one call at a time, answered in time
        name, _ = referee.arrive(0)
        referee.advance(100.0)
        for attempt in range(len(referee.tracked[name].sent)):
            referee.finish_attempt(name, attempt, Outcome.CANCELLED if referee.tracked[name].answered else Outcome.OK)
    burst = [referee.arrive(0)[1] for _ in range(10)]
    assert not any(isinstance(act, RejectRequest) for acts in burst for act in acts)


def test_keyed_copy_keeps_its_group_in_a_large_group() -> None:
    """Incident i213c49: with large cells a copy was let through because it stood in the same zone."""
    rows = tuple(row._replace(cell=i % 2, zone=0) for i, row in enumerate(make_endpoints(50)))
    referee = Referee(make_settings(classes=(WRITE,)), listed=rows)
    copies = 0
    for turn in range(400):
        name, _ = referee.arrive(0)
        referee.advance(150.0 if turn % 16 < 8 else 200.0)
        copies += len(referee.tracked[name].sent) == 2
        for attempt in range(len(referee.tracked[name].sent)):
            over = referee.tracked[name].answered
            referee.finish_attempt(name, attempt, Outcome.CANCELLED if over else Outcome.OK)
    assert copies


def test_gate_closes_at_a_full_entry() -> None:
    """A tier never seen idle shows no low mean: how full the entry is must close the gate."""
    referee = Referee(make_settings(classes=(READ,)), listed=make_endpoints(5))
    balancer = referee.balancer
    one, two = balancer.candidates[0][:2]
    name, _ = referee.arrive(0)
    call = balancer.requests[name]
    balancer.class_latencies[balancer.settings.classes[0].name].mean_ms, balancer.hedgeable = 150.0, balancer.arrivals
    for server in (one, two):
        server.latency_ratio, server.profile.lowest, server.in_flight = 1.2, 1.0, 0
    assert hedge_pays_off(balancer, referee.now, call, one, two, 1.0)
    balancer.in_flight, balancer.mean_in_flight, balancer.admission.concurrency_limit = 20, 20.0, 20.0
    assert not hedge_pays_off(balancer, referee.now, call, one, two, 1.0)


@pytest.mark.parametrize("layer", [0, 1])
def test_the_doors_bound_closes_the_gate_only_where_calls_are_turned_away(layer: int) -> None:
    """Lower tiers turn nothing away, yet a bound of theirs kept copies from urgent calls at an idle pair."""
    referee = Referee(make_settings(classes=(READ,), tier_index=layer), listed=make_endpoints(5))
    steady(referee, 200, Outcome.OK)
    balancer = referee.balancer
    name, _ = referee.arrive(0)
    one, two = balancer.candidates[0][:2]
    one.utilisation = two.utilisation = 0.2
    one.utilisation_at = two.utilisation_at = referee.now
    one.in_flight = two.in_flight = 0
    balancer.in_flight, balancer.hedgeable = 100, balancer.arrivals
    assert hedge_pays_off(balancer, referee.now, balancer.requests[name], one, two, 1.0) is bool(layer)
    assert (balancer.admission.concurrency_limit < inf) is not bool(layer)


def test_gate_where_formula_one_says() -> None:
    """By hand: v = 100, t = 1000 - 100. At load 0.2 a lone miss is 0.2 e^-7.2 = 1.5e-4 and a pair's, at 0.4,
    (0.4 e^-5.4)^2 = 3.3e-6: copy. At load 0.6 copies make both loads 1.2, a sure miss: no copy."""
    referee = Referee(make_settings(classes=(READ,)), listed=make_endpoints(5))
    balancer = referee.balancer
    one, two = balancer.candidates[0][:2]
    name, _ = referee.arrive(0)
    call = balancer.requests[name]
    balancer.class_latencies[balancer.settings.classes[0].name].mean_ms, balancer.hedgeable = 100.0, balancer.arrivals
    for load, copies in ((0.2, True), (0.6, False)):
        one.utilisation = two.utilisation = load
        one.utilisation_at = two.utilisation_at = referee.now
        one.in_flight = two.in_flight = 0
        assert hedge_pays_off(balancer, referee.now, call, one, two, 1.0) is copies


def test_placement_follows_shares() -> None:
    """Even shares: each of eight upstreams gets an eighth of the draws, within four standard deviations."""
    referee = Referee(make_settings(), 5, make_endpoints(8))
    call = Request("c", READ, ClassLatency(), 3, 1e9, 1e9)
    drawn = [draw_endpoint(referee.balancer, referee.now, call, None) for _ in range(8000)]
    for server in referee.balancer.candidates[0]:
        assert abs(drawn.count(server) - 1000) < 4 * (8000 * 0.125 * 0.875) ** 0.5


@pytest.mark.parametrize("outcome", list(Outcome))
@pytest.mark.parametrize("index", range(4))
def test_each_outcome_leads_to_one_answer(index: int, outcome: Outcome) -> None:
    referee = Referee(make_settings(), listed=make_endpoints(7))
    name, _ = referee.arrive(index)
    while not referee.tracked[name].answered:
        held = referee.tracked[name]
        waiting = [i for i in range(len(held.sent)) if i not in held.ended]
        referee.finish_attempt(name, waiting[0], outcome)


@pytest.mark.parametrize("slow", [1, 8])
def test_slow_upstream_is_sent_less_and_all_slow_are_not(slow: int) -> None:
    referee = Referee(make_settings(max_attempts=1), listed=make_endpoints(8))
    names = [row.name for row in make_endpoints(8)[:slow]]
    got = dict.fromkeys([row.name for row in make_endpoints(8)], 0)
    for _ in range(800):
        name, _ = referee.arrive(0)
        upstream = referee.tracked[name].sent[0][1]
        got[upstream] += 1
        referee.advance(300.0 if upstream in names else 30.0)
        referee.finish_attempt(name, 0)
    assert (got[names[0]] < 50) == (slow == 1)


def near_and_far() -> Referee:
    """One upstream in the own zone, three in others; crossing has its price."""
    rows = tuple(row._replace(zone=int(i > 0), cell=0) for i, row in enumerate(make_endpoints(4)))
    return Referee(make_settings(classes=(READ,), cross_zone_cost=0.015, max_attempts=4), listed=rows)


def answer(referee: Referee, name: str, outcome: Outcome = Outcome.OK) -> str:
    """The first invoker call ends so, all others are cancelled; tells whom it went to."""
    held = referee.tracked[name]
    for attempt in range(len(held.sent)):
        if attempt not in held.ended:
            referee.finish_attempt(name, attempt, Outcome.CANCELLED if held.answered else outcome)
    return held.sent[0][1]


def test_no_upstream_holds_far_more_than_the_others() -> None:
    """A near upstream was sent 46 calls while the others held 3 each: it jammed before its mean showed it."""
    referee = near_and_far()
    sent = [send.endpoint for _ in range(40) for send in sends(referee.arrive(0)[1])]
    assert max(sent.count(name) for name in referee.listed) <= len(sent) / 2


def test_an_upstream_gone_silent_gets_one_call_at_a_time_and_its_calls_go_elsewhere() -> None:
    """A machine that vanished kept its connections open: calls hung there for all their time."""
    referee = near_and_far()
    near = next(iter(referee.listed))
    for _ in range(100):
        name, _ = referee.arrive(0)
        referee.advance(100.0)
        answer(referee, name)
    hung: list[str] = []
    for _ in range(40):
        name, _ = referee.arrive(0)
        hung += [name] if referee.tracked[name].sent[0][1] == near else []
        referee.advance(50.0)
        for held in [h for h in referee.tracked.values() if not h.answered and h.sent[-1][1] != near]:
            referee.finish_attempt(held.arrival.request, len(held.sent) - 1)
    assert 0 < len(hung) < 12
    assert {s.endpoint.name for s in referee.balancer.unresponsive} == {
        near
    }  # what hangs there does not fill the entry
    assert all(referee.tracked[name].answered for name in hung[:-1])  # none waits for the silent one alone


def test_an_upstream_that_is_heard_again_is_silent_no_more() -> None:
    referee = near_and_far()
    near = referee.balancer.registry.endpoints[next(iter(referee.listed))]
    near.unresponsive = True
    referee.balancer.unresponsive.add(near)
    while True:
        name, _ = referee.arrive(0)
        if answer(referee, name) == near.endpoint.name:
            break
    assert not near.unresponsive and not referee.balancer.unresponsive


def test_failures_at_once_let_calls_leave_the_own_zone() -> None:
    """A near upstream that answered 500 within 2 ms got half of all calls: it was never slow."""
    balancer = near_and_far().balancer
    for server in balancer.registry.endpoints.values():
        own = server.endpoint.zone == 0
        server.successes, server.failures = (0.0, 10.0) if own else (5.0, 0.0)
        balancer.observed[server] = None  # as whoever has been sent to
        balancer.total_successes, balancer.total_failures = (
            balancer.total_successes + server.successes,
            balancer.total_failures + server.failures,
        )
    for _ in range(2):  # the second sees what the first has made of the evidence
        update_weights(balancer, balancer.now)
    share = {server.endpoint.zone: server.selection_weight for server in balancer.registry.endpoints.values()}
    assert share[0] < 0.05 * 3 * share[1]


def test_a_call_that_its_first_attempt_binds_goes_to_the_steadier_of_two() -> None:
    # Guards keyed calls: tried four times in a row at the one box of its zone, which fails two of three.
    lax = replace(ZONAL, late_weight=0.5)
    referee = Referee(make_settings(classes=(lax,)), listed=make_endpoints(8))
    balancer = referee.balancer
    ill = balancer.candidates[0][0]
    ill.success_rate = 0.4
    firsts = [
        draw_endpoint(balancer, referee.now, Request("c", lax, ClassLatency(), 3, 1e9, 1e9), None) for _ in range(400)
    ]
    assert firsts.count(ill) > 20  # it is drawn ...
    for _ in range(100):
        name, actions = referee.arrive(0)
        (send,) = sends(actions)  # and no copy: it is lax
        assert send.endpoint != ill.endpoint.name  # ... and the other one taken
        referee.finish_attempt(name, 0, Outcome.OK)


def steady(referee: Referee, spans: int, outcome: Outcome) -> None:
    """A call every 50 ms, each attempt ended 50 ms later with `outcome`, for `spans` such steps."""
    for _ in range(spans):
        name, _ = referee.arrive(0)
        referee.advance(50.0)
        held = referee.tracked[name]
        for attempt in range(len(held.sent)):
            if attempt not in held.ended and not held.answered:
                referee.finish_attempt(name, attempt, outcome)


def test_pace_falls_while_answers_miss() -> None:
    """Overload day of the second deployment: after a burst a choked fleet missed nearly every call for 25 s,
    while the pace it had shown before kept the entry open, falling by a tenth a window only."""
    referee = Referee(make_settings(classes=(READ,)), listed=make_endpoints(5))
    steady(referee, 200, Outcome.OK)
    before = referee.balancer.admission.sustained_goodput
    assert before > 0
    steady(referee, 60, Outcome.ERROR)  # six windows of misses
    assert referee.balancer.admission.sustained_goodput < 0.3 * before


def test_pace_holds_through_a_lull() -> None:
    """Fewer calls, all in time, are no loss of pace: the entry must not close on a quiet spell."""
    referee = Referee(make_settings(classes=(READ,)), listed=make_endpoints(5))
    steady(referee, 200, Outcome.OK)
    before = referee.balancer.admission.sustained_goodput
    for _ in range(6):  # six windows with one call each
        steady(referee, 1, Outcome.OK)
        referee.advance(450.0)
    assert referee.balancer.admission.sustained_goodput > 0.5 * before


@pytest.mark.parametrize("most", [1, 2, 4])
def test_a_long_call_is_tried_no_more_often_than_allowed(most: int) -> None:
    """What goes out once may go elsewhere while none of it is gone, and each time raised its own bound by one."""
    referee = Referee(make_settings(max_attempts=most), listed=make_endpoints(7))
    name, _ = referee.arrive(0, single_use_body=True)
    for attempt in range(most):
        assert len(referee.tracked[name].sent) == attempt + 1
        referee.finish_attempt(name, attempt, Outcome.ERROR)
    assert len(referee.tracked[name].sent) == most and referee.tracked[name].answered
