"""The lease on slices: spans, what must be applied first, pauses, fences, leaders that change."""

from __future__ import annotations

import msgspec

from limenotch.fleet.consensus import api as log
from limenotch.fleet.interfaces import Fenced, ShutdownStarted
from limenotch.fleet.wallet import Tuning, api, entries, messages
from limenotch.fleet.wallet.lease import MOST_WAITING, Granter, Holder
from tests.fleet.fake_wallets import QUICK, Group, ready

TUNING = Tuning(lease_ms=1000, drift=0.1, most_holders=2)


def lease(serial: int, index: int = 0) -> messages.Lease:
    return messages.Lease(1, serial, 1000, index)


def test_counts_from_the_ask_and_once_all_is_applied() -> None:
    holder = Holder(TUNING)
    first, second = holder.request(100.0), holder.request(200.0)
    holder.grant(lease(second, 7))
    holder.grant(lease(first, 5))
    assert not holder.look(300.0, 4)
    assert holder.look(300.0, 5)
    assert holder.expires_at_ms == 1100.0
    assert holder.look(400.0, 7)
    assert holder.expires_at_ms == 1200.0
    assert not holder.look(500.0, 9), "each counts once"
    assert not holder.is_valid(1200.0)


def test_one_that_was_applied_too_late_is_over() -> None:
    holder = Holder(TUNING)
    holder.grant(lease(holder.request(0.0), 5))
    assert not holder.look(1000.0, 5)
    assert not holder.is_valid(1000.0)


def test_drops_what_it_has_and_what_it_waits_for() -> None:
    holder = Holder(TUNING)
    one, two = holder.request(0.0), holder.request(1.0)
    holder.grant(lease(one))
    assert holder.look(1.0, 0)
    holder.grant(lease(two, 9))
    holder.release()
    assert not holder.is_valid(2.0)
    assert not holder.look(2.0, 9)
    holder.grant(lease(two, 9))
    assert not holder.look(2.0, 9), "asked for before it was fenced"


def test_grants_that_wait_are_bounded() -> None:
    holder = Holder(TUNING)
    for _ in range(MOST_WAITING + 5):
        holder.grant(lease(holder.request(0.0), 9))
    assert len(holder._waiting) == MOST_WAITING


def test_a_granter_counts_longer_than_any_holder() -> None:
    granter = Granter(TUNING)
    assert not granter.free(1e9, ("a", 1)), "it is no leader"
    granter.begin(0.0)
    assert not granter.free(1099.0, ("a", 1)), "another may have granted before"
    assert granter.free(1100.0, ("a", 1))
    assert granter.grant(1200.0, ("a", 1))
    assert granter.grant(1300.0, ("b", 1))
    assert not granter.grant(1300.0, ("c", 1)), "as many as the settings say"
    assert not granter.free(2299.0, ("a", 1))
    assert granter.free(2300.0, ("a", 1))
    assert granter.grant(2300.0, ("c", 1))
    assert granter.process_epochs(2300.0) == {"b": 1, "c": 1}
    granter.end()
    assert not granter.free(1e9, ("b", 1))


def spends(group: Group, name: str) -> bool:
    """It has what it would need, but perhaps for the lease."""
    for _ in range(3):
        if group.serve(name):
            return True
        group.run(5)
    return False


def test_a_pause_longer_than_the_lease_is_seen_at_the_first_call() -> None:
    group = ready()
    assert spends(group, "b")
    group.asleep.add("b")
    group.run(QUICK.lease_ms)
    got = group.wallets["b"].purse.reserve(group.now, "acme", "call")
    assert got == api.Turned(QUICK.retry_after_ms), "before any event has told it"


def test_one_that_slept_spends_nothing_of_a_slice_that_ended_meanwhile() -> None:
    group = ready()
    assert spends(group, "b")
    group.asleep.add("b")
    group.run(QUICK.held_ms + QUICK.lease_ms)
    assert any(text.startswith("back acme") for text in group.texts("a"))
    held = group.wallets["b"].purse.accounts["acme"]
    assert held.slices, "it has not heard"
    group.wake("b")
    assert not held.slices
    assert spends(group, "b")
    assert sum(wallet.sound for wallet in group.wallets["a"].book.wallets.values()) == 1


def test_a_fence_drops_the_lease_at_once_and_gives_back() -> None:
    group = ready()
    assert spends(group, "b")
    under_way = group.call("b")
    group.leader = None  # what it asks next is not answered
    group.lost = lambda frm, to, message: isinstance(message, (messages.AskLease, messages.Lease))
    group.tell("b", Fenced())
    assert isinstance(group.call("b"), api.Turned)
    assert isinstance(under_way, api.Reservation)
    group.wallets["b"].purse.charge(group.now, under_way)
    account = group.wallets["b"].purse.accounts["acme"]
    assert all(one.closing and one.top == one.spent for one in account.slices.values())
    group.leader, group.lost = "a", lambda frm, to, message: False
    group.run(QUICK.lease_ms)
    assert spends(group, "b"), "as somebody who asks anew"
    wallet = group.wallets["a"].book.wallets["acme"]
    assert wallet.spent + wallet.held + wallet.left == 1000
    assert ("b", 2) in group.wallets["a"].book.owners


