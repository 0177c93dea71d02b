"""A disk in simulated time: what is on it, what is on the way to it, and what a fall leaves of that.

Batches go down in order. All that wait when a write begins go down with one fsync, as a store's thread does it.
A process that is killed (or a machine that falls) leaves of the write under way the records up to some one; what
waited behind is lost. That is the worst the store's contract allows; a real kernel often keeps more.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from limenotch.fleet.interfaces import Stored, StoreFailed
from limenotch.lab.fleet.faults import Disk
from limenotch.lab.simulate.kernel import Kernel
from limenotch.store.records import StoredLog

REFUSING = ("full", "read-only", "torn")


class SimulatedDisk:
    """`answer` is given a Stored or StoreFailed for each ticket, in order. `state` may be changed at any time."""

    def __init__(self, kernel: Kernel, answer: Callable[[Any], None], fsync_ms: float, seed: str) -> None:
        self.held = StoredLog(entries=[])
        self.state = Disk("", "ok")
        self.fsyncs = 0
        self._kernel = kernel
        self._answer = answer
        self._fsync_ms = fsync_ms
        self._random = Random(seed)
        self._waiting: list[tuple[int, tuple[Any, ...]]] = []
        self._writing: list[tuple[int, tuple[Any, ...]]] = []
        self._fall = 0  # writes of before a fall don't end

    def store(self, ticket: int, records: tuple[Any, ...]) -> None:
        self._waiting.append((ticket, records))
        if not self._writing:
            self._write()

    def copy(self) -> StoredLog:
        """What a process that starts now finds. Its own to change."""
        return StoredLog(self.held.term_vote, self.held.snapshot, list(self.held.entries))

    def fall(self, *, keep: bool = True) -> None:
        """The process ends at once; without `keep` the disk is gone too."""
        self._fall += 1
        if keep and self._writing:
            self._some(self._writing, all_too=True)
        self._waiting, self._writing = [], []
        if not keep:
            self.held = StoredLog(entries=[])

    def _write(self) -> None:
        self._writing, self._waiting = self._waiting, []
        span = self.state.ms if self.state.state == "slow" else self._fsync_ms
        self._kernel.at(self._kernel.now + span, self._written, self._fall)

    def _written(self, fall: int) -> None:
        if fall != self._fall:
            return
        self.fsyncs += 1
        batches, self._writing = self._writing, []
        why = self.state.state
        if why in REFUSING:
            if why == "torn":
                self._some(batches)
            # What was given since is refused with it: it may follow on from what is not there.
            batches, self._waiting = batches + self._waiting, []
            answers: list[Any] = [StoreFailed(ticket, why) for ticket, _ in batches]
        else:
            for _, records in batches:
                for record in records:
                    self.held.apply(record)
            answers = [Stored(ticket) for ticket, _ in batches]
            if self._waiting:
                self._write()
        for one in answers:
            if fall == self._fall:
                self._answer(one)

    def _some(self, batches: list[tuple[int, tuple[Any, ...]]], *, all_too: bool = False) -> None:
        """Up to some record; all of them only after a fall, where just the answer is missing."""
        records = [record for _, batch in batches for record in batch]
        for record in records[: self._random.randrange(len(records) + all_too) if records else 0]:
            self.held.apply(record)
