"""Follows what the kernel holds for open connections."""

from __future__ import annotations

import socket
from collections import OrderedDict

from .process_memory import socket_buffer_bytes

MEASURED_AT_ONCE = 192  # sockets: for a thousand a measurement takes milliseconds


class SocketGauge:
    """Measures a few sockets at a time, new ones first, then those that were not measured for longest."""

    def __init__(self) -> None:
        self.bytes = 0  # in all sockets, each as it was last measured
        self._measured: OrderedDict[socket.socket, int] = OrderedDict()

    def add(self, sock: socket.socket) -> None:
        """Follows a new socket."""
        self._measured[sock] = 0
        self._measured.move_to_end(sock, last=False)

    def discard(self, sock: socket.socket) -> None:
        """Follows the socket no more, if it was followed."""
        self.bytes -= self._measured.pop(sock, 0)

    def measure(self) -> int:
        """Measures up to MEASURED_AT_ONCE sockets, and returns what the kernel holds for all of them, in bytes."""
        for _ in range(min(MEASURED_AT_ONCE, len(self._measured))):
            sock, before = self._measured.popitem(last=False)
            now = socket_buffer_bytes(sock)
            self._measured[sock] = now
            self.bytes += now - before
        return self.bytes
