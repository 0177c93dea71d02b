"""Who gets how much, who gives back, and what a leader does with answers that never come."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from limenotch.fleet.consensus import api as log
from limenotch.fleet.interfaces import SendToMember
from limenotch.fleet.wallet import Tuning, api, entries, messages
from limenotch.fleet.wallet.entries import Credit, Entry, Grant, Settle
from limenotch.fleet.wallet.ledger import Book
from limenotch.fleet.wallet.quota_grants import MOST_SLICES, Granting
from tests.fleet.fake_wallets import QUICK, Group, ready

TUNING = Tuning(lease_ms=600, slice_ms=400, record_ms=40, idle_ms=400)


class Leader:
    """a leads; a, b, c vote; whoever `leased` names has a lease. What is proposed waits in `asked`."""

    def __init__(self, *credits: int, leased: str = "abc", tuning: Tuning = TUNING) -> None:
        self.book, self.now, self.asked = Book(), 0.0, dict[int, tuple[Entry, ...]]()
        self.granting = Granting("a", 1, self.book, tuning, ("a", "b", "c"), self._propose)
        self.granting.begin(0.0, 1)
        self.agree(*(Credit("acme", f"i{number}", amount) for number, amount in enumerate(credits)))
        for name in leased:
            self.granting.lease(0.0, name, messages.AskLease(1, 1))

    def _propose(self, told: tuple[Entry, ...], why: str) -> int:
        self.asked[len(self.asked) + 1] = told
        return len(self.asked)

    def agree(self, *told: Entry) -> None:
        self.book.apply(self.book.index + 1, 1, told)
        self.granting.changed("acme")

    def want(self, name: str, amount: int, least: int = 0, newest: int = 0, pace: int | None = None) -> None:
        pace = amount if pace is None else pace
        self.granting.wanted(self.now, name, messages.Want(1, (("acme", newest, amount, least, pace),)))

    def tick(self, ms: float = 0.0) -> list[Grant]:
        """The grants asked for."""
        self.now += ms
        before = len(self.asked)
        self.granting.out = []
        self.granting.tick(self.now)
        fresh = [one for ticket in range(before + 1, len(self.asked) + 1) for one in self.asked[ticket]]
        return [one for one in fresh if isinstance(one, Grant)]

    def recalls(self) -> dict[str, float]:
        return {
            one.member: one.message.recalls[0][1]
            for one in self.granting.out
            if isinstance(one, SendToMember) and isinstance(one.message, messages.Recall)
        }

    def promise(self) -> None:
        """The last that was asked for."""
        ticket = len(self.asked)
        self.agree(*self.asked[ticket])
        self.granting.ended(ticket, True)


def test_each_gets_what_it_wants_while_there_is_enough() -> None:
    leader = Leader(1000)
    leader.want("b", 100)
    leader.want("c", 30)
    grants = leader.tick()
    assert [(one.name, one.amount, one.serial) for one in grants] == [("b", 100, 1), ("c", 30, 2)]
    assert grants[0].witnesses == (("a", 1), ("b", 1), ("c", 1))
    assert leader.tick() == [], "they are on their way"
    leader.promise()
    assert leader.tick() == []


def test_at_most_half_of_what_is_left_among_those_who_want() -> None:
    leader = Leader(1000)
    leader.want("b", 240)
    leader.want("c", 240)
    assert [one.amount for one in leader.tick()] == [240, 240]
    leader = Leader(1000)
    leader.want("b", 480, pace=240)
    leader.want("c", 480, pace=240)
    assert [one.amount for one in leader.tick()] == [250, 250]


def test_a_want_counts_once_and_knowing_of_all_before() -> None:
    leader = Leader(1000)
    leader.want("b", 10)
    leader.tick()
    leader.want("b", 10)
    assert leader.tick() == [], "one is on its way"
    leader.promise()
    assert leader.tick() == [], "said before it can have heard of it"
    leader.want("b", 10, newest=0)
    assert leader.tick() == []
    leader.want("b", 10, newest=1)
    assert [one.serial for one in leader.tick()] == [2]


def test_nothing_to_who_has_no_lease_and_all_at_once_when_it_has() -> None:
    leader = Leader(1000, leased="ab")
    leader.want("c", 10)
    assert leader.tick() == []
    leader.granting.lease(leader.now, "c", messages.AskLease(1, 1))
    assert [one.name for one in leader.tick()] == ["c"]


def test_nothing_before_most_voters_are_known() -> None:
    leader = Leader(1000, leased="")
    leader.granting.lease(0.0, "h", messages.AskLease(1, 1))
    leader.want("h", 10)
    assert leader.tick() == [], "a is a voter, one of three"
    leader.granting.lease(0.0, "b", messages.AskLease(1, 7))
    assert [one.witnesses for one in leader.tick()] == [(("a", 1), ("b", 7))]


def test_a_want_is_over_with_a_lease_s_time() -> None:
    leader = Leader(leased="abc")
    leader.agree(Credit("acme", "x", 5), Grant("acme", "b", 1, 1, 5, (("a", 1),), 1))
    leader.want("c", 10)
    leader.tick()
    leader.agree(Credit("acme", "y", 500))
    leader.granting.lease(590.0, "c", messages.AskLease(2, 1))
    assert leader.tick(TUNING.lease_ms) == []


@pytest.mark.parametrize("word", ["refused", "unknown"])
def test_what_the_log_did_not_take_is_asked_for_again(word: str) -> None:
    leader = Leader(100)
    leader.want("b", 60, pace=10)
    assert [one.amount for one in leader.tick()] == [50]
    if word == "refused":
        leader.granting.ended(1, False)
    else:
        leader.granting.unknown(1)
    assert leader.tick() == [], "not before it is said again: the log may refuse for long"
    leader.want("b", 60, pace=10)
    assert [(one.amount, one.serial) for one in leader.tick()] == [(50, 2)]
    leader.agree(*leader.asked[1])
    assert leader.book.wallets["acme"].left == 50
    leader.promise()
    assert leader.book.wallets["acme"].held == 100, "it came after all: both are held, none twice"


def test_short_of_credit_all_have_enough_for_the_same_time() -> None:
    leader = Leader(100)
    leader.want("b", 400)
    leader.want("c", 40)
    b, c = leader.tick()
    assert (b.name, b.amount, c.amount) == ("b", 50, 20)
    leader.promise()
    leader.want("b", 400, newest=1)
    [more] = leader.tick()
    assert more.amount == 15, "half stays for those who use little"


def test_recalls_halve_what_may_be_kept_and_grow_rarer() -> None:
    leader = Leader(leased="abc")
    leader.agree(Credit("acme", "x", 100), Grant("acme", "b", 1, 1, 100, (("a", 1),), 1))
    leader.want("c", 40, least=1)
    assert leader.tick() == []
    assert leader.recalls() == {"b": 200.0, "c": 200.0}
    said: list[tuple[float, float]] = []
    for _ in range(300):
        leader.want("c", 40, least=1)
        for name in "abc":
            leader.granting.lease(leader.now, name, messages.AskLease(1, 1))
        leader.tick(10)
        if "b" in leader.recalls():
            said.append((leader.now, leader.recalls()["b"]))
    assert [keep for _, keep in said[:6]] == [100.0, 50.0, 25.0, 12.5, 10.0, 10.0]
    gaps = [after - before for (before, _), (after, _) in zip(said, said[1:], strict=False)]
    assert gaps == sorted(gaps)
    assert gaps[-1] == TUNING.idle_ms, "nothing was spent all the time"


def test_a_recall_that_brings_credit_ends_in_a_grant() -> None:
    leader = Leader(leased="abc")
    leader.agree(Credit("acme", "x", 100), Grant("acme", "b", 1, 1, 100, (("a", 1),), 1))
    leader.want("c", 40, least=1)
    leader.tick()
    leader.agree(Settle("acme", "b", 1, 1, 10, True, 50))
    assert [(one.name, one.amount) for one in leader.tick()] == [("c", 20)]


def test_new_credit_ends_the_shortness() -> None:
    leader = Leader(leased="abc")
    leader.agree(Credit("acme", "x", 10), Grant("acme", "b", 1, 1, 10, (("a", 1),), 1))
    leader.want("c", 40, least=1)
    leader.tick()
    leader.agree(Credit("acme", "y", 1000))
    assert [one.amount for one in leader.tick()] == [40]
    assert leader.granting.due() == leader.granting._gone_at


def test_one_holder_alone_is_not_asked_to_give_to_itself() -> None:
    leader = Leader(4)
    leader.agree(Grant("acme", "b", 1, 1, 4, (("a", 1),), 1))
    leader.want("b", 8, least=8, newest=1)
    for _ in range(20):
        leader.want("b", 8, least=8, newest=1)
        assert leader.tick(100) == []
        assert leader.recalls() == {}


def test_slices_that_are_not_settled_are_bounded() -> None:
    leader = Leader(1000)
    leader.agree(*(Grant("acme", "b", 1, serial, 1, (("a", 1),), 1) for serial in range(1, MOST_SLICES + 1)))
    leader.want("b", 10, newest=MOST_SLICES)
    assert leader.tick() == []


def test_what_makes_no_sense_is_not_heeded() -> None:
    leader = Leader(100)
    for want in (("acme", 0, -1, 0, 5), ("acme", 0, 5, -1, 5), ("acme", 0, 5, 0, -5), ("other", 0, 5, 0, 5)):
        leader.granting.wanted(0.0, "b", messages.Want(1, (want,)))
    assert leader.tick() == []
    leader.granting.end()
    leader.want("b", 5)
    assert leader.tick() == []
    assert leader.granting.due() == float("inf")


# In a group


def spend(group: Group, name: str, ms: float, each_ms: float, kind: str = "call") -> int:
    """A call each so many ms; how many were served."""
    served = 0
    for _ in range(int(ms / each_ms)):
        served += group.serve(name, kind=kind)
        group.run(each_ms)
    return served


def test_an_idle_slice_goes_back_by_itself() -> None:
    group = ready()
    assert spend(group, "b", 50, 5)
    group.run(2 * QUICK.idle_ms)
    wallet = group.wallets["a"].book.wallets["acme"]
    assert not wallet.slices
    assert wallet.left == 1000 - wallet.spent


def test_the_idle_give_to_the_busy_before_anybody_is_turned_away_for_long() -> None:
    group = ready(300, tuning=msgspec.structs.replace(QUICK, idle_ms=60_000))
    assert spend(group, "b", 200, 5)
    spend(group, "c", 3000, 5)
    wallet = group.wallets["a"].book.wallets["acme"]
    assert wallet.spent + wallet.held >= 299
    held = [one.held for one in wallet.slices.values() if one.name == "b"]
    assert sum(held) <= 1


def test_a_recall_of_one_that_sleeps_comes_back_by_its_lease() -> None:
    group = ready(60, tuning=msgspec.structs.replace(QUICK, idle_ms=60_000))
    assert spend(group, "b", 100, 5)
    group.asleep.add("b")
    served = spend(group, "c", 3 * QUICK.held_ms, 5)
    spent = group.wallets["a"].book.wallets["acme"].spent
    assert any(text.startswith("back acme") for text in group.texts("a"))
    group.wake("b")
    group.run(QUICK.lease_ms)
    assert not any(one.room for one in group.wallets["b"].purse.accounts["acme"].slices.values())
    assert spent <= 60
    assert served > 20


def test_one_unit_and_fifty_sidecars() -> None:
    names = "".join(chr(ord("a") + number) for number in range(26)) + "".join(chr(ord("A") + n) for n in range(24))
    group = ready(1, names=names)
    served, before = 0, len(group.log)
    for turn in range(400):
        served += group.serve(names[(turn * 17) % 50])
        group.run(10)
    assert served == 1
    assert group.wallets["a"].book.wallets["acme"].spent == 1
    assert len(group.log) - before < 60, "it does not go round and round"
    after = len(group.log)
    for turn in range(200):
        assert not group.serve(names[(turn * 17) % 50])
        group.run(10)
    assert len(group.log) == after, "nothing is left to speak of"


def test_a_leader_that_changes_in_the_middle_of_a_grant() -> None:
    group = ready()
    group.fate = lambda frm, told: "unknown" if isinstance(told[0], Grant) else "promised"
    assert not group.serve("b")
    [(_, propose, term)] = group.late
    told = entries.decode(propose.data)
    assert told is not None
    group.fate = lambda frm, told: "promised"
    group.lead("c")
    group.agree(*told)
    assert group.wallets["a"].counts["Grant bad"] == 1, "forwarded to the new leader: of another epoch"
    assert len(group.wallets["a"].book.wallets["acme"].slices) == 1, "c's own"
    group.run(QUICK.lease_ms)
    assert spend(group, "b", 50, 5) > 8
    assert group.wallets["a"].book.wallets["acme"].held <= 1000


def test_a_grant_of_the_old_leader_that_was_agreed_is_used() -> None:
    group = ready()
    group.fate = lambda frm, told: "unknown" if isinstance(told[0], Grant) else "promised"
    assert not group.serve("b")
    [(_, propose, term)] = group.late
    told = entries.decode(propose.data)
    assert told is not None
    group.fate = lambda frm, told: "promised"
    group.agree(*told, term=term)
    group.lead("c")
    group.run(QUICK.lease_ms / 2)
    assert spend(group, "b", 20, 5) == 4


def test_a_log_that_refuses_is_not_asked_without_end() -> None:
    group = ready()
    asked: list[Any] = []

    def refuse(frm: str, told: tuple[Entry, ...]) -> str:
        asked.append(told)
        return "refused"

    group.fate = refuse
    for _ in range(100):
        assert isinstance(group.call("b"), api.Turned)
        group.run(10)
    assert len(asked) <= 1000 / (QUICK.lease_ms / 3) + 2


def test_who_leads_again_knows_nothing_of_what_it_had_asked() -> None:
    group = ready()
    group.fate = lambda frm, told: "held" if isinstance(told[0], Grant) else "promised"
    assert not group.serve("b")
    [(name, propose, _)] = group.late
    group.fate = lambda frm, told: "promised"
    group.lead("a")
    group.tell(name, log.OutcomeUnknown(propose.ticket))
    group.run(QUICK.record_ms)
    assert spend(group, "b", 20, 5) == 4
