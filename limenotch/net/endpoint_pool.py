"""Providers: connections to them, and the invoker calls that these carry."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Iterable, Iterator
from time import monotonic
from typing import Any

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

from .. import logs, settings
from ..load_balancer_types import AttemptEnding, DiscoveredEndpoint, DiscoveryStatus
from . import attempt_check, http1
from .endpoint_connection import MAX_BUFFER, EndpointConnection
from .pipe import BodyPipe, BrokenError, BufferBudget
from .request import Attempt
from .requests import RequestManager
from .response_outcome import attempt_ending, load_report
from .sockets import DescriptorQuota

log = logs.get(__name__)


class EndpointPool:
    """Owns the connections to providers and makes invoker calls over them."""

    def __init__(
        self,
        calls: RequestManager,
        sockets: DescriptorQuota,
        connect_ms: float,
        idle_ms: float,
        tuning: settings.EndpointSettings = settings.EndpointSettings(),  # noqa: B008 (frozen)
        budget: BufferBudget | None = None,
    ) -> None:
        """`idle_ms` is the provider's own idle time, of which `tuning.idle_part` is used: a request that crosses the
        provider's closing ends in a reset, after which only calls that are safe to repeat can go out again.
        """
        self._calls, self._sockets, self._tuning = calls, sockets, tuning
        self._budget = budget or BufferBudget(MAX_BUFFER)
        self._idle_part = tuning.idle_part
        self.set_timeouts(connect_ms, idle_ms)
        self._loop = IOLoop.current()
        self._listed: dict[str, DiscoveredEndpoint] = {}
        self._banned: set[str] = set()  # by hand, listed or not
        self._idle: dict[str, list[EndpointConnection]] = {}
        self._used: dict[Attempt, EndpointConnection] = {}  # of those that have one now
        self._timers: dict[Attempt, object] = {}
        self._cut: dict[Attempt, AttemptEnding] = {}  # those that end at our wish, and as what
        self._trace = logs.tracing()
        self._tasks: set[asyncio.Task[None]] = set()
        sockets.drop_idle = self._drop_oldest

    def set_timeouts(self, connect_ms: float, idle_ms: float) -> None:
        """Also under way: a wait that has begun keeps its end."""
        self._connect_s, self._idle_s = connect_ms / 1000.0, idle_ms * self._idle_part / 1000.0

    # The directory's list

    def apply_list(self, providers: Iterable[DiscoveredEndpoint], whole: bool) -> None:
        """What the directory told; to be called before the facade hears of it. The cost follows what it tells."""
        if whole:
            self._listed.clear()
        names = list[str]()
        for provider in providers:
            names.append(provider.name)
            if provider.status is DiscoveryStatus.TERMINATED:
                self._listed.pop(provider.name, None)
            else:
                self._listed[provider.name] = provider
        self._drop_unusable(list(self._idle) if whole else names)

    def knows(self, name: str) -> bool:
        """Whether the directory lists it."""
        return name in self._listed

    def __iter__(self) -> Iterator[DiscoveredEndpoint]:
        return iter(list(self._listed.values()))

    def __len__(self) -> int:
        """How many are listed."""
        return len(self._listed)

    def set_ejected(self, name: str, out: bool) -> None:
        """Taken out by hand, or let back; to be called before the facade hears of it."""
        if out:
            self._banned.add(name)
        else:
            self._banned.discard(name)
        self._drop_unusable([name])

    def _usable(self, name: str) -> DiscoveredEndpoint | None:
        """The one of that name, if anything new may be sent to it now."""
        provider = self._listed.get(name)
        return provider if provider is not None and provider.accepts_requests and name not in self._banned else None

    def _drop_unusable(self, names: Iterable[str]) -> None:
        """Idle connections to those of these names that take nothing new, or not where they lead to."""
        for name in names:
            provider = self._usable(name)
            for connection in list(self._idle.get(name, ())):
                if provider is None or not connection.reaches(provider):
                    connection.close()

    # Invoker calls

    def start(self, invoker_call: Attempt) -> None:
        task = asyncio.get_running_loop().create_task(self._run(invoker_call))
        self._tasks.add(task)  # the loop itself holds tasks by weak references only
        task.add_done_callback(self._tasks.discard)

    def cancel(self, invoker_call: Attempt) -> None:
        self._cut_off(invoker_call, AttemptEnding.CANCELLED)

    def _cut_off(self, invoker_call: Attempt, ending: AttemptEnding) -> None:
        """Ends it by closing its connection, which is how providers learn of it."""
        if invoker_call.ended:
            return
        connection = self._used.get(invoker_call)
        if (
            ending is AttemptEnding.TIMED_OUT
            and connection is not None
            and connection.may_be_long
            and connection.pass_on()
        ):
            return  # its time is that of its first bytes, and they are there
        self._cut.setdefault(invoker_call, ending)
        if connection is not None:
            connection.close()

    async def _run(self, invoker_call: Attempt) -> None:
        self._limit(invoker_call)
        ending, response = AttemptEnding.RESET, None
        try:
            ending, response = await self._exchange(invoker_call)
        except Exception:
            name = invoker_call.request.request_id.decode("latin-1")
            log.exception("fault in an invoker call", call=name, provider=invoker_call.endpoint_name)
        finally:
            self._unlimit(invoker_call)
            self._used.pop(invoker_call, None)
            self._cut.pop(invoker_call, None)
            report = load_report(response.fields.get(b"x-load-report", b"")) if response is not None else (None, None)
            self._calls.attempt_ended(invoker_call, ending, response, *report)

    def _limit(self, invoker_call: Attempt) -> None:
        """Its time runs, if it has an end yet."""
        if invoker_call.deadline < math.inf:
            wait = max(invoker_call.deadline - monotonic(), 0.0)
            timer = self._loop.call_later(wait, self._cut_off, invoker_call, AttemptEnding.TIMED_OUT)
            self._timers[invoker_call] = timer

    def _unlimit(self, invoker_call: Attempt) -> None:
        timer = self._timers.pop(invoker_call, None)
        if timer is not None:
            self._loop.remove_timeout(timer)

    async def _exchange(self, invoker_call: Attempt) -> tuple[AttemptEnding, http1.Message | None]:
        connection = await self._connection(invoker_call)
        if connection is None:
            return self._unsent(invoker_call, AttemptEnding.CONNECT_FAILED), None
        response, whole = None, False
        try:
            # Getting a connection takes time in which the call may end or the provider begin to drain:
            # nothing may be written then, or a drain is broken or a finished call runs.
            if not self._admits(invoker_call):
                return self._unsent(invoker_call, AttemptEnding.NOT_SENT), None
            invoker_call.sent_at = monotonic()
            answer = connection.expect()
            written = await self._write(invoker_call, connection, answer)
            response = await answer
            if response is not None and response.rest is not None:
                # A long one: passed on if it is the call's answer. No time limit cuts what it still gives.
                self._unlimit(invoker_call)
                passed = connection.passed
                if response.status != 200:
                    return attempt_ending(response), response
                if passed is None or not self._calls.response_started(
                    invoker_call, response, *load_report(response.fields.get(b"x-load-report", b""))
                ):
                    return AttemptEnding.CANCELLED, None
                whole = await passed
                cut = self._cut.get(invoker_call, AttemptEnding.RESET)
                return (AttemptEnding.SERVED if whole else cut), response
            if response is not None:
                whole = written
                return attempt_ending(response), response
            if invoker_call in self._cut:
                return self._cut[invoker_call], None
            return (AttemptEnding.RESET if written else AttemptEnding.CONNECT_FAILED), None
        finally:
            self._used.pop(invoker_call, None)
            self._release(connection, response if whole else None)

    async def _write(
        self, invoker_call: Attempt, connection: EndpointConnection, answer: asyncio.Future[http1.Message | None]
    ) -> bool:
        """Whether the request was written to its last byte: an answer, or the end, may come before that."""
        rest = invoker_call.request.body_pipe
        try:
            await connection.stream.write(self._request(invoker_call))
            if rest is not None:
                upload = asyncio.ensure_future(self._upload(invoker_call, connection, rest))
                either: list[asyncio.Future[Any]] = [upload, answer]
                await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
                if not upload.done():
                    upload.cancel()
                    await asyncio.wait([upload])
                    return False
                await upload
                self._calls.upload_finished(invoker_call)
                self._limit(invoker_call)
        except StreamClosedError:
            return False
        except BrokenError:  # the consumer's end of it: nothing comes that could end this otherwise
            connection.close()
            return False
        self._calls.metrics.count_sent(invoker_call.request.class_name)
        return True

    async def _upload(self, invoker_call: Attempt, connection: EndpointConnection, rest: BodyPipe) -> None:
        """The rest of a long request, as it comes. A provider that does not read ends it."""
        stream, framed = connection.stream, invoker_call.request.payload.length is None
        while piece := await rest.get():
            written = stream.write(http1.chunk(piece) if framed else piece)
            timer = self._loop.call_later(self._tuning.stall_s, stream.close)
            try:
                await written
            finally:
                self._loop.remove_timeout(timer)
        if framed:
            await stream.write(http1.LAST_CHUNK)

    def _admits(self, invoker_call: Attempt) -> bool:
        """Whether its first byte may be written now."""
        if invoker_call in self._cut:
            return False
        endpoint = self._usable(invoker_call.endpoint_name)
        hindrance = attempt_check.obstacle_to(invoker_call, endpoint, monotonic())
        if hindrance is not None and self._trace:
            log.debug(
                "not sent",
                call=invoker_call.request.number,
                provider=invoker_call.endpoint_name,
                reason=hindrance.value,
            )
        return hindrance is None

    def _unsent(self, invoker_call: Attempt, else_: AttemptEnding) -> AttemptEnding:
        """What ended it before its first byte: one whose time is over then was never sent."""
        ending = self._cut.get(invoker_call, else_)
        return AttemptEnding.NOT_SENT if ending is AttemptEnding.TIMED_OUT else ending

    def _request(self, invoker_call: Attempt) -> bytes:
        message: http1.Message = invoker_call.request.payload
        left_us = max(int(min(invoker_call.deadline - monotonic(), invoker_call.request.budget_left_s) * 1e6), 1)
        headers = [pair for pair in message.end_to_end() if pair[0].lower() != b"x-budget"]
        headers.append((b"X-Budget", b"%du" % left_us))
        if message.rest is None:
            return http1.write_request(message.method, message.target, headers, message.body)
        held = message.body if message.length is not None else http1.chunk(message.body)
        return http1.request_head(message.method, message.target, headers, message.length) + held

    # Connections

    async def _connection(self, invoker_call: Attempt) -> EndpointConnection | None:
        """An idle connection or a new one; None if there is none in time."""
        provider = invoker_call.endpoint = self._usable(invoker_call.endpoint_name)
        if provider is None or not self._admits(invoker_call):
            self._cut.setdefault(invoker_call, AttemptEnding.NOT_SENT)
            return None
        connection = self._settled(provider)
        if connection is not None:
            self._used[invoker_call] = connection
            return connection
        opened = self._open(provider) if self._sockets.take() else None
        if opened is None:
            self._cut.setdefault(invoker_call, AttemptEnding.NOT_SENT)
            return None
        connection = opened
        self._used[invoker_call], stream = connection, connection.stream
        timer = self._loop.call_later(self._connect_s, stream.close)
        try:
            await stream.connect(provider.address)
        except (StreamClosedError, OSError):
            stream.close()
            return None
        finally:
            self._loop.remove_timeout(timer)
        if not connection.clean():  # what has come already answers no request of ours
            connection.close()
            return None
        task = asyncio.get_running_loop().create_task(connection.read())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return connection

    def _settled(self, endpoint: DiscoveredEndpoint) -> EndpointConnection | None:
        """The latest used of those that have rested for long enough, so that the others get to be closed.

        An endpoint in trouble may answer a second time: right after the first answer nobody can tell whether what comes
        is that or the next request's answer. Where no connection has rested yet, a new one is opened.
        """
        rested_before = monotonic() - self._tuning.settle_s
        for connection in reversed(self._idle.get(endpoint.name, [])[:]):
            if connection.idle_since > rested_before:
                continue
            self._not_idle(connection)
            if connection.clean():
                return connection
            connection.close()
        return None

    def _open(self, provider: DiscoveredEndpoint) -> EndpointConnection | None:
        family = socket.AF_INET6 if ":" in provider.address[0] else socket.AF_INET
        try:
            sock = socket.socket(family, socket.SOCK_STREAM)
        except OSError as error:  # no descriptor left after all: nothing was sent, so nothing can have run
            log.warning("no descriptor", provider=provider.name, error=str(error))
            self._sockets.give_back()
            return None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = IOStream(sock, max_buffer_size=MAX_BUFFER)
        connection = EndpointConnection(
            stream, provider.name, provider.address, self._tuning.answer_s, self._tuning.stall_s, self._budget
        )
        connection.since_ms = provider.started_ms
        stream.set_close_callback(lambda: self._closed(connection))
        return connection

    def _release(self, connection: EndpointConnection, response: http1.Message | None) -> None:
        """Back to the idle ones if the exchange left it clean, else closed."""
        endpoint = self._usable(connection.provider)
        wanted = endpoint is not None and connection.reaches(endpoint)
        if response is None or not wanted or not connection.reusable(response):
            connection.close()
            return
        connection.idle_since = monotonic()
        connection.idle_timer = self._loop.call_later(self._idle_s, connection.close)
        self._idle.setdefault(connection.provider, []).append(connection)
        self._sockets.idle += 1

    def _not_idle(self, connection: EndpointConnection) -> None:
        idle = self._idle.get(connection.provider, [])
        if connection in idle:
            idle.remove(connection)
            self._sockets.idle -= 1
            self._loop.remove_timeout(connection.idle_timer)
            if not idle:
                del self._idle[connection.provider]

    def _closed(self, connection: EndpointConnection) -> None:
        """The one place where a connection's descriptor is given back."""
        self._not_idle(connection)
        self._sockets.give_back()

    def _drop_oldest(self) -> bool:
        for idle in list(self._idle.values()):
            for connection in list(idle):
                self._not_idle(connection)
                if not connection.stream.closed():
                    connection.close()
                    return True
        return False
