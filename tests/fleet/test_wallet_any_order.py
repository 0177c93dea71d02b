"""Random sequences of events: no unit is spent twice. The log answers late, or under the next leader, or never;
messages are lost; processes are suspended, crash, restart, run twice under one name, are fenced.
"""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from limenotch.fleet.consensus import api as log
from limenotch.fleet.interfaces import Fenced
from limenotch.fleet.wallet import Tuning, Wallet, api, entries
from limenotch.fleet.wallet.ledger import Allocation, Ledger
from limenotch.fleet.wallet.spend_witness import SpendWitness
from tests.fleet.fake_wallets import FAST_TUNING, FakeFleet

SEEDS = range(20)
LEADER_ENTRIES = (entries.Grant, entries.Expire)


class RandomHistory:
    def __init__(self, seed: int, tuning: Tuning) -> None:
        self.random = Random(seed)
        self.fleet = FakeFleet("abcde", "abc", tuning)
        self.fleet.outcome_of = self._choose_outcome
        self.credit: dict[str, int] = {}
        self.used = 0  # reserved and not ended, or charged, by any process
        self.charged = 0
        self.taken: dict[tuple[str, int, int], int] = {}  # charged, by name, process epoch, serial
        self.open_reservations: list[tuple[Wallet, api.Reservation]] = []
        self.replaced_processes: list[Wallet] = []  # processes that run on under a name that a new process has taken
        self.faults_active = True

    def _choose_outcome(self, sender: str, wallet_entries: tuple[entries.Entry, ...]) -> str:
        """A leader's own proposal stays unanswered as long as it leads; others' outcome may be unknown at any time."""
        if not self.faults_active or self.random.random() > 0.15:
            return "committed"
        return (
            "pending" if isinstance(wallet_entries[0], LEADER_ENTRIES) else self.random.choice(("unknown", "refused"))
        )

    def _commit_unanswered(self, forwarded: bool) -> None:
        """Commits some of the unanswered proposals: in their own term, or forwarded to a later leader."""
        unanswered, self.fleet.unanswered = self.fleet.unanswered, []
        for name, propose, term in unanswered:
            wallet_entries = entries.decode(propose.data)
            assert wallet_entries is not None
            if self.random.random() < 0.5:
                if forwarded or term == self.fleet.term:
                    self.fleet.commit(*wallet_entries)
            elif forwarded and self.random.random() < 0.5:
                self.fleet.unanswered.append((name, propose, term))

    def lead(self, name: str) -> None:
        if name in self.fleet.lagging:
            self.fleet.catch_up(name)
        proposals = [(proposer, propose) for proposer, propose, _ in self.fleet.unanswered]
        self._commit_unanswered(False)
        self.fleet.unanswered += [(proposer, propose, 0) for proposer, propose in proposals]
        self.fleet.lead(name)
        for proposer, propose in proposals:
            self.fleet.deliver(proposer, log.OutcomeUnknown(propose.ticket))

    def send_request(self, wallet: Wallet, name: str) -> None:
        if name in self.fleet.suspended:
            return
        decision = wallet.spender.reserve(self.fleet.now, "acme", "call")
        if isinstance(decision, api.Reservation):
            self.used += decision.cost
            assert self.used <= sum(self.credit.values()), f"{self.used} of {self.credit}"
            self.open_reservations.append((wallet, decision))
        if wallet is self.fleet.members.get(name):
            self.fleet.notify_if_changed(name)

    def end_request(self) -> None:
        if not self.open_reservations:
            return
        wallet, decision = self.open_reservations.pop(self.random.randrange(len(self.open_reservations)))
        if self.random.random() < 0.7:
            wallet.spender.charge(self.fleet.now, decision)
            self.charged += decision.cost
            for serial, units in decision.allocations:
                key = (wallet.name, wallet.process_epoch, serial)
                self.taken[key] = self.taken.get(key, 0) + units
        else:
            wallet.spender.release(self.fleet.now, decision)
            self.used -= decision.cost

    def add_credit(self) -> None:
        credit_id = f"i{self.random.randint(1, 9)}"
        self.credit.setdefault(credit_id, 30)  # it may count from when it is requested
        self.fleet.add_credit(
            30, credit_id, self.random.choice([name for name in "abcde" if name in self.fleet.members] or ["a"])
        )

    def step(self) -> None:
        fleet, random = self.fleet, self.random
        chance, name = random.random(), random.choice("abcde")
        alive = name in fleet.members
        if chance < 0.55 and alive:
            for _ in range(random.choice((1, 3, 10))):
                self.send_request(fleet.members[name], name)
        elif chance < 0.6 and self.replaced_processes:
            self.send_request(random.choice(self.replaced_processes), "")
        elif chance < 0.85:
            self.end_request()
        elif chance < 0.87 and alive:
            self.add_credit()
        elif chance < 0.89 and alive:
            fleet.suspended.add(name)
        elif chance < 0.92:
            fleet.wake(name)
        elif chance < 0.925 and alive and len(fleet.members) > 3:
            self.open_reservations = [
                (wallet, decision) for wallet, decision in self.open_reservations if wallet is not fleet.members[name]
            ]
            fleet.kill(name)
        elif chance < 0.93 and alive and name not in fleet.suspended:
            self.replaced_processes.append(fleet.members[name])
            fleet.start(name)
        elif chance < 0.95 and not alive:
            fleet.start(name)
        elif chance < 0.96 and alive:
            fleet.deliver(name, Fenced())
        elif chance < 0.975 and alive and not (name in fleet.lagging and name in fleet.suspended):
            self.lead(name)
        elif chance < 0.98:
            self._commit_unanswered(True)
        elif chance < 0.99 and alive and name != fleet.leader:
            fleet.lagging.add(name)
        elif name not in fleet.suspended:
            fleet.catch_up(name)
        loss_share = random.choice((0.0, 0.0, 0.3))
        fleet.is_lost = lambda sender, member, message: self.faults_active and random.random() < loss_share
        fleet.run(random.choice((0, 1, 5, 20, 100)))

    def end_faults(self) -> None:
        self.faults_active = False
        fleet = self.fleet
        for name in "abcde":
            fleet.wake(name)
            fleet.catch_up(name)
            if name not in fleet.members:
                fleet.start(name)
        self.lead("a")
        self.replaced_processes.clear()
        while self.open_reservations:
            self.end_request()
        fleet.run(6 * fleet.tuning.max_lease_ms + 4 * fleet.tuning.idle_ms)


