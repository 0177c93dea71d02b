"""Which of two values of one key wins, and what comes of two sights of it: pure functions of data, the same everywhere.

A value is ranked by `gen` (how often its key was forgotten), then `move` (how often it was moved after its provider
went), both the higher first; then by its version, the lower first: who bound first. A version is the Lamport counter
and the name of who made the value, so that two never have the same.

    held \\ told   opening    open       closing    lingering
    opening       opening    open       closing    lingering
    open          open       open       closing    lingering
    closing       closing    closing    closing    lingering
    lingering     lingering  lingering  lingering  lingering

holds within one value, told by another as seen by oneself: nothing goes back but by a new `gen`. Of two values the
winner keeps its state, but an opening one is open if the other was, and is not over by its age: the key is in use.

`merge` is commutative, associative and idempotent, so it is of no account in which order and how often copies come.
"""

from __future__ import annotations

from typing import NamedTuple

from .api import State

MERGED_STATES: dict[tuple[State, State], State] = {  # (held, told), of one value
    (State.OPENING, State.OPENING): State.OPENING,
    (State.OPENING, State.OPEN): State.OPEN,
    (State.OPENING, State.CLOSING): State.CLOSING,
    (State.OPENING, State.LINGERING): State.LINGERING,
    (State.OPEN, State.OPENING): State.OPEN,
    (State.OPEN, State.OPEN): State.OPEN,
    (State.OPEN, State.CLOSING): State.CLOSING,
    (State.OPEN, State.LINGERING): State.LINGERING,
    (State.CLOSING, State.OPENING): State.CLOSING,
    (State.CLOSING, State.OPEN): State.CLOSING,
    (State.CLOSING, State.CLOSING): State.CLOSING,
    (State.CLOSING, State.LINGERING): State.LINGERING,
    (State.LINGERING, State.OPENING): State.LINGERING,
    (State.LINGERING, State.OPEN): State.LINGERING,
    (State.LINGERING, State.CLOSING): State.LINGERING,
    (State.LINGERING, State.LINGERING): State.LINGERING,
}


class Value(NamedTuple):
    """`seen` and `made` in ms of one's own clock. A value is made once: of `made` the first that is heard is kept, as
    what comes round again is only less exact.
    """

    generation: int
    moves: int
    version: int
    author: str
    endpoint: tuple[str, str, str]  # name, cell, zone
    state: State
    charged: bool
    last_seen_ms: float
    created_ms: float


def compare_versions(generation: int, moves: int, version: int, author: str, other: tuple[int, int, int, str]) -> int:
    """1: it wins over the second; 0: they are one value; -1: it loses."""
    if (generation, moves) != other[:2]:
        return 1 if (generation, moves) > other[:2] else -1
    if (version, author) == other[2:]:
        return 0
    return 1 if (version, author) < other[2:] else -1


def state_beside(won: State, lost: State) -> State:
    """The winner's state, where the other value had that one."""
    return State.OPEN if won == State.OPENING and lost != State.OPENING else won


def merge(winner: Value, loser: Value) -> Value:
    """What is held once both are known, and neither is over by its age.

    Use is of the key, not of who won: the later sight stays, and that it was open. So does a charge within one `gen`.
    """
    order = compare_versions(*winner[:4], other=loser[:4])
    if order < 0:
        winner, loser = loser, winner
    last_seen_ms, charged = (
        max(winner.last_seen_ms, loser.last_seen_ms),
        winner.charged or (loser.charged and winner.generation == loser.generation),
    )
    if order:
        return winner._replace(
            state=state_beside(winner.state, loser.state), last_seen_ms=last_seen_ms, charged=charged
        )
    return winner._replace(
        endpoint=min(winner.endpoint, loser.endpoint),
        state=MERGED_STATES[winner.state, loser.state],
        charged=charged,
        last_seen_ms=last_seen_ms,
    )
