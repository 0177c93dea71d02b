"""One connection to an endpoint: requests go out on it one at a time, what comes back is read all the time."""

from __future__ import annotations

import asyncio
import socket
from time import monotonic

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

from .. import logs
from ..load_balancer_types import DiscoveredEndpoint
from . import http1
from .pipe import HOLD, BodyPipe, BrokenError, BufferBudget

log = logs.get(__name__)

MAX_BUFFER = 512 * 1024
SLOW_S = 0.3  # after its head an answer that may be long is passed on as it comes


class EndpointConnection:
    """One connection to a provider; owned by the pool while idle, by one invoker call otherwise.

    It reads all the time, so that an idle one that the provider closed is never used again.
    """

    def __init__(
        self,
        stream: IOStream,
        provider: str,
        address: tuple[str, int],
        answer_s: float = 0.5,
        stall_s: float = 10.0,
        budget: BufferBudget | None = None,
    ) -> None:
        """An answer that has begun goes on within `answer_s`, and its head ends: heads that never end and bodies
        shorter than announced would else hold their calls until nothing else can be tried. One that is passed on
        can't be had elsewhere any more, and may stop for `stall_s`.
        """
        self.stream, self.provider, self.address = stream, provider, address
        self.since_ms = 0.0  # of the endpoint's process that it was opened to, as the list told
        self.idle_since = 0.0
        self._answer_s, self._stall_s = answer_s, stall_s
        self.idle_timer: object = None
        self.passed: asyncio.Future[bool] | None = None  # of an answer that is passed on: whether it came whole
        self._parser = http1.ResponseParser(http1.MAX_LONG)
        self._budget = budget or BufferBudget(MAX_BUFFER)
        self._answer: asyncio.Future[http1.Message | None] | None = None
        self._head: http1.Message | None = None
        self._began = 0.0  # when its head was there
        self._held: list[bytes] = []
        self._size = 0
        self._pipe: BodyPipe | None = None
        self._reading: asyncio.Future[bytes] | None = None
        self._timer: object = None  # of an answer that has begun

    async def read(self) -> None:
        """Until the connection ends."""
        try:
            while True:
                self._reading = asyncio.ensure_future(self.stream.read_bytes(self._budget.piece, partial=True))
                self._parser.feed(await self._reading)
                if self._answer is None or (self._answer.done() and self._pipe is None):
                    break  # bytes that nobody asked for
                await self._take()
        except StreamClosedError as error:
            # Only an end in good order completes a body that has no length; a reset cuts it off.
            if self._head is not None and error.real_error is None and self._parser.endless:
                self._done(self._head)
        except BrokenError:
            pass  # nobody takes the rest
        except http1.MalformedError as error:
            log.warning("answer not understood", provider=self.provider, error=str(error))
        finally:
            self._untime()
            self.close()

    async def _take(self) -> None:
        """What has come of the answer."""
        parser = self._parser
        if self._head is None:
            self._head = parser.head()
            if self._head is None:
                if not parser.idle and self._timer is None:  # else only interim answers so far
                    self._time(self._answer_s)
                return
            self._began = monotonic()
        piece, whole = parser.pieces(), parser.complete
        if self._pipe is None:
            self._held.append(piece)
            self._size += len(piece)
            if not whole and self._long():
                self.pass_on()
        else:
            self._untime()
            await self._pipe.put(piece)
        if whole:
            self._untime()
            parser.next()
            self._done(self._head)
        else:
            self._time(self._answer_s if self._pipe is None else self._stall_s)

    def _long(self) -> bool:
        """Whether what is held is not held any longer."""
        return self._budget.beyond(self._size) or self.may_be_long and monotonic() > self._began + SLOW_S

    @property
    def may_be_long(self) -> bool:
        """By its head, the answer under way may be more than is held."""
        announced = self._head.length if self._head is not None else 0
        return announced is None or announced > HOLD

    def pass_on(self) -> bool:
        """Tell of the answer now, its rest to come by a pipe; False where there is no head or it is told already."""
        if self._head is None or self._answer is None or self._answer.done():
            return False
        self._pipe = self._head.rest = BodyPipe(self._budget)
        self.passed = asyncio.get_running_loop().create_future()
        self._head.body = b"".join(self._held)
        self._answer.set_result(self._head)
        return True

    def _done(self, message: http1.Message) -> None:
        if self._pipe is not None:
            self._pipe.end()
            self._pipe = None
            if self.passed is not None and not self.passed.done():
                self.passed.set_result(True)
        elif self._answer is not None and not self._answer.done():
            message.body = b"".join(self._held)
            message.length = len(message.body)
            self._answer.set_result(message)
        self._head, self._size = None, 0
        self._held.clear()

    def close(self) -> None:
        """An answer that is not whole by now will not be: what is there of it must not pass for one."""
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(None)
        if self._pipe is not None:
            self._pipe.cut()
            self._pipe = None
        if self.passed is not None and not self.passed.done():
            self.passed.set_result(False)
        self.stream.close()

    def _time(self, wait: float) -> None:
        self._untime()
        self._timer = IOLoop.current().call_later(wait, self.close)

    def _untime(self) -> None:
        if self._timer is not None:
            IOLoop.current().remove_timeout(self._timer)
            self._timer = None

    def expect(self) -> asyncio.Future[http1.Message | None]:
        """The next response, whole or begun; None if the connection ends without one."""
        self._answer = asyncio.get_running_loop().create_future()
        self.passed = None
        return self._answer

    def clean(self) -> bool:
        """Still open and nothing unread, not even in the kernel: it would pass for the next call's answer."""
        if self.stream.closed() or (self._reading is not None and self._reading.done()):
            return False
        try:
            self.stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def reaches(self, endpoint: DiscoveredEndpoint) -> bool:
        """Whether it leads to the process that the list tells of: one that has started anew resets what is written."""
        return (self.address, self.since_ms) == (endpoint.address, endpoint.started_ms)

    def reusable(self, response: http1.Message) -> bool:
        return response.keep_alive and self._parser.idle and not self.stream.closed()
