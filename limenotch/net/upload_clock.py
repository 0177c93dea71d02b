"""How long the client of a long request was held back by an endpoint that reads slowly, when it may have sent all.

The time of a request runs from the moment at which its client has sent the last byte. What of it waits in the client's
kernel can't be seen from here: while no more is read, the client may have sent as much as its kernel takes.
"""

from __future__ import annotations

MAX_UNSEEN_BYTES = 4 * 1024 * 1024  # of a client's send buffer (Linux, tcp_wmem)


class UploadClock:
    """Counts the time in which a client was held back over the last MAX_UNSEEN_BYTES of its body, or a little more."""

    def __init__(self, length: int | None) -> None:
        """`length`: of the body in bytes, None: known at its end. Times are seconds on any one clock."""
        self._length = length
        self._received_bytes = 0
        self._section = 0  # of MAX_UNSEEN_BYTES each, that is being received
        self._held_s = 0.0  # in this section
        self._earlier_held_s = 0.0  # in the section before
        self._held_since: float | None = None

    def received(self, total_bytes: int) -> None:
        """So many bytes of the body have been received."""
        self._received_bytes = total_bytes
        section = total_bytes // MAX_UNSEEN_BYTES
        if section != self._section:
            self._earlier_held_s = self._held_s if section == self._section + 1 else 0.0
            self._held_s = 0.0
            self._section = section

    @property
    def may_be_sent(self) -> bool:
        """Whether the client may have sent its last byte."""
        return self._length is None or self._length - self._received_bytes <= MAX_UNSEEN_BYTES

    def hold(self, now: float) -> None:
        """No more is read from the client until `release`."""
        self._held_since = now if self.may_be_sent else None

    def release(self, now: float) -> None:
        """The client is read again."""
        if self._held_since is not None:
            self._held_s += now - self._held_since
        self._held_since = None

    @property
    def held_s(self) -> float:
        """The seconds that count against the time of the request."""
        return self._held_s + self._earlier_held_s
