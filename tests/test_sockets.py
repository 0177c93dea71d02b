"""The one accept loop that consumers, operators and the successor's door share."""

from __future__ import annotations

import asyncio
import socket

from limenotch.net.sockets import Listener


def listening() -> socket.socket:
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen(8)
    sock.setblocking(False)
    return sock


def waiting(at: socket.socket, count: int) -> list[socket.socket]:
    return [socket.create_connection(at.getsockname()) for _ in range(count)]


def test_takes_at_most_so_many_then_stops_when_none_waits() -> None:
    async def play() -> tuple[int, int]:
        sock = listening()
        listener = Listener(sock, lambda: None)
        clients = waiting(sock, 3)
        taken: list[socket.socket] = []
        listener.accept_connections(2, taken.append, lambda error: None)
        first = len(taken)
        listener.accept_connections(5, taken.append, lambda error: None)  # one is left; then accept would block
        for s in (*taken, *clients):
            s.close()
        listener.close()
        return first, len(taken)

    assert asyncio.run(play()) == (2, 3)


def test_a_failed_accept_ends_the_turn_and_is_told() -> None:
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
        taken: list[socket.socket] = []
        listener.accept_connections(4, taken.append, errors.append)
        listener.close()
        return errors, taken

    errors, taken = asyncio.run(play())
    assert [e.errno for e in errors] == [24] and not taken


def test_nothing_is_taken_once_closed() -> None:
    async def play() -> tuple[int, list[OSError]]:
        sock = listening()
        listener = Listener(sock, lambda: None)
        clients = waiting(sock, 2)
        taken: list[socket.socket] = []

        def admit(one: socket.socket) -> None:  # the owner closes its listener while others wait
            taken.append(one)
            listener.close()

        errors: list[OSError] = []
        listener.accept_connections(4, admit, errors.append)
        for s in (*taken, *clients):
            s.close()
        return len(taken), errors

    assert asyncio.run(play()) == (1, [])  # no accept on the closed socket, so no error told
