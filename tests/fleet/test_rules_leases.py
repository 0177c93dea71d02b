"""Leases: spans, parts, storms held against the checker, planted faults that it must find."""

from __future__ import annotations

from typing import Any

import pytest

from limenotch.fleet.rules import Tuning
from limenotch.fleet.rules.leases import Granter, Holder
from limenotch.fleet.rules.messages import AskLease, Grant
from limenotch.lab.fleet.rules_run import QUICK, storm
from tests.fleet.rules_bugs import BUGS

TUNING = Tuning(lease_ms=1000, drift=0.1, grace_ms=50)


def ask(serial: int, parts: int = 0, granted: int = 0, process_epoch: int = 1) -> AskLease:
    return AskLease(serial, process_epoch, 1, 1, parts, granted)


def test_counts_from_the_ask_and_ends_without_a_timer() -> None:
    holder = Holder(TUNING)
    assert not holder.is_valid(0.0)
    serial = holder.request(100.0)
    assert holder.grant(900.0, Grant(serial, 1000, 1))
    assert holder.is_valid(1099.9)
    assert not holder.is_valid(1100.0)
    late = holder.request(1200.0)
    assert not holder.grant(2300.0, Grant(late, 1000, 1)), "a pause between ask and grant: it is over already"


def test_an_older_grant_that_comes_late_counts_nothing() -> None:
    holder = Holder(TUNING)
    first, second = holder.request(0.0), holder.request(300.0)
    assert holder.grant(310.0, Grant(second, 1000, 3))
    assert not holder.grant(320.0, Grant(first, 1000, 1))
    assert holder.parts == 3
    holder.release()
    assert not holder.is_valid(330.0)
    assert not holder.grant(330.0, Grant(second, 1000, 3))


def test_no_activation_before_the_leases_of_others_before_ran_out() -> None:
    granter = Granter(TUNING)
    assert not granter.may_activate(1, 0.0), "it is no leader"
    granter.begin(0.0)
    assert not granter.may_activate(1, 1099.0)
    assert granter.may_activate(1, 1100.0)
    assert granter.grant(1200.0, "b", ask(1), 1)
    assert granter.may_activate(1, 1201.0)
    assert not granter.may_activate(2, 2299.0)
    assert granter.due(2, 1201.0) == 2300.0
    assert granter.may_activate(2, 2300.0)


def test_a_newcomer_waits_until_the_others_act_under_the_larger_number() -> None:
    granter = Granter(TUNING)
    granter.begin(0.0)
    now = 2000.0

    def parts(name: str, asked: AskLease) -> int:
        grant = granter.grant(now, name, asked, 1)
        assert grant is not None
        return grant.parts

    assert parts("a", ask(1)) == 1
    assert parts("b", ask(1)) == 0
    assert parts("a", ask(2, 1, 1)) == 2
    assert parts("b", ask(2)) == 0, "a has not said yet that it acts under 2"
    assert parts("a", ask(3, 2, 2)) == 2
    assert parts("b", ask(3)) == 2
    now = 2000.0 + TUNING.held_ms + 1
    assert parts("a", ask(9, 2, 3)) == 1, "b's has run out"


def test_records_are_bounded() -> None:
    granter = Granter(Tuning(most_holders=2))
    granter.begin(0.0)
    assert granter.grant(1.0, "a", ask(1), 1)
    assert granter.grant(1.0, "a", ask(1, process_epoch=2), 1)
    assert granter.grant(1.0, "b", ask(1), 1) is None


@pytest.mark.parametrize("seed", range(12))
def test_no_contradiction_outlasts_the_stated_time(seed: int) -> None:
    run = storm(seed)
    assert run.checker.longest <= QUICK.contradiction_ms
    assert max(run.checker.versions) > 1


@pytest.mark.parametrize(("bug", "seed"), BUGS.items(), ids=lambda bug: getattr(bug, "__name__", str(bug)))
def test_planted_faults_are_found(bug: Any, seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    bug(monkeypatch)
    with pytest.raises(AssertionError, match="contradiction|acts on|parts of the cold budget"):
        storm(seed)


@pytest.mark.parametrize(("key", "value"), [("lease_ms", 1.0), ("drift", 0.5), ("grace_ms", -1.0)])
def test_settings_name_themselves(key: str, value: float) -> None:
    with pytest.raises(ValueError, match=key):
        Tuning(**{key: value})  # type: ignore[arg-type]
    with pytest.raises(ValueError, match="without_lease"):
        Tuning(without_lease="maybe")
    assert Tuning(lease_ms=1000, drift=0.1, grace_ms=50).contradiction_ms == pytest.approx(1150)
