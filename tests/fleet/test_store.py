"""The store on a well disk, on a full one, and on real files."""

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

from .fake_disk import Disk, entries, histories, same, states


@settings(max_examples=60)
@given(histories())
def test_what_is_written_is_found(history: list[list[Record]]) -> None:
    disk = Disk()
    for batch in history:
        store = Store(disk, segment_bytes=300)
        store.open()
        store.write(batch)
        store.close()
    assert same(Store(disk).open(), states(history)[-1]) and not disk.handles.keys() - {disk.opened}


def test_real_files_hold_what_was_written_and_one_process(tmp_path: Path) -> None:
    files = RealFiles(tmp_path / "a" / "store")
    store = Store(files, segment_bytes=200)
    assert same(store.open(), StoredLog())
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
    held = store.open()
    assert held.snapshot == Snapshot(9, 3, b"state", ("a",)) and [one.index for one in held.entries] == [10, 11, 12]
    assert held.term_vote == TermVote(3, "b") and store.torn_end is None
    store.close()
    files.release()


def test_a_folder_removed_under_the_store_is_told(tmp_path: Path) -> None:
    files = RealFiles(tmp_path / "store")
    store = Store(files)
    store.open()
    store.write([entries(1, 1, 1)])
    shutil.rmtree(tmp_path / "store")
    for _ in range(2):
        with pytest.raises(StoreError) as told:
            store.write([entries(2, 1, 1)])
        assert told.value.reason == "removed"
    store.close()
    files.release()


@pytest.mark.skipif(os.geteuid() == 0, reason="root may write anywhere")
def test_a_folder_that_may_not_be_written_is_read_only(tmp_path: Path) -> None:
    (tmp_path / "store").mkdir(mode=0o500)
    with pytest.raises(StoreError) as told:
        RealFiles(tmp_path / "store")
    assert told.value.reason == "read-only"


@pytest.mark.parametrize(
    ("number", "why"), [(errno.ENOSPC, "full"), (errno.EDQUOT, "full"), (errno.EROFS, "read-only"), (errno.EIO, "torn")]
)
def test_errors_of_the_disk_have_words(number: int, why: str) -> None:
    disk = Disk()
    store = Store(disk)
    store.open()

    def fails(_: int) -> None:
        raise OSError(number, os.strerror(number))

    disk.before = fails
    with pytest.raises(StoreError) as told:
        store.write([TermVote(1)])
    assert told.value.reason == why


def test_a_full_disk_refuses_and_goes_on_when_there_is_room() -> None:
    disk = Disk()
    store = Store(disk, segment_bytes=400)
    store.open()
    store.write([entries(1, 2, 1)])
    used = sum(len(file.now) for file in disk.names_now.values())
    for room in range(used, used + 60):
        disk.room = room
        with pytest.raises(StoreError, match="full"):
            store.write([entries(3, 2, 1, 100)])
        assert sum(len(file.now) for file in disk.names_now.values()) == used  # given back at once
    disk.room = 1 << 20
    store.write([entries(3, 1, 2)])
    assert [one.term for one in Store(disk.fall()).open().entries] == [1, 1, 2]


def test_its_own_bound_comes_first_ballots_pass_and_a_snapshot_makes_room() -> None:
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
    held = Store(disk.fall(), max_bytes=4000).open()
    assert (held.term_vote.term, held.base, held.last) == (2, last, last + 1)


def test_replaced_entries_and_old_ballots_do_not_fill_it() -> None:
    disk = Disk()
    store = Store(disk, max_bytes=4000, segment_bytes=500)
    store.open()
    for term in range(1, 400):
        store.write([TermVote(term, "a"), entries(1, 2, term, 10)])
        assert store.disk_bytes <= 4000 + TERM_VOTE_RESERVE_BYTES
    held = Store(disk.fall(), max_bytes=4000).open()
    assert held.term_vote.term == 399 and [one.term for one in held.entries] == [399, 399]


def test_what_does_not_follow_changes_nothing() -> None:
    disk = Disk()
    store = Store(disk)
    store.open()
    store.write([TermVote(1), entries(1, 3, 1)])
    steps = disk.steps
    with pytest.raises(StoreError, match="misfit: append: 6 does not follow"):
        store.write([TermVote(9, "x"), entries(2, 1, 9), Snapshot(2, 9, b""), entries(6, 1, 9)])
    assert disk.steps == steps
    store.write([entries(4, 1, 1)])
    held = Store(disk.fall()).open()
    assert held.term_vote.term == 1 and [one.term for one in held.entries] == [1, 1, 1, 1]


def test_another_format_is_refused_by_number() -> None:
    disk = Disk()
    store = Store(disk)
    store.open()
    store.write([TermVote(1)])
    file = disk.names_now[segments.segment_name(1)]
    file.now = file.now[:8] + (2).to_bytes(4, "big") + file.now[12:]
    with pytest.raises(StoreError, match="version: .*format 2; this program reads 1"):
        Store(disk).open()


def test_a_record_is_small_and_a_library_that_is_missing_has_a_name(monkeypatch: pytest.MonkeyPatch) -> None:
    assert len(segments.encode_frame(Append((LogEntry(1, 1, "command", b"x" * 20),)), 1, 0)) <= 70
    assert limenotch.store.missing() == ()
    monkeypatch.setattr(limenotch.store, "NEEDED", ("crc32c", "not_there"))
    assert limenotch.store.missing() == ("not_there",)
    assert LOCK_FILE == "lock"
