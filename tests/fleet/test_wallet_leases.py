"""The lease on allocations: spans, entries that must be applied first, pauses, fences, new leaders."""

from __future__ import annotations

import msgspec

from limenotch.fleet.consensus import api as log
from limenotch.fleet.interfaces import Fenced, ShutdownStarted
from limenotch.fleet.wallet import Tuning, api, entries, messages
from limenotch.fleet.wallet.lease import MAX_PENDING_GRANTS, SpendLease, SpendLeaseGranter
from tests.fleet.fake_wallets import FAST_TUNING, FakeFleet, ready

TUNING = Tuning(lease_ms=1000, drift=0.1, most_holders=2)


def create_grant(serial: int, index: int = 0) -> messages.LeaseGrant:
    return messages.LeaseGrant(1, serial, 1000, index)


def test_lease_counts_from_the_request_and_once_the_log_is_applied() -> None:
    spend_lease = SpendLease(TUNING)
    first, second = spend_lease.request(100.0), spend_lease.request(200.0)
    spend_lease.add_grant(create_grant(second, 7))
    spend_lease.add_grant(create_grant(first, 5))
    assert not spend_lease.activate_grants(300.0, 4)
    assert spend_lease.activate_grants(300.0, 5)
    assert spend_lease.expires_at_ms == 1100.0
    assert spend_lease.activate_grants(400.0, 7)
    assert spend_lease.expires_at_ms == 1200.0
    assert not spend_lease.activate_grants(500.0, 9), "each counts once"
    assert not spend_lease.is_valid(1200.0)


def test_grant_applied_after_its_expiry_is_ignored() -> None:
    spend_lease = SpendLease(TUNING)
    spend_lease.add_grant(create_grant(spend_lease.request(0.0), 5))
    assert not spend_lease.activate_grants(1000.0, 5)
    assert not spend_lease.is_valid(1000.0)


def test_release_drops_the_lease_and_pending_grants() -> None:
    spend_lease = SpendLease(TUNING)
    first, second = spend_lease.request(0.0), spend_lease.request(1.0)
    spend_lease.add_grant(create_grant(first))
    assert spend_lease.activate_grants(1.0, 0)
    spend_lease.add_grant(create_grant(second, 9))
    spend_lease.release()
    assert not spend_lease.is_valid(2.0)
    assert not spend_lease.activate_grants(2.0, 9)
    spend_lease.add_grant(create_grant(second, 9))
    assert not spend_lease.activate_grants(2.0, 9), "requested before the fence"


def test_pending_grants_are_bounded() -> None:
    spend_lease = SpendLease(TUNING)
    for _ in range(MAX_PENDING_GRANTS + 5):
        spend_lease.add_grant(create_grant(spend_lease.request(0.0), 9))
    assert len(spend_lease._pending_grants) == MAX_PENDING_GRANTS


def test_granter_counts_longer_than_any_holder() -> None:
    granter = SpendLeaseGranter(TUNING)
    assert not granter.is_certainly_expired(1e9, ("a", 1)), "not the leader"
    granter.begin(0.0)
    assert not granter.is_certainly_expired(1099.0, ("a", 1)), "an earlier leader may have granted a lease"
    assert granter.is_certainly_expired(1100.0, ("a", 1))
    assert granter.grant(1200.0, ("a", 1))
    assert granter.grant(1300.0, ("b", 1))
    assert not granter.grant(1300.0, ("c", 1)), "as many holders as the settings allow"
    assert not granter.is_certainly_expired(2299.0, ("a", 1))
    assert granter.is_certainly_expired(2300.0, ("a", 1))
    assert granter.grant(2300.0, ("c", 1))
    assert granter.process_epochs(2300.0) == {"b": 1, "c": 1}
    granter.end()
    assert not granter.is_certainly_expired(1e9, ("b", 1))


def can_spend(fleet: FakeFleet, name: str) -> bool:
    """Whether it serves a request within three tries: it has an allocation, and perhaps no lease."""
    for _ in range(3):
        if fleet.serve(name):
            return True
        fleet.run(5)
    return False


