"""Measures what a sidecar without clients takes of the machine's memory, in a process started for that."""

from __future__ import annotations

import subprocess
import sys
from typing import NamedTuple

TIMEOUT_S = 30.0
MEASURING_MODULE = "limenotch.idle_process"


class IdleMemory(NamedTuple):
    """What processes without clients take, in bytes."""

    standby: int  # resident, of a process that waits for its turn to start
    standby_private: int  # the same without pages of files
    base: int  # resident, of a process that serves


def idle_memory() -> IdleMemory:
    """What processes of a sidecar take, whatever the calling process holds itself.

    Raises OSError or `subprocess.SubprocessError` if the process can't be started or doesn't end well.
    """
    command = [sys.executable, "-m", MEASURING_MODULE]
    output = subprocess.run(command, check=True, capture_output=True, timeout=TIMEOUT_S).stdout
    return IdleMemory(*map(int, output.split()))
