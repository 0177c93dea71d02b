"""A hashed timing wheel (Varghese, Lauck, "Hashed and Hierarchical Timing Wheels", 1987, scheme 6), links in the rows.

A row stands in the slot of the tick at which it is to be looked at again, at most a turn ahead. A sight does not touch
it: whoever looks at it then moves it on. So ageing costs one look a row and idle time (or turn), and what expires.
One list more holds, in order, what is over and waits for the others' word.
"""

from __future__ import annotations

from array import array
from math import ceil

from .rows import NIL, Rows

SLOTS = 8192
OVER = SLOTS  # the list of what is over
OUT = 0xFFFF  # of a row in none
MOST_TICKS = 20_000  # passed in one turn, most of them empty: after a pause


class Wheel:
    def __init__(self, rows: Rows, tick_ms: float, now: float) -> None:
        self._rows, self.tick_ms = rows, tick_ms
        self.done = int(now // tick_ms)  # ticks; all that was due by then has been looked at
        self._first = array("I", [NIL]) * (SLOTS + 1)
        self._last = array("I", [NIL]) * (SLOTS + 1)

    @property
    def passed(self) -> float:
        """All that was due up to this time has been given out."""
        return self.done * self.tick_ms

    def put(self, row: int, due: float) -> None:
        """To be given out at `due`, no more than a tick later; where it stood before is left."""
        tick = min(max(ceil(due / self.tick_ms), self.done + 1), self.done + SLOTS - 1)
        self.link(row, tick % SLOTS)

    def link(self, row: int, slot: int) -> None:
        rows = self._rows
        if rows.slot[row] != OUT:
            self.drop(row)
        last = self._last[slot]
        rows.slot[row], rows.after[row], rows.before[row] = slot, NIL, last
        if last == NIL:
            self._first[slot] = row
        else:
            rows.after[last] = row
        self._last[slot] = row

    def drop(self, row: int) -> None:
        rows = self._rows
        slot = rows.slot[row]
        if slot == OUT:
            return
        after, before = rows.after[row], rows.before[row]
        if before == NIL:
            self._first[slot] = after
        else:
            rows.after[before] = after
        if after == NIL:
            self._last[slot] = before
        else:
            rows.before[after] = before
        rows.slot[row] = OUT

    def take(self, now: float) -> int:
        """The next row that is due, out of the wheel; NIL if none is, or too many ticks passed for one turn."""
        target, ticks = int(now // self.tick_ms), 0
        while self.done < target and ticks < MOST_TICKS:
            row = self._first[(self.done + 1) % SLOTS]
            if row != NIL:
                self.drop(row)
                return row
            self.done += 1
            ticks += 1
        return NIL

    def behind(self, now: float) -> bool:
        return self.done < int(now // self.tick_ms)

    @property
    def over(self) -> int:
        """The first of what is over; NIL if nothing is."""
        return self._first[OVER]
