"""A relay between each ordered pair of members, UDP and TCP on loopback: the network of a test, with its faults.

Addresses: members are numbered from 1 in order of their names. In an ordered pair (b -> a), b sends and a receives. The
pair has a *door* at `127.64.<b>.<a>:port`, a datagram socket and a listener, where only b reaches a: member 2 reaches
member 1 at `127.64.2.1`. The relay forwards what arrives at that door to a's own address, *from* the door of the
reverse direction, `127.64.<a>.<b>`: a sees as source the address at which it reaches b, so its answers pass through the
relay of (a -> b). A stream's source has that host and a port of its own. No process learns the own address of another
as long as its list of addresses is `Relay.addresses(name)` (`[fleet.addresses]`, which takes precedence over advertised
addresses). All of 127.0.0.0/8 is loopback on Linux; on other systems the relay cannot bind.

Faults: a `FaultPlan` (the plan) decides about each message, in the order of the messages of each ordered pair. A plan
whose decisions follow from a seed and a count per pair, as those of `weather.NetworkConditions` do, loses the same
datagrams at any wall time. Datagrams are lost, delayed, duplicated and reordered. A stream preserves its order: "lost"
bytes arrive RETRANSMIT_TIMEOUT_MS later, as after a retransmission by a kernel. During a partition no bytes, end or
reset of a stream pass, and neither side receives an error. Two things differ from a network: a connection attempt
during a partition is accepted and then stays silent, and the plan decides about a stream per piece as read from the
kernel, so its delays depend on wall time.

Times are ms. All queues are bounded: datagrams by count (the relay drops and counts further ones), streams by bytes
(the relay stops reading, as with a full TCP window).
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from time import monotonic
from typing import Protocol

from ...fleet.interfaces import Address, Carrier
from .splice import Splice

LOOPBACK_NET = 64  # second byte of the addresses of the doors
MAX_MEMBERS = 250
MAX_DELAYED_DATAGRAMS = 512  # delayed datagrams per door
MAX_BIND_ATTEMPTS = 20


class FaultPlan(Protocol):
    """The faults that the relay carries out; implemented by `weather.NetworkConditions`."""

    def arrival_delays_ms(self, now_ms: float, sender: str, receiver: str, carrier: Carrier) -> list[float]:
        """Returns the delay of each copy that arrives; empty: the message is lost."""
        ...

    def is_partitioned(self, sender: str, receiver: str) -> bool:
        """Whether no message passes in this direction now."""
        ...


class RelayError(Exception):
    """A door could not be opened; the text names it."""


@dataclass(slots=True)
class DoorCounts:
    """Traffic counts of a door."""

    datagrams: int = 0  # received
    lost: int = 0  # dropped by the plan, including partitions
    duplicated: int = 0
    dropped: int = 0  # dropped because MAX_DELAYED_DATAGRAMS were queued
    connections: int = 0
    sent_bytes: int = 0  # forwarded, datagrams and streams


class Door(asyncio.DatagramProtocol):
    """The address at which `sender` reaches `receiver`. Owned by the relay."""

    def __init__(self, relay: Relay, sender: str, receiver: str, host: str) -> None:
        self._relay, self.sender, self.receiver, self.host = relay, sender, receiver, host
        self.port = 0
        self.counts = DoorCounts()
        self.splices: set[Splice] = set()
        self.bytes_per_s: float | None = None  # bytes per second; None: unlimited
        self._free_at_ms = 0.0  # when a slow link has sent all earlier bytes
        self._delayed: set[asyncio.TimerHandle] = set()
        self._udp: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Binds both sockets to one port, which the kernel chooses. Raises RelayError."""
        loop = asyncio.get_running_loop()
        for _ in range(MAX_BIND_ATTEMPTS):
            stream, datagram = (socket.socket(socket.AF_INET, kind) for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM))
            try:
                stream.bind((self.host, 0))
                datagram.bind(stream.getsockname())
                stream.listen(128)
            except OSError as error:
                stream.close()
                datagram.close()
                failure = error
                continue
            self.port = stream.getsockname()[1]
            stream.setblocking(False)
            datagram.setblocking(False)
            self._server = await loop.create_server(self._accept, sock=stream)
            transport, _ = await loop.create_datagram_endpoint(lambda: self, sock=datagram)
            self._udp = transport
            return
        raise RelayError(f"cannot bind {self.host} as the door from {self.sender} to {self.receiver}: {failure}")

    def sent_at_ms(self, now_ms: float, size: int) -> float:
        """Returns when the link has sent these bytes: `now_ms` if its rate is not limited."""
        if self.bytes_per_s is None:
            return now_ms
        self._free_at_ms = max(self._free_at_ms, now_ms) + size / self.bytes_per_s * 1000.0
        return self._free_at_ms

    # Datagrams

    def datagram_received(self, data: bytes, addr: object) -> None:
        relay, counts = self._relay, self.counts
        counts.datagrams += 1
        now_ms = relay.clock()
        delays_ms = (
            []
            if relay.is_partitioned(self.sender, self.receiver)
            else relay.plan.arrival_delays_ms(now_ms, self.sender, self.receiver, Carrier.DATAGRAM)
        )
        if not delays_ms:
            counts.lost += 1
            return
        counts.duplicated += len(delays_ms) - 1
        for delay in delays_ms:
            wait_ms = self.sent_at_ms(now_ms, len(data)) - now_ms + delay
            if wait_ms <= 0.0:
                self._send(data)
            elif len(self._delayed) >= MAX_DELAYED_DATAGRAMS:
                counts.dropped += 1
            else:
                self._send_later(wait_ms, data)

    def _send_later(self, wait_ms: float, data: bytes) -> None:
        def send_due() -> None:
            self._delayed.discard(timer)
            self._send(data)

        timer = asyncio.get_running_loop().call_later(wait_ms / 1000.0, send_due)
        self._delayed.add(timer)

    def _send(self, data: bytes) -> None:
        reverse_door = self._relay.door(self.receiver, self.sender)
        if reverse_door._udp is not None and not reverse_door._udp.is_closing():
            self.counts.sent_bytes += len(data)
            reverse_door._udp.sendto(data, self._relay.members[self.receiver])

    def error_received(self, exc: Exception) -> None:
        """Ignores that the receiving member is not there: the sender of a datagram receives no error."""

    # Streams

    def _accept(self) -> asyncio.Protocol:
        self.counts.connections += 1
        splice = Splice(self, self._relay.door(self.receiver, self.sender), self._relay)
        self.splices.add(splice)
        return splice.near

    def close(self) -> None:
        for timer in self._delayed:
            timer.cancel()
        self._delayed.clear()
        if self._udp is not None:
            self._udp.abort()
        if self._server is not None:
            self._server.close()
        for splice in list(self.splices):
            splice.reset()


