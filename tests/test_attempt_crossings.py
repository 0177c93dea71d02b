"""What crosses an attempt on its way to its first byte, and what its connection brings that nobody asked for.

Time passes where a test says so: it sets back the clock of what it looks at. Nothing here waits on a clock.
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
from tornado.iostream import IOStream

from limenotch.balancing.types import DedupScope, Effect, TrafficClass
from limenotch.load_balancer_types import AttemptEnding, DiscoveredEndpoint, DiscoveryStatus
from limenotch.net import endpoint_pool, http1
from limenotch.net.endpoint_pool import EndpointPool
from limenotch.net.request import Attempt, Request
from limenotch.request_policy import RequestPolicy
from limenotch.settings import EndpointSettings as ProviderTuning

from .helpers.http_peers import SETTINGS, Reader, Writer, whole
from .helpers.processes import run
from .test_sidecar import Heard, unlimited

REJECTED = whole(503, (b"X-Rejected", b"1"))
ONCE = TrafficClass("c", Effect.AT_MOST_ONCE, 9000.0, 20_000.0)
KEYED = TrafficClass("c", Effect.DEDUPLICATED, 9000.0, 20_000.0, dedup_scope=DedupScope.ALL, dedup_window_ms=9000.0)
SAFE = TrafficClass("c", Effect.IDEMPOTENT, 9000.0, 20_000.0)


def call_of(cls: TrafficClass) -> Request:
    end = monotonic() + 20
    call = Request(1, b"1", "look", http1.Message([], {}, b"GET", b"/api"), end, 20.0, lambda final: None)
    call.policy = RequestPolicy(cls)
    return call


def attempt_of(call: Request) -> Attempt:
    attempt = Attempt(call, len(call.attempts), "a", monotonic(), call.deadline)
    call.attempts.append(attempt)
    return attempt


def begun(call: Request, ending: AttemptEnding | None) -> Attempt:
    """An attempt that was written just now; None: it is out."""
    attempt = attempt_of(call)
    attempt.endpoint = DiscoveredEndpoint("b", ("127.0.0.1", 9), DiscoveryStatus.IN_SERVICE)
    attempt.sent_at, attempt.ending, attempt.ended = monotonic(), ending, ending is not None
    return attempt


class Pool:
    """A pool with one endpoint, `a`, that notes what comes on its connections."""

    def __init__(self) -> None:
        self.calls, self.sockets = Heard(), unlimited()
        self.pool = EndpointPool(self.calls, self.sockets, 9000.0, 9e6)
        self.seen: asyncio.Queue[bytes] = asyncio.Queue()
        self.endpoint: DiscoveredEndpoint

    async def start(self) -> None:
        async def handler(reader: Reader, writer: Writer) -> None:
            self.seen.put_nowait(await reader.read(1))
            writer.write(whole(200))
            await reader.read()  # it is kept until the other side ends it

        server = await asyncio.start_server(handler, "127.0.0.1", 0)
        self.endpoint = DiscoveredEndpoint(
            "a", server.sockets[0].getsockname(), DiscoveryStatus.IN_SERVICE, started_ms=5.0
        )
        self.pool.apply_list([self.endpoint], True)

    def list_anew(self, **changes: Any) -> None:
        self.pool.apply_list([self.endpoint._replace(**changes)], False)


Crossing = Callable[[Pool, Attempt], object]


def window_passes(pool: Pool, attempt: Attempt) -> None:
    first = attempt.request.attempts[0]
    first.sent_at -= attempt.request.policy.traffic_class.dedup_window_ms / 1000.0


CROSSINGS: dict[str, tuple[TrafficClass, AttemptEnding | None, Crossing]] = {
    "its client's end lies in the kernel": (
        SAFE,
        AttemptEnding.ERROR,
        lambda pool, attempt: setattr(attempt.request, "client_connected", lambda: False),
    ),
    "its client goes": (SAFE, AttemptEnding.ERROR, lambda pool, attempt: setattr(attempt.request, "client_gone", True)),
    "its call is answered": (
        SAFE,
        AttemptEnding.ERROR,
        lambda pool, attempt: setattr(attempt.request, "final", object()),
    ),
    "its time passes": (SAFE, AttemptEnding.ERROR, lambda pool, attempt: setattr(attempt, "deadline", monotonic())),
    "its endpoint drains": (
        SAFE,
        AttemptEnding.ERROR,
        lambda pool, attempt: pool.list_anew(status=DiscoveryStatus.TERMINATING),
    ),
    "its endpoint goes": (
        SAFE,
        AttemptEnding.ERROR,
        lambda pool, attempt: pool.list_anew(status=DiscoveryStatus.TERMINATED),
    ),
    "a whole list omits its endpoint": (
        SAFE,
        AttemptEnding.ERROR,
        lambda pool, attempt: pool.pool.apply_list([], True),
    ),
    "its endpoint starts anew": (SAFE, AttemptEnding.ERROR, lambda pool, attempt: pool.list_anew(started_ms=6.0)),
    "its endpoint is banned": (SAFE, AttemptEnding.ERROR, lambda pool, attempt: pool.pool.set_ejected("a", True)),
    "it is abandoned": (SAFE, AttemptEnding.ERROR, lambda pool, attempt: pool.pool.cancel(attempt)),
    "the window for repeats passes": (KEYED, AttemptEnding.RESET, window_passes),
    "an earlier one turns out to be out": (
        SAFE,
        AttemptEnding.REJECTED,
        lambda pool, attempt: begun(attempt.request, None),
    ),
    "an earlier one turns out to have run": (
        ONCE,
        AttemptEnding.REJECTED,
        lambda pool, attempt: begun(attempt.request, AttemptEnding.TIMED_OUT),
    ),
}


@pytest.mark.parametrize("crossing", CROSSINGS)
def test_nothing_is_written_once_this_has_come_between(crossing: str) -> None:
    # Guards once-only work, drains, cold endpoints and clients that left: an attempt waits for its connection for as
    # long as connect_timeout_ms, and all of these can come in that time.
    cls, ending, happen = CROSSINGS[crossing]

    async def case() -> None:
        pool = Pool()
        await pool.start()
        call = call_of(cls)
        begun(call, ending)
        attempt = attempt_of(call)
        pool.pool.start(attempt)
        await asyncio.sleep(0)  # the task runs up to its wait for the connection
        assert pool.sockets.used == 1
        happen(pool, attempt)
        ended = await pool.calls.endings.get()
        assert ended is (AttemptEnding.CANCELLED if crossing == "it is abandoned" else AttemptEnding.NOT_SENT)
        if crossing != "it is abandoned":  # that connection may never come up
            assert await pool.seen.get() == b""
        assert not attempt.sent_at and pool.seen.empty() and pool.calls.endings.empty()
        while pool.sockets.used:
            await asyncio.sleep(0)

    run(case())


@pytest.mark.parametrize("cls", [SAFE, KEYED, ONCE])
@pytest.mark.parametrize("earlier", list(AttemptEnding))
def test_after_each_ending_a_further_attempt_is_written_only_where_its_class_allows(
    cls: TrafficClass, earlier: AttemptEnding
) -> None:
    async def case() -> None:
        pool = Pool()
        await pool.start()
        call = call_of(cls)
        begun(call, earlier)
        pool.pool.start(attempt_of(call))
        never_ran = earlier in (AttemptEnding.REJECTED, AttemptEnding.CONNECT_FAILED, AttemptEnding.NOT_SENT)
        if cls is ONCE and not never_ran:
            assert await pool.calls.endings.get() is AttemptEnding.NOT_SENT and pool.seen.empty()
            assert not pool.sockets.used  # no connection was opened for it
        else:
            assert await pool.calls.endings.get() is AttemptEnding.SERVED and await pool.seen.get() == b"G"

    run(case())


def test_connections_to_a_process_that_has_started_anew_are_closed() -> None:
    # Guards calls that may run once: written to a connection of the process before, they end as a reset.
    async def case() -> None:
        pool = Pool()
        await pool.start()
        pool.pool.start(attempt_of(call_of(SAFE)))
        assert await pool.calls.endings.get() is AttemptEnding.SERVED and pool.sockets.idle == 1
        pool.list_anew()
        assert pool.sockets.idle == 1  # the same process, told of again
        pool.list_anew(started_ms=6.0)
        while pool.sockets.used:
            await asyncio.sleep(0)
        assert not pool.sockets.idle

    run(case())


def settings_with(**changes: object) -> dict[str, Any]:
    deliver = {**SETTINGS["classes"][1], **changes}  # type: ignore[index]
    return {"settings": {**SETTINGS, "classes": [SETTINGS["classes"][0], deliver]}}  # type: ignore[index]


UNSAFE = settings_with(effect="at_most_once")


@pytest.mark.parametrize(("settle_s", "connections"), [(3600.0, 2), (1e-9, 1)], ids=["not settled", "settled"])
def test_a_second_answer_that_comes_late_is_no_other_requests_answer(settle_s: float, connections: int) -> None:
    # Guards once-only work: marked as rejected, the late answer would say of the next request that it never ran.
    async def case() -> None:
        pool = Pool()
        pool.pool = EndpointPool(pool.calls, pool.sockets, 9000.0, 9000.0, ProviderTuning(settle_s=settle_s))
        opened: list[Writer] = []
        asked: asyncio.Queue[Writer] = asyncio.Queue()

        async def handler(reader: Reader, writer: Writer) -> None:
            opened.append(writer)
            parser = http1.RequestParser()
            while data := await reader.read(65536):
                parser.feed(data)
                if parser.take() is not None:
                    asked.put_nowait(writer)
            writer.close()

        server = await asyncio.start_server(handler, "127.0.0.1", 0)
        pool.pool.apply_list(
            [DiscoveredEndpoint("a", server.sockets[0].getsockname(), DiscoveryStatus.IN_SERVICE)], True
        )
        pool.pool.start(attempt_of(call_of(ONCE)))
        (first := await asked.get()).write(whole(200))
        assert await pool.calls.endings.get() is AttemptEnding.SERVED
        pool.pool.start(attempt_of(call_of(ONCE)))
        second = await asked.get()
        assert len(opened) == connections
        if second is not first:
            first.write(REJECTED)
            await first.wait_closed()  # what nobody asked for ends its connection
        second.write(whole(200))
        assert await pool.calls.endings.get() is AttemptEnding.SERVED and pool.calls.endings.empty()

    run(case())


def test_what_comes_on_a_new_connection_before_the_request_is_no_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards once-only work: an endpoint that speaks first could pass a stray rejection off as the request's answer.
    async def case() -> None:
        pool, spoken = Pool(), asyncio.Event()

        class Spoken(IOStream):
            """Comes up only once the endpoint's first word is there."""

            async def connect(self, *arguments: Any) -> IOStream:  # type: ignore[override]
                await super().connect(*arguments)
                await spoken.wait()
                while True:
                    with contextlib.suppress(BlockingIOError):
                        self.socket.recv(1, socket.MSG_PEEK)
                        return self
                    await asyncio.sleep(0)

        monkeypatch.setattr(endpoint_pool, "IOStream", Spoken)

        async def handler(reader: Reader, writer: Writer) -> None:
            writer.write(REJECTED)
            await writer.drain()
            spoken.set()
            pool.seen.put_nowait(await reader.read())

        server = await asyncio.start_server(handler, "127.0.0.1", 0)
        pool.pool.apply_list(
            [DiscoveredEndpoint("a", server.sockets[0].getsockname(), DiscoveryStatus.IN_SERVICE)], True
        )
        attempt = attempt_of(call_of(ONCE))
        pool.pool.start(attempt)
        assert await pool.calls.endings.get() is AttemptEnding.CONNECT_FAILED
        assert not attempt.sent_at

    run(case())


class Halting(IOStream):
    """A connection whose kernel takes only the first bytes of a request."""

    taken = 0

    def write_to_fd(self, data: memoryview) -> int:
        left = 10 - Halting.taken
        if left <= 0:
            raise BlockingIOError
        Halting.taken += super().write_to_fd(data[:left])
        return min(left, 10)


def hang_up(writer: Writer) -> None:
    """As a process that dies does: with a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def test_a_request_cut_within_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    # The endpoint never had the last byte, so also what may run once goes out again.
    async def case() -> None:
        pool = Pool()
        Halting.taken = 0
        monkeypatch.setattr(endpoint_pool, "IOStream", Halting)

        async def handler(reader: Reader, writer: Writer) -> None:
            assert len(await reader.readexactly(10)) == 10
            hang_up(writer)

        server = await asyncio.start_server(handler, "127.0.0.1", 0)
        pool.pool.apply_list(
            [DiscoveredEndpoint("a", server.sockets[0].getsockname(), DiscoveryStatus.IN_SERVICE)], True
        )
        pool.pool.start(attempt_of(call_of(ONCE)))
        assert await pool.calls.endings.get() is AttemptEnding.CONNECT_FAILED

    run(case())


Act = Callable[[Reader, Writer], Awaitable[None]]
