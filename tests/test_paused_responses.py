"""Responses whose endpoint pauses while it sends them, as a slow peer does: they are neither cut off nor held back."""

from __future__ import annotations

import asyncio
from time import monotonic, sleep
from typing import Any

import pytest

from limenotch.balancing.balancer_state import BURST_REQUESTS
from limenotch.net.pipe import MAX_BUFFERED_BODY_BYTES
from limenotch.settings import EndpointSettings, Settings

from .helpers.http_peers import LOOK, SETTINGS, Handler, Reader, Writer, fetch, with_new_id
from .helpers.processes import run, with_sidecar
from .test_streamed_responses import BODY, FRAMINGS, OK, POST, encode_chunked, read_streamed_response

PAUSE_S = 0.9  # well above `answer_s`, 0.5 s by default
FIRST_PIECE_BYTES = 16 * 1024  # less than what is buffered of any response
LONG = OK + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY


def pausing(*parts: bytes | float) -> tuple[Handler, list[bool]]:
    """An endpoint that sends these parts, pausing for the numbers (s) among them, and for each run whether it could."""
    runs: list[bool] = []

    async def handle(reader: Reader, writer: Writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        number = len(runs)
        runs.append(False)
        for part in parts:
            if isinstance(part, bytes):
                writer.write(part)
                await writer.drain()
            else:
                await asyncio.sleep(part)
        runs[number] = not writer.is_closing() and not reader.at_eof()
        writer.close()

    return handle, runs


def check_received_once(
    wire: bytes,
    body: bytes,
    *parts: bytes | float,
    settings: Settings | None = None,
    extra: dict[str, Any] | None = None,
) -> None:
    """Checks that the client gets `body` in response to `wire`, from the first run at an endpoint that was not cut."""
    handler, runs = pausing(*parts)

    async def use(port: int) -> None:
        head, received, complete = await read_streamed_response(port, wire)
        assert head is not None and (head.status, complete) == (200, True)
        assert received == body

    run(with_sidecar(handler, use, settings=settings or Settings(), extra=extra))
    assert runs == [True]


def stopping_once(sent: bytes) -> tuple[Handler, list[Writer]]:
    """An endpoint whose first run sends `sent` and no more; further ones send a complete response. And its runs."""
    runs: list[Writer] = []

    async def handle(reader: Reader, writer: Writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        runs.append(writer)
        if len(runs) == 1:
            writer.write(sent)
            await reader.read()  # up to the end of the connection
        else:
            writer.write(OK + b"Transfer-Encoding: chunked\r\n\r\n" + encode_chunked(b"whole", 5))
        writer.close()

    return handle, runs


async def fetch_whole(port: int) -> None:
    """Checks that the client gets the complete response of `stopping_once`."""
    head, body, complete = await read_streamed_response(port, LOOK)
    assert head is not None and (head.status, body, complete) == (200, b"whole", True)


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("place", ["after the head", "within the body"])
def test_a_long_response_that_pauses_early_is_not_cut_off(framing: str, place: str) -> None:
    # Guards review/2: forwarding was considered only when a piece arrived, so the limit of buffered ones struck first.
    wire = FRAMINGS[framing]
    cut = wire.index(b"\r\n\r\n", wire.index(b" 200 ")) + 4 if place == "after the head" else FIRST_PIECE_BYTES
    check_received_once(LOOK, BODY, wire[:cut], PAUSE_S, wire[cut:])


def test_a_long_response_that_its_deadline_has_forwarded_may_pause() -> None:
    # Guards against the limit of a buffered response that went on after the deadline had the response forwarded.
    wire = LOOK.replace(b"X-Budget: 20000m", b"X-Budget: 250m")
    check_received_once(wire, BODY, 0.1, LONG[:FIRST_PIECE_BYTES], PAUSE_S, LONG[FIRST_PIECE_BYTES:])


def test_a_response_that_is_long_by_its_head_is_forwarded_whatever_the_limit_of_buffered_ones() -> None:
    settings = Settings(endpoints=EndpointSettings(answer_s=0.05))
    check_received_once(LOOK, BODY, LONG[:FIRST_PIECE_BYTES], PAUSE_S, LONG[FIRST_PIECE_BYTES:], settings=settings)


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_what_has_arrived_of_a_paused_response_is_not_held_back(framing: str) -> None:
    # Guards the client's first bytes, whose time counts: they once came with the piece after the pause.
    async def case() -> None:
        received = asyncio.Event()

        async def handle(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(FRAMINGS[framing][:FIRST_PIECE_BYTES])
            await received.wait()  # the rest follows only once the client has the beginning
            writer.write(FRAMINGS[framing][FIRST_PIECE_BYTES:])
            writer.close()

        async def use(port: int) -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(LOOK)
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(FIRST_PIECE_BYTES // 2)
            received.set()
            rest = len(BODY) - FIRST_PIECE_BYTES // 2
            await reader.readexactly(rest)
            writer.close()

        await with_sidecar(handle, use)

    run(case())


@pytest.mark.parametrize(
    "sent",
    [
        OK + b"Content-Length: 9\r\n\r\nbo",
        OK + b"Content-Length: %d\r\n\r\n" % MAX_BUFFERED_BODY_BYTES + BODY[:FIRST_PIECE_BYTES],
    ],
    ids=["9 bytes", "the longest that is buffered"],
)
def test_a_short_response_that_stops_is_requested_from_another_endpoint(sent: bytes) -> None:
    # Guards the other side of the limit: a response that never ends must leave time for a retry.
    handler, requests = stopping_once(sent)
    run(with_sidecar(handler, fetch_whole))
    assert len(requests) == 2


INTERIM = b"HTTP/1.1 102 Processing\r\nX-Step: 1\r\n\r\n"
SHORT = OK + b"Content-Length: 5\r\n\r\nbody!"


@pytest.mark.parametrize(
    "parts",
    [
        (INTERIM[:9], 0.05, INTERIM[9:], PAUSE_S, SHORT),
        (INTERIM[:9], 0.05, INTERIM[9:] + INTERIM[:9], 0.05, INTERIM[9:], PAUSE_S, SHORT),
        (INTERIM[:9], 0.4, INTERIM[9:] + SHORT[:9], 0.4, SHORT[9:]),
        (INTERIM + INTERIM[:9], 0.4, INTERIM[9:] + INTERIM[:9], 0.4, INTERIM[9:], PAUSE_S, SHORT),
    ],
    ids=["one", "two", "with the next head's beginning", "each in its own time"],
)
def test_an_interim_response_in_two_pieces_does_not_limit_the_time_to_the_final_one(
    parts: tuple[bytes | float],
) -> None:
    # Guards against the timer of an interim response that ran on after it, and closed a connection that was at work.
    check_received_once(LOOK, b"body!", *parts)


@pytest.mark.parametrize("sent", [INTERIM[:9], INTERIM + INTERIM[:9], INTERIM + SHORT[:9]])
def test_a_head_that_stops_is_requested_from_another_endpoint(sent: bytes) -> None:
    # Guards the limit itself, after an interim response as well.
    handler, requests = stopping_once(sent)
    run(with_sidecar(handler, fetch_whole))
    assert len(requests) == 2


ONCE = {"name": "once", "effect": "at_most_once", "target_ms": 9000.0, "hard_limit_ms": 20000.0}
WITH_ONCE = {"settings": {**SETTINGS, "classes": [*SETTINGS["classes"], ONCE]}}
NO_BODY = b"\r\nContent-Length: 0\r\n\r\n"
HEAD_BYTES = 20  # of a response, within its head


@pytest.mark.parametrize("wire", [SHORT, LONG], ids=["short", "long"])
@pytest.mark.parametrize("cut", [HEAD_BYTES, -3], ids=["in the head", "before the end"])
def test_a_paused_response_to_a_request_that_may_not_be_repeated_is_awaited(wire: bytes, cut: int) -> None:
    # Guards against giving up what an endpoint still sends where no other may be asked: the client got 502 for it.
    request = LOOK.replace(b"GET", b"POST").replace(b"look", b"once").replace(b"\r\n\r\n", NO_BODY)
    body = wire[wire.index(b"\r\n\r\n") + 4 :]
    check_received_once(request, body, wire[:cut], PAUSE_S, wire[cut:], extra=WITH_ONCE)


def test_the_last_attempt_of_a_request_awaits_its_paused_response() -> None:
    # Guards requests whose responses pause wherever they are sent: each attempt was given up, and the client got 503.
    handler, runs = pausing(SHORT[:HEAD_BYTES], PAUSE_S, SHORT[HEAD_BYTES:])

    async def use(port: int) -> None:
        answer = await fetch(port, LOOK)
        assert (answer.status, answer.body) == (200, b"body!")

    run(with_sidecar(handler, use))
    assert len(runs) == 2 and runs[1]  # the settings allow two attempts


def test_of_responses_that_pause_together_those_without_a_retry_are_awaited() -> None:
    # Guards against giving up more responses than the retry budget pays for: those beyond it got 503 untried.
    count = 16
    ids: list[bytes] = []
    all_begun = asyncio.Event()

    async def handle(reader: Reader, writer: Writer) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        request_id = head[head.index(b"X-Call-Id: ") :].split(b"\r\n")[0]
        if request_id not in ids:
            ids.append(request_id)
            writer.write(SHORT[:HEAD_BYTES])
            if len(ids) == count:
                all_begun.set()
            await asyncio.sleep(PAUSE_S)
            writer.write(SHORT[HEAD_BYTES:])
        else:
            writer.write(SHORT)
        writer.close()

    async def use(port: int) -> None:
        answers = asyncio.gather(*(fetch(port, with_new_id(LOOK)) for _ in range(count)))
        await all_begun.wait()
        await asyncio.sleep(0.2)
        asyncio.get_running_loop().call_soon(sleep, 0.4)  # a late event loop: the limits of all strike at once
        assert [answer.status for answer in await answers] == [200] * count

    assert count > BURST_REQUESTS
    run(with_sidecar(handle, use))


def test_a_paused_response_to_a_long_request_is_awaited() -> None:
    # Guards requests whose bodies can be sent only once.
    runs = 0

    async def handle(reader: Reader, writer: Writer) -> None:
        nonlocal runs
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(len(BODY))
        runs += 1
        writer.write(SHORT[:HEAD_BYTES])
        await asyncio.sleep(PAUSE_S)
        writer.write(SHORT[HEAD_BYTES:])
        writer.close()

    async def use(port: int) -> None:
        answer = await fetch(port, POST + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY)
        assert (answer.status, answer.body) == (200, b"body!")

    run(with_sidecar(handle, use))
    assert runs == 1


def test_a_response_that_stops_is_awaited_no_longer_than_its_request() -> None:
    # Guards the deadline, which is what ends a response that no other endpoint can be asked for.
    async def handle(reader: Reader, writer: Writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(SHORT[:HEAD_BYTES])
        await reader.read()
        writer.close()

    async def use(port: int) -> None:
        wire = LOOK.replace(b"GET", b"POST").replace(b"look", b"once").replace(b"\r\n\r\n", NO_BODY)
        started_at = monotonic()
        answer = await fetch(port, wire.replace(b"20000m", b"1000m"))
        assert answer.status == 504 and 0.8 < monotonic() - started_at < 1.5

    run(with_sidecar(handle, use, extra=WITH_ONCE))


@pytest.mark.parametrize("begun", [LONG[:HEAD_BYTES], LONG[:FIRST_PIECE_BYTES]], ids=["in the head", "in the body"])
def test_a_response_that_begins_before_its_request_is_complete_awaits_the_rest_of_it(begun: bytes) -> None:
    # Guards against forwarding or giving up a response whose endpoint waits for its client: that ended the upload.
    runs: list[bytes] = []

    async def handle(reader: Reader, writer: Writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        received = await reader.readexactly(MAX_BUFFERED_BODY_BYTES)
        runs.append(b"")
        writer.write(begun)
        runs[-1] = received + await reader.readexactly(len(BODY) - len(received))
        writer.write(LONG[len(begun) :])
        writer.close()

    async def use(port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(POST + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY[: 2 * MAX_BUFFERED_BODY_BYTES])
        await asyncio.sleep(PAUSE_S)
        writer.write(BODY[2 * MAX_BUFFERED_BODY_BYTES :])
        await reader.readuntil(b"\r\n\r\n")
        assert await reader.readexactly(len(BODY)) == BODY
        writer.close()

    run(with_sidecar(handle, use))
    assert runs == [BODY]
