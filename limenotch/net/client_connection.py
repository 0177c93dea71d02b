"""One connection of a consumer: its requests read, its calls taken, their answers written."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from time import monotonic

from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError

from .. import logs
from ..config import host_port
from . import http1
from .client_connections import ClientConnections
from .header_fields import budget_ms, check_once, decode_name
from .pipe import BodyPipe, BrokenError
from .read_ahead import ClientStream, Mode, ReadAhead
from .request import FinalResponse, Request, RequestDetails, Verdict
from .responses import forwarded_headers, write_final_response

log = logs.get(__name__)

# A close over unread bytes resets the connection, and the client may lose the answer before it. So after the end of our
# sending a client has this long to read it and close, and is read this far: more would be work for nothing.
LINGER_S = 0.5
LINGER_BYTES = 256 * 1024

READINESS_PATH = b"/up"


class IdleEndError(Exception):
    """The connection ends between two requests."""


def _printable(call: Request | None) -> str | None:
    return call.request_id.decode("latin-1") if call is not None else None


class ClientConnection:
    """One connection of a consumer; one call at a time."""

    def __init__(self, stream: ClientStream, group: ClientConnections[ClientConnection]) -> None:
        self.stream, self._all = stream, group
        self.reader = ReadAhead(stream, group.budget)
        self._parser = http1.RequestParser(http1.MAX_LONG)
        self._timer: object = None  # of the wait for a request, its head and its body
        self._call: Request | None = None
        self._final: asyncio.Future[FinalResponse] | None = None
        self._upload: asyncio.Task[None] | None = None  # of the rest of a long request
        self._read_s = 0.0  # spent in waiting for a body
        self._from: str | None = None  # where it comes from, once that was asked
        self._begun = False  # a part of an answer is written
        self._ending = False  # nothing more is written
        self.used = False
        stream.ended = self._closed

    @property
    def owes_response(self) -> bool:
        """A call is open, or its answer is being passed on."""
        return self._call is not None

    @property
    def _quiet(self) -> bool:
        """Nothing of a further request has come, neither here nor in the kernel."""
        return self._parser.idle and self.reader.empty

    def end_if_idle(self) -> bool:
        """End the connection if it is between two requests; whether it was.

        The one way to end an idle connection in order. From the look at what has come to the end of our sending
        nothing else runs: a request that is read later is not sent on, and its client knows that it was not.
        """
        if self._ending or self._final is not None or self.stream.closed() or self.stream.writing() or not self._quiet:
            return False
        self._shut()
        self.reader.fail(IdleEndError())
        return True

    def evict(self) -> bool:
        """The same at once, to give the descriptor back; the end of a connection that lingers is cut short."""
        if not self._ending and not self.end_if_idle():
            return False
        self.stream.close()
        return True

    def end_incomplete_request(self) -> None:
        """The program is about to end: a request that is not whole is turned off, and is not sent on."""
        if self._ending or self.end_if_idle():
            return
        uploading = self._upload is not None and not self._upload.done()
        if self._final is None or uploading:
            self.reader.fail(http1.MalformedError(503, "the sidecar is ending"))
        if self._call is not None and uploading:
            self._call.payload.rest.cut()

    async def serve(self) -> None:
        try:
            await self._answers()
            await self._finish()
        except IdleEndError:
            await self._finish()
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

    async def _answers(self) -> None:
        """One after another, up to the last."""
        keep = True
        while keep:
            request = await self._request()
            self.used = True
            if request.target == READINESS_PATH:
                keep = self._keeps(request)
                await self._write(http1.write_response(200 if self._all.ready() else 503, [], b"", not keep))
            else:
                keep = await self._serve(request)
            if self._all.closing and (self._all.over or self._quiet):  # since the answer was worded
                return

    def _keeps(self, request: http1.Message) -> bool:
        """Whether the connection serves on after the answer to this request."""
        if not request.keep_alive or self.reader.dropped:
            return False
        return not self._all.closing or not (self._all.over or self._quiet)

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
        keep = not early and self._keeps(request)
        if final.verdict is Verdict.SERVED and final.payload.rest is not None:
            keep = await self._pass_on(call, final.payload, keep, request.minor)
        else:
            self._call = None
            await self._write(write_final_response(final, not keep))
        if self._upload is not None:
            await self._upload
        self._call = self._final = self._upload = None
        if self.reader.dropped:
            return False
        self.reader.set_mode(Mode.LEAVE)
        return keep

    async def _pass_on(self, call: Request, response: http1.Message, keep: bool, minor: int) -> bool:
        """A long answer, as it comes. If it breaks off, so does the connection: the consumer must be able to tell."""
        chunked = response.length is None and minor == 1
        keep = keep and (chunked or response.length is not None)
        head = http1.response_head(200, forwarded_headers(response), response.length, not keep, minor)
        end, self._begun = "errored", True
        try:
            await self._write(head + (http1.chunk(response.body) if chunked and response.body else response.body))
            while piece := await response.rest.get():
                await self._write(http1.chunk(piece) if chunked else piece)
            if chunked:
                await self._write(http1.LAST_CHUNK)
            end, self._begun = "answered", False
        except BrokenError:
            log.info("long answer broke off", call=_printable(call))
            keep = False
        finally:
            response.rest.cut()
            self._call = None
            self._all.requests.stream_ended(call, end)
            if self._begun and minor == 0:  # an end in good order would pass for the answer's
                self._reset()
        return keep

    async def _write(self, response: bytes) -> None:
        """One that does not read is not waited for: its connection would never be given back."""
        written = self.stream.write(response)
        timer = IOLoop.current().call_later(self._all.settings.write_s, self.stream.close)
        try:
            await written
        finally:
            IOLoop.current().remove_timeout(timer)

    async def _request(self) -> http1.Message:
        """The next request: whole, or of a long one what is held, with the rest to come. One that does not come in
        time is turned off, or the connection closes.
        """
        parser, begun, tuning = self._parser, not self.used, self._all.settings
        self._time(tuning.request_s if begun else tuning.idle_s)
        self._all.set_idle(self, parser.idle)
        try:
            while (request := parser.head()) is None:
                if not (begun or parser.idle):
                    begun = True
                    self._time(tuning.request_s)
                parser.feed(await self.reader.read())
                self._all.set_idle(self, False)
            if parser.asked and request.minor == 1:
                self._untime()
                await self._write(http1.CONTINUE)
            return await self._body(request)
        finally:
            self._all.set_idle(self, False)
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
                request.rest = BodyPipe(budget)
                break
            await self._read(size)
        request.body = b"".join(held)
        if request.rest is None:
            request.length = size
        return request

    async def _read(self, size: int) -> None:
        """More of a body of which `size` bytes are there; it may be slow, but not slower than its least rate."""
        tuning, before = self._all.settings, monotonic()
        left = tuning.body_s + size / tuning.body_rate - self._read_s
        self._time(max(min(left, tuning.body_s), 0.0))
        self._parser.feed(await self.reader.read())
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
                    self.reader.set_mode(Mode.BUFFER_OR_DROP)
                    pipe.end()
                    return
                await self._read(size)
        except StreamClosedError:
            pipe.cut()
        except Exception as error:  # malformed or late, else a fault of ours: either way it never was whole
            pipe.cut()
            if self._final is not None and not self._final.done():
                self._depart()
                self._final.set_exception(error)
            elif not isinstance(error, http1.MalformedError):
                log.exception("fault at a consumer's upload")
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
        if self.stream.closed():
            return
        if not self.reader.empty:  # read in this turn of the loop, or about to be
            self._time(0.0)
        elif not self.end_if_idle():
            self.reader.fail(http1.MalformedError(408, "request not complete in time"))

    def _take(self, request: http1.Message) -> None:
        fields, facade = request.fields, self._all.load_balancer
        if request.method in (b"HEAD", b"CONNECT"):  # framed by other rules, and no call has them
            raise http1.MalformedError(405, "GET or POST expected")
        if request.minor == 1 and b"host" not in fields:
            raise http1.MalformedError(400, "Host: missing")
        check_once(request.headers)
        class_name = decode_name(fields.get(b"x-call-class", b""))
        tenant = decode_name(fields.get(b"x-caller", b""))
        name = fields.get(b"x-call-id")
        if not name:
            raise http1.MalformedError(400, "X-Call-Id: missing")
        if self._all.requests.is_known(name):  # it would reach a provider as one more copy of the other's call
            raise http1.MalformedError(409, "X-Call-Id: of a call that is open")
        if not facade.knows_class(class_name):
            raise http1.MalformedError(400, "X-Call-Class: unknown")
        if not facade.knows_tenant(tenant):
            raise http1.MalformedError(400, "X-Caller: unknown")
        self.reader.set_mode(Mode.BUFFER if request.rest is not None else Mode.BUFFER_OR_DROP)
        if self.stream.closed():  # its client has gone already
            raise StreamClosedError
        # One taken while leaving must not be found open by what ends the process.
        left = min(
            budget_ms(fields.get(b"x-budget", b"")), max((self._all.requests.last_deadline - monotonic()) * 1000.0, 1.0)
        )
        final = self._final = asyncio.get_running_loop().create_future()
        about = RequestDetails(
            fields.get(b"idempotency-key", b""), fields, self._origin(), fields.get(b"x-again") == b"1"
        )
        room = self._all.descriptors.endpoints.has_capacity
        self._call = self._all.requests.accept(
            name, request, class_name, tenant, left, final.set_result, room, request.rest, about
        )
        self._call.client_connected = self._present
        if request.rest is not None:
            self._upload = asyncio.get_running_loop().create_task(self._read_on(request))

    def _present(self) -> bool:
        """Whether the client is there as far as the kernel knows, which hears of its end before a busy loop does."""
        try:
            return self.stream.socket.recv(1, socket.MSG_PEEK) != b""
        except BlockingIOError:
            return True
        except (OSError, AttributeError):  # broken, or closed here
            return False

    def _origin(self) -> str:
        """Where it comes from, if anybody asks."""
        if not self._all.requests.interceptors:
            return ""
        if self._from is None:
            self._from = ""
            with contextlib.suppress(OSError):  # it has gone already
                self._from = host_port(self.stream.socket.getpeername()[:2])
        return self._from

    def _closed(self) -> None:
        self.reader.close()
        self._all.ended(self)
        self._depart()
        if self._final is not None and not self._final.done():
            self._final.cancel()
        if self._from:
            self._all.connection_ended(self._from)

    def _depart(self) -> None:
        """Whatever was to come for this client's call is not wanted any more."""
        call, self._call = self._call, None
        if call is not None:
            self._all.requests.client_disconnected(call)
            if call.payload.rest is not None:
                call.payload.rest.cut()

    async def _turn_off(self, error: http1.MalformedError) -> None:
        """Say why, and end; within an answer the words would be taken for a part of it."""
        if self._begun:
            self._reset()
            return
        self._depart()
        body = (str(error) + "\n").encode()
        with contextlib.suppress(StreamClosedError):
            await self._write(http1.write_response(error.status, [], body, close=True))
            await self._finish()

    async def _finish(self) -> None:
        """The end in order: what was written is sent, then our end, and what still comes is dropped for a while."""
        if self.stream.closed():
            return
        if self._upload is not None:
            self._upload.cancel()
        self._shut()
        timer = IOLoop.current().call_later(LINGER_S, self.stream.close)
        try:
            with contextlib.suppress(StreamClosedError):
                await self.reader.discard(LINGER_BYTES)
        finally:
            IOLoop.current().remove_timeout(timer)

    def _shut(self) -> None:
        """The end of our sending; the connection is the first to give way from then on."""
        if self._ending:
            return
        self._ending = True
        self._all.set_lingering(self)
        with contextlib.suppress(OSError):  # the client has gone already
            self.stream.socket.shutdown(socket.SHUT_WR)

    def _reset(self) -> None:
        """End so that nobody takes what was written for the whole."""
        if not self.stream.closed():
            self.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.stream.close()
