"""The complete sidecar on loopback sockets, and its parts with one peer at a time. No test waits on a clock."""

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
from limenotch.settings import ClientSettings, DescriptorSettings, Settings

from .helpers.http_peers import DELIVER, LOOK, SETTINGS, Reader, Writer, fetch, read_response, reply, replying
from .helpers.processes import free_port, run, with_sidecar

REJECTED = reply(503, (b"X-Rejected", b"1"))


@pytest.mark.parametrize(
    ("request_", "responses", "status", "arrivals"),
    [
        (LOOK, [reply(200, (b"X-Load-Report", b"TEXT util=?"))], 200, 1),
        (LOOK, [reply(500), reply(200)], 200, 2),
        (LOOK, [reply(500)], 503, 2),  # a repeat is harmless: a rejection, written by the sidecar
        (DELIVER, [reply(500)], 502, 2),  # never a rejection after it may have run
        (DELIVER, [reply(503)], 502, 2),  # a bare 503 may have run
        (DELIVER, [REJECTED], 503, 2),
        (DELIVER, [b""], 502, 2),  # closed after the request's last byte: reset
        (DELIVER, [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbo"], 502, 2),  # cut off: no 200
        (DELIVER, [b"nonsense\r\n\r\n"], 502, 2),
    ],
    ids=["200", "500 then 200", "500", "keyed 500", "keyed 503", "turned away", "reset", "cut off", "garbage"],
)
def test_final_responses(request_: bytes, responses: list[bytes], status: int, arrivals: int) -> None:
    handler, requests = replying(*responses)

    async def use(port: int) -> None:
        response = await fetch(port, request_)
        assert response.status == status
        assert response.body == (b"body!" if status == 200 else b"")
        assert b"x-load-report" not in response.fields

    run(with_sidecar(handler, use))
    assert len(requests) == arrivals
    assert all(r.fields[b"x-call-id"] == b"1" for r in requests)
    assert all(r.body == (b"doc" if r.method == b"POST" else b"") for r in requests)


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
def test_invalid_requests_get_a_response_and_reach_no_endpoint(wire: bytes, status: int) -> None:
    handler, requests = replying(reply(200))

    async def use(port: int) -> None:
        response = await fetch(port, wire)
        assert (response.status, response.keep_alive) == (status, False)

    run(with_sidecar(handler, use))
    assert not requests


def test_a_request_in_flight_is_finished_after_sigterm() -> None:
    async def case() -> None:
        arrived, release = asyncio.Event(), asyncio.Event()

        async def handler(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            arrived.set()
            await release.wait()
            writer.write(reply(200))

        async def use(port: int) -> None:
            pending_response = asyncio.create_task(fetch(port, LOOK))
            await arrived.wait()
            os.kill(os.getpid(), signal.SIGTERM)
            # The load balancer in front does not know of the shutdown yet: a new connection must not be closed as
            # idle before its first request has arrived.
            second_response = await fetch(port, LOOK.replace(b"look", b"odd").replace(b"Id: 1", b"Id: 2"))
            assert second_response.status == 400
            release.set()
            response = await pending_response
            assert response.status == 200

        await with_sidecar(handler, use, stops_by_itself=True, settings=Settings(clients=ClientSettings(keep_s=0.6)))

    run(case())


def test_open_connections_are_served_after_sigterm_and_then_closed() -> None:
    # Guards restarts of both entry sidecars: with connections closed at SIGTERM, clients had no sidecar for 1.3 s.
    async def use(port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        idle_descriptors, _ = await asyncio.open_connection("127.0.0.1", port)
        parser = http1.ResponseParser()
        for number in range(3):
            writer.write(LOOK.replace(b"Id: 1", b"Id: %d" % number))
            response = await read_response(reader, parser)
            assert (response.status, response.keep_alive) == (200, True)
            if not number:
                os.kill(os.getpid(), signal.SIGTERM)
        assert await reader.read() == b"" and await idle_descriptors.read() == b""

    tuning = Settings(clients=ClientSettings(keep_s=0.6))
    run(with_sidecar(replying(reply(200))[0], use, stops_by_itself=True, settings=tuning))


def test_a_request_with_the_id_of_an_open_request_is_not_sent() -> None:
    # Guards the rule on duplicates: the request of the other client would run twice.
    async def case() -> None:
        arrived, release, arrivals = asyncio.Event(), asyncio.Event(), list[bytes]()

        async def handler(reader: Reader, writer: Writer) -> None:
            arrivals.append(await reader.readuntil(b"doc"))
            arrived.set()
            await release.wait()
            writer.write(reply(200))

        async def use(port: int) -> None:
            pending_response = asyncio.create_task(fetch(port, DELIVER))
            await arrived.wait()
            assert (await fetch(port, DELIVER)).status == 409
            release.set()
            assert (await pending_response).status == 200 and len(arrivals) == 1

        await with_sidecar(handler, use)

    run(case())


@pytest.mark.parametrize(
    ("sent", "response"),
    [
        (b"", b""),
        (b"GET /ap", b"HTTP/1.1 408 "),
        (DELIVER[:-1], b"HTTP/1.1 408 "),
        (LOOK, b"HTTP/1.1 200 "),
    ],
    ids=["silent", "half a head", "half a body", "idle after a call"],
)
def test_connections_without_a_request_are_closed(sent: bytes, response: bytes) -> None:
    # Guards the descriptors: clients that stayed connected after one request, or sent none, used them up for good.
    tuning = Settings(clients=ClientSettings(request_s=0.2, idle_s=0.0))

    async def use(port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(sent)
        assert (await reader.read()).startswith(response)
        writer.close()

    run(with_sidecar(replying(reply(200))[0], use, settings=tuning))


def test_idle_client_connections_are_closed_for_new_ones() -> None:
    async def case() -> None:
        descriptors = DescriptorLimits(64)
        request_manager = RequestManager(LoadBalancer(read_settings(SETTINGS), 1), 10)
        listener = ClientListener(request_manager, request_manager.load_balancer, descriptors, lambda: True)
        port = free_port()
        listener.listen(("127.0.0.1", port))
        connection_numbers = range(descriptors.clients.limit + 3)
        idle_connections = [await asyncio.open_connection("127.0.0.1", port) for _ in connection_numbers]
        assert [await reader.read() for reader, _ in idle_connections[:3]] == [b""] * 3
        assert (await fetch(port, LOOK.replace(b"look", b"odd"))).status == 400
        assert descriptors.clients.used <= descriptors.clients.limit + 1
        for _, writer in idle_connections:
            writer.close()

    run(case())


def test_a_client_disconnect_cancels_its_attempts() -> None:
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


class RecordingRequestManager(RequestManager):
    """A request manager that only records how attempts end."""

    def __init__(self) -> None:
        super().__init__(LoadBalancer(read_settings(SETTINGS), 1), 10)
        self.endings: asyncio.Queue[AttemptEnding] = asyncio.Queue()

    def attempt_ended(
        self, attempt: Attempt, ending: AttemptEnding, payload: Any = None, *report: float | None
    ) -> None:
        attempt.ended = True
        self.endings.put_nowait(ending)


def unlimited_descriptors() -> DescriptorQuota:
    return DescriptorLimits(1024).endpoints


def make_attempt(deadline: float) -> Attempt:
    message = http1.Message([], {}, b"GET", b"/api")
    return Attempt(Request(1, b"1", "look", message, deadline, 20.0, lambda final: None), 0, "a", 0.0, deadline)


def test_nothing_is_sent_to_an_endpoint_that_drains_during_connect() -> None:
    # Guards the drain rule: the list may change between the choice of an endpoint and the connection to it.
    async def case() -> None:
        request_manager, descriptors, requests = (
            RecordingRequestManager(),
            unlimited_descriptors(),
            asyncio.Queue[bytes](),
        )

        async def handler(reader: Reader, writer: Writer) -> None:
            requests.put_nowait(await reader.read())

        server = await asyncio.start_server(handler, "127.0.0.1", 0)
        endpoint = DiscoveredEndpoint("a", server.sockets[0].getsockname(), DiscoveryStatus.IN_SERVICE)
        pool = EndpointPool(request_manager, descriptors, 9000.0, 9000.0)
        pool.apply_list([endpoint], True)
        pool.start(make_attempt(monotonic() + 20))
        await asyncio.sleep(0)  # the task runs up to its wait for the connection
        assert descriptors.used == 1
        pool.apply_list([endpoint._replace(status=DiscoveryStatus.TERMINATING)], False)
        assert await request_manager.endings.get() is AttemptEnding.NOT_SENT
        assert await requests.get() == b"" and request_manager.endings.empty()
        while descriptors.used:  # the descriptor comes back with the connection's end
            await asyncio.sleep(0)

    run(case())


@pytest.mark.parametrize(("listed", "ending"), [(True, AttemptEnding.CONNECT_FAILED), (False, AttemptEnding.NOT_SENT)])
def test_endpoints_that_refuse_connections_or_are_not_listed(listed: bool, ending: AttemptEnding) -> None:
    async def case() -> None:
        request_manager, descriptors = RecordingRequestManager(), unlimited_descriptors()
        pool = EndpointPool(request_manager, descriptors, 9000.0, 9000.0)
        pool.apply_list(
            [DiscoveredEndpoint("a", ("127.0.0.1", free_port()), DiscoveryStatus.IN_SERVICE)] * listed, True
        )
        pool.start(make_attempt(monotonic() + 20))
        assert await request_manager.endings.get() is ending
        while descriptors.used:
            await asyncio.sleep(0)

    run(case())


def test_without_a_descriptor_an_attempt_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards requests with idempotency keys: after a reset they could be neither retried nor rejected.
    def no_descriptor(*_: int) -> socket.socket:
        raise OSError(24, "Too many open files")

    async def case() -> None:
        request_manager, descriptors = RecordingRequestManager(), unlimited_descriptors()
        pool = EndpointPool(request_manager, descriptors, 9000.0, 9000.0)
        pool.apply_list([DiscoveredEndpoint("a", ("127.0.0.1", 9), DiscoveryStatus.IN_SERVICE)], True)
        monkeypatch.setattr(socket, "socket", no_descriptor)
        pool.start(make_attempt(monotonic() + 20))
        assert await request_manager.endings.get() is AttemptEnding.NOT_SENT and descriptors.used == 0

    run(case())


def test_clients_and_endpoints_have_separate_descriptors_and_idle_ones_are_freed() -> None:
    # Guards connections to endpoints: clients that only stayed connected once used up every descriptor, and all
    # requests were rejected from then on.
    descriptors, idle_descriptors = DescriptorLimits(64), [1, 1]
    while descriptors.clients.acquire():
        pass
    assert descriptors.endpoints.has_capacity and descriptors.endpoints.acquire()

    def drop() -> bool:
        descriptors.endpoints.used -= bool(idle_descriptors)
        return bool(idle_descriptors and idle_descriptors.pop())

    descriptors.endpoints.drop_idle = drop
    while descriptors.endpoints.acquire():
        pass
    assert (
        not idle_descriptors
        and descriptors.clients.used + descriptors.endpoints.used
        == 64 - DescriptorSettings().reserve - MAX_OPERATOR_CONNECTIONS
    )
    assert not descriptors.endpoints.has_capacity


def test_requests_over_the_limit_are_rejected_at_once() -> None:
    async def case() -> None:
        request_manager, finals = RequestManager(LoadBalancer(read_settings(SETTINGS), 1), 1), list[FinalResponse]()
        request_manager.accept(b"1", None, "look", "acme", 20000.0, finals.append)
        assert not finals  # held by the load balancer: there is no list yet
        request_manager.accept(b"2", None, "look", "acme", 20000.0, finals.append)
        (final,) = finals
        assert final.verdict is Verdict.REJECTED and final.retry_after_ms == 0  # these settings allow no advice

    run(case())
