"""The host of the fleet's components on real sockets.

Owns one datagram socket and one listener at the same address, the persistent streams (`peer_streams.py`), the timers,
and the access to the store's thread. No client's request waits for any of it, and no fault in here ends the program: an
exception is logged with its event, and what raised it is stopped from then on.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from functools import lru_cache
from typing import Any, Protocol

from .. import logs
from ..config import Address, host_port
from ..fleet.hub import COMPONENT_STOPPED, ComponentEvent, ComponentHub
from ..fleet.interfaces import (
    MAX_DATAGRAM_BYTES,
    Action,
    Carrier,
    Event,
    LogLine,
    Message,
    MessageReceived,
    SendToAddress,
    SetTimer,
    ShutdownStarted,
    Started,
    Store,
    Stored,
    StoreFailed,
    TimerFired,
)
from ..fleet.wire import MAX_FRAME_BYTES, FrameCodec, FrameFault, Hello
from .peer_streams import PeerStreams, address_family
from .slow_peers import limit_receive_buffer
from .sockets import Listener

log = logs.get(__name__)

BACKLOG = 64
MAX_PER_TURN = 64  # datagrams or connections handled in one turn of the loop, so that requests get their turns
MIN_BIND_WAIT_S, MAX_BIND_WAIT_S = 0.2, 5.0  # between two attempts to bind the address
MAX_TIMERS = 20_000
MAX_PENDING_STORES = 1024  # requests that the store has not answered yet
SOCKET_DESCRIPTORS = 2  # descriptors besides those of the streams

COUNTS = ("sent", "received", "send_failed", "too_long", "stores_refused")


class Disk(Protocol):
    """The store's thread."""

    def submit(self, ticket: int, records: tuple[Any, ...], done: Callable[[str | None], None]) -> None:
        """Never blocks. `done` is called once, on any thread: with None if stored, else with the reason."""
        ...

    def close(self) -> None:
        """The storage is not used any more."""
        ...


@lru_cache(1024)
def _is_numeric(host: str) -> bool:
    """Whether the host is a numeric address; a name would be resolved, and block the loop."""
    for kind in (socket.AF_INET, socket.AF_INET6):
        with contextlib.suppress(OSError, ValueError):
            socket.inet_pton(kind, host)
            return True
    return False


