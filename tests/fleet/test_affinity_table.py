"""The table of a single member: uses, ages, moves, removals."""

from __future__ import annotations

from limenotch.fleet.affinity import Tuning
from limenotch.fleet.affinity.api import AvailableEndpoints, DeduplicationWindow, Kind, State
from limenotch.fleet.affinity.core import Bindings
from limenotch.fleet.affinity.expiry import Lifetimes
from limenotch.fleet.affinity.tuning import Ages
from limenotch.fleet.interfaces import TimerFired
from tests.fleet.affinity_worlds import ENDPOINTS, FAST, single_member

SESSION = Kind.SESSION


def generation_of(bindings: Bindings, key: bytes, kind: Kind = SESSION) -> int:
    return bindings.table.rows.generation[bindings.table.rows.find(bindings.table.hash(kind, key))]


def test_a_use_refreshes_a_binding_and_moves_it_only_if_its_endpoint_was_removed() -> None:
    bindings = single_member()
    table = bindings.table
    assert table.record_use(1000.0, SESSION, b"k", "p1", State.OPEN)
    assert table.record_use(3000.0, SESSION, b"k", "p2", State.OPEN, charged=True)
    found = table.find(3500.0, SESSION, b"k")
    assert found == ("p1", "c1", "z1", State.OPEN, 500.0, 2500.0, True)
    bindings.handle(3500.0, AvailableEndpoints({"p2": ENDPOINTS["p2"], "p3": ENDPOINTS["p3"]}))
    assert table.find(3500.0, SESSION, b"k") is None
    assert table.record_use(3600.0, SESSION, b"k", "p2", State.OPEN)
    found = table.find(3600.0, SESSION, b"k")
    assert found is not None and found.endpoint == "p2" and found.charged
    assert generation_of(bindings, b"k") == 0


def test_an_endpoint_listed_again_has_none_of_its_old_bindings() -> None:
    bindings = single_member()
    bindings.table.record_use(1000.0, SESSION, b"k", "p1", State.OPEN)
    bindings.handle(1100.0, AvailableEndpoints({"p2": ENDPOINTS["p2"]}))
    bindings.handle(1200.0, AvailableEndpoints(ENDPOINTS))
    assert bindings.table.find(1300.0, SESSION, b"k") is None
    bindings.table.record_use(1300.0, SESSION, b"new", "p1", State.OPEN)
    assert bindings.table.find(1400.0, SESSION, b"new") is not None
    assert bindings.table.record_use(1400.0, SESSION, b"k", "p1", State.OPEN)
    row = bindings.table.rows.find(bindings.table.hash(SESSION, b"k"))
    assert bindings.table.rows.moves[row] == 0  # the same name: a new generation, not a move


def test_a_key_keeps_its_cell_and_zone_when_its_endpoint_is_removed() -> None:
    bindings = single_member()
    bindings.table.record_use(1000.0, Kind.KEY, b"k", "p1", State.OPEN)
    bindings.handle(1100.0, AvailableEndpoints({"p2": ENDPOINTS["p2"], "p3": ENDPOINTS["p3"]}))
    found = bindings.table.find(1200.0, Kind.KEY, b"k")
    assert found is not None and found[:3] == ("p1", "c1", "z1")
    bindings.table.record_use(1200.0, Kind.KEY, b"k", "p3", State.OPEN)
    found = bindings.table.find(1200.0, Kind.KEY, b"k")
    assert found is not None and found.zone == "z1"
    bindings.table.record_use(1300.0, Kind.KEY, b"k", "p2", State.OPEN)
    found = bindings.table.find(1300.0, Kind.KEY, b"k")
    assert found is not None and found[:3] == ("p2", "c1", "z1")


def test_a_single_member_expires_by_age_and_a_new_binding_outranks_the_old() -> None:
    bindings = single_member()
    table, idle_ms = bindings.table, FAST.sessions.open
    table.record_use(1000.0, SESSION, b"k", "p1", State.OPEN)
    assert table.find(1000.0 + idle_ms - 1, SESSION, b"k") is not None
    slow_clock_expiry = 1000.0 + idle_ms * (1 + 2 * FAST.drift)
    assert table.find(slow_clock_expiry, SESSION, b"k") is None
    table.expire(slow_clock_expiry + 100, 100)
    assert table.live_rows == 0
    assert table.record_use(slow_clock_expiry + 200, SESSION, b"k", "p2", State.OPEN)
    assert generation_of(bindings, b"k") == 1
    found = table.find(slow_clock_expiry + 200, SESSION, b"k")
    assert found is not None and found.endpoint == "p2"


