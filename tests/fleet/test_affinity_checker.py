"""The checker of bindings finds each thing that it is for, in a history written by hand, and nothing in a sound one."""

from __future__ import annotations

from typing import NamedTuple

import pytest

from limenotch.lab.fleet.checks_bindings import Checker, Guarantees, Key

GUARANTEES = Guarantees(
    idle_ms=lambda kind, state: (400.0, 1000.0, 300.0, 200.0)[state],
    lifetime_ms=lambda kind: 10_000.0,
    announce_share=0.125,
    drift=0.01,
    propagation_ms=50,
    margin_ms=220,
    convergence_ms=1000,
    agreement_ms=100,
    age_error_ms=5,
)
FLOW: Key = (3, b"f1")
CALL: Key = (0, b"k1")


class Is(NamedTuple):
    endpoint: str = "p1"
    idle_ms: float = 1e9


def three() -> Checker:
    """Members that know each other, and whose beginning is long over."""
    checker = Checker(GUARANTEES, "abc")
    for node in "abc":
        checker.process_started(0.0, node, 1)
        checker.endpoints_changed(0.0, node, ("p1", "p2"))
    for node in "abc":
        for other in "abc":
            checker.member_changed(1.0, node, other, "alive", 1)
    return checker


def ask(checker: Checker, at: float, answers: dict[str, Is | None], key: Key = FLOW) -> None:
    for node, answer in answers.items():
        checker.lookup(at, node, key, answer, True)
    checker.sweep(at)


def wrong(checker: Checker, rule: str) -> None:
    with pytest.raises(AssertionError, match=rf"^{rule}: "):
        checker.check()


def test_a_sound_life() -> None:
    checker = three()
    checker.use_recorded(5000, "a", FLOW, "p1", 1, True)
    ask(checker, 5001, {"a": Is(), "b": None, "c": None})
    ask(checker, 5060, {"a": Is(), "b": Is(), "c": Is()})
    ask(checker, 6150, {"a": Is(), "b": None, "c": Is()})
    ask(checker, 6230, {"a": None, "b": None, "c": None})
    checker.use_recorded(7000, "b", FLOW, "p2", 1, True)
    ask(checker, 7100, {"a": Is("p2"), "b": Is("p2"), "c": Is("p2")})
    checker.check()


def test_dropped_while_another_saw_it() -> None:
    checker = three()
    checker.use_recorded(5000, "a", FLOW, "p1", 1, True)
    ask(checker, 5060, {"a": Is(), "b": Is()})
    checker.use_recorded(5900, "b", FLOW, "p1", 1, True)
    ask(checker, 6100, {"a": None, "b": Is()})
    wrong(checker, "none early")


def test_a_silent_one_is_waited_for_until_it_is_held_dead() -> None:
    for state in ("suspect", "dead"):
        checker = three()
        checker.use_recorded(5000, "a", FLOW, "p1", 1, True)
        ask(checker, 5060, {"a": Is(), "b": Is()})
        checker.use_recorded(5900, "b", FLOW, "p1", 1, True)
        checker.process_ended(5901, "b")
        checker.member_changed(6000, "a", "b", state, 1)
        checker.row_ended(6100, "a", FLOW, "over")
        if state == "dead":
            checker.check()
        else:
            wrong(checker, "none early")


def test_one_that_was_fenced_is_somebody_else() -> None:
    checker = three()
    checker.use_recorded(5000, "a", FLOW, "p1", 1, True)
    ask(checker, 5060, {"a": Is(), "b": Is()})
    checker.use_recorded(5900, "b", FLOW, "p1", 1, True)
    checker.fenced(6000, "b")
    ask(checker, 6100, {"a": None})
    checker.check()


def test_found_too_late() -> None:
    for at in (6220, 6290):
        checker = three()
        checker.use_recorded(5000, "a", FLOW, "p1", 1, True)
        ask(checker, at, {"a": Is()})
        if at == 6220:
            checker.check()
        else:
            wrong(checker, "none late")


