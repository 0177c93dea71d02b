"""Endpoints that operators have ejected, by name, persisted in one file for the next process.

The file is replaced atomically under a lock, and read again when another process has replaced it. A file that is
torn or foreign is logged and counts as none: it must not prevent a start.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import json
import math
import os
from collections.abc import AsyncIterator, Callable
from pathlib import Path

from . import logs

log = logs.get(__name__)

# Suffixes of the two paths, after what all paths of this sidecar begin with.
FILE_SUFFIX = ".bans.json"
LOCK_SUFFIX = ".bans.lock"
# Of the file's format.
VERSION = 1
# Seconds between two checks of the file: another process's ejection is in force within the time that a drain has.
CHECK_INTERVAL_S = 0.1
# A process that was stopped while it had the lock must not delay the answer for longer than the product of the two.
LOCK_TRIES = 40
LOCK_STEP_S = 0.01
# Names in the file; more is not what people did by hand.
MAX_NAMES = 10_000

# Called with the name, whether it is ejected now, and the Unix time in ms at which it was readmitted or 0.
EjectionListener = Callable[[str, bool, float], None]
# Of a file: its inode and its time of modification in ns.
FileIdentity = tuple[int, int]


class OperatorEjections:
    """Owns the set and its file. The listener is notified of each ejection and readmission, whoever made it."""

    def __init__(self, path_prefix: str | None, on_change: EjectionListener) -> None:
        """`path_prefix`: how its paths begin.

        Without one, or where the paths can't be written, ejections last as long as the process.
        """
        self._file = Path(path_prefix + FILE_SUFFIX) if path_prefix else None
        self._lock = Path(path_prefix + LOCK_SUFFIX) if path_prefix else None
        self._on_change = on_change
        self._last_read: FileIdentity | None = None
        self.ejected: set[str] = set()
        self.readmitted: dict[str, float] = {}  # when, in ms of Unix time: slow start begins then

    def load(self) -> None:
        """Apply what the file has now; differences are notified as changes. A missing file changes nothing."""
        if self._file is None:
            return
        try:
            with open(self._file, "rb") as file:
                self._last_read = _identity(os.fstat(file.fileno()))
                raw = file.read()
        except FileNotFoundError:
            return
        except OSError as error:
            log.warning("operator ejections: file not readable", error=str(error))
            return
        try:
            ejected, readmitted = decode(raw)
        except ValueError as error:
            log.warning("operator ejections: file ignored", error=str(error))
            return
        self._apply(ejected, readmitted)

    def _apply(self, ejected: set[str], readmitted: dict[str, float]) -> None:
        no_longer_ejected = self.ejected - ejected
        newly_ejected = ejected - self.ejected
        self.ejected = ejected
        self.readmitted = readmitted
        for name in sorted(newly_ejected):
            self._on_change(name, True, 0.0)
        for name in sorted(no_longer_ejected):
            self._on_change(name, False, readmitted.get(name, 0.0))

    def reload_if_changed(self) -> None:
        """Load the file if another process has replaced it; to be called every CHECK_INTERVAL_S."""
        if self._file is None:
            return
        try:
            stat = os.stat(self._file)
        except OSError:
            return
        if _identity(stat) != self._last_read:
            self.load()

    async def set_ejected(self, name: str, ejected: bool, now_ms: float) -> bool:
        """Eject an endpoint or readmit it at `now_ms` of Unix time; whether that is persisted for the next process.

        In force on return either way. Repeating it changes nothing.
        """
        async with self._locked() as locked:
            self.reload_if_changed()
            if ejected != (name in self.ejected):
                self._change(name, ejected, now_ms)
            elif self._last_read is not None:
                return True
            return self._write() and locked

    def _change(self, name: str, ejected: bool, now_ms: float) -> None:
        if ejected:
            self.ejected.add(name)
            self.readmitted.pop(name, None)
        else:
            self.ejected.discard(name)
            self.readmitted[name] = now_ms
        self._on_change(name, ejected, 0.0 if ejected else now_ms)

    def _write(self) -> bool:
        if self._file is None:
            return False
        path = self._file.with_name(f"{self._file.name}.{os.getpid()}")
        while len(self.readmitted) > MAX_NAMES:
            self.readmitted.pop(next(iter(self.readmitted)))
        try:
            with open(path, "wb") as file:
                file.write(encode(self.ejected, self.readmitted))
                file.flush()
                os.fsync(file.fileno())
                stat = os.fstat(file.fileno())
            os.replace(path, self._file)
        except OSError as error:
            log.warning("operator ejections: not persisted, in force until this process ends", error=str(error))
            with contextlib.suppress(OSError):
                os.unlink(path)
            return False
        self._last_read = _identity(stat)
        return True

    @contextlib.asynccontextmanager
    async def _locked(self) -> AsyncIterator[bool]:
        """Yields whether the lock was acquired; the ejection is made without it too."""
        if self._lock is None:
            yield False
            return
        try:
            file = os.open(self._lock, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            log.warning("operator ejections: lock file can't be opened", error=str(error))
            yield False
            return
        try:
            acquired = await _acquire(file)
            if not acquired:
                log.warning("operator ejections: lock not acquired in time")
            yield acquired
        finally:
            os.close(file)  # and with it the lock


async def _acquire(file: int) -> bool:
    """Wait for the lock on this descriptor, for a bounded time; whether it was acquired."""
    for _ in range(LOCK_TRIES):
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            await asyncio.sleep(LOCK_STEP_S)
        else:
            return True
    return False


def _identity(stat: os.stat_result) -> FileIdentity:
    return stat.st_ino, stat.st_mtime_ns


def encode(ejected: set[str], readmitted: dict[str, float]) -> bytes:
    """The file's content: names that are ejected, and times of readmission in ms of Unix time by name."""
    return json.dumps({"limenotch_bans": VERSION, "out": sorted(ejected), "back": readmitted}).encode()


def decode(raw: bytes) -> tuple[set[str], dict[str, float]]:
    """The inverse of `encode`. Raises ValueError on whatever `encode` would not write."""
    content = json.loads(raw)
    if not isinstance(content, dict) or content.get("limenotch_bans") != VERSION:
        raise ValueError("not a file of bans of this version")
    ejected = content.get("out")
    if not isinstance(ejected, list) or not all(isinstance(name, str) for name in ejected) or len(ejected) > MAX_NAMES:
        raise ValueError("out: expected a list of ids")
    readmitted = content.get("back")
    if not isinstance(readmitted, dict) or not all(_is_time(at_ms) for at_ms in readmitted.values()):
        raise ValueError("back: expected times by id")
    return set(ejected), {name: float(at_ms) for name, at_ms in readmitted.items()}


def _is_time(value: object) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and math.isfinite(value)
