"""Placement hints: a preferred endpoint, or the deduplication group in which the request may already have run."""

from __future__ import annotations

from dataclasses import replace
from math import inf

import pytest

from limenotch.balancing.actions import RejectRequest, SendAttempt
from limenotch.balancing.events import MembershipKind, RequestArrived
from limenotch.balancing.types import DedupScope, Effect, Endpoint, EndpointState, Outcome, PriorExecution, TrafficClass
from limenotch.load_balancer import LoadBalancer
from limenotch.load_balancer_types import (
    AttemptEnding,
    DiscoveredEndpoint,
    DiscoveryStatus,
    PlacementHint,
    StartAttempt,
)

from .referee import PAY, READ, WRITE, ZONAL, Referee, TrackedRequest, make_endpoints, make_settings, sends

ANYWHERE = TrafficClass("anywhere", Effect.DEDUPLICATED, 1000.0, 3000.0, 3.0, 0.0, DedupScope.ALL, 1500.0)
CLASSES = (READ, WRITE, ZONAL, PAY, ANYWHERE)
PREFERRED = "10.0.0.4:80"  # in zone 0 and cell 1
ENDPOINT_COUNT = 9


class HintedReferee(Referee):
    """A referee whose requests have hints. It still checks every rule."""

    def __init__(self, listed: tuple[Endpoint, ...] | None = None, **changes: object) -> None:
        super().__init__(
            make_settings(classes=CLASSES, **changes),
            listed=make_endpoints(ENDPOINT_COUNT) if listed is None else listed,
        )

    def send(self, traffic_class: TrafficClass = READ, preferred: str = "", prior: PriorExecution | None = None) -> str:
        """Send a request; return its name."""
        self.request_count += 1
        name = f"request-{self.request_count}"
        arrival = RequestArrived(
            name, CLASSES.index(traffic_class), 3000.0, preferred_endpoint=preferred, prior_execution=prior
        )
        self.tracked[name] = TrackedRequest(
            arrival, self.now + 3000.0, max_attempts=self.current_settings.max_attempts, traffic_class=traffic_class
        )
        self.handle_event(arrival)
        return name

    def endpoints_of(self, name: str) -> list[str]:
        return [endpoint for _, endpoint in self.tracked[name].sent]

    def serve(
        self, traffic_class: TrafficClass = READ, preferred: str = "", prior: PriorExecution | None = None
    ) -> str:
        """Send a request that is answered after 100 ms; return the endpoint of its first attempt."""
        name = self.send(traffic_class, preferred, prior)
        first = self.endpoints_of(name)[0]
        self.advance(100.0)
        for attempt in range(len(self.endpoints_of(name))):
            self.finish_attempt(name, attempt)
        return first

    def is_rejected(self, traffic_class: TrafficClass, prior: PriorExecution) -> bool:
        """Whether a request is rejected without an attempt, at once or later."""
        name = self.send(traffic_class, prior=prior)
        self.run_to_deadlines()
        assert self.tracked[name].answered
        return not self.endpoints_of(name) and any(
            isinstance(act, RejectRequest) and act.request == name for act in self.log
        )


def names_where(**where: int) -> set[str]:
    """Names of the endpoints in a zone or cell."""
    ((key, value),) = where.items()
    return {entry.name for entry in make_endpoints(ENDPOINT_COUNT) if getattr(entry, key) == value}


# Preferred endpoint


@pytest.mark.parametrize("traffic_class", CLASSES)
def test_a_request_goes_to_its_preferred_endpoint_while_that_accepts_requests(traffic_class: TrafficClass) -> None:
    referee = HintedReferee()
    assert {referee.serve(traffic_class, PREFERRED) for _ in range(50)} == {PREFERRED}
    assert len({referee.serve(traffic_class) for _ in range(50)}) > 3  # without a hint, endpoints vary


def test_a_request_goes_elsewhere_if_its_preferred_endpoint_is_draining_removed_or_unknown() -> None:
    for state in (EndpointState.DRAINING, EndpointState.GONE):
        referee = HintedReferee()
        entry = next(entry for entry in make_endpoints(ENDPOINT_COUNT) if entry.name == PREFERRED)
        referee.update_endpoints((entry._replace(state=state),), MembershipKind.INCREMENTAL)
        assert PREFERRED not in {referee.serve(preferred=PREFERRED) for _ in range(50)}
    assert HintedReferee().serve(preferred="10.9.9.9:80") in {entry.name for entry in make_endpoints(ENDPOINT_COUNT)}


