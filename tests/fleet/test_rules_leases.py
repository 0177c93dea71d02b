"""Leases: durations, slow-start shares, randomized runs verified by the checker, injected bugs that it must find."""

from __future__ import annotations

from typing import Any

import pytest

from limenotch.fleet.rules import Tuning
from limenotch.fleet.rules.leases import RulesLease, RulesLeaseGranter
from limenotch.fleet.rules.messages import LeaseGrant, LeaseRequest
from limenotch.lab.fleet.rules_run import QUICK_TUNING, randomized_run
from tests.fleet.rules_bugs import BUGS

TUNING = Tuning(lease_ms=1000, drift=0.1, grace_ms=50)


def lease_request(serial: int, divisor: int = 0, granted_serial: int = 0, process_epoch: int = 1) -> LeaseRequest:
    return LeaseRequest(serial, process_epoch, 1, 1, divisor, granted_serial)


def test_a_lease_counts_from_its_request_and_ends_without_a_timer() -> None:
    lease = RulesLease(TUNING)
    assert not lease.is_valid(0.0)
    serial = lease.request(100.0)
    assert lease.accept_grant(900.0, LeaseGrant(serial, 1000, 1))
    assert lease.is_valid(1099.9)
    assert not lease.is_valid(1100.0)
    delayed = lease.request(1200.0)
    assert not lease.accept_grant(2300.0, LeaseGrant(delayed, 1000, 1)), (
        "a pause between request and grant: the lease is over already"
    )


def test_a_delayed_older_grant_is_ignored() -> None:
    lease = RulesLease(TUNING)
    first, second = lease.request(0.0), lease.request(300.0)
    assert lease.accept_grant(310.0, LeaseGrant(second, 1000, 3))
    assert not lease.accept_grant(320.0, LeaseGrant(first, 1000, 1))
    assert lease.divisor == 3
    lease.release()
    assert not lease.is_valid(330.0)
    assert not lease.accept_grant(330.0, LeaseGrant(second, 1000, 3))


def test_no_activation_before_leases_of_earlier_leaders_expired() -> None:
    granter = RulesLeaseGranter(TUNING)
    assert not granter.may_activate(1, 0.0), "it is not the leader"
    granter.start_leadership(0.0)
    assert not granter.may_activate(1, 1099.0)
    assert granter.may_activate(1, 1100.0)
    assert granter.grant(1200.0, "b", lease_request(1), 1)
    assert granter.may_activate(1, 1201.0)
    assert not granter.may_activate(2, 2299.0)
    assert granter.due_at_ms(2, 1201.0) == 2300.0
    assert granter.may_activate(2, 2300.0)


def test_a_new_holder_gets_a_share_only_after_the_others_reduced_theirs() -> None:
    granter = RulesLeaseGranter(TUNING)
    granter.start_leadership(0.0)
    now = 2000.0

    def divisor_for(name: str, request: LeaseRequest) -> int:
        grant = granter.grant(now, name, request, 1)
        assert grant is not None
        return grant.divisor

    assert divisor_for("a", lease_request(1)) == 1
    assert divisor_for("b", lease_request(1)) == 0
    assert divisor_for("a", lease_request(2, 1, 1)) == 2
    assert divisor_for("b", lease_request(2)) == 0, "a has not reported yet that it uses 2"
    assert divisor_for("a", lease_request(3, 2, 2)) == 2
    assert divisor_for("b", lease_request(3)) == 2
    now = 2000.0 + TUNING.max_lease_ms + 1
    assert divisor_for("a", lease_request(9, 2, 3)) == 1, "b's lease has expired"


def test_records_are_bounded() -> None:
    granter = RulesLeaseGranter(Tuning(most_holders=2))
    granter.start_leadership(0.0)
    assert granter.grant(1.0, "a", lease_request(1), 1)
    assert granter.grant(1.0, "a", lease_request(1, process_epoch=2), 1)
    assert granter.grant(1.0, "b", lease_request(1), 1) is None


@pytest.mark.parametrize("seed", range(12))
def test_no_contradiction_exceeds_the_stated_time(seed: int) -> None:
    run = randomized_run(seed)
    assert run.checker.longest_ms <= QUICK_TUNING.contradiction_ms
    assert max(run.checker.versions) > 1


@pytest.mark.parametrize(("bug", "seed"), BUGS.items(), ids=lambda bug: getattr(bug, "__name__", str(bug)))
def test_injected_bugs_are_found(bug: Any, seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    bug(monkeypatch)
    with pytest.raises(AssertionError, match="contradiction|uses .* of version|slow-start shares"):
        randomized_run(seed)


@pytest.mark.parametrize(("key", "value"), [("lease_ms", 1.0), ("drift", 0.5), ("grace_ms", -1.0)])
def test_an_error_names_the_setting(key: str, value: float) -> None:
    with pytest.raises(ValueError, match=key):
        Tuning(**{key: value})  # type: ignore[arg-type]
    with pytest.raises(ValueError, match="without_lease"):
        Tuning(without_lease="maybe")
    assert Tuning(lease_ms=1000, drift=0.1, grace_ms=50).contradiction_ms == pytest.approx(1150)
