"""Prepaid wallets: charges requests, and adds operators' credit.

| | requests of tenants with a wallet | other requests |
| --- | --- | --- |
| the component runs | admitted by the spender, or 429 | admitted |
| not started yet, or never as the log can't be read | 429 | admitted |
| the component, the log or the spender stopped by a fault | 429 | admitted |
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import monotonic
from typing import Any, Protocol

from .. import logs
from ..fleet.hub import LOG_PREFIX, ComponentEvent
from ..fleet.wallet import Wallet, messages
from ..fleet.wallet.api import DemandChanged, OperatorResponse, Rejected, Reservation, Spender, VotersChanged
from ..fleet.wallet.tuning import Tuning
from ..load_balancer_types import AttemptEnding
from ..net.admin.wallet import PREFIX, WalletQueries
from ..net.request import Attempt, FinalResponse, Request, RetryLater, Verdict
from .base import RESPONSE_MARGIN_S, FleetAdapter, NodeContext, message_types

log = logs.get(__name__)

MAX_WAIT_RECORD_INTERVALS = (
    # multiple of `record_ms` that a request may wait for a pending allocation: grant and spend limit take well under
    # one
    2.0
)
RETRIES_PER_RECORD_INTERVAL = 4.0  # how often in `record_ms` the spender is tried again for a waiting request
MAX_SHOWN_TENANTS = 100  # tenants in the status; operators' requests for wallets show the rest


class ComponentStops(Protocol):
    """The component hub."""

    stopped: tuple[str, ...]  # prefixes of the components stopped by a fault


class RequestCharger:
    """Interceptor that reserves the cost of each request at admission and charges or releases it once, at the request's
    end.

    It reads the event loop's clock, which components are given too, directly: two calls through the layers that lead to
    it for each request would be much of what a wallet costs.

    The component is notified of changed demand in a separate iteration of the loop: never while a request is handled,
    and never while the fleet's components handle an event that has ended a request.
    """

    def __init__(self, tuning: Tuning, on_demand: Callable[[], None], component_stops: ComponentStops) -> None:
        self.spender: Spender | None = None
        self.faulted = False  # the spender raised an exception
        self.counts = {"charged": 0, "given_back": 0, "turned": 0, "turned_without": 0}
        self._tuning, self._on_demand, self._component_stops = tuning, on_demand, component_stops
        self._tenants = frozenset(tuning.tenants)
        self._reservations: dict[int, Reservation] = {}  # by the request's number
        self._is_notify_scheduled = False

    @property
    def is_unavailable(self) -> bool:
        """Whether the spender, the component or the log was stopped by a fault."""
        stopped = self._component_stops.stopped
        return self.faulted or PREFIX in stopped or LOG_PREFIX in stopped

    def has_wallet(self, tenant: str) -> bool:
        """Whether the settings have a wallet for the tenant."""
        return "*" in self._tenants or tenant in self._tenants

    def request_received(self, request: Request) -> FinalResponse | RetryLater | None:
        """Admits the request (None) and keeps its reservation, rejects it, or lets it wait for a pending allocation."""
        spender = self.spender
        if spender is None or self.faulted or (self._component_stops.stopped and self.is_unavailable):
            return self._decide_without_spender(request)
        try:
            decision = spender.reserve(
                monotonic() * 1000.0, request.tenant, request.class_name, request.already_charged
            )
            if not self._is_notify_scheduled and spender.has_changes():
                self._schedule_notify()
        except Exception as error:
            self._record_fault(error)
            return self._decide_without_spender(request)
        if isinstance(decision, Rejected):
            final = FinalResponse(Verdict.REJECTED, retry_after_ms=decision.retry_after_ms, quota_exhausted=True)
            if decision.allocation_pending and request.waited_ms < MAX_WAIT_RECORD_INTERVALS * self._tuning.record_ms:
                return RetryLater(
                    self._tuning.record_ms / RETRIES_PER_RECORD_INTERVAL, final
                )  # first request here in a while: not rejected yet
            self.counts["turned"] += 1
            return final
        if decision.cost:
            self._reservations[request.number] = decision
        return None

    def attempt_started(self, attempt: Attempt) -> None:
        pass

    def attempt_ended(self, attempt: Attempt, ending: AttemptEnding) -> None:
        pass

    def request_closed(self, request: Request) -> None:
        """Charges a request that was served; releases the reservation of any other."""
        reservation = self._reservations.pop(request.number, None)
        spender = self.spender
        if reservation is None or spender is None:
            return
        try:
            if request.final is not None and request.final.verdict is Verdict.SERVED:
                spender.charge(monotonic() * 1000.0, reservation)
                self.counts["charged"] += reservation.cost
            else:
                spender.release(monotonic() * 1000.0, reservation)
                self.counts["given_back"] += reservation.cost
            if not self._is_notify_scheduled and spender.has_changes():
                self._schedule_notify()
        except Exception as error:
            self._record_fault(error)

    def _decide_without_spender(self, request: Request) -> FinalResponse | None:
        """The decision while no spender is available."""
        tuning = self._tuning
        if (
            request.already_charged
            or not self.has_wallet(request.tenant)
            or not tuning.cost.get(request.class_name, tuning.other_cost)
        ):
            return None
        self.counts["turned_without"] += 1
        return FinalResponse(Verdict.REJECTED, retry_after_ms=tuning.retry_after_ms, quota_exhausted=True)

    def _schedule_notify(self) -> None:
        self._is_notify_scheduled = True
        asyncio.get_running_loop().call_soon(self._notify)

    def _notify(self) -> None:
        self._is_notify_scheduled = False
        if not self.is_unavailable:
            self._on_demand()

    def _record_fault(self, error: Exception) -> None:
        if not self.faulted:
            log.error("wallet spender failed; rejecting the requests of tenants with a wallet", exc_info=error)
        self.faulted = True

    def status(self) -> dict[str, int]:
        """For `GET /fleet`: reservations in flight, and counts in units and requests."""
        return {"reserved": len(self._reservations), **self.counts}


class WalletAdapter(FleetAdapter):
    """Connects the wallet component with the host."""

    name, prefix = "wallet", PREFIX
    messages = message_types(messages)

    def __init__(self, context: NodeContext, tuning: Tuning, component_stops: ComponentStops) -> None:
        super().__init__()
        self._context, self._tuning = context, tuning
        self._wallet: Wallet | None = None
        self._charger = RequestCharger(tuning, self._demand_changed, component_stops)
        queries = WalletQueries(context.dispatch, tuning.ask_ms / 1000.0 + RESPONSE_MARGIN_S, self._charger.has_wallet)
        self.action_handlers = {OperatorResponse: queries.handle_answer}
        self.routes = queries.paths
        self.interceptor = self._charger

    def component(self, state: bytes | None, index: int) -> Wallet:
        context = self._context
        self._wallet = Wallet(context.name, context.process_epoch, self._tuning, context.voters, state)
        return self._wallet

    def started(self) -> None:
        self._charger.spender = self._wallet.spender if self._wallet is not None else None

    def _demand_changed(self) -> None:
        self._context.dispatch(ComponentEvent(PREFIX, DemandChanged()))

    def voters_changed(self, voters: tuple[str, ...]) -> None:
        self._context.dispatch(ComponentEvent(PREFIX, VotersChanged(voters)))

    def status(self) -> dict[str, Any]:
        wallet = self._wallet
        if wallet is None:
            return {"state": "none"}
        left_ms = max(wallet.spender.lease_expires_at_ms - self._context.now(), 0.0)
        spender = dict(wallet.spender.status())
        tenants = spender.pop("tenants", {})
        return {
            "state": "off" if self._charger.is_unavailable else "leased" if left_ms else "no lease",
            "lease_left_ms": round(left_ms),
            "leader": wallet.leader,
            "wallets": len(wallet.ledger.wallets),
            "calls": self._charger.status(),
            "purse": {**spender, "tenants": dict(sorted(tenants.items())[:MAX_SHOWN_TENANTS])},
            "counts": dict(wallet.counts),
        }
