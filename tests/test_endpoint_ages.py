"""Ages of endpoints: the lowest estimate is used, a start is converted once, and invalid ages are not imported."""

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

START_UNIX_MS = 1_800_000_000_000.0  # start of the process
HOUR_MS = 3_600_000.0


class Entry(NamedTuple):
    name: str
    started_ms: float


class Clocks:
    def __init__(self, ahead_ms: float = 0.0) -> None:
        """`ahead_ms`: how far the clock of the process was ahead of the clock of the list at its start."""
        self.elapsed_ms, self.clock_start_ms, self.wall_step_ms = 0.0, START_UNIX_MS + ahead_ms, 0.0
        self.endpoint_ages = EndpointAges(self.clock, lambda: self.clock() + self.wall_step_ms)

    def clock(self) -> float:
        return self.clock_start_ms + self.elapsed_ms

    def age(self, name: str, started_ms: float, silence_ms: float = math.inf, complete: bool = False) -> float:
        (start,) = self.endpoint_ages.record_list([Entry(name, started_ms)], complete, silence_ms)
        return self.clock() - start


def test_without_a_clock_step_ages_are_as_listed() -> None:
    clocks = Clocks()
    assert clocks.age("a", START_UNIX_MS - 7000) == 7000
    assert clocks.age("b", START_UNIX_MS - 7000, silence_ms=HOUR_MS) == 7000
    assert clocks.endpoint_ages.record_list([Entry("c", 0.0)], False) == [0.0]


@pytest.mark.parametrize("wall_step_ms", [-HOUR_MS, -5000.0, 5000.0, HOUR_MS])
def test_after_a_step_of_the_machines_clock_new_endpoints_are_young_and_known_ones_keep_their_age(
    wall_step_ms: float,
) -> None:
    clocks = Clocks()
    assert clocks.age("a", START_UNIX_MS - 7000) == 7000
    clocks.elapsed_ms, clocks.wall_step_ms = 60_000.0, wall_step_ms
    listed = START_UNIX_MS + 60_000 + wall_step_ms
    assert clocks.age("b", listed - 1000, silence_ms=2000) <= 2000
    assert clocks.age("a", START_UNIX_MS - 7000, silence_ms=2000) == 67_000
    assert clocks.age("a", listed - 1000, silence_ms=2000) <= 2000  # another process of the same name
    clocks.elapsed_ms += 30_000
    assert clocks.age("b", listed - 1000, silence_ms=2000) <= 32_000


@pytest.mark.parametrize("ahead_ms", [-HOUR_MS, -5000.0, 5000.0, HOUR_MS])
def test_if_only_this_process_clock_is_wrong_new_endpoints_are_young_and_age_normally(ahead_ms: float) -> None:
    clocks = Clocks(ahead_ms)
    clocks.age("a", START_UNIX_MS - 7000, complete=True)
    clocks.elapsed_ms = 60_000
    assert 0 <= clocks.age("b", START_UNIX_MS + 59_000, silence_ms=2000) <= 2000
    clocks.elapsed_ms += 24_000
    assert clocks.age("b", START_UNIX_MS + 59_000) >= 24_000


def test_an_endpoint_that_started_during_an_outage_of_discovery_has_its_age() -> None:
    clocks = Clocks()
    clocks.elapsed_ms = 60_000
    assert clocks.age("a", START_UNIX_MS + 10_000, silence_ms=55_000, complete=True) == 50_000


def test_an_endpoint_listed_again_as_the_same_process_keeps_its_age() -> None:
    clocks = Clocks()
    clocks.age("a", START_UNIX_MS - 7000)
    clocks.endpoint_ages.forget(["a"])
    clocks.elapsed_ms = 60_000
    assert clocks.age("a", START_UNIX_MS - 7000, silence_ms=2000) == 67_000
    clocks.age("b", START_UNIX_MS - 8000, complete=True)  # a complete list without "a"
    assert clocks.age("a", START_UNIX_MS - 7000, silence_ms=2000) == 67_000


def test_of_the_unlisted_endpoints_the_oldest_are_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoint_ages, "MAX_UNLISTED", 2)
    clocks = Clocks()
    for name in "abc":
        clocks.age(name, START_UNIX_MS - 7000)
        clocks.endpoint_ages.forget([name])
    assert clocks.age("a", START_UNIX_MS - 7000, silence_ms=10) == 10
    assert clocks.age("c", START_UNIX_MS - 7000, silence_ms=10) == 7000


def test_a_successor_takes_over_the_ages_whatever_its_clock() -> None:
    clocks, successor = Clocks(), Clocks(HOUR_MS)
    clocks.age("a", START_UNIX_MS - 7000)
    clocks.age("long", 0.0)
    exported = clocks.endpoint_ages.export_state()
    assert list(exported) == ["a"]
    successor.endpoint_ages.import_state(exported)
    assert successor.age("a", START_UNIX_MS - 7000) == 7000


@pytest.mark.parametrize(
    "exported",
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
def test_invalid_ages_are_not_imported(exported: Any) -> None:
    clocks = Clocks()
    with pytest.raises(ValueError, match="starts"):
        clocks.endpoint_ages.import_state({"b": [1.0, 2.0], **exported} if isinstance(exported, dict) else exported)
    assert clocks.endpoint_ages.export_state() == {}


def test_a_readmission_in_the_future_counts_as_now() -> None:
    """A process whose clock was an hour ahead recorded it: slow start would have lasted an hour longer."""
    classes = (TrafficClass("look", Effect.IDEMPOTENT, 200.0, 500.0),)
    balancer = Balancer(BalancerSettings(classes, slow_start=SlowStart(0.12, 24_000.0, 4.0, 1000.0)), 1)
    balancer.handle(1000.0, MembershipUpdate(MembershipKind.COMPLETE, (Endpoint("a"),)))
    balancer.handle(1000.0, OperatorEjection("a", True))
    balancer.handle(1000.0, OperatorEjection("a", False, 1000.0 + HOUR_MS))
    endpoint = balancer.registry.endpoints["a"]
    slow_start = balancer.settings.slow_start
    assert endpoint.warm_fraction(1000.0, slow_start) == slow_start.initial_capacity < 1.0
    assert endpoint.warm_fraction(1000.0 + slow_start.warmup_ms, slow_start) == 1.0


def test_exported_state_has_ages_and_that_of_an_earlier_version_has_none() -> None:
    def make_load_balancer(ahead_ms: float) -> LoadBalancer:
        return LoadBalancer(read_settings(SETTINGS), 1, ["z"], clock=lambda: START_UNIX_MS + ahead_ms)

    predecessor, successor = make_load_balancer(0.0), make_load_balancer(HOUR_MS)
    listed = [
        DiscoveredEndpoint("a", ("127.0.0.1", 1), DiscoveryStatus.IN_SERVICE, "z", started_ms=START_UNIX_MS - 7000)
    ]
    predecessor.endpoints_listed(listed, complete=True)
    exported = json.loads(json.dumps(predecessor.export_state()))
    successor.import_endpoint_ages(exported)
    successor.import_endpoint_ages({key: value for key, value in exported.items() if key != "starts"})
    successor.endpoints_listed(listed, complete=True)
    assert successor.export_state()["starts"] == {"a": [START_UNIX_MS - 7000, 7000]}
    with pytest.raises(ValueError, match="starts"):
        successor.import_endpoint_ages({**exported, "starts": 3})
