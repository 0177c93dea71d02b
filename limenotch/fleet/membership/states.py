"""What a member can be held to be, and which of two claims about it wins.

Source: Das, Gupta, Motivala, "SWIM" (2002), 4.2 (suspicion and incarnations). Two things are ours: a `process_epoch`,
so that a process which was declared dead comes back as somebody new, and `left`, which is told apart from dead.

Of two claims about one name the one of the higher life wins, whatever it says. Within one life:

    held \\ claimed   alive i      suspect i    dead     left
    alive j           i > j        i >= j       always   always
    suspect j         i > j        i > j        always   always
    dead              never        never        never    always
    left              never        never        never    never

So claims are in one total order and the state held is the greatest heard: the order in which news come, and how often
they come, doesn't matter, and nothing of a life that is dead or left revives it.
"""

from __future__ import annotations

from enum import Enum


class State(Enum):
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


STATES_BY_CODE = (
    State.ALIVE,
    State.SUSPECT,
    State.DEAD,
    State.LEFT,
)  # a state's number in messages; only ever added to
FINAL = frozenset((State.DEAD, State.LEFT))


class IncarnationRule(Enum):
    """Of the claim's incarnation, against the one held."""

    HIGHER = ">"
    NOT_LOWER = ">="
    ANY = "always"
    NEVER = "never"


PRECEDENCE: dict[tuple[State, State], IncarnationRule] = {  # (held, claimed), in one life
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

Standing = tuple[int, State, int]  # life, state, incarnation


def supersedes(claimed: Standing, held: Standing) -> bool:
    """Whether what is claimed takes the place of what is held."""
    if claimed[0] != held[0]:
        return claimed[0] > held[0]
    rule = PRECEDENCE[held[1], claimed[1]]
    if rule is IncarnationRule.HIGHER:
        return claimed[2] > held[2]
    if rule is IncarnationRule.NOT_LOWER:
        return claimed[2] >= held[2]
    return rule is IncarnationRule.ANY
