"""The other process of this sidecar: the one before, whose listener and knowledge are taken over, or the next.

They meet at a Unix socket in the folder that both have. The new one asks; the old one answers with its listening
socket and one line of JSON. The connection then stays open: the new one says on it that it serves, and its end
tells either that the other is gone.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

from .. import logs
from ..config import Address
from .sockets import Listener

log = logs.get(__name__)

SOCKET_SUFFIX = ".sock"  # behind what all paths of this sidecar begin with
VERSION = 1
HANDOVER_TIMEOUT_S = 2.0  # to have it all: a stopped process must not keep the start
MAX_STATE_BYTES = 4 * 1024 * 1024  # of the line
SERVING, NOTED = b"serving\n", b"noted\n"
MAX_SOCKET_PATH_BYTES = 100  # of a Unix socket's address


@dataclass(frozen=True, slots=True)
class InheritedState:
    listener: socket.socket
    state: dict[str, Any]


@contextlib.contextmanager
def _address(path: Path) -> Iterator[str]:
    """A path that fits into a Unix socket's address, however long the folder's is."""
    if len(os.fsencode(path)) <= MAX_SOCKET_PATH_BYTES:
        yield str(path)
        return
    held = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{held}/{path.name}"
    finally:
        os.close(held)


def _done(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)


class Successor:
    """Owns the Unix socket, and the connections to the other processes of this sidecar."""

    def __init__(
        self, kept: str | None, at: Address, tell: Callable[[], dict[str, Any]], together: Callable[[int], None]
    ) -> None:
        """`kept`: how its path begins; None: there is no handing over. `together` is told how many processes live,
        this one counted, whenever that changes.
        """
        self._path = Path(kept + SOCKET_SUFFIX) if kept else None
        self._at, self._tell, self._together = at, tell, together
        self._loop = IOLoop.current()
        self._door: Listener | None = None
        self._handed: socket.socket | None = None  # the listener that is handed over
        self._before: IOStream | None = None
        self._next: dict[IOStream, bool] = {}  # and whether it serves
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def successor_serves(self) -> bool:
        """Whether a later process has this one's listener and takes calls."""
        return any(self._next.values())

    @property
    def process_count(self) -> int:
        return 1 + (self._before is not None) + len(self._next)

    # As the new process

    async def request_handover(self) -> InheritedState | None:
        """What the process before hands over; None if there is none, or it does not answer in time."""
        if self._path is None:
            return None
        sock = None
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            sock.setblocking(False)
            return await asyncio.wait_for(self._ask(sock), HANDOVER_TIMEOUT_S)
        except (FileNotFoundError, ConnectionRefusedError):
            log.info("no process before")
        except (TimeoutError, OSError, ValueError, StreamClosedError) as error:
            log.warning("nothing taken over", error=str(error) or type(error).__name__)
        if sock is not None:
            sock.close()
        return None

    async def _ask(self, sock: socket.socket) -> InheritedState:
        assert self._path is not None
        loop = asyncio.get_running_loop()
        with _address(self._path) as path:
            await loop.sock_connect(sock, path)
        await loop.sock_sendall(sock, b"%d\n" % VERSION)
        there = loop.create_future()
        loop.add_reader(sock, _done, there)
        try:
            await there
        finally:
            loop.remove_reader(sock)
        _, handed, _, _ = socket.recv_fds(sock, 1, 4)
        sockets = [socket.socket(fileno=fd) for fd in handed]
        try:
            if len(sockets) != 1 or not sockets[0].getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                raise ValueError("no listener came")
            if sockets[0].getsockname()[:2] != self._at:
                raise ValueError("the listener is of another address")
            sockets[0].setblocking(False)
            stream = IOStream(sock, max_buffer_size=MAX_STATE_BYTES)
            told = json.loads(await stream.read_until(b"\n", max_bytes=MAX_STATE_BYTES))
            if not isinstance(told, dict) or told.get("version") != VERSION:
                raise ValueError("of another version")
        except BaseException:
            for one in sockets:
                one.close()
            raise
        self._before = stream
        stream.set_close_callback(self._lost_before)
        return InheritedState(sockets[0], told)

    def _lost_before(self) -> None:
        self._before = None
        log.info("the process before is gone")
        self._together(self.process_count)

    async def confirm_serving(self) -> None:
        """Tell the process before that this one takes calls; return when it knows, or seems not to answer.

        It has to know before anybody ends it: only then are the calls that wait in the queue safe.
        """
        stream = self._before
        if stream is None:
            return
        timer = self._loop.call_later(HANDOVER_TIMEOUT_S, stream.close)
        with contextlib.suppress(StreamClosedError):
            await stream.write(SERVING)
            await stream.read_until(NOTED, max_bytes=64)
        self._loop.remove_timeout(timer)
        if not stream.closed():
            self._watch(stream)

    # As the one before

    def offer_listener(self, listener: socket.socket) -> None:
        """From now on the next process finds this one. Without a folder or Unix sockets there is no handing over."""
        self._handed = listener
        if self._path is None:
            return
        door = None
        try:
            door = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            door.setblocking(False)
            own = self._path.with_name(f"{self._path.name}.{os.getpid()}")
            with _address(own) as path:
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(path)
                door.bind(path)
                door.listen(4)
                os.chmod(path, 0o600)
            os.replace(own, self._path)
        except OSError as error:
            log.warning("the next process can't take over the listener", error=str(error))
            if door is not None:
                door.close()
            return
        self._shut()
        self._door = Listener(door, self._accept)

    def _accept(self) -> None:
        if self._door is not None:
            self._door.take(1, self._admit, lambda _: None)  # a next process that gave up asks again

    def _admit(self, sock: socket.socket) -> None:
        task = asyncio.get_running_loop().create_task(self._hand_over(IOStream(sock, max_buffer_size=4096)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _hand_over(self, stream: IOStream) -> None:
        timer = self._loop.call_later(HANDOVER_TIMEOUT_S, stream.close)
        try:
            asked = await stream.read_until(b"\n", max_bytes=64)
            if asked != b"%d\n" % VERSION or self._handed is None or self._handed.fileno() < 0:
                return
            told = json.dumps({"version": VERSION, **self._tell()}).encode() + b"\n"
            socket.send_fds(stream.socket, [b"L"], [self._handed.fileno()])
            await stream.write(told)
            self._loop.remove_timeout(timer)
            self._next[stream] = False
            log.info("handed over", size=len(told))
            self._together(self.process_count)
            if await stream.read_until(SERVING, max_bytes=64):
                self._next[stream] = True
                log.info("the next process serves")
                await stream.write(NOTED)
            await stream.read_until_close()
        except (StreamClosedError, OSError) as error:
            log.info("the next process is gone", error=str(error))
        except Exception:
            log.exception("fault in handing over")
        finally:
            self._loop.remove_timeout(timer)
            stream.close()
            if self._next.pop(stream, None) is not None:
                self._together(self.process_count)
                if self._handed is not None and self._handed.fileno() >= 0:
                    self.offer_listener(self._handed)  # the one that is gone had put its own door in place of ours

    def _watch(self, stream: IOStream) -> None:
        """Its end is noticed though it says nothing more."""
        task = asyncio.get_running_loop().create_task(self._until_closed(stream))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _until_closed(self, stream: IOStream) -> None:
        with contextlib.suppress(StreamClosedError):
            await stream.read_until_close()

    def _shut(self) -> None:
        if self._door is not None:
            self._door.close()
            self._door = None

    def close(self) -> None:
        self._shut()
        for stream in [*self._next, *([self._before] if self._before is not None else [])]:
            stream.set_close_callback(None)
            stream.close()
