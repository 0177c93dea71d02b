"""The component: operators' responses, snapshots, advance, log lines, invalid messages, cost of a request."""

from __future__ import annotations

import msgspec
import pytest

from limenotch.fleet.consensus import api as log
from limenotch.fleet.interfaces import MemberChanged, MessageReceived, ShutdownStarted, Started
from limenotch.fleet.wallet import Tuning, Wallet, api, entries, messages
from limenotch.fleet.wallet.entries import Credit
from tests.fleet.fake_wallets import FAST_TUNING, FakeFleet, ready

ADVANCE = msgspec.structs.replace(FAST_TUNING, without_lease="advance", advance=5)


def test_an_id_counts_once_at_any_member() -> None:
    fleet = ready()
    repeated = fleet.add_credit(1000, name="c")
    assert repeated is not None
    assert (repeated.outcome, repeated.text) == ("counted", "1000 under 'one'")
    other = fleet.add_credit(7, "two", name="b")
    assert other is not None and other.outcome == "done"
    assert fleet.members["b"].ledger.wallets["acme"].credit == 1007
    assert fleet.log_texts("c") == ["paid acme 1000", "paid acme 7"]


def test_repeat_after_unknown_outcome_counts_once() -> None:
    fleet = ready()
    fleet.outcome_of = lambda sender, wallet_entries: "unknown"
    unconfirmed = fleet.add_credit(50, "two")
    assert unconfirmed is not None and unconfirmed.outcome == "unknown"
    [(_, propose, _)] = fleet.unanswered
    wallet_entries = entries.decode(propose.data)
    assert wallet_entries is not None
    fleet.commit(*wallet_entries)
    fleet.outcome_of = lambda sender, wallet_entries: "committed"
    repeated = fleet.add_credit(50, "two", name="b")
    assert repeated is not None and repeated.outcome == "counted"
    assert fleet.members["a"].ledger.wallets["acme"].credit == 1050


def test_concurrent_requests_with_one_id() -> None:
    fleet = ready()
    fleet.outcome_of = lambda sender, wallet_entries: "pending"
    assert fleet.add_credit(50, "two", name="a") is None
    assert fleet.add_credit(50, "two", name="b") is None
    for name, propose, _ in reversed(fleet.unanswered):
        wallet_entries = entries.decode(propose.data)
        assert wallet_entries is not None
        fleet.deliver(name, log.ProposalCommitted(propose.ticket, fleet.commit(*wallet_entries)))
    assert [response.outcome for response in fleet.responses] == ["done", "done", "counted"]


def test_committed_but_not_applied_in_time_is_unknown() -> None:
    fleet = ready()
    fleet.outcome_of = lambda sender, wallet_entries: "pending"
    fleet.add_credit(50, "two")
    [(_, propose, _)] = fleet.unanswered
    fleet.deliver("a", log.ProposalCommitted(propose.ticket, 40))
    fleet.run(FAST_TUNING.ask_ms - 1)
    assert len(fleet.responses) == 1
    fleet.run(1)
    assert fleet.responses[-1].outcome == "unknown"
    fleet.deliver("a", log.OutcomeUnknown(propose.ticket))
    assert len(fleet.responses) == 2, "each request gets one response"


@pytest.mark.parametrize(
    ("tenant", "amount", "credit_id", "key"),
    [
        ("acme", 0, "x", "amount"),
        ("acme", 1 << 61, "x", "amount"),
        ("", 1, "x", "tenant"),
        ("acme", 1, "", "id"),
        ("other", 1, "x", "tenant"),
        ("acme", 1, "i" * 300, "id"),
    ],
)
def test_invalid_credit_is_refused_by_its_key(tenant: str, amount: int, credit_id: str, key: str) -> None:
    fleet = ready(tuning=msgspec.structs.replace(FAST_TUNING, tenants=("acme",)))
    before = len(fleet.committed)
    response = fleet.add_credit(amount, credit_id, tenant=tenant)
    assert response is not None
    assert response.outcome == "refused"
    assert response.text.startswith(key)
    assert len(fleet.committed) == before


