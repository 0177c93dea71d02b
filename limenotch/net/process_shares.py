"""How the processes of one sidecar share the limits on memory and descriptors: a file with a record for each process.

A process holds no more than its record says. It lowers its record when it holds less, and raises it only under the
file's lock, by what the records of all processes leave of the limit. What one more process takes before it has a record
is always left over. A record counts as long as its process runs: the kernel releases the process's lock on it at its
end, after its memory.

This module is loaded before the process has room for the others, so it imports hardly anything.
"""

from __future__ import annotations

import fcntl
import os
import struct
import time

MAX_PROCESSES = 16
RECORD_BYTES = 128
LOCKS_OFFSET = MAX_PROCESSES * RECORD_BYTES  # of the bytes that are locked: one for each record, and one for the file
FLOCK = struct.Struct("hhqqi4x")  # Linux, `struct flock` on 64-bit machines: type, whence, start, length, process
LOCK_TIMEOUT_S = 0.02  # a process that was stopped while it held the lock must not stop the others
LOCK_INTERVAL_S = 0.001
UNLIMITED = 1 << 60  # bytes or descriptors: of the first process, until it has read the limits

# The fields of a record, each of 8 bytes.
FIELDS = (
    "process_id",
    "running",  # 0: on standby, up to the end of another process
    "memory",  # bytes that it may hold
    "descriptors",  # that it may hold
    "wanted_memory",  # bytes that it needs to go on; 0: no more than it has
    "wanted_descriptors",
    "least_memory",  # bytes: it can't serve with less
    "least_descriptors",
    "limit_memory",  # bytes: the sidecar's limits, as this process knows them; 0: not known yet
    "limit_descriptors",
    "start_memory",  # bytes that a process takes for its start; 0: not known yet
    "start_descriptors",
    "standby_memory",  # bytes that a process takes before it is granted more
)
RECORD = struct.Struct(f"{len(FIELDS)}q")
STANDBY_DESCRIPTORS = 16  # that a process takes before it is granted more


class Record:
    """What one process may hold and what it needs; its attributes are FIELDS."""

    __slots__ = FIELDS
    process_id: int
    running: int
    memory: int
    descriptors: int
    wanted_memory: int
    wanted_descriptors: int
    least_memory: int
    least_descriptors: int
    limit_memory: int
    limit_descriptors: int
    start_memory: int
    start_descriptors: int
    standby_memory: int

    def __init__(self, *values: int) -> None:
        """`values`: in the order of FIELDS; those left out are 0."""
        for name, value in zip(FIELDS, (*values, *([0] * (len(FIELDS) - len(values)))), strict=True):
            setattr(self, name, value)

    def pack(self) -> bytes:
        """The record as it stands in the file."""
        return RECORD.pack(*(getattr(self, name) for name in FIELDS))


class Needs:
    """What a process that starts needs, by the records of the others."""

    __slots__ = ("descriptors", "limit_descriptors", "limit_memory", "memory", "reserved_memory")

    def __init__(self, others: list[Record]) -> None:
        # One that is starting, or hangs there, has not measured anything yet.
        running = [other for other in others if other.running and other.limit_memory]
        self.limit_memory = min((other.limit_memory for other in running), default=0)  # bytes; 0: not known yet
        self.limit_descriptors = min((other.limit_descriptors for other in running), default=0)
        self.memory = max((other.start_memory for other in running), default=0)  # bytes; 0: not known yet
        self.descriptors = max((other.start_descriptors for other in running), default=0)
        # Bytes that are left for the process after this one.
        self.reserved_memory = max((other.standby_memory for other in running), default=0)

    @property
    def known(self) -> bool:
        """Whether a process that runs has measured it."""
        return self.limit_memory > 0 and self.memory > 0

    def fit_beside(self, memory: int, descriptors: int) -> bool:
        """Whether a process can start beside others that hold so many bytes and descriptors."""
        return (
            memory + self.memory + self.reserved_memory <= self.limit_memory
            and descriptors + self.descriptors + STANDBY_DESCRIPTORS <= self.limit_descriptors
        )


