"""The accept queue of the client listener, and non-ASCII names in requests."""

from __future__ import annotations

import asyncio
import socket

import pytest

from limenotch.net.client_listener import ClientListener

from .helpers.connections import UP, Connections, read_from, wait_until, with_connections
from .helpers.http_peers import LOOK, SETTINGS, fetch, reply, replying
from .helpers.processes import run, with_sidecar
from .test_client_endings import LONG_TIMEOUTS


def test_a_connection_reset_right_after_connecting_disturbs_no_other() -> None:
    async def use(port: int) -> None:
        for _ in range(50):
            sock = socket.create_connection(("127.0.0.1", port))
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            sock.close()
        assert (await fetch(port, LOOK)).status == 200

    run(with_sidecar(replying(reply(200))[0], use))


def test_an_aborted_connection_does_not_stop_the_accept_loop() -> None:
    # Guards connections that wait in the queue at shutdown: a failed accept ended the loop, and the rest was reset.
    class Aborting(socket.socket):
        aborted = 0

        def accept(self) -> tuple[socket.socket, object]:
            if self.aborted < 2:
                self.aborted += 1
                raise ConnectionAbortedError(103, "Software caused connection abort")
            return super().accept()

    async def use(connections: Connections) -> None:
        listener: ClientListener = connections.listener
        listener._stop_listening()
        queue = Aborting()
        queue.bind(("127.0.0.1", 0))
        queue.listen(8)
        queue.setblocking(False)
        listener.listen(("127.0.0.1", 0), queue)
        clients = [socket.create_connection(queue.getsockname()) for _ in range(3)]
        for sock in clients:
            sock.settimeout(20.0)
            sock.sendall(UP)
        listener._accept_all()
        listener._stop_listening()
        for sock in clients:
            assert (await read_from(sock, b"\r\n\r\n")).startswith(
                b"HTTP/1.1 503 "
            )  # the listener is closed: not ready
            sock.close()

    run(with_connections(use, LONG_TIMEOUTS))


def test_without_descriptors_connections_wait_and_the_loop_does_not_spin() -> None:
    # Guards against a busy loop: a queue that can't be emptied called the listener in every turn of the event loop.
    class DescriptorsExhausted(socket.socket):
        accept_calls, exhausted = 0, True

        def accept(self) -> tuple[socket.socket, object]:
            self.accept_calls += 1
            if self.exhausted:
                raise OSError(24, "Too many open files")
            return super().accept()

    async def use(connections: Connections) -> None:
        connections.listener._stop_listening()
        queue = DescriptorsExhausted()
        queue.bind(("127.0.0.1", 0))
        queue.listen(8)
        queue.setblocking(False)
        connections.listener.listen(("127.0.0.1", 0), queue)
        sock = socket.create_connection(queue.getsockname())
        sock.settimeout(20.0)
        sock.sendall(UP)
        await wait_until(lambda: queue.accept_calls > 0)
        for _ in range(20):
            await asyncio.sleep(0)
        assert queue.accept_calls < 10  # in 20 turns, each of which used to call accept
        queue.exhausted = False
        assert (await read_from(sock, b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
        sock.close()

    run(with_connections(use, LONG_TIMEOUTS))


@pytest.mark.parametrize("encoding", ["utf-8", "latin-1"])
def test_names_of_classes_and_tenants_may_be_non_ascii(encoding: str) -> None:
    # Guards non-ASCII names: they were decoded to other names, and every request was answered with 400.
    classes = [{**SETTINGS["classes"][0], "name": "lekérdezés"}]  # type: ignore[index]
    settings = {**SETTINGS, "classes": classes, "tenants": [{"name": "Órarend", "quota_per_s": 100.0}]}
    request = LOOK.replace(b"look", "lekérdezés".encode(encoding)).replace(b"acme", "Órarend".encode(encoding))
    handler, requests = replying(reply(200))

    async def use(port: int) -> None:
        assert (await fetch(port, request)).status == 200

    run(with_sidecar(handler, use, extra={"settings": settings}))
    assert len(requests) == 1
