"""Rows as messages bear them, and what of one's own is to be told when.

- A row is to be told when its value changes, when its age here is younger than what others hold by more than `tell` of
  its idle time, and, if it is younger at all, when the others' age of it runs out.
- What is to be told at the time of a batch is one *round*; when the last of it is out, all sights up to that time are
  covered. A large round takes several turns.
- Ages go rounded down, so that on its way a sight never gets older.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from math import isfinite

from .messages import MOST_ROWS, Copy, Cover, Place, Sights, Undone
from .peers import Peer
from .rows import CHARGED, GRAVE, KIND, STATE, TELL
from .table import BITS, Shared

MOST_MESSAGES = 2  # of a round, in one turn
MOST_COUNT = 1 << 62
MOST_NAME = 64  # letters of a member's name
MOST_PLACE = 256  # of a provider's, a cell's, a zone's
TENTHS = 10
Packed = tuple[tuple[Place, ...], tuple[str, ...], tuple[Copy, ...]]


def pack(table: Shared, chosen: Iterable[int], now: float) -> Packed:
    """Rows, live ones all, and the tables that they point into."""
    rows, places, names = table.rows, table.providers.places, table.members.names
    providers: dict[int, int] = {}
    members: dict[int, int] = {}
    copies = []
    for row in chosen:
        who, by = rows.who[row], rows.by[row]
        copies.append(
            Copy(
                rows.key(row).to_bytes(16, "big"),
                rows.what[row] & BITS,
                providers.setdefault(who, len(providers)),
                members.setdefault(by, len(members)),
                rows.gen[row],
                rows.move[row],
                rows.count[row],
                int(max(0.0, now - rows.seen[row]) * TENTHS),
                int(max(0.0, now - rows.made[row]) * TENTHS),
                rows.stamp[row],
            )
        )
    return tuple(places[who] for who in providers), tuple(names[by] for by in members), tuple(copies)


def sound(copy: Copy, providers: Sequence[Place], names: Sequence[str]) -> bool:
    return (
        len(copy.key) == 16
        and 0 <= copy.what <= (KIND | STATE | CHARGED)
        and 0 <= copy.who < len(providers)
        and 0 <= copy.by < len(names)
        and 0 <= copy.gen < 1 << 32
        and 0 <= copy.move < 1 << 16
        and 0 <= copy.count < MOST_COUNT
        and 0 <= copy.stamp < MOST_COUNT
        and copy.age >= 0
        and copy.old >= 0
    )


def _known(table: Shared, providers: Sequence[Place], names: Sequence[str]) -> bool:
    """Whether its names are such as there may be, and all who made values have their numbers."""
    if any(len(name) > MOST_NAME for name in names) or any(len(part) > MOST_PLACE for at in providers for part in at):
        return False
    try:
        for name in names:
            table.members.number(name)
    except ValueError:
        return False
    return True


def take(table: Shared, now: float, peer: Peer, sent: float, packed: Packed, seer: bool, stamp: int = 0) -> None:
    """What a message bears, into the table."""
    providers, names, copies = packed
    if not isfinite(sent) or not 0 <= stamp < MOST_COUNT or not _known(table, providers, names):
        table.count("unsound message")
        return
    # A seer's own word is never older here than it is in truth. A copy is never younger: it may be of a sight of one's
    # own, and would else get younger each time it came round.
    latest, earliest = peer.clock.latest(now, sent), peer.clock.earliest(now, sent)
    at, doubt, slow = (latest, 0.0, 1.0) if seer else (earliest, latest - earliest, 1 + table.tuning.drift)
    for copy in copies:
        if not sound(copy, providers, names):
            table.count("unsound copy")
            continue
        key = int.from_bytes(copy.key, "big")
        table.hear(
            now,
            key,
            copy.what,
            providers[copy.who],
            copy.gen,
            copy.move,
            copy.count,
            names[copy.by],
            at - slow * copy.age / TENTHS,
            at - copy.old / TENTHS,
            max(stamp, copy.stamp),
            seer,
            doubt,
        )


class Teller:
    """One's own sights, in rounds. Of one life."""

    def __init__(self, table: Shared, process_epoch: int, now: float, kept: bool = False) -> None:
        """`kept`: it has rows that it saw in an earlier life, which others may not have heard of."""
        self.table, self.process_epoch, self.kept = table, process_epoch, kept
        self.seq = 0
        self.born = table.counter
        self.covered = now
        self._round: deque[int] | None = None
        self._undo: deque[tuple[int, int, int, int]] = deque()
        self._mark = now

    def batches(self, now: float, most: int = MOST_MESSAGES) -> list[Sights]:
        """For all members: up to `most`, none if there is nothing to tell."""
        table, out = self.table, []
        for _ in range(most):
            if self._round is None:
                # What was due in the wheel by then is among what is to be told.
                self._mark = min(now, table.wheel.passed)
                self._round, table.to_tell = table.to_tell, deque()
                self._undo, table.to_undo = table.to_undo, deque()
            chosen = self._chosen()
            undone = [self._undo.popleft() for _ in range(min(len(self._undo), MOST_ROWS))]
            over = not self._round and not self._undo
            if chosen or undone:
                self.born = self.born if self.seq else table.counter
                table.counter += 1
                self.seq += 1
                packed = pack(table, chosen, now)
                for row in chosen:
                    table.rows.told[row] = table.rows.seen[row]
                    table.restamp(row, table.counter)
            if over:
                self.covered, self._round = max(self.covered, self._mark), None
            if chosen or undone:
                ended = tuple(Undone(key.to_bytes(16, "big"), *rest) for key, *rest in undone)
                out.append(
                    Sights(
                        self.process_epoch,
                        self.seq,
                        table.counter,
                        self.born,
                        now,
                        self.covered,
                        table.whole,
                        *packed,
                        ended,
                        self.kept,
                    )
                )
            if over:
                break
        return out

    def hand_back(self) -> None:
        self.table.to_tell.extendleft(reversed(self._round or ()))
        self.table.to_undo.extendleft(reversed(self._undo))

    def cover(self, now: float) -> Cover:
        born = self.born if self.seq else self.table.counter
        return Cover(
            self.process_epoch, self.seq, self.table.counter, born, now, self.covered, self.table.whole, self.kept
        )

    @property
    def behind(self) -> bool:
        return self._round is not None

    def _chosen(self) -> list[int]:
        assert self._round is not None
        rows = self.table.rows
        chosen: list[int] = []
        while self._round and len(chosen) < MOST_ROWS:
            row = self._round.popleft()
            if row < len(rows.what) and rows.what[row] & (TELL | GRAVE) == TELL:
                rows.what[row] &= ~TELL
                chosen.append(row)
        return chosen
