"""The known members, this process not among them: the state of each, and when it changed last."""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum
from random import Random

from .messages import Claim
from .states import FINAL, STATES_BY_CODE, Standing, State, supersedes
from .suspicion import Suspicion


class Member:
    """A known member. `since_ms`: when its state changed last."""

    __slots__ = ("address", "incarnation", "name", "process_epoch", "reported_by", "since_ms", "state", "suspicion")

    def __init__(self, claim: Claim, since_ms: float) -> None:
        self.name = claim.name
        self.suspicion: Suspicion | None = None
        self.apply(claim, since_ms)

    def apply(self, claim: Claim, since_ms: float) -> None:
        """Take over a claim's values."""
        self.address, self.process_epoch, self.state = claim.address, claim.process_epoch, claim.claimed_state
        self.incarnation, self.reported_by, self.since_ms = claim.incarnation, claim.reported_by, since_ms

    @property
    def standing(self) -> Standing:
        """What claims are compared with."""
        return (self.process_epoch, self.state, self.incarnation)

    def to_claim(self, now: float) -> Claim:
        """The member as a claim, with its age if it is dead or left."""
        age = int(max(0.0, now - self.since_ms)) if self.state in FINAL else 0
        return Claim(
            self.name,
            STATES_BY_CODE.index(self.state),
            self.address,
            self.process_epoch,
            self.incarnation,
            self.reported_by,
            age,
        )


class ClaimOutcome(Enum):
    """What applying a claim changed."""

    SUPERSEDED = "nothing new"
    NEW = "a name not held before"
    CHANGED = "another state, life or address"
    REFRESHED = "a higher incarnation alone"
    SAME_SUSPICION = "the suspicion held, maybe by somebody else"
    TABLE_FULL = "no room for another name"


class MemberTable:
    """Bounded by `max_members` names; when full, the member that is dead or left for longest is evicted."""

    def __init__(self, max_members: int) -> None:
        self.max_members = max_members
        self.members: dict[str, Member] = {}
        self.live: list[str] = []  # alive or suspect

    def __getitem__(self, name: str) -> Member:
        return self.members[name]

    def get(self, name: str) -> Member | None:
        """The member of this name, if known."""
        return self.members.get(name)

    def __iter__(self) -> Iterator[Member]:
        return iter(self.members.values())

    def apply(self, claim: Claim, now: float) -> ClaimOutcome:
        """Apply a claim if it supersedes what is known."""
        known = self.members.get(claim.name)
        since_ms = now - claim.age_ms if claim.claimed_state in FINAL else now
        if known is None:
            if len(self.members) >= self.max_members and not self._evict_ended():
                return ClaimOutcome.TABLE_FULL
            self.members[claim.name] = Member(claim, since_ms)
            self._update_live()
            return ClaimOutcome.NEW
        claimed = (claim.process_epoch, claim.claimed_state, claim.incarnation)
        if claimed == known.standing and claim.claimed_state is State.SUSPECT:
            return ClaimOutcome.SAME_SUSPICION
        if not supersedes(claimed, known.standing):
            return ClaimOutcome.SUPERSEDED
        same = (
            known.process_epoch == claim.process_epoch
            and known.state is claim.claimed_state
            and known.address == claim.address
        )
        min_incarnation = known.incarnation if known.process_epoch == claim.process_epoch else 0
        known.apply(claim, known.since_ms if same else since_ms)
        # A death may be claimed of an older incarnation than is known.
        known.incarnation = max(known.incarnation, min_incarnation)
        known.suspicion = None
        self._update_live()
        return ClaimOutcome.REFRESHED if same else ClaimOutcome.CHANGED

    def forget(self, name: str) -> None:
        """Remove a member."""
        self.members.pop(name, None)
        self._update_live()

    def sample(self, random: Random, max_members: int, excluded: str = "") -> list[str]:
        """Distinct live members, at random."""
        chosen: list[str] = []
        live = self.live
        if len(live) <= max_members + 1:
            chosen = [name for name in live if name != excluded]
            random.shuffle(chosen)
            return chosen[:max_members]
        while len(chosen) < max_members:
            name = live[random.randrange(len(live))]
            if name != excluded and name not in chosen:
                chosen.append(name)
        return chosen

    def names_in(self, state: State) -> list[str]:
        """Names of the members in a state."""
        return [member.name for member in self.members.values() if member.state is state]

    def _evict_ended(self) -> bool:
        ended = [member for member in self.members.values() if member.state in FINAL]
        if not ended:
            return False
        del self.members[min(ended, key=lambda member: member.since_ms).name]
        return True

    def _update_live(self) -> None:
        self.live = [member.name for member in self.members.values() if member.state not in FINAL]
