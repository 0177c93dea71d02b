"""Long requests on their way from a client to an endpoint, and the calls that go out once."""

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
from .test_streamed_responses import BODY, OK, POST, in_chunks, read_all


def long_request(framing: str) -> bytes:
    if framing == "length":
        return POST + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY
    return POST + b"Transfer-Encoding: chunked\r\n\r\n" + in_chunks(BODY, 30_000, b";a=b", b"X-T: 1\r\n")


def reading(answer: bytes, got: list[bytes]) -> Handler:
    """A provider that notes the bodies that it gets whole, and answers each so."""

    async def handle(reader: Reader, writer: Writer) -> None:
        parser, body = http1.RequestParser(http1.MAX_STREAMED_BODY_BYTES), bytearray()
        while data := await reader.read(65536):
            parser.feed(data)
            if parser.head() is None:
                continue
            body += parser.pieces()
            if parser.complete:
                got.append(bytes(body))
                body.clear()
                parser.next()
                writer.write(answer)
        writer.close()

    return handle


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_a_long_request_comes_unchanged_and_its_connection_serves_on(framing: str) -> None:
    got: list[bytes] = []

    async def use(port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        parser = http1.ResponseParser()
        for _ in range(2):
            writer.write(with_new_id(long_request(framing)))
            answer = await read_response(reader, parser)
            assert (answer.status, answer.keep_alive) == (200, True)
        writer.close()

    run(with_sidecar(reading(reply(200), got), use))
    assert got == [BODY, BODY]


def test_a_long_request_whose_first_provider_refuses_goes_to_another() -> None:
    # Nothing of it was used: it can still go out, once.
    got: list[bytes] = []

    async def use(port: int) -> None:
        for number in range(4):
            wire = long_request("length").replace(b"Id: 1", b"Id: %d" % number)
            assert (await fetch(port, wire)).status == 200

    async def case() -> None:
        server = await asyncio.start_server(reading(reply(200), got), "127.0.0.1", 0)
        at = server.sockets[0].getsockname()[1]
        listed = [
            {"name": name, "address": f"127.0.0.1:{port}", "zone": "a", "status": "in_service"}
            for name, port in (("a", free_port()), ("b", at))
        ]
        known = {"index": 3, "snapshot": True, "endpoints": listed}
        await with_sidecar(reading(reply(200), got), use, extra={"known": known})

    run(case())
    assert got == [BODY] * 4


async def after_a_part(port: int, then: Callable[[Writer], None]) -> http1.Message:
    """Half of a long request, then whatever `then` does; the answer."""
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
def test_an_answer_may_come_before_the_request_is_whole(answer: bytes, status: int) -> None:
    # Only what is marked as rejected, or breaks before the last byte was written, says that it never ran.
    async def early(reader: Reader, writer: Writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(MAX_BUFFERED_BODY_BYTES + 1000)
        writer.write(answer)
        await writer.drain()
        if not answer:
            writer.close()

    async def use(port: int) -> None:
        got = await after_a_part(port, lambda writer: None)
        assert (got.status, got.keep_alive) == (status, False)

    run(with_sidecar(early, use))


@pytest.mark.parametrize("broken", ["chunk", "hangs up", "slow"])
def test_a_request_that_never_ends_well_never_reaches_a_provider_whole(broken: str) -> None:
    got: list[bytes] = []
    admin = free_port()

    async def use(port: int) -> None:
        if broken == "hangs up":
            with pytest.raises(AssertionError):
                await after_a_part(port, lambda writer: writer.write_eof())
        else:
            word = b"\r\nzz\r\n" if broken == "chunk" else b""
            answer = await after_a_part(port, lambda writer: writer.write(word + b"q" * 40_000 * bool(word)))
            assert answer.status == (400 if broken == "chunk" else 408)
        while (await consistent_metrics(admin))["lb.current"][0]:
            pass

    tuning = Settings(clients=ConsumerTuning(body_s=0.2))
    run(with_sidecar(reading(reply(200), got), use, settings=tuning, extra={"admin_addr": f"127.0.0.1:{admin}"}))
    assert not got


def test_a_provider_that_stops_reading_a_long_request_is_given_up() -> None:
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


def test_many_long_bodies_at_once_in_a_budget_of_next_to_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("limenotch.wiring.buffer_limit", lambda *_: 1000)
    got: list[bytes] = []
    long = OK + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY

    async def one(port: int, number: int) -> None:
        wire = long_request("length" if number % 2 else "chunked").replace(b"Id: 1", b"Id: %d" % number)
        head, body, complete = await read_all(port, wire)
        assert head is not None and head.status == 200 and body == BODY and complete

    async def use(port: int) -> None:
        await asyncio.gather(*(one(port, number) for number in range(8)))

    run(with_sidecar(reading(long, got), use))
    assert got == [BODY] * 8


# The module


def test_a_call_that_goes_out_once_is_load_from_its_last_byte_on() -> None:
    # Guards the entry: calls under way for seconds at the pace of their clients once passed for a jam, and a quarter
    # of all calls was refused.
    balancer = Balancer(BalancerSettings(classes=CLASSES), seed=3)
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, (Endpoint("a"), Endpoint("b"))))
    acts = balancer.handle(1.0, RequestArrived("1", 0, 900, single_use_body=True))
    (send,) = [act for act in acts if isinstance(act, SendAttempt)]  # and no copy
    server = balancer.registry.endpoints[send.endpoint]
    assert (balancer.in_flight, server.in_flight) == (0, 0)
    balancer.handle(5000.0, UploadFinished("1", 900))
    assert (balancer.in_flight, server.in_flight) == (1, 1)
    # Its class's 400 ms to be on time begin then.
    balancer.handle(5300.0, AttemptFinished("1", send.endpoint, 0, 300.0, Outcome.OK, True))
    assert (balancer.in_flight, server.in_flight, server.failures) == (0, 0, 0.0) and server.successes == 1.0
    balancer.handle(5301.0, UploadFinished("1", 900))  # late word of a call that is over
    assert balancer.in_flight == 0


