"""All that is bound, as this member knows it: `api.Table`, what is heard, and what is forgotten.

| a row is | it ends by | and then |
| --- | --- | --- |
| live | its age (last sight + idle, or made + longest) | waits, over, for the others' word |
| over | a sight, own or told | live: `gen` + 1 if it was one's own, which knows that it was over |
| over | all that count have covered the time of its end | a grave |
| grave | an own sight | live, `gen` + 1 |
| grave | a sight told by its seer, young by its age | live as told: the sight and the drop crossed |
| grave | a copy, young by its age, of a later sight than was known here | live as copied: it was used on elsewhere |
| grave | any other copy of the forgotten `gen` | nothing: an old copy revives nothing |
| grave | `grave_ms` | nothing is left |

One that is over is found as long as another may have seen it since: knowing it restricts.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from .api import Bound, Kind, State
from .clocks import INFINITE
from .entries import Held
from .eviction import GOING, KEPT
from .messages import Place
from .rows import CHARGED, GRAVE, KIND, NIL, OWN, STATE, STATE_AT, TELL
from .timer_wheel import OVER
from .values import AFTER, beats

BITS = KIND | STATE | CHARGED
AFTER_BITS = [[int(AFTER[State(held), State(told)]) for told in range(4)] for held in range(4)]


class Shared(Held):
    # api.Table

    def hash(self, kind: Kind, key: bytes) -> int:
        digest = self._key.copy()
        digest.update(self._kinds[kind] + key)
        return int.from_bytes(digest.digest(), "big")

    def find(self, now: float, kind: Kind, key: bytes) -> Bound | None:
        rows = self.rows
        row = rows.find(self.hash(kind, key))
        if row == NIL:
            return None
        what = rows.what[row]
        if what & GRAVE or self._forgotten(row, now):
            return None
        number = rows.who[row]
        if kind and self.providers.gone[number]:
            return None
        name, cell, zone = self.providers.places[number]
        return Bound(
            name,
            cell,
            zone,
            State((what & STATE) >> STATE_AT),
            max(0.0, now - rows.seen[row]),
            max(0.0, now - rows.made[row]),
            bool(what & CHARGED),
        )

    def see(self, now: float, kind: Kind, key: bytes, provider: str, state: State, charged: bool = False) -> bool:
        hashed = self.hash(kind, key)
        rows = self.rows
        row = rows.find(hashed)
        if row == NIL or rows.what[row] & GRAVE or self._forgotten(row, now):
            gen = 0 if row == NIL else rows.gen[row] + 1
            return self._bind(now, hashed, row, kind, self.providers.place(provider), state, charged, gen)
        if now >= self.ends(row):
            return self._again(now, row, kind, provider, state, charged)
        what = rows.what[row]
        after = AFTER_BITS[(what & STATE) >> STATE_AT][state]
        number = rows.who[row]
        rows.seen[row] = now
        if self.providers.gone[number] and provider != self.providers.places[number][0]:
            place = self.providers.place(provider)
            # A key's cell and zone are where its repeats are dropped.
            if kind != Kind.KEY or place[1:] == self.providers.places[number][1:]:
                self._move(row, place)
                what = rows.what[row]
        new = what & ~STATE | after << STATE_AT | OWN | (CHARGED if charged else 0)
        if new != what:
            if (new ^ what) & BITS:
                self._change(row, new)
                self.tell(row)
            else:
                rows.what[row] = new
        if not new & TELL and now - rows.told[row] > self.tuning.tell * self.spans.idle[new & (KIND | STATE)]:
            self.tell(row)
        return True

    def undo(self, now: float, kind: Kind, key: bytes) -> None:
        rows = self.rows
        row = rows.find(self.hash(kind, key))
        if row == NIL or rows.what[row] & GRAVE or rows.by[row] != self.me or (rows.what[row] & STATE) >> STATE_AT:
            self.count("not to be undone")
            return
        self.to_undo.append((rows.key(row), rows.gen[row], rows.move[row], rows.count[row]))
        self.bury(now, row, "undo")

    def status(self) -> Mapping[str, Any]:
        return {
            "held": self.live,
            "graves": len(self.rows) - self.live,
            "opening": self.opening,
            "whole": self.whole,
            "to_tell": len(self.to_tell),
            "ended": self.orders[GOING].held,
            "kept": self.orders[KEPT].held,
            "counts": dict(self.counts),
        }

    def _bind(
        self, now: float, key: int, row: int, kind: Kind, place: Place, state: State, charged: bool, gen: int
    ) -> bool:
        what = kind | state << STATE_AT | (CHARGED if charged else 0)
        row = self._room(now, key, row, what, self.counter + 1)
        if row == NIL:
            self.count("refused")
            return False
        self.counter += 1
        # Nobody has been told: the first chance is the next batch, so its told age is of no account till then.
        self._set(
            row, what | OWN, place, gen, 0, self.counter, self.members.names[self.me], now, now, now, self.counter
        )
        self._enter(row)
        self.tell(row)
        self.wheel.put(row, self.ends(row))
        self._note("has", row)
        return True

    def _again(self, now: float, row: int, kind: Kind, provider: str, state: State, charged: bool) -> bool:
        """A sight of what is over by its age: a new one. As another may have seen it since, it stays where it is."""
        rows = self.rows
        number = rows.who[row]
        place, bound = self.providers.place(provider), self.providers.places[number]
        charged = charged or bool(rows.what[row] & CHARGED)
        if not self.providers.gone[number] or (kind == Kind.KEY and place[1:] != bound[1:]):
            place = bound
        gen = rows.gen[row] + 1
        self._ended("over", row)
        self._leave(row)
        rows.what[row] = kind | GRAVE
        self.wheel.put(row, now + self.tuning.grave_ms)
        return self._bind(now, rows.key(row), row, kind, place, state, charged, gen)

    def _move(self, row: int, place: Place) -> None:
        rows = self.rows
        move = min(rows.move[row] + 1, 0xFFFF)
        self.counter += 1
        self._leave(row)
        self._set(
            row,
            rows.what[row] & ~TELL,
            place,
            rows.gen[row],
            move,
            self.counter,
            self.members.names[self.me],
            rows.seen[row],
            rows.made[row],
            rows.told[row],
            rows.stamp[row],
        )
        self._enter(row)
        self.tell(row)
        self._note("moved", row)

    # Ages

    def fenced(self, now: float, most: int) -> bool:
        """What is over by its age is dropped without others' word: they may have forgotten it. Whether there is more.

        What is young is kept: both sides of a cut are fenced at its heal, and neither may lose what it goes on using.
        """
        least, self.least = self.least, INFINITE
        more = self.age(now, most, "fenced")
        self.least = least
        return more

    def _forgotten(self, row: int, now: float) -> bool:
        """Whether it may be, and then it is: what was found to be over once is not found again later."""
        if not self.may_forget(row, now):
            return False
        self.bury(now, row, "over")
        return True

    def age(self, now: float, most: int, why: str = "over") -> bool:
        """Looks at what is due and drops what may be forgotten: `most` rows. Whether more is due."""
        rows, wheel = self.rows, self.wheel
        for _ in range(most):
            row = wheel.take(now)
            if row == NIL:
                break
            if rows.what[row] & GRAVE:
                rows.free(row)
                continue
            forgets = self.forgets(row)
            if forgets <= now:
                wheel.link(row, OVER)
                continue
            out = self.others_end(row)
            if now < out:  # looked at then in any case: a sight may come that is held back
                wheel.put(row, min(out, forgets))
            elif now < (ends := self.ends(row)):
                # The others' age of it runs out by now: they must not think that it is over.
                self.tell(row)
                wheel.put(row, ends)
            else:
                wheel.put(row, forgets)
        for _ in range(most):
            row = wheel.over
            if row == NIL:
                break
            forgets = self.forgets(row)
            if now < forgets:
                wheel.put(row, min(forgets, self.others_end(row)))
            elif self.may_forget(row, now):
                self.bury(now, row, why)
            else:
                return wheel.behind(now)
        else:
            return True
        return wheel.behind(now)

    # What is heard

    def hear(
        self,
        now: float,
        key: int,
        what: int,
        place: Place,
        gen: int,
        move: int,
        count: int,
        by: str,
        seen: float,
        made: float,
        stamp: int,
        seer: bool,
        doubt: float = 0.0,
    ) -> bool:
        """A sight told by its seer, or a copy. Ages as on one's own clock. Whether it is held afterwards.

        `doubt`: ms by which who gave the copy may have held it to be younger than it was. What would be over by then
        is not taken where nothing is held, and what is no younger than that may be one's own sight come back.
        """
        rows, spans = self.rows, self.spans
        self.counter = max(self.counter, count, stamp)
        what &= BITS
        seen, made = min(seen, now), min(made, now)
        over = now >= min(seen + spans.idle[what & (KIND | STATE)], made + spans.longest[what & KIND])
        row = rows.find(key)
        if row == NIL or rows.what[row] & GRAVE:
            if over or now + doubt >= seen + spans.idle[what & (KIND | STATE)]:
                return False
            if (
                row != NIL
                and gen <= rows.gen[row]
                and not ((seer and gen == rows.gen[row]) or self._used_since(row, seen, made))
            ):
                self.count("copy of what is forgotten")
                return False
            row = self._room(now, key, row, what, stamp)
            if row == NIL:
                return False
            self._set(row, what, place, gen, move, count, by, seen, made, seen, stamp)
            self._enter(row)
            self.wheel.put(row, self.ends(row))
            self._note("has", row)
            return True
        order = beats(
            gen, move, count, by, (rows.gen[row], rows.move[row], rows.count[row], self.members.names[rows.by[row]])
        )
        same_gen = gen == rows.gen[row]
        if order > 0:
            if over:
                return False
            held_over = now >= self.ends(row)
            self._replace(row, what, place, gen, move, count, by, seen, made, stamp, same_gen, held_over)
        elif same_gen or not over:
            held = rows.what[row]
            new = held | (what & CHARGED if same_gen else 0)
            if order < 0 and not held & STATE and what & STATE:
                new |= State.OPEN << STATE_AT  # values.besides
            if order == 0:
                after = AFTER_BITS[(held & STATE) >> STATE_AT][(what & STATE) >> STATE_AT]
                new = new & ~STATE | after << STATE_AT
            if new != held:
                self._change(row, new)
            if seer or seen > rows.seen[row] + doubt:
                self._young(row, seen)
            self.restamp(row, stamp)
        return True

    def _used_since(self, row: int, seen: float, made: float) -> bool:
        """Whether a copy tells more than its grave knows: it was used on where it was not forgotten, or made anew by
        one that knew of no earlier one. A copy is never younger than in truth, so what is no later is the old one.
        """
        return made > self.rows.made[row] or seen > self.rows.seen[row] + self.slack

    def undone(self, now: float, key: int, gen: int, move: int, count: int, by: str) -> None:
        rows = self.rows
        row = rows.find(key)
        if (
            row == NIL
            or rows.what[row] & GRAVE
            or (rows.gen[row], rows.move[row], rows.count[row]) != (gen, move, count)
            or self.members.names[rows.by[row]] != by
            or (rows.what[row] & STATE) >> STATE_AT
        ):
            return
        if rows.what[row] & OWN:
            self.tell(row)  # it was seen here too: in use
            return
        self.bury(now, row, "undo")