def test_suspension_longer_than_the_lease_is_noticed_at_the_first_request() -> None:
    fleet = ready()
    assert can_spend(fleet, "b")
    fleet.suspended.add("b")
    fleet.run(FAST_TUNING.lease_ms)
    decision = fleet.members["b"].spender.reserve(fleet.now, "acme", "call")
    assert decision == api.Rejected(FAST_TUNING.retry_after_ms), "before any event has been handled"


def test_suspended_holder_spends_nothing_of_an_expired_allocation() -> None:
    fleet = ready()
    assert can_spend(fleet, "b")
    fleet.suspended.add("b")
    fleet.run(FAST_TUNING.max_lease_ms + FAST_TUNING.lease_ms)
    assert any(text.startswith("back acme") for text in fleet.log_texts("a"))
    account = fleet.members["b"].spender.accounts["acme"]
    assert account.allocations, "the end of its allocations has not arrived yet"
    fleet.wake("b")
    assert not account.allocations
    assert can_spend(fleet, "b")
    assert sum(wallet.is_balanced for wallet in fleet.members["a"].ledger.wallets.values()) == 1


def test_fence_drops_the_lease_and_returns_allocations() -> None:
    fleet = ready()
    assert can_spend(fleet, "b")
    in_flight = fleet.reserve("b")
    fleet.leader = None  # its next requests are not answered
    fleet.is_lost = lambda sender, member, message: isinstance(message, (messages.LeaseRequest, messages.LeaseGrant))
    fleet.deliver("b", Fenced())
    assert isinstance(fleet.reserve("b"), api.Rejected)
    assert isinstance(in_flight, api.Reservation)
    fleet.members["b"].spender.charge(fleet.now, in_flight)
    account = fleet.members["b"].spender.accounts["acme"]
    assert all(
        allocation.closing and allocation.ceiling == allocation.spent for allocation in account.allocations.values()
    )
    fleet.leader, fleet.is_lost = "a", lambda sender, member, message: False
    fleet.run(FAST_TUNING.lease_ms)
    assert can_spend(fleet, "b"), "like a new process"
    wallet = fleet.members["a"].ledger.wallets["acme"]
    assert wallet.spent + wallet.allocated + wallet.unallocated == 1000
    assert ("b", 2) in fleet.members["a"].ledger.allocations_by_holder


def test_shutdown_settles_and_requests_no_more() -> None:
    fleet = ready()
    for _ in range(4):
        assert can_spend(fleet, "b")
    fleet.deliver("b", ShutdownStarted())
    fleet.run(FAST_TUNING.record_ms * 2)
    assert ("b", 2) not in fleet.members["a"].ledger.allocations_by_holder
    assert fleet.members["a"].ledger.wallets["acme"].spent == 4
    assert not can_spend(fleet, "b")


def test_replaced_leader_grants_no_leases() -> None:
    fleet = ready()
    fleet.is_lost = lambda sender, member, message: member == "a"
    fleet.leader = "c"  # a has not learned of it, but the log does not confirm its leadership
    fleet.term += 1
    fleet.deliver("c", log.LeaderChanged(fleet.leader, fleet.term))
    fleet.run(FAST_TUNING.lease_ms + 1)
    expires_at_ms = fleet.members["b"].spender.lease_expires_at_ms
    assert expires_at_ms <= fleet.now
    fleet.deliver("b", log.LeaderChanged(fleet.leader, fleet.term))
    fleet.run(1)
    assert fleet.members["b"].spender.lease_expires_at_ms > fleet.now


def test_two_processes_of_one_name_have_separate_allocations() -> None:
    fleet = ready()
    assert can_spend(fleet, "b")
    replaced = fleet.members["b"]
    fleet.start("b")  # the old process runs on without receiving messages to its name
    fleet.run(FAST_TUNING.lease_ms / 2)
    assert can_spend(fleet, "b")
    assert {
        process_epoch for name, process_epoch in fleet.members["a"].ledger.allocations_by_holder if name == "b"
    } == {2, 4}
    assert (
        replaced.spender.accounts["acme"]
        .allocations.keys()
        .isdisjoint(fleet.members["b"].spender.accounts["acme"].allocations)
    )
    fleet.run(FAST_TUNING.max_lease_ms + FAST_TUNING.lease_ms)
    assert isinstance(replaced.spender.reserve(fleet.now, "acme", "call"), api.Rejected)
    assert {
        process_epoch for name, process_epoch in fleet.members["a"].ledger.allocations_by_holder if name == "b"
    } <= {4}


