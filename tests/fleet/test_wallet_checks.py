"""The checker of spending against histories made by hand: one that is right, and one for each thing it must find."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from limenotch.lab.fleet.checks_wallet import Checker, Claim, Kept, Part

A1 = ("a", 1, 1)
WITNESSES = (("a", 1), ("b", 1), ("c", 1))


def granted(held: int = 10) -> Checker:
    """100 credited, a slice of ten at a."""
    checker = Checker(step=0.25)
    for name in "abc":
        checker.started(name, 1)
    checker.asked("t", "x", 100)
    checker.agreed(1.0, "a", 1, {"t": Kept(100, 0, 100, {})})
    checker.answered("t", "x", "done")
    checker.agreed(2.0, "a", 2, {"t": Kept(100, 0, 100 - held, {A1: Part(held, 0, WITNESSES)})})
    return checker


def spend(checker: Checker, many: int, first: int = 0) -> None:
    for number in range(first, first + many):
        checker.reserved(3.0, "a", 1, number, "t", ((1, 1),))
        checker.charged("a", 1, number, "t", ((1, 1),))


def close(checker: Checker, spent: int, expired: bool = False) -> None:
    checker.agreed(9.0, "b", 3, {"t": Kept(100, spent, 100 - spent, {})}, {("t", *A1): Claim(spent, expired)})


def test_a_history_that_is_right() -> None:
    checker = granted()
    spend(checker, 6)
    checker.reserved(4.0, "a", 1, 7, "t", ((1, 2),))
    checker.given_back("a", 1, 7, "t", ((1, 2),))
    checker.turned(4.5, "a", "t")
    checker.agreed(5.0, "b", 1, {"t": Kept(100, 0, 100, {})})
    close(checker, 6)
    checker.finished()
    assert checker.sums["t"].charged == 6 and checker.sums["t"].reserved == 0


def test_what_a_death_may_count_is_a_step_and_the_whole_without_witnesses() -> None:
    for dead, counted, right in (("a", 9, True), ("a", 10, False), ("abc", 10, True), ("ab", 10, True)):
        checker = granted()
        spend(checker, 6)
        for name in dead:
            checker.died(name)
        close(checker, counted, expired=True)
        if right:
            checker.finished()
        else:
            with pytest.raises(AssertionError, match="for nothing"):
                checker.finished()


def test_what_was_given_back_may_be_under_a_mark_and_a_holder_counts_exactly() -> None:
    checker = granted()
    checker.reserved(3.0, "a", 1, 1, "t", ((1, 6),))
    checker.given_back("a", 1, 1, "t", ((1, 6),))
    close(checker, 9, expired=True)
    checker.finished()
    checker = granted()
    close(checker, 1)
    with pytest.raises(AssertionError, match="for nothing"):
        checker.finished()


def overspends(checker: Checker) -> None:
    """The agreed states are right, and yet more is taken in all."""
    checker.asked("u", "y", 100)
    checker.agreed(2.5, "a", 3, {"t": Kept(100, 0, 90, {A1: Part(10, 0)}), "u": Kept(5, 0, 0, {A1: Part(5, 0)})})
    checker.slices[("u", *A1)].top = 100
    for number in range(6):
        checker.reserved(3.0, "a", 1, 50 + number, "u", ((1, 1),))


def more_than_the_slice(checker: Checker) -> None:
    spend(checker, 11)


def after_the_closing(checker: Checker) -> None:
    spend(checker, 6)
    close(checker, 6)
    spend(checker, 1, 6)


def closed_for_less(checker: Checker) -> None:
    spend(checker, 6)
    close(checker, 5)


def without_a_slice(checker: Checker) -> None:
    checker.reserved(3.0, "b", 1, 1, "t", ((1, 1),))


def dead_and_reserves(checker: Checker) -> None:
    checker.started("a", 2)
    spend(checker, 1)


def ends_twice(checker: Checker) -> None:
    spend(checker, 1)
    checker.charged("a", 1, 0, "t", ((1, 1),))


def does_not_add_up(checker: Checker) -> None:
    checker.agreed(5.0, "b", 3, {"t": Kept(100, 0, 100, {A1: Part(10, 0)})})


def below_nothing(checker: Checker) -> None:
    checker.agreed(5.0, "b", 3, {"t": Kept(100, 101, -1, {})})


def counted_twice(checker: Checker) -> None:
    checker.agreed(5.0, "b", 3, {"t": Kept(200, 0, 190, {A1: Part(10, 0)})})


def credit_gone(checker: Checker) -> None:
    checker.agreed(5.0, "b", 3, {"t": Kept(50, 0, 40, {A1: Part(10, 0)})})


def wallet_gone(checker: Checker) -> None:
    checker.agreed(5.0, "b", 3, {})


def answered_and_lost(checker: Checker) -> None:
    close(checker, 0)
    checker.asked("t", "z", 50)
    checker.answered("t", "z", "counted")
    checker.finished()


def differs(checker: Checker) -> None:
    checker.agreed(5.0, "b", 2, {"t": Kept(100, 0, 91, {A1: Part(9, 0)})})


def grows(checker: Checker) -> None:
    checker.agreed(5.0, "b", 3, {"t": Kept(100, 0, 85, {A1: Part(15, 0)})})


def narrowed_below(checker: Checker) -> None:
    spend(checker, 6)
    checker.agreed(5.0, "b", 3, {"t": Kept(100, 4, 91, {A1: Part(9, 4)})})
    checker.agreed(6.0, "b", 4, {"t": Kept(100, 4, 95, {A1: Part(5, 4)})})


def spent_of_nothing(checker: Checker) -> None:
    checker.agreed(5.0, "b", 3, {"t": Kept(100, 7, 83, {A1: Part(10, 0)})})


def never_comes_in(checker: Checker) -> None:
    checker.finished()


FOUND: dict[Callable[[Checker], None], str] = {
    overspends: "overspent",
    more_than_the_slice: "slice 1 has 10",
    after_the_closing: "6 and is closed, 7 are taken",
    closed_for_less: "5 spent, 6 are taken",
    without_a_slice: "agreed nowhere",
    dead_and_reserves: "after its end",
    ends_twice: "ends twice",
    does_not_add_up: "is not spent",
    below_nothing: "below 0",
    counted_twice: "all ids",
    credit_gone: "credit fell",
    wallet_gone: "wallets gone",
    answered_and_lost: "credit lost",
    differs: "differs",
    grows: "grew",
    narrowed_below: "has 5 now, 6 are taken",
    spent_of_nothing: "7 more than its slices",
    never_comes_in: "held yet",
}


@pytest.mark.parametrize("history", FOUND, ids=lambda history: history.__name__)
def test_what_it_must_find(history: Callable[[Checker], None]) -> None:
    checker = granted()
    with pytest.raises(AssertionError, match=FOUND[history]):
        history(checker)


def test_several_that_end_in_one_entry_are_told_apart_by_what_it_claims() -> None:
    checker, b1 = granted(), ("b", 1, 2)
    checker.agreed(2.5, "a", 3, {"t": Kept(100, 0, 80, {A1: Part(10, 0, WITNESSES), b1: Part(10, 0, WITNESSES)})})
    spend(checker, 6)
    claims = {("t", *A1): Claim(6, False), ("t", *b1): Claim(0, False)}
    checker.agreed(4.0, "a", 4, {"t": Kept(100, 6, 94, {})}, claims)
    checker.finished()
    assert checker.slices[("t", *A1)].spent == 6


def test_pause_and_resume_are_from_the_first_turned_away_and_from_the_answer() -> None:
    checker = granted(100)
    checker.turned(1.0, "b", "t")
    checker.empties["t"] = [2.0]
    spend(checker, 100)
    checker.turned(100.0, "b", "t")
    checker.reserved(2.0, "a", 1, 500, "t", ())
    assert checker.paused_ms("t", 2.0) == 0.0
    checker.sums["t"].served += [(160.0, "a"), (300.0, "a"), (340.0, "b")]
    assert checker.paused_ms("t", 2.0) == 240.0
    assert checker.resumed_ms("t", 250.0, "ab") == 90.0
    assert checker.resumed_ms("t", 310.0, "ab") == float("inf")
