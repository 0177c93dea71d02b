"""The log: its role table, its limits, and simulated runs that the checker observes, randomized and by hand."""

from __future__ import annotations

from typing import Any

import pytest

from limenotch.fleet import interfaces
from limenotch.fleet.consensus import (
    Consensus,
    EntryCommitted,
    OutcomeUnknown,
    ProposalRejected,
    Tuning,
    messages,
    states,
)
from limenotch.fleet.consensus import node as node_module
from limenotch.fleet.consensus.lease import Lease
from limenotch.fleet.consensus.log import VOTERS, Voters, encode_payload
from limenotch.lab.fleet import faults
from limenotch.lab.fleet.log_run import FAST_TUNING, Run, run_random_faults
from limenotch.store.records import Append, LogEntry, Snapshot, StoredLog, TermVote
from tests.fleet.log_bugs import INJECTED_BUGS

SEEN_TRANSITIONS: set[tuple[states.Role, states.Cause]] = set()
SHORT_RUN_MS = 1500.0
FIRST_FAILING_SEED = {  # injected bug: the first seed, from 0, at which the checker finds it
    "vote_not_persisted": 0,
    "acked_before_stored": 0,
    "lease_ignores_a_pause": 7,
    "ids_not_in_snapshot": 0,
    "votes_twice": 20,
    "shorter_log_elected": 0,
    "new_leader_reads_too_early": 0,
    "repeated_proposal_committed_twice": 0,
    "failed_write_ignored": 11,
}


