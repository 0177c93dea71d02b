"""The ids of requests that are open, or that may have run and must not run again.

If a client sends a request while the sidecar closes the connection, it sends the request again with the same id. If the
first request was read all the same and its response was lost, the second one would repeat work that may run only once.
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b

MAX_REMEMBERED_IDS = 10_000  # the oldest are dropped first, as their clients have most likely given up
MAX_PLAIN_ID_BYTES = 32  # of longer ids a digest is kept
DIGEST_BYTES = 20
DIGEST_MARK = b"\0"  # no id contains it


def key_of(request_id: bytes) -> bytes:
    """What is kept of an id: clients choose ids, and their length."""
    if len(request_id) <= MAX_PLAIN_ID_BYTES:
        return request_id
    return DIGEST_MARK + blake2b(request_id, digest_size=DIGEST_BYTES).digest()


class RequestIds:
    """Decides whether a request with a given id may be accepted."""

    def __init__(self) -> None:
        self.limit = MAX_REMEMBERED_IDS
        # Called with the key of each request that must not run elsewhere, and for how many seconds.
        self.notify: Callable[[bytes, float], None] = lambda key, left_s: None
        self._open: set[bytes] = set()
        self._remembered_until: dict[bytes, float] = {}  # s, on the clock of `remember`; the oldest first

    def is_known(self, request_id: bytes, now: float) -> bool:
        """Whether a request with this id is open, or is remembered; `now` is in seconds, as in `remember`."""
        return self.is_key_known(key_of(request_id), now)

    def is_key_known(self, key: bytes, now: float) -> bool:
        """The same for the key of an id."""
        return key in self._open or self._remembered_until.get(key, now) > now

    def is_full(self, now: float) -> bool:
        """Whether no further id could be remembered without dropping one that must not run again."""
        self._drop_expired(now)
        return len(self._remembered_until) + len(self._open) >= self.limit

    def add(self, request_id: bytes) -> None:
        """Adds the id of an open request."""
        self._open.add(key_of(request_id))

    def discard(self, request_id: bytes) -> None:
        """Removes the id of a request that is no longer open."""
        self._open.discard(key_of(request_id))

    def remember(self, request_id: bytes, now: float, until: float) -> None:
        """Remembers the id of a request that may have run and must not run again.

        `until`: when its client has given up, in seconds on the same clock as `now`.
        """
        self.remember_key(key_of(request_id), now, until)

    def remember_key(self, key: bytes, now: float, until: float) -> None:
        """The same for the key of an id."""
        self.notify(key, until - now)
        self._remembered_until.pop(key, None)
        self._remembered_until[key] = until
        self._drop_expired(now)
        while len(self._remembered_until) > self.limit:
            del self._remembered_until[next(iter(self._remembered_until))]

    def export(self, now: float, open_s: float) -> dict[str, float]:
        """Keys in hexadecimal, with the seconds for which each counts as known: open ones for `open_s`."""
        known = {key.hex(): until - now for key, until in self._remembered_until.items() if until > now}
        return {**known, **{key.hex(): open_s for key in self._open}}

    def import_keys(self, exported: object, now: float) -> None:
        """Remembers what `export` returned in another process. Raises ValueError or TypeError if it is not valid."""
        if not isinstance(exported, dict):
            raise TypeError("ids of requests: expected an object")
        for key, left_s in exported.items():
            self.remember_key(bytes.fromhex(key), now, now + float(left_s))

    def _drop_expired(self, now: float) -> None:
        """Drops expired ids from the oldest on, up to one that has not expired."""
        while self._remembered_until:
            oldest = next(iter(self._remembered_until))
            if self._remembered_until[oldest] > now:
                return
            del self._remembered_until[oldest]
