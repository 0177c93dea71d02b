"""What all of a member's agreement shares: its log, ballot, role, what waits for the disk, and the actions so far.

Rules kept here, and nowhere else
- The ballot and the log change only together with a Store; `stored` of either moves only by Stored.
- A disk that failed is not written to but by one retry at a time, which holds all that is not on it: the ballot, the
  snapshot, the entries from `log.stored` on. So whatever the failed writes left there is replaced (Append's meaning).
- While the disk fails the member is `ill`: it doesn't vote, stand or lead. It still follows, as far as memory goes.

Source: Ongaro, Ousterhout (2014), figure 2, "updated on stable storage before responding".
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from ...store.records import Append, LogEntry, Snapshot, StoredLog, TermVote
from ..interfaces import Carrier, LogLine, Message, SendToMember, SetTimer, Store
from . import api
from .log import COMMAND, NOBODY, Log, State, Voters, pack, unpack
from .states import Cause, Role, next_role
from .tuning import Tuning

NEVER = float("inf")
MARK = "?"  # in a ballot's vote on disk: between the vote and this disk's birth
MOST_TICKETS = 1024  # writes not answered; over it nothing more is taken


@dataclass(slots=True)
class Write:
    ticket: int
    ballot: tuple[int, str]
    last: int  # entries up to it are on disk once it is; less where they were replaced since
    snapped: int


class Node:
    def __init__(self, name: str, named: tuple[str, ...], held: StoredLog, tuning: Tuning, seed: int) -> None:
        self.name, self.named, self.tuning = name, named, tuning
        self.random = Random(seed)
        self.process_epoch = self.random.getrandbits(48)
        self.log = Log(held)
        vote, mark, birth = held.term_vote.vote.partition(MARK)
        self.newborn = held == StoredLog(entries=[])
        self.birth = f"{self.random.getrandbits(48):x}" if self.newborn else birth
        self.term, self.vote = held.term_vote.term, vote
        self.on_disk: tuple[int, str] | None = None if self.newborn else (self.term, self.vote)
        self.snapped_on_disk = self.log.snapped
        self.leader: str | None = None
        self.told: tuple[str | None, int] = (None, -1)
        self.now = 0.0
        self.heard_at = 0.0  # when a leader, or the start
        self.wait_until = NEVER  # for a leader
        self.commit = self.applied = self.log.snapped
        self.role = Role.FOLLOWER if self.standing else Role.LEARNER
        self.ids: dict[str, int] = dict(unpack(held.snapshot).ids) if held.snapshot else {}
        self.frozen: tuple[int, int, list[tuple[str, int]], Voters] | None = None
        self.ill = ""
        self.retry_at = NEVER
        self.writes: deque[Write] = deque()
        self.ticket = 0
        self.out: list[Any] = []
        self.lost: Callable[[], None] = lambda: None  # leadership ended
        self.counts: dict[str, int] = {}
        self._armed = NEVER

    # What it is

    @property
    def standing(self) -> bool:
        """Whether any voters in force since what is agreed count it: one removed is needed until that is agreed."""
        return any(voters.births.get(self.name) == self.birth for voters in self.log.voters_since(self.commit))

    @property
    def blank(self) -> bool:
        return self.log.last == 0

    @property
    def leads(self) -> bool:
        return self.role is Role.LEADER

    @property
    def ballot_stored(self) -> bool:
        return self.on_disk == (self.term, self.vote)

    def others(self) -> list[str]:
        return [name for name in self.log.voters.births if name != self.name]

    # Actions

    def tell(self, to: str, message: Message, carrier: Carrier = Carrier.DATAGRAM) -> None:
        self.out.append(SendToMember(to, message, carrier))

    def note(self, text: str, **fields: Any) -> None:
        self.out.append(LogLine(text, fields))

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def arm(self, due: float) -> None:
        """One timer is enough: it is set only for what comes before all that is set already."""
        if due < self._armed:
            self._armed = due
            self.out.append(SetTimer(due, 1))

    def fired(self) -> None:
        if self.now >= self._armed:
            self._armed = NEVER

    def wait(self) -> None:
        tuning = self.tuning
        self.wait_until = self.now + self.random.uniform(tuning.election_least_ms, tuning.election_most_ms)

    # Roles and epochs

    def become(self, cause: Cause) -> None:
        led = self.leads
        self.role = next_role(self.role, cause)
        if led:
            self.lost()
            self.follow(None)

    def follow(self, leader: str | None) -> None:
        self.leader = leader
        if self.told == (leader, self.term) or leader is None and self.told[0] is None:
            return
        self.told = (leader, self.term)
        self.out.append(api.LeaderChanged(leader, self.term))
        if leader is None:
            self.note("no leader", epoch=self.term)
        elif leader == self.name:
            self.note(f"leads {self.term}")
        else:
            self.note(f"follows {leader} {self.term}")

    def adopt(self, term: int) -> None:
        """Somebody is in a later one."""
        if self.role in (Role.LEADER, Role.CANDIDATE, Role.PRE):
            self.become(Cause.EPOCH)
            self.wait()
        self.follow(None)
        self.cast(term, "")

    def settle(self) -> None:
        """Takes the role that the log's voters give; a leader stays one until its removal is agreed."""
        if self.role is Role.LEARNER and self.standing:
            self.become(Cause.ADMITTED)
            self.wait()
        elif self.role is not Role.LEARNER and not self.leads and not self.standing:
            if self.role is not Role.FOLLOWER:
                self.become(Cause.EPOCH)
            self.become(Cause.REMOVED)

    # The disk

    def cast(self, term: int, vote: str) -> None:
        self.term, self.vote = term, vote
        self._store(self._ballot())

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        self.log.append(entries)
        for write in self.writes:
            write.last = min(write.last, entries[0].index - 1)
        self._store(Append(entries))

    def snap(self, snapshot: Snapshot) -> None:
        """After the log was compacted, or replaced, by it."""
        self._store(snapshot)

    def stored(self, ticket: int) -> None:
        log = self.log
        if ticket > self.ticket or not self.writes or ticket < self.writes[0].ticket:
            return
        while self.writes and self.writes[0].ticket <= ticket:
            write = self.writes.popleft()
            self.on_disk, self.snapped_on_disk = write.ballot, write.snapped
            log.stored = max(log.stored, min(write.last, log.last))
        if self.ill:
            self.note(f"disk {self.ill} no more")
            self.ill, self.retry_at = "", NEVER
            if self.role in (Role.FOLLOWER, Role.PRE):
                self.wait()
            if not self.on_disk_all:
                self._store_all()

    def failed(self, ticket: int, why: str) -> None:
        if ticket > self.ticket:
            return
        self.writes.clear()
        self.retry_at = self.now + self.tuning.retry_ms
        if not self.ill:
            self.ill = why
            self.note(f"disk {why}")
        self.ill = why
        if self.role in (Role.LEADER, Role.CANDIDATE, Role.PRE):
            self.become(Cause.DISK)
            self.wait()

    def retry(self) -> None:
        if self.now >= self.retry_at:
            self.retry_at = NEVER
            self._store_all()

    @property
    def on_disk_all(self) -> bool:
        log = self.log
        return self.ballot_stored and log.stored == log.last and self.snapped_on_disk == log.snapped

    @property
    def full(self) -> str:
        """Why nothing more is taken into the log here; empty: it is."""
        log, tuning = self.log, self.tuning
        if len(log.entries) >= tuning.most_log_entries + tuning.tail_entries or log.bytes >= tuning.most_log_bytes:
            return "log full"
        return "disk slow" if len(self.writes) >= MOST_TICKETS else ""

    def _ballot(self) -> TermVote:
        return TermVote(self.term, f"{self.vote}{MARK}{self.birth}" if self.birth else self.vote)

    def _store_all(self) -> None:
        log = self.log
        records: list[Any] = [self._ballot()]
        first = log.stored + 1
        if log.snapshot and self.snapped_on_disk != log.snapped:
            records.append(log.snapshot)
            first = max(first, log.snapped + 1)
        rest = tuple(log.entries[first - log.base - 1 :])
        self._write(*records, *([Append(rest)] if rest else []))

    def _store(self, record: Any) -> None:
        if not self.ill:  # else the next retry has it
            self._write(record)

    def _write(self, *records: Any) -> None:
        self.ticket += 1
        self.writes.append(Write(self.ticket, (self.term, self.vote), self.log.last, self.log.snapped))
        self.out.append(Store(self.ticket, records))

    # What is agreed

    def apply(self) -> list[tuple[LogEntry, str, int]]:
        """Tells the layers above what was agreed since; gives commands with their id and the index that counts."""
        done: list[tuple[LogEntry, str, int]] = []
        while self.applied < self.commit:
            self.applied += 1
            entry = self.log.get(self.applied)
            if entry.kind != COMMAND:
                done.append((entry, "", entry.index))
                continue
            ident, data = decode(entry.data)
            first = self.ids.get(ident) if ident else None
            if first is None:
                self.out.append(api.EntryCommitted(entry.index, entry.term, data, ident))
                if ident and self.tuning.most_ids:
                    self.ids[ident] = entry.index
                    if len(self.ids) > self.tuning.most_ids:
                        del self.ids[next(iter(self.ids))]
            done.append((entry, ident, entry.index if first is None else first))
        if done and self.frozen is None:
            self._want()
        return done

    def compact(self, index: int, state: bytes) -> None:
        """The answer to WantSnapshot; another index, or too large a state, is noted and not taken."""
        if self.frozen is None or self.frozen[0] != index:
            self.count("compact not asked for")
            return
        at, term, ids, voters = self.frozen
        self.frozen = None
        whole = pack(State(state, ids, voters))
        if len(whole) > self.tuning.most_snapshot_bytes:
            self.note("snapshot too large", bytes=len(whole))
        elif at > self.log.snapped:
            snapshot = Snapshot(at, term, whole, tuple(voters.births))
            self.log.compact(snapshot, self.tuning.tail_entries)
            self.snap(snapshot)

    def install(self, snapshot: Snapshot, state: State) -> None:
        if self.log.term_of(snapshot.index) != snapshot.term:
            for write in self.writes:
                write.last = 0  # of a log that is gone
        self.log.install(snapshot, state.voters)
        self.snap(snapshot)
        self.frozen = None
        self.ids = dict(state.ids)
        self.commit = max(self.commit, snapshot.index)
        self.applied = snapshot.index
        self.out.append(api.SnapshotInstalled(snapshot.index, state.state))

    def _want(self) -> None:
        log, tuning = self.log, self.tuning
        due = self.applied - log.snapped >= tuning.snapshot_entries
        if due or log.bytes >= tuning.snapshot_bytes and self.applied > log.snapped:
            term = log.term_of(self.applied)
            assert term is not None
            self.frozen = (self.applied, term, list(self.ids.items()), log.voters_as_of(self.applied))
            self.out.append(api.SnapshotRequested(self.applied))


def encode(ident: str, data: bytes) -> bytes:
    name = ident.encode()
    return len(name).to_bytes(2, "big") + name + data


def decode(data: bytes) -> tuple[str, bytes]:
    size = int.from_bytes(data[:2], "big") + 2
    return data[2:size].decode(), data[size:]


__all__ = ["NEVER", "NOBODY", "Node", "decode", "encode"]
