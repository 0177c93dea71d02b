"""The wallet as a part: the book in the log's order, one's own slices, others' marks, and the leader's grants.

| state of a holder | calls of a paying tenant | till |
| --- | --- | --- |
| no lease | turned away, or bounded advance, by the settings | a lease, and all that its granter had applied |
| leased, room | reserved at once | its lease's end, being fenced, a slice's end |
| leased, no room, credit left | turned away shortly: a slice is coming | a slice and its mark |
| leased, nothing left | turned away: paused | credit, or what comes back of others |

Rules
- No unit is reserved that is not in a slice of one's own, below a mark that most of its witnesses hold, under a lease.
- A lease counts from when it was asked for, and only once all is applied here that its granter had applied.
- A slice ends by its holder's word, or when its holder surely spends nothing and its witnesses were asked.
- What narrows (a recall, a fence, a leave) acts in the event that tells it, and for good: it is settled afterwards.
- `process_epoch` is the process's: marks and slices end with it. The lives of members after a fence are other numbers,
  so a voter's life is taken from its asks for a lease.

Source: docs/fleet/wallet-design.md. Messages: messages.py. Entries: entries.py.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from .. import interfaces
from ..consensus import api as log
from ..interfaces import Carrier, LogLine, MessageReceived, SendToMember, SetTimer
from ..leases import NEVER
from . import entries, messages
from .allocations import Purse
from .api import Look, OperatorRequest, Witnesses
from .lease import Holder
from .ledger import Applied, Book
from .operator_requests import Asks
from .quota_grants import Granting
from .quota_holder import Holding
from .spend_witness import Memory
from .tuning import Tuning

OWN_AT = ("", 0)  # where what is said to oneself comes from


class Wallet:
    """`state`: of the log's snapshot found at the start, if any. Raises msgspec.DecodeError on one that is none."""

    def __init__(
        self,
        name: str,
        process_epoch: int,
        tuning: Tuning | None = None,
        voters: tuple[str, ...] = (),
        state: bytes | None = None,
    ) -> None:
        self.name, self.process_epoch, self.tuning = name, process_epoch, tuning or Tuning()
        self.book = Book()
        if state is not None:
            self.book.install(state)
        self.purse = Purse(self.tuning, self.book)
        self.lease = Holder(self.tuning)
        self.memory = Memory(self.book, self.tuning.most_tenants)
        self.counts: dict[str, int] = {}
        self.leader: str | None = None
        self.term = 0
        own = (name, process_epoch)
        self.holding = Holding(own, self.book, self.purse, self.memory, self.tuning, self._propose)
        self.granting = Granting(name, process_epoch, self.book, self.tuning, tuple(voters), self._propose)
        self.asks = Asks(self.book, self.tuning, self._number)
        self._out: list[Any] = []
        self._now = -NEVER
        self._armed = NEVER
        self._ask_at = NEVER
        self._ticket = 0
        self._tickets: dict[int, str] = {}  # what was proposed: settle, grant, expire
        self._waiting: dict[tuple[str, int], messages.AskLease] = {}  # asks for a lease, until the log says it leads
        # ticket: term, the asks before
        self._reads: dict[int, tuple[int, dict[tuple[str, int], messages.AskLease]]] = {}
        self._events: dict[type, Callable[[Any], None]] = {
            interfaces.Started: lambda event: None,
            interfaces.MessageReceived: self._heard,
            interfaces.TimerFired: self._fired,
            interfaces.ShutdownStarted: lambda event: self._leave(),
            interfaces.MemberChanged: self._member,
            interfaces.Fenced: lambda event: self._fenced(),
            Look: lambda event: None,
            OperatorRequest: lambda event: self.asks.ask(self._now, event),
            Witnesses: lambda event: setattr(self.granting, "voters", event.names),
            log.EntryCommitted: self._agreed,
            log.SnapshotInstalled: self._install,
            log.LeaderChanged: self._led,
            log.ProposalCommitted: lambda event: self._ended(event.ticket, "promised", "", event.index),
            log.ProposalRejected: lambda event: self._ended(event.ticket, "refused", event.why),
            log.OutcomeUnknown: lambda event: self._ended(event.ticket, "unknown", "ask again with the same id"),
            log.ReadReady: self._ready,
        }
        self._messages: dict[type, Callable[[str, Any], None]] = {
            messages.AskLease: self._asked,
            messages.Lease: self._leased,
            messages.Mark: self._marked,
            messages.Held: self._held,
            messages.Want: lambda sender, want: self.granting.wanted(self._now, sender, want),
            messages.Recall: self._recalled,
            messages.Question: self._questioned,
            messages.Told: lambda sender, told: self.granting.told(self._now, sender, told),
        }

    @property
    def leads(self) -> bool:
        return self.leader == self.name

    def handle(self, now: float, event: Any) -> list[Any]:
        if now < self._now:
            raise ValueError(f"time runs back from {self._now} to {now}")
        do = self._events.get(type(event))
        if do is None:
            raise TypeError(f"no event of the wallet: {event!r}")
        self._now = now
        self._out = self.holding.out = self.granting.out = self.asks.out = []
        do(event)
        self._tick()
        self._to_oneself()
        self._arm()
        return self._out

    def state(self) -> bytes:
        """For the log's snapshot, of exactly this moment."""
        return self.book.state()

    # Events

    def _fired(self, event: interfaces.TimerFired) -> None:
        if self._now >= self._armed:
            self._armed = NEVER

    def _heard(self, event: MessageReceived) -> None:
        do = self._messages.get(type(event.message))
        if do is None:
            self._count("no message of the wallet")
        else:
            do(event.sender, event.message)

    def _member(self, event: interfaces.MemberChanged) -> None:
        members = self.granting.members
        if event.name in members or len(members) < self.tuning.most_holders:
            members[event.name] = event.state

    def _fenced(self) -> None:
        """What others said of this process is void for leases; its memory as a witness is as true as before."""
        self.lease.release()
        self.purse.until = -NEVER
        self.holding.void()
        self._reads.clear()
        self._waiting.clear()
        self._ask_at = self._now if self.leader is not None else NEVER

    def _leave(self) -> None:
        self.holding.leaving = True
        self.holding.void()

    # The log

    def _number(self) -> int:
        self._ticket += 1
        return self._ticket

    def _propose(self, what: tuple[entries.Entry, ...], why: str) -> int:
        ticket = self._number()
        self._tickets[ticket] = why
        self._out.append(log.Propose(ticket, entries.encode(what)))
        return ticket

    def _ended(self, ticket: int, word: str, why: str, index: int = 0) -> None:
        what = self._tickets.pop(ticket, "")
        if what == "settle":
            self.holding.told()
        elif what:
            if word == "unknown":
                self.granting.unknown(ticket)
            else:
                self.granting.ended(ticket, word == "promised")
        elif word == "promised":
            self.asks.promised(ticket, index)
        elif self._reads.pop(ticket, None) is None:
            self.asks.ended(ticket, word, why)

    def _agreed(self, event: log.EntryCommitted) -> None:
        told = entries.decode(event.data)
        if told is None:
            self._count("no entry of the wallet")
            return
        for applied in self.book.apply(event.index, event.term, told):
            if not applied.ok:
                self._count(f"{type(applied.entry).__name__} {applied.word}")
            self._applied(event.index, applied)

    def _applied(self, index: int, applied: Applied) -> None:
        entry = applied.entry
        if isinstance(entry, entries.Credit):
            self.asks.applied(index, applied)
            if applied.ok:
                self._out.append(LogLine(f"paid {entry.tenant} {entry.amount}", {"id": entry.id}))
                self.holding.paid(entry.tenant)
        elif applied.ok:
            mine = (entry.name, entry.process_epoch) == (self.name, self.process_epoch)
            owner = (entry.name, entry.process_epoch)
            if isinstance(entry, entries.Grant):
                self.memory.granted(entry.tenant, owner, entry.serial)
                one = self.book.slice(entry.tenant, *owner, entry.serial)
                if mine and one is not None:
                    self.holding.granted(self._now, entry.tenant, entry.serial, one)
            elif isinstance(entry, entries.Advance):
                if mine:
                    self.holding.advanced(entry.tenant, entry.amount)
            else:
                if isinstance(entry, entries.Expire):
                    what = "back" if entry.told else "lost"
                    self._out.append(LogLine(f"{what} {entry.tenant} {applied.amount}", {"of": entry.name}))
                if self.book.slice(entry.tenant, *owner, entry.serial) is None:
                    self.memory.ended(entry.tenant, owner, entry.serial)
                    if mine:
                        self.holding.ended(entry.tenant, entry.serial)
        self.granting.changed(entry.tenant)

    def _install(self, event: log.SnapshotInstalled) -> None:
        self.book.install(event.state)
        self.memory.installed()
        self.holding.installed(self._now)

    def _led(self, event: log.LeaderChanged) -> None:
        if (event.name, event.term) == (self.leader, self.term):
            return
        self.leader, self.term = event.name, event.term
        self._waiting.clear()
        self._reads.clear()
        if self.leads:
            self.granting.begin(self._now, event.term)
        else:
            self.granting.end()
        self._ask_at = self._now if event.name is not None else NEVER

    # Leases

    def _ask_lease(self) -> None:
        if self.leader is None:
            self._ask_at = NEVER
            return
        self._out.append(
            SendToMember(
                self.leader, messages.AskLease(self.lease.request(self._now), self.process_epoch), Carrier.DATAGRAM
            )
        )
        self._ask_at = self._now + self.tuning.lease_ms / 3

    def _asked(self, sender: str, ask: messages.AskLease) -> None:
        if not self.leads:
            return
        key = (sender, ask.process_epoch)
        known = self._waiting.get(key)
        if len(self._waiting) < self.tuning.most_holders and (known is None or known.serial < ask.serial):
            self._waiting[key] = ask

    def _ready(self, event: log.ReadReady) -> None:
        if event.ticket not in self._reads:
            self.asks.ready(event.ticket)
            return
        term, asks = self._reads.pop(event.ticket)
        if not self.leads or term != self.term:
            return
        for (name, _), ask in asks.items():
            lease = self.granting.lease(self._now, name, ask)
            if lease is not None:
                self._out.append(SendToMember(name, lease, Carrier.DATAGRAM))

    def _leased(self, sender: str, lease: messages.Lease) -> None:
        if lease.process_epoch == self.process_epoch:
            self.lease.grant(lease)

    # Marks and recalls

    def _marked(self, sender: str, mark: messages.Mark) -> None:
        owner = (sender, mark.process_epoch)
        held = tuple(one for one in mark.marks[: messages.MOST] if self.memory.tell(one[0], owner, one[1], one[2]))
        if held:
            carrier = messages.carrier([one[0] for one in held])
            self._out.append(SendToMember(sender, messages.Held(self.process_epoch, mark.process_epoch, held), carrier))

    def _held(self, sender: str, held: messages.Held) -> None:
        if held.holder == self.process_epoch:
            self.holding.held((sender, held.process_epoch), held.marks)

    def _recalled(self, sender: str, recall: messages.Recall) -> None:
        if recall.process_epoch == self.process_epoch:
            self.holding.recalled(self._now, recall.recalls)

    def _questioned(self, sender: str, asked: messages.Question) -> None:
        marks = tuple(
            self.memory.mark(tenant, (asked.name, asked.process_epoch), serial)
            for tenant, serial in asked.slices[: messages.MOST]
        )
        self._out.append(
            SendToMember(sender, messages.Told(asked.number, asked.asker, self.process_epoch, marks), Carrier.STREAM)
        )

    # After each event

    def _tick(self) -> None:
        now = self._now
        if now >= self._ask_at:
            self._ask_lease()
            self._want(True)
        if self.lease.look(now, self.book.index):
            self.purse.until = self.lease.expires_at_ms
            self.holding.leased(now)
        self.holding.tick(now, self.leader is not None)
        self._want(False)
        if self._waiting and len(self._reads) < 2:
            ticket = self._number()
            self._reads[ticket] = (self.term, self._waiting)
            self._waiting = {}
            self._out.append(log.ReadIndex(ticket))
        self.granting.tick(now)
        self.asks.tick(now)

    def _want(self, again: bool) -> None:
        if self.leader is not None:
            for want in self.holding.wants(again):
                carrier = messages.carrier([one[0] for one in want.wants])
                self._out.append(SendToMember(self.leader, want, carrier))

    def _to_oneself(self) -> None:
        """What this process says to itself as leader, holder and witness never leaves it."""
        own: deque[Any] = deque()

        def sort() -> None:
            kept = [one for one in self._out if not (isinstance(one, SendToMember) and one.member == self.name)]
            own.extend(one.message for one in self._out if isinstance(one, SendToMember) and one.member == self.name)
            self._out[:] = kept

        sort()
        while own:
            self._heard(MessageReceived(OWN_AT, self.name, own.popleft()))
            self._tick()
            sort()

    def _arm(self) -> None:
        due = min(self._ask_at, self.holding.due(), self.granting.due(), self.asks.due())
        if due < self._armed:
            self._armed = due
            self._out.append(SetTimer(due, 1))

    def _count(self, why: str) -> None:
        self.counts[why] = self.counts.get(why, 0) + 1
