"""A client that closes its connection has gone: it is noticed at every stage, and nothing begins after it."""

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
FEW = pytest.mark.parametrize("more", BYTES.values(), ids=BYTES)
MORE = pytest.mark.parametrize("more", [*BYTES.values(), bytes(4 * MAX_READ_AHEAD_BYTES)], ids=[*BYTES, "a flood"])
SOON_S = 20.0  # far from what it takes; a program that does not notice waits for the calls' end


async def sent(writer: Writer) -> None:
    """All of it is in the kernel."""
    while writer.transport.get_write_buffer_size():
        await asyncio.sleep(0)


async def soon(wait: Awaitable[Any]) -> None:
    await asyncio.wait_for(wait, SOON_S)


class Held:
    """An endpoint that reads requests, answers none and notes which connections ended."""

    def __init__(self, whole_: int = 0) -> None:
        self.arrived: asyncio.Queue[bytes] = asyncio.Queue()
        self.left: asyncio.Queue[bytes] = asyncio.Queue()
        self._whole = whole_

    async def handle(self, reader: Reader, writer: Writer) -> None:
        request = await reader.readuntil(b"\r\n\r\n")
        if self._whole:
            await reader.readexactly(self._whole)
        self.arrived.put_nowait(request)
        while await reader.read(65536):
            pass
        self.left.put_nowait(request)
        writer.close()


@MORE
@pytest.mark.parametrize(("wire", "body"), [(LOOK, 0), (LONG, 3 * MAX_BUFFERED_BODY_BYTES)], ids=["short", "long"])
def test_gone_while_an_attempt_is_out_ends_it(wire: bytes, body: int, more: bytes) -> None:
    # Guards against attempts for nobody: with more bytes behind its request, a client's end once went unnoticed.
    async def case() -> None:
        endpoint = Held(body)

        async def use(port: int) -> None:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(wire)
            await endpoint.arrived.get()
            writer.write(more)
            await soon(sent(writer))
            writer.close()
            await soon(endpoint.left.get())
            assert endpoint.arrived.empty()

        await with_sidecar(endpoint.handle, use)

    run(case())


def listing(address: str, status: str, index: int) -> bytes:
    entries = [
        {"name": name, "address": address, "zone": "a", "status": status, "weight": 1.0, "since_ms": 0} for name in "ab"
    ]
    return json.dumps({"index": index, "snapshot": True, "endpoints": entries}).encode() + b"\n"


class Releasing:
    """Discovery whose watch brings endpoints that may serve when the test says so."""

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


@MORE
def test_gone_while_its_call_waits_for_the_first_attempt(more: bytes) -> None:
    async def case() -> None:
        handler, seen = replying(reply(200))
        endpoint = await asyncio.start_server(handler, "127.0.0.1", 0)
        releasing, admin = Releasing(), free_port()
        releasing.address = "127.0.0.1:%d" % endpoint.sockets[0].getsockname()[1]  # noqa: UP031
        discovery = await asyncio.start_server(releasing.handle, "127.0.0.1", 0)
        known = json.loads(listing(releasing.address, "terminating", 3))
        config = {
            "admin_addr": f"127.0.0.1:{admin}",
            "known": known,
            "discovery": "127.0.0.1:%d" % discovery.sockets[0].getsockname()[1],  # noqa: UP031
        }

        async def use(port: int) -> None:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(LOOK + more)
            await soon(sent(writer))
            writer.close()
            staying = asyncio.create_task(fetch(port, LOOK.replace(b"Id: 1", b"Id: 7")))
            await soon(departed(admin))
            releasing.release.set()
            assert (await staying).status == 200
            assert [request.fields[b"x-call-id"] for request in seen] == [b"7"]

        await with_sidecar(handler, use, extra=config)
        discovery.close()
        endpoint.close()

    run(case())


@FEW
def test_gone_between_attempts(more: bytes) -> None:
    # The first attempt fails when the client's end is already there: no second one may begin.
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
            await soon(sent(writer))
            writer.transport.get_extra_info("socket").shutdown(1)  # its end lies in the sidecar's kernel from here on
            fail.set()
            assert (await fetch(port, LOOK.replace(b"Id: 1", b"Id: 7"))).status == 200
            assert b"Id: 7\r\n" in await ids.get() and ids.empty()
            writer.close()

        await with_sidecar(handle, use)

    run(case())


def test_gone_before_its_request_is_read_takes_no_call() -> None:
    async def use(connections: Connections) -> None:
        sock, _ = await connections.client()
        sock.sendall(LOOK)
        sock.close()
        await wait_until(lambda: not connections.listener._open)
        assert connections.accepted_requests() == 0

    run(with_connections(use))


@pytest.mark.parametrize("part", [LOOK[:20], DELIVER[:-1], LONG[:-1]], ids=["head", "body", "long body"])
def test_gone_within_its_request(part: bytes) -> None:
    async def use(connections: Connections) -> None:
        sock, _ = await connections.client()
        await asyncio.to_thread(sock.sendall, part)
        sock.close()
        await wait_until(lambda: not connections.listener._open)
        assert not connections.request_manager.open and connections.budget.used == 0

    run(with_connections(use))


def test_gone_is_known_before_timers_that_are_due_then() -> None:
    # Guards against an attempt that a timer begins in the very turn of the loop that reads the client's end.
    async def use(connections: Connections) -> None:
        sock, consumer = await connections.client()
        sock.sendall(LOOK)
        await wait_until(lambda: bool(connections.request_manager.open))
        (call,) = connections.request_manager.open.values()
        seen: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        await asyncio.sleep(0)
        sock.close()
        asyncio.get_running_loop().call_later(0.001, lambda: seen.set_result(call.client_has_disconnected))
        time.sleep(0.02)  # the loop is late: the end and the timer come in one turn
        assert await seen

    run(with_connections(use))


def test_memory_of_a_long_request_comes_back_when_its_client_goes() -> None:
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


def test_a_flood_behind_a_request_costs_memory_up_to_a_bound_and_the_connection() -> None:
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
            await soon(sent(writer))
            release.set()
            answer = await reader.read()  # up to the end, which is no reset
            assert answer.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in answer
            writer.close()

        await with_sidecar(handle, use)

    run(case())


def test_an_end_that_only_the_kernel_knows_stops_an_attempt() -> None:
    # Guards against a loop that was busy: what it has not read yet is asked of the kernel right before the first byte.
    async def use(connections: Connections) -> None:
        sock, _ = await connections.client()
        sock.sendall(LOOK)
        await wait_until(lambda: connections.accepted_requests() == 1)
        (call,) = connections.request_manager.open.values()
        assert call.client_connected()
        sock.close()  # in the kernel at once; this loop has not turned since
        assert not call.client_connected() and not call.client_has_disconnected
        await wait_until(lambda: call.client_has_disconnected)
        assert not call.client_connected()

    run(with_connections(use))
