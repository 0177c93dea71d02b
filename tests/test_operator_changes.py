"""What operators change: ejections in the decisions, new settings for requests to come."""

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

from .helpers.http_peers import GET_HEALTH, LOOK, SETTINGS, ask, renamed, whole
from .helpers.processes import free_port, run
from .test_admin_server import CLASSES, COLD, GET_STATS, balancer_of, conserved, play, sent


def server_of(balancer: Balancer, name: str) -> EndpointStatistics:
    return balancer.registry.endpoints[name]


def test_a_ban_holds_whatever_the_list_says() -> None:
    balancer = balancer_of("a", "b")
    balancer.handle(1.0, OperatorEjection("a", True))
    lists = [
        MembershipUpdate(MembershipKind.COMPLETE, (Endpoint("a"), Endpoint("b"))),
        MembershipUpdate(MembershipKind.INCREMENTAL, (Endpoint("a", EndpointState.GONE),)),
        MembershipUpdate(MembershipKind.INCREMENTAL, (Endpoint("a", started_ms=2.0),)),
    ]
    for number, listed in enumerate(lists):
        balancer.handle(2.0, listed)
        for again in range(5):
            assert set(sent(balancer, 2.0, f"{number}.{again}")) <= {"b"}
    assert balancer.excluded_count() == 1


def test_back_from_a_ban_it_is_cold_from_that_moment() -> None:
    balancer = balancer_of("a", "b")
    balancer.handle(1.0, OperatorEjection("a", True))
    balancer.handle(1000.0, OperatorEjection("a", False, 1000.0))
    assert server_of(balancer, "a").warm_fraction(1000.0, COLD) == pytest.approx(0.1)
    # The list still tells the old start: that does not warm it.
    balancer.handle(1000.0, MembershipUpdate(MembershipKind.INCREMENTAL, (Endpoint("a"),)))
    assert server_of(balancer, "a").warm_fraction(11_000.0, COLD) == pytest.approx(0.55)
    balancer.handle(2000.0, MembershipUpdate(MembershipKind.INCREMENTAL, (Endpoint("a", started_ms=1500.0),)))
    assert server_of(balancer, "a").started_at == 1500.0
    # One that comes back draining is not used.
    balancer.handle(2000.0, MembershipUpdate(MembershipKind.INCREMENTAL, (Endpoint("a", EndpointState.DRAINING),)))
    assert all(server.endpoint.name == "b" for server in balancer.candidates[0])


def test_a_ban_during_a_call_leaves_that_call_alone() -> None:
    balancer = balancer_of("a")
    assert sent(balancer, 0.0, "1") == ["a"]
    balancer.handle(1.0, OperatorEjection("a", True))
    assert balancer.handle(50.0, AttemptFinished("1", "a", 0, 50.0, Outcome.OK, True)) == []


# New settings

DELIVER_KEYED = TrafficClass(
    "deliver", Effect.DEDUPLICATED, 400, 900, dedup_scope=DedupScope.ZONE, dedup_window_ms=9000
)


def test_open_calls_keep_their_rules_and_new_ones_have_the_new() -> None:
    names = ("a", "b", "c")
    balancer = Balancer(BalancerSettings(classes=CLASSES, max_attempts=3, must_subscribe=True), seed=3)
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, tuple(Endpoint(n) for n in names)))
    (first,) = sent(balancer, 0.0, "old")
    once = TrafficClass("look", Effect.AT_MOST_ONCE, 300, 500)
    balancer.handle(
        1.0, SettingsChanged(BalancerSettings(classes=(DELIVER_KEYED, once), max_attempts=1, must_subscribe=True))
    )
    # Held under three attempts and a harmless repeat: it is sent again though attempts are 1 by now.
    acts = balancer.handle(2.0, AttemptFinished("old", first, 0, 2.0, Outcome.ERROR))
    (again,) = [a for a in acts if isinstance(a, SendAttempt)]
    assert again.timeout_ms == pytest.approx(398.0)  # and to its own end
    # The new class of the old name: one attempt, and a failure rather than a refusal after it may have run.
    (send,) = [a for a in balancer.handle(3.0, RequestArrived("new", 1, 500)) if isinstance(a, SendAttempt)]
    acts = balancer.handle(4.0, AttemptFinished("new", send.endpoint, 0, 1.0, Outcome.ERROR))
    assert acts == [FailRequest("new")]


def urgent_pair(may_hedge: bool, retuned_to: bool) -> int:
    """Attempts of requests that arrived before new settings, and are overdue after them."""
    classes = (TrafficClass("look", Effect.IDEMPOTENT, 400.0, 900.0),)
    balancer = Balancer(BalancerSettings(classes, may_hedge=may_hedge), 1)
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, tuple(Endpoint(f"e{n}") for n in range(6))))
    attempts = 0
    for turn in range(300):
        at, name = 1000.0 * turn, f"r{turn}"
        balancer.handle(at, SettingsChanged(BalancerSettings(classes, may_hedge=may_hedge)))
        actions = balancer.handle(at, RequestArrived(name, 0, 900.0))
        balancer.handle(at, SettingsChanged(BalancerSettings(classes, may_hedge=retuned_to)))
        taken_ms = 100.0 if turn % 8 else 500.0  # one in eight is overdue while its endpoint's others are not
        timers = [action for action in actions if isinstance(action, SetTimer)]
        while timers and timers[0].at_ms < at + taken_ms:
            timer = timers.pop(0)
            more = balancer.handle(timer.at_ms, TimerFired(timer.token))
            timers += [action for action in more if isinstance(action, SetTimer)]
            actions += more
        sends = [action for action in actions if isinstance(action, SendAttempt)]
        attempts += len(sends) - 1
        for number, send in enumerate(sends):
            ended = AttemptFinished(name, send.endpoint, number, taken_ms, Outcome.OK, bool(number))
            balancer.handle(at + taken_ms, ended)
    return attempts


