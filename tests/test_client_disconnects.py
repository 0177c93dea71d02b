"""A client that disconnects is noticed at every stage of its request, and no attempt starts after that."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable
from typing import Any

import pytest

from limenotch.net import http1
from limenotch.net.pipe import MAX_BUFFERED_BODY_BYTES
from limenotch.net.read_ahead import MAX_READ_AHEAD_BYTES

from .helpers.connections import Connections, wait_until, with_connections
from .helpers.http_peers import DELIVER, LOOK, Reader, Writer, fetch, read_response, reply, replying
from .helpers.processes import free_port, run, with_sidecar
from .test_admin_server import consistent_metrics

NEXT = LOOK.replace(b"Id: 1", b"Id: 2")
LONG = DELIVER.replace(
    b"Content-Length: 3\r\n\r\ndoc", b"Content-Length: %d\r\n\r\n" % (3 * MAX_BUFFERED_BODY_BYTES)
) + bytes(3 * MAX_BUFFERED_BODY_BYTES)
BYTES = {
    "nothing": b"",
    "half a line": b"GET /ha",
    "a request": NEXT,
    "a request and a half": NEXT + b"GET /ha",
    "much": bytes(MAX_READ_AHEAD_BYTES // 2),
}
BUFFERED_BYTES = pytest.mark.parametrize("more", BYTES.values(), ids=BYTES)
ANY_BYTES = pytest.mark.parametrize("more", [*BYTES.values(), bytes(4 * MAX_READ_AHEAD_BYTES)], ids=[*BYTES, "a flood"])
TIMEOUT_S = 20.0  # much longer than needed; without noticing, the program would wait until the requests end


async def sent(writer: Writer) -> None:
    """Waits until all that was written is in the kernel."""
    while writer.transport.get_write_buffer_size():
        await asyncio.sleep(0)


async def within_timeout(wait: Awaitable[Any]) -> None:
    await asyncio.wait_for(wait, TIMEOUT_S)


class HangingEndpoint:
    """An endpoint that reads requests, answers none, and records the requests whose connections ended."""

    def __init__(self, body_bytes: int = 0) -> None:
        self.arrived: asyncio.Queue[bytes] = asyncio.Queue()
        self.ended: asyncio.Queue[bytes] = asyncio.Queue()
        self._body_bytes = body_bytes

    async def handle(self, reader: Reader, writer: Writer) -> None:
        request = await reader.readuntil(b"\r\n\r\n")
        if self._body_bytes:
            await reader.readexactly(self._body_bytes)
        self.arrived.put_nowait(request)
        while await reader.read(65536):
            pass
        self.ended.put_nowait(request)
        writer.close()


@ANY_BYTES
@pytest.mark.parametrize(("wire", "body"), [(LOOK, 0), (LONG, 3 * MAX_BUFFERED_BODY_BYTES)], ids=["short", "long"])
def test_a_disconnect_ends_an_attempt_in_flight(wire: bytes, body: int, more: bytes) -> None:
    # A client's disconnect was not noticed once if there were more bytes after its request.
    async def case() -> None:
        endpoint = HangingEndpoint(body)

        async def use(port: int) -> None:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(wire)
            await endpoint.arrived.get()
            writer.write(more)
            await within_timeout(sent(writer))
            writer.close()
            await within_timeout(endpoint.ended.get())
            assert endpoint.arrived.empty()

        await with_sidecar(endpoint.handle, use)

    run(case())


def listing(address: str, status: str, index: int) -> bytes:
    entries = [
        {"name": name, "address": address, "zone": "a", "status": status, "weight": 1.0, "since_ms": 0} for name in "ab"
    ]
    return json.dumps({"index": index, "snapshot": True, "endpoints": entries}).encode() + b"\n"


class DelayedDiscovery:
    """Discovery that lists endpoints as in service once the test sets `release`."""

    def __init__(self) -> None:
        self.address: str = ""
        self.release = asyncio.Event()

    async def handle(self, reader: Reader, writer: Writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        await self.release.wait()
        line = listing(self.address, "in_service", 9)
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))
        await reader.read()
        writer.close()


async def departed(admin: int) -> None:
    while (await consistent_metrics(admin))["lb.transactions.look.departed"][0] == 0:
        await asyncio.sleep(0)


@ANY_BYTES
def test_a_disconnect_before_the_first_attempt_ends_the_request(more: bytes) -> None:
    async def case() -> None:
        handler, seen = replying(reply(200))
        endpoint = await asyncio.start_server(handler, "127.0.0.1", 0)
        delayed, admin = DelayedDiscovery(), free_port()
        delayed.address = "127.0.0.1:%d" % endpoint.sockets[0].getsockname()[1]  # noqa: UP031
        discovery = await asyncio.start_server(delayed.handle, "127.0.0.1", 0)
        known = json.loads(listing(delayed.address, "terminating", 3))
        config = {
            "admin_addr": f"127.0.0.1:{admin}",
            "known": known,
            "discovery": "127.0.0.1:%d" % discovery.sockets[0].getsockname()[1],  # noqa: UP031
        }

        async def use(port: int) -> None:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(LOOK + more)
            await within_timeout(sent(writer))
            writer.close()
            staying = asyncio.create_task(fetch(port, LOOK.replace(b"Id: 1", b"Id: 7")))
            await within_timeout(departed(admin))
            delayed.release.set()
            assert (await staying).status == 200
            assert [request.fields[b"x-call-id"] for request in seen] == [b"7"]

        await with_sidecar(handler, use, extra=config)
        discovery.close()
        endpoint.close()

    run(case())


@BUFFERED_BYTES
def test_after_a_disconnect_there_is_no_second_attempt(more: bytes) -> None:
    # The first attempt fails after the client's disconnect has reached the kernel.
    async def case() -> None:
        ids: asyncio.Queue[bytes] = asyncio.Queue()
        fail = asyncio.Event()

        async def handle(reader: Reader, writer: Writer) -> None:
            request = await reader.readuntil(b"\r\n\r\n")
            ids.put_nowait(request)
            if b"Id: 1\r\n" in request:
                await fail.wait()
                writer.write(reply(500))
            else:
                writer.write(reply(200))
            await reader.read()
            writer.close()

        async def use(port: int) -> None:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(LOOK)
            await ids.get()
            writer.write(more)
            await within_timeout(sent(writer))
            writer.transport.get_extra_info("socket").shutdown(1)  # from now on the end is in the sidecar's kernel
            fail.set()
            assert (await fetch(port, LOOK.replace(b"Id: 1", b"Id: 7"))).status == 200
            assert b"Id: 7\r\n" in await ids.get() and ids.empty()
            writer.close()

        await with_sidecar(handle, use)

    run(case())


def test_a_disconnect_before_the_request_is_read_accepts_no_request() -> None:
    async def use(connections: Connections) -> None:
        sock, _ = await connections.client()
        sock.sendall(LOOK)
        sock.close()
        await wait_until(lambda: not connections.listener._open)
        assert connections.accepted_requests() == 0

    run(with_connections(use))


@pytest.mark.parametrize("part", [LOOK[:20], DELIVER[:-1], LONG[:-1]], ids=["head", "body", "long body"])
def test_a_disconnect_within_a_request_releases_its_memory(part: bytes) -> None:
    async def use(connections: Connections) -> None:
        sock, _ = await connections.client()
        await asyncio.to_thread(sock.sendall, part)
        sock.close()
        await wait_until(lambda: not connections.listener._open)
        assert not connections.request_manager.open and connections.budget.used == 0

    run(with_connections(use))


def test_a_disconnect_is_known_before_timers_of_the_same_turn_run() -> None:
    # A timer must not start an attempt in the turn of the event loop that reads the client's disconnect.
    async def use(connections: Connections) -> None:
        sock, consumer = await connections.client()
        sock.sendall(LOOK)
        await wait_until(lambda: bool(connections.request_manager.open))
        (call,) = connections.request_manager.open.values()
        seen: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        await asyncio.sleep(0)
        sock.close()
        asyncio.get_running_loop().call_later(0.001, lambda: seen.set_result(call.client_has_disconnected))
        time.sleep(0.02)  # blocks the event loop, so that the disconnect and the timer are due in one turn
        assert await seen

    run(with_connections(use))


def test_the_memory_of_a_long_request_is_released_when_its_client_disconnects() -> None:
    async def use(connections: Connections) -> None:
        sock, _ = await connections.client()
        await asyncio.to_thread(sock.sendall, LONG)
        await wait_until(lambda: connections.budget.used > 0)
        sock.close()
        await wait_until(lambda: not connections.listener._open)
        await wait_until(lambda: connections.budget.used == 0)
        assert not connections.request_manager.open

    run(with_connections(use))


def test_requests_sent_ahead_are_served_in_order() -> None:
    handler, _ = replying(reply(200))

    async def use(port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        wires = [LOOK.replace(b"Id: 1", b"Id: %d" % number) for number in range(20)]
        writer.write(b"".join(wires))
        parser = http1.ResponseParser()
        for _ in wires:
            answer = await read_response(reader, parser)
            assert (answer.status, answer.keep_alive) == (200, True)
        writer.close()

    run(with_sidecar(handler, use))


def test_a_flood_after_a_request_uses_limited_memory_and_ends_the_connection() -> None:
    async def case() -> None:
        arrived, release = asyncio.Event(), asyncio.Event()

        async def handle(reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            arrived.set()
            await release.wait()
            writer.write(reply(200))

        async def use(port: int) -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(LOOK)
            await arrived.wait()
            writer.write(bytes(32 * MAX_READ_AHEAD_BYTES))
            await within_timeout(sent(writer))
            release.set()
            answer = await reader.read()  # up to the end of the connection, which is not a reset
            assert answer.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in answer
            writer.close()

        await with_sidecar(handle, use)

    run(case())


def test_a_disconnect_that_only_the_kernel_has_noticed_prevents_an_attempt() -> None:
    # A busy event loop may not have read the disconnect: the kernel is asked right before the first byte is sent.
    async def use(connections: Connections) -> None:
        sock, _ = await connections.client()
        sock.sendall(LOOK)
        await wait_until(lambda: connections.accepted_requests() == 1)
        (call,) = connections.request_manager.open.values()
        assert call.client_connected()
        sock.close()  # known to the kernel at once, but not yet to the event loop
        assert not call.client_connected() and not call.client_has_disconnected
        await wait_until(lambda: call.client_has_disconnected)
        assert not call.client_connected()

    run(with_connections(use))
