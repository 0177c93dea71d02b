"""Peers that read slowly: clients of long responses, and endpoints of long requests."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import socket
from time import monotonic

import pytest
from tornado.iostream import IOStream, StreamClosedError

from limenotch.net import slow_peers
from limenotch.net.pipe import READ_BYTES, BufferBudget
from limenotch.net.slow_peers import MAX_UNSEEN_BYTES, SEND_BUFFER_BYTES, limit_send_buffer, write_to_reader
from limenotch.settings import ClientSettings, EndpointSettings, Settings

from .helpers.http_peers import LOOK, Reader, Writer, fetch, reply
from .helpers.processes import run, with_sidecar
from .test_streamed_responses import OK, POST

LONG_BODY = bytes(range(256)) * 65536  # 16 MiB: more than the kernel buffers on the way
READ_RATE = 4 * 1024 * 1024  # bytes a second: LONG_BODY takes 4 s
SILENCE_S = 0.2  # a third of the kernel's own send buffer takes longer at this rate


async def read_slowly(reader: Reader, size: int) -> bytes:
    """Reads `size` bytes at READ_RATE, or what there is up to the end of the connection."""
    started_at, received = monotonic(), bytearray()
    while len(received) < size and (data := await reader.read(min(65536, size - len(received)))):
        received += data
        await asyncio.sleep(max(started_at + len(received) / READ_RATE - monotonic(), 0.0))
    return bytes(received)


def test_a_client_that_reads_a_long_response_slowly_gets_all_of_it() -> None:
    # Guards steady readers: `write_s` counted until the kernel had a third of megabytes free, though the client read.
    async def respond(reader: Reader, writer: Writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(OK + b"Content-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY)
        await writer.drain()
        writer.close()

    async def use(port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(LOOK)
        await reader.readuntil(b"\r\n\r\n")
        received = await read_slowly(reader, len(LONG_BODY))
        writer.close()
        assert len(received) == len(LONG_BODY)
        assert hashlib.sha256(received).digest() == hashlib.sha256(LONG_BODY).digest()

    run(with_sidecar(respond, use, settings=Settings(clients=ClientSettings(write_s=SILENCE_S))))


def test_an_endpoint_that_reads_a_long_request_slowly_gets_all_of_it() -> None:
    # Guards steady readers: `stall_s` counted until the kernel had a third of megabytes free, though the endpoint read.
    received: list[bytes] = []

    async def respond(reader: Reader, writer: Writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        received.append(await read_slowly(reader, len(LONG_BODY)))
        writer.write(reply(200))
        writer.close()

    async def use(port: int) -> None:
        wire = POST + b"Content-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY
        assert (await fetch(port, wire)).status == 200

    run(with_sidecar(respond, use, settings=Settings(endpoints=EndpointSettings(stall_s=SILENCE_S))))
    assert [len(body) for body in received] == [len(LONG_BODY)] and received[0] == LONG_BODY


@pytest.mark.parametrize("minor", [0, 1])
def test_a_client_that_stopped_reading_does_not_take_a_part_for_all(
    minor: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards clients of HTTP/1.0, for which an orderly end completes a response with no length.
    monkeypatch.setattr(slow_peers, "MAX_UNSEEN_S", 0.1)
    given_up = asyncio.Event()

    async def respond(reader: Reader, writer: Writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(OK + b"\r\n" + LONG_BODY + LONG_BODY)
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        given_up.set()
        writer.close()

    async def use(port: int) -> None:
        sock = socket.create_connection(("127.0.0.1", port))
        sock.sendall(LOOK.replace(b"HTTP/1.1", b"HTTP/1.%d" % minor))
        await given_up.wait()
        await asyncio.sleep(0.2)
        received = bytearray()
        with contextlib.suppress(ConnectionResetError):
            while data := sock.recv(65536):
                received += data
            assert minor, "the connection ended in order"
        sock.close()
        assert len(received) < len(LONG_BODY) and not received.endswith(b"0\r\n\r\n")

    run(with_sidecar(respond, use, settings=Settings(clients=ClientSettings(write_s=SILENCE_S))))


async def connected_pair(receive_buffer_bytes: int) -> tuple[IOStream, socket.socket]:
    """A stream with a bounded send buffer, and the socket of its peer, which does not read by itself."""
    listener = socket.create_server(("127.0.0.1", 0))
    peer = socket.socket()
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    peer.connect(listener.getsockname())
    sock, _ = listener.accept()
    listener.close()
    limit_send_buffer(sock)
    return IOStream(sock), peer


def test_a_write_that_waits_goes_on_once_its_peer_has_read_what_may_go_unseen() -> None:
    # Guards the bound of the send buffer: with the kernel's own, over a megabyte has to be read first.
    async def case() -> None:
        stream, peer = await connected_pair(SEND_BUFFER_BYTES)
        written = stream.write(bytes(READ_BYTES))
        while (await asyncio.wait([asyncio.ensure_future(written)], timeout=0.2))[0]:
            written = stream.write(bytes(READ_BYTES))
        peer.setblocking(False)
        peer_read = 0
        while not written.done():
            with contextlib.suppress(BlockingIOError):
                peer_read += len(peer.recv(READ_BYTES))
            await asyncio.sleep(0.01)
        assert peer_read <= MAX_UNSEEN_BYTES
        stream.close()
        peer.close()

    run(case())


def test_a_peer_that_never_reads_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards the connections and the memory that such a peer would hold for ever.
    monkeypatch.setattr(slow_peers, "MAX_UNSEEN_S", 0.1)

    async def case() -> None:
        stream, peer = await connected_pair(SEND_BUFFER_BYTES)
        started_at = monotonic()
        with pytest.raises(StreamClosedError):
            await write_to_reader(stream, bytes(16 * SEND_BUFFER_BYTES), SILENCE_S, stream.close, BufferBudget(0))
        assert SILENCE_S <= monotonic() - started_at < 5.0
        peer.close()

    run(case())


def test_the_send_buffer_of_a_closed_socket_can_be_limited() -> None:
    # Guards the listener: a client may have gone between accept and the call.
    sock = socket.socket()
    sock.close()
    limit_send_buffer(sock)
