"""Storage of the replicated log: the thread of the store, or memory for a learner without a folder.

Imported only where a fleet has voters; the store's libraries are imported only where there is a folder.
"""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from .. import logs
from ..store import missing
from ..store.records import Append, Record, Snapshot, StoredLog

log = logs.get(__name__)

CLOSE_S = 1.0  # for submitted records; the end of the process waits so long for them, the event loop never does
FIRST_WAIT_S, MAX_WAIT_S = 0.1, 2.0  # between attempts to open a folder that another process has locked
MAX_ATTEMPTS = 20
VOTERS = "voters"  # the kind of a log entry that lists the voters

Completion = Callable[[str | None], None]


class UnreadableError(Exception):
    """The store cannot be opened; the text has the reason, and file and offset where there are any."""


class MemoryStorage:
    """The storage of a learner without a folder.

    It fails any write that makes this member a voter: a vote counts only if it is on a disk.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._would_be_voter = False

    def submit(self, ticket: int, records: tuple[Record, ...], done: Completion) -> None:
        """Keeps nothing; calls `done(None)` at once, or `done(reason)`."""
        for record in records:
            if isinstance(record, Append):
                for entry in record.entries:
                    if entry.kind == VOTERS:
                        self._would_be_voter = self._name in msgspec.msgpack.decode(entry.data)[0]
            elif isinstance(record, Snapshot):
                self._would_be_voter = self._name in record.voters
        done("no folder" if self._would_be_voter else None)

    def state(self) -> str:
        """A short description for operators."""
        return "memory"

    def close(self) -> None:
        """Nothing needs to be closed."""


class FolderStorage:
    """A store and its thread. Call `open` once; then use it as the fleet node's Disk."""

    def __init__(self, folder: Path) -> None:
        """Raises ImportError naming the libraries that are missing."""
        if missing():
            raise ImportError(", ".join(missing()))
        self._folder = folder
        self._thread: Any = None
        self._files: Any = None

    async def open(self) -> StoredLog:
        """Waits while another process, such as this sidecar's previous one, has the folder. Raises UnreadableError."""
        wait_s = FIRST_WAIT_S
        for attempts_left in reversed(range(MAX_ATTEMPTS)):
            try:
                return await self._open_once()
            except _LockedError as error:
                if not attempts_left:
                    raise UnreadableError(str(error)) from None
                log.warning("fleet: folder is locked by another process", folder=str(self._folder), wait_s=wait_s)
            await asyncio.sleep(wait_s)
            wait_s = min(2 * wait_s, MAX_WAIT_S)
        raise AssertionError

    async def _open_once(self) -> StoredLog:
        from ..store import files
        from ..store.log import Store
        from ..store.thread import StoreThread

        loop = asyncio.get_running_loop()
        try:
            self._files = await loop.run_in_executor(None, files.RealFiles, self._folder)
        except files.StoreError as error:
            raise (_LockedError if error.reason == "taken" else UnreadableError)(str(error)) from None
        opened: asyncio.Future[StoredLog] = loop.create_future()

        def on_opened(stored_log: StoredLog | None, error: files.StoreError | None) -> None:
            if opened.done():  # `open` was cancelled
                return
            if stored_log is not None:
                opened.set_result(stored_log)
            else:
                opened.set_exception(UnreadableError(str(error)))

        store = Store(self._files)
        self._thread = StoreThread(store, loop.call_soon_threadsafe, on_opened, self._slow)
        try:
            stored_log = await opened
        except BaseException:
            self.close()
            raise
        if store.torn_end:
            log.warning("fleet: truncated incomplete records at the end of the log", what=store.torn_end)
        return stored_log

    def _slow(self, seconds: float) -> None:
        log.warning("fleet: disk is slow", seconds=round(seconds, 3), folder=str(self._folder))

    def submit(self, ticket: int, records: tuple[Record, ...], done: Completion) -> None:
        """Writes the records on the store's thread; see StoreThread.submit."""
        if self._thread is None:
            done("closed")
            return
        self._thread.submit(ticket, records, done)

    def state(self) -> str:
        """A short description for operators."""
        return f"{self._folder}, {self._thread.waiting_bytes if self._thread is not None else 0} bytes wait"

    def close(self) -> None:
        """Returns at once; submitted records are written, and the folder released, a little later."""
        thread, self._thread = self._thread, None
        files, self._files = self._files, None

        def close_thread() -> None:
            if thread is not None and not thread.close(CLOSE_S):
                log.warning("fleet: disk does not finish its writes", folder=str(self._folder))
                return  # it may still write: the folder is released when this process ends
            if files is not None:
                files.release()

        threading.Thread(target=close_thread, name="store's end").start()


class _LockedError(Exception):
    """Another process has locked the folder."""
