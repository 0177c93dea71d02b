"""A TCP connection through the relay: two sockets, and a pump for each direction between them."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import TYPE_CHECKING, cast

from ...fleet.interfaces import Carrier
from ..emulate.wire import reset

if TYPE_CHECKING:
    from .relay import Door, Relay

MAX_QUEUED_BYTES = 256 * 1024  # queued in one direction, beyond which the relay does not read from the sender
RETRANSMIT_TIMEOUT_MS = 200.0  # retransmission timeout of a lost piece: the minimum of Linux (RFC 6298 has 1 s)
MAX_RETRANSMISSIONS = 20  # per piece; the next passes, so that a plan which loses everything causes no endless loop
CHECK_INTERVAL_MS = 10.0  # interval at which a blocked stream checks for the end of the partition

STREAM_END, STREAM_RESET = b"", None  # pieces of a pump: the end of the stream; the connection broke


class SpliceSocket(asyncio.Protocol):
    """One socket of a splice. `pump` takes the bytes that arrive here; `fed_by` writes to the socket."""

    def __init__(self, splice: Splice) -> None:
        self._splice = splice
        self.transport: asyncio.Transport | None = None
        self.pump: Pump | None = None
        self.fed_by: Pump | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._splice.socket_connected(self)

    def data_received(self, data: bytes) -> None:
        if self.pump is not None:
            self.pump.take(data)

    def eof_received(self) -> bool:
        if self.pump is not None:
            self.pump.take(STREAM_END)
        return True  # the other direction stays open

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        if self.pump is not None:
            self.pump.take(STREAM_RESET if error is not None else STREAM_END)
        if self.fed_by is not None:
            self.fed_by.close()
        self._splice.socket_lost()

    def pause_writing(self) -> None:
        if self.fed_by is not None:
            self.fed_by.sink_full = True

    def resume_writing(self) -> None:
        if self.fed_by is not None:
            self.fed_by.sink_full = False
            self.fed_by.run()


class Pump:
    """One direction: a queue of pieces with their due times. A piece without a time waits for a partition to end."""

    def __init__(self, door: Door, relay: Relay, source: SpliceSocket, sink: SpliceSocket) -> None:
        self._door, self._relay, self._source, self._sink = door, relay, source, sink
        self._pieces: deque[tuple[bytes | None, float | None]] = deque()
        self.queued_bytes = 0  # bytes in the queue
        self._last_due_ms = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self.sink_full = False  # the sink's write buffer is full
        self.ended = False  # the end of the source's stream has passed; a reset may follow
        self.closed = False

    def take(self, piece: bytes | None) -> None:
        if self.closed or self.ended and piece is not STREAM_RESET:
            return
        # Pieces stay in order: a piece behind one that has no due time has none either.
        blocked = self._is_partitioned() or (bool(self._pieces) and self._pieces[-1][1] is None)
        self._pieces.append((piece, None if blocked else self._due_ms(piece)))
        self.queued_bytes += len(piece or b"")
        if self.queued_bytes > MAX_QUEUED_BYTES and self._source.transport is not None:
            self._source.transport.pause_reading()
        self.run()

    def _is_partitioned(self) -> bool:
        return self._relay.is_partitioned(self._door.sender, self._door.receiver)

    def _due_ms(self, piece: bytes | None) -> float:
        door, now_ms = self._door, self._relay.clock()
        sent_ms = door.sent_at_ms(now_ms, len(piece or b""))
        for _ in range(MAX_RETRANSMISSIONS):
            delays_ms = self._relay.plan.arrival_delays_ms(now_ms, door.sender, door.receiver, Carrier.STREAM)
            if delays_ms:
                sent_ms += delays_ms[0]
                break
            sent_ms += RETRANSMIT_TIMEOUT_MS
        self._last_due_ms = max(self._last_due_ms, sent_ms)
        return self._last_due_ms

    def run(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._pieces and not self.closed and not self.sink_full:
            if self._is_partitioned() or self._sink.transport is None:
                self._schedule_run(CHECK_INTERVAL_MS)
                return
            piece, due_ms = self._pieces[0]
            if due_ms is None:
                due_ms = self._due_ms(piece)
                self._pieces[0] = (piece, due_ms)
            now_ms = self._relay.clock()
            if due_ms > now_ms:
                self._schedule_run(due_ms - now_ms)
                return
            self._pieces.popleft()
            self.queued_bytes -= len(piece or b"")
            self._deliver(piece)

    def _deliver(self, piece: bytes | None) -> None:
        sink, source = self._sink.transport, self._source.transport
        assert sink is not None
        if piece is None:
            self.close()
            reset(sink)
        elif piece == STREAM_END:
            self.ended = True
            reverse = self._sink.pump
            if reverse is None or reverse.ended:  # both directions have ended: close the sockets
                for transport in (sink, source):
                    if transport is not None:
                        transport.close()
            elif not sink.is_closing():
                sink.write_eof()
        else:
            self._door.counts.sent_bytes += len(piece)
            sink.write(piece)
            if source is not None and self.queued_bytes <= MAX_QUEUED_BYTES // 2:
                source.resume_reading()

    def _schedule_run(self, ms: float) -> None:
        self._timer = asyncio.get_running_loop().call_later(ms / 1000.0, self.run)

    def close(self) -> None:
        self.closed = True
        self._pieces.clear()
        self.queued_bytes = 0
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class Splice:
    """A connection, owned by the door that accepted it. It ends when both its sockets are closed."""

    def __init__(self, door: Door, reverse_door: Door, relay: Relay) -> None:
        self._door, self._reverse_door, self._relay = door, reverse_door, relay
        self.near, self.far = SpliceSocket(self), SpliceSocket(self)
        self._forward_pump, self._backward_pump = (
            Pump(door, relay, self.near, self.far),
            Pump(reverse_door, relay, self.far, self.near),
        )
        self.near.pump, self.near.fed_by = self._forward_pump, self._backward_pump
        self.far.pump, self.far.fed_by = self._backward_pump, self._forward_pump
        self._connecting: asyncio.Task[None] | None = None

    def socket_connected(self, end: SpliceSocket) -> None:
        if end is self.near:
            self._connecting = asyncio.get_running_loop().create_task(self._connect())
        else:
            self._forward_pump.run()

    async def _connect(self) -> None:
        """Connects to the other member once a handshake could pass: no direction may be partitioned."""
        sender, receiver, loop = self._door.sender, self._door.receiver, asyncio.get_running_loop()
        while self._relay.is_partitioned(sender, receiver) or self._relay.is_partitioned(receiver, sender):
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000.0)
        try:
            await loop.create_connection(
                lambda: self.far, *self._relay.members[receiver], local_addr=(self._reverse_door.host, 0)
            )
        except OSError:
            self.reset()  # refused by the member: a reset is the closest equivalent, as the client was accepted

    def check_partition(self) -> None:
        self._forward_pump.run()
        self._backward_pump.run()

    def reset(self) -> None:
        for pump in (self._forward_pump, self._backward_pump):
            pump.close()
        if self._connecting is not None:
            self._connecting.cancel()
        for end in (self.near, self.far):
            if end.transport is not None:
                reset(end.transport)
        self._door.splices.discard(self)

    def socket_lost(self) -> None:
        if self.near.transport is None and self.far.transport is None:
            if self._connecting is not None:
                self._connecting.cancel()
            for pump in (self._forward_pump, self._backward_pump):
                pump.close()
            self._door.splices.discard(self)
