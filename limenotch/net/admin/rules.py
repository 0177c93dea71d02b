"""Operators' requests for the fleet's versioned rules: HTTP to events of the component, and its answers to HTTP."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from ...fleet.hub import ComponentEvent
from ...fleet.rules.api import OperatorRequest, OperatorResponse
from .. import http1
from .queries import OperatorQueries, json_response
from .server import method_not_allowed

PREFIX = "ru."  # the component's, in the hub
RULES_PATH = "/fleet/rules"


class RulesRequest(Struct, forbid_unknown_fields=True):
    """The body of a POST; `document` as the component's OperatorRequest has it; a repeated `id` counts once."""

    what: Literal["propose", "back", "ban", "return", "diff"]
    document: dict[str, Any] = {}
    id: Annotated[str, Meta(max_length=100)] = ""


class RulesQueries:
    """Answers operators' requests at RULES_PATH."""

    def __init__(
        self, send_event: Callable[[ComponentEvent], None], within_s: float, state: Callable[[], dict[str, Any]]
    ) -> None:
        """`within_s`: seconds that a request waits for the component's answer; `state`: what GET returns."""
        self._queries: OperatorQueries[OperatorResponse] = OperatorQueries(send_event, PREFIX, within_s)
        self._state = state
        self.handle_answer = self._queries.handle_answer

    async def answer(self, request: http1.Message) -> bytes:
        """The response to a request at RULES_PATH."""
        if request.method == b"GET":
            return json_response(200, self._state())
        if request.method != b"POST":
            return method_not_allowed(b"GET, POST")
        try:
            body = request.body if request.rest is None else b""  # a body too long to be buffered is no request
            decoded: RulesRequest = msgspec.json.decode(body, type=RulesRequest)
        except msgspec.MsgspecError as error:
            return json_response(400, {"ok": False, "text": str(error)})
        answer = await self._queries.query(
            lambda ticket: OperatorRequest(ticket, decoded.what, decoded.document, decoded.id)
        )
        if answer is None:
            return json_response(504, {"ok": False, "text": "unknown: no answer in time"})
        return json_response(_status_of(answer), {"ok": answer.ok, "text": answer.text, "version": answer.version})


def _status_of(answer: OperatorResponse) -> int:
    if answer.ok:
        return 200
    return 504 if answer.text.startswith("unknown") else 409
