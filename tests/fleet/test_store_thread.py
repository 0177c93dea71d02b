"""The store's thread: order, batches, the effects of a failure, slow disks, an orderly end."""

from __future__ import annotations

import errno
import queue
import threading
from collections.abc import Callable
from pathlib import Path

import pytest

from limenotch.lab.fleet.faulty import FAULTS_FILE_NAME, FaultsFile, FaultyFiles, ProcessFaults, write_process_faults
from limenotch.store.files import Files, RealFiles, StoreError
from limenotch.store.log import Store
from limenotch.store.records import StoredLog, TermVote
from limenotch.store.thread import StoreThread, estimated_size

from ..helpers.processes import output_of
from .fake_disk import Disk, entries

WAIT_S = 10.0  # time limit of waits that end much earlier unless the program is broken


class ThreadHarness:
    """A store's thread, and an event loop that the test runs step by step."""

    def __init__(self, disk: Files, max_waiting_bytes: int = 1 << 20, slow_s: float = 60.0) -> None:
        self.posted: queue.SimpleQueue[Callable[[], None]] = queue.SimpleQueue()
        self.results: list[tuple[int, str | None]] = []
        self.opened: list[tuple[StoredLog | None, StoreError | None]] = []
        self.slow: list[float] = []
        self.thread = StoreThread(
            Store(disk),
            self.posted.put,
            lambda *outcome: self.opened.append(outcome),
            self.slow.append,
            max_waiting_bytes,
            slow_s,
        )

    def submit(self, ticket: int) -> None:
        self.thread.submit(ticket, [entries(ticket, 1, 1)], lambda reason: self.results.append((ticket, reason)))

    def run_until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            self.posted.get(timeout=WAIT_S)()

    def drain(self) -> None:
        while not self.posted.empty():
            self.posted.get_nowait()()


@pytest.mark.parametrize(("state", "reason"), [("full", "full"), ("torn", "torn"), ("read-only", "read-only")])
def test_failing_disk_is_reported_with_its_reason_and_the_store_resumes(
    state: str, reason: str, tmp_path: Path
) -> None:
    wishes = tmp_path / FAULTS_FILE_NAME
    files = FaultyFiles(RealFiles(tmp_path / "data"), FaultsFile(wishes).current)
    harness = opened(files)
    write_process_faults(wishes, ProcessFaults(state))
    harness.submit(2)
    harness.run_until(lambda: len(harness.results) == 2)
    assert harness.results == [(1, None), (2, reason)] and files.fault_counts[state] >= 1
    write_process_faults(wishes, ProcessFaults())
    harness.submit(2)
    harness.run_until(lambda: len(harness.results) == 3)
    assert harness.results[-1] == (2, None) and harness.thread.close(WAIT_S)
    files.release()
    assert Store(RealFiles(tmp_path / "data")).open().last_index == 2


def test_slow_disk_is_reported_and_loses_nothing(tmp_path: Path) -> None:
    wishes, waited = tmp_path / FAULTS_FILE_NAME, list[float]()
    files = FaultyFiles(RealFiles(tmp_path / "data"), FaultsFile(wishes).current, waited.append)
    harness = opened(files, slow_s=0.0)
    harness.drain()
    harness.thread._fast_batches, harness.slow[:] = 100, []
    write_process_faults(wishes, ProcessFaults("slow", 300.0))
    harness.submit(2)
    harness.run_until(lambda: (2, None) in harness.results and bool(harness.slow))
    assert waited and set(waited) == {300.0} and files.fault_counts["slow"] == len(waited)
    write_process_faults(wishes, ProcessFaults())
    harness.submit(3)
    harness.run_until(lambda: (3, None) in harness.results)
    assert files.fault_counts["slow"] == len(waited) and harness.thread.close(WAIT_S)
    files.release()
    assert Store(RealFiles(tmp_path / "data")).open().last_index == 3


class Gate:
    """Blocks the disk at the sync of a batch until it is released; raises the error that the test sets."""

    def __init__(self, disk: Disk) -> None:
        self.reached, self.go, self.error = threading.Semaphore(0), threading.Semaphore(0), 0
        self.original_sync = disk._sync
        disk._sync = self.sync  # type: ignore[method-assign]
        self.blocking = True

    def sync(self, file: object) -> None:
        if self.blocking:
            self.reached.release()
            assert self.go.acquire(timeout=WAIT_S)
        error, self.error = self.error, 0  # raised once
        if error:
            raise OSError(error, "injected I/O error")
        self.original_sync(file)  # type: ignore[arg-type]


