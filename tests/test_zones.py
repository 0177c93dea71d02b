"""Two zones and nothing reported: a call stays at home while there is room, and spills call by call when not."""

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
NEAR, FAR = tuple("abcdef"), tuple("ghijklm")


class Desk(Referee):
    """A balancer of zone 0 on a clock moved by hand, every rule checked; calls are answered when the test says so."""

    def __init__(self, seed: int = 1, crossing: float = 0.05, zones: tuple[Iterable[str], ...] = (NEAR, FAR)) -> None:
        rows = [Endpoint(name, zone=zone) for zone, names in enumerate(zones) for name in names]
        given = make_settings(classes=(BOOK, SWAP), balancers=2, cross_zone_cost=crossing, max_attempts=5)
        super().__init__(given, seed, tuple(rows))

    def call(self, cls: int = 0) -> str | None:
        """Where it is sent; None if it is refused."""
        name, _ = self.arrive(cls, (BOOK, SWAP)[cls].deadline_ms)
        sent = self.tracked[name].sent
        return sent[0][1] if sent else None

    def out(self) -> list[tuple[TrackedRequest, int, str, float]]:
        """Attempts that their providers hold: call, number, provider, since when."""
        return [
            (held, number, name, since)
            for held in self.tracked.values()
            for number, (since, name) in enumerate(held.sent)
            if number not in held.ended
        ]

    def answered(self, spent: float, but: str = "", outcome: Outcome = Outcome.OK) -> None:
        """Those that are out for so long end, and those that were called off; none of the upstream `but`."""
        for held, number, name, since in self.out():
            if held.answered:
                self.finish_attempt(held.arrival.request, number, Outcome.CANCELLED)
            elif name != but and self.now - since >= spent:
                self.finish_attempt(held.arrival.request, number, outcome)
        self.tracked = {name: held for name, held in self.tracked.items() if len(held.ended) < len(held.sent)}

    def step(self, cls: int, spent: float, but: str = "") -> str | None:
        """Ten milliseconds: one call more, and what has been out for so long is answered."""
        self.advance(10.0)
        chosen = self.call(cls)
        self.answered(spent, but)
        return chosen

    def learn(self) -> None:
        """A hundred calls a second, answered after 300 ms: what a call takes and what the fleet can do is known."""
        for number in range(500):
            self.step(number % 2, 300.0)
        self.advance(300.0)
        self.answered(0.0)

    def held(self) -> Counter[str]:
        return Counter(name for _, _, name, _ in self.out())


def test_a_zone_with_all_the_traffic_is_not_filled_before_the_other_takes_part() -> None:
    """Both balancers stood in one zone: its six held 18 to 24 each within a second, the other's seven 1 to 8."""
    desk = Desk()
    desk.learn()
    for _ in range(65):
        desk.call()
    held = desk.held()
    assert max(held.values()) <= 8 and sum(held[name] for name in FAR) >= 20


def test_neither_zone_is_left_empty_while_the_other_jams() -> None:
    """By latencies of zones all calls went over to the other zone at once, and then back."""
    desk = Desk()
    desk.learn()
    for step in range(400):  # 100 a second, answered after 600 ms: some 60 out, though the class may wait 1,000
        desk.step(step % 4 == 0, 600.0)
        held = desk.held()
        if step > 100:
            assert min(sum(held[name] for name in zone) for zone in (NEAR, FAR)) >= 8
            assert max(held.values()) <= 10


@given(st.integers(0, 999), st.lists(st.integers(0, 1), min_size=1, max_size=40))
def test_no_crossing_while_the_own_zone_has_room(seed: int, classes: list[int]) -> None:
    desk = Desk(seed)
    desk.learn()
    for cls in classes:
        assert desk.call(cls) in NEAR
        desk.advance(300.0)
        desk.answered(0.0)


@given(st.integers(0, 999))
def test_the_queue_that_is_crossed_to_is_the_shorter_one(seed: int) -> None:
    """A spill is sized by the estimate: what is sent away finds fewer of our calls than it would have at home."""
    desk = Desk(seed)
    desk.learn()
    for _ in range(60):
        held = desk.held()
        chosen = desk.call()
        if chosen in FAR:
            assert held[chosen] < max(held[name] for name in NEAR)


def test_where_crossing_is_free_zones_are_one_fleet() -> None:
    desk = Desk(crossing=0.0)
    desk.learn()
    for _ in range(39):
        desk.call()
    held = desk.held()
    assert max(held.values()) <= 5 and min(held[name] for name in (*NEAR, *FAR)) >= 1


def test_an_upstream_that_holds_on_to_its_calls_is_left_for_the_others() -> None:
    desk = Desk(crossing=0.0)
    desk.learn()
    stuck = 0
    for _ in range(300):
        desk.step(0, 200.0, but="a")
        stuck = max(stuck, desk.held()["a"])
    assert stuck <= 7
