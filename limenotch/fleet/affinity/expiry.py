"""Lifetimes of bindings, and the bound within which all members have removed an expired one. All times in ms."""

from __future__ import annotations

from math import ceil

from ..membership.tuning import Tuning as MembershipTuning
from .api import Kind, State
from .tuning import Ages, Tuning

UNSCALED_MEMBERS = 32  # up to this many members, batches and watermarks go at the configured intervals


def interval_factor(members: int) -> float:
    """Factor of the intervals of batches and watermarks: they go to all members, so that the rate of messages that a
    member sends and receives stays bounded in larger fleets.
    """
    return max(1.0, members / UNSCALED_MEMBERS)


class Lifetimes:
    """Idle times and longest lifetimes as lists, for speed: `idle_ms[kind | state << 2]` (as in a row's flags), and
    `max_lifetime_ms[kind]`.
    """

    def __init__(self, tuning: Tuning) -> None:
        self._ages: tuple[Ages, ...] = (tuning.key, tuning.sessions, tuning.conn, tuning.flow)
        self.idle_ms: list[float] = [getattr(ages, state.name.lower()) for state in State for ages in self._ages]
        self.max_lifetime_ms: list[float] = [ages.longest for ages in self._ages]
        self.set_window(tuning.key.open)

    def set_window(self, longest_ms: float) -> None:
        """Sets the idle time of keys, for all states: a request that was sent may have run, answered or not."""
        for state in State:
            minimum_ms = 0.0 if state is State.OPEN else getattr(self._ages[Kind.KEY], state.name.lower())
            self.idle_ms[Kind.KEY | state << 2] = max(longest_ms, minimum_ms)
        self.max_lifetime_ms[Kind.KEY] = max(self._ages[Kind.KEY].longest, longest_ms)


def death_detection_ms(tuning: MembershipTuning, members: int) -> float:
    """Time from a member's last answer until all members hold it dead: probing, longest suspicion, dissemination."""
    probing_ms = tuning.period_ms * ceil(max(1, members - 1) / tuning.probes) + 3 * tuning.timeout_ms
    suspicion_ms = tuning.shortest_ms(members) * tuning.suspicion_longest
    return probing_ms + suspicion_ms + tuning.gossip_ms * tuning.sends(members)


def expiry_bound_ms(tuning: Tuning, idle_ms: float, detection_ms: float, members: int, path_ms: float) -> float:
    """Time after a binding's last use at any member within which all members have removed it.

    The last use is announced at the latest when the announced age expires: a tick and a batch later. Then the watermark
    of each member has to pass that time (a watermark interval and a local tick), or the member is held dead
    (`detection_ms`). All wait longer by `uncertainty_ms`, as ages in replicas may be overestimated. `path_ms`: the
    longest delay of a message. An update lost with its stream costs two more watermark intervals and a page.
    """
    scale = interval_factor(members)
    announced_ms = tuning.tick_ms + tuning.batch_ms * scale
    watermark_ms = tuning.cover_ms * scale + tuning.tick_ms + tuning.batch_ms * scale
    resend_ms = 2 * tuning.cover_ms * scale + 2 * path_ms
    uncertainty_ms = 2 * path_ms + 2 * tuning.drift * tuning.digest_ms * scale
    return (idle_ms + uncertainty_ms + announced_ms + watermark_ms + resend_ms + 2 * path_ms) * (
        1 + 2 * tuning.drift
    ) + detection_ms
