"""Half and double of each constant of the decisions: what the score loses or gains on three shapes of deployment.

    python -m benchmarks.constants [--seeds K] [--processes N] [--scenarios S... --] [NAME...]

Each constant is set to half and to double of its value in every file of the decisions that reads it, and the same
seeded days are played in simulated time with it and without. One row a constant: the mean difference of the score on
each scenario, half / double, in thousandths. A difference under the scenario's noise, told in the last row, says
nothing.
"""

from __future__ import annotations

import argparse
import ast
import importlib
import pkgutil
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from multiprocessing import get_context
from pathlib import Path
from statistics import mean, stdev

import limenotch.balancing
from limenotch.lab.experiment import Job, play

SCENARIOS = ("fleet-join", "two-zones", str(Path(__file__).with_name("few-boxes.toml")))
FILES = (
    "hedging",
    "admission",
    "endpoint_selection",
    "weights",
    "subsetting",
    "outlier_detection",
    "balancer_state",
    "rates",
    "endpoint_statistics",
)
INTEGER_CONSTANTS = {
    "EJECTION_MISSES",
    "MAX_DRAWS",
    "EXTRA_CANDIDATES",
    "LOWEST_MEAN_WINDOWS",
    "MIN_WINDOW_SAMPLES",
    "MIN_SUBSET_SIZE",
    "LOCAL_CANDIDATE_INTERVAL",
}  # their half is rounded


def constants() -> dict[str, float]:
    """By `file.NAME`, every number that a file of the decisions sets at its top."""
    found: dict[str, float] = {}
    for file in FILES:
        text = Path(limenotch.balancing.__path__[0], f"{file}.py").read_text()
        for node in ast.parse(text).body:
            if isinstance(node, ast.Assign) and isinstance(node.value, ast.Constant):
                name = node.targets[0]
                if isinstance(name, ast.Name) and isinstance(node.value.value, (int, float)):
                    found[f"{file}.{name.id}"] = node.value.value
    return found


@contextmanager
def altered(name: str, value: float) -> Iterator[None]:
    """The constant `file.NAME` at another value, wherever it was imported to."""
    file, bare = name.split(".")
    own = importlib.import_module(f"limenotch.balancing.{file}")
    was = getattr(own, bare)
    modules = [
        importlib.import_module(f"limenotch.balancing.{m.name}")
        for m in pkgutil.iter_modules(limenotch.balancing.__path__)
        if m.name != "simulator_adapter"
    ]
    touched = [m for m in modules if getattr(m, bare, None) is was]
    for module in touched:
        setattr(module, bare, value)
    try:
        yield
    finally:
        for module in touched:
            setattr(module, bare, was)


def score(name: str, value: float, scenario: str, seed: int) -> float:
    with altered(name, value):
        return float(play(Job(scenario, seed)).figures["metrics"]["score"])


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*")
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--processes", type=int)
    parser.add_argument("--scenarios", nargs="+", default=list(SCENARIOS))
    asked = parser.parse_args()
    known = constants()
    some = {n: v for n, v in known.items() if not asked.names or n in asked.names or n.split(".")[1] in asked.names}
    first = next(iter(known))
    jobs = [(first, known[first], scenario, seed) for scenario in asked.scenarios for seed in range(1, asked.seeds + 1)]
    for name, value in some.items():
        whole = name.split(".")[1] in INTEGER_CONSTANTS
        for other in (value / 2, value * 2):
            jobs += [
                (name, round(other) if whole else other, scenario, seed)
                for scenario in asked.scenarios
                for seed in range(1, asked.seeds + 1)
            ]
    with ProcessPoolExecutor(asked.processes, mp_context=get_context("spawn")) as pool:
        scores = dict(zip(jobs, pool.map(score, *zip(*jobs, strict=True), chunksize=4), strict=True))

    def differences(name: str, value: float, scenario: str) -> list[float]:
        return [
            scores[name, value, scenario, seed] - scores[first, known[first], scenario, seed]
            for seed in range(1, asked.seeds + 1)
        ]

    heads = [Path(s).stem for s in asked.scenarios]
    print("| constant | value | " + " | ".join(heads) + " |\n| --- | --- |" + " --- |" * len(heads))
    spread: dict[str, list[float]] = {scenario: [] for scenario in asked.scenarios}
    for name, value in some.items():
        whole = name.split(".")[1] in INTEGER_CONSTANTS
        cells = []
        for scenario in asked.scenarios:
            pairs = [differences(name, round(v) if whole else v, scenario) for v in (value / 2, value * 2)]
            spread[scenario] += [stdev(p) / asked.seeds**0.5 for p in pairs if asked.seeds > 1]
            cells.append(" / ".join(f"{1000 * mean(p):+.0f}" for p in pairs))
        print(f"| {name} | {value:g} | " + " | ".join(cells) + " |")
    print("| standard error, mean | | " + " | ".join(f"{1000 * mean(s or [0]):.0f}" for s in spread.values()) + " |")


if __name__ == "__main__":
    main()
