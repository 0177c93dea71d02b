"""Where a call belongs by what was done for it elsewhere: with one upstream, or bound to the group where it ran."""

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
KEPT = "10.0.0.4:80"  # of zone 0 and cell 1
AMONG = 9


class Desk(Referee):
    """A referee whose calls come with a hint. Each rule is still checked."""

    def __init__(self, rows: tuple[Endpoint, ...] | None = None, **changes: object) -> None:
        super().__init__(
            make_settings(classes=CLASSES, **changes), listed=make_endpoints(AMONG) if rows is None else rows
        )

    def come(self, cls: TrafficClass = READ, prefer: str = "", bound: PriorExecution | None = None) -> str:
        """The call's name."""
        self.count += 1
        name = f"call-{self.count}"
        arrival = RequestArrived(name, CLASSES.index(cls), 3000.0, preferred_endpoint=prefer, prior_execution=bound)
        self.tracked[name] = TrackedRequest(
            arrival, self.now + 3000.0, most=self.current_settings.max_attempts, cls=cls
        )
        self.handle_event(arrival)
        return name

    def to(self, name: str) -> list[str]:
        return [upstream for _, upstream in self.tracked[name].sent]

    def place(self, cls: TrafficClass = READ, prefer: str = "", bound: PriorExecution | None = None) -> str:
        """Where its first attempt went; it is answered in 100 ms."""
        name = self.come(cls, prefer, bound)
        first = self.to(name)[0]
        self.advance(100.0)
        for attempt in range(len(self.to(name))):
            self.finish_attempt(name, attempt)
        return first

    def refused(self, cls: TrafficClass, bound: PriorExecution) -> bool:
        """Whether it was refused without an attempt, be it after a while."""
        name = self.come(cls, bound=bound)
        self.run_to_deadlines()
        assert self.tracked[name].answered
        return not self.to(name) and any(isinstance(act, RejectRequest) and act.request == name for act in self.log)


def of(**where: int) -> set[str]:
    """Names of those in that zone or cell."""
    ((key, value),) = where.items()
    return {row.name for row in make_endpoints(AMONG) if getattr(row, key) == value}


# One upstream


@pytest.mark.parametrize("cls", CLASSES)
def test_a_call_stays_with_its_upstream_while_that_may_take_work(cls: TrafficClass) -> None:
    desk = Desk()
    assert {desk.place(cls, KEPT) for _ in range(50)} == {KEPT}
    assert len({desk.place(cls) for _ in range(50)}) > 3  # by itself it goes anywhere


def test_it_goes_elsewhere_from_one_that_drains_is_gone_or_unknown() -> None:
    for stage in (EndpointState.DRAINING, EndpointState.GONE):
        desk = Desk()
        row = next(row for row in make_endpoints(AMONG) if row.name == KEPT)
        desk.update_endpoints((row._replace(state=stage),), MembershipKind.INCREMENTAL)
        assert KEPT not in {desk.place(prefer=KEPT) for _ in range(50)}
    assert Desk().place(prefer="10.9.9.9:80") in {row.name for row in make_endpoints(AMONG)}


def test_it_goes_elsewhere_while_its_upstream_is_banned() -> None:
    desk = Desk()
    desk.set_ejected(KEPT, True)
    assert KEPT not in {desk.place(prefer=KEPT) for _ in range(50)}
    desk.set_ejected(KEPT, False)
    desk.advance(2 * desk.current_settings.slow_start.warmup_ms)  # one that is back is cold
    assert desk.place(prefer=KEPT) == KEPT


def test_it_goes_elsewhere_from_one_that_has_gone_quiet() -> None:
    desk = Desk()
    for _ in range(200):
        desk.place(PAY)  # what a call of its class takes is known
    held = [desk.come(PAY, prefer=KEPT) for _ in range(3)]
    assert [desk.to(name) for name in held] == [[KEPT]] * 3
    desk.advance(1500.0)
    assert desk.balancer.registry.endpoints[KEPT].in_flight == 3
    assert KEPT not in {desk.place(prefer=KEPT) for _ in range(20)}


def test_it_goes_elsewhere_from_one_that_is_cold() -> None:
    rows = tuple(row._replace(started_ms=999.0) if row.name == KEPT else row for row in make_endpoints(AMONG))
    desk = Desk(rows, agreed_slow_start_divisor=inf)  # no part of what cold ones may be sent
    assert KEPT not in {desk.place(prefer=KEPT) for _ in range(50)}
    desk.advance(2 * desk.current_settings.slow_start.warmup_ms)
    assert desk.place(prefer=KEPT) == KEPT


def test_it_goes_elsewhere_from_one_that_is_crowded() -> None:
    desk = Desk()
    gone = [desk.to(desk.come(PAY, prefer=KEPT))[0] for _ in range(30)]
    assert gone[0] == KEPT and 0 < gone.count(KEPT) < 30


def test_its_repeat_goes_elsewhere() -> None:
    desk = Desk()
    name = desk.come(READ, KEPT)
    desk.advance(10.0)
    desk.finish_attempt(name, 0, Outcome.RESET)
    first, second = desk.to(name)
    assert first == KEPT != second


# The group where it may have run


@pytest.mark.parametrize(("cls", "group"), [(WRITE, of(cell=1)), (ZONAL, of(zone=1))])
def test_a_call_that_may_have_run_goes_to_the_group_that_drops_its_repeats(cls: TrafficClass, group: set[str]) -> None:
    desk = Desk()
    assert {desk.place(cls, bound=PriorExecution(1, 1, desk.now - 100.0)) for _ in range(80)} == group
    assert {desk.place(cls) for _ in range(80)} - group