def test_credit_beyond_the_limits_is_refused() -> None:
    fleet = ready(1 << 60)
    full = fleet.add_credit(5, "two")
    assert full is not None and (full.outcome, full.text[:9]) == ("refused", "more than")
    fleet = ready(tuning=msgspec.structs.replace(FAST_TUNING, most_ids=1))
    full = fleet.add_credit(5, "two")
    assert full is not None and (full.outcome, full.text[:8]) == ("refused", "too many")


def test_show_includes_all_committed_entries() -> None:
    fleet = ready()
    for _ in range(3):
        fleet.serve("b")
    fleet.deliver("c", api.OperatorRequest(1, "show", "acme"))
    fleet.deliver("c", api.OperatorRequest(2, "show"))
    fleet.deliver("c", api.OperatorRequest(3, "show", "nobody"))
    fleet.deliver("c", api.OperatorRequest(4, "odd"))
    own, every, none, invalid = fleet.responses[1:]
    assert own.body == {"acme": {"credit": 1000, "spent": 0, "left": 990, "held": 10, "slices": 1}}
    assert every == api.OperatorResponse(2, "shown", "", own.body)
    assert (none.outcome, invalid.outcome) == ("none", "refused")
    fleet.leader = None
    fleet.deliver("c", api.OperatorRequest(5, "show"))
    assert fleet.responses[-1].outcome == "refused"


def test_pending_operator_requests_are_bounded() -> None:
    fleet = ready(tuning=msgspec.structs.replace(FAST_TUNING, most_asks=2))
    fleet.outcome_of = lambda sender, wallet_entries: "pending"
    for number in range(3):
        fleet.add_credit(5, f"x{number}")
    assert [response.text for response in fleet.responses[1:]] == ["busy"]
    fleet.run(FAST_TUNING.ask_ms)
    assert [response.outcome for response in fleet.responses[1:]] == ["refused", "unknown", "unknown"]


def test_resumes_within_the_stated_time() -> None:
    fleet = ready(20)
    rejected = 0
    for _ in range(200):
        rejected += not fleet.serve("b")
        fleet.run(5)
    assert "pauses acme" in fleet.log_texts("b")
    assert fleet.members["a"].ledger.wallets["acme"].spent == 20
    last = fleet.members["b"].spender.reserve(fleet.now, "acme", "call")
    assert last == api.Rejected(FAST_TUNING.retry_after_ms)
    begin_ms = fleet.now
    fleet.add_credit(500, "two")
    while not fleet.serve("b"):
        fleet.run(1)
    assert fleet.now - begin_ms <= FAST_TUNING.resume_ms
    texts = fleet.log_texts("b")
    assert "resumes acme" in texts[texts.index("paid acme 500") :]


def test_allocations_after_a_pause_start_small_and_double() -> None:
    fleet = ready(300)
    for _ in range(150):
        for _ in range(3):
            fleet.serve("b")
        fleet.run(5)
    assert fleet.log_texts("b")[-1] == "pauses acme"
    earlier_lines = len(fleet.log_texts("b"))
    fleet.add_credit(100_000, "two")
    for _ in range(100):
        for _ in range(3):
            fleet.serve("b")
        fleet.run(5)
    sizes = [int(text.split()[-1]) for text in fleet.log_texts("b")[earlier_lines:] if text.startswith("holds")]
    assert sizes[:4] == [5, 10, 20, 40]


def test_pause_does_not_affect_other_tenants() -> None:
    fleet = ready(20)
    fleet.add_credit(100_000, tenant="other")
    fleet.serve("b", "other")
    for _ in range(100):
        for _ in range(3):
            fleet.serve("b")
        assert fleet.serve("b", "other")
        fleet.run(5)
    assert "pauses acme" in fleet.log_texts("b")
    assert "pauses other" not in fleet.log_texts("b")


