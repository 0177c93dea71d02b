"""Simulated requests per CPU second, the share of the balancing decisions in it, and the peak memory of a run."""

from __future__ import annotations

import multiprocessing
import resource
import sys

from limenotch.lab.experiment import Job, play


def measure(name: str) -> None:
    result = play(Job(name, 1, timed=True))
    cost = result.cost
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    cpu_s = cost["cpu_s"]
    print(
        f"{name:12} {cost['calls']:9,.0f} calls  {cpu_s:7.2f} s CPU  {cost['calls'] / cpu_s:7,.0f} calls/s  "
        f"{cost['events'] / cpu_s:8,.0f} events/s  decisions {cost['deciding_s'] / cpu_s:4.0%}  "
        f"peak {peak_mb:5.0f} MB  in time {result.figures['metrics']['in_time']:.1%}"
    )


if __name__ == "__main__":
    for scenario in sys.argv[1:] or ("calm", "bad-night", "thousand"):
        process = multiprocessing.get_context("spawn").Process(target=measure, args=(scenario,))
        process.start()
        process.join()
