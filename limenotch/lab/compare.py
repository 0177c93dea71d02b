"""Compares variants on the same scenarios and seeds: differences paired by seed, with intervals and verdicts.

The difference of a metric is a mean over pairs; its interval comes from a bootstrap (SciPy, percentiles, fixed seed).
A verdict is given if the interval does not include zero. With ten metrics at 95%, one in two comparisons of equal
variants shows such an interval by chance, so the verdict of a comparison depends only on `score` and the rules.
"""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from hashlib import sha256
from pathlib import Path
from typing import Any

import numpy as np
from scipy.stats import bootstrap

from ..toml import FaultError
from . import policy
from .experiment import Job, Result, play_all

# 1: higher is better, -1: lower is better, 0: no verdict, since the metric only describes how a result came about.
METRICS = {
    "score": 1,
    "in_time": 1,
    "goodput": 1,
    "worst_10s": 1,
    "worst_class": 1,
    "worst_account": 1,
    "rejected": -1,
    "failed": -1,
    "retries": -1,
    "again": 0,
    "crossings": 0,
    "wasted_work": -1,
    "p50_ms": -1,
    "p95_ms": -1,
    "p99_ms": -1,
    "cold_push": 0,
    "rules_broken": -1,
}
# The metrics in tables and pages.
SHOWN = (
    "score",
    "in_time",
    "worst_10s",
    "worst_class",
    "worst_account",
    "rejected",
    "failed",
    "wasted_work",
    "p50_ms",
    "p95_ms",
    "p99_ms",
    "cold_push",
    "rules_broken",
)
CONFIDENCE = 0.95
RESAMPLES = 4000
MIN_PAIRS = 4  # with fewer pairs no verdict is given: a bootstrap of three values says nothing about their spread


@dataclass(frozen=True, slots=True)
class Variant:
    name: str
    policy: str = "installed"
    over: str = ""


def parse_variant(text: str) -> Variant:
    """`NAME=POLICY[,KEY=VALUE...]`; keys are the scenario's, as `sidecars.copies=false`. Raises FaultError."""
    name, equals, rest = text.partition("=")
    spec, *changes = rest.split(",")
    if not name or not equals or not spec or not all("=" in change for change in changes):
        raise FaultError(f"--variant: expected NAME=POLICY[,KEY=VALUE...], not {text!r}")
    return Variant(name, spec, "\n".join(changes))


@dataclass(frozen=True, slots=True)
class Difference:
    """The difference of one metric, variant minus first; the verdict is better, worse, can't tell or same."""

    metric: str
    first: float
    other: float
    mean: float
    low: float
    high: float
    pairs: int
    verdict: str


def difference(metric: str, pairs: Sequence[tuple[float, float]]) -> Difference:
    first_values, other_values = (np.array([pair[side] for pair in pairs], dtype=float) for side in (0, 1))
    difference_by_pair = other_values - first_values
    mean = float(difference_by_pair.mean())
    low = high = mean
    if len(pairs) >= 2 and float(np.ptp(difference_by_pair)) > 0:
        interval = bootstrap(
            (difference_by_pair,),
            np.mean,
            confidence_level=CONFIDENCE,
            n_resamples=RESAMPLES,
            method="percentile",
            rng=np.random.default_rng(1),
        )
        low, high = float(interval.confidence_interval.low), float(interval.confidence_interval.high)
    direction = METRICS[metric]
    if not difference_by_pair.any():
        verdict = "same"
    elif len(pairs) < MIN_PAIRS or low <= 0 <= high or not direction:
        verdict = "can't tell" if direction else ""
    else:
        verdict = "better" if mean * direction > 0 else "worse"
    return Difference(
        metric, float(first_values.mean()), float(other_values.mean()), mean, low, high, len(pairs), verdict
    )


@dataclass(frozen=True, slots=True)
class Comparison:
    """The comparison of a variant with the first one on one scenario."""

    scenario: str
    first: str
    other: str
    differences: tuple[Difference, ...]
    seeds: tuple[int, ...]

    @property
    def verdict(self) -> str:
        by_metric = {each.metric: each for each in self.differences}
        if by_metric["rules_broken"].mean > 0:
            return "worse: breaks rules"
        return by_metric["score"].verdict


