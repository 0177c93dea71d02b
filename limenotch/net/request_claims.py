"""While a process takes over from another one, a request that may run only once is accepted by one of the two.

The predecessor decides, as all its requests are known to it. It sends its successor the ids of its own requests when
they are accepted, before they run. The successor asks for each id (a claim) before its request goes on. All of it goes
over the connection of the hand-over, in lines.
"""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic

from .request import Attempt, FinalResponse, Request, RetryLater, Verdict
from .request_ids import RequestIds, key_of

CLAIM = b"claim"
FREE = b"free"
TAKEN = b"taken"
REMEMBER = b"remember"
CHECK_INTERVAL_MS = 2.0  # while a claim is not answered
MAX_CLAIMS = 4096  # that are not answered or not used yet

Send = Callable[[bytes], None]


def remember_line(key: bytes, left_s: float) -> bytes:
    """Tells a successor that the request with this key must not run there for `left_s` seconds."""
    return b"%b %b %d\n" % (REMEMBER, key.hex().encode(), max(int(left_s * 1000.0), 1))


def answer_claim(ids: RequestIds, line: bytes, hold_s: float) -> bytes | None:
    """The predecessor's answer to a claim; None if `line` is none. A granted id is remembered for `hold_s` seconds."""
    word, _, text = line.strip().partition(b" ")
    if word != CLAIM:
        return None
    key = bytes.fromhex(text.decode("ascii"))
    now = monotonic()
    taken = ids.is_key_known(key, now)
    if not taken:
        ids.remember_key(key, now, now + hold_s)
    return b"%b %b\n" % (TAKEN if taken else FREE, text)


class PredecessorClaims:
    """Takes part in the admission of requests while a predecessor runs: each that may run only once is claimed there.

    An interceptor of requests (see `RequestInterceptor`).
    """

    def __init__(self, ids: RequestIds, send: Send) -> None:
        """`send` sends a line to the predecessor."""
        self._ids = ids
        self._send = send
        self._ended = False
        self._answers: dict[bytes, bool | None] = {}  # by key, whether it is free; None: not answered yet

    def handle_line(self, line: bytes) -> None:
        """Handles a line of the predecessor. Unknown lines are ignored: they may be of a later version."""
        word, *values = line.split()
        if word == REMEMBER and len(values) == 2:
            now = monotonic()
            self._ids.remember_key(bytes.fromhex(values[0].decode("ascii")), now, now + int(values[1]) / 1000.0)
        elif word in (FREE, TAKEN) and len(values) == 1:
            key = bytes.fromhex(values[0].decode("ascii"))
            if key in self._answers:
                self._answers[key] = word == FREE

    def predecessor_ended(self) -> None:
        """The predecessor has ended; all that it has sent was handled before."""
        self._ended = True
        self._answers.clear()

    def request_received(self, request: Request) -> FinalResponse | RetryLater | None:
        """Admits a request whose id is free."""
        if self._ended or request.policy.is_idempotent:
            return None
        key = key_of(request.request_id)
        if key not in self._answers:
            if len(self._answers) >= MAX_CLAIMS:
                return FinalResponse(Verdict.REJECTED)
            self._answers[key] = None
            self._send(b"%b %b\n" % (CLAIM, key.hex().encode()))
        free = self._answers[key]
        if free is None:
            return RetryLater(CHECK_INTERVAL_MS, FinalResponse(Verdict.REJECTED))
        del self._answers[key]
        return None if free else FinalResponse(Verdict.FAILED)

    def attempt_started(self, attempt: Attempt) -> None:
        """Has no meaning here."""

    def attempt_ended(self, attempt: Attempt, ending: object) -> None:
        """Has no meaning here."""

    def request_closed(self, request: Request) -> None:
        """Has no meaning here."""
