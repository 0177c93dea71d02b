"""The rules that the fleet agrees on, put in force at this sidecar."""

from __future__ import annotations

import math
from collections.abc import Callable
from time import monotonic
from typing import Any

from tornado.ioloop import PeriodicCallback

from ..configuration_applier import ConfigurationApplier
from ..fleet.hub import ComponentEvent
from ..fleet.rules import Rules, messages
from ..fleet.rules.api import OperatorResponse, RequestsCounted, RestrictedRules, RulesInForce, VotersChanged
from ..fleet.rules.tuning import Tuning
from ..load_balancer_types import AttemptEnding
from ..net.admin.rules import PREFIX, RULES_PATH, RulesQueries
from ..net.request import Attempt, FinalResponse, Request, Verdict
from .base import RESPONSE_MARGIN_S, FleetAdapter, NodeContext, message_types

COUNT_INTERVAL_S = 1.0  # between two reports of request counts


class OverdueResponses:
    """Counts responses that came later than their class's latency objective.

    Measured from the last byte of the request.
    """

    def __init__(self) -> None:
        self.count = 0
        self.latency_objective_ms: Callable[[str], float] = lambda name: math.inf

    def request_received(self, request: Request) -> FinalResponse | None:
        return None

    def attempt_started(self, attempt: Attempt) -> None:
        """Nothing is known yet."""

    def attempt_ended(self, attempt: Attempt, ending: AttemptEnding) -> None:
        """An attempt alone does not tell its request's outcome."""

    def request_closed(self, request: Request) -> None:
        if request.final is not None and request.final.verdict is Verdict.SERVED:
            spent_s = monotonic() - (request.deadline - request.budget_left_s)
            self.count += spent_s * 1000.0 > self.latency_objective_ms(request.class_name)


class RulesAdapter(FleetAdapter):
    """Connects the rules component with the program."""

    name, prefix = "rules", PREFIX
    messages = message_types(messages)

    def __init__(self, context: NodeContext, tuning: Tuning) -> None:
        super().__init__()
        self._context, self._tuning = context, tuning
        self._voters = context.voters
        self._applier: ConfigurationApplier | None = None
        self._component: Rules | None = None
        self._request_counts: Callable[[], tuple[int, int]] = lambda: (0, 0)
        self._reported_counts = (0, 0)
        self._overdue = OverdueResponses()
        self.interceptor = self._overdue
        self._count_timer = PeriodicCallback(self._count, COUNT_INTERVAL_S * 1000.0)
        queries = RulesQueries(context.dispatch, tuning.ask_ms / 1000.0 + RESPONSE_MARGIN_S, self.status)
        self.action_handlers = {
            OperatorResponse: queries.handle_answer,
            RulesInForce: self._put_in_force,
            RestrictedRules: self._restrict,
        }
        self.routes = {RULES_PATH: queries.answer}

    def attach(self, applier: ConfigurationApplier, request_counts: Callable[[], tuple[int, int]]) -> None:
        """Put what is agreed on in force at `applier`.

        `request_counts`: the requests accepted so far, and those of them that were rejected or failed. Together with
        overdue responses, these decide on canary trials.
        """
        self._applier = applier
        self._overdue.latency_objective_ms = applier.latency_objective_ms
        applier.start_without_lease(self._tuning.without_lease == "refuse")
        self._request_counts = request_counts
        self._reported_counts = self._total_counts()

    def component(self, state: bytes | None, index: int) -> Rules | None:
        context, applier = self._context, self._applier
        if applier is None:
            return None
        self._component = Rules(
            context.name,
            context.process_epoch,
            context.voters,
            applier.initial_document(),
            applier.check,
            self._tuning,
            state,
        )
        return self._component

    def started(self) -> None:
        self._count_timer.start()

    def close(self) -> None:
        self._count_timer.stop()

    def _total_counts(self) -> tuple[int, int]:
        requests, unsuccessful = self._request_counts()
        return requests, unsuccessful + self._overdue.count

    def _count(self) -> None:
        (requests, unsuccessful), (requests_before, unsuccessful_before) = self._total_counts(), self._reported_counts
        self._reported_counts = requests, unsuccessful
        self._context.dispatch(
            ComponentEvent(PREFIX, RequestsCounted(requests - requests_before, unsuccessful - unsuccessful_before))
        )

    def voters_changed(self, voters: tuple[str, ...]) -> None:
        """The voters of the log check changes."""
        self._context.dispatch(ComponentEvent(PREFIX, VotersChanged(voters)))

    def _put_in_force(self, action: RulesInForce) -> None:
        if self._applier is not None:
            self._applier.put_in_force(action.document, action.lease_until_ms, action.divisor, action.version)

    def _restrict(self, action: RestrictedRules) -> None:
        if self._applier is not None:
            self._applier.restrict(action.document, action.reject_all, action.version)

    def status(self) -> dict[str, Any]:
        component = self._component
        if component is None:
            return {"state": "none"}
        rules, lease, now = component.rules, component.lease, self._context.now()
        remaining_ms = max(lease.expires_at_ms - now, 0.0) if lease.is_valid(now) else 0.0
        return {
            "state": "leased" if remaining_ms else "narrow",
            "newest": rules.newest,
            "active": rules.active,
            "lease_left_ms": round(remaining_ms),
            "parts": lease.divisor,
            "contradiction_ms": component.tuning.contradiction_ms,
            "leader": component.leader,
            "counts": dict(component.counts),
        }
