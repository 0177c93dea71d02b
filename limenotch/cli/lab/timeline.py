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
    given = docopt(__doc__ or "", arguments)
    folder = Path(given["<folder>"])
    files = sorted(path for path in folder.glob("*") if path.is_file()) if folder.is_dir() else []
    if not files:
        print(f"limenotch: {folder}: no folder with logs", file=sys.stderr)
        return 2
    tier = given["--tier"]
    if tier is not None and not tier.isdecimal():
        print(f"limenotch: --tier: expected a number from 0, not {tier!r}", file=sys.stderr)
        return 2
    read = timeline.read(files)
    layers = [int(tier)] if tier is not None else sorted(read.layers)
    if given["--json"]:
        print(json.dumps({"skipped": read.skipped, "tiers": {n: timeline.figures(read, n) for n in layers}}))
        return 0
    for layer in layers:
        print(f"tier {layer}, {read.sidecars[layer]} sidecars")
        print(timeline.table(read, layer))
    if read.skipped:
        print(f"{read.skipped} lines could not be read", file=sys.stderr)
    return 0
