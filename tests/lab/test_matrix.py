"""The settings matrix: no rule is broken in any pair of values and in random cells."""

from __future__ import annotations

import multiprocessing
import os
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from typing import Any

import pytest

from limenotch.lab import matrix, policy
from limenotch.lab.matrix import AXES, NAMES, BrokenRules, Cell
from limenotch.lab.model.rules import ALLOWED

DRAWN = 262  # beside those that cover all pairs: 300 in all


def cells() -> list[tuple[Cell, int]]:
    chosen = [*matrix.covering(1), *matrix.drawn_cells(2, DRAWN)]
    return [(cell, seed) for seed, cell in enumerate(chosen)]


def one(job: tuple[Cell, int]) -> tuple[BrokenRules | None, int]:
    return matrix.check(*job)


def test_the_covering_cells_hold_every_pair_of_values() -> None:
    held = {(a, cell[a], b, cell[b]) for cell in matrix.covering(1) for a in NAMES for b in NAMES if a < b}
    wanted = {(a, x, b, y) for a in NAMES for b in NAMES if a < b for x in AXES[a] for y in AXES[b]}
    assert held == wanted


def test_no_rule_breaks_in_any_cell() -> None:
    jobs = cells()
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(min(os.cpu_count() or 1, 8), mp_context=context) as pool:
        results = list(pool.map(one, jobs, chunksize=8))
    broken = [found for found, _ in results if found is not None]
    assert not broken, "\n" + "\n".join(matrix.describe(found) for found in broken[:3])
    assert min(calls for _, calls in results) > 30, "a cell in which nothing happens checks nothing"


# Injected bugs: the decision module ignores a setting, and so does what the settings, and thus the rules, forbid.
PLANTED: dict[str, Callable[[Any], Any]] = {
    "copies": lambda told: replace(told, may_hedge=True),
    "cancel": lambda told: replace(told, may_cancel=True),
    "advice": lambda told: replace(told, max_retry_after_ms=500.0),
    "attempts": lambda told: replace(told, max_attempts=told.max_attempts + 1),
}


@pytest.mark.parametrize("axis", PLANTED)
def test_a_permission_that_is_not_asked_is_found(axis: str, monkeypatch: pytest.MonkeyPatch) -> None:
    loaded = policy.load("installed")
    read = loaded.read_settings
    monkeypatch.setattr(loaded, "read_settings", lambda told: PLANTED[axis](read(told)))
    forbidding = [(cell, seed) for cell, seed in cells() if axis == "attempts" or cell[axis] is False]
    for cell, seed in forbidding[:12]:
        found, _ = matrix.check(cell, seed)
        if found is not None:
            assert set(found.counts) == {ALLOWED}
            assert str(cell) in matrix.describe(found)
            return
    raise AssertionError(f"{axis}: not found in {len(forbidding[:12])} cells")
