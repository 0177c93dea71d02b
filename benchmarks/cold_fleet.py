"""How near cold endpoints come to falling under the sum of many balancers, by circumstance, over many seeds.

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
    parser.add_argument("names", nargs="*", help="circumstances; all without it")
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--processes", type=int, default=4)
    given = parser.parse_args()
    print("| circumstance | seeds | worst sum / allowed | median | over | in time |")
    print("| --- | --- | --- | --- | --- | --- |")
    with Pool(given.processes) as pool:
        for case in CIRCUMSTANCES:
            if given.names and case.name not in given.names:
                continue
            results = pool.map(partial(simulate, case), range(given.seeds))
            worst = [result.worst for result in results]
            print(
                f"| {case.name} | {given.seeds} | {max(worst):.2f} | {median(worst):.2f} | "
                f"{sum(one > 1 for one in worst)} | {mean(result.served for result in results):.3f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
