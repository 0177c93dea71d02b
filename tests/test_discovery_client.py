"""The directory's watch, on loopback sockets: ended, moved, silent, indented, cut anywhere."""

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
def test_lists_may_be_indented_and_cut_anywhere(size: int) -> None:
    entry = {"name": "a{", "address": "127.0.0.1:1", "status": "in_service"}
    lists = [
        {"index": 7, "snapshot": True, "endpoints": [entry, {**entry, "name": "b"}]},
        {"index": 8, "snapshot": False, "endpoints": [{**entry, "status": "terminating"}]},
    ]
    body = b"\n\n".join(json.dumps(one, indent=2).encode() for one in lists)  # and no end of the last line

    async def case() -> None:
        heard, broken = asyncio.Queue[tuple[list[DiscoveredEndpoint], bool]](), asyncio.Queue[None]()

        async def handler(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + b"".join(chunk(body[at : at + size]) for at in range(0, len(body), size)))
            await reader.read()

        server = await asyncio.start_server(handler, "127.0.0.1", 0)
        watched = DiscoveryClient(
            server.sockets[0].getsockname(), lambda *told: heard.put_nowait(told), lambda: broken.put_nowait(None)
        )
        watched.watch()
        # How many lists are told as one depends on how they come; the first is whole, and the last word counts.
        held, first = dict[str, str](), True
        while held.get("a{") != "terminating":
            entries, whole = await heard.get()
            assert whole is first
            held.update((p.name, p.status.value) for p in entries)
            first = False
        assert held == {"a{": "terminating", "b": "in_service"}
        assert heard.empty() and broken.empty()

    run(case())


def test_a_watch_that_owes_the_end_of_a_list_is_silent() -> None:
    # Guards against a watch that empty lines keep alive while all that it brings would go to a list without an end.
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


def test_a_move_is_tried_again_before_the_module_hears_of_it(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(schedule, "MOVE_GRACE_S", 2.0)
    monkeypatch.setattr(schedule, "MAX_BACKOFFS_S", (0.01, 0.01, 0.01))

    async def case() -> None:
        broken, asked = asyncio.Queue[None](), 0

        async def handler(reader: Reader, writer: Writer) -> None:
            nonlocal asked
            asked += 1
            writer.close()

        server = await asyncio.start_server(handler, "127.0.0.1", 0)
        watched = DiscoveryClient(("127.0.0.1", free_port()), lambda *_: None, lambda: broken.put_nowait(None))
        watched.watch()
        await broken.get()
        watched.move(server.sockets[0].getsockname())
        await broken.get()
        assert asked >= 12 and broken.empty()
        watched.close()

    run(case())


def test_a_watch_that_ends_is_told_once_and_resumed_by_version() -> None:
    async def case() -> None:
        asked, heard, broken = list[bytes](), list[tuple[list[DiscoveredEndpoint], bool]](), asyncio.Queue[None]()
        lines = (
            b'{"index":7,"snapshot":true,"endpoints":[{"name":"a"},{"name":"b","address":"127.0.0.1:1",'
            b'"status":"odd"}]}\nnot json\n\n'
        )
        answers = [
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(lines), lines),
            b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        ]

        async def handler(reader: Reader, writer: Writer) -> None:
            asked.append((await reader.readuntil(b"\r\n\r\n")).split(b" ")[1])
            writer.write(answers[len(asked) - 1])
            writer.close()

        server = await asyncio.start_server(handler, "127.0.0.1", 0)
        directory = DiscoveryClient(
            server.sockets[0].getsockname(), lambda *told: heard.append(told), lambda: broken.put_nowait(None)
        )
        for _ in answers:
            directory.watch()
            directory.watch()  # no second one beside it
            await broken.get()
        assert broken.empty() and heard == [([], True)]
        assert asked == [b"/discovery/hosts?follow=1", b"/discovery/hosts?follow=1&since=7"]

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
def test_odd_lists_crash_nothing(raw: Any) -> None:
    told = parse_list(raw)
    assert told is None or told[2] == []


def test_a_reload_follows_the_file_at_once_and_survives_a_faulty_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against ending on SIGHUP, and against the module's wait before it asks a directory again.
    async def case() -> None:
        asked, moved = asyncio.Queue[bytes](), asyncio.Queue[bytes]()

        def directory(queue: asyncio.Queue[bytes]) -> Handler:
            async def handler(reader: Reader, writer: Writer) -> None:
                queue.put_nowait((await reader.readuntil(b"\r\n\r\n")).split(b" ")[1])
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                if await reader.read() == b"":
                    queue.put_nowait(b"end")

            return handler

        servers = [await asyncio.start_server(directory(q), "127.0.0.1", 0) for q in (asked, moved)]
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


def test_changes_that_come_together_are_told_as_one_with_the_last_word_on_each() -> None:
    draining = listed("a", DiscoveryStatus.TERMINATING)
    assert merge_lists([]) is None
    assert merge_lists([EndpointList(1, False, [listed("a"), listed("b")]), EndpointList(2, False, [draining])]) == (
        2,
        False,
        [draining, listed("b")],
    )
    # A whole list takes the place of all that came before it, and changes after it leave it whole.
    came = [
        EndpointList(1, False, [listed("x")]),
        EndpointList(4, True, [listed("a")]),
        EndpointList(0, False, [draining]),
    ]
    assert merge_lists(came) == (4, True, [draining])