def test_the_longest_lifetime_ends_a_binding_in_constant_use() -> None:
    bindings = single_member(Tuning(conn=Ages(open=1000, longest=5000)))
    for now in range(1000, 6000, 500):
        bindings.table.record_use(float(now), Kind.CONN, b"k", "p1", State.OPEN)
    bindings.table.watermark_ms = 0.0  # independent of the watermark: no use extends the lifetime
    assert bindings.table.find(6090.0, Kind.CONN, b"k") is not None
    bindings.table.record_use(6001.0, Kind.CONN, b"k", "p2", State.OPEN)
    assert generation_of(bindings, b"k", Kind.CONN) == 1


def test_a_closing_binding_has_its_own_idle_time() -> None:
    bindings = single_member()
    bindings.table.record_use(1000.0, SESSION, b"k", "p1", State.OPEN)
    bindings.table.record_use(1100.0, SESSION, b"k", "p1", State.CLOSING)
    bindings.table.record_use(1200.0, SESSION, b"k", "p1", State.OPEN)
    bindings.table.expire(1200.0 + 500 * 1.04 + 100, 100)
    assert bindings.table.live_rows == 0


def test_the_window_is_a_keys_idle_time_in_each_state() -> None:
    lifetimes = Lifetimes(FAST)
    assert lifetimes.idle_ms[Kind.KEY :: 4] == [3000, 3000, 5000, 3000]
    lifetimes.set_window(90_000.0)
    assert lifetimes.idle_ms[Kind.KEY :: 4] == [90_000] * 4
    lifetimes.set_window(90_000_000.0)
    assert lifetimes.max_lifetime_ms[Kind.KEY] == 90_000_000
    bindings = single_member()
    bindings.handle(1000.0, DeduplicationWindow(60_000.0))
    bindings.table.record_use(1000.0, Kind.KEY, b"k", "p1", State.OPENING)
    assert bindings.table.find(60_000.0, Kind.KEY, b"k") is not None


def test_a_sweep_skips_unused_rows() -> None:
    bindings = single_member()
    # The first endpoint has number 0, like the column of an unused row.
    bindings.table.record_use(1000.0, SESSION, b"k", "p1", State.OPEN)
    bindings.table.record_use(1000.0, SESSION, b"x", "p1", State.OPEN)
    bindings.table.remove(1000.0, bindings.table.rows.find(bindings.table.hash(SESSION, b"x")), "undo")
    bindings.handle(1100.0, AvailableEndpoints({"p2": ENDPOINTS["p2"]}))
    bindings.handle(1200.0, TimerFired(1))
    assert bindings.table.status()["ended"] == 1
    bindings.table.record_use(1300.0, SESSION, b"k", "p2", State.OPEN)
    assert bindings.table.status()["ended"] == 0


def test_a_row_that_changes_keeps_its_endpoint() -> None:
    """The endpoint's only row: its number must not be reused during the change."""
    bindings = single_member()
    bindings.table.record_use(1000.0, SESSION, b"k", "p3", State.OPENING)
    bindings.table.record_use(1001.0, SESSION, b"k", "p3", State.OPEN)
    bindings.table.record_use(1002.0, SESSION, b"other", "p2", State.OPEN)
    bindings.table.record_use(1003.0, SESSION, b"third", "p1", State.OPEN)
    assert [
        found and found.endpoint for found in (bindings.table.find(1004.0, SESSION, key) for key in (b"k", b"other"))
    ] == [
        "p3",
        "p2",
    ]


def test_a_binding_not_found_once_stays_removed() -> None:
    bindings = single_member()
    bindings.table.record_use(1000.0, SESSION, b"k", "p1", State.OPEN)
    assert bindings.table.find(5500.0, SESSION, b"k") is None
    bindings.table.watermark_ms = 0.0
    assert bindings.table.find(5501.0, SESSION, b"k") is None
