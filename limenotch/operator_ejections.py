"""The names of endpoints that operators have ejected, persisted in a file for the next process.

The file is replaced atomically under a lock, and read again when another process has replaced it. A truncated or
foreign file is logged and ignored, since it must not prevent a start.
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

# Suffixes of the paths of the two files, appended to the path prefix of this sidecar.
FILE_SUFFIX = ".bans.json"
LOCK_SUFFIX = ".bans.lock"
# Version of the file format.
VERSION = 1
# Interval of checks of the file, short enough for another process's ejection to apply within the time for a drain.
CHECK_INTERVAL_S = 0.1
# The wait for the lock is limited to the product of both: a stopped process that has it must not delay responses.
LOCK_ATTEMPTS = 40
LOCK_RETRY_INTERVAL_S = 0.01
# Maximum number of names in the file: operators would not eject more by hand.
MAX_NAMES = 10_000

# Called with the name, whether it is now ejected, and the Unix time in ms at which it was readmitted, or 0.
EjectionListener = Callable[[str, bool, float], None]
# A file's inode and modification time in ns.
FileIdentity = tuple[int, int]


class OperatorEjections:
    """Owns the ejected names and their file. Calls the listener for every ejection and readmission, of any process."""

    def __init__(self, path_prefix: str | None, on_change: EjectionListener) -> None:
        """`path_prefix`: the beginning of the paths of both files.

        Without a prefix, or if the files can't be written, ejections last only as long as the process.
        """
        self._file = Path(path_prefix + FILE_SUFFIX) if path_prefix else None
        self._lock = Path(path_prefix + LOCK_SUFFIX) if path_prefix else None
        self._on_change = on_change
        self._last_read: FileIdentity | None = None
        self.ejected: set[str] = set()
        self.readmitted: dict[str, float] = {}  # by name, Unix time in ms, at which slow start begins

    def load(self) -> None:
        """Apply the present content of the file, and notify the listener of changes. A missing file changes nothing."""
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
        """Load the file if another process has replaced it. To be called every CHECK_INTERVAL_S."""
        if self._file is None:
            return
        try:
            stat = os.stat(self._file)
        except OSError:
            return
        if _identity(stat) != self._last_read:
            self.load()

    async def set_ejected(self, name: str, ejected: bool, now_ms: float) -> bool:
        """Eject an endpoint, or readmit it at `now_ms` of Unix time. Returns whether this is persisted in the file.

        It applies to this process on return, persisted or not. Repeating a call changes nothing.
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
        """Hold the lock. Yields whether it was acquired; the ejection is applied without it, too."""
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
            os.close(file)  # releases the lock


async def _acquire(file: int) -> bool:
    """Wait for the lock on this descriptor for a limited time. Returns whether it was acquired."""
    for _ in range(LOCK_ATTEMPTS):
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            await asyncio.sleep(LOCK_RETRY_INTERVAL_S)
        else:
            return True
    return False


def _identity(stat: os.stat_result) -> FileIdentity:
    return stat.st_ino, stat.st_mtime_ns


def encode(ejected: set[str], readmitted: dict[str, float]) -> bytes:
    """Encode the file's content: ejected names, and by name the times of readmission in ms of Unix time."""
    return json.dumps({"limenotch_bans": VERSION, "out": sorted(ejected), "back": readmitted}).encode()


def decode(raw: bytes) -> tuple[set[str], dict[str, float]]:
    """Decode the file's content. Raises ValueError for content that `encode` does not produce."""
    content = json.loads(raw)
    if not isinstance(content, dict) or content.get("limenotch_bans") != VERSION:
        raise ValueError("not an operator ejections file of this version")
    ejected = content.get("out")
    if not isinstance(ejected, list) or not all(isinstance(name, str) for name in ejected) or len(ejected) > MAX_NAMES:
        raise ValueError("out: expected a list of endpoint names")
    readmitted = content.get("back")
    if not isinstance(readmitted, dict) or not all(_is_time(at_ms) for at_ms in readmitted.values()):
        raise ValueError("back: expected times by endpoint name")
    return set(ejected), {name: float(at_ms) for name, at_ms in readmitted.items()}


def _is_time(value: object) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and math.isfinite(value)
