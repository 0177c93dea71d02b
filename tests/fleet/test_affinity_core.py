"""The affinity table in a fleet: expiry, partitions, pauses, restarts; mostly over the real membership component."""

from __future__ import annotations

import pytest

from limenotch.fleet.affinity import death_detection_ms, expiry_bound_ms
from limenotch.fleet.affinity.api import AvailableEndpoints, Kind, State
from limenotch.fleet.affinity.messages import LastSeenUpdate
from limenotch.fleet.interfaces import MessageReceived, SendToMember, ShutdownStarted
from limenotch.lab.fleet import faults
from limenotch.lab.fleet.members import TUNING
from limenotch.lab.fleet.world import address
from tests.fleet.affinity_worlds import ENDPOINTS, FAST, Fleet

IDLE = FAST.sessions.open


def joined_fleet(names: str = "abc", seed: int = 1) -> Fleet:
    fleet = Fleet(names, seed, real_membership=True)
    fleet.run(3000)
    assert all(fleet.table(name).complete for name in names)
    return fleet


def apply_fault(fleet: Fleet, text: str) -> None:
    fleet.world.apply_fault(faults.parse(text))


def removal_times(fleet: Fleet, key: bytes, max_ms: float, kind: Kind = Kind.SESSION) -> list[float]:
    """Time from now until each running member no longer finds the key."""
    start = fleet.world.now
    removed_ms = {name: 0.0 for name in fleet.names if fleet.world.alive(name) and not fleet.world.nodes[name].paused}
    while not all(removed_ms.values()):
        fleet.run(10)
        for name in removed_ms:
            if not removed_ms[name] and fleet.find(name, key, kind) is None:
                removed_ms[name] = fleet.world.now - start
        assert fleet.world.now - start < max_ms, removed_ms
    return list(removed_ms.values())


def test_all_members_remove_a_binding_within_the_bound() -> None:
    fleet = joined_fleet()
    guarantees = expiry_bound_ms(FAST, IDLE, 0.0, 3, 2.0)
    fleet.record_use("a", b"k")
    fleet.run(3000)
    fleet.record_use("b", b"k")  # the age counts from the last use at any member
    times = removal_times(fleet, b"k", 2 * IDLE)
    assert min(times) >= IDLE
    assert max(times) <= guarantees
    assert max(times) - min(times) <= FAST.cover_ms + 2 * FAST.tick_ms


def test_a_binding_used_at_one_member_is_retained_at_all() -> None:
    fleet = joined_fleet()
    fleet.record_use("a", b"k")
    for _ in range(40):
        fleet.run(IDLE / 10)
        fleet.record_use("c", b"k")
        assert fleet.bound_endpoints(b"k") == ["p1"] * 3
    sent = fleet.world.nodes["c"].traffic.by_tag["bi.sights"][0]
    assert sent < 40 * 2  # messages to two peers


def test_a_silent_member_blocks_removal_and_a_dead_one_does_not() -> None:
    fleet = joined_fleet()
    fleet.record_use("a", b"k")
    fleet.run(IDLE - 1000)
    apply_fault(fleet, "pause c")
    fleet.run(1500)
    assert fleet.bound_endpoints(b"k")[:2] == ["p1", "p1"]  # c may have used it
    death = death_detection_ms(TUNING, 3)
    times = removal_times(fleet, b"k", death)
    assert times
    assert any(seen.text == "c dead" for seen in fleet.world.observed_lines)


def test_a_pause_revives_nothing_and_loses_nothing() -> None:
    fleet = joined_fleet()
    fleet.record_use("a", b"old")
    fleet.run(500)
    apply_fault(fleet, "pause c")
    fleet.run(7000)
    fleet.record_use("a", b"new")
    fleet.run(200)
    assert fleet.bound_endpoints(b"old")[:2] == [None, None]
    apply_fault(fleet, "wake c")
    fleet.run(3000)
    assert any(seen.text == "fenced" for seen in fleet.world.observed_lines)
    assert fleet.bound_endpoints(b"old") == [None] * 3
    assert fleet.bound_endpoints(b"new") == ["p1"] * 3
    assert fleet.is_converged()


def test_partitioned_zones_continue_and_the_first_binding_wins_after_the_heal() -> None:
    fleet = joined_fleet("abcd")
    fleet.record_use("a", b"both")
    fleet.run(200)
    apply_fault(fleet, "cut a b | c d")
    fleet.run(6000)
    for _ in range(3):
        fleet.record_use("a", b"left", "p1")
        fleet.record_use("c", b"right", "p2")
        fleet.run(1000)
    fleet.record_use("b", b"one", "p1")
    fleet.record_use("d", b"one", "p2")
    fleet.run(200)
    assert fleet.bound_endpoints(b"one") == ["p1", "p1", "p2", "p2"]
    apply_fault(fleet, "heal")
    fleet.run(1000)
    for _ in range(5):  # clients go on
        fleet.record_use("a", b"left", "p1")
        fleet.record_use("c", b"right", "p2")
        fleet.record_use("b", b"one", "p1")
        fleet.run(1000)
    assert fleet.bound_endpoints(b"left") == ["p1"] * 4
    assert fleet.bound_endpoints(b"right") == ["p2"] * 4
    found = fleet.bound_endpoints(b"one")
    assert len(set(found)) == 1 and found[0] in ("p1", "p2")
    assert fleet.bound_endpoints(b"both") == [None] * 4
    assert all(fleet.table(name).complete for name in "abcd")
    assert fleet.is_converged()


