"""Attempts that the endpoint may have executed, by their ending: retried only where the class allows."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from limenotch.net import http1

from .helpers.http_peers import DELIVER, LOOK, Reader, Writer, read_response, reply
from .helpers.processes import run, with_sidecar
from .test_attempt_crossings import UNSAFE, Act, reset_connection, settings_with


async def read_request(reader: Reader) -> None:
    parser = http1.RequestParser()
    while parser.take() is None:
        parser.feed(await reader.read(65536))


async def reset_after_request(reader: Reader, writer: Writer) -> None:
    await read_request(reader)
    reset_connection(writer)


async def close_after_request(reader: Reader, writer: Writer) -> None:
    await read_request(reader)
    writer.close()


async def reset_during_response_without_length(reader: Reader, writer: Writer) -> None:
    await read_request(reader)
    writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf of it")
    await writer.drain()
    reset_connection(writer)


async def close_during_response(reader: Reader, writer: Writer) -> None:
    await read_request(reader)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf of it")
    writer.close()


async def close_during_status_line(reader: Reader, writer: Writer) -> None:
    await read_request(reader)
    writer.write(b"HTTP/1.1 503 Service Unav")
    writer.close()


async def reject_with_truncated_body(reader: Reader, writer: Writer) -> None:
    await read_request(reader)
    writer.write(b"HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 99\r\n\r\n")
    writer.close()


ENDINGS_AFTER_POSSIBLE_EXECUTION: list[Act] = [
    reset_after_request,
    close_after_request,
    reset_during_response_without_length,
    close_during_response,
    close_during_status_line,
    reject_with_truncated_body,
]
CASES: dict[str, tuple[dict[str, Any], bytes, int, int]] = {
    # settings, request, arrivals at endpoints, status; two attempts are allowed, both endpoints are in one zone
    "safe": ({}, LOOK, 2, 503),
    "once": (UNSAFE, DELIVER, 1, 502),
    "keyed, in its window": ({}, DELIVER, 2, 502),
    "of a keyed class, without a key": ({}, DELIVER.replace(b"Idempotency-Key: k\r\n", b""), 1, 502),
    "keyed, after its window": (settings_with(window_ms=1.0), DELIVER, 1, 502),
    "keyed everywhere, in its window": (settings_with(dedup_scope="all", window_ms=40_000.0), DELIVER, 2, 503),
    "keyed everywhere, its window ends before its client does": (settings_with(dedup_scope="all"), DELIVER, 2, 502),
    "keyed everywhere, after its window": (settings_with(dedup_scope="all", window_ms=1.0), DELIVER, 1, 502),
}


@pytest.mark.parametrize("act", ENDINGS_AFTER_POSSIBLE_EXECUTION)
@pytest.mark.parametrize("case", CASES)
def test_an_attempt_that_may_have_run_is_retried_only_if_its_class_allows(case: str, act: Act) -> None:
    settings, request, expected_arrivals, status = CASES[case]
    arrivals = 0

    async def handler(reader: Reader, writer: Writer) -> None:
        nonlocal arrivals
        arrivals += 1
        await act(reader, writer)

    async def use(port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request)
        assert (await read_response(reader, http1.ResponseParser())).status == status
        writer.close()

    run(with_sidecar(handler, use, extra=settings))
    assert arrivals == expected_arrivals


@pytest.mark.parametrize(("case", "status"), [("once", 409), ("safe", 200)])
def test_a_request_repeated_under_its_id_runs_again_only_if_idempotent(case: str, status: int) -> None:
    # Guards against double execution when a client lost the response with its connection and repeats the request.
    arrivals = 0

    async def handler(reader: Reader, writer: Writer) -> None:
        nonlocal arrivals
        await read_request(reader)
        arrivals += 1
        writer.write(reply(200))
        writer.close()

    async def use(port: int) -> None:
        for expected in (200, status):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(CASES[case][1])
            assert (await read_response(reader, http1.ResponseParser())).status == expected
            writer.close()

    run(with_sidecar(handler, use, extra=CASES[case][0]))
    assert arrivals == (1 if case == "once" else 2)
