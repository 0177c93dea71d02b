"""Attempts that may have run, by each ending: another one only as the class allows."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from limenotch.net import http1

from .helpers.http_peers import DELIVER, LOOK, Reader, Writer, read_response, reply
from .helpers.processes import run, with_sidecar
from .test_attempt_crossings import UNSAFE, Act, reset_connection, settings_with


async def whole_request(reader: Reader) -> None:
    parser = http1.RequestParser()
    while parser.take() is None:
        parser.feed(await reader.read(65536))


async def resets_after_the_request(reader: Reader, writer: Writer) -> None:
    await whole_request(reader)
    reset_connection(writer)


async def ends_after_the_request(reader: Reader, writer: Writer) -> None:
    await whole_request(reader)
    writer.close()


async def resets_an_answer_with_no_length(reader: Reader, writer: Writer) -> None:
    await whole_request(reader)
    writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf of it")
    await writer.drain()
    reset_connection(writer)


async def cuts_an_answer(reader: Reader, writer: Writer) -> None:
    await whole_request(reader)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf of it")
    writer.close()


async def answers_half_a_line(reader: Reader, writer: Writer) -> None:
    await whole_request(reader)
    writer.write(b"HTTP/1.1 503 Service Unav")
    writer.close()


async def rejects_with_half_a_body(reader: Reader, writer: Writer) -> None:
    await whole_request(reader)
    writer.write(b"HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 99\r\n\r\n")
    writer.close()


MAY_HAVE_RUN: list[Act] = [
    resets_after_the_request,
    ends_after_the_request,
    resets_an_answer_with_no_length,
    cuts_an_answer,
    answers_half_a_line,
    rejects_with_half_a_body,
]
GROUPS: dict[str, tuple[dict[str, Any], bytes, int, int]] = {
    # settings, request, times that it reaches endpoints, status: two attempts are allowed, both endpoints of one zone
    "safe": ({}, LOOK, 2, 503),
    "once": (UNSAFE, DELIVER, 1, 502),
    "keyed, in its window": ({}, DELIVER, 2, 502),
    "of a keyed class, without a key": ({}, DELIVER.replace(b"Idempotency-Key: k\r\n", b""), 1, 502),
    "keyed, after its window": (settings_with(window_ms=1.0), DELIVER, 1, 502),
    "keyed everywhere, in its window": (settings_with(dedup_scope="all", window_ms=40_000.0), DELIVER, 2, 503),
    "keyed everywhere, its window ends before its client does": (settings_with(dedup_scope="all"), DELIVER, 2, 502),
    "keyed everywhere, after its window": (settings_with(dedup_scope="all", window_ms=1.0), DELIVER, 1, 502),
}


@pytest.mark.parametrize("act", MAY_HAVE_RUN)
@pytest.mark.parametrize("group", GROUPS)
def test_what_may_have_run_goes_out_again_only_as_its_class_allows(group: str, act: Act) -> None:
    settings, request, runs, status = GROUPS[group]
    seen = 0

    async def handler(reader: Reader, writer: Writer) -> None:
        nonlocal seen
        seen += 1
        await act(reader, writer)

    async def use(port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request)
        assert (await read_response(reader, http1.ResponseParser())).status == status
        writer.close()

    run(with_sidecar(handler, use, extra=settings))
    assert seen == runs


@pytest.mark.parametrize(("group", "status"), [("once", 409), ("safe", 200)])
def test_a_request_sent_once_more_under_its_id_runs_once_where_it_may(group: str, status: int) -> None:
    # Guards against a client whose answer was lost with its connection, and which sends the request once more.
    seen = 0

    async def handler(reader: Reader, writer: Writer) -> None:
        nonlocal seen
        await whole_request(reader)
        seen += 1
        writer.write(reply(200))
        writer.close()

    async def use(port: int) -> None:
        for expected in (200, status):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(GROUPS[group][1])
            assert (await read_response(reader, http1.ResponseParser())).status == expected
            writer.close()

    run(with_sidecar(handler, use, extra=GROUPS[group][0]))
    assert seen == (1 if group == "once" else 2)
