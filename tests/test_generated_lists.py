"""The decisions over generated lists, load reports, new settings and ejections: none fails, and the rules hold.

`HYPOTHESIS_EXAMPLES=5000 python3 -m tests tests/test_generated_lists.py` plays more than CI does.
"""

from __future__ import annotations

import os
from typing import NamedTuple

from hypothesis import given
from hypothesis import settings as drawn
from hypothesis import strategies as st

from limenotch.balancing.events import MembershipKind
from limenotch.balancing.types import Endpoint, EndpointState, Outcome

from .referee import Referee, make_settings

EXAMPLES = int(os.environ.get("HYPOTHESIS_EXAMPLES", "150"))
NAMES = tuple(f"e{number}" for number in range(6))


class Listed(NamedTuple):
    """An update of the list; starts are in ms before it, or after it where they are negative."""

    kind: MembershipKind
    entries: list[tuple[Endpoint, float | None]]


class Arrived(NamedTuple):
    """Requests of one class, some ms apart."""

    traffic_class: int
    budget_ms: float
    single_use_body: bool
    requests: int
    gap_ms: float


class Ended(NamedTuple):
    """An attempt that is out, by a number to choose it by, with its load report."""

    number: int
    outcome: Outcome
    utilisation: float | None
    requests_per_s: float | None


class Waited(NamedTuple):
    """Time passes, in ms."""

    span_ms: float


class Ejected(NamedTuple):
    """An operator ejects or readmits."""

    name: str
    ejected: bool


class Retuned(NamedTuple):
    """New settings."""

    may_hedge: bool
    may_cancel: bool
    max_attempts: int
    cross_zone_cost: float
    weights_listed: bool
    zone: int


Step = Listed | Arrived | Ended | Waited | Ejected | Retuned

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
    Listed,
    st.sampled_from((MembershipKind.COMPLETE, MembershipKind.INCREMENTAL, MembershipKind.UNAVAILABLE)),
    st.lists(st.tuples(ENTRIES, st.sampled_from((None, None, 20_000.0, 50.0, -5000.0))), max_size=8),
)
REPORTED = st.sampled_from((None, 0.0, 0.0, 1e-9, 0.3, 1.0))
STEPS: st.SearchStrategy[Step] = st.one_of(
    LISTS,
    st.builds(
        Arrived,
        st.integers(0, 3),
        st.sampled_from((40.0, 900.0, 3000.0)),
        st.booleans(),
        st.integers(1, 8),
        st.sampled_from((0.0, 20.0, 200.0)),
    ),
    st.builds(
        Ended,
        st.integers(0, 1000),
        st.sampled_from([outcome for outcome in Outcome if outcome is not Outcome.CANCELLED]),
        REPORTED,
        st.sampled_from((None, 0.0, 10.0, 1e5)),
    ),
    st.builds(Waited, st.sampled_from((1.0, 100.0, 1000.0, 30_000.0))),
    st.builds(Ejected, st.sampled_from(NAMES), st.booleans()),
    st.builds(
        Retuned,
        st.booleans(),
        st.booleans(),
        st.integers(1, 4),
        st.sampled_from((0.0, 0.05)),
        st.booleans(),
        st.integers(0, 2),
    ),
)


def play(referee: Referee, step: Step) -> None:
    """Carry out one step."""
    if isinstance(step, Listed):
        rows = tuple(
            entry._replace(started_ms=0.0 if age_ms is None else max(referee.now - age_ms, 1.0))
            for entry, age_ms in step.entries
        )
        if step.kind is not MembershipKind.UNAVAILABLE:
            referee.update_endpoints(rows, step.kind)
        return
    if isinstance(step, Arrived):
        for _ in range(step.requests):
            referee.arrive(step.traffic_class, step.budget_ms, single_use_body=step.single_use_body)
            wait(referee, step.gap_ms)
    elif isinstance(step, Ended):
        end(referee, step)
    elif isinstance(step, Waited):
        wait(referee, step.span_ms)
    elif isinstance(step, Ejected):
        referee.set_ejected(step.name, step.ejected)
    else:
        referee.change_settings(make_settings(**step._asdict()))


def wait(referee: Referee, span_ms: float) -> None:
    """Clients leave at their deadlines."""
    referee.advance(span_ms)
    for held in [each for each in referee.tracked.values() if not each.answered and each.deadline <= referee.now]:
        referee.disconnect_client(held.arrival.request)


def end(referee: Referee, step: Ended) -> None:
    out = [
        (name, number)
        for name, held in referee.tracked.items()
        for number in range(len(held.sent))
        if number not in held.ended
    ]
    if out:
        name, number = out[step.number % len(out)]
        outcome = Outcome.CANCELLED if referee.tracked[name].answered else step.outcome
        referee.finish_attempt(name, number, outcome, step.utilisation, step.requests_per_s)


def check_availability(referee: Referee) -> None:
    """Available is exactly what is listed as ready and not ejected by operators."""
    expected = {
        name
        for name, row in referee.listed.items()
        if row.state is EndpointState.READY and name not in referee.ejected_names
    }
    balancer = referee.balancer
    available = [endpoint for members in balancer.by_locality for endpoint in members]
    assert sorted(endpoint.endpoint.name for endpoint in available) == sorted(expected)
    assert all(
        endpoint.available and endpoint.endpoint == referee.listed[endpoint.endpoint.name] for endpoint in available
    )


@drawn(max_examples=EXAMPLES)
@given(st.lists(STEPS, max_size=60), st.integers(0, 9), st.sampled_from((0.0, 0.05)), st.integers(0, 1))
def test_rules_hold_and_no_event_fails_over_generated_lists_and_reports(
    steps: list[Step], seed: int, cross_zone_cost: float, tier_index: int
) -> None:
    # Guards against lists, reports and settings that no healthy deployment sends, in any order.
    referee = Referee(make_settings(cross_zone_cost=cross_zone_cost, tier_index=tier_index), seed)
    for step in steps:
        play(referee, step)
        check_availability(referee)
    referee.run_to_deadlines()
    assert referee.balancer.in_flight == sum(
        number not in held.ended and not held.arrival.single_use_body
        for held in referee.tracked.values()
        for number in range(len(held.sent))
    )
