"""Long bodies: the parser's pieces, pipes, and the whole sidecar with bodies beyond what it holds."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable
from time import monotonic

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limenotch.facade import Ending, Facade, Invoke, Provider, Status
from limenotch.net import http1
from limenotch.net.call import Final, InvokerCall
from limenotch.net.calls import Calls
from limenotch.net.pipe import HOLD, MOST, PIECE, SMALL, BrokenError, Budget, Pipe
from limenotch.settings import Consumers as ConsumerTuning
from limenotch.settings import Providers as ProviderTuning
from limenotch.settings import Settings
from switchthread import Balancer
from switchthread import interface as face
from switchthread.settings import read_settings

from .helpers.peers import (
    GET_HEALTH,
    LOOK,
    SETTINGS,
    Handler,
    Reader,
    Writer,
    answer_from,
    answering,
    ask,
    renamed,
    whole,
)
from .helpers.processes import free_port, run, with_sidecar
from .test_operators import CLASSES, conserved

BODY = bytes(range(256)) * 2048  # 512 KiB
POST = LOOK.replace(b"GET", b"POST").replace(b"look", b"deliver").replace(b"\r\n\r\n", b"\r\nIdempotency-Key: k\r\n")


def in_chunks(body: bytes, size: int, extension: bytes = b"", trailers: bytes = b"") -> bytes:
    parts = [body[at:at + size] for at in range(0, len(body), size)]
    wire = b"".join(b"%X%b\r\n%b\r\n" % (len(part), extension, part) for part in parts)
    return wire + b"0%b\r\n%b\r\n" % (extension, trailers)


# The parser

FRAMED = st.sampled_from(["length", "chunked", "extensions and trailers", "until the end"])


@given(st.binary(max_size=400), FRAMED, st.lists(st.integers(1, 60), max_size=30), st.integers(1, 90))
def test_any_cut_gives_the_same_pieces(body: bytes, framing: str, cuts: list[int], size: int) -> None:
    head = b"HTTP/1.1 200 OK\r\nX-A: b\r\n"
    if framing == "length":
        wire = head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    elif framing == "until the end":
        wire = head + b"\r\n" + body
    else:
        spare = (b" ;a=\"b;c\"", b"X-T: 1\r\nX-U: 2\r\n") if framing != "chunked" else (b"", b"")
        wire = head + b"Transfer-Encoding: chunked\r\n\r\n" + in_chunks(body, size, *spare)
    wire = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + wire
    parser, got, at = http1.ResponseParser(), bytearray(), 0
    for cut in [*cuts, len(wire)]:
        parser.feed(wire[at:at + cut])
        at += cut
        message = parser.head()
        if message is not None:
            assert message.status == 200 and message.fields[b"x-a"] == b"b"
            assert message.length == (len(body) if framing == "length" else None)
            got += parser.pieces()
    assert bytes(got) == body
    assert parser.complete is (framing != "until the end") and parser.endless is (framing == "until the end")
    if parser.complete:
        parser.next()
        assert parser.idle


# Pipes

def test_a_pipe_holds_a_bounded_part_and_gives_it_in_order() -> None:
    async def case() -> None:
        budget = Budget(10 * MOST)
        pipe = Pipe(budget)

        async def put() -> None:
            for number in range(40):
                await pipe.put(bytes([number]) * PIECE)
            pipe.end()

        putting = asyncio.create_task(put())
        for number in range(40):
            for _ in range(3):
                await asyncio.sleep(0)
            assert budget.used <= MOST
            assert await pipe.get() == bytes([number]) * PIECE
        assert await pipe.get() == b"" and putting.done() and budget.used == 0

    run(case())


def test_no_pipe_stands_still_though_the_others_hold_the_whole_budget() -> None:
    async def case() -> None:
        budget = Budget(PIECE)
        greedy, modest = Pipe(budget), Pipe(budget)
        full = asyncio.create_task(greedy.put(b"g" * PIECE))
        await asyncio.sleep(0)
        assert budget.spent and budget.piece == SMALL and not full.done()
        for _ in range(5):
            putting = asyncio.create_task(modest.put(b"m" * SMALL))
            assert await modest.get() == b"m" * SMALL
            await putting
        greedy.cut()
        with pytest.raises(BrokenError):
            await full
        assert budget.used == 0

    run(case())


@pytest.mark.parametrize("waiting", ["put", "get"])
def test_either_end_hears_that_the_other_is_gone(waiting: str) -> None:
    async def case() -> None:
        pipe = Pipe(Budget(0))
        side = asyncio.create_task(pipe.put(b"x") if waiting == "put" else pipe.get())
        await asyncio.sleep(0)
        assert not side.done()
        pipe.cut()
        with pytest.raises(BrokenError):
            await side
        for late in (pipe.put(b"y"), pipe.get()):
            with pytest.raises(BrokenError):
                await late

    run(case())


# Answers

def says(*words: bytes) -> Handler:
    """A provider that sends these, one after another, to each request, and hangs up."""

    async def handle(reader: Reader, writer: Writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for word in words:
            writer.write(word)
            await writer.drain()
        writer.close()

    return handle


async def read_all(port: int, wire: bytes) -> tuple[http1.Message | None, bytes, bool]:
    """Head, body and whether the body came whole, on one connection to its end."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(wire)
    parser, got, head = http1.ResponseParser(http1.MAX_LONG), bytearray(), None
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
            got += parser.pieces()
    writer.close()
    return head, bytes(got), parser.complete or (ended and head is not None and parser.endless)


