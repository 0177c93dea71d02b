"""Bans: providers that operators have taken out, by id, kept in one file for the next process.

The file is replaced atomically under a lock, and read again when another process has replaced it. A file that is
torn or not ours is logged and counts as none: it must not stop a start.
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

FILE, LOCK = ".bans.json", ".bans.lock"  # behind what all paths of this sidecar begin with
VERSION = 1
LOOK_S = 0.1  # how often the file is looked at: another process's ban binds within the drain's grace
LOCK_TRIES, LOCK_STEP_S = 40, 0.01  # a process that was stopped with the lock must not keep the answer
MOST = 10_000  # ids; more is not what people did by hand

Change = Callable[[str, bool, float], None]  # id, whether out, Unix time in ms of its return or 0


class OperatorEjections:
    """Owns the set and its file. `changed` is told of each ban and each return, whoever made it."""

    def __init__(self, kept: str | None, changed: Change) -> None:
        """`kept`: how its paths begin. Without, or where they can't be written, bans hold as long as the process."""
        self._file = Path(kept + FILE) if kept else None
        self._lock = Path(kept + LOCK) if kept else None
        self._changed = changed
        self._seen: tuple[int, int] | None = None  # the file as read last
        self.ejected: set[str] = set()
        self.readmitted: dict[str, float] = {}  # when one came back, Unix time in ms: cold from then

    def load(self) -> None:
        """What the file holds now; told as changes. A missing file changes nothing."""
        if self._file is None:
            return
        try:
            with open(self._file, "rb") as file:
                stat = os.fstat(file.fileno())
                self._seen = stat.st_ino, stat.st_mtime_ns
                raw = file.read()
        except FileNotFoundError:
            return
        except OSError as error:
            log.warning("bans: not readable", error=str(error))
            return
        try:
            out, back = decode(raw)
        except ValueError as error:
            log.warning("bans: file passed over", error=str(error))
            return
        self._take(out, back)

    def _take(self, out: set[str], back: dict[str, float]) -> None:
        left, new = self.ejected - out, out - self.ejected
        self.ejected, self.readmitted = out, back
        for name in sorted(new):
            self._changed(name, True, 0.0)
        for name in sorted(left):
            self._changed(name, False, back.get(name, 0.0))

    def reload_if_changed(self) -> None:
        """Whether another process has replaced the file; to be called every LOOK_S."""
        if self._file is None:
            return
        try:
            stat = os.stat(self._file)
        except OSError:
            return
        if (stat.st_ino, stat.st_mtime_ns) != self._seen:
            self.load()

    async def set_ejected(self, name: str, out: bool, now_ms: float) -> bool:
        """Take one out or let it back; whether that is kept for the next process.

        In force on return either way. Repeated calls change nothing.
        """
        async with self._locked() as locked:
            self.reload_if_changed()
            if out != (name in self.ejected):
                if out:
                    self.ejected.add(name)
                    self.readmitted.pop(name, None)
                else:
                    self.ejected.discard(name)
                    self.readmitted[name] = now_ms
                self._changed(name, out, 0.0 if out else now_ms)
            elif self._seen is not None:
                return True
            return self._write() and locked

    def _write(self) -> bool:
        if self._file is None:
            return False
        path = self._file.with_name(f"{self._file.name}.{os.getpid()}")
        while len(self.readmitted) > MOST:
            self.readmitted.pop(next(iter(self.readmitted)))
        try:
            with open(path, "wb") as file:
                file.write(encode(self.ejected, self.readmitted))
                file.flush()
                os.fsync(file.fileno())
                stat = os.fstat(file.fileno())
            os.replace(path, self._file)
        except OSError as error:
            log.warning("bans: not kept, in force until this process ends", error=str(error))
            with contextlib.suppress(OSError):
                os.unlink(path)
            return False
        self._seen = stat.st_ino, stat.st_mtime_ns
        return True

    @contextlib.asynccontextmanager
    async def _locked(self) -> AsyncIterator[bool]:
        """Yields whether the lock was had; the ban is made without it too."""
        if self._lock is None:
            yield False
            return
        try:
            file = os.open(self._lock, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            log.warning("bans: no lock", error=str(error))
            yield False
            return
        try:
            for _ in range(LOCK_TRIES):
                try:
                    fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except OSError:
                    await asyncio.sleep(LOCK_STEP_S)
            else:
                log.warning("bans: lock not had in time")
                yield False
                return
            yield True
        finally:
            os.close(file)  # and with it the lock


def encode(out: set[str], back: dict[str, float]) -> bytes:
    return json.dumps({"limenotch_bans": VERSION, "out": sorted(out), "back": back}).encode()


def decode(raw: bytes) -> tuple[set[str], dict[str, float]]:
    """Raises ValueError on whatever `written` would not write."""
    whole = json.loads(raw)
    if not isinstance(whole, dict) or whole.get("limenotch_bans") != VERSION:
        raise ValueError("not a file of bans of this version")
    out, back = whole.get("out"), whole.get("back")
    if not isinstance(out, list) or not all(isinstance(name, str) for name in out) or len(out) > MOST:
        raise ValueError("out: expected a list of ids")
    if not isinstance(back, dict) or not all(_time(at) for at in back.values()):
        raise ValueError("back: expected times by id")
    return set(out), {name: float(at) for name, at in back.items()}


def _time(value: object) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and math.isfinite(value)