def test_without_a_quorum_spending_lasts_until_lease_expiry() -> None:
    fleet = ready()
    for _ in range(20):
        fleet.serve("b")
        fleet.run(5)
    fleet.leader = None
    fleet.deliver("b", log.LeaderChanged(None, 2))
    expires_at_ms = fleet.members["b"].spender.lease_expires_at_ms
    assert fleet.serve("b")
    fleet.run(expires_at_ms - fleet.now)
    assert not fleet.serve("b")
    assert fleet.log_texts("b")[-1] == "pauses acme"


def test_advance_is_recorded_once_when_the_log_is_back() -> None:
    fleet = ready(names="abc", tuning=ADVANCE)
    fleet.serve("b")
    fleet.leader = None
    fleet.deliver("b", log.LeaderChanged(None, 2))
    fleet.run(FAST_TUNING.max_lease_ms + 100)
    spent = fleet.members["a"].ledger.wallets["acme"].spent
    assert [fleet.serve("b") for _ in range(7)] == [True] * 5 + [False] * 2
    fleet.outcome_of = (
        lambda sender, wallet_entries: "unknown" if isinstance(wallet_entries[0], entries.Advance) else "committed"
    )
    fleet.lead("a")
    fleet.run(200)
    assert fleet.unanswered
    first = entries.decode(fleet.unanswered[0][1].data)
    assert first is not None
    fleet.outcome_of = lambda sender, wallet_entries: "committed"
    fleet.commit(*first)
    fleet.run(300)
    wallet = fleet.members["a"].ledger.wallets["acme"]
    assert wallet.advance_serials == {"b": {2: 1}}
    assert wallet.spent + wallet.allocated >= spent + 5
    assert fleet.members["b"].spender.accounts["acme"].advanced_units == 0
    fleet.leader = None
    fleet.deliver("b", log.LeaderChanged(None, 4))
    fleet.run(FAST_TUNING.max_lease_ms + 100)
    assert [fleet.serve("b") for _ in range(6)] == [True] * 5 + [False], "the first advance is recorded: as much again"


def test_snapshot_restores_the_ledger_and_keeps_own_allocations() -> None:
    fleet = ready()
    for _ in range(30):
        fleet.serve("b")
        fleet.run(5)
    holder_wallet = fleet.members["b"]
    state, index = fleet.members["a"].state(), len(fleet.committed)
    restored = Wallet("d", 9, FAST_TUNING, ("a", "b", "c"), state)
    assert restored.state() == state
    assert restored.ledger.index == index
    before = dict(holder_wallet.spender.accounts["acme"].allocations)
    fleet.deliver("b", log.SnapshotInstalled(index, state))
    assert holder_wallet.spender.accounts["acme"].allocations == before, "known allocations stay as they are"
    assert (
        holder_wallet.handle(fleet.now, log.EntryCommitted(index, 1, entries.encode((Credit("acme", "late", 5),)), ""))
        == []
    )
    assert holder_wallet.ledger.wallets["acme"].credit == 1000


def test_allocations_that_ended_or_were_granted_within_a_snapshot() -> None:
    fleet = ready()
    fleet.serve("b")
    fleet.suspended.add("b")
    fleet.run(FAST_TUNING.max_lease_ms + FAST_TUNING.lease_ms)
    process_epoch = fleet.members["b"].process_epoch
    serial = fleet.members["a"].ledger.wallets["acme"].serial + 1
    fleet.commit(entries.Grant("acme", "b", process_epoch, serial, 7, (("a", 1), ("c", 3)), 1))
    fleet._held_for_suspended = []
    fleet.suspended.clear()
    fleet.deliver("b", log.SnapshotInstalled(len(fleet.committed), fleet.members["a"].state()))
    allocations = fleet.members["b"].spender.accounts["acme"].allocations
    assert list(allocations) == [serial]
    assert allocations[serial].ceiling == 7


def test_requests_cost_no_message_and_no_entry_each() -> None:
    fleet = ready(1_000_000)
    for _ in range(200):
        fleet.serve("b")
        fleet.run(1)
    message_count, committed_before = 0, len(fleet.committed)

    def count(sender: str, member: str, message: object) -> bool:
        nonlocal message_count
        message_count += 1
        return False

    fleet.is_lost = count
    for _ in range(1000):
        for _ in range(20):
            assert fleet.serve("b")
        fleet.run(1)
    assert message_count < 250, "20 000 requests in a second"
    assert len(fleet.committed) - committed_before < 60


