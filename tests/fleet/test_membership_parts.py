"""Table, suspicion, gossip queue, health and settings of membership, each by itself."""

from __future__ import annotations

import re
from itertools import product
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from limenotch.fleet.interfaces import (
    MAX_DATAGRAM_BYTES,
    LogLine,
    MemberChanged,
    MessageReceived,
    SendToAddress,
    SetTimer,
    ShutdownStarted,
    Started,
    TimerFired,
)
from limenotch.fleet.membership import Membership, State, Tuning
from limenotch.fleet.membership.context import MAX_CORRECTIONS_PER_PERIOD
from limenotch.fleet.membership.dissemination import GossipQueue
from limenotch.fleet.membership.health import PROBE_ANSWERED, PROBE_UNCONFIRMED, Health
from limenotch.fleet.membership.messages import (
    MAX_HOST_LENGTH,
    MAX_PROCESS_EPOCH,
    Ack,
    Claim,
    Gossip,
    Ping,
    PingReq,
    SenderInfo,
    TableRequest,
    TableResponse,
)
from limenotch.fleet.membership.states import FINAL, PRECEDENCE, IncarnationRule, Standing, supersedes
from limenotch.fleet.membership.suspicion import Suspicion
from limenotch.fleet.membership.table import ClaimOutcome, MemberTable
from limenotch.fleet.membership.timer_queue import TimerQueue

STANDINGS: list[Standing] = list(product(range(2), State, range(3)))
ADDRESS = ("h", 1)


def claim(name: str = "b", state: int = 0, process_epoch: int = 1, incarnation: int = 0, by: str = "") -> Claim:
    return Claim(name, state, ADDRESS, process_epoch, incarnation, by)


def test_states_are_totally_ordered() -> None:
    assert set(PRECEDENCE) == set(product(State, State))
    for claimed, other in product(STANDINGS, STANDINGS):
        # Incarnations of dead and left members are ignored.
        final = claimed[0] == other[0] and claimed[1] is other[1] and claimed[1] in FINAL
        assert supersedes(claimed, other) + supersedes(other, claimed) == (claimed != other and not final)
    for claimed, other, three in product(STANDINGS, repeat=3):
        assert not (supersedes(claimed, other) and supersedes(other, three)) or supersedes(claimed, three)


def test_no_claim_revives_an_ended_process_epoch() -> None:
    for ended, state in product(FINAL, (State.ALIVE, State.SUSPECT)):
        assert PRECEDENCE[ended, state] is IncarnationRule.NEVER
        assert supersedes((2, state, 0), (1, ended, 9))


@given(st.permutations(STANDINGS), st.integers(1, len(STANDINGS)))
def test_the_order_of_claims_does_not_matter(standings: list[Standing], count: int) -> None:
    some = standings[:count]

    def end(order: list[Standing]) -> Standing:
        table = MemberTable(5)
        for process_epoch, state, incarnation in order:
            table.apply(
                claim(state=list(State).index(state), process_epoch=process_epoch, incarnation=incarnation), 0.0
            )
        process_epoch, state, incarnation = table["b"].standing
        return (process_epoch, state, 0 if state in FINAL else incarnation)

    assert end(some) == end(list(reversed(some))) == end(some + some)


def test_a_death_of_an_older_incarnation_keeps_the_known_incarnation() -> None:
    table = MemberTable(5)
    table.apply(claim(incarnation=3), 0.0)
    table.apply(claim(state=2, incarnation=1), 1.0)
    assert table["b"].standing == (1, State.DEAD, 3)


def test_a_full_table_evicts_the_member_dead_for_longest() -> None:
    table = MemberTable(3)
    for number, name in enumerate("abc"):
        table.apply(claim(name, state=2 if name != "b" else 0), float(number))
    assert table.apply(claim("d"), 9.0) is ClaimOutcome.NEW
    assert sorted(table.members) == ["b", "c", "d"]
    table.apply(claim("e"), 9.0)
    assert table.apply(claim("f"), 9.0) is ClaimOutcome.TABLE_FULL


