"""Simulated time: each fault has the effect documented in docs/fleet/lab.md, and a seed determines the history."""

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


def run_world(
    *faults: tuple[float, str], until: float = 5000, seed: int = 0, carrier: Carrier = Carrier.DATAGRAM, **more: Any
) -> World:
    world = World(NODES, listeners(*NODES, carrier=carrier), seed, **{"drift_ppm": 0.0, **more})
    for at, text in faults:
        world.schedule_fault(at, parse(text))
    world.run(until)
    return world


def logged(world: World) -> list[tuple[float, str, str]]:
    return [(round(line.at_ms, 6), line.node, line.text) for line in world.observed_lines]


def received_numbers(world: World, at: str, sender_name: str) -> list[int]:
    component: Listener = world.component(at)
    return [number for sender, number in component.numbers if sender == sender_name]


def test_no_node_is_suspected_without_faults() -> None:
    world = run_world()
    assert not world.observed_lines and not world.counts
    assert received_numbers(world, "a", "b") == list(range(1, 51))
    traffic = world.nodes["a"].traffic
    assert traffic.by_tag == {"toy.beat": [traffic.messages, traffic.bytes]} and traffic.messages == 102
    assert world.bytes_per_second() == pytest.approx(traffic.bytes / 5)


def test_a_one_way_partition_blocks_one_direction() -> None:
    world = run_world((1000, "cut a > b"), (3000, "heal"))
    assert logged(world) == [(1300, "b", "suspects a"), (3001, "b", "a back")]
    assert received_numbers(world, "a", "b") == list(range(1, 51))


def test_a_partition_blocks_both_directions_between_its_sides_only() -> None:
    world = run_world((1000, "cut a | b c"), until=2000)
    assert {(node, text) for _, node, text in logged(world)} == {
        ("a", "suspects b"),
        ("a", "suspects c"),
        ("b", "suspects a"),
        ("c", "suspects a"),
    }


def test_a_muted_node_still_receives_messages() -> None:
    world = run_world((1000, "mute a"), (2000, "heal"), until=2100)
    assert logged(world) == [
        (1300, "b", "suspects a"),
        (1300, "c", "suspects a"),
        (2001, "b", "a back"),
        (2001, "c", "a back"),
    ]
    assert received_numbers(world, "a", "b") == list(range(1, 22))


def test_a_resumed_node_handles_overdue_timers_before_buffered_messages() -> None:
    world = run_world((1000.5, "pause a"), (2000.5, "wake a"), until=2050)
    assert logged(world)[:2] == [(1400, "b", "suspects a"), (1400, "c", "suspects a")]
    after_pause = [line for line in logged(world) if line[0] >= 2000]
    # Its overdue timer fires first and finds the peers silent; then it receives the buffered messages.
    assert after_pause[:4] == [
        (2000.5, "a", "suspects b"),
        (2000.5, "a", "suspects c"),
        (2000.5, "a", "b back"),
        (2000.5, "a", "c back"),
    ]
    component: Listener = world.component("a")
    assert max(component.late) == pytest.approx(900.5) and component.late[-1] == max(component.late)
    messages_first = run_world((1000.5, "pause a"), (2000.5, "wake a"), until=2050, wake_order="heard")
    assert [line for line in logged(messages_first) if line[1] == "a"] == []


def test_the_buffer_of_a_paused_node_is_bounded() -> None:
    world = run_world((1000, "pause a"), (20_000, "wake a"), until=20_000)
    assert world.counts["buffer full"] == 2 * 190 - MAX_BUFFERED_DATAGRAMS
    assert world.nodes["a"].buffered_datagrams == 0


def test_timers_fire_in_order_of_deadline_and_never_early() -> None:
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
        world = World("a", lambda *_: Timers(), drift_ppm=200)
        for at, text in faults:
            world.schedule_fault(at, parse(text))
        world.run(500)
        assert fired == [1, 4, 3, 2, 0]


