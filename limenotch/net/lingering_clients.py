"""Clients that have their last response: each has time to read it and to close its connection.

Closing a connection with unread bytes resets it, and the client may lose the response (RFC 9112, section 9.6). So our
sending side is shut down first, and what the client still sends is read and discarded, up to a limit.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from dataclasses import dataclass

from tornado.ioloop import IOLoop

from . import http1
from .socket_gauge import SocketGauge

LINGER_S = 0.5  # seconds for a client to read the response and to close
LINGER_BYTES = 256 * 1024  # read and discarded of each client
DISCARDED_AT_ONCE_BYTES = 64 * 1024
TOO_MANY_CLIENTS = http1.write_response(503, [(b"Retry-After", b"1")], b"too many clients\n", close=True)


@dataclass
class _Lingering:
    """One client."""

    timer: object  # closes the socket
    left_bytes: int  # that may still be discarded


class LingeringClients:
    """Owns the sockets of clients that have their last response until they are closed."""

    def __init__(self, released: Callable[[], None], gauge: SocketGauge | None = None) -> None:
        """`released` is called whenever a socket has been closed; `gauge`: measures the open ones."""
        self._released = released
        self._gauge = gauge or SocketGauge()
        self._loop = IOLoop.current()
        self._clients: dict[socket.socket, _Lingering] = {}  # of open sockets, the oldest first
        self._discarded = bytearray(DISCARDED_AT_ONCE_BYTES)
        self._emptied = asyncio.Event()

    def __len__(self) -> int:
        return len(self._clients)

    def refuse(self, sock: socket.socket) -> None:
        """Takes over the socket of a new client and responds with an error, without an object of a connection."""
        sock.setblocking(False)
        try:
            sock.send(TOO_MANY_CLIENTS)
            sock.shutdown(socket.SHUT_WR)
        except OSError:  # the client has gone
            sock.close()
            self._released()
            return
        self.add(sock)

    def add(self, sock: socket.socket) -> None:
        """Takes over a socket whose sending side is shut down."""
        timer = self._loop.call_later(LINGER_S, self._close, sock)
        self._clients[sock] = _Lingering(timer, LINGER_BYTES)
        self._gauge.add(sock)
        self._loop.add_handler(sock, lambda *_: self._discard(sock), IOLoop.READ)

    def drop_oldest(self) -> bool:
        """Closes the socket that was taken over first; False if there is none."""
        oldest = next(iter(self._clients), None)
        if oldest is not None:
            self._close(oldest)
        return oldest is not None

    def close(self) -> None:
        """Closes all sockets."""
        while self.drop_oldest():
            pass

    async def wait_until_empty(self, timeout_s: float) -> None:
        """Waits until all sockets are closed, for `timeout_s` seconds at most."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self._clients:
                    self._emptied.clear()
                    await self._emptied.wait()

    def _discard(self, sock: socket.socket) -> None:
        client = self._clients.get(sock)
        if client is None:  # closed earlier in this turn of the event loop
            return
        try:
            size = sock.recv_into(self._discarded)
        except BlockingIOError:
            return
        except OSError:
            size = 0
        client.left_bytes -= size
        if size == 0 or client.left_bytes <= 0:
            self._close(sock)

    def _close(self, sock: socket.socket) -> None:
        client = self._clients.pop(sock, None)
        if client is None:
            return
        self._loop.remove_timeout(client.timer)
        self._loop.remove_handler(sock)
        self._gauge.discard(sock)
        sock.close()
        if not self._clients:
            self._emptied.set()
        self._released()
