"""Rules as a part: the book in the log's order, leases, changes, bans.

| state | acts on | till |
| --- | --- | --- |
| narrow | the narrow rules (or refuses): no lease | a grant |
| leased | the narrowest of active and all newer versions heard | its lease's end, being fenced, its process's end |

- What narrows acts in the same event that tells it: each change of what is in force is one InForce.
- The leader answers an ask for a lease only after the log has said that it leads yet (ReadAt), and only to who holds
  the newest version and knows the newest activation. So from a version's agreement on, nobody's lease outlives
  lease_ms without that version; lease_ms x (1 + drift) on any other clock.
- `Activate n` is proposed once each lease of the record is of a holder of n; by a new leader, after one lease's time.
- A ban acts where it is heard and told on until a version holds it. Without a leader, or in silence, leases alone end.
Source: docs/fleet/rules-design.md. Messages: messages.py.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .. import interfaces
from ..consensus import api as log
from ..interfaces import Carrier, LogLine, SendToMember, SetTimer
from ..leases import NEVER
from . import entries, messages
from .api import Counted, InForce, Narrow, OperatorRequest, OperatorResponse, Voters
from .canary import Watch
from .changes import Changes, Check, suggest_of, upstream_of, whole_number
from .document import Document
from .ejection_gossip import Telling
from .leases import Granter, Holder
from .tuning import Tuning
from .versioned_rules import Book


class Rules:
    """`first` is version 1, the same for the whole group. `state`: of the log's snapshot found at the start, if any."""

    def __init__(
        self,
        name: str,
        process_epoch: int,
        voters: tuple[str, ...],
        first: Document,
        check: Check,
        tuning: Tuning | None = None,
        state: bytes | None = None,
    ) -> None:
        """Raises ValueError on a first document or a state that can't be."""
        self.name, self.process_epoch, self.tuning = name, process_epoch, tuning or Tuning()
        self.book = Book(first, self.tuning.most_versions, self.tuning.most_document_bytes)
        if state is not None:
            self.book.install(state)
        self.holder, self.granter = Holder(self.tuning), Granter(self.tuning)
        self.watch = Watch(self.tuning.canary)
        self.leader: str | None = None
        self.term = 0
        self.counts: dict[str, int] = {}
        self.telling = Telling(
            name, self.book, self.tuning.most_bans, self.tuning.most_holders, self.tuning.lease_ms, self._count
        )
        self._out: list[Any] = []
        self._now = -NEVER
        self._armed = NEVER
        self._ticket = 0
        self._tickets: dict[int, tuple[str, str]] = {}  # ticket: what for, id
        self._waiting: dict[tuple[str, int], messages.AskLease] = {}  # asks for a lease, until the log says it leads
        # ticket: term, the asks before
        self._reads: dict[int, tuple[int, dict[tuple[str, int], messages.AskLease]]] = {}
        self._ask_at = NEVER
        self._activating = 0
        self._activate_at = -NEVER
        self._acts: tuple[Document, Document] | None = None  # as last told
        self._last: tuple[Document, Document] | None = None
        self._number = 0  # of the pair last made
        self._told: tuple[int, int, float, int, int] | None = None
        self._leased = False
        self._noted = 0
        self._begun = False
        self.changes = Changes(
            name, self.book, check, self.tuning, self.telling.reachable, tuple(voters), self._propose
        )
        self._events: dict[type, Callable[[Any], None]] = {
            interfaces.Started: lambda event: setattr(self, "_begun", True),
            interfaces.MessageReceived: self._heard,
            interfaces.TimerFired: self._fired,
            interfaces.ShutdownStarted: lambda event: None,
            interfaces.MemberChanged: self._member,
            interfaces.Fenced: lambda event: self._fenced(),
            OperatorRequest: self._ask,
            Counted: self._counted,
            Voters: lambda event: setattr(self.changes, "voters", event.names),
            log.EntryCommitted: self._agreed,
            log.SnapshotInstalled: self._install,
            log.LeaderChanged: self._led,
            log.ProposalCommitted: lambda event: self._ended(event.ticket, None),
            log.ProposalRejected: lambda event: self._ended(event.ticket, event.why),
            log.OutcomeUnknown: lambda event: self._ended(event.ticket, "unknown"),
            log.ReadReady: self._ready,
        }
        self._messages: dict[type, Callable[[str, Any], None]] = {
            messages.AskLease: self._asked,
            messages.Grant: self._granted,
            messages.Behind: lambda sender, behind: self._count("behind"),  # asks anew once the version is applied
            messages.Told: lambda sender, told: self._bans(self.telling.heard(((told.upstream, told.after),))),
            messages.Bans: lambda sender, bans: self._bans(self.telling.exchanged(sender, bans)),
            messages.Suggest: lambda sender, suggest: self.changes.suggested(self._now, sender, suggest),
            messages.Look: self.changes.look,
            messages.Looked: self.changes.looked,
            messages.Count: self._count_canary,
            messages.Verdict: lambda sender, no: self.changes.answer(no.id, False, no.why, no.version),
        }

    @property
    def leads(self) -> bool:
        return self.leader == self.name

    def handle(self, now: float, event: Any) -> list[Any]:
        if now < self._now:
            raise ValueError(f"time runs back from {self._now} to {now}")
        do = self._events.get(type(event))
        if do is None:
            raise TypeError(f"no event of rules: {event!r}")
        self._now = now
        self._out = self.changes.out = []
        do(event)
        self._tick()
        self._tell()
        self._arm()
        return self._out

    # Events

    def _fired(self, event: interfaces.TimerFired) -> None:
        if self._now >= self._armed:
            self._armed = NEVER

    def _heard(self, event: interfaces.MessageReceived) -> None:
        do = self._messages.get(type(event.message))
        if do is None:
            self._count("no message of rules")
        else:
            do(event.sender, event.message)

    def _member(self, event: interfaces.MemberChanged) -> None:
        self._out += self.telling.member(self._now, event)

    def _fenced(self) -> None:
        self.holder.release()
        self._reads.clear()
        self._waiting.clear()
        self._ask_at = self._now

    # The log

    def _propose(self, entry: entries.Entry, ident: str, base: int) -> None:
        """The log counts an id once; made again on another base it is another change."""
        self._ticket += 1
        self._tickets[self._ticket] = (type(entry).__name__, ident)
        once = f"{type(entry).__name__} {ident} {base}" if ident else ""
        self._out.append(log.Propose(self._ticket, entries.encode(entry), once))

    def _ended(self, ticket: int, why: str | None) -> None:
        what, ident = self._tickets.pop(ticket, ("", ""))
        term, asks = self._reads.pop(ticket, (0, {}))
        if what == "Activate":
            self._activating = 0
            self._activate_at = self._now + self.tuning.lease_ms / 3  # not at once: a log that refuses is asked forever
        elif what in ("Put", "Try") and why is not None and why != "unknown":
            self.changes.refused(ident, why)

    def _agreed(self, event: log.EntryCommitted) -> None:
        entry = entries.decode(event.data)
        if entry is None:
            self._count("no entry of rules")
            return
        active, newest = self.book.active, self.book.newest
        applied = self.book.apply(entry)
        self._acts = None
        if self.book.newest != newest:
            self._activate_at = -NEVER
            self._out.append(LogLine(f"holds {self.book.newest}"))
        self.changes.applied(applied)
        if applied.ok and isinstance(entry, (entries.Try, entries.EndTry)):
            word = "" if isinstance(entry, entries.Try) else " kept" if entry.keep else " back"
            self._out.append(LogLine(f"canary {entry.id}{word}"))
        if self.book.newest != newest or self.book.active != active:
            self._ask_at = min(self._ask_at, self._now)

    def _install(self, event: log.SnapshotInstalled) -> None:
        self.book.install(event.state)
        self._acts = None
        self._out.append(LogLine(f"holds {self.book.newest}"))
        self._ask_at = min(self._ask_at, self._now)

    def state(self) -> bytes:
        """For the log's snapshot, of exactly this moment."""
        return self.book.state()

    def _led(self, event: log.LeaderChanged) -> None:
        if (event.name, event.term) == (self.leader, self.term):
            return
        self.leader, self.term = event.name, event.term
        self._waiting.clear()
        self._reads.clear()
        self.watch.forget()
        self._activating = 0
        self.changes.lost()
        self.changes.leads = self.leads
        if self.leads:
            self.granter.begin(self._now)
        else:
            self.granter.end()
        self._ask_at = self._now if event.name is not None else NEVER

    # Leases: the holder

    def _ask_lease(self) -> None:
        if self.leader is None:
            self._ask_at = NEVER
            return
        holder = self.holder
        serial = holder.request(self._now)
        parts = holder.parts if holder.is_valid(self._now) else 0
        ask = messages.AskLease(
            serial,
            self.process_epoch,
            self.book.newest,
            self.book.active,
            parts,
            holder.granted_serial,
            self.telling.riding(),
        )
        self._ask_at = self._now + self.tuning.lease_ms / 3
        if self.leads:
            self._asked(self.name, ask)
        else:
            self._out.append(SendToMember(self.leader, ask, Carrier.DATAGRAM))

    def _granted(self, sender: str, grant: messages.Grant) -> None:
        self._bans(self.telling.heard(grant.bans))
        if not self.holder.grant(self._now, grant):
            self._count("late grant")

    # Leases: the leader

    def _asked(self, sender: str, ask: messages.AskLease) -> None:
        self._bans(self.telling.heard(ask.bans))
        if not self.leads:
            return
        key = (sender, ask.process_epoch)
        known = self._waiting.get(key)
        if len(self._waiting) < self.tuning.most_holders and (known is None or known.serial < ask.serial):
            self._waiting[key] = ask

    def _ready(self, event: log.ReadReady) -> None:
        term, asks = self._reads.pop(event.ticket, (0, {}))
        if not self.leads or term != self.term:
            return
        for (name, _), ask in asks.items():
            self._grant(name, ask)

    def _grant(self, name: str, ask: messages.AskLease) -> None:
        book = self.book
        answer: messages.Grant | messages.Behind | None = None
        if ask.version == book.newest and ask.active == book.active:
            grant = self.granter.grant(self._now, name, ask, book.newest)
            if grant is not None:
                answer = messages.Grant(grant.serial, grant.lease_ms, grant.parts, self.telling.riding())
        else:
            answer = messages.Behind(ask.serial, book.newest, book.active)
        if name == self.name:
            if isinstance(answer, messages.Grant):
                self._granted(name, answer)
        elif answer is not None:
            self._out.append(SendToMember(name, answer, Carrier.DATAGRAM))

    def _activate(self) -> None:
        book = self.book
        due = book.newest > book.active and self._now >= self._activate_at
        if self.leads and not self._activating and due and self.granter.may_activate(book.newest, self._now):
            self._activating = book.newest
            self._propose(entries.Activate(book.newest), "", book.newest)

    # Bans

    def _bans(self, out: list[Any]) -> None:
        """What came of bans heard."""
        if any(isinstance(action, LogLine) for action in out):
            self._acts = None
        self._out += out

    def _spread(self) -> None:
        under_way = {ident for _, ident in self._tickets.values()}
        self._out += self.telling.spread(self._now, under_way, self._propose if self.leader is not None else None)

    # Operators

    def _ask(self, ask: OperatorRequest) -> None:
        ident = ask.id or f"{self.name}.{self.process_epoch}.{ask.ticket}"
        try:
            if ask.what == "ban":
                self._ask_ban(ask, upstream_of(ask.document))
            elif ask.what in ("propose", "back", "return"):
                suggest = suggest_of(ask, ident, self.book.newest, self.tuning.most_document_bytes)
                self.changes.ask(self._now, ask, ident, suggest, self.leader)
            elif ask.what == "diff":
                changed = self.book.diff(whole_number(ask.document, "one"), whole_number(ask.document, "two"))
                self._answer(ask, True, ", ".join(f"{key} {word}" for key, word in changed))
            elif ask.what == "status":
                self._answer(ask, True, "leased" if self.holder.is_valid(self._now) else "narrow")
            else:
                raise ValueError(f"{ask.what}: none of propose, back, ban, return, diff, status")
        except ValueError as error:
            self._answer(ask, False, str(error))

    def _answer(self, ask: OperatorRequest, ok: bool, text: str) -> None:
        self._out.append(OperatorResponse(ask.ticket, ok, text, self.book.newest))

    def _ask_ban(self, ask: OperatorRequest, upstream: str) -> None:
        held = self.book.flat(self.book.newest).get(("bans", upstream), (False, 0.0))
        if held[0]:
            self._answer(ask, True, "")
            return
        if self.book.tell_ban(upstream, self.book.newest, self.tuning.most_bans):
            self._acts = None
        self.changes.ask(self._now, ask, f"ban {upstream}", None, self.leader)
        self._spread()

    def _counted(self, event: Counted) -> None:
        if self.book.trial is not None and self.leader is not None:
            count = messages.Count(self.book.trial.id, event.taken, event.bad)
            if self.leads:
                self._count_canary(self.name, count)
            else:
                self._out.append(SendToMember(self.leader, count, Carrier.DATAGRAM))

    def _count_canary(self, sender: str, count: messages.Count) -> None:
        trial = self.book.trial
        if self.leads and trial is not None and trial.id == count.id:
            end = self.watch.counted(self._now, trial.id, sender in trial.names, count.taken, count.bad)
            if end:
                self._out.append(LogLine(f"canary {trial.id} should {end}", self.watch.figures()))
                self._propose(entries.EndTry(trial.id, end == "keep", end), "", 0)

    # After each event

    def _tick(self) -> None:
        now = self._now
        self.changes.tick(now)
        if now >= self._ask_at:
            self._ask_lease()
        if now >= self.telling.at:
            self._spread()
        if self._waiting and len(self._reads) < 2:
            self._ticket += 1
            self._reads[self._ticket] = (self.term, self._waiting)
            self._waiting = {}
            self._out.append(log.ReadIndex(self._ticket))
        self._activate()

    def _tell(self) -> None:
        """InForce or Narrow, if what acts here is not what was told last."""
        if not self._begun:
            return
        book, holder = self.book, self.holder
        if self._acts is None:
            acts = (book.written(book.acting(self.name), True), book.written(book.narrow(), False))
            if self._last is None or acts != self._last:
                self._last, self._number = acts, self._number + 1
            self._acts = self._last  # the same object where nothing changed: the host looks at that alone
        document, narrow = self._acts
        leased = holder.is_valid(self._now)
        told = (self._number, book.newest, holder.expires_at_ms if leased else -NEVER, holder.parts, book.active)
        if told == self._told:
            return
        self._told = told
        if leased:
            self._out.append(InForce(document, holder.expires_at_ms, holder.parts, narrow, book.newest, book.active))
            if not self._leased or self._noted != book.active:
                self._out.append(LogLine(f"rules {book.active}", {"newest": book.newest}))
        else:
            self._out.append(Narrow(narrow, self.tuning.without_lease == "refuse", book.newest))
            if self._leased or not self._noted:
                self._out.append(LogLine("narrow"))
        self._leased, self._noted = leased, book.active

    def _arm(self) -> None:
        due = min(self._ask_at, self.telling.at, self.changes.due())
        if self.holder.is_valid(self._now):
            due = min(due, self.holder.expires_at_ms)
        if self.leads and not self._activating and self.book.newest > self.book.active:
            due = min(due, max(self._now, self._activate_at, self.granter.due(self.book.newest, self._now)))
        if due < self._armed:
            self._armed = due
            self._out.append(SetTimer(due, 1))

    def _count(self, why: str) -> None:
        self.counts[why] = self.counts.get(why, 0) + 1
