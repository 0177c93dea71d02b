"""The table by itself: sights, ages, moves, ends."""

from __future__ import annotations

from limenotch.fleet.affinity import Tuning
from limenotch.fleet.affinity.api import AvailableEndpoints, DeduplicationWindow, Kind, State
from limenotch.fleet.affinity.core import Bindings
from limenotch.fleet.affinity.expiry import Lifetimes
from limenotch.fleet.affinity.tuning import Ages
from limenotch.fleet.interfaces import TimerFired
from tests.fleet.affinity_worlds import ENDPOINTS, FAST, alone

S = Kind.SESSION


def gen(part: Bindings, key: bytes, kind: Kind = S) -> int:
    return part.table.rows.generation[part.table.rows.find(part.table.hash(kind, key))]


def test_a_sight_makes_it_young_and_another_provider_moves_it_only_when_its_own_went() -> None:
    part = alone()
    table = part.table
    assert table.record_use(1000.0, S, b"k", "p1", State.OPEN)
    assert table.record_use(3000.0, S, b"k", "p2", State.OPEN, charged=True)
    found = table.find(3500.0, S, b"k")
    assert found == ("p1", "c1", "z1", State.OPEN, 500.0, 2500.0, True)
    part.handle(3500.0, AvailableEndpoints({"p2": ENDPOINTS["p2"], "p3": ENDPOINTS["p3"]}))
    assert table.find(3500.0, S, b"k") is None
    assert table.record_use(3600.0, S, b"k", "p2", State.OPEN)
    found = table.find(3600.0, S, b"k")
    assert found is not None and found.endpoint == "p2" and found.charged
    assert gen(part, b"k") == 0


def test_a_provider_that_is_back_has_none_of_its_old_ones() -> None:
    part = alone()
    part.table.record_use(1000.0, S, b"k", "p1", State.OPEN)
    part.handle(1100.0, AvailableEndpoints({"p2": ENDPOINTS["p2"]}))
    part.handle(1200.0, AvailableEndpoints(ENDPOINTS))
    assert part.table.find(1300.0, S, b"k") is None
    part.table.record_use(1300.0, S, b"new", "p1", State.OPEN)
    assert part.table.find(1400.0, S, b"new") is not None
    assert part.table.record_use(1400.0, S, b"k", "p1", State.OPEN)
    row = part.table.rows.find(part.table.hash(S, b"k"))
    assert part.table.rows.moves[row] == 0  # the same name: it is bound to what it was bound to, and that has ended


def test_a_key_keeps_its_cell_and_zone_when_its_provider_went() -> None:
    part = alone()
    part.table.record_use(1000.0, Kind.KEY, b"k", "p1", State.OPEN)
    part.handle(1100.0, AvailableEndpoints({"p2": ENDPOINTS["p2"], "p3": ENDPOINTS["p3"]}))
    found = part.table.find(1200.0, Kind.KEY, b"k")
    assert found is not None and found[:3] == ("p1", "c1", "z1")
    part.table.record_use(1200.0, Kind.KEY, b"k", "p3", State.OPEN)
    found = part.table.find(1200.0, Kind.KEY, b"k")
    assert found is not None and found.zone == "z1"
    part.table.record_use(1300.0, Kind.KEY, b"k", "p2", State.OPEN)
    found = part.table.find(1300.0, Kind.KEY, b"k")
    assert found is not None and found[:3] == ("p2", "c1", "z1")


def test_alone_it_is_over_at_its_age_and_a_new_one_outranks_it() -> None:
    part = alone()
    table, idle = part.table, FAST.sessions.open
    table.record_use(1000.0, S, b"k", "p1", State.OPEN)
    assert table.find(1000.0 + idle - 1, S, b"k") is not None
    slow = 1000.0 + idle * (1 + 2 * FAST.drift)
    assert table.find(slow, S, b"k") is None
    table.expire(slow + 100, 100)
    assert table.live_rows == 0
    assert table.record_use(slow + 200, S, b"k", "p2", State.OPEN)
    assert gen(part, b"k") == 1
    found = table.find(slow + 200, S, b"k")
    assert found is not None and found.endpoint == "p2"


def test_the_longest_time_ends_what_is_seen_all_the_time() -> None:
    part = alone(Tuning(conn=Ages(open=1000, longest=5000)))
    for now in range(1000, 6000, 500):
        part.table.record_use(float(now), Kind.CONN, b"k", "p1", State.OPEN)
    part.table.watermark_ms = 0.0  # whatever others say: no sight of theirs changes that
    assert part.table.find(6090.0, Kind.CONN, b"k") is not None
    part.table.record_use(6001.0, Kind.CONN, b"k", "p2", State.OPEN)
    assert gen(part, b"k", Kind.CONN) == 1


def test_a_closing_one_has_its_own_idle_time() -> None:
    part = alone()
    part.table.record_use(1000.0, S, b"k", "p1", State.OPEN)
    part.table.record_use(1100.0, S, b"k", "p1", State.CLOSING)
    part.table.record_use(1200.0, S, b"k", "p1", State.OPEN)
    part.table.expire(1200.0 + 500 * 1.04 + 100, 100)
    assert part.table.live_rows == 0


def test_the_window_is_the_keys_time_in_each_state() -> None:
    lifetimes = Lifetimes(FAST)
    assert lifetimes.idle_ms[Kind.KEY :: 4] == [3000, 3000, 5000, 3000]
    lifetimes.set_window(90_000.0)
    assert lifetimes.idle_ms[Kind.KEY :: 4] == [90_000] * 4
    lifetimes.set_window(90_000_000.0)
    assert lifetimes.max_lifetime_ms[Kind.KEY] == 90_000_000
    part = alone()
    part.handle(1000.0, DeduplicationWindow(60_000.0))
    part.table.record_use(1000.0, Kind.KEY, b"k", "p1", State.OPENING)
    assert part.table.find(60_000.0, Kind.KEY, b"k") is not None


def test_a_sweep_passes_over_rows_that_are_none() -> None:
    part = alone()
    part.table.record_use(1000.0, S, b"k", "p1", State.OPEN)  # the first provider's number is that of an empty row
    part.table.record_use(1000.0, S, b"x", "p1", State.OPEN)
    part.table.remove(1000.0, part.table.rows.find(part.table.hash(S, b"x")), "undo")
    part.handle(1100.0, AvailableEndpoints({"p2": ENDPOINTS["p2"]}))
    part.handle(1200.0, TimerFired(1))
    assert part.table.status()["ended"] == 1
    part.table.record_use(1300.0, S, b"k", "p2", State.OPEN)
    assert part.table.status()["ended"] == 0


def test_a_row_that_changes_keeps_its_provider() -> None:
    """The only one of it: its number must not be another's meanwhile."""
    part = alone()
    part.table.record_use(1000.0, S, b"k", "p3", State.OPENING)
    part.table.record_use(1001.0, S, b"k", "p3", State.OPEN)
    part.table.record_use(1002.0, S, b"other", "p2", State.OPEN)
    part.table.record_use(1003.0, S, b"third", "p1", State.OPEN)
    assert [found and found.endpoint for found in (part.table.find(1004.0, S, key) for key in (b"k", b"other"))] == [
        "p3",
        "p2",
    ]


def test_what_was_found_to_be_over_stays_so() -> None:
    part = alone()
    part.table.record_use(1000.0, S, b"k", "p1", State.OPEN)
    assert part.table.find(5500.0, S, b"k") is None
    part.table.watermark_ms = 0.0
    assert part.table.find(5501.0, S, b"k") is None
