"""Consumers: the listener, their connections, and the calls they make."""

from __future__ import annotations

import asyncio
import math
import re
import socket
from collections.abc import Callable
from time import monotonic

from tornado.gen import sleep
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets

from .. import logs, settings
from ..config import Address
from ..facade import Facade
from . import http1
from .calls import Call, Calls, Final, Verdict
from .sockets import Sockets

log = logs.get(__name__)

BACKLOG = 1024
ACCEPTS = 16  # in a row
MAX_BUFFER = 512 * 1024
LINGER_S = 0.5  # a consumer that still writes gets this long to read why it is turned off ...
LINGER_BYTES = 256 * 1024  # ... and is read this far: more would be work for nothing

# What ends a process after SIGTERM comes no earlier than the longest deadline, counted as so much at most ...
KILL_MOST_S = 3.0
KILL_AFTER_S = 0.7  # ... and so much more.
KILL_MARGIN_S = 0.2

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
        headers = [pair for pair in response.end_to_end() if pair[0].lower() != b"x-load-report"]
        return http1.write_response(200, headers, response.body, close)
    if final.verdict is Verdict.REJECTED:
        advice: http1.Headers = []
        if final.retry_after_ms > 0:
            advice = [(b"Retry-After", b"%.3f" % (final.retry_after_ms / 1000.0))]
        return http1.write_response(503, advice, b"", close)
    return http1.write_response(504 if final.timed_out else 502, [], b"", close)


def _printable(call: Call | None) -> str | None:
    return call.name.decode("latin-1") if call is not None else None


class Consumer:
    """One connection of a consumer; one call at a time."""

    def __init__(self, stream: IOStream, consumers: Consumers) -> None:
        self.stream, self._all = stream, consumers
        self._parser = http1.RequestParser()
        self._timer: object = None  # of the wait for a request
        self._call: Call | None = None
        self._final: asyncio.Future[Final] | None = None
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
                keep = request.keep_alive and not self._all.leaving
                response = await self._respond(request, keep)
                if response is None:
                    return
                keep = keep and not self._all.leaving
                await self._write(response)
                self._final = None
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
            self.stream.close()

    async def _write(self, response: bytes) -> None:
        """One that does not read is not waited for: its connection would never be given back."""
        written = self.stream.write(response)
        self._timer = IOLoop.current().call_later(self._all.tuning.write_s, self.stream.close)
        try:
            await written
        finally:
            IOLoop.current().remove_timeout(self._timer)

    async def _request(self) -> http1.Message:
        """The next request, whole. One that does not come in time is turned off, or the connection closes."""
        loop, asked, begun = IOLoop.current(), False, not self.used
        tuning = self._all.tuning
        self._timer = loop.call_later(tuning.request_s if begun else tuning.idle_s, self._overdue)
        self._all.waits(self, self._parser.idle)
        try:
            while True:
                request = self._parser.take()
                if request is not None:
                    return request
                if self._parser.asked and not asked:
                    asked = True
                    await self.stream.write(http1.CONTINUE)
                if not (begun or self._parser.idle):
                    begun = True
                    loop.remove_timeout(self._timer)
                    self._timer = loop.call_later(tuning.request_s, self._overdue)
                self._parser.feed(await self.stream.read_bytes(65536, partial=True))
                self._all.waits(self, False)
        finally:
            self._all.waits(self, False)
            loop.remove_timeout(self._timer)

    def _overdue(self) -> None:
        """Silent, or a head or body that does not end: such connections would use up the descriptors."""
        if not self._parser.idle:
            error = http1.MalformedError(408, "request not complete in time")
            self.stream.write(http1.write_response(error.status, [], b"", close=True))
        self.stream.close()

    async def _respond(self, request: http1.Message, keep: bool) -> bytes | None:
        if request.target == READY:
            return http1.write_response(200 if self._all.ready() else 503, [], b"", not keep)
        self._take(request)
        assert self._final is not None
        final = await self._final
        self._call = None
        if self.stream.closed():
            return None
        return answer_of(final, not keep or self._all.leaving)

    def _take(self, request: http1.Message) -> None:
        fields, facade = request.fields, self._all.facade
        if request.method in (b"HEAD", b"CONNECT"):  # framed by other rules, and no call has them
            raise http1.MalformedError(405, "GET or POST expected")
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
        left = min(budget_ms(fields.get(b"x-budget", b"")), max((self._all.last - monotonic()) * 1000.0, 1.0))
        final = self._final = asyncio.get_running_loop().create_future()
        resent = fields.get(b"x-again") == b"1"
        room = self._all.sockets.providers.room
        self._call = self._all.calls.take(
            name, request, class_name, tenant, left, final.set_result, resent, room
        )

    def _closed(self) -> None:
        self._all.left(self)
        if self._call is not None and self._final is not None and not self._final.done():
            self._all.calls.depart(self._call)
            self._final.cancel()

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