def test_float_rounding_makes_no_timer_early() -> None:
    early_by: list[float] = []

    class Timers:
        def handle(self, now: float, event: Any) -> list[Any]:
            if isinstance(event, Started):
                self.due = [now + token * 7.3 for token in range(500)]
                return [SetTimer(at, token) for token, at in enumerate(self.due)]
            early_by.extend(early_ms for early_ms in [self.due[event.token] - now] if early_ms > 0)
            return []

    world = World("abc", lambda *_: Timers(), drift_ppm=200_000)
    for node in world.nodes.values():
        node.clock_offset_ms = 0.0  # a large clock offset hides the rounding error, and so does a low drift
    world.run(5000)
    assert not early_by


def test_a_killed_process_loses_its_timers_and_a_restart_has_the_next_epoch() -> None:
    starts: list[tuple[int, int]] = []

    def make_component(name: str, seed: int, process_epoch: int, stored_log: StoredLog) -> Listener:
        if name == "c":
            starts.append((process_epoch, seed))
        return listeners(*NODES)(name, seed, process_epoch, stored_log)

    world = World(NODES, make_component, drift_ppm=0)
    for at, text in ((1000, "kill c"), (2000, "start c")):
        world.schedule_fault(at, parse(text))
    world.run(1500)
    assert not world.alive("c") and world.component("c") is None and world.counts["no process"] > 0
    world.run(3000)
    assert [process_epoch for process_epoch, _ in starts] == [1, 2] and starts[0][1] != starts[1][1]
    assert world.component("c").beats == 11
    for at, text in ((3050, "kill c"), (3060, "start c")):
        world.schedule_fault(at, parse(text))
    world.run(3300)
    assert world.component("c").beats == 3  # the timer that the previous process set for 3100 does not fire
    with pytest.raises(ValueError, match="already running"):
        world.start("c")


def test_a_leaving_node_receives_the_shutdown_and_its_last_messages_arrive() -> None:
    class Parting(Listener):
        def handle(self, now: float, event: Any) -> list[Any]:
            if isinstance(event, ShutdownStarted):
                return [SendToAddress(address("a"), Beat(999), Carrier.STREAM), LogLine("leaves")]
            return super().handle(now, event)

    world = World(NODES, lambda name, *_: Parting(name, tuple(peer for peer in NODES if peer != name)), drift_ppm=0)
    world.schedule_fault(1000, parse("leave c"))
    world.run(1100)
    assert logged(world) == [(1000, "c", "leaves")] and not world.alive("c")
    assert received_numbers(world, "a", "c")[-1] == 999


def test_a_stream_is_in_order_and_blocked_during_a_partition() -> None:
    world = run_world(
        (0, "delay 1..90"), (0, "loss 10%"), (1000, "cut a > b"), (2000, "heal"), carrier=Carrier.STREAM, until=9000
    )
    received = received_numbers(world, "b", "a")
    assert received == list(range(1, len(received) + 1)) and len(received) > 80
    assert "lost" not in world.counts


def test_a_stream_blocked_for_longer_than_its_timeout_loses_its_messages() -> None:
    world = run_world((1050, "cut a > b"), (2990, "heal"), carrier=Carrier.STREAM, stream_timeout_ms=1000, until=4000)
    received = received_numbers(world, "b", "a")
    # The beats of 1100 to 2000 were lost at 2100; the next beat opened a new connection, which the heal unblocked.
    missing = [number for number in range(1, received[-1]) if number not in received]
    assert missing == list(range(12, 22)) and received[-1] > 22
    assert world.counts["stream broken"] == 10


def test_a_stream_to_a_killed_process_loses_its_messages_and_reconnects_to_the_next() -> None:
    world = run_world((0, "slow a > b 150"), (1000, "kill b"), (1010, "start b"), carrier=Carrier.STREAM, until=1500)
    # The beat of 900 was in flight; the beat of 1000 opens a new connection and reaches b's new process.
    assert received_numbers(world, "b", "a")[0] == 11
    assert world.counts["stream broken"] == 1


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
def test_equal_seeds_give_equal_histories(seed: int, faults: list[str]) -> None:
    schedule = [(300.0 * number, text) for number, text in enumerate(faults, 1)]
    assert run_world(*schedule, until=2500, seed=seed).digest() == run_world(*schedule, until=2500, seed=seed).digest()


