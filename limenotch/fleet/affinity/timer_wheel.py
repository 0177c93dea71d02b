"""A hashed timing wheel (Varghese, Lauck, "Hashed and Hierarchical Timing Wheels", 1987, scheme 6), linked in the rows.

A row is in the slot of the tick at which it is inspected next, at most one turn ahead. A use does not reschedule it;
the inspection does. So ageing costs one inspection per row and idle time (or turn of the wheel), plus the expired rows.
An additional list has, in order, the expired rows that wait for the peers' watermarks.
"""

from __future__ import annotations

from array import array
from math import ceil

from .rows import NIL, Rows

SLOTS = 8192
EXPIRED_SLOT = SLOTS  # the list of expired rows
NOT_LINKED = 0xFFFF  # `wheel_slot` of a row in no list
MAX_TICKS_PER_TURN = 20_000  # per turn of the component; after a pause most of them are empty


class TimerWheel:
    """Schedules rows by time, with a resolution of `tick_ms`."""

    def __init__(self, rows: Rows, tick_ms: float, now: float) -> None:
        self._rows, self.tick_ms = rows, tick_ms
        self.current_tick = int(now // tick_ms)  # all rows due up to this tick have been given out
        self._first = array("I", [NIL]) * (SLOTS + 1)
        self._last = array("I", [NIL]) * (SLOTS + 1)

    @property
    def processed_until_ms(self) -> float:
        """All rows due up to this time have been given out."""
        return self.current_tick * self.tick_ms

    def schedule(self, row: int, due_at_ms: float) -> None:
        """Schedules a row for `due_at_ms`, up to a tick later, instead of its earlier time."""
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
        """Unlinks and returns the next due row; NIL if there is none, or after MAX_TICKS_PER_TURN empty ticks."""
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
        """The first of the expired rows; NIL if there is none."""
        return self._first[EXPIRED_SLOT]