def test_a_request_goes_elsewhere_while_its_preferred_endpoint_is_ejected() -> None:
    referee = HintedReferee()
    referee.set_ejected(PREFERRED, True)
    assert PREFERRED not in {referee.serve(preferred=PREFERRED) for _ in range(50)}
    referee.set_ejected(PREFERRED, False)
    referee.advance(2 * referee.current_settings.slow_start.warmup_ms)  # a readmitted endpoint is in slow start
    assert referee.serve(preferred=PREFERRED) == PREFERRED


def test_a_request_goes_elsewhere_if_its_preferred_endpoint_is_unresponsive() -> None:
    referee = HintedReferee()
    for _ in range(200):
        referee.serve(PAY)  # the latency of its class is known by now
    names = [referee.send(PAY, preferred=PREFERRED) for _ in range(3)]
    assert [referee.endpoints_of(name) for name in names] == [[PREFERRED]] * 3
    referee.advance(1500.0)
    assert referee.balancer.registry.endpoints[PREFERRED].in_flight == 3
    assert PREFERRED not in {referee.serve(preferred=PREFERRED) for _ in range(20)}


def test_a_request_goes_elsewhere_while_its_preferred_endpoint_is_in_slow_start() -> None:
    entries = tuple(
        entry._replace(started_ms=999.0) if entry.name == PREFERRED else entry
        for entry in make_endpoints(ENDPOINT_COUNT)
    )
    # Infinite: this balancer may send nothing to endpoints in slow start.
    referee = HintedReferee(entries, agreed_slow_start_divisor=inf)
    assert PREFERRED not in {referee.serve(preferred=PREFERRED) for _ in range(50)}
    referee.advance(2 * referee.current_settings.slow_start.warmup_ms)
    assert referee.serve(preferred=PREFERRED) == PREFERRED


def test_a_request_goes_elsewhere_if_its_preferred_endpoint_is_overfull() -> None:
    referee = HintedReferee()
    endpoints = [referee.endpoints_of(referee.send(PAY, preferred=PREFERRED))[0] for _ in range(30)]
    assert endpoints[0] == PREFERRED and 0 < endpoints.count(PREFERRED) < 30


def test_a_retry_goes_to_another_endpoint_than_the_preferred_one() -> None:
    referee = HintedReferee()
    name = referee.send(READ, PREFERRED)
    referee.advance(10.0)
    referee.finish_attempt(name, 0, Outcome.RESET)
    first, second = referee.endpoints_of(name)
    assert first == PREFERRED != second


# The group in which it may have run


@pytest.mark.parametrize(("traffic_class", "group"), [(WRITE, names_where(cell=1)), (ZONAL, names_where(zone=1))])
def test_a_request_that_may_have_run_goes_to_the_group_that_drops_its_duplicates(
    traffic_class: TrafficClass, group: set[str]
) -> None:
    referee = HintedReferee()
    assert {referee.serve(traffic_class, prior=PriorExecution(1, 1, referee.now - 100.0)) for _ in range(80)} == group
    assert {referee.serve(traffic_class) for _ in range(80)} - group


def test_retries_of_a_request_that_may_have_run_stay_in_its_group() -> None:
    referee = HintedReferee()
    for _ in range(20):
        name = referee.send(WRITE, prior=PriorExecution(1, 1, referee.now - 100.0))
        referee.finish_attempt(name, 0, Outcome.RESET)
        assert len(referee.endpoints_of(name)) == 2 and set(referee.endpoints_of(name)) <= names_where(cell=1)
        referee.finish_attempt(name, 1)
        for _ in range(10):  # the retry budget is a share of all requests
            referee.serve()


@pytest.mark.parametrize("traffic_class", [READ, ANYWHERE])
def test_an_idempotent_request_or_one_deduplicated_everywhere_goes_to_any_endpoint(traffic_class: TrafficClass) -> None:
    referee = HintedReferee()
    first_endpoints = {referee.serve(traffic_class, prior=PriorExecution(1, 1, referee.now - 100.0)) for _ in range(80)}
    assert first_endpoints - names_where(cell=1) and first_endpoints - names_where(zone=1)


def test_a_request_that_may_have_run_is_rejected_after_its_deduplication_window() -> None:
    for age_ms, is_rejected in (
        (0.0, False),
        (WRITE.dedup_window_ms - 1.0, False),
        (WRITE.dedup_window_ms, True),
        (1e6, True),
    ):
        referee = HintedReferee()
        for traffic_class in (WRITE, ZONAL, ANYWHERE):
            assert referee.is_rejected(traffic_class, PriorExecution(1, 1, referee.now - age_ms)) is is_rejected, (
                traffic_class.name,
                age_ms,
            )


