"""The ids of requests that are open, or that may have run and must not run again.

If a client sends a request while the sidecar closes the connection, it sends the request again with the same id. If the
first request was read all the same and its response was lost, the second one would repeat work that may run only once.
"""

from __future__ import annotations

from hashlib import blake2b

MAX_REMEMBERED_IDS = 10_000  # the oldest are dropped first, as their clients have most likely given up
MAX_PLAIN_ID_BYTES = 32  # of longer ids a digest is kept
DIGEST_BYTES = 20
DIGEST_MARK = b"\0"  # no id contains it


def _key(request_id: bytes) -> bytes:
    """What is kept of an id: clients choose ids, and their length."""
    if len(request_id) <= MAX_PLAIN_ID_BYTES:
        return request_id
    return DIGEST_MARK + blake2b(request_id, digest_size=DIGEST_BYTES).digest()


class RequestIds:
    """Decides whether a request with a given id may be accepted."""

    def __init__(self) -> None:
        self.limit = MAX_REMEMBERED_IDS
        self._open: set[bytes] = set()
        self._remembered_until: dict[bytes, float] = {}  # s, on the clock of `remember`; the oldest first

    def is_known(self, request_id: bytes, now: float) -> bool:
        """Whether a request with this id is open, or is remembered; `now` is in seconds, as in `remember`."""
        key = _key(request_id)
        return key in self._open or self._remembered_until.get(key, now) > now

    def is_full(self, now: float) -> bool:
        """Whether no further id could be remembered without dropping one that must not run again."""
        self._drop_expired(now)
        return len(self._remembered_until) + len(self._open) >= self.limit

    def add(self, request_id: bytes) -> None:
        """Adds the id of an open request."""
        self._open.add(_key(request_id))

    def discard(self, request_id: bytes) -> None:
        """Removes the id of a request that is no longer open."""
        self._open.discard(_key(request_id))

    def remember(self, request_id: bytes, now: float, until: float) -> None:
        """Remembers the id of a request that may have run and must not run again.

        `until`: when its client has given up, in seconds on the same clock as `now`.
        """
        key = _key(request_id)
        self._remembered_until.pop(key, None)
        self._remembered_until[key] = until
        self._drop_expired(now)
        while len(self._remembered_until) > self.limit:
            del self._remembered_until[next(iter(self._remembered_until))]

    def _drop_expired(self, now: float) -> None:
        """Drops expired ids from the oldest on, up to one that has not expired."""
        while self._remembered_until:
            oldest = next(iter(self._remembered_until))
            if self._remembered_until[oldest] > now:
                return
            del self._remembered_until[oldest]
