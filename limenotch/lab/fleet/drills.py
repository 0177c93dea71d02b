"""Runs expected timelines of membership on processes: the files of simulated time that have `window` in the header.

The processes have a shorter membership period than the 1000 ms of the files. The ratio of the two periods is the time
scale (`pace: 0.4` in the header, default TIME_SCALE): a timeline runs in that share of its time, and begins LEAD_MS
before its first fault. The lines expected before that fault have to be logged at least once, in any order, before
time 0; the run waits until all members consider all alive.

A busy machine causes false suspicions: the comparison ignores a suspicion that is not expected and is refuted
(`without_refuted_suspicions`). An unexpected death, fence or twin (a node that runs under another node's name) is
always a difference, up to the end: such timelines end with a quiet time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from pathlib import Path
from typing import Any

from .. import planning, scenario
from .comparing import compare_within_window
from .drawing import ExpectedTimeline, normalize
from .members import seeds_of, twins_of
from .processes import NotReachedError, Processes
from .stage import ObservedLine, Outcome, SettingsText, Stage, relayed_fleet_settings
from .weather import NetworkConditions

TIME_SCALE = 0.4
LEAD_MS = 200.0
TIMEOUT_MS = 90.0  # not scaled: the delay of timers on a busy machine does not depend on the period
READY_TIMEOUT_S = 20.0
MAX_MEMBERS = 9
MAX_ATTEMPTS = 3
BUSY_TIMER_DELAY_MS = 60.0  # less than TIMEOUT_MS
FLEET_KEY = "a key for this run, of 16 bytes or more"

TRAFFIC = """
name = "fleet"
length_s = {length_s}
[sidecars]
count = {count}
[clients]
rate_per_s = {rate}
[network]
zones = ["z1", "z2", "z3"]
same_ms = 0.01
cross_ms = [0.01, 0.02]
[[tier]]
name = "only"
providers = 6
[[tier.kind]]
name = "k"
slots = 4
queue = 4
[[class]]
name = "free"
work_ms = 2
aim_ms = 300
deadline_ms = 600
[[class]]
name = "keyed"
share = 0.3
work_ms = 2
aim_ms = 300
deadline_ms = 600
effect = "deduplicated"
window_s = 2
[[class]]
name = "once"
share = 0.3
work_ms = 2
aim_ms = 300
deadline_ms = 600
effect = "at_most_once"
"""


def death_and_return(members: int, seed: int) -> str:
    """Returns the default timeline: the last of the members is killed and restarted.

    Raises ValueError for fewer than 3 or more than MAX_MEMBERS members.
    """
    if not 3 <= members <= MAX_MEMBERS:
        raise ValueError(f"members: {members} is not between 3 and {MAX_MEMBERS}")
    names = [chr(ord("a") + number) for number in range(members)]
    last, peers = names[-1], names[:-1]
    column_width = 18
    rows = [
        ("ms", [*names, "faults"]),
        ("3000", ["" for _ in names] + [f"kill {last}"]),
        ("5450", [f"{last} dead"] * len(peers)),
        ("8000", ["" for _ in names] + [f"start {last}"]),
        ("8003", [f"{last} alive"] * len(peers)),
    ]
    rows += [
        ("8003", [""] * len(peers) + [f"{'& ' if number else ''}{name} alive"])  # in any order
        for number, name in enumerate(peers)
    ]
    rows.append(("10000", []))
    timeline = "\n".join(
        at.ljust(8) + "".join(cell.ljust(column_width) for cell in cells).rstrip() for at, cells in rows
    )
    return f"window: 2000\nseed: {seed}\nshow: dead alive\n\n{timeline}\n"


def time_scale_of(timeline: ExpectedTimeline) -> float:
    """Returns the share of the file's time in which the timeline runs on processes."""
    return timeline.number("pace", TIME_SCALE)


def membership_settings(time_scale: float) -> dict[str, float]:
    """Returns the membership settings for a timeline that runs in this share of its time."""
    return {"period_ms": 1000.0 * time_scale, "timeout_ms": min(120.0, TIMEOUT_MS), "gossip_ms": 60.0 * time_scale}


def without_refuted_suspicions(timeline: ExpectedTimeline, observed: Iterable[ObservedLine]) -> list[ObservedLine]:
    """Returns the compared lines without unexpected suspicions that were refuted or are open at the end."""
    found = [line for line in observed if line[1] in timeline.columns]
    for node in timeline.columns:
        node_lines = [line for line in found if line[1] == node]
        for about in {line[2].split()[1] for line in node_lines if line[2].startswith("suspects ")}:
            expected = [
                note.text for note in timeline.entries if note.node == node and note.text in _texts_about(about)
            ]
            ignored = _refuted_suspicions(
                timeline, about, [line for line in node_lines if normalize(line[2]) in _texts_about(about)], expected
            )
            found = [line for line in found if line not in ignored]
    return [line for line in found if timeline.is_compared(line[2])]


def _refuted_suspicions(
    timeline: ExpectedTimeline, about: str, lines: list[ObservedLine], expected: list[str]
) -> list[ObservedLine]:
    """Returns the lines to ignore among those of one node about one member, in order.

    The observed lines are compared with the expected ones in order. A suspicion that is not the next expected line is
    ignored, with the next observed line, if that line refutes it. It is also ignored if it is the last observed line
    and within the window before the end. Any other compared line counts as the next expected one.
    """
    suspicion, refutation = f"suspects {about}", f"{about} alive"
    ignored: list[ObservedLine] = []
    index = expected_index = 0
    while index < len(lines):
        text, after = normalize(lines[index][2]), [normalize(line[2]) for line in lines[index + 1 : index + 2]]
        next_expected = expected[expected_index] if expected_index < len(expected) else ""
        is_open = not after and lines[index][0] > timeline.end_ms - timeline.window_ms
        if text == suspicion != next_expected and (after == [refutation] or is_open):
            # The next observed line, "<member> alive", ends the suspicion. If that line is expected too, as for a new
            # process, only the suspicion is ignored.
            count = 1 if next_expected == refutation else 2
            ignored += lines[index : index + count]
            index += count
        else:
            expected_index += timeline.is_compared(text)
            index += 1
    return ignored


