"""Hand-over between two processes of one sidecar: the predecessor's listener and learned state go to its successor.

They connect over a Unix socket in a folder that both can access. The new process sends a request, and the old one
responds with its listening socket and one line of JSON. The connection then stays open: the new process reports on it
that it serves, and by the end of the connection each process notices that the other one has ended.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import struct
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from .. import logs
from ..config import Address
from ..handover_paths import SOCKET_SUFFIX, socket_address
from .sockets import Listener
from .standby import REQUEST as STANDBY_REQUEST
from .standby import Inheritance
from .standby_connections import StandbyConnections

log = logs.get(__name__)

VERSION = 1  # of the hand-over's protocol
HANDOVER_TIMEOUT_S = 2.0  # for a complete hand-over: a predecessor that hangs must not delay the start for longer
MAX_STATE_BYTES = 4 * 1024 * 1024  # of the line of JSON
MAX_MESSAGE_BYTES = 128  # of the other lines
MAX_REQUEST_BUFFER_BYTES = 64 * 1024  # for what the successor sends
SERVING = b"serving\n"
SERVING_ACK = b"noted\n"
CREDENTIALS = struct.Struct("3i")  # Linux, `struct ucred`: process, user and group
SOCKET_BACKLOG = 4  # connections
MAX_FILE_DESCRIPTORS = 4  # accepted with the first byte; one is expected


@dataclass(frozen=True, slots=True)
class InheritedState:
    """What a predecessor handed over."""

    listener: socket.socket
    state: dict[str, Any]


def adopted_socket(descriptor: int) -> socket.socket | None:
    """The open socket with this descriptor; None if that is negative."""
    if descriptor < 0:
        return None
    sock = socket.socket(fileno=descriptor)
    sock.setblocking(False)
    return sock


def _peer_process_id(stream: IOStream) -> int:
    """The process at the other end of a Unix socket; 0 if it is closed."""
    try:
        credentials = stream.socket.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
    except (OSError, AttributeError):
        return 0
    return int(CREDENTIALS.unpack(credentials)[0])


def _retrieve_error(future: asyncio.Future[None]) -> None:
    """The stream's end is handled where it is read."""
    if not future.cancelled():
        future.exception()


def _set_done(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)


