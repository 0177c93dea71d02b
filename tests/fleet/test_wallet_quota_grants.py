"""How much each holder gets, who returns units, and what a leader does about proposals without an answer."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from limenotch.fleet.consensus import api as log
from limenotch.fleet.interfaces import SendToMember
from limenotch.fleet.wallet import Tuning, api, entries, messages
from limenotch.fleet.wallet.entries import Credit, Entry, Grant, Settle
from limenotch.fleet.wallet.ledger import Ledger
from limenotch.fleet.wallet.quota_grants import MAX_ALLOCATIONS_PER_HOLDER, AllocationGranter
from tests.fleet.fake_wallets import FAST_TUNING, FakeFleet, ready

TUNING = Tuning(lease_ms=600, slice_ms=400, record_ms=40, idle_ms=400)


class LeaderUnderTest:
    """a leads; a, b, c vote; those named by `leased` have a lease. Proposals are recorded in `proposals`."""

    def __init__(self, *credits: int, leased: str = "abc", tuning: Tuning = TUNING) -> None:
        self.ledger, self.now, self.proposals = Ledger(), 0.0, dict[int, tuple[Entry, ...]]()
        self.granter = AllocationGranter("a", 1, self.ledger, tuning, ("a", "b", "c"), self._propose)
        self.granter.begin(0.0, 1)
        self.commit(*(Credit("acme", f"i{number}", amount) for number, amount in enumerate(credits)))
        for name in leased:
            self.granter.grant_lease(0.0, name, messages.LeaseRequest(1, 1))

    def _propose(self, wallet_entries: tuple[Entry, ...], kind: str) -> int:
        self.proposals[len(self.proposals) + 1] = wallet_entries
        return len(self.proposals)

    def commit(self, *wallet_entries: Entry) -> None:
        self.ledger.apply(self.ledger.index + 1, 1, wallet_entries)
        self.granter.ledger_changed("acme")

    def request(
        self, name: str, amount: int, min_amount: int = 0, newest_serial: int = 0, usage: int | None = None
    ) -> None:
        usage = amount if usage is None else usage
        self.granter.requests_received(
            self.now, name, messages.AllocationRequest(1, (("acme", newest_serial, amount, min_amount, usage),))
        )

    def tick(self, ms: float = 0.0) -> list[Grant]:
        """Runs timers after so many ms; returns the grants proposed."""
        self.now += ms
        before = len(self.proposals)
        self.granter.actions = []
        self.granter.tick(self.now)
        new_entries = [
            entry for ticket in range(before + 1, len(self.proposals) + 1) for entry in self.proposals[ticket]
        ]
        return [entry for entry in new_entries if isinstance(entry, Grant)]

    def recalls(self) -> dict[str, float]:
        return {
            action.member: action.message.recalls[0][1]
            for action in self.granter.actions
            if isinstance(action, SendToMember) and isinstance(action.message, messages.Recall)
        }

    def commit_last(self) -> None:
        """Commits the last proposal."""
        ticket = len(self.proposals)
        self.commit(*self.proposals[ticket])
        self.granter.proposal_ended(ticket, True)


def test_each_holder_gets_what_it_requests_while_there_is_enough() -> None:
    leader = LeaderUnderTest(1000)
    leader.request("b", 100)
    leader.request("c", 30)
    grants = leader.tick()
    assert [(grant.name, grant.amount, grant.serial) for grant in grants] == [("b", 100, 1), ("c", 30, 2)]
    assert grants[0].witnesses == (("a", 1), ("b", 1), ("c", 1))
    assert leader.tick() == [], "the grants are in flight"
    leader.commit_last()
    assert leader.tick() == []


def test_at_most_half_is_granted_at_once() -> None:
    leader = LeaderUnderTest(1000)
    leader.request("b", 240)
    leader.request("c", 240)
    assert [grant.amount for grant in leader.tick()] == [240, 240]
    leader = LeaderUnderTest(1000)
    leader.request("b", 480, usage=240)
    leader.request("c", 480, usage=240)
    assert [grant.amount for grant in leader.tick()] == [250, 250]


def test_a_request_counts_once_and_with_knowledge_of_earlier_allocations() -> None:
    leader = LeaderUnderTest(1000)
    leader.request("b", 10)
    leader.tick()
    leader.request("b", 10)
    assert leader.tick() == [], "a grant is in flight"
    leader.commit_last()
    assert leader.tick() == [], "sent without knowledge of the first allocation"
    leader.request("b", 10, newest_serial=0)
    assert leader.tick() == []
    leader.request("b", 10, newest_serial=1)
    assert [grant.serial for grant in leader.tick()] == [2]


def test_grants_wait_for_a_lease() -> None:
    leader = LeaderUnderTest(1000, leased="ab")
    leader.request("c", 10)
    assert leader.tick() == []
    leader.granter.grant_lease(leader.now, "c", messages.LeaseRequest(1, 1))
    assert [grant.name for grant in leader.tick()] == ["c"]


def test_no_grants_before_a_majority_of_voters_is_known() -> None:
    leader = LeaderUnderTest(1000, leased="")
    leader.granter.grant_lease(0.0, "h", messages.LeaseRequest(1, 1))
    leader.request("h", 10)
    assert leader.tick() == [], "a is a voter, one of three"
    leader.granter.grant_lease(0.0, "b", messages.LeaseRequest(1, 7))
    assert [grant.witnesses for grant in leader.tick()] == [(("a", 1), ("b", 7))]


def test_requests_expire_with_the_span_of_a_lease() -> None:
    leader = LeaderUnderTest(leased="abc")
    leader.commit(Credit("acme", "x", 5), Grant("acme", "b", 1, 1, 5, (("a", 1),), 1))
    leader.request("c", 10)
    leader.tick()
    leader.commit(Credit("acme", "y", 500))
    leader.granter.grant_lease(590.0, "c", messages.LeaseRequest(2, 1))
    assert leader.tick(TUNING.lease_ms) == []


@pytest.mark.parametrize("outcome", ["refused", "unknown"])
def test_rejected_proposals_wait_for_a_repeated_request(outcome: str) -> None:
    leader = LeaderUnderTest(100)
    leader.request("b", 60, usage=10)
    assert [grant.amount for grant in leader.tick()] == [50]
    if outcome == "refused":
        leader.granter.proposal_ended(1, False)
    else:
        leader.granter.proposal_outcome_unknown(1)
    assert leader.tick() == [], "not before a new request: the log may reject for long"
    leader.request("b", 60, usage=10)
    assert [(grant.amount, grant.serial) for grant in leader.tick()] == [(50, 2)]
    leader.commit(*leader.proposals[1])
    assert leader.ledger.wallets["acme"].unallocated == 50
    leader.commit_last()
    assert leader.ledger.wallets["acme"].allocated == 100, (
        "the first proposal was committed after all: both count, none twice"
    )


def test_in_a_shortage_grants_last_equally_long() -> None:
    leader = LeaderUnderTest(100)
    leader.request("b", 400)
    leader.request("c", 40)
    b, c = leader.tick()
    assert (b.name, b.amount, c.amount) == ("b", 50, 20)
    leader.commit_last()
    leader.request("b", 400, newest_serial=1)
    [extra_grant] = leader.tick()
    assert extra_grant.amount == 15, "half stays for holders that use little"


def test_recalls_halve_the_retained_span_and_become_rarer() -> None:
    leader = LeaderUnderTest(leased="abc")
    leader.commit(Credit("acme", "x", 100), Grant("acme", "b", 1, 1, 100, (("a", 1),), 1))
    leader.request("c", 40, min_amount=1)
    assert leader.tick() == []
    assert leader.recalls() == {"b": 200.0, "c": 200.0}
    recalls_seen: list[tuple[float, float]] = []
    for _ in range(300):
        leader.request("c", 40, min_amount=1)
        for name in "abc":
            leader.granter.grant_lease(leader.now, name, messages.LeaseRequest(1, 1))
        leader.tick(10)
        if "b" in leader.recalls():
            recalls_seen.append((leader.now, leader.recalls()["b"]))
    assert [retain_ms for _, retain_ms in recalls_seen[:6]] == [100.0, 50.0, 25.0, 12.5, 10.0, 10.0]
    intervals = [after - before for (before, _), (after, _) in zip(recalls_seen, recalls_seen[1:], strict=False)]
    assert intervals == sorted(intervals)
    assert intervals[-1] == TUNING.idle_ms, "nothing was spent in between"


def test_recalled_credit_is_granted() -> None:
    leader = LeaderUnderTest(leased="abc")
    leader.commit(Credit("acme", "x", 100), Grant("acme", "b", 1, 1, 100, (("a", 1),), 1))
    leader.request("c", 40, min_amount=1)
    leader.tick()
    leader.commit(Settle("acme", "b", 1, 1, 10, True, 50))
    assert [(grant.name, grant.amount) for grant in leader.tick()] == [("c", 20)]


def test_new_credit_ends_the_shortage() -> None:
    leader = LeaderUnderTest(leased="abc")
    leader.commit(Credit("acme", "x", 10), Grant("acme", "b", 1, 1, 10, (("a", 1),), 1))
    leader.request("c", 40, min_amount=1)
    leader.tick()
    leader.commit(Credit("acme", "y", 1000))
    assert [grant.amount for grant in leader.tick()] == [40]
    assert leader.granter.next_due_ms() == leader.granter._next_inquiry_at_ms


def test_single_holder_is_not_recalled() -> None:
    leader = LeaderUnderTest(4)
    leader.commit(Grant("acme", "b", 1, 1, 4, (("a", 1),), 1))
    leader.request("b", 8, min_amount=8, newest_serial=1)
    for _ in range(20):
        leader.request("b", 8, min_amount=8, newest_serial=1)
        assert leader.tick(100) == []
        assert leader.recalls() == {}


def test_unsettled_allocations_are_bounded() -> None:
    leader = LeaderUnderTest(1000)
    leader.commit(
        *(Grant("acme", "b", 1, serial, 1, (("a", 1),), 1) for serial in range(1, MAX_ALLOCATIONS_PER_HOLDER + 1))
    )
    leader.request("b", 10, newest_serial=MAX_ALLOCATIONS_PER_HOLDER)
    assert leader.tick() == []


def test_invalid_requests_are_ignored() -> None:
    leader = LeaderUnderTest(100)
    for request in (("acme", 0, -1, 0, 5), ("acme", 0, 5, -1, 5), ("acme", 0, 5, 0, -5), ("other", 0, 5, 0, 5)):
        leader.granter.requests_received(0.0, "b", messages.AllocationRequest(1, (request,)))
    assert leader.tick() == []
    leader.granter.end()
    leader.request("b", 5)
    assert leader.tick() == []
    assert leader.granter.next_due_ms() == float("inf")


# In a group


def serve_requests(fleet: FakeFleet, name: str, ms: float, interval_ms: float, request_class: str = "call") -> int:
    """A request each so many ms; returns how many were served."""
    served = 0
    for _ in range(int(ms / interval_ms)):
        served += fleet.serve(name, request_class=request_class)
        fleet.run(interval_ms)
    return served


def test_idle_allocation_is_returned() -> None:
    fleet = ready()
    assert serve_requests(fleet, "b", 50, 5)
    fleet.run(2 * FAST_TUNING.idle_ms)
    wallet = fleet.members["a"].ledger.wallets["acme"]
    assert not wallet.allocations
    assert wallet.unallocated == 1000 - wallet.spent


def test_idle_holders_return_units_to_busy_ones() -> None:
    fleet = ready(300, tuning=msgspec.structs.replace(FAST_TUNING, idle_ms=60_000))
    assert serve_requests(fleet, "b", 200, 5)
    serve_requests(fleet, "c", 3000, 5)
    wallet = fleet.members["a"].ledger.wallets["acme"]
    assert wallet.spent + wallet.allocated >= 299
    unspent = [allocation.unspent for allocation in wallet.allocations.values() if allocation.name == "b"]
    assert sum(unspent) <= 1


def test_allocation_of_a_suspended_holder_returns_after_its_lease() -> None:
    fleet = ready(60, tuning=msgspec.structs.replace(FAST_TUNING, idle_ms=60_000))
    assert serve_requests(fleet, "b", 100, 5)
    fleet.suspended.add("b")
    served = serve_requests(fleet, "c", 3 * FAST_TUNING.max_lease_ms, 5)
    spent = fleet.members["a"].ledger.wallets["acme"].spent
    assert any(text.startswith("back acme") for text in fleet.log_texts("a"))
    fleet.wake("b")
    fleet.run(FAST_TUNING.lease_ms)
    assert not any(
        allocation.available for allocation in fleet.members["b"].spender.accounts["acme"].allocations.values()
    )
    assert spent <= 60
    assert served > 20


def test_one_unit_and_fifty_sidecars() -> None:
    names = "".join(chr(ord("a") + number) for number in range(26)) + "".join(chr(ord("A") + n) for n in range(24))
    fleet = ready(1, names=names)
    served, before = 0, len(fleet.committed)
    for round_number in range(400):
        served += fleet.serve(names[(round_number * 17) % 50])
        fleet.run(10)
    assert served == 1
    assert fleet.members["a"].ledger.wallets["acme"].spent == 1
    assert len(fleet.committed) - before < 60, "the unit is not moved around endlessly"
    after = len(fleet.committed)
    for round_number in range(200):
        assert not fleet.serve(names[(round_number * 17) % 50])
        fleet.run(10)
    assert len(fleet.committed) == after, "nothing is left to move"


def test_leader_change_during_a_grant() -> None:
    fleet = ready()
    fleet.outcome_of = lambda sender, wallet_entries: "unknown" if isinstance(wallet_entries[0], Grant) else "committed"
    assert not fleet.serve("b")
    [(_, propose, term)] = fleet.unanswered
    wallet_entries = entries.decode(propose.data)
    assert wallet_entries is not None
    fleet.outcome_of = lambda sender, wallet_entries: "committed"
    fleet.lead("c")
    fleet.commit(*wallet_entries)
    assert fleet.members["a"].counts["Grant bad"] == 1, "forwarded to the new leader: of another term"
    assert len(fleet.members["a"].ledger.wallets["acme"].allocations) == 1, "by c"
    fleet.run(FAST_TUNING.lease_ms)
    assert serve_requests(fleet, "b", 50, 5) > 8
    assert fleet.members["a"].ledger.wallets["acme"].allocated <= 1000


def test_committed_grant_of_an_earlier_leader_is_used() -> None:
    fleet = ready()
    fleet.outcome_of = lambda sender, wallet_entries: "unknown" if isinstance(wallet_entries[0], Grant) else "committed"
    assert not fleet.serve("b")
    [(_, propose, term)] = fleet.unanswered
    wallet_entries = entries.decode(propose.data)
    assert wallet_entries is not None
    fleet.outcome_of = lambda sender, wallet_entries: "committed"
    fleet.commit(*wallet_entries, term=term)
    fleet.lead("c")
    fleet.run(FAST_TUNING.lease_ms / 2)
    assert serve_requests(fleet, "b", 20, 5) == 4


def test_rejecting_log_gets_few_proposals() -> None:
    fleet = ready()
    proposals: list[Any] = []

    def refuse(sender: str, wallet_entries: tuple[Entry, ...]) -> str:
        proposals.append(wallet_entries)
        return "refused"

    fleet.outcome_of = refuse
    for _ in range(100):
        assert isinstance(fleet.reserve("b"), api.Rejected)
        fleet.run(10)
    assert len(proposals) <= 1000 / (FAST_TUNING.lease_ms / 3) + 2


def test_reelected_leader_forgets_its_proposals() -> None:
    fleet = ready()
    fleet.outcome_of = lambda sender, wallet_entries: "pending" if isinstance(wallet_entries[0], Grant) else "committed"
    assert not fleet.serve("b")
    [(name, propose, _)] = fleet.unanswered
    fleet.outcome_of = lambda sender, wallet_entries: "committed"
    fleet.lead("a")
    fleet.deliver(name, log.OutcomeUnknown(propose.ticket))
    fleet.run(FAST_TUNING.record_ms)
    assert serve_requests(fleet, "b", 20, 5) == 4
