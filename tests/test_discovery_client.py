"""The watch of discovery on loopback sockets: its end, a change of address, silence, and lists in any layout."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path
from typing import Any

import pytest

from limenotch import app, config, settings
from limenotch.load_balancer_types import DiscoveredEndpoint, DiscoveryStatus
from limenotch.net.discovery import schedule
from limenotch.net.discovery.client import DiscoveryClient
from limenotch.net.discovery.endpoint_list import EndpointList, merge_lists, parse_list

from .helpers.http_peers import SETTINGS, Handler, Reader, Writer
from .helpers.processes import free_port, run

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


@pytest.mark.parametrize("size", [1, 2, 7, 10_000])
def test_lists_may_be_indented_and_arrive_in_pieces_of_any_size(size: int) -> None:
    entry = {"name": "a{", "address": "127.0.0.1:1", "status": "in_service"}
    lists = [
        {"index": 7, "snapshot": True, "endpoints": [entry, {**entry, "name": "b"}]},
        {"index": 8, "snapshot": False, "endpoints": [{**entry, "status": "terminating"}]},
    ]
    body = b"\n\n".join(json.dumps(each, indent=2).encode() for each in lists)  # the last line has no line end

    async def case() -> None:
        received, broken = asyncio.Queue[tuple[list[DiscoveredEndpoint], bool]](), asyncio.Queue[None]()

        async def handler(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + b"".join(chunk(body[start : start + size]) for start in range(0, len(body), size)))
            await reader.read()

        server = await asyncio.start_server(handler, "127.0.0.1", 0)
        watched = DiscoveryClient(
            server.sockets[0].getsockname(),
            lambda *update: received.put_nowait(update),
            lambda: broken.put_nowait(None),
        )
        watched.watch()
        # How many lists are reported as one depends on how they arrive; the first is complete, the last entry counts.
        statuses, first = dict[str, str](), True
        while statuses.get("a{") != "terminating":
            entries, complete = await received.get()
            assert complete is first
            statuses.update((p.name, p.status.value) for p in entries)
            first = False
        assert statuses == {"a{": "terminating", "b": "in_service"}
        assert received.empty() and broken.empty()

    run(case())


def test_a_watch_within_an_incomplete_list_is_silent() -> None:
    # Empty lines must not keep a watch alive whose list never ends: all that follows would be part of that list.
    async def case() -> None:
        broken = asyncio.Queue[None]()

        async def handler(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + chunk(b'{"index": 7,\n'))
            while not writer.is_closing():
                writer.write(chunk(b"\n"))
                await asyncio.sleep(0.01)

        server = await asyncio.start_server(handler, "127.0.0.1", 0)
        watched = DiscoveryClient(
            server.sockets[0].getsockname(),
            lambda *_: None,
            lambda: broken.put_nowait(None),
            settings.DiscoverySettings(silence_s=0.2),
        )
        watched.watch()
        await broken.get()

    run(case())


def test_queries_are_retried_after_a_move_before_a_failure_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(schedule, "MOVE_GRACE_S", 2.0)
    monkeypatch.setattr(schedule, "MAX_BACKOFFS_S", (0.01, 0.01, 0.01))

    async def case() -> None:
        broken, queries = asyncio.Queue[None](), 0

        async def handler(reader: Reader, writer: Writer) -> None:
            nonlocal queries
            queries += 1
            writer.close()

        server = await asyncio.start_server(handler, "127.0.0.1", 0)
        watched = DiscoveryClient(("127.0.0.1", free_port()), lambda *_: None, lambda: broken.put_nowait(None))
        watched.watch()
        await broken.get()
        watched.move(server.sockets[0].getsockname())
        await broken.get()
        assert queries >= 12 and broken.empty()
        watched.close()

    run(case())


def test_a_watch_that_ends_is_reported_once_and_resumed_from_its_version() -> None:
    async def case() -> None:
        targets, received, broken = list[bytes](), list[tuple[list[DiscoveredEndpoint], bool]](), asyncio.Queue[None]()
        lines = (
            b'{"index":7,"snapshot":true,"endpoints":[{"name":"a"},{"name":"b","address":"127.0.0.1:1",'
            b'"status":"odd"}]}\nnot json\n\n'
        )
        responses = [
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(lines), lines),
            b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        ]

        async def handler(reader: Reader, writer: Writer) -> None:
            targets.append((await reader.readuntil(b"\r\n\r\n")).split(b" ")[1])
            writer.write(responses[len(targets) - 1])
            writer.close()

        server = await asyncio.start_server(handler, "127.0.0.1", 0)
        client = DiscoveryClient(
            server.sockets[0].getsockname(), lambda *update: received.append(update), lambda: broken.put_nowait(None)
        )
        for _ in responses:
            client.watch()
            client.watch()  # starts no second watch
            await broken.get()
        assert broken.empty() and received == [([], True)]
        assert targets == [b"/discovery/hosts?follow=1", b"/discovery/hosts?follow=1&since=7"]

    run(case())


@pytest.mark.parametrize(
    "raw",
    [
        None,
        [],
        {},
        {"endpoints": 3},
        {"endpoints": [None, 1, {"name": "a"}]},
        json.loads('{"endpoints":[{"name":"a","address":"h:1","status":"in_service","weight":Infinity}]}'),
    ],
)
def test_invalid_lists_and_entries_are_skipped(raw: Any) -> None:
    parsed = parse_list(raw)
    assert parsed is None or parsed[2] == []


def test_a_reload_applies_a_new_address_of_discovery_at_once_and_rejects_an_invalid_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # SIGHUP must not end the process, and the new address must be queried without a backoff.
    async def case() -> None:
        asked, moved = asyncio.Queue[bytes](), asyncio.Queue[bytes]()

        def discovery(queue: asyncio.Queue[bytes]) -> Handler:
            async def handler(reader: Reader, writer: Writer) -> None:
                queue.put_nowait((await reader.readuntil(b"\r\n\r\n")).split(b" ")[1])
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                if await reader.read() == b"":
                    queue.put_nowait(b"end")

            return handler

        servers = [await asyncio.start_server(discovery(q), "127.0.0.1", 0) for q in (asked, moved)]
        first, second = (config.host_port(s.sockets[0].getsockname()) for s in servers)
        path, port = tmp_path / "config.json", free_port()
        raw = {"listen": f"127.0.0.1:{port}", "discovery": first, "settings": SETTINGS}
        path.write_text(json.dumps(raw))
        monkeypatch.setenv("LB_CONFIG", str(path))
        monkeypatch.setenv("LB_DISCOVERY", first)
        serving = asyncio.create_task(app.serve(config.load(os.environ)))
        await asked.get()
        path.write_text("{")
        os.kill(os.getpid(), signal.SIGHUP)
        while "reload" not in caplog.text:
            await asyncio.sleep(0)
        path.write_text(json.dumps({**raw, "discovery": second}))
        os.kill(os.getpid(), signal.SIGHUP)
        assert await moved.get() == b"/discovery/hosts?follow=1" and await asked.get() == b"end"
        assert not serving.done()
        serving.cancel()
        await asyncio.wait([serving])

    run(case())


def listed(name: str, status: DiscoveryStatus = DiscoveryStatus.IN_SERVICE) -> DiscoveredEndpoint:
    return DiscoveredEndpoint(name, ("127.0.0.1", 1), status)


def test_lists_received_together_are_merged_and_the_last_entry_of_each_endpoint_counts() -> None:
    draining = listed("a", DiscoveryStatus.TERMINATING)
    assert merge_lists([]) is None
    assert merge_lists([EndpointList(1, False, [listed("a"), listed("b")]), EndpointList(2, False, [draining])]) == (
        2,
        False,
        [draining, listed("b")],
    )
    # A complete list replaces all lists before it, and with later changes it is still a complete list.
    lists = [
        EndpointList(1, False, [listed("x")]),
        EndpointList(4, True, [listed("a")]),
        EndpointList(0, False, [draining]),
    ]
    assert merge_lists(lists) == (4, True, [draining])
