"""The roles of a member and their transitions, as data; every change of role goes through `next_role`.

| role | votes | starts an election | proposals | which member |
| --- | --- | --- | --- | --- |
| learner | no | no | forwards them | not a voter by its own log, or on a disk whose id the log does not know |
| follower | yes | after the election timeout | forwards them | a voter that follows a leader or waits for one |
| pre-candidate | yes | asks whether it would be elected, in its term | refuses them | a voter that misses its leader |
| candidate | for itself | in a new term | refuses them | a voter whose pre-vote succeeded |
| leader | for itself | | appends them | at most one a term |

Source: Ongaro, "Consensus: Bridging Theory and Practice" (2014), figure 3.3 and sections 4.2.1, 9.6 (pre-vote).
"""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    """The role of a member; the values are shown to operators."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Cause(Enum):
    """What makes a member change its role."""

    BOOTSTRAPPED = "all voters named are blank, it is the first of them"
    ADMITTED = "its log makes it a voter"
    REMOVED = "its log makes it a voter no more"
    LEADER_TIMEOUT = "no leader heard, or no answer, for an election's wait"
    PRE_VOTE_WON = "a quorum would vote for it"
    ELECTED = "a quorum voted for it"
    TIMEOUT_NOW = "its leader goes, and told it to stand"
    LEADER_SEEN = "a leader of this epoch or a later one speaks"
    HIGHER_TERM = "somebody is in a later epoch"
    QUORUM_LOST = "no quorum heard for an election's longest wait"
    DISK_FAILED = "its disk failed"
    FENCED = "the others had declared it dead"
    LEADERSHIP_TRANSFERRED = "it handed over"


_LEARNER, _FOLLOWER, _PRE_CANDIDATE, _CANDIDATE, _LEADER = (
    Role.LEARNER,
    Role.FOLLOWER,
    Role.PRE_CANDIDATE,
    Role.CANDIDATE,
    Role.LEADER,
)

TABLE: dict[tuple[Role, Cause], Role] = {
    (_LEARNER, Cause.BOOTSTRAPPED): _LEADER,
    (_LEARNER, Cause.ADMITTED): _FOLLOWER,
    (_FOLLOWER, Cause.REMOVED): _LEARNER,
    (_FOLLOWER, Cause.LEADER_TIMEOUT): _PRE_CANDIDATE,
    (_FOLLOWER, Cause.TIMEOUT_NOW): _CANDIDATE,
    (_PRE_CANDIDATE, Cause.LEADER_TIMEOUT): _PRE_CANDIDATE,
    (_PRE_CANDIDATE, Cause.PRE_VOTE_WON): _CANDIDATE,
    (_PRE_CANDIDATE, Cause.LEADER_SEEN): _FOLLOWER,
    (_PRE_CANDIDATE, Cause.HIGHER_TERM): _FOLLOWER,
    (_PRE_CANDIDATE, Cause.DISK_FAILED): _FOLLOWER,
    (_PRE_CANDIDATE, Cause.FENCED): _FOLLOWER,
    (_CANDIDATE, Cause.LEADER_TIMEOUT): _PRE_CANDIDATE,
    (_CANDIDATE, Cause.ELECTED): _LEADER,
    (_CANDIDATE, Cause.LEADER_SEEN): _FOLLOWER,
    (_CANDIDATE, Cause.HIGHER_TERM): _FOLLOWER,
    (_CANDIDATE, Cause.DISK_FAILED): _FOLLOWER,
    (_CANDIDATE, Cause.FENCED): _FOLLOWER,
    (_LEADER, Cause.HIGHER_TERM): _FOLLOWER,
    (_LEADER, Cause.QUORUM_LOST): _FOLLOWER,
    (_LEADER, Cause.DISK_FAILED): _FOLLOWER,
    (_LEADER, Cause.FENCED): _FOLLOWER,
    (_LEADER, Cause.LEADERSHIP_TRANSFERRED): _FOLLOWER,
}


def next_role(role: Role, cause: Cause) -> Role:
    """The role after `cause`. Raises ValueError on a transition that the table lacks: a defect of the caller."""
    try:
        return TABLE[role, cause]
    except KeyError:
        raise ValueError(f"no transition from {role.value} on {cause.name}") from None
