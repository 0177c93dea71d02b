"""Small components whose behaviour is obvious: one sends heartbeats, one stores entries, one votes in two phases."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from limenotch.fleet.interfaces import (
    Carrier,
    LogLine,
    Message,
    MessageReceived,
    SendToAddress,
    SendToMember,
    SetTimer,
    ShutdownStarted,
    Started,
    Store,
    Stored,
    StoreFailed,
    TimerFired,
)
from limenotch.lab.fleet.world import address
from limenotch.store.records import Append, LogEntry, StoredLog, TermVote

BEAT, LOOK = 1, 2


class Beat(Message, frozen=True, tag="toy.beat"):
    number: int


class Listener:
    """Sends heartbeats every 100 ms; every 50 ms suspects peers that were silent for 350 ms; logs their return."""

    def __init__(self, name: str, others: tuple[str, ...], carrier: Carrier = Carrier.DATAGRAM) -> None:
        self.name, self.others, self.carrier = name, others, carrier
        self.heard: dict[str, float] = {}
        self.suspected: set[str] = set()
        self.numbers: list[tuple[str, int]] = []  # as received
        self.late: list[float] = []  # delays of its own heartbeats, ms
        self.beats = 0
        self.due = 0.0

    def handle(self, now: float, event: Any) -> list[Any]:
        if isinstance(event, Started):
            self.heard = dict.fromkeys(self.others, now)
            return [*self._beat(now), SetTimer(now + 50, LOOK)]
        if isinstance(event, TimerFired):
            if event.token == BEAT:
                self.late.append(now - self.due)
                return self._beat(now)
            return [*self._look(now), SetTimer(now + 50, LOOK)]
        if isinstance(event, MessageReceived):
            self.numbers.append((event.sender, event.message.number))  # type: ignore[attr-defined]
            self.heard[event.sender] = now
            if event.sender in self.suspected:
                self.suspected.discard(event.sender)
                return [LogLine(f"{event.sender} back")]
            return []
        if isinstance(event, ShutdownStarted):
            return [LogLine("leaves")]
        if isinstance(event, str):
            return [LogLine(event)]
        raise TypeError(event)

    def _beat(self, now: float) -> list[Any]:
        self.beats += 1
        self.due = now + 100
        return [
            SetTimer(self.due, BEAT),
            *(SendToAddress(address(to), Beat(self.beats), self.carrier) for to in self.others),
        ]

    def _look(self, now: float) -> list[Any]:
        silent = [one for one in self.others if now - self.heard[one] >= 350 and one not in self.suspected]
        self.suspected.update(silent)
        return [LogLine(f"suspects {one}") for one in silent]


def listeners(*names: str, carrier: Carrier = Carrier.DATAGRAM) -> Callable[[str, int, int, StoredLog], Listener]:
    return lambda name, seed, process_epoch, held: Listener(name, tuple(one for one in names if one != name), carrier)


class Put(NamedTuple):
    """Store `many` entries, one record each, in one batch."""

    many: int = 1


class Keeper:
    """Appends entries to its disk; logs at its start what it found, and the outcome of each batch."""

    def __init__(self, held: StoredLog) -> None:
        self.held = held
        self.last = held.last_index
        self.answers: list[Any] = []
        self.tickets = 0
        self.batches: dict[int, int] = {}  # by ticket: the first index

    def handle(self, now: float, event: Any) -> list[Any]:
        if isinstance(event, Started):
            return [LogLine(f"found {self.held.last_index}")]
        if isinstance(event, Put):
            self.tickets += 1
            self.batches[self.tickets] = self.last + 1
            records = tuple(Append((LogEntry(self.last + 1 + step, 1, "put"),)) for step in range(event.many))
            self.last += event.many
            return [Store(self.tickets, records)]
        self.answers.append(event)
        if isinstance(event, Stored):
            return [LogLine(f"kept {event.ticket}")]
        if isinstance(event, StoreFailed):
            self.last = min(self.last, self.batches[event.ticket] - 1)
            return [LogLine(f"refused {event.ticket} {event.reason}")]
        raise TypeError(event)


class Ask(Message, frozen=True, tag="toy.ask"):
    pass


class Vote(Message, frozen=True, tag="toy.vote"):
    yes: bool


class Outcome(Message, frozen=True, tag="toy.outcome"):
    yes: bool


class Voter:
    """Two phases: `a` requests votes, all vote, `a` decides. `bug` injects a bug: see the test for each."""

    def __init__(self, name: str, held: StoredLog, bug: str = "", no: str = "c") -> None:
        self.name, self.bug, self.no = name, bug, no
        self.yes: set[str] = set()
        self.votes = 0
        self.decided = ""
        self.voted = held.term_vote.vote
        self.asked = ""

    def digest(self) -> Any:
        return (tuple(sorted(self.yes)), self.votes, self.decided, self.voted, self.asked)

    def handle(self, now: float, event: Any) -> list[Any]:
        if isinstance(event, Started):
            return (
                [SendToMember(to, Ask(), Carrier.DATAGRAM) for to in ("b", "c")] + [SetTimer(now + 100, 1)]
                if self.name == "a"
                else []
            )
        if isinstance(event, TimerFired):
            return self._decide(self.bug == "late means yes")
        if isinstance(event, Stored):
            return [SendToMember("a", Vote(True), Carrier.DATAGRAM)]
        if isinstance(event.message, Ask):
            return self._asked()
        if isinstance(event.message, Vote):
            return self._voted(event.sender, event.message.yes)
        return self._told(event.message.yes)

    def _asked(self) -> list[Any]:
        if self.asked:
            return []
        self.asked = "asked"
        if self.name == self.no:
            return [SendToMember("a", Vote(False), Carrier.DATAGRAM), LogLine("votes no")]
        return [LogLine("votes yes"), Store(1, (TermVote(1, "yes"),))]

    def _voted(self, sender: str, yes: bool) -> list[Any]:
        if not yes:
            return self._decide(False)
        self.yes.add(sender)
        self.votes += 1
        enough = self.votes >= 2 if self.bug == "counts votes" else len(self.yes) == 2
        return self._decide(True) if enough else []

    def _decide(self, yes: bool) -> list[Any]:
        if self.decided:
            return []
        self.decided = "yes" if yes else "no"
        return [LogLine(f"decides {self.decided}"), *(SendToMember(to, Outcome(yes)) for to in ("b", "c"))]

    def _told(self, yes: bool) -> list[Any]:
        if self.decided:
            return []
        self.decided = "yes" if yes else "no"
        return [LogLine(f"did {self.decided}")]
