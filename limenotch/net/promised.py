"""An operator's calls for promises and voters, between the operators' address and the part that answers."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from itertools import count
from typing import Annotated
from urllib.parse import unquote

import msgspec
from msgspec import Meta, Struct

from ..fleet.hub import Asked
from ..fleet.promises import MOST_BYTES, Answer, Ask
from . import http1
from .operators import Extra

PREFIX = "pr."
PROMISES, VOTERS = "/fleet/promises/", "/fleet/voters"
IDENT = re.compile(r"[A-Za-z0-9._:-]{1,100}")
STATUS = {"kept": 200, "found": 200, "listed": 200, "done": 200, "none": 404, "other": 409, "refused": 503,
          "full": 503, "unknown": 504}

Name = Annotated[str, Meta(max_length=64)]


class Change(Struct, forbid_unknown_fields=True):
    """One voter that comes, one that goes: first the one, then the other."""

    add: Name = ""
    remove: Name = ""


class Promised:
    """Owns what waits for an answer; each call waits `within_s` at most. One loop's."""

    def __init__(self, tell: Callable[[Asked], None], within_s: float) -> None:
        self._tell, self._within_s = tell, within_s
        self._tickets = count(1)
        self._waiting: dict[int, asyncio.Future[Answer]] = {}
        self.paths: dict[str, Extra] = {PROMISES: self._promise, VOTERS: self._voters}

    def heed(self, answer: Answer) -> None:
        waits = self._waiting.pop(answer.ticket, None)
        if waits is not None and not waits.done():
            waits.set_result(answer)

    async def _ask(self, what: str, *more: str | bytes) -> bytes:
        ticket = next(self._tickets)
        waits = self._waiting[ticket] = asyncio.get_running_loop().create_future()
        self._tell(Asked(PREFIX, Ask(ticket, what, *more)))  # type: ignore[arg-type]
        try:
            async with asyncio.timeout(self._within_s):
                answer = await waits
        except TimeoutError:  # the fleet is off by a fault, or goes
            answer = Answer(ticket, "unknown", "no answer in time")
        finally:
            self._waiting.pop(ticket, None)
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


def no_log(why: str) -> dict[str, Extra]:
    """The same paths where the log is not there."""
    async def refuse(request: http1.Message) -> bytes:
        return _says(503, why)

    return {PROMISES: refuse, VOTERS: refuse}


def _says(status: int, text: str) -> bytes:
    return http1.write_response(status, [], f"{text}\n".encode(), close=True)
