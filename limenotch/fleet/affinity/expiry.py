"""How long bindings live, and within which time all have forgotten one. ms."""

from __future__ import annotations

from math import ceil

from ..membership.tuning import Tuning as MembershipTuning
from .api import Kind, State
from .tuning import Ages, Tuning

UNSCALED_MEMBERS = 32  # members up to which batches and covers go at their set pace


def interval_scale(members: int) -> float:
    """Batches and covers go to all: with more members they get as much rarer, so that messages a second don't grow."""
    return max(1.0, members / UNSCALED_MEMBERS)


class Lifetimes:
    """Idle and longest times as lists, for speed: `idle[kind | state << 2]`, as a row has them, and `longest[kind]`."""

    def __init__(self, tuning: Tuning) -> None:
        self._ages: tuple[Ages, ...] = (tuning.key, tuning.sessions, tuning.conn, tuning.flow)
        self.idle_ms: list[float] = [getattr(ages, state.name.lower()) for state in State for ages in self._ages]
        self.max_lifetime_ms: list[float] = [ages.longest for ages in self._ages]
        self.set_window(tuning.key.open)

    def set_window(self, longest_ms: float) -> None:
        """Of a key whatever was sent out may have run, answered or not: it is kept for the window in all its states."""
        for state in State:
            minimum_ms = 0.0 if state is State.OPEN else getattr(self._ages[Kind.KEY], state.name.lower())
            self.idle_ms[Kind.KEY | state << 2] = max(longest_ms, minimum_ms)
        self.max_lifetime_ms[Kind.KEY] = max(self._ages[Kind.KEY].longest, longest_ms)


def death_detection_ms(tuning: MembershipTuning, members: int) -> float:
    """From a member's last answer until all hold it dead: probed, suspected for the longest, told on."""
    probing_ms = tuning.period_ms * ceil(max(1, members - 1) / tuning.probes) + 3 * tuning.timeout_ms
    suspicion_ms = tuning.shortest_ms(members) * tuning.suspicion_longest
    return probing_ms + suspicion_ms + tuning.gossip_ms * tuning.sends(members)


def expiry_bound_ms(tuning: Tuning, idle_ms: float, detection_ms: float, members: int, path_ms: float) -> float:
    """After a binding's last sight anywhere all have dropped it within this.

    What was seen last is told when the told age runs out, at the latest: a tick and a batch later. Then each member
    has to cover that time (a cover, a tick here), or to be held dead (`death`). All wait a little more (`doubt`), for
    ages that came as copies and may be too old. `path_ms`: the longest way of a message; one that carries a sight and
    is lost with its stream costs two covers and a page more.
    """
    scale = interval_scale(members)
    announced_ms = tuning.tick_ms + tuning.batch_ms * scale
    watermark_ms = tuning.cover_ms * scale + tuning.tick_ms + tuning.batch_ms * scale
    resend_ms = 2 * tuning.cover_ms * scale + 2 * path_ms
    uncertainty_ms = 2 * path_ms + 2 * tuning.drift * tuning.digest_ms * scale
    return (idle_ms + uncertainty_ms + announced_ms + watermark_ms + resend_ms + 2 * path_ms) * (
        1 + 2 * tuning.drift
    ) + detection_ms
