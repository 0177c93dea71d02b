"""A new process at the address of one that has gone is not taken for the old one."""

from __future__ import annotations

from random import Random
from time import monotonic

import pytest

from limenotch import config
from limenotch.balancing.types import DedupScope, Effect, TrafficClass
from limenotch.load_balancer_types import DiscoveredEndpoint, DiscoveryStatus
from limenotch.net import http1
from limenotch.net.address_owners import AddressOwners, Replacement, without_replaced
from limenotch.net.request import Attempt, Request
from limenotch.request_policy import RequestPolicy
from limenotch.settings import Settings
from limenotch.wiring import Components

from .helpers.http_peers import SETTINGS
from .helpers.processes import free_port, run

ADDRESS = ("127.0.0.1", 9)
OLD = DiscoveredEndpoint("old", ADDRESS, DiscoveryStatus.IN_SERVICE, "a", group=1, started_ms=5.0)
NEW = DiscoveredEndpoint("new", ADDRESS, DiscoveryStatus.IN_SERVICE, "b", group=2, started_ms=9.0)


@pytest.mark.parametrize("complete", [True, False])
@pytest.mark.parametrize("order", [(OLD, NEW), (NEW, OLD)], ids=["old first", "new first"])
def test_of_two_processes_at_one_address_the_later_one_is_used(
    complete: bool, order: tuple[DiscoveredEndpoint, DiscoveredEndpoint]
) -> None:
    owners = AddressOwners()
    replacements = owners.apply_list(order, complete)
    assert replacements == [Replacement(OLD, NEW)]
    remaining = without_replaced(order, complete, replacements)
    assert [each.name for each in remaining if each.accepts_requests] == ["new"]
    # A change of the old one that comes late does not bring it back.
    assert owners.apply_list([OLD], False) == [Replacement(OLD, NEW)]


def test_endpoints_that_share_an_address_from_the_start_are_all_used() -> None:
    assert AddressOwners().apply_list([OLD, OLD._replace(name="other")], True) == []


def test_after_any_updates_the_owner_is_the_one_that_started_last() -> None:
    random = Random(7)
    owners, listed = AddressOwners(), dict[str, DiscoveredEndpoint]()
    for _ in range(2000):
        endpoint = DiscoveredEndpoint(
            f"e{random.randrange(8)}",
            ("127.0.0.1", random.randrange(3)),
            random.choice(tuple(DiscoveryStatus)),
            started_ms=float(random.randrange(4)),
        )
        listed.pop(endpoint.name, None)
        if endpoint.status is not DiscoveryStatus.TERMINATED:
            listed[endpoint.name] = endpoint
        replaced = {each.old.name for each in owners.apply_list([endpoint], False)}
        same = [each for each in listed.values() if each.address == endpoint.address and endpoint.name in listed]
        newest = max((each.started_ms for each in same), default=0.0)
        assert replaced == {each.name for each in same if each.started_ms < newest}


@pytest.mark.parametrize("scope", [DedupScope.ZONE, DedupScope.CELL])
def test_a_request_sent_to_the_old_name_does_not_run_again_where_only_one_of_both_knows_it(scope: DedupScope) -> None:
    traffic_class = TrafficClass("c", Effect.DEDUPLICATED, 900.0, 900.0, dedup_window_ms=9e6, dedup_scope=scope)

    async def case() -> None:
        raw = {"listen": f"127.0.0.1:{free_port()}", "discovery": f"127.0.0.1:{free_port()}", "settings": SETTINGS}
        components = Components(config.parse(raw, {}), Settings())
        components.apply_endpoints([OLD], True)
        request = Request(1, b"1", "c", http1.Message([], {}), monotonic() + 9, 9.0, lambda final: None)
        request.policy = RequestPolicy(traffic_class)
        attempt = Attempt(request, 0, "old", monotonic(), request.deadline, endpoint=OLD, sent_at=monotonic())
        request.attempts.append(attempt)
        components.requests.open[1] = request
        now_ms = monotonic() * 1000.0

        def allowed(endpoint: DiscoveredEndpoint) -> bool:
            return request.policy.allows_retry(request.possible_executions(), endpoint.zone, endpoint.group, now_ms)

        assert allowed(OLD) and not allowed(NEW)
        components.apply_endpoints([NEW], False)
        assert not allowed(OLD) and not allowed(NEW)
        assert not components.endpoint_pool.knows("old")
        components.close()

    run(case())
