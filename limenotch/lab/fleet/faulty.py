"""Simulates disk faults of a node by wrapping the files of its store; a small text file sets the faults from outside.

`write_process_faults` replaces the file atomically. Each operation checks it first, with one `stat` if it has not
changed. Its lines: `disk ok`, `disk full`, `disk slow 300` (ms of each sync and replace), `disk torn`, `disk
read-only`, and `clock +3600` (offset of the wall clock in seconds, see `node`). A full or torn disk stores the first
half of a write and then fails: a real disk may do the same, and a store has to tolerate it.
"""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from pathlib import Path
from time import sleep
from typing import NamedTuple, Protocol

DISK_STATES = ("ok", "full", "slow", "torn", "read-only")
FAULTS_FILE_NAME = "faults"  # file name, beside the data folder
MAX_SLOW_MS = 60_000.0


class Files(Protocol):
    """The files of one flat folder. Every operation may raise OSError; its effect is then unknown."""

    def open_append(self, name: str) -> int: ...

    def write(self, handle: int, data: bytes) -> None: ...

    def sync(self, handle: int) -> None: ...

    def close(self, handle: int) -> None: ...

    def read(self, name: str) -> bytes: ...

    def replace(self, name: str, data: bytes) -> None: ...

    def remove(self, name: str) -> None: ...

    def names(self) -> list[str]: ...

    def truncate(self, name: str, size: int) -> None: ...


class ProcessFaults(NamedTuple):
    """The faults of one process: the state of its disk, and the offset of its wall clock."""

    state: str = "ok"  # one of DISK_STATES
    slow_ms: float = 0.0
    clock_offset_s: float = 0.0


def parse_process_faults(text: str) -> ProcessFaults:
    """Parses the text of the file. Raises ValueError with the invalid line."""
    faults = ProcessFaults()
    for line in text.splitlines():
        words = line.split()
        if words[:1] == ["clock"] and len(words) == 2:
            faults = faults._replace(clock_offset_s=float(words[1]))
        elif words[:2] == ["disk", "slow"] and len(words) == 3 and 0 <= float(words[2]) <= MAX_SLOW_MS:
            faults = faults._replace(state="slow", slow_ms=float(words[2]))
        elif words[:1] == ["disk"] and len(words) == 2 and words[1] in DISK_STATES and words[1] != "slow":
            faults = faults._replace(state=words[1], slow_ms=0.0)
        elif words:
            raise ValueError(f"invalid fault line: {line!r}")
    return faults


def write_process_faults(path: Path, faults: ProcessFaults) -> None:
    """Writes the file, from outside the process: in force from its next operation on."""
    disk = f"disk slow {faults.slow_ms:g}" if faults.state == "slow" else f"disk {faults.state}"
    temporary = path.with_name(path.name + ".new")
    temporary.write_text(f"{disk}\nclock {faults.clock_offset_s:+g}\n", encoding="ascii")
    os.replace(temporary, path)  # atomic


class FaultsFile:
    """The faults file as read by this process. Without the file there are no faults."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._file_version: tuple[int, int] | None = None
        self._faults = ProcessFaults()

    def current(self) -> ProcessFaults:
        """Returns the current faults. Raises ValueError on an invalid file: a test must not run without its faults."""
        try:
            stat = self._path.stat()
        except FileNotFoundError:
            self._file_version, self._faults = None, ProcessFaults()
            return self._faults
        file_version = (stat.st_ino, stat.st_mtime_ns)
        if file_version != self._file_version:
            self._faults = parse_process_faults(self._path.read_text(encoding="ascii"))
            self._file_version = file_version
        return self._faults


class FaultyFiles:
    """Wraps files and adds the current faults. Calls `wait` with ms, in the thread of the store."""

    def __init__(
        self,
        files: Files,
        current_faults: Callable[[], ProcessFaults],
        wait: Callable[[float], None] = lambda ms: sleep(ms / 1000.0),
    ) -> None:
        self._files, self._current_faults, self._wait = files, current_faults, wait
        self.fault_counts: dict[str, int] = dict.fromkeys(DISK_STATES[1:], 0)  # number of operations by fault

    def _check_fault(self, can_be_slow: bool = False) -> str:
        """Returns the disk state for a changing operation. Raises EROFS; the operation itself raises other errors."""
        faults = self._current_faults()
        if faults.state == "read-only":
            self.fault_counts["read-only"] += 1
            raise OSError(errno.EROFS, os.strerror(errno.EROFS))
        if faults.state == "slow" and can_be_slow:
            self.fault_counts["slow"] += 1
            self._wait(faults.slow_ms)
        return faults.state

    def _raise_disk_error(self, state: str) -> None:
        if state in ("full", "torn"):
            self.fault_counts[state] += 1
            error_number = errno.ENOSPC if state == "full" else errno.EIO
            raise OSError(error_number, os.strerror(error_number))

    def open_append(self, name: str) -> int:
        self._check_fault()
        return self._files.open_append(name)

    def write(self, handle: int, data: bytes) -> None:
        state = self._check_fault()
        if state in ("full", "torn"):
            self._files.write(handle, data[: len(data) // 2])
        self._raise_disk_error(state)
        self._files.write(handle, data)

    def sync(self, handle: int) -> None:
        """Succeeds on a full disk; fails on a torn disk, which may or may not have stored the data."""
        state = self._check_fault(can_be_slow=True)
        if state == "torn":
            self._raise_disk_error(state)
        self._files.sync(handle)

    def close(self, handle: int) -> None:
        self._files.close(handle)

    def read(self, name: str) -> bytes:
        return self._files.read(name)

    def replace(self, name: str, data: bytes) -> None:
        """Replaces atomically: a failure leaves the old content."""
        self._raise_disk_error(self._check_fault(can_be_slow=True))
        self._files.replace(name, data)

    def remove(self, name: str) -> None:
        """Succeeds on a full disk, as removal frees space."""
        state = self._check_fault()
        if state == "torn":
            self._raise_disk_error(state)
        self._files.remove(name)

    def names(self) -> list[str]:
        return self._files.names()

    def truncate(self, name: str, size: int) -> None:
        state = self._check_fault(can_be_slow=True)
        if state == "torn":
            self._raise_disk_error(state)
        self._files.truncate(name, size)

    def release(self) -> None:
        """Releases the folder if the wrapped files lock it."""
        release = getattr(self._files, "release", None)
        if release is not None:
            release()
