"""The accept loop that the listeners for clients, operators and the successor process share."""

from __future__ import annotations

import asyncio
import socket

from limenotch.net.sockets import Listener


def listening_socket() -> socket.socket:
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen(8)
    sock.setblocking(False)
    return sock


def connect_clients(listener_socket: socket.socket, count: int) -> list[socket.socket]:
    return [socket.create_connection(listener_socket.getsockname()) for _ in range(count)]


def test_accepts_up_to_the_limit_and_stops_at_an_empty_queue() -> None:
    async def play() -> tuple[int, int]:
        sock = listening_socket()
        listener = Listener(sock, lambda: None)
        clients = connect_clients(sock, 3)
        accepted: list[socket.socket] = []
        listener.accept_connections(2, accepted.append, lambda error: None)
        accepted_at_first = len(accepted)
        listener.accept_connections(
            5, accepted.append, lambda error: None
        )  # one connection is left; then accept would block
        for s in (*accepted, *clients):
            s.close()
        listener.close()
        return accepted_at_first, len(accepted)

    assert asyncio.run(play()) == (2, 3)


def test_a_failed_accept_ends_the_loop_and_is_reported() -> None:
    class Failing(socket.socket):
        def accept(self) -> tuple[socket.socket, object]:
            raise OSError(24, "Too many open files")

    async def play() -> tuple[list[OSError], list[socket.socket]]:
        sock = Failing()
        sock.bind(("127.0.0.1", 0))
        sock.listen(8)
        sock.setblocking(False)
        listener = Listener(sock, lambda: None)
        errors: list[OSError] = []
        accepted: list[socket.socket] = []
        listener.accept_connections(4, accepted.append, errors.append)
        listener.close()
        return errors, accepted

    errors, accepted = asyncio.run(play())
    assert [e.errno for e in errors] == [24] and not accepted


def test_nothing_is_accepted_after_close() -> None:
    async def play() -> tuple[int, list[OSError]]:
        sock = listening_socket()
        listener = Listener(sock, lambda: None)
        clients = connect_clients(sock, 2)
        accepted: list[socket.socket] = []

        def admit(connection: socket.socket) -> None:  # closes the listener while connections wait
            accepted.append(connection)
            listener.close()

        errors: list[OSError] = []
        listener.accept_connections(4, admit, errors.append)
        for s in (*accepted, *clients):
            s.close()
        return len(accepted), errors

    assert asyncio.run(play()) == (1, [])  # no accept on the closed socket, so no error is reported
