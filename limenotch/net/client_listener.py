"""Consumers: the listener and all their connections, up to their end."""

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

BACKLOG = 1024
MAX_ACCEPTS_IN_A_ROW = 16  # in a row
MAX_BUFFER_BYTES = 512 * 1024
NO_DESCRIPTOR_ERRORS = (errno.EMFILE, errno.ENFILE)
LISTENER_PAUSE_S = 0.02  # with no descriptor left and none to be had: the queue would call us in every turn of the loop


class ClientListener:
    """Owns the listener and the consumers' connections."""

    def __init__(
        self,
        calls: RequestManager,
        facade: LoadBalancer,
        sockets: DescriptorLimits,
        has_list: Callable[[], bool],
        tuning: settings.ClientSettings = settings.ClientSettings(),  # noqa: B008 (frozen)
        budget: BufferBudget | None = None,
    ) -> None:
        self.budget = budget or BufferBudget(MAX_BUFFER_BYTES)
        self.requests, self.load_balancer, self.descriptors, self.settings = calls, facade, sockets, tuning
        self.shutting_down = False  # no more connections ...
        self.closing = False  # ... and each ends with its next answer, unless more of its client's has come
        self.over = False  # ... whatever has come
        self.connection_ended: Callable[[str], None] = (
            lambda origin: None
        )  # hears of each end of a connection of which calls came
        self._has_list = has_list
        self._listener: Listener | None = None
        self._open: dict[ClientConnection, asyncio.Task[None]] = {}
        self._waiting: dict[ClientConnection, None] = {}  # those between two requests, the longest first
        self._lingering: dict[ClientConnection, None] = {}  # those whose clients have not closed yet though we have
        sockets.clients.drop_idle = self._drop_idle

    def listen(self, at: Address, inherited: socket.socket | None = None) -> socket.socket:
        """On this address only, or on the listener of the process before. Raises OSError if it can't be had.

        With SO_REUSEPORT: where no listener can be handed over, the next process still gets the address.
        """
        if inherited is None:
            inherited = bind_sockets(at[1], at[0], backlog=BACKLOG, reuse_port=True)[0]
        self._listener = Listener(inherited, self._some_wait)
        return inherited

    def ready(self) -> bool:
        return self._listener is not None and self._has_list()

    def _some_wait(self) -> None:
        self._accept()

    def _accept(self, most: int = MAX_ACCEPTS_IN_A_ROW) -> bool:
        """Some of those that wait: of many at once, each is read before the next ones push it out.

        Whether it came to the end of them.
        """
        return self._listener is None or self._listener.take(most, self._admit, self._refused)

    def _refused(self, error: OSError) -> None:
        """Aborted by the consumer, or no descriptor left: an idle one makes room."""
        log.warning("listener", error=str(error))
        if error.errno in NO_DESCRIPTOR_ERRORS and not self._drop_idle() and self._listener is not None:
            self._listener.pause(LISTENER_PAUSE_S)

    def _admit(self, sock: socket.socket) -> None:
        if not self.descriptors.clients.take():
            sock.close()
            return
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:  # it has gone already
            sock.close()
            self.descriptors.clients.give_back()
            return
        consumer = ClientConnection(ClientStream(sock, max_buffer_size=MAX_BUFFER_BYTES), self)
        self._open[consumer] = asyncio.get_running_loop().create_task(consumer.serve())

    def ended(self, consumer: ClientConnection) -> None:
        """Its connection closed."""
        if self._open.pop(consumer, None) is not None:
            self.set_idle(consumer, False)
            self._lingering.pop(consumer, None)
            self.descriptors.clients.give_back()

    def set_idle(self, consumer: ClientConnection, waiting: bool) -> None:
        """A connection begins or ends to be between two requests."""
        if waiting:
            self._waiting[consumer] = None
        else:
            self._waiting.pop(consumer, None)

    def set_lingering(self, consumer: ClientConnection) -> None:
        """Its connection has ended but for its client's part."""
        self.set_idle(consumer, False)
        self._lingering[consumer] = None

    def _drop_idle(self) -> bool:
        """The first that can give way: those that linger, then those that never asked, then those that have."""
        waiting = sorted(self._waiting, key=lambda consumer: consumer.used)
        return any(consumer.evict() for consumer in [*self._lingering, *waiting])

    async def shut_down(self, handed_on: bool = False, since: float | None = None) -> None:
        """Take no more, once those under way have arrived; return when every call is answered.

        Kept connections are served on as long as there is time, since their consumers may have nowhere else to go.
        With the listener `handed_on` they have: each closes with its next answer, and what waits in the queue is the
        next process's. `since`: when SIGTERM came, by time.monotonic.
        """
        begun = monotonic() if since is None else since
        longest = max(cls.deadline_ms for cls in self.load_balancer.classes) / 1000.0
        times = schedule(longest, self.settings.accept_s, self.settings.keep_s, handed_on)
        self.shutting_down, self.closing = True, handed_on
        self.requests.finish_by(begun + times.answer_s)
        await sleep(begun + times.accept_s - monotonic())
        if not handed_on:
            self._accept_all()
        self._stop_listening()
        await self._until(begun + times.close_s)
        self.closing = True
        for consumer in list(self._open):
            consumer.end_if_idle()
        await self._until(begun + times.answer_s)
        self.over = True
        for consumer in list(self._open):
            consumer.end_incomplete_request()
        await self._until(begun + times.end_s)
        for consumer in [consumer for consumer in self._open if not consumer.owes_response]:
            consumer.stream.close()
        await self._until(begun + times.wait_s)

    async def _until(self, time: float) -> None:
        """No connection is open any more, or it is this late."""
        while self._open and (left := time - monotonic()) > 0:
            await asyncio.wait(list(self._open.values()), timeout=left)

    def _accept_all(self) -> None:
        """What waits in the queue would be reset with the listener."""
        for _ in range(MAX_ACCEPTS_IN_A_ROW):  # one that was aborted ends a turn, and must not cost those behind it
            if self._accept(BACKLOG):
                return

    def _stop_listening(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None
