"""The rules that sidecars agree on, put in force at this one."""

from __future__ import annotations

import math
from collections.abc import Callable
from time import monotonic
from typing import Any

from tornado.ioloop import PeriodicCallback

from ..configuration_applier import ConfigurationApplier
from ..fleet.hub import ComponentEvent
from ..fleet.rules import Rules, messages
from ..fleet.rules.api import Counted, InForce, Narrow, OperatorResponse, Voters
from ..fleet.rules.tuning import Tuning
from ..load_balancer_types import AttemptEnding
from ..net.admin.rules import PREFIX, RULES, RulesQueries
from ..net.request import Attempt, FinalResponse, Request, Verdict
from .base import RESPONSE_MARGIN_S, FleetAdapter, NodeContext, message_types

COUNT_S = 1.0  # between two words of what calls came to


class Late:
    """Counts answers that came beyond their class's aim, from the last byte of the call's message on."""

    def __init__(self) -> None:
        self.count = 0
        self.aim_ms: Callable[[str], float] = lambda name: math.inf

    def request_received(self, call: Request) -> FinalResponse | None:
        return None

    def attempt_started(self, invoker_call: Attempt) -> None:
        """Nothing to see yet."""

    def attempt_ended(self, invoker_call: Attempt, ending: AttemptEnding) -> None:
        """One attempt says nothing of its call."""

    def request_closed(self, call: Request) -> None:
        if call.final is not None and call.final.verdict is Verdict.SERVED:
            spent_s = monotonic() - (call.deadline - call.budget_left_s)
            self.count += spent_s * 1000.0 > self.aim_ms(call.class_name)


class RulesAdapter(FleetAdapter):
    name, prefix = "rules", PREFIX
    messages = message_types(messages)

    def __init__(self, among: NodeContext, tuning: Tuning) -> None:
        super().__init__()
        self._among, self._tuning = among, tuning
        self._voters = among.voters
        self._acting: ConfigurationApplier | None = None
        self._rules: Rules | None = None
        self._counted: Callable[[], tuple[int, int]] = lambda: (0, 0)
        self._before = (0, 0)
        self._late = Late()
        self.interceptor = self._late
        self._counting = PeriodicCallback(self._count, COUNT_S * 1000.0)
        ruled = RulesQueries(among.dispatch, tuning.ask_ms / 1000.0 + RESPONSE_MARGIN_S, self.status)
        self.action_handlers = {OperatorResponse: ruled.handle_answer, InForce: self._in_force, Narrow: self._narrow}
        self.routes = {RULES: ruled.answer}

    def follow(self, acting: ConfigurationApplier, counted: Callable[[], tuple[int, int]]) -> None:
        """Put what is agreed on in force there. `counted`: calls taken so far, and those of them rejected or failed: by
        these, and by late answers, a canary is judged.
        """
        self._acting = acting
        self._late.aim_ms = acting.latency_objective_ms
        acting.start_without_lease(self._tuning.without_lease == "refuse")
        self._counted = counted
        self._before = self._count_all()

    def component(self, state: bytes | None, index: int) -> Rules | None:
        among, acting = self._among, self._acting
        if acting is None:
            return None
        self._rules = Rules(
            among.name, among.process_epoch, among.voters, acting.initial_document(), acting.check, self._tuning, state
        )
        return self._rules

    def started(self) -> None:
        self._counting.start()

    def close(self) -> None:
        self._counting.stop()

    def _count_all(self) -> tuple[int, int]:
        taken, bad = self._counted()
        return taken, bad + self._late.count

    def _count(self) -> None:
        (taken, bad), (taken_before, bad_before) = self._count_all(), self._before
        self._before = taken, bad
        self._among.dispatch(ComponentEvent(PREFIX, Counted(taken - taken_before, bad - bad_before)))

    def voters_changed(self, voters: tuple[str, ...]) -> None:
        """Who votes on the log checks changes."""
        self._among.dispatch(ComponentEvent(PREFIX, Voters(voters)))

    def _in_force(self, said: InForce) -> None:
        if self._acting is not None:
            self._acting.put_in_force(said.document, said.lease_until_ms, said.parts, said.version)

    def _narrow(self, said: Narrow) -> None:
        if self._acting is not None:
            self._acting.restrict(said.document, said.refuse, said.version)

    def status(self) -> dict[str, Any]:
        rules = self._rules
        if rules is None:
            return {"state": "none"}
        book, holder, now = rules.book, rules.holder, self._among.now()
        left = max(holder.expires_at_ms - now, 0.0) if holder.is_valid(now) else 0.0
        return {
            "state": "leased" if left else "narrow",
            "newest": book.newest,
            "active": book.active,
            "lease_left_ms": round(left),
            "parts": holder.parts,
            "contradiction_ms": rules.tuning.contradiction_ms,
            "leader": rules.leader,
            "counts": dict(rules.counts),
        }
