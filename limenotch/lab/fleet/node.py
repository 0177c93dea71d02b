"""`python -m limenotch.lab.fleet.node serve ...`: the program on a disk and a wall clock that tests can spoil.

Installs `faulty.FaultyFiles` over the files of the store, and a wall clock set apart by what is wished, then runs the
program unchanged. The disk follows the file `faults` beside the store's folder; the clock follows the one that
LIMENOTCH_LAB_FAULTS names, as no folder is known before the start. Only for the laboratory: `limenotch serve` knows
nothing of it.
"""

from __future__ import annotations

import os
import sys
import time
from importlib import import_module
from pathlib import Path
from typing import Any

from .faulty import NAME, FaultyFiles, Wishes

FAULTS = "LIMENOTCH_LAB_FAULTS"


def set_apart(wishes: Wishes) -> None:
    """`time.time` and `time.time_ns` of this process, for who looks them up from now on; `datetime` is left alone."""
    real, real_ns = time.time, time.time_ns
    time.time = lambda: real() + wishes.now().clock_s
    time.time_ns = lambda: real_ns() + int(wishes.now().clock_s * 1e9)


def spoil_disks(files: Any) -> None:
    """Every store opened from now on stands on a disk that may fail. `files`: the module that has `RealFiles`.

    To be called before any other module has taken that name from it.
    """
    real = files.RealFiles

    def opened(folder: Path) -> FaultyFiles:
        return FaultyFiles(real(folder), Wishes(folder.parent / NAME).now)

    files.RealFiles = opened


def main(arguments: list[str]) -> int:
    faults = os.environ.get(FAULTS)
    if faults:
        set_apart(Wishes(Path(faults)))
    spoil_disks(import_module("limenotch.store.files"))
    from ...cli import main as program

    return program(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
