"""The states of the other members. They change in one way only: by a claim, from a peer or from this process itself.

a claim                                | result
is invalid                             | counted
is about this process                  | `self_member` handles it
is superseded (states.PRECEDENCE)      | nothing
equals a suspicion, by another reporter | confirms it: the suspicion gets shorter (`suspicion`)
starts a suspicion                     | forwarded; shortly before its end the suspect is pinged once more
is new otherwise                       | forwarded, logged, reported to the other components
"""

from __future__ import annotations

from ..interfaces import Carrier, MemberChanged
from .context import Context, Phase
from .messages import DEAD, SUSPECT, Claim, is_valid_claim
from .probing import Prober
from .self_member import OwnMember
from .states import FINAL, State
from .suspicion import Suspicion
from .table import ClaimOutcome, Member

LAST_PING_TIMEOUTS = 3.5  # timeouts before the earliest end of a suspicion: enough for a stream that loses a segment


class MemberStates:
    """Applies claims to the table, and schedules what follows from them."""

    def __init__(self, context: Context, own_member: OwnMember, prober: Prober) -> None:
        self.context, self.own_member, self.prober = context, own_member, prober

    def receive_claim(self, now: float, claim: Claim) -> None:
        """Apply a claim about any member; the only way in which a state changes."""
        context = self.context
        if not is_valid_claim(claim):
            context.count("unsound claim")
            return
        if claim.name == context.name:
            self.own_member.receive_claim(now, claim)
            return
        if claim.age_ms >= context.tuning.keep_dead_ms and claim.claimed_state in FINAL:
            return
        known = context.table.get(claim.name)
        joined = known is None or known.state in FINAL
        outcome = context.table.apply(claim, now)
        if outcome is ClaimOutcome.TABLE_FULL:
            context.count("no room for another member")
        elif outcome is ClaimOutcome.SAME_SUSPICION:
            self._confirm(now, claim)
        elif outcome is not ClaimOutcome.SUPERSEDED:
            context.disseminate(claim)
            self._report_change(now, context.table[claim.name], outcome, joined=joined)

    def _report_change(self, now: float, member: Member, outcome: ClaimOutcome, *, joined: bool) -> None:
        context, name = self.context, member.name
        if member.state is State.SUSPECT:
            tuning = context.tuning
            min_ms = tuning.shortest_ms(context.size)
            member.suspicion = Suspicion(
                now,
                member.reported_by,
                min_ms,
                min_ms * tuning.suspicion_longest,
                min(tuning.confirmations, context.size - 2),
            )
            self._schedule_suspicion(member.suspicion, name)
        else:
            context.timers.cancel(("suspect", name))
            context.timers.cancel(("ask", name))
        if member.state in FINAL:
            context.timers.schedule(member.since_ms + context.tuning.keep_dead_ms, ("forget", name))
        else:
            context.timers.cancel(("forget", name))
            if joined:
                self.prober.add_target(name)
        if outcome is ClaimOutcome.REFRESHED:
            return
        text = f"suspects {name}" if member.state is State.SUSPECT else f"{name} {member.state.value}"
        context.log(text, life=member.process_epoch, incarnation=member.incarnation, by=member.reported_by)
        context.actions.append(
            MemberChanged(name, member.state.value, member.address, member.incarnation, member.process_epoch)
        )

    def _confirm(self, now: float, claim: Claim) -> None:
        member = self.context.table[claim.name]
        known = claim.reported_by == self.context.name or self.context.table.get(claim.reported_by) is not None
        if member.suspicion is not None and known and member.suspicion.confirm(claim.reported_by):
            self.context.disseminate(claim)
            self.context.timers.schedule(max(now, member.suspicion.expires_at_ms), ("suspect", claim.name))

    def probe_failed(self, now: float, name: str) -> None:
        """A probe of this process failed."""
        known = self.context.table.get(name)
        if known is not None and known.state not in FINAL and self.context.phase is Phase.ACTIVE:
            self.receive_claim(
                now, Claim(name, SUSPECT, known.address, known.process_epoch, known.incarnation, self.context.name)
            )

    def suspicion_due(self, now: float, name: str) -> None:
        """Declare a suspect dead if its suspicion has expired."""
        known = self.context.table.get(name)
        if known is None or known.state is not State.SUSPECT or known.suspicion is None:
            return
        if now < known.suspicion.expires_at_ms:
            self.context.timers.schedule(known.suspicion.expires_at_ms, ("suspect", name))
            return
        if self.context.phase is not Phase.ACTIVE:
            self.context.timers.schedule(now + self.context.tuning.period_ms, ("suspect", name))
            return
        self.receive_claim(
            now, Claim(name, DEAD, known.address, known.process_epoch, known.incarnation, self.context.name)
        )

    def ping_suspect(self, now: float, name: str) -> None:
        """Ping a suspect once more before its suspicion can expire."""
        known = self.context.table.get(name)
        if known is not None and known.state is State.SUSPECT and self.context.phase is Phase.ACTIVE:
            for carrier in Carrier:
                self.prober.send_ping(now, name, carrier)

    def forget_due(self, now: float, name: str) -> None:
        """Forget a member that has been dead or left for `keep_dead_ms`."""
        known = self.context.table.get(name)
        if known is None or known.state not in FINAL:
            return
        forget_at_ms = known.since_ms + self.context.tuning.keep_dead_ms
        if now >= forget_at_ms:
            self.context.table.forget(name)
        else:
            self.context.timers.schedule(forget_at_ms, ("forget", name))

    def restart_suspicions(self, now: float) -> None:
        """Restart all suspicions after a pause of this process."""
        for name in self.context.table.live:
            suspicion = self.context.table[name].suspicion
            if suspicion is not None:
                suspicion.restart(now)
                self._schedule_suspicion(suspicion, name)

    def _schedule_suspicion(self, suspicion: Suspicion, name: str) -> None:
        timers, timeout = self.context.timers, self.context.tuning.timeout_ms
        timers.schedule(suspicion.expires_at_ms, ("suspect", name))
        timers.schedule(suspicion.started_ms + suspicion.min_ms - LAST_PING_TIMEOUTS * timeout, ("ask", name))
