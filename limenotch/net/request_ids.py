"""Names of calls: those open, and those that may have run and must not be taken for new ones.

A client whose request crossed our closing of its connection sends it once more, under the same name. If the first one
was read after all, and its answer lost on the way, the second would run work again that may run only once.
"""

from __future__ import annotations

MAX_REMEMBERED_IDS = 10_000  # names; the oldest go first, as their clients are the likeliest to have given up


class RequestIds:
    """Whether a call of some name may be taken."""

    def __init__(self) -> None:
        self._open: set[bytes] = set()
        self._ran: dict[bytes, float] = {}  # until when, the oldest first

    def is_known(self, name: bytes, now: float) -> bool:
        """Whether a call of this name is open, or may have run not long ago."""
        return name in self._open or self._ran.get(name, now) > now

    def add(self, name: bytes) -> None:
        self._open.add(name)

    def discard(self, name: bytes) -> None:
        """It is open no more."""
        self._open.discard(name)

    def remember(self, name: bytes, now: float, until: float) -> None:
        """It may have run and may not run again; its client waits no longer than `until`."""
        self._ran.pop(name, None)
        self._ran[name] = until
        for oldest in list(self._ran):
            if self._ran[oldest] > now and len(self._ran) <= MAX_REMEMBERED_IDS:
                break
            del self._ran[oldest]
