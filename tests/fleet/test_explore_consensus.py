"""Every order of one election of three, up to a bound of steps; the whole of it is `python -m benchmarks.explore`."""

from __future__ import annotations

from copy import deepcopy

import pytest

from limenotch.fleet.interfaces import Started, TimerFired
from limenotch.lab.fleet.explore import Bounds, Explored, Explorer, View
from limenotch.lab.fleet.explore_log import Check, begun, digest, maker

from .log_bugs import PLANTED

NAMES = ("a", "b", "c")
ELECTED = 8  # choices of the shortest way to a leader


def explore(bounds: Bounds, check: object = None) -> Explored:
    return Explorer(
        NAMES,
        maker(NAMES),
        digest,
        check or Check(NAMES),  # type: ignore[arg-type]
        bounds,
        clocks="one",
        disks=begun(NAMES),
    ).run()


def leads(view: View) -> str | None:
    return "a leader" if any(text.startswith("leads ") for _, text in view.notes) else None


def test_no_order_of_an_election_breaks_a_rule() -> None:
    found = explore(Bounds(fire=1, steps=ELECTED + 3))
    assert found.why is None, found.drawing
    assert found.states > 500


def test_a_leader_is_reached_within_the_steps_explored() -> None:
    """Else what holds above would hold of nothing."""
    found = explore(Bounds(fire=1, steps=ELECTED), leads)
    assert found.why == "a leader" and len(found.path) == ELECTED
    assert found.path[0] == "b fires 1" and found.path[-1] == "b stored 1"


def test_a_vote_that_is_not_on_disk_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    PLANTED["vote_not_persisted"](monkeypatch)
    found = explore(Bounds(fire=1, steps=ELECTED))
    assert found.why is not None and "leads 2 by the disks of" in found.why
    assert len(found.path) <= ELECTED


def test_a_fall_between_the_vote_and_the_disk_is_gone_into() -> None:
    found = explore(Bounds(fire=1, crash=1, steps=5))
    assert found.why is None and not found.whole
    assert found.states > explore(Bounds(fire=1, steps=5)).states


def test_a_copy_is_another_member_in_the_same_state() -> None:
    one = maker(NAMES)("a", 0, 1, begun(NAMES)["a"])
    one.handle(0.0, Started())
    two = deepcopy(one)
    assert digest(one) == digest(two)
    two.handle(500.0, TimerFired(1))
    assert digest(one) != digest(two) and one.agreement.status()["role"] == "follower"
