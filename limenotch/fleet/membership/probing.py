"""Probes: direct, then through relays and over a stream; a member that does not answer is suspected.

Source: SWIM (2002), 3.1 and 4.3 (round robin over a shuffled list); Lifeguard (2018) for nacks and scaled timeouts.

    probe        | becomes    | when                                     | then
    sent         | answered   | its ack arrived                          | health - 1
    sent         | indirect   | `timeout_ms`, scaled by health           | ping-req to k relays, ping over a stream
    indirect     | answered   | an ack arrived, from it or a relay       | health - 1
    indirect     | failed     | 3 x `timeout_ms`, scaled, since `sent`   | suspect it; raise health (see below)
    sent, indirect | dropped  | this process paused, the member left or has another process epoch | nothing

Health is a score of this process; a higher score is worse, and makes the timeouts longer. A failed probe raises
it unless most of the relays sent a nack.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from ..interfaces import Address, Carrier
from .context import Context
from .health import PROBE_ANSWERED, PROBE_UNCONFIRMED
from .messages import Ack, Nack, Ping, PingReq
from .states import FINAL

MAX_RELAYED_PROBES = 256  # probes under way as a relay
NACK_DELAY_TIMEOUTS = 0.8  # of `timeout_ms`


class Probe:
    """A probe under way."""

    __slots__ = ("nacks", "name", "process_epoch", "relays")

    def __init__(self, name: str, process_epoch: int) -> None:
        self.name, self.process_epoch = name, process_epoch
        self.relays: tuple[str, ...] = ()
        self.nacks: set[str] = set()


class RelayedProbe(NamedTuple):
    """A probe under way as a relay; `seq` is the origin's."""

    origin: str
    address: Address
    seq: int
    target: str


