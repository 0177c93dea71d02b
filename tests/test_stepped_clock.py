"""An endpoint that has just started is in slow start, even after a wall clock was set.

The failure: after a wall clock was set, endpoints that had just started got as many requests as warm ones, and were
overloaded. The listed start of an endpoint's process, in Unix time, was compared with a wall clock that the sidecar had
read once, at its own start. If the machine's clock was set back by an hour, or the sidecar's clock was an hour ahead, a
new endpoint got its full share of the first 300 requests; without a step it got none.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from limenotch.lab.fleet.faulty import ProcessFaults, write_process_faults
from limenotch.lab.fleet.node import FAULTS_VARIABLE

from .helpers.discovery_service import DiscoveryService
from .helpers.http_peers import LOOK, SETTINGS, fetch, with_new_id
from .helpers.processes import Processes, free_port, run
from .test_drain_at_size import EndpointServers

HOUR_S = 3600.0
CLIENTS, REQUESTS_PER_CLIENT = 3, 100
TRAFFIC_CLASS = {"name": "look", "effect": "idempotent", "target_ms": 250.0, "hard_limit_ms": 20000.0}
SLOW_START_RULES = {"start_capacity": 0.12, "cold_ms": 24_000.0, "fall_multiple": 4.0, "overload_for_ms": 1000.0}
MAX_REQUESTS_TO_STARTED = 21  # 0.12 of a fourth of 300 requests: 9, plus 3 standard deviations, plus 3
CLOCK_STEPS = [
    pytest.param(0.0, 0.0, 0.0, id="no step"),
    pytest.param(0.0, -HOUR_S, -HOUR_S, id="the machine's clock is set back"),
    pytest.param(0.0, HOUR_S, HOUR_S, id="the machine's clock is set forward"),
    pytest.param(0.0, -HOUR_S, 0.0, id="the sidecar's clock alone is set back"),
    pytest.param(0.0, HOUR_S, 0.0, id="the sidecar's clock alone is set forward"),
    pytest.param(HOUR_S, HOUR_S, 0.0, id="the sidecar's clock was ahead at its start"),
    pytest.param(-HOUR_S, -HOUR_S, 0.0, id="the sidecar's clock was behind at its start"),
]


async def requests_to_started_endpoint(
    folder: Path, rules: dict[str, float], offset_at_start_s: float, later_offset_s: float, list_offset_s: float
) -> int:
    """Return how many of the first requests after its listing go to an endpoint that has just started.

    All requests must be served. The offsets from the clock of this test are those of the sidecar's clock at its start
    and later, and that of the listed start.
    """
    servers, processes = EndpointServers(), Processes(folder)
    await servers.start(4, names=4)
    *warm, started = servers.entries
    discovery = DiscoveryService(warm)
    address = await discovery.listen()
    faults_path, port = folder / "faults", free_port()
    settings = {**SETTINGS, "classes": [TRAFFIC_CLASS], "rules": rules}
    config = {"name": "n", "listen": f"127.0.0.1:{port}", "discovery": address.name, "seed": "1f", "settings": settings}

    async def client() -> None:
        for _ in range(REQUESTS_PER_CLIENT):
            assert (await fetch(port, with_new_id(LOOK))).status == 200
            await asyncio.sleep(0.01)

    write_process_faults(faults_path, ProcessFaults(clock_offset_s=offset_at_start_s))
    try:
        await processes.serve(
            config, module="limenotch.lab.fleet.node", environment={FAULTS_VARIABLE: str(faults_path)}
        )
        await client()
        write_process_faults(faults_path, ProcessFaults(clock_offset_s=later_offset_s))
        discovery.update_endpoint({**started, "since_ms": round((time.time() + list_offset_s) * 1000.0)})
        await asyncio.sleep(0.1)
        await asyncio.gather(*(client() for _ in range(CLIENTS)))
        return len(servers.requests[3])
    finally:
        await processes.kill_all()
        discovery.close()
        servers.close()


@pytest.mark.parametrize(("offset_at_start_s", "later_offset_s", "list_offset_s"), CLOCK_STEPS)
def test_a_started_endpoint_is_in_slow_start_after_a_clock_step(
    tmp_path: Path, offset_at_start_s: float, later_offset_s: float, list_offset_s: float
) -> None:
    async def case() -> None:
        assert (
            await requests_to_started_endpoint(
                tmp_path, SLOW_START_RULES, offset_at_start_s, later_offset_s, list_offset_s
            )
            <= MAX_REQUESTS_TO_STARTED
        )

    run(case())


@pytest.mark.parametrize(("offset_at_start_s", "later_offset_s", "list_offset_s"), CLOCK_STEPS[2:3])
def test_a_start_in_the_future_fails_no_request_without_slow_start(
    tmp_path: Path, offset_at_start_s: float, later_offset_s: float, list_offset_s: float
) -> None:
    """Without slow start in the settings, the age was divided by a warm-up time of 0: each request got a 502."""

    async def case() -> None:
        assert await requests_to_started_endpoint(tmp_path, {}, offset_at_start_s, later_offset_s, list_offset_s) > 0

    run(case())
