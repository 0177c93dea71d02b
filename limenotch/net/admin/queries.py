"""Operators' requests to a component of the fleet node: a query with a ticket, and the wait for its one answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from itertools import count
from typing import Any, Generic, Protocol, TypeVar

import msgspec

from ...fleet.hub import ComponentEvent
from .. import http1


class Ticketed(Protocol):
    """An answer that names its query."""

    @property
    def ticket(self) -> int:
        """Of the query, unique within its component and process."""
        ...


AnswerT = TypeVar("AnswerT", bound=Ticketed)


class OperatorQueries(Generic[AnswerT]):
    """Owns the queries that wait for an answer. For use on one event loop."""

    def __init__(self, send_event: Callable[[ComponentEvent], None], prefix: str, within_s: float) -> None:
        """`prefix` names the component; a query waits `within_s` seconds for its answer."""
        self._send_event = send_event
        self._prefix = prefix
        self._within_s = within_s
        self._tickets = count(1)
        self._waiting: dict[int, asyncio.Future[AnswerT]] = {}

    def handle_answer(self, answer: AnswerT) -> None:
        """Passes the component's answer to its query; dropped if that no longer waits."""
        waiting = self._waiting.pop(answer.ticket, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    async def query(self, make_event: Callable[[int], Any]) -> AnswerT | None:
        """The answer to the component's event that `make_event` makes of a ticket.

        None: no answer in time; the fleet node may have failed or be shutting down.
        """
        ticket = next(self._tickets)
        waiting: asyncio.Future[AnswerT] = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = waiting
        self._send_event(ComponentEvent(self._prefix, make_event(ticket)))
        try:
            async with asyncio.timeout(self._within_s):
                return await waiting
        except TimeoutError:
            return None
        finally:
            self._waiting.pop(ticket, None)


def json_response(status: int, body: Mapping[str, Any]) -> bytes:
    """A response of indented JSON that closes the connection."""
    content_type = [(b"Content-Type", b"application/json")]
    text = msgspec.json.format(msgspec.json.encode(dict(body)), indent=1) + b"\n"
    return http1.write_response(status, content_type, text, close=True)
