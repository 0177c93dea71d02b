"""The one thread that owns a store, so that the event loop never waits for a disk.

`submit` and the callbacks run on the loop; everything between runs on the thread. What waits is written as one batch
with one fsync. A failure fails all that was submitted before the loop was notified of it: what follows a lost record
must not be written without it. Nothing of the fleet is imported here.
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

MAX_WAITING_BYTES = 16 << 20  # bytes, by estimated_size
MAX_BATCH_BYTES = 1 << 20  # bytes: a longer batch makes the first in it wait for the last
SLOW_S = 0.25  # seconds of one batch from which on the disk counts as slow
BATCHES_BETWEEN_WARNINGS = 100  # batches in time before a slow disk is reported again


class _Submission(NamedTuple):
    ticket: int
    records: Sequence[Record]
    size: int  # bytes, by estimated_size
    done: Completion


def estimated_size(record: Record) -> int:
    """Bytes that it takes in memory and on disk, roughly and rather more."""
    if isinstance(record, Append):
        return 64 + sum(len(entry.data) + len(entry.kind) + 32 for entry in record.entries)
    return 64 + (len(record.state) + 32 * len(record.voters) if isinstance(record, Snapshot) else 0)


class StoreThread:
    """States: opening -> open -> closing -> closed; opening -> failed (all is rejected, with the reason) -> closed."""

    def __init__(
        self,
        store: Store,
        on_loop: Callable[[Callable[[], None]], object],
        opened: Callable[[StoredLog | None, StoreError | None], None],
        slow: Callable[[float], None],
        max_waiting_bytes: int = MAX_WAITING_BYTES,
        slow_s: float = SLOW_S,
    ) -> None:
        """`on_loop` hands a callback to the loop from any thread (`call_soon_threadsafe`, `IOLoop.add_callback`).

        On the loop: `opened` once, with the content or the error; `slow(seconds)` once each time the disk becomes slow.
        Callbacks must not raise.
        """
        self._store = store
        self._on_loop = on_loop
        self._opened = opened
        self._slow = slow
        self._max_waiting_bytes = max_waiting_bytes
        self._slow_s = slow_s
        self._lock = threading.Condition()
        self._waiting: deque[_Submission] = deque()
        self._waiting_bytes = 0  # what is being written counts until it is
        # Not reported yet, with the reason; while there are any, all that is submitted joins them.
        self._failed: list[tuple[Completion, str]] = []
        self._refusal: str | None = None  # why everything is rejected for good
        self._ending = False
        self._batch_began: float | None = None  # when the batch that is being written began
        self._fast_batches = BATCHES_BETWEEN_WARNINGS
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)  # a hung disk must not hold exit
        self._thread.start()

    def submit(self, ticket: int, records: Sequence[Record], done: Completion) -> None:
        """In order; `done(None)` when they are on disk, else `done(reason)`. Never calls `done` before it returns.

        Reasons of its own: `slow` where too much waits already, `closed`.
        """
        submission = _Submission(ticket, records, sum(map(estimated_size, records)), done)
        with self._lock:
            reason = self._refusal or ("closed" if self._ending else None)
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
        """On the loop, now and then: reports a batch that is slow while it still hangs."""
        since = self._batch_began
        if since is not None and monotonic() - since > self._slow_s:
            self._report_slow(monotonic() - since)

    @property
    def waiting_bytes(self) -> int:
        """What was submitted and is not on disk yet, by estimated_size."""
        return self._waiting_bytes

    def close(self, within_s: float) -> bool:
        """Writes what was submitted, closes the store; waits so long at most. False: the disk hangs.

        Blocks its caller. What a hung disk still writes later is reported as it happens, if the loop still runs.
        After True the files are the caller's to release (`RealFiles.release`); after False they are still written to.
        """
        with self._lock:
            self._ending = True
            self._lock.notify()
        self._thread.join(within_s)
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
            held = self._store.open()
        except StoreError as error:
            failure = error
            with self._lock:
                self._refusal = error.reason
                self._post(lambda: self._opened(None, failure))
                self._fail(self._drained(), error.reason)
            return
        self._post(lambda: self._opened(held, None))

    def _take(self) -> list[_Submission] | None:
        """The next batch; waits for one. None: it is over."""
        with self._lock:
            while not self._waiting:
                if self._ending:
                    return None
                self._lock.wait()
            batch: list[_Submission] = []
            taken = 0
            while self._waiting and (not batch or taken + self._waiting[0].size <= MAX_BATCH_BYTES):
                batch.append(self._waiting.popleft())
                taken += batch[-1].size
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
            # A fault of the program. Nothing is known of the store any more: all that waits fails before it shows.
            with self._lock:
                self._refusal = "broken"
                self._batch_began = None
                self._fail([*batch, *self._drained()], "broken")
            raise
        spent = monotonic() - began
        with self._lock:
            self._batch_began = None
            self._waiting_bytes -= sum(submission.size for submission in batch)
            if reason is None:
                self._post(lambda: self._report_done(batch))
            else:
                self._fail([*batch, *self._drained()], reason)
        self._post(lambda: self._batch_took(spent))

    def _drained(self) -> list[_Submission]:
        """With the lock: all that waits, taken out."""
        waiting = list(self._waiting)
        self._waiting.clear()
        self._waiting_bytes -= sum(submission.size for submission in waiting)
        return waiting

    def _fail(self, submissions: list[_Submission], reason: str) -> None:
        """With the lock: they are reported together, with what is rejected until then."""
        if submissions and not self._failed:
            self._post(self._report_failed)
        self._failed += [(submission.done, reason) for submission in submissions]

    def _post(self, callback: Callable[[], None]) -> None:
        with contextlib.suppress(RuntimeError):  # the loop is closed: nobody is left to notify
            self._on_loop(callback)

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

    def _batch_took(self, spent: float) -> None:
        if spent > self._slow_s:
            self._report_slow(spent)
        else:
            self._fast_batches += 1

    def _report_slow(self, spent: float) -> None:
        fast_batches = self._fast_batches
        self._fast_batches = 0
        if fast_batches >= BATCHES_BETWEEN_WARNINGS:
            self._slow(spent)
