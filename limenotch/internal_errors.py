"""Errors of the program itself. All are counted, and logged with their traceback at a limited rate."""

from __future__ import annotations

import math
from collections.abc import Callable
from time import monotonic

from . import logs

log = logs.get(__name__)

MIN_LOG_INTERVAL_S = 1.0  # the same error may occur with every request


class InternalErrors:
    """Counts and logs internal errors."""

    def __init__(self, clock: Callable[[], float] = monotonic) -> None:
        """`clock`: a time in seconds that never runs backwards."""
        self.count = 0
        self._clock = clock
        self._logged_at = -math.inf
        self._not_logged = 0

    def report(self, error: Exception, during: str) -> None:
        """Count an error contained `during` some work. Log it with its traceback, unless one was just logged."""
        self.count += 1
        now = self._clock()
        if now < self._logged_at + MIN_LOG_INTERVAL_S:
            self._not_logged += 1
            return
        log.error("internal error", during=during, not_logged_before=self._not_logged, exc_info=error)
        self._logged_at = now
        self._not_logged = 0
