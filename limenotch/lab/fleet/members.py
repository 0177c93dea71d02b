"""Memberships in simulated time, as a drawing's head wants them: under which name each runs, and what it starts from.

Of the head: `seeds` (`a b` if not said), `twins` (`c2=c`: the node c2 runs under the name c) and `lives`: `grow` gives
each process of a node the next number, `same` always 1, as a clock does that was set back.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from ...fleet.interfaces import MessageReceived
from ...fleet.membership import Membership, Tuning
from ...store.records import StoredLog
from .drawing import Scenario
from .world import Make, World, address

TUNING = Tuning()


class Named:
    """A part on a node of another name: two processes may have one name, two nodes may not."""

    def __init__(self, part: Membership, names: Mapping[str, str]) -> None:
        self.part, self.names = part, names

    def handle(self, now: float, event: Any) -> list[Any]:
        if isinstance(event, MessageReceived):
            event = event._replace(sender=self.names.get(event.sender, event.sender))
        return self.part.handle(now, event)


def maker(
    seeds: Iterable[str] = ("a", "b"),
    tuning: Tuning = TUNING,
    names: Mapping[str, str] | None = None,
    process_epochs: str = "grow",
) -> Make:
    known, named = [address(seed) for seed in seeds], dict(names or {})

    def make(name: str, seed: int, process_epoch: int, held: StoredLog) -> Named:
        process_epoch = 1 if process_epochs == "same" else process_epoch
        return Named(Membership(named.get(name, name), address(name), process_epoch, known, tuning, seed), named)

    return make


def seeds_of(scenario: Scenario) -> list[str]:
    return scenario.head.get("seeds", "a b").split()


def twins_of(scenario: Scenario) -> dict[str, str]:
    """Nodes that run under another's name."""
    try:
        return dict(pair.split("=") for pair in scenario.head.get("twins", "").split())
    except ValueError:
        raise ValueError(f"{scenario.name}: twins: expected such as c2=c") from None


def make_for(scenario: Scenario, tuning: Tuning = TUNING) -> Make:
    return maker(seeds_of(scenario), tuning, twins_of(scenario), scenario.head.get("lives", "grow"))


def part_of(world: World, node: str) -> Membership | None:
    """None if it does not run."""
    found = world.part(node)
    return found.part if isinstance(found, Named) else None
