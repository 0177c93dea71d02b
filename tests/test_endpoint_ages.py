"""Starts of endpoints as ages: the least age counts, a start is told once, and what is not sound is not taken."""

from __future__ import annotations

import json
import math
from typing import Any, NamedTuple

import pytest

from limenotch import endpoint_ages
from limenotch.balancing import Balancer
from limenotch.balancing.events import MembershipKind, MembershipUpdate, OperatorEjection
from limenotch.balancing.settings import read_settings
from limenotch.balancing.types import BalancerSettings, Effect, Endpoint, SlowStart, TrafficClass
from limenotch.endpoint_ages import EndpointAges
from limenotch.load_balancer import LoadBalancer
from limenotch.load_balancer_types import DiscoveredEndpoint, DiscoveryStatus

from .helpers.http_peers import SETTINGS

UNIX = 1_800_000_000_000.0  # when the process began
HOUR = 3_600_000.0


class Line(NamedTuple):
    name: str
    started_ms: float


class Clocks:
    def __init__(self, ahead: float = 0.0) -> None:
        """`ahead`: how far the wall clock was apart from the list's at the start."""
        self.passed, self.began, self.step = 0.0, UNIX + ahead, 0.0
        self.starts = EndpointAges(self.clock, lambda: self.clock() + self.step)

    def clock(self) -> float:
        return self.began + self.passed

    def age(self, name: str, since_ms: float, unheard_ms: float = math.inf, whole: bool = False) -> float:
        (start,) = self.starts.record_list([Line(name, since_ms)], whole, unheard_ms)
        return self.clock() - start


def test_without_a_step_an_age_is_what_the_list_says() -> None:
    clocks = Clocks()
    assert clocks.age("a", UNIX - 7000) == 7000
    assert clocks.age("b", UNIX - 7000, unheard_ms=HOUR) == 7000
    assert clocks.starts.record_list([Line("c", 0.0)], False) == [0.0]


@pytest.mark.parametrize("step", [-HOUR, -5000.0, 5000.0, HOUR])
def test_after_a_step_of_the_machine_what_starts_is_fresh_and_what_was_known_keeps_its_age(step: float) -> None:
    clocks = Clocks()
    assert clocks.age("a", UNIX - 7000) == 7000
    clocks.passed, clocks.step = 60_000.0, step
    listed = UNIX + 60_000 + step
    assert clocks.age("b", listed - 1000, unheard_ms=2000) <= 2000
    assert clocks.age("a", UNIX - 7000, unheard_ms=2000) == 67_000
    assert clocks.age("a", listed - 1000, unheard_ms=2000) <= 2000  # another process of that name
    clocks.passed += 30_000
    assert clocks.age("b", listed - 1000, unheard_ms=2000) <= 32_000


@pytest.mark.parametrize("ahead", [-HOUR, -5000.0, 5000.0, HOUR])
def test_where_this_process_alone_is_apart_what_starts_is_fresh_and_warm_in_its_time(ahead: float) -> None:
    clocks = Clocks(ahead)
    clocks.age("a", UNIX - 7000, whole=True)
    clocks.passed = 60_000
    assert 0 <= clocks.age("b", UNIX + 59_000, unheard_ms=2000) <= 2000
    clocks.passed += 24_000
    assert clocks.age("b", UNIX + 59_000) >= 24_000


def test_after_an_outage_of_discovery_what_started_in_it_has_its_age() -> None:
    clocks = Clocks()
    clocks.passed = 60_000
    assert clocks.age("a", UNIX + 10_000, unheard_ms=55_000, whole=True) == 50_000


def test_one_that_comes_back_as_the_same_process_is_not_fresh() -> None:
    clocks = Clocks()
    clocks.age("a", UNIX - 7000)
    clocks.starts.forget(["a"])
    clocks.passed = 60_000
    assert clocks.age("a", UNIX - 7000, unheard_ms=2000) == 67_000
    clocks.age("b", UNIX - 8000, whole=True)  # a is not named
    assert clocks.age("a", UNIX - 7000, unheard_ms=2000) == 67_000


def test_of_those_that_have_left_the_oldest_are_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoint_ages, "MAX_UNLISTED", 2)
    clocks = Clocks()
    for name in "abc":
        clocks.age(name, UNIX - 7000)
        clocks.starts.forget([name])
    assert clocks.age("a", UNIX - 7000, unheard_ms=10) == 10
    assert clocks.age("c", UNIX - 7000, unheard_ms=10) == 7000


def test_a_successor_has_the_ages_of_its_predecessor_whatever_its_clock() -> None:
    clocks, later = Clocks(), Clocks(HOUR)
    clocks.age("a", UNIX - 7000)
    clocks.age("long", 0.0)
    told = clocks.starts.export_state()
    assert list(told) == ["a"]
    later.starts.import_state(told)
    assert later.age("a", UNIX - 7000) == 7000


@pytest.mark.parametrize(
    "told",
    [
        None,
        [],
        {"a": 1},
        {"a": [1.0]},
        {"a": [1.0, -1.0]},
        {"a": [1.0, math.nan]},
        {"a": ["1", 2.0]},
        {1: [1.0, 2.0]},
    ],
)
def test_what_is_not_sound_is_not_taken(told: Any) -> None:
    clocks = Clocks()
    with pytest.raises(ValueError, match="starts"):
        clocks.starts.import_state({"b": [1.0, 2.0], **told} if isinstance(told, dict) else told)
    assert clocks.starts.export_state() == {}


def test_the_return_from_a_ban_is_not_in_the_future() -> None:
    """It was noted by a process whose clock was an hour ahead: the endpoint would be cold for an hour."""
    classes = (TrafficClass("look", Effect.IDEMPOTENT, 200.0, 500.0),)
    balancer = Balancer(BalancerSettings(classes, slow_start=SlowStart(0.12, 24_000.0, 4.0, 1000.0)), 1)
    balancer.handle(1000.0, MembershipUpdate(MembershipKind.COMPLETE, (Endpoint("a"),)))
    balancer.handle(1000.0, OperatorEjection("a", True))
    balancer.handle(1000.0, OperatorEjection("a", False, 1000.0 + HOUR))
    server = balancer.registry.endpoints["a"]
    cold = balancer.settings.slow_start
    assert server.warm_fraction(1000.0, cold) == cold.initial_capacity < 1.0
    assert server.warm_fraction(1000.0 + cold.warmup_ms, cold) == 1.0


def test_knowledge_hands_the_ages_on_and_that_of_an_earlier_version_has_none() -> None:
    def facade(ahead: float) -> LoadBalancer:
        return LoadBalancer(read_settings(SETTINGS), 1, ["z"], clock=lambda: UNIX + ahead)

    before, after = facade(0.0), facade(HOUR)
    listed = [DiscoveredEndpoint("a", ("127.0.0.1", 1), DiscoveryStatus.IN_SERVICE, "z", started_ms=UNIX - 7000)]
    before.endpoints_listed(listed, complete=True)
    told = json.loads(json.dumps(before.export_state()))
    after.import_endpoint_ages(told)
    after.import_endpoint_ages({key: value for key, value in told.items() if key != "starts"})
    after.endpoints_listed(listed, complete=True)
    assert after.export_state()["starts"] == {"a": [UNIX - 7000, 7000]}
    with pytest.raises(ValueError, match="starts"):
        after.import_endpoint_ages({**told, "starts": 3})
