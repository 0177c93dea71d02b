"""A disk that fails, put under a node's store by wrapping its files; driven from outside by a small text file.

The file of wishes is written whole (`ask_for`) and looked at before each operation, by one `stat` where it has not
changed. Its words, one a line: `disk ok`, `disk full`, `disk slow 300` (ms for each sync and replace), `disk torn`,
`disk read-only`, and `clock +3600` (seconds that the wall clock is set apart, see `node`). A full or torn disk takes
the first half of what is written and then fails, which is what a real one may do and what a store has to bear.
"""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from pathlib import Path
from time import sleep
from typing import NamedTuple, Protocol

STATES = ("ok", "full", "slow", "torn", "read-only")
NAME = "faults"  # of the file, beside the folder of the data
MOST_SLOW_MS = 60_000.0


class Files(Protocol):
    """Of one flat folder. Every operation raises OSError; what it has then done is not known."""

    def open_append(self, name: str) -> int: ...

    def write(self, handle: int, data: bytes) -> None: ...

    def sync(self, handle: int) -> None: ...

    def close(self, handle: int) -> None: ...

    def read(self, name: str) -> bytes: ...

    def replace(self, name: str, data: bytes) -> None: ...

    def remove(self, name: str) -> None: ...

    def names(self) -> list[str]: ...

    def truncate(self, name: str, size: int) -> None: ...


class Wish(NamedTuple):
    state: str = "ok"  # of STATES
    slow_ms: float = 0.0
    clock_s: float = 0.0


def read_wish(text: str) -> Wish:
    """Raises ValueError with the line that can't be read."""
    wish = Wish()
    for line in text.splitlines():
        words = line.split()
        if words[:1] == ["clock"] and len(words) == 2:
            wish = wish._replace(clock_s=float(words[1]))
        elif words[:2] == ["disk", "slow"] and len(words) == 3 and 0 <= float(words[2]) <= MOST_SLOW_MS:
            wish = wish._replace(state="slow", slow_ms=float(words[2]))
        elif words[:1] == ["disk"] and len(words) == 2 and words[1] in STATES and words[1] != "slow":
            wish = wish._replace(state=words[1], slow_ms=0.0)
        elif words:
            raise ValueError(f"no wish: {line!r}")
    return wish


def ask_for(path: Path, wish: Wish) -> None:
    """From outside the process: in force with its next operation."""
    disk = f"disk slow {wish.slow_ms:g}" if wish.state == "slow" else f"disk {wish.state}"
    aside = path.with_name(path.name + ".new")
    aside.write_text(f"{disk}\nclock {wish.clock_s:+g}\n", encoding="ascii")
    os.replace(aside, path)  # never half of it


class Wishes:
    """The file as this process sees it. No file: all is well."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._known: tuple[int, int] | None = None
        self._wish = Wish()

    def now(self) -> Wish:
        """Raises ValueError on a file that can't be read as wishes: a test must not go on as if all were well."""
        try:
            there = self._path.stat()
        except FileNotFoundError:
            self._known, self._wish = None, Wish()
            return self._wish
        known = (there.st_ino, there.st_mtime_ns)
        if known != self._known:
            self._wish = read_wish(self._path.read_text(encoding="ascii"))
            self._known = known
        return self._wish


class FaultyFiles:
    """Files as given, but for what is wished. `wait` is called with ms, in the thread of the store's."""

    def __init__(
        self, files: Files, wishes: Callable[[], Wish], wait: Callable[[float], None] = lambda ms: sleep(ms / 1000.0)
    ) -> None:
        self._files, self._wishes, self._wait = files, wishes, wait
        self.failed: dict[str, int] = dict.fromkeys(STATES[1:], 0)  # operations that met it

    def _meet(self, slows: bool = False) -> str:
        """What an operation that changes the disk meets. Raises EROFS itself; the rest is the operation's."""
        wish = self._wishes()
        if wish.state == "read-only":
            self.failed["read-only"] += 1
            raise OSError(errno.EROFS, os.strerror(errno.EROFS))
        if wish.state == "slow" and slows:
            self.failed["slow"] += 1
            self._wait(wish.slow_ms)
        return wish.state

    def _fail(self, state: str) -> None:
        if state in ("full", "torn"):
            self.failed[state] += 1
            number = errno.ENOSPC if state == "full" else errno.EIO
            raise OSError(number, os.strerror(number))

    def open_append(self, name: str) -> int:
        self._meet()
        return self._files.open_append(name)

    def write(self, handle: int, data: bytes) -> None:
        state = self._meet()
        if state in ("full", "torn"):
            self._files.write(handle, data[: len(data) // 2])
        self._fail(state)
        self._files.write(handle, data)

    def sync(self, handle: int) -> None:
        """A full disk syncs what it has; a torn one does not say what of it is there."""
        state = self._meet(slows=True)
        if state == "torn":
            self._fail(state)
        self._files.sync(handle)

    def close(self, handle: int) -> None:
        self._files.close(handle)

    def read(self, name: str) -> bytes:
        return self._files.read(name)

    def replace(self, name: str, data: bytes) -> None:
        """Whole or not at all: what fails leaves the old."""
        self._fail(self._meet(slows=True))
        self._files.replace(name, data)

    def remove(self, name: str) -> None:
        """Goes on a full disk: its bytes are what is wanted back."""
        state = self._meet()
        if state == "torn":
            self._fail(state)
        self._files.remove(name)

    def names(self) -> list[str]:
        return self._files.names()

    def truncate(self, name: str, size: int) -> None:
        state = self._meet(slows=True)
        if state == "torn":
            self._fail(state)
        self._files.truncate(name, size)

    def release(self) -> None:
        """Where the real files hold their folder, it is let go."""
        release = getattr(self._files, "release", None)
        if release is not None:
            release()
