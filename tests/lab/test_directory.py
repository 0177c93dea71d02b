"""The model of the directory: it lags, serves queries in turn, goes down, and loses entries."""

from __future__ import annotations

from limenotch.lab.model.chance import Seeds
from limenotch.lab.model.directory import Directory, DirectorySpec, Entry, ListUpdate, WatchFailed

SPEC = DirectorySpec(
    add_ms=(300, 300),
    drain_ms=(50, 50),
    notice_ms=(2000, 2000),
    silent_ms=(6000, 6000),
    period_ms=100,
    spread_ms=0,
    call_ms=400,
    timeout_ms=1000,
)


def make_directory() -> Directory:
    directory = Directory(SPEC, Seeds(1).stream("d"))
    for name in "ab":
        directory.add_initial(Entry(name))
    return directory


def run_until(directory: Directory, end: float) -> list[tuple[float, ListUpdate | WatchFailed]]:
    updates = []
    while (next_event_ms := directory.next_event_ms()) <= end:
        updates += [(next_event_ms, update) for update in directory.run(next_event_ms)]
    return updates


def test_each_kind_of_change_has_its_lag() -> None:
    directory = make_directory()
    directory.query(0.0, "s")
    (first,) = run_until(directory, 400.0)
    assert first == (400.0, ListUpdate("s", True, (Entry("a"), Entry("b"))))
    directory.schedule_change(1000.0, Entry("a", "draining"))
    directory.schedule_change(1000.0, Entry("b", "gone"))
    directory.schedule_change(1000.0, Entry("c", "ready"))
    directory.schedule_change(1000.0, Entry("d", "gone"), silent=True)  # it was never listed
    updates = [
        (at_ms, update.entries[0].name) for at_ms, update in run_until(directory, 1e5) if isinstance(update, ListUpdate)
    ]
    assert [name for _, name in updates] == ["a", "c", "b"]
    assert [1050 <= updates[0][0] < 1150, 1300 <= updates[1][0] < 1400, 3000 <= updates[2][0] < 3100] == [True] * 3
    assert sorted(directory.entries) == ["a", "c"] and directory.entries["a"].stage == "draining"


def test_queries_are_served_in_turn_and_fail_when_they_wait_too_long() -> None:
    directory = make_directory()
    for number in range(4):
        directory.query(0.0, number)
    updates = run_until(directory, 5000.0)
    assert [(at_ms, type(update), update.watcher) for at_ms, update in updates] == [
        (400.0, ListUpdate, 0),
        (800.0, ListUpdate, 1),
        (1000.0, WatchFailed, 2),
        (1000.0, WatchFailed, 3),
    ]


def test_going_down_ends_watches_and_queries_and_later_changes_are_learned() -> None:
    directory = make_directory()
    directory.query(0.0, "s")
    run_until(directory, 500.0)
    directory.set_down(600.0, True)
    assert run_until(directory, 600.0) == [(600.0, WatchFailed("s"))]
    directory.query(700.0, "s")
    assert run_until(directory, 700.0) == [(700.0, WatchFailed("s"))]
    directory.schedule_change(800.0, Entry("a", "gone"))
    assert run_until(directory, 5000.0) == []
    directory.set_down(5000.0, False)
    directory.query(5000.0, "s")
    ((at_ms, updates),) = run_until(directory, 6000.0)
    assert at_ms == 5400.0 and isinstance(updates, ListUpdate) and [entry.name for entry in updates.entries] == ["b"]


def test_a_lost_entry_of_a_running_provider_returns() -> None:
    directory = make_directory()
    directory.query(0.0, "s")
    run_until(directory, 500.0)
    directory.forget_endpoint(600.0, "a", 1000.0)
    stages = [update.entries[0].stage for _, update in run_until(directory, 5000.0) if isinstance(update, ListUpdate)]
    assert stages == ["gone", "ready"] and directory.entries["a"].stage == "ready"


def test_a_start_that_becomes_known_after_the_drain_is_ignored() -> None:
    directory = make_directory()
    directory.schedule_change(0.0, Entry("n", "ready", started_ms=1.0))
    directory.schedule_change(0.0, Entry("n", "draining", started_ms=1.0))
    run_until(directory, 5000.0)
    assert directory.entries["n"].stage == "draining"
