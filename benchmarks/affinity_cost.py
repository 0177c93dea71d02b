"""CPU cost of the affinity table per request: a sidecar of a fleet with it, compared with one of a fleet without it.

    python -m benchmarks.affinity_cost [CALLS]

There are two fleets of three processes that differ only in `[fleet.bindings]`. One sidecar of each gets the same
requests, in turns of REQUESTS_PER_TURN. The CPU time is that of the process by the kernel's clock; it includes the work
for the fleet in that time, such as sending updates. Ratios are of the medians of the turns. The last column is the CPU
time of another member, which receives the updates, divided by the same number of requests.

`plain`: no key, no session. `keys`: a new key per request. `repeats`: one of 1000 bound keys. `sessions`: one of 1000
sessions. `both`: a new key and one of 1000 sessions.
"""

from __future__ import annotations

import asyncio
import json
import os
import statistics
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from limenotch.lab.emulate.sidecars import free_port
from limenotch.lab.fleet.processes import NodeProcess, Processes, fleet_table
from limenotch.net import http1

from .replicated_notes import cpu_ms, listed, provider

REQUESTS_PER_TURN = 400
DISTINCT_KEYS = 1000  # sessions, and repeated keys
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "look", "effect": "idempotent", "target_ms": 9000.0, "hard_limit_ms": 20000.0},
        {
            "name": "deliver",
            "effect": "deduplicated",
            "dedup_scope": "zone",
            "window_ms": 600_000.0,
            "target_ms": 9000.0,
            "hard_limit_ms": 20000.0,
        },
    ],
    "tenants": [{"name": "acme", "quota_per_s": 100000.0}],
    "permissions": {"cancel": True, "parallel_tries": False, "max_attempts": 1, "connect_timeout_ms": 9000.0},
    "registry_mode": "ask",
}
KeyAndSession = Callable[[int], tuple[int | None, int | None]]  # from a request's number: its key, its session
WORKLOADS: dict[str, KeyAndSession] = {
    "plain": lambda number: (None, None),
    "keys": lambda number: (DISTINCT_KEYS + number, None),
    "repeats": lambda number: (number % DISTINCT_KEYS, None),
    "sessions": lambda number: (None, number % DISTINCT_KEYS),
    "both": lambda number: (-1 - number, number % DISTINCT_KEYS),
}


def wire(key: int | None, session: int | None) -> bytes:
    headers = [
        (b"Host", b"s"),
        (b"X-Call-Id", b"1"),
        (b"X-Caller", b"acme"),
        (b"X-Budget", b"20000m"),
        (b"X-Call-Class", b"look" if key is None else b"deliver"),
    ]
    if key is not None:
        headers.append((b"Idempotency-Key", b"%032x" % (key % (1 << 64))))
    if session is not None:
        headers.append((b"X-Session", b"%032x" % session))
    return http1.write_request(b"GET" if key is None else b"POST", b"/api", headers, b"")


async def turn(node: NodeProcess, workload: KeyAndSession, first: int) -> float:
    """CPU time of the process in us per request, with one request after another on one connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", node.serving)
    parser, before = http1.ResponseParser(), cpu_ms(node)
    for number in range(first, first + REQUESTS_PER_TURN):
        writer.write(wire(*workload(number)))
        while (message := parser.take()) is None:
            parser.feed(await reader.read(65536))
        if message.status != 200:
            raise RuntimeError(f"a call got {message.status}")
    writer.close()
    return (cpu_ms(node) - before) / REQUESTS_PER_TURN * 1000.0


async def fleet(
    processes: Processes, folder: Path, names: list[str], known: dict[str, Any], more: dict[str, Any]
) -> None:
    addresses = {name: f"127.0.0.1:{free_port()}" for name in names}

    def toml(node: NodeProcess) -> str:
        return fleet_table(
            addresses[node.name],
            {},
            {
                "group": names[0],
                "key_file": str(folder / "key"),
                "seeds": [other for other in addresses.values() if other != addresses[node.name]],
                **more,
            },
        )

    for name in names:
        processes.add(NodeProcess(name, folder, SETTINGS, free_port(), 1, known, toml))
    await processes.start(names)

    def all_joined(name: str, state: dict[str, Any]) -> bool:
        bindings = state["parts"].get("bindings", {"state": "whole"})
        return len(state["members"]) == len(names) and bindings["state"] == "whole"

    await processes.wait_until_all(all_joined, 30, "all are together", names)


async def measure(folder: Path, calls: int) -> None:
    (folder / "key").write_text("a key of a benchmark alone")
    server = await asyncio.start_server(provider, "127.0.0.1", 0)
    known = listed("127.0.0.1:%d" % server.sockets[0].getsockname()[1])  # noqa: UP031
    async with Processes() as processes:
        await fleet(processes, folder, ["on", "on2", "on3"], known, {"bindings": {"session": "X-Session"}})
        await fleet(processes, folder, ["off", "off2", "off3"], known, {})
        print("| calls | on, us | off, us | ratio | another member, us |\n| --- | --- | --- | --- | --- |")
        for kind, workload in WORKLOADS.items():
            spent: dict[str, list[float]] = {"on": [], "off": [], "another": []}
            for number in range(max(6, calls // REQUESTS_PER_TURN)):
                for name in ("on", "off") if number % 2 else ("off", "on"):
                    before = cpu_ms(processes.nodes["on2"])
                    spent[name].append(await turn(processes.nodes[name], workload, number * REQUESTS_PER_TURN))
                    if name == "on":
                        spent["another"].append((cpu_ms(processes.nodes["on2"]) - before) / REQUESTS_PER_TURN * 1000.0)
            on, off, another = (statistics.median(spent[name][2:]) for name in ("on", "off", "another"))
            print(f"| {kind} | {on:.1f} | {off:.1f} | {on / off:.3f} | {another:.1f} |", flush=True)
        state = await processes.nodes["on"].fleet_status()
        print(json.dumps({"held": state["parts"]["bindings"]["held"] if state else None}))
    server.close()


def main(calls: int) -> None:
    print(json.dumps({"cores": os.cpu_count(), "load": [round(one, 1) for one in os.getloadavg()], "calls": calls}))
    with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as folder:
        asyncio.run(measure(Path(folder), calls))


if __name__ == "__main__":
    main(int(sys.argv[1]) if sys.argv[1:] else 8000)