def compare(variants: Sequence[Variant], runs: dict[tuple[str, str, int], dict[str, Any]]) -> list[Comparison]:
    """Compares `runs`, results by variant, scenario and seed. Seeds that are missing on one side are left out."""
    first = variants[0].name
    comparisons = []
    for name in dict.fromkeys(key[1] for key in runs):
        for other in variants[1:]:
            seeds = [
                seed
                for variant, scenario, seed in runs
                if variant == first and scenario == name and (other.name, name, seed) in runs
            ]
            if not seeds:
                continue
            differences = tuple(
                difference(
                    metric,
                    [
                        (runs[first, name, seed]["metrics"][metric], runs[other.name, name, seed]["metrics"][metric])
                        for seed in seeds
                    ],
                )
                for metric in METRICS
            )
            comparisons.append(Comparison(name, first, other.name, differences, tuple(seeds)))
    return comparisons


class Store:
    """Stores runs on disk, one complete file each, so an interrupted comparison can be resumed.

    A file is used for a run only if its scenario text, change, policy text and seed are the same.
    """

    def __init__(self, folder: Path | None) -> None:
        self.folder = folder
        if folder is not None:
            try:
                folder.mkdir(parents=True, exist_ok=True)
            except OSError as error:
                raise FaultError(f"{folder}: {error.strerror}") from None

    def _path(self, job: Job) -> Path | None:
        if self.folder is None:
            return None
        identity = "\0".join(
            (job.scenario, _scenario_text(job.scenario), job.over, policy.digest(job.policy), str(job.seed))
        )
        name = Path(job.scenario).stem
        return self.folder / f"{name}-{job.seed}-{sha256(identity.encode()).hexdigest()[:16]}.json"

    def load(self, job: Job) -> dict[str, Any] | None:
        path = self._path(job)
        try:
            stored = json.loads(path.read_text(encoding="utf-8")) if path is not None else None
        except (OSError, ValueError):
            return None
        return stored if isinstance(stored, dict) and "metrics" in stored else None

    def save(self, result: Result) -> None:
        path = self._path(result.job)
        if path is not None:
            partial_path = path.with_suffix(f".{os.getpid()}.part")
            partial_path.write_text(json.dumps(result.figures), encoding="utf-8")
            partial_path.replace(path)


def _scenario_text(scenario: str) -> str:
    try:
        return Path(scenario).read_text(encoding="utf-8")
    except OSError:
        from . import __file__ as package  # a shipped scenario: the texts of all of them, as it may extend another

        folder = Path(package).parent / "scenarios"
        return "".join(path.read_text(encoding="utf-8") for path in sorted(folder.glob("*.toml")))


def play_variants(
    variants: Sequence[Variant],
    scenarios: Iterable[str],
    seeds: Iterable[int],
    processes: int | None,
    store: Store,
    resume: bool,
    done: Callable[[int, int], None] | None = None,
) -> tuple[dict[tuple[str, str, int], dict[str, Any]], bool]:
    """Returns results by variant, scenario and seed, and whether they are complete (not after Ctrl-C)."""
    # Ordered by seed, so an interruption leaves complete pairs.
    jobs = {
        (variant.name, name, seed): Job(name, seed, variant.policy, over=variant.over)
        for seed in seeds
        for name in scenarios
        for variant in variants
    }
    runs: dict[tuple[str, str, int], dict[str, Any]] = {}
    if resume:
        for key, job in jobs.items():
            stored = store.load(job)
            if stored is not None:
                runs[key] = stored
    todo = {key: job for key, job in jobs.items() if key not in runs}
    keys: dict[Job, list[tuple[str, str, int]]] = {}
    for key, job in todo.items():  # two variants may be equal
        keys.setdefault(job, []).append(key)

    def on_result(result: Result) -> None:
        store.save(result)
        for key in keys[result.job]:
            runs[key] = result.figures
        if done is not None:
            done(len(runs), len(jobs))

    complete = True
    try:
        play_all(keys, processes, on_result)
    except KeyboardInterrupt:
        complete = False
    return {key: runs[key] for key in jobs if key in runs}, complete
