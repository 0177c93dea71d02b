"""A process on standby: it holds the clients' listener, and serves when its predecessor has ended.

It has loaded hardly any module, as two processes that serve would not fit into the limits. Meanwhile the predecessor
serves, and connections that it does not accept any more wait in the listener's queue. It has also checked the
configuration for this process, which can't do that itself yet. At its end it sends its state.
"""

from __future__ import annotations

import _signal  # type: ignore[import-not-found]  # not `signal`, which imports `enum`
import _socket  # not `socket`, for the same reason
import contextlib
import os
import select
import struct
import sys
import time

from ..handover_paths import socket_address
from .process_shares import ProcessShares

REQUEST = b"standby\n"  # followed by NAME=VALUE of the environment, each ended by NUL, and a further NUL
LISTENER = b"L"  # the first byte of the response, with the listener's descriptor; then one line of JSON, at the end
REFUSED = b"E"  # the first byte of the response if the configuration can't be used; then one line that says why
OPERATOR = b"O"  # sent with the descriptor of an operator's connection
CHECK_INTERVAL_MS = 20
CONNECT_INTERVAL_S = 0.1
PREDECESSOR_TIMEOUT_S = 1.0  # a predecessor that hangs must be ended for this process to serve: it is ready for that
MAX_STATE_BYTES = 4 * 1024 * 1024
READ_BYTES = 64 * 1024
BACKLOG = 1024  # connections that are not accepted yet
MAX_OPERATORS = 6  # connections; the oldest is closed for a new one
MAX_OPERATOR_BYTES = 4096  # of one request
ADDRESS_ERROR_CODE = 1  # exit codes, as of `serve`
CONFIGURATION_ERROR_CODE = 2


class Inheritance:
    """What a process on standby has when its predecessor has ended."""

    def __init__(self, listener: int, state: bytes, admin: int) -> None:
        self.listener = listener  # descriptor of the clients' listener; -1: none
        self.state = state  # a line of JSON; b"": none
        self.admin = admin  # descriptor of the operators' listener; -1: none


class _Predecessor:
    """The connection to the predecessor."""

    def __init__(self, sock: _socket.socket) -> None:
        self.sock = sock
        self.listener = -1
        self.received = bytearray()
        self.ended = False

    def read(self) -> None:
        """Reads what has arrived. Raises SystemExit if the predecessor refuses the configuration."""
        try:
            data, ancillary, _, _ = self.sock.recvmsg(READ_BYTES, _socket.CMSG_LEN(struct.calcsize("i")))
        except BlockingIOError:
            return
        except OSError:
            data, ancillary = b"", []
        for level, kind, content in ancillary:
            if level == _socket.SOL_SOCKET and kind == _socket.SCM_RIGHTS and self.listener < 0:
                (self.listener,) = struct.unpack("i", content[: struct.calcsize("i")])
                os.set_inheritable(self.listener, False)
        self.ended = not data
        if len(self.received) + len(data) <= MAX_STATE_BYTES:
            self.received += data
        if self.received.startswith(REFUSED) and (self.ended or self.received.endswith(b"\n")):
            reason = self.received[len(REFUSED) :].decode(errors="replace").strip()
            fail(reason, CONFIGURATION_ERROR_CODE)

    @property
    def is_ending(self) -> bool:
        """Whether it has sent its state: it does nothing more for this process."""
        return self.ended or self.received.endswith(b"\n")

    def pass_on(self, descriptor: int) -> bool:
        """Passes an operator's connection to the predecessor; False if that is not possible."""
        if self.listener < 0 or self.is_ending:
            return False
        ancillary = (_socket.SOL_SOCKET, _socket.SCM_RIGHTS, struct.pack("i", descriptor))
        try:
            self.sock.sendmsg([OPERATOR], [ancillary])
        except OSError:
            return False
        return True

    def state(self) -> bytes:
        """The state that the predecessor sent at its end; b"" if it did not."""
        state = bytes(self.received[len(LISTENER) :])
        return state if self.received.startswith(LISTENER) and state.endswith(b"\n") else b""

    def close(self) -> None:
        """Closes the connection, and the listener if it is not used."""
        self.sock.close()
        if self.listener >= 0:
            os.close(self.listener)
            self.listener = -1


