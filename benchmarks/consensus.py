"""Measurements of the log in simulated time: commit latency, time to a new leader, cost of learners.

Usage: python -m benchmarks.consensus [SEEDS]

One-way delay 0.2 to 1.5 ms, drawn for each message; fsync 2 ms; clocks within 200 ppm; default settings. Commit
latency: one proposal each 20 ms, at each member in turn, from the request to its response there. New leader: from the
crash of the leader to the next one's first commit, with proposals each 5 ms. All times are simulated; the CPU time of
the program is not included.
"""

from __future__ import annotations

import sys

from limenotch.fleet.consensus import Tuning
from limenotch.lab.fleet import faults
from limenotch.lab.fleet.log_run import Run


def started_group(voters: int, seed: int, learners: int = 0, tuning: Tuning | None = None) -> Run:
    names = [f"n{number}" for number in range(voters + learners)]
    run = Run(names, tuple(names[:voters]), seed, tuning=tuning or Tuning(), drift_ppm=200.0)
    run.world.apply_fault(faults.parse("delay 0.2..1.5"))
    run.run_until(lambda: run.leader() is not None, 10_000)
    run.world.run(run.world.now + 3000)
    return run


def commit_latencies_ms(voters: int, seed: int) -> list[float]:
    run = started_group(voters, seed)
    for number in range(500):
        run.propose(run.names[number % voters])
        run.world.run(run.world.now + 20)
    run.world.run(run.world.now + 1000)
    assert not run.checker.violations, run.checker.violations
    return run.acknowledgement_ms


def new_leader_ms(voters: int, seed: int) -> float:
    run = started_group(voters, seed)
    old_leader = run.leader()
    assert old_leader is not None
    run.world.run(run.world.now + seed * 7 % 150)
    crashed_ms = run.world.now
    run.world.kill(old_leader)
    remaining = [name for name in run.names if name != old_leader]
    committed_before = len(run.checker.acknowledged)
    while len(run.checker.acknowledged) == committed_before:
        leader = next((name for name in remaining if run.consensus_of(name).leader == name), None)
        if leader is not None:
            run.propose(leader)
        run.world.run(run.world.now + 5)
    return run.world.now - crashed_ms


def measure_groups(group_size: int, learners: int = 0) -> tuple[float, float, float]:
    """Commits a second, ms until the last proposal of a group is committed, and writes of the leader's disk a group."""
    run = started_group(3, 1, learners)
    leader = run.leader()
    assert leader is not None
    groups, spans, writes = 20, [], [0]

    def watch(at: float, node: str, what: object) -> None:
        writes[0] += node == leader and type(what).__name__ == "Store"

    run.world.observer = watch
    for _ in range(groups):
        proposed_ms, before = run.world.now, len(run.acknowledgement_ms)
        for _ in range(group_size):
            run.propose(leader)
        while len(run.acknowledgement_ms) < before + group_size:
            run.world.run(run.world.now + 0.25)
        spans.append(run.world.now - proposed_ms)
    assert not run.checker.violations, run.checker.violations
    return group_size * groups / sum(spans) * 1000, quantile(spans, 0.5), writes[0] / groups


def quantile(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 20
    print("| members, all voters | promise p50 ms | p99 ms | new leader p50 ms | most ms |")
    print("| --- | --- | --- | --- | --- |")
    for voters in (3, 5, 9):
        spans = [span for seed in range(max(1, seeds // 5)) for span in commit_latencies_ms(voters, seed)]
        gaps = [new_leader_ms(voters, seed) for seed in range(seeds)]
        print(
            f"| {voters} | {quantile(spans, 0.5):.1f} | {quantile(spans, 0.99):.1f} | "
            f"{quantile(gaps, 0.5):.0f} | {max(gaps):.0f} |"
        )
    print("\n| asked at once of the leader of 3 | promises a second | ms to the last, p50 | its writes |")
    print("| --- | --- | --- | --- |")
    for group_size in (1, 8, 64, 512):
        rate, span, writes = measure_groups(group_size)
        print(f"| {group_size} | {rate:.0f} | {span:.1f} | {writes:.1f} |")
    print("\n| learners | leader's messages a second, idle | bytes a second, idle |\n| --- | --- | --- |")
    for learners in (0, 6, 47, 197):
        run = started_group(3, 1, learners)
        leader = run.leader()
        assert leader is not None
        traffic = run.world.nodes[leader].traffic
        messages, size = traffic.messages, traffic.bytes
        run.world.run(run.world.now + 10_000)
        print(f"| {learners} | {(traffic.messages - messages) / 10:.0f} | {(traffic.bytes - size) / 10:.0f} |")


if __name__ == "__main__":
    main()
