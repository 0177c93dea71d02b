"""Operators' changes: ejections in the decisions, new settings for requests to come."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path
from typing import Any

import pytest

from limenotch.balancing import Balancer
from limenotch.balancing.actions import CancelAttempt, FailRequest, RejectRequest, SendAttempt, SetTimer
from limenotch.balancing.endpoint_statistics import EndpointStatistics
from limenotch.balancing.events import (
    AttemptFinished,
    ClientDisconnected,
    MembershipKind,
    MembershipUpdate,
    OperatorEjection,
    RequestArrived,
    SettingsChanged,
    TimerFired,
)
from limenotch.balancing.types import (
    BalancerSettings,
    DedupScope,
    Effect,
    Endpoint,
    EndpointState,
    Outcome,
    TrafficClass,
)
from limenotch.net.admin.server import AdminServer

from .helpers.http_peers import GET_HEALTH, LOOK, SETTINGS, fetch, reply, with_new_id
from .helpers.processes import free_port, run
from .test_admin_server import (
    CLASSES,
    GET_STATS,
    SLOW_START,
    attempted_endpoints,
    balancer_with,
    consistent_metrics,
    play,
)


def statistics_of(balancer: Balancer, name: str) -> EndpointStatistics:
    return balancer.registry.endpoints[name]


def test_an_ejection_applies_whatever_the_list_says() -> None:
    balancer = balancer_with("a", "b")
    balancer.handle(1.0, OperatorEjection("a", True))
    updates = [
        MembershipUpdate(MembershipKind.COMPLETE, (Endpoint("a"), Endpoint("b"))),
        MembershipUpdate(MembershipKind.INCREMENTAL, (Endpoint("a", EndpointState.GONE),)),
        MembershipUpdate(MembershipKind.INCREMENTAL, (Endpoint("a", started_ms=2.0),)),
    ]
    for number, update in enumerate(updates):
        balancer.handle(2.0, update)
        for repeat in range(5):
            assert set(attempted_endpoints(balancer, 2.0, f"{number}.{repeat}")) <= {"b"}
    assert balancer.excluded_count() == 1


def test_a_readmitted_endpoint_is_in_slow_start_from_that_moment() -> None:
    balancer = balancer_with("a", "b")
    balancer.handle(1.0, OperatorEjection("a", True))
    balancer.handle(1000.0, OperatorEjection("a", False, 1000.0))
    assert statistics_of(balancer, "a").warm_fraction(1000.0, SLOW_START) == pytest.approx(0.1)
    # The list still has the old start: that does not end the slow start.
    balancer.handle(1000.0, MembershipUpdate(MembershipKind.INCREMENTAL, (Endpoint("a"),)))
    assert statistics_of(balancer, "a").warm_fraction(11_000.0, SLOW_START) == pytest.approx(0.55)
    balancer.handle(2000.0, MembershipUpdate(MembershipKind.INCREMENTAL, (Endpoint("a", started_ms=1500.0),)))
    assert statistics_of(balancer, "a").started_at == 1500.0
    # An endpoint that is readmitted while draining is not used.
    balancer.handle(2000.0, MembershipUpdate(MembershipKind.INCREMENTAL, (Endpoint("a", EndpointState.DRAINING),)))
    assert all(statistics.endpoint.name == "b" for statistics in balancer.candidates[0])


def test_an_ejection_does_not_end_requests_in_flight() -> None:
    balancer = balancer_with("a")
    assert attempted_endpoints(balancer, 0.0, "1") == ["a"]
    balancer.handle(1.0, OperatorEjection("a", True))
    assert balancer.handle(50.0, AttemptFinished("1", "a", 0, 50.0, Outcome.OK, True)) == []


# New settings

DELIVER_DEDUPLICATED = TrafficClass(
    "deliver", Effect.DEDUPLICATED, 400, 900, dedup_scope=DedupScope.ZONE, dedup_window_ms=9000
)


def test_open_requests_keep_their_settings_and_new_ones_get_the_new() -> None:
    names = ("a", "b", "c")
    balancer = Balancer(BalancerSettings(classes=CLASSES, max_attempts=3, must_subscribe=True), seed=3)
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, tuple(Endpoint(n) for n in names)))
    (first,) = attempted_endpoints(balancer, 0.0, "old")
    at_most_once = TrafficClass("look", Effect.AT_MOST_ONCE, 300, 500)
    balancer.handle(
        1.0,
        SettingsChanged(
            BalancerSettings(classes=(DELIVER_DEDUPLICATED, at_most_once), max_attempts=1, must_subscribe=True)
        ),
    )
    # It arrived under three attempts and as idempotent: it is retried although max_attempts is 1 by now.
    actions = balancer.handle(2.0, AttemptFinished("old", first, 0, 2.0, Outcome.ERROR))
    (retry,) = [action for action in actions if isinstance(action, SendAttempt)]
    assert retry.timeout_ms == pytest.approx(398.0)  # until its own deadline
    # The new class of the same name: one attempt, and a failure rather than a rejection once it may have run.
    (send,) = [
        action for action in balancer.handle(3.0, RequestArrived("new", 1, 500)) if isinstance(action, SendAttempt)
    ]
    actions = balancer.handle(4.0, AttemptFinished("new", send.endpoint, 0, 1.0, Outcome.ERROR))
    assert actions == [FailRequest("new")]


def count_hedged_attempts(may_hedge: bool, may_hedge_later: bool) -> int:
    """Second attempts of requests that arrived before a change of settings and are overdue after it."""
    classes = (TrafficClass("look", Effect.IDEMPOTENT, 400.0, 900.0),)
    balancer = Balancer(BalancerSettings(classes, may_hedge=may_hedge), 1)
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, tuple(Endpoint(f"e{n}") for n in range(6))))
    attempts = 0
    for turn in range(300):
        arrival_ms, name = 1000.0 * turn, f"r{turn}"
        balancer.handle(arrival_ms, SettingsChanged(BalancerSettings(classes, may_hedge=may_hedge)))
        actions = balancer.handle(arrival_ms, RequestArrived(name, 0, 900.0))
        balancer.handle(arrival_ms, SettingsChanged(BalancerSettings(classes, may_hedge=may_hedge_later)))
        duration_ms = 100.0 if turn % 8 else 500.0  # every eighth is overdue, the others are not
        timers = [action for action in actions if isinstance(action, SetTimer)]
        while timers and timers[0].at_ms < arrival_ms + duration_ms:
            timer = timers.pop(0)
            more = balancer.handle(timer.at_ms, TimerFired(timer.token))
            timers += [action for action in more if isinstance(action, SetTimer)]
            actions += more
        sends = [action for action in actions if isinstance(action, SendAttempt)]
        attempts += len(sends) - 1
        for number, send in enumerate(sends):
            ended = AttemptFinished(name, send.endpoint, number, duration_ms, Outcome.OK, bool(number))
            balancer.handle(arrival_ms + duration_ms, ended)
    return attempts


def test_a_request_that_was_open_at_a_reload_is_hedged_only_as_on_its_arrival() -> None:
    # Guards against a second attempt once `parallel_tries` has become true after the request's arrival.
    assert count_hedged_attempts(may_hedge=True, may_hedge_later=True) > 0
    assert count_hedged_attempts(may_hedge=False, may_hedge_later=True) == 0
    assert count_hedged_attempts(may_hedge=True, may_hedge_later=False) > 0


@pytest.mark.parametrize("may_cancel", [True, False])
def test_a_request_that_was_open_at_a_reload_is_cancelled_only_as_on_its_arrival(may_cancel: bool) -> None:
    classes = (TrafficClass("look", Effect.IDEMPOTENT, 400.0, 900.0),)
    balancer = Balancer(BalancerSettings(classes, may_cancel=may_cancel), 1)
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, (Endpoint("a"),)))
    balancer.handle(1.0, RequestArrived("r", 0, 900.0))
    balancer.handle(2.0, SettingsChanged(BalancerSettings(classes, may_cancel=not may_cancel)))
    actions = balancer.handle(3.0, ClientDisconnected("r"))
    assert actions == ([CancelAttempt("r", 0)] if may_cancel else [])


@pytest.mark.parametrize(("arrived", "later", "expected"), [(50.0, 0.0, 50.0), (0.0, 50.0, 0.0)])
def test_a_rejection_gives_the_advice_that_was_allowed_on_arrival(
    arrived: float, later: float, expected: float
) -> None:
    classes = (TrafficClass("look", Effect.IDEMPOTENT, 400.0, 900.0),)
    balancer = Balancer(BalancerSettings(classes, max_retry_after_ms=arrived, max_attempts=1), 1)
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, (Endpoint("a"),)))
    balancer.handle(1.0, RequestArrived("r", 0, 900.0))
    balancer.handle(2.0, SettingsChanged(BalancerSettings(classes, max_retry_after_ms=later)))
    actions = balancer.handle(3.0, AttemptFinished("r", "a", 0, 2.0, Outcome.REJECTED))
    assert actions == [RejectRequest("r", expected)]


def test_restricted_mode_applies_to_open_requests_at_once() -> None:
    # Restricted mode is no operator's permission: a sidecar cut off from its peers may not retry what may have run.
    classes = (TrafficClass("look", Effect.IDEMPOTENT, 400.0, 900.0),)
    balancer = Balancer(BalancerSettings(classes), 1)
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, (Endpoint("a"), Endpoint("b"))))
    balancer.handle(1.0, RequestArrived("r", 0, 900.0))
    balancer.handle(2.0, SettingsChanged(BalancerSettings(classes, restricted=True)))
    assert balancer.handle(3.0, AttemptFinished("r", "a", 0, 2.0, Outcome.ERROR)) == [FailRequest("r")]


@pytest.mark.parametrize("used_later", [True, False])
def test_new_settings_use_or_ignore_the_listed_weights_at_once(used_later: bool) -> None:
    # The list is not sent again after a reload: the old settings' weights stayed until an entry changed.
    classes = (TrafficClass("look", Effect.IDEMPOTENT, 400.0, 900.0),)
    balancer = Balancer(BalancerSettings(classes, weights_listed=not used_later), 1)
    endpoints = (Endpoint("a", weight=9.0), Endpoint("b"))
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, endpoints))
    balancer.handle(1.0, SettingsChanged(BalancerSettings(classes, weights_listed=used_later)))
    weights = {each.endpoint.name: each.selection_weight for each in balancer.candidates[0]}
    assert weights == ({"a": 9.0, "b": 1.0} if used_later else {"a": 1.0, "b": 1.0})
    assert balancer.available.total_weight == sum(weights.values())


def test_learned_latencies_stay_with_their_class_and_go_with_it() -> None:
    balancer = balancer_with("a")
    attempted_endpoints(balancer, 0.0, "1")
    balancer.handle(50.0, AttemptFinished("1", "a", 0, 50.0, Outcome.OK, True))
    unchanged = TrafficClass("look", Effect.IDEMPOTENT, 500, 900)
    balancer.handle(
        51.0, SettingsChanged(BalancerSettings(classes=(DELIVER_DEDUPLICATED, unchanged), slow_start=SLOW_START))
    )
    assert balancer.class_latencies["look"].mean_ms == 50.0 and balancer.class_latencies["deliver"].mean_ms == 0.0
    balancer.handle(52.0, SettingsChanged(BalancerSettings(classes=(DELIVER_DEDUPLICATED,), slow_start=SLOW_START)))
    balancer.handle(
        53.0, SettingsChanged(BalancerSettings(classes=(DELIVER_DEDUPLICATED, unchanged), slow_start=SLOW_START))
    )
    assert balancer.class_latencies["look"].mean_ms == 0.0  # a class that was removed and added again is another one
    assert statistics_of(balancer, "a").latency_samples > 0


def test_a_reload_applies_completely_or_not_at_all(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "config.json"
    monkeypatch.setenv("LB_CONFIG", str(path))
    added = {"name": "late", "effect": "at_most_once", "target_ms": 9000.0, "hard_limit_ms": 20000.0}
    faulty = {**added, "name": "faulty", "hard_limit_ms": "9"}

    async def drive(port: int, admin: int) -> None:
        raw = {"listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{free_port()}", "known": {}}

        async def reload(classes: list[dict[str, Any]], name: str, count: int) -> dict[str, tuple[float, str]]:
            path.write_text(json.dumps({**raw, "settings": {**SETTINGS, "classes": classes}}))
            os.kill(os.getpid(), signal.SIGHUP)
            while (metrics := await consistent_metrics(admin))[name][0] < count:
                pass
            return metrics

        async def status(class_name: bytes) -> int:
            return (await fetch(port, with_new_id(LOOK.replace(b"look", class_name)))).status

        classes: list[dict[str, Any]] = SETTINGS["classes"]  # type: ignore[assignment]
        assert await status(b"late") == 400
        await reload([*classes[1:], added, faulty], "lb.conf_invalid", 1)
        assert (await status(b"late"), await status(b"look")) == (400, 200)  # nothing of it was applied
        metrics = await reload([*classes[1:], added], "lb.conf_loaded", 1)
        assert metrics["lb.transactions.late.answered"] == (0, "c")
        assert metrics["lb.transactions.look.answered"] == (1, "c")  # stays although the class was removed
        assert (await status(b"late"), await status(b"look")) == (200, 400)

    play([reply(200)], drive)


def test_the_admin_server_closes_with_its_owner() -> None:
    async def case() -> None:
        async def eject(name: str, out: bool) -> None:
            return None

        admin_server, port = AdminServer(lambda: False, lambda: b"", eject), free_port()
        admin_server.listen(("127.0.0.1", port))
        assert (await fetch(port, GET_HEALTH)).status == 503
        reader, _ = await asyncio.open_connection("127.0.0.1", port)
        await fetch(port, GET_STATS)
        admin_server.close()
        assert await reader.read() == b""

    run(case())
