"""Receives the requests of one client's connection, within limits of time and memory (RFC 9112)."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Awaitable, Callable
from time import monotonic
from typing import Protocol

from tornado.ioloop import IOLoop

from ..settings import ClientSettings
from . import http1
from .pipe import BodyPipe, BudgetShare, BufferBudget, PipeBrokenError
from .read_ahead import ReadAhead
from .upload_clock import UploadClock

# Of a head, while the budget is exhausted: several times what a client of the platform sends.
MAX_SMALL_HEAD_BYTES = 4 * 1024
MAX_SMALL_HEAD_FIELDS = 32
MIN_RECEIVING_S = 0.1  # seconds that each request has to arrive while there are older ones to be displaced


class ReceivingConnection(Protocol):
    """What the reader uses of the connection whose requests it receives."""

    def set_receiving(self, receiving: bool) -> None:
        """A part of a request has arrived (`receiving`), or all of it that is awaited."""
        ...

    def end_if_idle(self) -> bool:
        """Ends the connection if it is between two requests; returns whether it did."""
        ...

    def stopped(self) -> bool:
        """Whether the connection is closed."""
        ...


class RequestReader:
    """Receives requests one after another; what it holds of the current one is charged to the budget."""

    def __init__(self, reader: ReadAhead, connection: ReceivingConnection, budget: BufferBudget) -> None:
        self.reader = reader
        self.parser = http1.RequestParser(http1.MAX_STREAMED_BODY_BYTES)
        self._connection = connection
        self._budget = budget
        self._share = BudgetShare(budget)  # of the parser's buffer, the head, and the part of the body that is held
        self._begun_at = 0.0  # s; when the first bytes of the current request arrived
        self._received_bytes = 0  # of the current request
        self._head_bytes = 0  # of the current request, parsed
        self.timer: object = None  # limits the wait for a request, its head or its body
        self._body_wait_s = 0.0  # time spent waiting for the current body

    @property
    def nothing_received(self) -> bool:
        """Whether no part of a further request has arrived, neither here nor in the kernel."""
        return self.parser.idle and self.reader.empty

    def receiving_rate(self, now: float, min_age_s: float = MIN_RECEIVING_S) -> float:
        """The bytes a second of the request that is being received; infinite for its first `min_age_s` seconds."""
        age_s = now - self._begun_at
        return self._received_bytes / age_s if age_s >= min_age_s else math.inf

    async def read_request(
        self, limits: ClientSettings, used: bool, send_continue: Callable[[], Awaitable[None]]
    ) -> http1.Message:
        """Reads the next request: complete or, if it is long, its buffered part, with the rest to be streamed.

        `used`: whether the connection has carried a request. `send_continue` is called if the client waits for it.
        Raises MalformedError if the request does not arrive in time or is not valid, and StreamClosedError; without a
        request in time the connection ends.
        """
        parser = self.parser
        self._received_bytes = 0
        self._begun_at = monotonic()
        begun = not used
        self._start_timer(limits.request_s if begun else limits.idle_s)
        try:
            while (message := parser.head()) is None:
                self._check_head_size()
                if not (begun or parser.idle):
                    begun = True
                    self._start_timer(limits.request_s)
                await self._feed()
                self._share.set(len(parser.buffer))
                self._connection.set_receiving(not parser.idle)
            self._charge_head(message)
            if parser.expects_continue and message.minor == 1:
                self._stop_timer()
                await send_continue()
            self._connection.set_receiving(True)
            return await self._read_body(limits, message)
        finally:
            self._connection.set_receiving(False)
            self._stop_timer()

    def discard(self) -> None:
        """Drops what was received of a request that is rejected."""
        self.parser.buffer.clear()
        self._share.set(0)

    def release(self) -> None:
        """Ends the charge for the request that was read last: it is answered."""
        self._share.set(len(self.parser.buffer))

    def close(self) -> None:
        """Ends all charges: the connection has ended."""
        self._share.set(0)

    def _check_head_size(self) -> None:
        """Raises MalformedError if an incomplete head takes more than there is memory for."""
        if len(self.parser.buffer) > MAX_SMALL_HEAD_BYTES and self._budget.exhausted:
            raise http1.MalformedError(503, "no memory for a head of this size now")

    def _charge_head(self, message: http1.Message) -> None:
        """Charges a parsed head. Raises MalformedError if there is no memory for it."""
        if len(message.headers) > MAX_SMALL_HEAD_FIELDS and self._budget.exhausted:
            raise http1.MalformedError(503, "no memory for so many header fields now")
        self._head_bytes = message.head_bytes
        self._share.set(len(self.parser.buffer) + self._head_bytes)

    async def _read_body(self, limits: ClientSettings, message: http1.Message) -> http1.Message:
        """Reads the body up to its end, or as far as it may be buffered."""
        parser = self.parser
        pieces: list[bytes] = []
        size = 0
        self._body_wait_s = 0.0
        while True:
            piece = parser.pieces()
            pieces.append(piece)
            size += len(piece)
            self._share.set(len(parser.buffer) + self._head_bytes + size)
            if parser.complete:
                parser.next()
                break
            if self._budget.requires_streaming(size):
                message.rest = BodyPipe(self._budget)
                break
            await self._receive_more(limits, size)
        message.body = b"".join(pieces)
        if message.rest is None:
            message.length = size
        return message

    async def _receive_more(self, limits: ClientSettings, size: int) -> None:
        """Makes more of the body available: what the parser has left to decode, else what arrives next."""
        if self.parser.has_more:
            await asyncio.sleep(0)
        else:
            await self._read_more(limits, size)

    async def _read_more(self, limits: ClientSettings, size: int) -> None:
        """Reads more of a body of which `size` bytes have arrived; it is rejected below the minimum rate of bodies."""
        started_at = monotonic()
        left_s = limits.body_s + size / limits.body_rate - self._body_wait_s
        self._start_timer(max(min(left_s, limits.body_s), 0.0))
        await self._feed()
        self._stop_timer()
        self._body_wait_s += monotonic() - started_at

    async def _feed(self) -> None:
        """Passes what arrives next to the parser."""
        data = await self.reader.read()
        if self.parser.idle:
            self._begun_at = monotonic()
        self._received_bytes += len(data)
        self.parser.feed(data)

    async def receive_rest(
        self, limits: ClientSettings, message: http1.Message, budget_s: float, expired: Callable[[], None]
    ) -> float:
        """Reads the rest of a streamed request to its end, and puts it into its pipe while an attempt reads that.

        Returns for how many seconds of its time budget, `budget_s`, the client was held back by the endpoint; `expired`
        is called when these are all of it. Raises StreamClosedError, and MalformedError if the body is not valid or
        too slow.
        """
        parser = self.parser
        clock = UploadClock(message.length)
        size = len(message.body)
        self._connection.set_receiving(True)
        try:
            while True:
                piece = parser.pieces()
                size += len(piece)
                clock.received(size)
                with contextlib.suppress(PipeBrokenError):  # the request is answered already
                    await self._put(message.rest, piece, clock, budget_s, expired)
                if parser.complete:
                    parser.next()
                    return clock.held_s
                await self.reader.wait_for_turn()
                await self._receive_more(limits, size)
        finally:
            self._connection.set_receiving(False)
            self._stop_timer()

    async def _put(
        self, pipe: BodyPipe, piece: bytes, clock: UploadClock, budget_s: float, expired: Callable[[], None]
    ) -> None:
        """Adds a piece to the pipe, and counts the time for which the client is held back. Raises PipeBrokenError."""
        pipe.add(piece)
        if not pipe.is_full:
            await pipe.wait_for_capacity()
            return
        clock.hold(monotonic())
        timer = None
        if clock.may_be_sent:
            timer = IOLoop.current().call_later(max(budget_s - clock.held_s, 0.0), expired)
        try:
            await pipe.wait_for_capacity()
        finally:
            clock.release(monotonic())
            if timer is not None:
                IOLoop.current().remove_timeout(timer)

    def _start_timer(self, wait_s: float) -> None:
        self._stop_timer()
        self.timer = IOLoop.current().call_later(wait_s, self.handle_timeout)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            IOLoop.current().remove_timeout(self.timer)
            self.timer = None

    def handle_timeout(self) -> None:
        """Ends an idle connection, or rejects a request that is not complete: both would use up the descriptors."""
        if self._connection.stopped():
            return
        if not self.reader.empty:  # bytes have arrived in time, and are processed later in this turn of the event loop
            self._start_timer(0.0)
        elif not self._connection.end_if_idle():
            self.reader.fail(http1.MalformedError(408, "request not complete in time"))
