"""Simulated time: each fault does what its row in docs/fleet/lab.md says, and a seed gives one history."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limenotch.fleet.interfaces import (
    Carrier,
    LogLine,
    MessageReceived,
    SendToAddress,
    SetTimer,
    ShutdownStarted,
    Started,
    Stored,
    StoreFailed,
    TimerFired,
)
from limenotch.lab.fleet.faults import parse
from limenotch.lab.fleet.weather import NetworkConditions
from limenotch.lab.fleet.world import MAX_BUFFERED_DATAGRAMS, World, address
from limenotch.store.records import StoredLog

from .fake_parts import Beat, Keeper, Listener, Put, listeners

NODES = ("a", "b", "c")


def world(
    *faults: tuple[float, str], until: float = 5000, seed: int = 0, carrier: Carrier = Carrier.DATAGRAM, **more: Any
) -> World:
    made = World(NODES, listeners(*NODES, carrier=carrier), seed, **{"drift_ppm": 0.0, **more})
    for at, text in faults:
        made.schedule_fault(at, parse(text))
    made.run(until)
    return made


def said(made: World) -> list[tuple[float, str, str]]:
    return [(round(note.at_ms, 6), note.node, note.text) for note in made.observed_lines]


def numbers(made: World, at: str, frm: str) -> list[int]:
    part: Listener = made.component(at)
    return [number for sender, number in part.numbers if sender == frm]


def test_nobody_is_suspected_in_calm() -> None:
    made = world()
    assert not made.observed_lines and not made.counts
    assert numbers(made, "a", "b") == list(range(1, 51))
    traffic = made.nodes["a"].traffic
    assert traffic.by_tag == {"toy.beat": [traffic.messages, traffic.bytes]} and traffic.messages == 102
    assert made.bytes_per_second() == pytest.approx(traffic.bytes / 5)


def test_a_one_way_cut_is_one_way() -> None:
    made = world((1000, "cut a > b"), (3000, "heal"))
    assert said(made) == [(1300, "b", "suspects a"), (3001, "b", "a back")]
    assert numbers(made, "a", "b") == list(range(1, 51))


def test_a_cut_is_both_ways_and_between_sides_only() -> None:
    made = world((1000, "cut a | b c"), until=2000)
    assert {(node, text) for _, node, text in said(made)} == {
        ("a", "suspects b"),
        ("a", "suspects c"),
        ("b", "suspects a"),
        ("c", "suspects a"),
    }


def test_who_is_mute_hears_on() -> None:
    made = world((1000, "mute a"), (2000, "heal"), until=2100)
    assert said(made) == [
        (1300, "b", "suspects a"),
        (1300, "c", "suspects a"),
        (2001, "b", "a back"),
        (2001, "c", "a back"),
    ]
    assert numbers(made, "a", "b") == list(range(1, 22))


def test_a_paused_node_gets_its_timers_late_and_what_it_heard_after_them() -> None:
    made = world((1000.5, "pause a"), (2000.5, "wake a"), until=2050)
    assert said(made)[:2] == [(1400, "b", "suspects a"), (1400, "c", "suspects a")]
    woken = [one for one in said(made) if one[0] >= 2000]
    # Its own look comes first and finds the others silent; then what had waited in its buffer is heard.
    assert woken[:4] == [
        (2000.5, "a", "suspects b"),
        (2000.5, "a", "suspects c"),
        (2000.5, "a", "b back"),
        (2000.5, "a", "c back"),
    ]
    part: Listener = made.component("a")
    assert max(part.late) == pytest.approx(900.5) and part.late[-1] == max(part.late)
    first = world((1000.5, "pause a"), (2000.5, "wake a"), until=2050, wake_order="heard")
    assert [one for one in said(first) if one[1] == "a"] == []


def test_the_buffer_of_a_paused_node_is_bounded() -> None:
    made = world((1000, "pause a"), (20_000, "wake a"), until=20_000)
    assert made.counts["buffer full"] == 2 * 190 - MAX_BUFFERED_DATAGRAMS
    assert made.nodes["a"].buffered_datagrams == 0


def test_timers_fire_in_the_order_they_were_due_and_never_early() -> None:
    fired: list[int] = []

    class Timers:
        def handle(self, now: float, event: Any) -> list[Any]:
            if isinstance(event, Started):
                self.due = {token: now + after for token, after in enumerate((300, 100, 200, 100.1, 100))}
                return [SetTimer(at, token) for token, at in self.due.items()]
            assert isinstance(event, TimerFired) and now >= self.due[event.token]
            fired.append(event.token)
            return []

    for faults in ([], [(50.0, "pause a"), (400.0, "wake a")]):
        fired.clear()
        made = World("a", lambda *_: Timers(), drift_ppm=200)
        for at, text in faults:
            made.schedule_fault(at, parse(text))
        made.run(500)
        assert fired == [1, 4, 3, 2, 0]


def test_no_timer_is_early_by_the_last_digit_of_a_float() -> None:
    early: list[float] = []

    class Timers:
        def handle(self, now: float, event: Any) -> list[Any]:
            if isinstance(event, Started):
                self.due = [now + token * 7.3 for token in range(500)]
                return [SetTimer(at, token) for token, at in enumerate(self.due)]
            early.extend(one for one in [self.due[event.token] - now] if one > 0)
            return []

    made = World("abc", lambda *_: Timers(), drift_ppm=200_000)
    for node in made.nodes.values():
        node.clock_offset_ms = 0.0  # a clock that starts far on hides that digit, and so does one that runs nearly true
    made.run(5000)
    assert not early


def test_a_killed_process_is_gone_with_its_timers_and_its_next_life_is_another() -> None:
    starts: list[tuple[int, int]] = []

    def make(name: str, seed: int, process_epoch: int, held: StoredLog) -> Listener:
        if name == "c":
            starts.append((process_epoch, seed))
        return listeners(*NODES)(name, seed, process_epoch, held)

    made = World(NODES, make, drift_ppm=0)
    for at, text in ((1000, "kill c"), (2000, "start c")):
        made.schedule_fault(at, parse(text))
    made.run(1500)
    assert not made.alive("c") and made.component("c") is None and made.counts["no process"] > 0
    made.run(3000)
    assert [process_epoch for process_epoch, _ in starts] == [1, 2] and starts[0][1] != starts[1][1]
    assert made.component("c").beats == 11
    for at, text in ((3050, "kill c"), (3060, "start c")):
        made.schedule_fault(at, parse(text))
    made.run(3300)
    assert made.component("c").beats == 3  # the timer that the life before had set for 3100 is none of its own
    with pytest.raises(ValueError, match="already running"):
        made.start("c")


def test_leaving_is_told_and_what_is_said_then_arrives() -> None:
    class Parting(Listener):
        def handle(self, now: float, event: Any) -> list[Any]:
            if isinstance(event, ShutdownStarted):
                return [SendToAddress(address("a"), Beat(999), Carrier.STREAM), LogLine("leaves")]
            return super().handle(now, event)

    made = World(NODES, lambda name, *_: Parting(name, tuple(one for one in NODES if one != name)), drift_ppm=0)
    made.schedule_fault(1000, parse("leave c"))
    made.run(1100)
    assert said(made) == [(1000, "c", "leaves")] and not made.alive("c")
    assert numbers(made, "a", "c")[-1] == 999


def test_a_stream_is_in_order_and_silent_under_a_cut_until_it_heals() -> None:
    made = world(
        (0, "delay 1..90"), (0, "loss 10%"), (1000, "cut a > b"), (2000, "heal"), carrier=Carrier.STREAM, until=9000
    )
    heard = numbers(made, "b", "a")
    assert heard == list(range(1, len(heard) + 1)) and len(heard) > 80
    assert "lost" not in made.counts


def test_a_stream_cut_for_longer_than_its_patience_loses_what_it_held() -> None:
    made = world((1050, "cut a > b"), (2990, "heal"), carrier=Carrier.STREAM, stream_timeout_ms=1000, until=4000)
    heard = numbers(made, "b", "a")
    # Those of 1100 to 2000 were given up at 2100; the beat of then opened the next connection, which the heal found.
    missing = [number for number in range(1, heard[-1]) if number not in heard]
    assert missing == list(range(12, 22)) and heard[-1] > 22
    assert made.counts["stream broken"] == 10


def test_a_stream_to_a_process_that_dies_loses_what_is_in_it_and_goes_on_with_the_next() -> None:
    made = world((0, "slow a > b 150"), (1000, "kill b"), (1010, "start b"), carrier=Carrier.STREAM, until=1500)
    # The beat of 900 was in it; that of 1000 opens the next, and finds b's new process when it comes there.
    assert numbers(made, "b", "a")[0] == 11
    assert made.counts["stream broken"] == 1


@settings(max_examples=25)
@given(
    st.integers(0, 2**32),
    st.lists(
        st.sampled_from(
            [
                "loss 20%",
                "double 30%",
                "reorder 20%",
                "delay 1..60",
                "cut a | b c",
                "heal",
                "pause b",
                "wake b",
                "mute c",
                "slow a > b 70",
                "kill c",
                "clock a +3600s",
                "disk a full",
            ]
        ),
        max_size=6,
        unique=True,
    ),
)
def test_one_seed_is_one_history(seed: int, faults: list[str]) -> None:
    plan = [(300.0 * number, text) for number, text in enumerate(faults, 1)]
    assert world(*plan, until=2500, seed=seed).digest() == world(*plan, until=2500, seed=seed).digest()


def test_another_seed_is_another_history() -> None:
    plan = ((0.0, "loss 20%"), (0.0, "delay 1..60"))
    assert len({world(*plan, until=2500, seed=seed).digest() for seed in range(8)}) == 8


def test_monotonic_clocks_drift_apart_and_bear_a_step_of_the_wall_clock() -> None:
    made = world((1000, "clock a -3600s"), until=100_000, drift_ppm=200)
    rates = [made.nodes[name].clock_rate for name in NODES]
    assert len(set(rates)) == 3 and all(abs(rate - 1) <= 200e-6 for rate in rates)
    assert made.wall_clock_ms("a") - made.wall_clock_ms("b") == pytest.approx(-3_600_000, abs=40.1)
    assert not made.observed_lines


def test_shares_of_loss_and_doubles_are_as_asked_and_each_way_has_its_own_chances() -> None:
    weather = NetworkConditions(3)
    for text in ("loss 20%", "double 10%", "delay 5..40", "loss 0% b > a"):
        weather.apply(parse(text))
    fates = [weather.arrival_delays_ms(0.0, "a", "b") for _ in range(20_000)]
    assert sum(not fate for fate in fates) / 20_000 == pytest.approx(0.2, abs=0.01)
    assert sum(len(fate) == 2 for fate in fates) / 16_000 == pytest.approx(0.1, abs=0.01)
    assert all(5 <= delay <= 40 for fate in fates for delay in fate)
    other = NetworkConditions(3)
    for text in ("loss 20%", "double 10%", "delay 5..40", "loss 0% b > a"):
        other.apply(parse(text))
    mixed = []
    for _ in range(20_000):
        assert other.arrival_delays_ms(0.0, "b", "a")
        mixed.append(other.arrival_delays_ms(0.0, "a", "b"))
    assert mixed == fates


def test_a_plan_acts_when_it_is_due() -> None:
    weather = NetworkConditions(0, [(100.0, parse("cut a > b")), (200.0, parse("heal"))])
    passes = [bool(weather.arrival_delays_ms(now, "a", "b")) for now in (0.0, 99.9, 100.0, 199.9, 200.0)]
    assert passes == [True, True, False, False, True]


def test_what_no_node_can_do_is_refused() -> None:
    made = world(until=10)
    with pytest.raises(ValueError, match="unknown node 'z'"):
        made.apply_fault(parse("kill z"))
    with pytest.raises(ValueError, match="started_later"):
        World("ab", listeners("a", "b"), started_later="c")

    class Wrong:
        def handle(self, now: float, event: Any) -> list[Any]:
            return ["what"]

    with pytest.raises(TypeError, match="unknown action"):
        World("a", lambda *_: Wrong()).run(1)


def test_messages_to_strangers_are_counted() -> None:
    class Astray:
        def handle(self, now: float, event: Any) -> list[Any]:
            return (
                [SendToAddress(("z", 1), Beat(1)), SendToAddress(("a", 1), Beat(1))]
                if not isinstance(event, MessageReceived)
                else []
            )

    made = World("a", lambda *_: Astray())
    made.run(10)
    assert made.counts == {"no such address": 2}


# Disks


def keeper(*faults: tuple[float, str], puts: list[tuple[float, Put]], until: float = 1000, seed: int = 0) -> World:
    made = World("a", lambda name, seed, process_epoch, held: Keeper(held), seed, fsync_ms=10)
    for at, text in faults:
        made.schedule_fault(at, parse(text))
    for at, put in puts:
        made.kernel.at(at, made.deliver_event, "a", put)
    made.run(until)
    return made


def test_batches_are_kept_in_order_and_one_write_takes_all_that_wait() -> None:
    made = keeper(puts=[(5.0, Put()), (6.0, Put(2)), (7.0, Put(3))])
    assert said(made) == [(0, "a", "found 0"), (15, "a", "kept 1"), (25, "a", "kept 2"), (25, "a", "kept 3")]
    assert made.nodes["a"].disk.content.last_index == 6 and made.nodes["a"].disk.fsyncs == 2


@given(st.lists(st.tuples(st.integers(0, 200), st.integers(1, 4)), max_size=8), st.integers(0, 220), st.integers(0, 50))
def test_what_was_answered_survives_a_kill_and_the_rest_does_up_to_some_record(
    puts: list[tuple[int, int]],
    at: int,
    seed: int,
) -> None:
    made = keeper(
        (at + 0.5, "kill a"),
        (at + 50.5, "start a"),
        puts=[(float(when), Put(many)) for when, many in puts],
        until=at + 0.4,
        seed=seed,
    )
    part: Keeper = made.component("a")
    kept = [event.ticket for event in part.answers if isinstance(event, Stored)]
    asked = part.last
    ends = {ticket: part.batches.get(ticket + 1, asked + 1) - 1 for ticket in part.batches}
    promised = max((ends[ticket] for ticket in kept), default=0)
    made.run(at + 50.5)
    assert promised <= made.component("a").held.last_index <= asked
    assert [entry.index for entry in made.component("a").held.entries] == list(
        range(1, made.component("a").held.last_index + 1)
    )


def test_a_write_under_way_is_torn_at_any_record_by_a_kill_and_wiped_with_its_disk() -> None:
    ends = {
        keeper((15.0, "kill a"), (20.0, "start a"), puts=[(0.0, Put(2)), (12.0, Put(3))], seed=seed)
        .component("a")
        .held.last_index
        for seed in range(40)
    }
    assert ends == {2, 3, 4, 5}
    assert keeper((15.0, "wipe a"), (20.0, "start a"), puts=[(0.0, Put(2))]).component("a").held.last_index == 0


@pytest.mark.parametrize("state", ["full", "read-only", "torn"])
def test_a_disk_that_refuses_says_why_and_takes_again_when_it_is_well(state: str) -> None:
    made = keeper(
        (20.0, f"disk a {state}"),
        (100.0, "disk a ok"),
        puts=[(0.0, Put()), (30.0, Put(3)), (35.0, Put()), (120.0, Put(2))],
    )
    answers = made.component("a").answers
    assert answers == [Stored(1), StoreFailed(2, state), StoreFailed(3, state), Stored(4)]
    assert made.nodes["a"].disk.content.last_index == 3
    during = {
        keeper((20.0, f"disk a {state}"), puts=[(0.0, Put()), (30.0, Put(3))], seed=seed)
        .nodes["a"]
        .disk.content.last_index
        for seed in range(30)
    }
    assert during == ({1, 2, 3} if state == "torn" else {1})


def test_a_write_of_before_a_kill_answers_nobody() -> None:
    made = keeper((15.0, "kill a"), (16.0, "start a"), puts=[(12.0, Put()), (18.0, Put())])
    assert said(made)[2:] == [(28, "a", "kept 1")]


def test_a_slow_disk_is_slow() -> None:
    made = keeper((0.0, "disk a slow 300"), puts=[(10.0, Put())])
    assert said(made)[-1] == (310, "a", "kept 1")


def test_hundreds_of_nodes_run_with_few_events_each() -> None:
    """No clock is looked at: the count of events is what would grow if each message cost several."""
    names = tuple(f"n{number}" for number in range(200))

    def make(name: str, seed: int, process_epoch: int, held: StoredLog) -> Listener:
        place = names.index(name)
        return Listener(name, tuple(names[(place + step) % 200] for step in (1, 50, 120)))

    made = World(names, make)
    made.run(2000)
    sent = sum(node.traffic.messages for node in made.nodes.values())
    assert sent == pytest.approx(200 * 3 * 20, rel=0.1)
    assert made.kernel.events < sent + 200 * (20 + 40) * 1.1