def test_a_cut_excuses_only_while_it_lasts_and_mends() -> None:
    for heal, at in ((8000, 9090), (5500, 6730)):
        checker = three()
        checker.use_recorded(5000, "a", FLOW, "p1", 1, True)
        checker.links_impaired(5100, [("a", "b"), ("b", "a")])
        checker.links_impaired(heal, [])
        ask(checker, at, {"a": Is()})
        if heal == 8000:
            checker.check()
        else:
            wrong(checker, "none late")


def test_one_held_dead_excuses_nothing() -> None:
    checker = three()
    checker.use_recorded(8000, "a", FLOW, "p1", 1, True)
    checker.links_impaired(5100, [("a", "b"), ("b", "a")])
    checker.member_changed(5500, "a", "b", "dead", 1)
    ask(checker, 9300, {"a": Is()})
    wrong(checker, "none late")


def test_revived() -> None:
    checker = three()
    checker.use_recorded(5000, "a", FLOW, "p1", 1, True)
    ask(checker, 5060, {"a": Is(), "b": Is()})
    ask(checker, 6100, {"a": None})
    ask(checker, 6110, {"a": Is()})
    wrong(checker, "no revival")


def test_an_age_that_counts_from_hearing() -> None:
    checker = three()
    checker.use_recorded(5000, "a", FLOW, "p1", 1, True)
    ask(checker, 5060, {"b": Is(idle_ms=58)})
    checker.check()
    ask(checker, 5600, {"b": Is(idle_ms=200)})
    wrong(checker, "honest ages")


def test_two_providers_for_too_long() -> None:
    checker = three()
    checker.use_recorded(5000, "a", FLOW, "p1", 1, True)
    checker.use_recorded(5000, "b", FLOW, "p2", 1, True)
    for at in (5010, 5050, 5110):
        ask(checker, at, {"a": Is("p1"), "b": Is("p2")})
    checker.check()
    ask(checker, 5111, {"a": Is("p1"), "b": Is("p2")})
    wrong(checker, "one provider")


def test_moved_without_need() -> None:
    for gone in (True, False):
        checker = three()
        checker.use_recorded(5000, "a", FLOW, "p1", 1, True)
        ask(checker, 5060, {name: Is("p1") for name in "abc"})
        if gone:
            checker.endpoints_changed(5065, "b", ("p2",))
        ask(checker, 5080, {name: Is("p2") for name in "abc"})
        if gone:
            checker.check()
        else:
            wrong(checker, "one provider")


def test_missing_in_calm() -> None:
    checker = three()
    checker.use_recorded(5000, "a", FLOW, "p1", 1, True)
    ask(checker, 5100, {"a": Is(), "b": None})
    checker.check()
    ask(checker, 5151, {"a": Is(), "b": None})
    wrong(checker, "none missing")


def test_found_at_a_provider_that_went() -> None:
    checker = three()
    checker.use_recorded(5000, "a", FLOW, "p1", 1, True)
    checker.use_recorded(5000, "a", CALL, "p1", 1, True)
    checker.endpoints_changed(5100, "a", ("p2",))
    ask(checker, 5345, {"a": Is()})
    ask(checker, 5400, {"a": Is()}, CALL)
    checker.check()
    ask(checker, 5360, {"a": Is()})
    wrong(checker, "gone")


def test_a_call_gives_way_inside_its_window() -> None:
    checker = three()
    checker.use_recorded(5000, "a", CALL, "p1", 1, True)
    checker.row_ended(5900, "a", CALL, "full")
    wrong(checker, "full")


def test_two_orders() -> None:
    checker = three()
    other: Key = (3, b"f2")
    for key in (FLOW, other):
        checker.use_recorded(5000, "a", key, "p1", 1, True)
    for node, order in (("a", (FLOW, other)), ("b", (other, FLOW))):
        for key in order:
            checker.row_ended(5500, node, key, "full")
    checker.check()
    checker.check_eviction_order(5600)
    wrong(checker, "full")
