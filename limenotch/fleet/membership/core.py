"""Who is there: SWIM with Lifeguard's refinements, as decisions without I/O, clock or randomness of their own.

Sources: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol"
(2002); Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (2018).
Written from the papers. Ours: lives and fencing, who has the name (`own`), knocking at the dead so that cuts heal.

Rules
- States and which claim wins: `states`. Probes: `probing`. Oneself: `own`. How long a suspect has: `suspicion`.
- Whoever speaks and is held to be less than it says (suspect, dead, of an older life) is told so in the answer.
- A timer that fires late by more than `timeout_ms` means a pause: health goes down, what was under way is dropped,
  every suspicion starts again, and nobody is probed until somebody was heard or a period is over (`_woke`).
- Before a suspicion can be over its holder asks the suspect itself once more: news are sent on a limited number of
  times, so now and then one member of many misses that a suspicion was refuted.
- Every now and then one of the dead is knocked at, and one seed that isn't alive is asked for its table.
- Once a process left it does and answers nothing.
- What is sound to the codec and still nonsense is counted (`counts`) and changes nothing.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from ..interfaces import Action, Address, Carrier, MessageReceived, SetTimer, ShutdownStarted, Started, TimerFired
from .context import Ground, Phase
from .member_states import Holder
from .messages import ALIVE, MOST_NEWS, Ack, Answer, Ask, Claim, Me, Nack, News, Ping, PingReq, Spoken, sound, sound_me
from .probing import Prober
from .self_member import Own
from .states import State
from .tuning import Tuning

TOKEN = 1  # one timer at a time is looked at
MOST_KNOCKS = 16


class Seen(NamedTuple):
    """What is held of a member; `since` in ms of the host's clock."""

    name: str
    state: State
    incarnation: int
    process_epoch: int
    address: Address
    since: float


