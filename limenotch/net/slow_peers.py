"""Writes to peers that read slowly: when a peer that a write waits for counts as one that does not read any more.

What a peer reads can't be seen from here, only what its kernel acknowledges. Once the buffers of both kernels are full,
that comes in large steps, however steadily the peer reads.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream

from .pipe import BudgetShare, BufferBudget

# The kernel doubles it. Its own choice grows to megabytes, and a write goes on only when a third of them is free.
SEND_BUFFER_BYTES = 128 * 1024
RECEIVE_BUFFER_BYTES = 64 * 1024  # of connections to and from discovery, operators and peers
MAX_SEGMENT_BYTES = 8 * 1024
MAX_UNSEEN_BYTES = 512 * 1024  # that a peer may read before its kernel acknowledges more
MIN_READ_RATE = 32 * 1024  # bytes a second
MAX_UNSEEN_S = MAX_UNSEEN_BYTES / MIN_READ_RATE


def limit_send_buffer(sock: socket.socket, size: int = SEND_BUFFER_BYTES) -> None:
    """Bounds the kernel's send buffer, so that a write to a slow peer shows soon that the peer reads."""
    with contextlib.suppress(OSError):  # closed by the peer, which the first read or write reports
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)


def limit_receive_buffer(sock: socket.socket, size: int = RECEIVE_BUFFER_BYTES) -> None:
    """Bounds the kernel's receive buffer of a socket that is not connected yet, or of those that a listener accepts.

    Large segments, as on the loopback interface, would not fit into small buffers, and the peer would wait for
    acknowledgements (RFC 1122, 4.2.3.4).
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, MAX_SEGMENT_BYTES)


async def write_to_reader(
    stream: IOStream, data: bytes, silence_s: float, give_up: Callable[[], None], budget: BufferBudget
) -> None:
    """Writes `data`; calls `give_up`, which closes the stream, if its peer reads nothing for `silence_s` seconds.

    Until all of it is written, `data` is charged to the budget.

    A peer that reads at least MIN_READ_RATE and pauses for less than `silence_s` is never given up. One that does not
    read at all is given up after `silence_s` and MAX_UNSEEN_S. Raises StreamClosedError.
    """
    written = stream.write(data)
    if written.done():
        await written
        return
    timer = IOLoop.current().call_later(silence_s + MAX_UNSEEN_S, give_up)
    share = BudgetShare(budget)
    share.set(len(data))
    try:
        await written
    finally:
        share.set(0)
        IOLoop.current().remove_timeout(timer)
