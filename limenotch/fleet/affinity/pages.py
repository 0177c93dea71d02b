"""Fetching what is missing, page by page and newest first: the whole table, or what was told since some counter.

    state   | a page came       | it was the last | nothing came for WAIT_MS
    asks    | asks for the next | done            | given up; its owner asks somebody else

One who serves keeps nothing between pages: the place in the table is in the question. What is told meanwhile comes by
itself, as who asks is a member already; so what the first page says to be known is known when the last has come.
"""

from __future__ import annotations

from heapq import merge
from itertools import islice

from .clocks import INFINITE
from .context import Ground
from .last_seen import MOST_COUNT, TENTHS, pack, take
from .messages import MOST_PAGE, Ask, Knows, Page
from .peers import Peer
from .table import Shared

WAIT_MS = 1000.0  # for a page, beyond what its bytes may take
ROW_BYTES = 56  # of one copy in a page, about
LAST_KEY = (1 << 128) - 1


def _knows(ground: Ground) -> tuple[Knows, ...]:
    now, teller = ground.now, ground.teller

    def age(covered: float) -> int:
        return int(max(0.0, now - covered) * TENTHS) + 1

    known = [Knows(ground.name, ground.process_epoch, teller.seq, ground.table.counter, age(teller.covered))]
    known += [
        Knows(peer.name, peer.process_epoch, peer.seq, peer.upto, age(peer.covered))
        for peer in ground.peers.live()
        if peer.seq >= 0 and not peer.gap and now - peer.covered < 1e12
    ]
    return tuple(known)


def page(ground: Ground, ask: Ask) -> Page | None:
    """The answer; None to what makes no sense."""
    if len(ask.key) != 16 or not (0 <= ask.stamp <= MOST_COUNT and -1 <= ask.floor <= MOST_COUNT):
        return None
    table, now = ground.table, ground.now
    rows, key = table.rows, int.from_bytes(ask.key, "big")
    if ask.of and ask.of != ground.name:
        of = ground.peers.get(ask.of)
        if of is None or of.process_epoch != ask.of_process_epoch or of.gap or of.seq < 0:
            return Page(ground.process_epoch, ask.serial, now, (), (), (), True, table.whole)
    newest = merge(
        *(order.newest(ask.floor, ask.stamp, key) for order in table.orders),
        key=lambda row: (-rows.stamp[row], -rows.key(row)),
    )
    chosen = list(islice(newest, MOST_PAGE + 1))
    knows = _knows(ground) if ask.stamp == MOST_COUNT else ()
    return Page(
        ground.process_epoch,
        ask.serial,
        now,
        *pack(table, chosen[:MOST_PAGE], now),
        len(chosen) <= MOST_PAGE,
        table.whole,
        knows,
    )


class Fetch:
    """From `peer` what has stamps above `floor`; -1: all."""

    def __init__(self, peer: Peer, serial: int, floor: int, of: Peer | None, rate: float, now: float) -> None:
        self.peer, self.serial, self.floor, self.of, self.rate = peer, serial, floor, of, rate
        self.asked = now
        self.done = self.whole = False
        self.first: Page | None = None
        self.pages = 0
        self._stamp, self._key = MOST_COUNT, LAST_KEY
        self._next = now
        self._waits = False

    def ask(self, now: float, process_epoch: int) -> Ask | None:
        """The next question, when its time has come."""
        if self.done or self._waits or now < self._next:
            return None
        self._waits, self.asked = True, now
        of = ("", 0) if self.of is None else (self.of.name, self.of.process_epoch)
        return Ask(process_epoch, self.serial, self.floor, self._stamp, self._key.to_bytes(16, "big"), *of)

    @property
    def due(self) -> float:
        """When the next question may go out; infinite while an answer is awaited."""
        return INFINITE if self.done or self._waits else self._next

    def late(self, now: float) -> bool:
        return self._waits and now >= self.asked + WAIT_MS + 1000.0 * MOST_PAGE * ROW_BYTES / self.rate

    def heard(self, table: Shared, now: float, answer: Page) -> None:
        if answer.serial != self.serial or not self._waits or self.done:
            return
        self._waits = False
        self.first, self.pages = self.first or answer, self.pages + 1
        take(table, now, self.peer, answer.sent, (answer.providers, answer.names, answer.rows), seer=False)
        self.done, self.whole = answer.last or not answer.rows, answer.whole
        if answer.rows:
            end = answer.rows[-1]
            place = (end.stamp, int.from_bytes(end.key, "big"))
            if not (place[0] >= 0 and place < (self._stamp, self._key)):
                self.done, self.whole, self.first = True, False, None  # it goes round in circles
            self._stamp, self._key = place
        # A page's bytes at the rate, from when it was asked for.
        self._next = max(now, self.asked + 1000.0 * len(answer.rows) * ROW_BYTES / self.rate)
