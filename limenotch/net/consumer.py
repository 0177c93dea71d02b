"""One connection of a consumer: its requests read, its calls taken, their answers written."""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
import struct
from collections.abc import Callable
from time import monotonic
from typing import Protocol

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

from .. import logs, settings
from ..config import host_port
from ..facade import Facade
from . import http1
from .calls import About, Call, Calls, Final, Verdict
from .pipe import PIECE, BrokenError, Budget, Pipe
from .sockets import Sockets

log = logs.get(__name__)

LINGER_S = 0.5  # a consumer that still writes gets this long to read why it is turned off ...
LINGER_BYTES = 256 * 1024  # ... and is read this far: more would be work for nothing

READY = b"/up"
BUDGET = re.compile(rb"([0-9]{1,18}(?:\.[0-9]{0,9})?)([mu])")


def budget_ms(text: bytes) -> float:
    """`480m` and `480000u`, in milliseconds."""
    match = BUDGET.fullmatch(text)
    value = float(match[1]) * (1.0 if match[2] == b"m" else 0.001) if match else 0.0
    if not 0 < value < 1e9:
        raise http1.MalformedError(400, "X-Budget: expected a number and m or u")
    return value


def answer_of(final: Final, close: bool) -> bytes:
    """A final answer as this protocol words it; a provider's 200 goes on with its body unchanged."""
    if final.verdict is Verdict.SERVED:
        response: http1.Message = final.payload
        return http1.write_response(200, passed_headers(response), response.body, close)
    if final.verdict is Verdict.REJECTED:
        advice: http1.Headers = []
        if final.retry_after_ms > 0:
            advice.append((b"Retry-After", b"%.3f" % (final.retry_after_ms / 1000.0)))
        return http1.write_response(429 if final.paused else 503, advice, b"", close)
    return http1.write_response(504 if final.timed_out else 502, [], b"", close)


def passed_headers(response: http1.Message) -> http1.Headers:
    return [pair for pair in response.end_to_end() if pair[0].lower() != b"x-load-report"]


def _printable(call: Call | None) -> str | None:
    return call.name.decode("latin-1") if call is not None else None


class House(Protocol):
    """What a connection knows of all of them."""

    budget: Budget
    calls: Calls
    facade: Facade
    sockets: Sockets
    tuning: settings.Consumers
    closing: bool  # each connection ends with its next answer

    @property
    def ready(self) -> Callable[[], bool]: ...

    @property
    def gone(self) -> Callable[[str], None]: ...

    def left(self, consumer: Consumer) -> None: ...

    def waits(self, consumer: Consumer, waiting: bool) -> None: ...


