"""The faults in force now, and the delivery or loss of each message under them.

The module does no I/O and reads no clock; its random numbers follow from a seed. Every directed link (one node to
another, by one carrier) has a random sequence of its own, so the traffic of other links does not change its outcomes:
relays in several processes and the simulated world derive the same outcomes from one schedule and one seed.
"""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32

from limenotch.fleet.interfaces import Carrier
from limenotch.lab.fleet.faults import (
    ClockStep,
    DatagramFault,
    Delay,
    DirectedLinks,
    DiskState,
    ExtraDelay,
    Fault,
    Heal,
    NodeAction,
    Partition,
    ScriptedRequest,
)

REORDER_DELAY_MS = 50.0  # extra delay of a datagram under `reorder`: those sent less than this after it overtake it
RETRANSMIT_TIMEOUT_MS = 200.0  # first retransmission of a lost segment, then doubled (RFC 6298; Linux's minimum)
MAX_RETRANSMISSIONS = 6
_MASK = (1 << 64) - 1


class NetworkConditions:
    """The faults in force. Those of `schedule`, (ms, fault) pairs, act when `now_ms` reaches their time.

    Without a schedule, the owner calls `apply`. `delay_ms` is the range of a message's delay.
    """

    def __init__(
        self, seed: int = 0, schedule: Iterable[tuple[float, Fault]] = (), *, delay_ms: tuple[float, float] = (0.0, 0.0)
    ) -> None:
        self.seed = seed
        self.default_delay_ms = delay_ms
        self.schedule = sorted(schedule, key=lambda entry: entry[0])
        self.applied_count = 0  # number of schedule entries
        self.blocked_links: set[tuple[str, str]] = set()  # (sender, receiver)
        self.muted: set[str] = set()
        self.paused: set[str] = set()
        self.dead: set[str] = set()
        self.disks: dict[str, DiskState] = {}
        self.clock_steps_ms: dict[str, float] = {}  # name: sum of the steps of its wall clock
        self.extra_delays_ms: dict[tuple[str, str], float] = {}
        self.link_delays_ms: dict[tuple[str, str], tuple[float, float]] = {}
        self.default_shares: dict[str, float] = {
            "loss": 0.0,
            "double": 0.0,
            "reorder": 0.0,
        }  # from 0 to 1, for links without a share of their own
        self.link_shares: dict[str, dict[tuple[str, str], float]] = {"loss": {}, "double": {}, "reorder": {}}
        self._random_states: dict[tuple[str, str, Carrier], int] = {}
        self._constant_delay = True  # no fault affects messages: all have one constant delay
        self._update_constant_delay()

    def apply_due(self, now_ms: float) -> list[Fault]:
        """Applies the scheduled faults that are due by `now_ms` and returns them.

        The caller kills or pauses the processes that they name.
        """
        applied = []
        while self.applied_count < len(self.schedule) and self.schedule[self.applied_count][0] <= now_ms:
            applied.append(self.schedule[self.applied_count][1])
            self.applied_count += 1
            self.apply(applied[-1])
        return applied

    def apply(self, fault: Fault) -> None:
        """Puts the fault in force now. Raises TypeError if it is not a fault."""
        if isinstance(fault, Partition):
            for index, side in enumerate(fault.sides):
                for other_side in fault.sides[index + 1 :]:
                    for member in side:
                        for other_member in other_side:
                            self.blocked_links.add((member, other_member))
                            if not fault.one_way:
                                self.blocked_links.add((other_member, member))
        elif isinstance(fault, Heal):
            self.blocked_links.clear()
            self.muted.clear()
            self.extra_delays_ms.clear()
        elif isinstance(fault, DatagramFault):
            share = fault.percent / 100
            if fault.links is None:
                self.default_shares[fault.kind] = share
                self.link_shares[fault.kind].clear()
            else:
                self.link_shares[fault.kind].update(dict.fromkeys(_link_pairs(fault.links), share))
        elif isinstance(fault, Delay):
            if fault.links is None:
                self.default_delay_ms = (fault.low_ms, fault.high_ms)
                self.link_delays_ms.clear()
            else:
                self.link_delays_ms.update(dict.fromkeys(_link_pairs(fault.links), (fault.low_ms, fault.high_ms)))
        elif isinstance(fault, ExtraDelay):
            self.extra_delays_ms.update(dict.fromkeys(_link_pairs(fault.links), fault.extra_ms))
        elif isinstance(fault, NodeAction):
            self._apply_node_action(fault)
        elif isinstance(fault, DiskState):
            self.disks[fault.node] = fault
        elif isinstance(fault, ClockStep):
            self.clock_steps_ms[fault.node] = self.clock_steps_ms.get(fault.node, 0.0) + fault.step_ms
        elif not isinstance(fault, ScriptedRequest):
            raise TypeError(f"not a fault: {fault!r}")
        self._update_constant_delay()

    def is_partitioned(self, sender: str, receiver: str) -> bool:
        """Whether no message passes from `sender` to `receiver` now."""
        return sender in self.muted or (sender, receiver) in self.blocked_links

    def arrival_delays_ms(
        self, now_ms: float, sender: str, receiver: str, carrier: Carrier = Carrier.DATAGRAM
    ) -> list[float]:
        """Returns the delay of each copy of a message that arrives: empty if it is lost, two if duplicated.

        A stream neither loses nor duplicates messages: loss delays them. An empty list for a stream means that the link
        is partitioned, and the host keeps the message until the partition heals. Paused and dead receivers are ignored
        here; the host checks them on arrival.
        """
        if self.applied_count < len(self.schedule):
            self.apply_due(now_ms)
        if self._constant_delay:
            return [self.default_delay_ms[0]]
        link = (sender, receiver)
        if sender in self.muted or link in self.blocked_links:
            return []
        key = (sender, receiver, carrier)
        loss = self.link_shares["loss"].get(link, self.default_shares["loss"])
        delay_ms = self._random_delay_ms(link, key)
        if carrier is Carrier.STREAM:
            if loss:
                timeout_ms = RETRANSMIT_TIMEOUT_MS
                for _ in range(MAX_RETRANSMISSIONS):
                    if self._random_share(key) >= loss:
                        break
                    delay_ms += timeout_ms
                    timeout_ms *= 2
            return [delay_ms]
        if loss and self._random_share(key) < loss:
            return []
        share = self.link_shares["reorder"].get(link, self.default_shares["reorder"])
        if share and self._random_share(key) < share:
            delay_ms += REORDER_DELAY_MS
        share = self.link_shares["double"].get(link, self.default_shares["double"])
        if share and self._random_share(key) < share:
            return [delay_ms, self._random_delay_ms(link, key)]
        return [delay_ms]

    def _random_delay_ms(self, link: tuple[str, str], key: tuple[str, str, Carrier]) -> float:
        low_ms, high_ms = self.link_delays_ms.get(link, self.default_delay_ms)
        delay_ms = low_ms if low_ms == high_ms else low_ms + (high_ms - low_ms) * self._random_share(key)
        return delay_ms + self.extra_delays_ms[link] if link in self.extra_delays_ms else delay_ms

    def _random_share(self, key: tuple[str, str, Carrier]) -> float:
        """SplitMix64 (Steele, Lea, Flood 2014) in [0, 1), one state per link; a `Random` would take 2.5 kB each."""
        state = self._random_states.get(key)
        if state is None:
            text = f"{self.seed} {key[0]} > {key[1]} {key[2].value}".encode()
            state = crc32(text) << 32 | crc32(text[::-1])
        state = self._random_states[key] = (state + 0x9E3779B97F4A7C15) & _MASK
        mixed = ((state ^ (state >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
        mixed = ((mixed ^ (mixed >> 27)) * 0x94D049BB133111EB) & _MASK
        return ((mixed ^ (mixed >> 31)) >> 11) / (1 << 53)

    def _apply_node_action(self, fault: NodeAction) -> None:
        for node in fault.nodes:
            if fault.action == "pause":
                if node not in self.dead:
                    self.paused.add(node)
            elif fault.action == "wake":
                self.paused.discard(node)
            elif fault.action == "mute":
                self.muted.add(node)
            elif fault.action == "start":
                self.dead.discard(node)
            else:
                self.dead.add(node)
                self.paused.discard(node)

    def _update_constant_delay(self) -> None:
        has_datagram_faults = any(self.default_shares.values()) or any(self.link_shares.values())
        self._constant_delay = not (
            self.blocked_links or self.muted or self.extra_delays_ms or self.link_delays_ms or has_datagram_faults
        ) and (self.default_delay_ms[0] == self.default_delay_ms[1])


def _link_pairs(links: DirectedLinks) -> list[tuple[str, str]]:
    return [(sender, receiver) for sender in links.senders for receiver in links.receivers]