def test_tenants_share_messages_and_entries() -> None:
    fleet = ready()
    tenants = [f"t{number}" for number in range(100)]
    for tenant in tenants:
        fleet.add_credit(1000, tenant=tenant)
    limit_counts: list[int] = []

    def count(sender: str, member: str, message: object) -> bool:
        if isinstance(message, messages.SpendLimitRequest):
            limit_counts.append(len(message.limits))
        return False

    fleet.is_lost = count
    before = len(fleet.committed)
    for tenant in tenants:
        fleet.members["b"].spender.reserve(fleet.now, tenant, "call")
    fleet.notify_if_changed("b")
    assert len(fleet.committed) - before == 1
    assert limit_counts == [100, 100], "to each of the other voters"
    fleet.run(3 * FAST_TUNING.idle_ms)
    assert len(fleet.committed) - before <= 4
    assert not fleet.members["a"].ledger.allocations_by_holder


def test_invalid_messages_change_nothing() -> None:
    fleet = ready()
    for _ in range(3):
        fleet.serve("b")
    before = fleet.members["b"].state()
    process_epoch = fleet.members["b"].process_epoch
    for message in (
        messages.LeaseGrant(process_epoch, 99, float("nan"), 0),
        messages.LeaseGrant(process_epoch + 1, 1, 600, 0),
        messages.SpendLimitAck(1, process_epoch, (("acme", 77, 5), ("odd", 1, 5), ("acme", 1, -5))),
        messages.Recall(process_epoch, (("acme", float("nan")), ("odd", 5.0))),
        messages.Recall(process_epoch + 1, (("acme", 0.0),)),
        messages.WitnessReply(1, 1, 1, (5,)),
        messages.WitnessQuery(1, 1, "x", 1, (("acme", 1),) * 500),
        messages.SpendLimitRequest(5, (("t" * 900, 1, 5), ("acme", 900, -1))),
    ):
        fleet.deliver("b", MessageReceived(("x", 1), "c", message))
    assert fleet.members["b"].state() == before
    assert fleet.serve("b")
    assert fleet.members["b"].counts == {}
    wallet = Wallet("a", 1)
    with pytest.raises(TypeError):
        wallet.handle(0.0, object())
    wallet.handle(5.0, Started())
    with pytest.raises(ValueError):
        wallet.handle(4.0, ShutdownStarted())
    wallet.handle(5.0, MemberChanged("b", "dead", ("b", 1), 1, 1))
    wallet.handle(5.0, log.EntryCommitted(1, 1, b"\xc1", ""))
    assert wallet.counts == {"no entry of the wallet": 1}


def test_current_voters_are_witnesses() -> None:
    fleet = ready(names="abcd")
    for name in "abcd":
        fleet.deliver(name, api.VotersChanged(("b", "c", "d")))
    fleet.serve("b")
    allocations = fleet.members["a"].ledger.wallets["acme"].allocations
    assert [allocation.witnesses for allocation in allocations.values()] == [(("b", 2), ("c", 3), ("d", 4))]


def test_single_sidecar() -> None:
    fleet = FakeFleet("a", "a")
    fleet.lead("a")
    fleet.run(10)
    fleet.add_credit(30)
    served = 0
    for _ in range(200):
        served += fleet.serve("a")
        fleet.run(5)
    assert served == 30
    assert fleet.members["a"].ledger.wallets["acme"].spent == 30


def test_stated_times_follow_from_the_settings() -> None:
    tuning = Tuning()
    assert tuning.max_lease_ms == 3060
    assert tuning.pause_ms == 3060 + 1000 + 2000 + 800
    assert tuning.resume_ms == 1000 + 600
    assert [tuning.step_of(size) for size in (1, 10, 30, 400)] == [1, 10, 10, 100]
    assert tuning.step_of(400, 250) == 250
