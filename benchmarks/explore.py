"""Every order of messages, writes and losses in one election of three voters, to its end.

    python -m benchmarks.explore [--lose 0] [--crash 0] [--fire 1] [--states 400000]

Bounds say how often each may happen on one path; what they leave is gone into wholly, or it says that it was not.
"""

from __future__ import annotations

import argparse
from time import perf_counter

from limenotch.lab.fleet.explore import Bounds, Explorer
from limenotch.lab.fleet.explore_log import Check, begun, digest, maker

NAMES = ("a", "b", "c")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    for name, usual in (("lose", 0), ("double", 0), ("crash", 0), ("fire", 1), ("steps", 40), ("states", 400_000)):
        parser.add_argument(f"--{name}", type=int, default=usual)
    given = parser.parse_args()
    began = perf_counter()
    found = Explorer(
        NAMES, maker(NAMES), digest, Check(NAMES), Bounds(**vars(given)), clocks="one", disks=begun(NAMES)
    ).run()
    print(
        f"{found.states} states, {'all there are' if found.whole else 'not all'}, {perf_counter() - began:.0f} s: "
        f"{found.why or 'no rule broken'}"
    )
    print(found.drawing)


if __name__ == "__main__":
    main()
