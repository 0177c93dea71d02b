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


CODES = (State.ALIVE, State.SUSPECT, State.DEAD, State.LEFT)  # a state's number in messages; only ever added to
FINAL = frozenset((State.DEAD, State.LEFT))


class Needs(Enum):
    """Of the claim's incarnation, against the one held."""

    HIGHER = ">"
    AS_HIGH = ">="
    NOTHING = "always"
    IMPOSSIBLE = "never"


TABLE: dict[tuple[State, State], Needs] = {  # (held, claimed), in one life
    (State.ALIVE, State.ALIVE): Needs.HIGHER,
    (State.ALIVE, State.SUSPECT): Needs.AS_HIGH,
    (State.ALIVE, State.DEAD): Needs.NOTHING,
    (State.ALIVE, State.LEFT): Needs.NOTHING,
    (State.SUSPECT, State.ALIVE): Needs.HIGHER,
    (State.SUSPECT, State.SUSPECT): Needs.HIGHER,
    (State.SUSPECT, State.DEAD): Needs.NOTHING,
    (State.SUSPECT, State.LEFT): Needs.NOTHING,
    (State.DEAD, State.ALIVE): Needs.IMPOSSIBLE,
    (State.DEAD, State.SUSPECT): Needs.IMPOSSIBLE,
    (State.DEAD, State.DEAD): Needs.IMPOSSIBLE,
    (State.DEAD, State.LEFT): Needs.NOTHING,
    (State.LEFT, State.ALIVE): Needs.IMPOSSIBLE,
    (State.LEFT, State.SUSPECT): Needs.IMPOSSIBLE,
    (State.LEFT, State.DEAD): Needs.IMPOSSIBLE,
    (State.LEFT, State.LEFT): Needs.IMPOSSIBLE,
}

Standing = tuple[int, State, int]  # life, state, incarnation


def wins(claimed: Standing, held: Standing) -> bool:
    """Whether what is claimed takes the place of what is held."""
    if claimed[0] != held[0]:
        return claimed[0] > held[0]
    needs = TABLE[held[1], claimed[1]]
    if needs is Needs.HIGHER:
        return claimed[2] > held[2]
    if needs is Needs.AS_HIGH:
        return claimed[2] >= held[2]
    return needs is Needs.NOTHING
