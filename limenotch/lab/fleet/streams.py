"""Persistent connections in simulated time: one per direction between two nodes, which delivers messages in order.

A connection opens with its first message and ends with the process at either end; the messages that are then in flight
are lost, and their sender receives no notice. During a partition the connection queues its messages. They arrive in
order after the partition heals, unless `stream_timeout_ms` have passed since the first queued message: then the
connection breaks, and all its messages are lost.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from limenotch.fleet.interfaces import Carrier
from limenotch.lab.fleet.weather import NetworkConditions
from limenotch.lab.simulate.kernel import Kernel

MAX_QUEUED_MESSAGES = 1024  # messages that a stream queues during a partition; later ones are dropped


class _Stream:
    __slots__ = ("sender", "receiver", "last_arrival_ms", "connection", "queued")

    def __init__(self, sender: str, receiver: Any) -> None:
        self.sender = sender
        self.receiver = receiver
        self.last_arrival_ms = 0.0  # arrival time of its latest message
        self.connection = 0  # number of its connection: messages of an earlier connection do not arrive
        self.queued: list[Any] = []


class Streams:
    """All streams. Calls `deliver(node, message)` in order and `count(reason)` per dropped message."""

    def __init__(
        self,
        kernel: Kernel,
        conditions: NetworkConditions,
        deliver: Callable[[Any, Any], None],
        count: Callable[[str], None],
        stream_timeout_ms: float,
    ) -> None:
        self._kernel = kernel
        self._conditions = conditions
        self._deliver_to = deliver
        self._count = count
        self._stream_timeout_ms = stream_timeout_ms
        self._streams: dict[tuple[str, str], _Stream] = {}
        self._by_node: dict[str, list[_Stream]] = {}  # by either end

    def send(self, sender: str, receiver: Any, received: Any) -> None:
        key = (sender, receiver.name)
        stream = self._streams.get(key)
        if stream is None:
            stream = self._streams[key] = _Stream(sender, receiver)
            self._by_node.setdefault(sender, []).append(stream)
            self._by_node.setdefault(receiver.name, []).append(stream)
        if stream.queued:
            self._queue(stream, received)
        else:
            self._transmit(stream, received)

    def heal(self) -> None:
        for stream in list(self._streams.values()):
            if stream.queued and not self._conditions.is_partitioned(stream.sender, stream.receiver.name):
                queued, stream.queued = stream.queued, []
                for received in queued:
                    self._transmit(stream, received)

    def end(self, name: str, *, in_order: bool = False) -> None:
        """Breaks the connections of an ended process; with `in_order`, the messages that it sent still arrive."""
        for stream in self._by_node.get(name, ()):
            if not in_order or stream.sender != name:
                self._break(stream)

    def _transmit(self, stream: _Stream, received: Any) -> None:
        now, receiver = self._kernel.now, stream.receiver
        delays_ms = (
            self._conditions.arrival_delays_ms(now, stream.sender, receiver.name, Carrier.STREAM)
            if stream.sender != receiver.name
            else [0.0]
        )
        if not delays_ms:
            self._kernel.schedule(now + self._stream_timeout_ms, self._time_out, stream, stream.connection, received)
            self._queue(stream, received)
            return
        stream.last_arrival_ms = max(stream.last_arrival_ms, now + delays_ms[0])
        self._kernel.schedule(stream.last_arrival_ms, self._deliver, stream, stream.connection, received)

    def _queue(self, stream: _Stream, received: Any) -> None:
        if len(stream.queued) < MAX_QUEUED_MESSAGES:
            stream.queued.append(received)
        else:
            self._count("stream full")

    def _deliver(self, stream: _Stream, connection: int, received: Any) -> None:
        if connection != stream.connection:
            self._count("stream broken")
        else:
            self._deliver_to(stream.receiver, received)

    def _time_out(self, stream: _Stream, connection: int, first: Any) -> None:
        if connection == stream.connection and stream.queued and stream.queued[0] is first:
            self._break(stream)

    def _break(self, stream: _Stream) -> None:
        stream.connection += 1
        stream.last_arrival_ms = 0.0
        for _ in stream.queued:
            self._count("stream broken")
        stream.queued = []
