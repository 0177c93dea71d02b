"""The client of discovery on loopback: responses that end, hang, trickle or are invalid, and lack of descriptors."""

from __future__ import annotations

import asyncio
import os
import resource
import socket
import time
from collections.abc import Callable

import pytest

from limenotch.load_balancer_types import AttemptEnding, DiscoveredEndpoint, DiscoveryStatus
from limenotch.net.discovery import schedule
from limenotch.net.discovery.client import DiscoveryClient
from limenotch.net.endpoint_pool import EndpointPool

from .helpers.discovery_peer import CHUNKED, SILENCE_S, ScriptedDiscovery, WatchRecorder, chunk, list_document, run_case
from .helpers.http_peers import Reader, Writer
from .helpers.processes import run
from .test_sidecar import RecordingRequestManager, make_attempt, unlimited_descriptors


@pytest.mark.parametrize(
    "rest",
    [
        b'{"index": 8, "endp',  # a list that never ends, on one line
        b'{\n"index":\n8,\n',  # a list that never ends, on several lines
        None,  # the size line of a chunk that never ends
    ],
    ids=["line", "lines", "size"],
)
@pytest.mark.parametrize("listed", [True, False])
def test_trickling_bytes_that_complete_no_list_count_as_silence(rest: bytes | None, listed: bool) -> None:
    # Single bytes must not keep a watch alive that sends no list.
    async def body(peer: ScriptedDiscovery, held: WatchRecorder) -> None:
        call = await peer.requests.get()
        call.send(CHUNKED, chunk(list_document(7, "a")) if listed else b"")
        call.send(chunk(rest) if rest is not None else b"1;")

        async def trickle() -> None:
            while not call.writer.is_closing():
                call.send(chunk(b"x") if rest is not None else b"x")
                await asyncio.sleep(0.01)

        trickling = asyncio.create_task(trickle())
        await held.broken_watches.get()
        again = await peer.requests.get()
        assert again.target == b"/discovery/hosts?follow=1" + (b"&since=7" if listed else b"")
        trickling.cancel()

    run_case(body)


@pytest.mark.parametrize("listed", [True, False])
def test_a_list_that_is_not_json_is_requested_again(listed: bool) -> None:
    # If it were skipped, its changes would be missing until the end of the watch.
    async def body(peer: ScriptedDiscovery, held: WatchRecorder) -> None:
        call = await peer.requests.get()
        call.send(CHUNKED, chunk(list_document(7, "a")))
        assert await held.lists.get() == (["a"], True)
        if not listed:
            call.writer.close()
            call = await peer.requests.get()
            call.send(CHUNKED)
        call.send(chunk(b'{"index":8,"endpoints":oops}\n'))
        again = await peer.requests.get()
        # The changes since the last version if the watch has received a list; otherwise the same document might be
        # invalid again, so a complete list is requested.
        assert again.target == b"/discovery/hosts?follow=1" + (b"&since=7" if listed else b"")
        again.send(CHUNKED, chunk(list_document(5, "b")))  # a complete list is used although its index is older
        assert await held.lists.get() == (["b"], True)

    run_case(body, silence_s=30.0)


MANY = [f"endpoint-{number:05}" for number in range(16_000)]  # over 1 MiB as a list


