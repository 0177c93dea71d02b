"""The connections of a process that serves to those on standby for it (`standby.py`)."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

from .. import logs
from .standby import LISTENER, REFUSED

log = logs.get(__name__)

MAX_REQUEST_BYTES = 32 * 1024
MAX_OPERATORS_AT_ONCE = 8  # connections that come with one message
READ_BYTES = 64
STATE_TIMEOUT_S = 0.2  # for a process on standby to read the state, as this process is about to be killed

# The fault of the configuration that a process with this environment would use; None: it can be used.
ConfigurationCheck = Callable[[dict[str, str]], str | None]


class StandbyConnections:
    """Owns the connections to the processes that take over when this one has ended."""

    def __init__(self) -> None:
        self.configuration_fault: ConfigurationCheck = lambda environ: None
        # Called with each connection that an operator made to a process on standby.
        self.operator_connected: Callable[[socket.socket], None] = lambda sock: sock.close()
        self._loop = IOLoop.current()
        self._open: set[socket.socket] = set()

    def __bool__(self) -> bool:
        return bool(self._open)

    async def add(self, stream: IOStream, listener: socket.socket) -> None:
        """Passes on the clients' listener if the other process's configuration can be used, else says why not.

        To be called when the first line has been read. Raises StreamClosedError, OSError or ValueError.
        """
        content = await stream.read_until(b"\0\0", max_bytes=MAX_REQUEST_BYTES)
        variables = (os.fsdecode(variable).partition("=") for variable in content.split(b"\0") if variable)
        fault = self.configuration_fault({name: value for name, _, value in variables})
        if fault is not None:
            log.warning("configuration of the process on standby rejected", error=fault)
            await stream.write(REFUSED + fault.encode() + b"\n")
            return
        sock = stream.socket.dup()  # without a stream, which would not receive descriptors
        stream.close()
        sock.setblocking(False)
        try:
            socket.send_fds(sock, [LISTENER], [listener.fileno()])
        except OSError:
            sock.close()
            raise
        self._open.add(sock)
        self._loop.add_handler(sock, lambda *_: self._receive(sock), IOLoop.READ)
        log.info("a process is on standby, as two do not fit into the limits")

    def _receive(self, sock: socket.socket) -> None:
        """Receives operators' connections, or the end of the process on standby."""
        try:
            content, descriptors, _, _ = socket.recv_fds(sock, READ_BYTES, MAX_OPERATORS_AT_ONCE)
        except BlockingIOError:
            return
        except OSError:
            content, descriptors = b"", []
        for descriptor in descriptors:
            operator = socket.socket(fileno=descriptor)
            operator.setblocking(False)
            self.operator_connected(operator)
        if not content:
            log.info("process on standby ended")
            self._close(sock)

    async def send_state(self, line: bytes) -> None:
        """Sends the state at the end of this process."""
        loop = asyncio.get_running_loop()
        for sock in list(self._open):
            with contextlib.suppress(OSError, TimeoutError, StreamClosedError):
                async with asyncio.timeout(STATE_TIMEOUT_S):
                    await loop.sock_sendall(sock, line)

    def close(self) -> None:
        """Closes all connections."""
        for sock in list(self._open):
            self._close(sock)

    def _close(self, sock: socket.socket) -> None:
        self._open.discard(sock)
        self._loop.remove_handler(sock)
        sock.close()