def test_so_do_its_repeats() -> None:
    desk = Desk()
    for _ in range(20):
        name = desk.come(WRITE, bound=PriorExecution(1, 1, desk.now - 100.0))
        desk.finish_attempt(name, 0, Outcome.RESET)
        assert len(desk.to(name)) == 2 and set(desk.to(name)) <= of(cell=1)
        desk.finish_attempt(name, 1)
        for _ in range(10):  # repeats are a share of all calls
            desk.place()


@pytest.mark.parametrize("cls", [READ, ANYWHERE])
def test_a_call_that_may_run_twice_or_is_dropped_everywhere_goes_anywhere(cls: TrafficClass) -> None:
    desk = Desk()
    placed = {desk.place(cls, bound=PriorExecution(1, 1, desk.now - 100.0)) for _ in range(80)}
    assert placed - of(cell=1) and placed - of(zone=1)


def test_within_its_window_only() -> None:
    for ago, refused in (
        (0.0, False),
        (WRITE.dedup_window_ms - 1.0, False),
        (WRITE.dedup_window_ms, True),
        (1e6, True),
    ):
        desk = Desk()
        for cls in (WRITE, ZONAL, ANYWHERE):
            assert desk.refused(cls, PriorExecution(1, 1, desk.now - ago)) is refused, (cls.name, ago)


def test_what_may_run_once_is_refused() -> None:
    desk = Desk()
    assert desk.refused(PAY, PriorExecution(1, 1, desk.now - 100.0))


def test_refused_where_nobody_of_its_group_may_be_sent_to() -> None:
    desk = Desk()
    for name in of(cell=1):
        desk.set_ejected(name, True)
    assert desk.refused(WRITE, PriorExecution(1, 1, desk.now - 100.0))
    assert not desk.refused(ZONAL, PriorExecution(1, 1, desk.now - 100.0))  # others of its zone
    assert desk.refused(WRITE, PriorExecution(1, 77, desk.now - 100.0))  # nobody ever heard of it
    desk.update_endpoints(
        tuple(row._replace(state=EndpointState.DRAINING) for row in make_endpoints(AMONG) if row.zone == 1),
        MembershipKind.INCREMENTAL,
    )
    assert desk.refused(ZONAL, PriorExecution(1, 1, desk.now - 100.0))


def test_refused_in_the_narrow_state() -> None:
    desk = Desk()
    desk.change_settings(replace(desk.current_settings, restricted=True))
    for cls in CLASSES:
        assert desk.refused(cls, PriorExecution(1, 1, desk.now - 100.0)), cls.name
    assert desk.place(WRITE)  # what ran nowhere goes on


def test_an_upstream_to_stay_with_is_kept_only_in_the_group() -> None:
    desk = Desk()
    assert KEPT in of(cell=1)
    assert desk.place(WRITE, KEPT, PriorExecution(1, 1, desk.now - 100.0)) == KEPT


# The facade


def facade() -> LoadBalancer:
    at = [0.0]
    made = LoadBalancer(make_settings(classes=CLASSES, zone=0), 5, ("a", "b"), clock=lambda: 1000.0 + at[0])
    made.start()
    made.endpoints_listed(
        [
            DiscoveredEndpoint(row.name, ("h", 1), DiscoveryStatus.IN_SERVICE, "ab"[row.zone], group=row.cell)
            for row in make_endpoints(AMONG)
        ],
        True,
    )
    return made


def placed(made: LoadBalancer, cls: TrafficClass, hint: PlacementHint | None, times: int = 40) -> set[str]:
    found: set[str] = set()
    for number in range(times):
        orders = made.request_arrived(number, cls.name, "", 2900.0, hint=hint)
        sent = [order.endpoint for order in orders if isinstance(order, StartAttempt)]
        for attempt, name in enumerate(sent):
            made.attempt_finished(number, attempt, name, 10.0, AttemptEnding.SERVED, True)
        found.update(sent[:1])
    return found


def test_the_facade_passes_a_hint_on() -> None:
    assert placed(facade(), READ, PlacementHint(KEPT)) == {KEPT}
    assert placed(facade(), WRITE, PlacementHint(may_have_run=True, zone="b", group=1, age_ms=100.0)) <= of(cell=1)
    assert placed(facade(), ZONAL, PlacementHint(may_have_run=True, zone="b", group=1, age_ms=100.0)) <= of(zone=1)
    assert not placed(
        facade(), WRITE, PlacementHint(may_have_run=True, zone="b", group=1, age_ms=WRITE.dedup_window_ms)
    )
    assert not placed(facade(), ZONAL, PlacementHint(may_have_run=True, zone="of another list", age_ms=100.0))


def test_without_a_run_a_hint_binds_to_nothing() -> None:
    for hint in (None, PlacementHint(), PlacementHint(zone="b", group=1, age_ms=100.0)):
        assert placed(facade(), WRITE, hint) - of(cell=1), hint


def test_hints_are_no_sends() -> None:
    """A call that is refused by its bound leaves nothing behind."""
    desk = Desk()
    assert desk.refused(PAY, PriorExecution(0, 0, desk.now)) and not sends(desk.log)
    assert not desk.balancer.requests and not [act for act in desk.log if isinstance(act, SendAttempt)]
