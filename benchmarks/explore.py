"""All orders of messages, writes and losses in one election of three voters, explored to the end.

    python -m benchmarks.explore [--lose 0] [--crash 0] [--fire 1] [--states 400000]

The options bound how often each event may happen on one path. Within them all states are explored, or the output says
that they were not.
"""

from __future__ import annotations

import argparse
from time import perf_counter

from limenotch.lab.fleet.explore import Bounds, Explorer
from limenotch.lab.fleet.explore_log import Check, bootstrapped_disks, component_maker, digest

NAMES = ("a", "b", "c")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    for name, default in (("lose", 0), ("double", 0), ("crash", 0), ("fire", 1), ("steps", 40), ("states", 400_000)):
        parser.add_argument(f"--{name}", type=int, default=default)
    options = parser.parse_args()
    began = perf_counter()
    explored = Explorer(
        NAMES,
        component_maker(NAMES),
        digest,
        Check(NAMES),
        Bounds(**vars(options)),
        clocks="one",
        disks=bootstrapped_disks(NAMES),
    ).run()
    print(
        f"{explored.states} states, {'all' if explored.complete else 'not all'}, {perf_counter() - began:.0f} s: "
        f"{explored.violation or 'no violation'}"
    )
    print(explored.timeline)


if __name__ == "__main__":
    main()