@pytest.mark.parametrize(
    ("names", "head", "framed"),
    [
        (["a"], b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", lambda body: body),  # up to the end of the connection
        (["a"], b"HTTP/1.0 200 OK\r\n\r\n", lambda body: body),
        (["a"], b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", lambda body: body),
        (["a"], b"HTTP/1.1 100 Continue\r\n\r\n" + CHUNKED, chunk),
        (["a"], CHUNKED, lambda body: b"".join(chunk(body[at : at + 1]) for at in range(len(body)))),
        (MANY, CHUNKED, chunk),  # in one chunk
        (MANY, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", lambda body: body),
    ],
    ids=["close", "http10", "length", "interim", "bytes", "big chunk", "big length"],
)
def test_a_list_is_received_with_any_framing(names: list[str], head: bytes, framed: Callable[[bytes], bytes]) -> None:
    async def body(peer: ScriptedDiscovery, held: WatchRecorder) -> None:
        call = await peer.requests.get()
        listed = list_document(7, *names)
        call.send(head % len(listed) if b"%d" in head else head, framed(listed))
        assert await held.lists.get() == (names, True)
        call.writer.close()
        await held.broken_watches.get()  # its end is reported, and the next query continues from its version
        assert (await peer.requests.get()).target.endswith(b"since=7")

    run_case(body, silence_s=3.0)


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 500 Oops\r\nContent-Length: 80\r\n\r\n" + list_document(9, "x"),  # an error with a list as its body
        b"HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list_document(9, "x")),
        b"nonsense\r\n\r\n",
        b"",
    ],
    ids=["empty", "list", "chunked", "nonsense", "nothing"],
)
def test_an_error_response_is_not_used_and_is_followed_by_another_query(answer: bytes) -> None:
    async def body(peer: ScriptedDiscovery, held: WatchRecorder) -> None:
        call = await peer.requests.get()
        call.send(answer)
        if not answer:
            call.writer.close()
        again = await peer.requests.get()
        assert again.target == b"/discovery/hosts?follow=1" and held.lists.empty()
        assert held.broken_watches.qsize() == 1

    run_case(body, silence_s=3.0)


def test_a_connection_that_is_not_established_is_replaced_by_a_new_one(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(schedule, "LIST_TIMEOUT_S", 0.1)

    async def whole() -> None:
        broken = asyncio.Queue[None]()
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            at = listener.getsockname()
            with socket.create_connection(at):  # the queue is full: further connections are not established
                directory = DiscoveryClient(at, lambda *_: None, lambda: broken.put_nowait(None))
                directory.watch()
                await broken.get()
                await broken.get()
            listener.accept()[0].close()
            listener.setblocking(False)
            loop = asyncio.get_running_loop()
            for _ in range(3):  # connections that were given up may have been established meanwhile
                sock, _ = await loop.sock_accept(listener)
                asked = await loop.sock_recv(sock, 1000)
                sock.close()
                if asked:
                    break
            assert asked.startswith(b"GET /discovery/hosts?follow=1 ")
            directory.close()

    run(whole())


def test_a_query_that_hangs_is_retired_and_sent_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """For instance, discovery was restarted after it had received the query."""
    monkeypatch.setattr(schedule, "LIST_TIMEOUT_S", 0.1)

    async def body(peer: ScriptedDiscovery, held: WatchRecorder) -> None:
        first = await peer.requests.get()
        first.send(CHUNKED, chunk(b"\n"))  # an empty line is not a list
        (await peer.requests.get()).send(CHUNKED, chunk(list_document(1, "a")))
        assert await held.lists.get() == (["a"], True) and held.broken_watches.qsize() == 1
        await first.wait_closed()

    run_case(body, silence_s=30.0)


def test_a_retired_query_becomes_current_again_if_its_list_is_received_before_the_next_query(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Otherwise each sidecar would send a congested discovery one more query right after it has got its list.
    monkeypatch.setattr(schedule, "LIST_TIMEOUT_S", 0.1)

    async def body(peer: ScriptedDiscovery, held: WatchRecorder) -> None:
        call = await peer.requests.get()
        await held.broken_watches.get()
        call.send(CHUNKED, chunk(list_document(1, "a")))
        assert await held.lists.get() == (["a"], True)
        await asyncio.sleep(schedule.MAX_BACKOFFS_S[0] + 0.1)
        assert peer.requests.empty() and held.client.position()[1:3] == (1, True)
        call.send(chunk(list_document(2, "b", complete=False)))
        assert await held.lists.get() == (["b"], False)
        call.writer.close()  # its end is handled as that of any watch
        await held.broken_watches.get()
        assert (await peer.requests.get()).target == b"/discovery/hosts?follow=1&since=2"

    run_case(body, silence_s=3.0)


def test_bytes_received_in_time_are_processed_before_a_timer_that_has_expired() -> None:
    """The process was paused for longer than the silence that ends a watch, but the list had arrived in time."""

    async def body(peer: ScriptedDiscovery, held: WatchRecorder) -> None:
        call = await peer.requests.get()
        call.send(CHUNKED, chunk(list_document(7, "a")))
        assert await held.lists.get() == (["a"], True)
        call.send_immediately(chunk(list_document(8, "b", complete=False)))
        time.sleep(1.5 * SILENCE_S)
        assert await held.lists.get() == (["b"], False)
        assert held.broken_watches.empty()

    run_case(body)


def test_a_watch_that_ends_at_once_causes_no_additional_query() -> None:
    async def body(peer: ScriptedDiscovery, held: WatchRecorder) -> None:
        for index in range(1, 4):
            call = await peer.requests.get()
            held.client.watch()  # the load balancer may request the watch at any time
            call.send(CHUNKED, chunk(list_document(index, "a")), b"0\r\n\r\n")
            await call.wait_closed()
            held.client.watch()
            assert await held.lists.get() == (["a"], True)
            assert peer.requests.empty() and held.broken_watches.qsize() == index

    run_case(body, silence_s=3.0)


def test_an_exception_in_the_callback_for_failures_does_not_end_the_queries() -> None:
    # An exception in the load balancer's backoff once ended the task of the watch, and no query followed.
    async def whole() -> None:
        peer = ScriptedDiscovery()

        def broken() -> None:
            raise OverflowError

        directory = DiscoveryClient(await peer.start(), lambda *_: None, broken)
        directory.watch()
        (await peer.requests.get()).writer.close()
        await peer.requests.get()
        directory.close()

    run(whole())


def test_nothing_is_sent_to_an_endpoint_that_a_complete_list_omits_while_an_attempt_connects() -> None:
    """As if it were listed as terminated, although it still accepts connections."""

    async def whole() -> None:
        calls, seen = RecordingRequestManager(), asyncio.Queue[bytes]()

        async def handler(reader: Reader, writer: Writer) -> None:
            seen.put_nowait(await reader.read())

        server = await asyncio.start_server(handler, "127.0.0.1", 0)
        pool = EndpointPool(calls, unlimited_descriptors(), 9000.0, 9000.0)
        pool.apply_list([DiscoveredEndpoint("a", server.sockets[0].getsockname(), DiscoveryStatus.IN_SERVICE)], True)
        pool.start(make_attempt(time.monotonic() + 20))
        await asyncio.sleep(0)  # the attempt's task runs until it waits for the connection
        pool.apply_list([DiscoveredEndpoint("b", ("127.0.0.1", 1), DiscoveryStatus.IN_SERVICE)], True)
        assert await calls.endings.get() is AttemptEnding.NOT_SENT and await seen.get() == b""
        assert not pool.knows("a")

    run(whole())


def test_a_descriptor_is_reserved_for_discovery() -> None:
    """All other descriptors are in use when a query starts; connections in the listener's queue need none."""

    async def whole() -> None:
        loop = asyncio.get_running_loop()
        listener, fillers = socket.create_server(("127.0.0.1", 0)), list[int]()
        directory = DiscoveryClient(listener.getsockname(), lambda *_: None, lambda: None)
        there = loop.create_future()
        loop.add_reader(listener, lambda: None if there.done() else there.set_result(None))
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        probe = os.open(os.devnull, os.O_RDONLY)
        fillers.append(probe)
        resource.setrlimit(resource.RLIMIT_NOFILE, (probe + 8, hard))
        try:
            with pytest.raises(OSError):
                while True:
                    fillers.append(os.open(os.devnull, os.O_RDONLY))
            directory.watch()
            await there
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            for filler in fillers:
                os.close(filler)
        loop.remove_reader(listener)
        listener.setblocking(False)
        sock, _ = await loop.sock_accept(listener)
        assert (await loop.sock_recv(sock, 1000)).startswith(b"GET /discovery/hosts?follow=1 ")
        sock.close()
        listener.close()
        directory.close()

    run(whole())
