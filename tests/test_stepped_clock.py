"""A fresh endpoint is met as cold, whatever the wall clocks say.

What users would see: after a wall clock was set, endpoints that had just started were sent as many requests as warm
ones, and fell over.

Cause: the start of an endpoint's process, which the list tells in Unix time, was compared with a wall clock that the
sidecar had read once, at its own start. Evidence: an hour's step of the machine's clock back, or a sidecar whose clock
was an hour ahead, and the new endpoint gets its full part of the first 300 calls; without a step it gets none.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from limenotch.lab.fleet.faulty import Wish, ask_for
from limenotch.lab.fleet.node import FAULTS

from .helpers.discovery_service import DiscoveryService
from .helpers.http_peers import LOOK, SETTINGS, ask, renamed
from .helpers.processes import Processes, free_port, run
from .test_drain_at_size import Servers

HOUR_S = 3600.0
CLIENTS, CALLS = 3, 100  # each
CLASS = {"name": "look", "effect": "idempotent", "target_ms": 250.0, "hard_limit_ms": 20000.0}
RAMP = {"start_capacity": 0.12, "cold_ms": 24_000.0, "fall_multiple": 4.0, "overload_for_ms": 1000.0}
MOST = 21  # of 300 calls to one of four endpoints that can do 0.12 of its work: 9, three times the root of it, and 3
STEPS = [
    pytest.param(0.0, 0.0, 0.0, id="no step"),
    pytest.param(0.0, -HOUR_S, -HOUR_S, id="the machine's clock is set back"),
    pytest.param(0.0, HOUR_S, HOUR_S, id="the machine's clock is set forward"),
    pytest.param(0.0, -HOUR_S, 0.0, id="the sidecar's clock alone is set back"),
    pytest.param(0.0, HOUR_S, 0.0, id="the sidecar's clock alone is set forward"),
    pytest.param(HOUR_S, HOUR_S, 0.0, id="the sidecar's clock was ahead at its start"),
    pytest.param(-HOUR_S, -HOUR_S, 0.0, id="the sidecar's clock was behind at its start"),
]


async def calls_to_a_fresh_endpoint(
    folder: Path, rules: dict[str, float], at_start_s: float, later_s: float, listed_s: float
) -> int:
    """Of the first calls after it is listed; all of them must be served.

    Seconds that clocks are apart from the time of this test: the sidecar's at its start and later, the list's.
    """
    servers, processes = Servers(), Processes(folder)
    await servers.begin(4, names=4)
    *warm, fresh = servers.entries
    discovery = DiscoveryService(warm)
    at = await discovery.listen()
    faults, port = folder / "faults", free_port()
    settings = {**SETTINGS, "classes": [CLASS], "rules": rules}
    raw = {"name": "n", "listen": f"127.0.0.1:{port}", "discovery": at.name, "seed": "1f", "settings": settings}

    async def client() -> None:
        for _ in range(CALLS):
            assert (await ask(port, renamed(LOOK))).status == 200
            await asyncio.sleep(0.01)

    ask_for(faults, Wish(clock_s=at_start_s))
    try:
        await processes.serve(raw, module="limenotch.lab.fleet.node", more={FAULTS: str(faults)})
        await client()
        ask_for(faults, Wish(clock_s=later_s))
        discovery.tell({**fresh, "since_ms": round((time.time() + listed_s) * 1000.0)})
        await asyncio.sleep(0.1)
        await asyncio.gather(*(client() for _ in range(CLIENTS)))
        return len(servers.seen[3])
    finally:
        await processes.end()
        discovery.close()
        servers.close()


@pytest.mark.parametrize(("at_start_s", "later_s", "listed_s"), STEPS)
def test_a_fresh_endpoint_is_cold_after_a_step(
    tmp_path: Path, at_start_s: float, later_s: float, listed_s: float
) -> None:
    async def case() -> None:
        assert await calls_to_a_fresh_endpoint(tmp_path, RAMP, at_start_s, later_s, listed_s) <= MOST

    run(case())


@pytest.mark.parametrize(("at_start_s", "later_s", "listed_s"), STEPS[2:3])
def test_a_start_in_the_future_ends_no_call_where_endpoints_start_warm(
    tmp_path: Path, at_start_s: float, later_s: float, listed_s: float
) -> None:
    """Without a ramp in the settings the part that is over was a division by zero: each call was answered 502."""

    async def case() -> None:
        assert await calls_to_a_fresh_endpoint(tmp_path, {}, at_start_s, later_s, listed_s) > 0

    run(case())
