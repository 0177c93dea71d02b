"""Events a second of the laboratory's heap and of SimPy: one M/M/1 queue, written as each would have it."""

from __future__ import annotations

from collections.abc import Generator
from random import Random
from time import process_time

import simpy

from limenotch.lab.simulate.kernel import Kernel

JOBS = 200_000


def own() -> tuple[float, float]:
    """CPU seconds and mean time in the system."""
    kernel, random, queue, took = Kernel(), Random(1), list[float](), [0.0]

    def arrive(left: int) -> None:
        queue.append(kernel.now)
        if len(queue) == 1:
            kernel.schedule(kernel.now + random.expovariate(1.0), leave)
        if left:
            kernel.schedule(kernel.now + random.expovariate(0.7), arrive, left - 1)

    def leave() -> None:
        took[0] += kernel.now - queue.pop(0)
        if queue:
            kernel.schedule(kernel.now + random.expovariate(1.0), leave)

    began = process_time()
    kernel.schedule(0.0, arrive, JOBS - 1)
    kernel.run()
    return process_time() - began, took[0] / JOBS


def with_simpy() -> tuple[float, float]:
    env, random, took = simpy.Environment(), Random(1), [0.0]
    server = simpy.Resource(env, 1)

    def job() -> Generator[simpy.Event, None, None]:
        came = env.now
        with server.request() as turn:
            yield turn
            yield env.timeout(random.expovariate(1.0))
        took[0] += env.now - came

    def source() -> Generator[simpy.Event, None, None]:
        for _ in range(JOBS):
            env.process(job())
            yield env.timeout(random.expovariate(0.7))

    began = process_time()
    env.process(source())
    env.run()
    return process_time() - began, took[0] / JOBS


if __name__ == "__main__":
    (ours, mean), (theirs, mean_theirs) = own(), with_simpy()
    print(f"own heap: {JOBS / ours:,.0f} jobs a second of CPU, mean time {mean:.2f} (theory 3.33)")
    print(f"SimPy:    {JOBS / theirs:,.0f} jobs a second of CPU, mean time {mean_theirs:.2f}")
    print(f"ratio {theirs / ours:.1f}")
