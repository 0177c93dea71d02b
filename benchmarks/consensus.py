"""Figures of the log in simulated time: promises, a new leader, what learners cost, a snapshot's time.

Usage: python -m benchmarks.consensus [SEEDS]

Delay 0.2 to 1.5 ms one way, drawn for each message; fsync 2 ms; clocks within 200 ppm; the settings as they come.
Promises: a proposal each 20 ms, at each member in turn, from its asking to its answer there. New leader: from the
leader's death to the next one's first promise, proposals each 5 ms. All by simulated clocks: the program's own time
is none here.
"""

from __future__ import annotations

import sys

from limenotch.fleet.consensus import Tuning
from limenotch.lab.fleet import faults
from limenotch.lab.fleet.log_run import Run


def begun(voters: int, seed: int, learners: int = 0, tuning: Tuning | None = None) -> Run:
    names = [f"n{number}" for number in range(voters + learners)]
    run = Run(names, tuple(names[:voters]), seed, tuning=tuning or Tuning(), drift_ppm=200.0)
    run.world.fault(faults.parse("delay 0.2..1.5"))
    run.until(lambda: run.leader() is not None, 10_000)
    run.world.run(run.world.now + 3000)
    return run


def promises(voters: int, seed: int) -> list[float]:
    run = begun(voters, seed)
    for number in range(500):
        run.propose(run.names[number % voters])
        run.world.run(run.world.now + 20)
    run.world.run(run.world.now + 1000)
    assert not run.checker.broken, run.checker.broken
    return run.spans


def new_leader(voters: int, seed: int) -> float:
    run = begun(voters, seed)
    old = run.leader()
    assert old is not None
    run.world.run(run.world.now + seed * 7 % 150)
    died = run.world.now
    run.world.kill(old)
    rest = [name for name in run.names if name != old]
    many = len(run.checker.promised)
    while len(run.checker.promised) == many:
        leader = next((name for name in rest if run.of(name).leader == name), None)
        if leader is not None:
            run.propose(leader)
        run.world.run(run.world.now + 5)
    return run.world.now - died


def grouped(many: int, learners: int = 0) -> tuple[float, float, float]:
    """Promises a second, ms until the last of a group is promised, and writes of the leader's disk a group."""
    run = begun(3, 1, learners)
    leader = run.leader()
    assert leader is not None
    groups, spans, stores = 20, [], [0]

    def watch(at: float, node: str, what: object) -> None:
        stores[0] += node == leader and type(what).__name__ == "Store"

    run.world.watch = watch
    for _ in range(groups):
        asked, before = run.world.now, len(run.spans)
        for _ in range(many):
            run.propose(leader)
        while len(run.spans) < before + many:
            run.world.run(run.world.now + 0.25)
        spans.append(run.world.now - asked)
    assert not run.checker.broken, run.checker.broken
    return many * groups / sum(spans) * 1000, of(spans, 0.5), stores[0] / groups


def of(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 20
    print("| members, all voters | promise p50 ms | p99 ms | new leader p50 ms | most ms |")
    print("| --- | --- | --- | --- | --- |")
    for voters in (3, 5, 9):
        spans = [span for seed in range(max(1, seeds // 5)) for span in promises(voters, seed)]
        gaps = [new_leader(voters, seed) for seed in range(seeds)]
        print(f"| {voters} | {of(spans, 0.5):.1f} | {of(spans, 0.99):.1f} | {of(gaps, 0.5):.0f} | {max(gaps):.0f} |")
    print("\n| asked at once of the leader of 3 | promises a second | ms to the last, p50 | its writes |")
    print("| --- | --- | --- | --- |")
    for many in (1, 8, 64, 512):
        rate, span, stores = grouped(many)
        print(f"| {many} | {rate:.0f} | {span:.1f} | {stores:.1f} |")
    print("\n| learners | leader's messages a second, idle | bytes a second, idle |\n| --- | --- | --- |")
    for learners in (0, 6, 47, 197):
        run = begun(3, 1, learners)
        leader = run.leader()
        assert leader is not None
        traffic = run.world.nodes[leader].traffic
        messages, size = traffic.messages, traffic.bytes
        run.world.run(run.world.now + 10_000)
        print(f"| {learners} | {(traffic.messages - messages) / 10:.0f} | {(traffic.bytes - size) / 10:.0f} |")


if __name__ == "__main__":
    main()
