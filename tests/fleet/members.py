"""Memberships in simulated time, for tests: who runs, under which name, and what is held of whom."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from limenotch.fleet.contract import Heard, MemberChanged
from limenotch.fleet.membership import Membership, State, Tuning
from limenotch.lab.fleet.world import Make, World, address
from limenotch.store.records import Held

TUNING = Tuning()


class Named:
    """A part on a node of another name: two processes may have one name, two nodes may not."""

    def __init__(self, part: Membership, names: Mapping[str, str]) -> None:
        self.part, self.names = part, names

    def handle(self, now: float, event: Any) -> list[Any]:
        if isinstance(event, Heard):
            event = event._replace(sender=self.names.get(event.sender, event.sender))
        return self.part.handle(now, event)


def maker(seeds: Iterable[str] = ("a", "b"), tuning: Tuning = TUNING, names: Mapping[str, str] | None = None,
          lives: str = "grow") -> Make:
    """`lives`: `grow` gives each process of a node the next number, `same` always 1 (a clock set back)."""
    known, named = [address(seed) for seed in seeds], dict(names or {})

    def make(name: str, seed: int, life: int, held: Held) -> Named:
        life = 1 if lives == "same" else life
        return Named(Membership(named.get(name, name), address(name), life, known, tuning, seed), named)

    return make


def part(world: World, node: str) -> Membership:
    found = world.part(node).part
    assert isinstance(found, Membership)
    return found


def held(world: World, node: str) -> dict[str, State]:
    return {seen.name: seen.state for seen in part(world, node).members()}


def deaths(world: World, since: float = 0.0) -> set[str]:
    return {change.what.name for change in world.changes
            if isinstance(change.what, MemberChanged) and change.what.state == "dead" and change.at_ms >= since}


def all_alive(world: World, names: Iterable[str]) -> bool:
    """Whether each of the names holds all of them alive, and itself to be inside."""
    want = dict.fromkeys(names, State.ALIVE)
    return all(part(world, name).inside and {n: s for n, s in held(world, name).items() if n in want} == want
               for name in want)
