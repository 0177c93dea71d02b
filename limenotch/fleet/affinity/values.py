"""Conflict resolution between two values of one key: pure functions of the data, with the same result at all members.

A value is ranked by its generation (how often the key's binding was removed), then by its moves (how often it moved
after its endpoint was removed), the higher first. Then the lower version wins: the first to bind. A version is the
author's Lamport counter with the author's name, so that no two values have the same.

    known \\ received  opening    open       closing    lingering
    opening           opening    open       closing    lingering
    open              open       open       closing    lingering
    closing           closing    closing    closing    lingering
    lingering         lingering  lingering  lingering  lingering

The table applies to one value, for received and for local uses alike: a state never goes back, except in a new
generation. Of two values the winner keeps its state; but an opening winner becomes open if the other value was past
opening and is not expired, as the key is in use.

`merge` is commutative, associative and idempotent: neither the order nor the repetition of replicas matters.
"""

from __future__ import annotations

from typing import NamedTuple

from .api import State

MERGED_STATES: dict[tuple[State, State], State] = {  # (known, received), of one value
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
    """A key's value. Times in ms of the local clock. A value is created once, so the first `created_ms` received is
    retained: those received later are less exact.
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
    """1: the first value wins; 0: both are the same value; -1: `other` wins."""
    if (generation, moves) != other[:2]:
        return 1 if (generation, moves) > other[:2] else -1
    if (version, author) == other[2:]:
        return 0
    return 1 if (version, author) < other[2:] else -1


def state_beside(won: State, lost: State) -> State:
    """The winner's state beside a losing value in state `lost`."""
    return State.OPEN if won == State.OPENING and lost != State.OPENING else won


def merge(winner: Value, loser: Value) -> Value:
    """The value after both are known, neither being expired by its age.

    Uses belong to the key, not to the winner: the later use is retained, and that the binding was open; within one
    generation also that it was charged.
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
