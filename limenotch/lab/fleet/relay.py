"""A relay between each ordered pair of members, UDP and TCP on loopback: the network of a test, with its faults.

Addresses. Members are numbered from 1 in order of their names. For each ordered pair (b -> a) there is a *door* at
`127.64.<b>.<a>:port`, one datagram socket and one listener: it is where b, and b alone, finds a. What comes in at that
door leaves for a's own address *from* the door of the reverse direction, `127.64.<a>.<b>`: so a sees as source the
address where a finds b, and its answer goes through the relay of (a -> b). A stream's source has that host and a port
of its own. No process learns another's own address, as long as its list of addresses is `Relay.addresses(name)`
(`[fleet.addresses]`, which goes before what others advertise of themselves). All of 127.0.0.0/8 is loopback on Linux;
elsewhere the relay can't bind.

What befalls a message is the plan's say, asked once for each message in the order of its ordered pair: a plan that
draws by a seed and a count for each pair (`weather.Weather` does) loses the same datagrams whatever the wall time does.
A datagram may be lost, late, doubled and out of order. A stream keeps its order: bytes "lost" come RESEND_MS later, as
a kernel would send them again; while the pair is cut nothing passes, neither bytes nor an end nor a reset, and nothing
is told to either side. Two things differ from a network: a cut pair's connection attempt is accepted and says nothing,
and a stream is asked about by the pieces in which the kernel gives it, so its lateness hangs on wall time.

Times are ms. Everything held is bounded: datagrams by count (more are dropped and counted), streams by bytes (more are
not read, as TCP's window would have it).
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

NET = 64  # second byte of the doors' addresses
MOST_MEMBERS = 250
MOST_HELD = 512  # datagrams on their way through one door
PORT_TRIES = 20


class Plan(Protocol):
    """`weather.Weather` is one."""

    def fate(self, now_ms: float, frm: str, to: str, carrier: Carrier) -> list[float]:
        """The delays in ms of the copies that arrive; none: the message is lost."""
        ...

    def is_cut(self, frm: str, to: str) -> bool:
        """Whether nothing at all passes in this direction now."""
        ...


class RelayError(Exception):
    """No door could be opened; the text says which."""


@dataclass(slots=True)
class Passed:
    """What one ordered pair's door saw."""

    datagrams: int = 0  # that came in
    lost: int = 0  # by the plan, cuts included
    doubled: int = 0
    over: int = 0  # dropped as MOST_HELD were on their way
    connections: int = 0
    sent_bytes: int = 0  # that went on, both carriers


