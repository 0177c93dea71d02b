"""The ids of requests that are open, or that may have run and must not run again.

If a client sends a request while the sidecar closes the connection, it sends the request again with the same id. If the
first request was read all the same and its response was lost, the second one would repeat work that may run only once.
"""

from __future__ import annotations

MAX_REMEMBERED_IDS = 10_000  # the oldest are dropped first, as their clients have most likely given up


class RequestIds:
    """Decides whether a request with a given id may be accepted."""

    def __init__(self) -> None:
        self._open: set[bytes] = set()
        self._remembered_until: dict[bytes, float] = {}  # s, on the clock of `remember`; the oldest first

    def is_known(self, request_id: bytes, now: float) -> bool:
        """Whether a request with this id is open, or is remembered; `now` is in seconds, as in `remember`."""
        return request_id in self._open or self._remembered_until.get(request_id, now) > now

    def add(self, request_id: bytes) -> None:
        """Adds the id of an open request."""
        self._open.add(request_id)

    def discard(self, request_id: bytes) -> None:
        """Removes the id of a request that is no longer open."""
        self._open.discard(request_id)

    def remember(self, request_id: bytes, now: float, until: float) -> None:
        """Remembers the id of a request that may have run and must not run again.

        `until`: when its client has given up, in seconds on the same clock as `now`.
        """
        self._remembered_until.pop(request_id, None)
        self._remembered_until[request_id] = until
        for oldest in list(self._remembered_until):
            if self._remembered_until[oldest] > now and len(self._remembered_until) <= MAX_REMEMBERED_IDS:
                break
            del self._remembered_until[oldest]
