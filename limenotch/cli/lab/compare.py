"""Play variants of the decisions, or of a scenario's settings, on the same seeds and say which is better.

Usage:
  limenotch lab compare --scenario NAME... --variant V --variant V [--variant V]... [--seeds K] [--seed N]
                        [--out DIR] [--resume] [--json FILE] [--report FILE] [--processes N]

Options:
  --scenario NAME  A shipped scenario or a file; several may be given.
  --variant V      NAME=POLICY[,KEY=VALUE...]; the first one is what the others are compared with. POLICY is
                   `installed`, `git:REVISION` or a policy file's path; KEY is a key of the scenario, such as
                   sidecars.copies=false or clients.load=0.7.
  --seeds K        Seeds a scenario and variant [default: 8].
  --seed N         The first seed [default: 1].
  --out DIR        Keep every run there.
  --resume         Take the runs that DIR holds already, if they were made of the same texts.
  --json FILE      Write the comparison there; `-`: standard output.
  --report FILE    Write a page (HTML, self-contained) there.
  --processes N    Processes to use; default: one a core.

Ctrl-C ends it early: what is done is kept and compared. Exit code 3: a variant broke a rule; 4: interrupted.
"""

from __future__ import annotations

import sys
from dataclasses import asdict
from pathlib import Path

from docopt import docopt
from rich.console import Console

from ...lab.compare import Store, compare, parse_variant, play_variants
from ...lab.tables import print_comparisons
from ...toml import FaultError
from ..arguments import whole_number
from .run import write_json


def command(arguments: list[str]) -> int:
    """Runs the sub-command with its command line, and returns the exit code."""
    options = docopt(__doc__ or "", arguments)
    try:
        variants = [parse_variant(text) for text in options["--variant"]]
        names = [variant.name for variant in variants]
        if len(set(names)) != len(names) or len(names) < 2:
            raise FaultError("--variant: expected two or more, each with a name of its own")
        if options["--resume"] and options["--out"] is None:
            raise FaultError("--resume: needs --out")
        first, count = whole_number(options, "--seed", 0), whole_number(options, "--seeds", 1)
        processes = whole_number(options, "--processes", 1) or None
        store = Store(Path(options["--out"]) if options["--out"] is not None else None)
        console = Console(stderr=True)
        with console.status("playing") as status:
            runs, complete = play_variants(
                variants,
                options["--scenario"],
                range(first, first + count),
                processes,
                store,
                options["--resume"],
                lambda done, of: status.update(f"{done} of {of} runs"),
            )
        comparisons = compare(variants, runs)
        if not comparisons:
            print("limenotch: interrupted before a pair of runs was done", file=sys.stderr)
            return 4
        print_comparisons(comparisons, sys.stderr if options["--json"] == "-" else sys.stdout)
        if options["--json"] is not None:
            write_json(
                options["--json"],
                {
                    "format": 1,
                    "whole": complete,
                    "variants": [asdict(variant) for variant in variants],
                    "comparisons": [
                        {**asdict(comparison), "verdict": comparison.verdict} for comparison in comparisons
                    ],
                },
            )
        if options["--report"] is not None:
            from ...lab.report import write_comparison

            write_comparison(Path(options["--report"]), variants, comparisons, runs, complete)
    except FaultError as error:
        print(f"limenotch: {error}", file=sys.stderr)
        return 2
    if not complete:
        return 4
    return 3 if any(figures["metrics"]["rules_broken"] for figures in runs.values()) else 0
