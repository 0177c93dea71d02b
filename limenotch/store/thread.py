"""The thread that owns a store, so that the event loop never waits for a disk.

`submit` and the callbacks run on the loop, everything else on the thread. All submissions pending when a write begins
are written as one batch with one fsync. A failure also fails everything submitted before the loop was notified of it:
records that follow a lost record must not be written without it. Nothing of the fleet is imported here.
"""

from __future__ import annotations

import contextlib
import threading
from collections import deque
from collections.abc import Callable, Sequence
from time import monotonic
from typing import NamedTuple

from .files import StoreError
from .log import Store
from .records import Append, Record, Snapshot, StoredLog

Completion = Callable[[str | None], None]

MAX_WAITING_BYTES = 16 << 20  # by estimated_size
MAX_BATCH_BYTES = 1 << 20  # a longer batch delays its first submissions until the last is written
SLOW_S = 0.25  # a disk that takes longer for one batch counts as slow
BATCHES_BETWEEN_WARNINGS = 100  # fast batches before a slow disk is reported again


class _Submission(NamedTuple):
    ticket: int
    records: Sequence[Record]
    size: int  # by estimated_size
    done: Completion


def estimated_size(record: Record) -> int:
    """The bytes of a record in memory and on disk, roughly, and not less."""
    if isinstance(record, Append):
        return 64 + sum(len(entry.data) + len(entry.kind) + 32 for entry in record.entries)
    return 64 + (len(record.state) + 32 * len(record.voters) if isinstance(record, Snapshot) else 0)


