"""Connections to endpoints: parsing of what arrives, and when a connection may carry another request."""

from __future__ import annotations

import asyncio
import logging
import socket
from time import monotonic
from typing import Any

import pytest

from limenotch.load_balancer_types import AttemptEnding, DiscoveredEndpoint, DiscoveryStatus
from limenotch.net import http1
from limenotch.net.counted_stream import CountedStream
from limenotch.net.endpoint_connection import MAX_BUFFER_BYTES, EndpointConnection
from limenotch.net.endpoint_pool import EndpointPool
from limenotch.net.header_fields import budget_ms
from limenotch.net.pipe import BufferBudget
from limenotch.net.response_outcome import attempt_ending, load_report
from limenotch.settings import EndpointSettings

from .helpers.http_peers import Reader, Writer
from .helpers.processes import run
from .test_sidecar import RecordingRequestManager, make_attempt, unlimited_descriptors


def test_parsing_of_budgets_load_reports_and_rejections() -> None:
    assert (budget_ms(b"480m"), budget_ms(b"480000u")) == (480.0, 480.0)
    for text in (b"", b"m", b"480", b"-1m", b"0m", b"infm", b"1e400m"):
        with pytest.raises(http1.MalformedError):
            budget_ms(text)
    assert load_report(b"TEXT qps=3, util=0.5, latency_ms=x") == (0.5, 3.0)
    assert load_report(b"TEXT util=0.5") == (0.5, None)
    for text in (b"", b"util", b"TEXT util=x", b"util=nan", b"util=9e9", b"util=-1", b"\xff=,="):
        assert load_report(text) == (None, None)
    response = http1.Message([], {b"x-rejected": b"1"}, status=503)
    assert attempt_ending(response) is AttemptEnding.REJECTED
    response.status = 500
    assert attempt_ending(response) is AttemptEnding.ERROR


@pytest.mark.parametrize(
    "sent",
    [
        b"HTTP/1.1 200 OK\r\nX-Pad: p\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbo",
        b"HTTP/1.1 200 OK\r\n\r\nbo",
    ],
    ids=["endless head", "short body", "no length"],
)
def test_a_response_that_does_not_end_is_a_reset(sent: bytes) -> None:
    # Guards requests with time left for a retry, and clients: when the sidecar closed the connection itself, a
    # partial body without a length once counted as complete.

    async def case() -> None:
        request_manager, sockets = RecordingRequestManager(), unlimited_descriptors()

        async def handler(reader: Reader, writer: Writer) -> None:
            writer.write(sent)
            await reader.read()

        server = await asyncio.start_server(handler, "127.0.0.1", 0)
        pool = EndpointPool(request_manager, sockets, 9000.0, 9000.0, EndpointSettings(answer_s=0.0))
        pool.apply_list([DiscoveredEndpoint("a", server.sockets[0].getsockname(), DiscoveryStatus.IN_SERVICE)], True)
        pool.start(make_attempt(monotonic() + 20))
        assert await request_manager.endings.get() is AttemptEnding.RESET

    run(case())


@pytest.mark.parametrize(
    ("sent", "waiting_for", "announced", "received"),
    [
        (b"HTTP/1.1 200 OK\r\nX-Pad: p\r\n", "head", None, 0),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbo", "buffered body", 9, 2),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + bytes(70_000), "forwarded body", 100_000, 70_000),
    ],
    ids=["head", "buffered", "forwarded"],
)
def test_the_log_says_which_part_of_a_response_did_not_arrive(
    sent: bytes, waiting_for: str, announced: int | None, received: int, caplog: pytest.LogCaptureFixture
) -> None:
    async def case() -> None:
        local, remote = socket.socketpair()
        connection = EndpointConnection(
            CountedStream(local, BufferBudget(MAX_BUFFER_BYTES), MAX_BUFFER_BYTES),
            "a",
            ("127.0.0.1", 1),
            answer_s=0.05,
            stall_s=0.05,
        )
        connection.expect_response()
        reading = asyncio.create_task(connection.read())
        remote.sendall(sent)
        await reading
        remote.close()

    with caplog.at_level(logging.INFO):
        run(case())
    lines: list[Any] = [record.msg for record in caplog.records]
    given_up = [line for line in lines if isinstance(line, dict) and line["event"] == "response given up"]
    assert [(line["waiting_for"], line["announced"], line["received"]) for line in given_up] == [
        (waiting_for, announced, received)
    ]


def test_a_connection_with_unread_bytes_is_not_clean() -> None:
    # Guards against a duplicate response in the kernel buffer that would be taken for the next request's response.
    async def case() -> None:
        local, remote = socket.socketpair()
        connection = EndpointConnection(
            CountedStream(local, BufferBudget(MAX_BUFFER_BYTES), MAX_BUFFER_BYTES), "a", ("127.0.0.1", 1)
        )
        reading = asyncio.create_task(connection.read())
        await asyncio.sleep(0)
        assert connection.is_clean()
        remote.send(b"H")
        assert not connection.is_clean()
        await reading
        assert not connection.is_clean()

    run(case())


def test_a_connection_that_ended_idle_is_not_reusable() -> None:
    # Guards against writing a request to a connection that its endpoint has closed: it would end as a reset.
    async def case() -> None:
        local, remote = socket.socketpair()
        connection = EndpointConnection(
            CountedStream(local, BufferBudget(MAX_BUFFER_BYTES), MAX_BUFFER_BYTES), "a", ("127.0.0.1", 1)
        )
        remote.close()
        await connection.read()
        assert not connection.is_reusable(http1.Message([], {}, status=200))

    run(case())