class PeerTransport:
    """Drives one hub. Made, started and closed on the loop's thread."""

    def __init__(
        self,
        listen: Address,
        name: str,
        process_epoch: int,
        hub: ComponentHub,
        codec: FrameCodec,
        streams: int = 32,
        disk: Disk | None = None,
        address: Address | None = None,
    ) -> None:
        """`address`: where peers reach this process, if not at `listen`. `disk` is closed with this transport."""
        self._listen, self._name, self._process_epoch = listen, name, process_epoch
        self._address, self._max_streams = address, streams
        self._hub, self._codec, self._disk = hub, codec, disk
        self._loop = asyncio.get_running_loop()
        self._datagrams: socket.socket | None = None
        self._listener: Listener | None = None
        self._streams: PeerStreams | None = None
        self._opening: asyncio.Task[None] | None = None
        self._timers: dict[int, asyncio.TimerHandle] = {}
        self._last_timer_key = 0
        self._pending_stores = 0
        self._now = 0.0
        self._stopped = self._closed = self._started = False
        self._events: deque[Event | ComponentEvent] = deque()  # the first one is being handled
        self.counts = dict.fromkeys(COUNTS, 0)
        hub.on_fault = self._log_fault

    @property
    def address(self) -> Address | None:
        """The address of the listener; None while it does not listen."""
        return self._listener.socket.getsockname()[:2] if self._listener is not None else None

    def now(self) -> float:
        """The clock of the components, in ms."""
        return max(self._now, self._loop.time() * 1000.0)

    # Start and shutdown

    def start(self, ready: Callable[[], Awaitable[Disk | None]] | None = None) -> None:
        """Listen as soon as the address is free, then await `ready` and start; the disk that it gives is closed here.

        The predecessor occupies the address until it leaves; failed attempts are logged. Serving requests does not wait
        for any of this. Messages that arrive before the start are dropped, as if this process did not run yet.
        """
        self._opening = self._loop.create_task(self._open(ready))

    async def _open(self, ready: Callable[[], Awaitable[Disk | None]] | None) -> None:
        wait_s = MIN_BIND_WAIT_S
        while True:
            try:
                self._bind()
                break
            except OSError as error:
                log.warning("fleet: not listening yet", listen=host_port(self._listen), error=str(error), wait_s=wait_s)
            await asyncio.sleep(wait_s)
            wait_s = min(2 * wait_s, MAX_BIND_WAIT_S)
        log.info("fleet: listening", listen=host_port(self._listen), life=self._process_epoch)
        if ready is not None:
            disk = await ready()
            if self._closed:
                if disk is not None:
                    disk.close()
                return
            self._disk = disk or self._disk
        self._started = True
        self.dispatch(Started())

    def _bind(self) -> None:
        """Bind both sockets or neither. Raises OSError."""
        bound: list[socket.socket] = []
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                sock = socket.socket(address_family(self._listen), kind)
                bound.append(sock)
                sock.setblocking(False)
                if kind == socket.SOCK_STREAM:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    limit_receive_buffer(sock)
                sock.bind((self._listen[0], bound[0].getsockname()[1] if len(bound) == 2 else self._listen[1]))
            bound[0].listen(BACKLOG)
        except OSError:
            for sock in bound:
                sock.close()
            raise
        address = self._address or bound[0].getsockname()[:2]
        hello = self._codec.encode(self._name, Hello(self._process_epoch, address))
        self._streams = PeerStreams(self._codec, hello, self._max_streams, self._message_received)
        self._listener = Listener(bound[0], self._accept)
        self._datagrams = bound[1]
        self._loop.add_reader(bound[1], self._receive)

    def leave(self) -> None:
        """Notify the components of the graceful shutdown; their messages are sent at once."""
        self.dispatch(ShutdownStarted())

    def close(self) -> None:
        """Close at once, without notifying peers. May be called twice."""
        self._closed = True
        if self._opening is not None:
            self._opening.cancel()
        self._cancel_timers()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        if self._datagrams is not None:
            self._loop.remove_reader(self._datagrams)
            self._datagrams.close()
            self._datagrams = None
        if self._streams is not None:
            self._streams.close()
        if self._disk is not None:
            self._disk.close()
            self._disk = None

    def _cancel_timers(self) -> None:
        for handle in self._timers.values():
            handle.cancel()
        self._timers.clear()

    # Events

    def dispatch(self, event: Event | ComponentEvent) -> None:
        """Handle an event; never raises. An event dispatched while another is handled follows right after it."""
        if not self._started:
            return
        self._events.append(event)
        if len(self._events) > 1:
            return
        while self._events:
            try:
                self._handle_event(self._events[0])
            finally:
                self._events.popleft()

    def _handle_event(self, event: Event | ComponentEvent) -> None:
        if self._stopped or self._closed:
            return
        self._now = self.now()
        if isinstance(event, TimerFired):
            self._now = max(self._now, self._timer_due_ms)
        try:
            for action in self._hub.handle(self._now, event):
                self._perform(action)
        except Exception as error:  # not in a component, which the hub catches: an action can't be performed
            self._stopped = True
            self._hub.stop_all()
            self._cancel_timers()
            self._log_fault("", event, error)
            log.error(COMPONENT_STOPPED, fleet=True, mono_ms=round(self._now, 1), off="all")

    _timer_due_ms = 0.0  # due time of the timer that fires: the loop may call up to its clock's resolution early

    def _log_fault(self, prefix: str, event: Any, error: Exception) -> None:
        log.error("internal error in a fleet component", part=prefix, fleet_event=repr(event)[:2000], exc_info=error)

    def _message_received(self, sender: str, address: Address, message: Message) -> None:
        self.dispatch(MessageReceived(address, sender, message, Carrier.STREAM))

    def _accept(self) -> None:
        if self._listener is not None and self._streams is not None:
            self._listener.accept_connections(MAX_PER_TURN, self._streams.accept, self._accept_failed)

    def _accept_failed(self, error: OSError) -> None:
        log.warning("fleet: accepting a connection failed", error=str(error))

    def _receive(self) -> None:
        for _ in range(MAX_PER_TURN):
            if self._datagrams is None:
                return
            try:
                frame, address = self._datagrams.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:  # an earlier datagram was not delivered: unrelated to what arrives
                continue
            self.counts["received"] += 1
            decoded = self._codec.decode(frame, MAX_DATAGRAM_BYTES)
            if isinstance(decoded, FrameFault):
                continue
            if isinstance(decoded[1], Hello):
                self._codec.count(FrameFault.KIND)  # valid on streams only
                continue
            self.dispatch(MessageReceived(address[:2], decoded[0], decoded[1], Carrier.DATAGRAM))

    def _timer_fired(self, key: int, at_ms: float, token: int) -> None:
        del self._timers[key]
        self._timer_due_ms = at_ms
        self.dispatch(TimerFired(token))

    # Actions

    def _perform(self, action: Action) -> None:
        if isinstance(action, SendToAddress):
            self._send(action)
        elif isinstance(action, SetTimer):
            if len(self._timers) >= MAX_TIMERS:
                raise RuntimeError(f"more than {MAX_TIMERS} timers")
            self._last_timer_key += 1
            self._timers[self._last_timer_key] = self._loop.call_at(
                action.at_ms / 1000.0, self._timer_fired, self._last_timer_key, action.at_ms, action.token
            )
        elif isinstance(action, Store):
            self._store(action)
        elif isinstance(action, LogLine):
            fields = {f"{key}_" if key == "event" else key: value for key, value in action.fields.items()}
            log.info(action.text, **{**fields, "fleet": True, "mono_ms": round(self._now, 1)})
        else:
            raise TypeError(f"not an action of a host: {action!r}")

    def _send(self, action: SendToAddress) -> None:
        if self._datagrams is None or self._streams is None:
            return
        if not _is_numeric(action.address[0]) or not 0 < action.address[1] < 65536:
            self.counts["send_failed"] += 1
            return
        frame = self._codec.encode(self._name, action.message)
        if len(frame) > (MAX_DATAGRAM_BYTES if action.carrier is Carrier.DATAGRAM else MAX_FRAME_BYTES):
            self.counts["too_long"] += 1
            return
        if action.carrier is Carrier.STREAM:
            self._streams.send(action.address, frame)
            return
        try:
            self._datagrams.sendto(frame, action.address)
            self.counts["sent"] += 1
        except OSError:  # a full buffer, or no route
            self.counts["send_failed"] += 1

    def _store(self, action: Store) -> None:
        if self._disk is None or self._pending_stores >= MAX_PENDING_STORES:
            self.counts["stores_refused"] += 1
            reason = "no folder" if self._disk is None else "slow"
            self._loop.call_soon(self.dispatch, StoreFailed(action.ticket, reason))
            return
        self._pending_stores += 1

        def done(reason: str | None) -> None:
            if not self._loop.is_closed():
                self._loop.call_soon_threadsafe(self._stored, action.ticket, reason)

        self._disk.submit(action.ticket, action.records, done)

    def _stored(self, ticket: int, reason: str | None) -> None:
        self._pending_stores -= 1
        self.dispatch(Stored(ticket) if reason is None else StoreFailed(ticket, reason))

    # For operators

    def state(self) -> dict[str, Any]:
        """The status of the sockets for `GET /fleet`."""
        return {
            "listening": self._listener is not None,
            "off": "all" if self._stopped else ", ".join(self._hub.stopped),
            "timers": len(self._timers),
            "storing": self._pending_stores,
            "untold": self._hub.undeliverable_messages,
            "unheard": self._hub.unhandled_messages,
            "datagrams": dict(self.counts),
            "streams": self._streams.state() if self._streams is not None else {},
            "dropped": {fault.value: count for fault, count in self._codec.faults.items()},
        }
