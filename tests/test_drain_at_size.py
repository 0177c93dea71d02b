"""Draining endpoints are sent nothing, however large the list and however often discovery moves.

What users saw: with thousands of endpoints and injected faults, some requests went to endpoints that had been
draining for longer than the grace.

Order of events in the run that was replayed: each sidecar got four new configurations within two seconds, each with
another address of discovery. At each one the sidecar closed its watch and asked the new address for the whole list. The
work on the calls given up filled discovery's queue, so that the last address refused everybody. An endpoint began to
drain meanwhile; the watch that would have told of it had been closed. Six seconds later it was still sent requests.

Cause: a working watch was given up before its successor had brought a list. Evidence: discovery's records show no
answer to that sidecar for nine seconds while 25 of its calls were refused within 15 ms each, and an address that is
moved away from goes on telling changes for 1.5 s.

The second cause was found beside it: each change of the list cost work on all endpoints that are listed, so that a
process with 3,200 of them was still working off changes 17 s after the last had come: calls waited for it or were sent
by a list that old.
"""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path
from time import monotonic
from typing import Any

from limenotch.config import host_port

from .helpers.discovery_service import Address, DiscoveryService
from .helpers.http_peers import LOOK, SETTINGS, fetch, reply, replying, with_new_id
from .helpers.processes import Processes, free_port, run

GRACE_S = 0.3  # of a drain, with the slack of real sockets
LATE_S = 2.0  # far beyond what an answer takes here
GAPS_S = (0.3, 0.4, 0.9)  # between the configurations of the run that was replayed


class EndpointServers:
    """Endpoint processes, each behind many names of the list; which of them was reached can be told."""

    async def start(self, count: int, names: int) -> None:
        self.requests = []
        self.entries: list[dict[str, Any]] = []
        self._servers = []
        for _ in range(count):
            handler, seen = replying(reply(200))
            server = await asyncio.start_server(handler, "127.0.0.1", 0)
            self._servers.append(server)
            self.requests.append(seen)
        for number in range(names):
            address = host_port(self._servers[number % count].sockets[0].getsockname())
            self.entries.append({"name": f"s-{number:04x}", "address": address, "zone": "a", "status": "in_service"})

    def names_of(self, server: int) -> list[str]:
        return [entry["name"] for entry in self.entries[server :: len(self._servers)]]

    def close(self) -> None:
        for server in self._servers:
            server.close()


def configuration(port: int, address: Address, entries: list[dict[str, Any]]) -> dict[str, Any]:
    return {
        "name": "n",
        "listen": f"127.0.0.1:{port}",
        "discovery": address.name,
        "seed": "1f",
        "settings": SETTINGS,
        "known": {"index": 1, "snapshot": True, "endpoints": entries},
    }


async def reload_configuration(
    process: asyncio.subprocess.Process, path: Path, raw: dict[str, Any], address: Address
) -> None:
    """A new configuration, which moves discovery; returns once the new address has been asked."""
    path.write_text(json.dumps({**raw, "discovery": address.name, "admin_addr": f"127.0.0.1:{path.stem}"}))
    process.send_signal(signal.SIGHUP)
    while not address.request_count:
        await asyncio.sleep(0.01)


async def wait_until(said: Any) -> None:
    while not said():
        await asyncio.sleep(0.01)


def test_a_drain_told_by_the_old_address_counts_while_the_new_one_refuses(tmp_path: Path) -> None:
    async def case() -> None:
        servers, processes = EndpointServers(), Processes(tmp_path)
        await servers.start(2, names=2)
        discovery = DiscoveryService(servers.entries)
        old, new = await discovery.listen(), await discovery.listen(rejects_all=True)
        port = free_port()
        raw = configuration(port, old, servers.entries)
        try:
            process, admin = await processes.serve(raw)
            await wait_until(lambda: old.watches)
            retiring = asyncio.create_task(discovery.retire(old))
            await reload_configuration(process, tmp_path / f"{admin}.json", raw, new)
            discovery.set_status(*servers.names_of(0))
            await asyncio.sleep(GRACE_S)
            before = len(servers.requests[0])
            for _ in range(20):
                assert (await fetch(port, with_new_id(LOOK))).status == 200
            assert len(servers.requests[0]) == before and len(servers.requests[1]) >= 20
            await retiring
            for _ in range(20):
                assert (await fetch(port, with_new_id(LOOK))).status == 200
            assert len(servers.requests[0]) == before
        finally:
            await processes.kill_all()
            discovery.close()
            servers.close()

    run(case())


