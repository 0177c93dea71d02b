"""The checker finds a violation of each rule and accepts what the rules allow."""

from __future__ import annotations

import pytest

from limenotch.lab.model.rules import COLD, DRAINS, MAX_VIOLATIONS, ONE_ANSWER, REPEATS, Limits, RuleChecker


def checker_with_request(
    effect: str = "idempotent", scope: str = "all", window_ms: float = 1000.0, deadline_ms: float = 500.0
) -> RuleChecker:
    rules = RuleChecker()
    rules.request_accepted(0.0, 1, effect, scope, window_ms, deadline_ms)
    return rules


def broken_rules(rules: RuleChecker) -> list[str]:
    return [violation.rule for violation in rules.violations]


def test_a_request_that_ends_properly_is_forgotten() -> None:
    rules = checker_with_request()
    assert rules.attempt_sent(1.0, 1, "s", "p", 0) == 0 and rules.attempt_sent(2.0, 1, "s", "q", 1) == 1
    rules.attempt_ended(5.0, 1, 0, "ok", True)
    rules.request_answered(5.0, 1, "served")
    assert rules.open == 1  # the other attempt is still in flight
    rules.attempt_ended(5.0, 1, 1, "cancelled", True)
    rules.run_ended(900.0)
    assert rules.all_hold and rules.open == 0


def test_a_missing_a_second_or_a_late_response_is_a_violation() -> None:
    rules = checker_with_request()
    rules.run_ended(900.0)
    assert broken_rules(rules) == [ONE_ANSWER]
    rules = checker_with_request()
    rules.request_answered(1.0, 1, "served")
    rules.request_answered(2.0, 1, "failed")
    assert broken_rules(rules) == [ONE_ANSWER]
    rules = checker_with_request(deadline_ms=500.0)
    rules.request_answered(500.0, 1, "failed")  # exactly at its deadline: in time
    assert rules.all_hold
    rules = checker_with_request(deadline_ms=500.0)
    rules.request_answered(500.1, 1, "failed")
    assert broken_rules(rules) == [ONE_ANSWER] and "0.1 ms late" in rules.violations[0].text
    rules = checker_with_request(deadline_ms=500.0)
    rules.client_disconnected(500.0, 1)
    assert broken_rules(rules) == [ONE_ANSWER]
    rules = checker_with_request(deadline_ms=500.0)
    rules.client_disconnected(400.0, 1)  # its client disconnected before: no response is due
    rules.run_ended(900.0)
    assert rules.all_hold


@pytest.mark.parametrize(
    ("effect", "scope", "group", "at_ms", "is_allowed"),
    [
        ("idempotent", "all", 2, 400.0, True),
        ("deduplicated", "zone", 1, 400.0, True),
        ("deduplicated", "zone", 2, 400.0, False),
        ("deduplicated", "all", 2, 400.0, True),
        ("deduplicated", "zone", 1, 1002.0, False),
        ("at_most_once", "all", 1, 400.0, False),
    ],
)
def test_a_request_is_repeated_only_as_its_class_allows(
    effect: str, scope: str, group: int, at_ms: float, is_allowed: bool
) -> None:
    rules = checker_with_request(effect, scope, deadline_ms=5000.0)
    rules.attempt_sent(1.0, 1, "s", "p", 1)
    rules.attempt_ended(300.0, 1, 0, "reset", True)
    rules.attempt_sent(at_ms, 1, "s", "q", group)
    assert rules.all_hold is is_allowed
    if not is_allowed:
        assert broken_rules(rules) == [REPEATS] and any(
            "attempt 0 ended: reset" in h for h in rules.violations[0].history
        )


def test_attempts_that_never_ran_do_not_restrict_repeats() -> None:
    rules = checker_with_request("at_most_once", deadline_ms=5000.0)
    for _ in range(3):
        number = rules.attempt_sent(1.0, 1, "s", "p", 1)
        rules.attempt_ended(2.0, 1, number, "refused", False)
    rules.request_answered(3.0, 1, "rejected")
    assert rules.all_hold


