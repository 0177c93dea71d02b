"""The roles of a member, and every way from one to another, as data: `next_role` is the only door.

| role | votes | stands | takes proposals | who |
| --- | --- | --- | --- | --- |
| learner | no | no | forwards them | not a voter by its own log, or one whose birth the log does not know |
| follower | yes | by silence | forwards them | a voter that hears a leader, or waits for one |
| pre-candidate | yes | asks whether it would be elected; its epoch stays | refuses them | |
| candidate | itself | in an epoch of its own | refuses them | |
| leader | itself | | appends them | one an epoch at most |

Source: Ongaro, "Consensus: Bridging Theory and Practice" (2014), figure 3.3 and sections 4.2.1, 9.6 (pre-vote).
"""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Cause(Enum):
    FOUNDS = "all voters named are blank, it is the first of them"
    ADMITTED = "its log makes it a voter"
    REMOVED = "its log makes it a voter no more"
    SILENCE = "no leader heard, or no answer, for an election's wait"
    WOULD = "a quorum would vote for it"
    ELECTED = "a quorum voted for it"
    TOLD = "its leader goes, and told it to stand"
    HEARD = "a leader of this epoch or a later one speaks"
    EPOCH = "somebody is in a later epoch"
    ALONE = "no quorum heard for an election's longest wait"
    DISK = "its disk failed"
    FENCED = "the others had declared it dead"
    GOES = "it handed over"


_L, _F, _P, _C, _M = Role.LEARNER, Role.FOLLOWER, Role.PRE, Role.CANDIDATE, Role.LEADER

TABLE: dict[tuple[Role, Cause], Role] = {
    (_L, Cause.FOUNDS): _M,
    (_L, Cause.ADMITTED): _F,
    (_F, Cause.REMOVED): _L,
    (_F, Cause.SILENCE): _P,
    (_F, Cause.TOLD): _C,
    (_P, Cause.SILENCE): _P,
    (_P, Cause.WOULD): _C,
    (_P, Cause.HEARD): _F,
    (_P, Cause.EPOCH): _F,
    (_P, Cause.DISK): _F,
    (_P, Cause.FENCED): _F,
    (_C, Cause.SILENCE): _P,
    (_C, Cause.ELECTED): _M,
    (_C, Cause.HEARD): _F,
    (_C, Cause.EPOCH): _F,
    (_C, Cause.DISK): _F,
    (_C, Cause.FENCED): _F,
    (_M, Cause.EPOCH): _F,
    (_M, Cause.ALONE): _F,
    (_M, Cause.DISK): _F,
    (_M, Cause.FENCED): _F,
    (_M, Cause.GOES): _F,
}


def next_role(role: Role, cause: Cause) -> Role:
    """Raises ValueError on a way that the table lacks: a defect of the caller."""
    try:
        return TABLE[role, cause]
    except KeyError:
        raise ValueError(f"no way from {role.value}: {cause.name}") from None