def test_no_lease_while_an_expiry_is_in_flight() -> None:
    """An Expire that is committed after the lease was granted would hit a holder that spends."""
    fleet = ready()
    assert can_spend(fleet, "b")
    fleet.suspended.add("b")
    fleet.outcome_of = (
        lambda sender, wallet_entries: "pending" if isinstance(wallet_entries[0], entries.Expire) else "committed"
    )
    fleet.run(FAST_TUNING.max_lease_ms + FAST_TUNING.lease_ms)
    assert fleet.unanswered, "an Expire was proposed"
    fleet.wake("b")
    fleet.run(FAST_TUNING.lease_ms)
    assert fleet.members["b"].spender.lease_expires_at_ms <= fleet.now
    name, expire, term = fleet.unanswered.pop()
    wallet_entries = entries.decode(expire.data)
    assert wallet_entries is not None
    index = fleet.commit(*wallet_entries, term=term)
    fleet.deliver(name, log.ProposalCommitted(expire.ticket, index))
    fleet.run(FAST_TUNING.lease_ms)
    assert fleet.members["b"].spender.lease_expires_at_ms > fleet.now
    assert not fleet.members["b"].spender.accounts


def test_expiry_by_an_earlier_leader_has_no_effect() -> None:
    fleet = ready(tuning=msgspec.structs.replace(FAST_TUNING, idle_ms=10_000))
    assert can_spend(fleet, "b")
    fleet.suspended.add("b")
    fleet.outcome_of = (
        lambda sender, wallet_entries: "unknown" if isinstance(wallet_entries[0], entries.Expire) else "committed"
    )
    fleet.run(FAST_TUNING.max_lease_ms + FAST_TUNING.lease_ms)
    assert fleet.unanswered
    fleet.lead("c")
    fleet.wake("b")
    fleet.run(FAST_TUNING.lease_ms / 2)
    assert fleet.members["b"].spender.lease_expires_at_ms > fleet.now
    allocations_before = dict(fleet.members["b"].spender.accounts["acme"].allocations)
    assert allocations_before
    wallet_entries = entries.decode(fleet.unanswered[0][1].data)
    assert wallet_entries is not None
    fleet.commit(*wallet_entries)  # forwarded to the new leader, late
    assert fleet.members["a"].counts["Expire bad"] == 1
    assert any(serial in fleet.members["b"].spender.accounts["acme"].allocations for serial in allocations_before)


def test_lease_counts_only_after_earlier_expiries_are_applied() -> None:
    fleet = ready()
    assert can_spend(fleet, "b")
    fleet.suspended.add("b")
    fleet.run(FAST_TUNING.max_lease_ms + FAST_TUNING.lease_ms)
    assert any(text.startswith("back acme") for text in fleet.log_texts("a"))
    fleet.lagging.add("b")  # it receives its leases, the log's entries come later
    fleet.wake("b")
    fleet.run(FAST_TUNING.lease_ms / 2)
    member = fleet.members["b"]
    assert ("b", member.process_epoch) in fleet.members["a"].granter.leases.expiries
    assert member.spender.accounts["acme"].allocations, "its end has not arrived yet"
    assert member.spender.lease_expires_at_ms <= fleet.now
    assert isinstance(fleet.reserve("b"), api.Rejected)
    fleet.catch_up("b")
    assert member.spender.lease_expires_at_ms > fleet.now
    assert not member.spender.accounts["acme"].allocations or all(
        fleet.members["a"].ledger.slice("acme", "b", member.process_epoch, serial)
        for serial in member.spender.accounts["acme"].allocations
    )
