"""Operators' calls for the rules that the sidecars agree on, between the operators' address and the part."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import count
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from ..fleet.hub import Asked
from ..fleet.rules.api import Answer, Ask
from . import http1
from .operators import Extra

PREFIX = "ru."
RULES = "/fleet/rules"


class Call(Struct, forbid_unknown_fields=True):
    """The body of a POST; `document` as the part's Ask says for each word. The same `id` again counts once."""

    what: Literal["propose", "back", "ban", "return", "diff"]
    document: dict[str, Any] = {}
    id: Annotated[str, Meta(max_length=100)] = ""


class Ruled:
    """Owns what waits for an answer; each call waits `within_s` at most. One loop's."""

    def __init__(self, tell: Callable[[Asked], None], within_s: float, state: Callable[[], dict[str, Any]]) -> None:
        self._tell, self._within_s, self._state = tell, within_s, state
        self._tickets = count(1)
        self._waiting: dict[int, asyncio.Future[Answer]] = {}

    def heed(self, answer: Answer) -> None:
        waits = self._waiting.pop(answer.ticket, None)
        if waits is not None and not waits.done():
            waits.set_result(answer)

    async def answer(self, request: http1.Message) -> bytes:
        if request.method == b"GET":
            return _json(200, self._state())
        if request.method != b"POST":
            return http1.write_response(405, [(b"Allow", b"GET, POST")], b"", close=True)
        try:
            call: Call = msgspec.json.decode(request.body if request.rest is None else b"", type=Call)
        except msgspec.MsgspecError as error:
            return _json(400, {"ok": False, "text": str(error)})
        ticket = next(self._tickets)
        waits = self._waiting[ticket] = asyncio.get_running_loop().create_future()
        self._tell(Asked(PREFIX, Ask(ticket, call.what, call.document, call.id)))
        try:
            async with asyncio.timeout(self._within_s):
                said = await waits
        except TimeoutError:  # the fleet is off by a fault, or goes
            return _json(504, {"ok": False, "text": "unknown: no answer in time"})
        finally:
            self._waiting.pop(ticket, None)
        status = 200 if said.ok else 504 if said.text.startswith("unknown") else 409
        return _json(status, {"ok": said.ok, "text": said.text, "version": said.version})


def no_rules(why: str) -> Extra:
    """The same path where the log is not there."""
    async def refuse(request: http1.Message) -> bytes:
        return _json(503, {"ok": False, "text": why})

    return refuse


def _json(status: int, body: dict[str, Any]) -> bytes:
    kind = [(b"Content-Type", b"application/json")]
    text = msgspec.json.format(msgspec.json.encode(body), indent=1) + b"\n"
    return http1.write_response(status, kind, text, close=True)
