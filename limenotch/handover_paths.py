"""The paths over which the processes of one sidecar find each other. Loaded first, it imports hardly anything."""

from __future__ import annotations

import contextlib
import os
from collections.abc import Iterator

SOCKET_SUFFIX = ".sock"  # of the Unix socket for the hand-over
SHARES_SUFFIX = ".shares-1"  # of the file in which the processes share the limits; with the version of its form
MAX_SOCKET_PATH_BYTES = 100  # of a Unix socket's address


def state_path(folder: str | None, host: str, port: int) -> str | None:
    """The prefix of all these paths: with the clients' address, as several sidecars may share the folder.

    None without a folder, and for a sidecar whose port the kernel chooses, as it has no successor.
    """
    if not folder or not port:
        return None
    return os.path.join(folder, f"limenotch-{host.replace(':', '_')}-{port}")


@contextlib.contextmanager
def socket_address(path: str) -> Iterator[str]:
    """The path of a Unix socket as its address, shortened by way of an open descriptor of its folder if too long."""
    if len(os.fsencode(path)) <= MAX_SOCKET_PATH_BYTES:
        yield path
        return
    folder = os.open(os.path.dirname(path), os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{os.path.basename(path)}"
    finally:
        os.close(folder)
