"""`python -m limenotch.lab.fleet.node serve ...`: the program with disk and wall-clock faults, for tests.

The module wraps the files of the store in `faulty.FaultyFiles`, offsets the wall clock, and then runs the unchanged
program. The file `faults` beside the store's folder controls the disk. The file that LIMENOTCH_LAB_FAULTS names
controls the clock, as the folder is not known before the start. Only the laboratory uses this module; `limenotch serve`
does not.
"""

from __future__ import annotations

import os
import sys
import time
from importlib import import_module
from pathlib import Path
from typing import Any

from .faulty import FAULTS_FILE_NAME, FaultsFile, FaultyFiles

FAULTS_VARIABLE = "LIMENOTCH_LAB_FAULTS"


def offset_wall_clock(faults_file: FaultsFile) -> None:
    """Offsets `time.time` and `time.time_ns` of this process for later lookups; `datetime` is not changed."""
    real, real_ns = time.time, time.time_ns
    time.time = lambda: real() + faults_file.current().clock_offset_s
    time.time_ns = lambda: real_ns() + int(faults_file.current().clock_offset_s * 1e9)


def install_faulty_disks(files: Any) -> None:
    """Adds disk faults to every store that is opened from now on. `files` is the module that defines `RealFiles`.

    Has to be called before any other module imports that name.
    """
    real = files.RealFiles

    def open_files(folder: Path) -> FaultyFiles:
        return FaultyFiles(real(folder), FaultsFile(folder.parent / FAULTS_FILE_NAME).current)

    files.RealFiles = open_files


def main(arguments: list[str]) -> int:
    """Runs the program with these arguments under the faults; returns its exit code."""
    faults_path = os.environ.get(FAULTS_VARIABLE)
    if faults_path:
        offset_wall_clock(FaultsFile(Path(faults_path)))
    install_faulty_disks(import_module("limenotch.store.files"))
    from ...cli import main as program

    return program(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
