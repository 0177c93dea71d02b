"""Rows that count: entered, left, changed, buried, given room, with all that hangs on a row kept in step."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from hashlib import blake2b

from .api import Kind, State
from .clocks import INFINITE
from .eviction import CLASSES, GOING, OPENED, OPENING, Order, class_of
from .expiry import Spans
from .messages import Place
from .names import Members, Providers
from .rows import CHARGED, ENDED, GRAVE, KIND, NIL, OWN, STATE, STATE_AT, TELL, Rows
from .timer_wheel import OVER, Wheel
from .tuning import Tuning

Noted = Callable[[str, bytes, str], None]  # `has`, `moved`, `forgot`; hash; provider: for drawings
Watch = Callable[[str, bytes], None]  # each row that ends: `over`, `full`, `gone`, `undo`, `fenced`; hash


class Held:
    """The table. `least`: own time up to which all others' sights are known, kept by the part."""

    def __init__(self, name: str, key: bytes, tuning: Tuning, now: float = 0.0, noted: Noted | None = None) -> None:
        self.tuning, self.spans, self.noted = tuning, Spans(tuning), noted
        self.watch: Watch | None = None
        self.members, self.providers = Members(), Providers()
        self.me = self.members.number(name)
        self.counter = 0  # Lamport's
        self.least = INFINITE
        self.slack = 0.0  # ms by which a copy may be older here than it is, kept by the part too
        self.whole = False
        self.counts: dict[str, int] = {}
        self.changes = 0  # of what is held, its ages apart
        self._key = blake2b(key=key, digest_size=16)
        self._kinds = [bytes([kind]) for kind in Kind]
        self.clear(now)

    def clear(self, now: float) -> None:
        """Nothing is bound."""
        self.rows = Rows(self.members.bytes)
        self.wheel = Wheel(self.rows, self.tuning.tick_ms, now)
        self.orders = [Order(self.rows) for _ in range(CLASSES)]
        self.providers_free()
        self.live = 0
        self.opening = 0  # of any kind
        self.full = False
        self.to_tell: deque[int] = deque()  # rows; those without TELL have been told
        self.to_undo: deque[tuple[int, int, int, int]] = deque()  # key, gen, move, count

    def providers_free(self) -> None:
        there = self.providers.there
        self.providers = Providers()
        self.providers.now(there)

    def idle(self, row: int) -> float:
        return self.spans.idle[self.rows.what[row] & (KIND | STATE)]

    def ends(self, row: int) -> float:
        rows, what = self.rows, self.rows.what[row]
        return min(
            rows.seen[row] + self.spans.idle[what & (KIND | STATE)], rows.made[row] + self.spans.longest[what & KIND]
        )

    def forgets(self, row: int) -> float:
        """When it may be forgotten at the soonest: surely over for whoever saw it, by a clock as slow as may be."""
        return min(self.unseen(row), self.rows.made[row] + self._longest(row))

    def unseen(self, row: int) -> float:
        """Of its idle time: the others have to have covered this. Once for clocks that run apart while it ages, once
        for the age of a copy, which is taken to be older than it may be: by that, and by `slack`; see sights.take.
        """
        return self.rows.seen[row] + self.idle(row) * (1 + 2 * self.tuning.drift) + self.slack

    def may_forget(self, row: int, now: float) -> bool:
        """A longest time is over at all by itself: no sight changes it."""
        unseen = self.unseen(row)
        return now >= unseen <= self.least or now >= self.rows.made[row] + self._longest(row)

    def _longest(self, row: int) -> float:
        return self.spans.longest[self.rows.what[row] & KIND] * (1 + self.tuning.drift)

    def bury(self, now: float, row: int, why: str) -> None:
        """Forgotten here. What is left says which `gen` that was, for as long as a copy may be under way."""
        rows = self.rows
        self._note("forgot", row)
        self._ended(why, row)
        self._leave(row)
        if len(rows) > 2 * self.tuning.most:
            self.count("no grave")
            self.wheel.drop(row)
            rows.free(row)
            return
        rows.what[row] = rows.what[row] & KIND | GRAVE
        rows.made[row] = now
        if why != "over":
            rows.seen[row] = now  # young copies of it are about
        self.wheel.put(row, now + self.tuning.grave_ms)

    def end(self, row: int) -> None:
        """Its provider has gone: it gives way first."""
        rows = self.rows
        what = rows.what[row]
        if what & (GRAVE | ENDED) or what & KIND == Kind.KEY:
            return
        self.orders[class_of(what)].drop(row, rows.stamp[row])
        rows.what[row] = what | ENDED
        self.orders[GOING].add(row, rows.stamp[row])
        self._ended("gone", row)

    def tell(self, row: int) -> None:
        if not self.rows.what[row] & TELL:
            self.rows.what[row] |= TELL
            self.to_tell.append(row)

    def restamp(self, row: int, stamp: int) -> None:
        """Told, by anyone: the last of its class to give way."""
        rows = self.rows
        if stamp > rows.stamp[row]:
            order = self.orders[self._class(row)]
            order.drop(row, rows.stamp[row])
            rows.stamp[row] = stamp
            order.add(row, stamp)

    def _class(self, row: int) -> int:
        return class_of(self.rows.what[row])

    def _set(
        self,
        row: int,
        what: int,
        place: Place,
        gen: int,
        move: int,
        count: int,
        by: str,
        seen: float,
        made: float,
        told: float,
        stamp: int,
    ) -> None:
        rows = self.rows
        number = self.providers.number(place)
        ended = ENDED if self.providers.gone[number] else 0
        rows.what[row], rows.who[row] = what & ~ENDED | ended, number
        rows.gen[row], rows.move[row], rows.count[row] = gen, move, count
        rows.by[row] = self.members.number(by)
        rows.seen[row], rows.made[row], rows.told[row], rows.stamp[row] = seen, made, told, stamp

    def _enter(self, row: int) -> None:
        """A row whose columns are set counts from now on."""
        rows = self.rows
        self.providers.hold(rows.who[row])
        self.orders[self._class(row)].add(row, rows.stamp[row])
        rows.toggle(row)
        self.changes += 1
        self.live += 1
        self.opening += not rows.what[row] & STATE

    def _leave(self, row: int) -> None:
        rows = self.rows
        self.orders[self._class(row)].drop(row, rows.stamp[row])
        rows.toggle(row)
        self.live -= 1
        self.opening -= not rows.what[row] & STATE
        self.providers.leave(rows.who[row])

    def _change(self, row: int, what: int) -> None:
        """Other bits. A state with another idle time ends at another time."""
        rows = self.rows
        state = (rows.what[row] ^ what) & STATE
        self._leave(row)
        rows.what[row] = what
        self._enter(row)
        if state:
            self.wheel.put(row, min(self.ends(row), self._told_out(row)))

    def _told_out(self, row: int) -> float:
        """When the others' age of it runs out, if that is sooner than one's own."""
        return self.others_end(row) if self.rows.seen[row] > self.rows.told[row] else INFINITE

    def others_end(self, row: int) -> float:
        """When it is over by the age that others hold."""
        return self.rows.told[row] + self.idle(row)

    def _young(self, row: int, seen: float) -> None:
        """Seen by another, and not only here."""
        rows = self.rows
        if seen > rows.seen[row]:
            rows.seen[row] = seen
            if rows.slot[row] == OVER:
                self.wheel.put(row, self.ends(row))
        rows.told[row] = max(rows.told[row], seen)

    def _replace(
        self,
        row: int,
        what: int,
        place: Place,
        gen: int,
        move: int,
        count: int,
        by: str,
        seen: float,
        made: float,
        stamp: int,
        same_gen: bool,
        held_over: bool,
    ) -> None:
        """By a value that wins; what is known of the key's use stays."""
        rows = self.rows
        held = rows.what[row]
        moved = place[0] != self.providers.places[rows.who[row]][0]
        told, stamp = rows.told[row], max(stamp, rows.stamp[row])
        keep = held & (TELL | OWN)
        if same_gen:
            keep |= held & CHARGED
        if not what & STATE and held & STATE and (same_gen or not held_over):
            what |= State.OPEN << STATE_AT  # values.besides
        seen, told = max(seen, rows.seen[row]), max(told, seen)
        self.providers.hold(number := self.providers.number(place))  # not forgotten where it is the same
        self._leave(row)
        self._set(row, what | keep, place, gen, move, count, by, seen, made, told, stamp)
        self._enter(row)
        self.providers.leave(number)
        self.wheel.put(row, min(self.ends(row), self._told_out(row)))
        if moved:
            self._note("moved", row)

    def _room(self, now: float, key: int, row: int, what: int, stamp: int) -> int:
        """A row for it, NIL if there is none: for its key, or its grave's."""
        opening = not what & STATE
        if opening and self.opening >= self.tuning.most_opening * self.tuning.most:
            if not self._give_way(now, (OPENING,), what, stamp, key):
                return NIL
        elif self.live >= self.tuning.most:
            if not self._give_way(now, (GOING, OPENING) if opening else (GOING, OPENED), what, stamp, key):
                return NIL
        elif self.live < 0.9 * self.tuning.most:
            self.full = False
        return self.rows.add(key) if row == NIL else row

    def _give_way(self, now: float, classes: tuple[int, ...], what: int, stamp: int, key: int) -> bool:
        mine = class_of(what)
        for number in classes:
            row = self.orders[number].lowest()
            if mine == number and (row == NIL or (stamp, key) < (self.rows.stamp[row], self.rows.key(row))):
                break  # it would itself be the next
            if row == NIL:
                continue
            self.count("gave way")
            self.bury(now, row, "full")
            self.full = True
            return True
        self.count("no room")
        self.full = True
        return False

    def _note(self, word: str, row: int) -> None:
        if self.noted is not None:
            rows = self.rows
            self.noted(word, rows.key(row).to_bytes(16, "big"), self.providers.places[rows.who[row]][0])

    def _ended(self, why: str, row: int) -> None:
        if self.watch is not None:
            self.watch(why, self.rows.key(row).to_bytes(16, "big"))

    def count(self, why: str) -> None:
        self.counts[why] = self.counts.get(why, 0) + 1
