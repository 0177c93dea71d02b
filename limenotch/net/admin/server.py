"""The operators' server: it responds to health checks and metrics requests, and takes ejections of endpoints.

It has an address of its own. A connection carries one request. Operators' connections are few and limited apart from
clients', so that clients can't use up their capacity; a connection without a complete request is closed for a new one.
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
from ..slow_peers import limit_receive_buffer
from ..sockets import MAX_OPERATOR_CONNECTIONS, Listener

log = logs.get(__name__)

BACKLOG = 128  # connections not accepted yet
REQUEST_TIMEOUT_S = 3.0  # seconds from the connection to the complete request
LINGER_S = 0.5  # seconds for the operator to read the response
MAX_BUFFER_BYTES = 256 * 1024  # of one connection
MAX_READ_BYTES = 64 * 1024  # in one read

HEALTH = "/healthcheck"
STATS = "/stats"
ENDPOINTS = "/endpoints/"
EJECTING_ACTIONS = {"maint": True, "ready": False}  # the last segment of a path: whether it ejects the endpoint

RequestHandler = Callable[
    [http1.Message], Awaitable[bytes]
]  # the response to a complete request; it ends the connection
EjectionHandler = Callable[[str, bool], Awaitable[bool | None]]  # whether it was persisted; None: unknown endpoint


class _Connection:
    """One operator's connection."""

    def __init__(self, stream: IOStream, of_standby: bool) -> None:
        self.stream = stream
        self.of_standby = of_standby  # made to the address of a process on standby
        self.request_pending = True  # whether the request is still incomplete


