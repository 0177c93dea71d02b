"""What a promise takes on real processes, and what the fleet costs a call.

    python -m benchmarks.replicated_notes [PROMISES] [CALLS]

First, on 3 and on 5 processes that all vote: promises over HTTP at the operators' addresses, one after another, each
on a connection of its own; at the leader, and at a follower (which says yes when it has applied the promise itself).
Then a call's CPU: two sidecars, one in a fleet of three and one alone, get the same calls in turns, some hundreds each;
the CPU is that of their processes by the kernel's clock, all that the fleet does in that time included. The ratio is
of the medians of the turns; noise of the machine falls on both.
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


async def fleet(folder: Path, names: str, known: dict[str, Any]) -> Processes:
    """All vote, all are there when it returns, and the first leads."""
    (folder / "key").write_text("a key of a benchmark alone")
    at = {name: f"127.0.0.1:{free_port()}" for name in names}
    processes = Processes()
    for name in names:

        def toml(node: NodeProcess) -> str:
            return fleet_table(
                at[node.name],
                {},
                {
                    "group": "bench",
                    "key_file": str(folder / "key"),
                    "voters": list(names),
                    "folder": str(node.data),
                    "seeds": [other for other in at.values() if other != at[node.name]],
                },
            )

        processes.add(NodeProcess(name, folder, SETTINGS, free_port(), 1, known, toml))
    await processes.start()
    await processes.until_all(
        lambda name, state: state["parts"]["agreement"].get("leader") == names[0], 30, "one leads"
    )
    return processes


async def promise(node: NodeProcess, ident: str) -> float:
    """ms."""
    began = perf_counter()
    answer = await node.ask(f"/fleet/promises/{ident}", "POST", b"words of a promise, of some fifty bytes or so.")
    if answer is None or answer[0] != 200:
        raise RuntimeError(f"{ident}: {answer}")
    return (perf_counter() - began) * 1000.0


async def promises(folder: Path, names: str, many: int) -> None:
    processes = await fleet(folder, names, listed("127.0.0.1:9"))
    try:
        for number, name in enumerate(names[:2]):
            spans = [await promise(processes.nodes[name], f"{name}.{n}") for n in range(many)]
            figures = f"p50 {quantile(spans, 0.5):6.1f} ms  p99 {quantile(spans, 0.99):6.1f} ms"
            print(f"{len(names)} processes, at the {('leader', 'follower')[number]:<8}  {figures}")
    finally:
        await processes.close()


def cpu_ms(node: NodeProcess) -> float:
    assert node.process is not None
    spent = Path(f"/proc/{node.process.pid}/schedstat").read_text().split()[0]
    threads = Path(f"/proc/{node.process.pid}/task")
    total = sum(int((one / "schedstat").read_text().split()[0]) for one in threads.iterdir())
    return max(total, int(spent)) / 1e6


async def turn(node: NodeProcess, calls: int) -> float:
    """CPU of the process in ms a call, one call after another on one connection."""
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


async def cost(folder: Path, calls: int) -> None:
    server = await asyncio.start_server(provider, "127.0.0.1", 0)
    address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]  # noqa: UP031
    known = listed(address)
    processes = await fleet(folder, "abc", known)
    processes.add(NodeProcess("alone", folder, SETTINGS, free_port(), 1, known, lambda node: ""))
    await processes.start(["alone"])
    try:
        before = {name: cpu_ms(processes.nodes[name]) for name in ("a", "b", "alone")}
        await asyncio.sleep(IDLE_S)
        idle = {name: (cpu_ms(processes.nodes[name]) - spent) / IDLE_S for name, spent in before.items()}
        print("CPU without a call, ms a second: leader {a:.1f}, follower {b:.1f}, off {alone:.1f}".format_map(idle))
        for leads, name in (("the leader", "a"), ("a follower", "b")):
            spent: dict[str, list[float]] = {name: [], "alone": []}
            for round_ in range(max(4, calls // TURN)):
                for one in (name, "alone") if round_ % 2 else ("alone", name):
                    spent[one].append(await turn(processes.nodes[one], TURN))
            on, off = (statistics.median(spent[one][1:]) * 1000 for one in (name, "alone"))
            print(f"a call's CPU, {leads}: on {on:.1f} us, off {off:.1f} us, ratio {on / off:.3f}")
    finally:
        await processes.close()
        server.close()


async def main(many: int, calls: int) -> None:
    print(json.dumps({"cores": os.cpu_count(), "load": [round(one, 1) for one in os.getloadavg()]}))
    for names in ("abc", "abcde"):
        with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as folder:
            await promises(Path(folder), names, many)
    with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as folder:
        await cost(Path(folder), calls)


if __name__ == "__main__":
    words = [int(word) for word in sys.argv[1:]]
    asyncio.run(main(words[0] if words else 400, words[1] if words[1:] else 10_000))
