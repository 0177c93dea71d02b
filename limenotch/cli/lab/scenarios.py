"""List the scenarios that come with the program, or print one.

Usage:
  limenotch lab scenarios [<name>]
  limenotch lab scenarios --check FILE

Options:
  --check FILE  Read and check a scenario of your own; a fault is told by file, line and key, with exit code 2.
"""

from __future__ import annotations

import sys
from importlib import resources
from textwrap import fill

from docopt import docopt

from ...lab import planning, scenario
from ...toml import FaultError


def command(arguments: list[str]) -> int:
    """Runs the sub-command with its command line, and returns the exit code."""
    options = docopt(__doc__ or "", arguments)
    try:
        if options["--check"] is not None:
            checked_plan = planning.plan(scenario.load(options["--check"]), seed=1)
            print(
                f"{checked_plan.scenario.name}: {sum(len(t.machines) for t in checked_plan.tiers)} providers, "
                f"{checked_plan.first_rate:.1f} calls a second of {checked_plan.rate_per_s:.1f} (seed 1)"
            )
            return 0
        if options["<name>"] is not None:
            scenario.load(options["<name>"])
            folder = resources.files("limenotch.lab") / "scenarios"
            print((folder / f"{options['<name>']}.toml").read_text(encoding="utf-8"), end="")
            return 0
    except (FaultError, FileNotFoundError) as error:
        print(f"limenotch: {error}", file=sys.stderr)
        return 2
    for name in scenario.shipped():
        shipped = scenario.load(name)
        providers = "+".join(str(tier.providers) for tier in shipped.tier)
        print(f"{name:16} {providers} providers, {shipped.sidecars.count} sidecars, {shipped.length_s:g} s")
        print(fill(shipped.look_for, 100, initial_indent=" " * 17, subsequent_indent=" " * 17))
    return 0
