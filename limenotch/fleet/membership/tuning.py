"""Settings. Every time span is derived from `period_ms`, so that one number makes all of them slower or faster.

A member sends `probes` probes a period, whatever the number of members. With SWIM's one probe, the first failed probe
of a dead member comes after e / (e - 1) = 1.6 periods on average, and after 4.6 in one of a hundred cases: too late if
all are to know of a death within three. With m probes the second figure is 4.6 / m.
"""

from __future__ import annotations

from math import ceil, log, log10

from msgspec import Struct


class Tuning(Struct, frozen=True):
    """Raises ValueError, naming the key, if a value is out of range."""

    period_ms: float = 1000.0
    probes: int = 8  # sent in a period, evenly spread
    timeout_ms: float = 120.0  # for a direct ack; indirect acks may take three times as long
    indirect: int = 3  # relays that are requested to probe when the direct probe was not answered
    suspicion: float = 1.65  # the shortest suspicion, in periods, without the time that gossip takes
    suspicion_longest: float = 2.0  # the longest, as a multiple of the shortest
    confirmations: int = 3  # independent suspicions that reduce it to the shortest
    retransmit: int = 4  # each claim is forwarded this times log10(members) times
    gossip_ms: float = 60.0  # between gossip messages, while claims are queued
    fanout: int = 3  # members that receive each of them
    push_pull: float = 30.0  # periods between two exchanges of complete tables, for up to 32 members
    reconnect: float = 5.0  # periods between two pings of a dead member, and of a seed that is not alive
    keep_dead_ms: float = 86_400_000.0  # then dead and left members are forgotten
    most_members: int = 1000  # in the table, dead ones included
    health: int = 8  # the highest multiplier of the own timeouts, less one

    def __post_init__(self) -> None:
        for key, (least, most) in RANGES.items():
            value = getattr(self, key)
            if not least <= value <= most:
                raise ValueError(f"{key}: {value} is not within {least:g} and {most:g}")
        if 3 * self.timeout_ms > self.period_ms:
            raise ValueError(f"timeout_ms: three times {self.timeout_ms:g} is more than period_ms, {self.period_ms:g}")

    def shortest_ms(self, members: int) -> float:
        """The shortest suspicion: gossip must reach the suspect, and its refutation come back, through `members`."""
        there_and_back = 2 * self.gossip_ms * (1 + log(max(members, 2), self.fanout + 1))
        return self.suspicion * self.period_ms + there_and_back

    def sends(self, members: int) -> int:
        """How many times each member that receives a claim forwards it."""
        return ceil(self.retransmit * log10(members + 1))

    def push_pull_ms(self, members: int) -> float:
        """Between two table exchanges. Tables grow with the members; exchanges become rarer, so bytes a second stay."""
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
