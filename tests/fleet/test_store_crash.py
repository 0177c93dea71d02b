"""The store after a crash at every operation, an error at every operation, and damage at every position."""

from __future__ import annotations

import errno
from collections.abc import Callable
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limenotch.store.files import StoreError
from limenotch.store.log import Store
from limenotch.store.records import Record, Snapshot, StoredLog
from limenotch.store.segments import segment_name

from .fake_disk import CrashError, Disk, File, entries, histories, same_content, states

SEGMENT_BYTES = 300  # segment size in bytes: a few batches


def write_history(store: Store, history: list[list[Record]]) -> int:
    """The number of records that were reported as stored before the crash, or of all records."""
    stored_count = 0
    try:
        store.open()
        for batch in history:
            store.write(batch)
            stored_count += len(batch)
        store.close()
    except CrashError:
        pass
    return stored_count


def operations_of(history: list[list[Record]]) -> int:
    disk = Disk()
    write_history(Store(disk, segment_bytes=SEGMENT_BYTES), history)
    return disk.operations


def crash_at(step: int) -> Callable[[int], None]:
    def before(number: int) -> None:
        if number >= step:
            raise CrashError

    return before


@settings(max_examples=40)
@given(histories(), st.integers(0, 1 << 16))
def test_acknowledged_records_survive_a_crash_at_any_operation(history: list[list[Record]], seed: int) -> None:
    all_states = states(history)
    for step in range(1, operations_of(history) + 1):
        disk = Disk(seed, before_operation=crash_at(step))
        stored_count = write_history(Store(disk, segment_bytes=SEGMENT_BYTES), history)
        restarted = disk.crash()
        content = Store(restarted, segment_bytes=SEGMENT_BYTES).open()
        assert any(same_content(content, state) for state in all_states[stored_count:]), (step, stored_count)


@settings(max_examples=25)
@given(histories(4), histories(3), st.integers(0, 1 << 16))
def test_crash_during_recovery_loses_nothing(
    first_history: list[list[Record]], second_history: list[list[Record]], seed: int
) -> None:
    """A crash, then another at any operation of the next opening and of the writes after it."""
    random = Random(seed)
    disk = Disk(seed, before_operation=crash_at(random.randint(1, operations_of(first_history))))
    write_history(Store(disk, segment_bytes=SEGMENT_BYTES), first_history)
    base = disk.crash()
    content = Store(copy_of(base), segment_bytes=SEGMENT_BYTES).open()
    more: list[list[Record]] = [
        [record] for record in (entries(content.last_index + 1, 2, 90), entries(content.last_index + 2, 1, 91))
    ]
    expected = [content]
    for batch in more:
        expected.append(StoredLog(content.term_vote, content.snapshot, list(expected[-1].entries)))
        expected[-1].apply(batch[0])
    for step in range(1, 60):
        reopened = copy_of(base)
        reopened.before_operation = crash_at(step)
        stored_count = write_history(Store(reopened, segment_bytes=SEGMENT_BYTES), more)
        found = Store(reopened.crash(), segment_bytes=SEGMENT_BYTES).open()
        assert any(same_content(found, state) for state in expected[stored_count:]), (step, stored_count)


def copy_of(disk: Disk) -> Disk:
    made = Disk(disk.seed)
    made.names_now = {name: File(file.now, file.synced) for name, file in disk.names_now.items()}
    made.names_synced = dict(made.names_now)
    return made


@settings(max_examples=25)
@given(histories(), st.booleans(), st.integers(0, 1 << 16))
def test_error_at_any_operation_leaves_nothing_half_written(
    history: list[list[Record]], lasting: bool, seed: int
) -> None:
    """The write fails, and succeeds once the disk works; a crash right after the error leaves some requested state."""
    all_states = states(history)
    opening = Disk()
    Store(opening).open()
    for step in range(opening.operations + 1, operations_of(history) + 1):
        failing = True
        disk = Disk(seed)

        def before(number: int, step: int = step) -> None:
            if failing and (number >= step if lasting else number == step):  # noqa: B023
                raise OSError(errno.EIO, "injected I/O error")

        disk.before_operation = before
        store = Store(disk, segment_bytes=SEGMENT_BYTES)
        store.open()
        stored_count = 0
        for batch in history:
            try:
                store.write(batch)
            except StoreError as error:
                assert error.reason == "torn"
                crashed = copy_of(disk.crash())
                content = Store(crashed, segment_bytes=SEGMENT_BYTES).open()
                assert any(
                    same_content(content, state) for state in all_states[stored_count : stored_count + len(batch) + 1]
                )
                failing = False
                store.write(batch)
            stored_count += len(batch)
        store.close()
        assert same_content(Store(copy_of(disk.crash()), segment_bytes=SEGMENT_BYTES).open(), all_states[-1]), step


@settings(max_examples=40)
@given(histories(), st.booleans(), st.randoms(use_true_random=False))
def test_flipped_bit_is_never_read_as_valid(history: list[list[Record]], closed: bool, random: Random) -> None:
    """The store does not open, or drops part of the last batch; after an orderly close, only the mark of the close."""
    disk = Disk()
    store = Store(disk, segment_bytes=SEGMENT_BYTES)
    store.open()
    for batch in history:
        store.write(batch)
    if closed:
        store.close()
    all_states = states(history)
    lowest = len(all_states) - 1 - (0 if closed else len(history[-1]))
    for name, file in disk.names_now.items():
        for offset in range(len(file.now)):
            damaged = copy_of(disk)
            data = bytearray(file.now)
            data[offset] ^= 1 << random.randrange(8)
            damaged.names_now[name] = File(bytes(data), bytes(data))
            try:
                content = Store(damaged, segment_bytes=SEGMENT_BYTES).open()
            except StoreError as error:
                assert error.reason in ("damaged", "version") and name in str(error)
            else:
                assert any(same_content(content, state) for state in all_states[lowest:]), (name, offset)


