"""The few file operations that the store needs, and their implementation on real files.

The store accesses the disk only through `Files`, so that tests can use a disk that is full, torn, read-only or removed,
or that stops at any operation. The order of operations makes a store readable after a crash; `log.py` keeps that order.
Sources: POSIX on fsync and rename; T. S. Pillai et al., "All File Systems Are Not Created Equal", OSDI 2014, for what a
file system does not guarantee (a name is durable only after an fsync of its folder).
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
from pathlib import Path
from typing import Protocol

LOCK_FILE = "lock"
TEMPORARY_SUFFIX = ".new"  # suffix of files that are not complete yet
READ_SIZE = 1 << 20  # bytes

_REASONS = {
    errno.ENOSPC: "full",
    errno.EDQUOT: "full",
    errno.EFBIG: "full",
    errno.EROFS: "read-only",
    errno.EACCES: "read-only",
    errno.EPERM: "read-only",
    errno.ENOENT: "removed",
    errno.ESTALE: "removed",
    errno.ENOTDIR: "removed",
    errno.ENODEV: "removed",
}


class StoreError(Exception):
    """A failed operation of the store. `reason` is one of the words in docs/fleet/disk.md."""

    def __init__(self, reason: str, text: str) -> None:
        super().__init__(f"{reason}: {text}")
        self.reason = reason


def store_error(error: OSError) -> StoreError:
    """Converts the error of an operation. An error without a reason of its own is `torn`: it may be half done."""
    return StoreError(_REASONS.get(error.errno or 0, "torn"), str(error))


class Files(Protocol):
    """Files of one flat folder. Every operation raises OSError; how much of it is done is then not known."""

    def open_append(self, name: str) -> int:
        """A handle that appends to an existing file; `replace` creates files."""
        ...

    def write(self, handle: int, data: bytes) -> None:
        """Writes all of `data`, or raises OSError after an unknown first part of it."""
        ...

    def sync(self, handle: int) -> None:
        """Returns when all writes are on the disk. Also raises if the file no longer has a name."""
        ...

    def close(self, handle: int) -> None:
        """Closes the handle, even if an error is raised."""
        ...

    def read(self, name: str) -> bytes:
        """The complete content."""
        ...

    def replace(self, name: str, data: bytes) -> None:
        """Replaces name and content durably; after a crash the file has the complete old or new content."""
        ...

    def remove(self, name: str) -> None:
        """Removes the file durably. Without such a file, makes earlier removals durable."""
        ...

    def names(self) -> list[str]:
        """The names of all files in the folder, in any order."""
        ...

    def truncate(self, name: str, size: int) -> None:
        """Removes the bytes from `size` on, durably."""
        ...


class RealFiles:
    """Files of a folder, which is created if needed and locked against other processes until `release`.

    All names are resolved relative to the folder's descriptor: if the folder is moved, its files stay in use.
    """

    def __init__(self, folder: Path) -> None:
        """Raises StoreError: `taken` if another process has locked the folder, else as `store_error`."""
        self._folder = -1  # its descriptor
        self._lock = -1  # the lock file's descriptor
        try:
            folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            self._folder = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
            self._lock = os.open(LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600, dir_fd=self._folder)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.fsync(self._folder)  # makes names durable that a killed process did not sync
        except BlockingIOError:
            self.release()
            raise StoreError("taken", f"another process holds {folder}") from None
        except OSError as error:
            self.release()
            raise store_error(error) from None

    def release(self) -> None:
        """Unlocks the folder; may be called more than once."""
        for handle in (self._lock, self._folder):
            if handle >= 0:
                os.close(handle)
        self._folder = -1
        self._lock = -1

    def open_append(self, name: str) -> int:
        """See Files."""
        return os.open(name, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC, dir_fd=self._folder)

    def write(self, handle: int, data: bytes) -> None:
        """See Files."""
        unwritten = memoryview(data)
        while unwritten:
            unwritten = unwritten[os.write(handle, unwritten) :]

    def sync(self, handle: int) -> None:
        """See Files."""
        os.fsync(handle)
        if os.fstat(handle).st_nlink == 0:
            raise FileNotFoundError(errno.ENOENT, "the file was removed while it was written")

    def close(self, handle: int) -> None:
        """See Files."""
        os.close(handle)

    def read(self, name: str) -> bytes:
        """See Files."""
        handle = os.open(name, os.O_RDONLY | os.O_CLOEXEC, dir_fd=self._folder)
        try:
            pieces = []
            while piece := os.read(handle, READ_SIZE):
                pieces.append(piece)
            return b"".join(pieces)
        finally:
            os.close(handle)

    def replace(self, name: str, data: bytes) -> None:
        """See Files: a temporary file is written, synced and renamed, then the folder is synced."""
        temporary = name + TEMPORARY_SUFFIX
        handle = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600, dir_fd=self._folder)
        try:
            try:
                self.write(handle, data)
                os.fsync(handle)
            finally:
                os.close(handle)
            os.rename(temporary, name, src_dir_fd=self._folder, dst_dir_fd=self._folder)
        except OSError:
            with contextlib.suppress(OSError):  # frees the space if the disk is full
                os.unlink(temporary, dir_fd=self._folder)
            raise
        os.fsync(self._folder)

    def remove(self, name: str) -> None:
        """See Files."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(name, dir_fd=self._folder)
        os.fsync(self._folder)

    def names(self) -> list[str]:
        """See Files."""
        return os.listdir(self._folder)

    def truncate(self, name: str, size: int) -> None:
        """See Files."""
        handle = os.open(name, os.O_WRONLY | os.O_CLOEXEC, dir_fd=self._folder)
        try:
            os.ftruncate(handle, size)
            os.fsync(handle)
        finally:
            os.close(handle)