def test_a_request_that_was_open_at_a_reload_is_hedged_only_as_on_its_arrival() -> None:
    # A second attempt was decided beside the first after `parallel_tries` had become true.
    assert urgent_pair(may_hedge=True, retuned_to=True) > 0
    assert urgent_pair(may_hedge=False, retuned_to=True) == 0
    assert urgent_pair(may_hedge=True, retuned_to=False) > 0


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
    # It is no permission of the operators: who is out of touch with the peers may not send again what may have run.
    classes = (TrafficClass("look", Effect.IDEMPOTENT, 400.0, 900.0),)
    balancer = Balancer(BalancerSettings(classes), 1)
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, (Endpoint("a"), Endpoint("b"))))
    balancer.handle(1.0, RequestArrived("r", 0, 900.0))
    balancer.handle(2.0, SettingsChanged(BalancerSettings(classes, restricted=True)))
    assert balancer.handle(3.0, AttemptFinished("r", "a", 0, 2.0, Outcome.ERROR)) == [FailRequest("r")]


@pytest.mark.parametrize("used_later", [True, False])
def test_new_settings_use_or_ignore_the_listed_weights_at_once(used_later: bool) -> None:
    # The list is not sent again after a reload: the weights of the old settings stayed until an entry changed.
    classes = (TrafficClass("look", Effect.IDEMPOTENT, 400.0, 900.0),)
    balancer = Balancer(BalancerSettings(classes, weights_listed=not used_later), 1)
    listed = (Endpoint("a", weight=9.0), Endpoint("b"))
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, listed))
    balancer.handle(1.0, SettingsChanged(BalancerSettings(classes, weights_listed=used_later)))
    weights = {each.endpoint.name: each.selection_weight for each in balancer.candidates[0]}
    assert weights == ({"a": 9.0, "b": 1.0} if used_later else {"a": 1.0, "b": 1.0})
    assert balancer.available.total_weight == sum(weights.values())


def test_what_was_learnt_stays_with_its_name_and_goes_with_it() -> None:
    balancer = balancer_of("a")
    sent(balancer, 0.0, "1")
    balancer.handle(50.0, AttemptFinished("1", "a", 0, 50.0, Outcome.OK, True))
    kept = TrafficClass("look", Effect.IDEMPOTENT, 500, 900)
    balancer.handle(51.0, SettingsChanged(BalancerSettings(classes=(DELIVER_KEYED, kept), slow_start=COLD)))
    assert balancer.class_latencies["look"].mean_ms == 50.0 and balancer.class_latencies["deliver"].mean_ms == 0.0
    balancer.handle(52.0, SettingsChanged(BalancerSettings(classes=(DELIVER_KEYED,), slow_start=COLD)))
    balancer.handle(53.0, SettingsChanged(BalancerSettings(classes=(DELIVER_KEYED, kept), slow_start=COLD)))
    assert balancer.class_latencies["look"].mean_ms == 0.0  # dropped and back: another class
    assert server_of(balancer, "a").latency_samples > 0


def test_a_reload_is_taken_whole_or_turned_down_whole(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "config.json"
    monkeypatch.setenv("LB_CONFIG", str(path))
    added = {"name": "late", "effect": "at_most_once", "target_ms": 9000.0, "hard_limit_ms": 20000.0}
    faulty = {**added, "name": "faulty", "hard_limit_ms": "9"}

    async def use(port: int, admin: int) -> None:
        raw = {"listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{free_port()}", "known": {}}

        async def reload(classes: list[dict[str, Any]], name: str, count: int) -> dict[str, tuple[float, str]]:
            path.write_text(json.dumps({**raw, "settings": {**SETTINGS, "classes": classes}}))
            os.kill(os.getpid(), signal.SIGHUP)
            while (figures := await conserved(admin))[name][0] < count:
                pass
            return figures

        async def status(class_name: bytes) -> int:
            return (await ask(port, renamed(LOOK.replace(b"look", class_name)))).status

        classes: list[dict[str, Any]] = SETTINGS["classes"]  # type: ignore[assignment]
        assert await status(b"late") == 400
        await reload([*classes[1:], added, faulty], "lb.conf_invalid", 1)
        assert (await status(b"late"), await status(b"look")) == (400, 200)  # nothing of it was taken
        figures = await reload([*classes[1:], added], "lb.conf_loaded", 1)
        assert figures["lb.transactions.late.answered"] == (0, "c")
        assert figures["lb.transactions.look.answered"] == (1, "c")  # stays though the class went
        assert (await status(b"late"), await status(b"look")) == (200, 400)

    play([whole(200)], use)


def test_operators_close_with_their_owner() -> None:
    async def case() -> None:
        async def nobody(name: str, out: bool) -> None:
            return None

        operators, port = AdminServer(lambda: False, lambda: b"", nobody), free_port()
        operators.listen(("127.0.0.1", port))
        assert (await ask(port, GET_HEALTH)).status == 503
        reader, _ = await asyncio.open_connection("127.0.0.1", port)
        await ask(port, GET_STATS)
        operators.close()
        assert await reader.read() == b""

    run(case())