def test_moves_in_a_row_leave_discovery_able_to_answer(tmp_path: Path) -> None:
    """Each of six processes is moved four times, as in the run; a list takes discovery 0.3 s."""

    async def case() -> None:
        servers, processes = EndpointServers(), Processes(tmp_path)
        await servers.start(2, names=2)
        discovery = DiscoveryService(servers.entries, list_s=0.3)
        addresses = [await discovery.listen() for _ in range(len(GAPS_S) + 2)]
        ports = [free_port() for _ in range(6)]
        try:
            begun = []
            for port in ports:
                raw = configuration(port, addresses[0], servers.entries)
                process, admin = await processes.serve(raw)
                begun.append((process, tmp_path / f"{admin}.json", raw))
            await wait_until(lambda: len(addresses[0].watches) == len(ports))
            retired = []
            for gap, (old, new) in zip((*GAPS_S, 0.0), zip(addresses, addresses[1:], strict=False), strict=True):
                retired.append(asyncio.create_task(discovery.retire(old)))
                for process, path, raw in begun:
                    path.write_text(json.dumps({**raw, "discovery": new.name, "admin_addr": f"127.0.0.1:{path.stem}"}))
                    process.send_signal(signal.SIGHUP)
                await asyncio.sleep(gap)
            discovery.set_status(*servers.names_of(0))
            # What discovery has to tell counts 4 s after a new configuration.
            await asyncio.sleep(4.0 + GRACE_S)
            before = len(servers.requests[0])
            for port in ports * 10:
                assert (await fetch(port, with_new_id(LOOK))).status == 200
            assert len(servers.requests[0]) == before and len(addresses[-1].watches) == len(ports)
        finally:
            await processes.kill_all()
            discovery.close()
            servers.close()

    run(case())


def test_half_of_a_large_list_may_drain_within_seconds(tmp_path: Path) -> None:
    """3,200 endpoints behind eight processes, of which four drain one after another, a line for each endpoint."""

    async def case() -> None:
        servers, processes = EndpointServers(), Processes(tmp_path)
        await servers.start(8, names=3200)
        discovery = DiscoveryService(servers.entries)
        address, port = await discovery.listen(), free_port()
        calls, after_grace = set[asyncio.Task[float]](), list[int]()

        async def taking() -> float:
            began = monotonic()
            assert (await fetch(port, with_new_id(LOOK))).status == 200
            return monotonic() - began

        def call() -> None:
            calls.add(asyncio.create_task(taking()))

        try:
            await processes.serve(configuration(port, address, servers.entries))
            await wait_until(lambda: address.watches)
            for drained in range(4):
                for count, name in enumerate(servers.names_of(drained)):
                    discovery.set_status(name)
                    await asyncio.sleep(0.0025)
                    if not count % 10:
                        call()
                await asyncio.sleep(GRACE_S)
                after_grace.append(len(servers.requests[drained]))
                for _ in range(10):
                    call()
                    await asyncio.sleep(0.02)
            taken = await asyncio.gather(*calls)
            assert [len(seen) for seen in servers.requests[:4]] == after_grace
            assert max(taken) <= LATE_S  # a process that is busy with its list answers nobody
        finally:
            await processes.kill_all()
            discovery.close()
            servers.close()
            for task in calls:
                task.cancel()

    run(case())
