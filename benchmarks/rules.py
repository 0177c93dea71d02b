"""The longest contradiction between sidecars' rules over many storms, against the stated time.

    python -m benchmarks.rules [--seeds 500] [--processes 2] [--span 6000]

One run a seed: three to eight sidecars, clocks apart in rate by the bound of drift, cuts, pauses, kills, fences, loss
and slow links by chance, operators who change rules everywhere all the time (`lab.fleet.rules_run.storm`); then calm,
until all act on one version. What each acted on at each moment is held against every other by a checker that knows
nothing of the rules' code (`checks_rules`). A run that breaks a rule ends the whole with its seed.
"""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import NamedTuple

from limenotch.lab.fleet.rules_run import QUICK, storm


class Found(NamedTuple):
    seed: int
    longest: float  # ms of contradiction
    what: str
    versions: int  # agreed
    asked: int
    answered: int  # yes or no, of those asked for


def one(seed: int, span_ms: float = 6000.0) -> Found:
    run = storm(seed, span_ms)
    checker = run.checker
    return Found(seed, checker.longest, checker.what, max(checker.versions, default=0), run.ticket, len(run.answers))


def at(values: list[float], part: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * part))]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=500)
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument("--span", type=float, default=6000.0, help="of each storm, ms")
    given = parser.parse_args()
    with ProcessPoolExecutor(given.processes) as pool:
        found = list(pool.map(partial(one, span_ms=given.span), range(given.seeds), chunksize=5))
    stated = QUICK.contradiction_ms
    spans = [each.longest for each in found]
    worst = max(found, key=lambda each: each.longest)
    print(
        f"storms {len(found)}, of {given.span:g} ms; versions agreed {sum(each.versions - 1 for each in found)}, "
        f"changes asked for {sum(each.asked for each in found)}, answered {sum(each.answered for each in found)}"
    )
    print(f"stated {stated:.0f} ms: lease {QUICK.lease_ms:g}, drift {QUICK.drift:g}, grace {QUICK.grace_ms:g}")
    print(
        f"contradiction: p50 {at(spans, 0.5):.0f} ms, p90 {at(spans, 0.9):.0f}, p99 {at(spans, 0.99):.0f}, "
        f"longest {worst.longest:.1f} ({worst.longest / stated:.3f} of the stated; seed {worst.seed}: {worst.what})"
    )


if __name__ == "__main__":
    main()
