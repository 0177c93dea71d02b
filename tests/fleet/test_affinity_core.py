"""Bindings together: forgetting, cuts, pauses, lives, two zones; mostly over the real membership."""

from __future__ import annotations

import pytest

from limenotch.fleet.affinity import death_ms, forget_ms
from limenotch.fleet.affinity.api import Kind, Providers, State
from limenotch.fleet.affinity.messages import Sights
from limenotch.fleet.interfaces import MessageReceived, SendToMember, ShutdownStarted
from limenotch.lab.fleet import faults
from limenotch.lab.fleet.members import TUNING
from limenotch.lab.fleet.world import address
from tests.fleet.affinity_worlds import QUICK, THERE, Fleet

IDLE = QUICK.sessions.open


def real(names: str = "abc", seed: int = 1) -> Fleet:
    fleet = Fleet(names, seed, real=True)
    fleet.run(3000)
    assert all(fleet.table(name).whole for name in names)
    return fleet


def fault(fleet: Fleet, text: str) -> None:
    fleet.world.apply_fault(faults.parse(text))


def gone_at(fleet: Fleet, key: bytes, most: float, kind: Kind = Kind.SESSION) -> list[float]:
    """When each that runs stopped finding it, from now."""
    start = fleet.world.now
    at = {name: 0.0 for name in fleet.names if fleet.world.alive(name) and not fleet.world.nodes[name].paused}
    while not all(at.values()):
        fleet.run(10)
        for name in at:
            if not at[name] and fleet.find(name, key, kind) is None:
                at[name] = fleet.world.now - start
        assert fleet.world.now - start < most, at
    return list(at.values())


def test_all_forget_together_within_the_stated_time() -> None:
    fleet = real()
    stated = forget_ms(QUICK, IDLE, 0.0, 3, 2.0)
    fleet.see("a", b"k")
    fleet.run(3000)
    fleet.see("b", b"k")  # the age is of the last sight anywhere
    times = gone_at(fleet, b"k", 2 * IDLE)
    assert min(times) >= IDLE
    assert max(times) <= stated
    assert max(times) - min(times) <= QUICK.cover_ms + 2 * QUICK.tick_ms


def test_one_that_is_seen_at_one_place_is_kept_at_all() -> None:
    fleet = real()
    fleet.see("a", b"k")
    for _ in range(40):
        fleet.run(IDLE / 10)
        fleet.see("c", b"k")
        assert fleet.who(b"k") == ["p1"] * 3
    sent = fleet.world.nodes["c"].traffic.by_tag["bi.sights"][0]
    assert sent < 40 * 2  # batches to two others


def test_a_silent_member_blocks_forgetting_and_a_dead_one_does_not() -> None:
    fleet = real()
    fleet.see("a", b"k")
    fleet.run(IDLE - 1000)
    fault(fleet, "pause c")
    fleet.run(1500)
    assert fleet.who(b"k")[:2] == ["p1", "p1"]  # c may have seen it
    death = death_ms(TUNING, 3)
    times = gone_at(fleet, b"k", death)
    assert times
    assert any(seen.text == "c dead" for seen in fleet.world.observed_lines)


def test_a_pause_revives_nothing_and_loses_nothing() -> None:
    fleet = real()
    fleet.see("a", b"old")
    fleet.run(500)
    fault(fleet, "pause c")
    fleet.run(7000)
    fleet.see("a", b"new")
    fleet.run(200)
    assert fleet.who(b"old")[:2] == [None, None]
    fault(fleet, "wake c")
    fleet.run(3000)
    assert any(seen.text == "fenced" for seen in fleet.world.observed_lines)
    assert fleet.who(b"old") == [None] * 3
    assert fleet.who(b"new") == ["p1"] * 3
    assert fleet.same()


def test_two_zones_go_on_apart_and_the_first_to_bind_wins_at_the_heal() -> None:
    fleet = real("abcd")
    fleet.see("a", b"both")
    fleet.run(200)
    fault(fleet, "cut a b | c d")
    fleet.run(6000)
    for _ in range(3):
        fleet.see("a", b"left", "p1")
        fleet.see("c", b"right", "p2")
        fleet.run(1000)
    fleet.see("b", b"one", "p1")
    fleet.see("d", b"one", "p2")
    fleet.run(200)
    assert fleet.who(b"one") == ["p1", "p1", "p2", "p2"]
    fault(fleet, "heal")
    fleet.run(1000)
    for _ in range(5):  # consumers go on
        fleet.see("a", b"left", "p1")
        fleet.see("c", b"right", "p2")
        fleet.see("b", b"one", "p1")
        fleet.run(1000)
    assert fleet.who(b"left") == ["p1"] * 4
    assert fleet.who(b"right") == ["p2"] * 4
    found = fleet.who(b"one")
    assert len(set(found)) == 1 and found[0] in ("p1", "p2")
    assert fleet.who(b"both") == [None] * 4
    assert all(fleet.table(name).whole for name in "abcd")
    assert fleet.same()


