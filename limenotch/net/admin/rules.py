"""Operators' calls for the rules that the sidecars agree on, between the operators' address and the part."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from ...fleet.hub import ComponentEvent
from ...fleet.rules.api import Answer, Ask
from .. import http1
from .queries import OperatorQueries, json_response

PREFIX = "ru."
RULES = "/fleet/rules"


class Call(Struct, forbid_unknown_fields=True):
    """The body of a POST; `document` as the part's Ask says for each word. The same `id` again counts once."""

    what: Literal["propose", "back", "ban", "return", "diff"]
    document: dict[str, Any] = {}
    id: Annotated[str, Meta(max_length=100)] = ""


class RulesQueries:
    """What operators are answered at RULES."""

    def __init__(
        self, tell: Callable[[ComponentEvent], None], within_s: float, state: Callable[[], dict[str, Any]]
    ) -> None:
        self._asking: OperatorQueries[Answer] = OperatorQueries(tell, PREFIX, within_s)
        self._state = state
        self.handle_answer = self._asking.handle_answer

    async def answer(self, request: http1.Message) -> bytes:
        if request.method == b"GET":
            return json_response(200, self._state())
        if request.method != b"POST":
            return http1.write_response(405, [(b"Allow", b"GET, POST")], b"", close=True)
        try:
            call: Call = msgspec.json.decode(request.body if request.rest is None else b"", type=Call)
        except msgspec.MsgspecError as error:
            return json_response(400, {"ok": False, "text": str(error)})
        said = await self._asking.query(lambda ticket: Ask(ticket, call.what, call.document, call.id))
        if said is None:
            return json_response(504, {"ok": False, "text": "unknown: no answer in time"})
        status = 200 if said.ok else 504 if said.text.startswith("unknown") else 409
        return json_response(status, {"ok": said.ok, "text": said.text, "version": said.version})
