"""The listener for clients and all of their connections, up to the end of a graceful shutdown."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from time import monotonic

from tornado.gen import sleep
from tornado.netutil import bind_sockets

from .. import logs, settings
from ..config import Address
from ..load_balancer import LoadBalancer
from .client_connection import ClientConnection
from .pipe import BufferBudget
from .read_ahead import ClientStream
from .requests import RequestManager
from .shutdown_schedule import schedule
from .sockets import DescriptorLimits, Listener

log = logs.get(__name__)

BACKLOG = 1024  # connections in the kernel's queue
MAX_ACCEPTS_IN_A_ROW = 16  # connections
MAX_BUFFER_BYTES = 512 * 1024  # of one connection
NO_DESCRIPTOR_ERRORS = (errno.EMFILE, errno.ENFILE)
# Seconds without accepting while no descriptor can be freed: the queue would call us in every turn of the event loop.
LISTENER_PAUSE_S = 0.02


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
        """`has_endpoint_list`: whether discovery has delivered a list; `budget`: for request and response bodies."""
        self.budget = budget or BufferBudget(MAX_BUFFER_BYTES)
        self.requests = requests
        self.load_balancer = load_balancer
        self.descriptors = descriptors
        self.settings = tuning
        self.shutting_down = False  # no more connections are accepted
        self.closing = False  # each ends with its next response, unless more of its client's has arrived
        self.over = False  # each ends with its next response, whatever has arrived
        # Called with the address of each connection that ended after requests that stated it.
        self.connection_ended: Callable[[str], None] = lambda address: None
        self._has_endpoint_list = has_endpoint_list
        self._listener: Listener | None = None
        self._open: dict[ClientConnection, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()  # also those that end after their connections closed
        self._waiting: dict[ClientConnection, None] = {}  # idle ones, the longest idle first
        self._lingering: dict[ClientConnection, None] = {}  # shut down by us and not yet closed by their clients
        descriptors.clients.drop_idle = self._drop_idle

    def listen(self, address: Address, inherited: socket.socket | None = None) -> socket.socket:
        """Listen on this address only, or on the listener inherited from the previous process.

        With SO_REUSEPORT: where no listener can be handed over, the next process still gets the address. Raises
        OSError if the address cannot be bound.
        """
        if inherited is None:
            inherited = bind_sockets(address[1], address[0], backlog=BACKLOG, reuse_port=True)[0]
        self._listener = Listener(inherited, self._on_readable)
        return inherited

    def ready(self) -> bool:
        """Whether it listens and the endpoint list is known."""
        return self._listener is not None and self._has_endpoint_list()

    def _on_readable(self) -> None:
        self._accept()

    def _accept(self, limit: int = MAX_ACCEPTS_IN_A_ROW) -> bool:
        """Accept up to `limit` waiting connections; return whether the queue is empty.

        Of many at once, each is read before the next ones could evict it.
        """
        return self._listener is None or self._listener.take(limit, self._admit, self._accept_failed)

    def _accept_failed(self, error: OSError) -> None:
        """The client aborted, or no descriptor is left: then an idle connection is evicted."""
        log.warning("accepting a client connection failed", error=str(error))
        if error.errno in NO_DESCRIPTOR_ERRORS and not self._drop_idle() and self._listener is not None:
            self._listener.pause(LISTENER_PAUSE_S)

    def _admit(self, sock: socket.socket) -> None:
        if not self.descriptors.clients.take():
            sock.close()
            return
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:  # the client has closed it already
            sock.close()
            self.descriptors.clients.give_back()
            return
        connection = ClientConnection(ClientStream(sock, max_buffer_size=MAX_BUFFER_BYTES), self)
        task = asyncio.get_running_loop().create_task(connection.serve())
        self._open[connection] = task
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def ended(self, connection: ClientConnection) -> None:
        """The connection is closed: give its descriptor back."""
        if self._open.pop(connection, None) is not None:
            self.set_idle(connection, False)
            self._lingering.pop(connection, None)
            self.descriptors.clients.give_back()

    def set_idle(self, connection: ClientConnection, idle: bool) -> None:
        """The connection begins or ceases to wait for its next request."""
        if idle:
            self._waiting[connection] = None
        else:
            self._waiting.pop(connection, None)

    def set_lingering(self, connection: ClientConnection) -> None:
        """The sending side of the connection is shut down; its client has not closed it yet."""
        self.set_idle(connection, False)
        self._lingering[connection] = None

    def _drop_idle(self) -> bool:
        """Evict the first that can be: lingering ones, then those never used, then the other idle ones."""
        idle = sorted(self._waiting, key=lambda connection: connection.used)
        return any(connection.evict() for connection in [*self._lingering, *idle])

    async def shut_down(self, handed_over: bool = False, since: float | None = None) -> None:
        """Shut down gracefully: accept no more connections, and return when every request is answered.

        Kept connections are served as long as there is time, since their clients may have nowhere else to go. With
        the listener `handed_over` they have: each closes with its next response, and connections in the queue are the
        next process's. `since`: when SIGTERM arrived, in seconds of `time.monotonic`; None: now.
        """
        started_at = monotonic() if since is None else since
        longest_deadline_s = max(cls.deadline_ms for cls in self.load_balancer.classes) / 1000.0
        times = schedule(longest_deadline_s, self.settings.accept_s, self.settings.keep_s, handed_over)
        self.shutting_down = True
        self.closing = handed_over
        self.requests.finish_by(started_at + times.answer_s)
        await sleep(started_at + times.accept_s - monotonic())
        if not handed_over:
            self._accept_all()
        self._stop_listening()
        await self._wait_until(started_at + times.close_s)
        self.closing = True
        for connection in list(self._open):
            connection.end_if_idle()
        await self._wait_until(started_at + times.answer_s)
        self.over = True
        for connection in list(self._open):
            connection.end_incomplete_request()
        await self._wait_until(started_at + times.end_s)
        for connection in [connection for connection in self._open if not connection.owes_response]:
            connection.stream.close()
        await self._wait_until(started_at + times.wait_s)

    async def _wait_until(self, time: float) -> None:
        """Wait until no connection is open, at most until `time` (seconds of `time.monotonic`)."""
        while self._open and (left_s := time - monotonic()) > 0:
            await asyncio.wait(list(self._open.values()), timeout=left_s)

    def _accept_all(self) -> None:
        """Empty the queue: connections left there would be reset with the listener."""
        for _ in range(MAX_ACCEPTS_IN_A_ROW):  # an aborted one ends a turn and must not cost those behind it
            if self._accept(BACKLOG):
                return

    def _stop_listening(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None
