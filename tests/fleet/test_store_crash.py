"""The store after a fall at every single operation, an error at every single operation, and damage at every place."""

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

from .fake_disk import Disk, FellError, File, entries, histories, same, states

SMALL = 300  # bytes of a segment: a few batches


def play(store: Store, history: list[list[Record]]) -> int:
    """How many records were told to be on disk when the machine fell, or all."""
    told = 0
    try:
        store.open()
        for batch in history:
            store.write(batch)
            told += len(batch)
        store.close()
    except FellError:
        pass
    return told


def steps_of(history: list[list[Record]]) -> int:
    disk = Disk()
    play(Store(disk, segment_bytes=SMALL), history)
    return disk.steps


def falls_at(step: int) -> Callable[[int], None]:
    def before(number: int) -> None:
        if number >= step:
            raise FellError

    return before


@settings(max_examples=40)
@given(histories(), st.integers(0, 1 << 16))
def test_what_was_told_is_there_after_a_fall_at_any_operation(history: list[list[Record]], seed: int) -> None:
    all_states = states(history)
    for step in range(1, steps_of(history) + 1):
        disk = Disk(seed, before=falls_at(step))
        told = play(Store(disk, segment_bytes=SMALL), history)
        back = disk.fall()
        held = Store(back, segment_bytes=SMALL).open()
        assert any(same(held, state) for state in all_states[told:]), (step, told)


@settings(max_examples=25)
@given(histories(4), histories(3), st.integers(0, 1 << 16))
def test_falls_while_it_gets_up_lose_nothing(one: list[list[Record]], two: list[list[Record]], seed: int) -> None:
    """A fall, then another at any operation of the next opening and of what is written on from there."""
    chance = Random(seed)
    disk = Disk(seed, before=falls_at(chance.randint(1, steps_of(one))))
    play(Store(disk, segment_bytes=SMALL), one)
    base = disk.fall()
    held = Store(copy_of(base), segment_bytes=SMALL).open()
    more: list[list[Record]] = [[record] for record in (entries(held.last + 1, 2, 90), entries(held.last + 2, 1, 91))]
    expected = [held]
    for batch in more:
        expected.append(StoredLog(held.term_vote, held.snapshot, list(expected[-1].entries)))
        expected[-1].apply(batch[0])
    for step in range(1, 60):
        again = copy_of(base)
        again.before = falls_at(step)
        told = play(Store(again, segment_bytes=SMALL), more)
        found = Store(again.fall(), segment_bytes=SMALL).open()
        assert any(same(found, state) for state in expected[told:]), (step, told)


def copy_of(disk: Disk) -> Disk:
    made = Disk(disk.seed)
    made.names_now = {name: File(file.now, file.synced) for name, file in disk.names_now.items()}
    made.names_synced = dict(made.names_now)
    return made


@settings(max_examples=25)
@given(histories(), st.booleans(), st.integers(0, 1 << 16))
def test_an_error_at_any_operation_leaves_nothing_half_written(
    history: list[list[Record]], lasting: bool, seed: int
) -> None:
    """Told as an error, tried again when the disk is well; a fall right after it finds a state that was asked."""
    all_states = states(history)
    opening = Disk()
    Store(opening).open()
    for step in range(opening.steps + 1, steps_of(history) + 1):
        sick = True
        disk = Disk(seed)

        def before(number: int, step: int = step) -> None:
            if sick and (number >= step if lasting else number == step):  # noqa: B023
                raise OSError(errno.EIO, "sick")

        disk.before = before
        store = Store(disk, segment_bytes=SMALL)
        store.open()
        told = 0
        for batch in history:
            try:
                store.write(batch)
            except StoreError as error:
                assert error.reason == "torn"
                fallen = copy_of(disk.fall())
                held = Store(fallen, segment_bytes=SMALL).open()
                assert any(same(held, state) for state in all_states[told : told + len(batch) + 1])
                sick = False
                store.write(batch)
            told += len(batch)
        store.close()
        assert same(Store(copy_of(disk.fall()), segment_bytes=SMALL).open(), all_states[-1]), step


@settings(max_examples=40)
@given(histories(), st.booleans(), st.randoms(use_true_random=False))
def test_a_flipped_bit_is_never_read_as_good(history: list[list[Record]], closed: bool, chance: Random) -> None:
    """Refused, or cut within the last batch; with the mark of an orderly close, only the mark can be cut."""
    disk = Disk()
    store = Store(disk, segment_bytes=SMALL)
    store.open()
    for batch in history:
        store.write(batch)
    if closed:
        store.close()
    all_states = states(history)
    least = len(all_states) - 1 - (0 if closed else len(history[-1]))
    for name, file in disk.names_now.items():
        for at in range(len(file.now)):
            hurt = copy_of(disk)
            data = bytearray(file.now)
            data[at] ^= 1 << chance.randrange(8)
            hurt.names_now[name] = File(bytes(data), bytes(data))
            try:
                held = Store(hurt, segment_bytes=SMALL).open()
            except StoreError as error:
                assert error.reason in ("damaged", "version") and name in str(error)
            else:
                assert any(same(held, state) for state in all_states[least:]), (name, at)


