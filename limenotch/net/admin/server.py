"""Operators: the second address, where the sidecar is asked how it is and told which providers to leave out.

One call to a connection. Its connections are few and its own: under any load of consumers there is a place, and
silent callers give way to the next.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Mapping
from urllib.parse import unquote

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets

from ... import logs
from ...config import Address
from .. import http1
from ..sockets import MAX_OPERATOR_CONNECTIONS, Listener

log = logs.get(__name__)

BACKLOG = 128
HEAD_S = 3.0  # from a connection to its whole call
LINGER_S = 0.5  # to read the answer
MAX_BUFFER = 256 * 1024

HEALTH, STATS, ENDPOINTS = "/healthcheck", "/stats", "/endpoints/"
ACTIONS = {"maint": True, "ready": False}  # the last part of the path: whether it takes the endpoint out

RequestHandler = Callable[[http1.Message], Awaitable[bytes]]  # a whole call to the whole answer, `close` in it
Ban = Callable[[str, bool], Awaitable[bool | None]]  # None: nobody has that id; else whether it is kept for later


class _Caller:
    def __init__(self, stream: IOStream) -> None:
        self.stream = stream
        self.asking = True  # no whole call yet


class AdminServer:
    """Owns the operators' listener and connections."""

    def __init__(
        self,
        ready: Callable[[], bool],
        stats: Callable[[], bytes],
        ban: Ban,
        extra: Mapping[str, RequestHandler] = {},  # noqa: B006 (read only)
    ) -> None:
        """`extra`: further paths, each with what answers any call for it; one that ends in `/` is for all below it."""
        self._ready, self._stats, self._ban, self._extra = ready, stats, ban, extra
        self._loop = IOLoop.current()
        self._listener: Listener | None = None
        self._open: dict[_Caller, asyncio.Task[None]] = {}  # the oldest first

    def listen(self, at: Address) -> None:
        """Raises OSError if the address can't be had."""
        self._listener = Listener(bind_sockets(at[1], at[0], backlog=BACKLOG)[0], self._accept)

    def close(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for caller in list(self._open):
            caller.stream.close()

    def _accept(self) -> None:
        if self._listener is not None:
            self._listener.take(MAX_OPERATOR_CONNECTIONS, self._admit, self._refused)

    def _refused(self, error: OSError) -> None:
        log.warning("operators' listener", error=str(error))

    def _admit(self, sock: socket.socket) -> None:
        while len(self._open) >= MAX_OPERATOR_CONNECTIONS:
            self._give_way()
        caller = _Caller(IOStream(sock, max_buffer_size=MAX_BUFFER))
        self._open[caller] = asyncio.get_running_loop().create_task(self._serve(caller))

    def _give_way(self) -> None:
        """The oldest that has not said what it wants, else the oldest: one has to."""
        caller = next((c for c in self._open if c.asking), next(iter(self._open)))
        del self._open[caller]
        caller.stream.close()

    async def _serve(self, caller: _Caller) -> None:
        stream, timer = caller.stream, self._loop.call_later(HEAD_S, self._overdue, caller)
        try:
            try:
                answer = await self._answer(await self._request(caller))
            except http1.MalformedError as error:
                answer = http1.write_response(error.status, [], f"{error}\n".encode(), close=True)
            except StreamClosedError:
                return
            except Exception:  # a fault of ours: the operator is told so rather than left without an answer
                log.exception("fault at the operators' address")
                answer = http1.write_response(500, [], b"internal fault\n", close=True)
            self._loop.remove_timeout(timer)
            timer = self._loop.call_later(LINGER_S, stream.close)
            await stream.write(answer)
            stream.socket.shutdown(socket.SHUT_WR)
            await stream.read_bytes(65536, partial=True)  # closing on unread bytes would drop the answer
        except (StreamClosedError, OSError):
            pass
        finally:
            self._loop.remove_timeout(timer)
            self._open.pop(caller, None)
            stream.close()

    def _overdue(self, caller: _Caller) -> None:
        if caller.asking and not caller.stream.closed():
            caller.stream.write(http1.write_response(408, [], b"call not complete in time\n", close=True))
            caller.stream.close()

    async def _request(self, caller: _Caller) -> http1.Message:
        parser = http1.RequestParser()
        while (request := parser.take()) is None:
            parser.feed(await caller.stream.read_bytes(65536, partial=True))
        caller.asking = False
        return request

    async def _answer(self, request: http1.Message) -> bytes:
        path = request.target.partition(b"?")[0].decode("latin-1")
        method = b"GET"
        if path == HEALTH:
            if request.method == method:
                return _says(200, "ready") if self._ready() else _says(503, "not ready")
        elif path == STATS:
            if request.method == method:
                plain = (b"Content-Type", b"text/plain; charset=utf-8")
                return http1.write_response(200, [plain], self._stats(), close=True)
        elif path.startswith(ENDPOINTS) and path.rpartition("/")[2] in ACTIONS:
            method = b"POST"
            if request.method == method:
                name, _, action = path.removeprefix(ENDPOINTS).rpartition("/")
                return await self._act(unquote(name), ACTIONS[action])
        elif (extra := self._extra.get(path) or self._extra.get(path[: path.rfind("/") + 1])) is not None:
            return await extra(request)
        else:
            return _says(404, "no such path")
        return http1.write_response(405, [(b"Allow", method)], b"", close=True)

    async def _act(self, name: str, out: bool) -> bytes:
        kept = await self._ban(name, out)
        if kept is None:
            return _says(404, f"no endpoint {name!r}")
        said = f"{name} is out" if out else f"{name} may serve"
        return _says(200, said if kept else f"{said}; not kept for the next process, see the log")


def _says(status: int, text: str) -> bytes:
    return http1.write_response(status, [], f"{text}\n".encode(), close=True)
