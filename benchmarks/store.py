"""What the fleet's log costs on a disk: records a second by batch, bytes a record, how long an opening takes.

    python3 -m benchmarks.store [FOLDER] [--many 1000000]

FOLDER must lie on the disk in question, and is filled under a name of its own that is removed at the end. A record is
one entry of 100 bytes. The bare row is a write and an fsync of as many bytes into one file: what no store can beat.
"""

from __future__ import annotations

import argparse
import os
import tempfile
from collections.abc import Callable
from pathlib import Path
from time import perf_counter

from limenotch.store.files import RealFiles
from limenotch.store.log import Store
from limenotch.store.records import Append, LogEntry, Record

BATCHES = (1, 8, 64, 512)
FOR_S = 3.0
DATA = bytes(range(100))


def record(index: int) -> Record:
    return Append((LogEntry(index, 1, "command", DATA),))


def at(spent: list[float], part: float) -> float:
    return sorted(spent)[min(int(part * len(spent)), len(spent) - 1)] * 1000


def timed(do: Callable[[], None], most: int) -> list[float]:
    spent: list[float] = []
    while sum(spent) < FOR_S and len(spent) < most:
        began = perf_counter()
        do()
        spent.append(perf_counter() - began)
    return spent


def row(name: str, batch: int, spent: list[float], size: float) -> None:
    print(
        f"{name:>6} {batch:6} {batch * len(spent) / sum(spent):10.0f} {at(spent, 0.5):8.3f} {at(spent, 0.99):8.3f} "
        f"{size:8.1f}"
    )


def measure_batch(folder: Path, batch: int) -> None:
    files = RealFiles(folder)
    store = Store(files, max_bytes=4 << 30)
    last = store.open().last
    start = store.disk_bytes

    def write() -> None:
        nonlocal last
        store.write([record(last + 1 + n) for n in range(batch)])
        last += batch

    spent = timed(write, 20_000)
    size = (store.disk_bytes - start) / last
    row("store", batch, spent, size)
    store.close()
    files.release()
    bare = os.open(folder / "bare", os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def plain() -> None:
        os.write(bare, bytes(round(size) * batch))
        os.fsync(bare)

    row("bare", batch, timed(plain, 20_000), size)
    os.close(bare)


def measure_open(folder: Path, count: int) -> None:
    files = RealFiles(folder)
    store = Store(files, max_bytes=4 << 30)
    store.open()
    for first in range(1, count + 1, 1000):
        store.write([record(index) for index in range(first, min(first + 1000, count + 1))])
    store.close()
    began = perf_counter()
    store.open()
    spent = perf_counter() - began
    print(f"open with {count} records, {store.disk_bytes >> 20} MiB: {spent:.2f} s")
    store.close()
    files.release()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("folder", nargs="?", default=".")
    parser.add_argument("--many", type=int, default=1_000_000)
    given = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=given.folder, prefix="store-") as made:
        print(f"{'':>6} {'batch':>6} {'records/s':>10} {'p50 ms':>8} {'p99 ms':>8} {'bytes':>8}")
        for batch in BATCHES:
            measure_batch(Path(made) / f"batch-{batch}", batch)
        for count in (10_000, given.many):
            measure_open(Path(made) / f"open-{count}", count)


if __name__ == "__main__":
    main()