class Prober:
    """Sends probes, and relays those of peers. `on_failure` gets time and name of a member that did not answer."""

    def __init__(self, context: Context, on_failure: Callable[[float, str], None]) -> None:
        self.context = context
        self.on_failure = on_failure
        self.probes: dict[int, Probe] = {}
        self.seq_by_name: dict[str, int] = {}  # by name: the seq of the probe under way
        self.relayed_probes: dict[int, RelayedProbe] = {}
        self.remaining: list[str] = []  # names still to be probed in this round

    def start_probe(self, now: float) -> None:
        """Probe the next member."""
        name = self._next_target()
        if name is None:
            return
        context = self.context
        seq, probe = context.next_seq(), Probe(name, context.table[name].process_epoch)
        self.probes[seq] = probe
        self.seq_by_name[name] = seq
        context.send(context.address_of(name), self._make_ping(seq, name, now))
        context.timers.schedule(now + context.health.scale_ms(context.tuning.timeout_ms), ("indirect", seq))
        context.timers.schedule(now + context.health.scale_ms(3 * context.tuning.timeout_ms), ("failed", seq))

    def probe_indirectly(self, now: float, seq: int) -> None:
        """No ack within the timeout: probe through relays and over a stream."""
        context, probe = self.context, self.probes.get(seq)
        if probe is None or not self._is_current(probe):
            self._end_probe(seq)
            return
        address = context.table[probe.name].address
        probe.relays = tuple(context.table.sample(context.random, context.tuning.indirect, probe.name))
        for relay in probe.relays:
            context.send(
                context.address_of(relay), PingReq(seq, probe.name, address, context.sender, context.next_claims())
            )
        context.send(context.address_of(probe.name), self._make_ping(seq, probe.name, now), Carrier.STREAM)

    def end_unanswered(self, now: float, seq: int) -> None:
        """No ack at all: report the failure, and raise the health score if too few relays sent a nack."""
        probe = self.probes.get(seq)
        if probe is None:
            return
        self._end_probe(seq)
        if not self._is_current(probe):
            return
        if 2 * len(probe.nacks) <= len(probe.relays):
            self.context.health.adjust(PROBE_UNCONFIRMED)
        self.on_failure(now, probe.name)

    def handle_ack(self, sender: str, message: Ack) -> None:
        """An ack ends a probe; for a relayed probe it is forwarded to the origin."""
        context, probe = self.context, self.probes.get(message.seq)
        if probe is not None and probe.name == message.about and (sender == probe.name or sender in probe.relays):
            self._end_probe(message.seq)
            context.health.adjust(PROBE_ANSWERED)
            return
        relayed = self.relayed_probes.get(message.seq)
        if relayed is None or relayed.target != message.about or sender != relayed.target:
            context.count("ack of nothing")  # mostly a delayed one
            return
        self.end_relay(message.seq)
        context.send(relayed.address, Ack(relayed.seq, relayed.target, context.sender, context.next_claims()))

    def handle_nack(self, sender: str, message: Nack) -> None:
        """Record that a relay has no answer from the target yet; the nack shows that the path to the relay works."""
        probe = self.probes.get(message.seq)
        if probe is not None and probe.name == message.about and sender in probe.relays:
            probe.nacks.add(sender)

    def handle_ping_request(self, now: float, sender: str, message: PingReq) -> None:
        """Probe a target for another member; at most MAX_RELAYED_PROBES at a time."""
        context = self.context
        if len(self.relayed_probes) >= MAX_RELAYED_PROBES:
            context.count("too many ping-reqs")
            return
        seq = context.next_seq()
        self.relayed_probes[seq] = RelayedProbe(
            sender, context.send_address(sender, message.sender.address), message.seq, message.target
        )
        context.send(context.send_address(message.target, message.address), self._make_ping(seq, message.target, now))
        context.timers.schedule(now + NACK_DELAY_TIMEOUTS * context.tuning.timeout_ms, ("nack", seq))
        context.timers.schedule(now + 3 * context.tuning.timeout_ms, ("relayed", seq))

    def send_nack(self, seq: int) -> None:
        """The target of a relayed probe has not answered yet: tell its origin."""
        relayed, context = self.relayed_probes.get(seq), self.context
        if relayed is not None:
            context.send(relayed.address, Nack(relayed.seq, relayed.target, context.sender, context.next_claims()))

    def end_relay(self, seq: int) -> None:
        """Drop a relayed probe."""
        self.relayed_probes.pop(seq, None)
        self.context.timers.cancel(("nack", seq))
        self.context.timers.cancel(("relayed", seq))

    def cancel_all(self) -> None:
        """Drop all probes: what was under way before a pause proves nothing after it."""
        for seq in list(self.probes):
            self._end_probe(seq)
        for seq in list(self.relayed_probes):
            self.end_relay(seq)

    def send_ping(self, now: float, name: str, carrier: Carrier = Carrier.DATAGRAM) -> int:
        """Ping a member outside of probing, so that it receives the claims about it; gives the ping's seq."""
        seq = self.context.next_seq()
        self.context.send(self.context.address_of(name), self._make_ping(seq, name, now), carrier)
        return seq

    def _make_ping(self, seq: int, name: str, now: float) -> Ping:
        context = self.context
        return Ping(seq, name, context.sender, context.next_claims(context.contradiction(name, None, now)))

    def _is_current(self, probe: Probe) -> bool:
        known = self.context.table.get(probe.name)
        return known is not None and known.state not in FINAL and known.process_epoch == probe.process_epoch

    def _end_probe(self, seq: int) -> None:
        probe = self.probes.pop(seq, None)
        if probe is not None and self.seq_by_name.get(probe.name) == seq:
            del self.seq_by_name[probe.name]
        self.context.timers.cancel(("indirect", seq))
        self.context.timers.cancel(("failed", seq))

    def _next_target(self) -> str | None:
        """The next name, round robin over a shuffled list; members with a probe under way are skipped."""
        table = self.context.table
        for _ in range(2):
            skipped: list[str] = []
            target = None
            while self.remaining:
                name = self.remaining.pop()
                known = table.get(name)
                if known is None or known.state in FINAL:
                    continue
                if name not in self.seq_by_name:
                    target = name
                    break
                skipped.append(name)
            if target is not None:
                self.remaining += reversed(skipped)
                return target
            self.remaining = list(table.live)
            self.context.random.shuffle(self.remaining)
        self.remaining = []
        return None

    def add_target(self, name: str) -> None:
        """Insert a new member at a random position of this round (SWIM 4.3)."""
        self.remaining.insert(self.context.random.randrange(len(self.remaining) + 1), name)
