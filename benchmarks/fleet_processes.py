"""Agreement of simulated time and real processes: from kill -9 until all others consider the killed member dead.

    python -m benchmarks.fleet_processes [KILLS [MEMBERS]]

The same tuning for both, `drills.membership_settings(drills.TIME_SCALE)`; one run a kill, with clients sending
requests. In simulated time the time of the kill is moved through a period, as it is random on processes. Both are given
in periods.

Interval: the medians differ by no more than MAX_MEDIAN_DIFFERENCE periods, and no kill on processes is known to all
earlier than the earliest in simulated time less MAX_EARLIER, nor later than the latest plus MAX_LATER: probes of
processes wait for delayed timers, a network and interpreters, which simulated time does not have. Exit code 3: outside.
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

MAX_MEDIAN_DIFFERENCE, MAX_EARLIER, MAX_LATER = 0.35, 0.25, 0.75  # periods
SIMULATED_KILLS = 200  # kills
START_MS = 2000.0
MAX_TIMER_DELAY_MS = 20.0  # runs on a host whose timers were later are excluded, and counted


def simulated(kills: int, members: int) -> list[float]:
    """Periods from each kill until the last member considers it dead."""
    tuning = msgspec.convert(drills.membership_settings(drills.TIME_SCALE), Tuning)
    names = [f"n{number}" for number in range(members)]
    periods = []
    for number in range(kills):
        world = World(names, component_factory(names[:2], tuning), number)
        at_ms = START_MS + tuning.period_ms * number / kills
        world.kernel.schedule(at_ms, world.apply_fault, parse(f"kill {names[-1]}"))
        world.run(at_ms + 10 * tuning.period_ms)
        deaths = {
            change.node: change.at_ms
            for change in world.observed_changes
            if isinstance(change.action, MemberChanged)
            and (change.action.name, change.action.state) == (names[-1], "dead")
        }
        assert len(deaths) == members - 1, f"seed {number}: {sorted(deaths)}"
        periods.append((max(deaths.values()) - at_ms) / tuning.period_ms)
    return periods


def on_processes(kills: int, members: int) -> tuple[list[float], int]:
    """The same for `kills` runs of processes; and how many runs were excluded."""
    timeline = parse_timeline(drills.death_and_return(members, 1).split("8000")[0] + "8000\n")
    killed = str(timeline.faults[0][1]).split()[1]
    period = 1000.0 * drills.TIME_SCALE
    periods: list[float] = []
    excluded = 0
    while len(periods) < kills and excluded <= 2 * kills:
        with tempfile.TemporaryDirectory() as folder:
            outcome = asyncio.run(drills.run_on_processes(timeline, Path(folder), rate=20.0, seed=1 + len(periods)))
        deaths = {node: at_ms for at_ms, node, text in outcome.observed_lines if text == f"{killed} dead"}
        if outcome.max_timer_delay_ms > MAX_TIMER_DELAY_MS:
            excluded += 1
            continue
        assert len(deaths) == members - 1 and not outcome.violations, outcome
        periods.append((max(deaths.values()) - outcome.fault_times_ms[0]) / period)
    return periods, excluded


def main(arguments: list[str]) -> int:
    kills = int(arguments[0]) if arguments else 20
    members = int(arguments[1]) if arguments[1:] else 3
    model = simulated(SIMULATED_KILLS, members)
    measured, excluded = on_processes(kills, members)
    for name, times in (("simulated", model), ("processes", measured)):
        print(
            f"{name}: {len(times)} kills of {members}, periods until all hold it dead: least {min(times):.2f}, "
            f"p50 {statistics.median(times):.2f}, most {max(times):.2f}"
        )
    print(f"left out: {excluded} runs in which the host's own timers were late by more than {MAX_TIMER_DELAY_MS:g} ms")
    difference = statistics.median(measured) - statistics.median(model)
    within = (
        abs(difference) <= MAX_MEDIAN_DIFFERENCE
        and min(measured) >= min(model) - MAX_EARLIER
        and max(measured) <= max(model) + MAX_LATER
    )
    print(f"medians {difference:+.2f} periods apart: {'within' if within else 'NOT within'} the interval")
    return 0 if within else 3


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
