"""All orders of one election of three voters, up to a bound of steps; benchmarks/explore.py goes on to the end."""

from __future__ import annotations

from copy import deepcopy

import pytest

from limenotch.fleet.interfaces import Started, TimerFired
from limenotch.lab.fleet.explore import Bounds, Explored, Explorer, View
from limenotch.lab.fleet.explore_log import Check, bootstrapped_disks, component_maker, digest

from .log_bugs import INJECTED_BUGS

NAMES = ("a", "b", "c")
STEPS_TO_LEADER = 8  # choices on the shortest path to a leader


def explore(bounds: Bounds, check: object = None) -> Explored:
    return Explorer(
        NAMES,
        component_maker(NAMES),
        digest,
        check or Check(NAMES),  # type: ignore[arg-type]
        bounds,
        clocks="one",
        disks=bootstrapped_disks(NAMES),
    ).run()


def leader_elected(view: View) -> str | None:
    return "a leader" if any(text.startswith("leads ") for _, text in view.log_lines) else None


def test_no_order_of_an_election_violates_an_invariant() -> None:
    explored = explore(Bounds(fire=1, steps=STEPS_TO_LEADER + 3))
    assert explored.violation is None, explored.timeline
    assert explored.states > 500


def test_a_leader_is_reached_within_the_steps_explored() -> None:
    """Otherwise the invariants above would hold trivially."""
    explored = explore(Bounds(fire=1, steps=STEPS_TO_LEADER), leader_elected)
    assert explored.violation == "a leader" and len(explored.path) == STEPS_TO_LEADER
    assert explored.path[0] == "b fires 1" and explored.path[-1] == "b stored 1"


def test_finds_a_vote_that_is_not_on_disk(monkeypatch: pytest.MonkeyPatch) -> None:
    INJECTED_BUGS["vote_not_persisted"](monkeypatch)
    explored = explore(Bounds(fire=1, steps=STEPS_TO_LEADER))
    assert explored.violation is not None and "leads term 2 by the votes on the disks of" in explored.violation
    assert len(explored.path) <= STEPS_TO_LEADER


def test_explores_a_crash_between_the_vote_and_the_disk() -> None:
    explored = explore(Bounds(fire=1, crash=1, steps=5))
    assert explored.violation is None and not explored.complete
    assert explored.states > explore(Bounds(fire=1, steps=5)).states


def test_a_copy_is_another_member_in_the_same_state() -> None:
    member = component_maker(NAMES)("a", 0, 1, bootstrapped_disks(NAMES)["a"])
    member.handle(0.0, Started())
    copy = deepcopy(member)
    assert digest(member) == digest(copy)
    copy.handle(500.0, TimerFired(1))
    assert digest(member) != digest(copy) and member.consensus.status()["role"] == "follower"
