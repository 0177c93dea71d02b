"""The log in memory: what store.records.Held holds or soon will, and how much of it is surely on disk.

- `stored`: all up to it, as it stands here, is on disk. An entry that replaces another takes it back at once.
- The entries here may begin before the snapshot (`tail_entries`), for members that are a little late.
- The voters in force are those of the latest entry of kind `voters`, agreed or not (thesis, 4.1).
"""

from __future__ import annotations

import msgspec

from ...store.records import LogEntry, Snapshot, StoredLog

COMMAND, VOTERS, EMPTY = "cmd", "voters", "none"


class Voters(msgspec.Struct, frozen=True, array_like=True):
    """Name to birth: what its disk was given at its first start. A voter back on an empty disk has another birth,
    has forgotten its promises, and so is none until it is let in anew."""

    births: dict[str, str]
    returning: tuple[str, ...] = ()  # to be let in again when they have caught up

    @property
    def quorum(self) -> int:
        return len(self.births) // 2 + 1

    def without(self, name: str, returns: bool) -> Voters:
        left = {other: birth for other, birth in self.births.items() if other != name}
        back = tuple(other for other in self.returning if other != name)
        return Voters(left, (*back, name) if returns else back)

    def plus(self, name: str, birth: str) -> Voters:
        return Voters({**self.births, name: birth}, tuple(other for other in self.returning if other != name))


class State(msgspec.Struct, frozen=True, array_like=True):
    """What a snapshot's bytes hold: the layers' state, and the log's own."""

    state: bytes
    ids: list[tuple[str, int]]  # in order of age
    voters: Voters


_state: msgspec.msgpack.Decoder[State] = msgspec.msgpack.Decoder(State)
_voters: msgspec.msgpack.Decoder[Voters] = msgspec.msgpack.Decoder(Voters)
pack = msgspec.msgpack.encode


def unpack(snapshot: Snapshot) -> State:
    """Raises msgspec.DecodeError."""
    return _state.decode(snapshot.state)


NOBODY = Voters({})


class Log:
    def __init__(self, held: StoredLog) -> None:
        self.snapshot = held.snapshot
        self.base = held.base
        self.base_term = held.snapshot.term if held.snapshot else 0
        self.entries: list[LogEntry] = list(held.entries)
        self.bytes = sum(len(entry.data) for entry in self.entries)
        self.stored = self.last
        under = unpack(held.snapshot).voters if held.snapshot else NOBODY
        self._voters: list[tuple[int, Voters]] = [(self.base, under)]
        self._learn(self.entries)

    @property
    def last(self) -> int:
        return self.base + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def voters(self) -> Voters:
        return self._voters[-1][1]

    @property
    def voters_at(self) -> int:
        return self._voters[-1][0]

    @property
    def snapped(self) -> int:
        return self.snapshot.index if self.snapshot else 0

    def voters_as_of(self, index: int) -> Voters:
        return next(voters for at, voters in reversed(self._voters) if at <= index)

    def voters_since(self, index: int) -> list[Voters]:
        """Those in force at `index`, and all later ones."""
        return [self.voters_as_of(index), *(voters for at, voters in self._voters if at > index)]

    def term_of(self, index: int) -> int | None:
        """None where the log does not reach, on either side."""
        if index == self.base:
            return self.base_term
        return self.entries[index - self.base - 1].term if self.base < index <= self.last else None

    def get(self, index: int) -> LogEntry:
        return self.entries[index - self.base - 1]

    def part(self, first: int, upto: int, most: int, most_bytes: int) -> tuple[LogEntry, ...]:
        """From `first` on; at least one where there is one."""
        chosen: list[LogEntry] = []
        size = 0
        for entry in self.entries[first - self.base - 1 : min(upto - self.base, first - self.base - 1 + most)]:
            size += len(entry.data)
            if chosen and size > most_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def conflict(self, entries: tuple[LogEntry, ...]) -> int:
        """The place among `entries` of the first that is not held here; their number where all are."""
        for place, entry in enumerate(entries):
            if entry.index > self.base and self.term_of(entry.index) != entry.term:
                return place
        return len(entries)

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Replaces all from the first one's index on."""
        first = entries[0].index
        gone = self.entries[first - self.base - 1 :]
        self.bytes += sum(len(entry.data) for entry in entries) - sum(len(entry.data) for entry in gone)
        del self.entries[first - self.base - 1 :]
        self.stored = min(self.stored, first - 1)
        while len(self._voters) > 1 and self._voters[-1][0] >= first:
            self._voters.pop()
        self.entries += entries
        self._learn(entries)

    def compact(self, snapshot: Snapshot, tail: int) -> None:
        """Of what is held here, up to the snapshot's index, only a tail is kept."""
        self.snapshot = snapshot
        drop = max(0, snapshot.index - tail - self.base)
        if drop:
            under = self.voters_as_of(self.base + drop)
            self.base_term = self.entries[drop - 1].term
            self.bytes -= sum(len(entry.data) for entry in self.entries[:drop])
            self.base += drop
            del self.entries[:drop]
            self._voters = [(self.base, under), *(pair for pair in self._voters if pair[0] > self.base)]

    def install(self, snapshot: Snapshot, voters: Voters) -> None:
        """Instead of all that is held here, unless it goes on from the snapshot (figure 13, rule 6)."""
        if self.term_of(snapshot.index) == snapshot.term:
            self.compact(snapshot, 0)
            return
        self.snapshot, self.base, self.base_term = snapshot, snapshot.index, snapshot.term
        self.entries, self.bytes, self.stored = [], 0, 0
        self._voters = [(self.base, voters)]

    def _learn(self, entries: list[LogEntry] | tuple[LogEntry, ...]) -> None:
        self._voters += [(entry.index, _voters.decode(entry.data)) for entry in entries if entry.kind == VOTERS]