def written(*batches: list[Record]) -> Disk:
    disk = Disk()
    store = Store(disk, segment_bytes=1000)
    store.open()
    for batch in batches:
        store.write(batch)
    return disk


def test_damage_before_a_later_batch_is_refused_by_file_and_offset() -> None:
    disk = written([entries(1, 1, 1)], [entries(2, 1, 1)])
    file = disk.names_now[segment_name(1)]
    file.now = file.now[:40] + b"\xff" + file.now[41:]
    with pytest.raises(StoreError, match=f"damaged: {segment_name(1)} at offset 24: .* later batch follows at") as told:
        Store(disk).open()
    assert told.value.reason == "damaged"


def test_a_torn_end_is_cut_and_told_and_written_over() -> None:
    disk = written([entries(1, 1, 1)], [entries(2, 1, 1), entries(3, 1, 1)])
    file = disk.names_now[segment_name(1)]
    whole = len(file.now)
    file.now = file.now[:-1]
    store = Store(disk)
    held = store.open()
    assert held.last == 2 and store.torn_end is not None and segment_name(1) in store.torn_end
    store.write([entries(3, 1, 1)])
    store.close()
    assert len(file.now) == whole + 20  # with the mark
    again = Store(disk)
    assert again.open().last == 3 and again.torn_end is None


def test_a_missing_segment_is_damage() -> None:
    disk = written([entries(1, 1, 1, 1000)], [entries(2, 1, 1, 1000)], [entries(3, 1, 1)])
    del disk.names_now[segment_name(2)]
    with pytest.raises(StoreError, match="2 is missing before it"):
        Store(disk).open()


@settings(max_examples=40)
@given(histories(), st.integers(0, 1 << 16))
def test_what_an_opening_found_after_a_kill_survives_the_machines_fall(history: list[list[Record]], seed: int) -> None:
    """A killed process leaves bytes in the system's memory; what the next one acts on must be on the disk."""
    for step in range(1, steps_of(history) + 1):
        disk = Disk(seed, before=falls_at(step))
        play(Store(disk, segment_bytes=SMALL), history)
        disk.before = lambda number: None
        disk._sync_folder()  # as RealFiles does when it takes the folder
        held = Store(disk, segment_bytes=SMALL).open()
        assert same(Store(disk.fall(), segment_bytes=SMALL).open(), held), step


@pytest.mark.parametrize("lasting", [False, True])
def test_a_snapshot_that_was_told_as_failed_does_not_come_back(lasting: bool) -> None:
    """Its name is on the disk, only the folder's sync failed; what is written instead must be what is found."""
    batch: list[Record] = [Snapshot(1, 1, b"s")]
    probe = written([entries(1, 2, 1)])
    before = probe.steps
    store = Store(probe, segment_bytes=1000)
    store.open()
    opened = probe.steps
    store.write(batch)
    names = [name for name in probe.names_now if name.startswith("snapshot")]
    assert names and opened > before
    for step in range(opened + 1, probe.steps + 1):
        disk, sick = written([entries(1, 2, 1)]), True
        start = disk.steps
        assert start == before

        def fails(number: int, step: int = step) -> None:
            if sick and (number >= step if lasting else number == step):  # noqa: B023
                raise OSError(errno.EIO, "sick")

        disk.before = fails
        store = Store(disk, segment_bytes=1000)
        store.open()
        snapped = True
        try:
            store.write(batch)
        except StoreError:
            snapped = False
        sick = False
        store.write([entries(2, 1, 7)])
        held = Store(disk.fall(), segment_bytes=1000).open()
        assert (held.snapshot is not None) == snapped, step
        assert held.entries[-1].term == 7


def test_a_bad_frame_with_a_later_segment_behind_is_damage() -> None:
    disk = written([entries(1, 1, 1, 1000)], [entries(2, 1, 1)])
    file = disk.names_now[segment_name(1)]
    file.now = file.now[:-1]
    with pytest.raises(StoreError, match="a later segment follows"):
        Store(disk).open()


def test_a_batch_torn_in_its_middle_is_cut_there() -> None:
    """Pages of one write reach the disk in any order: good frames of the same batch behind a hole prove nothing."""
    disk = written([entries(1, 1, 1)], [entries(2, 1, 1), entries(3, 1, 1), entries(4, 1, 1)])
    file = disk.names_now[segment_name(1)]
    at = len(file.now) * 5 // 8
    file.now = file.now[:at] + bytes(4) + file.now[at + 4 :]
    store = Store(disk)
    assert 1 <= store.open().last < 4 and store.torn_end is not None


def test_a_batch_told_is_synced() -> None:
    disk = written([entries(1, 1, 1)])
    syncs = disk.syncs
    assert all(file.synced == file.now for file in disk.names_now.values()) and syncs >= 2
