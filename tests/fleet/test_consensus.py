"""The log: its role table, its bounds, and runs under storms and by hand, looked at by the checker."""

from __future__ import annotations

from typing import Any

import pytest

from limenotch.fleet import interfaces
from limenotch.fleet.consensus import (
    Agreement,
    EntryCommitted,
    OutcomeUnknown,
    ProposalRejected,
    Tuning,
    messages,
    states,
)
from limenotch.fleet.consensus import node as node_module
from limenotch.fleet.consensus.lease import Lease
from limenotch.fleet.consensus.log import VOTERS, Voters, pack
from limenotch.lab.fleet import faults
from limenotch.lab.fleet.log_run import QUICK, Run, storm
from limenotch.store.records import Append, LogEntry, Snapshot, StoredLog, TermVote
from tests.fleet.log_bugs import PLANTED

SEEN: set[tuple[states.Role, states.Cause]] = set()
SHORT_MS = 1500.0
FOUND = {  # planted bug: the first seed, from 0, at which the checker finds it
    "vote_not_persisted": 0,
    "acked_before_stored": 0,
    "lease_over_a_pause": 7,
    "ids_not_in_snapshot": 0,
    "votes_twice": 20,
    "shorter_log_elected": 0,
    "read_of_a_new_leader": 0,
    "retried_twice": 0,
    "goes_on_with_full_disk": 11,
}


@pytest.mark.parametrize("first", range(0, 60, 15))
def test_storms_break_nothing(first: int, monkeypatch: pytest.MonkeyPatch) -> None:
    _watch(monkeypatch)
    for seed in range(first, first + 15):
        assert storm(seed, SHORT_MS).checker.broken == [], seed


def _watch(patch: pytest.MonkeyPatch) -> None:
    def next_role(role: states.Role, cause: states.Cause) -> states.Role:
        SEEN.add((role, cause))
        return states.next_role(role, cause)

    patch.setattr(node_module, "next_role", next_role)


def test_every_way_of_the_role_table_is_gone_and_no_other(monkeypatch: pytest.MonkeyPatch) -> None:
    _watch(monkeypatch)
    for seed in range(20):
        storm(seed, SHORT_MS)
    for role_before in ("leader", "pre-candidate", "candidate"):
        _fence(role_before)
    for role_before, message in (
        ("leader", messages.Ack(99, False, 0, 0, 0, "2")),
        ("candidate", messages.Append(99, 1, 1, (), 0, 1)),
    ):
        member = one_of_three()
        run_to(member, role_before)
        member.handle(600.0, heard("b", message))
        assert member.role is states.Role.FOLLOWER and member.term == 99
    assert states.TABLE.keys() - SEEN == set()
    with pytest.raises(ValueError, match="no way from learner: ELECTED"):
        states.next_role(states.Role.LEARNER, states.Cause.ELECTED)


def _fence(role: str) -> None:
    """Fenced, and told by its disk that it failed, in each role that this ends."""
    for event in (interfaces.Fenced(), interfaces.StoreFailed(0, "full")):
        member = one_of_three()
        run_to(member, role)
        assert member.role.value == role
        member.handle(member._node.now, event)
        assert member.role is states.Role.FOLLOWER and not member.leases(member._node.now)


def one_of_three(term: int = 3, entries: int = 0) -> Agreement:
    """Restarted with the log of a group of three."""
    births = {"a": "1", "b": "2", "c": "3"}
    log = [LogEntry(1, 1, VOTERS, pack(Voters(births)))]
    log += [LogEntry(2 + number, 2, "cmd", node_module.encode(f"i{number}", b"x")) for number in range(entries)]
    member = Agreement("a", ("a", "b", "c"), StoredLog(TermVote(term, "?1"), None, log), QUICK, 1)
    member.handle(0.0, interfaces.Started())
    return member


def heard(sender: str, message: interfaces.Message) -> interfaces.MessageReceived:
    return interfaces.MessageReceived((sender, 1), sender, message)


def run_to(member: Agreement, role: str) -> list[Any]:
    out = member.handle(500.0, interfaces.TimerFired(1))
    if role == "pre-candidate":
        return out
    out = member.handle(501.0, heard("b", messages.PreVoted(member.term + 1, True)))
    if role == "leader":
        ticket = next(action.ticket for action in out if isinstance(action, interfaces.Store))
        member.handle(502.0, interfaces.Stored(ticket))
        out = member.handle(503.0, heard("b", messages.Voted(member.term, True)))
    return out


