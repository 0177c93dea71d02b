"""Operators' requests for replicated notes and voters: HTTP to events of the component, its responses to HTTP."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Annotated
from urllib.parse import unquote

import msgspec
from msgspec import Meta, Struct

from ...fleet.hub import ComponentEvent
from ...fleet.replicated_notes import MAX_NOTE_BYTES, OperatorRequest, OperatorResponse
from .. import http1
from .queries import OperatorQueries
from .server import RequestHandler, method_not_allowed, text_response

PREFIX = "pr."  # the component's prefix in the hub
PROMISES = "/fleet/promises/"
VOTERS = "/fleet/voters"
NOTE_ID = re.compile(r"[A-Za-z0-9._:-]{1,100}")
# HTTP status by the outcome of the request.
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

    def __init__(self, send_event: Callable[[ComponentEvent], None], timeout_s: float) -> None:
        """`timeout_s`: seconds that a request waits for the component's response."""
        self._queries: OperatorQueries[OperatorResponse] = OperatorQueries(send_event, PREFIX, timeout_s)
        self.handle_answer = self._queries.handle_answer
        self.paths: dict[str, RequestHandler] = {PROMISES: self._handle_note, VOTERS: self._handle_voters}

    async def _query(self, kind: str, *arguments: str | bytes) -> bytes:
        """The HTTP response to the request; `arguments` as in OperatorRequest."""
        response = await self._queries.query(lambda ticket: OperatorRequest(ticket, kind, *arguments))  # type: ignore[arg-type]
        return _encode_response(response or OperatorResponse(0, "unknown", "no answer in time"))

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
        if request.rest is not None or len(request.body) > MAX_NOTE_BYTES:
            return text_response(413, f"more than {MAX_NOTE_BYTES} bytes")
        return await self._query("keep", note_id, request.body)

    async def _handle_voters(self, request: http1.Message) -> bytes:
        if request.method != b"POST":
            return method_not_allowed(b"POST")
        try:
            body = request.body if request.rest is None else b""  # a body that is too long to be buffered is invalid
            change: VoterChange = msgspec.json.decode(body, type=VoterChange)
        except msgspec.MsgspecError as error:
            return text_response(400, str(error))
        return await self._query("voters", change.add, b"", change.remove)


def _encode_response(response: OperatorResponse) -> bytes:
    headers = []
    if response.index:
        headers.append((b"Index", str(response.index).encode()))
    if response.outcome == "listed":
        headers.append((b"Content-Type", b"application/json"))
    body = (
        response.body
        if response.outcome in ("found", "listed")
        else f"{response.reason or response.outcome}\n".encode()
    )
    return http1.write_response(STATUS[response.outcome], headers, body, close=True)


def unavailable(reason: str) -> bytes:
    """The HTTP response while the replicated log is not running."""
    return text_response(503, reason)
