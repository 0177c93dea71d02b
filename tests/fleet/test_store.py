"""The store on a working disk, on a full one, and on real files."""

from __future__ import annotations

import errno
import os
import shutil
from pathlib import Path

import pytest
from hypothesis import given, settings

import limenotch.store
from limenotch.store import segments
from limenotch.store.files import LOCK_FILE, RealFiles, StoreError
from limenotch.store.log import TERM_VOTE_RESERVE_BYTES, Store
from limenotch.store.records import Append, LogEntry, Record, Snapshot, StoredLog, TermVote

from .fake_disk import Disk, entries, histories, same_content, states


@settings(max_examples=60)
@given(histories())
def test_written_records_are_read_back(history: list[list[Record]]) -> None:
    disk = Disk()
    for batch in history:
        store = Store(disk, segment_bytes=300)
        store.open()
        store.write(batch)
        store.close()
    assert same_content(Store(disk).open(), states(history)[-1]) and not disk.handles.keys() - {disk.opened}


def test_real_files_keep_records_and_admit_one_process(tmp_path: Path) -> None:
    files = RealFiles(tmp_path / "a" / "store")
    store = Store(files, segment_bytes=200)
    assert same_content(store.open(), StoredLog())
    store.write([TermVote(3, "b"), entries(1, 3, 2)])
    with pytest.raises(StoreError, match="taken: another process holds"):
        RealFiles(tmp_path / "a" / "store")
    for n in range(4, 12):
        store.write([entries(n, 1, 3, 50)])
    store.write([Snapshot(9, 3, b"state", ("a",))])
    store.write([entries(12, 1, 3)])
    store.close()
    files.release()
    kinds = sorted(path.name.split("-")[0] for path in (tmp_path / "a" / "store").iterdir())
    assert kinds == ["lock", "log", "snapshot"]
    files = RealFiles(tmp_path / "a" / "store")
    store = Store(files)
    content = store.open()
    assert content.snapshot == Snapshot(9, 3, b"state", ("a",)) and [entry.index for entry in content.entries] == [
        10,
        11,
        12,
    ]
    assert content.term_vote == TermVote(3, "b") and store.torn_end is None
    store.close()
    files.release()


def test_removal_of_the_folder_is_reported(tmp_path: Path) -> None:
    files = RealFiles(tmp_path / "store")
    store = Store(files)
    store.open()
    store.write([entries(1, 1, 1)])
    shutil.rmtree(tmp_path / "store")
    for _ in range(2):
        with pytest.raises(StoreError) as raised:
            store.write([entries(2, 1, 1)])
        assert raised.value.reason == "removed"
    store.close()
    files.release()


@pytest.mark.skipif(os.geteuid() == 0, reason="root may write anywhere")
def test_folder_without_write_permission_is_read_only(tmp_path: Path) -> None:
    (tmp_path / "store").mkdir(mode=0o500)
    with pytest.raises(StoreError) as raised:
        RealFiles(tmp_path / "store")
    assert raised.value.reason == "read-only"


@pytest.mark.parametrize(
    ("number", "reason"),
    [(errno.ENOSPC, "full"), (errno.EDQUOT, "full"), (errno.EROFS, "read-only"), (errno.EIO, "torn")],
)
def test_disk_errors_have_reasons(number: int, reason: str) -> None:
    disk = Disk()
    store = Store(disk)
    store.open()

    def fail(_: int) -> None:
        raise OSError(number, os.strerror(number))

    disk.before_operation = fail
    with pytest.raises(StoreError) as raised:
        store.write([TermVote(1)])
    assert raised.value.reason == reason


def test_full_disk_rejects_and_resumes_when_there_is_space() -> None:
    disk = Disk()
    store = Store(disk, segment_bytes=400)
    store.open()
    store.write([entries(1, 2, 1)])
    used_bytes = sum(len(file.now) for file in disk.names_now.values())
    for capacity in range(used_bytes, used_bytes + 60):
        disk.capacity = capacity
        with pytest.raises(StoreError, match="full"):
            store.write([entries(3, 2, 1, 100)])
        assert sum(len(file.now) for file in disk.names_now.values()) == used_bytes  # freed at once
    disk.capacity = 1 << 20
    store.write([entries(3, 1, 2)])
    assert [entry.term for entry in Store(disk.crash()).open().entries] == [1, 1, 2]


def test_size_limit_admits_term_votes_and_a_snapshot_frees_space() -> None:
    disk = Disk()
    store = Store(disk, max_bytes=4000, segment_bytes=500)
    store.open()
    last = 0
    with pytest.raises(StoreError, match="full: .* 4000 at most"):
        while True:
            store.write([entries(last + 1, 1, 1, 100)])
            last += 1
    assert last > 20 and store.disk_bytes <= 4000
    store.write([TermVote(2, "a")])
    with pytest.raises(StoreError, match="full: a snapshot of"):
        store.write([Snapshot(last, 1, b"s" * 2001)])
    store.write([Snapshot(last, 1, b"s" * 1000)])
    assert store.disk_bytes < 1200 and len(disk.names_now) == 1
    store.write([entries(last + 1, 1, 2)])
    content = Store(disk.crash(), max_bytes=4000).open()
    assert (content.term_vote.term, content.base_index, content.last_index) == (2, last, last + 1)


def test_replaced_entries_and_old_term_votes_do_not_fill_it() -> None:
    disk = Disk()
    store = Store(disk, max_bytes=4000, segment_bytes=500)
    store.open()
    for term in range(1, 400):
        store.write([TermVote(term, "a"), entries(1, 2, term, 10)])
        assert store.disk_bytes <= 4000 + TERM_VOTE_RESERVE_BYTES
    content = Store(disk.crash(), max_bytes=4000).open()
    assert content.term_vote.term == 399 and [entry.term for entry in content.entries] == [399, 399]


def test_records_that_do_not_follow_change_nothing() -> None:
    disk = Disk()
    store = Store(disk)
    store.open()
    store.write([TermVote(1), entries(1, 3, 1)])
    operations_before = disk.operations
    with pytest.raises(StoreError, match="misfit: append: 6 does not follow"):
        store.write([TermVote(9, "x"), entries(2, 1, 9), Snapshot(2, 9, b""), entries(6, 1, 9)])
    assert disk.operations == operations_before
    store.write([entries(4, 1, 1)])
    content = Store(disk.crash()).open()
    assert content.term_vote.term == 1 and [entry.term for entry in content.entries] == [1, 1, 1, 1]


def test_other_format_version_is_rejected_with_its_number() -> None:
    disk = Disk()
    store = Store(disk)
    store.open()
    store.write([TermVote(1)])
    file = disk.names_now[segments.segment_name(1)]
    file.now = file.now[:8] + (2).to_bytes(4, "big") + file.now[12:]
    with pytest.raises(StoreError, match="version: .*format 2; this program reads 1"):
        Store(disk).open()


def test_records_are_small_and_missing_libraries_are_named(monkeypatch: pytest.MonkeyPatch) -> None:
    assert len(segments.encode_frame(Append((LogEntry(1, 1, "command", b"x" * 20),)), 1, 0)) <= 70
    assert limenotch.store.missing() == ()
    monkeypatch.setattr(limenotch.store, "NEEDED", ("crc32c", "not_there"))
    assert limenotch.store.missing() == ("not_there",)
    assert LOCK_FILE == "lock"
