"""Leases on rules: how long a sidecar may act on more than the narrow rules, and who grants that.

| who | counts from | for |
| --- | --- | --- |
| holder | when it asked | lease_ms |
| granter | when it granted, which is later | lease_ms x (1 + drift) |

So a lease is over at its holder before it is over in the granter's record (leasing.py); a grant counts only for the
newest ask that it could answer. Who grants leads the log, and has asked it whether it still does
since the ask came (core.py). One that has just become leader knows no leases: it waits one out before `may_activate`.

Parts of the cold budget: the sum of 1 / parts over all that may hold a lease is at most 1. A record keeps every part
that a holder may act under yet; a newcomer gets 0 until the others have said that they act under a larger number.

Source of leases on monotonic clocks with bounded drift: Gray, Cheriton, "Leases" (1989).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from fractions import Fraction
from math import ceil

from ..leases import NEVER, HeldLease, LeaseGranter
from .messages import AskLease, Grant
from .tuning import Tuning

MOST_OUT = 8  # grants of one holder that are told apart; further ones are counted as the widest of them


class Holder(HeldLease):
    """A sidecar's own lease."""

    def __init__(self, tuning: Tuning) -> None:
        super().__init__(tuning.lease_ms)
        self.parts = 0

    def grant(self, now: float, grant: Grant) -> bool:
        """Whether it counts."""
        if not self.accept(now, grant.serial, grant.lease_ms):
            return False
        self.parts = max(0, grant.parts)
        return True

    def release(self) -> None:
        super().release()
        self.parts = 0


@dataclass(slots=True)
class Record:
    """What a holder (name and life) may act under: version, and each part with its grant's serial and end."""

    version: int
    until: float = -NEVER
    out: list[tuple[int, int, float]] = field(default_factory=list)  # serial, parts, until

    def share(self, now: float) -> Fraction:
        held = [parts for _, parts, until in self.out if parts and until > now]
        return Fraction(1, min(held)) if held else Fraction(0)


class Granter(LeaseGranter):
    """The leader's record of leases."""

    def __init__(self, tuning: Tuning) -> None:
        super().__init__(tuning.held_ms)
        self._tuning = tuning
        self.records: dict[tuple[str, int], Record] = {}

    def begin(self, now: float) -> None:
        self.leader_since_ms = now
        self.records = {}

    def end(self) -> None:
        self.leader_since_ms = NEVER
        self.records = {}

    def prune(self, now: float) -> None:
        for key in [key for key, record in self.records.items() if record.until <= now]:
            del self.records[key]

    def grant(self, now: float, name: str, ask: AskLease, version: int) -> Grant | None:
        """To who has said that it holds `version`, the newest. None: too many hold one."""
        self.prune(now)
        key = (name, ask.process_epoch)
        record = self.records.get(key)
        if record is None:
            if len(self.records) >= self._tuning.most_holders:
                return None
            record = self.records[key] = Record(version)
            if ask.parts and not self.earlier_leases_expired(now):
                # Of a leader before: how long it may act under that is not known, one lease at the most.
                record.out.append((ask.granted, ask.parts, now + self._tuning.held_ms))
        record.out = [one for one in record.out if one[0] >= ask.granted and one[2] > now]
        record.version = max(record.version, version)
        record.until = max(record.until, now + self._tuning.held_ms)
        parts = self._parts(now, key, ask)
        record.out.append((ask.serial, parts, record.until))
        if len(record.out) > MOST_OUT:
            held = [parts for _, parts, _ in record.out if parts]
            record.out = [(ask.serial, min(held, default=0), record.until)]
        return Grant(ask.serial, self._tuning.lease_ms, parts)

    def _parts(self, now: float, key: tuple[str, int], ask: AskLease) -> int:
        if not self.earlier_leases_expired(now):
            return max(ask.parts, len(self.records)) if ask.parts else 0
        free = 1 - sum((record.share(now) for other, record in self.records.items() if other != key), Fraction(0))
        if free <= 0:
            return 0
        return max(len(self.records), ceil(1 / free))

    def may_activate(self, number: int, now: float) -> bool:
        """Whether every lease that may be held is of a sidecar that holds this version."""
        return self.earlier_leases_expired(now) and all(
            record.version >= number or record.until <= now for record in self.records.values()
        )

    def due(self, number: int, now: float) -> float:
        """When `may_activate` may come true by time alone."""
        late = [record.until for record in self.records.values() if record.version < number]
        return max([self.leader_since_ms + self._tuning.held_ms, *late], default=now)
