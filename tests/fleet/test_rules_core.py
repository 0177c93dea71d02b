"""The part over the log: operators' answers, fencing, canaries, bad messages, snapshots."""

from __future__ import annotations

from typing import Any

import pytest

from limenotch.fleet.interfaces import Fenced, MessageReceived, Started
from limenotch.fleet.rules import Rules, Tuning, api, messages
from limenotch.fleet.rules.canary import Tuning as Canary
from limenotch.lab.fleet import faults
from limenotch.lab.fleet.rules_run import FIRST, LOG, Run, settings_check


def started(**settings: Any) -> Run:
    run = Run("abcd", ("a", "b", "c"), 3, **settings)
    run.settled()
    return run


def attempts(number: int) -> dict[str, Any]:
    return {"settings": {"permissions": {"max_attempts": number}}}


def text(run: Run, ticket: int, after_ms: float = 1000) -> tuple[bool, str]:
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
def test_a_refused_change_names_its_key(change: Any, key: str) -> None:
    run = started()
    ok, why = text(run, run.ask("d", "propose", change=change))
    assert not ok
    assert why.startswith(key)


def test_an_old_base_hears_who_won_and_an_id_counts_once() -> None:
    run = started()
    ticket = run.ask("d", "propose", change=attempts(2))
    assert text(run, ticket) == (True, "")
    assert "version 2 won" in text(run, run.ask("b", "propose", change=attempts(4), base=1))[1]
    run.world.poke("d", api.OperatorRequest(99, "propose", {"change": attempts(2)}, f"ask{ticket}"))
    assert run.answers[-1][2] == api.OperatorResponse(99, True, "", 2)
    assert text(run, run.ask("b", "diff", one=1, two=2)) == (True, "settings.permissions.max_attempts narrows")
    assert text(run, run.ask("b", "back", to=77))[1].startswith("version 77")


def test_fenced_drops_its_lease_at_once() -> None:
    run = started()
    run.world.poke("d", Fenced())
    assert run.checker.acts["d"][-1].until_ms < 0
    run.settled()


def test_a_quorum_of_voters_must_look() -> None:
    run = started()
    run.world.fault(faults.parse("cut b c | a d"))
    leader = run.leader()
    assert leader is not None
    ok, why = text(run, run.ask(leader, "propose", change=attempts(2)), 4000)
    assert not ok or leader in ("b", "c")


def test_a_ban_without_a_quorum_acts_where_it_was_heard() -> None:
    run = started()
    run.world.fault(faults.parse("cut a | b | c d"))
    run.world.run(run.world.now + 2000)
    assert text(run, run.ask("c", "ban", upstream="u1"), 4000)[1].startswith("told, not agreed")
    for name, out in (("c", True), ("d", True), ("a", False)):
        rules = run.rules(name)
        assert rules is not None
        assert rules.book.narrow().get(("bans", "u1"), (False, 0.0))[0] is out
    run.world.fault(faults.parse("heal"))
    run.settled()
    assert max(run.checker.versions) == 2


def test_a_canary_goes_back_on_a_rise_and_is_kept_without_one() -> None:
    tuning = Tuning(lease_ms=600, canary=Canary(span_ms=8000, least_calls=100))
    for bad, newest in ((3, 1), (0, 2)):
        run = started(tuning=tuning)
        assert text(run, run.ask("d", "propose", change=attempts(2), canary=["b"])) == (True, "")
        rules = run.rules("b")
        assert rules is not None
        assert rules.book.acting("b") != rules.book.acting("a")
        for _ in range(24):
            run.world.run(run.world.now + 500)
            for name in "abcd":
                run.world.poke(name, api.Counted(50, bad if name == "b" else 0))
        assert rules.book.trial is None
        assert rules.book.newest == newest


def test_a_snapshot_brings_an_empty_member_to_the_same_rules() -> None:
    run = started(log_tuning=LOG)
    for number in range(24):
        text(run, run.ask("d", "propose", change=attempts(1 + number % 3)), 700)
    run.world.wipe("d")
    run.world.start("d")
    run.settled()
    one, two = run.rules("d"), run.rules("a")
    assert one is not None and two is not None
    assert one.book.state() == two.book.state()
    assert one.book.newest == 25


def test_bad_messages_change_nothing() -> None:
    rules = Rules("a", 1, ("a", "b", "c"), FIRST, settings_check)
    rules.handle(0.0, Started())
    at = ("b", 1)
    bad = [
        messages.Grant(5, 1e9, 1),
        messages.Looked("x", ""),
        messages.Verdict("x", "y", 3),
        messages.Told("u" * 500, 1),
        messages.Suggest("x", 1, b"{", 0),
        messages.Look("x", b"\xff"),
        messages.AskLease(1, 1, 1, 1, 1, 1),
        messages.Count("x", 1, 2),
    ]
    for message in bad:
        assert not [act for act in rules.handle(1.0, MessageReceived(at, "b", message)) if isinstance(act, api.InForce)]
    assert rules.book.newest == 1
    with pytest.raises(TypeError):
        rules.handle(2.0, "x")
    with pytest.raises(ValueError, match="back"):
        rules.handle(0.5, Started())


def test_it_is_the_logs_leader_that_grants() -> None:
    run = started()
    assert [name for name in run.names if (rules := run.rules(name)) and rules.granter.records] == [run.leader()]


def test_who_comes_new_exchanges_all_bans_with_the_first_it_hears_of() -> None:
    """More than ride on an ask for a lease, and none of them in the log."""
    run = Run("abcd", ("a", "b", "c"), 5)
    run.settled()
    run.kill("d")
    run.world.run(run.world.now + 1000)
    run.world.fault(faults.parse("cut a | b | c | d"))
    run.world.run(run.world.now + 2000)
    for number in range(20):
        run.ask("b", "ban", upstream=f"u{number}")
    run.world.run(run.world.now + 100)
    run.world.fault(faults.parse("heal"))
    run.world.fault(faults.parse("cut a | b c d"))
    run.world.fault(faults.parse("cut c | a b d"))  # no quorum: nothing can be agreed
    run.world.start("d")
    run.world.run(run.world.now + 10)
    rules = run.rules("d")
    assert rules is not None and not rules.holder.is_valid(run.world.nodes["d"].clock(run.world.now))
    assert set(rules.book.told) == {f"u{number}" for number in range(20)}
    assert all(rules.book.narrow()[("bans", name)][0] for name in rules.book.told)
    run.world.fault(faults.parse("heal"))
    run.settled()
    run.world.run(run.world.now + 3000)  # some at a time go into the log
    assert all(one is not None and not one.book.told for one in map(run.rules, "abcd"))
