"""Randomized fault runs, full tables and fifty members against the affinity checker, which finds injected bugs."""

from __future__ import annotations

from typing import Any

import pytest
from msgspec.structs import replace

from limenotch.fleet import membership
from limenotch.lab.fleet.bindings_run import FAST, Run
from limenotch.lab.fleet.bindings_storms import crowded_run, fault_run
from tests.fleet.affinity_bugs import BUGS, InjectBug

KINDS = 4


@pytest.mark.parametrize("seed", [3, 4, 9, 13, 21])
def test_a_randomized_fault_run_violates_no_rule(seed: int) -> None:
    counts = fault_run(seed).checker.counts
    assert counts["dropped"] > 50
    assert counts["judged late"] > 1000


@pytest.mark.parametrize("seed", range(3))
def test_replicas_evict_the_same_keys_in_the_same_order(seed: int) -> None:
    run = crowded_run(seed)
    lists = [process.evicted_keys for process in run.checker.processes.values() if process is not None]
    assert len(lists[0]) > 20
    assert all(evicted == lists[0] for evicted in lists)


def test_fifty_members_find_and_remove_together() -> None:
    slower = replace(FAST, batch_ms=50, cover_ms=250, digest_ms=2000, tick_ms=50)
    run = Run([f"m{number}" for number in range(50)], 1, tuning=slower, members=membership.Tuning())
    run.wait_until_joined(10_000)
    for number in range(8):
        run.record_use(f"m{number * 6}", (number % KINDS, b"k%d" % number), f"p{number % 3}")
    run.world.run(run.world.now + run.checker.guarantees.propagation_ms)
    for name in run.names:
        assert all(run.find(name, key) is not None for key in run.keys), name
    guarantees = run.checker.guarantees
    longest_idle_ms = max(guarantees.idle_ms(kind, 1) for kind in range(KINDS))
    run.world.run(run.world.now + longest_idle_ms * (1 + 2 * guarantees.drift) + guarantees.margin_ms)
    run.sweep()
    assert run.checker.counts["dropped"] == 50 * len(run.keys)
    run.checker.check()


def test_the_same_seed_gives_the_same_run() -> None:
    assert fault_run(9, 1500).world.digest() == fault_run(9, 1500).world.digest()


@pytest.mark.parametrize(
    ("bug", "run", "seed"), [(bug, *found) for bug, found in BUGS.items()], ids=[bug.__name__ for bug in BUGS]
)
def test_injected_bugs_are_found(bug: InjectBug, run: Any, seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    bug(monkeypatch)
    with pytest.raises(AssertionError, match="none early|none late|no revival|honest ages|gone: |full: |that differs"):
        run(seed)
