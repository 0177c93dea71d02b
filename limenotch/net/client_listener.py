"""The listener for clients and the owner of their connections, up to the end of a graceful shutdown."""

from __future__ import annotations

import asyncio
import errno
import math
import socket
from collections.abc import Callable
from time import monotonic

from tornado.gen import sleep
from tornado.netutil import bind_sockets

from .. import logs, settings
from ..config import Address
from ..load_balancer import LoadBalancer
from .client_connection import ClientConnection
from .garbage import GarbageCollector
from .pipe import BufferBudget
from .read_ahead import ClientStream
from .refusals import RefusedClients
from .requests import RequestManager
from .shutdown_schedule import schedule
from .slow_peers import limit_send_buffer
from .sockets import DescriptorLimits, Listener

log = logs.get(__name__)

BACKLOG = 1024  # connections in the kernel's queue
MAX_ACCEPTS_PER_TURN = 16  # connections accepted in one turn of the event loop
MAX_BUFFER_BYTES = 512 * 1024  # of one connection
NO_DESCRIPTOR_ERRORS = (errno.EMFILE, errno.ENFILE)
# Seconds without accepting if no descriptor can be freed: the waiting connections would wake the event loop all the
# time.
LISTENER_PAUSE_S = 0.02
MIN_IDLE_S = 0.5  # seconds for which a connection may be idle after a request, however many clients wait
LOG_INTERVAL_S = 1.0
MAX_LINGERING_FRACTION = 1 / 2  # of the connections that memory allows