def test_no_binding_returns_when_a_partition_heals_after_the_window() -> None:
    """Without uses since, the binding has expired on both sides, and neither side revives it."""
    fleet = joined_fleet("abcd")
    fleet.record_use("a", b"k", kind=Kind.KEY)
    fleet.run(200)
    apply_fault(fleet, "cut a b | c d")
    fleet.run(FAST.key.open + 8000)
    assert fleet.bound_endpoints(b"k", Kind.KEY) == [None] * 4
    apply_fault(fleet, "heal")
    for _ in range(60):
        fleet.run(100)
        assert fleet.bound_endpoints(b"k", Kind.KEY) == [None] * 4


@pytest.mark.parametrize("seed", range(4))
def test_a_removal_and_a_use_that_cross_converge(seed: int) -> None:
    fleet = joined_fleet(seed=seed)
    apply_fault(fleet, "delay 5..40")
    for share in (0.97, 1.0, 1.02, 1.04, 1.06, 1.1):
        key = b"%f" % share
        fleet.record_use("a", key)
        fleet.run(IDLE * share)
        fleet.record_use("b", key, "p2")
        fleet.run(400)
        assert len(set(fleet.bound_endpoints(key))) == 1
        assert None not in fleet.bound_endpoints(key)
    fleet.run(3000)
    assert fleet.is_converged()


def test_a_restarted_member_receives_the_table() -> None:
    fleet = joined_fleet()
    for number in range(50):
        fleet.record_use("abc"[number % 3], b"%d" % number)
    fleet.run(300)
    fleet.world.kill("c")
    fleet.run(100)
    fleet.record_use("a", b"meanwhile")
    fleet.world.start("c")
    fleet.run(1500)
    assert fleet.table("c").complete
    assert fleet.table("c").live_rows == 51


def test_messages_of_an_earlier_process_epoch_are_dropped() -> None:
    fleet = joined_fleet()
    actions = []
    fleet.record_use("c", b"k")
    for _ in range(10):
        fleet.run(10)
    batch = next(iter(fleet.bindings_of("c").context.update_sender.next_batches(fleet.now("c"))), None)
    assert batch is None  # sent already
    fleet.record_use("c", b"late")
    (batch,) = fleet.bindings_of("c").context.update_sender.next_batches(fleet.now("c"))
    fleet.world.kill("c")
    fleet.world.start("c")
    fleet.run(2000)
    for name in "ab":
        actions += fleet.bindings_of(name).handle(fleet.now(name), MessageReceived(address("c"), "c", batch))
    assert fleet.bound_endpoints(b"late") == [None] * 3
    assert fleet.table("a").counts["of a life that is over"] == 1


def test_a_removed_endpoint_has_no_bindings_at_once() -> None:
    fleet = joined_fleet()
    for number in range(300):
        fleet.record_use("abc"[number % 3], b"%d" % number, f"p{1 + number % 2}")
    fleet.record_use("a", b"key", "p1", kind=Kind.KEY)
    fleet.run(300)
    fleet.send_event(AvailableEndpoints({name: at for name, at in ENDPOINTS.items() if name != "p1"}))
    for number in range(300):
        assert set(fleet.bound_endpoints(b"%d" % number)) == {None if number % 2 == 0 else "p2"}
    assert fleet.bound_endpoints(b"key", Kind.KEY) == ["p1"] * 3
    fleet.run(250)
    assert fleet.table("a").status()["ended"] == 150
    fleet.record_use("b", b"0", "p3")  # the first use after the removal moves the binding, for all members
    fleet.run(300)
    assert fleet.bound_endpoints(b"0") == ["p3"] * 3
    fleet.send_event(AvailableEndpoints(ENDPOINTS))
    assert fleet.bound_endpoints(b"2") == [None] * 3


def test_a_leaving_member_has_sent_all_updates() -> None:
    fleet = joined_fleet()
    for number in range(2000):
        fleet.record_use("c", b"%d" % number)
    fleet.world.leave("c")
    fleet.run(500)
    assert fleet.table("a").live_rows == fleet.table("b").live_rows == 2000


def test_shutdown_sends_all_updates_in_one_turn() -> None:
    fleet = joined_fleet("ab")
    for number in range(3000):
        fleet.record_use("a", b"%d" % number)
    actions = fleet.bindings_of("a").handle(fleet.now("a"), ShutdownStarted())
    messages_sent = [act.message for act in actions if isinstance(act, SendToMember)]
    assert sum(len(batch.rows) for batch in messages_sent if isinstance(batch, LastSeenUpdate)) == 3000


@pytest.mark.parametrize("seed", range(3))
def test_members_converge_after_loss_and_delay(seed: int) -> None:
    fleet = joined_fleet("abcde", seed)
    apply_fault(fleet, "loss 20%")
    apply_fault(fleet, "delay 1..60")
    for number in range(400):
        fleet.record_use(
            "abcde"[number % 5],
            b"%d" % (number % 90),
            f"p{1 + number % 3}",
            (State.OPENING, State.OPEN, State.OPEN)[number % 3],
        )
        fleet.run(20)
    apply_fault(fleet, "loss 0%")
    apply_fault(fleet, "delay 1..1")
    fleet.run(2500)
    for number in range(90):
        assert len(set(fleet.bound_endpoints(b"%d" % number))) == 1
    fleet.run(2 * IDLE)
    assert [fleet.table(name).live_rows for name in "abcde"] == [0] * 5


def test_the_same_seed_gives_the_same_history() -> None:
    digests = set()
    for _ in range(2):
        fleet = joined_fleet(seed=7)
        for number in range(50):
            fleet.record_use("abc"[number % 3], b"%d" % number)
            fleet.run(33)
        fleet.run(1000)
        digests.add(fleet.world.digest())
    assert len(digests) == 1
