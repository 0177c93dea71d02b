"""The bindings that this member knows: implements `api.Table`, applies replicas, and expires rows.

| a row is | event | result |
| --- | --- | --- |
| live | last use + idle time, or creation + longest lifetime, passes | expired; waits for the peers' watermarks |
| expired | a use, local or announced | live; generation + 1 if local, as this member knows that it had expired |
| expired | the watermarks of all peers waited for have passed its expiry | tombstone |
| tombstone | a local use | live, generation + 1 |
| tombstone | its observer's update, young by its age | live as announced: the update and the removal crossed |
| tombstone | a young replica with a later use than was known here | live as replicated: it was in use elsewhere |
| tombstone | any other replica of the removed generation | unchanged: a stale replica revives nothing |
| tombstone | `grave_ms` pass | the row is freed |

An expired row is still found while a peer may have used it since: a known binding restricts where requests go.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from .api import Binding, Kind, State
from .clocks import INFINITE
from .entries import TableEntries
from .eviction import ENDING, PROTECTED
from .messages import Placement
from .rows import CHARGED, KIND, NIL, OBSERVED_HERE, STATE, STATE_SHIFT, TOMBSTONE, UNANNOUNCED
from .timer_wheel import EXPIRED_SLOT
from .values import MERGED_STATES, compare_versions

REPLICATED_FLAGS = KIND | STATE | CHARGED
MERGED_STATE_BITS = [[int(MERGED_STATES[State(held), State(told)]) for told in range(4)] for held in range(4)]


class AffinityTable(TableEntries):
    """The table of bindings; the host calls the methods of `api.Table`, the component the others."""

    # api.Table

    def hash(self, kind: Kind, key: bytes) -> int:
        digest = self._key.copy()
        digest.update(self._kinds[kind] + key)
        return int.from_bytes(digest.digest(), "big")

    def find(self, now: float, kind: Kind, key: bytes) -> Binding | None:
        rows = self.rows
        row = rows.find(self.hash(kind, key))
        if row == NIL:
            return None
        flags = rows.flags[row]
        if flags & TOMBSTONE or self._expire_if_allowed(row, now):
            return None
        number = rows.endpoint[row]
        if kind and self.endpoints.removed[number]:
            return None
        name, cell, zone = self.endpoints.placements[number]
        return Binding(
            name,
            cell,
            zone,
            State((flags & STATE) >> STATE_SHIFT),
            max(0.0, now - rows.last_seen_ms[row]),
            max(0.0, now - rows.created_ms[row]),
            bool(flags & CHARGED),
        )

    def record_use(
        self, now: float, kind: Kind, key: bytes, endpoint: str, state: State, charged: bool = False
    ) -> bool:
        key_hash = self.hash(kind, key)
        rows = self.rows
        row = rows.find(key_hash)
        if row == NIL or rows.flags[row] & TOMBSTONE or self._expire_if_allowed(row, now):
            generation = 0 if row == NIL else rows.generation[row] + 1
            return self._bind(now, key_hash, row, kind, self.endpoints.placement(endpoint), state, charged, generation)
        if now >= self.expires_at_ms(row):
            return self._rebind(now, row, kind, endpoint, state, charged)
        flags = rows.flags[row]
        after = MERGED_STATE_BITS[(flags & STATE) >> STATE_SHIFT][state]
        number = rows.endpoint[row]
        rows.last_seen_ms[row] = now
        if self.endpoints.removed[number] and endpoint != self.endpoints.placements[number][0]:
            placement = self.endpoints.placement(endpoint)
            # A key stays in its cell and zone: only there its repeats are deduplicated.
            if kind != Kind.KEY or placement[1:] == self.endpoints.placements[number][1:]:
                self._move(row, placement)
                flags = rows.flags[row]
        new_flags = flags & ~STATE | after << STATE_SHIFT | OBSERVED_HERE | (CHARGED if charged else 0)
        if new_flags != flags:
            if (new_flags ^ flags) & REPLICATED_FLAGS:
                self._change_flags(row, new_flags)
                self.announce(row)
            else:
                rows.flags[row] = new_flags
        if (
            not new_flags & UNANNOUNCED
            and now - rows.announced_ms[row] > self.tuning.tell * self.lifetimes.idle_ms[new_flags & (KIND | STATE)]
        ):
            self.announce(row)
        return True

    def undo(self, now: float, kind: Kind, key: bytes) -> None:
        rows = self.rows
        row = rows.find(self.hash(kind, key))
        if (
            row == NIL
            or rows.flags[row] & TOMBSTONE
            or rows.author[row] != self.own_number
            or (rows.flags[row] & STATE) >> STATE_SHIFT
        ):
            self.add_count("not to be undone")
            return
        self.to_undo.append((rows.key(row), rows.generation[row], rows.moves[row], rows.version[row]))
        self.remove(now, row, "undo")

    def status(self) -> Mapping[str, Any]:
        return {
            "held": self.live_rows,
            "graves": len(self.rows) - self.live_rows,
            "opening": self.opening,
            "whole": self.complete,
            "to_tell": len(self.to_announce),
            "ended": self.orders[ENDING].size,
            "kept": self.orders[PROTECTED].size,
            "counts": dict(self.counts),
        }

    def _bind(
        self,
        now: float,
        key: int,
        row: int,
        kind: Kind,
        placement: Placement,
        state: State,
        charged: bool,
        generation: int,
    ) -> bool:
        flags = kind | state << STATE_SHIFT | (CHARGED if charged else 0)
        row = self._allocate(now, key, row, flags, self.counter + 1)
        if row == NIL:
            self.add_count("refused")
            return False
        self.counter += 1
        # The next batch announces the row, so that `announced_ms` does not matter before it.
        self._write(
            row,
            flags | OBSERVED_HERE,
            placement,
            generation,
            0,
            self.counter,
            self.members.names[self.own_number],
            now,
            now,
            now,
            self.counter,
        )
        self._activate(row)
        self.announce(row)
        self.wheel.schedule(row, self.expires_at_ms(row))
        self._notify_change("has", row)
        return True

    def _rebind(self, now: float, row: int, kind: Kind, endpoint: str, state: State, charged: bool) -> bool:
        """Binds anew a row that is expired by its age. It keeps its endpoint, as a peer may have used it since."""
        rows = self.rows
        number = rows.endpoint[row]
        placement, bound = self.endpoints.placement(endpoint), self.endpoints.placements[number]
        charged = charged or bool(rows.flags[row] & CHARGED)
        if not self.endpoints.removed[number] or (kind == Kind.KEY and placement[1:] != bound[1:]):
            placement = bound
        generation = rows.generation[row] + 1
        self._notify_end("over", row)
        self._deactivate(row)
        rows.flags[row] = kind | TOMBSTONE
        self.wheel.schedule(row, now + self.tuning.grave_ms)
        return self._bind(now, rows.key(row), row, kind, placement, state, charged, generation)

    def _move(self, row: int, placement: Placement) -> None:
        rows = self.rows
        moves = min(rows.moves[row] + 1, 0xFFFF)
        self.counter += 1
        self._deactivate(row)
        self._write(
            row,
            rows.flags[row] & ~UNANNOUNCED,
            placement,
            rows.generation[row],
            moves,
            self.counter,
            self.members.names[self.own_number],
            rows.last_seen_ms[row],
            rows.created_ms[row],
            rows.announced_ms[row],
            rows.stamp[row],
        )
        self._activate(row)
        self.announce(row)
        self._notify_change("moved", row)

    # Ages

    def expire_after_fencing(self, now: float, max_rows: int) -> bool:
        """Removes expired rows without waiting for watermarks: the peers may have removed them. Returns whether more
        remain.

        Young rows are retained: both sides of a partition are fenced when it heals, and neither may lose what it uses.
        """
        least, self.watermark_ms = self.watermark_ms, INFINITE
        more = self.expire(now, max_rows, "fenced")
        self.watermark_ms = least
        return more

    def _expire_if_allowed(self, row: int, now: float) -> bool:
        """Removes the row if that is allowed, and returns whether: a row not found once is not found again later."""
        if not self.may_remove(row, now):
            return False
        self.remove(now, row, "over")
        return True

    def expire(self, now: float, max_rows: int, reason: str = "over") -> bool:
        """Inspects up to `most` due rows and removes those that may be removed. Returns whether more are due."""
        rows, wheel = self.rows, self.wheel
        for _ in range(max_rows):
            row = wheel.pop_due(now)
            if row == NIL:
                break
            if rows.flags[row] & TOMBSTONE:
                rows.free(row)
                continue
            removable_at_ms = self.removable_at_ms(row)
            if removable_at_ms <= now:
                wheel.link(row, EXPIRED_SLOT)
                continue
            announced_expiry_ms = self.announced_expiry_ms(row)
            if now < announced_expiry_ms:  # inspected then in any case: a use may come that is not announced at once
                wheel.schedule(row, min(announced_expiry_ms, removable_at_ms))
            elif now < (expires_at_ms := self.expires_at_ms(row)):
                # The announced age has expired, the actual one has not: peers must not take the row for expired.
                self.announce(row)
                wheel.schedule(row, expires_at_ms)
            else:
                wheel.schedule(row, removable_at_ms)
        for _ in range(max_rows):
            row = wheel.first_expired
            if row == NIL:
                break
            removable_at_ms = self.removable_at_ms(row)
            if now < removable_at_ms:
                wheel.schedule(row, min(removable_at_ms, self.announced_expiry_ms(row)))
            elif self.may_remove(row, now):
                self.remove(now, row, reason)
            else:
                return wheel.is_behind(now)
        else:
            return True
        return wheel.is_behind(now)

    # Messages of peers

    def apply_replica(
        self,
        now: float,
        key: int,
        flags: int,
        placement: Placement,
        generation: int,
        moves: int,
        version: int,
        author: str,
        last_seen_ms: float,
        created_ms: float,
        stamp: int,
        from_observer: bool,
        uncertainty_ms: float = 0.0,
    ) -> bool:
        """Applies an observer's update, or a replica. Times are on the local clock. Returns whether the key is bound
        then.

        `uncertainty_ms`: by how much its sender may underestimate a replica's age. A replica that would be expired with
        it is not stored as a new row, and does not refresh a row that is younger without it, as it may be a use at this
        member that has come back.
        """
        rows, lifetimes = self.rows, self.lifetimes
        self.counter = max(self.counter, version, stamp)
        flags &= REPLICATED_FLAGS
        last_seen_ms, created_ms = min(last_seen_ms, now), min(created_ms, now)
        is_expired = now >= min(
            last_seen_ms + lifetimes.idle_ms[flags & (KIND | STATE)],
            created_ms + lifetimes.max_lifetime_ms[flags & KIND],
        )
        row = rows.find(key)
        if row == NIL or rows.flags[row] & TOMBSTONE:
            if is_expired or now + uncertainty_ms >= last_seen_ms + lifetimes.idle_ms[flags & (KIND | STATE)]:
                return False
            if (
                row != NIL
                and generation <= rows.generation[row]
                and not (
                    (from_observer and generation == rows.generation[row])
                    or self._used_since(row, last_seen_ms, created_ms)
                )
            ):
                self.add_count("copy of what is forgotten")
                return False
            row = self._allocate(now, key, row, flags, stamp)
            if row == NIL:
                return False
            self._write(
                row, flags, placement, generation, moves, version, author, last_seen_ms, created_ms, last_seen_ms, stamp
            )
            self._activate(row)
            self.wheel.schedule(row, self.expires_at_ms(row))
            self._notify_change("has", row)
            return True
        comparison = compare_versions(
            generation,
            moves,
            version,
            author,
            (rows.generation[row], rows.moves[row], rows.version[row], self.members.names[rows.author[row]]),
        )
        same_generation = generation == rows.generation[row]
        if comparison > 0:
            if is_expired:
                return False
            old_expired = now >= self.expires_at_ms(row)
            self._replace(
                row,
                flags,
                placement,
                generation,
                moves,
                version,
                author,
                last_seen_ms,
                created_ms,
                stamp,
                same_generation,
                old_expired,
            )
        elif same_generation or not is_expired:
            old_flags = rows.flags[row]
            new_flags = old_flags | (flags & CHARGED if same_generation else 0)
            if comparison < 0 and not old_flags & STATE and flags & STATE:
                new_flags |= State.OPEN << STATE_SHIFT  # values.state_beside
            if comparison == 0:
                after = MERGED_STATE_BITS[(old_flags & STATE) >> STATE_SHIFT][(flags & STATE) >> STATE_SHIFT]
                new_flags = new_flags & ~STATE | after << STATE_SHIFT
            if new_flags != old_flags:
                self._change_flags(row, new_flags)
            if from_observer or last_seen_ms > rows.last_seen_ms[row] + uncertainty_ms:
                self._refresh(row, last_seen_ms)
            self.restamp(row, stamp)
        return True

    def _used_since(self, row: int, last_seen_ms: float, created_ms: float) -> bool:
        """Whether a replica is newer than the tombstone: used since where it was not removed, or created anew by a
        member that knew no earlier binding. Replicas are never too young, so one that is not later is the removed one.
        """
        return created_ms > self.rows.created_ms[row] or last_seen_ms > self.rows.last_seen_ms[row] + self.age_slack_ms

    def apply_undo(self, now: float, key: int, generation: int, moves: int, version: int, author: str) -> None:
        """Removes a binding that its author has undone, unless the value changed or it was used here."""
        rows = self.rows
        row = rows.find(key)
        if (
            row == NIL
            or rows.flags[row] & TOMBSTONE
            or (rows.generation[row], rows.moves[row], rows.version[row]) != (generation, moves, version)
            or self.members.names[rows.author[row]] != author
            or (rows.flags[row] & STATE) >> STATE_SHIFT
        ):
            return
        if rows.flags[row] & OBSERVED_HERE:
            self.announce(row)  # it was used here too: the author has to restore it
            return
        self.remove(now, row, "undo")