def test_an_old_epochs_entry_is_not_agreed_by_counting() -> None:
    """Figure 8: on a quorum's disks, yet another leader may still replace it."""
    member = one_of_three(entries=4)
    run_to(member, "leader")
    out = member.handle(504.0, heard("b", messages.Ack(4, True, 5, 5, 1, "2")))
    assert member.agreed == 0 and not any(isinstance(action, EntryCommitted) for action in out)
    member.handle(505.0, interfaces.Stored(member._node.ticket))
    out = member.handle(506.0, heard("b", messages.Ack(4, True, 6, 6, 1, "2")))
    assert member.agreed == 6
    assert [action.id for action in out if isinstance(action, EntryCommitted)] == ["i0", "i1", "i2", "i3"]


def test_a_vote_leaves_when_it_is_on_disk_and_not_within_the_wait_of_a_leader_heard() -> None:
    member = one_of_three()
    vote = messages.Vote(9, 1, 1, "1")
    assert not _told(member.handle(100.0, heard("b", vote)))  # started just now
    out = member.handle(250.0, heard("b", vote))
    ticket = max(action.ticket for action in out if isinstance(action, interfaces.Store))
    assert not _told(out)
    assert _told(member.handle(251.0, interfaces.Stored(ticket - 1))) == []
    assert _told(member.handle(252.0, interfaces.Stored(ticket))) == [messages.Voted(9, True)]
    assert _told(member.handle(253.0, heard("c", vote))) == [messages.Voted(9, False)]
    stranger = one_of_three()
    assert _told(stranger.handle(250.0, heard("b", messages.Vote(9, 1, 1, "another birth")))) == [
        messages.Voted(9, False)
    ]


def _told(out: list[Any]) -> list[Any]:
    return [
        action.message
        for action in out
        if isinstance(action, interfaces.SendToMember) and isinstance(action.message, messages.Voted)
    ]


def test_the_lease_ends_before_any_voters_wait_at_the_bound_of_drift() -> None:
    tuning = Tuning(drift=0.05)
    slow, fast = 1 - tuning.drift, 1 + tuning.drift
    assert tuning.lease_ms / slow <= tuning.election_least_ms / fast + 1e-9
    voters = Voters({"a": "", "b": "", "c": ""})
    lease = Lease("a", 0.0, tuning.lease_ms)
    assert not lease.holds(0.0, voters)
    lease.answered("b", lease.begin(100.0))
    assert lease.holds(100.0 + tuning.lease_ms - 1, voters) and not lease.holds(100.0 + tuning.lease_ms, voters)
    lease.void = True
    assert not lease.holds(101.0, voters)


@pytest.mark.parametrize("many", [1, 3, 5, 7])
def test_any_number_of_voters_promises_and_reads(many: int) -> None:
    names = "abcdefgh"[: many + 1]
    run = Run(names, tuple(names[:many]))
    run.until(lambda: run.leader() is not None, 3000)
    run.world.run(run.world.now + 1000)
    for name in names:
        run.propose(name)
        run.read(name)
    run.world.run(run.world.now + 100)
    assert run.checker.answers == {"promised": many + 1, "read": many + 1}
    run.settle()
    assert run.checker.broken == []


def test_bounds_refuse_and_say_so() -> None:
    run = Run("a", ("a",), tuning=Tuning(most_pending=2, most_entry_bytes=64, most_ids=2))
    run.until(lambda: run.leader() == "a", 3000)
    run.world.run(run.world.now + 100)
    refused: list[str] = []
    run.on_told = lambda name, action: refused.append(action.why) if isinstance(action, ProposalRejected) else None
    for _ in range(4):
        run.propose("a")
    run.propose("a", data=b"x" * 65)
    run.change("a", remove="a")
    run.change("a")
    assert refused == ["busy", "busy", "too large", "the last voter", "no change"]
    with pytest.raises(ValueError, match="election_least_ms"):
        Tuning(election_least_ms=200)
    with pytest.raises(ValueError, match="most_ids"):
        Tuning(most_ids=-1)


def test_a_single_voter_with_a_full_disk_refuses_and_resumes() -> None:
    run = Run("a", ("a",))
    run.until(lambda: run.leader() == "a", 3000)
    told: list[Any] = []
    run.on_told = lambda name, action: told.append(action)
    run.world.fault(faults.parse("disk a full"))
    run.propose("a")
    run.world.run(run.world.now + 50)
    assert [action for action in told if isinstance(action, OutcomeUnknown)]
    run.propose("a")
    assert told[-1].why == "disk full"
    run.world.fault(faults.parse("disk a ok"))
    run.until(lambda: run.leader() == "a", 3000)
    run.settle()
    assert run.checker.broken == []


