"""Membership: SWIM with Lifeguard's refinements, without I/O, a clock or randomness of its own.

Sources: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol"
(2002); Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (2018).
Written from the papers. Added: process epochs and fencing, processes of one name (`self_member`), and pings to dead
members, so that the group reunites after a network partition.

- States and precedence of claims: `states`. Probes: `probing`. This process: `self_member`. Suspicions: `suspicion`.
- A sender that is considered less than it claims (suspect, dead, of an older process epoch) receives that in the reply.
- A timer that fires late by more than `timeout_ms` means a pause: the health score rises, probes under way are dropped,
  every suspicion starts again, and nobody is probed until a message arrives or a period is over.
- Shortly before a suspicion can expire this process pings the suspect itself once more: claims are forwarded a limited
  number of times, so now and then one member of many does not receive a refutation.
- Periodically one dead member is pinged, and one seed that is not alive is sent a request for its table.
- A process that left does and answers nothing. Invalid content is counted (`counts`) and changes nothing.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from ..interfaces import Action, Address, Carrier, MessageReceived, SetTimer, ShutdownStarted, Started, TimerFired
from .context import Context, Phase
from .member_states import MemberStates
from .messages import (
    ALIVE,
    MAX_CLAIMS,
    Ack,
    Claim,
    Gossip,
    MembershipMessage,
    Nack,
    Ping,
    PingReq,
    SenderInfo,
    TableRequest,
    TableResponse,
    is_valid_claim,
    is_valid_sender,
)
from .probing import Prober
from .self_member import OwnMember
from .states import State
from .tuning import Tuning

TIMER_TOKEN = 1  # one timer at a time is in use
MAX_RECONNECT_PINGS = 16


class MemberView(NamedTuple):
    """A member as this process sees it; `since_ms` of the host's clock."""

    name: str
    state: State
    incarnation: int
    process_epoch: int
    address: Address
    since_ms: float