def fail(reason: str, code: int) -> None:
    """Ends the process with an error. Raises SystemExit."""
    print(f"limenotch: {reason}", file=sys.stderr)
    raise SystemExit(code)


def listening_socket(address: tuple[str, int], reuse_port: bool = False) -> _socket.socket:
    """A socket that listens at this host and port. Raises OSError or OverflowError."""
    sock = _socket.socket(_socket.AF_INET6 if ":" in address[0] else _socket.AF_INET, _socket.SOCK_STREAM)
    sock.setsockopt(_socket.SOL_SOCKET, _socket.SO_REUSEADDR, 1)
    sock.setsockopt(_socket.SOL_SOCKET, _socket.SO_REUSEPORT, reuse_port)
    sock.setblocking(False)
    sock.bind(address)
    sock.listen(BACKLOG)
    return sock


class Standby:
    """Waits for the end of the predecessor, and answers operators meanwhile."""

    def __init__(
        self,
        shares: ProcessShares,
        socket_path: str,
        listen: tuple[str, int],
        admin: tuple[str, int],
        variables: dict[str, str],
    ) -> None:
        """`socket_path`: the predecessor's Unix socket. `listen` and `admin`: host and port for clients and operators.

        Port 0: nowhere. `variables`: of the environment, by which the predecessor checks the configuration.
        """
        self._shares = shares
        self._socket_path = socket_path
        self._listen_address = listen
        self._admin_address = admin
        self._request = REQUEST + b"".join(b"%b=%b\0" % (os.fsencode(k), os.fsencode(v)) for k, v in variables.items())
        self._admin: _socket.socket | None = None
        self._operators: dict[int, tuple[_socket.socket, bytearray]] = {}  # by descriptor, the oldest first
        self._predecessor: _Predecessor | None = None
        self._poll = select.poll()
        self._next_connect_at = 0.0  # s
        self._ready_at = time.monotonic() + PREDECESSOR_TIMEOUT_S

    def wait(self) -> Inheritance:
        """Returns when the predecessor has ended and this process has its share of the limits. Raises SystemExit."""
        _signal.signal(_signal.SIGTERM, lambda *_: os._exit(0))
        _signal.signal(_signal.SIGINT, lambda *_: os._exit(0))
        _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)  # the configuration is read when this process goes on
        self._listen()
        while not self._may_go_on():
            self._connect()
            self._leave_operators_waiting()
            for descriptor, _ in self._poll.poll(CHECK_INTERVAL_MS):
                self._handle(descriptor)
        _signal.signal(_signal.SIGTERM, _signal.SIG_DFL)
        _signal.signal(_signal.SIGINT, _signal.default_int_handler)
        return self._end()

    def _may_go_on(self) -> bool:
        predecessor_ended = self._predecessor is not None and self._predecessor.ended
        return (predecessor_ended or not self._shares.others_run()) and self._shares.try_start()

    # The predecessor

    def _connect(self) -> None:
        """Connects to the predecessor, unless that is done.

        What one that has ended left is kept, unless another one has taken over from it.
        """
        now = time.monotonic()
        if (self._predecessor is not None and not self._predecessor.ended) or now < self._next_connect_at:
            return
        self._next_connect_at = now + CONNECT_INTERVAL_S
        sock = _socket.socket(_socket.AF_UNIX, _socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            with socket_address(self._socket_path) as address:
                sock.connect(address)
            sock.sendall(self._request + b"\0")
        except OSError:
            sock.close()
            return
        if self._predecessor is not None:
            self._predecessor.close()
        self._predecessor = _Predecessor(sock)
        self._poll.register(sock, select.POLLIN)

    # Operators

    def _listen(self) -> None:
        """Listens for operators. Raises SystemExit if the address can't be bound."""
        if not self._admin_address[1]:
            return
        try:
            self._admin = listening_socket(self._admin_address)
        except (OSError, OverflowError) as error:
            fail(f"listen: {error}", ADDRESS_ERROR_CODE)
        else:
            self._poll.register(self._admin, select.POLLIN)

    @property
    def _ready(self) -> bool:
        """Whether the predecessor may be ended: it has passed on its listener, or hangs."""
        has_listener = self._predecessor is not None and self._predecessor.listener >= 0
        return has_listener or time.monotonic() >= self._ready_at

    def _leave_operators_waiting(self) -> None:
        """Accepts none while the predecessor ends: they wait for the moment that this process needs to go on."""
        if self._admin is not None and self._predecessor is not None:
            self._poll.modify(self._admin, 0 if self._predecessor.is_ending else select.POLLIN)

    def _handle(self, descriptor: int) -> None:
        if self._predecessor is not None and descriptor == self._predecessor.sock.fileno():
            self._predecessor.read()
            if self._predecessor.ended:
                self._poll.unregister(descriptor)
        elif self._admin is not None and descriptor == self._admin.fileno():
            self._accept(self._admin)
        else:
            self._serve(descriptor)

    def _accept(self, listener: _socket.socket) -> None:
        """Accepts an operator's connection, and passes it to the predecessor: that has the figures, and the endpoints.

        Without one this process answers itself.
        """
        try:
            descriptor, _ = listener._accept()  # type: ignore[attr-defined]
        except OSError:
            return
        if self._predecessor is not None and self._predecessor.pass_on(descriptor):
            os.close(descriptor)
            return
        while len(self._operators) >= MAX_OPERATORS:
            self._drop(next(iter(self._operators)))
        sock = _socket.socket(fileno=descriptor)
        sock.setblocking(False)
        self._operators[descriptor] = (sock, bytearray())
        self._poll.register(descriptor, select.POLLIN)

    def _serve(self, descriptor: int) -> None:
        """Reads from an operator, and answers a complete request."""
        sock, received = self._operators[descriptor]
        try:
            data = sock.recv(MAX_OPERATOR_BYTES)
            received += data
            if b"\r\n\r\n" in received:
                sock.sendall(self._response(bytes(received)))
                sock.shutdown(_socket.SHUT_WR)
                received.clear()
            if data and len(received) <= MAX_OPERATOR_BYTES:
                return
        except BlockingIOError:
            return
        except OSError:
            pass
        self._drop(descriptor)

    def _response(self, request: bytes) -> bytes:
        """Only a health check is answered with yes."""
        ready = request.startswith(b"GET /healthcheck ") and self._ready
        status, text = (b"200 OK", b"on standby\n") if ready else (b"503 Service Unavailable", b"on standby only\n")
        return b"HTTP/1.1 %b\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b" % (status, len(text), text)

    def _drop(self, descriptor: int) -> None:
        self._poll.unregister(descriptor)
        sock, _ = self._operators.pop(descriptor)
        sock.close()

    def _end(self) -> Inheritance:
        for descriptor in list(self._operators):
            self._drop(descriptor)
        admin = self._admin.detach() if self._admin is not None else -1
        listener, state = -1, b""
        predecessor = self._predecessor
        if predecessor is not None:
            while not predecessor.ended and self._has_input(predecessor.sock):
                predecessor.read()
            listener, predecessor.listener = predecessor.listener, -1
            state = predecessor.state()
            predecessor.close()
        if listener < 0:
            # It hung: nobody listens now. If this fails, so does the attempt that follows, with an error.
            with contextlib.suppress(OSError, OverflowError):
                listener = listening_socket(self._listen_address, reuse_port=True).detach()
        return Inheritance(listener, state, admin)

    @staticmethod
    def _has_input(sock: _socket.socket) -> bool:
        return bool(select.select([sock], [], [], 0)[0])