class Successor:
    """Owns the Unix socket and the connections to the other processes of this sidecar, in both roles."""

    def __init__(
        self,
        path_prefix: str | None,
        address: Address,
        state_to_hand_over: Callable[[], dict[str, Any]],
        process_count_changed: Callable[[int], None],
    ) -> None:
        """`path_prefix`: of the Unix socket; None: there is no hand-over. `address`: of the listener for clients.

        `state_to_hand_over` returns the state to hand over, as JSON values. `process_count_changed` is called with the
        number of running processes of this sidecar, this one included, after each change.
        """
        self._path = Path(path_prefix + SOCKET_SUFFIX) if path_prefix else None
        self._address = address
        self._state_to_hand_over = state_to_hand_over
        self._process_count_changed = process_count_changed
        self._loop = IOLoop.current()
        self._handover_listener: Listener | None = None  # on the Unix socket
        self._client_listener: socket.socket | None = None  # the one that is handed over
        self._predecessor: IOStream | None = None
        self._acknowledged = asyncio.Event()  # the predecessor knows that this process serves
        # A line that the predecessor sent; and the answer to a line of a successor, if there is one.
        self.predecessor_line: Callable[[bytes], None] = lambda line: None
        self.predecessor_ended: Callable[[], None] = lambda: None
        self.first_lines: Callable[[], bytes] = lambda: b""  # sent to a successor that serves
        self.answer_successor: Callable[[bytes], bytes | None] = lambda line: None
        self._successors: dict[IOStream, bool] = {}  # and whether each serves
        self.standbys = StandbyConnections()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def successor_serves(self) -> bool:
        """Whether a later process has taken over this process's listener and serves requests."""
        return any(self._successors.values())

    @property
    def has_predecessor(self) -> bool:
        """Whether the process that this one has taken over from still runs."""
        return self._predecessor is not None

    def peer_process_ids(self) -> list[int]:
        """The process ids of the processes that `process_count` counts, without this one."""
        streams = [*([self._predecessor] if self._predecessor is not None else []), *self._successors]
        return [_peer_process_id(stream) for stream in streams]

    @property
    def process_count(self) -> int:
        """How many processes of this sidecar run: this one and those it is connected to."""
        return 1 + (self._predecessor is not None) + len(self._successors)

    # As the successor of another process

    async def request_handover(self) -> InheritedState | None:
        """What the predecessor hands over; None if there is no predecessor, or the hand-over fails or times out."""
        if self._path is None:
            return None
        sock = None
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            sock.setblocking(False)
            return await asyncio.wait_for(self._receive_handover(sock), HANDOVER_TIMEOUT_S)
        except (FileNotFoundError, ConnectionRefusedError):
            log.info("no predecessor to take over from")
        except (TimeoutError, OSError, ValueError, StreamClosedError) as error:
            log.warning("hand-over failed; starting without a predecessor", error=str(error) or type(error).__name__)
        if sock is not None:
            sock.close()
        return None

    async def _receive_handover(self, sock: socket.socket) -> InheritedState:
        """Requests the hand-over on a new socket, and receives it.

        Raises OSError, ValueError (the response is invalid) or StreamClosedError.
        """
        assert self._path is not None
        loop = asyncio.get_running_loop()
        with socket_address(str(self._path)) as path:
            await loop.sock_connect(sock, path)
        await loop.sock_sendall(sock, b"%d\n" % VERSION)
        readable = loop.create_future()
        loop.add_reader(sock, _set_done, readable)
        try:
            await readable
        finally:
            loop.remove_reader(sock)
        _, descriptors, _, _ = socket.recv_fds(sock, 1, MAX_FILE_DESCRIPTORS)
        sockets = [socket.socket(fileno=descriptor) for descriptor in descriptors]
        try:
            self._check_listener(sockets)
            sockets[0].setblocking(False)
            stream = IOStream(sock, max_buffer_size=MAX_STATE_BYTES)
            state = json.loads(await stream.read_until(b"\n", max_bytes=MAX_STATE_BYTES))
            if not isinstance(state, dict) or state.get("version") != VERSION:
                raise ValueError("the state received has another version of the hand-over")
        except BaseException:
            for received in sockets:
                received.close()
            raise
        self._predecessor = stream
        self._start_task(self._read_from_predecessor(stream))
        return InheritedState(sockets[0], state)

    def _check_listener(self, sockets: list[socket.socket]) -> None:
        """Raises ValueError or OSError unless `sockets` is exactly one socket, which listens on our address."""
        if len(sockets) != 1 or not sockets[0].getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise ValueError("no listener received")
        if sockets[0].getsockname()[:2] != self._address:
            raise ValueError("the listener received has another address")

    def _handle_predecessor_end(self) -> None:
        self._predecessor = None
        self.predecessor_ended()
        log.info("predecessor ended")
        self._process_count_changed(self.process_count)

    async def confirm_serving(self) -> None:
        """Notifies the predecessor that this process serves; returns on its acknowledgement, or after a timeout.

        The predecessor has to know before it is ended: only then does it leave the connections in the listener's
        queue to this process.
        """
        stream = self._predecessor
        if stream is None:
            return
        with contextlib.suppress(StreamClosedError, TimeoutError):
            await stream.write(SERVING)
            async with asyncio.timeout(HANDOVER_TIMEOUT_S):
                await self._acknowledged.wait()
            return
        stream.close()

    def tell_predecessor(self, line: bytes) -> None:
        """Sends a line to the predecessor, if it still runs."""
        if self._predecessor is not None and not self._predecessor.closed():
            self._predecessor.write(line).add_done_callback(_retrieve_error)

    def tell_successors(self, line: bytes) -> None:
        """Sends a line to the later processes that serve."""
        for stream, serves in self._successors.items():
            if serves and not stream.closed():
                stream.write(line).add_done_callback(_retrieve_error)

    # As the predecessor of another process

    def offer_listener(self, listener: socket.socket) -> None:
        """Starts to listen for a successor, which gets `listener`; this replaces the predecessor's Unix socket.

        Without a folder, or if the Unix socket can't be created, there is no hand-over.
        """
        self._client_listener = listener
        if self._path is None:
            return
        sock = None
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            sock.setblocking(False)
            own_path = self._path.with_name(f"{self._path.name}.{os.getpid()}")
            with socket_address(str(own_path)) as path:
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(path)
                sock.bind(path)
                sock.listen(SOCKET_BACKLOG)
                os.chmod(path, 0o600)
            os.replace(own_path, self._path)
        except OSError as error:
            log.warning("no Unix socket for the hand-over; a successor can't take over the listener", error=str(error))
            if sock is not None:
                sock.close()
            return
        self._stop_listening()
        self._handover_listener = Listener(sock, self._accept)

    def _accept(self) -> None:
        if self._handover_listener is not None:
            # An error is ignored: a successor whose connection was aborted connects again.
            self._handover_listener.accept_connections(1, self._start_handover, lambda _: None)

    def _start_handover(self, sock: socket.socket) -> None:
        self._start_task(self._hand_over(IOStream(sock, max_buffer_size=MAX_REQUEST_BUFFER_BYTES)))

    async def _hand_over(self, stream: IOStream) -> None:
        timer = self._loop.call_later(HANDOVER_TIMEOUT_S, stream.close)
        try:
            version = await stream.read_until(b"\n", max_bytes=MAX_MESSAGE_BYTES)
            if self._client_listener is None or self._client_listener.fileno() < 0:
                return
            if version == STANDBY_REQUEST:
                await self.standbys.add(stream, self._client_listener)
                return
            if version != b"%d\n" % VERSION:
                return
            state = self._state_line()
            socket.send_fds(stream.socket, [b"L"], [self._client_listener.fileno()])
            await stream.write(state)
            self._loop.remove_timeout(timer)
            self._successors[stream] = False
            log.info("handed over to a successor", size=len(state))
            self._process_count_changed(self.process_count)
            while line := await stream.read_until(b"\n", max_bytes=MAX_MESSAGE_BYTES):
                await self._handle_successor_line(stream, line)
        except (StreamClosedError, OSError) as error:
            log.info("successor ended", error=str(error))
        except Exception:
            log.exception("internal error in the hand-over")
        finally:
            self._loop.remove_timeout(timer)
            stream.close()
            if self._successors.pop(stream, None) is not None:
                self._process_count_changed(self.process_count)
                if self._client_listener is not None and self._client_listener.fileno() >= 0:
                    # The successor that ended may have replaced our Unix socket by its own.
                    self.offer_listener(self._client_listener)

    def _state_line(self) -> bytes:
        return json.dumps({"version": VERSION, **self._state_to_hand_over()}).encode() + b"\n"

    async def send_final_state(self) -> None:
        """Sends the state to the processes on standby, which take over when this process has ended."""
        if self.standbys:
            await self.standbys.send_state(self._state_line())

    def adopt(self, inheritance: Inheritance) -> InheritedState | None:
        """What a predecessor that has ended left; None if that is not a listener of ours. Invalid state is left out."""
        listener = adopted_socket(inheritance.listener)
        if listener is None:
            return None
        try:
            self._check_listener([listener])
        except (OSError, ValueError) as error:
            log.warning("the predecessor's listener can't be used", error=str(error))
            listener.close()
            return None
        listener.setblocking(False)
        try:
            state = json.loads(inheritance.state or b"{}")
        except ValueError as error:
            log.warning("the predecessor's state can't be used", error=str(error))
            state = {}
        if not isinstance(state, dict) or state.get("version") != VERSION:
            state = {}
        return InheritedState(listener, state)

    async def _handle_successor_line(self, stream: IOStream, line: bytes) -> None:
        if line == SERVING:
            self._successors[stream] = True
            log.info("successor serves")
            await stream.write(SERVING_ACK + self.first_lines())
        elif (answer := self.answer_successor(line)) is not None:
            await stream.write(answer)
        await asyncio.sleep(0)

    async def _read_from_predecessor(self, stream: IOStream) -> None:
        """Handles the predecessor's lines up to its end."""
        try:
            while line := await stream.read_until(b"\n", max_bytes=MAX_MESSAGE_BYTES):
                if line == SERVING_ACK:
                    self._acknowledged.set()
                else:
                    self.predecessor_line(line)
                await asyncio.sleep(0)
        except (StreamClosedError, UnsatisfiableReadError):
            pass
        except Exception:
            log.exception("internal error in the hand-over")
        finally:
            stream.close()
            if self._predecessor is stream:
                self._handle_predecessor_end()

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _stop_listening(self) -> None:
        if self._handover_listener is not None:
            self._handover_listener.close()
            self._handover_listener = None

    def close(self) -> None:
        """Closes the Unix socket and the connections to the other processes."""
        self._stop_listening()
        self.standbys.close()
        predecessor = self._predecessor
        self._predecessor = None
        for stream in [*self._successors, *([predecessor] if predecessor is not None else [])]:
            stream.set_close_callback(None)
            stream.close()