class ProcessShares:
    """The file with the records, and the own record in it."""

    def __init__(self, descriptor: int, slot: int) -> None:
        """Use `join`. `slot`: the place of the own record."""
        self._descriptor = descriptor
        self._slot = slot
        self.own = Record(os.getpid())
        self._last_needs: Needs | None = None

    @classmethod
    def join(cls, path: str) -> ProcessShares | None:
        """Adds a record to the file at `path`, which it creates if there is none.

        Returns None if the file can't be used, or no record is free.
        """
        try:
            descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
        except OSError:
            return None
        for slot in range(MAX_PROCESSES):
            if _lock(descriptor, LOCKS_OFFSET + slot):
                shares = cls(descriptor, slot)
                try:
                    shares.publish()
                except OSError:
                    break
                return shares
        os.close(descriptor)
        return None

    def publish(self) -> None:
        """Writes the own record. If that grants more than before, only while the lock is held. Raises OSError."""
        os.pwrite(self._descriptor, self.own.pack(), self._slot * RECORD_BYTES)

    def others(self) -> list[Record]:
        """The records of the other processes that run."""
        content = os.pread(self._descriptor, MAX_PROCESSES * RECORD_BYTES, 0)
        found = []
        for slot in range(len(content) // RECORD_BYTES + 1):
            values = content[slot * RECORD_BYTES :][: RECORD.size]
            if slot != self._slot and len(values) == RECORD.size and self._is_locked(LOCKS_OFFSET + slot):
                found.append(Record(*RECORD.unpack(values)))
        return found

    def lock(self, timeout_s: float = LOCK_TIMEOUT_S) -> bool:
        """Locks the file against all that raise their records; False if that takes longer than this. See `unlock`."""
        until = time.monotonic() + timeout_s
        while not _lock(self._descriptor, LOCKS_OFFSET + MAX_PROCESSES):
            if time.monotonic() >= until:
                return False
            time.sleep(LOCK_INTERVAL_S)
        return True

    def unlock(self) -> None:
        """Ends `lock`."""
        _set_lock(self._descriptor, fcntl.F_OFD_SETLK, fcntl.F_UNLCK, LOCKS_OFFSET + MAX_PROCESSES)

    def try_start(self) -> bool:
        """Raises the own record to what a start takes if there is room for it; else asks the others to make room.

        While no other process runs there is room for anything. Raises OSError.
        """
        if not self.lock():
            return False
        try:
            others = self.others()
            if not any(other.running for other in others):
                self._start(UNLIMITED, UNLIMITED)
                return True
            needs = self._needs(others)
            memory = sum(other.memory for other in others)
            descriptors = sum(other.descriptors for other in others)
            if needs.known and needs.fit_beside(memory, descriptors):
                self._start(needs.memory, needs.descriptors)
                return True
            self._ask(needs)
            return False
        finally:
            self.unlock()

    def _needs(self, others: list[Record]) -> Needs:
        """What a start needs; as it was known last if those that had measured it have ended."""
        needs = Needs(others)
        if needs.known or self._last_needs is None:
            self._last_needs = needs
        return self._last_needs

    def _start(self, memory: int, descriptors: int) -> None:
        self.own.running = 1
        self.own.memory = memory
        self.own.descriptors = descriptors
        self.own.wanted_memory = self.own.wanted_descriptors = 0
        self.publish()

    def _ask(self, needs: Needs) -> None:
        self.own.memory = self.own.least_memory = needs.reserved_memory
        self.own.descriptors = self.own.least_descriptors = STANDBY_DESCRIPTORS
        self.own.wanted_memory = needs.memory
        self.own.wanted_descriptors = needs.descriptors
        self.publish()

    def stand_by(self) -> None:
        """Asks the others for no more room. Raises OSError."""
        self.own.wanted_memory = self.own.wanted_descriptors = 0
        self.publish()

    def may_ever_start(self) -> bool:
        """Whether this process could start beside the others if they held as little as they can."""
        others = self.others()
        needs = self._needs(others)
        least_memory = sum(other.least_memory for other in others)
        least_descriptors = sum(other.least_descriptors for other in others)
        return not needs.known or needs.fit_beside(least_memory, least_descriptors)

    def others_run(self) -> bool:
        """Whether another process runs that is not on standby."""
        return any(other.running for other in self.others())

    def close(self) -> None:
        """Gives up the own record."""
        os.close(self._descriptor)

    def _is_locked(self, offset: int) -> bool:
        found = _set_lock(self._descriptor, fcntl.F_OFD_GETLK, fcntl.F_WRLCK, offset)
        return bool(FLOCK.unpack(found)[0] != fcntl.F_UNLCK)


def _set_lock(descriptor: int, command: int, kind: int, offset: int) -> bytes:
    """Sets or asks for a lock of the open file description on one byte. Raises OSError."""
    return fcntl.fcntl(descriptor, command, FLOCK.pack(kind, os.SEEK_SET, offset, 1, 0))


def _lock(descriptor: int, offset: int) -> bool:
    try:
        _set_lock(descriptor, fcntl.F_OFD_SETLK, fcntl.F_WRLCK, offset)
    except OSError:
        return False
    return True
