"""The decisions under random endpoint lists, load reports, settings and ejections: no event fails, no rule is broken.

`HYPOTHESIS_EXAMPLES=5000 python3 -m tests tests/test_generated_lists.py` runs more examples than CI does.
"""

from __future__ import annotations

import os
from typing import NamedTuple

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from limenotch.balancing.events import MembershipKind
from limenotch.balancing.types import Endpoint, EndpointState, Outcome

from .referee import Referee, make_settings

EXAMPLES = int(os.environ.get("HYPOTHESIS_EXAMPLES", "150"))
NAMES = tuple(f"e{number}" for number in range(6))


class ListUpdate(NamedTuple):
    """An update of the endpoint list. The ages of the processes are in ms, negative for a start in the future."""

    kind: MembershipKind
    entries: list[tuple[Endpoint, float | None]]


class Arrivals(NamedTuple):
    """Requests of one class, `gap_ms` apart."""

    traffic_class: int
    budget_ms: float
    single_use_body: bool
    requests: int
    gap_ms: float


class AttemptEnd(NamedTuple):
    """The end of an attempt in flight, which is chosen by `number`, with its load report."""

    number: int
    outcome: Outcome
    utilisation: float | None
    requests_per_s: float | None


class Wait(NamedTuple):
    """Time passes."""

    span_ms: float


class Ejection(NamedTuple):
    """An operator ejects or readmits an endpoint."""

    name: str
    ejected: bool


class SettingsChange(NamedTuple):
    """New settings."""

    may_hedge: bool
    may_cancel: bool
    max_attempts: int
    cross_zone_cost: float
    weights_listed: bool
    zone: int


Step = ListUpdate | Arrivals | AttemptEnd | Wait | Ejection | SettingsChange

ENTRIES = st.builds(
    Endpoint,
    st.sampled_from(NAMES),
    st.sampled_from((EndpointState.READY, EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE)),
    st.sampled_from((0.0, 1.0, 1.0, 1000.0)),
    st.integers(0, 1),
    st.integers(0, 2),
    st.integers(0, 1),
)
LISTS = st.builds(
    ListUpdate,
    st.sampled_from((MembershipKind.COMPLETE, MembershipKind.INCREMENTAL, MembershipKind.UNAVAILABLE)),
    st.lists(st.tuples(ENTRIES, st.sampled_from((None, None, 20_000.0, 50.0, -5000.0))), max_size=8),
)
REPORTED = st.sampled_from((None, 0.0, 0.0, 1e-9, 0.3, 1.0))
STEPS: st.SearchStrategy[Step] = st.one_of(
    LISTS,
    st.builds(
        Arrivals,
        st.integers(0, 3),
        st.sampled_from((40.0, 900.0, 3000.0)),
        st.booleans(),
        st.integers(1, 8),
        st.sampled_from((0.0, 20.0, 200.0)),
    ),
    st.builds(
        AttemptEnd,
        st.integers(0, 1000),
        st.sampled_from([outcome for outcome in Outcome if outcome is not Outcome.CANCELLED]),
        REPORTED,
        st.sampled_from((None, 0.0, 10.0, 1e5)),
    ),
    st.builds(Wait, st.sampled_from((1.0, 100.0, 1000.0, 30_000.0))),
    st.builds(Ejection, st.sampled_from(NAMES), st.booleans()),
    st.builds(
        SettingsChange,
        st.booleans(),
        st.booleans(),
        st.integers(1, 4),
        st.sampled_from((0.0, 0.05)),
        st.booleans(),
        st.integers(0, 2),
    ),
)


def apply_step(referee: Referee, step: Step) -> None:
    """Apply one step."""
    if isinstance(step, ListUpdate):
        entries = tuple(
            entry._replace(started_ms=0.0 if age_ms is None else max(referee.now - age_ms, 1.0))
            for entry, age_ms in step.entries
        )
        if step.kind is not MembershipKind.UNAVAILABLE:
            referee.update_endpoints(entries, step.kind)
        return
    if isinstance(step, Arrivals):
        for _ in range(step.requests):
            referee.arrive(step.traffic_class, step.budget_ms, single_use_body=step.single_use_body)
            advance(referee, step.gap_ms)
    elif isinstance(step, AttemptEnd):
        end_attempt(referee, step)
    elif isinstance(step, Wait):
        advance(referee, step.span_ms)
    elif isinstance(step, Ejection):
        referee.set_ejected(step.name, step.ejected)
    else:
        referee.change_settings(make_settings(**step._asdict()))


def advance(referee: Referee, span_ms: float) -> None:
    """Let time pass. Clients disconnect at their deadlines."""
    referee.advance(span_ms)
    for request in [each for each in referee.tracked.values() if not each.answered and each.deadline <= referee.now]:
        referee.disconnect_client(request.arrival.request)


def end_attempt(referee: Referee, step: AttemptEnd) -> None:
    in_flight = [
        (name, number)
        for name, request in referee.tracked.items()
        for number in range(len(request.sent))
        if number not in request.ended
    ]
    if in_flight:
        name, number = in_flight[step.number % len(in_flight)]
        outcome = Outcome.CANCELLED if referee.tracked[name].answered else step.outcome
        referee.finish_attempt(name, number, outcome, step.utilisation, step.requests_per_s)


def check_availability(referee: Referee) -> None:
    """The available endpoints are exactly those listed as ready and not ejected by operators."""
    expected = {
        name
        for name, entry in referee.listed.items()
        if entry.state is EndpointState.READY and name not in referee.ejected_names
    }
    balancer = referee.balancer
    available = [endpoint for members in balancer.by_locality for endpoint in members]
    assert sorted(endpoint.endpoint.name for endpoint in available) == sorted(expected)
    assert all(
        endpoint.available and endpoint.endpoint == referee.listed[endpoint.endpoint.name] for endpoint in available
    )


@hypothesis_settings(max_examples=EXAMPLES)
@given(st.lists(STEPS, max_size=60), st.integers(0, 9), st.sampled_from((0.0, 0.05)), st.integers(0, 1))
def test_no_generated_list_report_or_settings_breaks_a_rule_or_fails_an_event(
    steps: list[Step], seed: int, cross_zone_cost: float, tier_index: int
) -> None:
    # These include lists, reports and settings that no healthy deployment sends, in any order.
    referee = Referee(make_settings(cross_zone_cost=cross_zone_cost, tier_index=tier_index), seed)
    for step in steps:
        apply_step(referee, step)
        check_availability(referee)
    referee.run_to_deadlines()
    assert referee.balancer.in_flight == sum(
        number not in request.ended and not request.arrival.single_use_body
        for request in referee.tracked.values()
        for number in range(len(request.sent))
    )