class Door(asyncio.DatagramProtocol):
    """Where `frm` finds `to`. Owned by the relay."""

    def __init__(self, relay: Relay, frm: str, to: str, host: str) -> None:
        self._relay, self.frm, self.to, self.host = relay, frm, to, host
        self.port = 0
        self.passed = Passed()
        self.splices: set[Splice] = set()
        self.slow: float | None = None  # bytes a second
        self._free_at = 0.0  # when a slow link has sent all that is before
        self._held: set[asyncio.TimerHandle] = set()
        self._udp: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Both sockets at one port of the kernel's choice. Raises RelayError."""
        loop = asyncio.get_running_loop()
        for _ in range(PORT_TRIES):
            stream, datagram = (socket.socket(socket.AF_INET, kind) for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM))
            try:
                stream.bind((self.host, 0))
                datagram.bind(stream.getsockname())
                stream.listen(128)
            except OSError as error:
                stream.close()
                datagram.close()
                why = error
                continue
            self.port = stream.getsockname()[1]
            stream.setblocking(False)
            datagram.setblocking(False)
            self._server = await loop.create_server(self._accept, sock=stream)
            transport, _ = await loop.create_datagram_endpoint(lambda: self, sock=datagram)
            self._udp = transport
            return
        raise RelayError(f"no door at {self.host} for {self.frm} to {self.to}: {why}")

    def busy_until(self, now: float, size: int) -> float:
        """When a slow link has sent these bytes; at once on any other."""
        if self.slow is None:
            return now
        self._free_at = max(self._free_at, now) + size / self.slow * 1000.0
        return self._free_at

    # Datagrams

    def datagram_received(self, data: bytes, addr: object) -> None:
        relay, passed = self._relay, self.passed
        passed.datagrams += 1
        now = relay.clock()
        copies = [] if relay.cut(self.frm, self.to) else relay.plan.fate(now, self.frm, self.to, Carrier.DATAGRAM)
        if not copies:
            passed.lost += 1
            return
        passed.doubled += len(copies) - 1
        for delay in copies:
            wait = self.busy_until(now, len(data)) - now + delay
            if wait <= 0.0:
                self._send(data)
            elif len(self._held) >= MOST_HELD:
                passed.over += 1
            else:
                self._later(wait, data)

    def _later(self, wait: float, data: bytes) -> None:
        def due() -> None:
            self._held.discard(timer)
            self._send(data)

        timer = asyncio.get_running_loop().call_later(wait / 1000.0, due)
        self._held.add(timer)

    def _send(self, data: bytes) -> None:
        back = self._relay.door(self.to, self.frm)
        if back._udp is not None and not back._udp.is_closing():
            self.passed.sent_bytes += len(data)
            back._udp.sendto(data, self._relay.members[self.to])

    def error_received(self, exc: Exception) -> None:
        """The member that it went to is not there: UDP's sender hears nothing of that here."""

    # Streams

    def _accept(self) -> asyncio.Protocol:
        self.passed.connections += 1
        splice = Splice(self, self._relay.door(self.to, self.frm), self._relay)
        self.splices.add(splice)
        return splice.near

    def close(self) -> None:
        for timer in self._held:
            timer.cancel()
        self._held.clear()
        if self._udp is not None:
            self._udp.abort()
        if self._server is not None:
            self._server.close()
        for splice in list(self.splices):
            splice.reset()


class Relay:
    """Owns all doors between the members; `close` gives everything back."""

    def __init__(self, members: Mapping[str, Address], plan: Plan, clock: Callable[[], float] | None = None) -> None:
        """`members`: each one's own address. `clock` in ms, default: since now."""
        if len(members) > MOST_MEMBERS:
            raise ValueError(f"{len(members)} members, at most {MOST_MEMBERS}")
        began = monotonic()
        self.members = dict(members)
        self.plan = plan
        self.clock = clock or (lambda: (monotonic() - began) * 1000.0)
        numbers = {name: number for number, name in enumerate(sorted(members), 1)}
        self.doors = {
            (frm, to): Door(self, frm, to, f"127.{NET}.{numbers[frm]}.{numbers[to]}")
            for frm in members
            for to in members
            if frm != to
        }

    async def open(self) -> None:
        """Raises RelayError, with everything given back."""
        try:
            for door in self.doors.values():
                await door.open()
        except BaseException:
            self.close()
            raise

    def door(self, frm: str, to: str) -> Door:
        return self.doors[frm, to]

    def addresses(self, name: str) -> dict[str, str]:
        """Of all others, where this member finds them: `host:port` by name."""
        return {to: f"{door.host}:{door.port}" for (frm, to), door in self.doors.items() if frm == name}

    def cut(self, frm: str, to: str) -> bool:
        return self.plan.is_cut(frm, to)

    def slow(self, frm: str, to: str, bytes_per_s: float | None) -> None:
        """Hold one direction to a rate, or, with None, no longer."""
        if bytes_per_s is not None and bytes_per_s <= 0:
            raise ValueError("bytes_per_s: expected more than 0")
        self.doors[frm, to].slow = bytes_per_s

    def reset(self, one: str, other: str) -> int:
        """Break all streams between the two, whoever opened them, as a box between that forgets them; how many."""
        splices = [splice for pair in ((one, other), (other, one)) for splice in self.doors[pair].splices]
        for splice in splices:
            splice.reset()
        return len(splices)

    def changed(self) -> None:
        """The plan has changed: streams that were held look again at once, not at their next look."""
        for door in self.doors.values():
            for splice in list(door.splices):
                splice.look()

    def close(self) -> None:
        for door in self.doors.values():
            door.close()
