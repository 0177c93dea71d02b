"""The rules component over the log: responses to operators, fencing, canary trials, invalid messages, snapshots."""

from __future__ import annotations

from typing import Any

import pytest

from limenotch.fleet.interfaces import Fenced, MessageReceived, Started
from limenotch.fleet.rules import Rules, Tuning, api, messages
from limenotch.fleet.rules.canary import Tuning as CanaryTuning
from limenotch.lab.fleet import faults
from limenotch.lab.fleet.rules_run import FIRST_DOCUMENT, LOG_TUNING, RulesRun, settings_check


def started_run(**settings: Any) -> RulesRun:
    run = RulesRun("abcd", ("a", "b", "c"), 3, **settings)
    run.converge()
    return run


def attempts(number: int) -> dict[str, Any]:
    return {"settings": {"permissions": {"max_attempts": number}}}


def outcome(run: RulesRun, ticket: int, after_ms: float = 1000) -> tuple[bool, str]:
    run.world.run(run.world.now + after_ms)
    answer = run.answer(ticket)
    assert answer is not None
    return answer.ok, answer.text


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"settings": {"classes": {"pay": {"target_ms": -1}}}}, "settings.classes[1].target_ms"),
        ({"settings": {"rank": 1}}, "settings.rank"),
        ({"odd": 1}, "odd"),
        (3, "change"),
    ],
)
def test_a_rejected_change_names_its_key(change: Any, key: str) -> None:
    run = started_run()
    ok, reason = outcome(run, run.ask("d", "propose", change=change))
    assert not ok
    assert reason.startswith(key)


def test_a_change_of_an_old_base_is_told_the_winner_and_an_id_counts_once() -> None:
    run = started_run()
    ticket = run.ask("d", "propose", change=attempts(2))
    assert outcome(run, ticket) == (True, "")
    assert "version 2 won" in outcome(run, run.ask("b", "propose", change=attempts(4), base=1))[1]
    run.world.deliver_event("d", api.OperatorRequest(99, "propose", {"change": attempts(2)}, f"ask{ticket}"))
    assert run.answers[-1][2] == api.OperatorResponse(99, True, "", 2)
    assert outcome(run, run.ask("b", "diff", one=1, two=2)) == (True, "settings.permissions.max_attempts narrows")
    assert outcome(run, run.ask("b", "back", to=77))[1].startswith("version 77")


def test_a_fenced_sidecar_releases_its_lease_at_once() -> None:
    run = started_run()
    run.world.deliver_event("d", Fenced())
    assert run.checker.reports["d"][-1].until_ms < 0
    run.converge()


def test_a_quorum_of_voters_must_check_a_change() -> None:
    run = started_run()
    run.world.apply_fault(faults.parse("cut b c | a d"))
    leader = run.leader()
    assert leader is not None
    ok, reason = outcome(run, run.ask(leader, "propose", change=attempts(2)), 4000)
    assert not ok or leader in ("b", "c")


def test_an_ejection_without_a_quorum_applies_where_it_was_received() -> None:
    run = started_run()
    run.world.apply_fault(faults.parse("cut a | b | c d"))
    run.world.run(run.world.now + 2000)
    assert outcome(run, run.ask("c", "ban", upstream="u1"), 4000)[1].startswith("told, not agreed")
    for name, ejected in (("c", True), ("d", True), ("a", False)):
        component = run.component(name)
        assert component is not None
        assert component.rules.restricted().get(("bans", "u1"), (False, 0.0))[0] is ejected
    run.world.apply_fault(faults.parse("heal"))
    run.converge()
    assert max(run.checker.versions) == 2


def test_a_canary_trial_is_withdrawn_on_a_rise_and_kept_without_one() -> None:
    tuning = Tuning(lease_ms=600, canary=CanaryTuning(span_ms=8000, least_calls=100))
    for unsuccessful, newest in ((3, 1), (0, 2)):
        run = started_run(tuning=tuning)
        assert outcome(run, run.ask("d", "propose", change=attempts(2), canary=["b"])) == (True, "")
        component = run.component("b")
        assert component is not None
        assert component.rules.in_force_at("b") != component.rules.in_force_at("a")
        for _ in range(24):
            run.world.run(run.world.now + 500)
            for name in "abcd":
                run.world.deliver_event(name, api.RequestsCounted(50, unsuccessful if name == "b" else 0))
        assert component.rules.trial is None
        assert component.rules.newest == newest


def test_a_snapshot_gives_an_empty_member_the_same_rules() -> None:
    run = started_run(log_tuning=LOG_TUNING)
    for number in range(24):
        outcome(run, run.ask("d", "propose", change=attempts(1 + number % 3)), 700)
    run.world.wipe("d")
    run.world.start("d")
    run.converge()
    joined, member = run.component("d"), run.component("a")
    assert joined is not None and member is not None
    assert joined.rules.state() == member.rules.state()
    assert joined.rules.newest == 25


def test_invalid_messages_change_nothing() -> None:
    component = Rules("a", 1, ("a", "b", "c"), FIRST_DOCUMENT, settings_check)
    component.handle(0.0, Started())
    address = ("b", 1)
    invalid = [
        messages.LeaseGrant(5, 1e9, 1),
        messages.CheckResult("x", ""),
        messages.ChangeRejected("x", "y", 3),
        messages.EjectionNotice("u" * 500, 1),
        messages.ChangeProposal("x", 1, b"{", 0),
        messages.CheckRequest("x", b"\xff"),
        messages.LeaseRequest(1, 1, 1, 1, 1, 1),
        messages.CanaryCounts("x", 1, 2),
    ]
    for message in invalid:
        assert not [
            action
            for action in component.handle(1.0, MessageReceived(address, "b", message))
            if isinstance(action, api.RulesInForce)
        ]
    assert component.rules.newest == 1
    with pytest.raises(TypeError):
        component.handle(2.0, "x")
    with pytest.raises(ValueError, match="back"):
        component.handle(0.5, Started())


def test_only_the_leader_of_the_log_grants_leases() -> None:
    run = started_run()
    assert [name for name in run.names if (component := run.component(name)) and component.granter.records] == [
        run.leader()
    ]


def test_a_new_member_exchanges_all_ejections_with_the_first_peers() -> None:
    """More ejections than go along with a lease request, and none of them is in the log."""
    run = RulesRun("abcd", ("a", "b", "c"), 5)
    run.converge()
    run.kill("d")
    run.world.run(run.world.now + 1000)
    run.world.apply_fault(faults.parse("cut a | b | c | d"))
    run.world.run(run.world.now + 2000)
    for number in range(20):
        run.ask("b", "ban", upstream=f"u{number}")
    run.world.run(run.world.now + 100)
    run.world.apply_fault(faults.parse("heal"))
    run.world.apply_fault(faults.parse("cut a | b c d"))
    run.world.apply_fault(faults.parse("cut c | a b d"))  # no quorum: nothing can be agreed on
    run.world.start("d")
    run.world.run(run.world.now + 10)
    component = run.component("d")
    assert component is not None and not component.lease.is_valid(run.world.nodes["d"].monotonic_ms(run.world.now))
    assert set(component.rules.pending_ejections) == {f"u{number}" for number in range(20)}
    assert all(component.rules.restricted()[("bans", name)][0] for name in component.rules.pending_ejections)
    run.world.apply_fault(faults.parse("heal"))
    run.converge()
    run.world.run(run.world.now + 3000)  # a few at a time are put into the log
    assert all(each is not None and not each.rules.pending_ejections for each in map(run.component, "abcd"))