def test_who_leaves_settles_and_wants_no_more() -> None:
    group = ready()
    for _ in range(4):
        assert spends(group, "b")
    group.tell("b", ShutdownStarted())
    group.run(QUICK.record_ms * 2)
    assert ("b", 2) not in group.wallets["a"].book.owners
    assert group.wallets["a"].book.wallets["acme"].spent == 4
    assert not spends(group, "b")


def test_a_leader_that_was_followed_by_another_grants_nothing_more() -> None:
    group = ready()
    group.lost = lambda frm, to, message: to == "a"
    group.leader = "c"  # a has not heard of it: the log does not tell it that it leads
    group.term += 1
    group.tell("c", log.LeaderChanged(group.leader, group.term))
    group.run(QUICK.lease_ms + 1)
    until = group.wallets["b"].purse.until
    assert until <= group.now
    group.tell("b", log.LeaderChanged(group.leader, group.term))
    group.run(1)
    assert group.wallets["b"].purse.until > group.now


def test_two_processes_of_one_name_hold_what_is_each_ones_own() -> None:
    group = ready()
    assert spends(group, "b")
    old = group.wallets["b"]
    group.start("b")  # the old one runs on: it hears nothing that is told to that name
    group.run(QUICK.lease_ms / 2)
    assert spends(group, "b")
    assert {process_epoch for name, process_epoch in group.wallets["a"].book.owners if name == "b"} == {2, 4}
    assert old.purse.accounts["acme"].slices.keys().isdisjoint(group.wallets["b"].purse.accounts["acme"].slices)
    group.run(QUICK.held_ms + QUICK.lease_ms)
    assert isinstance(old.purse.reserve(group.now, "acme", "call"), api.Turned)
    assert {process_epoch for name, process_epoch in group.wallets["a"].book.owners if name == "b"} <= {4}


def test_no_lease_while_an_expiry_is_on_its_way() -> None:
    """What of it may come true after the answer would come true for one that spends."""
    group = ready()
    assert spends(group, "b")
    group.asleep.add("b")
    group.fate = lambda frm, told: "held" if isinstance(told[0], entries.Expire) else "promised"
    group.run(QUICK.held_ms + QUICK.lease_ms)
    assert group.late, "it was asked for"
    group.wake("b")
    group.run(QUICK.lease_ms)
    assert group.wallets["b"].purse.until <= group.now
    name, expire, term = group.late.pop()
    told = entries.decode(expire.data)
    assert told is not None
    index = group.agree(*told, term=term)
    group.tell(name, log.ProposalCommitted(expire.ticket, index))
    group.run(QUICK.lease_ms)
    assert group.wallets["b"].purse.until > group.now
    assert not group.wallets["b"].purse.accounts


def test_an_expiry_of_a_leader_before_comes_to_nothing() -> None:
    group = ready(tuning=msgspec.structs.replace(QUICK, idle_ms=10_000))
    assert spends(group, "b")
    group.asleep.add("b")
    group.fate = lambda frm, told: "unknown" if isinstance(told[0], entries.Expire) else "promised"
    group.run(QUICK.held_ms + QUICK.lease_ms)
    assert group.late
    group.lead("c")
    group.wake("b")
    group.run(QUICK.lease_ms / 2)
    assert group.wallets["b"].purse.until > group.now
    held = dict(group.wallets["b"].purse.accounts["acme"].slices)
    assert held
    told = entries.decode(group.late[0][1].data)
    assert told is not None
    group.agree(*told)  # forwarded to the new leader, late
    assert group.wallets["a"].counts["Expire bad"] == 1
    assert any(serial in group.wallets["b"].purse.accounts["acme"].slices for serial in held)


def test_a_lease_counts_only_where_an_expiry_before_it_is_applied() -> None:
    group = ready()
    assert spends(group, "b")
    group.asleep.add("b")
    group.run(QUICK.held_ms + QUICK.lease_ms)
    assert any(text.startswith("back acme") for text in group.texts("a"))
    group.behind.add("b")  # it has its leases, the log comes later
    group.wake("b")
    group.run(QUICK.lease_ms / 2)
    held = group.wallets["b"]
    assert ("b", held.process_epoch) in group.wallets["a"].granting.leases.records
    assert held.purse.accounts["acme"].slices, "of which it does not know that it has ended"
    assert held.purse.until <= group.now
    assert isinstance(group.call("b"), api.Turned)
    group.catch_up("b")
    assert held.purse.until > group.now
    assert not held.purse.accounts["acme"].slices or all(
        group.wallets["a"].book.slice("acme", "b", held.process_epoch, serial)
        for serial in held.purse.accounts["acme"].slices
    )
