"""Operators' calls for a part of the fleet: a question with a ticket, and the wait for its one answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from itertools import count
from typing import Any, Generic, Protocol, TypeVar

import msgspec

from ...fleet.hub import ComponentEvent
from .. import http1


class Ticketed(Protocol):
    @property
    def ticket(self) -> int: ...


A = TypeVar("A", bound=Ticketed)


class OperatorQueries(Generic[A]):
    """Owns what waits for an answer; each question waits `within_s` at most. One loop's."""

    def __init__(self, tell: Callable[[ComponentEvent], None], prefix: str, within_s: float) -> None:
        self._tell, self._prefix, self._within_s = tell, prefix, within_s
        self._tickets = count(1)
        self._waiting: dict[int, asyncio.Future[A]] = {}

    def heed(self, answer: A) -> None:
        """The part's answer; one that nobody waits for any more is dropped."""
        waits = self._waiting.pop(answer.ticket, None)
        if waits is not None and not waits.done():
            waits.set_result(answer)

    async def ask(self, question: Callable[[int], Any]) -> A | None:
        """`question` makes the part's event from a ticket. None: no answer, the fleet is off by a fault or goes."""
        ticket = next(self._tickets)
        waits: asyncio.Future[A] = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = waits
        self._tell(ComponentEvent(self._prefix, question(ticket)))
        try:
            async with asyncio.timeout(self._within_s):
                return await waits
        except TimeoutError:
            return None
        finally:
            self._waiting.pop(ticket, None)


def json_response(status: int, body: Mapping[str, Any]) -> bytes:
    """JSON, as a person reads it."""
    kind = [(b"Content-Type", b"application/json")]
    text = msgspec.json.format(msgspec.json.encode(dict(body)), indent=1) + b"\n"
    return http1.write_response(status, kind, text, close=True)