class Consumer:
    """One connection of a consumer; one call at a time."""

    def __init__(self, stream: IOStream, house: House) -> None:
        self.stream, self._all = stream, house
        self._parser = http1.RequestParser(http1.MAX_LONG)
        self._timer: object = None  # of the wait for a request, its head and its body
        self._call: Call | None = None
        self._final: asyncio.Future[Final] | None = None
        self._upload: asyncio.Task[None] | None = None  # of the rest of a long request
        self._read_s = 0.0  # spent in waiting for a body
        self._from: str | None = None  # where it comes from, once that was asked
        self.used = False
        stream.set_close_callback(self._closed)

    @property
    def idle(self) -> bool:
        return self._final is None and self._parser.idle

    def waiting(self) -> bool:
        """Whether bytes have come that are not read yet."""
        try:
            return bool(self.stream.socket.recv(1, socket.MSG_PEEK))
        except (BlockingIOError, OSError):
            return False

    async def serve(self) -> None:
        try:
            while True:
                request = await self._request()
                self.used = True
                if request.target == READY:
                    ready = http1.write_response(200 if self._all.ready() else 503, [], b"", not request.keep_alive)
                    await self._write(ready)
                    keep = request.keep_alive
                else:
                    keep = await self._serve(request)
                if not keep:
                    return
        except http1.MalformedError as error:
            await self._turn_off(error)
        except StreamClosedError:
            pass
        except Exception:  # a fault of ours: the consumer is told so rather than left without an answer
            log.exception("fault at a consumer", call=_printable(self._call))
            await self._turn_off(http1.MalformedError(502, "internal fault"))
        finally:
            if self._upload is not None:
                self._upload.cancel()
            self.stream.close()

    async def _serve(self, request: http1.Message) -> bool:
        """One call up to its answer; whether the connection can be used again."""
        self._take(request)
        assert self._final is not None and self._call is not None
        call, final = self._call, await self._final
        if self.stream.closed():
            return False
        # An answer may come before the end of what it answers: the rest is read, but no next call waits for that.
        early = self._upload is not None and not self._upload.done()
        if request.rest is not None:
            request.rest.cut()
        keep = request.keep_alive and not self._all.closing and not early
        if final.verdict is Verdict.SERVED and final.payload.rest is not None:
            keep = await self._pass_on(call, final.payload, keep, request.minor)
        else:
            self._call = None
            await self._write(answer_of(final, not keep))
        if self._upload is not None:
            await self._upload
        self._call = self._final = self._upload = None
        return keep

    async def _pass_on(self, call: Call, response: http1.Message, keep: bool, minor: int) -> bool:
        """A long answer, as it comes. If it breaks off, so does the connection: the consumer must be able to tell."""
        chunked = response.length is None and minor == 1
        keep = keep and (chunked or response.length is not None)
        head = http1.response_head(200, passed_headers(response), response.length, not keep, minor)
        end = "errored"
        try:
            await self._write(head + (http1.chunk(response.body) if chunked and response.body else response.body))
            while piece := await response.rest.get():
                await self._write(http1.chunk(piece) if chunked else piece)
            if chunked:
                await self._write(http1.LAST_CHUNK)
            end = "answered"
        except BrokenError:
            log.info("long answer broke off", call=_printable(call))
            if minor == 0 and not self.stream.closed():  # an end in good order would pass for the answer's
                self.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            keep = False
        finally:
            response.rest.cut()
            self._call = None
            self._all.calls.passed_on(call, end)
        return keep

    async def _write(self, response: bytes) -> None:
        """One that does not read is not waited for: its connection would never be given back."""
        written = self.stream.write(response)
        timer = IOLoop.current().call_later(self._all.tuning.write_s, self.stream.close)
        try:
            await written
        finally:
            IOLoop.current().remove_timeout(timer)

    async def _request(self) -> http1.Message:
        """The next request: whole, or of a long one what is held, with the rest to come. One that does not come in
        time is turned off, or the connection closes.
        """
        parser, begun, tuning = self._parser, not self.used, self._all.tuning
        self._time(tuning.request_s if begun else tuning.idle_s)
        self._all.waits(self, parser.idle)
        try:
            while (request := parser.head()) is None:
                if not (begun or parser.idle):
                    begun = True
                    self._time(tuning.request_s)
                parser.feed(await self.stream.read_bytes(PIECE, partial=True))
                self._all.waits(self, False)
            if parser.asked:
                await self.stream.write(http1.CONTINUE)
            return await self._body(request)
        finally:
            self._all.waits(self, False)
            self._untime()

    async def _body(self, request: http1.Message) -> http1.Message:
        """The body up to its end, or as far as it is held."""
        parser, budget, held, size = self._parser, self._all.budget, list[bytes](), 0
        self._read_s = 0.0
        while True:
            piece = parser.pieces()
            held.append(piece)
            size += len(piece)
            if parser.complete:
                parser.next()
                break
            if budget.beyond(size):
                request.rest = Pipe(budget)
                break
            await self._read(size)
        request.body = b"".join(held)
        if request.rest is None:
            request.length = size
        return request

    async def _read(self, size: int) -> None:
        """More of a body of which `size` bytes are there; it may be slow, but not slower than its least rate."""
        tuning, before = self._all.tuning, monotonic()
        left = tuning.body_s + size / tuning.body_rate - self._read_s
        self._time(max(min(left, tuning.body_s), 0.0))
        self._parser.feed(await self.stream.read_bytes(self._all.budget.piece, partial=True))
        self._untime()
        self._read_s += monotonic() - before

    async def _read_on(self, request: http1.Message) -> None:
        """The rest of a long request: into its pipe while that is wanted, and to its end in any case."""
        parser, pipe, size = self._parser, request.rest, len(request.body)
        try:
            while True:
                piece = parser.pieces()
                size += len(piece)
                with contextlib.suppress(BrokenError):  # it is answered already
                    await pipe.put(piece)
                if parser.complete:
                    parser.next()
                    pipe.end()
                    return
                await self._read(size)
        except http1.MalformedError as error:
            pipe.cut()
            if self._final is not None and not self._final.done() and self._call is not None:
                self._all.calls.depart(self._call)  # never whole, so never taken
                self._final.set_exception(error)
        except StreamClosedError:
            pipe.cut()
        finally:
            self._untime()

    def _time(self, wait: float) -> None:
        self._untime()
        self._timer = IOLoop.current().call_later(wait, self._overdue)

    def _untime(self) -> None:
        if self._timer is not None:
            IOLoop.current().remove_timeout(self._timer)
            self._timer = None

    def _overdue(self) -> None:
        """Silent, or a head or body that does not end: such connections would use up the descriptors."""
        if not self._parser.idle and not self.stream.closed():
            error = http1.MalformedError(408, "request not complete in time")
            self.stream.write(http1.write_response(error.status, [], b"", close=True))
        self.stream.close()

    def _take(self, request: http1.Message) -> None:
        fields, facade = request.fields, self._all.facade
        if request.method in (b"HEAD", b"CONNECT"):  # framed by other rules, and no call has them
            raise http1.MalformedError(405, "GET or POST expected")
        if request.minor == 1 and b"host" not in fields:
            raise http1.MalformedError(400, "Host: missing")
        class_name = fields.get(b"x-call-class", b"").decode("latin-1")
        tenant = fields.get(b"x-caller", b"").decode("latin-1")
        name = fields.get(b"x-call-id")
        if not name:
            raise http1.MalformedError(400, "X-Call-Id: missing")
        if self._all.calls.has(name):  # it would reach a provider as one more copy of the other's call
            raise http1.MalformedError(409, "X-Call-Id: of a call that is open")
        if not facade.knows_class(class_name):
            raise http1.MalformedError(400, "X-Call-Class: unknown")
        if not facade.knows_tenant(tenant):
            raise http1.MalformedError(400, "X-Caller: unknown")
        # One taken while leaving must not be found open by what ends the process.
        left = min(budget_ms(fields.get(b"x-budget", b"")), max((self._all.calls.last - monotonic()) * 1000.0, 1.0))
        final = self._final = asyncio.get_running_loop().create_future()
        about = About(fields.get(b"idempotency-key", b""), fields, self._origin(), fields.get(b"x-again") == b"1")
        room = self._all.sockets.providers.room
        self._call = self._all.calls.take(
            name, request, class_name, tenant, left, final.set_result, room, request.rest, about
        )
        if request.rest is not None:
            self._upload = asyncio.get_running_loop().create_task(self._read_on(request))

    def _origin(self) -> str:
        """Where it comes from, if anybody asks."""
        if not self._all.calls.beside:
            return ""
        if self._from is None:
            self._from = ""
            with contextlib.suppress(OSError):  # it has gone already
                self._from = host_port(self.stream.socket.getpeername()[:2])
        return self._from

    def _closed(self) -> None:
        self._all.left(self)
        if self._call is not None:
            self._all.calls.depart(self._call)
        if self._final is not None and not self._final.done():
            self._final.cancel()
        if self._from:
            self._all.gone(self._from)

    async def _turn_off(self, error: http1.MalformedError) -> None:
        """Say why and close, reading on for a while: closing on unread bytes would drop the answer."""
        body = (str(error) + "\n").encode()
        timer = IOLoop.current().call_later(LINGER_S, self.stream.close)
        try:
            await self.stream.write(http1.write_response(error.status, [], body, close=True))
            self.stream.socket.shutdown(socket.SHUT_WR)
            read = 0
            while read < LINGER_BYTES:
                read += len(await self.stream.read_bytes(65536, partial=True))
        except (StreamClosedError, OSError):
            pass
        finally:
            IOLoop.current().remove_timeout(timer)
