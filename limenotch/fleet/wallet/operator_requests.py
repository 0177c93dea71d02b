"""What operators ask: credit, and what wallets hold. Each gets one OperatorResponse, in `ask_ms` at the latest.

| OperatorRequest | OperatorResponse's word |
| --- | --- |
| add | done; counted: that id was, before, `text` says of how much; refused: surely not; unknown |
| show | shown, none; refused |

Nothing is proposed twice here. A lost answer costs nothing: the id counts once, whoever asks again, wherever.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..consensus import api as log
from ..leases import NEVER
from . import entries
from .api import OperatorRequest, OperatorResponse
from .ledger import MAX_CREDIT, MAX_NAME_LENGTH, Applied, Ledger
from .tuning import Tuning

MAX_APPLIED_CREDITS = 1000  # credits applied here whose asker has not heard yet where they stand
MAX_SHOWN_WALLETS = 1000  # wallets in one answer


@dataclass(slots=True)
class _PendingRequest:
    request: OperatorRequest
    deadline_ms: float
    committed_index: int = 0  # promised at


class OperatorRequestHandler:
    def __init__(self, ledger: Ledger, tuning: Tuning, ticket: Callable[[], int]) -> None:
        self._ledger, self._tuning, self._next_ticket = ledger, tuning, ticket
        self.actions: list[Any] = []
        self._pending: dict[int, _PendingRequest] = {}  # by ticket of the log's
        self._applied_credits: dict[int, Applied] = {}  # by index

    def submit(self, now: float, request: OperatorRequest) -> None:
        reason = self._validate(request)
        if reason:
            self.actions.append(OperatorResponse(request.ticket, "refused", reason))
            return
        ticket = self._next_ticket()
        self._pending[ticket] = _PendingRequest(request, now + self._tuning.ask_ms)
        if request.action == "add":
            credit = entries.Credit(
                request.tenant, request.id, request.amount, self._tuning.most_ids, self._tuning.most_tenants
            )
            # Without an id of the log's: which of two asks counted shows by where each stands.
            self.actions.append(log.Propose(ticket, entries.encode((credit,))))
        else:
            self.actions.append(log.ReadIndex(ticket))

    def _validate(self, request: OperatorRequest) -> str:
        if len(self._pending) >= self._tuning.most_asks:
            return "busy"
        if request.action == "show":
            return ""
        if request.action != "add":
            return f"{request.action}: none of add, show"
        for key, value in (("tenant", request.tenant), ("id", request.id)):
            if not 0 < len(value) <= MAX_NAME_LENGTH:
                return f"{key}: expected 1 to {MAX_NAME_LENGTH} letters"
        if "*" not in self._tuning.tenants and request.tenant not in self._tuning.tenants:
            return f"tenant: {request.tenant!r} does not pay here"
        return "" if 0 < request.amount <= MAX_CREDIT else f"amount: expected 1 to {MAX_CREDIT}"

    def credit_applied(self, index: int, credit: Applied) -> None:
        """A Credit, at that place of the log; the whole entry of the log is it alone."""
        if self._pending:
            self._applied_credits[index] = credit
            if len(self._applied_credits) > MAX_APPLIED_CREDITS:
                del self._applied_credits[next(iter(self._applied_credits))]

    def proposal_committed(self, ticket: int, index: int) -> None:
        if (pending := self._pending.get(ticket)) is not None:
            pending.committed_index = index

    def read_ready(self, ticket: int) -> None:
        pending = self._pending.pop(ticket, None)
        if pending is None:
            return
        wallets = self._ledger.wallets
        names = [pending.request.tenant] if pending.request.tenant else sorted(wallets)[:MAX_SHOWN_WALLETS]
        body = {
            name: {
                "credit": wallet.credit,
                "spent": wallet.spent,
                "left": wallet.unallocated,
                "held": wallet.allocated,
                "slices": len(wallet.allocations),
            }
            for name in names
            if (wallet := wallets.get(name)) is not None
        }
        if pending.request.tenant and not body:
            self.actions.append(
                OperatorResponse(pending.request.ticket, "none", f"no wallet of {pending.request.tenant!r}")
            )
        else:
            text = f"{len(names)} of {len(wallets)}" if len(names) < len(wallets) and not pending.request.tenant else ""
            self.actions.append(OperatorResponse(pending.request.ticket, "shown", text, body))

    def request_ended(self, ticket: int, outcome: str, text: str) -> None:
        pending = self._pending.pop(ticket, None)
        if pending is not None:
            self.actions.append(OperatorResponse(pending.request.ticket, outcome, text))

    def tick(self, now: float) -> None:
        if not self._pending:
            self._applied_credits.clear()
            return
        for ticket, pending in list(self._pending.items()):
            if pending.committed_index and pending.committed_index <= self._ledger.index:
                del self._pending[ticket]
                self.actions.append(self._outcome(pending))
            elif now >= pending.deadline_ms:
                add = pending.request.action == "add"
                self.request_ended(
                    ticket, "unknown" if add else "refused", "ask again with the same id" if add else "late"
                )

    def _outcome(self, pending: _PendingRequest) -> OperatorResponse:
        request, applied = pending.request, self._applied_credits.pop(pending.committed_index, None)
        if applied is None:  # a snapshot has passed over it
            wallet = self._ledger.wallets.get(request.tenant)
            counted_amount = wallet.credit_ids.get(request.id) if wallet is not None else None
            return (
                OperatorResponse(request.ticket, "unknown", "ask again with the same id")
                if counted_amount is None
                else OperatorResponse(
                    request.ticket, "counted", f"{counted_amount} under {request.id!r}", counted_amount
                )
            )
        if applied.outcome == "counted":
            return OperatorResponse(request.ticket, "counted", f"{applied.amount} under {request.id!r}", applied.amount)
        if applied.ok:
            return OperatorResponse(request.ticket, "done")
        reason = (
            "too many wallets, or ids of this one: none is forgotten"
            if applied.outcome == "full"
            else f"more than {MAX_CREDIT} in one wallet"
        )
        return OperatorResponse(request.ticket, "refused", reason)

    def next_due_ms(self) -> float:
        return min((pending.deadline_ms for pending in self._pending.values()), default=NEVER)