class ClientListener:
    """Owns the listener and the connections of clients."""

    def __init__(
        self,
        requests: RequestManager,
        load_balancer: LoadBalancer,
        descriptors: DescriptorLimits,
        has_endpoint_list: Callable[[], bool],
        tuning: settings.ClientSettings = settings.ClientSettings(),  # noqa: B008 (frozen)
        budget: BufferBudget | None = None,
    ) -> None:
        """`has_endpoint_list`: whether an endpoint list is known; `budget`: for request and response bodies."""
        self.budget = budget or BufferBudget(MAX_BUFFER_BYTES)
        self.requests = requests
        self.load_balancer = load_balancer
        self.descriptors = descriptors
        self.settings = tuning
        self.shutting_down = False  # whether a graceful shutdown has begun
        # Each connection ends after its next response, unless bytes of a further request have arrived.
        self.draining = False
        self.drains_unread = False  # each connection ends after its next response, whatever has arrived
        # Called with the client's address of each connection that ended, if it was passed with a request.
        self.connection_ended: Callable[[str], None] = lambda address: None
        self._has_endpoint_list = has_endpoint_list
        self._listener: Listener | None = None
        self._open: dict[ClientConnection, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()  # including those that still run after their connections closed
        self._idle: dict[
            ClientConnection, float
        ] = {}  # since when each waits for a request (s), the longest idle first
        self._lingering: dict[ClientConnection, None] = {}  # shut down by us and not yet closed by their clients
        self._receiving: dict[ClientConnection, None] = {}  # a part of a request has arrived, and its rest is awaited
        self.max_active: float = math.inf  # connections that memory allows, without those that are lingering
        self.garbage = GarbageCollector()
        self._next_log_at = 0.0  # s
        self._refused = RefusedClients(descriptors.clients.release)
        descriptors.clients.drop_idle = self._drop_idle

    def listen(self, address: Address, inherited: socket.socket | None = None) -> socket.socket:
        """Listens on this address only, or on the listener inherited from the previous process; returns the listener.

        It has SO_REUSEPORT, so that the next process can bind the address even if no listener can be handed over.
        Raises OSError if the address can't be bound.
        """
        if inherited is None:
            inherited = bind_sockets(address[1], address[0], backlog=BACKLOG, reuse_port=True)[0]
        self._listener = Listener(inherited, self._on_readable)
        return inherited

    def ready(self) -> bool:
        """Whether clients can connect and an endpoint list is known."""
        return self._listener is not None and self._has_endpoint_list()

    def _on_readable(self) -> None:
        # Connections of one turn can't displace each other: they count as idle from the next turn on.
        self._accept(int(max(min(MAX_ACCEPTS_PER_TURN, self.max_active / 2), 1)))

    def _accept(self, limit: int = MAX_ACCEPTS_PER_TURN) -> bool:
        """Accepts up to `limit` waiting connections; returns whether the queue is empty.

        The limit makes sure that a new connection is read before later ones could evict it.
        """
        return self._listener is None or self._listener.accept_connections(limit, self._admit, self._accept_failed)

    def _accept_failed(self, error: OSError) -> None:
        """Handles a failed accept: the client aborted, or no descriptor is left, and an idle connection is evicted."""
        log.warning("accepting a client connection failed", error=str(error))
        if error.errno in NO_DESCRIPTOR_ERRORS and not self._drop_idle() and self._listener is not None:
            self._listener.pause(LISTENER_PAUSE_S)

    def _admit(self, sock: socket.socket) -> None:
        if not self.descriptors.clients.acquire():
            sock.close()
            return
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:  # the client has closed it already
            sock.close()
            self.descriptors.clients.release()
            return
        if self._active >= self.max_active and not self._displace():
            self._log_shortage("client refused for want of memory")
            self._refused.refuse(sock)
            return
        limit_send_buffer(sock)
        connection = ClientConnection(ClientStream(sock, self.budget, MAX_BUFFER_BYTES), self)
        task = asyncio.get_running_loop().create_task(connection.serve())
        self._open[connection] = task
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @property
    def _active(self) -> int:
        return len(self._open) - len(self._lingering)

    def _log_shortage(self, event: str) -> None:
        """Logs that memory is short, once a second at most."""
        now = monotonic()
        if now >= self._next_log_at:
            self._next_log_at = now + LOG_INTERVAL_S
            log.warning(event, connections=len(self._open), active=self._active, buffered=self.budget.used)

    def _displace(self) -> bool:
        """Ends a connection that carries no complete request, for a new one; returns whether it did.

        The slowest of the requests that are being received comes first, as a usual client sends a request at once.
        A connection that has carried a request, and not been idle for long, is left alone.
        """
        now = monotonic()
        slowest = min(self._receiving, key=lambda connection: connection.receiving_rate(now), default=None)
        if slowest is not None and slowest.receiving_rate(now) < math.inf:
            del self._receiving[slowest]
            self._log_shortage("incomplete request displaced for want of memory")
            slowest.end_incomplete_request("request not complete while other clients wait for memory")
            return True
        idle = (each for each in self._by_use() if not each.used or now - self._idle[each] >= MIN_IDLE_S)
        return any(connection.end_if_idle() for connection in idle)

    def _by_use(self) -> list[ClientConnection]:
        """Idle connections: those that carried no request first, then the longest idle."""
        return sorted(self._idle, key=lambda connection: connection.used)

    def ended(self, connection: ClientConnection) -> None:
        """The connection is closed: releases its descriptor."""
        if self._open.pop(connection, None) is not None:
            self.set_idle(connection, False)
            self._lingering.pop(connection, None)
            self._receiving.pop(connection, None)
            self.garbage.check()
            self.descriptors.clients.release()

    def set_idle(self, connection: ClientConnection, idle: bool) -> None:
        """The connection starts (`idle`) or stops waiting for its next request."""
        if idle:
            self._idle[connection] = monotonic()
        else:
            self._idle.pop(connection, None)

    def set_receiving(self, connection: ClientConnection, receiving: bool) -> None:
        """The connection starts (`receiving`) or stops to wait for the rest of a request."""
        if receiving:
            self.garbage.check()
            self._receiving[connection] = None
        else:
            self._receiving.pop(connection, None)

    def set_lingering(self, connection: ClientConnection) -> None:
        """Our sending side of the connection is shut down; the client has not closed it yet."""
        self.set_idle(connection, False)
        self._receiving.pop(connection, None)
        self._lingering[connection] = None
        while len(self._lingering) > self.max_active * MAX_LINGERING_FRACTION:
            next(iter(self._lingering)).evict()

    def _drop_idle(self) -> bool:
        """Evicts one connection: a lingering one, else an idle one that carried no request, else another idle one.

        Returns False if none could be evicted.
        """
        if self._refused.drop_oldest():
            return True
        return any(connection.evict() for connection in [*self._lingering, *self._by_use()])

    async def shut_down(self, handed_over: bool = False, requested_at: float | None = None) -> None:
        """Shuts down gracefully: stops accepting connections, and returns when every request is answered.

        Open connections are served as long as the schedule allows, since their clients may have no other sidecar. If
        the listener was `handed_over` they have: then each connection ends after its next response, and the next
        process accepts those in the queue. `requested_at`: when SIGTERM arrived, in seconds of `time.monotonic`; None:
        now.
        """
        started_at = monotonic() if requested_at is None else requested_at
        longest_deadline_s = max(cls.deadline_ms for cls in self.load_balancer.classes) / 1000.0
        times = schedule(longest_deadline_s, self.settings.accept_s, self.settings.keep_s, handed_over)
        self.shutting_down = True
        self.draining = handed_over
        self.requests.finish_by(started_at + times.answer_s)
        await sleep(started_at + times.accept_s - monotonic())
        if not handed_over:
            self._accept_all()
        self._stop_listening()
        await self._wait_until(started_at + times.close_s)
        self.draining = True
        for connection in list(self._open):
            connection.end_if_idle()
        await self._wait_until(started_at + times.answer_s)
        self.drains_unread = True
        for connection in list(self._open):
            connection.end_incomplete_request()
        await self._wait_until(started_at + times.end_s)
        for connection in [connection for connection in self._open if not connection.owes_response]:
            connection.stream.close()
        await self._wait_until(started_at + times.wait_s)
        self._refused.close()

    async def _wait_until(self, time: float) -> None:
        """Waits until no connection is open, at most until `time` (seconds of `time.monotonic`)."""
        while self._open and (left_s := time - monotonic()) > 0:
            await asyncio.wait(list(self._open.values()), timeout=left_s)

    def _accept_all(self) -> None:
        """Accepts all connections in the queue: those left there would be reset when the listener is closed."""
        for _ in range(MAX_ACCEPTS_PER_TURN):  # a failed accept ends a pass; the connections behind it need another one
            if self._accept(BACKLOG):
                return

    def _stop_listening(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None
