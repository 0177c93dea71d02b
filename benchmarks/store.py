"""The cost of the fleet's log on a disk: records a second by batch size, bytes a record, time to open.

    python3 -m benchmarks.store [FOLDER] [--many 1000000]

FOLDER must be on the disk to be measured; files go into a subfolder that is removed at the end. A record is one entry
of 100 bytes. The bare row is a write and an fsync of the same bytes to one file: a lower bound for any store.
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
RUN_S = 3.0
DATA = bytes(range(100))


def make_record(index: int) -> Record:
    return Append((LogEntry(index, 1, "command", DATA),))


def quantile(spans: list[float], share: float) -> float:
    return sorted(spans)[min(int(share * len(spans)), len(spans) - 1)] * 1000


def time_runs(operation: Callable[[], None], max_runs: int) -> list[float]:
    spans: list[float] = []
    while sum(spans) < RUN_S and len(spans) < max_runs:
        began = perf_counter()
        operation()
        spans.append(perf_counter() - began)
    return spans


def print_row(name: str, batch: int, spans: list[float], size: float) -> None:
    print(
        f"{name:>6} {batch:6} {batch * len(spans) / sum(spans):10.0f} {quantile(spans, 0.5):8.3f} "
        f"{quantile(spans, 0.99):8.3f} {size:8.1f}"
    )


def measure_batch(folder: Path, batch: int) -> None:
    files = RealFiles(folder)
    store = Store(files, max_bytes=4 << 30)
    last = store.open().last_index
    start = store.disk_bytes

    def write() -> None:
        nonlocal last
        store.write([make_record(last + 1 + n) for n in range(batch)])
        last += batch

    spans = time_runs(write, 20_000)
    size = (store.disk_bytes - start) / last
    print_row("store", batch, spans, size)
    store.close()
    files.release()
    bare = os.open(folder / "bare", os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def write_bare() -> None:
        os.write(bare, bytes(round(size) * batch))
        os.fsync(bare)

    print_row("bare", batch, time_runs(write_bare, 20_000), size)
    os.close(bare)


def measure_open(folder: Path, count: int) -> None:
    files = RealFiles(folder)
    store = Store(files, max_bytes=4 << 30)
    store.open()
    for first in range(1, count + 1, 1000):
        store.write([make_record(index) for index in range(first, min(first + 1000, count + 1))])
    store.close()
    began = perf_counter()
    store.open()
    elapsed_s = perf_counter() - began
    print(f"open with {count} records, {store.disk_bytes >> 20} MiB: {elapsed_s:.2f} s")
    store.close()
    files.release()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("folder", nargs="?", default=".")
    parser.add_argument("--many", type=int, default=1_000_000)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=options.folder, prefix="store-") as work_folder:
        print(f"{'':>6} {'batch':>6} {'records/s':>10} {'p50 ms':>8} {'p99 ms':>8} {'bytes':>8}")
        for batch in BATCHES:
            measure_batch(Path(work_folder) / f"batch-{batch}", batch)
        for count in (10_000, options.many):
            measure_open(Path(work_folder) / f"open-{count}", count)


if __name__ == "__main__":
    main()
