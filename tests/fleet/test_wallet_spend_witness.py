"""Spend limits: what witnesses record, and how much a lost holder counts as having spent."""

from __future__ import annotations

import hypothesis.strategies as some
from hypothesis import given, settings

from limenotch.fleet.interfaces import MemberChanged
from limenotch.fleet.wallet import messages
from limenotch.fleet.wallet.entries import Credit, Expire, Grant, Settle
from limenotch.fleet.wallet.ledger import Allocation, Ledger, ProcessId
from limenotch.fleet.wallet.spend_witness import SpendWitness, WitnessInquiry
from tests.fleet.fake_wallets import FAST_TUNING, FakeFleet, ready

WITNESSES: tuple[ProcessId, ...] = (("a", 1), ("b", 1), ("c", 1))
HOLDER = ("h", 1)


def create_ledger(*amounts: int) -> Ledger:
    ledger = Ledger()
    ledger.apply(
        1,
        1,
        (
            Credit("acme", "x", 1000),
            *(Grant("acme", *HOLDER, serial, amount, WITNESSES, 1) for serial, amount in enumerate(amounts, 1)),
        ),
    )
    return ledger


def test_highest_limit_is_kept_until_the_allocation_ends() -> None:
    ledger = create_ledger(10)
    spend_witness = SpendWitness(ledger, 5)
    assert spend_witness.record_limit("acme", HOLDER, 1, 4)
    assert spend_witness.record_limit("acme", HOLDER, 1, 2)
    assert spend_witness.limit("acme", HOLDER, 1) == 4
    assert spend_witness.limit("acme", ("h", 2), 1) == 0
    ledger.apply(2, 1, (Settle("acme", *HOLDER, 1, 4, True),))
    spend_witness.allocation_ended("acme", HOLDER, 1)
    assert not spend_witness.record_limit("acme", HOLDER, 1, 9), "a limit that arrives after the end"
    assert len(spend_witness) == 0


def test_limits_of_unknown_allocations_are_bounded_and_forgotten() -> None:
    ledger = create_ledger()
    spend_witness = SpendWitness(ledger, 2)
    assert spend_witness.record_limit("acme", HOLDER, 1, 3)
    assert spend_witness.record_limit("acme", HOLDER, 3, 3)
    assert not spend_witness.record_limit("acme", HOLDER, 4, 3)
    assert not spend_witness.record_limit("t" * 500, HOLDER, 1, 3)
    assert not spend_witness.record_limit("acme", HOLDER, 1, -3)
    ledger.apply(2, 1, (Grant("acme", *HOLDER, 3, 10, WITNESSES, 1),))
    spend_witness.allocation_granted("acme", HOLDER, 3)
    assert len(spend_witness) == 1, "serial 1 can no longer be granted"
    assert spend_witness.limit("acme", HOLDER, 3) == 3
    assert spend_witness.record_limit("acme", HOLDER, 4, 1)


def test_replaced_ledger_ends_unknown_allocations() -> None:
    ledger = create_ledger(10, 10)
    spend_witness = SpendWitness(ledger, 5)
    for serial in (1, 2, 3):
        assert spend_witness.record_limit("acme", HOLDER, serial, 5)
    ledger.apply(2, 1, (Settle("acme", *HOLDER, 1, 1, True),))
    spend_witness.ledger_replaced()
    assert [spend_witness.limit("acme", HOLDER, serial) for serial in (1, 2, 3)] == [0, 5, 5]


def create_inquiry(*ceilings: int) -> WitnessInquiry:
    return WitnessInquiry(
        1,
        HOLDER,
        {
            ("acme", serial): Allocation(*HOLDER, serial, ceiling, 0, WITNESSES)
            for serial, ceiling in enumerate(ceilings, 1)
        },
        0.0,
    )


def limits(**limits_by_serial: int) -> dict[tuple[str, int], int]:
    return {("acme", int(serial[1:])): limit for serial, limit in limits_by_serial.items()}


