"""The part: operators' answers, snapshots, advance, what it tells operators, bad messages, what a call costs."""

from __future__ import annotations

import msgspec
import pytest

from limenotch.fleet.consensus import api as log
from limenotch.fleet.interfaces import MemberChanged, MessageReceived, ShutdownStarted, Started
from limenotch.fleet.wallet import Tuning, Wallet, api, entries, messages
from limenotch.fleet.wallet.entries import Credit
from tests.fleet.fake_wallets import QUICK, Group, ready

ADVANCE = msgspec.structs.replace(QUICK, without_lease="advance", advance=5)


def test_an_id_counts_once_wherever_it_is_said() -> None:
    group = ready()
    again = group.add(1000, name="c")
    assert again is not None
    assert (again.word, again.text) == ("counted", "1000 under 'one'")
    other = group.add(7, "two", name="b")
    assert other is not None and other.word == "done"
    assert group.wallets["b"].book.wallets["acme"].credit == 1007
    assert group.texts("c") == ["paid acme 1000", "paid acme 7"]


def test_a_lost_answer_costs_nothing() -> None:
    group = ready()
    group.fate = lambda frm, told: "unknown"
    lost = group.add(50, "two")
    assert lost is not None and lost.word == "unknown"
    [(_, propose, _)] = group.late
    told = entries.decode(propose.data)
    assert told is not None
    group.agree(*told)
    group.fate = lambda frm, told: "promised"
    again = group.add(50, "two", name="b")
    assert again is not None and again.word == "counted"
    assert group.wallets["a"].book.wallets["acme"].credit == 1050


def test_two_at_once_with_one_id_are_told_apart() -> None:
    group = ready()
    group.fate = lambda frm, told: "held"
    assert group.add(50, "two", name="a") is None
    assert group.add(50, "two", name="b") is None
    for name, propose, _ in reversed(group.late):
        told = entries.decode(propose.data)
        assert told is not None
        group.tell(name, log.ProposalCommitted(propose.ticket, group.agree(*told)))
    assert [answer.word for answer in group.answers] == ["done", "done", "counted"]


def test_promised_but_not_applied_here_is_waited_for_and_then_unknown() -> None:
    group = ready()
    group.fate = lambda frm, told: "held"
    group.add(50, "two")
    [(_, propose, _)] = group.late
    group.tell("a", log.ProposalCommitted(propose.ticket, 40))
    group.run(QUICK.ask_ms - 1)
    assert len(group.answers) == 1
    group.run(1)
    assert group.answers[-1].word == "unknown"
    group.tell("a", log.OutcomeUnknown(propose.ticket))
    assert len(group.answers) == 2, "each gets one answer"


@pytest.mark.parametrize(
    ("tenant", "amount", "ident", "word"),
    [
        ("acme", 0, "x", "amount"),
        ("acme", 1 << 61, "x", "amount"),
        ("", 1, "x", "tenant"),
        ("acme", 1, "", "id"),
        ("other", 1, "x", "tenant"),
        ("acme", 1, "i" * 300, "id"),
    ],
)
def test_what_can_be_no_credit_is_refused_by_its_key(tenant: str, amount: int, ident: str, word: str) -> None:
    group = ready(tuning=msgspec.structs.replace(QUICK, tenants=("acme",)))
    before = len(group.log)
    answer = group.add(amount, ident, tenant=tenant)
    assert answer is not None
    assert answer.word == "refused"
    assert answer.text.startswith(word)
    assert len(group.log) == before


def test_what_the_wallet_can_hold_no_more_of_is_refused() -> None:
    group = ready(1 << 60)
    full = group.add(5, "two")
    assert full is not None and (full.word, full.text[:9]) == ("refused", "more than")
    group = ready(tuning=msgspec.structs.replace(QUICK, most_ids=1))
    full = group.add(5, "two")
    assert full is not None and (full.word, full.text[:8]) == ("refused", "too many")


def test_show_sees_all_that_was_promised() -> None:
    group = ready()
    for _ in range(3):
        group.serve("b")
    group.tell("c", api.OperatorRequest(1, "show", "acme"))
    group.tell("c", api.OperatorRequest(2, "show"))
    group.tell("c", api.OperatorRequest(3, "show", "nobody"))
    group.tell("c", api.OperatorRequest(4, "odd"))
    one, every, none, odd = group.answers[1:]
    assert one.body == {"acme": {"credit": 1000, "spent": 0, "left": 990, "held": 10, "slices": 1}}
    assert every == api.OperatorResponse(2, "shown", "", one.body)
    assert (none.word, odd.word) == ("none", "refused")
    group.leader = None
    group.tell("c", api.OperatorRequest(5, "show"))
    assert group.answers[-1].word == "refused"