class Consumers:
    """Owns the listener and the consumers' connections."""

    def __init__(
        self,
        calls: Calls,
        facade: Facade,
        sockets: Sockets,
        has_list: Callable[[], bool],
        tuning: settings.Consumers = settings.Consumers(),  # noqa: B008 (frozen)
    ) -> None:
        self.calls, self.facade, self.sockets, self.tuning = calls, facade, sockets, tuning
        self.leaving = False
        self.last = math.inf  # when calls have to end, by time.monotonic
        self._has_list = has_list
        self._loop = IOLoop.current()
        self._listener: socket.socket | None = None
        self._open: dict[Consumer, asyncio.Task[None]] = {}
        self._waiting: dict[Consumer, None] = {}  # those between two requests, the longest first
        sockets.consumers.drop_idle = self._drop_idle

    def listen(self, at: Address, inherited: socket.socket | None = None) -> socket.socket:
        """On this address only, or on the listener of the process before. Raises OSError if it can't be had.

        With SO_REUSEPORT: where no listener can be handed over, the next process still gets the address.
        """
        if inherited is None:
            inherited = bind_sockets(at[1], at[0], backlog=BACKLOG, reuse_port=True)[0]
        self._listener = inherited
        self._loop.add_handler(self._listener, lambda *_: self._accept(), IOLoop.READ)
        return inherited

    def ready(self) -> bool:
        return self._listener is not None and self._has_list()

    def _accept(self, most: int = ACCEPTS) -> None:
        """Some of those that wait: of many at once, each is read before the next ones push it out."""
        for _ in range(most):
            if self._listener is None:
                return
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as error:  # aborted by the consumer, or no descriptor left
                log.warning("listener", error=str(error))
                self._drop_idle()
                return
            self._admit(sock)

    def _admit(self, sock: socket.socket) -> None:
        if not self.sockets.consumers.take():
            sock.close()
            return
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:  # it has gone already
            sock.close()
            self.sockets.consumers.give_back()
            return
        consumer = Consumer(IOStream(sock, max_buffer_size=MAX_BUFFER), self)
        self._open[consumer] = asyncio.get_running_loop().create_task(consumer.serve())

    def left(self, consumer: Consumer) -> None:
        """Its connection closed."""
        if self._open.pop(consumer, None) is not None:
            self.waits(consumer, False)
            self.sockets.consumers.give_back()

    def waits(self, consumer: Consumer, waiting: bool) -> None:
        """A connection begins or ends to be between two requests."""
        if waiting:
            self._waiting[consumer] = None
        else:
            self._waiting.pop(consumer, None)

    def _drop_idle(self) -> bool:
        consumer = next(iter(self._waiting), None)
        if consumer is not None:
            self.waits(consumer, False)  # its end is told later, and must not be counted on twice
            consumer.stream.close()
        return consumer is not None

    async def leave(self, handed_on: bool = False) -> None:
        """Take no more, once those under way have arrived; return when every call is answered.

        With the listener `handed_on`, what waits in its queue is the next process's, and kept connections can be
        served as long as there is time: each closes with its next answer, and those still silent after a while.
        """
        self.leaving = True
        longest = max(cls.deadline_ms for cls in self.facade.classes) / 1000.0
        self.last = monotonic() + min(longest, KILL_MOST_S) + KILL_AFTER_S - KILL_MARGIN_S
        if handed_on:
            self._stop_listening()
            await sleep(self.tuning.keep_s)
        else:
            await self._leave_alone()
        for consumer in [c for c in self._open if c.idle and not c.waiting()]:
            consumer.stream.close()
        # Every call is answered by its deadline; who has not read its answer by then is not waited for.
        end = monotonic() + longest
        while self._open and monotonic() < end:
            await asyncio.wait(list(self._open.values()), timeout=end - monotonic())

    def _stop_listening(self) -> None:
        if self._listener is not None:
            self._loop.remove_handler(self._listener)
            self._listener.close()
            self._listener = None

    async def _leave_alone(self) -> None:
        # A new connection's first request is still on its way: only those that had one are idle.
        for consumer in [c for c in self._open if c.idle and c.used]:
            consumer.stream.close()
        await sleep(self.tuning.accept_s)
        self._accept(BACKLOG)  # what waits in the queue would be reset with the listener
        self._stop_listening()
        await sleep(self.tuning.leave_s - self.tuning.accept_s)
