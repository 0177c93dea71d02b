"""What the log keeps: the store's thread as the peer module's disk, or memory where a learner has no folder.

Imported only where a fleet has voters; the store's libraries only where there is a folder.
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

CLOSE_S = 1.0  # for what was submitted; the process's end waits so long for it, its loop never does
FIRST_WAIT_S, MOST_WAIT_S = 0.1, 2.0  # between two looks at a folder that another process holds
TRIES = 20
VOTERS = "voters"  # the kind of an entry that says who votes

Done = Callable[[str | None], None]


class UnreadableError(Exception):
    """The text has the store's word, and file and offset where there are any."""


class MemoryStorage:
    """A learner without a folder. Never says yes to what would make it a voter: a vote is worth what is on a disk."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._refusing = False

    def submit(self, ticket: int, records: tuple[Record, ...], done: Done) -> None:
        """Hold them in memory; `done(None)` at once, or with a reason."""
        for record in records:
            if isinstance(record, Append):
                for entry in record.entries:
                    if entry.kind == VOTERS:
                        self._refusing = self._name in msgspec.msgpack.decode(entry.data)[0]
            elif isinstance(record, Snapshot):
                self._refusing = self._name in record.voters
        done("no folder" if self._refusing else None)

    def state(self) -> str:
        """In a few words, for operators."""
        return "memory"

    def close(self) -> None:
        """Nothing is held that needs an end."""


class FolderStorage:
    """A store and its thread. `open` once, then as `others.Disk`."""

    def __init__(self, folder: Path) -> None:
        """Raises ImportError naming the library that is not there."""
        if missing():
            raise ImportError(", ".join(missing()))
        self._folder = folder
        self._thread: Any = None
        self._files: Any = None

    async def open(self) -> StoredLog:
        """Waits while another process holds the folder: the one before this one may. Raises UnreadableError."""
        wait = FIRST_WAIT_S
        for left in reversed(range(TRIES)):
            try:
                return await self._try()
            except _TakenError as error:
                if not left:
                    raise UnreadableError(str(error)) from None
                log.warning("fleet: the folder is held", folder=str(self._folder), wait_s=wait)
            await asyncio.sleep(wait)
            wait = min(2 * wait, MOST_WAIT_S)
        raise AssertionError

    async def _try(self) -> StoredLog:
        from ..store import files
        from ..store.log import Store
        from ..store.thread import StoreThread

        loop = asyncio.get_running_loop()
        try:
            self._files = await loop.run_in_executor(None, files.RealFiles, self._folder)
        except files.StoreError as error:
            raise (_TakenError if error.reason == "taken" else UnreadableError)(str(error)) from None
        opened: asyncio.Future[StoredLog] = loop.create_future()

        def told(held: StoredLog | None, error: files.StoreError | None) -> None:
            if opened.done():  # nobody waits any more
                return
            if held is not None:
                opened.set_result(held)
            else:
                opened.set_exception(UnreadableError(str(error)))

        store = Store(self._files)
        self._thread = StoreThread(store, loop.call_soon_threadsafe, told, self._slow)
        try:
            held = await opened
        except BaseException:
            self.close()
            raise
        if store.torn_end:
            log.warning("fleet: a torn end of the log was cut off", what=store.torn_end)
        return held

    def _slow(self, seconds: float) -> None:
        log.warning("fleet: the disk is slow", seconds=round(seconds, 3), folder=str(self._folder))

    def submit(self, ticket: int, records: tuple[Record, ...], done: Done) -> None:
        """Write them on the store's thread; see StoreThread.submit."""
        if self._thread is None:
            done("closed")
            return
        self._thread.submit(ticket, records, done)

    def state(self) -> str:
        """In a few words, for operators."""
        return f"{self._folder}, {self._thread.waiting_bytes if self._thread is not None else 0} bytes wait"

    def close(self) -> None:
        """At once; what was submitted is written, and the folder free, a little later."""
        thread, self._thread = self._thread, None
        files, self._files = self._files, None

        def end() -> None:
            if thread is not None and not thread.close(CLOSE_S):
                log.warning("fleet: the disk hangs", folder=str(self._folder))
                return  # what it still writes is its: the folder is free when this process is gone
            if files is not None:
                files.release()

        threading.Thread(target=end, name="store's end").start()


class _TakenError(Exception):
    """Another process holds the folder."""
