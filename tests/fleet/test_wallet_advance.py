"""The advance over several outages of the log: what all sidecars serve stays within the credit and their advances.

Guards review/3: each outage let each sidecar spend its whole advance anew, although the wallet still owed the last one.
"""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from limenotch.fleet.consensus import api as log

from .fake_wallets import FAST_TUNING, FakeFleet, ready

ADVANCE_UNITS = 5
TUNING = msgspec.structs.replace(FAST_TUNING, without_lease="advance", advance=ADVANCE_UNITS, least_slice=1)
OUTAGE_MS = TUNING.max_lease_ms + 100.0
RECOVERY_MS = 1500.0  # leases, settlements and grants after an outage
MEMBERS = "abc"
TRIES = 4 * ADVANCE_UNITS  # requests of a member at a time


def lose_quorum(fleet: FakeFleet) -> None:
    """Runs the fleet without a log until no lease is valid."""
    fleet.leader = None
    for name in MEMBERS:
        fleet.deliver(name, log.LeaderChanged(None, fleet.term))
    fleet.run(OUTAGE_MS)


def regain_quorum(fleet: FakeFleet) -> None:
    """The log is back, and what was served in advance is recorded."""
    fleet.lead("a")
    fleet.run(RECOVERY_MS)


def serve(fleet: FakeFleet, name: str) -> int:
    """How many of TRIES requests at a member are served."""
    served = 0
    for _ in range(TRIES):
        served += fleet.serve(name)
        fleet.run(20.0)
    return served


def test_an_advance_is_not_renewed_while_the_wallet_owes_the_last_one() -> None:
    fleet = ready(10, tuning=TUNING)
    assert serve(fleet, "b") == 10, "the credit"
    for outage in range(3):
        lose_quorum(fleet)
        assert serve(fleet, "b") == (ADVANCE_UNITS if outage == 0 else 0)
        regain_quorum(fleet)
    assert fleet.members["a"].ledger.wallets["acme"].debt == ADVANCE_UNITS


def test_an_advance_is_renewed_as_far_as_credit_has_covered_the_last_one() -> None:
    fleet = ready(10, tuning=TUNING)
    serve(fleet, "b")
    lose_quorum(fleet)
    serve(fleet, "b")
    regain_quorum(fleet)
    fleet.add_credit(3, "three")
    lose_quorum(fleet)
    assert serve(fleet, "b") == 3
    regain_quorum(fleet)
    fleet.add_credit(ADVANCE_UNITS, "all")
    lose_quorum(fleet)
    assert serve(fleet, "b") == ADVANCE_UNITS


def test_a_member_that_was_idle_for_long_still_owes_its_advance() -> None:
    fleet = ready(10, tuning=TUNING)
    serve(fleet, "b")
    lose_quorum(fleet)
    serve(fleet, "b")
    regain_quorum(fleet)
    fleet.run(20 * (TUNING.idle_ms + TUNING.retry_after_ms))
    lose_quorum(fleet)
    assert serve(fleet, "b") == 0


@pytest.mark.parametrize("seed", range(40))
def test_all_that_is_served_stays_within_credit_and_advances_over_any_outages(seed: int) -> None:
    random = Random(seed)
    credit = random.randint(1, 30)
    fleet = ready(credit, tuning=TUNING)
    served = 0
    for number in range(8):
        for name in random.sample(MEMBERS, random.randint(1, len(MEMBERS))):
            served += serve(fleet, name)
        if random.random() < 0.6:
            lose_quorum(fleet)
            for name in random.sample(MEMBERS, random.randint(1, len(MEMBERS))):
                served += serve(fleet, name)
            regain_quorum(fleet)
        if random.random() < 0.4:
            amount = random.randint(1, 2 * ADVANCE_UNITS)
            fleet.add_credit(amount, f"credit {number}")
            credit += amount
        assert served <= credit + ADVANCE_UNITS * len(MEMBERS)
