"""Count what a fleet of sidecars did, second by second, over all of their logs.

Usage:
  limenotch lab timeline [--tier N] [--json] <folder>

Options:
  --tier N  Only the sidecars that send to this tier, from 0.
  --json    The counts as JSON, a list a tier, instead of tables.

The folder holds one file a sidecar, as `serve --log json` writes it at level debug ([log] level = "debug" in the
program's own settings). What can't be read is skipped and counted.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

from docopt import docopt

from ...lab import timeline


def command(arguments: list[str]) -> int:
    """Runs the sub-command with its command line, and returns the exit code."""
    options = docopt(__doc__ or "", arguments)
    folder = Path(options["<folder>"])
    files = sorted(path for path in folder.glob("*") if path.is_file()) if folder.is_dir() else []
    if not files:
        print(f"limenotch: {folder}: no folder with logs", file=sys.stderr)
        return 2
    tier = options["--tier"]
    if tier is not None and not tier.isdecimal():
        print(f"limenotch: --tier: expected a number from 0, not {tier!r}", file=sys.stderr)
        return 2
    logs = timeline.read(files)
    tiers = [int(tier)] if tier is not None else sorted(logs.layers)
    if options["--json"]:
        print(json.dumps({"skipped": logs.skipped, "tiers": {n: timeline.figures(logs, n) for n in tiers}}))
        return 0
    for number in tiers:
        print(f"tier {number}, {logs.sidecars[number]} sidecars")
        print(timeline.table(logs, number))
    if logs.skipped:
        print(f"{logs.skipped} lines could not be read", file=sys.stderr)
    return 0
