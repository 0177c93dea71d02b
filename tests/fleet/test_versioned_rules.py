"""Versions of the rules: which change wins, restoring, what is in force, what is retained."""

from __future__ import annotations

from typing import Any

from limenotch.fleet.rules import document as doc
from limenotch.fleet.rules.entries import Activate, EndTry, Out, Put, Try
from limenotch.fleet.rules.versioned_rules import AppliedEntry, VersionedRules
from limenotch.lab.fleet.rules_run import FIRST_DOCUMENT


def put_change(
    rules: VersionedRules, change: dict[str, Any], base: int | None = None, ident: str = "x"
) -> AppliedEntry:
    complete = doc.merge(rules.document(rules.newest), change)
    return rules.apply(Put(ident, rules.newest if base is None else base, doc.encode(complete)))


def attempts(number: int) -> dict[str, Any]:
    return {"settings": {"permissions": {"max_attempts": number}}}


def max_attempts_at(rules: VersionedRules, name: str = "a") -> int:
    return int(rules.document_of(rules.in_force_at(name), True)["settings"]["permissions"]["max_attempts"])


def test_one_of_two_changes_wins_and_the_other_is_told_its_number() -> None:
    rules = VersionedRules(FIRST_DOCUMENT)
    assert put_change(rules, attempts(2), 1) == AppliedEntry("x", True, "", 2)
    lost = put_change(rules, attempts(5), 1, "y")
    assert not lost.ok
    assert "version 2 won" in lost.text


def test_a_version_narrows_when_received_and_widens_when_active() -> None:
    rules = VersionedRules(FIRST_DOCUMENT)
    put_change(rules, attempts(5))
    assert max_attempts_at(rules) == 3
    put_change(rules, attempts(2))
    put_change(rules, attempts(4))
    assert max_attempts_at(rules) == 2
    rules.apply(Activate(3))
    assert max_attempts_at(rules) == 2
    rules.apply(Activate(4))
    assert max_attempts_at(rules) == 4
    assert rules.diff(3, 4) == [("settings.permissions.max_attempts", "widens")]


def test_a_change_that_leaves_no_class_meanwhile_is_rejected() -> None:
    rules = VersionedRules(FIRST_DOCUMENT)
    entry = {"effect": "idempotent", "target_ms": 1, "hard_limit_ms": 2}
    rejected = put_change(rules, {"settings": {"classes": {"read": None, "pay": None, "new": entry}}})
    assert "settings.classes" in rejected.text


def test_a_readmission_ends_only_ejections_reported_before_it() -> None:
    rules = VersionedRules(FIRST_DOCUMENT)
    rules.add_pending_ejection("u", 1, 10)
    rules.add_pending_ejection("v", 2, 10)
    put_change(rules, {"bans": {"u": {"out": False}, "v": {"out": False}}})
    assert rules.in_force_at("a")["bans", "u"][0]
    rules.apply(Activate(2))
    assert not rules.in_force_at("a")["bans", "u"][0]
    assert rules.in_force_at("a")["bans", "v"][0]
    put_change(rules, attempts(2))
    rules.apply(Activate(3))
    assert rules.in_force_at("a")["bans", "v"][0], "a later version of another change readmits nothing"


def test_ejections_while_no_version_can_be_active_take_one_slot() -> None:
    rules = VersionedRules(FIRST_DOCUMENT, max_versions=4)
    for number in range(50):
        assert rules.apply(Out(f"b{number}", f"u{number}")).ok
    assert rules.inactive_count == 1
    assert sum(ejection["out"] for ejection in rules.document_of(rules.in_force_at("a"), True)["bans"].values()) == 50


def test_inactive_and_earlier_versions_are_bounded() -> None:
    rules = VersionedRules(FIRST_DOCUMENT, max_versions=4)
    for _ in range(4):
        assert put_change(rules, attempts(2)).ok
    assert "wait" in put_change(rules, attempts(2)).text
    for _ in range(20):
        rules.apply(Activate(rules.newest))
        assert put_change(rules, attempts(3)).ok
    assert len(rules.by_number) <= 10


def test_the_state_is_restored() -> None:
    rules = VersionedRules(FIRST_DOCUMENT)
    put_change(rules, attempts(5))
    rules.apply(Try("t", 2, doc.encode(doc.merge(rules.document(2), attempts(1))), ("a",)))
    restored = VersionedRules(FIRST_DOCUMENT)
    restored.install(rules.state())
    assert (restored.newest, restored.active, restored.trial) == (2, 1, rules.trial)
    assert restored.in_force_at("a") == rules.in_force_at("a")


def test_a_canary_trial_applies_to_its_members_and_is_kept_or_withdrawn() -> None:
    rules = VersionedRules(FIRST_DOCUMENT)
    trial = doc.encode(doc.merge(FIRST_DOCUMENT, {**attempts(2)}))
    assert rules.apply(Try("t", 1, trial, ("a",))).ok
    assert (max_attempts_at(rules, "a"), max_attempts_at(rules, "b")) == (2, 3)
    assert not rules.apply(Try("s", 1, trial, ("b",))).ok
    rules.apply(EndTry("t", False))
    assert max_attempts_at(rules, "a") == 3
    rules.apply(Try("t2", 1, trial, ("a",)))
    rules.apply(EndTry("t2", True))
    assert (rules.newest, max_attempts_at(rules, "b")) == (2, 2)


def test_without_a_lease_no_request_runs_twice() -> None:
    document = VersionedRules(FIRST_DOCUMENT).document_of(VersionedRules(FIRST_DOCUMENT).restricted(), False)
    assert {entry["effect"] for entry in document["settings"]["classes"]} == {"at_most_once"}
    assert document["settings"]["permissions"] == {"max_attempts": 3, "parallel_tries": False}
    assert document["cold_sends"] is False
