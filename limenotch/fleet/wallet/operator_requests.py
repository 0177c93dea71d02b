"""Operators' requests: adding credit, and showing wallets. Each request gets one response, within `ask_ms`.

| request | outcome |
| --- | --- |
| add | done; counted: that id was counted earlier, `text` has the amount; refused: certainly not added; unknown |
| show | shown, none; refused |

Nothing is proposed twice. A lost response is harmless: the id counts once, whichever sidecar the request is repeated
at.
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

# credits applied here whose index in the log is not yet known to be that of a pending request
MAX_APPLIED_CREDITS = 1000
MAX_SHOWN_WALLETS = 1000  # wallets in one response


@dataclass(slots=True)
class _PendingRequest:
    request: OperatorRequest
    deadline_ms: float
    committed_index: int = 0  # at which the proposal was committed; 0: not yet


class OperatorRequestHandler:
    """Owns the operators' requests that have no response yet."""

    def __init__(self, ledger: Ledger, tuning: Tuning, ticket: Callable[[], int]) -> None:
        self._ledger, self._tuning, self._next_ticket = ledger, tuning, ticket
        self.actions: list[Any] = []
        self._pending: dict[int, _PendingRequest] = {}  # by ticket of the log
        self._applied_credits: dict[int, Applied] = {}  # by index

    def submit(self, now: float, request: OperatorRequest) -> None:
        """Proposes a credit to the log, or reads the log's index before showing; refuses an invalid request at once."""
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
            # Without an id of the log: of two requests with one id, the index in the log shows which was counted.
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
        """A Credit was applied at that index; it is the only entry at that index."""
        if self._pending:
            self._applied_credits[index] = credit
            if len(self._applied_credits) > MAX_APPLIED_CREDITS:
                del self._applied_credits[next(iter(self._applied_credits))]

    def proposal_committed(self, ticket: int, index: int) -> None:
        """The credit was committed at `index`; it is answered when that has been applied."""
        if (pending := self._pending.get(ticket)) is not None:
            pending.committed_index = index

    def read_ready(self, ticket: int) -> None:
        """The ledger is up to date as of the request: responds with wallets."""
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
        """Responds without a result."""
        pending = self._pending.pop(ticket, None)
        if pending is not None:
            self.actions.append(OperatorResponse(pending.request.ticket, outcome, text))

    def tick(self, now: float) -> None:
        """Responds to credits that have been applied, and to requests whose deadline has passed."""
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
        if applied is None:  # a snapshot has replaced the entry
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
        """When `tick` has to be called next."""
        return min((pending.deadline_ms for pending in self._pending.values()), default=NEVER)