def test_independent_confirmations_shorten_a_suspicion() -> None:
    suspicion = Suspicion(100.0, "a", 1000.0, 3000.0, 3)
    times = [suspicion.expires_at_ms]
    for by in ("a", "c", "c", "d", "e", "f"):
        if suspicion.confirm(by):
            times.append(suspicion.expires_at_ms)
    assert times[0] == 3100.0 and times[-1] == pytest.approx(1100.0) and len(times) == 4
    assert times == sorted(times, reverse=True)
    suspicion.restart(5000.0)
    assert suspicion.expires_at_ms == pytest.approx(6000.0)
    assert Suspicion(0.0, "a", 1000.0, 3000.0, 0).expires_at_ms == 1000.0  # no member can confirm


def test_health_stays_within_its_bounds() -> None:
    health = Health(3)
    health.adjust(PROBE_ANSWERED)
    assert health.score == 0
    for _ in range(9):
        health.adjust(PROBE_UNCONFIRMED)
    assert health.score == 3 and health.scale_ms(100.0) == 400.0
    health.adjust(PROBE_ANSWERED)
    health.on_pause(1e9, 1000.0)
    assert health.score == 3


def test_claims_are_sent_a_limited_number_of_times_newest_first() -> None:
    queue = GossipQueue()
    for name in "abc":
        queue.add(claim(name))
    assert [claimed.name for claimed in queue.next_claims(2)] == ["c", "b", "a"]
    queue.add(claim("a", incarnation=1))
    assert [claimed.name for claimed in queue.next_claims(2)] == ["a", "c", "b"]
    assert [claimed.name for claimed in queue.next_claims(2)] == ["a"]
    assert queue.next_claims(2) == () and len(queue) == 0


@given(st.lists(st.integers(1, 64), min_size=1, max_size=100), st.integers(1, 64))
def test_a_message_with_claims_fits_a_datagram(sizes: list[int], longest: int) -> None:
    queue, name, host = GossipQueue(), "n" * longest, "h" * longest
    for number, size in enumerate(sizes):
        queue.add(
            Claim(f"{number:03}" + "n" * (size - 3), 1, ("h" * size, 65535), MAX_PROCESS_EPOCH, 1 << 31, "b" * size)
        )
    first = Claim(name, 2, (host, 65535), MAX_PROCESS_EPOCH, 1 << 31, name)
    message = PingReq(
        1 << 40, name, (host, 65535), SenderInfo((host, 65535), MAX_PROCESS_EPOCH, 1 << 31), queue.next_claims(3, first)
    )
    # 60: version, digest, group's and tags
    assert len(msgspec.msgpack.encode(message)) + longest + 60 <= MAX_DATAGRAM_BYTES


def test_the_timer_queue_sets_one_timer() -> None:
    agenda = TimerQueue()
    agenda.schedule(10.0, ("x", ""))
    assert agenda.timer_to_set() == 10.0 and agenda.timer_to_set() is None
    agenda.schedule(5.0, ("y", ""))
    assert agenda.timer_to_set() == 5.0
    agenda.schedule(20.0, ("x", ""))
    agenda.timer_fired(5.0)
    assert agenda.pop_due(5.0) == ("y", "") and agenda.pop_due(10.0) is None and agenda.timer_to_set() == 20.0


@pytest.mark.parametrize("wrong", [{"probes": 0}, {"period_ms": 1.0}, {"timeout_ms": 400.0}, {"most_members": 10**6}])
def test_settings_out_of_range_name_their_key(wrong: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=next(iter(wrong))):
        msgspec.convert(wrong, Tuning)


# The component, event by event


def single_member(**tuning: float) -> Membership:
    member = Membership("a", ("a", 1), 5, [], msgspec.convert(tuning, Tuning), 1)
    lines = [action.text for action in member.handle(0.0, Started()) if isinstance(action, LogLine)]
    assert lines == ["joined"] and member.size() == 1
    return member


SENDER = SenderInfo(("b", 1), 1, 0)


def test_unknown_events_and_time_running_backwards_raise() -> None:
    member = single_member()
    with pytest.raises(TypeError):
        member.handle(1.0, "x")
    member.handle(10.0, TimerFired(1))
    with pytest.raises(ValueError):
        member.handle(9.0, TimerFired(1))


