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
from .ledger import MOST_CREDIT, MOST_NAME, Applied, Book
from .tuning import Tuning

MOST_SEEN = 1000  # credits applied here whose asker has not heard yet where they stand
MOST_SHOWN = 1000  # wallets in one answer


@dataclass(slots=True)
class _Open:
    ask: OperatorRequest
    until: float
    index: int = 0  # promised at


class Asks:
    def __init__(self, book: Book, tuning: Tuning, ticket: Callable[[], int]) -> None:
        self._book, self._tuning, self._ticket = book, tuning, ticket
        self.out: list[Any] = []
        self._open: dict[int, _Open] = {}  # by ticket of the log's
        self._seen: dict[int, Applied] = {}  # by index

    def ask(self, now: float, ask: OperatorRequest) -> None:
        fault = self._fault(ask)
        if fault:
            self.out.append(OperatorResponse(ask.ticket, "refused", fault))
            return
        ticket = self._ticket()
        self._open[ticket] = _Open(ask, now + self._tuning.ask_ms)
        if ask.what == "add":
            credit = entries.Credit(ask.tenant, ask.id, ask.amount, self._tuning.most_ids, self._tuning.most_tenants)
            # Without an id of the log's: which of two asks counted shows by where each stands.
            self.out.append(log.Propose(ticket, entries.encode((credit,))))
        else:
            self.out.append(log.ReadIndex(ticket))

    def _fault(self, ask: OperatorRequest) -> str:
        if len(self._open) >= self._tuning.most_asks:
            return "busy"
        if ask.what == "show":
            return ""
        if ask.what != "add":
            return f"{ask.what}: none of add, show"
        for key, value in (("tenant", ask.tenant), ("id", ask.id)):
            if not 0 < len(value) <= MOST_NAME:
                return f"{key}: expected 1 to {MOST_NAME} letters"
        if "*" not in self._tuning.tenants and ask.tenant not in self._tuning.tenants:
            return f"tenant: {ask.tenant!r} does not pay here"
        return "" if 0 < ask.amount <= MOST_CREDIT else f"amount: expected 1 to {MOST_CREDIT}"

    def applied(self, index: int, one: Applied) -> None:
        """A Credit, at that place of the log; the whole entry of the log is it alone."""
        if self._open:
            self._seen[index] = one
            if len(self._seen) > MOST_SEEN:
                del self._seen[next(iter(self._seen))]

    def promised(self, ticket: int, index: int) -> None:
        if (one := self._open.get(ticket)) is not None:
            one.index = index

    def ready(self, ticket: int) -> None:
        one = self._open.pop(ticket, None)
        if one is None:
            return
        wallets = self._book.wallets
        names = [one.ask.tenant] if one.ask.tenant else sorted(wallets)[:MOST_SHOWN]
        body = {
            name: {
                "credit": wallet.credit,
                "spent": wallet.spent,
                "left": wallet.left,
                "held": wallet.held,
                "slices": len(wallet.slices),
            }
            for name in names
            if (wallet := wallets.get(name)) is not None
        }
        if one.ask.tenant and not body:
            self.out.append(OperatorResponse(one.ask.ticket, "none", f"no wallet of {one.ask.tenant!r}"))
        else:
            text = f"{len(names)} of {len(wallets)}" if len(names) < len(wallets) and not one.ask.tenant else ""
            self.out.append(OperatorResponse(one.ask.ticket, "shown", text, body))

    def ended(self, ticket: int, word: str, text: str) -> None:
        one = self._open.pop(ticket, None)
        if one is not None:
            self.out.append(OperatorResponse(one.ask.ticket, word, text))

    def tick(self, now: float) -> None:
        if not self._open:
            self._seen.clear()
            return
        for ticket, one in list(self._open.items()):
            if one.index and one.index <= self._book.index:
                del self._open[ticket]
                self.out.append(self._outcome(one))
            elif now >= one.until:
                add = one.ask.what == "add"
                self.ended(ticket, "unknown" if add else "refused", "ask again with the same id" if add else "late")

    def _outcome(self, one: _Open) -> OperatorResponse:
        ask, applied = one.ask, self._seen.pop(one.index, None)
        if applied is None:  # a snapshot has passed over it
            wallet = self._book.wallets.get(ask.tenant)
            held = wallet.ids.get(ask.id) if wallet is not None else None
            return (
                OperatorResponse(ask.ticket, "unknown", "ask again with the same id")
                if held is None
                else OperatorResponse(ask.ticket, "counted", f"{held} under {ask.id!r}", held)
            )
        if applied.word == "counted":
            return OperatorResponse(ask.ticket, "counted", f"{applied.amount} under {ask.id!r}", applied.amount)
        if applied.ok:
            return OperatorResponse(ask.ticket, "done")
        why = (
            "too many wallets, or ids of this one: none is forgotten"
            if applied.word == "full"
            else f"more than {MOST_CREDIT} in one wallet"
        )
        return OperatorResponse(ask.ticket, "refused", why)

    def due(self) -> float:
        return min((one.until for one in self._open.values()), default=NEVER)
