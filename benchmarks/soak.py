"""Soak: `python -m benchmarks.soak --seeds 1..50`: drawn faults against real processes, a line for each seed.

Exits 1 when a rule is broken; the seed's plan is printed with what broke. Some 15 s a seed, four side by side.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from multiprocessing import get_context
from pathlib import Path

from tests.helpers.soak import Observations, Plan, Run, violations


def play(seed: int) -> tuple[int, Plan, Observations]:
    with tempfile.TemporaryDirectory() as folder:
        run = Run(seed, Path(folder))
        return seed, run.plan, asyncio.run(run.play())


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1..50", help="first..last")
    parser.add_argument("--beside", type=int, default=4, help="seeds played side by side")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("..")
    broken = played = 0
    with get_context("spawn").Pool(arguments.beside) as pool:  # each worker draws its own ports
        for seed, plan, seen in pool.imap_unordered(play, range(int(first), int(last or first) + 1)):
            found, played = violations(seen), played + 1
            broken += bool(found)
            print(
                f"seed {seed}: {seen.sent} sent, {seen.answered} answered, {seen.crossed} crossed, {len(found)} faults"
            )
            for fault in found[:5]:
                print(f"  {fault}")
            if found:
                print(f"  {plan}")
    print(f"{played} seeds, {broken} with a broken rule")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
