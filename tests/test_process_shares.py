"""The file in which the processes of one sidecar share the limits, and what each may hold by it."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

import pytest

from limenotch.net.memory_limits import process_needs
from limenotch.net.process_shares import (
    LOCK_TIMEOUT_S,
    MAX_PROCESSES,
    STANDBY_DESCRIPTORS,
    UNLIMITED,
    ProcessShares,
)
from limenotch.resource_limits import fitting_share, left_over, lowered

from .helpers.processes import run_command

MB = 10**6


def join(folder: Path) -> ProcessShares:
    shares = ProcessShares.join(str(folder / "shares"))
    assert shares is not None
    return shares


def running(folder: Path, memory: int, limit: int, start: int = 30 * MB) -> ProcessShares:
    """A process that has started, with this memory; 10 MB are left over for one that starts."""
    shares = join(folder)
    assert shares.try_start()
    own = shares.own
    own.memory, own.limit_memory, own.start_memory, own.standby_memory = memory, limit, start, 10 * MB
    own.descriptors, own.limit_descriptors, own.start_descriptors = 500, 1024, 256
    own.least_memory, own.least_descriptors = 30 * MB, 64
    shares.publish()
    return shares


def test_the_first_process_starts_at_once_and_the_next_waits_until_its_needs_are_known(tmp_path: Path) -> None:
    first, second = join(tmp_path), join(tmp_path)
    assert first.try_start() and first.own.memory == UNLIMITED
    assert not second.try_start() and second.may_ever_start()
    first.close()
    assert second.try_start()


def test_a_process_starts_only_when_the_others_leave_room_for_it_and_for_the_next_one(tmp_path: Path) -> None:
    old = running(tmp_path, 110 * MB, 150 * MB + 1)
    new = join(tmp_path)
    assert new.try_start() and new.own.memory == 30 * MB
    third = join(tmp_path)
    assert not third.try_start() and third.own.memory == 10 * MB and third.own.wanted_memory == 30 * MB
    old.own.memory, old.own.descriptors = 50 * MB, 400
    old.publish()
    new.own.limit_memory, new.own.start_memory, new.own.limit_descriptors = 150 * MB, 30 * MB, 1024
    new.publish()
    assert third.try_start()


def test_a_process_that_lacks_descriptors_waits_for_them(tmp_path: Path) -> None:
    old = running(tmp_path, 50 * MB, 192 * MB)
    old.own.descriptors = 1024 - 256 - STANDBY_DESCRIPTORS + 1
    old.publish()
    new = join(tmp_path)
    assert not new.try_start() and new.may_ever_start()
    old.own.descriptors -= 1
    old.publish()
    assert new.try_start()


def test_a_process_that_can_never_start_beside_another_is_told_so(tmp_path: Path) -> None:
    running(tmp_path, 50 * MB, 64 * MB)
    new = join(tmp_path)
    assert not new.try_start() and not new.may_ever_start()
    new.stand_by()
    assert new.own.wanted_memory == 0 and not new.own.running


def test_a_process_that_was_killed_counts_no_more(tmp_path: Path) -> None:
    code = f"from limenotch.net.process_shares import ProcessShares as P; s = P.join({str(tmp_path / 'shares')!r}); "
    ended = run_command(
        [sys.executable, "-c", f"{code}import os; print(s.try_start(), flush=True); os.kill(os.getpid(), 9)"]
    )
    assert ended.stdout == "True\n" and ended.returncode == -signal.SIGKILL
    own = join(tmp_path)
    assert own.others() == [] and own.try_start()


def test_a_process_that_stopped_with_the_lock_holds_up_nobody_for_long(tmp_path: Path) -> None:
    stopped, other = join(tmp_path), join(tmp_path)
    assert stopped.lock()
    assert not other.try_start()
    stopped.unlock()
    assert other.try_start()
    assert LOCK_TIMEOUT_S < 0.05


@pytest.mark.parametrize("content", [b"", b"x", b"\xff" * 5000])
def test_a_file_that_was_left_or_damaged_is_used(content: bytes, tmp_path: Path) -> None:
    (tmp_path / "shares").write_bytes(content)
    first, second = join(tmp_path), join(tmp_path)
    assert first.others()[0].process_id == first.own.process_id and second.try_start()


def test_without_a_usable_file_or_a_free_record_nothing_is_shared(tmp_path: Path) -> None:
    assert ProcessShares.join(str(tmp_path / "no folder" / "shares")) is None
    (tmp_path / "link").symlink_to(tmp_path / "elsewhere")
    assert ProcessShares.join(str(tmp_path / "link")) is None
    taken = [join(tmp_path) for _ in range(MAX_PROCESSES)]
    assert ProcessShares.join(str(tmp_path / "shares")) is None and len(taken[0].others()) == MAX_PROCESSES - 1


def test_others_get_what_they_want_only_if_enough_is_left_to_serve() -> None:
    assert fitting_share(room=100, wanted=30, serving=60, least=40) == 70
    assert fitting_share(room=100, wanted=50, serving=60, least=40) == 100
    assert fitting_share(room=20, wanted=0, serving=60, least=40) == 40


def test_what_a_process_leaves_over_is_enough_for_the_next_one_if_others_measured_more(tmp_path: Path) -> None:
    old, new = running(tmp_path, 40 * MB, 150 * MB), join(tmp_path)
    assert new.try_start()
    new.own.limit_memory, new.own.limit_descriptors, new.own.standby_memory = 150 * MB, 1024, 9 * MB
    new.own.memory = 150 * MB - old.own.memory - 30 * MB - left_over(new.own, new.others())
    new.publish()
    old.own.descriptors = 400
    old.publish()
    assert join(tmp_path).try_start()


def test_a_share_is_given_up_only_when_it_is_not_held_any_more() -> None:
    assert lowered(granted=100, target=50, held=80) == 80
    assert lowered(granted=70, target=50, held=80) == 70
    assert lowered(granted=100, target=50, held=40) == 50


@pytest.mark.parametrize("base_mb", [18, 24, 40])
def test_what_two_processes_need_is_told_by_the_least_limits(base_mb: int) -> None:
    def beyond(limit_mb: int) -> list[float]:
        needs = process_needs(limit_mb * MB, base_mb * MB, 10 * MB, 4 * MB)
        return [needed for _, needed in needs.beyond(limit_mb * MB)]

    replaceable, strictly, both = beyond(1)
    assert replaceable < strictly < both
    for number, needed in enumerate((replaceable, strictly, both)):
        assert len(beyond(int(needed / MB))) == 3 - number and len(beyond(int(needed / MB) + 1)) == 2 - number
    both_fit = process_needs(both, base_mb * MB, 10 * MB, 4 * MB)
    assert 2 * both_fit.serving + both_fit.reserved <= both * 1.0001


def test_a_process_starts_beside_one_that_hangs_in_its_start_when_the_one_that_knew_the_needs_has_ended(
    tmp_path: Path,
) -> None:
    old, hanging, third = running(tmp_path, 60 * MB, 150 * MB), join(tmp_path), join(tmp_path)
    assert hanging.try_start() and not third.try_start()
    old.close()
    assert third.try_start() and third.own.memory == 30 * MB