def test_a_request_that_may_have_run_is_rejected_only_if_idempotent() -> None:
    for effect, is_allowed in (("idempotent", True), ("at_most_once", False)):
        rules = checker_with_request(effect)
        rules.attempt_sent(1.0, 1, "s", "p", 1)
        rules.attempt_ended(2.0, 1, 0, "timeout", True)
        rules.request_answered(3.0, 1, "rejected")
        assert rules.all_hold is is_allowed


def test_on_sockets_two_messages_of_one_moment_may_be_read_in_either_order() -> None:
    for at_ms, is_allowed in ((40.0, True), (90.0, False)):
        rules = RuleChecker(Limits(slack_ms=50.0))
        rules.request_accepted(0.0, 1, "idempotent", "all", 0.0, 500.0)
        rules.request_answered(10.0, 1, "served")
        rules.request_accepted(at_ms, 2, "idempotent", "all", 0.0, 500.0)
        rules.request_answered(at_ms, 2, "served")
        rules.attempt_sent(
            at_ms, 1, "s", "p", 0
        )  # a hedged attempt that was sent before the response and read after it
        assert rules.all_hold is is_allowed
    rules = RuleChecker(Limits(slack_ms=50.0))
    rules.request_accepted(0.0, 1, "at_most_once", "all", 0.0, 500.0)
    rules.attempt_sent(5.0, 1, "s", "p", 0)
    rules.attempt_ended(9.0, 1, 0, "answered", True)
    rules.request_answered(9.0, 1, "served")
    rules.attempt_sent(10.0, 1, "s", "q", 0)  # the rule of its class holds all the same
    assert broken_rules(rules) == [REPEATS]


def test_what_the_hosts_own_loop_was_late_by_is_not_held_against_the_program() -> None:
    for lag, is_allowed in ((0.0, False), (60.0, True)):
        rules = RuleChecker(Limits(slack_ms=50.0))
        rules.lag_ms = lambda lag=lag: lag  # type: ignore[misc]
        rules.request_accepted(0.0, 1, "idempotent", "all", 0.0, 500.0)
        rules.request_answered(608.0, 1, "served") if not lag else rules.request_answered(605.0, 1, "served")
        assert rules.all_hold is is_allowed


def test_no_attempt_to_a_draining_provider_after_the_grace_time() -> None:
    for at_ms, is_allowed in ((350.0, True), (351.0, False)):
        rules = RuleChecker(Limits(grace_ms=250.0))
        rules.request_accepted(0.0, 1, "idempotent", "all", 0.0, 5000.0)
        rules.stage_reported(100.0, "s", "p", "draining")
        rules.stage_reported(300.0, "s", "p", "gone")  # the first report counts
        rules.attempt_sent(at_ms, 1, "s", "p", 0)
        rules.attempt_sent(at_ms, 1, "other", "p", 0)  # this sidecar has no report
        assert rules.all_hold is is_allowed and (is_allowed or broken_rules(rules) == [DRAINS])
    rules.stage_reported(400.0, "s", "p", "ready")
    rules.attempt_sent(900.0, 1, "s", "p", 0)
    assert len(rules.violations) == 1


def test_a_provider_that_crashed_in_its_warm_up_is_a_violation() -> None:
    rules = RuleChecker()
    for _ in range(MAX_VIOLATIONS + 5):
        rules.provider_crashed(5.0, "p")
    assert rules.counts[COLD] == MAX_VIOLATIONS + 5 and len(rules.violations) == MAX_VIOLATIONS and not rules.all_hold


@pytest.mark.parametrize(("window_ms", "is_allowed"), [(400.0, False), (1000.0, True)])
def test_a_rejection_says_that_a_repeat_is_harmless_for_as_long_as_its_consumer_waits(
    window_ms: float, is_allowed: bool
) -> None:
    rules = checker_with_request("deduplicated", "all", window_ms=window_ms, deadline_ms=500.0)
    rules.attempt_sent(1.0, 1, "s", "p", 1)
    rules.attempt_ended(300.0, 1, 0, "reset", True)
    rules.request_answered(310.0, 1, "rejected")
    assert rules.all_hold is is_allowed and broken_rules(rules) == [REPEATS] * (not is_allowed)