@pytest.mark.parametrize("first_seed", range(0, 60, 15))
def test_randomized_fault_runs_violate_no_invariant(first_seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    _record_transitions(monkeypatch)
    for seed in range(first_seed, first_seed + 15):
        assert run_random_faults(seed, SHORT_RUN_MS).checker.violations == [], seed


def _record_transitions(patch: pytest.MonkeyPatch) -> None:
    def next_role(role: states.Role, cause: states.Cause) -> states.Role:
        SEEN_TRANSITIONS.add((role, cause))
        return states.next_role(role, cause)

    patch.setattr(node_module, "next_role", next_role)


def test_every_transition_of_the_role_table_occurs_and_no_other(monkeypatch: pytest.MonkeyPatch) -> None:
    _record_transitions(monkeypatch)
    for seed in range(20):
        run_random_faults(seed, SHORT_RUN_MS)
    for role_before in ("leader", "pre-candidate", "candidate"):
        _check_fenced_and_failed(role_before)
    for role_before, message in (
        ("leader", messages.AppendResponse(99, False, 0, 0, 0, "2")),
        ("candidate", messages.AppendRequest(99, 1, 1, (), 0, 1)),
    ):
        member = member_of_three()
        bring_to_role(member, role_before)
        member.handle(600.0, received("b", message))
        assert member.role is states.Role.FOLLOWER and member.term == 99
    assert states.TABLE.keys() - SEEN_TRANSITIONS == set()
    with pytest.raises(ValueError, match="no transition from learner on ELECTED"):
        states.next_role(states.Role.LEARNER, states.Cause.ELECTED)


def _check_fenced_and_failed(role: str) -> None:
    """Fences the member, and fails its disk, in each role that this ends."""
    for event in (interfaces.Fenced(), interfaces.StoreFailed(0, "full")):
        member = member_of_three()
        bring_to_role(member, role)
        assert member.role.value == role
        member.handle(member._node.now, event)
        assert member.role is states.Role.FOLLOWER and not member.holds_lease(member._node.now)


def member_of_three(term: int = 3, entries: int = 0) -> Consensus:
    """A member that restarts with the log of a group of three."""
    disk_ids = {"a": "1", "b": "2", "c": "3"}
    log = [LogEntry(1, 1, VOTERS, encode_payload(Voters(disk_ids)))]
    log += [LogEntry(2 + number, 2, "cmd", node_module.encode_command(f"i{number}", b"x")) for number in range(entries)]
    member = Consensus("a", ("a", "b", "c"), StoredLog(TermVote(term, "?1"), None, log), FAST_TUNING, 1)
    member.handle(0.0, interfaces.Started())
    return member


def received(sender: str, message: interfaces.Message) -> interfaces.MessageReceived:
    return interfaces.MessageReceived((sender, 1), sender, message)


def bring_to_role(member: Consensus, role: str) -> list[Any]:
    out = member.handle(500.0, interfaces.TimerFired(1))
    if role == "pre-candidate":
        return out
    out = member.handle(501.0, received("b", messages.PreVoteResponse(member.term + 1, True)))
    if role == "leader":
        ticket = next(action.ticket for action in out if isinstance(action, interfaces.Store))
        member.handle(502.0, interfaces.Stored(ticket))
        out = member.handle(503.0, received("b", messages.VoteResponse(member.term, True)))
    return out


def test_entry_of_an_earlier_term_is_not_committed_by_counting() -> None:
    """Figure 8: although on a quorum's disks, another leader may still replace it."""
    member = member_of_three(entries=4)
    bring_to_role(member, "leader")
    out = member.handle(504.0, received("b", messages.AppendResponse(4, True, 5, 5, 1, "2")))
    assert member.applied_index == 0 and not any(isinstance(action, EntryCommitted) for action in out)
    member.handle(505.0, interfaces.Stored(member._node.last_ticket))
    out = member.handle(506.0, received("b", messages.AppendResponse(4, True, 6, 6, 1, "2")))
    assert member.applied_index == 6
    assert [action.id for action in out if isinstance(action, EntryCommitted)] == ["i0", "i1", "i2", "i3"]


def test_vote_is_sent_once_on_disk_and_not_while_a_leader_is_current() -> None:
    member = member_of_three()
    vote = messages.VoteRequest(9, 1, 1, "1")
    assert not _vote_responses(member.handle(100.0, received("b", vote)))  # just started
    out = member.handle(250.0, received("b", vote))
    ticket = max(action.ticket for action in out if isinstance(action, interfaces.Store))
    assert not _vote_responses(out)
    assert _vote_responses(member.handle(251.0, interfaces.Stored(ticket - 1))) == []
    assert _vote_responses(member.handle(252.0, interfaces.Stored(ticket))) == [messages.VoteResponse(9, True)]
    assert _vote_responses(member.handle(253.0, received("c", vote))) == [messages.VoteResponse(9, False)]
    other_member = member_of_three()
    assert _vote_responses(
        other_member.handle(250.0, received("b", messages.VoteRequest(9, 1, 1, "another disk")))
    ) == [messages.VoteResponse(9, False)]


def _vote_responses(out: list[Any]) -> list[Any]:
    return [
        action.message
        for action in out
        if isinstance(action, interfaces.SendToMember) and isinstance(action.message, messages.VoteResponse)
    ]


def test_lease_ends_before_any_voters_wait_at_the_drift_bound() -> None:
    tuning = Tuning(drift=0.05)
    slow_rate, fast_rate = 1 - tuning.drift, 1 + tuning.drift
    assert tuning.lease_ms / slow_rate <= tuning.election_least_ms / fast_rate + 1e-9
    voters = Voters({"a": "", "b": "", "c": ""})
    lease = Lease("a", 0.0, tuning.lease_ms)
    assert not lease.is_valid(0.0, voters)
    lease.record_answer("b", lease.begin_round(100.0))
    assert lease.is_valid(100.0 + tuning.lease_ms - 1, voters) and not lease.is_valid(100.0 + tuning.lease_ms, voters)
    lease.revoked = True
    assert not lease.is_valid(101.0, voters)


@pytest.mark.parametrize("voter_count", [1, 3, 5, 7])
def test_proposals_and_reads_succeed_with_any_number_of_voters(voter_count: int) -> None:
    names = "abcdefgh"[: voter_count + 1]
    run = Run(names, tuple(names[:voter_count]))
    run.run_until(lambda: run.leader() is not None, 3000)
    run.world.run(run.world.now + 1000)
    for name in names:
        run.propose(name)
        run.read(name)
    run.world.run(run.world.now + 100)
    assert run.checker.outcomes == {"promised": voter_count + 1, "read": voter_count + 1}
    run.check_convergence()
    assert run.checker.violations == []


def test_requests_over_a_limit_are_refused_with_a_reason() -> None:
    run = Run("a", ("a",), tuning=Tuning(most_pending=2, most_entry_bytes=64, most_ids=2))
    run.run_until(lambda: run.leader() == "a", 3000)
    run.world.run(run.world.now + 100)
    refused: list[str] = []
    run.action_observer = (
        lambda name, action: refused.append(action.why) if isinstance(action, ProposalRejected) else None
    )
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
    run.run_until(lambda: run.leader() == "a", 3000)
    actions: list[Any] = []
    run.action_observer = lambda name, action: actions.append(action)
    run.world.apply_fault(faults.parse("disk a full"))
    run.propose("a")
    run.world.run(run.world.now + 50)
    assert [action for action in actions if isinstance(action, OutcomeUnknown)]
    run.propose("a")
    assert actions[-1].why == "disk full"
    run.world.apply_fault(faults.parse("disk a ok"))
    run.run_until(lambda: run.leader() == "a", 3000)
    run.check_convergence()
    assert run.checker.violations == []


def test_wiped_voter_catches_up_by_a_snapshot_at_the_configured_rate() -> None:
    bytes_per_s, proposal_count = 4096, 400
    tuning = Tuning(
        **{
            **{name: getattr(FAST_TUNING, name) for name in FAST_TUNING.__struct_fields__},
            "snapshot_bytes_per_s": bytes_per_s,
            "chunk_bytes": 256,
        }
    )
    run = Run("abcd", ("a", "b", "c"), tuning=tuning)
    run.run_until(lambda: run.leader() is not None, 3000)
    for _ in range(proposal_count):
        run.propose("a")
        run.world.run(run.world.now + 3)
    run.wipe("c")
    run.world.start("c")
    snapshot = run.consensus_of("a")._node.log.snapshot
    took_ms = run.run_until(lambda: run.consensus_of("c").applied_index >= proposal_count, 20_000)
    least_ms = len(snapshot.state) / bytes_per_s * 1000
    assert least_ms <= took_ms <= 1.5 * least_ms + 1000
    run.run_until(lambda: "c" in run.consensus_of("a").voters and run.consensus_of("c").role.value == "follower", 3000)
    run.check_convergence()
    assert run.checker.violations == []


def test_voters_are_replaced_one_by_one_under_load() -> None:
    run = Run("abcdef", ("a", "b", "c"))
    run.run_until(lambda: run.leader() is not None, 3000)
    run.world.run(run.world.now + 1000)
    for add, remove in zip("def", "abc", strict=True):

        def replaced(remove: str = remove, add: str = add) -> bool:
            run.propose("d")
            leader = run.leader()
            voters = run.consensus_of(leader).voters if leader else ()
            if leader and (add not in voters or remove in voters):
                run.change(leader, add, remove)
            return bool(leader) and add in voters and remove not in voters

        run.run_until(replaced, 10_000, 40.0)
    run.check_convergence()
    assert run.consensus_of("a").voters == ("d", "e", "f")
    assert run.checker.violations == [] and run.checker.outcomes["promised"] > 10


def test_two_hundred_learners_cost_a_message_and_a_response_each_heartbeat() -> None:
    names = ["a", "b", "c", *(f"l{number}" for number in range(200))]
    run = Run(names, ("a", "b", "c"), tuning=Tuning())
    run.run_until(lambda: run.leader() is not None, 3000)
    run.world.run(run.world.now + 3000)
    leader = run.world.nodes["a"].traffic
    before = leader.messages
    run.world.run(run.world.now + 10_000)
    assert 2000 <= leader.messages - before <= 2250  # each second: 200 to learners, 13 to voters
    run.propose("l7")
    run.world.run(run.world.now + 200)
    assert all(run.consensus_of(name).applied_index == run.consensus_of("a").applied_index for name in names)


def test_invalid_messages_change_nothing_and_invalid_events_raise() -> None:
    member = member_of_three()
    member.handle(1.0, received("x", interfaces.Message()))
    member.handle(1.0, received("b", messages.SnapshotChunk(3, 50, 3, 4, 0, b"nope", (), 1)))
    member.handle(1.0, received("b", messages.AppendRequest(2, 0, 0, (), 9, 1)))
    assert member.counts["no message of agreement"] == 1 and member.applied_index == 0
    with pytest.raises(TypeError):
        member.handle(2.0, "event")
    with pytest.raises(ValueError, match="runs back"):
        member.handle(0.5, interfaces.Fenced())
    with pytest.raises(ValueError, match="names"):
        Consensus("a", ("a", "a"), StoredLog())


def test_one_retry_writes_all_that_a_failed_disk_lacks() -> None:
    member = member_of_three()
    entry = LogEntry(2, 5, "cmd", node_module.encode_command("", b"x"))
    member.handle(1.0, received("b", messages.AppendRequest(5, 1, 1, (entry,), 0, 1)))
    member.handle(2.0, interfaces.StoreFailed(1, "torn"))
    member.handle(2.0, interfaces.StoreFailed(2, "torn"))
    out = member.handle(150.0, interfaces.TimerFired(1))
    store = next(action for action in out if isinstance(action, interfaces.Store))
    assert store.records == (TermVote(5, "?1"), Append((entry,)))
    out = member.handle(151.0, interfaces.Stored(store.ticket))
    assert any(getattr(getattr(action, "message", None), "match_index", 0) == 2 for action in out)
    assert not any(isinstance(record, Snapshot) for record in store.records)


@pytest.mark.parametrize("name", sorted(FIRST_FAILING_SEED))
def test_checker_finds_each_injected_bug(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    INJECTED_BUGS[name](monkeypatch)
    assert run_random_faults(FIRST_FAILING_SEED[name]).checker.violations != []


def test_checker_finds_a_conflicting_tail_that_is_not_removed(monkeypatch: pytest.MonkeyPatch) -> None:
    INJECTED_BUGS["conflicting_tail_not_removed"](monkeypatch)
    assert "two entries committed at 26" in run_random_faults(61, SHORT_RUN_MS).checker.violations
