"""Measures how the score changes with each balancing constant halved and doubled, on three kinds of deployment.

    python -m benchmarks.constants [--seeds K] [--processes N] [--scenarios S... --] [NAME...]

Each constant is set to half and to double its value in every balancing module that reads it, and the same seeds run in
simulated time with and without the change. The output has one row per constant: the mean difference of the score in
each scenario, half / double, in thousandths. Differences below the noise of the scenario (last row) are not
significant.
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
}  # half their value is rounded


def constants() -> dict[str, float]:
    """Returns every number that a balancing module assigns at its top level, by `file.NAME`."""
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
    """Sets the constant `file.NAME` to another value in all modules that import it, and restores it."""
    file, constant = name.split(".")
    module_of_constant = importlib.import_module(f"limenotch.balancing.{file}")
    original = getattr(module_of_constant, constant)
    modules = [
        importlib.import_module(f"limenotch.balancing.{m.name}")
        for m in pkgutil.iter_modules(limenotch.balancing.__path__)
        if m.name != "simulator_adapter"
    ]
    changed_modules = [m for m in modules if getattr(m, constant, None) is original]
    for module in changed_modules:
        setattr(module, constant, value)
    try:
        yield
    finally:
        for module in changed_modules:
            setattr(module, constant, original)


def score(name: str, value: float, scenario: str, seed: int) -> float:
    with altered(name, value):
        return float(play(Job(scenario, seed)).figures["metrics"]["score"])


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*")
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--processes", type=int)
    parser.add_argument("--scenarios", nargs="+", default=list(SCENARIOS))
    arguments = parser.parse_args()
    known = constants()
    selected = {
        n: v
        for n, v in known.items()
        if not arguments.names or n in arguments.names or n.split(".")[1] in arguments.names
    }
    first = next(iter(known))
    jobs = [
        (first, known[first], scenario, seed)
        for scenario in arguments.scenarios
        for seed in range(1, arguments.seeds + 1)
    ]
    for name, value in selected.items():
        is_integer = name.split(".")[1] in INTEGER_CONSTANTS
        for changed_value in (value / 2, value * 2):
            jobs += [
                (name, round(changed_value) if is_integer else changed_value, scenario, seed)
                for scenario in arguments.scenarios
                for seed in range(1, arguments.seeds + 1)
            ]
    with ProcessPoolExecutor(arguments.processes, mp_context=get_context("spawn")) as pool:
        scores = dict(zip(jobs, pool.map(score, *zip(*jobs, strict=True), chunksize=4), strict=True))

    def differences(name: str, value: float, scenario: str) -> list[float]:
        return [
            scores[name, value, scenario, seed] - scores[first, known[first], scenario, seed]
            for seed in range(1, arguments.seeds + 1)
        ]

    headings = [Path(s).stem for s in arguments.scenarios]
    print("| constant | value | " + " | ".join(headings) + " |\n| --- | --- |" + " --- |" * len(headings))
    standard_errors: dict[str, list[float]] = {scenario: [] for scenario in arguments.scenarios}
    for name, value in selected.items():
        is_integer = name.split(".")[1] in INTEGER_CONSTANTS
        cells = []
        for scenario in arguments.scenarios:
            pairs = [differences(name, round(v) if is_integer else v, scenario) for v in (value / 2, value * 2)]
            standard_errors[scenario] += [stdev(p) / arguments.seeds**0.5 for p in pairs if arguments.seeds > 1]
            cells.append(" / ".join(f"{1000 * mean(p):+.0f}" for p in pairs))
        print(f"| {name} | {value:g} | " + " | ".join(cells) + " |")
    print(
        "| standard error, mean | | "
        + " | ".join(f"{1000 * mean(s or [0]):.0f}" for s in standard_errors.values())
        + " |"
    )


if __name__ == "__main__":
    main()