def test_askers_are_bounded() -> None:
    group = ready(tuning=msgspec.structs.replace(QUICK, most_asks=2))
    group.fate = lambda frm, told: "held"
    for number in range(3):
        group.add(5, f"x{number}")
    assert [answer.text for answer in group.answers[1:]] == ["busy"]
    group.run(QUICK.ask_ms)
    assert [answer.word for answer in group.answers[1:]] == ["refused", "unknown", "unknown"]


def test_pauses_and_resumes_within_the_stated_time() -> None:
    group = ready(20)
    turned = 0
    for _ in range(200):
        turned += not group.serve("b")
        group.run(5)
    assert "pauses acme" in group.texts("b")
    assert group.wallets["a"].book.wallets["acme"].spent == 20
    last = group.wallets["b"].purse.reserve(group.now, "acme", "call")
    assert last == api.Turned(QUICK.retry_after_ms)
    begin = group.now
    group.add(500, "two")
    while not group.serve("b"):
        group.run(1)
    assert group.now - begin <= QUICK.resume_ms
    texts = group.texts("b")
    assert "resumes acme" in texts[texts.index("paid acme 500") :]


def test_slices_after_a_pause_begin_small_and_double() -> None:
    group = ready(300)
    for _ in range(150):
        for _ in range(3):
            group.serve("b")
        group.run(5)
    assert group.texts("b")[-1] == "pauses acme"
    already = len(group.texts("b"))
    group.add(100_000, "two")
    for _ in range(100):
        for _ in range(3):
            group.serve("b")
        group.run(5)
    sizes = [int(text.split()[-1]) for text in group.texts("b")[already:] if text.startswith("holds")]
    assert sizes[:4] == [5, 10, 20, 40]


def test_other_tenants_notice_nothing_of_a_pause() -> None:
    group = ready(20)
    group.add(100_000, tenant="other")
    group.serve("b", "other")
    for _ in range(100):
        for _ in range(3):
            group.serve("b")
        assert group.serve("b", "other")
        group.run(5)
    assert "pauses acme" in group.texts("b")
    assert "pauses other" not in group.texts("b")


def test_without_a_quorum_slices_last_to_the_lease_s_end() -> None:
    group = ready()
    for _ in range(20):
        group.serve("b")
        group.run(5)
    group.leader = None
    group.tell("b", log.LeaderChanged(None, 2))
    until = group.wallets["b"].purse.until
    assert group.serve("b")
    group.run(until - group.now)
    assert not group.serve("b")
    assert group.texts("b")[-1] == "pauses acme"


def test_an_advance_is_told_once_when_the_log_is_back() -> None:
    group = ready(names="abc", tuning=ADVANCE)
    group.serve("b")
    group.leader = None
    group.tell("b", log.LeaderChanged(None, 2))
    group.run(QUICK.held_ms + 100)
    spent = group.wallets["a"].book.wallets["acme"].spent
    assert [group.serve("b") for _ in range(7)] == [True] * 5 + [False] * 2
    group.fate = lambda frm, told: "unknown" if isinstance(told[0], entries.Advance) else "promised"
    group.lead("a")
    group.run(200)
    assert group.late
    first = entries.decode(group.late[0][1].data)
    assert first is not None
    group.fate = lambda frm, told: "promised"
    group.agree(*first)
    group.run(300)
    wallet = group.wallets["a"].book.wallets["acme"]
    assert wallet.advanced == {"b": {2: 1}}
    assert wallet.spent + wallet.held >= spent + 5
    assert group.wallets["b"].purse.accounts["acme"].lent == 0
    group.leader = None
    group.tell("b", log.LeaderChanged(None, 4))
    group.run(QUICK.held_ms + 100)
    assert [group.serve("b") for _ in range(6)] == [True] * 5 + [False], "it was told: as much again"


def test_a_snapshot_brings_all_of_it_and_one_s_own_slices() -> None:
    group = ready()
    for _ in range(30):
        group.serve("b")
        group.run(5)
    held = group.wallets["b"]
    state, index = group.wallets["a"].state(), len(group.log)
    fresh = Wallet("d", 9, QUICK, ("a", "b", "c"), state)
    assert fresh.state() == state
    assert fresh.book.index == index
    before = dict(held.purse.accounts["acme"].slices)
    group.tell("b", log.SnapshotInstalled(index, state))
    assert held.purse.accounts["acme"].slices == before, "those it holds go on as they are"
    assert held.handle(group.now, log.EntryCommitted(index, 1, entries.encode((Credit("acme", "late", 5),)), "")) == []
    assert held.book.wallets["acme"].credit == 1000


