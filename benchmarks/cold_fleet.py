"""The summed load of many balancers on endpoints in slow start, against their limit, by scenario and over seeds.

python -m benchmarks.cold_fleet [--seeds K] [--processes N] [NAME...]
"""

from __future__ import annotations

import argparse
from functools import partial
from multiprocessing import Pool
from statistics import mean, median

from tests.helpers.slow_start_circumstances import CIRCUMSTANCES
from tests.helpers.slow_start_fleet import simulate


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="circumstances, by default all")
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--processes", type=int, default=4)
    arguments = parser.parse_args()
    print("| circumstance | seeds | worst sum / allowed | median | over | in time |")
    print("| --- | --- | --- | --- | --- | --- |")
    with Pool(arguments.processes) as pool:
        for circumstance in CIRCUMSTANCES:
            if arguments.names and circumstance.name not in arguments.names:
                continue
            results = pool.map(partial(simulate, circumstance), range(arguments.seeds))
            worst_ratios = [result.worst for result in results]
            print(
                f"| {circumstance.name} | {arguments.seeds} | {max(worst_ratios):.2f} | {median(worst_ratios):.2f} | "
                f"{sum(ratio > 1 for ratio in worst_ratios)} | {mean(result.served for result in results):.3f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
