"""Runs a drawing in simulated time and says whether it came out, exactly.

Of the head, beside `nodes`, `seed`, `show`, `later`, `until` and `window`, the world takes `drift` (ppm; 0 if not
said, so that rows stand at round times), `delay` and `fsync` (ms). Other keys are for whoever makes the parts.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from limenotch.lab.fleet.comparing import exact
from limenotch.lab.fleet.drawing import Drawn, Scenario, draw, read
from limenotch.lab.fleet.faults import Ask, Fault
from limenotch.lab.fleet.world import Make, World

Asked = Callable[[World, str, str], None]  # the world, the node, the words of `ask`
HEAD = frozenset({"nodes", "seed", "show", "later", "until", "window", "drift", "delay", "fsync"})


@dataclass(frozen=True)
class Outcome:
    scenario: Scenario
    world: World
    seen: list[Drawn]  # what the drawing is about
    difference: str | None  # None: it came out

    def drawn_anew(self) -> str:
        """The file as it would have come out."""
        return draw(self.scenario, self.seen)


def load(path: Path) -> Scenario:
    return read(path.read_text(encoding="utf-8"), path.name)


def play(
    scenario: Scenario,
    make: Make,
    ask: Asked | None = None,
    prepare: Callable[[World], None] | None = None,
    **settings: Any,
) -> Outcome:
    """`settings` are World's and go before the head's. ValueError if the drawing asks and `ask` is not given.

    `prepare(world)` is called before anything happens in it.
    """
    usual = {
        "drift_ppm": scenario.figure("drift", 0.0),
        "delay_ms": scenario.figure("delay", 1.0),
        "fsync_ms": scenario.figure("fsync", 2.0),
    }
    world = World(scenario.nodes, make, scenario.seed, later=scenario.later, **{**usual, **settings})
    if prepare is not None:
        prepare(world)
    for at, fault in scenario.faults:
        if isinstance(fault, Ask) and ask is None:
            raise ValueError(f"{scenario.name}: {str(fault)!r}: nobody answers `ask` here")
        world.kernel.schedule(float(at), _happen, world, fault, ask)
    # A note at 999.7 stands in the row of 1000, one at 1000.5 does not.
    world.run(scenario.ends + 0.4999)
    seen = [(note.at_ms, note.node, note.text) for note in world.seen]
    return Outcome(scenario, world, scenario.looked_at(seen), exact(scenario, seen))


def check(
    scenario: Scenario,
    make: Make,
    ask: Asked | None = None,
    prepare: Callable[[World], None] | None = None,
    **settings: Any,
) -> Outcome:
    """As `play`; AssertionError with both side by side, and the drawing anew, if it did not come out."""
    outcome = play(scenario, make, ask, prepare, **settings)
    if outcome.difference is not None:
        raise AssertionError(f"{outcome.difference}\n\nSeen, drawn anew:\n\n{outcome.drawn_anew()}")
    return outcome


def _happen(world: World, fault: Fault, ask: Asked | None) -> None:
    if isinstance(fault, Ask):
        if ask is not None:
            ask(world, fault.node, fault.words)
    else:
        world.fault(fault)