OK = b"HTTP/1.1 200 OK\r\n"
FRAMINGS = {
    "length": OK + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY,
    "chunked": OK + b"Transfer-Encoding: chunked\r\n\r\n" + in_chunks(BODY, 50_000, b";x=y", b"X-T: 1\r\n"),
    "until the end": b"HTTP/1.0 200 OK\r\n\r\n" + BODY,
    "interim": b"HTTP/1.1 100 Continue\r\n\r\n" + OK + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY,
}


@pytest.mark.parametrize("minor", [0, 1])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_long_answer_comes_unchanged(framing: str, minor: int) -> None:
    async def use(port: int) -> None:
        head, body, complete = await read_all(port, LOOK.replace(b"HTTP/1.1", b"HTTP/1.%d" % minor))
        assert head is not None and head.status == 200 and complete
        assert hashlib.sha256(body).digest() == hashlib.sha256(BODY).digest()
        assert minor or b"transfer-encoding" not in head.fields

    run(with_sidecar(says(FRAMINGS[framing]), use))


def test_a_long_answer_in_small_pieces_is_passed_on_before_its_end() -> None:
    # Guards the time of its first bytes: held to the end, it would be late.
    async def case() -> None:
        last = asyncio.Event()

        async def slow(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OK + b"Content-Length: %d\r\n\r\n" % len(BODY))
            for at in range(0, HOLD + 2000, 1000):
                writer.write(BODY[at:at + 1000])
                await writer.drain()
            await last.wait()
            writer.write(BODY[HOLD + 2000 - (HOLD + 2000) % 1000 + 1000:])
            writer.close()

        async def use(port: int) -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(LOOK)
            await reader.readuntil(b"\r\n\r\n")
            assert await reader.readexactly(HOLD) == BODY[:HOLD]
            last.set()
            assert await reader.readexactly(len(BODY) - HOLD) == BODY[HOLD:]
            writer.close()

        await with_sidecar(slow, use)

    run(case())


