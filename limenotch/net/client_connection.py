"""One connection of a client: reads its requests, passes them to the request manager, writes responses (RFC 9112)."""

from __future__ import annotations

import asyncio
import contextlib
from time import monotonic

from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError

from .. import logs
from . import http1
from .client_connections import ClientConnections
from .header_fields import budget_ms, decode_name
from .pipe import BodyPipe, PipeBrokenError
from .read_ahead import ClientStream, IdleEndError, Mode, ReadAhead
from .request import FinalResponse, Request, Verdict
from .request_check import check_request, details_of
from .responses import forwarded_headers, write_final_response

log = logs.get(__name__)

# Closing a connection with unread bytes resets it, and the client may lose the response (RFC 9112, 9.6). So after our
# sending side is shut down, the client has LINGER_S seconds to read the response and to close, and up to LINGER_BYTES
# that it still sends are read and discarded.
LINGER_S = 0.5
LINGER_BYTES = 256 * 1024

READINESS_PATH = b"/up"


def _printable_id(request: Request | None) -> str | None:
    return request.request_id.decode("latin-1") if request is not None else None


class ClientConnection:
    """One connection of a client; it carries one request at a time."""

    def __init__(self, stream: ClientStream, connections: ClientConnections[ClientConnection]) -> None:
        self.stream = stream
        self.reader = ReadAhead(stream, connections.budget)
        self.used = False  # whether a request has arrived on it
        self._connections = connections
        self._parser = http1.RequestParser(http1.MAX_STREAMED_BODY_BYTES)
        self._timer: object = None  # limits the wait for a request, its head or its body
        self._request: Request | None = None
        self._final: asyncio.Future[FinalResponse] | None = None
        self._upload: asyncio.Task[None] | None = None  # receives the rest of a streamed request
        self._body_wait_s = 0.0  # time spent waiting for the current body
        self._address: str | None = None  # of the client; None: not looked up yet, "": unknown
        self._within_response = False  # whether a streamed response is partly written
        self._shut_down = False  # whether our sending side is shut down
        stream.ended = self._closed

    @property
    def owes_response(self) -> bool:
        """Whether a request is open or its response is being forwarded."""
        return self._request is not None

    @property
    def _nothing_received(self) -> bool:
        """Whether no part of a further request has arrived, neither here nor in the kernel."""
        return self._parser.idle and self.reader.empty

    def end_if_idle(self) -> bool:
        """Ends the connection if it is between two requests; returns whether it did.

        This is the one orderly way to end an idle connection. Nothing else runs between the check that no bytes have
        arrived and the shutdown of our sending side: a request that arrives later is not forwarded, as its client sees.
        """
        if self._shut_down or self._final is not None:
            return False
        if self.stream.closed() or self.stream.writing() or not self._nothing_received:
            return False
        self._shut_down_sending()
        self.reader.fail(IdleEndError())
        return True

    def evict(self) -> bool:
        """Closes the connection if it is idle or lingering, to free its descriptor; returns whether it did."""
        if not self._shut_down and not self.end_if_idle():
            return False
        self.stream.close()
        return True

    def end_incomplete_request(self) -> None:
        """Rejects an incomplete request before the process ends, and ends an idle connection."""
        if self._shut_down or self.end_if_idle():
            return
        uploading = self._uploading
        if self._final is None or uploading:
            self.reader.fail(http1.MalformedError(503, "the sidecar is ending"))
        if self._request is not None and uploading:
            self._request.payload.rest.break_off()

    @property
    def _uploading(self) -> bool:
        return self._upload is not None and not self._upload.done()

    async def serve(self) -> None:
        """Serves the connection up to its end; the stream is closed on return."""
        try:
            await self._serve_requests()
            await self._finish()
        except IdleEndError:
            await self._finish()
        except http1.MalformedError as error:
            await self._reject(error)
        except StreamClosedError:
            pass
        except Exception:  # an internal error: the client gets a response for it rather than none
            log.exception("internal error on a client connection", call=_printable_id(self._request))
            await self._reject(http1.MalformedError(502, "internal fault"))
        finally:
            if self._upload is not None:
                self._upload.cancel()
            self.stream.close()

    async def _serve_requests(self) -> None:
        """Serves requests one after another, up to the last one of the connection."""
        keep_alive = True
        while keep_alive:
            message = await self._read_request()
            self.used = True
            if message.target == READINESS_PATH:
                keep_alive = self._can_keep_alive(message)
                status = 200 if self._connections.ready() else 503
                await self._write(http1.write_response(status, [], b"", not keep_alive))
            else:
                keep_alive = await self._serve_request(message)
            if self._draining:  # the drain may have begun after the response was composed
                return

    @property
    def _draining(self) -> bool:
        """Whether the connection ends after its next response."""
        return self._connections.draining and (self._connections.drains_unread or self._nothing_received)

    def _can_keep_alive(self, message: http1.Message) -> bool:
        """Whether the connection can serve further requests after the response to `message`."""
        return message.keep_alive and not self.reader.dropped and not self._draining

    async def _serve_request(self, message: http1.Message) -> bool:
        """Serves one request up to its response; returns whether the connection can be used again."""
        self._accept(message)
        assert self._final is not None and self._request is not None
        request = self._request
        final = await self._final
        if self.stream.closed():
            return False
        # The response may come before the end of its request: the rest is read, but no further request is served.
        early = self._uploading
        if message.rest is not None:
            message.rest.break_off()
        keep_alive = not early and self._can_keep_alive(message)
        if final.verdict is Verdict.SERVED and final.payload.rest is not None:
            keep_alive = await self._forward_response(request, final.payload, keep_alive, message.minor)
        else:
            self._request = None
            await self._write(write_final_response(final, not keep_alive))
        if self._upload is not None:
            await self._upload
        self._request = None
        self._final = None
        self._upload = None
        if self.reader.dropped:
            return False
        self.reader.set_mode(Mode.LEAVE)
        return keep_alive

    async def _forward_response(
        self, request: Request, response: http1.Message, keep_alive: bool, minor_version: int
    ) -> bool:
        """Forwards a streamed response as it arrives; returns whether the connection can be used again.

        If the response is truncated, the connection is reset or closed, so that the client can tell.
        """
        chunked = response.length is None and minor_version == 1
        keep_alive = keep_alive and (chunked or response.length is not None)
        head = http1.response_head(200, forwarded_headers(response), response.length, not keep_alive, minor_version)
        ending = "errored"
        self._within_response = True
        try:
            await self._write(
                head + (http1.chunk(response.body) if chunked and response.body else response.body),
            )
            while piece := await response.rest.get():
                await self._write(http1.chunk(piece) if chunked else piece)
            if chunked:
                await self._write(http1.LAST_CHUNK)
            ending = "answered"
            self._within_response = False
        except PipeBrokenError:
            log.info("streamed response truncated", call=_printable_id(request))
            keep_alive = False
        finally:
            response.rest.break_off()
            self._request = None
            self._connections.requests.stream_ended(request, ending)
            if self._within_response and minor_version == 0:  # an orderly end would mark the end of the body
                self.stream.reset()
        return keep_alive

    async def _write(self, response: bytes) -> None:
        await self.stream.write_to_reader(self._connections.settings.write_s, response)

    async def _read_request(self) -> http1.Message:
        """Reads the next request: complete or, if it is long, its buffered part, with the rest to be streamed.

        A request that does not arrive in time is rejected; a connection on which none begins in time ends.
        """
        parser = self._parser
        limits = self._connections.settings
        begun = not self.used
        self._start_timer(limits.request_s if begun else limits.idle_s)
        self._connections.set_idle(self, parser.idle)
        try:
            while (message := parser.head()) is None:
                if not (begun or parser.idle):
                    begun = True
                    self._start_timer(limits.request_s)
                parser.feed(await self.reader.read())
                self._connections.set_idle(self, False)
            if parser.expects_continue and message.minor == 1:
                self._stop_timer()
                await self._write(http1.CONTINUE)
            return await self._read_body(message)
        finally:
            self._connections.set_idle(self, False)
            self._stop_timer()

    async def _read_body(self, message: http1.Message) -> http1.Message:
        """Reads the body up to its end, or as far as it may be buffered."""
        parser = self._parser
        budget = self._connections.budget
        pieces: list[bytes] = []
        size = 0
        self._body_wait_s = 0.0
        while True:
            piece = parser.pieces()
            pieces.append(piece)
            size += len(piece)
            if parser.complete:
                parser.next()
                break
            if budget.requires_streaming(size):
                message.rest = BodyPipe(budget)
                break
            await self._read_more(size)
        message.body = b"".join(pieces)
        if message.rest is None:
            message.length = size
        return message

    async def _read_more(self, size: int) -> None:
        """Reads more of a body of which `size` bytes have arrived; it is rejected below the minimum rate of bodies."""
        limits = self._connections.settings
        started_at = monotonic()
        left_s = limits.body_s + size / limits.body_rate - self._body_wait_s
        self._start_timer(max(min(left_s, limits.body_s), 0.0))
        self._parser.feed(await self.reader.read())
        self._stop_timer()
        self._body_wait_s += monotonic() - started_at

    async def _receive_rest(self, message: http1.Message) -> None:
        """Reads the rest of a streamed request to its end, and puts it into its pipe while an attempt reads that."""
        parser = self._parser
        pipe = message.rest
        size = len(message.body)
        try:
            while True:
                piece = parser.pieces()
                size += len(piece)
                with contextlib.suppress(PipeBrokenError):  # the request is answered already
                    await pipe.put(piece)
                if parser.complete:
                    parser.next()
                    self.reader.set_mode(Mode.BUFFER_OR_DROP)
                    pipe.end()
                    return
                await self._read_more(size)
        except StreamClosedError:
            pipe.break_off()
        except Exception as error:  # malformed, too slow or an internal error: the request will never be complete
            pipe.break_off()
            if self._final is not None and not self._final.done():
                self._abandon_request()
                self._final.set_exception(error)
            elif not isinstance(error, http1.MalformedError):
                log.exception("internal error while receiving a request body")
        finally:
            self._stop_timer()

    def _start_timer(self, wait_s: float) -> None:
        self._stop_timer()
        self._timer = IOLoop.current().call_later(wait_s, self._handle_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            IOLoop.current().remove_timeout(self._timer)
            self._timer = None

    def _handle_timeout(self) -> None:
        """Ends an idle connection, or rejects a request that is not complete: both would use up the descriptors."""
        if self.stream.closed():
            return
        if not self.reader.empty:  # bytes have arrived in time, and are processed later in this turn of the event loop
            self._start_timer(0.0)
        elif not self.end_if_idle():
            self.reader.fail(http1.MalformedError(408, "request not complete in time"))

    def _accept(self, message: http1.Message) -> None:
        """Validates a request and passes it to the request manager. Raises MalformedError or StreamClosedError."""
        check_request(message, self._connections.requests, self._connections.load_balancer)
        fields = message.fields
        streamed = message.rest is not None
        self.reader.set_mode(Mode.BUFFER if streamed else Mode.BUFFER_OR_DROP)
        if self.stream.closed():  # its client has disconnected already
            raise StreamClosedError
        requests = self._connections.requests
        # A request accepted during a shutdown has to end before the process is killed.
        until_end_ms = max((requests.last_deadline - monotonic()) * 1000.0, 1.0)
        usable_ms = min(budget_ms(fields.get(b"x-budget", b"")), until_end_ms)
        final = self._final = asyncio.get_running_loop().create_future()
        self._request = requests.accept(
            request_id=fields[b"x-call-id"],
            payload=message,
            class_name=decode_name(fields.get(b"x-call-class", b"")),
            tenant=decode_name(fields.get(b"x-caller", b"")),
            budget_ms=usable_ms,
            respond=final.set_result,
            has_capacity=self._connections.descriptors.endpoints.has_capacity,
            body_pipe=message.rest,
            details=details_of(fields, self._client_address()),
        )
        self._request.client_connected = self.stream.peer_connected
        if streamed:
            self._upload = asyncio.get_running_loop().create_task(self._receive_rest(message))

    def _client_address(self) -> str:
        """The client's address, "host:port"; empty if it is unknown or there is no interceptor."""
        if not self._connections.requests.interceptors:
            return ""
        if self._address is None:
            self._address = self.stream.peer_address()
        return self._address

    def _closed(self) -> None:
        """Handles the end of the stream, whichever side closed it."""
        self.reader.close()
        self._connections.ended(self)
        self._abandon_request()
        if self._final is not None and not self._final.done():
            self._final.cancel()
        if self._address:
            self._connections.connection_ended(self._address)

    def _abandon_request(self) -> None:
        """Ends the request, as its response is not needed any more."""
        request = self._request
        self._request = None
        if request is None:
            return
        self._connections.requests.client_disconnected(request)
        if request.payload.rest is not None:
            request.payload.rest.break_off()

    async def _reject(self, error: http1.MalformedError) -> None:
        """Responds with the error and ends the connection; resets it if a response is partly written."""
        if self._within_response:
            self.stream.reset()
            return
        self._abandon_request()
        body = (str(error) + "\n").encode()
        with contextlib.suppress(StreamClosedError):
            await self._write(http1.write_response(error.status, [], body, close=True))
            await self._finish()

    async def _finish(self) -> None:
        """Shuts down our sending side, and discards what the client still sends until it closes the connection."""
        if self.stream.closed():
            return
        if self._upload is not None:
            self._upload.cancel()
        self._shut_down_sending()
        timer = IOLoop.current().call_later(LINGER_S, self.stream.close)
        try:
            with contextlib.suppress(StreamClosedError):
                await self.reader.discard(LINGER_BYTES)
        finally:
            IOLoop.current().remove_timeout(timer)

    def _shut_down_sending(self) -> None:
        """Shuts down our sending side; from then on the connection is among the first to be evicted."""
        if self._shut_down:
            return
        self._shut_down = True
        self._connections.set_lingering(self)
        self.stream.shut_down_sending()
