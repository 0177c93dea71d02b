"""The current balancing at many sizes: one tier, one load, one slow endpoint in ten for a third of the run."""

from __future__ import annotations

import tempfile
from pathlib import Path

from limenotch.lab.experiment import Job, play_all

SCENARIO = """
name = "sizes"
length_s = {length}
[clients]
load = {load}
retries = 1
[network]
zones = ["a"]
[sidecars]
count = {sidecars}
[[tier]]
name = "only"
providers = {providers}
[[tier.kind]]
name = "fast"
share = 0.7
speed = [0.9, 1.2]
speed_cv = 0.1
slots = 8
queue = 4
[[tier.kind]]
name = "old"
share = 0.3
speed = [0.5, 0.7]
speed_cv = 0.1
slots = 8
queue = 4
[[class]]
name = "read"
work_ms = 300
aim_ms = 2000
deadline_ms = 5000
late_worth = 0.2
[[fault]]
kind = "slow"
at_s = {at}
length_s = {long}
part = 0.1
size = 5
"""
LENGTH = {10: 120, 100: 60, 1000: 30}

if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as folder:
        jobs, names = [], []
        for load in (0.5, 0.8):
            for providers, length in LENGTH.items():
                for sidecars in (1, 4, 50):
                    path = Path(folder) / f"{providers}-{sidecars}-{load}.toml"
                    path.write_text(
                        SCENARIO.format(
                            length=length,
                            load=load,
                            sidecars=sidecars,
                            providers=providers,
                            at=length / 3,
                            long=length / 3,
                        )
                    )
                    for seed in (1, 2, 3):
                        jobs.append(Job(str(path), seed, timed=True))
                        names.append((load, providers, sidecars))
        results = play_all(jobs)
    print("load  providers  sidecars  in time  rejected  again  wasted  p50 ms  p99 ms  us of decisions per request")
    for group in dict.fromkeys(names):
        group_results = [result for name, result in zip(names, results, strict=True) if name == group]
        means = {
            key: sum(r.figures["metrics"][key] for r in group_results) / len(group_results)
            for key in ("in_time", "rejected", "again", "wasted_work", "p50_ms", "p99_ms")
        }
        decision_us = (
            sum(r.cost["deciding_s"] for r in group_results) / sum(r.cost["calls"] for r in group_results) * 1e6
        )
        print(
            f"{group[0]:4.1f}  {group[1]:9}  {group[2]:8}  {means['in_time']:7.1%}  {means['rejected']:8.1%}  "
            f"{means['again']:5.1%}  {means['wasted_work']:6.1%}  {means['p50_ms']:6.0f}  {means['p99_ms']:6.0f}  "
            f"{decision_us:6.0f}"
        )