class StoreThread:
    """States: opening -> open -> closing -> closed; opening -> failed (rejects all, with the reason) -> closed."""

    def __init__(
        self,
        store: Store,
        call_on_loop: Callable[[Callable[[], None]], object],
        on_opened: Callable[[StoredLog | None, StoreError | None], None],
        on_slow: Callable[[float], None],
        max_waiting_bytes: int = MAX_WAITING_BYTES,
        slow_s: float = SLOW_S,
    ) -> None:
        """`call_on_loop` runs a callback on the loop, from any thread (`call_soon_threadsafe`).

        On the loop: `on_opened` once, with the content or the error; `on_slow(seconds)` once each time the disk becomes
        slow. Callbacks must not raise.
        """
        self._store = store
        self._call_on_loop = call_on_loop
        self._on_opened = on_opened
        self._on_slow = on_slow
        self._max_waiting_bytes = max_waiting_bytes
        self._slow_s = slow_s
        self._lock = threading.Condition()
        self._waiting: deque[_Submission] = deque()
        self._waiting_bytes = 0  # includes the batch that is being written
        # Failures not reported yet, with the reason; while there are any, new submissions fail with them.
        self._failed: list[tuple[Completion, str]] = []
        self._rejection: str | None = None  # the reason why all submissions are rejected from now on
        self._closing = False
        self._batch_began: float | None = None  # when the batch being written began
        self._fast_batches = BATCHES_BETWEEN_WARNINGS
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)  # a hung disk must not block exit
        self._thread.start()

    def submit(self, ticket: int, records: Sequence[Record], done: Completion) -> None:
        """Writes records in the order of submission; calls `done(None)` when they are on disk, else `done(reason)`.

        `done` is never called before this returns. Reasons of its own: `slow` where too much is pending, `closed`.
        """
        submission = _Submission(ticket, records, sum(map(estimated_size, records)), done)
        with self._lock:
            reason = self._rejection or ("closed" if self._closing else None)
            if reason is None and self._failed:
                reason = self._failed[-1][1]
            if (
                reason is None
                and self._waiting_bytes > 0
                and self._waiting_bytes + submission.size > self._max_waiting_bytes
            ):
                reason = "slow"
            if reason is not None:
                self._fail([submission], reason)
                return
            self._waiting.append(submission)
            self._waiting_bytes += submission.size
            self._lock.notify()
        self.check_slow()

    def check_slow(self) -> None:
        """Called on the loop now and then: reports a slow batch while it is still being written."""
        began = self._batch_began
        if began is not None and monotonic() - began > self._slow_s:
            self._report_slow(monotonic() - began)

    @property
    def waiting_bytes(self) -> int:
        """Submitted bytes that are not on disk yet, by estimated_size."""
        return self._waiting_bytes

    def close(self, timeout_s: float) -> bool:
        """Writes the submitted records and closes the store; blocks for at most `timeout_s`. False: the disk hangs.

        Writes that a hanging disk finishes later are reported as they finish, if the loop still runs. After True the
        caller may release the files (`RealFiles.release`); after False they are still in use.
        """
        with self._lock:
            self._closing = True
            self._lock.notify()
        self._thread.join(timeout_s)
        return not self._thread.is_alive()

    # The thread

    def _run(self) -> None:
        try:
            self._open()
            while (batch := self._take()) is not None:
                self._write(batch)
        finally:
            self._store.close()

    def _open(self) -> None:
        try:
            stored_log = self._store.open()
        except StoreError as error:
            failure = error
            with self._lock:
                self._rejection = error.reason
                self._post(lambda: self._on_opened(None, failure))
                self._fail(self._take_all(), error.reason)
            return
        self._post(lambda: self._on_opened(stored_log, None))

    def _take(self) -> list[_Submission] | None:
        """The next batch; waits for one. None: the store is to be closed."""
        with self._lock:
            while not self._waiting:
                if self._closing:
                    return None
                self._lock.wait()
            batch: list[_Submission] = []
            batch_bytes = 0
            while self._waiting and (not batch or batch_bytes + self._waiting[0].size <= MAX_BATCH_BYTES):
                batch.append(self._waiting.popleft())
                batch_bytes += batch[-1].size
            self._batch_began = monotonic()
            return batch

    def _write(self, batch: list[_Submission]) -> None:
        reason = None
        began = monotonic()
        try:
            self._store.write([record for submission in batch for record in submission.records])
        except StoreError as error:
            reason = error.reason
        except Exception:
            # A defect. The state of the store is unknown: all pending submissions fail before the exception propagates.
            with self._lock:
                self._rejection = "broken"
                self._batch_began = None
                self._fail([*batch, *self._take_all()], "broken")
            raise
        elapsed_s = monotonic() - began
        with self._lock:
            self._batch_began = None
            self._waiting_bytes -= sum(submission.size for submission in batch)
            if reason is None:
                self._post(lambda: self._report_done(batch))
            else:
                self._fail([*batch, *self._take_all()], reason)
        self._post(lambda: self._record_batch_time(elapsed_s))

    def _take_all(self) -> list[_Submission]:
        """With the lock: takes out all pending submissions."""
        waiting = list(self._waiting)
        self._waiting.clear()
        self._waiting_bytes -= sum(submission.size for submission in waiting)
        return waiting

    def _fail(self, submissions: list[_Submission], reason: str) -> None:
        """With the lock: schedules their report as failed; submissions until then fail too."""
        if submissions and not self._failed:
            self._post(self._report_failed)
        self._failed += [(submission.done, reason) for submission in submissions]

    def _post(self, callback: Callable[[], None]) -> None:
        with contextlib.suppress(RuntimeError):  # the loop is closed: there is nothing to notify
            self._call_on_loop(callback)

    # On the loop

    @staticmethod
    def _report_done(batch: list[_Submission]) -> None:
        for submission in batch:
            submission.done(None)

    def _report_failed(self) -> None:
        with self._lock:
            failed = self._failed
            self._failed = []
        for done, reason in failed:
            done(reason)

    def _record_batch_time(self, elapsed_s: float) -> None:
        if elapsed_s > self._slow_s:
            self._report_slow(elapsed_s)
        else:
            self._fast_batches += 1

    def _report_slow(self, elapsed_s: float) -> None:
        fast_batches = self._fast_batches
        self._fast_batches = 0
        if fast_batches >= BATCHES_BETWEEN_WARNINGS:
            self._on_slow(elapsed_s)
