"""Oneself: joining, being told one is dead, and another process with one's own name.

    phase    | what happens                                         | becomes  | and
    joining  | a seed answered, nobody else has the name            | inside   | `joined`
    joining  | no seed answered for JOIN_PERIODS, or there is none  | inside   | `joined`, alone; seeds are asked on
    joining  | the name was at this address, or is dead or left     | inside   | with a higher life than its
    joining  | the name is elsewhere: asked there, and it answers   | out      | `twin`
    joining  | the same, and it doesn't answer for JOIN_TRIES       | inside   | with a higher life
    inside   | it is suspected                                      | inside   | with a higher incarnation
    inside   | it was declared dead (or left) in this life          | inside   | Fenced, then with a higher life
    inside   | a higher life of the name is elsewhere               | out      | Fenced; asked as above
    out      | the other was declared dead, or left                 | inside   | with a higher life
    out      | the other doesn't answer for OUT_TRIES               | inside   | with a higher life

Lives of equal number at two addresses: the one at the higher address yields. Our own rules; SWIM has none for these.
"""

from __future__ import annotations

from collections.abc import Callable

from ..interfaces import Carrier
from .context import Ground, Phase
from .health import REFUTED
from .messages import MAX_PROCESS_EPOCH, MOST_INCARNATION, Ack, Ask, Claim, Ping
from .states import FINAL, State

JOIN_PERIODS = 2  # that seeds have to answer
JOIN_TRIES = 3  # one a period
OUT_TRIES = 5


class Own:
    def __init__(self, ground: Ground, entered: Callable[[float], None]) -> None:
        self.ground = ground
        self.entered = entered
        self.other: Claim | None = None  # the greatest heard of another process of this name
        self.asked = 0  # seq of the question to it
        self.unanswered = 0
        self.began = 0.0

    def begin(self, now: float) -> None:
        self.began = now
        if not self.ground.seeds:
            self.enter(now)
            return
        self._ask_seeds()
        self.ground.agenda.at(now + self.ground.tuning.period_ms, ("own", ""))

    def tick(self, now: float) -> None:
        """Each period while joining or out."""
        ground = self.ground
        if ground.phase not in (Phase.JOINING, Phase.OUT):
            return
        if self.other is not None:
            tries = OUT_TRIES if ground.phase is Phase.OUT else JOIN_TRIES
            if self.asked and self.unanswered >= tries:
                self.enter(now)
                return
            self._ask_other()
        elif now - self.began >= JOIN_PERIODS * ground.tuning.period_ms:
            self.enter(now)
            return
        self._ask_seeds()
        ground.agenda.at(now + ground.tuning.period_ms, ("own", ""))

    def settle(self, now: float) -> None:
        """A member answered, and what it knows of this name was heard."""
        if self.ground.phase is not Phase.JOINING or self.asked:
            return
        if self.other is None or self.other.says in FINAL or self.other.address == self.ground.address:
            self.enter(now)
        else:
            self._ask_other()

    def enter(self, now: float) -> None:
        ground = self.ground
        if self.other is not None:
            ground.process_epoch = max(ground.process_epoch, min(self.other.process_epoch + 1, MAX_PROCESS_EPOCH))
        self.other, self.asked, self.unanswered = None, 0, 0
        ground.incarnation = 0
        ground.phase = Phase.INSIDE
        ground.note("joined", life=ground.process_epoch)
        ground.changed(State.ALIVE)
        ground.tell(ground.own_claim())
        self.entered(now)

    def hear(self, now: float, claim: Claim) -> None:
        """A claim about this name."""
        ground = self.ground
        if ground.phase in (Phase.JOINING, Phase.OUT):
            self._hear_of_other(now, claim)
        elif ground.phase is Phase.INSIDE and claim.process_epoch >= ground.process_epoch:
            here, final = claim.address == ground.address, claim.says in FINAL
            if claim.process_epoch > ground.process_epoch:
                if final or here:
                    self._reborn(claim)
                else:
                    self._step_out(now, claim)
            elif final:
                self._reborn(claim)
            elif not here:
                if ground.address > claim.address:
                    self._step_out(now, claim)
                else:
                    ground.count("twin of the same life")
            elif claim.says is State.SUSPECT and claim.incarnation >= ground.incarnation:
                self._refute(claim)
            elif claim.incarnation > ground.incarnation:
                ground.count("own incarnation from the future")
                self._refute(claim)

    def answered(self, message: Ack) -> None:
        """By a process of the same name."""
        ground = self.ground
        if ground.phase not in (Phase.JOINING, Phase.OUT) or message.me.address == ground.address:
            return
        self.unanswered = 0
        self.other = Claim(ground.name, 0, message.me.address, message.me.process_epoch, message.me.incarnation)
        if not self.noted:
            ground.note(f"twin {ground.name}", at=message.me.address, life=message.me.process_epoch)
            self.noted = True
        ground.phase = Phase.OUT

    noted = False

    def _hear_of_other(self, now: float, claim: Claim) -> None:
        held = self.other
        if held is None or (claim.process_epoch, claim.says in FINAL) > (held.process_epoch, held.says in FINAL):
            self.other = claim
        if self.ground.phase is Phase.OUT and self.other is claim and claim.says in FINAL:
            self.enter(now)

    def _ask_other(self) -> None:
        ground = self.ground
        if self.other is None:
            return
        self.asked = ground.seq()
        self.unanswered += 1
        for carrier in Carrier:
            ground.say(self.other.address, Ping(self.asked, ground.name, ground.me), carrier)

    def _ask_seeds(self) -> None:
        ground = self.ground
        for address in ground.seeds:
            ground.say(address, Ask(ground.me), Carrier.STREAM)

    def _refute(self, claim: Claim) -> None:
        ground = self.ground
        ground.incarnation = min(claim.incarnation + 1, MOST_INCARNATION)
        ground.health.note(REFUTED)
        ground.tell(ground.own_claim())

    def _reborn(self, claim: Claim) -> None:
        ground = self.ground
        ground.fenced(by=claim.by, life=ground.process_epoch)
        ground.process_epoch, ground.incarnation = min(claim.process_epoch + 1, MAX_PROCESS_EPOCH), 0
        ground.changed(State.ALIVE)
        ground.tell(ground.own_claim())

    def _step_out(self, now: float, claim: Claim) -> None:
        ground = self.ground
        ground.fenced(by=claim.name, life=ground.process_epoch)
        ground.queue.drop(ground.name)
        ground.phase, self.other, self.unanswered, self.noted = Phase.OUT, claim, 0, False
        self._ask_other()
        ground.agenda.at(now + ground.tuning.period_ms, ("own", ""))
