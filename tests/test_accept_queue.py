"""The queue of connections not accepted yet, and names in requests."""

from __future__ import annotations

import asyncio
import socket

import pytest

from limenotch.net.client_listener import ClientListener

from .helpers.connections import UP, Connections, read_from, wait_until, with_connections
from .helpers.http_peers import LOOK, SETTINGS, fetch, reply, replying
from .helpers.processes import run, with_sidecar
from .test_client_endings import PATIENT


def test_a_connection_accepted_and_gone_at_once_costs_nobody_anything() -> None:
    async def use(port: int) -> None:
        for _ in range(50):
            sock = socket.create_connection(("127.0.0.1", port))
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            sock.close()
        assert (await fetch(port, LOOK)).status == 200

    run(with_sidecar(replying(reply(200))[0], use))


def test_one_aborted_in_the_queue_costs_those_behind_it_nothing() -> None:
    # Guards what waits when a process leaves: the accept that failed ended the turn, and the queue was reset.
    class Aborting(socket.socket):
        aborted = 0

        def accept(self) -> tuple[socket.socket, object]:
            if self.aborted < 2:
                self.aborted += 1
                raise ConnectionAbortedError(103, "Software caused connection abort")
            return super().accept()

    async def use(connections: Connections) -> None:
        all_: ClientListener = connections.listener
        all_._stop_listening()
        queue = Aborting()
        queue.bind(("127.0.0.1", 0))
        queue.listen(8)
        queue.setblocking(False)
        all_.listen(("127.0.0.1", 0), queue)
        clients = [socket.create_connection(queue.getsockname()) for _ in range(3)]
        for sock in clients:
            sock.settimeout(20.0)
            sock.sendall(UP)
        all_._accept_all()
        all_._stop_listening()
        for sock in clients:
            assert (await read_from(sock, b"\r\n\r\n")).startswith(b"HTTP/1.1 503 ")  # no listener: not ready
            sock.close()

    run(with_connections(use, PATIENT))


def test_without_a_descriptor_the_queue_waits_and_the_loop_does_not_spin() -> None:
    # Guards everybody else: a queue that can't be emptied called the listener in every turn of the loop.
    class Full(socket.socket):
        tries, full = 0, True

        def accept(self) -> tuple[socket.socket, object]:
            self.tries += 1
            if self.full:
                raise OSError(24, "Too many open files")
            return super().accept()

    async def use(connections: Connections) -> None:
        connections.listener._stop_listening()
        queue = Full()
        queue.bind(("127.0.0.1", 0))
        queue.listen(8)
        queue.setblocking(False)
        connections.listener.listen(("127.0.0.1", 0), queue)
        sock = socket.create_connection(queue.getsockname())
        sock.settimeout(20.0)
        sock.sendall(UP)
        await wait_until(lambda: queue.tries > 0)
        for _ in range(20):
            await asyncio.sleep(0)
        assert queue.tries < 10  # in so many turns, each of which used to try
        queue.full = False
        assert (await read_from(sock, b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
        sock.close()

    run(with_connections(use, PATIENT))


@pytest.mark.parametrize("encoding", ["utf-8", "latin-1"])
def test_names_of_classes_and_tenants_may_have_any_letter(encoding: str) -> None:
    # Guards customers whose language is not English: their names came out as others and every request was a 400.
    classes = [{**SETTINGS["classes"][0], "name": "lekérdezés"}]  # type: ignore[index]
    named = {**SETTINGS, "classes": classes, "tenants": [{"name": "Órarend", "quota_per_s": 100.0}]}
    request = LOOK.replace(b"look", "lekérdezés".encode(encoding)).replace(b"acme", "Órarend".encode(encoding))
    handler, seen = replying(reply(200))

    async def use(port: int) -> None:
        assert (await fetch(port, request)).status == 200

    run(with_sidecar(handler, use, extra={"settings": named}))
    assert len(seen) == 1
