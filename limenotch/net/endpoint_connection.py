"""One connection to an endpoint, which carries one request at a time."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from time import monotonic

from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError

from .. import logs
from ..load_balancer_types import DiscoveredEndpoint
from . import http1
from .counted_stream import CountedStream
from .pipe import MAX_BUFFERED_BODY_BYTES, BodyPipe, BudgetShare, BufferBudget, PipeBrokenError

log = logs.get(__name__)

MAX_BUFFER_BYTES = 512 * 1024  # of one connection
FORWARD_AFTER_S = 0.3  # seconds after its head, a response that may be long is no longer buffered but forwarded


class EndpointConnection:
    """One connection to an endpoint; owned by the pool while it is idle, and by one attempt otherwise.

    A read is pending at all times, so that an idle connection that the endpoint has closed is not used again.
    """

    def __init__(
        self,
        stream: CountedStream,
        endpoint_name: str,
        address: tuple[str, int],
        answer_s: float = 0.5,
        stall_s: float = 10.0,
        budget: BufferBudget | None = None,
    ) -> None:
        """`answer_s`: seconds from the first byte of a response to the end of its head, and between two pieces of a
        body that is buffered and can't be long. Without this limit an endless head, or a body shorter than announced,
        would block its request until no retry is possible. `stall_s`: seconds between two pieces of a body that is
        being forwarded; it is longer, as another endpoint can't be tried any more.
        """
        self.stream = stream
        self.endpoint_name = endpoint_name
        self.address = address
        self.endpoint_started_ms = 0.0  # by the list, when the endpoint's process that it leads to started; Unix time
        self.idle_since = 0.0  # s
        self.idle_timer: object = None
        self.forwarded: asyncio.Future[bool] | None = None  # done at the end of a forwarded response: was it complete
        self._answer_s = answer_s
        self._stall_s = stall_s
        self._parser = http1.ResponseParser(http1.MAX_STREAMED_BODY_BYTES)
        self._budget = budget or BufferBudget(MAX_BUFFER_BYTES)
        self._share = BudgetShare(self._budget)  # of the parser's buffer, the head, and the part of a body that is held
        self._response: asyncio.Future[http1.Message | None] | None = None
        self._reserve_retry: Callable[[], bool] = lambda: True  # False: the request that awaits it is not sent again
        self._request_sent = True  # to its last byte
        self._head: http1.Message | None = None
        self._head_received_at = 0.0  # s
        self._buffered: list[bytes] = []  # of the body
        self._received_bytes = 0  # of the body of the current response
        self._pipe: BodyPipe | None = None
        self._pending_read: asyncio.Future[bytes] | None = None
        self._timer: object = None  # limits the wait for the next piece of a response that has begun

    async def read(self) -> None:
        """Reads responses until the connection ends, or receives what is not a response, and closes it."""
        try:
            while True:
                self._pending_read = self.stream.read_piece()
                if self._pending_read.done():
                    await asyncio.sleep(0)  # other connections come between: this endpoint may send all the time
                data = await self._pending_read
                self.stream.taken(data)
                self._parser.feed(data)
                if self._response is None or (self._response.done() and self._pipe is None):
                    break  # bytes that are no response to a request
                await self._process_input()
                while self._parser.has_more:
                    await asyncio.sleep(0)
                    await self._process_input()
        except StreamClosedError as error:
            # An orderly end completes a body without length (RFC 9112, section 6.3); a reset truncates it.
            if self._head is not None and error.real_error is None and self._parser.ends_with_connection:
                self._complete(self._head)
            elif self._pipe is not None:
                reason = str(error.real_error or "closed")
                log.info(
                    "response broken off", endpoint=self.endpoint_name, reason=reason, received=self._received_bytes
                )
        except PipeBrokenError:
            pass  # the rest of the body is not needed
        except http1.MalformedError as error:
            log.warning("malformed response from an endpoint", endpoint=self.endpoint_name, error=str(error))
        finally:
            self._cancel_timer()
            self.close()
            self._share.set(0)
            self._pending_read = None  # its error refers to this connection

    async def _process_input(self) -> None:
        """Buffers or forwards what has been received of the response."""
        parser = self._parser
        head = self._head or self._receive_head()
        if head is None:
            return
        piece = parser.pieces()
        self._received_bytes += len(piece)
        complete = parser.complete
        held_bytes = self._received_bytes if self._pipe is None else 0
        self._share.set(len(parser.buffer) + head.head_bytes + held_bytes)
        if self._pipe is None:
            self._buffer(piece, complete)
        else:
            self._cancel_timer()
            await self._pipe.put(piece)
        if complete:
            self._cancel_timer()
            parser.next()
            self._complete(head)
        else:
            self._limit_wait_for_body()

    def _receive_head(self) -> http1.Message | None:
        """The final response if its head is complete; None, with a limit to the wait for what has begun of it, if not.

        Each interim response (1xx) is a message of its own. After it the endpoint works for as long as it needs.
        """
        interim_responses = self._parser.interim_responses
        self._head = self._parser.head()
        if self._head is not None:
            self._head_received_at = monotonic()
            return self._head
        if self._parser.interim_responses != interim_responses:
            self._cancel_timer()  # it was that of the interim response
        if not self._parser.idle and self._timer is None and self._request_sent:
            self._start_timer(self._answer_s, self._retry_elsewhere)
        return None

    def _buffer(self, piece: bytes, complete: bool) -> None:
        self._buffered.append(piece)
        if not complete and self._should_forward():
            self.start_forwarding()

    def _should_forward(self) -> bool:
        """Whether the response is to be forwarded from now on rather than buffered."""
        if self._budget.requires_streaming(self._received_bytes):
            return True
        return self.may_be_long and self._forward_delay_s <= 0.0

    @property
    def may_be_long(self) -> bool:
        """Whether the current response, by its head, may be longer than what may be buffered."""
        announced = self._head.length if self._head is not None else 0
        return announced is None or announced > MAX_BUFFERED_BODY_BYTES

    @property
    def _forward_delay_s(self) -> float:
        """Seconds until a response that may be long is forwarded; 0 or less once that time has come."""
        return self._head_received_at + FORWARD_AFTER_S - monotonic()

    def _limit_wait_for_body(self) -> None:
        """Starts the timer for the next piece of the body.

        A response that is long by its head is never given up while it is buffered: its endpoint may pause for longer
        than `answer_s`, wherever the request is sent.
        """
        if self._pipe is not None:
            self._start_timer(self._stall_s, self._give_up)
        elif not self._request_sent:
            self._cancel_timer()
        elif self._is_long or (self.may_be_long and self._forward_delay_s <= self._answer_s):
            self._start_timer(max(self._forward_delay_s, 0.0), self._forward_now)
        else:
            self._start_timer(self._answer_s, self._retry_elsewhere)

    @property
    def _is_long(self) -> bool:
        """Whether the current response, by its head, is longer than what may be buffered."""
        return self.may_be_long and self._head is not None and self._head.length is not None

    def forwards_if_long(self) -> bool:
        """Whether the response is being forwarded; that starts now if the response may be long."""
        already = self.forwarded is not None and not self.forwarded.done()
        return already or (self.may_be_long and self.start_forwarding())

    def start_forwarding(self) -> bool:
        """Makes the response available now, with a pipe for the rest of its body.

        Returns False if its head has not been received, or the response was made available before.
        """
        if self._head is None or self._response is None or self._response.done():
            return False
        self._pipe = self._head.rest = BodyPipe(self._budget)
        self.forwarded = asyncio.get_running_loop().create_future()
        self._head.body = b"".join(self._buffered)
        self._buffered.clear()
        self._response.set_result(self._head)
        self._limit_wait_for_body()
        return True

    def _complete(self, message: http1.Message) -> None:
        if self._pipe is not None:
            self._pipe.end()
            self._pipe = None
            self._finish_forwarding(complete=True)
        elif self._response is not None and not self._response.done():
            message.body = b"".join(self._buffered)
            message.length = len(message.body)
            self._response.set_result(message)
        self._head = None
        self._received_bytes = 0
        self._buffered.clear()

    def _finish_forwarding(self, complete: bool) -> None:
        if self.forwarded is not None and not self.forwarded.done():
            self.forwarded.set_result(complete)

    def close(self) -> None:
        """Closes the connection; an incomplete response counts as none, or as truncated if it is being forwarded."""
        if self._response is not None and not self._response.done():
            self._response.set_result(None)
        if self._pipe is not None:
            self._pipe.break_off()
            self._pipe = None
        self._finish_forwarding(complete=False)
        self.stream.close()

    def _start_timer(self, delay_s: float, handle: Callable[[float], None]) -> None:
        """Calls `handle` with `delay_s` after `delay_s` seconds, in place of the timer that runs."""
        self._cancel_timer()
        self._timer = IOLoop.current().call_later(delay_s, handle, delay_s)

    def _forward_now(self, _: float) -> None:
        self.start_forwarding()

    def _retry_elsewhere(self, waited_s: float) -> None:
        """Gives the response up so that the request is sent again; waits on if it would not be."""
        if self._reserve_retry():
            self._give_up(waited_s)
        else:
            self._start_timer(self._stall_s, self._give_up)

    def _give_up(self, waited_s: float) -> None:
        """Closes the connection, as the rest of a response that has begun did not arrive within `waited_s` seconds."""
        log.info(
            "response given up",
            endpoint=self.endpoint_name,
            waiting_for=self._awaited_part,
            announced=self._head.length if self._head is not None else None,
            received=self._received_bytes,
            waited_s=waited_s,
        )
        self.close()

    @property
    def _awaited_part(self) -> str:
        if self._head is None:
            return "head"
        return "buffered body" if self._pipe is None else "forwarded body"

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            IOLoop.current().remove_timeout(self._timer)
            self._timer = None

    def expect_response(
        self, reserve_retry: Callable[[], bool] = lambda: True, request_sent: bool = True
    ) -> asyncio.Future[http1.Message | None]:
        """A future of the next response, complete or being forwarded; None if the connection ends without one.

        `reserve_retry` is called when `answer_s` has passed, and reserves a retry of the request. If it returns False,
        giving up gains nothing, and the response has `stall_s` more. Without `request_sent`, a pause of the response
        has no limit before `limit_response`.
        """
        self._reserve_retry = reserve_retry
        self._request_sent = request_sent
        self._response = asyncio.get_running_loop().create_future()
        self.forwarded = None
        return self._response

    def limit_response(self) -> None:
        """The last byte of the request was sent: the endpoint has no more to wait for if its response has begun."""
        self._request_sent = True
        if self._head is not None:
            self._limit_wait_for_body()
        elif not self._parser.idle:
            self._start_timer(self._answer_s, self._retry_elsewhere)

    def is_clean(self) -> bool:
        """Whether the connection is open and has no unread bytes, which would be taken for the next response."""
        if self.stream.closed() or (self._pending_read is not None and self._pending_read.done()):
            return False
        try:
            self.stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def is_connected_to(self, endpoint: DiscoveredEndpoint) -> bool:
        """Whether the connection leads to the process that is listed now, not to an earlier process of the endpoint."""
        return (self.address, self.endpoint_started_ms) == (endpoint.address, endpoint.started_ms)

    def is_reusable(self, response: http1.Message) -> bool:
        """Whether another request may be sent on the connection after `response`."""
        return response.keep_alive and self._parser.idle and not self.stream.closed()
