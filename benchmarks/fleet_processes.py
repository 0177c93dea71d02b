"""How well simulated time and processes agree: from kill -9 until all the others hold the killed one dead.

    python -m benchmarks.fleet_processes [KILLS [MEMBERS]]

The same tuning for both, `drills.membership_settings(drills.TIME_SCALE)`; one run a kill, with consumers calling. In
simulated time the instant of the kill is moved through a period, as it falls anywhere on processes. Both are given in
periods.

Interval: the medians differ by no more than MEDIAN periods, and no kill on processes is known to all sooner than the
soonest in simulated time less EDGE, nor later than the latest plus LATE: probes of processes wait for timers that
are late, a network and interpreters, which simulated time does not have. Exit code 3: not within it.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
from pathlib import Path

import msgspec

from limenotch.fleet.interfaces import MemberChanged
from limenotch.fleet.membership import Tuning
from limenotch.lab.fleet import drills
from limenotch.lab.fleet.drawing import parse_timeline
from limenotch.lab.fleet.faults import parse
from limenotch.lab.fleet.members import component_factory
from limenotch.lab.fleet.world import World

MEDIAN, EDGE, LATE = 0.35, 0.25, 0.75  # periods
SIMULATED = 200  # kills
SETTLED_MS = 2000.0
LATE_MS = 20.0  # runs on a host whose timers were later are left out, and counted


def simulated(kills: int, members: int) -> list[float]:
    """Periods from each kill to the last that holds it dead."""
    tuning = msgspec.convert(drills.membership_settings(drills.TIME_SCALE), Tuning)
    names = [f"n{number}" for number in range(members)]
    found = []
    for number in range(kills):
        world = World(names, component_factory(names[:2], tuning), number)
        at = SETTLED_MS + tuning.period_ms * number / kills
        world.kernel.at(at, world.apply_fault, parse(f"kill {names[-1]}"))
        world.run(at + 10 * tuning.period_ms)
        deaths = {
            change.node: change.at_ms
            for change in world.observed_changes
            if isinstance(change.action, MemberChanged)
            and (change.action.name, change.action.state) == (names[-1], "dead")
        }
        assert len(deaths) == members - 1, f"seed {number}: {sorted(deaths)}"
        found.append((max(deaths.values()) - at) / tuning.period_ms)
    return found


def on_processes(kills: int, members: int) -> tuple[list[float], int]:
    """The same, of `kills` runs; and how many were left out."""
    drawn = parse_timeline(drills.death_and_return(members, 1).split("8000")[0] + "8000\n")
    last = str(drawn.faults[0][1]).split()[1]
    period = 1000.0 * drills.TIME_SCALE
    found: list[float] = []
    out = 0
    while len(found) < kills and out <= 2 * kills:
        with tempfile.TemporaryDirectory() as folder:
            outcome = asyncio.run(drills.run_on_processes(drawn, Path(folder), rate=20.0, seed=1 + len(found)))
        deaths = {node: at for at, node, text in outcome.observed_lines if text == f"{last} dead"}
        if outcome.max_timer_delay_ms > LATE_MS:
            out += 1
            continue
        assert len(deaths) == members - 1 and not outcome.violations, outcome
        found.append((max(deaths.values()) - outcome.fault_times_ms[0]) / period)
    return found, out


def main(arguments: list[str]) -> int:
    kills = int(arguments[0]) if arguments else 20
    members = int(arguments[1]) if arguments[1:] else 3
    model = simulated(SIMULATED, members)
    real, out = on_processes(kills, members)
    for name, times in (("simulated", model), ("processes", real)):
        print(
            f"{name}: {len(times)} kills of {members}, periods until all hold it dead: least {min(times):.2f}, "
            f"p50 {statistics.median(times):.2f}, most {max(times):.2f}"
        )
    print(f"left out: {out} runs in which the host's own timers were late by more than {LATE_MS:g} ms")
    apart = statistics.median(real) - statistics.median(model)
    within = abs(apart) <= MEDIAN and min(real) >= min(model) - EDGE and max(real) <= max(model) + LATE
    print(f"medians {apart:+.2f} periods apart: {'within' if within else 'NOT within'} the interval")
    return 0 if within else 3


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
