"""Several wallets on a fake log, which works or fails as the test chooses: for the effects of one event after another.

All share one clock; messages arrive at once and in order, unless `is_lost(sender, member, message)`. The real log,
drifting clocks and lossy links are in limenotch/lab/fleet.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from limenotch.fleet.consensus import api as log
from limenotch.fleet.interfaces import LogLine, MessageReceived, SendToMember, SetTimer, Started, TimerFired
from limenotch.fleet.wallet import Tuning, Wallet, api, entries

FAST_TUNING = Tuning(
    lease_ms=600,
    drift=0.1,
    slice_ms=400,
    record_ms=40,
    idle_ms=400,
    retry_after_ms=500,
    ask_ms=3000,
    cost={"call": 1, "dear": 8, "free": 0},
)


class FakeFleet:
    """The members and the log. Each event is handled completely, with all that follows from it, before the next one."""

    def __init__(self, names: str = "abc", voters: str = "abc", tuning: Tuning = FAST_TUNING) -> None:
        self.tuning, self.voters = tuning, tuple(voters)
        self.now = 0.0
        self.term = 0
        self.leader: str | None = None
        self.committed: list[log.EntryCommitted] = []
        self.log_lines: list[tuple[float, str, str]] = []  # log lines: time, member, text
        self.responses: list[api.OperatorResponse] = []
        self.is_lost: Callable[[str, str, Any], bool] = lambda sender, member, message: False
        self.outcome_of: Callable[[str, tuple[entries.Entry, ...]], str] = lambda sender, wallet_entries: "committed"
        self.unanswered: list[
            tuple[str, log.Propose, int]
        ] = []  # unanswered or of outcome `unknown`: member, proposal, the term it was proposed in
        self.suspended: set[str] = set()
        self.lagging: set[str] = set()  # members that get committed entries only at `catch_up`
        self.members: dict[str, Wallet] = {}
        self._last_process_epoch = 0
        self._timers: list[tuple[float, str, int, int]] = []  # time, member, its process epoch, token
        self._queue: deque[tuple[str, Any]] = deque()
        self._held_for_suspended: list[tuple[str, Any]] = []  # for suspended members
        self._held_for_lagging: list[tuple[str, Any]] = []  # for members behind
        for name in names:
            self.start(name)

    def start(self, name: str) -> Wallet:
        """Starts a new process, which is given all committed entries."""
        self._last_process_epoch += 1
        self.lagging.discard(name)
        self._held_for_lagging = [item for item in self._held_for_lagging if item[0] != name]
        self.members[name] = Wallet(name, self._last_process_epoch, self.tuning, self.voters)
        self._deliver_all(
            [
                (name, Started()),
                *((name, committed_entry) for committed_entry in self.committed),
                (name, log.LeaderChanged(self.leader, self.term)),
            ]
        )
        return self.members[name]

    def kill(self, name: str) -> None:
        del self.members[name]
        self._held_for_suspended = [(member, event) for member, event in self._held_for_suspended if member != name]
        self._held_for_lagging = [(member, event) for member, event in self._held_for_lagging if member != name]
        self.suspended.discard(name)
        self.lagging.discard(name)

    def wake(self, name: str) -> None:
        self.suspended.discard(name)
        held, self._held_for_suspended = self._held_for_suspended, []
        self._deliver_all(held)

    def catch_up(self, name: str) -> None:
        """Delivers the entries that were withheld from a member that is not suspended."""
        self.lagging.discard(name)
        held = [item for item in self._held_for_lagging if item[0] == name]
        self._held_for_lagging = [item for item in self._held_for_lagging if item[0] != name]
        self._deliver_all(held)

    def lead(self, name: str | None) -> None:
        self.term += 1
        self.leader = name
        self._deliver_all([(member, log.LeaderChanged(name, self.term)) for member in self.members])

    def commit(self, *wallet_entries: entries.Entry, term: int | None = None) -> int:
        """Commits an entry; returns its index."""
        committed_entry = log.EntryCommitted(
            len(self.committed) + 1, self.term if term is None else term, entries.encode(wallet_entries), ""
        )
        self.committed.append(committed_entry)
        self._deliver_all([(name, committed_entry) for name in self.members])
        return committed_entry.index

    def deliver(self, name: str, event: Any) -> None:
        self._deliver_all([(name, event)])

    def _deliver_all(self, events: list[tuple[str, Any]]) -> None:
        is_nested = bool(self._queue)
        self._queue.extend(events)
        while self._queue and not is_nested:  # else an outer call delivers them
            self._handle(*self._queue[0])
            self._queue.popleft()

    def _handle(self, name: str, event: Any) -> None:
        if name not in self.members:
            return
        if name in self.suspended:
            self._held_for_suspended.append((name, event))
            return
        if name in self.lagging and isinstance(event, log.EntryCommitted):
            self._held_for_lagging.append((name, event))
            return
        wallet = self.members[name]
        for action in wallet.handle(self.now, event):
            self._perform(name, wallet.process_epoch, action)
        for tenant, tenant_wallet in wallet.ledger.wallets.items():
            assert tenant_wallet.is_balanced, (tenant, tenant_wallet)

    def _perform(self, name: str, process_epoch: int, action: Any) -> None:
        if isinstance(action, SendToMember):
            if action.member in self.members and not self.is_lost(name, action.member, action.message):
                self.deliver(action.member, MessageReceived((name, 1), name, action.message, action.carrier))
        elif isinstance(action, SetTimer):
            self._timers.append((action.at_ms, name, process_epoch, action.token))
        elif isinstance(action, LogLine):
            self.log_lines.append((self.now, name, action.text))
        elif isinstance(action, api.OperatorResponse):
            self.responses.append(action)
        elif isinstance(action, log.ReadIndex):
            ready = self.leader is not None and self.leader in self.members
            self.deliver(
                name,
                log.ReadReady(action.ticket, len(self.committed))
                if ready
                else log.ProposalRejected(action.ticket, "no leader", None),
            )
        else:
            assert isinstance(action, log.Propose), action
            self._handle_proposal(name, action)

    def _handle_proposal(self, name: str, action: log.Propose) -> None:
        wallet_entries = entries.decode(action.data)
        assert wallet_entries is not None
        outcome = self.outcome_of(name, wallet_entries) if self.leader is not None else "refused"
        if outcome == "committed":
            self.deliver(name, log.ProposalCommitted(action.ticket, self.commit(*wallet_entries)))
        elif outcome == "unknown":
            self.unanswered.append((name, action, self.term))
            self.deliver(name, log.OutcomeUnknown(action.ticket))
        elif outcome == "refused":
            self.deliver(name, log.ProposalRejected(action.ticket, "busy", self.leader))
        else:
            self.unanswered.append((name, action, self.term))  # not answered yet

    def run(self, ms: float) -> None:
        until_ms = self.now + ms
        while True:
            due = [timer for timer in self._timers if timer[0] <= until_ms and timer[1] not in self.suspended]
            if not due:
                break
            first = min(due)
            self._timers.remove(first)
            self.now = max(self.now, first[0])
            if first[1] in self.members and self.members[first[1]].process_epoch == first[2]:
                self.deliver(first[1], TimerFired(first[3]))
        self.now = until_ms

    # The host's part

    def reserve(self, name: str, tenant: str = "acme", request_class: str = "call") -> api.Reservation | api.Rejected:
        decision = self.members[name].spender.reserve(self.now, tenant, request_class)
        self.notify_if_changed(name)
        return decision

    def notify_if_changed(self, name: str) -> None:
        if self.members[name].spender.has_changes():
            self.deliver(name, api.DemandChanged())

    def serve(self, name: str, tenant: str = "acme", request_class: str = "call") -> bool:
        """Whether the request was served."""
        decision = self.reserve(name, tenant, request_class)
        if isinstance(decision, api.Rejected):
            return False
        self.members[name].spender.charge(self.now, decision)
        self.notify_if_changed(name)
        return True

    def add_credit(
        self, amount: int, credit_id: str = "one", name: str = "a", tenant: str = "acme"
    ) -> api.OperatorResponse | None:
        """The response, if it has come."""
        ticket = len(self.responses) + 1000
        self.deliver(name, api.OperatorRequest(ticket, "add", tenant, amount, credit_id))
        return next((response for response in self.responses if response.ticket == ticket), None)

    def log_texts(self, name: str) -> list[str]:
        return [text for _, member, text in self.log_lines if member == name]


def ready(amount: int = 1000, names: str = "abc", tuning: Tuning = FAST_TUNING) -> FakeFleet:
    """a leads, all have leases, acme has credit."""
    fleet = FakeFleet(names, tuning=tuning)
    fleet.lead("a")
    fleet.run(10)
    response = fleet.add_credit(amount)
    assert response is not None and response.outcome == "done"
    return fleet
