"""The whole sidecar on loopback sockets, and its peers one at a time. Nothing here waits on a clock."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from time import monotonic
from typing import Any

import pytest

from limenotch.balancing.settings import read_settings
from limenotch.load_balancer import LoadBalancer
from limenotch.load_balancer_types import AttemptEnding, DiscoveredEndpoint, DiscoveryStatus
from limenotch.net import http1
from limenotch.net.client_listener import ClientListener
from limenotch.net.endpoint_pool import EndpointPool
from limenotch.net.request import Attempt, FinalResponse, Request, Verdict
from limenotch.net.requests import RequestManager
from limenotch.net.sockets import MAX_OPERATOR_CONNECTIONS, DescriptorLimits, DescriptorQuota
from limenotch.settings import ClientSettings as ConsumerTuning
from limenotch.settings import DescriptorSettings, Settings

from .helpers.http_peers import DELIVER, LOOK, SETTINGS, Reader, Writer, fetch, read_response, reply, replying
from .helpers.processes import free_port, run, with_sidecar

REJECTED = reply(503, (b"X-Rejected", b"1"))


@pytest.mark.parametrize(
    ("request_", "answers", "status", "runs"),
    [
        (LOOK, [reply(200, (b"X-Load-Report", b"TEXT util=?"))], 200, 1),
        (LOOK, [reply(500), reply(200)], 200, 2),
        (LOOK, [reply(500)], 503, 2),  # a repeat is harmless: a rejection, worded by us
        (DELIVER, [reply(500)], 502, 2),  # never a rejection after it may have run
        (DELIVER, [reply(503)], 502, 2),  # a bare 503 may have run
        (DELIVER, [REJECTED], 503, 2),
        (DELIVER, [b""], 502, 2),  # hung up after the last byte: reset
        (DELIVER, [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbo"], 502, 2),  # cut off: no 200
        (DELIVER, [b"nonsense\r\n\r\n"], 502, 2),
    ],
    ids=["200", "500 then 200", "500", "keyed 500", "keyed 503", "turned away", "reset", "cut off", "garbage"],
)
def test_final_answers(request_: bytes, answers: list[bytes], status: int, runs: int) -> None:
    handler, seen = replying(*answers)

    async def use(port: int) -> None:
        answer = await fetch(port, request_)
        assert answer.status == status
        assert answer.body == (b"body!" if status == 200 else b"")
        assert b"x-load-report" not in answer.fields

    run(with_sidecar(handler, use))
    assert len(seen) == runs
    assert all(r.fields[b"x-call-id"] == b"1" for r in seen)
    assert all(r.body == (b"doc" if r.method == b"POST" else b"") for r in seen)


@pytest.mark.parametrize(
    ("wire", "status"),
    [
        (LOOK.replace(b"X-Call-Id", b"X-Other"), 400),
        (LOOK.replace(b"Host: s\r\n", b""), 400),
        (LOOK.replace(b"Host: s", b"Host: s\r\nHost: t"), 400),
        (LOOK.replace(b"Host: s", b"Host: s\r\nX-Call-Id: 2"), 400),
        (DELIVER.replace(b"Host: s", b"Host: s\r\nIdempotency-Key: l"), 400),
        (LOOK.replace(b"look", b"odd"), 400),
        (LOOK.replace(b"acme", b"odd"), 400),
        (LOOK.replace(b"20000m", b"nanm"), 400),
        (LOOK.replace(b"GET", b"HEAD"), 405),
        (b"\x16\x03\x01 hello\r\n\r\n", 400),
        (b"GET /" + b"a" * 70_000, 431),
        (DELIVER.replace(b"Length: 3", b"Length: 70000000"), 413),
    ],
    ids=[
        "no id",
        "no host",
        "two hosts",
        "two ids",
        "two keys",
        "class",
        "tenant",
        "budget",
        "method",
        "garbage",
        "large head",
        "large body",
    ],
)
def test_bad_input_is_answered_and_reaches_no_provider(wire: bytes, status: int) -> None:
    handler, seen = replying(reply(200))

    async def use(port: int) -> None:
        answer = await fetch(port, wire)
        assert (answer.status, answer.keep_alive) == (status, False)

    run(with_sidecar(handler, use))
    assert not seen


def test_a_call_under_way_is_finished_after_sigterm() -> None:
    async def case() -> None:
        arrived, release = asyncio.Event(), asyncio.Event()

        async def handler(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            arrived.set()
            await release.wait()
            writer.write(reply(200))

        async def use(port: int) -> None:
            asked = asyncio.create_task(fetch(port, LOOK))
            await arrived.wait()
            os.kill(os.getpid(), signal.SIGTERM)
            # The front does not know yet: a new connection must not be closed as an idle one before its
            # first request has arrived.
            late = await fetch(port, LOOK.replace(b"look", b"odd").replace(b"Id: 1", b"Id: 2"))
            assert late.status == 400
            release.set()
            answer = await asked
            assert answer.status == 200

        await with_sidecar(handler, use, stops_by_itself=True, settings=Settings(clients=ConsumerTuning(keep_s=0.6)))

    run(case())


def test_kept_connections_are_served_on_after_sigterm_and_then_closed() -> None:
    # Guards a day on which both entries restarted: closed at SIGTERM, consumers had nowhere to go for 1.3 s.
    async def use(port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        idle, _ = await asyncio.open_connection("127.0.0.1", port)
        parser = http1.ResponseParser()
        for number in range(3):
            writer.write(LOOK.replace(b"Id: 1", b"Id: %d" % number))
            answer = await read_response(reader, parser)
            assert (answer.status, answer.keep_alive) == (200, True)
            if not number:
                os.kill(os.getpid(), signal.SIGTERM)
        assert await reader.read() == b"" and await idle.read() == b""

    tuning = Settings(clients=ConsumerTuning(keep_s=0.6))
    run(with_sidecar(replying(reply(200))[0], use, stops_by_itself=True, settings=tuning))


def test_an_id_that_is_open_goes_to_no_provider_again() -> None:
    # Guards the rule on duplicates: the other consumer's call would run twice.
    async def case() -> None:
        arrived, release, runs = asyncio.Event(), asyncio.Event(), list[bytes]()

        async def handler(reader: Reader, writer: Writer) -> None:
            runs.append(await reader.readuntil(b"doc"))
            arrived.set()
            await release.wait()
            writer.write(reply(200))

        async def use(port: int) -> None:
            asked = asyncio.create_task(fetch(port, DELIVER))
            await arrived.wait()
            assert (await fetch(port, DELIVER)).status == 409
            release.set()
            assert (await asked).status == 200 and len(runs) == 1

        await with_sidecar(handler, use)

    run(case())


@pytest.mark.parametrize(
    ("sent", "answer"),
    [
        (b"", b""),
        (b"GET /ap", b"HTTP/1.1 408 "),
        (DELIVER[:-1], b"HTTP/1.1 408 "),
        (LOOK, b"HTTP/1.1 200 "),
    ],
    ids=["silent", "half a head", "half a body", "idle after a call"],
)
def test_connections_without_a_call_are_ended(sent: bytes, answer: bytes) -> None:
    # Guards the descriptors: consumers that ask once and stay, or never ask, once used them up for good.
    tuning = Settings(clients=ConsumerTuning(request_s=0.2, idle_s=0.0))

    async def use(port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(sent)
        assert (await reader.read()).startswith(answer)
        writer.close()

    run(with_sidecar(replying(reply(200))[0], use, settings=tuning))


def test_idle_consumers_give_way_once_each() -> None:
    async def case() -> None:
        sockets = DescriptorLimits(64)
        calls = RequestManager(LoadBalancer(read_settings(SETTINGS), 1), 10)
        all_ = ClientListener(calls, calls.load_balancer, sockets, lambda: True)
        port = free_port()
        all_.listen(("127.0.0.1", port))
        many = range(sockets.clients.limit + 3)
        silent = [await asyncio.open_connection("127.0.0.1", port) for _ in many]
        assert [await reader.read() for reader, _ in silent[:3]] == [b""] * 3
        assert (await fetch(port, LOOK.replace(b"look", b"odd"))).status == 400
        assert sockets.clients.used <= sockets.clients.limit + 1
        for _, writer in silent:
            writer.close()

    run(case())


def test_consumer_gone_ends_its_invoker_calls() -> None:
    async def case() -> None:
        arrived, ended = asyncio.Event(), asyncio.Event()

        async def handler(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            arrived.set()
            assert await reader.read() == b""
            ended.set()

        async def use(port: int) -> None:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(LOOK)
            await arrived.wait()
            writer.close()
            await ended.wait()

        await with_sidecar(handler, use)

    run(case())


class Heard(RequestManager):
    """Calls that only note how invoker calls ended."""

    def __init__(self) -> None:
        super().__init__(LoadBalancer(read_settings(SETTINGS), 1), 10)
        self.endings: asyncio.Queue[AttemptEnding] = asyncio.Queue()

    def attempt_ended(
        self, invoker_call: Attempt, ending: AttemptEnding, payload: Any = None, *report: float | None
    ) -> None:
        invoker_call.ended = True
        self.endings.put_nowait(ending)


def unlimited() -> DescriptorQuota:
    return DescriptorLimits(1024).endpoints


def invoker_call(end: float) -> Attempt:
    message = http1.Message([], {}, b"GET", b"/api")
    return Attempt(Request(1, b"1", "look", message, end, 20.0, lambda final: None), 0, "a", 0.0, end)


def test_nothing_is_written_to_a_provider_that_drains_while_we_connect() -> None:
    # Guards the drain rule: the list may change between the choice of a provider and its connection.
    async def case() -> None:
        calls, sockets, seen = Heard(), unlimited(), asyncio.Queue[bytes]()

        async def handler(reader: Reader, writer: Writer) -> None:
            seen.put_nowait(await reader.read())

        server = await asyncio.start_server(handler, "127.0.0.1", 0)
        provider = DiscoveredEndpoint("a", server.sockets[0].getsockname(), DiscoveryStatus.IN_SERVICE)
        pool = EndpointPool(calls, sockets, 9000.0, 9000.0)
        pool.apply_list([provider], True)
        pool.start(invoker_call(monotonic() + 20))
        await asyncio.sleep(0)  # the task runs up to its wait for the connection
        assert sockets.used == 1
        pool.apply_list([provider._replace(status=DiscoveryStatus.TERMINATING)], False)
        assert await calls.endings.get() is AttemptEnding.NOT_SENT
        assert await seen.get() == b"" and calls.endings.empty()
        while sockets.used:  # the descriptor comes back with the connection's end
            await asyncio.sleep(0)

    run(case())


@pytest.mark.parametrize(("listed", "ending"), [(True, AttemptEnding.CONNECT_FAILED), (False, AttemptEnding.NOT_SENT)])
def test_providers_that_refuse_or_are_not_listed(listed: bool, ending: AttemptEnding) -> None:
    async def case() -> None:
        calls, sockets = Heard(), unlimited()
        pool = EndpointPool(calls, sockets, 9000.0, 9000.0)
        pool.apply_list(
            [DiscoveredEndpoint("a", ("127.0.0.1", free_port()), DiscoveryStatus.IN_SERVICE)] * listed, True
        )
        pool.start(invoker_call(monotonic() + 20))
        assert await calls.endings.get() is ending
        while sockets.used:
            await asyncio.sleep(0)

    run(case())


def test_no_descriptor_left_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards keyed calls: ended as a reset, such a call could neither go elsewhere nor be rejected.
    def none_left(*_: int) -> socket.socket:
        raise OSError(24, "Too many open files")

    async def case() -> None:
        calls, sockets = Heard(), unlimited()
        pool = EndpointPool(calls, sockets, 9000.0, 9000.0)
        pool.apply_list([DiscoveredEndpoint("a", ("127.0.0.1", 9), DiscoveryStatus.IN_SERVICE)], True)
        monkeypatch.setattr(socket, "socket", none_left)
        pool.start(invoker_call(monotonic() + 20))
        assert await calls.endings.get() is AttemptEnding.NOT_SENT and sockets.used == 0

    run(case())


def test_each_side_has_descriptors_of_its_own_and_idle_ones_give_way() -> None:
    # Guards the way to the providers: consumers that only stay connected once used up every descriptor, and
    # all calls were rejected from then on.
    sockets, idle = DescriptorLimits(64), [1, 1]
    while sockets.clients.acquire():
        pass
    assert sockets.endpoints.has_capacity and sockets.endpoints.acquire()

    def drop() -> bool:
        sockets.endpoints.used -= bool(idle)
        return bool(idle and idle.pop())

    sockets.endpoints.drop_idle = drop
    while sockets.endpoints.acquire():
        pass
    assert (
        not idle
        and sockets.clients.used + sockets.endpoints.used
        == 64 - DescriptorSettings().reserve - MAX_OPERATOR_CONNECTIONS
    )
    assert not sockets.endpoints.has_capacity


def test_calls_over_the_limit_are_rejected_at_once() -> None:
    async def case() -> None:
        calls, finals = RequestManager(LoadBalancer(read_settings(SETTINGS), 1), 1), list[FinalResponse]()
        calls.accept(b"1", None, "look", "acme", 20000.0, finals.append)
        assert not finals  # held by the module: there is no list yet
        calls.accept(b"2", None, "look", "acme", 20000.0, finals.append)
        (final,) = finals
        assert final.verdict is Verdict.REJECTED and final.retry_after_ms == 0  # these settings allow no advice

    run(case())
