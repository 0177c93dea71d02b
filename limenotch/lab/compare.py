"""Variants against each other: the same scenarios and seeds, differences paired by seed, and what can be said of them.

The difference of a metric is a mean over pairs; its interval is a bootstrap's (SciPy, percentiles, a fixed seed).
A verdict is given where the whole interval lies on one side of zero. With ten metrics at 95% one in two comparisons of
equal variants shows one such interval by chance, so the verdict on the whole rests on `score` and the rules alone.
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

# Which way is better; those that only tell how something was had are left out of verdicts (0).
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
# Those that tables and pages show.
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
FEWEST = 4  # pairs below which no verdict is given: the bootstrap of three values knows nothing of their spread


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
    """Of one metric, variant less the first: mean, interval, and verdict: better, worse, can't tell, same."""

    metric: str
    first: float
    other: float
    mean: float
    low: float
    high: float
    pairs: int
    verdict: str


def difference(metric: str, pairs: Sequence[tuple[float, float]]) -> Difference:
    one, two = (np.array([pair[side] for pair in pairs], dtype=float) for side in (0, 1))
    apart = two - one
    mean = float(apart.mean())
    low = high = mean
    if len(pairs) >= 2 and float(np.ptp(apart)) > 0:
        found = bootstrap(
            (apart,),
            np.mean,
            confidence_level=CONFIDENCE,
            n_resamples=RESAMPLES,
            method="percentile",
            rng=np.random.default_rng(1),
        )
        low, high = float(found.confidence_interval.low), float(found.confidence_interval.high)
    direction = METRICS[metric]
    if not apart.any():
        verdict = "same"
    elif len(pairs) < FEWEST or low <= 0 <= high or not direction:
        verdict = "can't tell" if direction else ""
    else:
        verdict = "better" if mean * direction > 0 else "worse"
    return Difference(metric, float(one.mean()), float(two.mean()), mean, low, high, len(pairs), verdict)


@dataclass(frozen=True, slots=True)
class Comparison:
    """Of one scenario and one variant with the first variant."""

    scenario: str
    first: str
    other: str
    differences: tuple[Difference, ...]
    seeds: tuple[int, ...]

    @property
    def verdict(self) -> str:
        by = {each.metric: each for each in self.differences}
        if by["rules_broken"].mean > 0:
            return "worse: breaks rules"
        return by["score"].verdict


def compare(variants: Sequence[Variant], runs: dict[tuple[str, str, int], dict[str, Any]]) -> list[Comparison]:
    """`runs`: the figures by variant, scenario and seed. Seeds that one side lacks are left out."""
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
    """Runs on disk, one file each, whole or not there: what an interrupted comparison has done is not done again.

    A file is taken for a run only if it was made of the same scenario text, change and policy text.
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
        made_of = "\0".join((job.scenario, _text_of(job.scenario), job.over, policy.digest(job.policy), str(job.seed)))
        name = Path(job.scenario).stem
        return self.folder / f"{name}-{job.seed}-{sha256(made_of.encode()).hexdigest()[:16]}.json"

    def load(self, job: Job) -> dict[str, Any] | None:
        path = self._path(job)
        try:
            held = json.loads(path.read_text(encoding="utf-8")) if path is not None else None
        except (OSError, ValueError):
            return None
        return held if isinstance(held, dict) and "metrics" in held else None

    def save(self, result: Result) -> None:
        path = self._path(result.job)
        if path is not None:
            part = path.with_suffix(f".{os.getpid()}.part")
            part.write_text(json.dumps(result.figures), encoding="utf-8")
            part.replace(path)


def _text_of(scenario: str) -> str:
    try:
        return Path(scenario).read_text(encoding="utf-8")
    except OSError:
        from . import __file__ as package  # a shipped one: its text and its base's

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
    """The figures by variant, scenario and seed; and whether all are there (not after Ctrl-C)."""
    # By seed first: what an interruption leaves is whole pairs.
    jobs = {
        (variant.name, name, seed): Job(name, seed, variant.policy, over=variant.over)
        for seed in seeds
        for name in scenarios
        for variant in variants
    }
    runs: dict[tuple[str, str, int], dict[str, Any]] = {}
    if resume:
        for key, job in jobs.items():
            held = store.load(job)
            if held is not None:
                runs[key] = held
    todo = {key: job for key, job in jobs.items() if key not in runs}
    keys: dict[Job, list[tuple[str, str, int]]] = {}
    for key, job in todo.items():  # two variants may be the same
        keys.setdefault(job, []).append(key)

    def heard(result: Result) -> None:
        store.save(result)
        for key in keys[result.job]:
            runs[key] = result.figures
        if done is not None:
            done(len(runs), len(jobs))

    whole = True
    try:
        play_all(keys, processes, heard)
    except KeyboardInterrupt:
        whole = False
    return {key: runs[key] for key in jobs if key in runs}, whole
