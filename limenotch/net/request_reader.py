"""Receives the requests of one client's connection, within limits of time (RFC 9112)."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from time import monotonic
from typing import Protocol

from tornado.ioloop import IOLoop

from ..settings import ClientSettings
from . import http1
from .pipe import BodyPipe, BufferBudget, PipeBrokenError
from .read_ahead import ReadAhead


class ReceivingConnection(Protocol):
    """What the reader uses of the connection whose requests it receives."""

    def receiving_started(self) -> None:
        """Bytes have arrived: the connection is not idle any more."""
        ...

    def end_if_idle(self) -> bool:
        """Ends the connection if it is between two requests; returns whether it did."""
        ...

    def stopped(self) -> bool:
        """Whether the connection is closed."""
        ...


class RequestReader:
    """Receives requests one after another."""

    def __init__(self, reader: ReadAhead, connection: ReceivingConnection, budget: BufferBudget) -> None:
        self.reader = reader
        self.parser = http1.RequestParser(http1.MAX_STREAMED_BODY_BYTES)
        self._connection = connection
        self._budget = budget
        self.timer: object = None  # limits the wait for a request, its head or its body
        self._body_wait_s = 0.0  # time spent waiting for the current body

    @property
    def nothing_received(self) -> bool:
        """Whether no part of a further request has arrived, neither here nor in the kernel."""
        return self.parser.idle and self.reader.empty

    async def read_request(
        self, limits: ClientSettings, used: bool, send_continue: Callable[[], Awaitable[None]]
    ) -> http1.Message:
        """Reads the next request: complete or, if it is long, its buffered part, with the rest to be streamed.

        `used`: whether the connection has carried a request. `send_continue` is called if the client waits for it.
        Raises MalformedError if the request does not arrive in time or is not valid, and StreamClosedError; without a
        request in time the connection ends.
        """
        parser = self.parser
        begun = not used
        self._start_timer(limits.request_s if begun else limits.idle_s)
        try:
            while (message := parser.head()) is None:
                if not (begun or parser.idle):
                    begun = True
                    self._start_timer(limits.request_s)
                parser.feed(await self.reader.read())
                self._connection.receiving_started()
            if parser.expects_continue and message.minor == 1:
                self._stop_timer()
                await send_continue()
            return await self._read_body(limits, message)
        finally:
            self._stop_timer()

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
        self.parser.feed(await self.reader.read())
        self._stop_timer()
        self._body_wait_s += monotonic() - started_at

    async def receive_rest(self, limits: ClientSettings, message: http1.Message) -> None:
        """Reads the rest of a streamed request to its end, and puts it into its pipe while an attempt reads that.

        Raises StreamClosedError, and MalformedError if the body is not valid or too slow.
        """
        parser = self.parser
        size = len(message.body)
        try:
            while True:
                piece = parser.pieces()
                size += len(piece)
                with contextlib.suppress(PipeBrokenError):  # the request is answered already
                    await message.rest.put(piece)
                if parser.complete:
                    parser.next()
                    return
                await self._receive_more(limits, size)
        finally:
            self._stop_timer()

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