def written(*batches: list[Record]) -> Disk:
    disk = Disk()
    store = Store(disk, segment_bytes=1000)
    store.open()
    for batch in batches:
        store.write(batch)
    return disk


def test_damage_before_a_later_batch_is_reported_with_file_and_offset() -> None:
    disk = written([entries(1, 1, 1)], [entries(2, 1, 1)])
    file = disk.names_now[segment_name(1)]
    file.now = file.now[:40] + b"\xff" + file.now[41:]
    with pytest.raises(
        StoreError, match=f"damaged: {segment_name(1)} at offset 24: .* later batch follows at"
    ) as raised:
        Store(disk).open()
    assert raised.value.reason == "damaged"


def test_torn_end_is_truncated_reported_and_overwritten() -> None:
    disk = written([entries(1, 1, 1)], [entries(2, 1, 1), entries(3, 1, 1)])
    file = disk.names_now[segment_name(1)]
    complete_size = len(file.now)
    file.now = file.now[:-1]
    store = Store(disk)
    content = store.open()
    assert content.last_index == 2 and store.torn_end is not None and segment_name(1) in store.torn_end
    store.write([entries(3, 1, 1)])
    store.close()
    assert len(file.now) == complete_size + 20  # with the mark of the close
    reopened = Store(disk)
    assert reopened.open().last_index == 3 and reopened.torn_end is None


def test_a_missing_segment_is_damage() -> None:
    disk = written([entries(1, 1, 1, 1000)], [entries(2, 1, 1, 1000)], [entries(3, 1, 1)])
    del disk.names_now[segment_name(2)]
    with pytest.raises(StoreError, match="2 is missing before it"):
        Store(disk).open()


@settings(max_examples=40)
@given(histories(), st.integers(0, 1 << 16))
def test_content_read_after_a_kill_survives_a_machine_crash(history: list[list[Record]], seed: int) -> None:
    """A killed process leaves bytes in the kernel's memory; what the next process acts on must be on the disk."""
    for step in range(1, operations_of(history) + 1):
        disk = Disk(seed, before_operation=crash_at(step))
        write_history(Store(disk, segment_bytes=SEGMENT_BYTES), history)
        disk.before_operation = lambda number: None
        disk._sync_folder()  # as RealFiles does when it locks the folder
        content = Store(disk, segment_bytes=SEGMENT_BYTES).open()
        assert same_content(Store(disk.crash(), segment_bytes=SEGMENT_BYTES).open(), content), step


@pytest.mark.parametrize("lasting", [False, True])
def test_snapshot_reported_as_failed_does_not_reappear(lasting: bool) -> None:
    """The snapshot's name is on the disk and only the sync of the folder failed; later writes must win."""
    batch: list[Record] = [Snapshot(1, 1, b"s")]
    probe = written([entries(1, 2, 1)])
    before = probe.operations
    store = Store(probe, segment_bytes=1000)
    store.open()
    opened = probe.operations
    store.write(batch)
    names = [name for name in probe.names_now if name.startswith("snapshot")]
    assert names and opened > before
    for step in range(opened + 1, probe.operations + 1):
        disk, failing = written([entries(1, 2, 1)]), True
        start = disk.operations
        assert start == before

        def fails(number: int, step: int = step) -> None:
            if failing and (number >= step if lasting else number == step):  # noqa: B023
                raise OSError(errno.EIO, "injected I/O error")

        disk.before_operation = fails
        store = Store(disk, segment_bytes=1000)
        store.open()
        snapshot_written = True
        try:
            store.write(batch)
        except StoreError:
            snapshot_written = False
        failing = False
        store.write([entries(2, 1, 7)])
        content = Store(disk.crash(), segment_bytes=1000).open()
        assert (content.snapshot is not None) == snapshot_written, step
        assert content.entries[-1].term == 7


def test_invalid_frame_before_a_later_segment_is_damage() -> None:
    disk = written([entries(1, 1, 1, 1000)], [entries(2, 1, 1)])
    file = disk.names_now[segment_name(1)]
    file.now = file.now[:-1]
    with pytest.raises(StoreError, match="a later segment follows"):
        Store(disk).open()


def test_batch_torn_in_its_middle_is_truncated_there() -> None:
    """Pages of one write reach the disk in any order: valid frames of the same batch after a hole prove nothing."""
    disk = written([entries(1, 1, 1)], [entries(2, 1, 1), entries(3, 1, 1), entries(4, 1, 1)])
    file = disk.names_now[segment_name(1)]
    offset = len(file.now) * 5 // 8
    file.now = file.now[:offset] + bytes(4) + file.now[offset + 4 :]
    store = Store(disk)
    assert 1 <= store.open().last_index < 4 and store.torn_end is not None


def test_acknowledged_batch_is_synced() -> None:
    disk = written([entries(1, 1, 1)])
    syncs = disk.syncs
    assert all(file.synced == file.now for file in disk.names_now.values()) and syncs >= 2
