"""Events per second of the laboratory's event heap and of SimPy: an M/M/1 queue in the usual style of each."""

from __future__ import annotations

from collections.abc import Generator
from random import Random
from time import process_time

import simpy

from limenotch.lab.simulate.kernel import Kernel

JOBS = 200_000


def with_own_kernel() -> tuple[float, float]:
    """Returns CPU seconds and the mean time in the system."""
    kernel, random, queue, total_time = Kernel(), Random(1), list[float](), [0.0]

    def arrive(remaining: int) -> None:
        queue.append(kernel.now)
        if len(queue) == 1:
            kernel.schedule(kernel.now + random.expovariate(1.0), leave)
        if remaining:
            kernel.schedule(kernel.now + random.expovariate(0.7), arrive, remaining - 1)

    def leave() -> None:
        total_time[0] += kernel.now - queue.pop(0)
        if queue:
            kernel.schedule(kernel.now + random.expovariate(1.0), leave)

    cpu_start_s = process_time()
    kernel.schedule(0.0, arrive, JOBS - 1)
    kernel.run()
    return process_time() - cpu_start_s, total_time[0] / JOBS


def with_simpy() -> tuple[float, float]:
    """As `with_own_kernel`, with SimPy."""
    env, random, total_time = simpy.Environment(), Random(1), [0.0]
    server = simpy.Resource(env, 1)

    def job() -> Generator[simpy.Event, None, None]:
        arrived_at = env.now
        with server.request() as granted:
            yield granted
            yield env.timeout(random.expovariate(1.0))
        total_time[0] += env.now - arrived_at

    def source() -> Generator[simpy.Event, None, None]:
        for _ in range(JOBS):
            env.process(job())
            yield env.timeout(random.expovariate(0.7))

    cpu_start_s = process_time()
    env.process(source())
    env.run()
    return process_time() - cpu_start_s, total_time[0] / JOBS


if __name__ == "__main__":
    (own_cpu_s, own_mean), (simpy_cpu_s, simpy_mean) = with_own_kernel(), with_simpy()
    print(f"own heap: {JOBS / own_cpu_s:,.0f} jobs per CPU second, mean time {own_mean:.2f} (theory 3.33)")
    print(f"SimPy:    {JOBS / simpy_cpu_s:,.0f} jobs per CPU second, mean time {simpy_mean:.2f}")
    print(f"ratio {simpy_cpu_s / own_cpu_s:.1f}")
