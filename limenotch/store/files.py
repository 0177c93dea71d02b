"""The few operations on files that the store is made of, and the real ones.

Everything the store does to a disk goes through `Files`, so that tests can put a disk under it that is full, torn,
read-only or gone, or that ends at any operation. The order of operations is what makes a store readable after a
fall; it is kept in `log.py`. Sources: POSIX on fsync and rename; T. S. Pillai et al., "All File Systems Are Not
Created Equal", OSDI 2014, for what a file system does not promise (a name is lasting only after its folder's fsync).
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
from pathlib import Path
from typing import Protocol

LOCK_FILE = "lock"
TEMPORARY_SUFFIX = ".new"  # behind a name: a file that is not whole yet
READ_SIZE = 1 << 20  # bytes read at once

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
    """A failed operation of the store. `reason` is one word that operators know (docs/fleet/disk.md)."""

    def __init__(self, reason: str, text: str) -> None:
        super().__init__(f"{reason}: {text}")
        self.reason = reason


def store_error(error: OSError) -> StoreError:
    """A failed operation as the store's error. What has no word of its own is `torn`: it may be half done."""
    return StoreError(_REASONS.get(error.errno or 0, "torn"), str(error))


class Files(Protocol):
    """Files of one flat folder. Every operation raises OSError; what it then has done is not known."""

    def open_append(self, name: str) -> int:
        """A handle that writes behind what the file has. The file must exist: `replace` makes it."""
        ...

    def write(self, handle: int, data: bytes) -> None:
        """All of `data`, or an OSError with some first part of it written."""
        ...

    def sync(self, handle: int) -> None:
        """What was written is on the disk. Raises as well if the file no longer has a name."""
        ...

    def close(self, handle: int) -> None:
        """The handle is gone, whatever is raised."""
        ...

    def read(self, name: str) -> bytes:
        """The whole content."""
        ...

    def replace(self, name: str, data: bytes) -> None:
        """The file holds `data` and nothing else, on the disk, name and all; after a fall the old or the new whole."""
        ...

    def remove(self, name: str) -> None:
        """It is gone from the disk. None of that name: nothing to do, but what was removed before is on the disk."""
        ...

    def names(self) -> list[str]:
        """Of all files of the folder, in no order."""
        ...

    def truncate(self, name: str, size: int) -> None:
        """Bytes from `size` on are gone, on the disk."""
        ...


class RealFiles:
    """Files of a folder, made if need be, and held against other processes until `release`.

    All names are looked up under the folder's descriptor: a folder that is moved stays the one that is held.
    """

    def __init__(self, folder: Path) -> None:
        """Raises StoreError: `taken` if another process holds the folder, else as `store_error`."""
        self._folder = -1  # its descriptor
        self._lock = -1  # the lock file's descriptor
        try:
            folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            self._folder = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
            self._lock = os.open(LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600, dir_fd=self._folder)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.fsync(self._folder)  # names that a killed process has left without
        except BlockingIOError:
            self.release()
            raise StoreError("taken", f"another process holds {folder}") from None
        except OSError as error:
            self.release()
            raise store_error(error) from None

    def release(self) -> None:
        """Frees the folder. Once is enough, twice does no harm."""
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
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(handle, rest) :]

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
            with contextlib.suppress(OSError):  # its bytes are wanted back if the disk is full
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
