"""Who gives way in a full table: by data that is the same at all members, so the same ones in the same order.

| class | rows | gives way to |
| --- | --- | --- |
| GOING | closing or lingering, and what is bound to a provider that went | anything |
| OPENING | opening | opening ones only |
| OPENED | open | open ones, where nothing is going |
| KEPT | keyed calls inside their window | nothing |

Within a class: the lowest stamp (the Lamport counter of the latest sight told), then the lowest hash. What is told by
another and would itself be the next to give way is not taken: the table holds the highest, in whatever order they come.
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
    """By the row's bits."""
    class_number = CLASS_BY_FLAGS[flags & (KIND | STATE)]
    return ENDING if flags & ENDPOINT_REMOVED and class_number != PROTECTED else class_number


class EvictionOrder:
    """Rows of one class by stamp: a list a stamp, linked in the rows. Few stamps: all of one batch have the same."""

    def __init__(self, rows: Rows) -> None:
        self._rows = rows
        self._heads: dict[int, int] = {}
        self._stamps: list[int] = []  # in order; those without a head are gone
        self._sorted: list[int] = []  # rows of the lowest stamp, lowest hash last
        self._lowest = -1  # that stamp
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
                self._stamps, self._heads = sorted(self._heads), dict(self._heads)  # a dict shrinks by a copy only
        self.size -= 1
        if stamp == self._lowest:
            if self._sorted and self._sorted[-1] == row:
                self._sorted.pop()
            else:
                self._lowest = -1

    def lowest(self) -> int:
        """NIL if there is none."""
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
        """Rows of stamps above `floor`, from the highest, after (`stamp`, `key`). Nothing may change meanwhile."""
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