class Membership:
    """`process_epoch` should be higher than that of any process of this name before (say, ms of the wall clock); where
    it is not, it is raised. `addresses` says where to send to instead of what a member advertises (a laboratory's
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
        if not sound(Claim(name, 0, address, process_epoch, 0)):
            raise ValueError(f"name {name!r}, address {address} or life {process_epoch} can't be a member's")
        self.ground = Ground(name, address, process_epoch, seeds, tuning, seed, addresses or {})
        self.own = Own(self.ground, self._entered)
        self.prober = Prober(self.ground, lambda now, name: self.holder.unanswered(now, name))
        self.holder = Holder(self.ground, self.own, self.prober)
        self._now = float("-inf")
        self._since = 0.0
        self._knocks: dict[int, str] = {}
        self._gossiped = float("-inf")
        self._unsure_until = float("-inf")  # after a pause; nobody is accused before

    # What others may look at

    @property
    def name(self) -> str:
        return self.ground.name

    @property
    def process_epoch(self) -> int:
        return self.ground.process_epoch

    @property
    def phase(self) -> Phase:
        return self.ground.phase

    @property
    def inside(self) -> bool:
        """Whether this process may hold a duty under its name."""
        return self.ground.phase is Phase.INSIDE

    def size(self) -> int:
        """Members held alive (or suspect), oneself if inside."""
        return len(self.ground.table.live) + self.inside

    def members(self) -> list[Seen]:
        """All that is held, oneself first if inside."""
        ground = self.ground
        own = Seen(ground.name, State.ALIVE, ground.incarnation, ground.process_epoch, ground.address, self._since)
        return [own] * self.inside + [
            Seen(m.name, m.state, m.incarnation, m.process_epoch, m.address, m.since) for m in ground.table
        ]

    def address_of(self, name: str) -> Address | None:
        """Where to send to: the settings' own address before what it advertises."""
        return self.ground.at_of(name) if self.ground.table.get(name) is not None else None

    def status(self) -> dict[str, Any]:
        """For operators: numbers of what is held, of what was not believed, and the own health (0 is well)."""
        ground = self.ground
        states = {state.value: 0 for state in State}
        for member in ground.table:
            states[member.state.value] += 1
        return {
            "phase": ground.phase.value,
            "life": ground.process_epoch,
            "incarnation": ground.incarnation,
            **states,
            "health": ground.health.score,
            "queued": len(ground.queue),
            "probing": len(self.prober.flights),
            "counts": dict(ground.counts),
        }

    # Events

    def handle(self, now: float, event: Any) -> list[Action]:
        """Raises TypeError on what is no event of membership, ValueError where `now` runs backwards."""
        if now < self._now:
            raise ValueError(f"time went back from {self._now} to {now}")
        ground, started = self.ground, self._now > float("-inf")
        self._now = now
        if isinstance(event, Started):
            self.own.begin(now)
        elif not isinstance(event, (MessageReceived, TimerFired, ShutdownStarted)):
            raise TypeError(f"no event of membership: {event!r}")
        elif ground.phase is Phase.GONE or not started:
            return []
        else:
            first = ground.agenda.first()
            if first is not None and now - first > ground.tuning.timeout_ms:
                self._woke(now, now - first)
            if isinstance(event, MessageReceived):
                self._heard(now, event)
            elif isinstance(event, ShutdownStarted):
                self._leave(now)
            else:
                ground.agenda.fired(now)
        if ground.phase is not Phase.GONE:
            self._do_due(now)
            if len(ground.queue) and ground.phase is Phase.INSIDE and ("gossip", "") not in ground.agenda:
                # The first word of a calm time goes at once: waiting at each member on its way is what made news late.
                ground.agenda.at(max(now, self._gossiped + ground.tuning.gossip_ms), ("gossip", ""))
            when = ground.agenda.arm()
            if when is not None:
                ground.acts.append(SetTimer(when, TOKEN))
        acts, ground.acts = ground.acts, []
        return acts

    def _do_due(self, now: float) -> None:
        agenda = self.ground.agenda
        while (key := agenda.pop(now)) is not None:
            what, of = key
            if isinstance(of, int):
                {
                    "indirect": self.prober.indirect,
                    "failed": self.prober.fail,
                    "nack": self._nack,
                    "relayed": self._relayed,
                }[what](now, of)
            else:
                {
                    "probe": self._probe,
                    "gossip": self._gossip,
                    "suspect": self.holder.over,
                    "ask": self.holder.ask,
                    "own": self._own,
                    "tables": self._tables,
                    "reconnect": self._reconnect,
                    "forget": self.holder.forget,
                }[what](now, of)

    def _entered(self, now: float) -> None:
        """Inside: begins to probe, and gives its table to the seeds."""
        ground, tuning = self.ground, self.ground.tuning
        self._since = now
        for address in ground.seeds:
            ground.say(address, Ask(ground.me, ground.all_known(now)), Carrier.STREAM)
        part = ground.random.random
        ground.agenda.at(now + part() * self._gap, ("probe", ""))
        ground.agenda.at(now + part() * tuning.reconnect * tuning.period_ms, ("reconnect", ""))
        ground.agenda.at(now + (0.5 + part()) * tuning.push_pull_ms(ground.size), ("tables", ""))

    @property
    def _gap(self) -> float:
        return self.ground.tuning.period_ms / self.ground.tuning.probes

    # What is due

    def _probe(self, now: float, _: str) -> None:
        ground = self.ground
        if ground.phase is not Phase.INSIDE:
            return
        if now >= self._unsure_until:
            self.prober.tick(now)
        ground.agenda.at(now + self._gap, ("probe", ""))

    def _gossip(self, now: float, _: str) -> None:
        ground = self.ground
        if ground.phase is not Phase.INSIDE:
            return
        self._gossiped = now
        for name in ground.table.some(ground.random, ground.tuning.fanout):
            news = ground.news(ground.against(name, None, now))
            if not news:
                break
            ground.say(ground.at_of(name), News(ground.me, news))

    def _tables(self, now: float, _: str) -> None:
        ground = self.ground
        if ground.phase is not Phase.INSIDE:
            return
        for name in ground.table.some(ground.random, 1):
            ground.say(ground.at_of(name), Ask(ground.me, ground.all_known(now)), Carrier.STREAM)
        ground.agenda.at(now + ground.tuning.push_pull_ms(ground.size), ("tables", ""))

    def _reconnect(self, now: float, _: str) -> None:
        """Who is dead may be behind a cut that has healed; so may be seeds that were never heard."""
        ground, tuning = self.ground, self.ground.tuning
        if ground.phase is not Phase.INSIDE:
            return
        dead = ground.table.of(State.DEAD)
        if dead:
            name = ground.random.choice(dead)
            if len(self._knocks) >= MOST_KNOCKS:
                del self._knocks[next(iter(self._knocks))]
            self._knocks[self.prober.knock(now, name)] = name
        alive = {ground.table[name].address for name in ground.table.live}
        missing = [address for address in ground.seeds if address not in alive]
        if missing:
            ground.say(ground.random.choice(missing), Ask(ground.me, ground.all_known(now)), Carrier.STREAM)
        periods = tuning.reconnect if ground.table.live else 1.0  # alone: sooner
        ground.agenda.at(now + periods * tuning.period_ms, ("reconnect", ""))

    def _nack(self, now: float, seq: int) -> None:
        self.prober.say_nack(seq)

    def _relayed(self, now: float, seq: int) -> None:
        self.prober.unrelay(seq)

    def _own(self, now: float, _: str) -> None:
        self.own.tick(now)

    def _woke(self, now: float, late: float) -> None:
        ground = self.ground
        ground.health.paused(late, ground.tuning.period_ms)
        self.prober.drop_all()
        self.holder.restart(now)
        if ground.phase is Phase.INSIDE and late > ground.tuning.period_ms:
            self._unsure_until = now + ground.tuning.period_ms
            for name in ground.table.some(ground.random, ground.tuning.fanout):
                ground.say(ground.at_of(name), Ask(ground.me, ground.all_known(now)), Carrier.STREAM)

    def _leave(self, now: float) -> None:
        ground = self.ground
        if ground.phase is Phase.INSIDE:
            news = (ground.own_claim(State.LEFT),)
            told = ground.table.some(ground.random, 2 * ground.tuning.sends(ground.size))
            for number, name in enumerate(told):
                ground.say(ground.at_of(name), News(ground.me, news))
                if number < ground.tuning.fanout:
                    ground.say(ground.at_of(name), News(ground.me, news), Carrier.STREAM)
            ground.changed(State.LEFT)
        ground.phase = Phase.GONE

    # What is heard

    def _heard(self, now: float, event: MessageReceived) -> None:
        ground, message = self.ground, event.message
        if not isinstance(message, Spoken):
            ground.count("not of membership")
            return
        claims = message.members if isinstance(message, (Ask, Answer)) else message.news
        most = ground.tuning.most_members if isinstance(message, (Ask, Answer)) else MOST_NEWS
        if not sound_me(message.me) or len(claims) > most:
            ground.count("unsound message")
            return
        if event.sender == ground.name:
            self._namesake(now, message)
            return
        if ground.phase is Phase.JOINING:
            self._heard_before(now, event, message, claims)
            return
        self._unsure_until = float("-inf")
        self._speaker(now, event.sender, message.me)
        for claim in claims:
            self.holder.hear(now, claim)
        self._answer(now, event, message)

    def _heard_before(self, now: float, event: MessageReceived, message: Spoken, claims: tuple[Claim, ...]) -> None:
        """Joining: only what a table says of the own name matters, until it is settled."""
        if isinstance(message, Ask):
            self._answer(now, event, message)
        elif isinstance(message, Answer):
            for claim in claims:
                if claim.name == self.ground.name and sound(claim):
                    self.own.hear(now, claim)
            self.own.settle(now)
            if self.phase is not Phase.JOINING:
                self._heard(now, event)

    def _namesake(self, now: float, message: Spoken) -> None:
        """Another process has this name, or a message came back to its sender."""
        ground, me = self.ground, message.me
        if me.address == ground.address and me.process_epoch == ground.process_epoch:
            return
        if isinstance(message, Ack):
            if me.inside:
                self.own.answered(message)
            return
        if me.inside:
            self.own.hear(now, Claim(ground.name, ALIVE, me.address, me.process_epoch, me.incarnation))
        if isinstance(message, Ping) and ground.phase is Phase.INSIDE:
            ground.say(me.address, Ack(message.seq, ground.name, ground.me))
        elif isinstance(message, Ask):
            ground.say(me.address, Answer(ground.me, ground.all_known(now)), Carrier.STREAM)

    def _speaker(self, now: float, name: str, me: Me) -> None:
        held = self.ground.table.get(name)
        if me.inside and (
            held is None
            or (held.process_epoch, held.incarnation, held.address) != (me.process_epoch, me.incarnation, me.address)
        ):
            self.holder.hear(now, Claim(name, ALIVE, me.address, me.process_epoch, me.incarnation))

    def _answer(self, now: float, event: MessageReceived, message: Spoken) -> None:
        ground = self.ground
        address = ground.where(event.sender, message.me.address) if message.me.inside else message.me.address
        against = ground.against(event.sender, message.me, now) if message.me.inside else None
        if isinstance(message, Ping):
            if message.target != ground.name:
                ground.count("ping for another")
            elif ground.phase is Phase.INSIDE:
                ground.say(address, Ack(message.seq, ground.name, ground.me, ground.news(against)), event.carrier)
            return
        if isinstance(message, Ask):
            ground.say(address, Answer(ground.me, ground.all_known(now)), Carrier.STREAM)
            return
        if isinstance(message, PingReq) and ground.phase is Phase.INSIDE:
            if sound(Claim(message.target, ALIVE, message.address, 0, 0)):
                self.prober.asked(now, event.sender, message)
            else:
                ground.count("unsound message")
        elif isinstance(message, Ack):
            if self._knocks.pop(message.seq, None) == event.sender:
                ground.say(address, Ask(ground.me, ground.all_known(now)), Carrier.STREAM)
            else:
                self.prober.ack(event.sender, message)
        elif isinstance(message, Nack):
            self.prober.nack(event.sender, message)
        if against is not None and ground.phase is Phase.INSIDE and ground.may_tell_off(event.sender, now):
            ground.say(address, News(ground.me, (against,)))
