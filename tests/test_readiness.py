"""When a process becomes ready: with discovery working, unresponsive, failing or down; with lists queried or pushed."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from limenotch import app, config, wiring
from limenotch.net.client_listener import ClientListener
from limenotch.net.discovery.client import DiscoveryClient
from limenotch.net.discovery.schedule import MAX_QUERY_INTERVAL_S

from .helpers.http_peers import LOOK, SETTINGS, Handler, Reader, Writer, fetch, reply, replying
from .helpers.processes import free_port, run

UP_REQUEST = b"GET /up HTTP/1.1\r\nHost: o\r\n\r\n"
CHUNKED_HEADER = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
FAILED_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
PUSH_SETTINGS = {**SETTINGS, "registry_mode": "push"}


def make_entry(name: str, server: asyncio.Server, status: str = "in_service") -> dict[str, Any]:
    address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]  # noqa: UP031
    return {"name": name, "address": address, "zone": "a", "status": status}


def list_message(index: int, entries: list[dict[str, Any]], is_complete: bool) -> bytes:
    line = json.dumps({"index": index, "snapshot": is_complete, "endpoints": entries}).encode() + b"\n"
    return CHUNKED_HEADER + b"%x\r\n%b\r\n" % (len(line), line)


class FakeDiscovery:
    """A fake discovery whose queries the test answers. With `failure_response` it sends that at once."""

    def __init__(self, failure_response: bytes | None = None) -> None:
        self.queries = asyncio.Queue[tuple[bytes, Writer]]()
        self._failure_response = failure_response

    async def start(self, sock: socket.socket | None = None) -> str:
        """Listen on the bound socket `sock`, or on a new one; return the address."""
        if sock is None:
            sock = socket.create_server(("127.0.0.1", 0))
        self._server = await asyncio.start_server(self._handle, sock=sock)
        return config.host_port(sock.getsockname())

    async def _handle(self, reader: Reader, writer: Writer) -> None:
        target = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1]
        if self._failure_response is not None:
            writer.write(self._failure_response)
            writer.close()
            return
        await self.queries.put((target, writer))


async def start_endpoints(*handlers: Handler) -> list[asyncio.Server]:
    return [await asyncio.start_server(handler, "127.0.0.1", 0) for handler in handlers]


async def wait_until_listening(port: int) -> int:
    """Wait until a process listens on the port; return the status of `/up`."""
    while True:
        with contextlib.suppress(OSError):
            return (await fetch(port, UP_REQUEST)).status
        await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def sidecar(
    discovery: str, known_endpoints: list[dict[str, Any]], settings: dict[str, Any]
) -> AsyncIterator[int]:
    """Run a sidecar within this process. Yields its port once it listens."""
    port = free_port()
    raw_config = {
        "listen": f"127.0.0.1:{port}",
        "discovery": discovery,
        "settings": settings,
        "known": {"index": 3, "snapshot": True, "endpoints": known_endpoints},
    }
    task = asyncio.create_task(app.serve(config.parse(raw_config, {})))
    try:
        await wait_until_listening(port)
        yield port
    finally:
        task.cancel()
        await asyncio.wait([task])


def test_if_lists_are_queried_a_start_does_not_wait_for_an_unresponsive_discovery() -> None:
    async def case() -> None:
        discovery = FakeDiscovery()
        handler, _ = replying(reply(200))
        (server,) = await start_endpoints(handler)
        async with sidecar(await discovery.start(), [make_entry("a", server)], SETTINGS) as port:
            assert (await fetch(port, UP_REQUEST)).status == 200
            assert (await fetch(port, LOOK)).status == 200
            target, _ = await discovery.queries.get()  # never answered
            assert target == b"/discovery/hosts?follow=1&since=3"

    run(case())


@pytest.mark.parametrize("complete_list", [True, False])
def test_if_lists_are_pushed_a_process_serves_only_with_the_current_list(
    complete_list: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The process must not serve from the list known before: it must respect what the agent has listed from the start.
    monkeypatch.setattr(app, "AGENT_TIMEOUT_S", 1000.0)

    async def case() -> None:
        discovery = FakeDiscovery()
        handlers = [replying(reply(200)) for _ in range(2)]
        servers = await start_endpoints(*(handler for handler, _ in handlers))
        draining, other = (make_entry(name, server) for name, server in zip("ab", servers, strict=True))
        async with sidecar(await discovery.start(), [draining, other], PUSH_SETTINGS) as port:
            target, writer = await discovery.queries.get()
            assert target == b"/discovery/hosts?follow=1&since=3" and (await fetch(port, UP_REQUEST)).status == 503
            changed = [{**draining, "status": "terminating"}]
            # A complete list may omit a draining endpoint. Changes leave the other endpoints as known before.
            writer.write(list_message(4, [other] if complete_list else changed, complete_list))
            while (await fetch(port, UP_REQUEST)).status != 200:
                await asyncio.sleep(0)
            for _ in range(20):
                assert (await fetch(port, LOOK)).status == 200
            assert [len(received_requests) for _, received_requests in handlers] == [0, 20]

    run(case())


@pytest.mark.parametrize("failure_response", [None, FAILED_RESPONSE, b""], ids=["silent", "failing", "reset"])
def test_if_lists_are_pushed_and_discovery_does_not_answer_a_process_serves_from_the_known_list(
    failure_response: bytes | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(app, "AGENT_TIMEOUT_S", 0.2)

    async def case() -> None:
        discovery = FakeDiscovery(failure_response)
        handler, _ = replying(reply(200))
        (server,) = await start_endpoints(handler)
        async with sidecar(await discovery.start(), [make_entry("a", server)], PUSH_SETTINGS) as port:
            while (await fetch(port, UP_REQUEST)).status != 200:
                await asyncio.sleep(0.01)
            assert (await fetch(port, LOOK)).status == 200

    run(case())


def test_the_wait_for_discovery_is_shorter_than_the_time_for_a_start() -> None:
    """Nine of ten restarted processes must be ready within 6 s, which includes the time to start."""
    assert app.AGENT_TIMEOUT_S <= 3.0


@pytest.mark.parametrize(("mode", "pushed"), [("push", True), ("ask", False), (None, False)])
def test_the_settings_decide_whether_lists_are_pushed(mode: str | None, pushed: bool) -> None:
    settings = {**SETTINGS, "registry_mode": mode}
    if mode is None:
        del settings["registry_mode"]
    raw_config = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings}
    assert wiring.is_pushed(config.parse(raw_config, {})) is pushed


def test_a_reload_can_switch_to_pushed_lists_and_move_discovery_while_requests_are_open(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    pushed_values = list[bool]()
    monkeypatch.setattr(DiscoveryClient, "set_pushed", lambda _, pushed: pushed_values.append(pushed))

    async def case() -> None:
        first, second = FakeDiscovery(), FakeDiscovery()
        first_address, second_address = await first.start(), await second.start()
        received, may_answer = asyncio.Event(), asyncio.Event()

        async def slow_handler(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            received.set()
            await may_answer.wait()
            writer.write(reply(200))

        (server,) = await start_endpoints(slow_handler)
        path, port = tmp_path / "config.json", free_port()
        raw_config = {
            "listen": f"127.0.0.1:{port}",
            "discovery": first_address,
            "settings": SETTINGS,
            "known": {"index": 3, "snapshot": True, "endpoints": [make_entry("a", server)]},
        }
        path.write_text(json.dumps(raw_config))
        monkeypatch.setenv("LB_CONFIG", str(path))
        task = asyncio.create_task(app.serve(config.load(os.environ)))
        await first.queries.get()
        await wait_until_listening(port)
        response = asyncio.create_task(fetch(port, LOOK))
        await received.wait()
        path.write_text(json.dumps({**raw_config, "discovery": second_address, "settings": PUSH_SETTINGS}))
        os.kill(os.getpid(), signal.SIGHUP)
        target, second_writer = await second.queries.get()
        assert target == b"/discovery/hosts?follow=1"
        second_writer.write(
            list_message(1, [make_entry("b", server)], True)
        )  # without the endpoint of the open request
        second_writer.write(b"0\r\n\r\n")
        await second.queries.get()  # the end of a stream is followed by another query
        may_answer.set()
        assert (await response).status == 200 and pushed_values == [True]
        task.cancel()
        await asyncio.wait([task])

    run(case())


def test_idle_clients_leave_a_descriptor_for_discovery(tmp_path: Path) -> None:
    """A process with a real descriptor limit: discovery is down while idle clients connect, and then recovers."""
    limit, clients = 96, 160

    async def case() -> None:
        handler, _ = replying(reply(200))
        (server,) = await start_endpoints(handler)
        with socket.socket() as unavailable:
            unavailable.bind(("127.0.0.1", 0))  # refuses connections until it listens
            port = free_port()
            path = tmp_path / "config.json"
            path.write_text(
                json.dumps(
                    {
                        "listen": f"127.0.0.1:{port}",
                        "discovery": config.host_port(unavailable.getsockname()),
                        "settings": SETTINGS,
                        "limits": {"sockets": limit},
                        "known": {"index": 3, "snapshot": True, "endpoints": [make_entry("a", server)]},
                    }
                )
            )
            environ = {**os.environ, "LB_CONFIG": str(path), "TMPDIR": str(tmp_path)}
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                f'ulimit -n {limit} && exec "$0" -m limenotch serve',
                sys.executable,
                env=environ,
                stderr=asyncio.subprocess.DEVNULL,
            )
            try:
                assert await wait_until_listening(port) == 200
                idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(clients)]
                assert (await fetch(port, LOOK)).status == 200  # an active client is served
                discovery, started_at = FakeDiscovery(), time.monotonic()
                await discovery.start(unavailable)
                _, writer = await discovery.queries.get()
                assert time.monotonic() - started_at < MAX_QUERY_INTERVAL_S
                writer.write(list_message(4, [make_entry("a", server)], True))
                assert (await fetch(port, UP_REQUEST)).status == 200
                for _, client in idle:
                    client.close()
            finally:
                process.kill()
                await process.wait()

    run(case())


def test_a_process_whose_operators_address_is_in_use_accepts_no_client() -> None:
    # Otherwise the connections accepted before the process ended would break.
    async def case() -> None:
        port = free_port()
        accepted = list[bool]()

        def listen(self: Any, *arguments: Any) -> None:
            accepted.append(True)

        with socket.create_server(("127.0.0.1", 0)) as occupied, pytest.MonkeyPatch.context() as patch:
            patch.setattr(ClientListener, "listen", listen)
            raw_config = {
                "listen": f"127.0.0.1:{port}",
                "discovery": f"127.0.0.1:{free_port()}",
                "admin_addr": "127.0.0.1:%d" % occupied.getsockname()[1],  # noqa: UP031
                "settings": SETTINGS,
            }
            with pytest.raises(OSError, match="in use"):
                await app.serve(config.parse(raw_config, {}))
        assert accepted == []

    run(case())
