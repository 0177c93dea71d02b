"""The listener for clients and the owner of their connections, up to the end of a graceful shutdown."""

from __future__ import annotations

import asyncio
import errno
import math
import socket
from collections.abc import Callable, Iterator
from itertools import chain
from time import monotonic

from tornado.gen import sleep
from tornado.netutil import bind_sockets

from .. import logs, settings
from ..config import Address
from ..load_balancer import LoadBalancer
from .client_connection import ClientConnection
from .lingering_clients import LingeringClients
from .memory_control import MemoryControl
from .pipe import BufferBudget, RequestBudget
from .read_ahead import ClientStream
from .refusal_log import Reason
from .request_reader import MIN_RECEIVING_S
from .requests import RequestManager
from .shutdown_schedule import schedule
from .slow_peers import SEND_BUFFER_BYTES, limit_receive_buffer, limit_send_buffer
from .sockets import DescriptorLimits, Listener

log = logs.get(__name__)

BACKLOG = 1024  # connections in the kernel's queue
MAX_ACCEPTS_PER_TURN = 4  # connections accepted in one turn of the event loop
MAX_BUFFER_BYTES = 512 * 1024  # of one connection
NO_DESCRIPTOR_ERRORS = (errno.EMFILE, errno.ENFILE)
# Seconds without accepting if no descriptor can be freed: the waiting connections would wake the event loop all the
# time.
LISTENER_PAUSE_S = 0.02
LEAST_RECEIVING_S = 0.02  # seconds that each request has to arrive, however many clients wait
MIN_IDLE_S = 0.5  # seconds for which a connection may be idle after a request, however many clients wait
MAX_LINGERING_FRACTION = 1 / 4  # of the connections that memory allows; at least ...
MIN_LINGERING = 128  # ... this number


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
        memory: MemoryControl | None = None,
    ) -> None:
        """`has_endpoint_list`: whether an endpoint list is known; `budget`: for request and response bodies."""
        self._buffers = budget or BufferBudget(MAX_BUFFER_BYTES)
        self.budget: BufferBudget = RequestBudget(self._buffers)
        self.memory = memory or MemoryControl(self._buffers)
        self.memory.active_clients = lambda: self._active
        self.memory.shed_clients = self._shed
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
        self._ending: dict[ClientConnection, None] = {}  # shut down by us, and about to be handed over
        self._displaced: set[ClientConnection] = set()  # about to get an error for want of memory
        self._receiving: dict[ClientConnection, None] = {}  # a part of a request has arrived, and its rest is awaited
        self.max_active: float = math.inf  # connections that memory allows, without those that are lingering
        self._lingering = LingeringClients(descriptors.clients.release, self._buffers.gauge)
        descriptors.clients.drop_idle = self._drop_idle

    def listen(self, address: Address, inherited: socket.socket | None = None) -> socket.socket:
        """Listens on this address only, or on the listener inherited from the previous process; returns the listener.

        It has SO_REUSEPORT, so that the next process can bind the address even if no listener can be handed over.
        Raises OSError if the address can't be bound.
        """
        if inherited is None:
            inherited = bind_sockets(address[1], address[0], backlog=BACKLOG, reuse_port=True)[0]
        self._listener = Listener(inherited, self._on_readable)
        self.limit_socket_buffers()
        return inherited

    def limit_socket_buffers(self) -> None:
        """Applies the budget's sizes of the kernel's buffers to the connections that are accepted from now on."""
        if self._listener is not None and self._buffers.sockets is not None:
            limit_receive_buffer(self._listener.socket, self._buffers.sockets.receive)

    def set_max_active(self, connections: float) -> None:
        """Sets how many connections memory allows from now on; some beyond that are displaced."""
        self.max_active = connections
        self.limit_socket_buffers()
        self._shed()

    def ready(self) -> bool:
        """Whether clients can connect and an endpoint list is known."""
        return self._listener is not None and self._has_endpoint_list()

    def _on_readable(self) -> None:
        # Connections of one turn can't displace each other: they count as idle from the next turn on.
        self.memory.check()
        self._accept(int(max(min(MAX_ACCEPTS_PER_TURN, self._allowed / 2), 1)))

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
        if self._active >= self._allowed and not self._displace():
            self._note(Reason.CLIENT_REFUSED)
            self._lingering.refuse(sock)
            self._limit_lingering()
            return
        limit_send_buffer(sock, self._buffers.sockets.send if self._buffers.sockets is not None else SEND_BUFFER_BYTES)
        connection = ClientConnection(ClientStream(sock, self.budget, MAX_BUFFER_BYTES), self)
        task = asyncio.get_running_loop().create_task(connection.serve())
        self._open[connection] = task
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @property
    def _active(self) -> int:
        return len(self._open) - len(self._ending) - len(self._displaced)

    @property
    def _allowed(self) -> float:
        """How many connections memory allows now."""
        return min(self.max_active, self.memory.max_clients)

    def _shed(self) -> None:
        """Displaces as many connections as there are more than memory allows, as far as they can be displaced."""
        for _ in range(int(max(self._active - self._allowed, 0))):
            if not self._displace():
                return

    def _note(self, reason: Reason) -> None:
        self.requests.refusals.note(
            reason, connections=len(self._open), active=self._active, buffered=self._buffers.used
        )

    def _displace(self) -> bool:
        """Ends a connection that carries no complete request, for a new one; returns whether it did.

        The slowest of the requests that are being received comes first, as a usual client sends a request at once.
        A connection that has carried a request, and not been idle for long, is left alone.
        """
        now = monotonic()
        return (
            self._displace_slowest(now, MIN_RECEIVING_S)
            or self._displace_idle(now)
            or self._displace_slowest(now, LEAST_RECEIVING_S)
        )

    def _displace_slowest(self, now: float, min_age_s: float) -> bool:
        """Ends the slowest of the incomplete requests that are older than `min_age_s`."""

        def rate(connection: ClientConnection) -> float:
            return connection.receiving_rate(now, min_age_s)

        slowest = min(self._receiving, key=rate, default=None)
        if slowest is None or math.isinf(rate(slowest)):
            return False
        self._displace_one(slowest, Reason.REQUEST_DISPLACED)
        slowest.end_incomplete_request("request not complete while other clients wait for memory")
        return True

    def _displace_idle(self, now: float) -> bool:
        """Ends an idle connection: one that carried no request, else the longest idle one."""
        for connection in self._by_use():
            may_end = not connection.used or now - self._idle[connection] >= MIN_IDLE_S
            if may_end and connection.displace_if_idle():
                self._displace_one(connection, Reason.IDLE_DISPLACED)
                return True
        return False

    def _displace_one(self, connection: ClientConnection, reason: Reason) -> None:
        self._note(reason)
        self._receiving.pop(connection, None)
        self._idle.pop(connection, None)
        if connection not in self._ending:
            self._displaced.add(connection)

    def _by_use(self) -> Iterator[ClientConnection]:
        """Idle connections: those that carried no request first, then the longest idle."""
        idle = list(self._idle)
        yield from (connection for connection in idle if not connection.used)
        yield from (connection for connection in idle if connection.used)

    def ended(self, connection: ClientConnection) -> None:
        """The connection is closed: releases its descriptor."""
        if self._forget(connection):
            self.descriptors.clients.release()

    def linger(self, connection: ClientConnection) -> None:
        """Takes over the socket of a connection whose sending side is shut down, and closes the connection."""
        if self._forget(connection):
            connection.stream.hand_over(self._lingering.add)
            self._limit_lingering()

    def _forget(self, connection: ClientConnection) -> bool:
        """Returns whether the connection was among those that are open."""
        if self._open.pop(connection, None) is None:
            return False
        self.set_idle(connection, False)
        self._ending.pop(connection, None)
        self._receiving.pop(connection, None)
        self._displaced.discard(connection)
        self.memory.check()
        return True

    def _limit_lingering(self) -> None:
        """Closes the connections that have lingered for longest, beyond the number that memory allows."""
        while len(self._lingering) > max(self._allowed * MAX_LINGERING_FRACTION, MIN_LINGERING):
            self._note(Reason.LINGERING_EVICTED)
            self._lingering.drop_oldest()

    def set_idle(self, connection: ClientConnection, idle: bool) -> None:
        """The connection starts (`idle`) or stops waiting for its next request."""
        if idle:
            self._idle[connection] = monotonic()
        else:
            self._idle.pop(connection, None)

    def set_receiving(self, connection: ClientConnection, receiving: bool) -> None:
        """The connection starts (`receiving`) or stops to wait for the rest of a request."""
        if receiving:
            self.memory.check()
            self._receiving[connection] = None
        else:
            self._receiving.pop(connection, None)

    def set_ending(self, connection: ClientConnection) -> None:
        """Our sending side of the connection is shut down; `linger` follows."""
        self.set_idle(connection, False)
        self._receiving.pop(connection, None)
        self._displaced.discard(connection)
        self._ending[connection] = None

    def _drop_idle(self) -> bool:
        """Evicts one connection: a lingering one, else an idle one that carried no request, else another idle one.

        Returns False if none could be evicted.
        """
        if self._lingering.drop_oldest():
            self._note(Reason.LINGERING_EVICTED)
            return True
        if any(connection.evict() for connection in chain(list(self._ending), self._by_use())):
            self._note(Reason.IDLE_EVICTED)
            return True
        return False

    async def shut_down(
        self, handed_over: bool = False, requested_at: float | None = None, standby: bool = False
    ) -> None:
        """Shuts down gracefully: stops accepting connections, and returns when every request is answered.

        Open connections are served as long as the schedule allows, since their clients may have no other sidecar. If
        the listener was `handed_over` they have: then each connection ends after its next response, and the next
        process accepts those in the queue. `requested_at`: when SIGTERM arrived, in seconds of `time.monotonic`; None:
        now. `standby`: the next process serves as soon as this one has ended, and accepts those in the queue.
        """
        started_at = monotonic() if requested_at is None else requested_at
        longest_deadline_s = max(cls.deadline_ms for cls in self.load_balancer.classes) / 1000.0
        times = schedule(longest_deadline_s, self.settings.accept_s, self.settings.keep_s, handed_over, standby)
        self.shutting_down = True
        self.draining = handed_over
        self.requests.finish_by(started_at + times.answer_s)
        await sleep(started_at + times.accept_s - monotonic())
        if not handed_over and not standby:
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
        self._lingering.close()
        await self._wait_until(started_at + times.wait_s)
        self._lingering.close()

    async def _wait_until(self, time: float) -> None:
        """Waits until no connection is open, at most until `time` (seconds of `time.monotonic`)."""
        while (self._open or self._lingering) and (left_s := time - monotonic()) > 0:
            if self._open:
                await asyncio.wait(list(self._open.values()), timeout=left_s)
            else:
                await self._lingering.wait_until_empty(left_s)

    def _accept_all(self) -> None:
        """Accepts all connections in the queue: those left there would be reset when the listener is closed."""
        for _ in range(MAX_ACCEPTS_PER_TURN):  # a failed accept ends a pass; the connections behind it need another one
            if self._accept(BACKLOG):
                return

    def _stop_listening(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None
