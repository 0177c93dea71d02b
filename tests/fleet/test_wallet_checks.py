"""The wallet's checker on histories written by hand: a correct one, and one for each fault that it must find."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from limenotch.lab.fleet.checks_wallet import AgreedAllocation, AgreedWallet, Checker, Claim

A1 = ("a", 1, 1)
WITNESSES = (("a", 1), ("b", 1), ("c", 1))


def granted_checker(amount: int = 10) -> Checker:
    """100 credited, an allocation of ten at a."""
    checker = Checker(step=0.25)
    for name in "abc":
        checker.started(name, 1)
    checker.credit_requested("t", "x", 100)
    checker.state_applied(1.0, "a", 1, {"t": AgreedWallet(100, 0, 100, {})})
    checker.responded("t", "x", "done")
    checker.state_applied(
        2.0, "a", 2, {"t": AgreedWallet(100, 0, 100 - amount, {A1: AgreedAllocation(amount, 0, WITNESSES)})}
    )
    return checker


def spend(checker: Checker, count: int, first_number: int = 0) -> None:
    for number in range(first_number, first_number + count):
        checker.reserved(3.0, "a", 1, number, "t", ((1, 1),))
        checker.charged("a", 1, number, "t", ((1, 1),))


def close_allocation(checker: Checker, spent: int, expired: bool = False) -> None:
    checker.state_applied(
        9.0, "b", 3, {"t": AgreedWallet(100, spent, 100 - spent, {})}, {("t", *A1): Claim(spent, expired)}
    )


def test_a_valid_history() -> None:
    checker = granted_checker()
    spend(checker, 6)
    checker.reserved(4.0, "a", 1, 7, "t", ((1, 2),))
    checker.released("a", 1, 7, "t", ((1, 2),))
    checker.rejected(4.5, "a", "t")
    checker.state_applied(5.0, "b", 1, {"t": AgreedWallet(100, 0, 100, {})})
    close_allocation(checker, 6)
    checker.check_final_state()
    assert checker.totals["t"].charged == 6 and checker.totals["t"].reserved == 0


def test_crash_may_count_a_step_or_all_without_witnesses() -> None:
    for crashed, counted, is_valid in (("a", 9, True), ("a", 10, False), ("abc", 10, True), ("ab", 10, True)):
        checker = granted_checker()
        spend(checker, 6)
        for name in crashed:
            checker.died(name)
        close_allocation(checker, counted, expired=True)
        if is_valid:
            checker.check_final_state()
        else:
            with pytest.raises(AssertionError, match="wrongly count"):
                checker.check_final_state()


def test_released_units_may_count_at_expiry_but_not_at_settlement() -> None:
    checker = granted_checker()
    checker.reserved(3.0, "a", 1, 1, "t", ((1, 6),))
    checker.released("a", 1, 1, "t", ((1, 6),))
    close_allocation(checker, 9, expired=True)
    checker.check_final_state()
    checker = granted_checker()
    close_allocation(checker, 1)
    with pytest.raises(AssertionError, match="wrongly count"):
        checker.check_final_state()


def overspent_in_total(checker: Checker) -> None:
    """The replicated states are consistent, and yet more is reserved in total than the credit."""
    checker.credit_requested("u", "y", 100)
    checker.state_applied(
        2.5,
        "a",
        3,
        {
            "t": AgreedWallet(100, 0, 90, {A1: AgreedAllocation(10, 0)}),
            "u": AgreedWallet(5, 0, 0, {A1: AgreedAllocation(5, 0)}),
        },
    )
    checker.allocations[("u", *A1)].ceiling = 100
    for number in range(6):
        checker.reserved(3.0, "a", 1, 50 + number, "u", ((1, 1),))


def more_than_the_allocation(checker: Checker) -> None:
    spend(checker, 11)


def reserved_after_the_closing(checker: Checker) -> None:
    spend(checker, 6)
    close_allocation(checker, 6)
    spend(checker, 1, 6)


def closed_for_less_than_taken(checker: Checker) -> None:
    spend(checker, 6)
    close_allocation(checker, 5)


def reserved_without_an_allocation(checker: Checker) -> None:
    checker.reserved(3.0, "b", 1, 1, "t", ((1, 1),))


def reserved_by_an_ended_process(checker: Checker) -> None:
    checker.started("a", 2)
    spend(checker, 1)


def request_ended_twice(checker: Checker) -> None:
    spend(checker, 1)
    checker.charged("a", 1, 0, "t", ((1, 1),))


def unbalanced_wallet(checker: Checker) -> None:
    checker.state_applied(5.0, "b", 3, {"t": AgreedWallet(100, 0, 100, {A1: AgreedAllocation(10, 0)})})


def negative_balance(checker: Checker) -> None:
    checker.state_applied(5.0, "b", 3, {"t": AgreedWallet(100, 101, -1, {})})


def credit_counted_twice(checker: Checker) -> None:
    checker.state_applied(5.0, "b", 3, {"t": AgreedWallet(200, 0, 190, {A1: AgreedAllocation(10, 0)})})


def credit_decreased(checker: Checker) -> None:
    checker.state_applied(5.0, "b", 3, {"t": AgreedWallet(50, 0, 40, {A1: AgreedAllocation(10, 0)})})


def wallet_missing(checker: Checker) -> None:
    checker.state_applied(5.0, "b", 3, {})


def confirmed_credit_lost(checker: Checker) -> None:
    close_allocation(checker, 0)
    checker.credit_requested("t", "z", 50)
    checker.responded("t", "z", "counted")
    checker.check_final_state()


def different_states(checker: Checker) -> None:
    checker.state_applied(5.0, "b", 2, {"t": AgreedWallet(100, 0, 91, {A1: AgreedAllocation(9, 0)})})


def allocation_grows(checker: Checker) -> None:
    checker.state_applied(5.0, "b", 3, {"t": AgreedWallet(100, 0, 85, {A1: AgreedAllocation(15, 0)})})


def ceiling_below_taken(checker: Checker) -> None:
    spend(checker, 6)
    checker.state_applied(5.0, "b", 3, {"t": AgreedWallet(100, 4, 91, {A1: AgreedAllocation(9, 4)})})
    checker.state_applied(6.0, "b", 4, {"t": AgreedWallet(100, 4, 95, {A1: AgreedAllocation(5, 4)})})


def spent_without_an_allocation(checker: Checker) -> None:
    checker.state_applied(5.0, "b", 3, {"t": AgreedWallet(100, 7, 83, {A1: AgreedAllocation(10, 0)})})


def allocation_never_settled(checker: Checker) -> None:
    checker.check_final_state()


HISTORIES: dict[Callable[[Checker], None], str] = {
    overspent_in_total: "overspent",
    more_than_the_allocation: "allocation 1 has 10",
    reserved_after_the_closing: "6 and is closed, 7 are taken",
    closed_for_less_than_taken: "5 spent, 6 are taken",
    reserved_without_an_allocation: "in no replicated state",
    reserved_by_an_ended_process: "after its process ended",
    request_ended_twice: "ends twice",
    unbalanced_wallet: "is not spent",
    negative_balance: "below 0",
    credit_counted_twice: "all requested ids",
    credit_decreased: "credit decreased",
    wallet_missing: "missing wallets",
    confirmed_credit_lost: "credit lost",
    different_states: "differs",
    allocation_grows: "grew",
    ceiling_below_taken: "has 5 now, 6 are taken",
    spent_without_an_allocation: "7 more than its allocations",
    allocation_never_settled: "allocations remain",
}


@pytest.mark.parametrize("history", HISTORIES, ids=lambda history: history.__name__)
def test_invalid_histories_are_found(history: Callable[[Checker], None]) -> None:
    checker = granted_checker()
    with pytest.raises(AssertionError, match=HISTORIES[history]):
        history(checker)


def test_allocations_that_end_in_one_entry_are_told_apart_by_claims() -> None:
    checker, b1 = granted_checker(), ("b", 1, 2)
    checker.state_applied(
        2.5,
        "a",
        3,
        {
            "t": AgreedWallet(
                100, 0, 80, {A1: AgreedAllocation(10, 0, WITNESSES), b1: AgreedAllocation(10, 0, WITNESSES)}
            )
        },
    )
    spend(checker, 6)
    claims = {("t", *A1): Claim(6, False), ("t", *b1): Claim(0, False)}
    checker.state_applied(4.0, "a", 4, {"t": AgreedWallet(100, 6, 94, {})}, claims)
    checker.check_final_state()
    assert checker.allocations[("t", *A1)].spent == 6


def test_pause_and_resume_times() -> None:
    checker = granted_checker(100)
    checker.rejected(1.0, "b", "t")
    checker.emptied_at_ms["t"] = [2.0]
    spend(checker, 100)
    checker.rejected(100.0, "b", "t")
    checker.reserved(2.0, "a", 1, 500, "t", ())
    assert checker.paused_ms("t", 2.0) == 0.0
    checker.totals["t"].served += [(160.0, "a"), (300.0, "a"), (340.0, "b")]
    assert checker.paused_ms("t", 2.0) == 240.0
    assert checker.resumed_ms("t", 250.0, "ab") == 90.0
    assert checker.resumed_ms("t", 310.0, "ab") == float("inf")