def test_slices_that_ended_or_came_within_a_snapshot() -> None:
    group = ready()
    group.serve("b")
    group.asleep.add("b")
    group.run(QUICK.held_ms + QUICK.lease_ms)
    process_epoch = group.wallets["b"].process_epoch
    serial = group.wallets["a"].book.wallets["acme"].serial + 1
    group.agree(entries.Grant("acme", "b", process_epoch, serial, 7, (("a", 1), ("c", 3)), 1))
    group._kept = []
    group.asleep.clear()
    group.tell("b", log.SnapshotInstalled(len(group.log), group.wallets["a"].state()))
    slices = group.wallets["b"].purse.accounts["acme"].slices
    assert list(slices) == [serial]
    assert slices[serial].top == 7


def test_costs_no_message_and_no_entry_a_call() -> None:
    group = ready(1_000_000)
    for _ in range(200):
        group.serve("b")
        group.run(1)
    said, told = 0, len(group.log)

    def count(frm: str, to: str, message: object) -> bool:
        nonlocal said
        said += 1
        return False

    group.lost = count
    for _ in range(1000):
        for _ in range(20):
            assert group.serve("b")
        group.run(1)
    assert said < 250, "20 000 calls in a second"
    assert len(group.log) - told < 60


def test_tenants_share_messages_and_entries() -> None:
    group = ready()
    many = [f"t{number}" for number in range(100)]
    for tenant in many:
        group.add(1000, tenant=tenant)
    marks: list[int] = []

    def count(frm: str, to: str, message: object) -> bool:
        if isinstance(message, messages.Mark):
            marks.append(len(message.marks))
        return False

    group.lost = count
    before = len(group.log)
    for tenant in many:
        group.wallets["b"].purse.reserve(group.now, tenant, "call")
    group.look("b")
    assert len(group.log) - before == 1
    assert marks == [100, 100], "to each other voter"
    group.run(3 * QUICK.idle_ms)
    assert len(group.log) - before <= 4
    assert not group.wallets["a"].book.owners


def test_bad_messages_change_nothing() -> None:
    group = ready()
    for _ in range(3):
        group.serve("b")
    before = group.wallets["b"].state()
    process_epoch = group.wallets["b"].process_epoch
    for message in (
        messages.Lease(process_epoch, 99, float("nan"), 0),
        messages.Lease(process_epoch + 1, 1, 600, 0),
        messages.Held(1, process_epoch, (("acme", 77, 5), ("odd", 1, 5), ("acme", 1, -5))),
        messages.Recall(process_epoch, (("acme", float("nan")), ("odd", 5.0))),
        messages.Recall(process_epoch + 1, (("acme", 0.0),)),
        messages.Told(1, 1, 1, (5,)),
        messages.Question(1, 1, "x", 1, (("acme", 1),) * 500),
        messages.Mark(5, (("t" * 900, 1, 5), ("acme", 900, -1))),
    ):
        group.tell("b", MessageReceived(("x", 1), "c", message))
    assert group.wallets["b"].state() == before
    assert group.serve("b")
    assert group.wallets["b"].counts == {}
    wallet = Wallet("a", 1)
    with pytest.raises(TypeError):
        wallet.handle(0.0, object())
    wallet.handle(5.0, Started())
    with pytest.raises(ValueError):
        wallet.handle(4.0, ShutdownStarted())
    wallet.handle(5.0, MemberChanged("b", "dead", ("b", 1), 1, 1))
    wallet.handle(5.0, log.EntryCommitted(1, 1, b"\xc1", ""))
    assert wallet.counts == {"no entry of the wallet": 1}


def test_whoever_votes_now_is_a_witness() -> None:
    group = ready(names="abcd")
    for name in "abcd":
        group.tell(name, api.Witnesses(("b", "c", "d")))
    group.serve("b")
    slices = group.wallets["a"].book.wallets["acme"].slices
    assert [one.witnesses for one in slices.values()] == [(("b", 2), ("c", 3), ("d", 4))]


def test_one_sidecar_alone() -> None:
    group = Group("a", "a")
    group.lead("a")
    group.run(10)
    group.add(30)
    served = 0
    for _ in range(200):
        served += group.serve("a")
        group.run(5)
    assert served == 30
    assert group.wallets["a"].book.wallets["acme"].spent == 30


def test_stated_times_follow_from_the_settings() -> None:
    tuning = Tuning()
    assert tuning.held_ms == 3060
    assert tuning.pause_ms == 3060 + 1000 + 2000 + 800
    assert tuning.resume_ms == 1000 + 600
    assert [tuning.step_of(size) for size in (1, 10, 30, 400)] == [1, 10, 10, 100]
    assert tuning.step_of(400, 250) == 250
