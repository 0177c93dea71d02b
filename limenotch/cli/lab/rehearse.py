"""Play a scenario on loopback sockets in real time, with unchanged `limenotch serve` processes.

Usage:
  limenotch lab rehearse <scenario> [--seed N] [--json FILE] [--report FILE] [--png DIR] [--set CHANGE]... [--quiet]

Options:
  --seed N       [default: 1].
  --json FILE    Write all figures there; `-`: standard output.
  --report FILE  Write a page (HTML, self-contained) there.
  --png DIR      Write the page's plots there as images.
  --set CHANGE   A key of the scenario, as clients.load=0.3.
  --quiet        No progress line.

Everything runs on 127.0.0.1 on ports of the kernel's choice and ends with the scenario. Exit code 3: a rule was
broken; 4: interrupted.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

from docopt import docopt
from rich.console import Console

from ...lab import planning, scenario
from ...lab.emulate.host import Rehearsal, SidecarError, TooLargeError, rehearse
from ...lab.experiment import Job, Result
from ...lab.tables import print_runs
from ...toml import FaultError
from ..arguments import whole_number
from .run import write_json

PROGRESS_INTERVAL_S = 0.5


def run_rehearsal(name: str, seed: int, overrides: str, quiet: bool) -> dict[str, Any]:
    """Plays a scenario with a progress line on standard error, and returns the results. Raises FaultError."""
    plan = planning.plan(scenario.load(name, overrides), seed)
    console = Console(stderr=True, highlight=False)

    def report_start(text: str) -> None:
        if not quiet:
            console.print(f"starting {text}", style="dim", markup=False)

    async def watch(rehearsal: Rehearsal) -> None:
        with console.status("") as status:
            while True:
                now, load = rehearsal.clock() / 1000.0, rehearsal.load
                if load is not None:
                    p = load.progress
                    bands = [b.text for b in rehearsal.schedule.intervals if b.begin_ms <= now * 1000 < b.end_ms]
                    status.update(
                        f"{now:5.1f} of {plan.length_ms / 1000:g} s  asked {p.asked}  open {p.open}  "
                        f"served {p.served}  rejected {p.rejected}  failed {p.failed}  {', '.join(bands)}"
                    )
                await asyncio.sleep(PROGRESS_INTERVAL_S)

    try:
        return asyncio.run(rehearse(plan, report_start, None if quiet else watch))
    except (SidecarError, TooLargeError) as error:
        raise FaultError(str(error)) from None


def command(arguments: list[str]) -> int:
    """Runs the sub-command with its command line, and returns the exit code."""
    options = docopt(__doc__ or "", arguments)
    try:
        seed, overrides = whole_number(options, "--seed", 0), "\n".join(options["--set"])
        results = run_rehearsal(options["<scenario>"], seed, overrides, options["--quiet"])
        return show_results(results, options["--json"], options["--report"], options["--png"])
    except FaultError as error:
        print(f"limenotch: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        print("limenotch: interrupted; all processes are ended", file=sys.stderr)
        return 4


def show_results(results: dict[str, Any], json_path: str | None, page: str | None, images: str | None) -> int:
    """Prints the results, writes them where the paths are given, and returns the exit code.

    `page`: the path of the HTML report; `images`: the folder for its plots.
    """
    output = sys.stderr if json_path == "-" else sys.stdout
    print_runs([Result(Job(results["scenario"], results["seed"]), results)], output)
    machine = results["machine"]
    timers, sent = machine["loop_late_ms"].get("p99", 0), machine["sent_late_ms"].get("p99", 0)
    print(
        f"this machine: timers late by {timers:.1f} ms (p99), requests sent late by {sent:.1f} ms (p99), "
        f"the largest sidecar {machine['sidecar_memory_mb']} MB",
        file=output,
    )
    if machine["crashed"]:
        print(f"sidecars that ended by themselves: {', '.join(machine['crashed'])}", file=output)
    if json_path is not None:
        write_json(json_path, results)
    if page is not None or images is not None:
        from ...lab.report import write_run

        write_run(Path(page) if page else None, results, Path(images) if images else None)
    return 3 if results["metrics"]["rules_broken"] or machine["crashed"] else 0
