"""The other sidecars: the host of the fleet's decisions on real sockets.

Owns one datagram socket and one listener at the same address, the kept streams (`streams.py`), the timers, and the way
to the store's thread. Nothing that a consumer's call does waits for any of it, and no fault in here ends the program:
what raises is logged with its event and is off from then on.
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
from ..fleet.wire import MOST_FRAME, FrameCodec, FrameFault, Hello
from .peer_streams import PeerStreams, family
from .sockets import Listener

log = logs.get(__name__)

BACKLOG = 64
TURN = 64  # datagrams or connections taken in one turn of the loop: consumers come between
FIRST_WAIT_S, MOST_WAIT_S = 0.2, 5.0  # between two attempts to have the address
MOST_TIMERS = 20_000
MOST_STORES = 1024  # requests of which the store has not said how they ended
SOCKETS = 2  # descriptors beside the streams'

COUNTS = ("sent", "received", "send_failed", "too_long", "stores_refused")


class Disk(Protocol):
    """The store's thread."""

    def submit(self, ticket: int, records: tuple[Any, ...], done: Callable[[str | None], None]) -> None:
        """Never waits. `done` is called once, on any thread: None for stored, else why not."""
        ...

    def close(self) -> None:
        """The storage is not used any more."""
        ...


@lru_cache(1024)
def _numeric(host: str) -> bool:
    """A name would be looked up, and the loop would wait for that."""
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
        wire: FrameCodec,
        streams: int = 32,
        disk: Disk | None = None,
        address: Address | None = None,
    ) -> None:
        """`address`: where others reach this process, if not at `listen`. `disk` is closed with this."""
        self._listen, self._name, self._process_epoch = listen, name, process_epoch
        self._address, self._most = address, streams
        self._hub, self._wire, self._disk = hub, wire, disk
        self._loop = asyncio.get_running_loop()
        self._datagrams: socket.socket | None = None
        self._listener: Listener | None = None
        self._streams: PeerStreams | None = None
        self._opening: asyncio.Task[None] | None = None
        self._timers: dict[int, asyncio.TimerHandle] = {}
        self._timer = 0
        self._storing = 0
        self._now = 0.0
        self._off = self._closed = self._begun = False
        self._events: deque[Event | ComponentEvent] = deque()  # the first is being handled
        self.counts = dict.fromkeys(COUNTS, 0)
        hub.on_fault = self._faulty

    @property
    def address(self) -> Address | None:
        """Where it listens; None as long as it does not."""
        return self._listener.socket.getsockname()[:2] if self._listener is not None else None

    def now(self) -> float:
        """In ms, as the parts are told."""
        return max(self._now, self._loop.time() * 1000.0)

    # Life

    def start(self, ready: Callable[[], Awaitable[Disk | None]] | None = None) -> None:
        """Listen as soon as the address can be had, and begin then, after `ready`: the disk it gives is closed here.

        The process before this one has it until it leaves; a wrong one is told in the log. Serving waits for neither.
        What others say before the beginning is dropped, as if this process were not there yet.
        """
        self._opening = self._loop.create_task(self._open(ready))

    async def _open(self, ready: Callable[[], Awaitable[Disk | None]] | None) -> None:
        wait = FIRST_WAIT_S
        while True:
            try:
                self._bind()
                break
            except OSError as error:
                log.warning("fleet: not listening yet", listen=host_port(self._listen), error=str(error), wait_s=wait)
            await asyncio.sleep(wait)
            wait = min(2 * wait, MOST_WAIT_S)
        log.info("fleet: listening", listen=host_port(self._listen), life=self._process_epoch)
        if ready is not None:
            disk = await ready()
            if self._closed:
                if disk is not None:
                    disk.close()
                return
            self._disk = disk or self._disk
        self._begun = True
        self.tell(Started())

    def _bind(self) -> None:
        """Both sockets or none; raises OSError."""
        taken: list[socket.socket] = []
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                sock = socket.socket(family(self._listen), kind)
                taken.append(sock)
                sock.setblocking(False)
                if kind == socket.SOCK_STREAM:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.bind((self._listen[0], taken[0].getsockname()[1] if len(taken) == 2 else self._listen[1]))
            taken[0].listen(BACKLOG)
        except OSError:
            for sock in taken:
                sock.close()
            raise
        address = self._address or taken[0].getsockname()[:2]
        hello = self._wire.encode(self._name, Hello(self._process_epoch, address))
        self._streams = PeerStreams(self._wire, hello, self._most, self._heed)
        self._listener = Listener(taken[0], self._accept)
        self._datagrams = taken[1]
        self._loop.add_reader(taken[1], self._receive)

    def leave(self) -> None:
        """The parts say that this process goes; what they answer is sent at once."""
        self.tell(ShutdownStarted())

    def close(self) -> None:
        """At once, without a word to others. May be called twice."""
        self._closed = True
        if self._opening is not None:
            self._opening.cancel()
        self._quiet()
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

    def _quiet(self) -> None:
        for handle in self._timers.values():
            handle.cancel()
        self._timers.clear()

    # Events

    def tell(self, event: Event | ComponentEvent) -> None:
        """Raises nothing. Told while another is handled, by who hears what parts do, it is handled right after that."""
        if not self._begun:
            return
        self._events.append(event)
        if len(self._events) > 1:
            return
        while self._events:
            try:
                self._tell(self._events[0])
            finally:
                self._events.popleft()

    def _tell(self, event: Event | ComponentEvent) -> None:
        if self._off or self._closed:
            return
        self._now = self.now()
        if isinstance(event, TimerFired):
            self._now = max(self._now, self._timed)
        try:
            for action in self._hub.handle(self._now, event):
                self._carry_out(action)
        except Exception as error:  # not a part's own, which the hub holds back: what came of it can't be carried out
            self._off = True
            self._hub.stop_all()
            self._quiet()
            self._faulty("", event, error)
            log.error(COMPONENT_STOPPED, fleet=True, mono_ms=round(self._now, 1), off="all")

    _timed = 0.0  # the deadline of the timer that fires: the loop may call it up to its clock's grain early

    def _faulty(self, part: str, event: Any, error: Exception) -> None:
        log.error("fault in the fleet's decisions", part=part, fleet_event=repr(event)[:2000], exc_info=error)

    def _heed(self, sender: str, address: Address, message: Message) -> None:
        self.tell(MessageReceived(address, sender, message, Carrier.STREAM))

    def _accept(self) -> None:
        if self._listener is not None and self._streams is not None:
            self._listener.accept_connections(TURN, self._streams.admit, self._refused)

    def _refused(self, error: OSError) -> None:
        log.warning("fleet's listener", error=str(error))

    def _receive(self) -> None:
        for _ in range(TURN):
            if self._datagrams is None:
                return
            try:
                frame, address = self._datagrams.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:  # an earlier datagram's peer was not there: nothing to do with what comes
                continue
            self.counts["received"] += 1
            said = self._wire.decode(frame, MAX_DATAGRAM_BYTES)
            if isinstance(said, FrameFault):
                continue
            if isinstance(said[1], Hello):
                self._wire.count(FrameFault.KIND)  # of streams only
                continue
            self.tell(MessageReceived(address[:2], said[0], said[1], Carrier.DATAGRAM))

    def _fired(self, key: int, at_ms: float, token: int) -> None:
        del self._timers[key]
        self._timed = at_ms
        self.tell(TimerFired(token))

    # Actions

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, SendToAddress):
            self._send(action)
        elif isinstance(action, SetTimer):
            if len(self._timers) >= MOST_TIMERS:
                raise RuntimeError(f"more than {MOST_TIMERS} timers")
            self._timer += 1
            self._timers[self._timer] = self._loop.call_at(
                action.at_ms / 1000.0, self._fired, self._timer, action.at_ms, action.token
            )
        elif isinstance(action, Store):
            self._store(action)
        elif isinstance(action, LogLine):
            fields = {f"{key}_" if key == "event" else key: value for key, value in action.fields.items()}
            log.info(action.text, **{**fields, "fleet": True, "mono_ms": round(self._now, 1)})
        else:
            raise TypeError(f"no action of a host: {action!r}")

    def _send(self, action: SendToAddress) -> None:
        if self._datagrams is None or self._streams is None:
            return
        if not _numeric(action.address[0]) or not 0 < action.address[1] < 65536:
            self.counts["send_failed"] += 1
            return
        frame = self._wire.encode(self._name, action.message)
        if len(frame) > (MAX_DATAGRAM_BYTES if action.carrier is Carrier.DATAGRAM else MOST_FRAME):
            self.counts["too_long"] += 1
            return
        if action.carrier is Carrier.STREAM:
            self._streams.send(action.address, frame)
            return
        try:
            self._datagrams.sendto(frame, action.address)
            self.counts["sent"] += 1
        except OSError:  # a full buffer, no way there
            self.counts["send_failed"] += 1

    def _store(self, action: Store) -> None:
        if self._disk is None or self._storing >= MOST_STORES:
            self.counts["stores_refused"] += 1
            why = "no folder" if self._disk is None else "slow"
            self._loop.call_soon(self.tell, StoreFailed(action.ticket, why))
            return
        self._storing += 1

        def done(why: str | None) -> None:
            if not self._loop.is_closed():
                self._loop.call_soon_threadsafe(self._stored, action.ticket, why)

        self._disk.submit(action.ticket, action.records, done)

    def _stored(self, ticket: int, why: str | None) -> None:
        self._storing -= 1
        self.tell(Stored(ticket) if why is None else StoreFailed(ticket, why))

    # For operators

    def state(self) -> dict[str, Any]:
        """What `GET /fleet` tells of the sockets."""
        return {
            "listening": self._listener is not None,
            "off": "all" if self._off else ", ".join(self._hub.off),
            "timers": len(self._timers),
            "storing": self._storing,
            "untold": self._hub.undeliverable_messages,
            "unheard": self._hub.unhandled_messages,
            "datagrams": dict(self.counts),
            "streams": self._streams.state() if self._streams is not None else {},
            "dropped": {fault.value: count for fault, count in self._wire.faults.items()},
        }
