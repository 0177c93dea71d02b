"""From SIGTERM to the end of the process: what is owed at each stage, and that it is paid before SIGKILL may come."""

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

PATIENT = Tuning(request_s=60.0, idle_s=60.0)  # only leaving ends anything
BIG = DELIVER.replace(
    b"Content-Length: 3\r\n\r\ndoc", b"Content-Length: %d\r\n\r\n" % (3 * MAX_BUFFERED_BODY_BYTES)
) + bytes(3 * MAX_BUFFERED_BODY_BYTES)
OF_OLD_S = 1.8  # keep_s: connections were served on for so long, whatever the deadlines


def deadlines(seconds: float) -> dict[str, Any]:
    """The tests' settings with these deadlines."""
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


@given(st.floats(0.001, 3600.0), st.floats(0.001, 3600.0), st.floats(0.0, 3600.0), st.booleans())
def test_whatever_the_settings_all_is_over_before_the_kill(
    longest: float, accept: float, more: float, handed_on: bool
) -> None:
    counted = min(longest, MAX_KILL_DELAY_S)
    times = schedule(longest, accept, accept + more, handed_on)
    assert 0.0 <= times.accept_s <= times.close_s < times.answer_s < times.end_s < counted + KILL_GRACE_S
    assert times.answer_s - times.close_s >= counted / 2 - 1e-9  # an honest chance for who comes last
    assert times.wait_s >= longest + times.end_s  # calls taken before, and answers that have begun
    if not handed_on:
        assert times.accept_s >= min(accept, 0.5) - 1e-9  # new connections keep arriving for 0.4 s


def test_short_deadlines_all_connections_end_in_order_before_the_kill() -> None:
    # Guards what SIGKILL finds: the stages were fixed times, beyond the kill where deadlines are under a second.
    # One client sends on while its connection stays open, one rests, one never closes, one has sent half a request,
    # one waits for an endpoint that hangs.
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
            """How many were answered. An end may cross the last one: then it was not sent on."""
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
                keep = (await read_response(reader, parser)).keep_alive  # fails where it does not come whole
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
            assert monotonic() - began < OF_OLD_S
            ended.append(began)
            staying[1].close()

        ended: list[float] = []
        tuning, more = Settings(clients=PATIENT), {"settings": deadlines(0.3)}
        await with_sidecar(handle, use, stops_by_itself=True, settings=tuning, extra=more)
        assert monotonic() - ended[0] < OF_OLD_S
        assert not any(b"Id: half" in request for request in seen)

    run(case())


def test_an_answer_that_has_begun_is_not_cut_off_by_our_own_end(monkeypatch: pytest.MonkeyPatch) -> None:
    # Whether SIGKILL comes is not ours to say; a process that ends by itself loses what it has not answered.
    left, leave = list[bool](), ClientListener.shut_down

    async def leaves(self: ClientListener, *given: Any) -> None:
        await leave(self, *given)
        left.append(True)  # the program ends

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


def test_sigterm_twice_and_nothing_open_ends_once_the_last_connections_have_arrived() -> None:
    async def case() -> None:
        began: list[float] = []

        async def use(port: int) -> None:
            began.append(monotonic())
            os.kill(os.getpid(), signal.SIGTERM)
            assert (await fetch(port, LOOK)).status == 200  # one that comes late
            os.kill(os.getpid(), signal.SIGTERM)

        await with_sidecar(replying(reply(200))[0], use, stops_by_itself=True)
        assert monotonic() - began[0] < OF_OLD_S

    run(case())


@pytest.mark.parametrize(("sent", "answers"), [(UP, 1), (UP * 3, 3)], ids=["one", "more has come"])
def test_while_closing_the_last_answer_to_what_has_come_says_so(sent: bytes, answers: int) -> None:
    # Guards the end: who only asks whether we are ready kept its connection up to the kill.
    async def use(connections: Connections) -> None:
        sock, _ = await connections.client()
        connections.listener.draining = True
        sock.sendall(sent)
        said = await read_from(sock)
        assert said.count(b"HTTP/1.1 200 ") == answers and said.count(b"Connection: close") == 1
        sock.close()

    run(with_connections(use, PATIENT))


def test_a_connection_whose_answer_was_worded_before_closing_began_ends_after_it() -> None:
    async def use(connections: Connections) -> None:
        sock, consumer = await connections.client()
        written = consumer._write

        async def write(response: bytes) -> None:
            await written(response)
            connections.listener.draining = True

        consumer._write = write  # type: ignore[method-assign]
        sock.sendall(UP)
        said = await read_from(sock)
        assert said.startswith(b"HTTP/1.1 200 ") and b"Connection: close" not in said
        sock.close()

    run(with_connections(use, PATIENT))


@pytest.mark.parametrize("part", [b"GET /ap", DELIVER[:-1], BIG[:-1]], ids=["head", "body", "long body"])
def test_a_request_that_is_not_whole_at_the_end_is_turned_off(part: bytes) -> None:
    # A long one has its call open: no endpoint has had its last byte, and none gets it.
    async def use(connections: Connections) -> None:
        sock, consumer = await connections.client()
        await asyncio.to_thread(sock.sendall, part)
        await wait_until(lambda: not consumer._parser.idle)
        if part == BIG[:-1]:
            await wait_until(lambda: bool(connections.request_manager.open))
        times = schedule(20.0, 0.5, 1.8)
        leaving = asyncio.create_task(connections.listener.shut_down(requested_at=monotonic() - times.answer_s))
        assert (await read_from(sock)).startswith(b"HTTP/1.1 503 ")
        assert not connections.request_manager.open
        sock.close()
        await leaving
        assert connections.budget.used == 0

    run(with_connections(use, PATIENT))


def test_connections_that_linger_do_not_hold_up_the_end() -> None:
    async def use(connections: Connections) -> None:
        sock, _ = await connections.client()
        times = schedule(20.0, 0.5, 1.8)
        await connections.listener.shut_down(requested_at=monotonic() - times.end_s)
        assert not connections.listener._open
        assert await read_from(sock) == b""
        sock.close()

    run(with_connections(use, PATIENT))


def test_deadlines_that_change_while_leaving_change_no_time() -> None:
    # SIGKILL counts from what was in force at SIGTERM.
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

    run(with_connections(use, PATIENT))


@pytest.mark.parametrize(
    ("effect", "status", "runs"), [("idempotent", 200, 2), ("deduplicated", 200, 2), ("at_most_once", 502, 1)]
)
def test_what_is_under_way_at_sigterm_goes_again_only_as_its_class_allows(effect: str, status: int, runs: int) -> None:
    # Guards once-only work in the one moment in which a process ends and an endpoint hangs up.
    classes = [{**SETTINGS["classes"][1], "effect": effect}]  # type: ignore[index]

    async def case() -> None:
        first, told = asyncio.Event(), asyncio.Event()
        seen = 0

        async def handle(reader: Reader, writer: Writer) -> None:
            nonlocal seen
            await reader.readuntil(b"doc")
            seen += 1
            if seen == 1:
                first.set()
                await told.wait()
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
            told.set()
            parser = http1.ResponseParser()
            assert (await read_response(reader, parser)).status == status
            assert await reader.read() == b""  # the one answer, and the end in order
            writer.close()

        await with_sidecar(handle, use, stops_by_itself=True, extra={"settings": {**SETTINGS, "classes": classes}})
        assert seen == runs

    run(case())