def test_majority_must_answer_and_the_highest_limit_counts() -> None:
    inquiry = create_inquiry(10, 10)
    inquiry.add_reply(("a", 1), limits(s1=4, s2=0))
    assert inquiry.expire_entries(1, lambda witness: False) == []
    inquiry.add_reply(("b", 2), limits(s1=9, s2=9))
    assert inquiry.expire_entries(1, lambda witness: False) == [], "another process of that name knows no limits"
    inquiry.add_reply(("c", 1), limits(s1=6, s2=0))
    assert inquiry.expire_entries(3, lambda witness: False) == [
        Expire("acme", *HOLDER, 1, 6, 3),
        Expire("acme", *HOLDER, 2, 0, 3),
    ]
    assert inquiry.unanswered() == {("b", 1)}


def test_without_a_majority_the_whole_allocation_counts() -> None:
    inquiry = create_inquiry(10)
    lost_witnesses = {("b", 1)}
    assert inquiry.expire_entries(1, lost_witnesses.__contains__) == []
    lost_witnesses.add(("c", 1))
    assert inquiry.expire_entries(1, lost_witnesses.__contains__) == [Expire("acme", *HOLDER, 1, 10, 1, False)]
    second_inquiry = create_inquiry(10)
    second_inquiry.add_reply(("b", 1), limits(s1=3))
    assert second_inquiry.expire_entries(1, lost_witnesses.__contains__) == [], (
        "an answer counts also if the witness ends afterwards"
    )


def test_limit_above_the_allocation_is_clamped() -> None:
    inquiry = create_inquiry(10)
    inquiry.add_reply(("a", 1), limits(s1=400))
    inquiry.add_reply(("b", 1), limits(s1=-4))
    assert inquiry.expire_entries(1, lambda witness: False) == [Expire("acme", *HOLDER, 1, 10, 1)]


@settings(max_examples=200, derandomize=True, deadline=None)
@given(some.integers(1, 7), some.data())
def test_any_majority_of_replies_covers_the_recorded_limit(witness_count: int, data: some.DataObject) -> None:
    """Whichever majority recorded an effective limit, and whichever majority answers: the limit counts."""
    witnesses = tuple((f"w{number}", 1) for number in range(witness_count))
    quorum = witness_count // 2 + 1
    recorded: dict[ProcessId, int] = dict.fromkeys(witnesses, 0)
    effective_limit = 0
    for limit in sorted(data.draw(some.lists(some.integers(1, 50), max_size=5))):
        recording = data.draw(some.sets(some.sampled_from(witnesses), max_size=witness_count))
        for witness in recording:
            recorded[witness] = limit
        if len(recording) >= quorum:
            effective_limit = limit
    inquiry = WitnessInquiry(1, HOLDER, {("acme", 1): Allocation(*HOLDER, 1, 50, 0, witnesses)}, 0.0)
    for witness in data.draw(some.sets(some.sampled_from(witnesses), min_size=quorum)):
        inquiry.add_reply(witness, {("acme", 1): recorded[witness]})
    expiries = inquiry.expire_entries(1, lambda witness: True)
    assert len(expiries) == 1
    assert expiries[0].spend_limit >= effective_limit


# In a group


def serve_and_kill(fleet: FakeFleet, name: str, requests: int) -> int:
    """Kills a member once it has served so many requests; returns how many it had served."""
    served = 0
    while served < requests:
        if fleet.serve(name):
            served += 1
        else:
            fleet.run(5)
    fleet.kill(name)
    return served


def test_dead_holders_allocation_returns_less_at_most_a_step() -> None:
    fleet = ready(names="abcd")
    served = serve_and_kill(fleet, "d", 25)
    fleet.run(FAST_TUNING.max_lease_ms - 100)
    assert not any(text.startswith("back") for text in fleet.log_texts("a")), "it may still spend"
    fleet.run(100 + FAST_TUNING.lease_ms)
    wallet = fleet.members["a"].ledger.wallets["acme"]
    assert wallet.allocated == 0
    sizes = [int(text.split()[-1]) for text in fleet.log_texts("d") if text.startswith("holds")]
    assert served <= wallet.spent <= served + sum(map(FAST_TUNING.step_of, sizes))
    assert wallet.unallocated == 1000 - wallet.spent
    assert any(text.startswith("back acme") for text in fleet.log_texts("b"))


