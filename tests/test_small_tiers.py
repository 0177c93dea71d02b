"""Few balancers and few endpoints: none may be taken for overloaded or unresponsive for longer than justified."""

from __future__ import annotations

from limenotch.balancing import Balancer
from limenotch.balancing.actions import SendAttempt
from limenotch.balancing.events import AttemptFinished, MembershipKind, MembershipUpdate, RequestArrived
from limenotch.balancing.outlier_detection import check_unresponsive
from limenotch.balancing.types import BalancerSettings, Effect, Endpoint, Outcome, TrafficClass

LOOK = TrafficClass("look", Effect.IDEMPOTENT, 750.0, 2000.0)
PACK = TrafficClass("pack", Effect.IDEMPOTENT, 2500.0, 6000.0)


class SmallTier:
    """One balancer and three endpoints. The test sends requests and answers them."""

    def __init__(self) -> None:
        settings = BalancerSettings(
            classes=(LOOK, PACK), balancers=3, tier_index=1, may_hedge=False, weights_listed=False
        )
        self.balancer, self.now, self.count = Balancer(settings, 5), 0.0, 0
        self.balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, tuple(Endpoint(name) for name in "abc")))

    def send(self, class_index: int = 0) -> tuple[str, str]:
        """Send a request; return its name and its endpoint."""
        self.count += 1
        name = str(self.count)
        actions = self.balancer.handle(self.now, RequestArrived(name, class_index, (2000.0, 6000.0)[class_index]))
        return name, next(action.endpoint for action in actions if isinstance(action, SendAttempt))

    def answer(self, name: str, endpoint: str, elapsed_ms: float, utilisation: float) -> None:
        self.balancer.handle(
            self.now, AttemptFinished(name, endpoint, 0, elapsed_ms, Outcome.OK, True, utilisation, 20.0 * utilisation)
        )

    def serve_requests(
        self, count: int, utilisation: dict[str, float], class_index: int = 0, elapsed_ms: float = 100.0
    ) -> list[str]:
        """Send requests one by one, each answered after `elapsed_ms` with a load report; return their endpoints."""
        endpoints = []
        for _ in range(count):
            name, endpoint = self.send(class_index)
            self.now += elapsed_ms
            self.answer(name, endpoint, elapsed_ms, utilisation[endpoint])
            endpoints.append(endpoint)
        return endpoints


def test_a_report_of_full_utilisation_expires_if_no_other_follows() -> None:
    """One of three endpoints that had reported full utilisation got no requests for 3 s, so it sent no other report.

    The other two were overloaded.
    """
    tier = SmallTier()
    tier.serve_requests(60, {"a": 0.7, "b": 0.7, "c": 0.7})
    tier.serve_requests(20, {"a": 1.1, "b": 0.9, "c": 0.9})
    fully_used = tier.balancer.registry.endpoints["a"]
    assert fully_used.utilisation == 1.1
    endpoints = tier.serve_requests(60, {"a": 0.9, "b": 0.9, "c": 0.9})
    assert endpoints.count("a") > 10


def test_long_requests_in_flight_do_not_make_an_endpoint_unresponsive() -> None:
    """By the mean latency of all classes, eight responses were overdue in 0.3 s; by their class's, 7 times later."""
    tier = SmallTier()
    tier.serve_requests(60, dict.fromkeys("abc", 0.5))
    tier.serve_requests(8, dict.fromkeys("abc", 0.5), class_index=1, elapsed_ms=1500.0)
    tier.serve_requests(60, dict.fromkeys("abc", 0.5))
    in_flight = [tier.send(1) for _ in range(12)]
    busiest = max("abc", key=[name for _, name in in_flight].count)
    endpoint = tier.balancer.registry.endpoints[busiest]
    assert endpoint.in_flight >= 4
    tier.now += 1400.0
    assert not check_unresponsive(tier.balancer, tier.now, endpoint)
    tier.now += 8 * 1500.0
    assert check_unresponsive(tier.balancer, tier.now, endpoint)
