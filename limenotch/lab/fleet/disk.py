"""A disk in simulated time: its content, the writes under way, and what a crash leaves of these.

Batches are written in order. All batches pending when a write begins are written with one fsync, as the thread of the
real store does it. A killed process (or a machine that crashes) leaves, of the write under way, the records up to some
record; pending batches are lost. That is the worst that the contract of the store allows; a real kernel often retains
more.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from limenotch.fleet.interfaces import Stored, StoreFailed
from limenotch.lab.fleet.faults import DiskState
from limenotch.lab.simulate.kernel import Kernel
from limenotch.store.records import StoredLog

FAILING_STATES = ("full", "read-only", "torn")


class SimulatedDisk:
    """Calls `answer` with Stored or StoreFailed for each ticket, in order. `state` may be changed at any time."""

    def __init__(self, kernel: Kernel, answer: Callable[[Any], None], fsync_ms: float, seed: str) -> None:
        self.content = StoredLog(entries=[])
        self.state = DiskState("", "ok")
        self.fsyncs = 0
        self._kernel = kernel
        self._answer = answer
        self._fsync_ms = fsync_ms
        self._random = Random(seed)
        self._pending: list[tuple[int, tuple[Any, ...]]] = []
        self._writing: list[tuple[int, tuple[Any, ...]]] = []
        self._crashes = 0  # number of crashes; a write that began before the latest does not end

    def store(self, ticket: int, records: tuple[Any, ...]) -> None:
        """Writes the batch after those before it."""
        self._pending.append((ticket, records))
        if not self._writing:
            self._write()

    def copy(self) -> StoredLog:
        """The content that a process starting now reads; the caller may change it."""
        return StoredLog(self.content.term_vote, self.content.snapshot, list(self.content.entries))

    def crash(self, *, keep_content: bool = True) -> None:
        """The process ends at once; without `keep_content` the content of the disk is lost too."""
        self._crashes += 1
        if keep_content and self._writing:
            self._apply_prefix(self._writing, may_include_all=True)
        self._pending, self._writing = [], []
        if not keep_content:
            self.content = StoredLog(entries=[])

    def _write(self) -> None:
        self._writing, self._pending = self._pending, []
        span_ms = self.state.write_ms if self.state.state == "slow" else self._fsync_ms
        self._kernel.schedule(self._kernel.now + span_ms, self._written, self._crashes)

    def _written(self, crash: int) -> None:
        if crash != self._crashes:
            return
        self.fsyncs += 1
        batches, self._writing = self._writing, []
        failure = self.state.state
        if failure in FAILING_STATES:
            if failure == "torn":
                self._apply_prefix(batches)
            # Batches submitted meanwhile fail too: they may follow entries that are not on the disk.
            batches, self._pending = batches + self._pending, []
            answers: list[Any] = [StoreFailed(ticket, failure) for ticket, _ in batches]
        else:
            for _, records in batches:
                for record in records:
                    self.content.apply(record)
            answers = [Stored(ticket) for ticket, _ in batches]
            if self._pending:
                self._write()
        for answer in answers:
            if crash == self._crashes:
                self._answer(answer)

    def _apply_prefix(self, batches: list[tuple[int, tuple[Any, ...]]], *, may_include_all: bool = False) -> None:
        """Applies the records up to some record; all of them only after a crash, where just the answer is lost."""
        records = [record for _, batch in batches for record in batch]
        for record in records[: self._random.randrange(len(records) + may_include_all) if records else 0]:
            self.content.apply(record)
