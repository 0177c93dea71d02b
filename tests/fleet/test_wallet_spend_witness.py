"""Marks: what witnesses remember, and what a holder that is gone is counted to have spent."""

from __future__ import annotations

import hypothesis.strategies as some
from hypothesis import given, settings

from limenotch.fleet.interfaces import MemberChanged
from limenotch.fleet.wallet import messages
from limenotch.fleet.wallet.entries import Credit, Expire, Grant, Settle
from limenotch.fleet.wallet.ledger import Book, Owner, Slice
from limenotch.fleet.wallet.spend_witness import Gone, Memory
from tests.fleet.fake_wallets import QUICK, Group, ready

WITNESSES: tuple[Owner, ...] = (("a", 1), ("b", 1), ("c", 1))
HOLDER = ("h", 1)


def book(*amounts: int) -> Book:
    made = Book()
    made.apply(
        1,
        1,
        (
            Credit("acme", "x", 1000),
            *(Grant("acme", *HOLDER, serial, amount, WITNESSES, 1) for serial, amount in enumerate(amounts, 1)),
        ),
    )
    return made


def test_remembers_the_highest_until_the_slice_ends() -> None:
    held = book(10)
    memory = Memory(held, 5)
    assert memory.tell("acme", HOLDER, 1, 4)
    assert memory.tell("acme", HOLDER, 1, 2)
    assert memory.mark("acme", HOLDER, 1) == 4
    assert memory.mark("acme", ("h", 2), 1) == 0
    held.apply(2, 1, (Settle("acme", *HOLDER, 1, 4, True),))
    memory.ended("acme", HOLDER, 1)
    assert not memory.tell("acme", HOLDER, 1, 9), "a mark that comes after the end"
    assert len(memory) == 0


def test_marks_that_come_before_their_grant_are_bounded_and_forgotten() -> None:
    held = book()
    memory = Memory(held, 2)
    assert memory.tell("acme", HOLDER, 1, 3)
    assert memory.tell("acme", HOLDER, 3, 3)
    assert not memory.tell("acme", HOLDER, 4, 3)
    assert not memory.tell("t" * 500, HOLDER, 1, 3)
    assert not memory.tell("acme", HOLDER, 1, -3)
    held.apply(2, 1, (Grant("acme", *HOLDER, 3, 10, WITNESSES, 1),))
    memory.granted("acme", HOLDER, 3)
    assert len(memory) == 1, "1 will never be granted any more"
    assert memory.mark("acme", HOLDER, 3) == 3
    assert memory.tell("acme", HOLDER, 4, 1)


def test_an_installed_book_ends_what_it_does_not_know() -> None:
    held = book(10, 10)
    memory = Memory(held, 5)
    for serial in (1, 2, 3):
        assert memory.tell("acme", HOLDER, serial, 5)
    held.apply(2, 1, (Settle("acme", *HOLDER, 1, 1, True),))
    memory.installed()
    assert [memory.mark("acme", HOLDER, serial) for serial in (1, 2, 3)] == [0, 5, 5]


def gone(*tops: int) -> Gone:
    return Gone(
        1,
        HOLDER,
        {("acme", serial): Slice(*HOLDER, serial, top, 0, WITNESSES) for serial, top in enumerate(tops, 1)},
        0.0,
    )


def marks(**told: int) -> dict[tuple[str, int], int]:
    return {("acme", int(serial[1:])): mark for serial, mark in told.items()}


def test_most_must_tell_and_the_highest_counts() -> None:
    one = gone(10, 10)
    one.told(("a", 1), marks(s1=4, s2=0))
    assert one.ends(1, lambda witness: False) == []
    one.told(("b", 2), marks(s1=9, s2=9))
    assert one.ends(1, lambda witness: False) == [], "another life knows nothing of it"
    one.told(("c", 1), marks(s1=6, s2=0))
    assert one.ends(3, lambda witness: False) == [Expire("acme", *HOLDER, 1, 6, 3), Expire("acme", *HOLDER, 2, 0, 3)]
    assert one.witnesses() == {("b", 1)}


def test_too_few_live_on_so_all_of_it_counts() -> None:
    one = gone(10)
    lost = {("b", 1)}
    assert one.ends(1, lost.__contains__) == []
    lost.add(("c", 1))
    assert one.ends(1, lost.__contains__) == [Expire("acme", *HOLDER, 1, 10, 1, False)]
    two = gone(10)
    two.told(("b", 1), marks(s1=3))
    assert two.ends(1, lost.__contains__) == [], "one that told and fell then has told"


def test_a_mark_above_the_slice_counts_no_more_than_it() -> None:
    one = gone(10)
    one.told(("a", 1), marks(s1=400))
    one.told(("b", 1), marks(s1=-4))
    assert one.ends(1, lambda witness: False) == [Expire("acme", *HOLDER, 1, 10, 1)]


