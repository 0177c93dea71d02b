"""What a wallet costs a request.

    python -m benchmarks.wallet_cost [CALLS]

First the spender alone, in this process: `reserve` and `charge` of requests covered by one allocation, the median of
rounds, in us a request; and the interceptor around it (`request_received` and `request_closed`), which is what a
request passes. Then on processes: two fleets of one voter each that differ only in `[fleet.wallet]`, and a sidecar
without a fleet. They get the same requests in turns; CPU is that of the process by the kernel's clock, with all that
the fleet does in that time. The ratio is of the medians of the turns, so noise of the machine affects all alike.
"""

from __future__ import annotations

import asyncio
import json
import os
import statistics
import sys
import tempfile
from pathlib import Path
from time import process_time_ns
from types import SimpleNamespace
from typing import Any

from limenotch.fleet.wallet.allocations import LocalAllocation, Spender
from limenotch.fleet.wallet.api import Rejected
from limenotch.fleet.wallet.ledger import Ledger
from limenotch.fleet.wallet.tuning import Tuning
from limenotch.fleet_adapters.wallet import RequestCharger
from limenotch.lab.emulate.sidecars import free_port
from limenotch.lab.fleet.processes import NodeProcess, Processes, fleet_table
from limenotch.net.request import FinalResponse, Verdict

from .replicated_notes import SETTINGS, TURN, listed, provider, turn

REQUESTS_PER_ROUND = 20_000  # requests to the spender alone
ROUNDS = 9
CREDIT = 100_000_000
SERVED = FinalResponse(Verdict.SERVED)


def create_spender() -> Spender:
    """With an allocation that lasts for all rounds."""
    spender = Spender(Tuning(tenants=("acme",)), Ledger())
    allocation = LocalAllocation(1, CREDIT, 0, (("a", 1), ("b", 1), ("c", 1)), 0.0)
    allocation.open_limit = allocation.requested_limit = CREDIT
    allocation.update_available()
    account = spender.add_allocation(0.0, "acme", allocation)
    spender.select_current(account)
    spender.changed_tenants.clear()
    spender.lease_expires_at_ms = float("inf")
    return spender


def measure_spender() -> float:
    """us a request."""
    spender, rounds = create_spender(), []
    for _ in range(ROUNDS):
        before = process_time_ns()
        for _ in range(REQUESTS_PER_ROUND):
            reservation = spender.reserve(1.0, "acme", "look")
            assert not isinstance(reservation, Rejected)
            spender.charge(1.0, reservation)
        rounds.append((process_time_ns() - before) / REQUESTS_PER_ROUND / 1000.0)
    return statistics.median(rounds)


def measure_interceptor() -> float:
    """us a request."""

    async def case() -> float:
        charger = RequestCharger(Tuning(tenants=("acme",)), lambda: None, SimpleNamespace(off=()))
        charger.spender = create_spender()
        requests: list[Any] = [
            SimpleNamespace(number=n, tenant="acme", kind="look", paid=False, final=None)
            for n in range(REQUESTS_PER_ROUND)
        ]
        rounds = []
        for _ in range(ROUNDS):
            before = process_time_ns()
            for request in requests:
                if charger.request_received(request) is not None:
                    raise RuntimeError("request rejected")
                request.final = SERVED
                charger.request_closed(request)
            rounds.append((process_time_ns() - before) / REQUESTS_PER_ROUND / 1000.0)
        return statistics.median(rounds)

    return asyncio.run(case())


async def start_sidecars(folder: Path, listed_endpoints: dict[str, Any]) -> Processes:
    """`paying`, `fleet` (the same without a wallet) and `alone`."""
    (folder / "key").write_text("a key of a benchmark alone")
    processes = Processes()

    def toml(node: NodeProcess) -> str:
        if node.name == "alone":
            return ""
        fleet_settings: dict[str, Any] = {
            "group": node.name,
            "key_file": str(folder / "key"),
            "voters": [node.name],
            "folder": str(node.data),
        }
        if node.name == "paying":
            # A turn comes at once after a rest, so its rate is not known: allocations as large as they would soon be,
            # and none is returned while other sidecars have their turns.
            fleet_settings["wallet"] = {"tenants": ["acme"], "least_slice": 10 * TURN, "idle_ms": 60_000.0}
        return fleet_table(f"127.0.0.1:{free_port()}", {}, fleet_settings)

    for name in ("paying", "fleet", "alone"):
        processes.add(NodeProcess(name, folder, SETTINGS, free_port(), 1, listed_endpoints, toml))
    await processes.start()
    await processes.wait_until_all(
        lambda name, state: state["parts"]["agreement"].get("leader") == name, 30, "each leads", ["paying", "fleet"]
    )
    paying = processes.nodes["paying"]

    async def credit_added() -> bool:
        answer = await paying.request("/fleet/wallets/acme", "POST", json.dumps({"id": "i", "add": CREDIT}).encode())
        return answer is not None and answer[0] == 200

    await processes.wait_until(credit_added, 30, "credit")

    return processes


async def measure_turn(processes: Processes, name: str) -> float:
    """One turn, in us a request, after some requests that are not counted, until an allocation is there."""
    node = processes.nodes[name]

    async def warm() -> bool:
        try:
            await turn(node, 20)
        except RuntimeError:
            return False
        return True

    await processes.wait_until(warm, 30, "calls are served")
    return await turn(node, TURN) * 1000.0


async def measure_on_processes(folder: Path, calls: int) -> None:
    server = await asyncio.start_server(provider, "127.0.0.1", 0)
    listed_endpoints = listed("127.0.0.1:%d" % server.sockets[0].getsockname()[1])  # noqa: UP031
    processes = await start_sidecars(folder, listed_endpoints)
    names = list(processes.nodes)
    spent: dict[str, list[float]] = {name: [] for name in names}
    try:
        for number in range(max(4, calls // TURN)):
            for offset in range(len(names)):
                name = names[(offset + number) % len(names)]
                spent[name].append(await measure_turn(processes, name))
    finally:
        await processes.close()
        server.close()
    us = {name: statistics.median(turns[1:]) for name, turns in spent.items()}
    print("| a request's CPU, us | ratio to the fleet without a wallet | ratio to no fleet |\n| --- | --- | --- |")
    for name, what in (("paying", "fleet and wallet"), ("fleet", "fleet, no wallet"), ("alone", "no fleet")):
        print(f"| {what}: {us[name]:.1f} | {us[name] / us['fleet']:.3f} | {us[name] / us['alone']:.3f} |")


def main(arguments: list[str]) -> None:
    print(json.dumps({"cores": os.cpu_count(), "load": [round(one, 1) for one in os.getloadavg()]}))
    print(f"reserve and charge: {measure_spender():.2f} us a request; with interceptor: {measure_interceptor():.2f} us")
    with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as folder:
        asyncio.run(measure_on_processes(Path(folder), int(arguments[0]) if arguments else 20_000))


if __name__ == "__main__":
    main(sys.argv[1:])
