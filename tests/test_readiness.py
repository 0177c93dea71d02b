"""When a process may serve: with discovery answering, silent, failing or down; where lists are asked for or pushed."""

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

from .helpers.http_peers import LOOK, SETTINGS, Handler, Reader, Writer, answering, ask, whole
from .helpers.processes import free_port, run

UP = b"GET /up HTTP/1.1\r\nHost: o\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
FAILED = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
PUSHED = {**SETTINGS, "registry_mode": "push"}


def entry(name: str, server: asyncio.Server, status: str = "in_service") -> dict[str, Any]:
    address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]  # noqa: UP031
    return {"name": name, "address": address, "zone": "a", "status": status}


def listing(index: int, entries: list[dict[str, Any]], whole: bool) -> bytes:
    line = json.dumps({"index": index, "snapshot": whole, "endpoints": entries}).encode() + b"\n"
    return CHUNKED + b"%x\r\n%b\r\n" % (len(line), line)


class Agent:
    """A discovery that answers when the test says so; `failing`: with this, at once."""

    def __init__(self, failing: bytes | None = None) -> None:
        self.calls = asyncio.Queue[tuple[bytes, Writer]]()
        self._failing = failing

    async def begin(self, sock: socket.socket | None = None) -> str:
        """On a socket that is bound already, or one of its own; its address."""
        if sock is None:
            sock = socket.create_server(("127.0.0.1", 0))
        self._server = await asyncio.start_server(self._handle, sock=sock)
        return config.host_port(sock.getsockname())

    async def _handle(self, reader: Reader, writer: Writer) -> None:
        target = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1]
        if self._failing is not None:
            writer.write(self._failing)
            writer.close()
            return
        await self.calls.put((target, writer))


async def providers(*handlers: Handler) -> list[asyncio.Server]:
    return [await asyncio.start_server(handler, "127.0.0.1", 0) for handler in handlers]


async def listening(port: int) -> int:
    """What `/up` says as soon as anybody listens there."""
    while True:
        with contextlib.suppress(OSError):
            return (await ask(port, UP)).status
        await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def serving(discovery: str, known: list[dict[str, Any]], settings: dict[str, Any]) -> AsyncIterator[int]:
    """A sidecar within this process, from the moment it listens; its port."""
    port = free_port()
    raw = {
        "listen": f"127.0.0.1:{port}",
        "discovery": discovery,
        "settings": settings,
        "known": {"index": 3, "snapshot": True, "endpoints": known},
    }
    task = asyncio.create_task(app.serve(config.parse(raw, {})))
    try:
        await listening(port)
        yield port
    finally:
        task.cancel()
        await asyncio.wait([task])


def test_where_lists_are_asked_for_a_silent_discovery_keeps_no_start() -> None:
    async def case() -> None:
        agent = Agent()
        handler, _ = answering(whole(200))
        (server,) = await providers(handler)
        async with serving(await agent.begin(), [entry("a", server)], SETTINGS) as port:
            assert (await ask(port, UP)).status == 200
            assert (await ask(port, LOOK)).status == 200
            target, _ = await agent.calls.get()  # never answered
            assert target == b"/discovery/hosts?follow=1&since=3"

    run(case())