def spent_by_allocation(committed: list[log.EntryCommitted]) -> dict[tuple[str, int, int], int]:
    """What the log's entries count as spent of each allocation, in the end."""
    ledger, spent = Ledger(), dict[tuple[str, int, int], int]()
    for committed_entry in committed:
        wallet_entries = entries.decode(committed_entry.data)
        assert wallet_entries is not None
        for entry in wallet_entries:
            wallet = ledger.wallets.get(entry.tenant)
            before = wallet.spent if wallet is not None else 0
            ledger.index = 0
            ledger.apply(1, committed_entry.term, (entry,))
            if isinstance(entry, (entries.Settle, entries.Expire)):
                key = (entry.name, entry.process_epoch, entry.serial)
                spent[key] = spent.get(key, 0) + ledger.wallets[entry.tenant].spent - before
    return spent


def run_history(seed: int) -> RandomHistory:
    tuning = msgspec.structs.replace(FAST_TUNING, step=0.2, least_slice=3, idle_ms=Random(seed).choice((200, 5000)))
    history = RandomHistory(seed, tuning)
    history.lead("a")
    history.fleet.run(5)
    history.credit["first"] = 100
    history.fleet.add_credit(100, "first")
    for _ in range(500):
        history.step()
    history.end_faults()
    wallet = history.fleet.members["a"].ledger.wallets["acme"]
    assert len({member.state() for member in history.fleet.members.values()}) == 1
    assert not wallet.allocations
    spent = spent_by_allocation(history.fleet.committed)
    for key, units in history.taken.items():
        assert units <= spent.get(key, 0), (key, units, spent.get(key, 0))
    assert history.charged <= wallet.spent <= wallet.credit <= sum(history.credit.values())
    return history


@pytest.mark.parametrize("seed", SEEDS)
def test_no_unit_is_spent_twice(seed: int) -> None:
    assert run_history(seed).charged


def is_found(patch: pytest.MonkeyPatch) -> bool:
    for seed in SEEDS:
        try:
            run_history(seed)
        except AssertionError:
            return True
    return False


def test_finds_a_limit_raised_by_one_witness(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Allocation, "quorum", 1)
    assert is_found(monkeypatch)


def test_finds_a_forgetful_witness(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SpendWitness, "limit", lambda self, tenant, holder, serial: 0)
    assert is_found(monkeypatch)
