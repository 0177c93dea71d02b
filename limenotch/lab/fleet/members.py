"""Membership components in simulated time, as configured by the header of an expected timeline.

Header keys: `seeds` (default `a b`), `twins` (`c2=c`: node c2 runs under the name c) and `lives`: `grow` gives each
process of a node the next process epoch, `same` always 1, as after the clock was set back.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from ...fleet.interfaces import MessageReceived
from ...fleet.membership import Membership, Tuning
from ...store.records import StoredLog
from .drawing import ExpectedTimeline
from .world import ComponentFactory, World, address

TUNING = Tuning()


class NamedMember:
    """A component on a node of another name: two processes may have the same name, two nodes may not."""

    def __init__(self, component: Membership, process_names: Mapping[str, str]) -> None:
        self.component, self.process_names = component, process_names

    def handle(self, now: float, event: Any) -> list[Any]:
        """Handles an event, with the sender's node name replaced by its process name."""
        if isinstance(event, MessageReceived):
            event = event._replace(sender=self.process_names.get(event.sender, event.sender))
        return self.component.handle(now, event)


def component_factory(
    seeds: Iterable[str] = ("a", "b"),
    tuning: Tuning = TUNING,
    process_names: Mapping[str, str] | None = None,
    process_epochs: str = "grow",
) -> ComponentFactory:
    """Returns a factory of membership components. `process_names`: by node; `process_epochs`: `grow` or `same`."""
    seed_addresses, names = [address(seed) for seed in seeds], dict(process_names or {})

    def make_component(name: str, seed: int, process_epoch: int, stored: StoredLog) -> NamedMember:
        process_epoch = 1 if process_epochs == "same" else process_epoch
        return NamedMember(
            Membership(names.get(name, name), address(name), process_epoch, seed_addresses, tuning, seed), names
        )

    return make_component


def seeds_of(timeline: ExpectedTimeline) -> list[str]:
    """Returns the names of the seeds."""
    return timeline.header.get("seeds", "a b").split()


def twins_of(timeline: ExpectedTimeline) -> dict[str, str]:
    """Returns the process names of the nodes that run under another node's name. Raises ValueError."""
    try:
        return dict(pair.split("=") for pair in timeline.header.get("twins", "").split())
    except ValueError:
        raise ValueError(f"{timeline.name}: twins: expected such as c2=c") from None


def component_factory_for(timeline: ExpectedTimeline, tuning: Tuning = TUNING) -> ComponentFactory:
    """Returns the factory that the header of a timeline configures."""
    return component_factory(seeds_of(timeline), tuning, twins_of(timeline), timeline.header.get("lives", "grow"))


def membership_on(world: World, node: str) -> Membership | None:
    """Returns the membership that runs on a node; None if no process runs."""
    component = world.component(node)
    return component.component if isinstance(component, NamedMember) else None
