"""The affinity checker finds each kind of violation in a history written by hand, and none in a valid one."""

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
KEY: Key = (0, b"k1")


class Found(NamedTuple):
    endpoint: str = "p1"
    idle_ms: float = 1e9


def three_members() -> Checker:
    """A checker with three members that know each other and started long ago."""
    checker = Checker(GUARANTEES, "abc")
    for node in "abc":
        checker.process_started(0.0, node, 1)
        checker.endpoints_changed(0.0, node, ("p1", "p2"))
    for node in "abc":
        for other in "abc":
            checker.member_changed(1.0, node, other, "alive", 1)
    return checker


def lookup_all(checker: Checker, now: float, answers: dict[str, Found | None], key: Key = FLOW) -> None:
    for node, answer in answers.items():
        checker.lookup(now, node, key, answer, True)
    checker.sweep(now)


def assert_violated(checker: Checker, rule: str) -> None:
    with pytest.raises(AssertionError, match=rf"^{rule}: "):
        checker.check()


def test_a_valid_history() -> None:
    checker = three_members()
    checker.use_recorded(5000, "a", FLOW, "p1", 1, True)
    lookup_all(checker, 5001, {"a": Found(), "b": None, "c": None})
    lookup_all(checker, 5060, {"a": Found(), "b": Found(), "c": Found()})
    lookup_all(checker, 6150, {"a": Found(), "b": None, "c": Found()})
    lookup_all(checker, 6230, {"a": None, "b": None, "c": None})
    checker.use_recorded(7000, "b", FLOW, "p2", 1, True)
    lookup_all(checker, 7100, {"a": Found("p2"), "b": Found("p2"), "c": Found("p2")})
    checker.check()


def test_removed_while_another_member_used_it() -> None:
    checker = three_members()
    checker.use_recorded(5000, "a", FLOW, "p1", 1, True)
    lookup_all(checker, 5060, {"a": Found(), "b": Found()})
    checker.use_recorded(5900, "b", FLOW, "p1", 1, True)
    lookup_all(checker, 6100, {"a": None, "b": Found()})
    assert_violated(checker, "none early")


def test_a_silent_member_is_waited_for_until_it_is_held_dead() -> None:
    for state in ("suspect", "dead"):
        checker = three_members()
        checker.use_recorded(5000, "a", FLOW, "p1", 1, True)
        lookup_all(checker, 5060, {"a": Found(), "b": Found()})
        checker.use_recorded(5900, "b", FLOW, "p1", 1, True)
        checker.process_ended(5901, "b")
        checker.member_changed(6000, "a", "b", state, 1)
        checker.row_ended(6100, "a", FLOW, "over")
        if state == "dead":
            checker.check()
        else:
            assert_violated(checker, "none early")


def test_a_fenced_member_is_not_waited_for() -> None:
    checker = three_members()
    checker.use_recorded(5000, "a", FLOW, "p1", 1, True)
    lookup_all(checker, 5060, {"a": Found(), "b": Found()})
    checker.use_recorded(5900, "b", FLOW, "p1", 1, True)
    checker.fenced(6000, "b")
    lookup_all(checker, 6100, {"a": None})
    checker.check()


def test_found_too_late() -> None:
    for now in (6220, 6290):
        checker = three_members()
        checker.use_recorded(5000, "a", FLOW, "p1", 1, True)
        lookup_all(checker, now, {"a": Found()})
        if now == 6220:
            checker.check()
        else:
            assert_violated(checker, "none late")


def test_a_partition_excuses_lateness_only_until_convergence() -> None:
    for heal, now in ((8000, 9090), (5500, 6730)):
        checker = three_members()
        checker.use_recorded(5000, "a", FLOW, "p1", 1, True)
        checker.links_impaired(5100, [("a", "b"), ("b", "a")])
        checker.links_impaired(heal, [])
        lookup_all(checker, now, {"a": Found()})
        if heal == 8000:
            checker.check()
        else:
            assert_violated(checker, "none late")


def test_a_member_held_dead_excuses_nothing() -> None:
    checker = three_members()
    checker.use_recorded(8000, "a", FLOW, "p1", 1, True)
    checker.links_impaired(5100, [("a", "b"), ("b", "a")])
    checker.member_changed(5500, "a", "b", "dead", 1)
    lookup_all(checker, 9300, {"a": Found()})
    assert_violated(checker, "none late")


def test_revival_of_an_expired_key() -> None:
    checker = three_members()
    checker.use_recorded(5000, "a", FLOW, "p1", 1, True)
    lookup_all(checker, 5060, {"a": Found(), "b": Found()})
    lookup_all(checker, 6100, {"a": None})
    lookup_all(checker, 6110, {"a": Found()})
    assert_violated(checker, "no revival")


def test_an_age_counted_from_receipt() -> None:
    checker = three_members()
    checker.use_recorded(5000, "a", FLOW, "p1", 1, True)
    lookup_all(checker, 5060, {"b": Found(idle_ms=58)})
    checker.check()
    lookup_all(checker, 5600, {"b": Found(idle_ms=200)})
    assert_violated(checker, "honest ages")


def test_two_endpoints_for_too_long() -> None:
    checker = three_members()
    checker.use_recorded(5000, "a", FLOW, "p1", 1, True)
    checker.use_recorded(5000, "b", FLOW, "p2", 1, True)
    for now in (5010, 5050, 5110):
        lookup_all(checker, now, {"a": Found("p1"), "b": Found("p2")})
    checker.check()
    lookup_all(checker, 5111, {"a": Found("p1"), "b": Found("p2")})
    assert_violated(checker, "one provider")


def test_a_needless_move() -> None:
    for removed in (True, False):
        checker = three_members()
        checker.use_recorded(5000, "a", FLOW, "p1", 1, True)
        lookup_all(checker, 5060, {name: Found("p1") for name in "abc"})
        if removed:
            checker.endpoints_changed(5065, "b", ("p2",))
        lookup_all(checker, 5080, {name: Found("p2") for name in "abc"})
        if removed:
            checker.check()
        else:
            assert_violated(checker, "one provider")


def test_missing_in_calm() -> None:
    checker = three_members()
    checker.use_recorded(5000, "a", FLOW, "p1", 1, True)
    lookup_all(checker, 5100, {"a": Found(), "b": None})
    checker.check()
    lookup_all(checker, 5151, {"a": Found(), "b": None})
    assert_violated(checker, "none missing")


def test_found_at_a_removed_endpoint() -> None:
    checker = three_members()
    checker.use_recorded(5000, "a", FLOW, "p1", 1, True)
    checker.use_recorded(5000, "a", KEY, "p1", 1, True)
    checker.endpoints_changed(5100, "a", ("p2",))
    lookup_all(checker, 5345, {"a": Found()})
    lookup_all(checker, 5400, {"a": Found()}, KEY)
    checker.check()
    lookup_all(checker, 5360, {"a": Found()})
    assert_violated(checker, "gone")


def test_a_key_evicted_inside_its_window() -> None:
    checker = three_members()
    checker.use_recorded(5000, "a", KEY, "p1", 1, True)
    checker.row_ended(5900, "a", KEY, "full")
    assert_violated(checker, "full")


def test_two_eviction_orders() -> None:
    checker = three_members()
    other: Key = (3, b"f2")
    for key in (FLOW, other):
        checker.use_recorded(5000, "a", key, "p1", 1, True)
    for node, order in (("a", (FLOW, other)), ("b", (other, FLOW))):
        for key in order:
            checker.row_ended(5500, node, key, "full")
    checker.check()
    checker.check_eviction_order(5600)
    assert_violated(checker, "full")