class Relay:
    """Owns all doors between the members; `close` releases everything."""

    def __init__(
        self, members: Mapping[str, Address], plan: FaultPlan, clock: Callable[[], float] | None = None
    ) -> None:
        """`members`: their own addresses. `clock`: in ms, by default since now. Raises ValueError on too many."""
        if len(members) > MAX_MEMBERS:
            raise ValueError(f"{len(members)} members, at most {MAX_MEMBERS}")
        started_s = monotonic()
        self.members = dict(members)
        self.plan = plan
        self.clock = clock or (lambda: (monotonic() - started_s) * 1000.0)
        numbers = {name: number for number, name in enumerate(sorted(members), 1)}
        self.doors = {
            (sender, receiver): Door(
                self, sender, receiver, f"127.{LOOPBACK_NET}.{numbers[sender]}.{numbers[receiver]}"
            )
            for sender in members
            for receiver in members
            if sender != receiver
        }

    async def open(self) -> None:
        """Opens all doors. Raises RelayError after it has closed the open ones."""
        try:
            for door in self.doors.values():
                await door.open()
        except BaseException:
            self.close()
            raise

    def door(self, sender: str, receiver: str) -> Door:
        """Returns the door of an ordered pair."""
        return self.doors[sender, receiver]

    def addresses(self, name: str) -> dict[str, str]:
        """Returns the addresses at which this member reaches its peers: `host:port` by name."""
        return {
            receiver: f"{door.host}:{door.port}" for (sender, receiver), door in self.doors.items() if sender == name
        }

    def is_partitioned(self, sender: str, receiver: str) -> bool:
        """Whether the plan lets no message pass in this direction now."""
        return self.plan.is_partitioned(sender, receiver)

    def limit_rate(self, sender: str, receiver: str, bytes_per_s: float | None) -> None:
        """Limits the rate of one direction; None ends the limit. Raises ValueError on a rate that is not positive."""
        if bytes_per_s is not None and bytes_per_s <= 0:
            raise ValueError("bytes_per_s: expected more than 0")
        self.doors[sender, receiver].bytes_per_s = bytes_per_s

    def reset(self, member: str, peer: str) -> int:
        """Resets all streams between two members, as a middlebox that loses its state; returns their number."""
        splices = [splice for pair in ((member, peer), (peer, member)) for splice in self.doors[pair].splices]
        for splice in splices:
            splice.reset()
        return len(splices)

    def plan_changed(self) -> None:
        """Makes blocked streams check for the end of a partition now, after a change of the plan."""
        for door in self.doors.values():
            for splice in list(door.splices):
                splice.check_partition()

    def close(self) -> None:
        for door in self.doors.values():
            door.close()
