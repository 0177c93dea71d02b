"""New providers by agreement: the log names one when a quorum of voters holds it from the same directory.

| who | does |
| --- | --- |
| a voter whose directory answers | tells the leader what that has otherwise than was agreed on, each AGAIN_MS |
| the leader | proposes what more than half of the voters told lately, each the same of the same directory |
| a sidecar whose directory is silent | uses what was agreed on of that directory, besides its own last list |

So a sidecar takes no provider from one peer's word. While its directory answers, that alone names providers to it. A
departure is agreed on the same way, which only tidies: departures act by peers' word (drains.py).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..consensus import api as log
from ..interfaces import SendToMember
from .endpoint_list_messages import MOST_ENTRIES, Agree, Held, Know, Named, agree_of, encode, held_of

AGAIN_MS = 1000.0
LATELY_MS = 2.5 * AGAIN_MS
NEVER = float("inf")
Key = tuple[str, str, "Named | None"]  # directory, name, and its entry; None: gone


class Arrivals:
    def __init__(self, name: str, voters: tuple[str, ...], most: int, state: bytes | None = None) -> None:
        """Raises msgspec.DecodeError on a state that can't be read."""
        self.name, self.voters, self._most = name, voters, most
        self.agreed: dict[str, tuple[str, Named]] = held_of(state).agreed if state is not None else {}
        self.leader: str | None = None
        self.again_at = NEVER
        self.counts: dict[str, int] = {}
        self._votes: dict[Key, dict[str, float]] = {}
        self._ticket = 0
        self._proposed: dict[int, list[Key]] = {}

    # The log

    def apply(self, event: log.EntryCommitted) -> None:
        agree = agree_of(event.data)
        if agree is None:
            self._count("no entry of lists")
            return
        for named in agree.ready:
            if named.name in self.agreed or len(self.agreed) < self._most:
                self.agreed[named.name] = (agree.directory, named)
        for name in agree.gone:
            if self.agreed.get(name, ("",))[0] == agree.directory:
                del self.agreed[name]

    def install(self, state: bytes) -> None:
        self.agreed = held_of(state).agreed

    def state(self) -> bytes:
        return encode(Held(self.agreed))

    def led(self, now: float, leader: str | None) -> None:
        self.leader = leader
        self._votes.clear()
        self._proposed.clear()
        self.again_at = now

    def voted(self, now: float, voters: tuple[str, ...]) -> None:
        """It may vote only now: what it has is told anew."""
        self.voters, self.again_at = voters, now

    def ended(self, ticket: int) -> None:
        self._proposed.pop(ticket, None)

    # A voter's

    def tell(self, now: float, directory: str, ready: dict[str, Named]) -> list[Any]:
        """What one's own directory, which answers, has otherwise than was agreed on."""
        self.again_at = NEVER
        if self.leader is None or self.name not in self.voters:
            return []
        new = [named for name, named in ready.items() if self.agreed.get(name) != (directory, named)]
        gone = [name for name, (of, _) in self.agreed.items() if of == directory and name not in ready]
        if not new and not gone:
            return []
        self.again_at = now + AGAIN_MS
        out: list[Any] = []
        for at in range(0, max(len(new), len(gone)), MOST_ENTRIES):
            know = Know(directory, tuple(new[at : at + MOST_ENTRIES]), tuple(gone[at : at + MOST_ENTRIES]))
            if self.leader == self.name:
                self.heard(now, self.name, know)
            else:
                out.append(SendToMember(self.leader, know))
        return out

    # The leader's

    def heard(self, now: float, voter: str, know: Know) -> None:
        if self.leader != self.name or voter not in self.voters:
            return
        if len(know.ready) > MOST_ENTRIES or len(know.gone) > MOST_ENTRIES:
            self._count("too many entries")
            return
        keys: list[Key] = [(know.directory, named.name, named) for named in know.ready]
        keys += [(know.directory, name, None) for name in know.gone]
        for key in keys:
            if key in self._votes or len(self._votes) < self._most:
                self._votes.setdefault(key, {})[voter] = now

    def propose(self, now: float) -> list[Any]:
        if self.leader != self.name or not self._votes:
            return []
        need = len(self.voters) // 2 + 1
        under_way = {key for keys in self._proposed.values() for key in keys}
        found: dict[str, list[Key]] = {}
        for key, votes in list(self._votes.items()):
            for voter in [voter for voter, at in votes.items() if now - at > LATELY_MS or voter not in self.voters]:
                del votes[voter]
            directory, name, named = key
            held = self.agreed.get(name)
            if not votes or (held == (directory, named) if named is not None else held is None):
                del self._votes[key]  # nobody says so any more, or it is agreed on
            elif len(votes) >= need and key not in under_way:
                found.setdefault(directory, []).append(key)
        out: list[Any] = []
        for directory, keys in found.items():
            for at in range(0, len(keys), MOST_ENTRIES):
                part = keys[at : at + MOST_ENTRIES]
                self._ticket += 1
                self._proposed[self._ticket] = part
                entry = Agree(
                    directory,
                    tuple(named for _, _, named in part if named is not None),
                    tuple(name for _, name, named in part if named is None),
                )
                out.append(log.Propose(self._ticket, encode(entry), ""))
        return out

    def missing(self, directory: str, own: Callable[[str], bool]) -> tuple[Named, ...]:
        """Agreed on of this directory, and not in one's own list."""
        return tuple(named for name, (of, named) in self.agreed.items() if of == directory and not own(name))

    def _count(self, why: str) -> None:
        self.counts[why] = self.counts.get(why, 0) + 1