class AdminServer:
    """Owns the operators' listener and connections."""

    def __init__(
        self,
        ready: Callable[[], bool],
        stats: Callable[[], bytes],
        set_ejected: EjectionHandler,
        extra: Mapping[str, RequestHandler] = {},  # noqa: B006 (read only)
        standby_stats: Callable[[], bytes] | None = None,
    ) -> None:
        """`extra`: handlers of further paths, for all methods. A path that ends in `/` includes all paths below it.

        `ready` decides the response to a health check, `stats` returns the metrics, and `standby_stats` those of a
        process on standby.
        """
        self._ready = ready
        self._stats = stats
        self._standby_stats = standby_stats or stats
        self._set_ejected = set_ejected
        self._extra = extra
        self._loop = IOLoop.current()
        self._listener: Listener | None = None
        self._connections: dict[_Connection, asyncio.Task[None]] = {}  # with the tasks that serve them, oldest first

    def listen(self, address: Address, inherited: socket.socket | None = None) -> None:
        """Starts to accept connections, on a listener that the process has already if it is `inherited`.

        Raises OSError if the address can't be bound.
        """
        listener = inherited or bind_sockets(address[1], address[0], backlog=BACKLOG)[0]
        self._listener = Listener(listener, self._accept)
        limit_receive_buffer(self._listener.socket)

    def close(self) -> None:
        """Closes the listener and all connections."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self._connections):
            connection.stream.close()

    def _accept(self) -> None:
        if self._listener is not None:
            self._listener.accept_connections(MAX_OPERATOR_CONNECTIONS, self._open_connection, self._log_accept_error)

    def _log_accept_error(self, error: OSError) -> None:
        log.warning("accepting an operator's connection failed", error=str(error))

    def take_over(self, sock: socket.socket) -> None:
        """Serves a connection that was made to the address of a process on standby."""
        self._open_connection(sock, of_standby=True)

    def _open_connection(self, sock: socket.socket, of_standby: bool = False) -> None:
        while len(self._connections) >= MAX_OPERATOR_CONNECTIONS:
            self._drop_one()
        connection = _Connection(IOStream(sock, max_buffer_size=MAX_BUFFER_BYTES), of_standby)
        self._connections[connection] = asyncio.get_running_loop().create_task(self._serve(connection))

    def _drop_one(self) -> None:
        """Closes the oldest connection without a complete request, else the oldest."""
        oldest = next(iter(self._connections))
        dropped = next((connection for connection in self._connections if connection.request_pending), oldest)
        del self._connections[dropped]
        dropped.stream.close()

    async def _serve(self, connection: _Connection) -> None:
        stream = connection.stream
        timer = self._loop.call_later(REQUEST_TIMEOUT_S, self._handle_timeout, connection)
        try:
            response = await self._respond(connection)
            self._loop.remove_timeout(timer)
            timer = self._loop.call_later(LINGER_S, stream.close)
            await stream.write(response)
            stream.socket.shutdown(socket.SHUT_WR)
            # Closing the socket with unread bytes would reset the connection, and the response might be lost.
            await stream.read_bytes(MAX_READ_BYTES, partial=True)
        except (StreamClosedError, OSError):
            pass
        finally:
            self._loop.remove_timeout(timer)
            self._connections.pop(connection, None)
            stream.close()

    async def _respond(self, connection: _Connection) -> bytes:
        """Reads the connection's request and returns the response. Raises StreamClosedError if the connection ends."""
        try:
            return await self._handle(await self._read_request(connection), connection.of_standby)
        except http1.MalformedError as error:
            return text_response(error.status, str(error))
        except StreamClosedError:
            raise
        except Exception:  # an internal error: the operator gets a response for it rather than none
            log.exception("internal error in the operators' server")
            return text_response(500, "internal fault")

    def _handle_timeout(self, connection: _Connection) -> None:
        if connection.request_pending and not connection.stream.closed():
            connection.stream.write(text_response(408, "call not complete in time"))
            connection.stream.close()

    async def _read_request(self, connection: _Connection) -> http1.Message:
        parser = http1.RequestParser()
        while (request := parser.head()) is None:
            parser.feed(await self._read(connection))
        pieces = [parser.pieces()]
        while not parser.complete:
            parser.feed(b"" if parser.has_more else await self._read(connection))
            pieces.append(parser.pieces())
            await asyncio.sleep(0)
        connection.request_pending = False
        request.body = b"".join(pieces)
        request.length = len(request.body)
        return request

    async def _read(self, connection: _Connection) -> bytes:
        """The next bytes of a request. Raises StreamClosedError."""
        data = connection.stream.read_bytes(MAX_READ_BYTES, partial=True)
        await asyncio.sleep(0)  # clients come between, also while an operator sends all the time
        return await data

    async def _handle(self, request: http1.Message, of_standby: bool) -> bytes:
        path = request.target.partition(b"?")[0].decode("latin-1")
        if path == HEALTH:
            return self._health(of_standby) if request.method == b"GET" else method_not_allowed(b"GET")
        if path == STATS:
            return self._metrics(of_standby) if request.method == b"GET" else method_not_allowed(b"GET")
        if path.startswith(ENDPOINTS) and path.rpartition("/")[2] in EJECTING_ACTIONS:
            return await self._eject(path) if request.method == b"POST" else method_not_allowed(b"POST")
        handler = self._extra.get(path) or self._extra.get(path[: path.rfind("/") + 1])
        return await handler(request) if handler is not None else text_response(404, "no such path")

    def _health(self, of_standby: bool) -> bytes:
        return text_response(200, "ready") if of_standby or self._ready() else text_response(503, "not ready")

    def _metrics(self, of_standby: bool) -> bytes:
        stats = self._standby_stats if of_standby else self._stats
        content_type = (b"Content-Type", b"text/plain; charset=utf-8")
        return http1.write_response(200, [content_type], stats(), close=True)

    async def _eject(self, path: str) -> bytes:
        """Ejects the endpoint named in the path, or ends its ejection, and returns the response."""
        quoted_name, _, action = path.removeprefix(ENDPOINTS).rpartition("/")
        name = unquote(quoted_name)
        ejected = EJECTING_ACTIONS[action]
        persisted = await self._set_ejected(name, ejected)
        if persisted is None:
            return text_response(404, f"no endpoint {name!r}")
        text = f"{name} is out" if ejected else f"{name} may serve"
        return text_response(200, text if persisted else f"{text}; not kept for the next process, see the log")


def text_response(status: int, text: str) -> bytes:
    """A response of one line of text that closes the connection."""
    return http1.write_response(status, [], f"{text}\n".encode(), close=True)


def method_not_allowed(allowed: bytes) -> bytes:
    """A response with status 405 (RFC 9110, section 15.5.6); `allowed` is the value of its `Allow` header field."""
    return http1.write_response(405, [(b"Allow", allowed)], b"", close=True)
