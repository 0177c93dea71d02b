"""Operators' requests for replicated notes and voters: HTTP to events of the component, and its answers to HTTP."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Annotated
from urllib.parse import unquote

import msgspec
from msgspec import Meta, Struct

from ...fleet.hub import ComponentEvent
from ...fleet.replicated_notes import MOST_BYTES, OperatorRequest, OperatorResponse
from .. import http1
from .queries import OperatorQueries
from .server import RequestHandler, method_not_allowed, text_response

PREFIX = "pr."  # the component's, in the hub
PROMISES = "/fleet/promises/"
VOTERS = "/fleet/voters"
NOTE_ID = re.compile(r"[A-Za-z0-9._:-]{1,100}")
# HTTP status by the component's answer.
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


class VoterChange(Struct, forbid_unknown_fields=True):
    """The body of a POST to VOTERS: `add` is added first, then `remove` removed; either may be empty."""

    add: Name = ""
    remove: Name = ""


class LogQueries:
    """Answers operators' requests at PROMISES and VOTERS; `paths` has the handlers."""

    def __init__(self, send_event: Callable[[ComponentEvent], None], within_s: float) -> None:
        """`within_s`: seconds that a request waits for the component's answer."""
        self._queries: OperatorQueries[OperatorResponse] = OperatorQueries(send_event, PREFIX, within_s)
        self.handle_answer = self._queries.handle_answer
        self.paths: dict[str, RequestHandler] = {PROMISES: self._handle_note, VOTERS: self._handle_voters}

    async def _query(self, what: str, *arguments: str | bytes) -> bytes:
        """The HTTP response to the query; `arguments` as in OperatorRequest."""
        answer = await self._queries.query(lambda ticket: OperatorRequest(ticket, what, *arguments))  # type: ignore[arg-type]
        return _encode_answer(answer or OperatorResponse(0, "unknown", "no answer in time"))

    async def _handle_note(self, request: http1.Message) -> bytes:
        note_id = unquote(request.target.partition(b"?")[0].decode("latin-1").removeprefix(PROMISES))
        if not note_id and request.method == b"GET":
            return await self._query("list")
        if not NOTE_ID.fullmatch(note_id):
            return text_response(400, "an id is 1 to 100 letters, digits, or any of . _ : -")
        if request.method == b"GET":
            return await self._query("read", note_id)
        if request.method != b"POST":
            return method_not_allowed(b"GET, POST")
        if request.rest is not None or len(request.body) > MOST_BYTES:
            return text_response(413, f"more than {MOST_BYTES} bytes")
        return await self._query("keep", note_id, request.body)

    async def _handle_voters(self, request: http1.Message) -> bytes:
        if request.method != b"POST":
            return method_not_allowed(b"POST")
        try:
            body = request.body if request.rest is None else b""  # a body too long to be buffered is no change
            change: VoterChange = msgspec.json.decode(body, type=VoterChange)
        except msgspec.MsgspecError as error:
            return text_response(400, str(error))
        return await self._query("voters", change.add, b"", change.remove)


def _encode_answer(answer: OperatorResponse) -> bytes:
    headers = []
    if answer.index:
        headers.append((b"Index", str(answer.index).encode()))
    if answer.word == "listed":
        headers.append((b"Content-Type", b"application/json"))
    body = answer.body if answer.word in ("found", "listed") else f"{answer.text or answer.word}\n".encode()
    return http1.write_response(STATUS[answer.word], headers, body, close=True)


def unavailable(reason: str) -> bytes:
    """The response where the replicated log is not running."""
    return text_response(503, reason)