def test_a_request_that_may_have_run_and_must_not_run_twice_is_rejected() -> None:
    referee = HintedReferee()
    assert referee.is_rejected(PAY, PriorExecution(1, 1, referee.now - 100.0))


def test_a_request_that_may_have_run_is_rejected_if_no_endpoint_of_its_group_is_available() -> None:
    referee = HintedReferee()
    for name in names_where(cell=1):
        referee.set_ejected(name, True)
    assert referee.is_rejected(WRITE, PriorExecution(1, 1, referee.now - 100.0))
    assert not referee.is_rejected(ZONAL, PriorExecution(1, 1, referee.now - 100.0))  # its zone has other endpoints
    assert referee.is_rejected(WRITE, PriorExecution(1, 77, referee.now - 100.0))  # a group that does not exist
    referee.update_endpoints(
        tuple(
            entry._replace(state=EndpointState.DRAINING) for entry in make_endpoints(ENDPOINT_COUNT) if entry.zone == 1
        ),
        MembershipKind.INCREMENTAL,
    )
    assert referee.is_rejected(ZONAL, PriorExecution(1, 1, referee.now - 100.0))


def test_requests_that_may_have_run_are_rejected_in_restricted_mode() -> None:
    referee = HintedReferee()
    referee.change_settings(replace(referee.current_settings, restricted=True))
    for traffic_class in CLASSES:
        assert referee.is_rejected(traffic_class, PriorExecution(1, 1, referee.now - 100.0)), traffic_class.name
    assert referee.serve(WRITE)  # a request that has not run is served


def test_a_preferred_endpoint_within_the_group_is_used() -> None:
    referee = HintedReferee()
    assert PREFERRED in names_where(cell=1)
    assert referee.serve(WRITE, PREFERRED, PriorExecution(1, 1, referee.now - 100.0)) == PREFERRED


# LoadBalancer


def make_load_balancer() -> LoadBalancer:
    elapsed_ms = [0.0]
    balancer = LoadBalancer(make_settings(classes=CLASSES, zone=0), 5, ("a", "b"), clock=lambda: 1000.0 + elapsed_ms[0])
    balancer.start()
    balancer.endpoints_listed(
        [
            DiscoveredEndpoint(entry.name, ("h", 1), DiscoveryStatus.IN_SERVICE, "ab"[entry.zone], group=entry.cell)
            for entry in make_endpoints(ENDPOINT_COUNT)
        ],
        True,
    )
    return balancer


def first_endpoints(
    balancer: LoadBalancer, traffic_class: TrafficClass, hint: PlacementHint | None, times: int = 40
) -> set[str]:
    names: set[str] = set()
    for number in range(times):
        commands = balancer.request_arrived(number, traffic_class.name, "", 2900.0, hint=hint)
        sent = [command.endpoint for command in commands if isinstance(command, StartAttempt)]
        for attempt, name in enumerate(sent):
            balancer.attempt_finished(number, attempt, name, 10.0, AttemptEnding.SERVED, True)
        names.update(sent[:1])
    return names


def test_the_load_balancer_passes_hints_to_the_decisions() -> None:
    assert first_endpoints(make_load_balancer(), READ, PlacementHint(PREFERRED)) == {PREFERRED}
    assert first_endpoints(
        make_load_balancer(), WRITE, PlacementHint(may_have_run=True, zone="b", group=1, age_ms=100.0)
    ) <= names_where(cell=1)
    assert first_endpoints(
        make_load_balancer(), ZONAL, PlacementHint(may_have_run=True, zone="b", group=1, age_ms=100.0)
    ) <= names_where(zone=1)
    assert not first_endpoints(
        make_load_balancer(), WRITE, PlacementHint(may_have_run=True, zone="b", group=1, age_ms=WRITE.dedup_window_ms)
    )
    assert not first_endpoints(
        make_load_balancer(), ZONAL, PlacementHint(may_have_run=True, zone="of another list", age_ms=100.0)
    )


def test_a_hint_without_a_possible_execution_restricts_nothing() -> None:
    for hint in (None, PlacementHint(), PlacementHint(zone="b", group=1, age_ms=100.0)):
        assert first_endpoints(make_load_balancer(), WRITE, hint) - names_where(cell=1), hint


def test_a_request_rejected_because_of_its_hint_leaves_no_state() -> None:
    """No attempt is sent, and the balancer forgets the request."""
    referee = HintedReferee()
    assert referee.is_rejected(PAY, PriorExecution(0, 0, referee.now)) and not sends(referee.log)
    assert not referee.balancer.requests and not [act for act in referee.log if isinstance(act, SendAttempt)]