@pytest.mark.parametrize("minor", [0, 1])
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_a_long_answer_that_breaks_off_shows(framing: str, minor: int) -> None:
    admin = free_port()

    async def use(port: int) -> None:
        head, body, complete = await read_all(port, LOOK.replace(b"HTTP/1.1", b"HTTP/1.%d" % minor))
        # A reset may reach the consumer before it has read the head; it then has nothing that passes for an answer.
        assert not complete and len(body) < len(BODY)
        figures = await conserved(admin)
        assert figures["lb.transactions.look.errored"][0] == 1 and figures["lb.current"][0] == 0
        assert figures["lb.sends"][0] == 1  # the winner was fixed: nobody else was asked

    handler = says(FRAMINGS[framing][:len(BODY) // 2])
    run(with_sidecar(handler, use, more={"admin_addr": f"127.0.0.1:{admin}"}))


@pytest.mark.parametrize("sent", [
    OK + b"Content-Length: %d\r\n\r\nshort" % len(BODY),
    OK + b"Content-Length: 3000000000\r\n\r\n" + BODY[:1000],
    OK + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
], ids=["ends early", "3 GB", "no chunk"])
def test_what_is_spoilt_within_what_is_held_is_had_elsewhere(sent: bytes) -> None:
    handler, seen = answering(sent, whole(200))

    async def use(port: int) -> None:
        answer = await ask(port, LOOK)
        assert (answer.status, answer.body) == (200, b"body!")

    run(with_sidecar(handler, use))
    assert len(seen) == 2


def test_a_consumer_that_goes_away_within_an_answer_ends_it_at_the_provider() -> None:
    admin = free_port()

    async def case() -> None:
        gone = asyncio.Event()

        async def endless(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OK + b"Transfer-Encoding: chunked\r\n\r\n")
            try:
                for _ in range(100_000):
                    writer.write(in_chunks(BODY[:9000], 9000)[:-5])
                    await writer.drain()
            except ConnectionError:
                gone.set()

        async def use(port: int) -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(LOOK)
            await reader.readexactly(100_000)
            assert (await conserved(admin))["lb.current"][0] == 1
            writer.close()
            await gone.wait()
            while (await conserved(admin))["lb.current"][0]:
                pass

        await with_sidecar(endless, use, more={"admin_addr": f"127.0.0.1:{admin}"})

    run(case())


def test_a_consumer_that_does_not_read_holds_no_provider_for_ever() -> None:
    async def case() -> None:
        gone = asyncio.Event()

        async def long(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OK + b"Content-Length: 30000000\r\n\r\n" + bytes(30_000_000))
            try:
                await writer.drain()
            except ConnectionError:
                gone.set()

        async def use(port: int) -> None:
            _, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
            writer.write(LOOK)
            await gone.wait()
            writer.close()

        await with_sidecar(long, use, tuning=Settings(consumers=ConsumerTuning(write_s=0.2)))

    run(case())


def test_operators_are_answered_while_long_answers_are_under_way() -> None:
    # Eight answers of 20 MB; an operator who had to wait for them would be answered once or twice.
    admin, long = free_port(), 20_000_000
    answered = 0

    async def handler(reader: Reader, writer: Writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(OK + b"Content-Length: %d\r\n\r\n" % long)
        for _ in range(long // 100_000):
            writer.write(bytes(100_000))
            await writer.drain()
        writer.close()

    async def use(port: int) -> None:
        nonlocal answered
        wires = [LOOK.replace(b"Id: 1", b"Id: %d" % number) for number in range(8)]
        reading = [asyncio.create_task(read_all(port, wire)) for wire in wires]
        while not all(task.done() for task in reading):
            await conserved(admin)
            assert (await ask(admin, GET_HEALTH)).status == 200
            answered += 1
        assert all(task.result()[2] and len(task.result()[1]) == long for task in reading)

    run(with_sidecar(handler, use, more={"admin_addr": f"127.0.0.1:{admin}"}))
    assert answered > 3


# Requests

def long_request(framing: str) -> bytes:
    if framing == "length":
        return POST + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY
    return POST + b"Transfer-Encoding: chunked\r\n\r\n" + in_chunks(BODY, 30_000, b";a=b", b"X-T: 1\r\n")


def reading(answer: bytes, got: list[bytes]) -> Handler:
    """A provider that notes the bodies that it gets whole, and answers each so."""

    async def handle(reader: Reader, writer: Writer) -> None:
        parser, body = http1.RequestParser(http1.MAX_LONG), bytearray()
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
            writer.write(renamed(long_request(framing)))
            answer = await answer_from(reader, parser)
            assert (answer.status, answer.keep_alive) == (200, True)
        writer.close()

    run(with_sidecar(reading(whole(200), got), use))
    assert got == [BODY, BODY]


def test_a_long_request_whose_first_provider_refuses_goes_to_another() -> None:
    # Nothing of it was used: it can still go out, once.
    got: list[bytes] = []

    async def use(port: int) -> None:
        for number in range(4):
            wire = long_request("length").replace(b"Id: 1", b"Id: %d" % number)
            assert (await ask(port, wire)).status == 200

    async def case() -> None:
        server = await asyncio.start_server(reading(whole(200), got), "127.0.0.1", 0)
        at = server.sockets[0].getsockname()[1]
        listed = [{"name": name, "address": f"127.0.0.1:{port}", "zone": "a", "status": "in_service"}
                  for name, port in (("a", free_port()), ("b", at))]
        known = {"index": 3, "snapshot": True, "endpoints": listed}
        await with_sidecar(reading(whole(200), got), use, more={"known": known})

    run(case())
    assert got == [BODY] * 4


async def after_a_part(port: int, then: Callable[[Writer], None]) -> http1.Message:
    """Half of a long request, then whatever `then` does; the answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    wire = long_request("chunked")
    writer.write(wire[:len(wire) // 2])
    then(writer)
    answer = await answer_from(reader, http1.ResponseParser())
    writer.close()
    return answer


@pytest.mark.parametrize(("answer", "status"), [(whole(503, (b"X-Rejected", b"1")), 503), (whole(500), 502),
                                                (b"", 503), (whole(200), 200)],
                         ids=["rejected", "500", "hangs up", "200"])
def test_an_answer_may_come_before_the_request_is_whole(answer: bytes, status: int) -> None:
    # Only what is marked as rejected, or breaks before the last byte was written, says that it never ran.
    async def early(reader: Reader, writer: Writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(HOLD + 1000)
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
        while (await conserved(admin))["lb.current"][0]:
            pass

    tuning = Settings(consumers=ConsumerTuning(body_s=0.2))
    run(with_sidecar(reading(whole(200), got), use, tuning=tuning, more={"admin_addr": f"127.0.0.1:{admin}"}))
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

    run(with_sidecar(stuck, use, tuning=Settings(providers=ProviderTuning(stall_s=0.2))))


def test_many_long_bodies_at_once_in_a_budget_of_next_to_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("limenotch.program.buffered", lambda *_: 1000)
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
    balancer = Balancer(face.Settings(classes=CLASSES), seed=3)
    balancer.handle(0.0, face.Membership(face.Listing.WHOLE, (face.Upstream("a"), face.Upstream("b"))))
    acts = balancer.handle(1.0, face.Arrival("1", 0, 900, once=True))
    (send,) = [act for act in acts if isinstance(act, face.Send)]  # and no copy
    server = balancer.roster.servers[send.upstream]
    assert (balancer.out, server.out) == (0, 0)
    balancer.handle(5000.0, face.Uploaded("1", 900))
    assert (balancer.out, server.out) == (1, 1)
    # Its class's 400 ms to be on time begin then.
    balancer.handle(5300.0, face.Finished("1", send.upstream, 0, 300.0, face.Outcome.OK, True))
    assert (balancer.out, server.out, server.bad) == (0, 0, 0.0) and server.good == 1.0
    balancer.handle(5301.0, face.Uploaded("1", 900))  # late word of a call that is over
    assert balancer.out == 0


@pytest.mark.parametrize(("spent", "again"), [(False, True), (True, False)])
def test_a_call_that_goes_out_once_may_go_elsewhere_while_nothing_of_it_is_spent(spent: bool, again: bool) -> None:
    balancer = Balancer(face.Settings(classes=CLASSES), seed=3)
    balancer.handle(0.0, face.Membership(face.Listing.WHOLE, (face.Upstream("a"), face.Upstream("b"))))
    acts = balancer.handle(1.0, face.Arrival("1", 0, 900, once=True))
    (send,) = [act for act in acts if isinstance(act, face.Send)]  # and no copy
    failed = face.Finished("1", send.upstream, 0, 1.0, face.Outcome.CONNECT_FAILED, spent=spent)
    acts = balancer.handle(2.0, failed)
    assert any(isinstance(act, face.Send) for act in acts) is again
    assert any(isinstance(act, face.Refuse) for act in acts) is not again
    assert balancer.out == 0


def test_a_loser_that_ends_after_the_winner_began_cuts_nothing_off() -> None:
    # Guards long answers: the end of the second copy once cancelled the first, which was being passed on.
    async def case() -> None:
        calls = Calls(Facade(read_settings(SETTINGS), 1), 10)
        finals: list[Final] = []
        abandoned: list[int] = []

        class Fake:
            def make(self, invoker_call: InvokerCall) -> None: ...

            def abandon(self, invoker_call: InvokerCall) -> None:
                abandoned.append(invoker_call.number)

        calls.invoker = Fake()
        calls.carry_out(calls.facade.heard([Provider(n, ("127.0.0.1", 1), Status.IN_SERVICE) for n in "ab"], True))
        call = calls.take(b"1", None, "look", "acme", 20000.0, finals.append)
        (one,) = call.made
        calls._invoke(Invoke(call.number, "b", 20000.0))
        two = call.made[1]
        assert calls.begun(one, "the answer") and not calls.begun(two, "another")
        calls.ended(two, Ending.ABANDONED)
        assert 0 not in abandoned and [final.payload for final in finals] == ["the answer"]
        calls.ended(one, Ending.RESET)
        calls.passed_on(call, "errored")
        assert calls.figures.count("errored") == 1 and not calls.passing and not calls.has(b"1")

    run(case())


def test_a_request_whole_while_the_program_leaves_is_over_before_it_may_be_killed() -> None:
    # Guards long uploads at an upgrade: their time begins with the last byte, which may be late in the leaving.
    async def case() -> None:
        calls, finals = Calls(Facade(read_settings(SETTINGS), 1), 10), list[Final]()

        class Fake:
            def make(self, invoker_call: InvokerCall) -> None: ...

            def abandon(self, invoker_call: InvokerCall) -> None: ...

        calls.invoker = Fake()
        calls.carry_out(calls.facade.heard([Provider(n, ("127.0.0.1", 1), Status.IN_SERVICE) for n in "ab"], True))
        call = calls.take(b"1", None, "look", "acme", 20000.0, finals.append, rest=Pipe(Budget(1)))
        calls.last = monotonic() + 1.0  # SIGTERM came meanwhile
        calls.uploaded(call.made[0])
        assert call.end == call.made[0].end == calls.last

    run(case())
