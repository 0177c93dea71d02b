"""Providers: connections to them, and the invoker calls that these carry."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterable, Iterator
from time import monotonic

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

from .. import logs, settings
from ..facade import Ending, Provider, Status
from . import http1
from .calls import Calls, InvokerCall
from .sockets import Share

log = logs.get(__name__)

MAX_BUFFER = 512 * 1024
# No busy share of its cores is more, noise included, and no provider of one process serves more a second.
MOST_REPORTED = {b"util": 4.0, b"qps": 1e6}


class Connection:
    """One connection to a provider; owned by the pool while idle, by one invoker call otherwise.

    It reads all the time, so that an idle one that the provider closed is never used again.
    """

    def __init__(self, stream: IOStream, provider: str, address: tuple[str, int], answer_s: float = 0.5) -> None:
        """An answer that has begun goes on within `answer_s`, and its head ends: heads that never end and bodies
        shorter than announced would else hold their calls until nothing else can be tried.
        """
        self.stream, self.provider, self.address, self._answer_s = stream, provider, address, answer_s
        self.idle_timer: object = None
        self._parser = http1.ResponseParser()
        self._answer: asyncio.Future[http1.Message | None] | None = None
        self._reading: asyncio.Future[bytes] | None = None
        self._timer: object = None  # of an answer that has begun

    async def read(self) -> None:
        """Until the connection ends."""
        try:
            while True:
                self._reading = asyncio.ensure_future(self.stream.read_bytes(65536, partial=True))
                self._parser.feed(await self._reading)
                if self._answer is None or self._answer.done():
                    break  # bytes that nobody asked for
                message = self._parser.take()
                if message is not None:
                    self._answer.set_result(message)
                    self._untime()
                elif self._parser.idle:
                    pass  # only interim answers so far
                elif self._timer is None or self._parser.in_body:
                    self._untime()
                    self._timer = IOLoop.current().call_later(self._answer_s, self.close)
        except StreamClosedError as error:
            # Only an end in good order completes a body that has no length; a reset cuts it off.
            if self._answer is not None and not self._answer.done() and error.real_error is None:
                self._answer.set_result(self._parser.end())
        except http1.MalformedError as error:
            log.warning("answer not understood", provider=self.provider, error=str(error))
        finally:
            self._untime()
            self.close()

    def close(self) -> None:
        """An answer that is not whole by now will not be: what is there of it must not pass for one."""
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(None)
        self.stream.close()

    def _untime(self) -> None:
        if self._timer is not None:
            IOLoop.current().remove_timeout(self._timer)
            self._timer = None

    def expect(self) -> asyncio.Future[http1.Message | None]:
        """The next response; None if the connection ends without a whole one."""
        self._answer = asyncio.get_running_loop().create_future()
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

    def reusable(self, response: http1.Message) -> bool:
        return response.keep_alive and self._parser.idle and not self.stream.closed()


class Providers:
    """Owns the connections to providers and makes invoker calls over them."""

    def __init__(
        self,
        calls: Calls,
        sockets: Share,
        connect_ms: float,
        idle_ms: float,
        tuning: settings.Providers = settings.Providers(),  # noqa: B008 (frozen)
    ) -> None:
        """`idle_ms` is the provider's own idle time, of which `tuning.idle_part` is used: a request that crosses the
        provider's closing ends in a reset, after which only calls that are safe to repeat can go out again.
        """
        self._calls, self._sockets, self._answer_s = calls, sockets, tuning.answer_s
        self._idle_part = tuning.idle_part
        self.tune(connect_ms, idle_ms)
        self._loop = IOLoop.current()
        self._listed: dict[str, Provider] = {}
        self._banned: set[str] = set()  # by hand, listed or not
        self._idle: dict[str, list[Connection]] = {}
        self._used: dict[InvokerCall, Connection] = {}  # of those that have one now
        self._cut: dict[InvokerCall, Ending] = {}  # those that end at our wish, and as what
        self._tasks: set[asyncio.Task[None]] = set()
        sockets.drop_idle = self._drop_oldest

    def tune(self, connect_ms: float, idle_ms: float) -> None:
        """Also under way: a wait that has begun keeps its end."""
        self._connect_s, self._idle_s = connect_ms / 1000.0, idle_ms * self._idle_part / 1000.0

    # The directory's list

    def listed(self, providers: Iterable[Provider], whole: bool) -> None:
        """What the directory told; to be called before the facade hears of it."""
        held = {} if whole else dict(self._listed)
        held.update((p.name, p) for p in providers)
        self._listed = {n: p for n, p in held.items() if p.status is not Status.TERMINATED}
        self._drop_unusable()

    def knows(self, name: str) -> bool:
        """Whether the directory lists it."""
        return name in self._listed

    def __iter__(self) -> Iterator[Provider]:
        return iter(list(self._listed.values()))

    def __len__(self) -> int:
        """How many are listed."""
        return len(self._listed)

    def ban(self, name: str, out: bool) -> None:
        """Taken out by hand, or let back; to be called before the facade hears of it."""
        if out:
            self._banned.add(name)
        else:
            self._banned.discard(name)
        self._drop_unusable()

    def _usable(self, name: str) -> Provider | None:
        """The one of that name, if anything new may be sent to it now."""
        provider = self._listed.get(name)
        return provider if provider is not None and provider.takes_new and name not in self._banned else None

    def _drop_unusable(self) -> None:
        for name in list(self._idle):
            provider = self._usable(name)
            for connection in list(self._idle[name]):
                if provider is None or provider.address != connection.address:
                    connection.close()

    # Invoker calls

    def make(self, invoker_call: InvokerCall) -> None:
        task = asyncio.get_running_loop().create_task(self._run(invoker_call))
        self._tasks.add(task)  # the loop itself holds tasks by weak references only
        task.add_done_callback(self._tasks.discard)

    def abandon(self, invoker_call: InvokerCall) -> None:
        self._cut_off(invoker_call, Ending.ABANDONED)

    def _cut_off(self, invoker_call: InvokerCall, ending: Ending) -> None:
        """Ends it by closing its connection, which is how providers learn of it."""
        if invoker_call.over:
            return
        self._cut.setdefault(invoker_call, ending)
        connection = self._used.get(invoker_call)
        if connection is not None:
            connection.close()

    async def _run(self, invoker_call: InvokerCall) -> None:
        wait = max(invoker_call.end - monotonic(), 0.0)
        timer = self._loop.call_later(wait, self._cut_off, invoker_call, Ending.TIMED_OUT)
        ending, response = Ending.RESET, None
        try:
            ending, response = await self._exchange(invoker_call)
        except Exception:
            name = invoker_call.call.name.decode("latin-1")
            log.exception("fault in an invoker call", call=name, provider=invoker_call.provider)
        finally:
            self._loop.remove_timeout(timer)
            self._used.pop(invoker_call, None)
            self._cut.pop(invoker_call, None)
            report = report_of(response.fields.get(b"x-load-report", b"")) if response is not None else (None, None)
            self._calls.ended(invoker_call, ending, response, *report)

    async def _exchange(self, invoker_call: InvokerCall) -> tuple[Ending, http1.Message | None]:
        connection = await self._connection(invoker_call)
        if connection is None:
            return self._unsent(invoker_call, Ending.CONNECT_FAILED), None
        response = None
        try:
            # Getting a connection takes time in which the call may end or the provider begin to drain:
            # nothing may be written then, or a drain is broken or a finished call runs.
            if not self._may_write(invoker_call, connection):
                return self._unsent(invoker_call, Ending.NOT_SENT), None
            answer, written = connection.expect(), False
            try:
                await connection.stream.write(self._request(invoker_call))
                written = True
                self._calls.figures.sent(invoker_call.call.kind)
            except StreamClosedError:
                pass  # an answer may have come before the request was written whole
            response = await answer
            if response is not None:
                return ending_of(response), response
            if invoker_call in self._cut:
                return self._cut[invoker_call], None
            return (Ending.RESET if written else Ending.CONNECT_FAILED), None
        finally:
            self._used.pop(invoker_call, None)
            self._release(connection, response)

    def _may_write(self, invoker_call: InvokerCall, connection: Connection) -> bool:
        provider = self._usable(invoker_call.provider)
        return (
            invoker_call.wanted
            and invoker_call not in self._cut
            and provider is not None
            and provider.address == connection.address
            and monotonic() < invoker_call.end
        )

    def _unsent(self, invoker_call: InvokerCall, else_: Ending) -> Ending:
        """What ended it before its first byte: one whose time is over then was never sent."""
        ending = self._cut.get(invoker_call, else_)
        return Ending.NOT_SENT if ending is Ending.TIMED_OUT else ending

    def _request(self, invoker_call: InvokerCall) -> bytes:
        message: http1.Message = invoker_call.call.payload
        left_us = max(int((invoker_call.end - monotonic()) * 1e6), 1)
        headers = [pair for pair in message.end_to_end() if pair[0].lower() != b"x-budget"]
        headers.append((b"X-Budget", b"%du" % left_us))
        return http1.write_request(message.method, message.target, headers, message.body)

    # Connections

    async def _connection(self, invoker_call: InvokerCall) -> Connection | None:
        """An idle connection or a new one; None if there is none in time."""
        provider = self._usable(invoker_call.provider)
        if provider is None or invoker_call in self._cut:
            self._cut.setdefault(invoker_call, Ending.NOT_SENT)
            return None
        while idle := self._idle.get(provider.name):
            connection = idle[-1]  # the latest used: the others get to be closed
            self._not_idle(connection)
            if connection.clean():
                self._used[invoker_call] = connection
                return connection
            connection.close()
        opened = self._open(provider) if self._sockets.take() else None
        if opened is None:
            self._cut.setdefault(invoker_call, Ending.NOT_SENT)
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
        task = asyncio.get_running_loop().create_task(connection.read())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return connection

    def _open(self, provider: Provider) -> Connection | None:
        family = socket.AF_INET6 if ":" in provider.address[0] else socket.AF_INET
        try:
            sock = socket.socket(family, socket.SOCK_STREAM)
        except OSError as error:  # no descriptor left after all: nothing was sent, so nothing can have run
            log.warning("no descriptor", provider=provider.name, error=str(error))
            self._sockets.give_back()
            return None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = IOStream(sock, max_buffer_size=MAX_BUFFER)
        connection = Connection(stream, provider.name, provider.address, self._answer_s)
        stream.set_close_callback(lambda: self._closed(connection))
        return connection

    def _release(self, connection: Connection, response: http1.Message | None) -> None:
        """Back to the idle ones if the exchange left it clean, else closed."""
        wanted = self._usable(connection.provider) is not None
        if response is None or not wanted or not connection.reusable(response):
            connection.close()
            return
        connection.idle_timer = self._loop.call_later(self._idle_s, connection.close)
        self._idle.setdefault(connection.provider, []).append(connection)
        self._sockets.idle += 1

    def _not_idle(self, connection: Connection) -> None:
        idle = self._idle.get(connection.provider, [])
        if connection in idle:
            idle.remove(connection)
            self._sockets.idle -= 1
            self._loop.remove_timeout(connection.idle_timer)
            if not idle:
                del self._idle[connection.provider]

    def _closed(self, connection: Connection) -> None:
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


def ending_of(response: http1.Message) -> Ending:
    """Only a response marked as rejected says that the call never ran."""
    if response.status == 200:
        return Ending.SERVED
    if response.status in (503, 504) and response.fields.get(b"x-rejected") == b"1":
        return Ending.TURNED_AWAY
    return Ending.ERROR


def report_of(report: bytes) -> tuple[float | None, float | None]:
    """`util` and `qps` of a load report; None for what is missing or out of any range.

    A report that is malformed in one of them is spoilt: neither counts.
    """
    found: dict[bytes, float] = {}
    for pair in report.removeprefix(b"TEXT ").split(b","):
        name, _, value = pair.strip().partition(b"=")
        if name in MOST_REPORTED:
            try:
                number = float(value)
            except ValueError:
                return None, None
            if not 0.0 <= number <= MOST_REPORTED[name]:
                return None, None
            found[name] = number
    return found.get(b"util"), found.get(b"qps")