@settings(max_examples=200, derandomize=True, deadline=None)
@given(some.integers(1, 7), some.data())
def test_no_majority_that_tells_misses_one_that_held(many: int, data: some.DataObject) -> None:
    """Whatever majority held a mark that was open, whatever majority is heard: it counts."""
    witnesses = tuple((f"w{number}", 1) for number in range(many))
    quorum = many // 2 + 1
    told: dict[Owner, int] = dict.fromkeys(witnesses, 0)
    opened = 0
    for mark in sorted(data.draw(some.lists(some.integers(1, 50), max_size=5))):
        held = data.draw(some.sets(some.sampled_from(witnesses), max_size=many))
        for witness in held:
            told[witness] = mark
        if len(held) >= quorum:
            opened = mark
    one = Gone(1, HOLDER, {("acme", 1): Slice(*HOLDER, 1, 50, 0, witnesses)}, 0.0)
    for witness in data.draw(some.sets(some.sampled_from(witnesses), min_size=quorum)):
        one.told(witness, {("acme", 1): told[witness]})
    ends = one.ends(1, lambda witness: True)
    assert len(ends) == 1
    assert ends[0].mark >= opened


# In a group


def died(group: Group, name: str, calls: int) -> int:
    """How many it had served, when it was killed."""
    served = 0
    while served < calls:
        if group.serve(name):
            served += 1
        else:
            group.run(5)
    group.kill(name)
    return served


def test_a_dead_holder_s_slice_comes_back_less_at_most_a_step() -> None:
    group = ready(names="abcd")
    served = died(group, "d", 25)
    group.run(QUICK.held_ms - 100)
    assert not any(text.startswith("back") for text in group.texts("a")), "it may spend yet"
    group.run(100 + QUICK.lease_ms)
    wallet = group.wallets["a"].book.wallets["acme"]
    assert wallet.held == 0
    sizes = [int(text.split()[-1]) for text in group.texts("d") if text.startswith("holds")]
    assert served <= wallet.spent <= served + sum(map(QUICK.step_of, sizes))
    assert wallet.left == 1000 - wallet.spent
    assert any(text.startswith("back acme") for text in group.texts("b"))


def test_where_most_witnesses_live_anew_the_slice_is_lost() -> None:
    group = ready(names="abcd")
    died(group, "d", 3)
    held = group.wallets["a"].book.wallets["acme"].held
    for name in "bc":
        group.kill(name)
        group.start(name)
    group.run(3 * QUICK.held_ms)
    assert f"lost acme {held}" in group.texts("a")
    assert group.wallets["a"].book.wallets["acme"].spent == held


def test_a_witness_that_is_held_dead_is_lost_to_one_in_reach_of_most_voters() -> None:
    group = ready(names="abcd")
    group.kill("c")
    group.run(QUICK.held_ms)
    died(group, "d", 3)
    [one] = group.wallets["a"].book.wallets["acme"].slices.values()
    held = one.held
    assert one.witnesses == (("a", 1), ("b", 2))
    group.kill("b")
    group.tell("a", MemberChanged("b", "dead", ("b", 1), 1, 1))
    group.run(5 * QUICK.held_ms)
    assert group.wallets["a"].book.wallets["acme"].held, "a is alone: who knows which of them is cut off"
    group.start("c")
    group.run(3 * QUICK.held_ms)
    assert f"lost acme {held}" in group.texts("a")


def test_witnesses_that_are_out_of_reach_are_waited_for() -> None:
    group = ready(names="abcd")
    died(group, "d", 3)
    group.lost = lambda frm, to, message: isinstance(message, (messages.Question, messages.Told)) and "a" in (frm, to)
    group.run(5 * QUICK.held_ms)
    assert group.wallets["a"].book.wallets["acme"].held
    group.lost = lambda frm, to, message: False
    group.run(QUICK.lease_ms)
    assert group.wallets["a"].book.wallets["acme"].held == 0
    assert any(text.startswith("back acme") for text in group.texts("a"))


def test_a_holder_that_comes_back_ends_the_question() -> None:
    group = ready(names="abcd")
    while not group.serve("d"):
        group.run(5)
    group.asleep.add("d")
    group.lost = lambda frm, to, message: isinstance(message, messages.Told)
    group.run(QUICK.held_ms + QUICK.lease_ms)
    group.wake("d")
    group.run(QUICK.lease_ms / 2)
    group.lost = lambda frm, to, message: False
    group.run(QUICK.lease_ms / 2)
    assert not any(text.startswith(("back", "lost")) for text in group.texts("a"))


def test_what_was_told_to_a_process_before_is_no_answer() -> None:
    group = ready(names="abcd")
    died(group, "d", 12)
    told: list[messages.Told] = []

    def lost(frm: str, to: str, message: object) -> bool:
        if isinstance(message, messages.Told):
            told.append(message)
        return isinstance(message, messages.Told)

    group.lost = lost
    group.run(QUICK.held_ms + QUICK.lease_ms)
    first = told[0]
    for wrong in (
        messages.Told(first.number, first.asker + 1, first.process_epoch, first.marks),
        messages.Told(first.number + 99, first.asker, first.process_epoch, first.marks),
        messages.Told(first.number, first.asker, first.process_epoch, first.marks + (1,)),
    ):
        group.wallets["a"].granting.told(group.now, "b", wrong)
        group.wallets["a"].granting.told(group.now, "c", wrong)
    assert group.wallets["a"].book.wallets["acme"].held
