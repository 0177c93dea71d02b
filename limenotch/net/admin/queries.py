"""Operators' requests to a component of the fleet node: each is a query with a ticket, which gets one answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from itertools import count
from typing import Any, Generic, Protocol, TypeVar

import msgspec

from ...fleet.hub import ComponentEvent
from .. import http1


class Ticketed(Protocol):
    """An answer that identifies its query."""

    @property
    def ticket(self) -> int:
        """The number of the query, unique within its component and process."""
        ...


AnswerT = TypeVar("AnswerT", bound=Ticketed)


class OperatorQueries(Generic[AnswerT]):
    """Owns the queries to one component that wait for an answer. To be used on one event loop."""

    def __init__(self, send_event: Callable[[ComponentEvent], None], prefix: str, timeout_s: float) -> None:
        """`prefix` identifies the component; a query waits `timeout_s` seconds for its answer."""
        self._send_event = send_event
        self._prefix = prefix
        self._timeout_s = timeout_s
        self._tickets = count(1)
        self._waiting: dict[int, asyncio.Future[AnswerT]] = {}

    def handle_answer(self, answer: AnswerT) -> None:
        """Passes the component's answer to its query; an answer to a query that no longer waits is dropped."""
        waiting = self._waiting.pop(answer.ticket, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    async def query(self, make_event: Callable[[int], Any]) -> AnswerT | None:
        """Sends the component the event that `make_event` returns for a ticket, and waits for the answer.

        None: there was no answer in time; the fleet node may have failed or be shutting down.
        """
        ticket = next(self._tickets)
        waiting: asyncio.Future[AnswerT] = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = waiting
        self._send_event(ComponentEvent(self._prefix, make_event(ticket)))
        try:
            async with asyncio.timeout(self._timeout_s):
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
