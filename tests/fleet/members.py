"""Membership in simulated time, for tests: the running members, their names, and the states that each knows."""

from __future__ import annotations

from collections.abc import Iterable

from limenotch.fleet.interfaces import MemberChanged
from limenotch.fleet.membership import Membership, State
from limenotch.lab.fleet.members import TUNING, component_factory
from limenotch.lab.fleet.world import World

__all__ = ["TUNING", "all_alive", "component_factory", "membership_of", "states_of"]


def membership_of(world: World, node: str) -> Membership:
    found = world.component(node).component
    assert isinstance(found, Membership)
    return found


def states_of(world: World, node: str) -> dict[str, State]:
    return {member.name: member.state for member in membership_of(world, node).members()}


def deaths(world: World, since_ms: float = 0.0) -> set[str]:
    return {
        change.action.name
        for change in world.observed_changes
        if isinstance(change.action, MemberChanged) and change.action.state == "dead" and change.at_ms >= since_ms
    }


def all_alive(world: World, names: Iterable[str]) -> bool:
    """Whether each of the names is active and considers all of them alive."""
    expected_states = dict.fromkeys(names, State.ALIVE)
    return all(
        membership_of(world, name).is_active
        and {n: s for n, s in states_of(world, name).items() if n in expected_states} == expected_states
        for name in expected_states
    )
