"""Play a scenario in simulated time and say what came of it.

Usage:
  limenotch lab run <scenario> [--seed N] [--seeds K] [--policy SPEC] [--json FILE] [--report FILE]
                    [--png DIR] [--processes N] [--time]

Options:
  --seed N       The first seed [default: 1].
  --seeds K      How many seeds, from the first on [default: 1].
  --policy SPEC  `installed`, `git:REVISION`, or the path of a policy file [default: installed].
  --json FILE    Write all figures there: one object, or a list of them for several seeds. `-`: standard output.
  --report FILE  Write a page (HTML, self-contained) of the first seed's run there.
  --png DIR      Write the page's plots there as images.
  --processes N  Processes to use; default: one a core, at most one a seed.
  --time         Say how long it took, and what part of that the decisions did.

<scenario> is a shipped scenario's name (`limenotch lab scenarios`) or the path of a file. The same seed brings the
same figures, to the byte, in any number of processes. Exit code 3: a rule was broken.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from docopt import docopt

from ...lab.experiment import Job, play_all
from ...lab.tables import print_runs
from ...toml import FaultError
from ..arguments import whole_number


def command(arguments: list[str]) -> int:
    """Runs the sub-command with its command line, and returns the exit code."""
    options = docopt(__doc__ or "", arguments)
    try:
        first = whole_number(options, "--seed", 0)
        count = whole_number(options, "--seeds", 1)
        processes = whole_number(options, "--processes", 1)
        jobs = [
            Job(options["<scenario>"], seed, options["--policy"], options["--time"])
            for seed in range(first, first + count)
        ]
        results = play_all(jobs, processes)
        print_runs(results, sys.stderr if options["--json"] == "-" else sys.stdout)
        if options["--json"] is not None:
            write_json(options["--json"], [r.figures for r in results] if count > 1 else results[0].figures)
        if options["--report"] is not None or options["--png"] is not None:
            from ...lab.report import write_run

            page, images = options["--report"], options["--png"]
            write_run(Path(page) if page else None, results[0].figures, Path(images) if images else None)
    except FaultError as error:
        print(f"limenotch: {error}", file=sys.stderr)
        return 2
    return 3 if any(r.figures["metrics"]["rules_broken"] for r in results) else 0


def write_json(path: str, results: Any) -> None:
    """Writes the results to a file, or with `-` to standard output. Raises FaultError if the file can't be written."""
    text = json.dumps(results, indent=1) + "\n"
    if path == "-":
        sys.stdout.write(text)
        return
    try:
        Path(path).write_text(text, encoding="utf-8")
    except OSError as error:
        raise FaultError(f"{path}: {error.strerror}") from None
