"""Measures what this process holds of the machine's memory, and returns what it does not need to the system."""

from __future__ import annotations

import contextlib
import ctypes
import gc
import glob
import math
import os
import socket
import struct
from collections.abc import Callable
from time import monotonic

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
BLOCK_BYTES = 512  # the unit of `st_blocks`
SO_MEMINFO = 55  # Linux, include/uapi/asm-generic/socket.h; not in the module `socket`
MEMINFO = struct.Struct("9I")  # Linux, include/uapi/linux/sock_diag.h
COLLECTION_TIME_FRACTION = 1 / 20
RECEIVED, QUEUED_TO_SEND, BACKLOG = 0, 5, 7  # places in MEMINFO


def resident_bytes() -> int:
    """The resident set of this process, shared pages included, in bytes; 0 if the system doesn't tell."""
    try:
        with open("/proc/self/statm", "rb") as statm:
            return int(statm.read().split()[1]) * PAGE_BYTES
    except (OSError, ValueError):
        return 0


def socket_buffer_bytes(sock: socket.socket) -> int:
    """What the kernel holds for a socket, its overhead included, in bytes; 0 if the system doesn't tell."""
    try:
        counts: tuple[int, ...] = MEMINFO.unpack(sock.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, MEMINFO.size))
    except (OSError, struct.error):
        return 0
    return counts[RECEIVED] + counts[QUEUED_TO_SEND] + counts[BACKLOG]


def file_bytes(prefix: str | None, folder: str | None) -> int:
    """What the files take whose paths start with `prefix`, and those below `folder`, in bytes; None: no such files."""
    paths = glob.glob(glob.escape(prefix) + "*") if prefix is not None else []
    if folder is not None:
        paths += [os.path.join(parent, name) for parent, _, names in os.walk(folder) for name in names]
    total = 0
    for path in paths:
        with contextlib.suppress(OSError):  # removed in the meantime
            total += os.lstat(path).st_blocks * BLOCK_BYTES
    return total


def release_memory() -> None:
    """Collects garbage, and returns free pages of the heap to the system."""
    gc.collect()
    trim_heap()


def trim_heap() -> None:
    """Returns free pages of the heap to the system where the C library can (glibc)."""
    with contextlib.suppress(AttributeError, OSError):
        ctypes.CDLL(None).malloc_trim(0)


class PacedRelease:
    """Returns memory to the system when called; garbage is collected only as often as its fraction of the time allows.

    A collection takes the longer the more is held, so during a shortage.
    """

    def __init__(self, collect: Callable[[], object] = gc.collect, clock: Callable[[], float] = monotonic) -> None:
        """`clock`: in seconds."""
        self._collect = collect
        self._clock = clock
        self._next_collection_at = -math.inf  # s

    def __call__(self) -> None:
        """Returns what can be returned now."""
        started_at = self._clock()
        if started_at >= self._next_collection_at:
            self._collect()
            taken_s = self._clock() - started_at
            self._next_collection_at = started_at + taken_s / COLLECTION_TIME_FRACTION
        trim_heap()
