"""Soak: `python -m benchmarks.soak --seeds 1..50`: random faults on real processes, one output line per seed.

Exits with 1 if a rule is violated, and prints the seed's plan with the violations. About 15 s per seed, four in
parallel.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from multiprocessing import get_context
from pathlib import Path

from tests.helpers.soak import Observations, Run, violations
from tests.helpers.soak_plan import Plan


def run_seed(seed: int) -> tuple[int, Plan, Observations]:
    with tempfile.TemporaryDirectory() as folder:
        run = Run(seed, Path(folder))
        return seed, run.plan, asyncio.run(run.play())


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1..50", help="first..last")
    parser.add_argument("--beside", type=int, default=4, help="number of seeds in parallel")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("..")
    failed_seeds = completed_seeds = 0
    with get_context("spawn").Pool(arguments.beside) as pool:  # each worker chooses its own ports
        for seed, plan, observed in pool.imap_unordered(run_seed, range(int(first), int(last or first) + 1)):
            found, completed_seeds = violations(observed), completed_seeds + 1
            failed_seeds += bool(found)
            print(
                f"seed {seed}: {observed.sent} sent, {observed.answered} answered, {observed.crossed} crossed, "
                f"{len(found)} faults"
            )
            for fault in found[:5]:
                print(f"  {fault}")
            if found:
                print(f"  {plan}")
    print(f"{completed_seeds} seeds, {failed_seeds} with a violated rule")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
