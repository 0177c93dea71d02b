"""Live rows: activates, changes, evicts and removes them, and keeps digests, eviction order and wheel in step."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from hashlib import blake2b

from .api import Kind, State
from .clocks import INFINITE
from .eviction import CLASS_COUNT, ENDING, OPENED, OPENING, EvictionOrder, eviction_class
from .expiry import Lifetimes
from .messages import Placement
from .names import EndpointNumbers, MemberNumbers
from .rows import CHARGED, ENDPOINT_REMOVED, KIND, NIL, OBSERVED_HERE, STATE, STATE_SHIFT, TOMBSTONE, UNANNOUNCED, Rows
from .timer_wheel import EXPIRED_SLOT, TimerWheel
from .tuning import Tuning

ChangeCallback = Callable[[str, bytes, str], None]  # `has`, `moved`, `forgot`; hash; endpoint: for the simulator
EndCallback = Callable[[str, bytes], None]  # per row that ends: `over`, `full`, `gone`, `undo`, `fenced`; hash


class TableEntries:
    """The rows and what depends on them.

    `watermark_ms`: local time up to which all peers' updates are known; the component maintains it.
    """

    def __init__(
        self, name: str, key: bytes, tuning: Tuning, now: float = 0.0, on_change: ChangeCallback | None = None
    ) -> None:
        self.tuning, self.lifetimes, self.on_change = tuning, Lifetimes(tuning), on_change
        self.on_end: EndCallback | None = None
        self.members, self.endpoints = MemberNumbers(), EndpointNumbers()
        self.own_number = self.members.number(name)
        self.counter = 0  # Lamport counter
        self.watermark_ms = INFINITE
        self.age_slack_ms = 0.0  # by how much a replica's age may be overestimated; maintained by the component
        self.complete = False
        self.counts: dict[str, int] = {}
        self.changes = 0  # of live rows, other than of their ages
        self._key = blake2b(key=key, digest_size=16)
        self._kinds = [bytes([kind]) for kind in Kind]
        self.clear(now)

    def clear(self, now: float) -> None:
        """Removes all bindings."""
        self.rows = Rows(self.members.bytes)
        self.wheel = TimerWheel(self.rows, self.tuning.tick_ms, now)
        self.orders = [EvictionOrder(self.rows) for _ in range(CLASS_COUNT)]
        self.reset_endpoints()
        self.live_rows = 0
        self.opening = 0  # rows in state OPENING, of any kind
        self.full = False
        self.to_announce: deque[int] = deque()  # rows; those without UNANNOUNCED have been sent
        self.to_undo: deque[tuple[int, int, int, int]] = deque()  # key, generation, moves, version

    def reset_endpoints(self) -> None:
        listed = self.endpoints.listed
        self.endpoints = EndpointNumbers()
        self.endpoints.update_listed(listed)

    def idle_ms(self, row: int) -> float:
        return self.lifetimes.idle_ms[self.rows.flags[row] & (KIND | STATE)]

    def expires_at_ms(self, row: int) -> float:
        rows, flags = self.rows, self.rows.flags[row]
        return min(
            rows.last_seen_ms[row] + self.lifetimes.idle_ms[flags & (KIND | STATE)],
            rows.created_ms[row] + self.lifetimes.max_lifetime_ms[flags & KIND],
        )

    def removable_at_ms(self, row: int) -> float:
        """Earliest time at which the row may be removed: expired at every member, even one with the slowest clock."""
        return min(self.idle_removable_at_ms(row), self.rows.created_ms[row] + self._max_lifetime_ms(row))

    def idle_removable_at_ms(self, row: int) -> float:
        """End of the idle time, which the peers' watermarks have to pass.

        `drift` counts twice: clocks run apart while the row ages, and a replica's age is overestimated by `drift` and
        `age_slack_ms`; see last_seen.apply_replicas.
        """
        return self.rows.last_seen_ms[row] + self.idle_ms(row) * (1 + 2 * self.tuning.drift) + self.age_slack_ms

    def may_remove(self, row: int, now: float) -> bool:
        """The longest lifetime needs no watermark: all members count it from the creation, and no use extends it."""
        idle_removable_at_ms = self.idle_removable_at_ms(row)
        return now >= idle_removable_at_ms <= self.watermark_ms or now >= self.rows.created_ms[
            row
        ] + self._max_lifetime_ms(row)

    def _max_lifetime_ms(self, row: int) -> float:
        return self.lifetimes.max_lifetime_ms[self.rows.flags[row] & KIND] * (1 + self.tuning.drift)

    def remove(self, now: float, row: int, reason: str) -> None:
        """Turns a live row into a tombstone, which keeps the generation while replicas of the row may be in flight."""
        rows = self.rows
        self._notify_change("forgot", row)
        self._notify_end(reason, row)
        self._deactivate(row)
        if len(rows) > 2 * self.tuning.most:
            self.add_count("no grave")
            self.wheel.unlink(row)
            rows.free(row)
            return
        rows.flags[row] = rows.flags[row] & KIND | TOMBSTONE
        rows.created_ms[row] = now
        if reason != "over":
            rows.last_seen_ms[row] = now  # young replicas of it are in flight
        self.wheel.schedule(row, now + self.tuning.grave_ms)

    def mark_endpoint_removed(self, row: int) -> None:
        """The row's endpoint was removed: the row is evicted first. Keys stay as they are."""
        rows = self.rows
        flags = rows.flags[row]
        if flags & (TOMBSTONE | ENDPOINT_REMOVED) or flags & KIND == Kind.KEY:
            return
        self.orders[eviction_class(flags)].drop(row, rows.stamp[row])
        rows.flags[row] = flags | ENDPOINT_REMOVED
        self.orders[ENDING].add(row, rows.stamp[row])
        self._notify_end("gone", row)

    def announce(self, row: int) -> None:
        if not self.rows.flags[row] & UNANNOUNCED:
            self.rows.flags[row] |= UNANNOUNCED
            self.to_announce.append(row)

    def restamp(self, row: int, stamp: int) -> None:
        """Any member's update makes the row the last of its class to be evicted."""
        rows = self.rows
        if stamp > rows.stamp[row]:
            order = self.orders[self._eviction_class(row)]
            order.drop(row, rows.stamp[row])
            rows.stamp[row] = stamp
            order.add(row, stamp)

    def _eviction_class(self, row: int) -> int:
        return eviction_class(self.rows.flags[row])

    def _write(
        self,
        row: int,
        flags: int,
        placement: Placement,
        generation: int,
        moves: int,
        version: int,
        author: str,
        last_seen_ms: float,
        created_ms: float,
        announced_ms: float,
        stamp: int,
    ) -> None:
        rows = self.rows
        number = self.endpoints.number(placement)
        ended = ENDPOINT_REMOVED if self.endpoints.removed[number] else 0
        rows.flags[row], rows.endpoint[row] = flags & ~ENDPOINT_REMOVED | ended, number
        rows.generation[row], rows.moves[row], rows.version[row] = generation, moves, version
        rows.author[row] = self.members.number(author)
        rows.last_seen_ms[row], rows.created_ms[row], rows.announced_ms[row], rows.stamp[row] = (
            last_seen_ms,
            created_ms,
            announced_ms,
            stamp,
        )

    def _activate(self, row: int) -> None:
        """Makes a row live whose columns are set."""
        rows = self.rows
        self.endpoints.acquire(rows.endpoint[row])
        self.orders[self._eviction_class(row)].add(row, rows.stamp[row])
        rows.toggle_digest(row)
        self.changes += 1
        self.live_rows += 1
        self.opening += not rows.flags[row] & STATE

    def _deactivate(self, row: int) -> None:
        rows = self.rows
        self.orders[self._eviction_class(row)].drop(row, rows.stamp[row])
        rows.toggle_digest(row)
        self.live_rows -= 1
        self.opening -= not rows.flags[row] & STATE
        self.endpoints.release(rows.endpoint[row])

    def _change_flags(self, row: int, flags: int) -> None:
        """Sets the flags, and reschedules the row if its state changed, as idle times depend on the state."""
        rows = self.rows
        state = (rows.flags[row] ^ flags) & STATE
        self._deactivate(row)
        rows.flags[row] = flags
        self._activate(row)
        if state:
            self.wheel.schedule(row, min(self.expires_at_ms(row), self._pending_announcement_ms(row)))

    def _pending_announcement_ms(self, row: int) -> float:
        """When the row expires by the age that peers have, if this member has a later use; else infinite."""
        return self.announced_expiry_ms(row) if self.rows.last_seen_ms[row] > self.rows.announced_ms[row] else INFINITE

    def announced_expiry_ms(self, row: int) -> float:
        """When the row expires by the last use that was announced to the peers."""
        return self.rows.announced_ms[row] + self.idle_ms(row)

    def _refresh(self, row: int, last_seen_ms: float) -> None:
        """Applies a use that another member announced."""
        rows = self.rows
        if last_seen_ms > rows.last_seen_ms[row]:
            rows.last_seen_ms[row] = last_seen_ms
            if rows.wheel_slot[row] == EXPIRED_SLOT:
                self.wheel.schedule(row, self.expires_at_ms(row))
        rows.announced_ms[row] = max(rows.announced_ms[row], last_seen_ms)

    def _replace(
        self,
        row: int,
        flags: int,
        placement: Placement,
        generation: int,
        moves: int,
        version: int,
        author: str,
        last_seen_ms: float,
        created_ms: float,
        stamp: int,
        same_generation: bool,
        old_expired: bool,
    ) -> None:
        """Replaces the row's value by one that wins; the last use, and that the binding was open, are retained."""
        rows = self.rows
        old_flags = rows.flags[row]
        moved = placement[0] != self.endpoints.placements[rows.endpoint[row]][0]
        announced_ms, stamp = rows.announced_ms[row], max(stamp, rows.stamp[row])
        kept_flags = old_flags & (UNANNOUNCED | OBSERVED_HERE)
        if same_generation:
            kept_flags |= old_flags & CHARGED
        if not flags & STATE and old_flags & STATE and (same_generation or not old_expired):
            flags |= State.OPEN << STATE_SHIFT  # values.state_beside
        last_seen_ms, announced_ms = max(last_seen_ms, rows.last_seen_ms[row]), max(announced_ms, last_seen_ms)
        # Acquired first, so that the number is not released if it stays the same.
        self.endpoints.acquire(number := self.endpoints.number(placement))
        self._deactivate(row)
        self._write(
            row,
            flags | kept_flags,
            placement,
            generation,
            moves,
            version,
            author,
            last_seen_ms,
            created_ms,
            announced_ms,
            stamp,
        )
        self._activate(row)
        self.endpoints.release(number)
        self.wheel.schedule(row, min(self.expires_at_ms(row), self._pending_announcement_ms(row)))
        if moved:
            self._notify_change("moved", row)

    def _allocate(self, now: float, key: int, row: int, flags: int, stamp: int) -> int:
        """Returns a row for the key (`row` if its tombstone has one), evicting another if needed; NIL if full."""
        opening = not flags & STATE
        if opening and self.opening >= self.tuning.most_opening * self.tuning.most:
            if not self._evict(now, (OPENING,), flags, stamp, key):
                return NIL
        elif self.live_rows >= self.tuning.most:
            if not self._evict(now, (ENDING, OPENING) if opening else (ENDING, OPENED), flags, stamp, key):
                return NIL
        elif self.live_rows < 0.9 * self.tuning.most:
            self.full = False
        return self.rows.add(key) if row == NIL else row

    def _evict(self, now: float, classes: tuple[int, ...], flags: int, stamp: int, key: int) -> bool:
        own_class = eviction_class(flags)
        for class_number in classes:
            row = self.orders[class_number].lowest()
            if own_class == class_number and (row == NIL or (stamp, key) < (self.rows.stamp[row], self.rows.key(row))):
                break  # the new row would itself be evicted next
            if row == NIL:
                continue
            self.add_count("gave way")
            self.remove(now, row, "full")
            self.full = True
            return True
        self.add_count("no room")
        self.full = True
        return False

    def _notify_change(self, change: str, row: int) -> None:
        if self.on_change is not None:
            rows = self.rows
            self.on_change(change, rows.key(row).to_bytes(16, "big"), self.endpoints.placements[rows.endpoint[row]][0])

    def _notify_end(self, reason: str, row: int) -> None:
        if self.on_end is not None:
            self.on_end(reason, self.rows.key(row).to_bytes(16, "big"))

    def add_count(self, reason: str) -> None:
        self.counts[reason] = self.counts.get(reason, 0) + 1
