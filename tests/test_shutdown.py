"""Graceful shutdown: what happens to connections and requests at each step, and that it ends before SIGKILL."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
from time import monotonic
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limenotch.balancing.settings import read_settings
from limenotch.net import http1
from limenotch.net.client_listener import ClientListener
from limenotch.net.pipe import MAX_BUFFERED_BODY_BYTES
from limenotch.net.shutdown_schedule import KILL_GRACE_S, MAX_KILL_DELAY_S, Schedule, schedule
from limenotch.settings import ClientSettings as Tuning
from limenotch.settings import Settings

from .helpers.connections import UP, Connections, read_from, wait_until, with_connections
from .helpers.http_peers import DELIVER, LOOK, SETTINGS, Reader, Writer, fetch, read_response, reply, replying
from .helpers.processes import run, with_sidecar

LONG_TIMEOUTS = Tuning(request_s=60.0, idle_s=60.0)  # so that only a shutdown ends connections
BIG = DELIVER.replace(
    b"Content-Length: 3\r\n\r\ndoc", b"Content-Length: %d\r\n\r\n" % (3 * MAX_BUFFERED_BODY_BYTES)
) + bytes(3 * MAX_BUFFERED_BODY_BYTES)
KEEP_S = 1.8  # connections were once kept for so long, whatever the deadlines


def deadlines(seconds: float) -> dict[str, Any]:
    """The settings of the tests, with this deadline for all classes."""
    limits = {"target_ms": seconds * 500.0, "hard_limit_ms": seconds * 1000.0}
    classes = [{**cls, **limits} for cls in json.loads(json.dumps(SETTINGS["classes"]))]
    return {**SETTINGS, "classes": classes}


@pytest.mark.parametrize(
    ("longest", "expected"),
    [
        (0.3, Schedule(0.5, 0.65, 0.8, 0.9, 1.2)),
        (1.0, Schedule(0.5, 1.0, 1.5, 1.6, 2.6)),
        (3.0, Schedule(0.5, 1.8, 3.5, 3.6, 6.6)),
        (10.0, Schedule(0.5, 1.8, 3.5, 3.6, 13.6)),
    ],
)
def test_the_schedule_follows_from_the_longest_deadline(longest: float, expected: Schedule) -> None:
    assert schedule(longest, 0.5, 1.8) == pytest.approx(expected)
    assert schedule(longest, 0.5, 1.8, handed_over=True) == pytest.approx(expected._replace(accept_s=0.0))


@pytest.mark.parametrize("longest", [0.5, 1.0, 3.0, 20.0])
def test_a_process_with_another_on_standby_serves_for_long_and_ends_well_before_the_kill(longest: float) -> None:
    times = schedule(longest, 0.5, 1.8, standby=True)
    kill_s = min(longest, MAX_KILL_DELAY_S) + KILL_GRACE_S
    assert 0.0 < times.accept_s == times.close_s < times.answer_s < times.end_s == times.wait_s <= kill_s - 0.3
    assert times.answer_s - times.accept_s == pytest.approx(min(longest / 2, 1.0))


@given(st.floats(0.001, 3600.0), st.floats(0.001, 3600.0), st.floats(0.0, 3600.0), st.booleans())
def test_the_shutdown_ends_before_the_kill_whatever_the_settings(
    longest: float, accept: float, more: float, handed_over: bool
) -> None:
    counted = min(longest, MAX_KILL_DELAY_S)
    times = schedule(longest, accept, accept + more, handed_over)
    assert 0.0 <= times.accept_s <= times.close_s < times.answer_s < times.end_s < counted + KILL_GRACE_S
    assert times.answer_s - times.close_s >= counted / 2 - 1e-9  # enough time for the last request
    assert times.wait_s >= longest + times.end_s  # requests accepted before, and responses that have begun
    if not handed_over:
        assert times.accept_s >= min(accept, 0.5) - 1e-9  # new connections keep arriving for 0.4 s


def test_with_short_deadlines_all_connections_end_in_order_before_the_kill() -> None:
    # The steps once had fixed times, after SIGKILL if deadlines were under a second. One client sends requests until
    # its connection ends, one is idle, one never closes its connection, one has sent half a request, and one waits for
    # an endpoint that hangs.
    async def case() -> None:
        hanging, seen = asyncio.Event(), list[bytes]()

        async def handle(reader: Reader, writer: Writer) -> None:
            while not reader.at_eof():
                request = await reader.readuntil(b"\r\n\r\n")
                seen.append(request)
                if b"Id: hangs" in request:
                    hanging.set()
                    await reader.read()
                    break
                writer.write(reply(200))
            writer.close()

        async def sends_on(port: int) -> int:
            """How many requests were sent. The last may cross the end of the connection: then it is not forwarded."""
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            parser, number, keep = http1.ResponseParser(), 0, True
            while keep:
                number += 1
                writer.write(LOOK.replace(b"Id: 1", b"Id: s%d" % number))
                data = await reader.read(65536)
                if not data:
                    assert not any(b"Id: s%d\r\n" % number in request for request in seen)
                    break
                parser.feed(data)
                keep = (await read_response(reader, parser)).keep_alive  # fails if the response is not complete
            assert await reader.read() == b""
            writer.close()
            return number

        async def use(port: int) -> None:
            resting = await asyncio.open_connection("127.0.0.1", port)
            staying = await asyncio.open_connection("127.0.0.1", port)
            half = await asyncio.open_connection("127.0.0.1", port)
            half[1].write(LOOK.replace(b"Id: 1", b"Id: half")[:-2])
            waiting = asyncio.create_task(fetch(port, LOOK.replace(b"Id: 1", b"Id: hangs")))
            await hanging.wait()
            began = monotonic()
            os.kill(os.getpid(), signal.SIGTERM)
            sending = asyncio.create_task(sends_on(port))
            assert await resting[0].read() == b"" and await staying[0].read() == b""
            resting[1].close()
            assert (await half[0].read()).startswith(b"HTTP/1.1 503 ")
            half[1].close()
            assert (await waiting).status in (502, 503, 504)
            assert await sending > 1
            while True:
                try:
                    socket.create_connection(("127.0.0.1", port)).close()
                except OSError:
                    break
                await asyncio.sleep(0)
            assert monotonic() - began < KEEP_S
            ended.append(began)
            staying[1].close()

        ended: list[float] = []
        tuning, more = Settings(clients=LONG_TIMEOUTS), {"settings": deadlines(0.3)}
        await with_sidecar(handle, use, stops_by_itself=True, settings=tuning, extra=more)
        assert monotonic() - ended[0] < KEEP_S
        assert not any(b"Id: half" in request for request in seen)

    run(case())


def test_a_response_that_has_begun_is_completed_before_the_process_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    # SIGKILL may or may not follow; a process that ended on its own would truncate the response in any case.
    left, leave = list[bool](), ClientListener.shut_down

    async def leaves(self: ClientListener, *given: Any) -> None:
        await leave(self, *given)
        left.append(True)  # the program would end now

    async def case() -> None:
        monkeypatch.setattr(ClientListener, "shut_down", leaves)
        begun, release, size = asyncio.Event(), asyncio.Event(), 4 * MAX_BUFFERED_BODY_BYTES

        async def handle(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + bytes(size - 1))
            begun.set()
            await release.wait()
            writer.write(b"!")
            await reader.read()
            writer.close()

        async def use(port: int) -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(LOOK)
            await begun.wait()
            os.kill(os.getpid(), signal.SIGTERM)
            await reader.readuntil(b"\r\n\r\n")
            assert len(await reader.readexactly(size - 1)) == size - 1
            await asyncio.sleep(schedule(1.0, 0.5, 1.8).end_s + 0.1)
            assert not left
            release.set()
            assert await reader.read() == b"!"
            writer.close()

        await with_sidecar(handle, use, stops_by_itself=True, extra={"settings": deadlines(1.0)})
        assert left

    run(case())


def test_an_idle_process_ends_after_the_time_for_last_connections_also_after_a_second_sigterm() -> None:
    async def case() -> None:
        began: list[float] = []

        async def use(port: int) -> None:
            began.append(monotonic())
            os.kill(os.getpid(), signal.SIGTERM)
            assert (await fetch(port, LOOK)).status == 200  # on a connection opened after SIGTERM
            os.kill(os.getpid(), signal.SIGTERM)

        await with_sidecar(replying(reply(200))[0], use, stops_by_itself=True)
        assert monotonic() - began[0] < KEEP_S

    run(case())


@pytest.mark.parametrize(("sent", "answers"), [(UP, 1), (UP * 3, 3)], ids=["one", "more has come"])
def test_while_draining_the_last_response_announces_the_end_of_the_connection(sent: bytes, answers: int) -> None:
    # A client that sent only readiness checks once kept its connection until SIGKILL.
    async def use(connections: Connections) -> None:
        sock, _ = await connections.client()
        connections.listener.draining = True
        sock.sendall(sent)
        data = await read_from(sock)
        assert data.count(b"HTTP/1.1 200 ") == answers and data.count(b"Connection: close") == 1
        sock.close()

    run(with_connections(use, LONG_TIMEOUTS))


def test_a_connection_whose_response_was_composed_before_the_drain_ends_after_it() -> None:
    async def use(connections: Connections) -> None:
        sock, consumer = await connections.client()
        write_response = consumer._write

        async def write(response: bytes) -> None:
            await write_response(response)
            connections.listener.draining = True

        consumer._write = write  # type: ignore[method-assign]
        sock.sendall(UP)
        data = await read_from(sock)
        assert data.startswith(b"HTTP/1.1 200 ") and b"Connection: close" not in data
        sock.close()

    run(with_connections(use, LONG_TIMEOUTS))


@pytest.mark.parametrize("part", [b"GET /ap", DELIVER[:-1], BIG[:-1]], ids=["head", "body", "long body"])
def test_a_request_that_is_incomplete_at_the_end_is_rejected(part: bytes) -> None:
    # A long request is open already: no endpoint has received its last byte, and none will.
    async def use(connections: Connections) -> None:
        sock, consumer = await connections.client()
        await asyncio.to_thread(sock.sendall, part)
        await wait_until(lambda: not consumer.request_reader.parser.idle)
        if part == BIG[:-1]:
            await wait_until(lambda: bool(connections.request_manager.open))
        times = schedule(20.0, 0.5, 1.8)
        leaving = asyncio.create_task(connections.listener.shut_down(requested_at=monotonic() - times.answer_s))
        assert (await read_from(sock)).startswith(b"HTTP/1.1 503 ")
        assert not connections.request_manager.open
        sock.close()
        await leaving
        assert connections.budget.used == 0

    run(with_connections(use, LONG_TIMEOUTS))


def test_lingering_connections_do_not_delay_the_end() -> None:
    async def use(connections: Connections) -> None:
        sock, _ = await connections.client()
        times = schedule(20.0, 0.5, 1.8)
        await connections.listener.shut_down(requested_at=monotonic() - times.end_s)
        assert not connections.listener._open
        assert await read_from(sock) == b""
        sock.close()

    run(with_connections(use, LONG_TIMEOUTS))


def test_deadlines_that_change_during_a_shutdown_do_not_change_its_schedule() -> None:
    # The time of SIGKILL depends on the settings at SIGTERM.
    async def use(connections: Connections) -> None:
        leaving = asyncio.create_task(connections.listener.shut_down())
        await asyncio.sleep(0)
        last = connections.request_manager.last_deadline
        for seconds in (0.1, 100.0):
            connections.request_manager.execute(
                connections.request_manager.load_balancer.apply_settings(read_settings(deadlines(seconds)))
            )
            await asyncio.sleep(0)
            assert connections.request_manager.last_deadline == last
        leaving.cancel()

    run(with_connections(use, LONG_TIMEOUTS))


@pytest.mark.parametrize(
    ("effect", "status", "runs"), [("idempotent", 200, 2), ("deduplicated", 200, 2), ("at_most_once", 502, 1)]
)
def test_a_request_in_flight_at_sigterm_is_retried_only_if_its_class_allows(
    effect: str, status: int, runs: int
) -> None:
    # A request that may run only once must not be repeated if its endpoint resets the connection during a shutdown.
    classes = [{**SETTINGS["classes"][1], "effect": effect}]  # type: ignore[index]

    async def case() -> None:
        first, terminated = asyncio.Event(), asyncio.Event()
        seen = 0

        async def handle(reader: Reader, writer: Writer) -> None:
            nonlocal seen
            await reader.readuntil(b"doc")
            seen += 1
            if seen == 1:
                first.set()
                await terminated.wait()
                writer.transport.abort()
            else:
                writer.write(reply(200))
                await reader.read()
                writer.close()

        async def use(port: int) -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(DELIVER)
            await first.wait()
            os.kill(os.getpid(), signal.SIGTERM)
            terminated.set()
            parser = http1.ResponseParser()
            assert (await read_response(reader, parser)).status == status
            assert await reader.read() == b""  # only one response, and an orderly end
            writer.close()

        await with_sidecar(handle, use, stops_by_itself=True, extra={"settings": {**SETTINGS, "classes": classes}})
        assert seen == runs

    run(case())