def test_allocation_is_lost_when_most_witnesses_restarted() -> None:
    fleet = ready(names="abcd")
    serve_and_kill(fleet, "d", 3)
    unspent = fleet.members["a"].ledger.wallets["acme"].allocated
    for name in "bc":
        fleet.kill(name)
        fleet.start(name)
    fleet.run(3 * FAST_TUNING.max_lease_ms)
    assert f"lost acme {unspent}" in fleet.log_texts("a")
    assert fleet.members["a"].ledger.wallets["acme"].spent == unspent


def test_dead_witness_is_given_up_only_by_a_leader_that_reaches_most_voters() -> None:
    fleet = ready(names="abcd")
    fleet.kill("c")
    fleet.run(FAST_TUNING.max_lease_ms)
    serve_and_kill(fleet, "d", 3)
    [allocation] = fleet.members["a"].ledger.wallets["acme"].allocations.values()
    unspent = allocation.unspent
    assert allocation.witnesses == (("a", 1), ("b", 2))
    fleet.kill("b")
    fleet.deliver("a", MemberChanged("b", "dead", ("b", 1), 1, 1))
    fleet.run(5 * FAST_TUNING.max_lease_ms)
    assert fleet.members["a"].ledger.wallets["acme"].allocated, "a is alone: it may be the isolated one"
    fleet.start("c")
    fleet.run(3 * FAST_TUNING.max_lease_ms)
    assert f"lost acme {unspent}" in fleet.log_texts("a")


def test_unreachable_witnesses_are_waited_for() -> None:
    fleet = ready(names="abcd")
    serve_and_kill(fleet, "d", 3)
    fleet.is_lost = lambda sender, member, message: isinstance(
        message, (messages.WitnessQuery, messages.WitnessReply)
    ) and "a" in (sender, member)
    fleet.run(5 * FAST_TUNING.max_lease_ms)
    assert fleet.members["a"].ledger.wallets["acme"].allocated
    fleet.is_lost = lambda sender, member, message: False
    fleet.run(FAST_TUNING.lease_ms)
    assert fleet.members["a"].ledger.wallets["acme"].allocated == 0
    assert any(text.startswith("back acme") for text in fleet.log_texts("a"))


def test_returning_holder_ends_the_query() -> None:
    fleet = ready(names="abcd")
    while not fleet.serve("d"):
        fleet.run(5)
    fleet.suspended.add("d")
    fleet.is_lost = lambda sender, member, message: isinstance(message, messages.WitnessReply)
    fleet.run(FAST_TUNING.max_lease_ms + FAST_TUNING.lease_ms)
    fleet.wake("d")
    fleet.run(FAST_TUNING.lease_ms / 2)
    fleet.is_lost = lambda sender, member, message: False
    fleet.run(FAST_TUNING.lease_ms / 2)
    assert not any(text.startswith(("back", "lost")) for text in fleet.log_texts("a"))


def test_replies_to_another_query_are_ignored() -> None:
    fleet = ready(names="abcd")
    serve_and_kill(fleet, "d", 12)
    replies: list[messages.WitnessReply] = []

    def drop_replies(sender: str, member: str, message: object) -> bool:
        if isinstance(message, messages.WitnessReply):
            replies.append(message)
        return isinstance(message, messages.WitnessReply)

    fleet.is_lost = drop_replies
    fleet.run(FAST_TUNING.max_lease_ms + FAST_TUNING.lease_ms)
    first_reply = replies[0]
    for invalid in (
        messages.WitnessReply(
            first_reply.number, first_reply.asker_epoch + 1, first_reply.process_epoch, first_reply.limits
        ),
        messages.WitnessReply(
            first_reply.number + 99, first_reply.asker_epoch, first_reply.process_epoch, first_reply.limits
        ),
        messages.WitnessReply(
            first_reply.number, first_reply.asker_epoch, first_reply.process_epoch, first_reply.limits + (1,)
        ),
    ):
        fleet.members["a"].granter.reply_received(fleet.now, "b", invalid)
        fleet.members["a"].granter.reply_received(fleet.now, "c", invalid)
    assert fleet.members["a"].ledger.wallets["acme"].allocated
