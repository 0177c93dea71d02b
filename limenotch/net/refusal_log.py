"""Logs why connections are closed and requests refused, by reason, without a line for each of them."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from time import monotonic
from typing import Any

from .. import logs

log = logs.get(__name__)

LOG_INTERVAL_S = 1.0


class Reason(Enum):
    """Why a client, a request or a connection had to give way."""

    CLIENT_REFUSED = "client refused: more clients than memory allows"
    REQUEST_DISPLACED = "incomplete request displaced: more clients than memory allows"
    IDLE_DISPLACED = "idle connection closed: more clients than memory allows"
    IDLE_EVICTED = "idle connection closed: no descriptor"
    LINGERING_EVICTED = "connection closed before its client: others need what it holds"
    HEAD_REFUSED = "head refused: no memory for its size"
    NO_ENDPOINT_DESCRIPTOR = "request refused: no descriptor for an endpoint"
    NO_MEMORY_FOR_ID = "request refused: no memory for its id"
    TOO_MANY_OPEN = "request refused: too many open"
    RESTRICTED = "request refused: restricted mode"
    NO_MEMORY_FOR_RESPONSE = "response refused: too many long ones at once"
    NOT_CHOSEN = "request refused by the load balancer"
    ATTEMPT_WITHOUT_DESCRIPTOR = "attempt not sent: no descriptor for an endpoint"


class RefusalLog:
    """Counts by reason, and logs the counts once a second at most."""

    def __init__(self) -> None:
        """Nothing is counted yet."""
        self.counts = Counter[Reason]()  # since the last line
        self._next_log_at = 0.0  # s

    def note(self, reason: Reason, **details: Any) -> None:
        """Counts one case; `details` are logged if this is the moment of a line."""
        self.counts[reason] += 1
        now = monotonic()
        if now < self._next_log_at:
            return
        self._next_log_at = now + LOG_INTERVAL_S
        counted = {each.name.lower(): count for each, count in self.counts.items()}
        self.counts.clear()
        log.warning("refused", **counted, **details)