@pytest.mark.parametrize(
    ("message", "why"),
    [
        (Gossip(SENDER, (claim("c", state=9),)), "unsound claim"),
        (Gossip(SENDER, (claim("c", process_epoch=-1),)), "unsound claim"),
        (Gossip(SENDER, (claim("c", incarnation=1 << 60),)), "unsound claim"),
        (Gossip(SENDER, (claim(""),)), "unsound claim"),
        (Gossip(SENDER, (Claim("c", 0, ("x" * (MAX_HOST_LENGTH + 1), 1), 1, 0),)), "unsound claim"),
        (Gossip(SENDER, (claim("c"),) * 500), "unsound message"),
        (TableRequest(SENDER, tuple(claim(f"m{n}") for n in range(1001))), "unsound message"),
        (Ping(1, "z", SENDER), "ping for another"),
        (Ack(77, "b", SENDER), "ack of nothing"),
        (PingReq(1, "c", ("", 0), SENDER), "unsound message"),
        (Gossip(SenderInfo(("b", 0), 1, 0)), "unsound message"),
    ],
)
def test_invalid_messages_in_valid_frames_are_counted_and_do_nothing(message: Gossip, why: str) -> None:
    member = single_member()
    member.handle(1.0, MessageReceived(("b", 1), "b", message))
    assert member.status()["counts"] == {why: 1}
    assert {seen.name for seen in member.members()} <= {"a", "b"}


def test_a_flood_of_names_is_bounded_by_the_table() -> None:
    member = single_member(most_members=20)
    for number in range(100):
        member.handle(1.0, MessageReceived(("b", 1), "b", Gossip(SENDER, (claim(f"m{number}"),))))
    assert len(member.members()) == 20 and member.status()["counts"] == {"no room for another member": 82}


def test_a_ping_req_flood_is_bounded() -> None:
    member = single_member()
    for number in range(1000):
        member.handle(1.0, MessageReceived(("b", 1), "b", PingReq(number, "c", ("c", 1), SENDER)))
    assert member.status()["counts"] == {"too many ping-reqs": 1000 - 256}


def test_a_sender_considered_dead_gets_that_claim_first() -> None:
    member = single_member()
    member.handle(1.0, MessageReceived(("c", 1), "c", Gossip(SenderInfo(("c", 1), 1, 0), (claim("b", state=2),))))
    actions = member.handle(2.0, MessageReceived(("b", 1), "b", Ping(3, "a", SENDER)))
    sent = [action.message for action in actions if isinstance(action, SendToAddress)]
    assert isinstance(sent[0], Ack) and sent[0].claims[0].claimed_state is State.DEAD
    later = member.handle(3.0, MessageReceived(("b", 1), "b", Gossip(SenderInfo(("b", 1), 2, 0))))
    assert [action.state for action in later if isinstance(action, MemberChanged)] == ["alive"]


def test_a_sender_of_a_dead_process_epoch_is_corrected_a_few_times_a_period_only() -> None:
    member = single_member()
    member.handle(1.0, MessageReceived(("c", 1), "c", Gossip(SenderInfo(("c", 1), 1, 0), (claim("b", state=2),))))

    def answers(since: int, name: str = "b") -> int:
        actions = [
            action
            for number in range(500)
            for action in member.handle(
                since + number * 1.9, MessageReceived((name, 1), name, Gossip(SenderInfo((name, 1), 1, 0)))
            )
        ]
        return sum(
            isinstance(action, SendToAddress)
            and action.address == (name, 1)
            and isinstance(action.message, Gossip)
            and [claimed.name for claimed in action.message.claims] == [name]
            for action in actions
        )

    assert (
        answers(2) == MAX_CORRECTIONS_PER_PERIOD
        and member.status()["counts"]["told often enough"] == 500 - MAX_CORRECTIONS_PER_PERIOD
    )
    assert answers(1010) == MAX_CORRECTIONS_PER_PERIOD
    actions = member.handle(2000.0, MessageReceived(("b", 1), "b", Gossip(SenderInfo(("b", 1), 2, 0))))
    # Its messages are still handled.
    assert [action.state for action in actions if isinstance(action, MemberChanged)] == ["alive"]


