"""Two zones without load reports: requests stay in their zone while it has capacity, and spill over gradually."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from hypothesis import given
from hypothesis import strategies as st

from limenotch.balancing.types import DedupScope, Effect, Endpoint, Outcome, TrafficClass
from tests.referee import Referee, TrackedRequest, make_settings

BOOK = TrafficClass("book", Effect.AT_MOST_ONCE, 1000.0, 2500.0, priority_weight=10.0)
SWAP = TrafficClass(
    "swap",
    Effect.DEDUPLICATED,
    2500.0,
    6000.0,
    priority_weight=5.0,
    dedup_scope=DedupScope.ZONE,
    dedup_window_ms=10_000.0,
)
LOCAL, REMOTE = tuple("abcdef"), tuple("ghijklm")


class ZonedReferee(Referee):
    """A referee with a balancer in zone 0; the test decides when attempts are answered."""

    def __init__(
        self, seed: int = 1, cross_zone_cost: float = 0.05, zones: tuple[Iterable[str], ...] = (LOCAL, REMOTE)
    ) -> None:
        endpoints = [Endpoint(name, zone=zone) for zone, names in enumerate(zones) for name in names]
        settings = make_settings(classes=(BOOK, SWAP), balancers=2, cross_zone_cost=cross_zone_cost, max_attempts=5)
        super().__init__(settings, seed, tuple(endpoints))

    def send(self, class_index: int = 0) -> str | None:
        """Send a request; return its endpoint, or None if it is rejected."""
        name, _ = self.arrive(class_index, (BOOK, SWAP)[class_index].deadline_ms)
        sent = self.tracked[name].sent
        return sent[0][1] if sent else None

    def open_attempts(self) -> list[tuple[TrackedRequest, int, str, float]]:
        """Attempts in flight: request, number, endpoint, time of sending."""
        return [
            (request, number, name, sent_at)
            for request in self.tracked.values()
            for number, (sent_at, name) in enumerate(request.sent)
            if number not in request.ended
        ]

    def answer_attempts(self, elapsed_ms: float, except_endpoint: str = "", outcome: Outcome = Outcome.OK) -> None:
        """End the attempts in flight for `elapsed_ms`, except at `except_endpoint`, and all cancelled ones."""
        for request, number, name, sent_at in self.open_attempts():
            if request.answered:
                self.finish_attempt(request.arrival.request, number, Outcome.CANCELLED)
            elif name != except_endpoint and self.now - sent_at >= elapsed_ms:
                self.finish_attempt(request.arrival.request, number, outcome)
        self.tracked = {
            name: request for name, request in self.tracked.items() if len(request.ended) < len(request.sent)
        }

    def step(self, class_index: int, elapsed_ms: float, except_endpoint: str = "") -> str | None:
        """After 10 ms send a request, and answer the attempts that have been in flight for `elapsed_ms`."""
        self.advance(10.0)
        chosen = self.send(class_index)
        self.answer_attempts(elapsed_ms, except_endpoint)
        return chosen

    def warm_up(self) -> None:
        """Send 100 requests/s, answered after 300 ms, so that latency and goodput are known."""
        for number in range(500):
            self.step(number % 2, 300.0)
        self.advance(300.0)
        self.answer_attempts(0.0)

    def in_flight(self) -> Counter[str]:
        return Counter(name for _, _, name, _ in self.open_attempts())


def test_a_zone_that_gets_all_traffic_spills_over_before_its_endpoints_are_full() -> None:
    """Both balancers were in one zone: in a second its six endpoints had 18 to 24 in flight, the other seven 1 to 8."""
    referee = ZonedReferee()
    referee.warm_up()
    for _ in range(65):
        referee.send()
    in_flight = referee.in_flight()
    assert max(in_flight.values()) <= 8 and sum(in_flight[name] for name in REMOTE) >= 20


def test_under_load_both_zones_get_requests() -> None:
    """With zones chosen by latency, all requests moved to the other zone at once, and then back."""
    referee = ZonedReferee()
    referee.warm_up()
    for step in range(400):  # 100/s answered after 600 ms: about 60 in flight; the objective is 1000 ms
        referee.step(step % 4 == 0, 600.0)
        in_flight = referee.in_flight()
        if step > 100:
            assert min(sum(in_flight[name] for name in zone) for zone in (LOCAL, REMOTE)) >= 8
            assert max(in_flight.values()) <= 10


@given(st.integers(0, 999), st.lists(st.integers(0, 1), min_size=1, max_size=40))
def test_no_request_crosses_zones_while_the_own_zone_has_capacity(seed: int, classes: list[int]) -> None:
    referee = ZonedReferee(seed)
    referee.warm_up()
    for class_index in classes:
        assert referee.send(class_index) in LOCAL
        referee.advance(300.0)
        referee.answer_attempts(0.0)


@given(st.integers(0, 999))
def test_a_request_crosses_zones_only_to_a_shorter_queue(seed: int) -> None:
    """A request that leaves its zone finds fewer requests of this balancer there than it would have in its zone."""
    referee = ZonedReferee(seed)
    referee.warm_up()
    for _ in range(60):
        in_flight = referee.in_flight()
        chosen = referee.send()
        if chosen in REMOTE:
            assert in_flight[chosen] < max(in_flight[name] for name in LOCAL)


def test_if_crossing_zones_has_no_cost_requests_spread_over_all_zones() -> None:
    referee = ZonedReferee(cross_zone_cost=0.0)
    referee.warm_up()
    for _ in range(39):
        referee.send()
    in_flight = referee.in_flight()
    assert max(in_flight.values()) <= 5 and min(in_flight[name] for name in (*LOCAL, *REMOTE)) >= 1


def test_an_endpoint_that_does_not_respond_gets_few_requests() -> None:
    referee = ZonedReferee(cross_zone_cost=0.0)
    referee.warm_up()
    max_in_flight = 0
    for _ in range(300):
        referee.step(0, 200.0, except_endpoint="a")
        max_in_flight = max(max_in_flight, referee.in_flight()["a"])
    assert max_in_flight <= 7
