"""Latency of replicated notes on real processes, and the CPU that the fleet costs a request.

    python -m benchmarks.replicated_notes [PROMISES] [CALLS]

First, on 3 and on 5 processes that are all voters: notes over HTTP at the operators' addresses, one after another, each
on its own connection; at the leader, and at a follower (which responds when it has applied the note itself). Then the
CPU of a request: two sidecars, one in a fleet of three and one alone, get the same requests in turns of some hundreds;
the CPU is that of their processes by the kernel's clock, including all work of the fleet in that time. The ratio is
that of the medians of the turns; noise of the machine affects both.
"""

from __future__ import annotations

import asyncio
import json
import os
import statistics
import sys
import tempfile
from pathlib import Path
from time import perf_counter
from typing import Any

from limenotch.lab.emulate.sidecars import free_port
from limenotch.lab.fleet.processes import NodeProcess, Processes, fleet_table
from limenotch.net import http1

TURN = 500  # calls
IDLE_S = 5.0
SETTINGS: dict[str, Any] = {
    "classes": [{"name": "look", "effect": "idempotent", "target_ms": 9000.0, "hard_limit_ms": 20000.0}],
    "tenants": [{"name": "acme", "quota_per_s": 100000.0}],
    "permissions": {"cancel": True, "parallel_tries": False, "max_attempts": 1, "connect_timeout_ms": 9000.0},
    "registry_mode": "ask",
}
CALL = http1.write_request(
    b"GET",
    b"/api",
    [
        (b"Host", b"s"),
        (b"X-Call-Id", b"1"),
        (b"X-Caller", b"acme"),
        (b"X-Call-Class", b"look"),
        (b"X-Budget", b"20000m"),
    ],
    b"",
)
ANSWER = http1.write_response(200, [(b"X-Load", b"0")], b"body")


def quantile(spans: list[float], share: float) -> float:
    return sorted(spans)[min(len(spans) - 1, int(share * len(spans)))]


async def provider(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    parser = http1.RequestParser()
    while data := await reader.read(65536):
        parser.feed(data)
        while parser.take() is not None:
            writer.write(ANSWER)
    writer.close()


def listed(address: str) -> dict[str, Any]:
    return {
        "index": 1,
        "snapshot": True,
        "endpoints": [{"name": "p", "address": address, "zone": "z", "status": "in_service"}],
    }


async def fleet(folder: Path, names: str, endpoint_list: dict[str, Any]) -> Processes:
    """Starts the processes, all voters; returns when all run and the first leads."""
    (folder / "key").write_text("a key of a benchmark alone")
    addresses = {name: f"127.0.0.1:{free_port()}" for name in names}
    processes = Processes()
    for name in names:

        def toml(node: NodeProcess) -> str:
            return fleet_table(
                addresses[node.name],
                {},
                {
                    "group": "bench",
                    "key_file": str(folder / "key"),
                    "voters": list(names),
                    "folder": str(node.data),
                    "seeds": [other for other in addresses.values() if other != addresses[node.name]],
                },
            )

        processes.add(NodeProcess(name, folder, SETTINGS, free_port(), 1, endpoint_list, toml))
    await processes.start()
    await processes.wait_until_all(
        lambda name, state: state["parts"]["agreement"].get("leader") == names[0], 30, "one leads"
    )
    return processes


async def store_note(node: NodeProcess, ident: str) -> float:
    """Stores a note; returns the latency in ms."""
    began = perf_counter()
    answer = await node.request(f"/fleet/promises/{ident}", "POST", b"words of a promise, of some fifty bytes or so.")
    if answer is None or answer[0] != 200:
        raise RuntimeError(f"{ident}: {answer}")
    return (perf_counter() - began) * 1000.0


async def measure_notes(folder: Path, names: str, notes: int) -> None:
    processes = await fleet(folder, names, listed("127.0.0.1:9"))
    try:
        for number, name in enumerate(names[:2]):
            spans = [await store_note(processes.nodes[name], f"{name}.{n}") for n in range(notes)]
            latencies = f"p50 {quantile(spans, 0.5):6.1f} ms  p99 {quantile(spans, 0.99):6.1f} ms"
            print(f"{len(names)} processes, at the {('leader', 'follower')[number]:<8}  {latencies}")
    finally:
        await processes.close()


def cpu_ms(node: NodeProcess) -> float:
    assert node.process is not None
    spent = Path(f"/proc/{node.process.pid}/schedstat").read_text().split()[0]
    threads = Path(f"/proc/{node.process.pid}/task")
    total = sum(int((each / "schedstat").read_text().split()[0]) for each in threads.iterdir())
    return max(total, int(spent)) / 1e6


async def turn(node: NodeProcess, calls: int) -> float:
    """CPU of the process in ms a request, with one request after another on one connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", node.serving)
    parser, before = http1.ResponseParser(), cpu_ms(node)
    for _ in range(calls):
        writer.write(CALL)
        while (message := parser.take()) is None:
            parser.feed(await reader.read(65536))
        if message.status != 200:
            raise RuntimeError(f"a call got {message.status}")
    writer.close()
    return (cpu_ms(node) - before) / calls


async def measure_cpu(folder: Path, calls: int) -> None:
    server = await asyncio.start_server(provider, "127.0.0.1", 0)
    address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]  # noqa: UP031
    endpoint_list = listed(address)
    processes = await fleet(folder, "abc", endpoint_list)
    processes.add(NodeProcess("alone", folder, SETTINGS, free_port(), 1, endpoint_list, lambda node: ""))
    await processes.start(["alone"])
    try:
        before = {name: cpu_ms(processes.nodes[name]) for name in ("a", "b", "alone")}
        await asyncio.sleep(IDLE_S)
        idle = {name: (cpu_ms(processes.nodes[name]) - spent) / IDLE_S for name, spent in before.items()}
        print("CPU without a call, ms a second: leader {a:.1f}, follower {b:.1f}, off {alone:.1f}".format_map(idle))
        for role, name in (("the leader", "a"), ("a follower", "b")):
            spent: dict[str, list[float]] = {name: [], "alone": []}
            for round_ in range(max(4, calls // TURN)):
                for each in (name, "alone") if round_ % 2 else ("alone", name):
                    spent[each].append(await turn(processes.nodes[each], TURN))
            on_us, off_us = (statistics.median(spent[each][1:]) * 1000 for each in (name, "alone"))
            print(f"a call's CPU, {role}: on {on_us:.1f} us, off {off_us:.1f} us, ratio {on_us / off_us:.3f}")
    finally:
        await processes.close()
        server.close()


async def main(notes: int, calls: int) -> None:
    print(json.dumps({"cores": os.cpu_count(), "load": [round(each, 1) for each in os.getloadavg()]}))
    for names in ("abc", "abcde"):
        with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as folder:
            await measure_notes(Path(folder), names, notes)
    with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as folder:
        await measure_cpu(Path(folder), calls)


if __name__ == "__main__":
    words = [int(word) for word in sys.argv[1:]]
    asyncio.run(main(words[0] if words else 400, words[1] if words[1:] else 10_000))
