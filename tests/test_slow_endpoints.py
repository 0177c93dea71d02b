"""Endpoints that read a long request or write a long response slowly: in time, and not cut off."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from time import monotonic

import pytest

from limenotch.load_balancer_types import AttemptEnding
from limenotch.net import http1
from limenotch.net.upload_clock import MAX_UNSEEN_BYTES, UploadClock

from .helpers.http_peers import Handler, Reader, Writer
from .helpers.measured_sidecar import SETTINGS
from .helpers.processes import Processes, free_port, run
from .test_attempt_crossings import AT_MOST_ONCE, PoolWithEndpoint, make_attempt, make_request

BUDGET_S = 0.6
LATE_RESPONSE_S = 0.5  # by the platform's pages a response is lost if it is later than that
BODY_BYTES = 1_000_000
READ_BYTES_PER_S = 200_000
PIECE_S = 0.05
READ_AHEAD_BYTES = 4096  # of what asyncio reads ahead of a handler
HEAD = (
    b"POST /api HTTP/1.1\r\nHost: s\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Caller: a\r\nX-Budget: %dm\r\n"
    b"Idempotency-Key: k\r\n"
)


async def read_slowly(reader: Reader, writer: Writer) -> None:
    """An endpoint that reads a request at READ_BYTES_PER_S and then responds."""
    parser = http1.RequestParser(http1.MAX_STREAMED_BODY_BYTES)
    with contextlib.suppress(OSError):
        while (request := parser.take()) is None:
            data = await reader.read(int(READ_BYTES_PER_S * PIECE_S))
            if not data:
                break
            parser.feed(data)
            await asyncio.sleep(PIECE_S)
        if request is not None:
            writer.write(http1.write_response(200, [], b"late"))
        writer.close()


async def write_slowly(reader: Reader, writer: Writer) -> None:
    """An endpoint whose long response takes several times the request's budget."""
    with contextlib.suppress(OSError):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES)
        for _ in range(20):
            writer.write(b"s" * (BODY_BYTES // 20))
            await writer.drain()
            await asyncio.sleep(0.15)
        writer.close()


async def serve_with(folder: Path, handler: Handler, use: Callable[[int], Awaitable[None]]) -> None:
    server = await asyncio.start_server(handler, "127.0.0.1", 0, limit=READ_AHEAD_BYTES)
    server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    port = free_port()
    raw = {
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{free_port()}",
        "known": {
            "index": 3,
            "snapshot": True,
            "endpoints": [{"name": "a", "address": address, "zone": "a", "status": "in_service"}],
        },
        "settings": SETTINGS,
    }
    processes = Processes(folder)
    try:
        await processes.serve(raw, keep_folder=False)
        await use(port)
    finally:
        await processes.kill_all()
        server.close()


@pytest.mark.parametrize("traffic_class", [b"look", b"once"])
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_the_time_of_a_long_request_runs_from_its_last_byte_also_while_its_endpoint_reads_slowly(
    framing: str, traffic_class: bytes, tmp_path: Path
) -> None:
    async def use(port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = HEAD % (b"r1", traffic_class, int(BUDGET_S * 1000))
        if framing == "length":
            wire = head + b"Content-Length: %d\r\n\r\n" % BODY_BYTES + b"x" * BODY_BYTES
        else:
            wire = head + b"Transfer-Encoding: chunked\r\n\r\n" + http1.chunk(b"x" * BODY_BYTES) + http1.LAST_CHUNK
        writer.write(wire)
        while writer.transport.get_write_buffer_size():  # its kernel has the last byte then
            await asyncio.sleep(0.005)
        sent_at = monotonic()
        async with asyncio.timeout(10):
            status_line = await reader.readline()
        assert monotonic() - sent_at <= BUDGET_S + LATE_RESPONSE_S
        assert status_line.split()[1] in (b"502", b"503", b"504")
        writer.close()

    run(serve_with(tmp_path, read_slowly, use))


def test_a_long_response_that_is_written_slowly_is_not_cut_off_at_the_deadline(tmp_path: Path) -> None:
    async def fetch_one(port: int, number: int) -> int:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        budget_ms = 290 + number  # the deadline falls around the moment from which the response is forwarded
        head = HEAD.replace(b"POST", b"GET") % (b"w%d" % number, b"look", budget_ms)
        writer.write(head + b"\r\n")
        received = await reader.read(65536)
        while data := await reader.read(65536):
            received += data
            if len(received.partition(b"\r\n\r\n")[2]) >= BODY_BYTES:
                break
        writer.close()
        return len(received.partition(b"\r\n\r\n")[2])

    async def use(port: int) -> None:
        sizes = await asyncio.gather(*(fetch_one(port, number) for number in range(60)))
        assert sizes == [BODY_BYTES] * 60

    run(serve_with(tmp_path, write_slowly, use))


def test_held_back_time_counts_only_near_the_end_of_a_body() -> None:
    long, chunked = UploadClock(3 * MAX_UNSEEN_BYTES), UploadClock(None)
    for clock in (long, chunked):
        clock.received(1000)
        clock.hold(1.0)
        clock.release(2.0)
    assert (long.may_be_sent, long.held_s) == (False, 0.0)
    assert (chunked.may_be_sent, chunked.held_s) == (True, 1.0)
    for clock in (long, chunked):
        clock.received(2 * MAX_UNSEEN_BYTES + 1)
        clock.hold(5.0)
        clock.release(5.5)
        clock.received(3 * MAX_UNSEEN_BYTES)
        assert clock.held_s == 0.5


def test_a_deadline_in_the_turn_in_which_forwarding_starts_does_not_cut_a_response_off() -> None:
    async def case() -> None:
        pool = PoolWithEndpoint()
        await pool.start()
        attempt = make_attempt(make_request(AT_MOST_ONCE))
        pool.pool.start(attempt)
        await pool.received.get()
        connection = pool.pool._used[attempt]
        connection._head = http1.Message([], {}, status=200, length=BODY_BYTES)
        assert connection.start_forwarding()
        pool.pool._force_end(attempt, AttemptEnding.TIMED_OUT)
        assert not connection.stream.closed()
        pool.pool.cancel(attempt)
        assert connection.stream.closed()

    run(case())