def _texts_about(name: str) -> tuple[str, ...]:
    return (f"suspects {name}", f"{name} alive", f"{name} dead", f"{name} left")


def comparison_of(
    timeline: ExpectedTimeline, rescaled: ExpectedTimeline
) -> Callable[[list[ObservedLine], list[float]], str | None]:
    """Returns the comparison of a run. `timeline` has the file's times, `rescaled` those of the processes."""

    def compare(observed: list[ObservedLine], fault_times_ms: list[float]) -> str | None:
        after = [line for line in without_refuted_suspicions(rescaled, [line for line in observed if line[0] >= 0.0])]
        return _missing(timeline, observed) or compare_within_window(rescaled, after, fault_times_ms, grace_ms=0.0)

    return compare


def _missing(timeline: ExpectedTimeline, observed: list[ObservedLine]) -> str | None:
    """Returns a text with the entries before the first fault that were not logged before time 0, or None."""
    logged = {(node, normalize(text)) for at, node, text in observed if at < 0.0}
    missing = [
        f"{note.node}: {note.text!r}" for note in timeline.entries_before_faults if (note.node, note.text) not in logged
    ]
    return f"{timeline.name}: not logged before the first fault: {', '.join(missing)}" if missing else None


def fleet_settings_of(timeline: ExpectedTimeline, key_file: Path, time_scale: float) -> SettingsText:
    """Returns the settings of the nodes."""
    return relayed_fleet_settings(
        timeline.nodes,
        key_file,
        seeds=seeds_of(timeline),
        twins=twins_of(timeline),
        membership=membership_settings(time_scale),
    )


def _sees_alive(count: int) -> Callable[[str, dict[str, Any]], bool]:
    return lambda name, state: count == sum(member["state"] == "alive" for member in state["members"])


async def run_on_processes(
    timeline: ExpectedTimeline,
    folder: Path,
    *,
    rate: float = 60.0,
    seed: int = 3,
    watch: Callable[[Stage], Coroutine[Any, Any, None]] | None = None,
    after: Callable[[Stage], Coroutine[Any, Any, None]] | None = None,
) -> Outcome:
    """Runs the timeline on processes, and ends all processes before it returns, raises or is cancelled.

    `watch` runs concurrently from the first process on; `after` runs at the end, before the processes end.

    Raises SidecarError, RelayError, NotReachedError, and ValueError on a timeline that cannot run on processes.
    """
    time_scale = time_scale_of(timeline)
    rescaled = timeline.rescaled(time_scale, LEAD_MS)
    text = TRAFFIC.format(length_s=rescaled.end_ms / 1000.0, count=len(timeline.nodes), rate=rate)
    key_file = folder / "key"
    key_file.write_text(FLEET_KEY, encoding="ascii")
    same_epochs = timeline.header.get("lives") == "same"

    async def wait_until_ready(processes: Processes) -> None:
        running = [name for name in timeline.nodes if name not in timeline.started_later]
        await processes.wait_until_all(
            _sees_alive(len(running)), READY_TIMEOUT_S, "all members consider all alive", running
        )

    stage = Stage(
        planning.plan(scenario.parse(text, "drill"), seed),
        folder,
        rescaled,
        NetworkConditions(timeline.seed),
        fleet_settings=fleet_settings_of(timeline, key_file, time_scale),
        compare=comparison_of(timeline, rescaled),
        faulty_disks=same_epochs or _needs_faulty_disks(timeline),
        process_names=twins_of(timeline),
        clock_back_s=3600.0 if same_epochs else 0.0,
    )
    watching = asyncio.get_running_loop().create_task(watch(stage)) if watch is not None else None
    try:
        outcome = await stage.run_timeline(wait_until_ready)
        if after is not None:
            await after(stage)
        return outcome
    finally:
        if watching is not None:
            watching.cancel()
        await stage.close()


async def run_with_retries(timeline: ExpectedTimeline, folder: Path, max_attempts: int = MAX_ATTEMPTS) -> Outcome:
    """As `run_on_processes`, but repeats a failed run if the host's own timers were late by BUSY_TIMER_DELAY_MS.

    Such a machine delays all processes by more than the timeline's tolerances, so the run does not show a fault of the
    program. On a machine whose timers are on time the first result counts; the last result always counts.
    """
    for number in range(max_attempts):
        attempt_folder = folder / str(number)
        attempt_folder.mkdir()
        try:
            outcome = await run_on_processes(timeline, attempt_folder)
        except NotReachedError:
            if number == max_attempts - 1:
                raise
            continue  # before time 0: another process took a free port, or the machine is overloaded
        if outcome.succeeded or outcome.max_timer_delay_ms < BUSY_TIMER_DELAY_MS or number == max_attempts - 1:
            return outcome
    raise ValueError("no attempts")


def _needs_faulty_disks(timeline: ExpectedTimeline) -> bool:
    return any(str(fault).split()[0] in ("disk", "clock") for _, fault in timeline.faults)
