"""Runs an expected timeline in simulated time and compares the observed log lines with it exactly.

Besides `nodes`, `seed`, `show`, `later`, `until` and `window`, the header keys `drift` (ppm, default 0, so that rows
have round times), `delay` and `fsync` (ms) configure the world. Other keys are for the caller's component factory.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from limenotch.lab.fleet.comparing import compare_exactly
from limenotch.lab.fleet.drawing import ExpectedTimeline, TimelineEntry, format_timeline, parse_timeline
from limenotch.lab.fleet.faults import Fault, ScriptedRequest
from limenotch.lab.fleet.world import ComponentFactory, World

RequestHandler = Callable[[World, str, str], None]  # the world, the node, the words of `ask`
HEADER_KEYS = frozenset({"nodes", "seed", "show", "later", "until", "window", "drift", "delay", "fsync"})


@dataclass(frozen=True)
class Outcome:
    """The result of a run in simulated time."""

    timeline: ExpectedTimeline
    world: World
    observed: list[TimelineEntry]  # the compared log lines
    difference: str | None  # None: they match

    def format_observed(self) -> str:
        """Formats the file with the observed log lines instead of the expected ones."""
        return format_timeline(self.timeline, self.observed)


def load(path: Path) -> ExpectedTimeline:
    """Parses a file. Raises ValueError or OSError."""
    return parse_timeline(path.read_text(encoding="utf-8"), path.name)


def simulate(
    timeline: ExpectedTimeline,
    make_component: ComponentFactory,
    handle_request: RequestHandler | None = None,
    prepare: Callable[[World], None] | None = None,
    **settings: Any,
) -> Outcome:
    """Runs the timeline. `settings` are arguments of World and take precedence over the header.

    `prepare(world)` is called before the run. Raises ValueError if the timeline has `ask` and there is no handler.
    """
    defaults = {
        "drift_ppm": timeline.number("drift", 0.0),
        "delay_ms": timeline.number("delay", 1.0),
        "fsync_ms": timeline.number("fsync", 2.0),
    }
    world = World(
        timeline.nodes, make_component, timeline.seed, started_later=timeline.started_later, **{**defaults, **settings}
    )
    if prepare is not None:
        prepare(world)
    for at_ms, fault in timeline.faults:
        if isinstance(fault, ScriptedRequest) and handle_request is None:
            raise ValueError(f"{timeline.name}: {str(fault)!r}: no handler for `ask`")
        world.kernel.schedule(float(at_ms), _apply_fault, world, fault, handle_request)
    # A log line at 999.7 is in the row of 1000, a line at 1000.5 is not.
    world.run(timeline.end_ms + 0.4999)
    observed = [(line.at_ms, line.node, line.text) for line in world.observed_lines]
    return Outcome(timeline, world, timeline.compared_entries(observed), compare_exactly(timeline, observed))


def check(
    timeline: ExpectedTimeline,
    make_component: ComponentFactory,
    handle_request: RequestHandler | None = None,
    prepare: Callable[[World], None] | None = None,
    **settings: Any,
) -> Outcome:
    """As `simulate`. Raises AssertionError on a difference, with both sides and the file as observed."""
    outcome = simulate(timeline, make_component, handle_request, prepare, **settings)
    if outcome.difference is not None:
        raise AssertionError(f"{outcome.difference}\n\nThe file as observed:\n\n{outcome.format_observed()}")
    return outcome


def _apply_fault(world: World, fault: Fault, handle_request: RequestHandler | None) -> None:
    if isinstance(fault, ScriptedRequest):
        if handle_request is not None:
            handle_request(world, fault.node, fault.words)
    else:
        world.apply_fault(fault)
