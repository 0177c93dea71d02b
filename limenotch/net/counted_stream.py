"""A stream whose unread bytes are charged to the memory budget, and which reads less while that is exhausted."""

from __future__ import annotations

import asyncio
import socket

from tornado.iostream import IOStream

from .pipe import BudgetShare, BufferBudget
from .slow_peers import limit_receive_buffer, limit_send_buffer


class CountedStream(IOStream):
    """A connection of a client or an endpoint.

    A read may wait for long, so how much it may bring is decided when bytes arrive, and not when it starts.
    """

    def __init__(self, sock: socket.socket, budget: BufferBudget, max_buffer_size: int) -> None:
        super().__init__(sock, max_buffer_size=max_buffer_size)
        self._budget = budget
        self._unread = BudgetShare(budget)
        budget.gauge.add(sock)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads what the budget allows; None if that is nothing now (overrides IOStream)."""
        allowed = self._budget.read_bytes - self._unread.bytes
        if allowed <= 0:
            return None
        size = super().read_from_fd(memoryview(buf)[:allowed])
        if size:
            self._unread.set(self._unread.bytes + size)
        return size

    def read_piece(self) -> asyncio.Future[bytes]:
        """Starts to read the next bytes; its result is to be passed to `taken`. Raises OSError, StreamClosedError."""
        return asyncio.ensure_future(self.read_bytes(self._budget.read_bytes, partial=True))

    def taken(self, piece: bytes) -> None:
        """The reader has the piece, and charges it as its own."""
        self._unread.set(max(self._unread.bytes - len(piece), 0))

    def close_fd(self) -> None:
        """Closes the descriptor, and ends the charge (overrides IOStream)."""
        self._unread.set(0)
        self._budget.gauge.discard(self.socket)
        super().close_fd()


def open_stream(address: tuple[str, int], budget: BufferBudget, max_buffer_size: int) -> CountedStream:
    """A stream that is not connected yet, for this address. Raises OSError if no socket can be created."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if budget.sockets is not None:
        limit_receive_buffer(sock, budget.sockets.receive_response)
        limit_send_buffer(sock, budget.sockets.send)
    else:
        limit_send_buffer(sock)
    return CountedStream(sock, budget, max_buffer_size)
