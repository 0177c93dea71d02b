"""Bindings as rows of arrays, without an object an entry: 94 bytes a row, 6 to 12 more in the index.

A row is a number, used again when freed. The index finds it by its hash: 256 open-addressed tables, by the hash's
first byte, so that none has to be made larger in one go with all rows in it, and a range's rows are found at once.
Deleting shifts back (Knuth, The Art of Computer Programming 3, 6.4, algorithm R): no dead places remain.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from hashlib import blake2b
from struct import Struct
from typing import Any

NIL = 0xFFFFFFFF
RANGES = 256
LOW = (1 << 64) - 1

KIND, STATE, CHARGED, OWN, GRAVE, TELL, ENDED = 3, 12, 16, 32, 64, 128, 256
STATE_AT = 2  # bits

_pack = Struct("<QQIHQB").pack
FIRST = 16  # places of an empty range
MORE = 256  # rows by which the columns grow


class Rows:
    """Columns by row. `names`: of those who made values, in bytes, by number."""

    def __init__(self, names: list[bytes]) -> None:
        self.names = names
        self.high, self.low = array("Q"), array("Q")  # the hash
        self.who = array("I")  # provider; ENDED: it went
        self.what = array("H")  # KIND, STATE, CHARGED; OWN: seen here; GRAVE: forgotten; TELL: to be told; ENDED
        self.gen, self.move = array("I"), array("H")
        self.count, self.by = array("Q"), array("I")  # version
        self.stamp = array("Q")
        self.made, self.seen, self.told = array("d"), array("d"), array("d")  # own clock; told: as others hold `seen`
        self.after, self.before, self.slot = array("I"), array("I"), array("H")  # the wheel's
        self.older, self.newer = array("I"), array("I")  # the order's
        self.digests = [0] * RANGES
        self._columns: tuple[array[Any], ...] = (
            self.high,
            self.low,
            self.who,
            self.what,
            self.gen,
            self.move,
            self.count,
            self.by,
            self.stamp,
            self.made,
            self.seen,
            self.told,
            self.after,
            self.before,
            self.slot,
            self.older,
            self.newer,
        )
        self._free = array("I")
        self._index = [array("I", bytes(4 * FIRST)) for _ in range(RANGES)]  # row + 1; 0: none
        self._many = array("I", bytes(4 * RANGES))

    def __len__(self) -> int:
        """Rows in use, graves too."""
        return len(self.high) - len(self._free)

    def find(self, key: int) -> int:
        """NIL if it is not there."""
        high, low = key >> 64, key & LOW
        table = self._index[high >> 56]
        mask = len(table) - 1
        place = low & mask
        while (row := table[place]) and (self.low[row - 1] != low or self.high[row - 1] != high):
            place = (place + 1) & mask
        return row - 1 if row else NIL

    def add(self, key: int) -> int:
        """A row for a hash that is not there; its other columns are what they were."""
        high, low = key >> 64, key & LOW
        if not self._free:
            end = len(self.high)
            for column in self._columns:
                column.frombytes(bytes(MORE * column.itemsize))
            for row in range(end, end + MORE):
                self.what[row] = GRAVE  # whoever goes through all rows passes it over, as one that was freed
            self._free.extend(range(end + MORE - 1, end - 1, -1))
        row = self._free.pop()
        self.high[row], self.low[row] = high, low
        self.slot[row] = 0xFFFF
        number = high >> 56
        self._many[number] += 1
        if 3 * self._many[number] > 2 * len(self._index[number]):
            self._grow(number)
        self._put(self._index[number], low, row)
        return row

    def free(self, row: int) -> None:
        number = self.high[row] >> 56
        table = self._index[number]
        mask = len(table) - 1
        hole = self.low[row] & mask
        while table[hole] != row + 1:
            hole = (hole + 1) & mask
        place = hole
        while True:
            place = (place + 1) & mask
            if not table[place]:
                break
            home = self.low[table[place] - 1] & mask
            if (place - home) & mask >= (place - hole) & mask:
                table[hole] = table[place]
                hole = place
        table[hole] = 0
        self._many[number] -= 1
        self._free.append(row)
        self.what[row] = GRAVE

    def held(self, number: int) -> int:
        """Rows of a range, graves too."""
        return self._many[number]

    def key(self, row: int) -> int:
        return self.high[row] << 64 | self.low[row]

    def in_range(self, number: int) -> Iterator[int]:
        """Rows of it, graves too. Nothing may be added or freed meanwhile."""
        return (row - 1 for row in self._index[number] if row)

    def digest(self, row: int) -> int:
        """Of the key and its value, without ages: 64 bits."""
        what = self.what[row] & (KIND | STATE | CHARGED)
        packed = _pack(self.high[row], self.low[row], self.gen[row], self.move[row], self.count[row], what)
        return int.from_bytes(blake2b(packed + self.names[self.by[row]], digest_size=8).digest(), "big")

    def toggle(self, row: int) -> None:
        """Into its range's digest, or out of it."""
        self.digests[self.high[row] >> 56] ^= self.digest(row)

    def _put(self, table: array[int], low: int, row: int) -> None:
        mask = len(table) - 1
        place = low & mask
        while table[place]:
            place = (place + 1) & mask
        table[place] = row + 1

    def _grow(self, number: int) -> None:
        old = self._index[number]
        table = self._index[number] = array("I", bytes(4 * 2 * len(old)))
        for held in old:
            if held:
                self._put(table, self.low[held - 1], held - 1)
