"""How long bindings live, and within which time all have forgotten one. ms."""

from __future__ import annotations

from math import ceil

from ..membership.tuning import Tuning as Members
from .api import Kind, State
from .tuning import Ages, Tuning

FEW = 32  # members up to which batches and covers go at their set pace


def pace(members: int) -> float:
    """Batches and covers go to all: with more members they get as much rarer, so that messages a second don't grow."""
    return max(1.0, members / FEW)


class Spans:
    """Idle and longest times as lists, for speed: `idle[kind | state << 2]`, as a row has them, and `longest[kind]`."""

    def __init__(self, tuning: Tuning) -> None:
        self._ages: tuple[Ages, ...] = (tuning.key, tuning.sessions, tuning.conn, tuning.flow)
        self.idle: list[float] = [getattr(ages, state.name.lower()) for state in State for ages in self._ages]
        self.longest: list[float] = [ages.longest for ages in self._ages]
        self.window(tuning.key.open)

    def window(self, longest_ms: float) -> None:
        """Of a key whatever was sent out may have run, answered or not: it is kept for the window in all its states."""
        for state in State:
            least = 0.0 if state is State.OPEN else getattr(self._ages[Kind.KEY], state.name.lower())
            self.idle[Kind.KEY | state << 2] = max(longest_ms, least)
        self.longest[Kind.KEY] = max(self._ages[Kind.KEY].longest, longest_ms)


def death_ms(tuning: Members, members: int) -> float:
    """From a member's last answer until all hold it dead: probed, suspected for the longest, told on."""
    probed = tuning.period_ms * ceil(max(1, members - 1) / tuning.probes) + 3 * tuning.timeout_ms
    suspected = tuning.shortest_ms(members) * tuning.suspicion_longest
    return probed + suspected + tuning.gossip_ms * tuning.sends(members)


def forget_ms(tuning: Tuning, idle_ms: float, death: float, members: int, path_ms: float) -> float:
    """After a binding's last sight anywhere all have dropped it within this.

    What was seen last is told when the told age runs out, at the latest: a tick and a batch later. Then each member
    has to cover that time (a cover, a tick here), or to be held dead (`death`). All wait a little more (`doubt`), for
    ages that came as copies and may be too old. `path_ms`: the longest way of a message; one that carries a sight and
    is lost with its stream costs two covers and a page more.
    """
    scale = pace(members)
    told = tuning.tick_ms + tuning.batch_ms * scale
    covered = tuning.cover_ms * scale + tuning.tick_ms + tuning.batch_ms * scale
    again = 2 * tuning.cover_ms * scale + 2 * path_ms
    doubt = 2 * path_ms + 2 * tuning.drift * tuning.digest_ms * scale
    return (idle_ms + doubt + told + covered + again + 2 * path_ms) * (1 + 2 * tuning.drift) + death
