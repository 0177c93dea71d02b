"""The schedule of faults: the scenario's faults as actions in order of time, with victims drawn by the seed.

All of it is drawn before the run begins, so the sidecars' decisions do not change which faults occur.
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


class FaultAction(NamedTuple):
    """One step of a fault. The meaning of `value` depends on the kind:

    Of machine `target` of `tier`: drain, stop, start, kill (ms until a new process starts, 0: never), silent (1 or 0),
    slow (factor), neighbour (share taken), stall (1 or 0), errors (chance), spoil (chance), forget (ms),
    ban (1: ejected by an operator, 0: readmitted).
    Of the whole deployment: directory (1: down), surge (factor; account `target`), hot (share of all traffic; entry
    sidecar `target`), cut (1 or 0; zones `target` and `second_zone`).
    retune (attempts) concerns all sidecars, upgrade entry sidecar `target`.
    """

    at_ms: float
    kind: str
    tier: int = 0
    target: int = 0
    value: float = 0.0
    second_zone: int = 0


@dataclass(frozen=True, slots=True)
class FaultInterval:
    """The duration of a fault, as a report draws it."""

    kind: str
    begin_ms: float
    end_ms: float
    text: str


def _draw(value: Range, chance: Chance) -> float:
    return chance.between(*value) if isinstance(value, tuple) else value


class FaultSchedule:
    """The fault actions of a plan, in order of time."""

    def __init__(self, plan: Plan, seeds: Seeds) -> None:
        self._plan = plan
        self.intervals: list[FaultInterval] = []
        actions: list[FaultAction] = []
        for number, fault in enumerate(plan.scenario.fault):
            actions += self._fault_actions(fault, seeds.stream("fault", number))
        self.actions = sorted(actions, key=lambda action: action.at_ms)

    def _fault_actions(self, fault: Fault, chance: Chance) -> Iterator[FaultAction]:
        begin_ms = _draw(fault.at_s, chance) * 1000.0
        length_ms = _draw(fault.length_s, chance) * 1000.0
        size = _draw(fault.size, chance)
        names = [tier.name for tier in self._plan.tiers]
        tier = names.index(fault.tier) if fault.tier is not None else 0
        victims = self._victims(fault, tier, chance)
        generate_actions = getattr(self, f"_{fault.kind}")
        text = f"{fault.kind} {names[tier]}" + (f" x{len(victims)}" if victims else "")
        if fault.kind in ("directory_down", "cut_link", "hot_sidecar"):
            text = " ".join((fault.kind, *(fault.zones or ())))
        last_ms = begin_ms
        for action in generate_actions(fault, chance, begin_ms, length_ms, size, tier, victims):
            last_ms = max(last_ms, action.at_ms)
            if action.kind == "surge":
                text = f"surge {self._plan.accounts[action.target].name}"
            yield action
        self.intervals.append(FaultInterval(fault.kind, begin_ms, max(last_ms, begin_ms + length_ms), text))

    def _victims(self, fault: Fault, tier: int, chance: Chance) -> list[int]:
        machines = len(self._plan.tiers[tier].machines)
        if fault.kind in ("surge", "hot_sidecar", "directory_down", "cut_link", "retune", "upgrade"):
            return []
        if fault.victims is not None:
            return list(fault.victims)
        count = fault.count if fault.count is not None else 1
        if fault.part is not None:
            count = max(round(_draw(fault.part, chance) * machines), 1)
        return chance.permutation(machines)[:count]

    # One method for each kind of fault, which starts at `begin_ms` and lasts `length_ms`.

    def _deploy(
        self,
        fault: Fault,
        chance: Chance,
        begin_ms: float,
        length_ms: float,
        size: float,
        tier: int,
        victims: list[int],
    ) -> Iterator[FaultAction]:
        """Drains, stops and replaces the processes, one batch of machines after another."""
        machines = len(self._plan.tiers[tier].machines)
        drain_ms = _draw(fault.drain_s, chance) * 1000.0
        batch_size = max(round(_draw(fault.batch, chance) * machines), 1)
        batches = [victims[first : first + batch_size] for first in range(0, len(victims), batch_size)]
        step = max((length_ms - drain_ms) / max(len(batches) - 1, 1), 0.0) if len(batches) > 1 else 0.0
        for number, batch in enumerate(batches):
            for machine in batch:
                at_ms = begin_ms + number * step
                yield FaultAction(at_ms, "drain", tier, machine)
                yield FaultAction(at_ms + drain_ms, "stop", tier, machine)
                yield FaultAction(at_ms + drain_ms + chance.between(100.0, 1000.0), "start", tier, machine)

    def _on_then_off(
        self,
        kind: str,
        begin_ms: float,
        length_ms: float,
        tier: int,
        victims: list[int],
        on_value: float,
        off_value: float,
    ) -> Iterator[FaultAction]:
        for machine in victims:
            yield FaultAction(begin_ms, kind, tier, machine, on_value)
            yield FaultAction(begin_ms + length_ms, kind, tier, machine, off_value)

    def _slow(
        self,
        fault: Fault,
        chance: Chance,
        begin_ms: float,
        length_ms: float,
        size: float,
        tier: int,
        victims: list[int],
    ) -> Iterator[FaultAction]:
        return self._on_then_off("slow", begin_ms, length_ms, tier, victims, max(size, 1.0), 1.0)

    def _stall(
        self,
        fault: Fault,
        chance: Chance,
        begin_ms: float,
        length_ms: float,
        size: float,
        tier: int,
        victims: list[int],
    ) -> Iterator[FaultAction]:
        return self._on_then_off("stall", begin_ms, length_ms, tier, victims, 1.0, 0.0)

    def _silent(
        self,
        fault: Fault,
        chance: Chance,
        begin_ms: float,
        length_ms: float,
        size: float,
        tier: int,
        victims: list[int],
    ) -> Iterator[FaultAction]:
        return self._on_then_off("silent", begin_ms, length_ms, tier, victims, 1.0, 0.0)

    def _error_burst(
        self,
        fault: Fault,
        chance: Chance,
        begin_ms: float,
        length_ms: float,
        size: float,
        tier: int,
        victims: list[int],
    ) -> Iterator[FaultAction]:
        return self._on_then_off("errors", begin_ms, length_ms, tier, victims, size, 0.0)

    def _spoil(
        self,
        fault: Fault,
        chance: Chance,
        begin_ms: float,
        length_ms: float,
        size: float,
        tier: int,
        victims: list[int],
    ) -> Iterator[FaultAction]:
        return self._on_then_off("spoil", begin_ms, length_ms, tier, victims, size, 0.0)

    def _neighbour(
        self,
        fault: Fault,
        chance: Chance,
        begin_ms: float,
        length_ms: float,
        size: float,
        tier: int,
        victims: list[int],
    ) -> Iterator[FaultAction]:
        mean_phase_ms = _draw(fault.on_s, chance) * 1000.0
        for machine in victims:
            at_ms, is_on = begin_ms, True
            while at_ms < begin_ms + length_ms:
                yield FaultAction(at_ms, "neighbour", tier, machine, size if is_on else 0.0)
                at_ms += mean_phase_ms * chance.between(0.5, 1.5) if mean_phase_ms > 0 else length_ms
                is_on = not is_on
            yield FaultAction(begin_ms + length_ms, "neighbour", tier, machine, 0.0)

    def _kill(
        self,
        fault: Fault,
        chance: Chance,
        begin_ms: float,
        length_ms: float,
        size: float,
        tier: int,
        victims: list[int],
    ) -> Iterator[FaultAction]:
        for machine in victims:
            yield FaultAction(begin_ms, "kill", tier, machine, length_ms)
            if length_ms > 0:
                yield FaultAction(begin_ms + length_ms, "start", tier, machine)

    def _ban(
        self,
        fault: Fault,
        chance: Chance,
        begin_ms: float,
        length_ms: float,
        size: float,
        tier: int,
        victims: list[int],
    ) -> Iterator[FaultAction]:
        """Ejects one machine after another. None restarts, since a restarted process has a new name here."""
        for number, machine in enumerate(victims):
            at_ms = begin_ms + number * length_ms
            yield FaultAction(at_ms, "ban", tier, machine, 1.0)
            yield FaultAction(at_ms + length_ms, "ban", tier, machine, 0.0)

    def _retune(
        self,
        fault: Fault,
        chance: Chance,
        begin_ms: float,
        length_ms: float,
        size: float,
        tier: int,
        victims: list[int],
    ) -> Iterator[FaultAction]:
        yield FaultAction(begin_ms, "retune", value=size)
        if length_ms > 0:
            yield FaultAction(begin_ms + length_ms, "retune", value=float(self._plan.scenario.sidecars.max_attempts))

    def _upgrade(
        self,
        fault: Fault,
        chance: Chance,
        begin_ms: float,
        length_ms: float,
        size: float,
        tier: int,
        victims: list[int],
    ) -> Iterator[FaultAction]:
        """Upgrades all entry sidecars in turn."""
        count = self._plan.scenario.sidecars.count
        for sidecar in range(count):
            yield FaultAction(begin_ms + length_ms * sidecar / count, "upgrade", target=sidecar)

    def _forget(
        self,
        fault: Fault,
        chance: Chance,
        begin_ms: float,
        length_ms: float,
        size: float,
        tier: int,
        victims: list[int],
    ) -> Iterator[FaultAction]:
        for machine in victims:
            yield FaultAction(begin_ms, "forget", tier, machine, length_ms)

    def _directory_down(
        self,
        fault: Fault,
        chance: Chance,
        begin_ms: float,
        length_ms: float,
        size: float,
        tier: int,
        victims: list[int],
    ) -> Iterator[FaultAction]:
        # One discovery service serves all tiers.
        yield FaultAction(begin_ms, "directory", value=1.0)
        yield FaultAction(begin_ms + length_ms, "directory", value=0.0)

    def _ramp(
        self,
        kind: str,
        target: int,
        begin_ms: float,
        length_ms: float,
        rise_ms: float,
        off_value: float,
        on_value: float,
    ) -> Iterator[FaultAction]:
        """Raises the value from `off_value` to `on_value` within `rise_ms`, and lowers it as fast at the end."""
        steps = max(int(rise_ms / RISE_STEP_MS), 1)
        for step in range(1, steps + 1):
            value = off_value + (on_value - off_value) * step / steps
            yield FaultAction(begin_ms + rise_ms * (step - 1) / steps, kind, target=target, value=value)
            yield FaultAction(
                begin_ms + length_ms - rise_ms * (step - 1) / steps,
                kind,
                target=target,
                value=off_value + on_value - value,
            )

    def _surge(
        self,
        fault: Fault,
        chance: Chance,
        begin_ms: float,
        length_ms: float,
        size: float,
        tier: int,
        victims: list[int],
    ) -> Iterator[FaultAction]:
        names = [account.name for account in self._plan.accounts]
        draw = chance.index(len(names))
        account = names.index(fault.account) if fault.account is not None else draw
        rise_ms = min(_draw(fault.rise_s, chance) * 1000.0, length_ms / 2)
        return self._ramp("surge", account, begin_ms, length_ms, rise_ms, 1.0, max(size, 0.0))

    def _hot_sidecar(
        self,
        fault: Fault,
        chance: Chance,
        begin_ms: float,
        length_ms: float,
        size: float,
        tier: int,
        victims: list[int],
    ) -> Iterator[FaultAction]:
        sidecar = chance.index(self._plan.scenario.sidecars.count)
        rise_ms = min(_draw(fault.rise_s, chance) * 1000.0, length_ms / 2)
        return self._ramp("hot", sidecar, begin_ms, length_ms, rise_ms, 0.0, size)

    def _cut_link(
        self,
        fault: Fault,
        chance: Chance,
        begin_ms: float,
        length_ms: float,
        size: float,
        tier: int,
        victims: list[int],
    ) -> Iterator[FaultAction]:
        zones = self._plan.network.zones
        assert fault.zones is not None  # ensured by the check of the scenario
        first_zone, second_zone = zones.index(fault.zones[0]), zones.index(fault.zones[1])
        yield FaultAction(begin_ms, "cut", target=first_zone, second_zone=second_zone, value=1.0)
        yield FaultAction(begin_ms + length_ms, "cut", target=first_zone, second_zone=second_zone, value=0.0)
