"""This process as a member: joining, learning that it was declared dead, and another process with the same name.

    phase     | event                                               | becomes   | and
    joining   | a seed answered, no other process has the name      | active    | logs `joined`
    joining   | no seed answered for JOIN_PERIODS, or there is none | active    | `joined`; seeds are still queried
    joining   | the name was at this address, or is dead or left    | active    | with a higher process epoch
    joining   | the name is elsewhere; its process answers a ping   | displaced | logs `twin`
    joining   | the same, but no answer to JOIN_PINGS pings         | active    | with a higher process epoch
    active    | it is suspected                                     | active    | with a higher incarnation
    active    | it was declared dead (or left) in its process epoch | active    | Fenced, then a higher process epoch
    active    | a higher process epoch of the name is elsewhere     | displaced | Fenced; pings that process as above
    displaced | the other process was declared dead, or left        | active    | with a higher process epoch
    displaced | no answer to DISPLACED_PINGS pings                  | active    | with a higher process epoch

If two processes of one name have equal process epochs, the one at the higher address yields. SWIM has no rules for
processes of one name; these are this project's.
"""

from __future__ import annotations

from collections.abc import Callable

from ..interfaces import Carrier
from .context import Context, Phase
from .health import SUSPICION_REFUTED
from .messages import MAX_INCARNATION, MAX_PROCESS_EPOCH, Ack, Claim, Ping, TableRequest
from .states import FINAL, State

JOIN_PERIODS = 2  # in which a seed may answer
JOIN_PINGS = 3  # one a period
DISPLACED_PINGS = 5


class OwnMember:
    """This process's own name: joining, refuting, and namesakes. `on_joined` gets the time."""

    def __init__(self, context: Context, on_joined: Callable[[float], None]) -> None:
        self.context = context
        self.on_joined = on_joined
        self.namesake: Claim | None = None  # the greatest claim about another process of this name
        self.namesake_ping_seq = 0  # 0: not pinged yet
        self.unanswered_pings = 0
        self.started_ms = 0.0

    def start(self, now: float) -> None:
        """Query the seeds; join at once without seeds."""
        self.started_ms = now
        if not self.context.seeds:
            self.join(now)
            return
        self._request_tables()
        self.context.timers.schedule(now + self.context.tuning.period_ms, ("own", ""))

    def period_due(self, now: float) -> None:
        """Each period while joining or displaced."""
        context = self.context
        if context.phase not in (Phase.JOINING, Phase.DISPLACED):
            return
        if self.namesake is not None:
            max_pings = DISPLACED_PINGS if context.phase is Phase.DISPLACED else JOIN_PINGS
            if self.namesake_ping_seq and self.unanswered_pings >= max_pings:
                self.join(now)
                return
            self._ping_namesake()
        elif now - self.started_ms >= JOIN_PERIODS * context.tuning.period_ms:
            self.join(now)
            return
        self._request_tables()
        context.timers.schedule(now + context.tuning.period_ms, ("own", ""))

    def table_received(self, now: float) -> None:
        """A member sent its table, and its claims about this name were received."""
        if self.context.phase is not Phase.JOINING or self.namesake_ping_seq:
            return
        if (
            self.namesake is None
            or self.namesake.claimed_state in FINAL
            or self.namesake.address == self.context.address
        ):
            self.join(now)
        else:
            self._ping_namesake()

    def join(self, now: float) -> None:
        """Become active, with a higher process epoch than any known namesake's."""
        context = self.context
        if self.namesake is not None:
            context.process_epoch = max(context.process_epoch, min(self.namesake.process_epoch + 1, MAX_PROCESS_EPOCH))
        self.namesake, self.namesake_ping_seq, self.unanswered_pings = None, 0, 0
        context.incarnation = 0
        context.phase = Phase.ACTIVE
        context.log("joined", life=context.process_epoch)
        context.report_own_state(State.ALIVE)
        context.disseminate(context.own_claim())
        self.on_joined(now)

    def receive_claim(self, now: float, claim: Claim) -> None:
        """Handle a claim about this name."""
        context = self.context
        if context.phase in (Phase.JOINING, Phase.DISPLACED):
            self._receive_namesake_claim(now, claim)
        elif context.phase is Phase.ACTIVE and claim.process_epoch >= context.process_epoch:
            same_address, final = claim.address == context.address, claim.claimed_state in FINAL
            if claim.process_epoch > context.process_epoch:
                if final or same_address:
                    self._rejoin_fenced(claim)
                else:
                    self._yield_name(now, claim)
            elif final:
                self._rejoin_fenced(claim)
            elif not same_address:
                if context.address > claim.address:
                    self._yield_name(now, claim)
                else:
                    context.count("twin of the same life")
            elif claim.claimed_state is State.SUSPECT and claim.incarnation >= context.incarnation:
                self._refute(claim)
            elif claim.incarnation > context.incarnation:
                context.count("own incarnation from the future")
                self._refute(claim)

    def namesake_answered(self, message: Ack) -> None:
        """Another process of the same name answered a ping."""
        context = self.context
        if context.phase not in (Phase.JOINING, Phase.DISPLACED) or message.sender.address == context.address:
            return
        self.unanswered_pings = 0
        self.namesake = Claim(
            context.name, 0, message.sender.address, message.sender.process_epoch, message.sender.incarnation
        )
        if not self.namesake_logged:
            context.log(f"twin {context.name}", at=message.sender.address, life=message.sender.process_epoch)
            self.namesake_logged = True
        context.phase = Phase.DISPLACED

    namesake_logged = False

    def _receive_namesake_claim(self, now: float, claim: Claim) -> None:
        known = self.namesake
        if known is None or (claim.process_epoch, claim.claimed_state in FINAL) > (
            known.process_epoch,
            known.claimed_state in FINAL,
        ):
            self.namesake = claim
        if self.context.phase is Phase.DISPLACED and self.namesake is claim and claim.claimed_state in FINAL:
            self.join(now)

    def _ping_namesake(self) -> None:
        context = self.context
        if self.namesake is None:
            return
        self.namesake_ping_seq = context.next_seq()
        self.unanswered_pings += 1
        for carrier in Carrier:
            context.send(self.namesake.address, Ping(self.namesake_ping_seq, context.name, context.sender), carrier)

    def _request_tables(self) -> None:
        context = self.context
        for address in context.seeds:
            context.send(address, TableRequest(context.sender), Carrier.STREAM)

    def _refute(self, claim: Claim) -> None:
        context = self.context
        context.incarnation = min(claim.incarnation + 1, MAX_INCARNATION)
        context.health.adjust(SUSPICION_REFUTED)
        context.disseminate(context.own_claim())

    def _rejoin_fenced(self, claim: Claim) -> None:
        context = self.context
        context.report_fenced(by=claim.reported_by, life=context.process_epoch)
        context.process_epoch, context.incarnation = min(claim.process_epoch + 1, MAX_PROCESS_EPOCH), 0
        context.report_own_state(State.ALIVE)
        context.disseminate(context.own_claim())

    def _yield_name(self, now: float, claim: Claim) -> None:
        context = self.context
        context.report_fenced(by=claim.name, life=context.process_epoch)
        context.gossip_queue.remove(context.name)
        context.phase, self.namesake, self.unanswered_pings, self.namesake_logged = Phase.DISPLACED, claim, 0, False
        self._ping_namesake()
        context.timers.schedule(now + context.tuning.period_ms, ("own", ""))
