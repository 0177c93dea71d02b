"""The pool of connections to endpoints, and the attempts that are sent over them."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Coroutine, Iterable, Iterator
from functools import partial
from time import monotonic
from typing import Any

from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError

from .. import logs, settings
from ..load_balancer_types import AttemptEnding, DiscoveredEndpoint, DiscoveryStatus
from . import attempt_check, http1
from .attempt_message import encode_request
from .counted_stream import open_stream
from .endpoint_connection import MAX_BUFFER_BYTES, EndpointConnection
from .pipe import BodyPipe, BufferBudget, PipeBrokenError
from .refusal_log import Reason
from .request import Attempt
from .requests import RequestManager
from .response_outcome import ExchangeOutcome, attempt_ending, load_of
from .slow_peers import write_to_reader
from .sockets import DescriptorQuota

log = logs.get(__name__)

HEDGING_RESERVE = 1 / 2  # of the descriptors; hedged attempts begin later than first ones, and would take the last


class EndpointPool:
    """Owns the connections to endpoints and sends attempts over them."""

    def __init__(
        self,
        requests: RequestManager,
        sockets: DescriptorQuota,
        connect_ms: float,
        idle_ms: float,
        tuning: settings.EndpointSettings = settings.EndpointSettings(),  # noqa: B008 (frozen)
        budget: BufferBudget | None = None,
    ) -> None:
        """`sockets`: the quota of descriptors. `connect_ms`: limit for connecting. `idle_ms`: the endpoints' own idle
        timeout; only the fraction `tuning.idle_part` of it is used, as a request that is sent while the endpoint closes
        the connection ends in a reset, after which only idempotent requests can be retried.
        """
        self._requests = requests
        self._sockets = sockets
        self._tuning = tuning
        self._budget = budget or BufferBudget(MAX_BUFFER_BYTES)
        self._idle_part = tuning.idle_part
        self.set_timeouts(connect_ms, idle_ms)
        self._loop = IOLoop.current()
        self._listed: dict[str, DiscoveredEndpoint] = {}
        self._ejected: set[str] = set()  # by an operator, listed or not
        self._idle: dict[str, list[EndpointConnection]] = {}
        self._used: dict[Attempt, EndpointConnection] = {}  # of attempts that have a connection now
        self._timers: dict[Attempt, object] = {}  # of the deadlines of attempts
        self._forced_endings: dict[Attempt, AttemptEnding] = {}  # of attempts that this side has ended
        self._trace = logs.tracing()
        self._tasks: set[asyncio.Task[None]] = set()
        sockets.drop_idle = self._drop_oldest

    def set_timeouts(self, connect_ms: float, idle_ms: float) -> None:
        """Changes the timeouts (ms, see `__init__`) from now on; timers that run already are not changed."""
        self._connect_s = connect_ms / 1000.0
        self._idle_s = idle_ms * self._idle_part / 1000.0

    # The endpoint list

    def apply_list(self, endpoints: Iterable[DiscoveredEndpoint], complete: bool) -> None:
        """Applies a list, or changes if it is not `complete`, in time linear in its length.

        To be called before the load balancer gets the list, as it may send attempts to a new endpoint at once.
        """
        if complete:
            self._listed.clear()
        names = list[str]()
        for endpoint in endpoints:
            names.append(endpoint.name)
            if endpoint.status is DiscoveryStatus.TERMINATED:
                self._listed.pop(endpoint.name, None)
            else:
                self._listed[endpoint.name] = endpoint
        self._drop_unusable(list(self._idle) if complete else names)

    def knows(self, name: str) -> bool:
        """Whether the endpoint is listed."""
        return name in self._listed

    def __iter__(self) -> Iterator[DiscoveredEndpoint]:
        """The listed endpoints."""
        return iter(list(self._listed.values()))

    def __len__(self) -> int:
        """How many endpoints are listed."""
        return len(self._listed)

    def set_ejected(self, name: str, ejected: bool) -> None:
        """Starts or ends an operator's ejection; to be called before the load balancer is notified of it."""
        if ejected:
            self._ejected.add(name)
        else:
            self._ejected.discard(name)
        self._drop_unusable([name])

    def _usable(self, name: str) -> DiscoveredEndpoint | None:
        """The endpoint, if it is listed and new attempts may be sent to it now; None otherwise."""
        endpoint = self._listed.get(name)
        if endpoint is None or not endpoint.accepts_requests or name in self._ejected:
            return None
        return endpoint

    def _drop_unusable(self, names: Iterable[str]) -> None:
        """Closes idle connections to the named endpoints that are not usable or have restarted."""
        for name in names:
            endpoint = self._usable(name)
            for connection in list(self._idle.get(name, ())):
                if endpoint is None or not connection.is_connected_to(endpoint):
                    connection.close()

    # Attempts

    def start(self, attempt: Attempt) -> None:
        """Sends the attempt. Its end is reported once, to `RequestManager.attempt_ended`, not within this call."""
        self._start_task(self._run(attempt))

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)  # the event loop has only weak references to tasks
        task.add_done_callback(self._tasks.discard)

    def cancel(self, attempt: Attempt) -> None:
        """Ends the attempt, which is then reported as cancelled unless it has ended in another way before."""
        self._force_end(attempt, AttemptEnding.CANCELLED)

    def _force_end(self, attempt: Attempt, ending: AttemptEnding) -> None:
        """Ends the attempt by closing its connection, from which the endpoint can tell."""
        if attempt.ended:
            return
        connection = self._used.get(attempt)
        if ending is AttemptEnding.TIMED_OUT and connection is not None and connection.forwards_if_long():
            return  # the deadline of a long response applies to its head, which was received in time
        self._forced_endings.setdefault(attempt, ending)
        if connection is not None:
            connection.close()

    async def _run(self, attempt: Attempt) -> None:
        self._start_deadline(attempt)
        ending = AttemptEnding.RESET
        response = None
        try:
            ending, response = await self._exchange(attempt)
        except Exception:
            name = attempt.request.request_id.decode("latin-1")
            log.exception("fault in an attempt", request=name, endpoint=attempt.endpoint_name)
        finally:
            self._cancel_deadline(attempt)
            self._used.pop(attempt, None)
            self._forced_endings.pop(attempt, None)
            load = load_of(response) if response is not None else (None, None)
            self._requests.attempt_ended(attempt, ending, response, *load)

    def _start_deadline(self, attempt: Attempt) -> None:
        """Starts the timer for the attempt's deadline; without effect while the deadline is infinite."""
        if attempt.deadline < math.inf:
            delay_s = max(attempt.deadline - monotonic(), 0.0)
            timer = self._loop.call_later(delay_s, self._force_end, attempt, AttemptEnding.TIMED_OUT)
            self._timers[attempt] = timer

    def _cancel_deadline(self, attempt: Attempt) -> None:
        timer = self._timers.pop(attempt, None)
        if timer is not None:
            self._loop.remove_timeout(timer)

    async def _exchange(self, attempt: Attempt) -> tuple[AttemptEnding, http1.Message | None]:
        connection = await self._acquire_connection(attempt)
        if connection is None:
            return self._unsent_ending(attempt, AttemptEnding.CONNECT_FAILED), None
        outcome = None
        try:
            outcome = await self._exchange_on(connection, attempt)
            return outcome.ending, outcome.response
        finally:
            self._used.pop(attempt, None)
            self._release(connection, outcome.response if outcome is not None and outcome.complete else None)

    async def _exchange_on(self, connection: EndpointConnection, attempt: Attempt) -> ExchangeOutcome:
        # The request may have ended, or the endpoint started to drain, while the connection was established.
        if not self._may_send(attempt):
            return ExchangeOutcome(self._unsent_ending(attempt, AttemptEnding.NOT_SENT))
        attempt.sent_at = monotonic()
        request_sent = attempt.request.body_pipe is None
        pending_response = connection.expect_response(partial(self._requests.reserve_retry, attempt), request_sent)
        written = await self._send_request(attempt, connection, pending_response)
        response = await pending_response
        if response is None:
            reset = AttemptEnding.RESET if written else AttemptEnding.CONNECT_FAILED
            return ExchangeOutcome(self._forced_endings.get(attempt, reset))
        if response.rest is not None:
            return await self._forward_response(attempt, connection, response)
        return ExchangeOutcome(attempt_ending(response), response, complete=written)

    async def _forward_response(
        self, attempt: Attempt, connection: EndpointConnection, response: http1.Message
    ) -> ExchangeOutcome:
        """Passes on a long response if it becomes the final one of its request. No deadline applies to its body."""
        self._cancel_deadline(attempt)
        forwarded = connection.forwarded
        if response.status != 200:
            return ExchangeOutcome(attempt_ending(response), response)
        if forwarded is None or not self._requests.response_started(attempt, response, *load_of(response)):
            return ExchangeOutcome(AttemptEnding.CANCELLED)
        if await forwarded:
            return ExchangeOutcome(AttemptEnding.SERVED, response, complete=True)
        return ExchangeOutcome(self._forced_endings.get(attempt, AttemptEnding.RESET), response)

    async def _send_request(
        self, attempt: Attempt, connection: EndpointConnection, pending_response: asyncio.Future[http1.Message | None]
    ) -> bool:
        """Sends the request; returns False if the response or the end of the connection comes before its last byte."""
        body_pipe = attempt.request.body_pipe
        try:
            await connection.stream.write(encode_request(attempt))
            if body_pipe is not None and not await self._upload(attempt, connection, body_pipe, pending_response):
                return False
        except StreamClosedError:
            return False
        except PipeBrokenError:  # the body will not be complete, so the endpoint will not send a response
            connection.close()
            return False
        self._requests.metrics.count_sent(attempt.request.class_name)
        return True

    async def _upload(
        self,
        attempt: Attempt,
        connection: EndpointConnection,
        body_pipe: BodyPipe,
        pending_response: asyncio.Future[http1.Message | None],
    ) -> bool:
        """Sends the rest of a long request; returns whether its last byte was sent before its response was received.

        Raises StreamClosedError, or PipeBrokenError if the client did not complete the body.
        """
        upload = asyncio.ensure_future(self._write_body(attempt, connection, body_pipe))
        either: list[asyncio.Future[Any]] = [upload, pending_response]
        try:
            await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
        finally:
            upload.cancel()  # if it is not done
        if not upload.done():
            await asyncio.wait([upload])
            return False
        try:
            await upload
        finally:
            del upload, either  # an error refers to this frame
        connection.limit_response()
        self._requests.upload_finished(attempt)
        self._start_deadline(attempt)
        return True

    async def _write_body(self, attempt: Attempt, connection: EndpointConnection, body_pipe: BodyPipe) -> None:
        """Sends the body as it is received; closes the connection if the endpoint reads nothing for `stall_s`."""
        stream = connection.stream
        chunked = attempt.request.payload.length is None
        while piece := await body_pipe.get():
            wire = http1.chunk(piece) if chunked else piece
            await write_to_reader(stream, wire, self._tuning.stall_s, stream.close, self._budget)
        if chunked:
            await stream.write(http1.LAST_CHUNK)

    def _may_send(self, attempt: Attempt) -> bool:
        """Whether the first byte of the attempt may be sent now."""
        if attempt in self._forced_endings:
            return False
        endpoint = self._usable(attempt.endpoint_name)
        obstacle = attempt_check.obstacle_to(attempt, endpoint, monotonic())
        if obstacle is not None and self._trace:
            request = attempt.request.number
            log.debug("not sent", call=request, provider=attempt.endpoint_name, reason=obstacle.value)
        return obstacle is None

    def _unsent_ending(self, attempt: Attempt, default: AttemptEnding) -> AttemptEnding:
        """The ending of an attempt of which no byte was sent; a timeout counts as not sent."""
        ending = self._forced_endings.get(attempt, default)
        return AttemptEnding.NOT_SENT if ending is AttemptEnding.TIMED_OUT else ending

    # Connections

    async def _acquire_connection(self, attempt: Attempt) -> EndpointConnection | None:
        """An idle or a new connection for the attempt; None if none could be had in time."""
        endpoint = attempt.endpoint = self._usable(attempt.endpoint_name)
        if endpoint is None or not self._may_send(attempt):
            self._forced_endings.setdefault(attempt, AttemptEnding.NOT_SENT)
            return None
        connection = self._take_idle_connection(endpoint)
        if connection is not None:
            self._used[attempt] = connection
            return connection
        # Hedged attempts leave some descriptors to the requests that have no attempt in flight.
        spared = int(self._sockets.limit * HEDGING_RESERVE) if attempt.is_hedge else 0
        connection = self._open(endpoint) if self._sockets.acquire(spared) else None
        if connection is None:
            self._requests.refusals.note(Reason.ATTEMPT_WITHOUT_DESCRIPTOR)
            self._forced_endings.setdefault(attempt, AttemptEnding.NOT_SENT)
            return None
        self._used[attempt] = connection
        if not await self._connect(connection, endpoint):
            return None
        self._start_task(connection.read())
        return connection

    async def _connect(self, connection: EndpointConnection, endpoint: DiscoveredEndpoint) -> bool:
        """Establishes the connection; returns False, with the connection closed, if that fails or takes too long."""
        stream = connection.stream
        timer = self._loop.call_later(self._connect_s, stream.close)
        try:
            await stream.connect(endpoint.address)
        except (StreamClosedError, OSError):
            stream.close()
            return False
        finally:
            self._loop.remove_timeout(timer)
        if not connection.is_clean():  # bytes received before a request was sent can't be its response
            connection.close()
            return False
        return True

    def _take_idle_connection(self, endpoint: DiscoveredEndpoint) -> EndpointConnection | None:
        """The last used of the connections that have been idle for `settle_s`, so that the others reach their timeout.

        None if no connection has been idle for so long. A faulty endpoint may respond twice: bytes that arrive right
        after its first response could be taken for the response to the next request.
        """
        idle_before = monotonic() - self._tuning.settle_s
        for connection in reversed(self._idle.get(endpoint.name, [])[:]):
            if connection.idle_since > idle_before:
                continue
            self._remove_idle(connection)
            if connection.is_clean():
                return connection
            connection.close()
        return None

    def _open(self, endpoint: DiscoveredEndpoint) -> EndpointConnection | None:
        """A connection that is not connected yet; None, with its descriptor released, if no socket can be created."""
        try:
            stream = open_stream(endpoint.address, self._budget, MAX_BUFFER_BYTES)
        except OSError as error:  # no descriptor is left in spite of the quota
            log.warning("no descriptor for a connection to an endpoint", endpoint=endpoint.name, error=str(error))
            self._sockets.release()
            return None
        connection = EndpointConnection(
            stream, endpoint.name, endpoint.address, self._tuning.answer_s, self._tuning.stall_s, self._budget
        )
        connection.endpoint_started_ms = endpoint.started_ms
        stream.set_close_callback(lambda: self._on_closed(connection))
        return connection

    def _release(self, connection: EndpointConnection, response: http1.Message | None) -> None:
        """Makes the connection idle after a complete `response` if it can be reused, and closes it otherwise."""
        endpoint = self._usable(connection.endpoint_name)
        usable = endpoint is not None and connection.is_connected_to(endpoint)
        if response is None or not usable or not connection.is_reusable(response):
            connection.close()
            return
        connection.idle_since = monotonic()
        connection.idle_timer = self._loop.call_later(self._idle_s, connection.close)
        self._idle.setdefault(connection.endpoint_name, []).append(connection)
        self._sockets.idle += 1

    def _remove_idle(self, connection: EndpointConnection) -> None:
        idle = self._idle.get(connection.endpoint_name, [])
        if connection in idle:
            idle.remove(connection)
            self._sockets.idle -= 1
            self._loop.remove_timeout(connection.idle_timer)
            if not idle:
                del self._idle[connection.endpoint_name]

    def _on_closed(self, connection: EndpointConnection) -> None:
        """Releases the descriptor of a connection that has closed, for whatever reason."""
        self._remove_idle(connection)
        self._sockets.release()

    def _drop_oldest(self) -> bool:
        """Closes one idle connection, the oldest one to its endpoint; False if there is none."""
        for idle in list(self._idle.values()):
            for connection in list(idle):
                self._remove_idle(connection)
                if not connection.stream.closed():
                    connection.close()
                    return True
        return False
