"""Few balancers before few upstreams: what one of them takes for full or for silent must not outlive its evidence."""

from __future__ import annotations

from limenotch.balancing import Balancer
from limenotch.balancing.actions import SendAttempt
from limenotch.balancing.events import AttemptFinished, MembershipKind, MembershipUpdate, RequestArrived
from limenotch.balancing.outlier_detection import check_unresponsive
from limenotch.balancing.types import BalancerSettings, Effect, Endpoint, Outcome, TrafficClass

LOOK = TrafficClass("look", Effect.IDEMPOTENT, 750.0, 2000.0)
PACK = TrafficClass("pack", Effect.IDEMPOTENT, 2500.0, 6000.0)


class Few:
    """One balancer and three upstreams; calls are sent and answered by hand."""

    def __init__(self) -> None:
        given = BalancerSettings(classes=(LOOK, PACK), balancers=3, tier_index=1, may_hedge=False, weights_listed=False)
        self.balancer, self.now, self.count = Balancer(given, 5), 0.0, 0
        self.balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, tuple(Endpoint(n) for n in "abc")))

    def send(self, index: int = 0) -> tuple[str, str]:
        """A call, and whom it was sent to."""
        self.count += 1
        name = str(self.count)
        acts = self.balancer.handle(self.now, RequestArrived(name, index, (2000.0, 6000.0)[index]))
        return name, next(a.endpoint for a in acts if isinstance(a, SendAttempt))

    def answer(self, name: str, at: str, spent: float, util: float) -> None:
        self.balancer.handle(self.now, AttemptFinished(name, at, 0, spent, Outcome.OK, True, util, 20.0 * util))

    def play(self, calls: int, util: dict[str, float], index: int = 0, spent: float = 100.0) -> list[str]:
        """Calls one by one, each answered after `spent` ms with its upstream's report of use; whom they went to."""
        went = []
        for _ in range(calls):
            name, at = self.send(index)
            self.now += spent
            self.answer(name, at, spent, util[at])
            went.append(at)
        return went


def test_a_report_of_full_use_is_forgotten_when_no_other_comes() -> None:
    """One of three that had told of full use was sent nothing for 3 s, and told of nothing else: two jammed."""
    few = Few()
    few.play(60, {"a": 0.7, "b": 0.7, "c": 0.7})
    few.play(20, {"a": 1.1, "b": 0.9, "c": 0.9})
    full = few.balancer.registry.endpoints["a"]
    assert full.utilisation == 1.1
    went = few.play(60, {"a": 0.9, "b": 0.9, "c": 0.9})
    assert went.count("a") > 10


def test_costly_calls_that_are_out_for_long_are_no_silence() -> None:
    """Eight answers were owed by the mean of all classes, in 0.3 s; by their own class's, after seven times as long."""
    few = Few()
    few.play(60, dict.fromkeys("abc", 0.5))
    few.play(8, dict.fromkeys("abc", 0.5), index=1, spent=1500.0)
    few.play(60, dict.fromkeys("abc", 0.5))
    out = [few.send(1) for _ in range(12)]
    most = max("abc", key=[at for _, at in out].count)
    server = few.balancer.registry.endpoints[most]
    assert server.in_flight >= 4
    few.now += 1400.0
    assert not check_unresponsive(few.balancer, few.now, server)
    few.now += 8 * 1500.0
    assert check_unresponsive(few.balancer, few.now, server)
