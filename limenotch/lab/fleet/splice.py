"""One TCP connection through the relay: two ends, and a pump for each direction between them."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import TYPE_CHECKING, cast

from ...fleet.interfaces import Carrier
from ..emulate.wire import reset

if TYPE_CHECKING:
    from .relay import Door, Relay

MOST_BYTES = 256 * 1024  # on their way in one direction, beyond which its sender is not read
RESEND_MS = 200.0  # after which a kernel sends again what was lost: the least that Linux waits (RFC 6298 has 1 s)
MOST_RESENDS = 20  # of one piece; then it passes, so that a plan which loses everything is a cut and not a loop
LOOK_MS = 10.0  # how often a held stream asks whether its pair is still cut

END, RESET = b"", None  # in a pump: no more bytes will come; the connection broke


class End(asyncio.Protocol):
    """One socket of a splice. `pump` takes what is read here; `fed_by` writes to it."""

    def __init__(self, splice: Splice) -> None:
        self._splice = splice
        self.transport: asyncio.Transport | None = None
        self.pump: Pump | None = None
        self.fed_by: Pump | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._splice.made(self)

    def data_received(self, data: bytes) -> None:
        if self.pump is not None:
            self.pump.take(data)

    def eof_received(self) -> bool:
        if self.pump is not None:
            self.pump.take(END)
        return True  # the other direction may go on

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        if self.pump is not None:
            self.pump.take(RESET if error is not None else END)
        if self.fed_by is not None:
            self.fed_by.close()
        self._splice.lost()

    def pause_writing(self) -> None:
        if self.fed_by is not None:
            self.fed_by.full = True

    def resume_writing(self) -> None:
        if self.fed_by is not None:
            self.fed_by.full = False
            self.fed_by.run()


class Pump:
    """One direction: pieces in order, each due at its time. A piece without a time waits for the cut to end."""

    def __init__(self, door: Door, relay: Relay, source: End, sink: End) -> None:
        self._door, self._relay, self._source, self._sink = door, relay, source, sink
        self._pieces: deque[tuple[bytes | None, float | None]] = deque()
        self.held = 0  # bytes
        self._last = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self.full = False  # the sink does not read
        self.ended = False  # the source's end has passed; a reset may still come
        self.over = False

    def take(self, piece: bytes | None) -> None:
        if self.over or self.ended and piece is not RESET:
            return
        # Nothing overtakes: what comes behind a piece that is held is held too.
        held = self._cut() or (bool(self._pieces) and self._pieces[-1][1] is None)
        self._pieces.append((piece, None if held else self._due(piece)))
        self.held += len(piece or b"")
        if self.held > MOST_BYTES and self._source.transport is not None:
            self._source.transport.pause_reading()
        self.run()

    def _cut(self) -> bool:
        return self._relay.cut(self._door.frm, self._door.to)

    def _due(self, piece: bytes | None) -> float:
        door, now = self._door, self._relay.clock()
        sent = door.busy_until(now, len(piece or b""))
        for _ in range(MOST_RESENDS):
            copies = self._relay.plan.fate(now, door.frm, door.to, Carrier.STREAM)
            if copies:
                sent += copies[0]
                break
            sent += RESEND_MS
        self._last = max(self._last, sent)
        return self._last

    def run(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._pieces and not self.over and not self.full:
            if self._cut() or self._sink.transport is None:
                self._wait(LOOK_MS)
                return
            piece, due = self._pieces[0]
            if due is None:
                due = self._due(piece)
                self._pieces[0] = (piece, due)
            now = self._relay.clock()
            if due > now:
                self._wait(due - now)
                return
            self._pieces.popleft()
            self.held -= len(piece or b"")
            self._pass(piece)

    def _pass(self, piece: bytes | None) -> None:
        sink, source = self._sink.transport, self._source.transport
        assert sink is not None
        if piece is None:
            self.close()
            reset(sink)
        elif piece == END:
            self.ended = True
            other = self._sink.pump
            if other is None or other.ended:  # both directions are: nobody else would close
                for transport in (sink, source):
                    if transport is not None:
                        transport.close()
            elif not sink.is_closing():
                sink.write_eof()
        else:
            self._door.passed.sent_bytes += len(piece)
            sink.write(piece)
            if source is not None and self.held <= MOST_BYTES // 2:
                source.resume_reading()

    def _wait(self, ms: float) -> None:
        self._timer = asyncio.get_running_loop().call_later(ms / 1000.0, self.run)

    def close(self) -> None:
        self.over = True
        self._pieces.clear()
        self.held = 0  # bytes
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class Splice:
    """Owned by the door that it came in at. Gone when both ends are, and nothing is held for either."""

    def __init__(self, door: Door, back: Door, relay: Relay) -> None:
        self._door, self._back, self._relay = door, back, relay
        self.near, self.far = End(self), End(self)
        self._out, self._in = Pump(door, relay, self.near, self.far), Pump(back, relay, self.far, self.near)
        self.near.pump, self.near.fed_by = self._out, self._in
        self.far.pump, self.far.fed_by = self._in, self._out
        self._connecting: asyncio.Task[None] | None = None

    def made(self, end: End) -> None:
        if end is self.near:
            self._connecting = asyncio.get_running_loop().create_task(self._connect())
        else:
            self._out.run()

    async def _connect(self) -> None:
        """To the other member, once a handshake would have passed: both directions have to be open."""
        frm, to, loop = self._door.frm, self._door.to, asyncio.get_running_loop()
        while self._relay.cut(frm, to) or self._relay.cut(to, frm):
            await asyncio.sleep(LOOK_MS / 1000.0)
        try:
            await loop.create_connection(lambda: self.far, *self._relay.members[to], local_addr=(self._back.host, 0))
        except OSError:
            self.reset()  # refused there: as near as an accepted connection comes to it

    def look(self) -> None:
        self._out.run()
        self._in.run()

    def reset(self) -> None:
        for pump in (self._out, self._in):
            pump.close()
        if self._connecting is not None:
            self._connecting.cancel()
        for end in (self.near, self.far):
            if end.transport is not None:
                reset(end.transport)
        self._door.splices.discard(self)

    def lost(self) -> None:
        if self.near.transport is None and self.far.transport is None:
            if self._connecting is not None:
                self._connecting.cancel()
            for pump in (self._out, self._in):
                pump.close()
            self._door.splices.discard(self)
