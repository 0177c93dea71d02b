"""Whether somebody answers: straight, else through others and over a stream, else it is suspected.

Source: SWIM (2002), 3.1 and 4.3 (round robin over a shuffled list); Lifeguard (2018) for nacks and scaled timeouts.

    probe        | becomes    | when                                     | then
    sent         | answered   | its ack came                             | health - 1
    sent         | indirect   | `timeout_ms`, scaled by health           | ping-req to k others, ping over a stream
    indirect     | answered   | an ack came, from it or a relay          | health - 1
    indirect     | failed     | three times `timeout_ms`, scaled         | suspect it; health by the relays' nacks
    sent, indirect | dropped  | we were paused, it left, or has another life | nothing
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from ..interfaces import Address, Carrier
from .context import Ground
from .health import ANSWERED, UNHEARD
from .messages import Ack, Nack, Ping, PingReq
from .states import FINAL

MOST_RELAYED = 256  # probes under way for others
NACK_AT = 0.8  # of the timeout


class Flight:
    __slots__ = ("asked", "nacks", "name", "process_epoch")

    def __init__(self, name: str, process_epoch: int) -> None:
        self.name, self.process_epoch = name, process_epoch
        self.asked: tuple[str, ...] = ()
        self.nacks: set[str] = set()


class Relayed(NamedTuple):
    origin: str
    address: Address
    seq: int
    target: str


class Prober:
    def __init__(self, ground: Ground, failed: Callable[[float, str], None]) -> None:
        self.ground = ground
        self.failed = failed
        self.flights: dict[int, Flight] = {}
        self.probed: dict[str, int] = {}  # name: the seq under way
        self.relayed: dict[int, Relayed] = {}
        self.ring: list[str] = []  # who is still to be probed in this round

    def tick(self, now: float) -> None:
        name = self._next()
        if name is None:
            return
        ground = self.ground
        seq, flight = ground.seq(), Flight(name, ground.table[name].process_epoch)
        self.flights[seq] = flight
        self.probed[name] = seq
        ground.say(ground.at_of(name), self._ping(seq, name, now))
        ground.agenda.at(now + ground.health.scale(ground.tuning.timeout_ms), ("indirect", seq))
        ground.agenda.at(now + ground.health.scale(3 * ground.tuning.timeout_ms), ("failed", seq))

    def indirect(self, now: float, seq: int) -> None:
        ground, flight = self.ground, self.flights.get(seq)
        if flight is None or not self._stands(flight):
            self._end(seq)
            return
        address = ground.table[flight.name].address
        flight.asked = tuple(ground.table.some(ground.random, ground.tuning.indirect, flight.name))
        for relay in flight.asked:
            ground.say(ground.at_of(relay), PingReq(seq, flight.name, address, ground.me, ground.news()))
        ground.say(ground.at_of(flight.name), self._ping(seq, flight.name, now), Carrier.STREAM)

    def fail(self, now: float, seq: int) -> None:
        flight = self.flights.get(seq)
        if flight is None:
            return
        self._end(seq)
        if not self._stands(flight):
            return
        if 2 * len(flight.nacks) <= len(flight.asked):
            self.ground.health.note(UNHEARD)
        self.failed(now, flight.name)

    def ack(self, sender: str, message: Ack) -> None:
        ground, flight = self.ground, self.flights.get(message.seq)
        if flight is not None and flight.name == message.about and (sender == flight.name or sender in flight.asked):
            self._end(message.seq)
            ground.health.note(ANSWERED)
            return
        relayed = self.relayed.get(message.seq)
        if relayed is None or relayed.target != message.about or sender != relayed.target:
            ground.count("ack of nothing")  # late, mostly
            return
        self.unrelay(message.seq)
        ground.say(relayed.address, Ack(relayed.seq, relayed.target, ground.me, ground.news()))

    def nack(self, sender: str, message: Nack) -> None:
        flight = self.flights.get(message.seq)
        if flight is not None and flight.name == message.about and sender in flight.asked:
            flight.nacks.add(sender)

    def asked(self, now: float, sender: str, message: PingReq) -> None:
        ground = self.ground
        if len(self.relayed) >= MOST_RELAYED:
            ground.count("too many ping-reqs")
            return
        seq = ground.seq()
        self.relayed[seq] = Relayed(sender, ground.where(sender, message.me.address), message.seq, message.target)
        ground.say(ground.where(message.target, message.address), self._ping(seq, message.target, now))
        ground.agenda.at(now + NACK_AT * ground.tuning.timeout_ms, ("nack", seq))
        ground.agenda.at(now + 3 * ground.tuning.timeout_ms, ("relayed", seq))

    def say_nack(self, seq: int) -> None:
        relayed, ground = self.relayed.get(seq), self.ground
        if relayed is not None:
            ground.say(relayed.address, Nack(relayed.seq, relayed.target, ground.me, ground.news()))

    def unrelay(self, seq: int) -> None:
        self.relayed.pop(seq, None)
        self.ground.agenda.drop(("nack", seq))
        self.ground.agenda.drop(("relayed", seq))

    def drop_all(self) -> None:
        """What was under way before a pause proves nothing after it."""
        for seq in list(self.flights):
            self._end(seq)
        for seq in list(self.relayed):
            self.unrelay(seq)

    def knock(self, now: float, name: str, carrier: Carrier = Carrier.DATAGRAM) -> int:
        """So that it hears what is held of it; no answer proves anything. Gives the seq an answer would bear."""
        seq = self.ground.seq()
        self.ground.say(self.ground.at_of(name), self._ping(seq, name, now), carrier)
        return seq

    def _ping(self, seq: int, name: str, now: float) -> Ping:
        ground = self.ground
        return Ping(seq, name, ground.me, ground.news(ground.against(name, None, now)))

    def _stands(self, flight: Flight) -> bool:
        held = self.ground.table.get(flight.name)
        return held is not None and held.state not in FINAL and held.process_epoch == flight.process_epoch

    def _end(self, seq: int) -> None:
        flight = self.flights.pop(seq, None)
        if flight is not None and self.probed.get(flight.name) == seq:
            del self.probed[flight.name]
        self.ground.agenda.drop(("indirect", seq))
        self.ground.agenda.drop(("failed", seq))

    def _next(self) -> str | None:
        """Round robin over a shuffled list; who is being probed already is passed over."""
        table = self.ground.table
        for _ in range(2):
            passed: list[str] = []
            chosen = None
            while self.ring:
                name = self.ring.pop()
                held = table.get(name)
                if held is None or held.state in FINAL:
                    continue
                if name not in self.probed:
                    chosen = name
                    break
                passed.append(name)
            if chosen is not None:
                self.ring += reversed(passed)
                return chosen
            self.ring = list(table.live)
            self.ground.random.shuffle(self.ring)
        self.ring = []
        return None

    def welcome(self, name: str) -> None:
        """A new one takes a place in this round by chance (SWIM 4.3)."""
        self.ring.insert(self.ground.random.randrange(len(self.ring) + 1), name)
