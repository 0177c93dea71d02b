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

LOCK = "lock"
ASIDE = ".new"  # behind a name: a file that is not whole yet
READ_PIECE = 1 << 20  # bytes

_WHYS = {
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
    """`why` is one word that operators know (docs/fleet/disk.md); the text says what it was about."""

    def __init__(self, why: str, text: str) -> None:
        super().__init__(f"{why}: {text}")
        self.why = why


def told(error: OSError) -> StoreError:
    """A failed operation as the store's error. What has no word of its own is `torn`: it may be half done."""
    return StoreError(_WHYS.get(error.errno or 0, "torn"), str(error))


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

    def close(self, handle: int) -> None: ...

    def read(self, name: str) -> bytes: ...

    def replace(self, name: str, data: bytes) -> None:
        """The file holds `data` and nothing else, on the disk, name and all; after a fall the old or the new whole."""
        ...

    def remove(self, name: str) -> None:
        """It is gone from the disk. None of that name: nothing to do, but what was removed before is on the disk."""
        ...

    def names(self) -> list[str]: ...

    def truncate(self, name: str, size: int) -> None:
        """Bytes from `size` on are gone, on the disk."""
        ...


class RealFiles:
    """Files of a folder, made if need be, and held against other processes until `release`.

    All names are looked up under the folder's descriptor: a folder that is moved stays the one that is held.
    """

    def __init__(self, folder: Path) -> None:
        """Raises StoreError: `taken` if another process holds the folder, else as `told`."""
        self._at = self._lock = -1
        try:
            folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            self._at = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
            self._lock = os.open(LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600, dir_fd=self._at)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.fsync(self._at)  # names that a killed process has left without
        except BlockingIOError:
            self.release()
            raise StoreError("taken", f"another process holds {folder}") from None
        except OSError as error:
            self.release()
            raise told(error) from None

    def release(self) -> None:
        """Frees the folder. Once is enough, twice does no harm."""
        for handle in (self._lock, self._at):
            if handle >= 0:
                os.close(handle)
        self._at = self._lock = -1

    def open_append(self, name: str) -> int:
        return os.open(name, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC, dir_fd=self._at)

    def write(self, handle: int, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(handle, rest) :]

    def sync(self, handle: int) -> None:
        os.fsync(handle)
        if os.fstat(handle).st_nlink == 0:
            raise FileNotFoundError(errno.ENOENT, "the file was removed while it was written")

    def close(self, handle: int) -> None:
        os.close(handle)

    def read(self, name: str) -> bytes:
        handle = os.open(name, os.O_RDONLY | os.O_CLOEXEC, dir_fd=self._at)
        try:
            pieces = []
            while piece := os.read(handle, READ_PIECE):
                pieces.append(piece)
            return b"".join(pieces)
        finally:
            os.close(handle)

    def replace(self, name: str, data: bytes) -> None:
        aside = name + ASIDE
        handle = os.open(aside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600, dir_fd=self._at)
        try:
            try:
                self.write(handle, data)
                os.fsync(handle)
            finally:
                os.close(handle)
            os.rename(aside, name, src_dir_fd=self._at, dst_dir_fd=self._at)
        except OSError:
            with contextlib.suppress(OSError):  # its bytes are wanted back if the disk is full
                os.unlink(aside, dir_fd=self._at)
            raise
        os.fsync(self._at)

    def remove(self, name: str) -> None:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(name, dir_fd=self._at)
        os.fsync(self._at)

    def names(self) -> list[str]:
        return os.listdir(self._at)

    def truncate(self, name: str, size: int) -> None:
        handle = os.open(name, os.O_WRONLY | os.O_CLOEXEC, dir_fd=self._at)
        try:
            os.ftruncate(handle, size)
            os.fsync(handle)
        finally:
            os.close(handle)