def test_different_seeds_give_different_histories() -> None:
    schedule = ((0.0, "loss 20%"), (0.0, "delay 1..60"))
    assert len({run_world(*schedule, until=2500, seed=seed).digest() for seed in range(8)}) == 8


def test_monotonic_clocks_drift_and_ignore_a_step_of_the_wall_clock() -> None:
    world = run_world((1000, "clock a -3600s"), until=100_000, drift_ppm=200)
    rates = [world.nodes[name].clock_rate for name in NODES]
    assert len(set(rates)) == 3 and all(abs(rate - 1) <= 200e-6 for rate in rates)
    assert world.wall_clock_ms("a") - world.wall_clock_ms("b") == pytest.approx(-3_600_000, abs=40.1)
    assert not world.observed_lines


def test_shares_of_loss_and_duplication_and_separate_random_sequences_per_link() -> None:
    conditions = NetworkConditions(3)
    for text in ("loss 20%", "double 10%", "delay 5..40", "loss 0% b > a"):
        conditions.apply(parse(text))
    delays = [conditions.arrival_delays_ms(0.0, "a", "b") for _ in range(20_000)]
    assert sum(not copies for copies in delays) / 20_000 == pytest.approx(0.2, abs=0.01)
    assert sum(len(copies) == 2 for copies in delays) / 16_000 == pytest.approx(0.1, abs=0.01)
    assert all(5 <= delay <= 40 for copies in delays for delay in copies)
    second_conditions = NetworkConditions(3)
    for text in ("loss 20%", "double 10%", "delay 5..40", "loss 0% b > a"):
        second_conditions.apply(parse(text))
    mixed = []
    for _ in range(20_000):
        assert second_conditions.arrival_delays_ms(0.0, "b", "a")
        mixed.append(second_conditions.arrival_delays_ms(0.0, "a", "b"))
    assert mixed == delays


def test_a_scheduled_fault_takes_effect_at_its_time() -> None:
    conditions = NetworkConditions(0, [(100.0, parse("cut a > b")), (200.0, parse("heal"))])
    passes = [bool(conditions.arrival_delays_ms(now, "a", "b")) for now in (0.0, 99.9, 100.0, 199.9, 200.0)]
    assert passes == [True, True, False, False, True]


def test_invalid_nodes_and_actions_are_rejected() -> None:
    world = run_world(until=10)
    with pytest.raises(ValueError, match="unknown node 'z'"):
        world.apply_fault(parse("kill z"))
    with pytest.raises(ValueError, match="started_later"):
        World("ab", listeners("a", "b"), started_later="c")

    class Wrong:
        def handle(self, now: float, event: Any) -> list[Any]:
            return ["what"]

    with pytest.raises(TypeError, match="unknown action"):
        World("a", lambda *_: Wrong()).run(1)


def test_messages_to_unknown_addresses_are_counted() -> None:
    class Astray:
        def handle(self, now: float, event: Any) -> list[Any]:
            return (
                [SendToAddress(("z", 1), Beat(1)), SendToAddress(("a", 1), Beat(1))]
                if not isinstance(event, MessageReceived)
                else []
            )

    world = World("a", lambda *_: Astray())
    world.run(10)
    assert world.counts == {"no such address": 2}


def run_keeper(*faults: tuple[float, str], puts: list[tuple[float, Put]], until: float = 1000, seed: int = 0) -> World:
    world = World("a", lambda name, seed, process_epoch, stored_log: Keeper(stored_log), seed, fsync_ms=10)
    for at, text in faults:
        world.schedule_fault(at, parse(text))
    for at, put in puts:
        world.kernel.schedule(at, world.deliver_event, "a", put)
    world.run(until)
    return world


