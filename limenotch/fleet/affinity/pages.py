"""Fetches missing rows page by page, newest first: the complete table, or the rows updated since some counter.

    state      | a page arrives        | it is the last | none arrives for ANSWER_TIMEOUT_MS
    requesting | requests the next one | done           | given up; the owner asks another peer

The serving member keeps no state between pages: the request has the position. Updates sent meanwhile arrive by
themselves, as the requester is a member already. So what the first page lists as known is known after the last page.
"""

from __future__ import annotations

from heapq import merge
from itertools import islice

from .clocks import INFINITE
from .context import Context
from .last_seen import MAX_COUNTER, TENTHS_PER_MS, apply_replicas, pack_rows
from .messages import MAX_PAGE_ROWS, KnownMember, Page, PageRequest
from .peers import Peer
from .table import AffinityTable

ANSWER_TIMEOUT_MS = 1000.0  # for a page, in addition to its transmission at the byte rate
ROW_BYTES = 56  # approximate size of one replica in a page
LAST_KEY = (1 << 128) - 1


def _known_members(context: Context) -> tuple[KnownMember, ...]:
    now, update_sender = context.now, context.update_sender

    def age(watermark_ms: float) -> int:
        return int(max(0.0, now - watermark_ms) * TENTHS_PER_MS) + 1

    known = [
        KnownMember(
            context.name,
            context.process_epoch,
            update_sender.seq,
            context.table.counter,
            age(update_sender.watermark_ms),
        )
    ]
    known += [
        KnownMember(peer.name, peer.process_epoch, peer.last_seq, peer.known_counter, age(peer.watermark_ms))
        for peer in context.peers.alive_peers()
        if peer.last_seq >= 0 and not peer.has_gap and now - peer.watermark_ms < 1e12
    ]
    return tuple(known)


def build_page(context: Context, request: PageRequest) -> Page | None:
    """Builds the answer to a page request; None if the request is invalid."""
    if len(request.key) != 16 or not (0 <= request.stamp <= MAX_COUNTER and -1 <= request.floor <= MAX_COUNTER):
        return None
    table, now = context.table, context.now
    rows, key = table.rows, int.from_bytes(request.key, "big")
    if request.member and request.member != context.name:
        member = context.peers.get(request.member)
        if (
            member is None
            or member.process_epoch != request.member_process_epoch
            or member.has_gap
            or member.last_seq < 0
        ):
            return Page(context.process_epoch, request.serial, now, (), (), (), True, table.complete)
    newest_first = merge(
        *(order.newest(request.floor, request.stamp, key) for order in table.orders),
        key=lambda row: (-rows.stamp[row], -rows.key(row)),
    )
    chosen_rows = list(islice(newest_first, MAX_PAGE_ROWS + 1))
    known_members = _known_members(context) if request.stamp == MAX_COUNTER else ()
    return Page(
        context.process_epoch,
        request.serial,
        now,
        *pack_rows(table, chosen_rows[:MAX_PAGE_ROWS], now),
        len(chosen_rows) <= MAX_PAGE_ROWS,
        table.complete,
        known_members,
    )


class Fetch:
    """Fetches from `peer` the rows with stamps above `floor`; -1: all rows.

    `member`: whose updates are missing; None: everything is. `bytes_per_s` limits the rate of pages.
    """

    def __init__(
        self, peer: Peer, serial: int, floor: int, member: Peer | None, bytes_per_s: float, now: float
    ) -> None:
        self.peer, self.serial, self.floor, self.member, self.bytes_per_s = peer, serial, floor, member, bytes_per_s
        self.requested_at_ms = now
        self.done = self.complete = False
        self.first_page: Page | None = None
        self.pages = 0
        self._stamp, self._key = MAX_COUNTER, LAST_KEY
        self._next_request_ms = now
        self._awaiting_page = False

    def next_request(self, now: float, process_epoch: int) -> PageRequest | None:
        """The next request, if it is time for one."""
        if self.done or self._awaiting_page or now < self._next_request_ms:
            return None
        self._awaiting_page, self.requested_at_ms = True, now
        member = ("", 0) if self.member is None else (self.member.name, self.member.process_epoch)
        return PageRequest(process_epoch, self.serial, self.floor, self._stamp, self._key.to_bytes(16, "big"), *member)

    @property
    def due_at_ms(self) -> float:
        """When the next request may be sent; infinite while a page is awaited."""
        return INFINITE if self.done or self._awaiting_page else self._next_request_ms

    def timed_out(self, now: float) -> bool:
        return (
            self._awaiting_page
            and now >= self.requested_at_ms + ANSWER_TIMEOUT_MS + 1000.0 * MAX_PAGE_ROWS * ROW_BYTES / self.bytes_per_s
        )

    def on_page(self, table: AffinityTable, now: float, page: Page) -> None:
        if page.serial != self.serial or not self._awaiting_page or self.done:
            return
        self._awaiting_page = False
        self.first_page, self.pages = self.first_page or page, self.pages + 1
        apply_replicas(
            table, now, self.peer, page.sent_ms, (page.endpoints, page.authors, page.rows), from_observer=False
        )
        self.done, self.complete = page.last or not page.rows, page.complete
        if page.rows:
            last_replica = page.rows[-1]
            position = (last_replica.stamp, int.from_bytes(last_replica.key, "big"))
            if not (position[0] >= 0 and position < (self._stamp, self._key)):
                self.done, self.complete, self.first_page = True, False, None  # pages do not progress
            self._stamp, self._key = position
        # The page's size at the byte rate, counted from its request.
        self._next_request_ms = max(now, self.requested_at_ms + 1000.0 * len(page.rows) * ROW_BYTES / self.bytes_per_s)