class Membership:
    """`process_epoch` should be higher than that of any earlier process of this name (e.g. ms of the wall clock); if it
    is not, it is raised. `addresses`: by name, where to send instead of a member's advertised address (a laboratory's
    relays)."""

    def __init__(
        self,
        name: str,
        address: Address,
        process_epoch: int,
        seeds: Iterable[Address],
        tuning: Tuning,
        seed: int,
        addresses: Mapping[str, Address] | None = None,
    ) -> None:
        if not is_valid_claim(Claim(name, 0, address, process_epoch, 0)):
            raise ValueError(f"invalid name {name!r}, address {address} or process epoch {process_epoch}")
        self.context = Context(name, address, process_epoch, seeds, tuning, seed, addresses or {})
        self.own_member = OwnMember(self.context, self._on_joined)
        self.prober = Prober(self.context, lambda now, name: self.peers.probe_failed(now, name))
        self.peers = MemberStates(self.context, self.own_member, self.prober)
        self._now = float("-inf")
        self._joined_ms = 0.0
        self._reconnect_pings: dict[int, str] = {}
        self._last_gossip_ms = float("-inf")
        self._no_probes_until_ms = float("-inf")  # after a pause: no member is probed before

    # State for the other components and operators

    @property
    def name(self) -> str:
        """The name of this process in the fleet."""
        return self.context.name

    @property
    def process_epoch(self) -> int:
        """Its process epoch; a fence raises it."""
        return self.context.process_epoch

    @property
    def phase(self) -> Phase:
        """Its phase as a member."""
        return self.context.phase

    @property
    def is_active(self) -> bool:
        """Whether this process may hold leases under its name."""
        return self.context.phase is Phase.ACTIVE

    def size(self) -> int:
        """Number of members alive or suspect, this process included if active."""
        return len(self.context.table.live) + self.is_active

    def members(self) -> list[MemberView]:
        """All known members, this process first if active."""
        context = self.context
        own = MemberView(
            context.name, State.ALIVE, context.incarnation, context.process_epoch, context.address, self._joined_ms
        )
        return [own] * self.is_active + [
            MemberView(m.name, m.state, m.incarnation, m.process_epoch, m.address, m.since_ms) for m in context.table
        ]

    def address_of(self, name: str) -> Address | None:
        """Where to send: the address in the settings, else the advertised one; None if the name is unknown."""
        return self.context.address_of(name) if self.context.table.get(name) is not None else None

    def status(self) -> dict[str, Any]:
        """For operators: numbers of members by state, of rejected messages, and the health score (0 is healthy)."""
        context = self.context
        states = {state.value: 0 for state in State}
        for member in context.table:
            states[member.state.value] += 1
        return {
            "phase": context.phase.value,
            "life": context.process_epoch,
            "incarnation": context.incarnation,
            **states,
            "health": context.health.score,
            "queued": len(context.gossip_queue),
            "probing": len(self.prober.probes),
            "counts": dict(context.counts),
        }

    # Events

    def handle(self, now: float, event: Any) -> list[Action]:
        """Raises TypeError on an event that is not membership's, ValueError if `now` runs backwards."""
        if now < self._now:
            raise ValueError(f"time runs backwards from {self._now} to {now}")
        context, started = self.context, self._now > float("-inf")
        self._now = now
        if isinstance(event, Started):
            self.own_member.start(now)
        elif not isinstance(event, (MessageReceived, TimerFired, ShutdownStarted)):
            raise TypeError(f"not an event of membership: {event!r}")
        elif context.phase is Phase.LEFT or not started:
            return []
        else:
            next_due_ms = context.timers.next_due_ms()
            if next_due_ms is not None and now - next_due_ms > context.tuning.timeout_ms:
                self._resume_after_pause(now, now - next_due_ms)
            if isinstance(event, MessageReceived):
                self._receive(now, event)
            elif isinstance(event, ShutdownStarted):
                self._leave(now)
            else:
                context.timers.timer_fired(now)
        if context.phase is not Phase.LEFT:
            self._run_due(now)
            if len(context.gossip_queue) and context.phase is Phase.ACTIVE and ("gossip", "") not in context.timers:
                # The first claim of a quiet time goes at once: waiting at each hop is what delayed gossip.
                context.timers.schedule(max(now, self._last_gossip_ms + context.tuning.gossip_ms), ("gossip", ""))
            timer_ms = context.timers.timer_to_set()
            if timer_ms is not None:
                context.actions.append(SetTimer(timer_ms, TIMER_TOKEN))
        actions, context.actions = context.actions, []
        return actions

    def _run_due(self, now: float) -> None:
        timers = self.context.timers
        while (key := timers.pop_due(now)) is not None:
            action, target = key
            if isinstance(target, int):
                {
                    "indirect": self.prober.probe_indirectly,
                    "failed": self.prober.end_unanswered,
                    "nack": self._nack_due,
                    "relayed": self._relay_due,
                }[action](now, target)
            else:
                {
                    "probe": self._probe_due,
                    "gossip": self._gossip_due,
                    "suspect": self.peers.suspicion_due,
                    "ask": self.peers.ping_suspect,
                    "own": self._own_due,
                    "tables": self._tables_due,
                    "reconnect": self._reconnect_due,
                    "forget": self.peers.forget_due,
                }[action](now, target)

    def _on_joined(self, now: float) -> None:
        """This process became active: start probing, and send the table to the seeds."""
        context, tuning = self.context, self.context.tuning
        self._joined_ms = now
        for address in context.seeds:
            context.send(address, TableRequest(context.sender, context.all_claims(now)), Carrier.STREAM)
        fraction = context.random.random
        context.timers.schedule(now + fraction() * self._probe_interval_ms, ("probe", ""))
        context.timers.schedule(now + fraction() * tuning.reconnect * tuning.period_ms, ("reconnect", ""))
        context.timers.schedule(now + (0.5 + fraction()) * tuning.push_pull_ms(context.size), ("tables", ""))

    @property
    def _probe_interval_ms(self) -> float:
        return self.context.tuning.period_ms / self.context.tuning.probes

    def _probe_due(self, now: float, _: str) -> None:
        context = self.context
        if context.phase is not Phase.ACTIVE:
            return
        if now >= self._no_probes_until_ms:
            self.prober.start_probe(now)
        context.timers.schedule(now + self._probe_interval_ms, ("probe", ""))

    def _gossip_due(self, now: float, _: str) -> None:
        context = self.context
        if context.phase is not Phase.ACTIVE:
            return
        self._last_gossip_ms = now
        for name in context.table.sample(context.random, context.tuning.fanout):
            claims = context.next_claims(context.contradiction(name, None, now))
            if not claims:
                break
            context.send(context.address_of(name), Gossip(context.sender, claims))

    def _tables_due(self, now: float, _: str) -> None:
        context = self.context
        if context.phase is not Phase.ACTIVE:
            return
        for name in context.table.sample(context.random, 1):
            context.send(
                context.address_of(name), TableRequest(context.sender, context.all_claims(now)), Carrier.STREAM
            )
        context.timers.schedule(now + context.tuning.push_pull_ms(context.size), ("tables", ""))

    def _reconnect_due(self, now: float, _: str) -> None:
        """Dead members may be behind a network partition that has healed; so may seeds that never answered."""
        context, tuning = self.context, self.context.tuning
        if context.phase is not Phase.ACTIVE:
            return
        dead = context.table.names_in(State.DEAD)
        if dead:
            name = context.random.choice(dead)
            if len(self._reconnect_pings) >= MAX_RECONNECT_PINGS:
                del self._reconnect_pings[next(iter(self._reconnect_pings))]
            self._reconnect_pings[self.prober.send_ping(now, name)] = name
        alive = {context.table[name].address for name in context.table.live}
        unreached = [address for address in context.seeds if address not in alive]
        if unreached:
            context.send(
                context.random.choice(unreached), TableRequest(context.sender, context.all_claims(now)), Carrier.STREAM
            )
        periods = tuning.reconnect if context.table.live else 1.0  # sooner if alone
        context.timers.schedule(now + periods * tuning.period_ms, ("reconnect", ""))

    def _nack_due(self, now: float, seq: int) -> None:
        self.prober.send_nack(seq)

    def _relay_due(self, now: float, seq: int) -> None:
        self.prober.end_relay(seq)

    def _own_due(self, now: float, _: str) -> None:
        self.own_member.period_due(now)

    def _resume_after_pause(self, now: float, late_ms: float) -> None:
        context = self.context
        context.health.on_pause(late_ms, context.tuning.period_ms)
        self.prober.cancel_all()
        self.peers.restart_suspicions(now)
        if context.phase is Phase.ACTIVE and late_ms > context.tuning.period_ms:
            self._no_probes_until_ms = now + context.tuning.period_ms
            for name in context.table.sample(context.random, context.tuning.fanout):
                context.send(
                    context.address_of(name), TableRequest(context.sender, context.all_claims(now)), Carrier.STREAM
                )

    def _leave(self, now: float) -> None:
        context = self.context
        if context.phase is Phase.ACTIVE:
            claims = (context.own_claim(State.LEFT),)
            targets = context.table.sample(context.random, 2 * context.tuning.sends(context.size))
            for index, name in enumerate(targets):
                context.send(context.address_of(name), Gossip(context.sender, claims))
                if index < context.tuning.fanout:
                    context.send(context.address_of(name), Gossip(context.sender, claims), Carrier.STREAM)
            context.report_own_state(State.LEFT)
        context.phase = Phase.LEFT

    # Messages

    def _receive(self, now: float, event: MessageReceived) -> None:
        context, message = self.context, event.message
        if not isinstance(message, MembershipMessage):
            context.count("not of membership")
            return
        claims = message.members if isinstance(message, (TableRequest, TableResponse)) else message.claims
        max_claims = context.tuning.most_members if isinstance(message, (TableRequest, TableResponse)) else MAX_CLAIMS
        if not is_valid_sender(message.sender) or len(claims) > max_claims:
            context.count("unsound message")
            return
        if event.sender == context.name:
            self._receive_from_namesake(now, message)
            return
        if context.phase is Phase.JOINING:
            self._receive_while_joining(now, event, message, claims)
            return
        self._no_probes_until_ms = float("-inf")
        self._update_sender(now, event.sender, message.sender)
        for claim in claims:
            self.peers.receive_claim(now, claim)
        self._respond(now, event, message)

    def _receive_while_joining(
        self, now: float, event: MessageReceived, message: MembershipMessage, claims: tuple[Claim, ...]
    ) -> None:
        """While joining, only claims about the own name in a table matter."""
        if isinstance(message, TableRequest):
            self._respond(now, event, message)
        elif isinstance(message, TableResponse):
            for claim in claims:
                if claim.name == self.context.name and is_valid_claim(claim):
                    self.own_member.receive_claim(now, claim)
            self.own_member.table_received(now)
            if self.phase is not Phase.JOINING:
                self._receive(now, event)

    def _receive_from_namesake(self, now: float, message: MembershipMessage) -> None:
        """A message of another process of this name, or one that came back to its sender."""
        context, sender = self.context, message.sender
        if sender.address == context.address and sender.process_epoch == context.process_epoch:
            return
        if isinstance(message, Ack):
            if sender.active:
                self.own_member.namesake_answered(message)
            return
        if sender.active:
            self.own_member.receive_claim(
                now, Claim(context.name, ALIVE, sender.address, sender.process_epoch, sender.incarnation)
            )
        if isinstance(message, Ping) and context.phase is Phase.ACTIVE:
            context.send(sender.address, Ack(message.seq, context.name, context.sender))
        elif isinstance(message, TableRequest):
            context.send(sender.address, TableResponse(context.sender, context.all_claims(now)), Carrier.STREAM)

    def _update_sender(self, now: float, name: str, sender: SenderInfo) -> None:
        known = self.context.table.get(name)
        if sender.active and (
            known is None
            or (known.process_epoch, known.incarnation, known.address)
            != (sender.process_epoch, sender.incarnation, sender.address)
        ):
            self.peers.receive_claim(now, Claim(name, ALIVE, sender.address, sender.process_epoch, sender.incarnation))

    def _respond(self, now: float, event: MessageReceived, message: MembershipMessage) -> None:
        context = self.context
        address = (
            context.send_address(event.sender, message.sender.address)
            if message.sender.active
            else message.sender.address
        )
        contradiction = context.contradiction(event.sender, message.sender, now) if message.sender.active else None
        if isinstance(message, Ping):
            if message.target != context.name:
                context.count("ping for another")
            elif context.phase is Phase.ACTIVE:
                context.send(
                    address,
                    Ack(message.seq, context.name, context.sender, context.next_claims(contradiction)),
                    event.carrier,
                )
            return
        if isinstance(message, TableRequest):
            context.send(address, TableResponse(context.sender, context.all_claims(now)), Carrier.STREAM)
            return
        if isinstance(message, PingReq) and context.phase is Phase.ACTIVE:
            if is_valid_claim(Claim(message.target, ALIVE, message.address, 0, 0)):
                self.prober.handle_ping_request(now, event.sender, message)
            else:
                context.count("unsound message")
        elif isinstance(message, Ack):
            if self._reconnect_pings.pop(message.seq, None) == event.sender:
                context.send(address, TableRequest(context.sender, context.all_claims(now)), Carrier.STREAM)
            else:
                self.prober.handle_ack(event.sender, message)
        elif isinstance(message, Nack):
            self.prober.handle_nack(event.sender, message)
        if contradiction is not None and context.phase is Phase.ACTIVE and context.may_correct(event.sender, now):
            context.send(address, Gossip(context.sender, (contradiction,)))
