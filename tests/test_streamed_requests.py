"""Long requests, streamed from a client to an endpoint, whose bodies can be sent only once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import monotonic

import pytest

from limenotch.balancing import Balancer
from limenotch.balancing.actions import RejectRequest, SendAttempt
from limenotch.balancing.events import AttemptFinished, MembershipKind, MembershipUpdate, RequestArrived, UploadFinished
from limenotch.balancing.settings import read_settings
from limenotch.balancing.types import BalancerSettings, Endpoint, Outcome
from limenotch.load_balancer import LoadBalancer
from limenotch.load_balancer_types import AttemptEnding, DiscoveredEndpoint, DiscoveryStatus, StartAttempt
from limenotch.net import http1
from limenotch.net.pipe import MAX_BUFFERED_BODY_BYTES, BodyPipe, BufferBudget
from limenotch.net.request import Attempt, FinalResponse
from limenotch.net.requests import RequestManager
from limenotch.settings import ClientSettings as ConsumerTuning
from limenotch.settings import EndpointSettings as ProviderTuning
from limenotch.settings import Settings

from .helpers.http_peers import SETTINGS, Handler, Reader, Writer, fetch, read_response, reply, with_new_id
from .helpers.processes import free_port, run, with_sidecar
from .test_admin_server import CLASSES, consistent_metrics
from .test_streamed_responses import BODY, OK, POST, encode_chunked, read_streamed_response


def long_request(framing: str) -> bytes:
    if framing == "length":
        return POST + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY
    return POST + b"Transfer-Encoding: chunked\r\n\r\n" + encode_chunked(BODY, 30_000, b";a=b", b"X-T: 1\r\n")


def responds_to_complete(answer: bytes, received: list[bytes]) -> Handler:
    """An endpoint that records the complete bodies that it receives, and sends `answer` in response to each."""

    async def handle(reader: Reader, writer: Writer) -> None:
        parser, body = http1.RequestParser(http1.MAX_STREAMED_BODY_BYTES), bytearray()
        while data := await reader.read(65536):
            parser.feed(data)
            if parser.head() is None:
                continue
            body += parser.pieces()
            if parser.complete:
                received.append(bytes(body))
                body.clear()
                parser.next()
                writer.write(answer)
        writer.close()

    return handle


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_a_long_request_is_forwarded_unchanged_and_its_connection_is_reused(framing: str) -> None:
    received: list[bytes] = []

    async def use(port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        parser = http1.ResponseParser()
        for _ in range(2):
            writer.write(with_new_id(long_request(framing)))
            answer = await read_response(reader, parser)
            assert (answer.status, answer.keep_alive) == (200, True)
        writer.close()

    run(with_sidecar(responds_to_complete(reply(200), received), use))
    assert received == [BODY, BODY]


def test_a_long_request_whose_first_endpoint_rejects_connections_is_sent_to_another() -> None:
    # No byte of its body was read from the pipe: it can still be sent, once.
    received: list[bytes] = []

    async def use(port: int) -> None:
        for number in range(4):
            wire = long_request("length").replace(b"Id: 1", b"Id: %d" % number)
            assert (await fetch(port, wire)).status == 200

    async def case() -> None:
        server = await asyncio.start_server(responds_to_complete(reply(200), received), "127.0.0.1", 0)
        at = server.sockets[0].getsockname()[1]
        listed = [
            {"name": name, "address": f"127.0.0.1:{port}", "zone": "a", "status": "in_service"}
            for name, port in (("a", free_port()), ("b", at))
        ]
        known = {"index": 3, "snapshot": True, "endpoints": listed}
        await with_sidecar(responds_to_complete(reply(200), received), use, extra={"known": known})

    run(case())
    assert received == [BODY] * 4


async def send_half(port: int, then: Callable[[Writer], None]) -> http1.Message:
    """Sends half of a long request, calls `then`, and returns the response."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    wire = long_request("chunked")
    writer.write(wire[: len(wire) // 2])
    then(writer)
    answer = await read_response(reader, http1.ResponseParser())
    writer.close()
    return answer


@pytest.mark.parametrize(
    ("answer", "status"),
    [(reply(503, (b"X-Rejected", b"1")), 503), (reply(500), 502), (b"", 503), (reply(200), 200)],
    ids=["rejected", "500", "hangs up", "200"],
)
def test_a_response_may_arrive_before_the_request_is_complete(answer: bytes, status: int) -> None:
    # A request has not run only if the response is marked as rejected, or the connection breaks before its last byte.
    async def early(reader: Reader, writer: Writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(MAX_BUFFERED_BODY_BYTES + 1000)
        writer.write(answer)
        await writer.drain()
        if not answer:
            writer.close()

    async def use(port: int) -> None:
        response = await send_half(port, lambda writer: None)
        assert (response.status, response.keep_alive) == (status, False)

    run(with_sidecar(early, use))


@pytest.mark.parametrize("broken", ["chunk", "hangs up", "slow"])
def test_an_incomplete_or_invalid_request_never_reaches_an_endpoint_completely(broken: str) -> None:
    received: list[bytes] = []
    admin = free_port()

    async def use(port: int) -> None:
        if broken == "hangs up":
            with pytest.raises(AssertionError):
                await send_half(port, lambda writer: writer.write_eof())
        else:
            chunk_size = b"\r\nzz\r\n" if broken == "chunk" else b""
            answer = await send_half(port, lambda writer: writer.write(chunk_size + b"q" * 40_000 * bool(chunk_size)))
            assert answer.status == (400 if broken == "chunk" else 408)
        while (await consistent_metrics(admin))["lb.current"][0]:
            pass

    tuning = Settings(clients=ConsumerTuning(body_s=0.2))
    run(
        with_sidecar(
            responds_to_complete(reply(200), received), use, settings=tuning, extra={"admin_addr": f"127.0.0.1:{admin}"}
        )
    )
    assert not received


def test_an_attempt_whose_endpoint_stops_reading_a_long_request_is_ended() -> None:
    async def stuck(reader: Reader, writer: Writer) -> None:
        await asyncio.sleep(3600)

    async def use(port: int) -> None:
        wire = POST + b"Content-Length: 30000000\r\n\r\n"
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(wire)
        writer.write(bytes(30_000_000))
        assert (await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 503 ")
        writer.close()

    run(with_sidecar(stuck, use, settings=Settings(endpoints=ProviderTuning(stall_s=0.2))))


def test_many_long_bodies_are_streamed_at_once_with_a_tiny_memory_budget(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("limenotch.net.memory_limits.MIN_BUFFER_BYTES", 1000)
    monkeypatch.setattr("limenotch.net.memory_limits.BUFFER_FRACTION", 0.0)
    received: list[bytes] = []
    long = OK + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY

    async def send_request(port: int, number: int) -> None:
        wire = long_request("length" if number % 2 else "chunked").replace(b"Id: 1", b"Id: %d" % number)
        head, body, complete = await read_streamed_response(port, wire)
        assert head is not None and head.status == 200 and body == BODY and complete

    async def use(port: int) -> None:
        await asyncio.gather(*(send_request(port, number) for number in range(8)))

    run(with_sidecar(responds_to_complete(long, received), use))
    assert received == [BODY] * 8


# The load balancer's decisions


def test_a_streamed_request_counts_as_load_from_its_last_byte_on() -> None:
    # Requests that took seconds to upload, at the rate of their clients, once counted as overload, and a quarter of all
    # requests was rejected.
    balancer = Balancer(BalancerSettings(classes=CLASSES), seed=3)
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, (Endpoint("a"), Endpoint("b"))))
    actions = balancer.handle(1.0, RequestArrived("1", 0, 900, single_use_body=True))
    (send,) = [action for action in actions if isinstance(action, SendAttempt)]  # no hedged attempt
    server = balancer.registry.endpoints[send.endpoint]
    assert (balancer.in_flight, server.in_flight) == (0, 0)
    balancer.handle(5000.0, UploadFinished("1", 900))
    assert (balancer.in_flight, server.in_flight) == (1, 1)
    # The latency objective of its class, 400 ms, starts with the last byte.
    balancer.handle(5300.0, AttemptFinished("1", send.endpoint, 0, 300.0, Outcome.OK, True))
    assert (balancer.in_flight, server.in_flight, server.failures) == (0, 0, 0.0) and server.successes == 1.0
    balancer.handle(5301.0, UploadFinished("1", 900))  # delayed, after the end of the request
    assert balancer.in_flight == 0


@pytest.mark.parametrize(("consumed", "retried"), [(False, True), (True, False)])
def test_a_streamed_request_is_retried_only_if_none_of_its_body_was_consumed(consumed: bool, retried: bool) -> None:
    balancer = Balancer(BalancerSettings(classes=CLASSES), seed=3)
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, (Endpoint("a"), Endpoint("b"))))
    actions = balancer.handle(1.0, RequestArrived("1", 0, 900, single_use_body=True))
    (send,) = [action for action in actions if isinstance(action, SendAttempt)]  # no hedged attempt
    failed = AttemptFinished("1", send.endpoint, 0, 1.0, Outcome.CONNECT_FAILED, body_consumed=consumed)
    actions = balancer.handle(2.0, failed)
    assert any(isinstance(action, SendAttempt) for action in actions) is retried
    assert any(isinstance(action, RejectRequest) for action in actions) is not retried
    assert balancer.in_flight == 0


def test_the_end_of_a_losing_hedged_attempt_does_not_cancel_the_winner() -> None:
    # The end of the second attempt once cancelled the first one, whose long response was being forwarded.
    async def case() -> None:
        calls = RequestManager(LoadBalancer(read_settings(SETTINGS), 1), 10)
        finals: list[FinalResponse] = []
        abandoned: list[int] = []

        class Fake:
            def start(self, attempt: Attempt) -> None: ...

            def cancel(self, attempt: Attempt) -> None:
                abandoned.append(attempt.number)

        calls.attempt_runner = Fake()
        calls.execute(
            calls.load_balancer.endpoints_listed(
                [DiscoveredEndpoint(n, ("127.0.0.1", 1), DiscoveryStatus.IN_SERVICE) for n in "ab"], True
            )
        )
        call = calls.accept(b"1", None, "look", "acme", 20000.0, finals.append)
        (one,) = call.attempts
        calls._start_attempt(StartAttempt(call.number, "b", 20000.0))
        two = call.attempts[1]
        assert calls.response_started(one, "the answer") and not calls.response_started(two, "another")
        calls.attempt_ended(two, AttemptEnding.CANCELLED)
        assert 0 not in abandoned and [final.payload for final in finals] == ["the answer"]
        calls.attempt_ended(one, AttemptEnding.RESET)
        calls.stream_ended(call, "errored")
        assert calls.metrics.count("errored") == 1 and not calls.streaming and not calls.is_known(b"1")

    run(case())


def test_a_request_whose_upload_ends_during_a_shutdown_ends_before_the_kill() -> None:
    # The time budget of a long upload starts with its last byte, which may arrive late in the shutdown.
    async def case() -> None:
        calls, finals = RequestManager(LoadBalancer(read_settings(SETTINGS), 1), 10), list[FinalResponse]()

        class Fake:
            def start(self, attempt: Attempt) -> None: ...

            def cancel(self, attempt: Attempt) -> None: ...

        calls.attempt_runner = Fake()
        calls.execute(
            calls.load_balancer.endpoints_listed(
                [DiscoveredEndpoint(n, ("127.0.0.1", 1), DiscoveryStatus.IN_SERVICE) for n in "ab"], True
            )
        )
        call = calls.accept(b"1", None, "look", "acme", 20000.0, finals.append, body_pipe=BodyPipe(BufferBudget(1)))
        calls.last_deadline = monotonic() + 1.0  # as after SIGTERM
        calls.upload_finished(call.attempts[0])
        assert call.deadline == call.attempts[0].deadline == calls.last_deadline

    run(case())