def test_the_operators_page_lists_the_default_settings() -> None:
    page = (Path(__file__).parents[2] / "docs" / "fleet" / "membership.md").read_text()
    table = page.split("## Settings")[1].split("\n## ")[0]
    sent: dict[str, float] = {}
    for keys, values in re.findall(r"^\| ((?:`\w+`(?:, )?)+) \| ([^|]+) \|", table, re.MULTILINE):
        listed = {"one day": "86400000"}.get(values.strip(), values)
        sent.update(zip(re.findall(r"`(\w+)`", keys), map(float, listed.split(",")), strict=True))
    assert sent == msgspec.to_builtins(Tuning())


def test_responses_go_to_the_configured_address() -> None:
    member = Membership("a", ("a", 1), 5, [], Tuning(), 1, {"b": ("relay", 9)})
    member.handle(0.0, Started())
    actions = member.handle(1.0, MessageReceived(("seen", 4), "b", Ping(3, "a", SENDER)))
    assert {action.address for action in actions if isinstance(action, SendToAddress)} == {("relay", 9)}
    assert member.members()[1].address == ("b", 1)


def test_after_a_pause_probes_are_dropped_and_tables_requested() -> None:
    member = single_member()
    now = 0.0
    member.handle(now, MessageReceived(("b", 1), "b", Gossip(SENDER)))
    while not member.status()["probing"]:
        now += 5.0
        member.handle(now, TimerFired(1))
    actions = member.handle(now + 6000.0, TimerFired(1))
    assert member.status()["probing"] == 0 and member.status()["health"] == 6  # 1, and 5 full periods late
    assert any(isinstance(action, SendToAddress) and isinstance(action.message, TableRequest) for action in actions)
    assert not any(isinstance(action, MemberChanged) for action in actions)


def test_dead_members_are_forgotten_by_the_age_of_their_death() -> None:
    member = single_member(keep_dead_ms=5000.0)
    old = Claim("c", 2, ADDRESS, 1, 0, "b", age_ms=4000)
    member.handle(
        1.0,
        MessageReceived(("b", 1), "b", TableResponse(SENDER, (old, Claim("d", 2, ADDRESS, 1, 0, "b", age_ms=6000)))),
    )
    assert [seen.name for seen in member.members()] == ["a", "b", "c"]
    for now in range(2, 1200, 50):
        member.handle(float(now), TimerFired(1))
    assert [seen.name for seen in member.members()] == ["a", "b"]


def test_a_process_that_left_does_nothing() -> None:
    member = single_member()
    member.handle(0.0, MessageReceived(("b", 1), "b", Gossip(SENDER)))
    actions = member.handle(1.0, ShutdownStarted())
    assert [
        action.message.claims[0].claimed_state
        for action in actions
        if isinstance(action, SendToAddress) and isinstance(action.message, Gossip)
    ] == [State.LEFT] * 2
    assert not any(isinstance(action, SetTimer) for action in actions)
    assert member.handle(2.0, MessageReceived(("b", 1), "b", Ping(1, "a", SENDER))) == [] and member.size() == 1


def test_the_first_claim_of_a_quiet_time_goes_at_once_and_the_next_after_gossip_ms() -> None:
    tuning = Tuning(probes=1, period_ms=60_000.0)
    member = Membership("a", ("a", 1), 5, [], tuning, 1, {})
    member.handle(0.0, Started())
    member.handle(1.0, MessageReceived(("b", 1), "b", Ping(3, "a", SENDER)))

    def gossip(now: float) -> list[Any]:
        actions = member.handle(now, TimerFired(1))
        return [
            action for action in actions if isinstance(action, SendToAddress) and isinstance(action.message, Gossip)
        ]

    now_ms = 1.0
    # Claims about a and b are sent first, until they are used up.
    while gossip(now_ms) or now_ms < 100 * tuning.gossip_ms:
        now_ms += 10.0
    assert now_ms < tuning.period_ms / 2
    actions = member.handle(now_ms, MessageReceived(("b", 1), "b", Gossip(SENDER, (Claim("c", 0, ("c", 1), 1, 0),))))
    assert SetTimer(now_ms, 1) in actions
    assert gossip(now_ms), "at once"
    assert not gossip(now_ms + 0.5 * tuning.gossip_ms)
    assert gossip(now_ms + tuning.gossip_ms)
