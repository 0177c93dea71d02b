"""Long bodies: the parser's pieces, pipes, and the complete sidecar with bodies longer than it buffers."""

from __future__ import annotations

import asyncio
import hashlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limenotch.net import http1
from limenotch.net.pipe import (
    MAX_BUFFERED_BODY_BYTES,
    MAX_PIPE_BYTES,
    READ_BYTES,
    SMALL_READ_BYTES,
    BodyPipe,
    BufferBudget,
    PipeBrokenError,
)
from limenotch.settings import ClientSettings as ConsumerTuning
from limenotch.settings import Settings

from .helpers.http_peers import GET_HEALTH, LOOK, Handler, Reader, Writer, fetch, reply, replying
from .helpers.processes import free_port, run, with_sidecar
from .test_admin_server import consistent_metrics

BODY = bytes(range(256)) * 2048  # 512 KiB
POST = LOOK.replace(b"GET", b"POST").replace(b"look", b"deliver").replace(b"\r\n\r\n", b"\r\nIdempotency-Key: k\r\n")


def encode_chunked(body: bytes, size: int, extension: bytes = b"", trailers: bytes = b"") -> bytes:
    pieces = [body[start : start + size] for start in range(0, len(body), size)]
    wire = b"".join(b"%X%b\r\n%b\r\n" % (len(piece), extension, piece) for piece in pieces)
    return wire + b"0%b\r\n%b\r\n" % (extension, trailers)


# The parser

FRAMING_NAMES = st.sampled_from(["length", "chunked", "extensions and trailers", "until the end"])


@given(st.binary(max_size=400), FRAMING_NAMES, st.lists(st.integers(1, 60), max_size=30), st.integers(1, 90))
def test_a_body_is_parsed_in_pieces_of_any_size(body: bytes, framing: str, cuts: list[int], size: int) -> None:
    head = b"HTTP/1.1 200 OK\r\nX-A: b\r\n"
    if framing == "length":
        wire = head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    elif framing == "until the end":
        wire = head + b"\r\n" + body
    else:
        extension_and_trailers = (b' ;a="b;c"', b"X-T: 1\r\nX-U: 2\r\n") if framing != "chunked" else (b"", b"")
        wire = head + b"Transfer-Encoding: chunked\r\n\r\n" + encode_chunked(body, size, *extension_and_trailers)
    wire = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + wire
    parser, received, position = http1.ResponseParser(), bytearray(), 0
    for cut in [*cuts, len(wire)]:
        parser.feed(wire[position : position + cut])
        position += cut
        message = parser.head()
        if message is not None:
            assert message.status == 200 and message.fields[b"x-a"] == b"b"
            assert message.length == (len(body) if framing == "length" else None)
            received += parser.pieces()
    assert bytes(received) == body
    assert parser.complete is (framing != "until the end") and parser.ends_with_connection is (
        framing == "until the end"
    )
    if parser.complete:
        parser.next()
        assert parser.idle


# Pipes


def test_a_pipe_buffers_a_limited_number_of_bytes_and_keeps_their_order() -> None:
    async def case() -> None:
        budget = BufferBudget(10 * MAX_PIPE_BYTES)
        pipe = BodyPipe(budget)

        async def put() -> None:
            for number in range(40):
                await pipe.put(bytes([number]) * READ_BYTES)
            pipe.end()

        putting = asyncio.create_task(put())
        for number in range(40):
            for _ in range(3):
                await asyncio.sleep(0)
            assert budget.used <= MAX_PIPE_BYTES
            assert await pipe.get() == bytes([number]) * READ_BYTES
        assert await pipe.get() == b"" and putting.done() and budget.used == 0

    run(case())


def test_each_pipe_makes_progress_although_another_one_uses_up_the_budget() -> None:
    async def case() -> None:
        budget = BufferBudget(READ_BYTES)
        greedy, modest = BodyPipe(budget), BodyPipe(budget)
        full = asyncio.create_task(greedy.put(b"g" * READ_BYTES))
        await asyncio.sleep(0)
        assert budget.exhausted and budget.read_bytes == SMALL_READ_BYTES and not full.done()
        for _ in range(5):
            putting = asyncio.create_task(modest.put(b"m" * SMALL_READ_BYTES))
            assert await modest.get() == b"m" * SMALL_READ_BYTES
            await putting
        greedy.break_off()
        with pytest.raises(PipeBrokenError):
            await full
        assert budget.used == 0

    run(case())


