"""One connection of a client: reads its requests, passes them to the request manager, writes responses (RFC 9112)."""

from __future__ import annotations

import asyncio
import contextlib
import weakref
from time import monotonic

from tornado.iostream import StreamClosedError

from .. import logs
from . import http1
from .client_connections import ClientConnections
from .header_fields import budget_ms, decode_name
from .pipe import PipeBrokenError
from .read_ahead import ClientStream, IdleEndError, Mode, ReadAhead
from .request import FinalResponse, Request, Verdict
from .request_check import check_request, details_of
from .request_reader import RequestReader
from .responses import forwarded_headers, write_final_response

log = logs.get(__name__)

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
        self.request_reader = RequestReader(self.reader, weakref.proxy(self), connections.budget)
        self._request: Request | None = None
        self._final: asyncio.Future[FinalResponse] | None = None
        self._upload: asyncio.Task[None] | None = None  # receives the rest of a streamed request
        self._address: str | None = None  # of the client; None: not looked up yet, "": unknown
        self._within_response = False  # whether a streamed response is partly written
        self._shut_down = False  # whether our sending side is shut down
        stream.ended = self._closed

    @property
    def owes_response(self) -> bool:
        """Whether a request is open or its response is being forwarded."""
        return self._request is not None

    def end_if_idle(self) -> bool:
        """Ends the connection if it is between two requests; returns whether it did.

        This is the one orderly way to end an idle connection. Nothing else runs between the check that no bytes have
        arrived and the shutdown of our sending side: a request that arrives later is not forwarded, as its client sees.
        """
        if self._shut_down or self._final is not None:
            return False
        if self.stream.closed() or self.stream.writing() or not self.request_reader.nothing_received:
            return False
        self._shut_down_sending()
        self.reader.fail(IdleEndError())
        return True

    def displace_if_idle(self) -> bool:
        """Ends the connection if it is idle; returns whether it did.

        A client that has not sent its first request gets an error: it could be about to send that.
        """
        if self.used:
            return self.end_if_idle()
        if self._shut_down or self.stream.closed() or not self.request_reader.nothing_received:
            return False
        self.reader.fail(http1.MalformedError(503, "more clients than memory allows"))
        return True

    def evict(self) -> bool:
        """Closes the connection if it is idle or ending, to free its descriptor; returns whether it did."""
        if not self._shut_down and not self.end_if_idle():
            return False
        self.stream.close()
        return True

    def end_incomplete_request(self, reason: str = "the sidecar is ending") -> None:
        """Rejects an incomplete request, and ends an idle connection."""
        if self._shut_down or self.end_if_idle():
            return
        uploading = self._uploading
        if self._final is None or uploading:
            self.reader.fail(http1.MalformedError(503, reason))
        if self._request is not None and uploading:
            self._request.payload.rest.break_off()

    @property
    def _uploading(self) -> bool:
        return self._upload is not None and not self._upload.done()

    async def serve(self) -> None:
        """Serves the connection up to its end; the stream is closed on return."""
        try:
            error = await self._serve_up_to_error()
            if error is None:
                self._finish()
            else:
                await self._reject(error)
        except StreamClosedError:
            pass
        finally:
            if self._upload is not None:
                self._upload.cancel()
                self._upload = None  # its exception refers to this connection
            self.stream.close()

    async def _serve_up_to_error(self) -> http1.MalformedError | None:
        """Serves requests; returns the error that ended them, without its traceback, which would hold a request."""
        try:
            await self._serve_requests()
        except IdleEndError:
            pass
        except http1.MalformedError as error:
            return error.with_traceback(None)
        except StreamClosedError:
            raise
        except Exception:  # an internal error: the client gets a response for it rather than none
            log.exception("internal error on a client connection", call=_printable_id(self._request))
            return http1.MalformedError(502, "internal fault")
        return None

    async def _serve_requests(self) -> None:
        """Serves requests one after another, up to the last one of the connection."""
        keep_alive = True
        while keep_alive:
            keep_alive = await self._serve_next()
            self.request_reader.release()
            if self._draining:  # the drain may have begun after the response was composed
                return
            if not self.request_reader.parser.idle:
                await asyncio.sleep(0)  # other connections come before the next request of this one

    async def _serve_next(self) -> bool:
        """Serves the next request; returns whether the connection can be used again."""
        message = await self._read_request()
        self.used = True
        if message.target != READINESS_PATH:
            return await self._serve_request(message)
        keep_alive = self._can_keep_alive(message)
        status = 200 if self._connections.ready() else 503
        await self._write(http1.write_response(status, [], b"", not keep_alive))
        return keep_alive

    @property
    def _draining(self) -> bool:
        """Whether the connection ends after its next response."""
        return self._connections.draining and (self._connections.drains_unread or self.request_reader.nothing_received)

    def _can_keep_alive(self, message: http1.Message) -> bool:
        """Whether the connection can serve further requests after the response to `message`."""
        return message.keep_alive and not self.reader.dropped and not self._draining

    async def _serve_request(self, message: http1.Message) -> bool:
        """Serves one request up to its response; returns whether the connection can be used again."""
        if message.rest is None:
            self.reader.set_mode(Mode.BUFFER_OR_DROP)
            await self.reader.read_to_end()
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
            wire = write_final_response(final, not keep_alive)
            if final.verdict is Verdict.SERVED:
                final.payload.drop_content()
            await self._write(wire)
            del wire
        if self._upload is not None:
            await self._upload
        message.drop_content()
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
            first_piece = response.body
            response.body = b""  # not held while the rest is forwarded
            await self._write(head + (http1.chunk(first_piece) if chunked and first_piece else first_piece))
            del first_piece
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
        connections = self._connections
        connections.set_idle(self, self.request_reader.parser.idle)
        try:
            return await self.request_reader.read_request(connections.settings, self.used, self._send_continue)
        finally:
            connections.set_idle(self, False)

    async def _send_continue(self) -> None:
        await self._write(http1.CONTINUE)

    def set_receiving(self, receiving: bool) -> None:
        """A part of a request has arrived (`receiving`), or all of it that is awaited."""
        self._connections.set_idle(self, False)
        self._connections.set_receiving(self, receiving)

    def receiving_rate(self, now: float, min_age_s: float) -> float:
        """The bytes a second of the request that is being received; infinite for its first `min_age_s` seconds."""
        return self.request_reader.receiving_rate(now, min_age_s)

    def stopped(self) -> bool:
        """Whether the connection is closed."""
        return self.stream.closed()

    async def _receive_rest(self, request: Request, message: http1.Message) -> None:
        """Receives the rest of a streamed request; what is wrong with it ends the request."""
        try:
            requests = self._connections.requests
            held_s = await self.request_reader.receive_rest(
                self._connections.settings, message, request.budget_left_s, lambda: requests.expire_upload(request)
            )
            self.reader.set_mode(Mode.BUFFER_OR_DROP)
            requests.body_received(request, held_s)
            message.rest.end()
        except StreamClosedError:
            message.rest.break_off()
        except Exception as error:  # malformed, too slow or an internal error: the request will never be complete
            message.rest.break_off()
            if self._final is not None and not self._final.done():
                self._abandon_request()
                self._final.set_exception(error)
            elif not isinstance(error, http1.MalformedError):
                log.exception("internal error while receiving a request body")

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
            self._upload = asyncio.get_running_loop().create_task(self._receive_rest(self._request, message))

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
        self.request_reader.close()
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
        request.payload.drop_content()

    async def _reject(self, error: http1.MalformedError) -> None:
        """Responds with the error and ends the connection; resets it if a response is partly written."""
        if self._within_response:
            self.stream.reset()
            return
        self._abandon_request()
        self.request_reader.discard()
        body = (str(error) + "\n").encode()
        with contextlib.suppress(StreamClosedError):
            await self._write(http1.write_response(error.status, [], body, close=True))
            self._finish()

    def _finish(self) -> None:
        """Shuts down our sending side, and hands the connection over until its client closes it."""
        if self.stream.closed():
            return
        if self._upload is not None:
            self._upload.cancel()
        self._shut_down_sending()
        self._connections.linger(self)

    def _shut_down_sending(self) -> None:
        """Shuts down our sending side; from then on the connection is among the first to be evicted."""
        if self._shut_down:
            return
        self._shut_down = True
        self._connections.set_ending(self)
        self.stream.shut_down_sending()