def opened(disk: Files, max_waiting_bytes: int = 1 << 20, slow_s: float = 60.0) -> ThreadHarness:
    harness = ThreadHarness(disk, max_waiting_bytes, slow_s)
    harness.run_until(lambda: bool(harness.opened))
    harness.submit(1)
    harness.run_until(lambda: len(harness.results) == 1)
    return harness


def test_pending_submissions_are_written_with_one_sync() -> None:
    disk = Disk()
    harness = opened(disk)
    gate, syncs = Gate(disk), disk.syncs
    harness.submit(2)
    assert gate.reached.acquire(timeout=WAIT_S)
    for ticket in range(3, 50):
        harness.submit(ticket)
    assert harness.results == [(1, None)]
    gate.blocking = False
    gate.go.release()
    harness.run_until(lambda: len(harness.results) == 49)
    assert harness.results == [(ticket, None) for ticket in range(1, 50)] and disk.syncs == syncs + 2
    assert harness.thread.close(WAIT_S)
    assert Store(disk.crash()).open().last_index == 49 and harness.thread.waiting_bytes == 0


def test_failure_fails_all_submitted_before_the_loop_is_notified() -> None:
    disk = Disk()
    harness = opened(disk)
    gate = Gate(disk)
    harness.submit(2)
    assert gate.reached.acquire(timeout=WAIT_S)
    harness.thread.submit(
        3, [TermVote(3)], lambda reason: harness.results.append((3, reason))
    )  # would be valid without 2
    gate.error, gate.blocking = errno.ENOSPC, False
    gate.go.release()
    callback = harness.posted.get(timeout=WAIT_S)
    while not harness.thread._failed:
        callback()
        callback = harness.posted.get(timeout=WAIT_S)
    harness.submit(4)  # the disk works again, but the loop was not notified that 2 and 3 are lost
    assert harness.results == [(1, None)]
    callback()
    assert harness.results == [(1, None), (2, "full"), (3, "full"), (4, "full")]
    harness.submit(2)
    harness.run_until(lambda: harness.results[-1] == (2, None))
    assert harness.thread.close(WAIT_S)
    content = Store(disk.crash()).open()
    assert content.last_index == 2 and content.term_vote == TermVote(0)


def test_excess_submissions_are_rejected_as_slow_and_a_hang_is_reported_once() -> None:
    disk = Disk()
    entry_size = estimated_size(entries(2, 1, 1))
    harness = opened(disk, max_waiting_bytes=2 * entry_size, slow_s=0.0)
    harness.drain()
    harness.thread._fast_batches, harness.slow[:] = 100, []
    gate = Gate(disk)
    harness.submit(2)
    assert gate.reached.acquire(timeout=WAIT_S)
    for ticket in (3, 4):
        harness.submit(ticket)
    harness.thread.check_slow()
    assert len(harness.slow) == 1 and harness.thread.waiting_bytes == 2 * entry_size
    harness.run_until(lambda: (4, "slow") in harness.results)
    gate.blocking = False
    gate.go.release()
    harness.run_until(lambda: (3, None) in harness.results)
    harness.drain()
    assert len(harness.slow) == 1
    assert not harness.thread._closing and harness.thread.close(WAIT_S)


def test_close_waits_for_submissions_for_a_limited_time() -> None:
    disk = Disk()
    harness = opened(disk)
    gate = Gate(disk)
    harness.submit(2)
    assert gate.reached.acquire(timeout=WAIT_S)
    harness.submit(3)
    assert not harness.thread.close(0.01)
    harness.submit(4)
    gate.blocking = False
    gate.go.release()
    assert harness.thread.close(WAIT_S)
    harness.drain()
    assert sorted(harness.results[1:]) == [(2, None), (3, None), (4, "closed")]
    assert Store(disk.crash()).open().last_index == 3


def test_store_that_does_not_open_rejects_with_its_reason() -> None:
    disk = Disk()
    opened(disk).thread.close(WAIT_S)
    file = next(iter(disk.names_now.values()))
    file.now = b"x" + file.now[1:]
    harness = ThreadHarness(disk)
    harness.submit(1)
    harness.run_until(lambda: bool(harness.opened and harness.results))
    assert harness.results == [(1, "damaged")]
    assert harness.opened[0][0] is None and harness.opened[0][1] is not None
    harness.thread.submit(2, [TermVote(1)], lambda reason: harness.results.append((2, reason)))
    harness.run_until(lambda: harness.results[-1] == (2, "damaged"))
    assert harness.thread.close(WAIT_S)


def test_nothing_of_the_fleet_is_imported() -> None:
    code = (
        "import sys, limenotch.store.thread; "
        "print([name for name in sys.modules if name.startswith(('limenotch.fleet', 'tornado', 'asyncio'))])"
    )
    assert output_of(code).strip() == "[]"
