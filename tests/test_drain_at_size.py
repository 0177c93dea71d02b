"""Draining endpoints get no requests, however large the list is and however often discovery moves.

Guards against two faults that sent requests to endpoints beyond their drain grace:

- A working watch was closed before its successor had a list. Each sidecar got four configurations within two seconds,
  each with another discovery address. The abandoned requests filled discovery's queue, so that the last address
  rejected everything: 25 requests of a sidecar within 15 ms each, and no list for nine seconds. A drain was missed with
  the closed watch, although an old address sends changes for another 1.5 s; requests were still sent 6 s later.
- Each change of the list cost work on all listed endpoints. A process with 3,200 endpoints was still applying changes
  17 s after the last had arrived: requests waited, or were sent by a list that old.
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

GRACE_WITH_SLACK_S = 0.3  # drain grace, with some slack for real sockets
MAX_RESPONSE_S = 2.0  # far longer than a response takes here
RELOAD_INTERVALS_S = (0.3, 0.4, 0.9)  # between the configurations of the replayed run


class EndpointServers:
    """HTTP servers, each listed under many names; records the requests of each server."""

    async def start(self, count: int, names: int) -> None:
        self.requests = []
        self.entries: list[dict[str, Any]] = []
        self._servers = []
        for _ in range(count):
            handler, requests = replying(reply(200))
            server = await asyncio.start_server(handler, "127.0.0.1", 0)
            self._servers.append(server)
            self.requests.append(requests)
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
    """Reloads a configuration with another discovery address; returns once that address got a request."""
    path.write_text(json.dumps({**raw, "discovery": address.name, "admin_addr": f"127.0.0.1:{path.stem}"}))
    process.send_signal(signal.SIGHUP)
    while not address.request_count:
        await asyncio.sleep(0.01)


async def wait_until(condition: Any) -> None:
    while not condition():
        await asyncio.sleep(0.01)


def test_a_drain_sent_by_the_old_address_counts_while_the_new_one_rejects(tmp_path: Path) -> None:
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
            await asyncio.sleep(GRACE_WITH_SLACK_S)
            count_before = len(servers.requests[0])
            for _ in range(20):
                assert (await fetch(port, with_new_id(LOOK))).status == 200
            assert len(servers.requests[0]) == count_before and len(servers.requests[1]) >= 20
            await retiring
            for _ in range(20):
                assert (await fetch(port, with_new_id(LOOK))).status == 200
            assert len(servers.requests[0]) == count_before
        finally:
            await processes.kill_all()
            discovery.close()
            servers.close()

    run(case())


def test_discovery_still_responds_after_consecutive_moves(tmp_path: Path) -> None:
    """Each of six processes is moved four times, as in the replayed run; discovery takes 0.3 s for a list."""

    async def case() -> None:
        servers, processes = EndpointServers(), Processes(tmp_path)
        await servers.start(2, names=2)
        discovery = DiscoveryService(servers.entries, list_s=0.3)
        addresses = [await discovery.listen() for _ in range(len(RELOAD_INTERVALS_S) + 2)]
        ports = [free_port() for _ in range(6)]
        try:
            started = []
            for port in ports:
                raw = configuration(port, addresses[0], servers.entries)
                process, admin = await processes.serve(raw)
                started.append((process, tmp_path / f"{admin}.json", raw))
            await wait_until(lambda: len(addresses[0].watches) == len(ports))
            retirements = []
            for interval_s, (old, new) in zip(
                (*RELOAD_INTERVALS_S, 0.0), zip(addresses, addresses[1:], strict=False), strict=True
            ):
                retirements.append(asyncio.create_task(discovery.retire(old)))
                for process, path, raw in started:
                    path.write_text(json.dumps({**raw, "discovery": new.name, "admin_addr": f"127.0.0.1:{path.stem}"}))
                    process.send_signal(signal.SIGHUP)
                await asyncio.sleep(interval_s)
            discovery.set_status(*servers.names_of(0))
            # Changes count as known 4 s after a new configuration.
            await asyncio.sleep(4.0 + GRACE_WITH_SLACK_S)
            count_before = len(servers.requests[0])
            for port in ports * 10:
                assert (await fetch(port, with_new_id(LOOK))).status == 200
            assert len(servers.requests[0]) == count_before and len(addresses[-1].watches) == len(ports)
        finally:
            await processes.kill_all()
            discovery.close()
            servers.close()

    run(case())


def test_half_of_a_large_list_drains_within_seconds(tmp_path: Path) -> None:
    """3,200 endpoints behind eight servers, of which four drain in sequence, with one line for each endpoint."""

    async def case() -> None:
        servers, processes = EndpointServers(), Processes(tmp_path)
        await servers.start(8, names=3200)
        discovery = DiscoveryService(servers.entries)
        address, port = await discovery.listen(), free_port()
        request_tasks, counts_after_grace = set[asyncio.Task[float]](), list[int]()

        async def timed_request() -> float:
            started_at = monotonic()
            assert (await fetch(port, with_new_id(LOOK))).status == 200
            return monotonic() - started_at

        def start_request() -> None:
            request_tasks.add(asyncio.create_task(timed_request()))

        try:
            await processes.serve(configuration(port, address, servers.entries))
            await wait_until(lambda: address.watches)
            for server_index in range(4):
                for count, name in enumerate(servers.names_of(server_index)):
                    discovery.set_status(name)
                    await asyncio.sleep(0.0025)
                    if not count % 10:
                        start_request()
                await asyncio.sleep(GRACE_WITH_SLACK_S)
                counts_after_grace.append(len(servers.requests[server_index]))
                for _ in range(10):
                    start_request()
                    await asyncio.sleep(0.02)
            durations_s = await asyncio.gather(*request_tasks)
            assert [len(requests) for requests in servers.requests[:4]] == counts_after_grace
            assert max(durations_s) <= MAX_RESPONSE_S  # a process that is busy with its list sends no responses
        finally:
            await processes.kill_all()
            discovery.close()
            servers.close()
            for task in request_tasks:
                task.cancel()

    run(case())
