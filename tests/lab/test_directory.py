"""The directory's model: it lags, serves its callers in turn, goes down, and forgets."""

from __future__ import annotations

from limenotch.lab.model.chance import Seeds
from limenotch.lab.model.directory import Broken, Directory, DirectorySpec, Entry, Tell

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


def made() -> Directory:
    directory = Directory(SPEC, Seeds(1).stream("d"))
    for name in "ab":
        directory.known(Entry(name))
    return directory


def until(directory: Directory, end: float) -> list[tuple[float, Tell | Broken]]:
    told = []
    while (due := directory.due()) <= end:
        told += [(due, each) for each in directory.run(due)]
    return told


def test_each_kind_of_news_has_its_lag() -> None:
    directory = made()
    directory.ask(0.0, "s")
    (first,) = until(directory, 400.0)
    assert first == (400.0, Tell("s", True, (Entry("a"), Entry("b"))))
    directory.happens(1000.0, Entry("a", "draining"))
    directory.happens(1000.0, Entry("b", "gone"))
    directory.happens(1000.0, Entry("c", "ready"))
    directory.happens(1000.0, Entry("d", "gone"), silent=True)  # which it never knew
    news = [(at, each.entries[0].name) for at, each in until(directory, 1e5) if isinstance(each, Tell)]
    assert [name for _, name in news] == ["a", "c", "b"]
    assert [1050 <= news[0][0] < 1150, 1300 <= news[1][0] < 1400, 3000 <= news[2][0] < 3100] == [True] * 3
    assert sorted(directory.entries) == ["a", "c"] and directory.entries["a"].stage == "draining"


def test_callers_are_served_in_turn_and_fail_when_they_wait_too_long() -> None:
    directory = made()
    for number in range(4):
        directory.ask(0.0, number)
    told = until(directory, 5000.0)
    assert [(at, type(each), each.watcher) for at, each in told] == [
        (400.0, Tell, 0),
        (800.0, Tell, 1),
        (1000.0, Broken, 2),
        (1000.0, Broken, 3),
    ]


def test_down_ends_watches_and_calls_and_news_come_after() -> None:
    directory = made()
    directory.ask(0.0, "s")
    until(directory, 500.0)
    directory.go_down(600.0, True)
    assert until(directory, 600.0) == [(600.0, Broken("s"))]
    directory.ask(700.0, "s")
    assert until(directory, 700.0) == [(700.0, Broken("s"))]
    directory.happens(800.0, Entry("a", "gone"))
    assert until(directory, 5000.0) == []
    directory.go_down(5000.0, False)
    directory.ask(5000.0, "s")
    ((at, told),) = until(directory, 6000.0)
    assert at == 5400.0 and isinstance(told, Tell) and [entry.name for entry in told.entries] == ["b"]


def test_it_forgets_the_living_and_finds_them_again() -> None:
    directory = made()
    directory.ask(0.0, "s")
    until(directory, 500.0)
    directory.forget(600.0, "a", 1000.0)
    stages = [each.entries[0].stage for _, each in until(directory, 5000.0) if isinstance(each, Tell)]
    assert stages == ["gone", "ready"] and directory.entries["a"].stage == "ready"


def test_news_of_a_start_that_a_drain_has_overtaken() -> None:
    directory = made()
    directory.happens(0.0, Entry("n", "ready", started_ms=1.0))
    directory.happens(0.0, Entry("n", "draining", started_ms=1.0))
    until(directory, 5000.0)
    assert directory.entries["n"].stage == "draining"
