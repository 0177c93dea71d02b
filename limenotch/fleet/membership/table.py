"""The members one knows, oneself not among them: what is held of each, and when it was last changed."""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum
from random import Random

from .messages import Claim
from .states import CODES, FINAL, Standing, State, wins
from .suspicion import Suspicion


class Member:
    __slots__ = ("address", "by", "incarnation", "name", "process_epoch", "since", "state", "suspicion")

    def __init__(self, claim: Claim, since: float) -> None:
        self.name = claim.name
        self.suspicion: Suspicion | None = None
        self.take(claim, since)

    def take(self, claim: Claim, since: float) -> None:
        self.address, self.process_epoch, self.state = claim.address, claim.process_epoch, claim.says
        self.incarnation, self.by, self.since = claim.incarnation, claim.by, since

    @property
    def standing(self) -> Standing:
        return (self.process_epoch, self.state, self.incarnation)

    def claim(self, now: float) -> Claim:
        age = int(max(0.0, now - self.since)) if self.state in FINAL else 0
        return Claim(
            self.name, CODES.index(self.state), self.address, self.process_epoch, self.incarnation, self.by, age
        )


class Came(Enum):
    OLD = "nothing new"
    NEW = "a name not held before"
    CHANGED = "another state, life or address"
    REFRESHED = "a higher incarnation alone"
    SAME_SUSPICION = "the suspicion held, maybe by somebody else"
    FULL = "no room for another name"


class Table:
    """Bounded by `most` names; where it is full, who is dead or left longest makes room."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.members: dict[str, Member] = {}
        self.live: list[str] = []  # alive or suspect

    def __getitem__(self, name: str) -> Member:
        return self.members[name]

    def get(self, name: str) -> Member | None:
        return self.members.get(name)

    def __iter__(self) -> Iterator[Member]:
        return iter(self.members.values())

    def hear(self, claim: Claim, now: float) -> Came:
        held = self.members.get(claim.name)
        since = now - claim.age_ms if claim.says in FINAL else now
        if held is None:
            if len(self.members) >= self.most and not self._make_room():
                return Came.FULL
            self.members[claim.name] = Member(claim, since)
            self._count()
            return Came.NEW
        said = (claim.process_epoch, claim.says, claim.incarnation)
        if said == held.standing and claim.says is State.SUSPECT:
            return Came.SAME_SUSPICION
        if not wins(said, held.standing):
            return Came.OLD
        same = held.process_epoch == claim.process_epoch and held.state is claim.says and held.address == claim.address
        before = held.incarnation if held.process_epoch == claim.process_epoch else 0
        held.take(claim, held.since if same else since)
        held.incarnation = max(held.incarnation, before)  # a death may come of an older one than was heard of
        held.suspicion = None
        self._count()
        return Came.REFRESHED if same else Came.CHANGED

    def forget(self, name: str) -> None:
        self.members.pop(name, None)
        self._count()

    def some(self, random: Random, most: int, but: str = "") -> list[str]:
        """Of the live, different ones, by chance."""
        chosen: list[str] = []
        live = self.live
        if len(live) <= most + 1:
            chosen = [name for name in live if name != but]
            random.shuffle(chosen)
            return chosen[:most]
        while len(chosen) < most:
            name = live[random.randrange(len(live))]
            if name != but and name not in chosen:
                chosen.append(name)
        return chosen

    def of(self, state: State) -> list[str]:
        return [member.name for member in self.members.values() if member.state is state]

    def _make_room(self) -> bool:
        ended = [member for member in self.members.values() if member.state in FINAL]
        if not ended:
            return False
        del self.members[min(ended, key=lambda member: member.since).name]
        return True

    def _count(self) -> None:
        self.live = [member.name for member in self.members.values() if member.state not in FINAL]
