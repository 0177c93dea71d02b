"""What peers tell of the directory's list: drains and departures act at once, arrivals only from one's own directory.

An index counts within one directory and one of its runs: a whole list with a lower index than before is a new run,
named by its first index seen. A peer's word of the same run that one's own list has passed is no news; of another run
or another directory it always drains, as indexes tell nothing there. A drain ends when one's own directory names the
provider as ready later: in the same run, at an index not below; of another run, in a whole list.

Not here yet: new providers by agreement. A sidecar whose directory is silent learns of no new one.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from ..contract import Heard, MemberChanged, Message, Note, Tell

READY = "ready"
STAGES = ("ready", "draining", "gone")  # each restricts more than the one before
MOST_GONE = 64  # of one message
MOST_NAME = 200


class Listed(NamedTuple):
    """From one's own directory: name to stage. `whole`: who is not named is gone."""

    entries: dict[str, str]
    index: int  # type: ignore[assignment]
    whole: bool


class DirectorySilent(NamedTuple):
    """It does not answer. What it told last stands; peers' drains act on."""


class PeerDrain(NamedTuple):
    """The host sends nothing new to these, whatever its own list says; names to `draining` or `gone`."""

    names: dict[str, str]


class Drained(Message, frozen=True, array_like=True, tag="ru.gone"):
    directory: str
    run: int
    index: int
    names: tuple[tuple[str, str], ...]  # name and stage


class Lists:
    """`directory`: the address of one's own. At most `most` providers are remembered."""

    def __init__(self, name: str, directory: str, most: int = 10_000) -> None:
        self.name, self.directory, self._most = name, directory, most
        self.run, self.index = 0, -1
        self.own: dict[str, str] = {}
        self.drained: dict[str, tuple[str, tuple[str, int, int]]] = {}  # name: stage, and whose word that was
        self.counts: dict[str, int] = {}
        self._members: dict[str, str] = {}
        self._told: dict[str, str] = {}
        self._events: dict[type, Callable[[Any], list[Any]]] = {
            Listed: self._listed, DirectorySilent: lambda event: [Note("directory silent")], Heard: self._heard,
            MemberChanged: self._member}

    def handle(self, now: float, event: Any) -> list[Any]:
        do = self._events.get(type(event))
        if do is None:
            raise TypeError(f"no event of lists: {event!r}")
        return [*do(event), *self._tell()]

    def _member(self, event: MemberChanged) -> list[Any]:
        if event.name in self._members or len(self._members) < self._most:
            self._members[event.name] = event.state
        return []

    def _listed(self, event: Listed) -> list[Any]:
        if event.index < self.index and not event.whole:
            self._count("changes of an earlier index")
            return []
        out: list[Any] = []
        if event.index < self.index:
            self.run = event.index
            out.append(Note(f"directory run {self.run}"))
        self.index = event.index
        before = self.own
        self.own = dict(event.entries) if event.whole else {**self.own, **event.entries}
        if len(self.own) > self._most:
            self._count("list too long")
            self.own = dict(list(self.own.items())[: self._most])
        worse = {name: self.own.get(name, "gone") for name, stage in before.items()
                 if STAGES.index(self.own.get(name, "gone")) > STAGES.index(stage)}
        for name in [name for name, stage in event.entries.items() if stage == READY and name in self.drained]:
            directory, run, index = self.drained[name][1]
            if directory == self.directory and (index <= self.index if run == self.run else event.whole):
                del self.drained[name]
        return out + self._spread(worse)

    def _spread(self, worse: dict[str, str]) -> list[Any]:
        names = list(worse.items())
        parts = [tuple(names[at:at + MOST_GONE]) for at in range(0, len(names), MOST_GONE)]
        return [Tell(member, Drained(self.directory, self.run, self.index, part)) for part in parts
                for member, state in self._members.items() if member != self.name and state not in ("dead", "left")]

    def _heard(self, event: Heard) -> list[Any]:
        message = event.message
        if not isinstance(message, Drained):
            self._count("no message of lists")
            return []
        here = (self.directory, self.run)
        for name, stage in message.names[:MOST_GONE]:
            if stage not in STAGES[1:] or not 0 < len(name) <= MOST_NAME:
                self._count("bad drain")
            elif name not in self.drained and len(self.drained) >= self._most:
                self._count("too many drains")
            elif (message.directory, message.run) == here and message.index <= self.index and name in self.own:
                self._count("drain that one's own list has passed")
            else:
                self.drained[name] = (stage, (message.directory, message.run, message.index))
        return []

    def _tell(self) -> list[Any]:
        told = {name: stage for name, (stage, _) in self.drained.items()}
        if told == self._told:
            return []
        self._told = told
        return [PeerDrain(dict(told))]

    def _count(self, why: str) -> None:
        self.counts[why] = self.counts.get(why, 0) + 1
