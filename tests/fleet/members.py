"""Memberships in simulated time, for tests: who runs, under which name, and what is held of whom."""

from __future__ import annotations

from collections.abc import Iterable

from limenotch.fleet.interfaces import MemberChanged
from limenotch.fleet.membership import Membership, State
from limenotch.lab.fleet.members import TUNING, component_factory
from limenotch.lab.fleet.world import World

__all__ = ["TUNING", "all_alive", "component_factory", "deaths", "held", "part"]


def part(world: World, node: str) -> Membership:
    found = world.component(node).component
    assert isinstance(found, Membership)
    return found


def held(world: World, node: str) -> dict[str, State]:
    return {seen.name: seen.state for seen in part(world, node).members()}


def deaths(world: World, since: float = 0.0) -> set[str]:
    return {
        change.action.name
        for change in world.observed_changes
        if isinstance(change.action, MemberChanged) and change.action.state == "dead" and change.at_ms >= since
    }


def all_alive(world: World, names: Iterable[str]) -> bool:
    """Whether each of the names holds all of them alive, and itself to be inside."""
    want = dict.fromkeys(names, State.ALIVE)
    return all(
        part(world, name).inside and {n: s for n, s in held(world, name).items() if n in want} == want for name in want
    )