@pytest.mark.parametrize(("spent", "again"), [(False, True), (True, False)])
def test_a_call_that_goes_out_once_may_go_elsewhere_while_nothing_of_it_is_spent(spent: bool, again: bool) -> None:
    balancer = Balancer(BalancerSettings(classes=CLASSES), seed=3)
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, (Endpoint("a"), Endpoint("b"))))
    acts = balancer.handle(1.0, RequestArrived("1", 0, 900, single_use_body=True))
    (send,) = [act for act in acts if isinstance(act, SendAttempt)]  # and no copy
    failed = AttemptFinished("1", send.endpoint, 0, 1.0, Outcome.CONNECT_FAILED, body_consumed=spent)
    acts = balancer.handle(2.0, failed)
    assert any(isinstance(act, SendAttempt) for act in acts) is again
    assert any(isinstance(act, RejectRequest) for act in acts) is not again
    assert balancer.in_flight == 0


def test_a_loser_that_ends_after_the_winner_began_cuts_nothing_off() -> None:
    # Guards long answers: the end of the second copy once cancelled the first, which was being passed on.
    async def case() -> None:
        calls = RequestManager(LoadBalancer(read_settings(SETTINGS), 1), 10)
        finals: list[FinalResponse] = []
        abandoned: list[int] = []

        class Fake:
            def start(self, invoker_call: Attempt) -> None: ...

            def cancel(self, invoker_call: Attempt) -> None:
                abandoned.append(invoker_call.number)

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


def test_a_request_whole_while_the_program_leaves_is_over_before_it_may_be_killed() -> None:
    # Guards long uploads at an upgrade: their time begins with the last byte, which may be late in the leaving.
    async def case() -> None:
        calls, finals = RequestManager(LoadBalancer(read_settings(SETTINGS), 1), 10), list[FinalResponse]()

        class Fake:
            def start(self, invoker_call: Attempt) -> None: ...

            def cancel(self, invoker_call: Attempt) -> None: ...

        calls.attempt_runner = Fake()
        calls.execute(
            calls.load_balancer.endpoints_listed(
                [DiscoveredEndpoint(n, ("127.0.0.1", 1), DiscoveryStatus.IN_SERVICE) for n in "ab"], True
            )
        )
        call = calls.accept(b"1", None, "look", "acme", 20000.0, finals.append, body_pipe=BodyPipe(BufferBudget(1)))
        calls.last_deadline = monotonic() + 1.0  # SIGTERM came meanwhile
        calls.upload_finished(call.attempts[0])
        assert call.deadline == call.attempts[0].deadline == calls.last_deadline

    run(case())
