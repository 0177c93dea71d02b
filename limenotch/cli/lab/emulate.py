"""Start a scenario's fleet, directory and sidecars on loopback and keep them until Ctrl-C or the scenario's end.

Usage:
  limenotch lab emulate <scenario> [--seed N] [--set CHANGE]... [--seconds S]

Options:
  --seed N       [default: 1].
  --set CHANGE   A key of the scenario, as tier.providers is not, but sidecars.count=2 is.
  --seconds S    How long, 1 to 3600; default: the scenario's length. Faults come at the scenario's times.

Prints the entry sidecars' addresses, one a line, then `ready`; `limenotch lab load` sends them calls. Exit code 3: a
provider saw a rule broken.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path

from docopt import docopt

from ...lab import planning, scenario
from ...lab.emulate.host import Rehearsal, SidecarError, TooLargeError
from ...lab.planning import Plan
from ...toml import FaultError
from ..arguments import number, whole_number


async def emulate(plan: Plan) -> dict[str, int]:
    """Runs the fleet and its sidecars, and returns how often each rule was broken."""
    with tempfile.TemporaryDirectory(prefix="limenotch-lab-") as folder:
        rehearsal = Rehearsal(plan, Path(folder), load=False)
        try:
            await rehearsal.start(lambda text: print(f"starting {text}", file=sys.stderr))
            for (tier, _), sidecar in sorted(rehearsal.sidecars.items()):
                if tier == 0:
                    print(f"127.0.0.1:{sidecar.port}")
            print("ready", flush=True)
            await rehearsal.run()
            return rehearsal.rules.counts
        finally:
            await rehearsal.close()


def command(arguments: list[str]) -> int:
    """Runs the sub-command with its command line, and returns the exit code."""
    options = docopt(__doc__ or "", arguments)
    try:
        overrides = list(options["--set"])
        if options["--seconds"] is not None:
            overrides.append(f"length_s = {number(options, '--seconds', 1, 3600):g}")
        plan = planning.plan(
            scenario.load(options["<scenario>"], "\n".join(overrides)), whole_number(options, "--seed", 0)
        )
        counts = asyncio.run(emulate(plan))
    except (FaultError, SidecarError, TooLargeError) as error:
        print(f"limenotch: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 0
    for rule, count in counts.items():
        if count:
            print(f"broken {count} times: {rule}")
    return 3 if any(counts.values()) else 0
