"""The one thread that owns a store, so that nobody's loop waits for a disk.

`submit` and the callbacks are the loop's; everything between is the thread's. What waits is written as one batch with
one fsync. A failure fails all that was submitted before the loop heard of it: what follows a lost record must not be
written without it. Nothing of the fleet is imported here.
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

Done = Callable[[str | None], None]

MOST_WAITING = 16 << 20  # bytes, as `size` counts them
MOST_BATCH = 1 << 20  # bytes: a longer batch makes the first in it wait for the last
SLOW_S = 0.25  # of a batch
CALM = 100  # batches in time before a slow one is told again


class _Asked(NamedTuple):
    ticket: int
    records: Sequence[Record]
    size: int
    done: Done


def size(record: Record) -> int:
    """Bytes that it takes in memory and on disk, roughly and rather more."""
    if isinstance(record, Append):
        return 64 + sum(len(entry.data) + len(entry.kind) + 32 for entry in record.entries)
    return 64 + (len(record.state) + 32 * len(record.voters) if isinstance(record, Snapshot) else 0)


class StoreThread:
    """States: opening -> open -> closing -> closed; opening -> failed (all is refused with why) -> closed."""

    def __init__(
        self,
        store: Store,
        on_loop: Callable[[Callable[[], None]], object],
        opened: Callable[[StoredLog | None, StoreError | None], None],
        slow: Callable[[float], None],
        most_waiting: int = MOST_WAITING,
        slow_s: float = SLOW_S,
    ) -> None:
        """`on_loop` hands a callback to the loop from any thread (`call_soon_threadsafe`, `IOLoop.add_callback`).

        On the loop: `opened` once, with what is held or why not; `slow(seconds)` once each time the disk becomes slow.
        Callbacks must not raise.
        """
        self._store, self._on_loop, self._opened, self._slow = store, on_loop, opened, slow
        self._most_waiting, self._slow_s = most_waiting, slow_s
        self._lock = threading.Condition()
        self._waiting: deque[_Asked] = deque()
        self._waiting_bytes = 0  # what is being written counts until it is
        self._failed: list[tuple[Done, str]] = []  # not told yet; while there are any, all that comes joins them
        self._down: str | None = None  # why everything is refused for good
        self._ending = False
        self._since: float | None = None  # when the batch that is being written began
        self._calm = CALM
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)  # a hung disk must not hold exit
        self._thread.start()

    def submit(self, ticket: int, records: Sequence[Record], done: Done) -> None:
        """In order; `done(None)` when they are on disk, else `done(why)`. Never calls `done` before it returns.

        Whys of its own: `slow` where too much waits already, `closed`.
        """
        asked = _Asked(ticket, records, sum(map(size, records)), done)
        with self._lock:
            why = self._down or ("closed" if self._ending else None)
            if why is None and self._failed:
                why = self._failed[-1][1]
            if why is None and self._waiting_bytes > 0 and self._waiting_bytes + asked.size > self._most_waiting:
                why = "slow"
            if why is not None:
                self._fail([asked], why)
                return
            self._waiting.append(asked)
            self._waiting_bytes += asked.size
            self._lock.notify()
        self.look()

    def look(self) -> None:
        """On the loop, now and then: tells a batch that is slow while it still hangs."""
        since = self._since
        if since is not None and monotonic() - since > self._slow_s:
            self._tell_slow(monotonic() - since)

    @property
    def waiting_bytes(self) -> int:
        return self._waiting_bytes

    def close(self, within_s: float) -> bool:
        """Writes what was submitted, closes the store; waits so long at most. False: the disk hangs.

        Blocks its caller. What a hung disk still writes later is told as it happens, if the loop still runs.
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
            told = error
            with self._lock:
                self._down = error.why
                self._post(lambda: self._opened(None, told))
                self._fail(self._drained(), error.why)
            return
        self._post(lambda: self._opened(held, None))

    def _take(self) -> list[_Asked] | None:
        """The next batch; waits for one. None: it is over."""
        with self._lock:
            while not self._waiting:
                if self._ending:
                    return None
                self._lock.wait()
            batch: list[_Asked] = []
            taken = 0
            while self._waiting and (not batch or taken + self._waiting[0].size <= MOST_BATCH):
                batch.append(self._waiting.popleft())
                taken += batch[-1].size
            self._since = monotonic()
            return batch

    def _write(self, batch: list[_Asked]) -> None:
        why = None
        began = monotonic()
        try:
            self._store.write([record for asked in batch for record in asked.records])
        except StoreError as error:
            why = error.why
        except Exception:
            # A fault of the program. Nothing is known of the store any more: all that waits is told before it shows.
            with self._lock:
                self._down = "broken"
                self._since = None
                self._fail([*batch, *self._drained()], "broken")
            raise
        spent = monotonic() - began
        with self._lock:
            self._since = None
            self._waiting_bytes -= sum(asked.size for asked in batch)
            if why is None:
                self._post(lambda: self._tell_done(batch))
            else:
                self._fail([*batch, *self._drained()], why)
        self._post(lambda: self._took(spent))

    def _drained(self) -> list[_Asked]:
        """With the lock: all that waits, taken out."""
        waiting = list(self._waiting)
        self._waiting.clear()
        self._waiting_bytes -= sum(asked.size for asked in waiting)
        return waiting

    def _fail(self, asked: list[_Asked], why: str) -> None:
        """With the lock: they are told together, at once with what is refused until then."""
        if asked and not self._failed:
            self._post(self._tell_failed)
        self._failed += [(one.done, why) for one in asked]

    def _post(self, callback: Callable[[], None]) -> None:
        with contextlib.suppress(RuntimeError):  # the loop is closed: nobody is left to notify
            self._on_loop(callback)

    # On the loop

    @staticmethod
    def _tell_done(batch: list[_Asked]) -> None:
        for asked in batch:
            asked.done(None)

    def _tell_failed(self) -> None:
        with self._lock:
            failed, self._failed = self._failed, []
        for done, why in failed:
            done(why)

    def _took(self, spent: float) -> None:
        if spent > self._slow_s:
            self._tell_slow(spent)
        else:
            self._calm += 1

    def _tell_slow(self, spent: float) -> None:
        calm, self._calm = self._calm, 0
        if calm >= CALM:
            self._slow(spent)
