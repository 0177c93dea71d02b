"""Operators' requests for tenants' wallets: HTTP to events of the component, and its answers to HTTP.

| request | response |
| --- | --- |
| `GET /fleet/wallets` | 200: all wallets by tenant, as agreed at the time of the request |
| `GET /fleet/wallets/TENANT` | 200: its wallet; 404: it has none |
| `POST /fleet/wallets/TENANT {"id": "...", "add": 1000}` | 200: added, or `counted` before; 409: for another amount |

400 names the invalid key. 503: rejected, certainly not added. 504: may have been added; the same id again counts once.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated
from urllib.parse import unquote

import msgspec
from msgspec import Meta, Struct

from ...fleet.hub import ComponentEvent
from ...fleet.wallet.api import OperatorRequest, OperatorResponse
from ...fleet.wallet.ledger import MAX_CREDIT, MAX_NAME_LENGTH
from .. import http1
from .queries import OperatorQueries, json_response
from .server import RequestHandler, method_not_allowed

PREFIX = "wa."  # the component's, in the hub
WALLETS = "/fleet/wallets"
# HTTP status by the component's answer.
STATUS = {"done": 200, "counted": 200, "shown": 200, "none": 404, "refused": 503, "unknown": 504}


class Credit(Struct, forbid_unknown_fields=True):
    """The body of a POST: `add` units under an idempotency key."""

    id: Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
    add: Annotated[int, Meta(ge=1, le=MAX_CREDIT)]


class WalletQueries:
    """Answers operators' requests at WALLETS and below it; `paths` has the handlers."""

    def __init__(
        self, send_event: Callable[[ComponentEvent], None], within_s: float, has_wallet: Callable[[str], bool]
    ) -> None:
        """`within_s`: seconds that a request waits for the component's answer; `has_wallet`: whether the settings have
        a wallet for that tenant.
        """
        self._queries: OperatorQueries[OperatorResponse] = OperatorQueries(send_event, PREFIX, within_s)
        self._has_wallet = has_wallet
        self.handle_answer = self._queries.handle_answer
        self.paths: dict[str, RequestHandler] = {WALLETS: self._handle_all, f"{WALLETS}/": self._handle_one}

    async def _query(self, action: str, tenant: str = "", amount: int = 0, credit_id: str = "") -> OperatorResponse:
        answer = await self._queries.query(lambda ticket: OperatorRequest(ticket, action, tenant, amount, credit_id))
        return answer or OperatorResponse(0, "unknown", "no answer in time")

    async def _handle_all(self, request: http1.Message) -> bytes:
        if request.method != b"GET":
            return method_not_allowed(b"GET")
        answer = await self._query("show")
        if answer.outcome != "shown":
            return _failure(answer)
        return json_response(200, {"wallets": answer.body, "text": answer.text})

    async def _handle_one(self, request: http1.Message) -> bytes:
        tenant = unquote(request.target.partition(b"?")[0].decode("latin-1").removeprefix(f"{WALLETS}/"))
        if not 0 < len(tenant) <= MAX_NAME_LENGTH:
            return _bad_request(f"tenant: expected 1 to {MAX_NAME_LENGTH} letters")
        if request.method == b"GET":
            return await self._show(tenant)
        if request.method != b"POST":
            return method_not_allowed(b"GET, POST")
        if not self._has_wallet(tenant):
            return _bad_request(f"tenant: {tenant!r} is not one of fleet.wallet.tenants")
        try:
            body = request.body if request.rest is None else b""  # a body too long to be buffered is no credit
            credit: Credit = msgspec.json.decode(body, type=Credit)
        except msgspec.MsgspecError as error:
            return _bad_request(str(error))
        return await self._add(tenant, credit)

    async def _show(self, tenant: str) -> bytes:
        answer = await self._query("show", tenant)
        if answer.outcome != "shown":
            return _failure(answer)
        return json_response(200, {"tenant": tenant, **answer.body[tenant]})

    async def _add(self, tenant: str, credit: Credit) -> bytes:
        answer = await self._query("add", tenant, credit.add, credit.id)
        if answer.outcome == "counted" and answer.body != credit.add:
            text = f"id: was {answer.body}, not {credit.add}"
            return json_response(409, {"ok": False, "text": text, "added": answer.body})
        if answer.outcome in ("done", "counted"):
            return json_response(200, {"ok": True, "counted": answer.outcome == "counted", "added": credit.add})
        return _failure(answer)


def _bad_request(text: str) -> bytes:
    return json_response(400, {"ok": False, "text": text})


def _failure(answer: OperatorResponse) -> bytes:
    text = f"{answer.outcome}: {answer.text}" if answer.text else answer.outcome
    return json_response(STATUS[answer.outcome], {"ok": False, "text": text})