def test_batches_are_stored_in_order_and_one_fsync_covers_all_waiting_batches() -> None:
    world = run_keeper(puts=[(5.0, Put()), (6.0, Put(2)), (7.0, Put(3))])
    assert logged(world) == [(0, "a", "found 0"), (15, "a", "kept 1"), (25, "a", "kept 2"), (25, "a", "kept 3")]
    assert world.nodes["a"].disk.content.last_index == 6 and world.nodes["a"].disk.fsyncs == 2


@given(st.lists(st.tuples(st.integers(0, 200), st.integers(1, 4)), max_size=8), st.integers(0, 220), st.integers(0, 50))
def test_confirmed_records_survive_a_kill_and_a_prefix_of_the_others_does(
    puts: list[tuple[int, int]], at: int, seed: int
) -> None:
    world = run_keeper(
        (at + 0.5, "kill a"),
        (at + 50.5, "start a"),
        puts=[(float(when), Put(count)) for when, count in puts],
        until=at + 0.4,
        seed=seed,
    )
    component: Keeper = world.component("a")
    stored = [event.ticket for event in component.answers if isinstance(event, Stored)]
    requested = component.last
    last_indices = {ticket: component.batches.get(ticket + 1, requested + 1) - 1 for ticket in component.batches}
    confirmed = max((last_indices[ticket] for ticket in stored), default=0)
    world.run(at + 50.5)
    assert confirmed <= world.component("a").held.last_index <= requested
    assert [entry.index for entry in world.component("a").held.entries] == list(
        range(1, world.component("a").held.last_index + 1)
    )


def test_a_kill_tears_a_write_at_any_record_and_a_wipe_erases_all() -> None:
    last_indices = {
        run_keeper((15.0, "kill a"), (20.0, "start a"), puts=[(0.0, Put(2)), (12.0, Put(3))], seed=seed)
        .component("a")
        .held.last_index
        for seed in range(40)
    }
    assert last_indices == {2, 3, 4, 5}
    assert run_keeper((15.0, "wipe a"), (20.0, "start a"), puts=[(0.0, Put(2))]).component("a").held.last_index == 0


@pytest.mark.parametrize("state", ["full", "read-only", "torn"])
def test_a_failing_disk_reports_its_reason_and_stores_again_when_it_works(state: str) -> None:
    world = run_keeper(
        (20.0, f"disk a {state}"),
        (100.0, "disk a ok"),
        puts=[(0.0, Put()), (30.0, Put(3)), (35.0, Put()), (120.0, Put(2))],
    )
    answers = world.component("a").answers
    assert answers == [Stored(1), StoreFailed(2, state), StoreFailed(3, state), Stored(4)]
    assert world.nodes["a"].disk.content.last_index == 3
    during = {
        run_keeper((20.0, f"disk a {state}"), puts=[(0.0, Put()), (30.0, Put(3))], seed=seed)
        .nodes["a"]
        .disk.content.last_index
        for seed in range(30)
    }
    assert during == ({1, 2, 3} if state == "torn" else {1})


def test_a_write_from_before_a_kill_is_not_confirmed() -> None:
    world = run_keeper((15.0, "kill a"), (16.0, "start a"), puts=[(12.0, Put()), (18.0, Put())])
    assert logged(world)[2:] == [(28, "a", "kept 1")]


def test_a_slow_disk_delays_its_confirmation() -> None:
    world = run_keeper((0.0, "disk a slow 300"), puts=[(10.0, Put())])
    assert logged(world)[-1] == (310, "a", "kept 1")


def test_hundreds_of_nodes_run_with_few_events_each() -> None:
    """The test counts events instead of time: several events per message would raise the count."""
    names = tuple(f"n{number}" for number in range(200))

    def make_component(name: str, seed: int, process_epoch: int, stored_log: StoredLog) -> Listener:
        position = names.index(name)
        return Listener(name, tuple(names[(position + step) % 200] for step in (1, 50, 120)))

    world = World(names, make_component)
    world.run(2000)
    sent = sum(node.traffic.messages for node in world.nodes.values())
    assert sent == pytest.approx(200 * 3 * 20, rel=0.1)
    assert world.kernel.events < sent + 200 * (20 + 40) * 1.1
