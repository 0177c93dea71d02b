"""Fetching what is missing, page by page and newest first: the whole table, or what was told since some counter.

    state   | a page came       | it was the last          | nothing came for WAIT_MS
    asks    | asks for the next | done: `whole` or not     | given up; its owner asks somebody else

One who serves keeps nothing between pages: the place in the table is in the question. What is told meanwhile comes by
itself, as who asks is a member already.
"""

from __future__ import annotations

from heapq import merge
from itertools import islice

from .messages import MOST_PAGE, Ask, Page
from .peers import Peer, Peers
from .sights import MOST_COUNT, TENTHS, Teller, pack, take
from .table import Shared

WAIT_MS = 1000.0  # for a page, beyond what its bytes may take
ROW_BYTES = 56  # of one copy in a page, about
LAST_KEY = (1 << 128) - 1


def page(table: Shared, peers: Peers, teller: Teller, name: str, now: float, ask: Ask) -> Page | None:
    """The answer; None to what makes no sense."""
    if len(ask.key) != 16 or not (0 <= ask.stamp <= MOST_COUNT and -1 <= ask.floor <= MOST_COUNT):
        return None
    seq, counter, covered = teller.seq, teller.counter, now - teller.covered
    if ask.of and ask.of != name:
        of = peers.get(ask.of)
        known = of is not None and of.life == ask.of_life and not of.gap and of.seq >= 0
        if of is None or not known:
            return Page(teller.life, ask.serial, now, (), (), (), True, table.whole)
        seq, counter, covered = of.seq, of.upto, now - of.covered
    rows, key = table.rows, int.from_bytes(ask.key, "big")
    newest = merge(*(order.newest(ask.floor, ask.stamp, key) for order in table.orders),
                   key=lambda row: (-rows.stamp[row], -rows.key(row)))
    chosen = list(islice(newest, MOST_PAGE + 1))
    last = len(chosen) <= MOST_PAGE
    age = int(covered * TENTHS) + 1 if 0 <= covered < 1e15 else -1
    return Page(teller.life, ask.serial, now, *pack(table, chosen[:MOST_PAGE], now), last, table.whole, seq, counter,
                age)


class Fetch:
    """One table, or what was told since `floor`, from `peer`."""

    def __init__(self, peer: Peer, serial: int, floor: int, of: Peer | None, rate: float, now: float) -> None:
        self.peer, self.serial, self.floor, self.of, self.rate = peer, serial, floor, of, rate
        self.life = peer.life
        self.began = self.asked = now
        self.done = self.whole = False
        self.rows = 0
        self.first: Page | None = None  # what it knows of `of`: later rows come by themselves, or are asked for again
        self._stamp, self._key = MOST_COUNT, LAST_KEY
        self._next = now
        self._waits = False

    def ask(self, now: float, life: int) -> Ask | None:
        """The next question, when its time has come."""
        if self.done or self._waits or now < self._next:
            return None
        self._waits, self.asked = True, now
        of = ("", 0) if self.of is None else (self.of.name, self.of.life)
        return Ask(life, self.serial, self.floor, self._stamp, self._key.to_bytes(16, "big"), *of)

    def late(self, now: float) -> bool:
        return self._waits and now >= self.asked + WAIT_MS + 1000.0 * MOST_PAGE * ROW_BYTES / self.rate

    def heard(self, table: Shared, now: float, answer: Page) -> None:
        if answer.serial != self.serial or not self._waits or self.done:
            return
        self._waits = False
        self.first = self.first or answer
        take(table, now, self.peer, answer.sent, (answer.providers, answer.names, answer.rows), seer=False)
        self.rows += len(answer.rows)
        self.done, self.whole = answer.last or not answer.rows, answer.whole
        if answer.rows:
            end = answer.rows[-1]
            place = (end.stamp, int.from_bytes(end.key, "big"))
            if not (0 <= place[0] and place < (self._stamp, self._key)):
                self.done, self.whole = True, False  # it goes round in circles
            self._stamp, self._key = place
        # A page's bytes at the rate, from when it was asked for.
        self._next = max(now, self.asked + 1000.0 * len(answer.rows) * ROW_BYTES / self.rate)
