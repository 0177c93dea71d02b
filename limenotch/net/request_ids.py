"""The ids of requests that are open, or that may have run and must not run again.

A client whose request crossed our closing of its connection sends it again with the same id. If the first one was read
after all and its response lost, the second one would repeat work that may run only once.
"""

from __future__ import annotations

MAX_REMEMBERED_IDS = 10_000  # the oldest are dropped first: their clients are the likeliest to have given up


class RequestIds:
    """Decides whether a request with a given id may be accepted."""

    def __init__(self) -> None:
        self._open: set[bytes] = set()
        self._remembered_until: dict[bytes, float] = {}  # the oldest first

    def is_known(self, request_id: bytes, now: float) -> bool:
        """Whether a request with this id is open, or may have run recently; `now` in seconds as in `remember`."""
        return request_id in self._open or self._remembered_until.get(request_id, now) > now

    def add(self, request_id: bytes) -> None:
        """The request is open."""
        self._open.add(request_id)

    def discard(self, request_id: bytes) -> None:
        """The request is no longer open."""
        self._open.discard(request_id)

    def remember(self, request_id: bytes, now: float, until: float) -> None:
        """The request may have run and must not run again; its client waits no longer than `until`."""
        self._remembered_until.pop(request_id, None)
        self._remembered_until[request_id] = until
        for oldest in list(self._remembered_until):
            if self._remembered_until[oldest] > now and len(self._remembered_until) <= MAX_REMEMBERED_IDS:
                break
            del self._remembered_until[oldest]
