"""The matrix of settings that installations may vary or forbid: short simulated runs with faults and all rules checked.

A permission that holds in one deployment may be missing in another. Each axis below is a setting of some installation;
a *cell* is one value of each axis. There are 368,640 cells. A run takes a sample in which every pair of values of
different axes occurs together (a greedy covering array), and further random cells.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import combinations, product
from random import Random
from typing import Any, NamedTuple

import msgspec

from . import policy
from .model.rules import Violation
from .planning import plan
from .scenario import Scenario
from .simulate.world import World

AXES: dict[str, tuple[Any, ...]] = {
    "copies": (True, False),
    "cancel": (True, False),
    "advice": (True, False),
    "attempts": (1, 2, 3, 4, 5, 6),
    "effect": (
        "idempotent",
        "all",
        "zone",
        "cell",
        "at_most_once",
    ),  # of the class with most requests; all, zone and cell: deduplicated in that scope
    "beside": (
        "idempotent",
        "keyed",
        "at_most_once",
    ),  # of the other class; keyed: deduplicated in the scope of the first
    "report": (("util", "qps"), ("util",), ("qps",), ()),
    "zones": (1, 2, 3, 4),
    "list": ("ask", "push"),
    "tiers": (1, 3),
    "accounts": (0, 2),
    "trouble": ("silent", "deploy", "errors", "hand"),
}
NAMES = tuple(AXES)
CANDIDATES = 40  # drawn for each cell of a covering array
LENGTH_S = 4.0
FAULTS_BY_TROUBLE: dict[str, tuple[dict[str, Any], ...]] = {
    "silent": (
        {"kind": "silent", "at_s": 1.0, "length_s": 2.0, "count": 2},
        {"kind": "slow", "at_s": 2.5, "length_s": 1.5, "count": 1, "size": 8.0},
    ),
    "deploy": (
        {"kind": "deploy", "at_s": 1.0, "length_s": 3.0, "part": 0.7, "batch": 0.3, "drain_s": 0.6},
        {"kind": "directory_down", "at_s": 2.0, "length_s": 1.0},
    ),
    "errors": (
        {"kind": "error_burst", "at_s": 1.0, "length_s": 3.0, "part": 0.4, "size": 0.5},
        {"kind": "spoil", "at_s": 2.0, "length_s": 2.0, "part": 0.3, "size": 0.4},
        {"kind": "kill", "at_s": 3.0, "length_s": 0.7, "count": 1},
    ),
    "hand": (
        {"kind": "ban", "at_s": 1.0, "length_s": 1.0, "count": 2},
        {"kind": "retune", "at_s": 2.0, "length_s": 1.5, "size": 2.0},
        {"kind": "upgrade", "at_s": 2.5, "length_s": 1.0},
        {"kind": "stall", "at_s": 3.2, "length_s": 0.8, "count": 1},
    ),
}


@dataclass(frozen=True, slots=True)
class Cell:
    """One value of each axis, in the order of NAMES."""

    values: tuple[Any, ...]

    def __getitem__(self, axis: str) -> Any:
        return self.values[NAMES.index(axis)]

    def __str__(self) -> str:
        return " ".join(f"{name}={value!r}" for name, value in zip(NAMES, self.values, strict=True))


class BrokenRules(NamedTuple):
    cell: Cell
    seed: int
    counts: dict[str, int]
    first: Violation


def pairs() -> set[tuple[str, int, str, int]]:
    """All pairs of values of two axes, by the positions of the values."""
    return {
        (first_axis, i, second_axis, j)
        for first_axis, second_axis in combinations(NAMES, 2)
        for i, j in product(range(len(AXES[first_axis])), range(len(AXES[second_axis])))
    }


def covering(seed: int) -> list[Cell]:
    """Cells in which all pairs occur. Each is the one of several random cells that has most of the missing pairs."""
    random, missing, cells = Random(seed), pairs(), []
    while missing:
        candidates = [
            _draw_with_pair(random, sorted(missing)[random.randrange(len(missing))]) for _ in range(CANDIDATES)
        ]
        best = max(candidates, key=lambda positions: len(_pairs_of(positions) & missing))
        missing -= _pairs_of(best)
        cells.append(_cell(best))
    return cells


def drawn_cells(seed: int, count: int) -> Iterator[Cell]:
    random = Random(seed)
    for _ in range(count):
        yield _cell(tuple(random.randrange(len(values)) for values in AXES.values()))


def _draw_with_pair(random: Random, pair: tuple[str, int, str, int]) -> tuple[int, ...]:
    fixed = {pair[0]: pair[1], pair[2]: pair[3]}
    return tuple(fixed.get(name, random.randrange(len(AXES[name]))) for name in NAMES)


def _pairs_of(positions: tuple[int, ...]) -> set[tuple[str, int, str, int]]:
    return {(NAMES[a], positions[a], NAMES[b], positions[b]) for a, b in combinations(range(len(NAMES)), 2)}


def _cell(positions: tuple[int, ...]) -> Cell:
    return Cell(tuple(AXES[name][position] for name, position in zip(NAMES, positions, strict=True)))


SCOPES = ("all", "zone", "cell")


def _effect(effect: str, scope: str) -> dict[str, Any]:
    if effect in (*SCOPES, "keyed"):
        return {"effect": "deduplicated", "scope": scope, "window_s": 1.0}
    return {"effect": effect}


def scenario_of(cell: Cell, length_s: float = LENGTH_S) -> Scenario:
    """A short scenario with a few providers near their capacity, so that queues and time-outs occur."""
    names = [f"z{number}" for number in range(cell["zones"])]
    scope = cell["effect"] if cell["effect"] in SCOPES else "zone"
    kind = {
        "name": "box",
        "cores": 1,
        "speed": [0.8, 1.4],
        "speed_cv": 0.2,
        "slots": 6,
        "queue": 6,
        "cold_from": 0.3,
        "cold_s": 2.0,
        "error_rate": 0.01,
    }
    tier = {
        "providers": 6,
        "work": 1.0 / cell["tiers"],
        "cell_size": 2,
        "kind": [kind],
        "report": {"sent": bool(cell["report"]), "fields": list(cell["report"]) or ["util"], "period_ms": 200},
        "choke": {"at": 5, "over_s": 1.0, "slower": 3.0, "rest_s": 1.0, "below": 0.4, "most_s": 4.0},
        "connections": {"handshake_us": 2000, "connect_timeout_ms": 60, "idle_s": 2},
    }
    tables = {
        "name": "cell",
        "length_s": length_s,
        "tier": [{**tier, "name": f"t{number}"} for number in range(cell["tiers"])],
        "class": [
            {
                "name": "most",
                "work_ms": 120,
                "share": 3,
                "aim_ms": 500,
                "deadline_ms": 1200,
                "dist": "exp",
                "worth": 2,
                **_effect(cell["effect"], scope),
            },
            {
                "name": "some",
                "work_ms": 240,
                "share": 1,
                "aim_ms": 800,
                "deadline_ms": 1500,
                "late_worth": 0.5,
                **_effect(cell["beside"], scope),
            },
        ],
        "account": [{"name": f"a{number}", "share": 1 + number} for number in range(cell["accounts"])],
        "clients": {
            "load": 0.65,
            "retries": 1,
            "backoff_ms": [20, 200],
            "patience": [0.6, 1.0],
            "wave": 0.4,
            "wave_s": 3.0,
        },
        "network": {"zones": names, "cross_ms": [1.0, 3.0]},
        "directory": {
            "add_ms": [50, 300],
            "drain_ms": [20, 100],
            "notice_ms": [300, 900],
            "silent_ms": [900, 1900],
            "period_ms": 200,
        },
        "sidecars": {
            "count": 2,
            "max_attempts": cell["attempts"],
            "copies": cell["copies"],
            "cancel": cell["cancel"],
            "max_retry_after_ms": 500 if cell["advice"] else 0,
            "list_by": cell["list"],
        },
        "rules": {"drain_grace_ms": 250, "fall_multiple": 4, "fall_s": 1.5, "start_capacity": 0.3, "cold_s": 2.0},
        "fault": list(FAULTS_BY_TROUBLE[cell["trouble"]]),
    }
    return msgspec.convert(tables, Scenario)


def check(cell: Cell, seed: int, length_s: float = LENGTH_S, spec: str = "installed") -> tuple[BrokenRules | None, int]:
    """Runs one cell; returns the broken rules, if any, and the number of attempts."""
    world = World(plan(scenario_of(cell, length_s), seed), policy.load(spec))
    record = world.run()
    calls = sum(tier["attempts"] for tier in record.result()["tiers"])
    if world.rules.all_hold:
        return None, calls
    counts = {rule: count for rule, count in world.rules.counts.items() if count}
    return BrokenRules(cell, seed, counts, world.rules.violations[0]), calls


def describe(broken: BrokenRules) -> str:
    """A text with the cell, the broken rules, and the history of the first request that broke one."""
    first = broken.first
    head = [
        f"seed {broken.seed}: {broken.cell}",
        f"  {broken.counts}",
        f"  {first.at_ms:.0f} ms: {first.rule}: {first.text}",
    ]
    return "\n".join([*head, *(f"    {line}" for line in first.history)])
