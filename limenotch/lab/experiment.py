"""Simulated runs, one or many, on all cores. A run's results depend only on its scenario, seed and policy."""

from __future__ import annotations

import gc
import multiprocessing
import os
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field
from time import perf_counter, process_time
from typing import Any

from . import planning, policy, scenario
from .simulate.world import World


@dataclass(frozen=True, slots=True)
class Job:
    """The input of one run."""

    scenario: str
    seed: int
    policy: str = "installed"
    timed: bool = False
    over: str = ""  # TOML that overrides values of the scenario


@dataclass(frozen=True, slots=True)
class Result:
    """`figures` depend on the job alone; `cost` depends on the machine and its present load."""

    job: Job
    figures: dict[str, Any]
    cost: dict[str, float] = field(default_factory=dict)


def play(job: Job) -> Result:
    """Does one run in this process. Raises toml.FaultError for an unusable scenario or policy."""
    plan = planning.plan(scenario.load(job.scenario, job.over), job.seed)
    world = World(plan, policy.load(job.policy), perf_counter if job.timed else None)
    began = process_time()
    # A run allocates much, and reference counting frees nearly all of it: the default thresholds cost a fifth more.
    threshold = gc.get_threshold()
    gc.set_threshold(200_000, 20, 100)
    try:
        record = world.run()
    finally:
        gc.set_threshold(*threshold)
    spent = process_time() - began
    figures = {**record.result(), "policy": job.policy, "policy_digest": policy.digest(job.policy), "change": job.over}
    calls = sum(tier["attempts"] - tier["again"] for tier in figures["tiers"])
    return Result(
        job,
        figures,
        {
            "cpu_s": spent,
            "events": world.kernel.events,
            "calls": calls,
            "deciding_s": world.decision_time_s,
        },
    )


def play_all(
    jobs: Iterable[Job], processes: int | None = None, done: Callable[[Result], None] | None = None
) -> list[Result]:
    """Does all runs; the results are in the order of the jobs. `done` is called as each run ends."""
    todo = list(jobs)
    if not todo:
        return []
    count = min(processes or os.cpu_count() or 1, len(todo))
    if count == 1:
        results = []
        for job in todo:
            results.append(play(job))
            if done is not None:
                done(results[-1])
        return results
    # Processes are spawned, so none starts with loaded policies or random state of its parent.
    with ProcessPoolExecutor(count, mp_context=multiprocessing.get_context("spawn")) as pool:
        futures = {pool.submit(play, job): number for number, job in enumerate(todo)}
        ended: dict[int, Result] = {}
        try:
            for future in as_completed(futures):
                ended[futures[future]] = future.result()
                if done is not None:
                    done(ended[futures[future]])
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            raise
    return [ended[number] for number in range(len(todo))]
