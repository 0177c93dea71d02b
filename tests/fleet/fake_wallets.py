"""A few wallets on a log that always works, or is told not to: for what one event after another brings about.

One clock for all, messages arrive at once and in order, unless `lost(frm, to, message)`. The real log, clocks that run
apart and lossy paths are limenotch/lab/fleet's.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from limenotch.fleet.consensus import api as log
from limenotch.fleet.interfaces import LogLine, MessageReceived, SendToMember, SetTimer, Started, TimerFired
from limenotch.fleet.wallet import Tuning, Wallet, api, entries

QUICK = Tuning(
    lease_ms=600,
    drift=0.1,
    slice_ms=400,
    record_ms=40,
    idle_ms=400,
    retry_after_ms=500,
    ask_ms=3000,
    cost={"call": 1, "dear": 8, "free": 0},
)


class Group:
    def __init__(self, names: str = "abc", voters: str = "abc", tuning: Tuning = QUICK) -> None:
        self.tuning, self.voters = tuning, tuple(voters)
        self.now = 0.0
        self.term = 0
        self.leader: str | None = None
        self.log: list[log.EntryCommitted] = []
        self.said: list[tuple[float, str, str]] = []  # notes: when, whose, text
        self.answers: list[api.OperatorResponse] = []
        self.lost: Callable[[str, str, Any], bool] = lambda frm, to, message: False
        self.fate: Callable[[str, tuple[entries.Entry, ...]], str] = lambda frm, told: "promised"
        self.late: list[tuple[str, log.Propose, int]] = []  # of fate `unknown`: who, what, the epoch it was asked in
        self.asleep: set[str] = set()
        self.behind: set[str] = set()  # what is agreed comes to them later
        self.wallets: dict[str, Wallet] = {}
        self._lives = 0
        self._timers: list[tuple[float, str, int, int]] = []  # when, whose, its life, token
        self._waiting: deque[tuple[str, Any]] = deque()
        self._kept: list[tuple[str, Any]] = []  # for those asleep
        self._later: list[tuple[str, Any]] = []  # for those behind
        for name in names:
            self.start(name)

    def start(self, name: str) -> Wallet:
        """A new process; it finds all that was agreed."""
        self._lives += 1
        self.behind.discard(name)
        self._later = [one for one in self._later if one[0] != name]
        self.wallets[name] = Wallet(name, self._lives, self.tuning, self.voters)
        self._tell(
            [
                (name, Started()),
                *((name, agreed) for agreed in self.log),
                (name, log.LeaderChanged(self.leader, self.term)),
            ]
        )
        return self.wallets[name]

    def kill(self, name: str) -> None:
        del self.wallets[name]
        self._kept = [(other, event) for other, event in self._kept if other != name]
        self._later = [(other, event) for other, event in self._later if other != name]
        self.asleep.discard(name)
        self.behind.discard(name)

    def wake(self, name: str) -> None:
        self.asleep.discard(name)
        kept, self._kept = self._kept, []
        self._tell(kept)

    def catch_up(self, name: str) -> None:
        """One that is awake."""
        self.behind.discard(name)
        now = [one for one in self._later if one[0] == name]
        self._later = [one for one in self._later if one[0] != name]
        self._tell(now)

    def lead(self, name: str | None) -> None:
        self.term += 1
        self.leader = name
        self._tell([(other, log.LeaderChanged(name, self.term)) for other in self.wallets])

    def agree(self, *told: entries.Entry, term: int | None = None) -> int:
        """The index."""
        agreed = log.EntryCommitted(len(self.log) + 1, self.term if term is None else term, entries.encode(told), "")
        self.log.append(agreed)
        self._tell([(name, agreed) for name in self.wallets])
        return agreed.index

    def tell(self, name: str, event: Any) -> None:
        self._tell([(name, event)])

    def _tell(self, events: list[tuple[str, Any]]) -> None:
        begun = bool(self._waiting)
        self._waiting.extend(events)
        while self._waiting and not begun:  # else whoever began goes on with it
            self._told(*self._waiting[0])
            self._waiting.popleft()

    def _told(self, name: str, event: Any) -> None:
        if name not in self.wallets:
            return
        if name in self.asleep:
            self._kept.append((name, event))
            return
        if name in self.behind and isinstance(event, log.EntryCommitted):
            self._later.append((name, event))
            return
        wallet = self.wallets[name]
        for action in wallet.handle(self.now, event):
            self._act(name, wallet.process_epoch, action)
        for tenant, held in wallet.book.wallets.items():
            assert held.sound, (tenant, held)

    def _act(self, name: str, process_epoch: int, action: Any) -> None:
        if isinstance(action, SendToMember):
            if action.member in self.wallets and not self.lost(name, action.member, action.message):
                self.tell(action.member, MessageReceived((name, 1), name, action.message, action.carrier))
        elif isinstance(action, SetTimer):
            self._timers.append((action.at_ms, name, process_epoch, action.token))
        elif isinstance(action, LogLine):
            self.said.append((self.now, name, action.text))
        elif isinstance(action, api.OperatorResponse):
            self.answers.append(action)
        elif isinstance(action, log.ReadIndex):
            ready = self.leader is not None and self.leader in self.wallets
            self.tell(
                name,
                log.ReadReady(action.ticket, len(self.log))
                if ready
                else log.ProposalRejected(action.ticket, "no leader", None),
            )
        else:
            assert isinstance(action, log.Propose), action
            self._proposed(name, action)

    def _proposed(self, name: str, action: log.Propose) -> None:
        told = entries.decode(action.data)
        assert told is not None
        fate = self.fate(name, told) if self.leader is not None else "refused"
        if fate == "promised":
            self.tell(name, log.ProposalCommitted(action.ticket, self.agree(*told)))
        elif fate == "unknown":
            self.late.append((name, action, self.term))
            self.tell(name, log.OutcomeUnknown(action.ticket))
        elif fate == "refused":
            self.tell(name, log.ProposalRejected(action.ticket, "busy", self.leader))
        else:
            self.late.append((name, action, self.term))  # not answered yet

    def run(self, ms: float) -> None:
        until = self.now + ms
        while True:
            due = [timer for timer in self._timers if timer[0] <= until and timer[1] not in self.asleep]
            if not due:
                break
            first = min(due)
            self._timers.remove(first)
            self.now = max(self.now, first[0])
            if first[1] in self.wallets and self.wallets[first[1]].process_epoch == first[2]:
                self.tell(first[1], TimerFired(first[3]))
        self.now = until

    # What a host does

    def call(self, name: str, tenant: str = "acme", kind: str = "call") -> api.Reservation | api.Turned:
        got = self.wallets[name].purse.reserve(self.now, tenant, kind)
        self.look(name)
        return got

    def look(self, name: str) -> None:
        if self.wallets[name].purse.wants():
            self.tell(name, api.Look())

    def serve(self, name: str, tenant: str = "acme", kind: str = "call") -> bool:
        """Whether it was."""
        got = self.call(name, tenant, kind)
        if isinstance(got, api.Turned):
            return False
        self.wallets[name].purse.charge(self.now, got)
        self.look(name)
        return True

    def add(
        self, amount: int, ident: str = "one", name: str = "a", tenant: str = "acme"
    ) -> api.OperatorResponse | None:
        """The answer, if it has come."""
        ticket = len(self.answers) + 1000
        self.tell(name, api.OperatorRequest(ticket, "add", tenant, amount, ident))
        return next((answer for answer in self.answers if answer.ticket == ticket), None)

    def texts(self, name: str) -> list[str]:
        return [text for _, whose, text in self.said if whose == name]


def ready(amount: int = 1000, names: str = "abc", tuning: Tuning = QUICK) -> Group:
    """a leads, all have leases, acme has credit."""
    group = Group(names, tuning=tuning)
    group.lead("a")
    group.run(10)
    answer = group.add(amount)
    assert answer is not None and answer.word == "done"
    return group
