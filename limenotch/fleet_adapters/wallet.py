"""Prepaid wallets: what calls pay, and operators' credit.

| | calls of who pays | calls of others |
| --- | --- | --- |
| the part is there | by its purse: taken, or 429 | taken |
| not there yet, or never as the log can't be read | 429 | taken |
| the part, the log or the purse off by a fault | 429 | taken |
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import monotonic
from typing import Any, Protocol

from .. import logs
from ..fleet.hub import LOG_PREFIX, ComponentEvent
from ..fleet.wallet import Wallet, messages
from ..fleet.wallet.api import Look, OperatorResponse, Purse, Reservation, Turned, Witnesses
from ..fleet.wallet.tuning import Tuning
from ..load_balancer_types import AttemptEnding
from ..net.admin.wallet import PREFIX, WalletQueries
from ..net.request import Attempt, FinalResponse, Request, RetryLater, Verdict
from .base import RESPONSE_MARGIN_S, FleetAdapter, NodeContext, message_types

log = logs.get(__name__)

HOLDS = 2.0  # times `record_ms` that a call is held for a slice on its way: a grant and its mark come in well under one
ASKS = 4.0  # parts of `record_ms` after which its purse is asked again
MOST_SHOWN = 100  # tenants in the figures; operators' calls show the rest


class Parts(Protocol):
    """The hub."""

    stopped: tuple[str, ...]  # prefixes of the parts stopped


class Till:
    """Has a say in calls: each is reserved for when it is taken, and charged or given back once, at its end.

    The clock is the loop's, on which parts are told the time, read without a way through all that leads to it: twice a
    call that is much of what a wallet costs.

    What its purse wants is told in a turn of the loop of its own: never in a call's time, and never while the fleet's
    decisions are in the midst of an event that ended a call.
    """

    def __init__(self, tuning: Tuning, look: Callable[[], None], parts: Parts) -> None:
        self.purse: Purse | None = None
        self.fault = False  # the purse raised
        self.counts = {"charged": 0, "given_back": 0, "turned": 0, "turned_without": 0}
        self._tuning, self._look, self._parts = tuning, look, parts
        self._tenants = frozenset(tuning.tenants)
        self._open: dict[int, Reservation] = {}  # by the call's number
        self._looking = False

    @property
    def off(self) -> bool:
        off = self._parts.stopped
        return self.fault or PREFIX in off or LOG_PREFIX in off

    def pays(self, tenant: str) -> bool:
        return "*" in self._tenants or tenant in self._tenants

    def request_received(self, call: Request) -> FinalResponse | RetryLater | None:
        purse = self.purse
        if purse is None or self.fault or (self._parts.stopped and self.off):
            return self._without(call)
        try:
            said = purse.reserve(monotonic() * 1000.0, call.tenant, call.class_name, call.already_charged)
            if not self._looking and purse.wants():
                self._see()
        except Exception as error:
            self._faulty(error)
            return self._without(call)
        if isinstance(said, Turned):
            final = FinalResponse(Verdict.REJECTED, retry_after_ms=said.retry_after_ms, quota_exhausted=True)
            if said.coming and call.waited_ms < HOLDS * self._tuning.record_ms:
                return RetryLater(
                    self._tuning.record_ms / ASKS, final
                )  # its first call here in a while: not turned away
            self.counts["turned"] += 1
            return final
        if said.cost:
            self._open[call.number] = said
        return None

    def attempt_started(self, invoker_call: Attempt) -> None:
        pass

    def attempt_ended(self, invoker_call: Attempt, ending: AttemptEnding) -> None:
        pass

    def request_closed(self, call: Request) -> None:
        reservation = self._open.pop(call.number, None)
        purse = self.purse
        if reservation is None or purse is None:
            return
        try:
            if call.final is not None and call.final.verdict is Verdict.SERVED:
                purse.charge(monotonic() * 1000.0, reservation)
                self.counts["charged"] += reservation.cost
            else:
                purse.give_back(monotonic() * 1000.0, reservation)
                self.counts["given_back"] += reservation.cost
            if not self._looking and purse.wants():
                self._see()
        except Exception as error:
            self._faulty(error)

    def _without(self, call: Request) -> FinalResponse | None:
        """Nobody can say what there is to spend."""
        tuning = self._tuning
        if (
            call.already_charged
            or not self.pays(call.tenant)
            or not tuning.cost.get(call.class_name, tuning.other_cost)
        ):
            return None
        self.counts["turned_without"] += 1
        return FinalResponse(Verdict.REJECTED, retry_after_ms=tuning.retry_after_ms, quota_exhausted=True)

    def _see(self) -> None:
        self._looking = True
        asyncio.get_running_loop().call_soon(self._tell)

    def _tell(self) -> None:
        self._looking = False
        if not self.off:
            self._look()

    def _faulty(self, error: Exception) -> None:
        if not self.fault:
            log.error("fault in the purse: who pays is turned away", exc_info=error)
        self.fault = True

    def status(self) -> dict[str, int]:
        return {"reserved": len(self._open), **self.counts}


class WalletAdapter(FleetAdapter):
    name, prefix = "wallet", PREFIX
    messages = message_types(messages)

    def __init__(self, among: NodeContext, tuning: Tuning, parts: Parts) -> None:
        super().__init__()
        self._among, self._tuning = among, tuning
        self._wallet: Wallet | None = None
        self._till = Till(tuning, self._look, parts)
        paid = WalletQueries(among.dispatch, tuning.ask_ms / 1000.0 + RESPONSE_MARGIN_S, self._till.pays)
        self.action_handlers = {OperatorResponse: paid.handle_answer}
        self.routes = paid.paths
        self.interceptor = self._till

    def component(self, state: bytes | None, index: int) -> Wallet:
        among = self._among
        self._wallet = Wallet(among.name, among.process_epoch, self._tuning, among.voters, state)
        return self._wallet

    def started(self) -> None:
        self._till.purse = self._wallet.purse if self._wallet is not None else None

    def _look(self) -> None:
        self._among.dispatch(ComponentEvent(PREFIX, Look()))

    def voters_changed(self, voters: tuple[str, ...]) -> None:
        self._among.dispatch(ComponentEvent(PREFIX, Witnesses(voters)))

    def status(self) -> dict[str, Any]:
        wallet = self._wallet
        if wallet is None:
            return {"state": "none"}
        left = max(wallet.purse.until - self._among.now(), 0.0)
        purse = dict(wallet.purse.status())
        tenants = purse.pop("tenants", {})
        return {
            "state": "off" if self._till.off else "leased" if left else "no lease",
            "lease_left_ms": round(left),
            "leader": wallet.leader,
            "wallets": len(wallet.book.wallets),
            "calls": self._till.status(),
            "purse": {**purse, "tenants": dict(sorted(tenants.items())[:MOST_SHOWN])},
            "counts": dict(wallet.counts),
        }
