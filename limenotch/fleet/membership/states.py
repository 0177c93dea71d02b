"""States of a member, and which of two claims about it wins.

Source: Das, Gupta, Motivala, "SWIM" (2002), 4.2 (suspicion and incarnations). Two things are added: `process_epoch`,
so that a process that was declared dead comes back under a new identity, and `left`, which is told apart from dead.

Of two claims about one name that of the higher process epoch wins. Within one process epoch:

    current \\ claimed  alive i      suspect i    dead     left
    alive j            i > j        i >= j       always   always
    suspect j          i > j        i > j        always   always
    dead               never        never        never    always
    left               never        never        never    never

So claims are totally ordered and the current state is the greatest received: order and repetition of claims don't
matter, and no claim revives a process epoch that is dead or left.
"""

from __future__ import annotations

from enum import Enum


class State(Enum):
    """The states of a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


# The index is a state's number in messages; states are only ever appended.
STATES_BY_CODE = (State.ALIVE, State.SUSPECT, State.DEAD, State.LEFT)
FINAL = frozenset((State.DEAD, State.LEFT))


class IncarnationRule(Enum):
    """What a claim's incarnation must be, compared with the current one."""

    HIGHER = ">"
    NOT_LOWER = ">="
    ANY = "always"
    NEVER = "never"


PRECEDENCE: dict[tuple[State, State], IncarnationRule] = {  # (current, claimed), in one process epoch
    (State.ALIVE, State.ALIVE): IncarnationRule.HIGHER,
    (State.ALIVE, State.SUSPECT): IncarnationRule.NOT_LOWER,
    (State.ALIVE, State.DEAD): IncarnationRule.ANY,
    (State.ALIVE, State.LEFT): IncarnationRule.ANY,
    (State.SUSPECT, State.ALIVE): IncarnationRule.HIGHER,
    (State.SUSPECT, State.SUSPECT): IncarnationRule.HIGHER,
    (State.SUSPECT, State.DEAD): IncarnationRule.ANY,
    (State.SUSPECT, State.LEFT): IncarnationRule.ANY,
    (State.DEAD, State.ALIVE): IncarnationRule.NEVER,
    (State.DEAD, State.SUSPECT): IncarnationRule.NEVER,
    (State.DEAD, State.DEAD): IncarnationRule.NEVER,
    (State.DEAD, State.LEFT): IncarnationRule.ANY,
    (State.LEFT, State.ALIVE): IncarnationRule.NEVER,
    (State.LEFT, State.SUSPECT): IncarnationRule.NEVER,
    (State.LEFT, State.DEAD): IncarnationRule.NEVER,
    (State.LEFT, State.LEFT): IncarnationRule.NEVER,
}

Standing = tuple[int, State, int]  # process epoch, state, incarnation


def supersedes(claimed: Standing, current: Standing) -> bool:
    """Whether the claim replaces the current standing."""
    if claimed[0] != current[0]:
        return claimed[0] > current[0]
    rule = PRECEDENCE[current[1], claimed[1]]
    if rule is IncarnationRule.HIGHER:
        return claimed[2] > current[2]
    if rule is IncarnationRule.NOT_LOWER:
        return claimed[2] >= current[2]
    return rule is IncarnationRule.ANY
