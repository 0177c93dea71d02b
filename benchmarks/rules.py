"""The longest contradiction between sidecars' rules over many randomized fault runs, against the stated time.

    python -m benchmarks.rules [--seeds 500] [--processes 2] [--span 6000]

One run a seed: three to eight sidecars whose clocks differ in rate by the bound of drift; random network partitions,
pauses, kills, fences, loss and slow links; operators who change rules at every sidecar all the time
(`lab.fleet.rules_run.randomized_run`); then no faults, until all use one version. What each used at each moment is
compared with every other by a checker that is independent of the rules' code (`checks_rules`). A run that breaks a rule
ends the whole benchmark with its seed.
"""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import NamedTuple

from limenotch.lab.fleet.rules_run import QUICK_TUNING, randomized_run


class Result(NamedTuple):
    """The outcome of one run."""

    seed: int
    longest_ms: float  # longest contradiction
    cause: str
    versions: int  # agreed
    requested: int
    answered: int  # yes or no, of the requests


def run_seed(seed: int, span_ms: float = 6000.0) -> Result:
    run = randomized_run(seed, span_ms)
    checker = run.checker
    return Result(
        seed, checker.longest_ms, checker.longest_cause, max(checker.versions, default=0), run.ticket, len(run.answers)
    )


def percentile(values: list[float], fraction: float) -> float:
    """The value below which this fraction of the values lies."""
    return sorted(values)[min(len(values) - 1, int(len(values) * fraction))]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=500)
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument("--span", type=float, default=6000.0, help="of each run, ms")
    options = parser.parse_args()
    with ProcessPoolExecutor(options.processes) as pool:
        runs = list(pool.map(partial(run_seed, span_ms=options.span), range(options.seeds), chunksize=5))
    stated_ms = QUICK_TUNING.contradiction_ms
    spans_ms = [each.longest_ms for each in runs]
    worst = max(runs, key=lambda each: each.longest_ms)
    print(
        f"runs {len(runs)}, of {options.span:g} ms; versions agreed {sum(each.versions - 1 for each in runs)}, "
        f"changes requested {sum(each.requested for each in runs)}, answered {sum(each.answered for each in runs)}"
    )
    print(
        f"stated {stated_ms:.0f} ms: lease {QUICK_TUNING.lease_ms:g}, drift {QUICK_TUNING.drift:g}, "
        f"grace {QUICK_TUNING.grace_ms:g}"
    )
    print(
        f"contradiction: p50 {percentile(spans_ms, 0.5):.0f} ms, p90 {percentile(spans_ms, 0.9):.0f}, "
        f"p99 {percentile(spans_ms, 0.99):.0f}, "
        f"longest {worst.longest_ms:.1f} "
        f"({worst.longest_ms / stated_ms:.3f} of the stated time; seed {worst.seed}: {worst.cause})"
    )


if __name__ == "__main__":
    main()
