"""An operator's calls for promises and voters, between the operators' address and the part that answers."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Annotated
from urllib.parse import unquote

import msgspec
from msgspec import Meta, Struct

from ...fleet.hub import ComponentEvent
from ...fleet.replicated_notes import MOST_BYTES, Answer, Ask
from .. import http1
from .queries import OperatorQueries
from .server import RequestHandler

PREFIX = "pr."
PROMISES, VOTERS = "/fleet/promises/", "/fleet/voters"
IDENT = re.compile(r"[A-Za-z0-9._:-]{1,100}")
STATUS = {
    "kept": 200,
    "found": 200,
    "listed": 200,
    "done": 200,
    "none": 404,
    "other": 409,
    "refused": 503,
    "full": 503,
    "unknown": 504,
}

Name = Annotated[str, Meta(max_length=64)]


class Change(Struct, forbid_unknown_fields=True):
    """One voter that comes, one that goes: first the one, then the other."""

    add: Name = ""
    remove: Name = ""


class LogQueries:
    """What operators are answered at PROMISES and VOTERS."""

    def __init__(self, tell: Callable[[ComponentEvent], None], within_s: float) -> None:
        self._asking: OperatorQueries[Answer] = OperatorQueries(tell, PREFIX, within_s)
        self.handle_answer = self._asking.handle_answer
        self.paths: dict[str, RequestHandler] = {PROMISES: self._promise, VOTERS: self._voters}

    async def _ask(self, what: str, *more: str | bytes) -> bytes:
        said = await self._asking.query(lambda ticket: Ask(ticket, what, *more))  # type: ignore[arg-type]
        answer = said or Answer(0, "unknown", "no answer in time")
        fields = [(b"Index", str(answer.index).encode())] if answer.index else []
        if answer.word == "listed":
            fields.append((b"Content-Type", b"application/json"))
        body = answer.body if answer.word in ("found", "listed") else f"{answer.text or answer.word}\n".encode()
        return http1.write_response(STATUS[answer.word], fields, body, close=True)

    async def _promise(self, request: http1.Message) -> bytes:
        ident = unquote(request.target.partition(b"?")[0].decode("latin-1").removeprefix(PROMISES))
        if not ident and request.method == b"GET":
            return await self._ask("list")
        if not IDENT.fullmatch(ident):
            return _says(400, "an id is 1 to 100 letters, digits, or any of . _ : -")
        if request.method == b"GET":
            return await self._ask("read", ident)
        if request.method != b"POST":
            return http1.write_response(405, [(b"Allow", b"GET, POST")], b"", close=True)
        if request.rest is not None or len(request.body) > MOST_BYTES:
            return _says(413, f"more than {MOST_BYTES} bytes")
        return await self._ask("keep", ident, request.body)

    async def _voters(self, request: http1.Message) -> bytes:
        if request.method != b"POST":
            return http1.write_response(405, [(b"Allow", b"POST")], b"", close=True)
        try:
            change: Change = msgspec.json.decode(request.body if request.rest is None else b"", type=Change)
        except msgspec.MsgspecError as error:
            return _says(400, str(error))
        return await self._ask("voters", change.add, b"", change.remove)


def unavailable(why: str) -> bytes:
    """Where the log is not there."""
    return _says(503, why)


def _says(status: int, text: str) -> bytes:
    return http1.write_response(status, [], f"{text}\n".encode(), close=True)
