"""All faults in force now, and what becomes of each message under them. No I/O, no clock; chance is a seed.

Every way (one node to another, by one carrier) has chances of its own, so what happens on it does not hang on
what the others send: relays in several processes and the simulated world come to like fates from one plan and seed.
"""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32

from limenotch.fleet.interfaces import Carrier
from limenotch.lab.fleet.faults import Ask, Chance, Clock, Cut, Delay, Disk, Doing, Fault, Heal, Slow, Way

HELD_BACK_MS = 50.0  # of a datagram that `reorder` meets: those sent less than this after it pass it
TRY_AGAIN_MS = 200.0  # a stream's lost segment: wait for the next try, then twice that, ... (RFC 6298; Linux's least)
MOST_TRIES = 6
_MASK = (1 << 64) - 1


class Weather:
    """`plan` is faults by time: those due act before the next question (`advance`). Without one, call `apply`."""

    def __init__(
        self, seed: int = 0, plan: Iterable[tuple[float, Fault]] = (), *, delay: tuple[float, float] = (0.0, 0.0)
    ) -> None:
        self.seed = seed
        self.usual = delay
        self.plan = sorted(plan, key=lambda one: one[0])
        self.done = 0  # of the plan
        self.cuts: set[tuple[str, str]] = set()  # ways
        self.muted: set[str] = set()
        self.paused: set[str] = set()
        self.dead: set[str] = set()
        self.disks: dict[str, Disk] = {}
        self.clocks: dict[str, float] = {}  # name: all steps of its wall clock, ms
        self.slow: dict[tuple[str, str], float] = {}
        self.delays: dict[tuple[str, str], tuple[float, float]] = {}
        self.overall: dict[str, float] = {"loss": 0.0, "double": 0.0, "reorder": 0.0}  # shares, 0 to 1
        self.chances: dict[str, dict[tuple[str, str], float]] = {"loss": {}, "double": {}, "reorder": {}}
        self._dice: dict[tuple[str, str, Carrier], int] = {}
        self._calm = True  # nothing in force that a message could meet: one delay for all
        self._look()

    def advance(self, now: float) -> list[Fault]:
        """Lets all of the plan that is due by `now` act; gives what did, for whoever must also kill or pause."""
        acted = []
        while self.done < len(self.plan) and self.plan[self.done][0] <= now:
            acted.append(self.plan[self.done][1])
            self.done += 1
            self.apply(acted[-1])
        return acted

    def apply(self, fault: Fault) -> None:
        if isinstance(fault, Cut):
            for number, side in enumerate(fault.sides):
                for other in fault.sides[number + 1 :]:
                    for one in side:
                        for two in other:
                            self.cuts.add((one, two))
                            if not fault.one_way:
                                self.cuts.add((two, one))
        elif isinstance(fault, Heal):
            self.cuts.clear()
            self.muted.clear()
            self.slow.clear()
        elif isinstance(fault, Chance):
            share = fault.percent / 100
            if fault.way is None:
                self.overall[fault.kind] = share
                self.chances[fault.kind].clear()
            else:
                self.chances[fault.kind].update(dict.fromkeys(_links(fault.way), share))
        elif isinstance(fault, Delay):
            if fault.way is None:
                self.usual = (fault.low, fault.high)
                self.delays.clear()
            else:
                self.delays.update(dict.fromkeys(_links(fault.way), (fault.low, fault.high)))
        elif isinstance(fault, Slow):
            self.slow.update(dict.fromkeys(_links(fault.way), fault.ms))
        elif isinstance(fault, Doing):
            self._doing(fault)
        elif isinstance(fault, Disk):
            self.disks[fault.node] = fault
        elif isinstance(fault, Clock):
            self.clocks[fault.node] = self.clocks.get(fault.node, 0.0) + fault.step_ms
        elif not isinstance(fault, Ask):
            raise TypeError(f"no fault: {fault!r}")
        self._look()

    def is_cut(self, frm: str, to: str) -> bool:
        return frm in self.muted or (frm, to) in self.cuts

    def fate(self, now: float, frm: str, to: str, carrier: Carrier = Carrier.DATAGRAM) -> list[float]:
        """ms until it arrives: none if it is lost, two if doubled.

        A stream loses and doubles nothing: loss makes it late. None there means: cut, for the host to keep until it
        heals. Who is paused or dead does not matter here; the host knows when it arrives.
        """
        if self.done < len(self.plan):
            self.advance(now)
        if self._calm:
            return [self.usual[0]]
        way = (frm, to)
        if frm in self.muted or way in self.cuts:
            return []
        key = (frm, to, carrier)
        loss = self.chances["loss"].get(way, self.overall["loss"])
        delay = self._delay(way, key)
        if carrier is Carrier.STREAM:
            if loss:
                wait = TRY_AGAIN_MS
                for _ in range(MOST_TRIES):
                    if self._chance(key) >= loss:
                        break
                    delay += wait
                    wait *= 2
            return [delay]
        if loss and self._chance(key) < loss:
            return []
        share = self.chances["reorder"].get(way, self.overall["reorder"])
        if share and self._chance(key) < share:
            delay += HELD_BACK_MS
        share = self.chances["double"].get(way, self.overall["double"])
        if share and self._chance(key) < share:
            return [delay, self._delay(way, key)]
        return [delay]

    def _delay(self, way: tuple[str, str], key: tuple[str, str, Carrier]) -> float:
        low, high = self.delays.get(way, self.usual)
        delay = low if low == high else low + (high - low) * self._chance(key)
        return delay + self.slow[way] if way in self.slow else delay

    def _chance(self, key: tuple[str, str, Carrier]) -> float:
        """From 0 to below 1: SplitMix64 (Steele, Lea, Flood 2014), a state a way. `Random` takes 2.5 kB for each."""
        state = self._dice.get(key)
        if state is None:
            text = f"{self.seed} {key[0]} > {key[1]} {key[2].value}".encode()
            state = crc32(text) << 32 | crc32(text[::-1])
        state = self._dice[key] = (state + 0x9E3779B97F4A7C15) & _MASK
        mixed = ((state ^ (state >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
        mixed = ((mixed ^ (mixed >> 27)) * 0x94D049BB133111EB) & _MASK
        return ((mixed ^ (mixed >> 31)) >> 11) / (1 << 53)

    def _doing(self, fault: Doing) -> None:
        for node in fault.nodes:
            if fault.what == "pause":
                if node not in self.dead:
                    self.paused.add(node)
            elif fault.what == "wake":
                self.paused.discard(node)
            elif fault.what == "mute":
                self.muted.add(node)
            elif fault.what == "start":
                self.dead.discard(node)
            else:
                self.dead.add(node)
                self.paused.discard(node)

    def _look(self) -> None:
        chancy = any(self.overall.values()) or any(self.chances.values())
        self._calm = not (self.cuts or self.muted or self.slow or self.delays or chancy) and (
            self.usual[0] == self.usual[1]
        )


def _links(way: Way) -> list[tuple[str, str]]:
    return [(frm, to) for frm in way.frm for to in way.to]
