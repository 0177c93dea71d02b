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
EXPIRED_SLOT = SLOTS  # the list of what is over
NOT_LINKED = 0xFFFF  # of a row in none
MAX_TICKS_PER_TURN = 20_000  # passed in one turn, most of them empty: after a pause


class TimerWheel:
    def __init__(self, rows: Rows, tick_ms: float, now: float) -> None:
        self._rows, self.tick_ms = rows, tick_ms
        self.current_tick = int(now // tick_ms)  # ticks; all that was due by then has been looked at
        self._first = array("I", [NIL]) * (SLOTS + 1)
        self._last = array("I", [NIL]) * (SLOTS + 1)

    @property
    def processed_until_ms(self) -> float:
        """All that was due up to this time has been given out."""
        return self.current_tick * self.tick_ms

    def schedule(self, row: int, due_at_ms: float) -> None:
        """To be given out at `due`, no more than a tick later; where it stood before is left."""
        tick = min(max(ceil(due_at_ms / self.tick_ms), self.current_tick + 1), self.current_tick + SLOTS - 1)
        self.link(row, tick % SLOTS)

    def link(self, row: int, slot: int) -> None:
        rows = self._rows
        if rows.wheel_slot[row] != NOT_LINKED:
            self.unlink(row)
        last = self._last[slot]
        rows.wheel_slot[row], rows.wheel_next[row], rows.wheel_previous[row] = slot, NIL, last
        if last == NIL:
            self._first[slot] = row
        else:
            rows.wheel_next[last] = row
        self._last[slot] = row

    def unlink(self, row: int) -> None:
        rows = self._rows
        slot = rows.wheel_slot[row]
        if slot == NOT_LINKED:
            return
        next_row, previous_row = rows.wheel_next[row], rows.wheel_previous[row]
        if previous_row == NIL:
            self._first[slot] = next_row
        else:
            rows.wheel_next[previous_row] = next_row
        if next_row == NIL:
            self._last[slot] = previous_row
        else:
            rows.wheel_previous[next_row] = previous_row
        rows.wheel_slot[row] = NOT_LINKED

    def pop_due(self, now: float) -> int:
        """The next row that is due, out of the wheel; NIL if none is, or too many ticks passed for one turn."""
        target_tick, ticks = int(now // self.tick_ms), 0
        while self.current_tick < target_tick and ticks < MAX_TICKS_PER_TURN:
            row = self._first[(self.current_tick + 1) % SLOTS]
            if row != NIL:
                self.unlink(row)
                return row
            self.current_tick += 1
            ticks += 1
        return NIL

    def is_behind(self, now: float) -> bool:
        return self.current_tick < int(now // self.tick_ms)

    @property
    def first_expired(self) -> int:
        """The first of what is over; NIL if nothing is."""
        return self._first[EXPIRED_SLOT]