@pytest.mark.parametrize("waiting", ["put", "get"])
def test_breaking_a_pipe_off_raises_at_both_ends(waiting: str) -> None:
    async def case() -> None:
        pipe = BodyPipe(BufferBudget(0))
        side = asyncio.create_task(pipe.put(b"x") if waiting == "put" else pipe.get())
        await asyncio.sleep(0)
        assert not side.done()
        pipe.break_off()
        with pytest.raises(PipeBrokenError):
            await side
        for later_call in (pipe.put(b"y"), pipe.get()):
            with pytest.raises(PipeBrokenError):
                await later_call

    run(case())


# Responses


def responds(*pieces: bytes) -> Handler:
    """An endpoint that sends these pieces, one after another, in response to a request, and closes the connection."""

    async def handle(reader: Reader, writer: Writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
        writer.close()

    return handle


async def read_streamed_response(port: int, wire: bytes) -> tuple[http1.Message | None, bytes, bool]:
    """The head and the body of the response on a connection of its own, and whether the body was complete."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(wire)
    parser, body, head = http1.ResponseParser(http1.MAX_STREAMED_BODY_BYTES), bytearray(), None
    ended = False
    while not parser.complete and not ended:
        try:
            data = await reader.read(65536)
        except ConnectionResetError:
            break
        ended = not data
        parser.feed(data)
        head = parser.head()
        if head is not None:
            body += parser.pieces()
    writer.close()
    return head, bytes(body), parser.complete or (ended and head is not None and parser.ends_with_connection)


OK = b"HTTP/1.1 200 OK\r\n"
FRAMINGS = {
    "length": OK + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY,
    "chunked": OK + b"Transfer-Encoding: chunked\r\n\r\n" + encode_chunked(BODY, 50_000, b";x=y", b"X-T: 1\r\n"),
    "until the end": b"HTTP/1.0 200 OK\r\n\r\n" + BODY,
    "interim": b"HTTP/1.1 100 Continue\r\n\r\n" + OK + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY,
}


@pytest.mark.parametrize("minor", [0, 1])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_long_response_is_forwarded_unchanged(framing: str, minor: int) -> None:
    async def use(port: int) -> None:
        head, body, complete = await read_streamed_response(port, LOOK.replace(b"HTTP/1.1", b"HTTP/1.%d" % minor))
        assert head is not None and head.status == 200 and complete
        assert hashlib.sha256(body).digest() == hashlib.sha256(BODY).digest()
        assert minor or b"transfer-encoding" not in head.fields

    run(with_sidecar(responds(FRAMINGS[framing]), use))


def test_a_long_response_in_small_pieces_is_forwarded_before_its_end() -> None:
    # Buffered up to its end, its first bytes would be late.
    async def case() -> None:
        last = asyncio.Event()

        async def slow(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OK + b"Content-Length: %d\r\n\r\n" % len(BODY))
            for start in range(0, MAX_BUFFERED_BODY_BYTES + 2000, 1000):
                writer.write(BODY[start : start + 1000])
                await writer.drain()
            await last.wait()
            writer.write(BODY[MAX_BUFFERED_BODY_BYTES + 2000 - (MAX_BUFFERED_BODY_BYTES + 2000) % 1000 + 1000 :])
            writer.close()

        async def use(port: int) -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(LOOK)
            await reader.readuntil(b"\r\n\r\n")
            assert await reader.readexactly(MAX_BUFFERED_BODY_BYTES) == BODY[:MAX_BUFFERED_BODY_BYTES]
            last.set()
            assert await reader.readexactly(len(BODY) - MAX_BUFFERED_BODY_BYTES) == BODY[MAX_BUFFERED_BODY_BYTES:]
            writer.close()

        await with_sidecar(slow, use)

    run(case())


@pytest.mark.parametrize("minor", [0, 1])
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_the_client_notices_a_truncated_long_response(framing: str, minor: int) -> None:
    admin = free_port()

    async def use(port: int) -> None:
        head, body, complete = await read_streamed_response(port, LOOK.replace(b"HTTP/1.1", b"HTTP/1.%d" % minor))
        # A reset may reach the client before it has read the head; then it has received no response at all.
        assert not complete and len(body) < len(BODY)
        metrics = await consistent_metrics(admin)
        assert metrics["lb.transactions.look.errored"][0] == 1 and metrics["lb.current"][0] == 0
        assert metrics["lb.sends"][0] == 1  # no other attempt can follow once a response is being forwarded

    handler = responds(FRAMINGS[framing][: len(BODY) // 2])
    run(with_sidecar(handler, use, extra={"admin_addr": f"127.0.0.1:{admin}"}))


@pytest.mark.parametrize(
    "sent",
    [
        OK + b"Content-Length: %d\r\n\r\nshort" % len(BODY),
        OK + b"Content-Length: 3000000000\r\n\r\n" + BODY[:1000],
        OK + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
    ids=["ends early", "3 GB", "no chunk"],
)
def test_a_response_that_is_invalid_within_its_buffered_part_is_requested_from_another_endpoint(sent: bytes) -> None:
    handler, seen = replying(sent, reply(200))

    async def use(port: int) -> None:
        answer = await fetch(port, LOOK)
        assert (answer.status, answer.body) == (200, b"body!")

    run(with_sidecar(handler, use))
    assert len(seen) == 2


def test_a_client_that_disconnects_within_a_response_ends_it_at_the_endpoint() -> None:
    admin = free_port()

    async def case() -> None:
        ended = asyncio.Event()

        async def endless(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OK + b"Transfer-Encoding: chunked\r\n\r\n")
            try:
                for _ in range(100_000):
                    writer.write(encode_chunked(BODY[:9000], 9000)[:-5])
                    await writer.drain()
            except ConnectionError:
                ended.set()

        async def use(port: int) -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(LOOK)
            await reader.readexactly(100_000)
            assert (await consistent_metrics(admin))["lb.current"][0] == 1
            writer.close()
            await ended.wait()
            while (await consistent_metrics(admin))["lb.current"][0]:
                pass

        await with_sidecar(endless, use, extra={"admin_addr": f"127.0.0.1:{admin}"})

    run(case())


def test_a_client_that_does_not_read_occupies_an_endpoint_for_a_limited_time() -> None:
    async def case() -> None:
        ended = asyncio.Event()

        async def long(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OK + b"Content-Length: 30000000\r\n\r\n" + bytes(30_000_000))
            try:
                await writer.drain()
            except ConnectionError:
                ended.set()

        async def use(port: int) -> None:
            _, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
            writer.write(LOOK)
            await ended.wait()
            writer.close()

        await with_sidecar(long, use, settings=Settings(clients=ConsumerTuning(write_s=0.2)))

    run(case())


def test_operators_get_responses_while_long_responses_are_forwarded() -> None:
    # Eight responses of 20 MB; an operator who had to wait for them would get one or two responses.
    admin, body_bytes = free_port(), 20_000_000
    answered = 0

    async def handler(reader: Reader, writer: Writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(OK + b"Content-Length: %d\r\n\r\n" % body_bytes)
        for _ in range(body_bytes // 100_000):
            writer.write(bytes(100_000))
            await writer.drain()
        writer.close()

    async def use(port: int) -> None:
        nonlocal answered
        wires = [LOOK.replace(b"Id: 1", b"Id: %d" % number) for number in range(8)]
        reading = [asyncio.create_task(read_streamed_response(port, wire)) for wire in wires]
        while not all(task.done() for task in reading):
            await consistent_metrics(admin)
            assert (await fetch(admin, GET_HEALTH)).status == 200
            answered += 1
        assert all(task.result()[2] and len(task.result()[1]) == body_bytes for task in reading)

    run(with_sidecar(handler, use, extra={"admin_addr": f"127.0.0.1:{admin}"}))
    assert answered > 3
