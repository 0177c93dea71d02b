"""The log in memory: what the store's StoredLog contains or will contain soon, and how much of it is on disk.

- `stored_index`: entries up to it, as they are here, are on disk. An entry that replaces another lowers it at once.
- The entries here may begin before the snapshot (`tail_entries`), for members that are slightly behind.
- The voters in force are those of the latest entry of kind `voters`, committed or not (thesis, 4.1).
"""

from __future__ import annotations

import msgspec

from ...store.records import LogEntry, Snapshot, StoredLog

COMMAND, VOTERS, EMPTY = "cmd", "voters", "none"


class Voters(msgspec.Struct, frozen=True, array_like=True):
    """Maps each voter's name to the id that its disk got at its first start.

    A voter that is back on an empty disk has another disk id and has lost its promises, so it does not count as a voter
    until it is added again.
    """

    disk_ids: dict[str, str]
    returning: tuple[str, ...] = ()  # voters to be added again when they have caught up

    @property
    def quorum(self) -> int:
        """The number of voters that is a majority."""
        return len(self.disk_ids) // 2 + 1

    def without(self, name: str, returns: bool) -> Voters:
        """The voters without `name`; `returns`: it is added again when it has caught up."""
        remaining = {voter: disk_id for voter, disk_id in self.disk_ids.items() if voter != name}
        returning = tuple(voter for voter in self.returning if voter != name)
        return Voters(remaining, (*returning, name) if returns else returning)

    def with_voter(self, name: str, disk_id: str) -> Voters:
        """The voters with `name` on the disk with this id."""
        return Voters({**self.disk_ids, name: disk_id}, tuple(voter for voter in self.returning if voter != name))


class SnapshotPayload(msgspec.Struct, frozen=True, array_like=True):
    """The bytes of a snapshot: the state of the layers above, and the log's own."""

    state: bytes
    index_by_id: list[tuple[str, int]]  # proposal id, index of its entry; oldest first
    voters: Voters


_state: msgspec.msgpack.Decoder[SnapshotPayload] = msgspec.msgpack.Decoder(SnapshotPayload)
_voters: msgspec.msgpack.Decoder[Voters] = msgspec.msgpack.Decoder(Voters)
encode_payload = msgspec.msgpack.encode


def decode_payload(snapshot: Snapshot) -> SnapshotPayload:
    """The payload of a snapshot. Raises msgspec.DecodeError."""
    return _state.decode(snapshot.state)


NO_VOTERS = Voters({})


class Log:
    """The entries in memory with their snapshot."""

    def __init__(self, stored_log: StoredLog) -> None:
        self.snapshot = stored_log.snapshot
        self.base_index = stored_log.base_index
        self.base_term = stored_log.snapshot.term if stored_log.snapshot else 0
        self.entries: list[LogEntry] = list(stored_log.entries)
        self.bytes = sum(len(entry.data) for entry in self.entries)
        self.stored_index = self.last_index
        base_voters = decode_payload(stored_log.snapshot).voters if stored_log.snapshot else NO_VOTERS
        self._voters: list[tuple[int, Voters]] = [(self.base_index, base_voters)]
        self._record_voters(self.entries)

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def voters(self) -> Voters:
        """The voters in force: those of the latest configuration."""
        return self._voters[-1][1]

    @property
    def voters_index(self) -> int:
        """The index of the entry that made them the voters."""
        return self._voters[-1][0]

    @property
    def snapshot_index(self) -> int:
        """The last index that the snapshot covers; 0 without a snapshot."""
        return self.snapshot.index if self.snapshot else 0

    def voters_as_of(self, index: int) -> Voters:
        """The voters in force at `index`."""
        return next(voters for since_index, voters in reversed(self._voters) if since_index <= index)

    def voters_since(self, index: int) -> list[Voters]:
        """The voters in force at `index`, and all later ones."""
        return [self.voters_as_of(index), *(voters for since_index, voters in self._voters if since_index > index)]

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None if the log does not reach it, on either side."""
        if index == self.base_index:
            return self.base_term
        return self.entries[index - self.base_index - 1].term if self.base_index < index <= self.last_index else None

    def entry_at(self, index: int) -> LogEntry:
        """The entry with this index, which the log must contain."""
        return self.entries[index - self.base_index - 1]

    def entries_between(self, first: int, last: int, max_entries: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Entries from `first` up to `last`, bounded in number and bytes; at least one if there is one."""
        chosen: list[LogEntry] = []
        size = 0
        for entry in self.entries[
            first - self.base_index - 1 : min(last - self.base_index, first - self.base_index - 1 + max_entries)
        ]:
            size += len(entry.data)
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def first_conflict(self, entries: tuple[LogEntry, ...]) -> int:
        """The position in `entries` of the first that the log does not contain; their number if it has all."""
        for position, entry in enumerate(entries):
            if entry.index > self.base_index and self.term_at(entry.index) != entry.term:
                return position
        return len(entries)

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Appends the entries, replacing all from the index of the first one on."""
        first = entries[0].index
        replaced = self.entries[first - self.base_index - 1 :]
        self.bytes += sum(len(entry.data) for entry in entries) - sum(len(entry.data) for entry in replaced)
        del self.entries[first - self.base_index - 1 :]
        self.stored_index = min(self.stored_index, first - 1)
        while len(self._voters) > 1 and self._voters[-1][0] >= first:
            self._voters.pop()
        self.entries += entries
        self._record_voters(entries)

    def compact(self, snapshot: Snapshot, tail: int) -> None:
        """Drops the entries that the snapshot covers, except for a tail of them."""
        self.snapshot = snapshot
        dropped = max(0, snapshot.index - tail - self.base_index)
        if dropped:
            base_voters = self.voters_as_of(self.base_index + dropped)
            self.base_term = self.entries[dropped - 1].term
            self.bytes -= sum(len(entry.data) for entry in self.entries[:dropped])
            self.base_index += dropped
            del self.entries[:dropped]
            self._voters = [
                (self.base_index, base_voters),
                *(pair for pair in self._voters if pair[0] > self.base_index),
            ]

    def install(self, snapshot: Snapshot, voters: Voters) -> None:
        """Replaces the log by the snapshot, unless the log continues from it (figure 13, rule 6)."""
        if self.term_at(snapshot.index) == snapshot.term:
            self.compact(snapshot, 0)
            return
        self.snapshot, self.base_index, self.base_term = snapshot, snapshot.index, snapshot.term
        self.entries, self.bytes, self.stored_index = [], 0, 0
        self._voters = [(self.base_index, voters)]

    def _record_voters(self, entries: list[LogEntry] | tuple[LogEntry, ...]) -> None:
        self._voters += [(entry.index, _voters.decode(entry.data)) for entry in entries if entry.kind == VOTERS]