def test_one_back_empty_catches_up_by_a_snapshot_at_the_stated_pace() -> None:
    pace, state = 4096, 400
    tuning = Tuning(
        **{
            **{name: getattr(QUICK, name) for name in QUICK.__struct_fields__},
            "snapshot_bytes_per_s": pace,
            "chunk_bytes": 256,
        }
    )
    run = Run("abcd", ("a", "b", "c"), tuning=tuning)
    run.until(lambda: run.leader() is not None, 3000)
    for _ in range(state):
        run.propose("a")
        run.world.run(run.world.now + 3)
    run.wipe("c")
    run.world.start("c")
    snapshot = run.of("a")._node.log.snapshot
    took = run.until(lambda: run.of("c").agreed >= state, 20_000)
    least = len(snapshot.state) / pace * 1000
    assert least <= took <= 1.5 * least + 1000
    run.until(lambda: "c" in run.of("a").voters and run.of("c").role.value == "follower", 3000)
    run.settle()
    assert run.checker.broken == []


def test_voters_are_replaced_one_by_one_under_load() -> None:
    run = Run("abcdef", ("a", "b", "c"))
    run.until(lambda: run.leader() is not None, 3000)
    run.world.run(run.world.now + 1000)
    for add, remove in zip("def", "abc", strict=True):

        def gone(remove: str = remove, add: str = add) -> bool:
            run.propose("d")
            leader = run.leader()
            voters = run.of(leader).voters if leader else ()
            if leader and (add not in voters or remove in voters):
                run.change(leader, add, remove)
            return bool(leader) and add in voters and remove not in voters

        run.until(gone, 10_000, 40.0)
    run.settle()
    assert run.of("a").voters == ("d", "e", "f")
    assert run.checker.broken == [] and run.checker.answers["promised"] > 10


def test_two_hundred_learners_cost_a_message_and_an_answer_each_heartbeat() -> None:
    names = ["a", "b", "c", *(f"l{number}" for number in range(200))]
    run = Run(names, ("a", "b", "c"), tuning=Tuning())
    run.until(lambda: run.leader() is not None, 3000)
    run.world.run(run.world.now + 3000)
    leader = run.world.nodes["a"].traffic
    before = leader.messages
    run.world.run(run.world.now + 10_000)
    assert 2000 <= leader.messages - before <= 2250  # a second: 200 to learners, 13 to voters
    run.propose("l7")
    run.world.run(run.world.now + 200)
    assert all(run.of(name).agreed == run.of("a").agreed for name in names)


def test_bad_messages_change_nothing_and_bad_events_raise() -> None:
    member = one_of_three()
    member.handle(1.0, heard("x", interfaces.Message()))
    member.handle(1.0, heard("b", messages.Chunk(3, 50, 3, 4, 0, b"nope", (), 1)))
    member.handle(1.0, heard("b", messages.Append(2, 0, 0, (), 9, 1)))
    assert member.counts["no message of agreement"] == 1 and member.agreed == 0
    with pytest.raises(TypeError):
        member.handle(2.0, "event")
    with pytest.raises(ValueError, match="runs back"):
        member.handle(0.5, interfaces.Fenced())
    with pytest.raises(ValueError, match="names"):
        Agreement("a", ("a", "a"), StoredLog())


def test_what_a_failed_disk_lacks_is_written_whole_by_one_retry() -> None:
    member = one_of_three()
    entry = LogEntry(2, 5, "cmd", node_module.encode("", b"x"))
    member.handle(1.0, heard("b", messages.Append(5, 1, 1, (entry,), 0, 1)))
    member.handle(2.0, interfaces.StoreFailed(1, "torn"))
    member.handle(2.0, interfaces.StoreFailed(2, "torn"))
    out = member.handle(150.0, interfaces.TimerFired(1))
    store = next(action for action in out if isinstance(action, interfaces.Store))
    assert store.records == (TermVote(5, "?1"), Append((entry,)))
    out = member.handle(151.0, interfaces.Stored(store.ticket))
    assert any(getattr(getattr(action, "message", None), "match", 0) == 2 for action in out)
    assert not any(isinstance(record, Snapshot) for record in store.records)


@pytest.mark.parametrize("name", sorted(FOUND))
def test_the_checker_finds_the_planted(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    PLANTED[name](monkeypatch)
    assert storm(FOUND[name]).checker.broken != []


def test_the_checker_finds_a_tail_that_is_not_cut(monkeypatch: pytest.MonkeyPatch) -> None:
    PLANTED["not_cut_on_conflict"](monkeypatch)
    assert "two entries agreed at 26" in storm(61, SHORT_MS).checker.broken
