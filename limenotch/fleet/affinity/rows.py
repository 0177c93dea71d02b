"""Storage of bindings in arrays, without an object per entry: 94 bytes per row, and 6 to 12 more in the index.

A row is a number, reused after it is freed. The index maps a hash to its row by 256 open-addressed tables, selected by
the hash's first byte: growing one never rehashes all rows at once, and the rows of a range are found directly. Deletion
shifts entries back (Knuth, The Art of Computer Programming 3, 6.4, algorithm R), so that no deleted slots remain.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from hashlib import blake2b
from struct import Struct
from typing import Any

NIL = 0xFFFFFFFF
RANGES = 256
LOW_MASK = (1 << 64) - 1

KIND, STATE, CHARGED, OBSERVED_HERE, TOMBSTONE, UNANNOUNCED, ENDPOINT_REMOVED = 3, 12, 16, 32, 64, 128, 256
STATE_SHIFT = 2  # bits

_pack = Struct("<QQIHQB").pack
INITIAL_INDEX_SLOTS = 16  # places of an empty range
ROWS_PER_GROWTH = 256  # rows by which the columns grow


class Rows:
    """Columns, indexed by row. `author_names`: the encoded names of members, by number."""

    def __init__(self, author_names: list[bytes]) -> None:
        self.author_names = author_names
        self.high, self.low = array("Q"), array("Q")  # the two halves of the hash
        self.endpoint = array("I")  # number of the placement
        # KIND, STATE, CHARGED; OBSERVED_HERE; TOMBSTONE: also of a free row; UNANNOUNCED; ENDPOINT_REMOVED
        self.flags = array("H")
        self.generation, self.moves = array("I"), array("H")
        self.version, self.author = array("Q"), array("I")  # version
        self.stamp = array("Q")
        # In ms of the local clock.
        self.created_ms, self.last_seen_ms, self.announced_ms = (array("d"), array("d"), array("d"))
        self.wheel_next, self.wheel_previous, self.wheel_slot = array("I"), array("I"), array("H")  # links of the wheel
        self.order_older, self.order_newer = array("I"), array("I")  # links of the order
        self.digests = [0] * RANGES
        self._columns: tuple[array[Any], ...] = (
            self.high,
            self.low,
            self.endpoint,
            self.flags,
            self.generation,
            self.moves,
            self.version,
            self.author,
            self.stamp,
            self.created_ms,
            self.last_seen_ms,
            self.announced_ms,
            self.wheel_next,
            self.wheel_previous,
            self.wheel_slot,
            self.order_older,
            self.order_newer,
        )
        self._free_rows = array("I")
        self._index = [array("I", bytes(4 * INITIAL_INDEX_SLOTS)) for _ in range(RANGES)]  # row + 1; 0: none
        self._range_sizes = array("I", bytes(4 * RANGES))

    def __len__(self) -> int:
        """Rows in use, tombstones included."""
        return len(self.high) - len(self._free_rows)

    def find(self, key: int) -> int:
        """The row of a hash; NIL if there is none."""
        high, low = key >> 64, key & LOW_MASK
        table = self._index[high >> 56]
        mask = len(table) - 1
        position = low & mask
        while (row := table[position]) and (self.low[row - 1] != low or self.high[row - 1] != high):
            position = (position + 1) & mask
        return row - 1 if row else NIL

    def add(self, key: int) -> int:
        """Takes a row for a hash that has none; the row's other columns keep their old contents."""
        high, low = key >> 64, key & LOW_MASK
        if not self._free_rows:
            end = len(self.high)
            for column in self._columns:
                column.frombytes(bytes(ROWS_PER_GROWTH * column.itemsize))
            for row in range(end, end + ROWS_PER_GROWTH):
                self.flags[row] = TOMBSTONE  # loops over all rows skip it, like a freed row
            self._free_rows.extend(range(end + ROWS_PER_GROWTH - 1, end - 1, -1))
        row = self._free_rows.pop()
        self.high[row], self.low[row] = high, low
        self.wheel_slot[row] = 0xFFFF
        range_number = high >> 56
        self._range_sizes[range_number] += 1
        if 3 * self._range_sizes[range_number] > 2 * len(self._index[range_number]):
            self._grow(range_number)
        self._insert(self._index[range_number], low, row)
        return row

    def free(self, row: int) -> None:
        range_number = self.high[row] >> 56
        table = self._index[range_number]
        mask = len(table) - 1
        hole = self.low[row] & mask
        while table[hole] != row + 1:
            hole = (hole + 1) & mask
        position = hole
        while True:
            position = (position + 1) & mask
            if not table[position]:
                break
            home = self.low[table[position] - 1] & mask
            if (position - home) & mask >= (position - hole) & mask:
                table[hole] = table[position]
                hole = position
        table[hole] = 0
        self._range_sizes[range_number] -= 1
        self._free_rows.append(row)
        self.flags[row] = TOMBSTONE

    def range_size(self, range_number: int) -> int:
        """Number of rows of a range, tombstones included."""
        return self._range_sizes[range_number]

    def key(self, row: int) -> int:
        return self.high[row] << 64 | self.low[row]

    def rows_in_range(self, range_number: int) -> Iterator[int]:
        """Rows of a range, tombstones included. No row may be added or freed during the iteration."""
        return (row - 1 for row in self._index[range_number] if row)

    def digest(self, row: int) -> int:
        """64-bit digest of the key and its value, without ages."""
        flags = self.flags[row] & (KIND | STATE | CHARGED)
        packed = _pack(self.high[row], self.low[row], self.generation[row], self.moves[row], self.version[row], flags)
        return int.from_bytes(blake2b(packed + self.author_names[self.author[row]], digest_size=8).digest(), "big")

    def toggle_digest(self, row: int) -> None:
        """Adds a row to its range's digest, or removes it."""
        self.digests[self.high[row] >> 56] ^= self.digest(row)

    def _insert(self, table: array[int], low: int, row: int) -> None:
        mask = len(table) - 1
        position = low & mask
        while table[position]:
            position = (position + 1) & mask
        table[position] = row + 1

    def _grow(self, range_number: int) -> None:
        old = self._index[range_number]
        table = self._index[range_number] = array("I", bytes(4 * 2 * len(old)))
        for entry in old:
            if entry:
                self._insert(table, self.low[entry - 1], entry - 1)