def test_heal_after_the_whole_window() -> None:
    """Nobody has seen it since: what either side held is over, and neither side brings it back."""
    fleet = real("abcd")
    fleet.see("a", b"k", kind=Kind.KEY)
    fleet.run(200)
    fault(fleet, "cut a b | c d")
    fleet.run(QUICK.key.open + 8000)
    assert fleet.who(b"k", Kind.KEY) == [None] * 4
    fault(fleet, "heal")
    for _ in range(60):
        fleet.run(100)
        assert fleet.who(b"k", Kind.KEY) == [None] * 4


@pytest.mark.parametrize("seed", range(4))
def test_a_drop_and_a_sight_that_cross_end_the_same_everywhere(seed: int) -> None:
    fleet = real(seed=seed)
    fault(fleet, "delay 5..40")
    for part in (0.97, 1.0, 1.02, 1.04, 1.06, 1.1):
        key = b"%f" % part
        fleet.see("a", key)
        fleet.run(IDLE * part)
        fleet.see("b", key, "p2")
        fleet.run(400)
        assert len(set(fleet.who(key))) == 1
        assert None not in fleet.who(key)
    fleet.run(3000)
    assert fleet.same()


def test_a_killed_one_comes_back_empty_and_has_the_table() -> None:
    fleet = real()
    for number in range(50):
        fleet.see("abc"[number % 3], b"%d" % number)
    fleet.run(300)
    fleet.world.kill("c")
    fleet.run(100)
    fleet.see("a", b"meanwhile")
    fleet.world.start("c")
    fleet.run(1500)
    assert fleet.table("c").whole
    assert fleet.table("c").live == 51


def test_an_older_lifes_words_are_not_taken() -> None:
    fleet = real()
    out = []
    fleet.see("c", b"k")
    for _ in range(10):
        fleet.run(10)
    batch = next(iter(fleet.of("c").ground.teller.batches(fleet.now("c"))), None)
    assert batch is None  # told already
    fleet.see("c", b"late")
    (batch,) = fleet.of("c").ground.teller.batches(fleet.now("c"))
    fleet.world.kill("c")
    fleet.world.start("c")
    fleet.run(2000)
    for name in "ab":
        out += fleet.of(name).handle(fleet.now(name), MessageReceived(address("c"), "c", batch))
    assert fleet.who(b"late") == [None] * 3
    assert fleet.table("a").counts["of a life that is over"] == 1


def test_a_provider_that_went_has_no_bindings_anywhere_at_once() -> None:
    fleet = real()
    for number in range(300):
        fleet.see("abc"[number % 3], b"%d" % number, f"p{1 + number % 2}")
    fleet.see("a", b"key", "p1", kind=Kind.KEY)
    fleet.run(300)
    fleet.say(Providers({name: at for name, at in THERE.items() if name != "p1"}))
    for number in range(300):
        assert set(fleet.who(b"%d" % number)) == {None if number % 2 == 0 else "p2"}
    assert fleet.who(b"key", Kind.KEY) == ["p1"] * 3
    fleet.run(250)
    assert fleet.table("a").status()["ended"] == 150
    fleet.see("b", b"0", "p3")  # the agreed way afterwards: whoever comes first moves it, for all
    fleet.run(300)
    assert fleet.who(b"0") == ["p3"] * 3
    fleet.say(Providers(THERE))
    assert fleet.who(b"2") == [None] * 3


def test_who_leaves_has_told_all() -> None:
    fleet = real()
    for number in range(2000):
        fleet.see("c", b"%d" % number)
    fleet.world.leave("c")
    fleet.run(500)
    assert fleet.table("a").live == fleet.table("b").live == 2000


def test_leave_tells_everything_in_one_turn() -> None:
    fleet = real("ab")
    for number in range(3000):
        fleet.see("a", b"%d" % number)
    out = fleet.of("a").handle(fleet.now("a"), ShutdownStarted())
    told = [act.message for act in out if isinstance(act, SendToMember)]
    assert sum(len(batch.rows) for batch in told if isinstance(batch, Sights)) == 3000


@pytest.mark.parametrize("seed", range(3))
def test_under_loss_and_delay_all_are_the_same_in_the_end(seed: int) -> None:
    fleet = real("abcde", seed)
    fault(fleet, "loss 20%")
    fault(fleet, "delay 1..60")
    for number in range(400):
        fleet.see(
            "abcde"[number % 5],
            b"%d" % (number % 90),
            f"p{1 + number % 3}",
            (State.OPENING, State.OPEN, State.OPEN)[number % 3],
        )
        fleet.run(20)
    fault(fleet, "loss 0%")
    fault(fleet, "delay 1..1")
    fleet.run(2500)
    for number in range(90):
        assert len(set(fleet.who(b"%d" % number))) == 1
    fleet.run(2 * IDLE)
    assert [fleet.table(name).live for name in "abcde"] == [0] * 5


def test_the_same_seed_gives_the_same_history() -> None:
    digests = set()
    for _ in range(2):
        fleet = real(seed=7)
        for number in range(50):
            fleet.see("abc"[number % 3], b"%d" % number)
            fleet.run(33)
        fleet.run(1000)
        digests.add(fleet.world.digest())
    assert len(digests) == 1
