"""The directory's list among many, as a part: what peers tell acts at once if it restricts, by agreement if it adds.

| own directory | new providers from | drains from |
| --- | --- | --- |
| answers | it alone | it, and every peer (drains.py) |
| silent | what was agreed on of that directory (arrivals.py) | its last word, and every peer |

A sidecar tells each provider that becomes draining or gone by its own directory, by datagram to all, at once and AGAIN
times more; and when one is ready again that it told. Who is new, and who comes back after a cut, asks a few for all of
theirs; whose own directory is silent asks one after another, all the time. Two directories that disagree: a drain of
either drains, an arrival counts where it was named.

Source: docs/fleet/rules-design.md, "Lists".
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .. import interfaces
from ..consensus import api as log
from ..interfaces import Carrier, LogLine, SendToMember, SetTimer
from .api import Voters
from .drain_notices import Drains
from .endpoint_additions import NEVER, Arrivals
from .endpoint_list_messages import (
    MOST_NAME,
    MOST_NAMES,
    READY,
    ROOM,
    STAGES,
    Arrived,
    DirectorySilent,
    Know,
    Listed,
    Named,
    PeerDrain,
    Pull,
    Word,
)

AGAIN, AGAIN_MS = 3, 300.0  # words by datagram are said so often more
PULLED, PULL_MS = 3, 1000.0  # so many members that are new here are asked in such a span
SILENT_MS = 500.0  # between two that are asked while the own directory is silent
MOST_GONE = 1000  # departures that are told to who asks; the oldest are forgotten first


class Lists:
    """`directory`: the address of one's own, as HOST:PORT. At most `most` providers are remembered."""

    def __init__(
        self,
        name: str,
        begun: int,
        directory: str,
        voters: tuple[str, ...] = (),
        most: int = 10_000,
        state: bytes | None = None,
    ) -> None:
        """`state`: of the log's snapshot found at the start. Raises msgspec.DecodeError where it can't be read."""
        self.name, self.begun, self.directory, self._most = name, begun, directory, most
        self.index, self.live = -1, False
        self.silent = False  # it was heard to be; at the start it is neither
        self.own: dict[str, str] = {}  # name: stage, as last told; gone ones too, the latest
        self.ready: dict[str, Named] = {}
        self.drains, self.arrivals = Drains(most), Arrivals(name, voters, most, state)
        self.runs = 0  # new runs of the directory seen
        self._serial = 0
        self._fresh: dict[str, int] = {}  # name: how often it is to be said yet
        self._said: set[str] = set()  # that the others hold of us as restricted
        self._again_at = NEVER
        self._state_again = 0  # how often `live` is to be said yet
        self._pulls = (0.0, 0)  # since when, how many
        self._pull_at = NEVER
        self._turn = 0
        self._armed = NEVER
        self._drained: dict[str, str] = {}
        self._arrived: tuple[Named, ...] = ()
        self._now = 0.0
        self._out: list[Any] = []
        self._events: dict[type, Callable[[Any], None]] = {
            Listed: self._listed,
            DirectorySilent: self._silent,
            interfaces.MessageReceived: self._heard,
            interfaces.MemberChanged: self._member,
            interfaces.TimerFired: self._fired,
            Voters: lambda event: self.arrivals.voted(self._now, event.names),
            log.EntryCommitted: lambda event: self.arrivals.apply(event),
            log.SnapshotInstalled: lambda event: self.arrivals.install(event.state),
            log.LeaderChanged: lambda event: self.arrivals.led(self._now, event.name),
            log.ProposalCommitted: lambda event: self.arrivals.ended(event.ticket),
            log.ProposalRejected: lambda event: self.arrivals.ended(event.ticket),
            log.OutcomeUnknown: lambda event: self.arrivals.ended(event.ticket),
            **dict.fromkeys((interfaces.Started, interfaces.ShutdownStarted, interfaces.Fenced), lambda event: None),
        }

    def handle(self, now: float, event: Any) -> list[Any]:
        do = self._events.get(type(event))
        if do is None:
            raise TypeError(f"no event of lists: {event!r}")
        self._now, self._out = now, []
        do(event)
        if now >= self._again_at:
            self._say()
        if now >= self.arrivals.again_at and self.live:
            self._out += self.arrivals.tell(now, self.directory, self.ready)
        if now >= self._pull_at:
            self._pull()
        self._out += self.arrivals.propose(now)
        self._tell()
        self._arm()
        return self._out

    def state(self) -> bytes:
        return self.arrivals.state()

    @property
    def counts(self) -> dict[str, int]:
        return {**self.drains.counts, **self.arrivals.counts}

    def status(self) -> dict[str, Any]:
        return {
            "directory": self.directory,
            "index": self.index,
            "live": self.live,
            "runs": self.runs,
            "drained_by_peers": len(self._drained),
            "arrived_by_agreement": len(self._arrived),
            "agreed": len(self.arrivals.agreed),
            "counts": self.counts,
        }

    # One's own directory

    def _listed(self, event: Listed) -> None:
        if event.directory != self.directory:
            self._move(event.directory)
        if event.index < self.index:
            if not event.whole:
                self._count("changes of an earlier index")
                return
            self.runs += 1
            self.drains.restarted(self.directory)
            self._out.append(LogLine("directory begun anew"))
        if not self.live:
            self.live, self._state_again = True, AGAIN + 1
        self.silent, self.index, self._pull_at = False, event.index, NEVER
        stages = {name: stage for name, stage in event.stages.items() if not _long(name) and stage in STAGES}
        before = dict(self.own)
        if event.whole:
            stages = {**{name: "gone" for name in before if name not in stages}, **stages}
            self.ready = {}
        self.own.update(stages)
        self.ready.update({named.name: named for named in event.ready if named.name in stages})
        for name, stage in stages.items():
            if stage != READY:
                self.ready.pop(name, None)
            # Only who was in the list departs from it unnamed: an absence is no word against another directory's.
            worse = STAGES.index(stage) > STAGES.index(before.get(name, READY))
            better = stage == READY and name in self._said
            if better or worse and not self.drains.told_enough(name, self.directory, stage):
                self._fresh[name] = AGAIN + 1
                (self._said.discard if better else self._said.add)(name)
        self._bound()
        self.drains.listed(
            self.directory,
            self.index,
            {name for name, stage in stages.items() if stage == READY},
            event.asked_ms if event.whole else -NEVER,
        )
        if self._fresh or self._state_again:
            self._again_at = self._now
        self.arrivals.again_at = self._now

    def _stage(self, name: str) -> str:
        return self.own.get(name, READY)

    def _bound(self) -> None:
        gone = [name for name, stage in self.own.items() if stage == "gone"]
        for name in gone[: max(0, len(gone) - MOST_GONE)]:
            del self.own[name]
            self._said.discard(name)
        for name in list(self.own)[self._most :]:
            del self.own[name]
            self.ready.pop(name, None)
            self._count("list too long")

    def _silent(self, event: DirectorySilent) -> None:
        if event.directory != self.directory:
            self._move(event.directory)
        if not self.silent:
            self._out.append(LogLine("directory silent"))
            self._pull_at = self._now
        if self.live:
            self._state_again, self._again_at = AGAIN + 1, self._now
        self.live, self.silent = False, True

    def _move(self, directory: str) -> None:
        """What was said by the other one's word is taken back: of this one's, the others are told when it is heard."""
        self.directory, self.index, self.own, self.ready = directory, -1, {}, {}
        self._fresh.update(dict.fromkeys(self._said, AGAIN + 1))
        self._said.clear()
        if self._fresh:
            self._again_at = self._now

    # To the others

    def _others(self) -> list[str]:
        return [
            name for name, peer in self.drains.peers.items() if name != self.name and peer.state in ("alive", "suspect")
        ]

    def _say(self) -> None:
        """What is new, with the stage that it has now, to all."""
        names = [(name, self.own.get(name, READY)) for name in self._fresh]
        if names or self._state_again:
            for word in self._words(names):
                self._out += [SendToMember(other, word, Carrier.DATAGRAM) for other in self._others()]
        self._fresh = {name: left - 1 for name, left in self._fresh.items() if left > 1}
        self._state_again = max(0, self._state_again - 1)
        self._again_at = self._now + AGAIN_MS if self._fresh or self._state_again else NEVER

    def _words(self, names: list[tuple[str, str]]) -> list[Word]:
        """Each fits a datagram."""
        self._serial += 1
        parts: list[list[tuple[str, str]]] = [[]]
        room = ROOM
        for one in names:
            room -= len(one[0].encode()) + len(one[1]) + 4
            if room < 0:
                parts.append([])
                room = ROOM
            parts[-1].append(one)
        return [Word(self.begun, self.directory, self.index, self._serial, self.live, tuple(part)) for part in parts]

    def _pulled(self, sender: str) -> None:
        restricted = [(name, stage) for name, stage in self.own.items() if stage != READY]
        # Those that drain first: calls may be sent there yet by who doesn't know.
        restricted.sort(key=lambda one: STAGES.index(one[1]))
        del restricted[MOST_NAMES:]
        self._said.update(name for name, _ in restricted)
        self._serial += 1
        word = Word(self.begun, self.directory, self.index, self._serial, self.live, tuple(restricted), True)
        self._out.append(SendToMember(sender, word))

    # From the others

    def _member(self, event: interfaces.MemberChanged) -> None:
        if self.drains.member(event.name, event.state, event.process_epoch) and event.name != self.name:
            since, many = self._pulls if self._now - self._pulls[0] < PULL_MS else (self._now, 0)
            if many < PULLED:
                self._pulls = (since, many + 1)
                self._out.append(SendToMember(event.name, Pull()))

    def _pull(self) -> None:
        """Of the next member."""
        others = self._others()
        if others:
            self._turn += 1
            self._out.append(SendToMember(others[self._turn % len(others)], Pull()))
        self._pull_at = self._now + SILENT_MS

    def _heard(self, event: interfaces.MessageReceived) -> None:
        message, sender = event.message, event.sender
        if isinstance(message, Word):
            if len(message.names) > MOST_NAMES or any(_long(name) for name, _ in message.names):
                self._count("bad word")
            elif sender != self.name:
                passed = self.live and message.directory == self.directory and message.index <= self.index
                self.drains.heard(self._now, sender, message, self._stage if passed else lambda name: READY)
        elif isinstance(message, Pull):
            self._pulled(sender)
        elif isinstance(message, Know):
            self.arrivals.heard(self._now, sender, message)
        else:
            self._count("no message of lists")

    # To the host

    def _tell(self) -> None:
        drained = self.drains.stages()
        if drained != self._drained:
            for name in sorted(drained.keys() | self._drained.keys()):
                if drained.get(name) != self._drained.get(name):
                    self._out.append(LogLine(f"heard {name} {drained.get(name, 'free')}"))
            self._drained = drained
            self._out.append(PeerDrain(dict(drained)))
        arrived: tuple[Named, ...] = ()
        if self.silent:
            arrived = self.arrivals.missing(self.directory, lambda name: name in self.own)
        if arrived != self._arrived:
            new = {named.name for named in arrived} - {named.name for named in self._arrived}
            self._out += [LogLine(f"uses {name} as agreed") for name in sorted(new)]
            self._arrived = arrived
            self._out.append(Arrived(arrived))

    def _fired(self, event: interfaces.TimerFired) -> None:
        if self._now >= self._armed:
            self._armed = NEVER

    def _arm(self) -> None:
        due = min(self._again_at, self._pull_at, self.arrivals.again_at if self.live else NEVER)
        if due < self._armed:
            self._armed = due
            self._out.append(SetTimer(due, 1))

    def _count(self, why: str) -> None:
        self.drains.counts[why] = self.drains.counts.get(why, 0) + 1


def _long(name: str) -> bool:
    return len(name.encode()) > MOST_NAME
