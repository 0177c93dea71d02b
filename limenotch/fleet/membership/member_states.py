"""What is held of the others, and the one way in which it changes: a claim is heard, from others or from oneself.

a claim is         | then
unsound            | counted
of oneself         | `own` sees to it
beaten by what is held (states.TABLE) | nothing
the suspicion held, by another finder | confirms it: its time gets shorter (`suspicion`)
a new suspicion    | told on; its time begins; shortly before it can end the suspect itself is asked once more
else new           | told on, noted, given to the parts above
"""

from __future__ import annotations

from ..interfaces import Carrier, MemberChanged
from .context import Ground, Phase
from .messages import DEAD, SUSPECT, Claim, sound
from .probing import Prober
from .self_member import Own
from .states import FINAL, State
from .suspicion import Suspicion
from .table import Came, Member

LAST_ASKED = 3.5  # timeouts before a suspicion can be over: a stream that loses a segment still gets there


class Holder:
    def __init__(self, ground: Ground, own: Own, prober: Prober) -> None:
        self.ground, self.own, self.prober = ground, own, prober

    def hear(self, now: float, claim: Claim) -> None:
        """A claim about anybody; the one way in which what is held changes."""
        ground = self.ground
        if not sound(claim):
            ground.count("unsound claim")
            return
        if claim.name == ground.name:
            self.own.hear(now, claim)
            return
        if claim.age_ms >= ground.tuning.keep_dead_ms and claim.says in FINAL:
            return
        held = ground.table.get(claim.name)
        absent = held is None or held.state in FINAL
        came = ground.table.hear(claim, now)
        if came is Came.FULL:
            ground.count("no room for another member")
        elif came is Came.SAME_SUSPICION:
            self._confirm(now, claim)
        elif came is not Came.OLD:
            ground.tell(claim)
            self._took(now, ground.table[claim.name], came, welcome=absent)

    def _took(self, now: float, member: Member, came: Came, *, welcome: bool) -> None:
        ground, name = self.ground, member.name
        if member.state is State.SUSPECT:
            tuning = ground.tuning
            shortest = tuning.shortest_ms(ground.size)
            member.suspicion = Suspicion(
                now,
                member.by,
                shortest,
                shortest * tuning.suspicion_longest,
                min(tuning.confirmations, ground.size - 2),
            )
            self._watch(member.suspicion, name)
        else:
            ground.agenda.drop(("suspect", name))
            ground.agenda.drop(("ask", name))
        if member.state in FINAL:
            ground.agenda.at(member.since + ground.tuning.keep_dead_ms, ("forget", name))
        else:
            ground.agenda.drop(("forget", name))
            if welcome:
                self.prober.welcome(name)
        if came is Came.REFRESHED:
            return
        text = f"suspects {name}" if member.state is State.SUSPECT else f"{name} {member.state.value}"
        ground.note(text, life=member.process_epoch, incarnation=member.incarnation, by=member.by)
        ground.acts.append(
            MemberChanged(name, member.state.value, member.address, member.incarnation, member.process_epoch)
        )

    def _confirm(self, now: float, claim: Claim) -> None:
        member = self.ground.table[claim.name]
        known = claim.by == self.ground.name or self.ground.table.get(claim.by) is not None
        if member.suspicion is not None and known and member.suspicion.confirm(claim.by):
            self.ground.tell(claim)
            self.ground.agenda.at(max(now, member.suspicion.until), ("suspect", claim.name))

    def unanswered(self, now: float, name: str) -> None:
        """A probe failed."""
        held = self.ground.table.get(name)
        if held is not None and held.state not in FINAL and self.ground.phase is Phase.INSIDE:
            self.hear(now, Claim(name, SUSPECT, held.address, held.process_epoch, held.incarnation, self.ground.name))

    def over(self, now: float, name: str) -> None:
        held = self.ground.table.get(name)
        if held is None or held.state is not State.SUSPECT or held.suspicion is None:
            return
        if now < held.suspicion.until:
            self.ground.agenda.at(held.suspicion.until, ("suspect", name))
            return
        if self.ground.phase is not Phase.INSIDE:
            self.ground.agenda.at(now + self.ground.tuning.period_ms, ("suspect", name))
            return
        self.hear(now, Claim(name, DEAD, held.address, held.process_epoch, held.incarnation, self.ground.name))

    def ask(self, now: float, name: str) -> None:
        held = self.ground.table.get(name)
        if held is not None and held.state is State.SUSPECT and self.ground.phase is Phase.INSIDE:
            for carrier in Carrier:
                self.prober.knock(now, name, carrier)

    def forget(self, now: float, name: str) -> None:
        held = self.ground.table.get(name)
        if held is None or held.state not in FINAL:
            return
        until = held.since + self.ground.tuning.keep_dead_ms
        if now >= until:
            self.ground.table.forget(name)
        else:
            self.ground.agenda.at(until, ("forget", name))

    def restart(self, now: float) -> None:
        """After a pause of one's own."""
        for name in self.ground.table.live:
            suspicion = self.ground.table[name].suspicion
            if suspicion is not None:
                suspicion.restart(now)
                self._watch(suspicion, name)

    def _watch(self, suspicion: Suspicion, name: str) -> None:
        agenda, timeout = self.ground.agenda, self.ground.tuning.timeout_ms
        agenda.at(suspicion.until, ("suspect", name))
        agenda.at(suspicion.began + suspicion.shortest - LAST_ASKED * timeout, ("ask", name))