@pytest.mark.parametrize("whole_list", [True, False])
def test_where_lists_are_pushed_a_process_serves_by_its_agents_word(
    whole_list: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against serving from the list known before: what the agent has counts as told from the first moment on.
    monkeypatch.setattr(app, "AGENT_TIMEOUT_S", 1000.0)

    async def case() -> None:
        agent = Agent()
        handlers = [answering(whole(200)) for _ in range(2)]
        servers = await providers(*(handler for handler, _ in handlers))
        drained, other = (entry(name, server) for name, server in zip("ab", servers, strict=True))
        async with serving(await agent.begin(), [drained, other], PUSHED) as port:
            target, writer = await agent.calls.get()
            assert target == b"/discovery/hosts?follow=1&since=3" and (await ask(port, UP)).status == 503
            changed = [{**drained, "status": "terminating"}]
            # A whole list may omit what drains; changes leave all others as they were known.
            writer.write(listing(4, [other] if whole_list else changed, whole_list))
            while (await ask(port, UP)).status != 200:
                await asyncio.sleep(0)
            for _ in range(20):
                assert (await ask(port, LOOK)).status == 200
            assert [len(seen) for _, seen in handlers] == [0, 20]

    run(case())


@pytest.mark.parametrize("failing", [None, FAILED, b""], ids=["silent", "failing", "reset"])
def test_where_the_agent_is_silent_a_process_serves_from_what_it_knew(
    failing: bytes | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(app, "AGENT_TIMEOUT_S", 0.2)

    async def case() -> None:
        agent = Agent(failing)
        handler, _ = answering(whole(200))
        (server,) = await providers(handler)
        async with serving(await agent.begin(), [entry("a", server)], PUSHED) as port:
            while (await ask(port, UP)).status != 200:
                await asyncio.sleep(0.01)
            assert (await ask(port, LOOK)).status == 200

    run(case())


def test_the_agent_is_waited_for_no_longer_than_a_start_may_take() -> None:
    """Nine of ten restarted processes are ready within 6 s, of which starting takes its own part."""
    assert app.AGENT_TIMEOUT_S <= 3.0


@pytest.mark.parametrize(("mode", "pushed"), [("push", True), ("ask", False), (None, False)])
def test_whether_lists_are_pushed_is_the_settings_word(mode: str | None, pushed: bool) -> None:
    settings = {**SETTINGS, "registry_mode": mode}
    if mode is None:
        del settings["registry_mode"]
    raw = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings}
    assert wiring.is_pushed(config.parse(raw, {})) is pushed


def test_a_reload_may_say_that_lists_are_pushed_and_move_discovery_under_open_calls(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    said = list[bool]()
    monkeypatch.setattr(DiscoveryClient, "set_pushed", lambda _, pushed: said.append(pushed))

    async def case() -> None:
        first, second = Agent(), Agent()
        at_first, at_second = await first.begin(), await second.begin()
        taken, may_answer = asyncio.Event(), asyncio.Event()

        async def slow(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            taken.set()
            await may_answer.wait()
            writer.write(whole(200))

        (server,) = await providers(slow)
        path, port = tmp_path / "config.json", free_port()
        raw = {
            "listen": f"127.0.0.1:{port}",
            "discovery": at_first,
            "settings": SETTINGS,
            "known": {"index": 3, "snapshot": True, "endpoints": [entry("a", server)]},
        }
        path.write_text(json.dumps(raw))
        monkeypatch.setenv("LB_CONFIG", str(path))
        task = asyncio.create_task(app.serve(config.load(os.environ)))
        await first.calls.get()
        await listening(port)
        call = asyncio.create_task(ask(port, LOOK))
        await taken.wait()
        path.write_text(json.dumps({**raw, "discovery": at_second, "settings": PUSHED}))
        os.kill(os.getpid(), signal.SIGHUP)
        target, new = await second.calls.get()
        assert target == b"/discovery/hosts?follow=1"
        new.write(listing(1, [entry("b", server)], True))  # its first word leaves out where the call is
        new.write(b"0\r\n\r\n")
        await second.calls.get()  # its end is followed by another call
        may_answer.set()
        assert (await call).status == 200 and said == [True]
        task.cancel()
        await asyncio.wait([task])

    run(case())


def test_idle_clients_that_fill_the_descriptors_leave_one_for_discovery(tmp_path: Path) -> None:
    """A process under a real limit: discovery is down while clients come and only stay, and then comes back."""
    limit, clients = 96, 160

    async def case() -> None:
        handler, _ = answering(whole(200))
        (server,) = await providers(handler)
        with socket.socket() as down:
            down.bind(("127.0.0.1", 0))  # refuses until it listens
            port = free_port()
            path = tmp_path / "config.json"
            path.write_text(
                json.dumps(
                    {
                        "listen": f"127.0.0.1:{port}",
                        "discovery": config.host_port(down.getsockname()),
                        "settings": SETTINGS,
                        "limits": {"sockets": limit},
                        "known": {"index": 3, "snapshot": True, "endpoints": [entry("a", server)]},
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
                assert await listening(port) == 200
                idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(clients)]
                assert (await ask(port, LOOK)).status == 200  # a working client gets in
                agent, begun = Agent(), time.monotonic()
                await agent.begin(down)
                _, writer = await agent.calls.get()
                assert time.monotonic() - begun < MAX_QUERY_INTERVAL_S
                writer.write(listing(4, [entry("a", server)], True))
                assert (await ask(port, UP)).status == 200
                for _, client in idle:
                    client.close()
            finally:
                process.kill()
                await process.wait()

    run(case())


def test_no_client_is_accepted_by_a_process_whose_operators_address_is_taken() -> None:
    # It ended with the clients whose connections it had accepted by then.
    async def case() -> None:
        port = free_port()
        accepted = list[bool]()

        def listen(self: Any, *arguments: Any) -> None:
            accepted.append(True)

        with socket.create_server(("127.0.0.1", 0)) as taken, pytest.MonkeyPatch.context() as patch:
            patch.setattr(ClientListener, "listen", listen)
            raw = {
                "listen": f"127.0.0.1:{port}",
                "discovery": f"127.0.0.1:{free_port()}",
                "admin_addr": "127.0.0.1:%d" % taken.getsockname()[1],  # noqa: UP031
                "settings": SETTINGS,
            }
            with pytest.raises(OSError, match="in use"):
                await app.serve(config.parse(raw, {}))
        assert accepted == []

    run(case())
