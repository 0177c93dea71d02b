"""What can be set. Every span follows from `period_ms`, so that one number makes all slower or faster.

A member sends `probes` probes a period, whatever the number of members. With SWIM's one, a dead member's first failed
probe comes after e / (e - 1) = 1.6 periods on average and after 4.6 in one of a hundred: too late for a death that all
should know in three. With m probes the second figure is 4.6 / m.
"""

from __future__ import annotations

from math import ceil, log, log10

from msgspec import Struct


class Tuning(Struct, frozen=True):
    """Raises ValueError, naming the key, where a value is outside its range."""

    period_ms: float = 1000.0
    probes: int = 8  # sent in a period, evenly spread
    timeout_ms: float = 120.0  # for a direct answer; the indirect ones have until three times that
    indirect: int = 3  # members asked to probe when the direct probe wasn't answered
    suspicion: float = 1.7  # the shortest suspicion, in periods, before what spreading the news takes
    suspicion_longest: float = 2.0  # the longest, as a multiple of the shortest
    confirmations: int = 3  # independent suspicions that make it the shortest
    retransmit: int = 4  # news are sent on this times log10(members) times
    gossip_ms: float = 60.0  # between messages that carry news alone, while there are any
    fanout: int = 3  # members that get each of them
    push_pull: float = 30.0  # periods between two exchanges of whole tables, for up to 32 members
    reconnect: float = 5.0  # periods between two probes of somebody dead and two tries of a seed not alive
    keep_dead_ms: float = 86_400_000.0  # then the dead and left are forgotten
    most_members: int = 1000  # the table, dead ones included
    health: int = 8  # highest multiplier of one's own timeouts, less one

    def __post_init__(self) -> None:
        for key, (least, most) in RANGES.items():
            value = getattr(self, key)
            if not least <= value <= most:
                raise ValueError(f"{key}: {value} is not within {least:g} and {most:g}")
        if 3 * self.timeout_ms > self.period_ms:
            raise ValueError(f"timeout_ms: three times {self.timeout_ms:g} is more than period_ms, {self.period_ms:g}")

    def shortest_ms(self, members: int) -> float:
        """Of a suspicion: the suspect must have heard of it, and its answer have come, through `members`."""
        there_and_back = 2 * self.gossip_ms * log(max(members, 2), self.fanout + 1)
        return self.suspicion * self.period_ms + there_and_back

    def sends(self, members: int) -> int:
        """How many times one piece of news is sent on by each who hears it."""
        return ceil(self.retransmit * log10(members + 1))

    def push_pull_ms(self, members: int) -> float:
        """Tables grow with the members; exchanges get as much rarer, so that bytes a second don't grow."""
        return self.push_pull * self.period_ms * max(1.0, members / 32)


RANGES: dict[str, tuple[float, float]] = {
    "period_ms": (20.0, 60_000.0),
    "probes": (1, 50),
    "timeout_ms": (1.0, 20_000.0),
    "indirect": (0, 10),
    "suspicion": (0.5, 60.0),
    "suspicion_longest": (1.0, 20.0),
    "confirmations": (0, 10),
    "retransmit": (1, 20),
    "gossip_ms": (1.0, 10_000.0),
    "fanout": (1, 10),
    "push_pull": (1.0, 1000.0),
    "reconnect": (1.0, 1000.0),
    "keep_dead_ms": (1000.0, 30 * 86_400_000.0),
    "most_members": (2, 5000),
    "health": (0, 20),
}
