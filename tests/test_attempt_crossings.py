"""Events between the start of an attempt and its first byte, and data on its connection that belongs to no request.

The tests simulate the passing of time by changing recorded times. None waits for a clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from time import monotonic
from typing import Any

import pytest

from limenotch.balancing.types import DedupScope, Effect, TrafficClass
from limenotch.load_balancer_types import AttemptEnding, DiscoveredEndpoint, DiscoveryStatus
from limenotch.net import counted_stream, http1
from limenotch.net.counted_stream import CountedStream
from limenotch.net.endpoint_pool import EndpointPool
from limenotch.net.request import Attempt, Request
from limenotch.request_policy import RequestPolicy
from limenotch.settings import EndpointSettings

from .helpers.http_peers import SETTINGS, Reader, Writer, reply
from .helpers.processes import run
from .test_sidecar import RecordingRequestManager, unlimited_descriptors

REJECTED = reply(503, (b"X-Rejected", b"1"))
AT_MOST_ONCE = TrafficClass("c", Effect.AT_MOST_ONCE, 9000.0, 20_000.0)
DEDUPLICATED = TrafficClass(
    "c", Effect.DEDUPLICATED, 9000.0, 20_000.0, dedup_scope=DedupScope.ALL, dedup_window_ms=9000.0
)
IDEMPOTENT = TrafficClass("c", Effect.IDEMPOTENT, 9000.0, 20_000.0)


def make_request(traffic_class: TrafficClass) -> Request:
    end = monotonic() + 20
    request = Request(1, b"1", "look", http1.Message([], {}, b"GET", b"/api"), end, 20.0, lambda final: None)
    request.policy = RequestPolicy(traffic_class)
    return request


def make_attempt(request: Request) -> Attempt:
    attempt = Attempt(request, len(request.attempts), "a", monotonic(), request.deadline)
    request.attempts.append(attempt)
    return attempt


def make_started_attempt(request: Request, ending: AttemptEnding | None) -> Attempt:
    """An attempt that was just sent, with this ending; None: it is in flight."""
    attempt = make_attempt(request)
    attempt.endpoint = DiscoveredEndpoint("b", ("127.0.0.1", 9), DiscoveryStatus.IN_SERVICE)
    attempt.sent_at, attempt.ending, attempt.ended = monotonic(), ending, ending is not None
    return attempt


class PoolWithEndpoint:
    """A pool with one endpoint, `a`, which records the first byte received on each connection."""

    def __init__(self) -> None:
        self.request_manager, self.sockets = RecordingRequestManager(), unlimited_descriptors()
        self.pool = EndpointPool(self.request_manager, self.sockets, 9000.0, 9e6)
        self.received: asyncio.Queue[bytes] = asyncio.Queue()
        self.endpoint: DiscoveredEndpoint

    async def start(self) -> None:
        async def handler(reader: Reader, writer: Writer) -> None:
            self.received.put_nowait(await reader.read(1))
            writer.write(reply(200))
            await reader.read()  # the connection stays open until the other side closes it

        server = await asyncio.start_server(handler, "127.0.0.1", 0)
        self.endpoint = DiscoveredEndpoint(
            "a", server.sockets[0].getsockname(), DiscoveryStatus.IN_SERVICE, started_ms=5.0
        )
        self.pool.apply_list([self.endpoint], True)

    def update_endpoint(self, **changes: Any) -> None:
        self.pool.apply_list([self.endpoint._replace(**changes)], False)


Change = Callable[[PoolWithEndpoint, Attempt], object]


def expire_window(pool: PoolWithEndpoint, attempt: Attempt) -> None:
    first = attempt.request.attempts[0]
    first.sent_at -= attempt.request.policy.traffic_class.dedup_window_ms / 1000.0


CHANGES: dict[str, tuple[TrafficClass, AttemptEnding | None, Change]] = {
    "the client's close is still in the kernel": (
        IDEMPOTENT,
        AttemptEnding.ERROR,
        lambda pool, attempt: setattr(attempt.request, "client_connected", lambda: False),
    ),
    "the client disconnects": (
        IDEMPOTENT,
        AttemptEnding.ERROR,
        lambda pool, attempt: setattr(attempt.request, "client_has_disconnected", True),
    ),
    "the request is answered": (
        IDEMPOTENT,
        AttemptEnding.ERROR,
        lambda pool, attempt: setattr(attempt.request, "final", object()),
    ),
    "the deadline passes": (
        IDEMPOTENT,
        AttemptEnding.ERROR,
        lambda pool, attempt: setattr(attempt, "deadline", monotonic()),
    ),
    "the endpoint drains": (
        IDEMPOTENT,
        AttemptEnding.ERROR,
        lambda pool, attempt: pool.update_endpoint(status=DiscoveryStatus.TERMINATING),
    ),
    "the endpoint is removed": (
        IDEMPOTENT,
        AttemptEnding.ERROR,
        lambda pool, attempt: pool.update_endpoint(status=DiscoveryStatus.TERMINATED),
    ),
    "a complete list omits the endpoint": (
        IDEMPOTENT,
        AttemptEnding.ERROR,
        lambda pool, attempt: pool.pool.apply_list([], True),
    ),
    "the endpoint restarts": (
        IDEMPOTENT,
        AttemptEnding.ERROR,
        lambda pool, attempt: pool.update_endpoint(started_ms=6.0),
    ),
    "an operator ejects the endpoint": (
        IDEMPOTENT,
        AttemptEnding.ERROR,
        lambda pool, attempt: pool.pool.set_ejected("a", True),
    ),
    "the attempt is cancelled": (IDEMPOTENT, AttemptEnding.ERROR, lambda pool, attempt: pool.pool.cancel(attempt)),
    "the deduplication window passes": (DEDUPLICATED, AttemptEnding.RESET, expire_window),
    "an earlier attempt turns out to be in flight": (
        IDEMPOTENT,
        AttemptEnding.REJECTED,
        lambda pool, attempt: make_started_attempt(attempt.request, None),
    ),
    "an earlier attempt turns out to have run": (
        AT_MOST_ONCE,
        AttemptEnding.REJECTED,
        lambda pool, attempt: make_started_attempt(attempt.request, AttemptEnding.TIMED_OUT),
    ),
}


@pytest.mark.parametrize("change", CHANGES)
def test_no_request_is_sent_if_this_happens_while_the_attempt_connects(change: str) -> None:
    # An attempt waits for its connection for up to connect_timeout_ms. All of these changes may happen in that time. A
    # request sent after them could run twice, or run at a draining or restarted endpoint, or for no client.
    traffic_class, ending, apply_change = CHANGES[change]

    async def case() -> None:
        pool = PoolWithEndpoint()
        await pool.start()
        request = make_request(traffic_class)
        make_started_attempt(request, ending)
        attempt = make_attempt(request)
        pool.pool.start(attempt)
        await asyncio.sleep(0)  # the task runs up to its wait for the connection
        assert pool.sockets.used == 1
        apply_change(pool, attempt)
        ended = await pool.request_manager.endings.get()
        assert ended is (AttemptEnding.CANCELLED if change == "the attempt is cancelled" else AttemptEnding.NOT_SENT)
        if change != "the attempt is cancelled":  # otherwise the connection may never be established
            assert await pool.received.get() == b""
        assert not attempt.sent_at and pool.received.empty() and pool.request_manager.endings.empty()
        while pool.sockets.used:
            await asyncio.sleep(0)

    run(case())


@pytest.mark.parametrize("traffic_class", [IDEMPOTENT, DEDUPLICATED, AT_MOST_ONCE])
@pytest.mark.parametrize("earlier_ending", list(AttemptEnding))
def test_after_each_ending_another_attempt_is_sent_only_if_its_class_allows_it(
    traffic_class: TrafficClass, earlier_ending: AttemptEnding
) -> None:
    async def case() -> None:
        pool = PoolWithEndpoint()
        await pool.start()
        request = make_request(traffic_class)
        make_started_attempt(request, earlier_ending)
        pool.pool.start(make_attempt(request))
        never_ran = earlier_ending in (AttemptEnding.REJECTED, AttemptEnding.CONNECT_FAILED, AttemptEnding.NOT_SENT)
        if traffic_class is AT_MOST_ONCE and not never_ran:
            assert await pool.request_manager.endings.get() is AttemptEnding.NOT_SENT and pool.received.empty()
            assert not pool.sockets.used  # no connection was opened for it
        else:
            assert (
                await pool.request_manager.endings.get() is AttemptEnding.SERVED and await pool.received.get() == b"G"
            )

    run(case())


def test_connections_to_a_restarted_endpoint_are_closed() -> None:
    # On a connection to the previous process, requests that must not run twice would end with a reset, and fail.
    async def case() -> None:
        pool = PoolWithEndpoint()
        await pool.start()
        pool.pool.start(make_attempt(make_request(IDEMPOTENT)))
        assert await pool.request_manager.endings.get() is AttemptEnding.SERVED and pool.sockets.idle == 1
        pool.update_endpoint()
        assert pool.sockets.idle == 1  # the same process was listed again
        pool.update_endpoint(started_ms=6.0)
        while pool.sockets.used:
            await asyncio.sleep(0)
        assert not pool.sockets.idle

    run(case())


def settings_with(**changes: object) -> dict[str, Any]:
    traffic_class = {**SETTINGS["classes"][1], **changes}  # type: ignore[index]
    return {"settings": {**SETTINGS, "classes": [SETTINGS["classes"][0], traffic_class]}}  # type: ignore[index]


UNSAFE = settings_with(effect="at_most_once")


@pytest.mark.parametrize(("settle_s", "connections"), [(3600.0, 2), (1e-9, 1)], ids=["not settled", "settled"])
def test_a_late_second_response_is_not_taken_for_the_response_to_another_request(
    settle_s: float, connections: int
) -> None:
    # If the late response were a rejection, the next request would count as never run, and could run twice.
    async def case() -> None:
        pool = PoolWithEndpoint()
        pool.pool = EndpointPool(
            pool.request_manager, pool.sockets, 9000.0, 9000.0, EndpointSettings(settle_s=settle_s)
        )
        connections_opened: list[Writer] = []
        requests: asyncio.Queue[Writer] = asyncio.Queue()

        async def handler(reader: Reader, writer: Writer) -> None:
            connections_opened.append(writer)
            parser = http1.RequestParser()
            while data := await reader.read(65536):
                parser.feed(data)
                if parser.take() is not None:
                    requests.put_nowait(writer)
            writer.close()

        server = await asyncio.start_server(handler, "127.0.0.1", 0)
        pool.pool.apply_list(
            [DiscoveredEndpoint("a", server.sockets[0].getsockname(), DiscoveryStatus.IN_SERVICE)], True
        )
        pool.pool.start(make_attempt(make_request(AT_MOST_ONCE)))
        (first := await requests.get()).write(reply(200))
        assert await pool.request_manager.endings.get() is AttemptEnding.SERVED
        pool.pool.start(make_attempt(make_request(AT_MOST_ONCE)))
        second = await requests.get()
        assert len(connections_opened) == connections
        if second is not first:
            first.write(REJECTED)
            await first.wait_closed()  # an unexpected response closes the connection
        second.write(reply(200))
        assert await pool.request_manager.endings.get() is AttemptEnding.SERVED and pool.request_manager.endings.empty()

    run(case())


def test_data_received_before_the_request_was_sent_is_not_a_response(monkeypatch: pytest.MonkeyPatch) -> None:
    # Otherwise a rejection sent by an endpoint before any request would count as the response to the first request.
    async def case() -> None:
        pool, data_sent = PoolWithEndpoint(), asyncio.Event()

        class DelayedStream(CountedStream):
            """A connection that is established only once data of the endpoint has arrived."""

            async def connect(self, *arguments: Any) -> CountedStream:  # type: ignore[override]
                await super().connect(*arguments)
                await data_sent.wait()
                while True:
                    with contextlib.suppress(BlockingIOError):
                        self.socket.recv(1, socket.MSG_PEEK)
                        return self
                    await asyncio.sleep(0)

        monkeypatch.setattr(counted_stream, "CountedStream", DelayedStream)

        async def handler(reader: Reader, writer: Writer) -> None:
            writer.write(REJECTED)
            await writer.drain()
            data_sent.set()
            pool.received.put_nowait(await reader.read())

        server = await asyncio.start_server(handler, "127.0.0.1", 0)
        pool.pool.apply_list(
            [DiscoveredEndpoint("a", server.sockets[0].getsockname(), DiscoveryStatus.IN_SERVICE)], True
        )
        attempt = make_attempt(make_request(AT_MOST_ONCE))
        pool.pool.start(attempt)
        assert await pool.request_manager.endings.get() is AttemptEnding.CONNECT_FAILED
        assert not attempt.sent_at

    run(case())


class PartialWriteStream(CountedStream):
    """A connection of which the kernel accepts only the first 10 bytes."""

    written = 0

    def write_to_fd(self, data: memoryview) -> int:
        remaining = 10 - PartialWriteStream.written
        try:
            if remaining <= 0:
                raise BlockingIOError
            PartialWriteStream.written += super().write_to_fd(data[:remaining])
            return min(remaining, 10)
        finally:
            del data  # as in IOStream: a frame that a traceback keeps alive would keep the buffer from being resized


def reset_connection(writer: Writer) -> None:
    """Reset the connection, as when the process is killed."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def test_a_request_of_which_only_a_part_was_sent_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    # The endpoint did not receive the last byte, so even an at-most-once request may be sent again.
    async def case() -> None:
        pool = PoolWithEndpoint()
        PartialWriteStream.written = 0
        monkeypatch.setattr(counted_stream, "CountedStream", PartialWriteStream)

        async def handler(reader: Reader, writer: Writer) -> None:
            assert len(await reader.readexactly(10)) == 10
            reset_connection(writer)

        server = await asyncio.start_server(handler, "127.0.0.1", 0)
        pool.pool.apply_list(
            [DiscoveredEndpoint("a", server.sockets[0].getsockname(), DiscoveryStatus.IN_SERVICE)], True
        )
        pool.pool.start(make_attempt(make_request(AT_MOST_ONCE)))
        assert await pool.request_manager.endings.get() is AttemptEnding.CONNECT_FAILED

    run(case())


Act = Callable[[Reader, Writer], Awaitable[None]]
