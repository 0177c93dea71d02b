"""Operators' calls for wallets, between the operators' address and the part that answers.

| call | answered |
| --- | --- |
| `GET /fleet/wallets` | 200: all wallets by tenant, as agreed when asked |
| `GET /fleet/wallets/TENANT` | 200: its wallet; 404: it has none |
| `POST /fleet/wallets/TENANT {"id": "...", "add": 1000}` | 200: added, or `counted` before; 409: for another amount |

400 names the key that is wrong. 503: refused, so surely not added. 504: perhaps; the same id again counts once.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated
from urllib.parse import unquote

import msgspec
from msgspec import Meta, Struct

from ...fleet.hub import ComponentEvent
from ...fleet.wallet.api import Answer, Ask
from ...fleet.wallet.ledger import MOST_CREDIT, MOST_NAME
from .. import http1
from .queries import OperatorQueries, json_response
from .server import RequestHandler

PREFIX = "wa."
WALLETS = "/fleet/wallets"
STATUS = {"done": 200, "counted": 200, "shown": 200, "none": 404, "refused": 503, "unknown": 504}


class Credit(Struct, forbid_unknown_fields=True):
    """The body of a POST."""

    id: Annotated[str, Meta(min_length=1, max_length=MOST_NAME)]
    add: Annotated[int, Meta(ge=1, le=MOST_CREDIT)]


class WalletQueries:
    """What operators are answered at WALLETS and below it."""

    def __init__(self, tell: Callable[[ComponentEvent], None], within_s: float, pays: Callable[[str], bool]) -> None:
        """`pays`: whether a tenant of that name does, by the settings."""
        self._asking: OperatorQueries[Answer] = OperatorQueries(tell, PREFIX, within_s)
        self._pays = pays
        self.handle_answer = self._asking.handle_answer
        self.paths: dict[str, RequestHandler] = {WALLETS: self._all, f"{WALLETS}/": self._one}

    async def _ask(self, what: str, tenant: str = "", amount: int = 0, ident: str = "") -> Answer:
        said = await self._asking.query(lambda ticket: Ask(ticket, what, tenant, amount, ident))
        return said or Answer(0, "unknown", "no answer in time")

    async def _all(self, request: http1.Message) -> bytes:
        if request.method != b"GET":
            return http1.write_response(405, [(b"Allow", b"GET")], b"", close=True)
        said = await self._ask("show")
        return (
            json_response(200, {"wallets": said.body, "text": said.text}) if said.word == "shown" else _otherwise(said)
        )

    async def _one(self, request: http1.Message) -> bytes:
        tenant = unquote(request.target.partition(b"?")[0].decode("latin-1").removeprefix(f"{WALLETS}/"))
        if not 0 < len(tenant) <= MOST_NAME:
            return _wrong(f"tenant: expected 1 to {MOST_NAME} letters")
        if request.method == b"GET":
            said = await self._ask("show", tenant)
            return (
                json_response(200, {"tenant": tenant, **said.body[tenant]})
                if said.word == "shown"
                else _otherwise(said)
            )
        if request.method != b"POST":
            return http1.write_response(405, [(b"Allow", b"GET, POST")], b"", close=True)
        if not self._pays(tenant):
            return _wrong(f"tenant: {tenant!r} is not one of fleet.wallet.tenants")
        try:
            credit: Credit = msgspec.json.decode(request.body if request.rest is None else b"", type=Credit)
        except msgspec.MsgspecError as error:
            return _wrong(str(error))
        said = await self._ask("add", tenant, credit.add, credit.id)
        if said.word == "counted" and said.body != credit.add:
            return json_response(
                409, {"ok": False, "text": f"id: was {said.body}, not {credit.add}", "added": said.body}
            )
        if said.word in ("done", "counted"):
            return json_response(200, {"ok": True, "counted": said.word == "counted", "added": credit.add})
        return _otherwise(said)


def _wrong(text: str) -> bytes:
    return json_response(400, {"ok": False, "text": text})


def _otherwise(said: Answer) -> bytes:
    return json_response(
        STATUS[said.word], {"ok": False, "text": f"{said.word}: {said.text}" if said.text else said.word}
    )
