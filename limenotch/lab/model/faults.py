"""The script of faults: what the scenario says, with victims drawn by the seed, as deeds in order of time.

All is drawn before the run begins, so that what the sidecars decide changes nothing about what befalls them.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from .chance import Chance, Seeds

if TYPE_CHECKING:
    from ..planning import Plan
    from ..scenario import Fault, Range

RISE_STEP_MS = 250.0


class Deed(NamedTuple):
    """One thing that happens. What `value` means is the kind's matter.

    drain, stop, start, kill (value: ms until a new process starts, 0: never), silent (1 or 0), slow (times slower),
    neighbour (part taken), stall (1 or 0), errors (chance), spoil (chance), forget (ms): of machine `target` of `tier`.
    directory (1: down), surge (factor; account `target`), hot (part of all traffic; entry sidecar `target`),
    cut (1 or 0; zones `target` and `other`): of the whole.
    ban (1: out by hand, 0: back) of a machine; retune (attempts) of all sidecars; upgrade of entry sidecar `target`.
    """

    at_ms: float
    kind: str
    tier: int = 0
    target: int = 0
    value: float = 0.0
    other: int = 0


@dataclass(frozen=True, slots=True)
class Band:
    """A fault as a report draws it."""

    kind: str
    begin_ms: float
    end_ms: float
    text: str


def _of(value: Range, chance: Chance) -> float:
    return chance.between(*value) if isinstance(value, tuple) else value


class Script:
    """The deeds of a plan, in order."""

    def __init__(self, plan: Plan, seeds: Seeds) -> None:
        self._plan = plan
        self.bands: list[Band] = []
        deeds: list[Deed] = []
        for number, fault in enumerate(plan.scenario.fault):
            deeds += self._deeds(fault, seeds.stream("fault", number))
        self.deeds = sorted(deeds, key=lambda deed: deed.at_ms)

    def _deeds(self, fault: Fault, chance: Chance) -> Iterator[Deed]:
        begin = _of(fault.at_s, chance) * 1000.0
        length = _of(fault.length_s, chance) * 1000.0
        size = _of(fault.size, chance)
        names = [tier.name for tier in self._plan.tiers]
        tier = names.index(fault.tier) if fault.tier is not None else 0
        victims = self._victims(fault, tier, chance)
        make = getattr(self, f"_{fault.kind}")
        text = f"{fault.kind} {names[tier]}" + (f" x{len(victims)}" if victims else "")
        if fault.kind in ("directory_down", "cut_link", "hot_sidecar"):
            text = " ".join((fault.kind, *(fault.zones or ())))
        last = begin
        for deed in make(fault, chance, begin, length, size, tier, victims):
            last = max(last, deed.at_ms)
            if deed.kind == "surge":
                text = f"surge {self._plan.accounts[deed.target].name}"
            yield deed
        self.bands.append(Band(fault.kind, begin, max(last, begin + length), text))

    def _victims(self, fault: Fault, tier: int, chance: Chance) -> list[int]:
        machines = len(self._plan.tiers[tier].machines)
        if fault.kind in ("surge", "hot_sidecar", "directory_down", "cut_link", "retune", "upgrade"):
            return []
        if fault.victims is not None:
            return list(fault.victims)
        count = fault.count if fault.count is not None else 1
        if fault.part is not None:
            count = max(round(_of(fault.part, chance) * machines), 1)
        return chance.order(machines)[:count]

    # One method a kind: from the begin on, for the length.

    def _deploy(
        self, fault: Fault, chance: Chance, begin: float, length: float, size: float, tier: int, victims: list[int]
    ) -> Iterator[Deed]:
        """In batches: drain, end, and start a new process on the machine, one batch after another."""
        machines = len(self._plan.tiers[tier].machines)
        drain = _of(fault.drain_s, chance) * 1000.0
        at_once = max(round(_of(fault.batch, chance) * machines), 1)
        batches = [victims[first : first + at_once] for first in range(0, len(victims), at_once)]
        step = max((length - drain) / max(len(batches) - 1, 1), 0.0) if len(batches) > 1 else 0.0
        for number, batch in enumerate(batches):
            for machine in batch:
                at = begin + number * step
                yield Deed(at, "drain", tier, machine)
                yield Deed(at + drain, "stop", tier, machine)
                yield Deed(at + drain + chance.between(100.0, 1000.0), "start", tier, machine)

    def _while(
        self, kind: str, begin: float, length: float, tier: int, victims: list[int], on: float, off: float
    ) -> Iterator[Deed]:
        for machine in victims:
            yield Deed(begin, kind, tier, machine, on)
            yield Deed(begin + length, kind, tier, machine, off)

    def _slow(
        self, fault: Fault, chance: Chance, begin: float, length: float, size: float, tier: int, victims: list[int]
    ) -> Iterator[Deed]:
        return self._while("slow", begin, length, tier, victims, max(size, 1.0), 1.0)

    def _stall(
        self, fault: Fault, chance: Chance, begin: float, length: float, size: float, tier: int, victims: list[int]
    ) -> Iterator[Deed]:
        return self._while("stall", begin, length, tier, victims, 1.0, 0.0)

    def _silent(
        self, fault: Fault, chance: Chance, begin: float, length: float, size: float, tier: int, victims: list[int]
    ) -> Iterator[Deed]:
        return self._while("silent", begin, length, tier, victims, 1.0, 0.0)

    def _error_burst(
        self, fault: Fault, chance: Chance, begin: float, length: float, size: float, tier: int, victims: list[int]
    ) -> Iterator[Deed]:
        return self._while("errors", begin, length, tier, victims, size, 0.0)

    def _spoil(
        self, fault: Fault, chance: Chance, begin: float, length: float, size: float, tier: int, victims: list[int]
    ) -> Iterator[Deed]:
        return self._while("spoil", begin, length, tier, victims, size, 0.0)

    def _neighbour(
        self, fault: Fault, chance: Chance, begin: float, length: float, size: float, tier: int, victims: list[int]
    ) -> Iterator[Deed]:
        turn = _of(fault.on_s, chance) * 1000.0
        for machine in victims:
            at, on = begin, True
            while at < begin + length:
                yield Deed(at, "neighbour", tier, machine, size if on else 0.0)
                at += turn * chance.between(0.5, 1.5) if turn > 0 else length
                on = not on
            yield Deed(begin + length, "neighbour", tier, machine, 0.0)

    def _kill(
        self, fault: Fault, chance: Chance, begin: float, length: float, size: float, tier: int, victims: list[int]
    ) -> Iterator[Deed]:
        for machine in victims:
            yield Deed(begin, "kill", tier, machine, length)
            if length > 0:
                yield Deed(begin + length, "start", tier, machine)

    def _ban(
        self, fault: Fault, chance: Chance, begin: float, length: float, size: float, tier: int, victims: list[int]
    ) -> Iterator[Deed]:
        """One after another. A restart would give the machine's process a new name here, so there is none."""
        for number, machine in enumerate(victims):
            at = begin + number * length
            yield Deed(at, "ban", tier, machine, 1.0)
            yield Deed(at + length, "ban", tier, machine, 0.0)

    def _retune(
        self, fault: Fault, chance: Chance, begin: float, length: float, size: float, tier: int, victims: list[int]
    ) -> Iterator[Deed]:
        yield Deed(begin, "retune", value=size)
        if length > 0:
            yield Deed(begin + length, "retune", value=float(self._plan.scenario.sidecars.max_attempts))

    def _upgrade(
        self, fault: Fault, chance: Chance, begin: float, length: float, size: float, tier: int, victims: list[int]
    ) -> Iterator[Deed]:
        """All entries in turn."""
        count = self._plan.scenario.sidecars.count
        for sidecar in range(count):
            yield Deed(begin + length * sidecar / count, "upgrade", target=sidecar)

    def _forget(
        self, fault: Fault, chance: Chance, begin: float, length: float, size: float, tier: int, victims: list[int]
    ) -> Iterator[Deed]:
        for machine in victims:
            yield Deed(begin, "forget", tier, machine, length)

    def _directory_down(
        self, fault: Fault, chance: Chance, begin: float, length: float, size: float, tier: int, victims: list[int]
    ) -> Iterator[Deed]:
        # One service for all tiers.
        yield Deed(begin, "directory", value=1.0)
        yield Deed(begin + length, "directory", value=0.0)

    def _ramp(
        self, kind: str, target: int, begin: float, length: float, rise: float, off: float, on: float
    ) -> Iterator[Deed]:
        """Up to `on` within `rise`, and back as fast at the end."""
        steps = max(int(rise / RISE_STEP_MS), 1)
        for step in range(1, steps + 1):
            value = off + (on - off) * step / steps
            yield Deed(begin + rise * (step - 1) / steps, kind, target=target, value=value)
            yield Deed(begin + length - rise * (step - 1) / steps, kind, target=target, value=off + on - value)

    def _surge(
        self, fault: Fault, chance: Chance, begin: float, length: float, size: float, tier: int, victims: list[int]
    ) -> Iterator[Deed]:
        names = [account.name for account in self._plan.accounts]
        draw = chance.index(len(names))
        account = names.index(fault.account) if fault.account is not None else draw
        rise = min(_of(fault.rise_s, chance) * 1000.0, length / 2)
        return self._ramp("surge", account, begin, length, rise, 1.0, max(size, 0.0))

    def _hot_sidecar(
        self, fault: Fault, chance: Chance, begin: float, length: float, size: float, tier: int, victims: list[int]
    ) -> Iterator[Deed]:
        sidecar = chance.index(self._plan.scenario.sidecars.count)
        rise = min(_of(fault.rise_s, chance) * 1000.0, length / 2)
        return self._ramp("hot", sidecar, begin, length, rise, 0.0, size)

    def _cut_link(
        self, fault: Fault, chance: Chance, begin: float, length: float, size: float, tier: int, victims: list[int]
    ) -> Iterator[Deed]:
        zones = self._plan.network.zones
        assert fault.zones is not None  # checked with the scenario
        one, two = zones.index(fault.zones[0]), zones.index(fault.zones[1])
        yield Deed(begin, "cut", target=one, other=two, value=1.0)
        yield Deed(begin + length, "cut", target=one, other=two, value=0.0)
