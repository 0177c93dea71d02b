"""Eviction from a full table, by replicated data only, so that all members evict the same rows in the same order.

| class | rows | evicted for |
| --- | --- | --- |
| ENDING | closing or lingering, or bound to a removed endpoint | any row |
| OPENING | opening | opening rows only |
| OPENED | open | open rows, if no row is ENDING |
| PROTECTED | keys inside their deduplication window | nothing |

Within a class the lowest stamp (Lamport counter of the latest announced use) is evicted first, then the lowest hash. A
replica that would itself be evicted next is not stored, so the table ends with the highest rows in any order of
arrival.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator

from .api import Kind, State
from .rows import ENDPOINT_REMOVED, KIND, NIL, STATE, STATE_SHIFT, Rows

ENDING, OPENING, OPENED, PROTECTED = range(4)
CLASS_COUNT = 4
_BY_STATE = {State.OPENING: OPENING, State.OPEN: OPENED, State.CLOSING: ENDING, State.LINGERING: ENDING}
CLASS_BY_FLAGS = tuple(
    PROTECTED if flags & KIND == Kind.KEY else _BY_STATE[State(flags >> STATE_SHIFT)] for flags in range(16)
)


def eviction_class(flags: int) -> int:
    """Eviction class of a row with these flags."""
    class_number = CLASS_BY_FLAGS[flags & (KIND | STATE)]
    return ENDING if flags & ENDPOINT_REMOVED and class_number != PROTECTED else class_number


class EvictionOrder:
    """Rows of one class by stamp: one list per stamp, linked through the rows. A batch shares a stamp, so few exist."""

    def __init__(self, rows: Rows) -> None:
        self._rows = rows
        self._heads: dict[int, int] = {}
        self._stamps: list[int] = []  # ascending; a stamp without a head is obsolete
        self._sorted: list[int] = []  # rows with the lowest stamp, lowest hash last
        self._lowest = -1  # the stamp of `_sorted`; -1: `_sorted` is stale
        self.size = 0

    def add(self, row: int, stamp: int) -> None:
        rows = self._rows
        head = self._heads.get(stamp, NIL)
        if head == NIL:
            stamps = self._stamps
            if not stamps or stamp > stamps[-1]:
                stamps.append(stamp)
            elif stamps[bisect_left(stamps, stamp)] != stamp:
                insort(stamps, stamp)
        else:
            rows.order_newer[head] = row
        rows.order_older[row], rows.order_newer[row] = head, NIL
        self._heads[stamp] = row
        self.size += 1
        if stamp <= self._lowest:
            self._lowest = -1

    def drop(self, row: int, stamp: int) -> None:
        rows = self._rows
        older, newer = rows.order_older[row], rows.order_newer[row]
        if older != NIL:
            rows.order_newer[older] = newer
        if newer != NIL:
            rows.order_older[newer] = older
        elif older != NIL:
            self._heads[stamp] = older
        else:
            del self._heads[stamp]
            if len(self._stamps) > 2 * len(self._heads) + 64:
                self._stamps, self._heads = sorted(self._heads), dict(self._heads)  # a dict shrinks only when copied
        self.size -= 1
        if stamp == self._lowest:
            if self._sorted and self._sorted[-1] == row:
                self._sorted.pop()
            else:
                self._lowest = -1

    def lowest(self) -> int:
        """The row to evict first; NIL if there is none."""
        rows = self._rows
        while True:
            if self._lowest >= 0 and self._sorted:
                return self._sorted[-1]
            self._lowest = next((stamp for stamp in self._stamps if stamp in self._heads), -1)
            if self._lowest < 0:
                return NIL
            if self._stamps[0] != self._lowest:
                del self._stamps[: bisect_left(self._stamps, self._lowest)]
            self._sorted = sorted(self._rows_with(self._lowest), key=rows.key, reverse=True)

    def newest(self, floor: int, stamp: int, key: int) -> Iterator[int]:
        """Rows with stamps above `floor`, descending, from below (`stamp`, `key`). Not to be modified meanwhile."""
        rows = self._rows
        for index in range(bisect_left(self._stamps, stamp + 1) - 1, -1, -1):
            candidate = self._stamps[index]
            if candidate <= floor:
                return
            if candidate in self._heads:
                for row in sorted(self._rows_with(candidate), key=rows.key, reverse=True):
                    if candidate < stamp or rows.key(row) < key:
                        yield row

    def _rows_with(self, stamp: int) -> Iterator[int]:
        row = self._heads.get(stamp, NIL)
        while row != NIL:
            yield row
            row = self._rows.order_older[row]
