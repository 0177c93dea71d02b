"""Runs a few seeds of the soak test in parallel; `python -m benchmarks.soak` runs any number of them."""

from __future__ import annotations

import asyncio
from pathlib import Path

from .helpers.processes import run
from .helpers.soak import Run, violations

SEEDS = (1, 2, 3, 4)


def test_random_discovery_faults_and_signals_break_no_rule(tmp_path: Path) -> None:
    async def case() -> None:
        runs = []
        for seed in SEEDS:
            folder = tmp_path / str(seed)
            folder.mkdir()
            runs.append(Run(seed, folder))
        for seed, observed in zip(SEEDS, await asyncio.gather(*(each.play() for each in runs)), strict=True):
            assert observed.answered > 100, seed
            assert violations(observed) == [], (seed, runs[SEEDS.index(seed)].plan)

    run(case())
