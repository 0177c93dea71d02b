"""Actions of operators in simulated time: endpoints ejected and readmitted, settings changed, processes replaced."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.faults import FaultAction
from .sidecar import Sidecar

if TYPE_CHECKING:
    from .world import World

MAX_OLD_PROCESS_MS = 3000.0  # after an upgrade the old process runs on for the longest deadline, but no longer


def apply_operator_action(world: World, action: FaultAction) -> None:
    """Carries out one action at every sidecar that it concerns."""
    if action.kind == "ban":
        _set_ejection(world, action)
    elif action.kind == "retune":
        for sidecar in [*world.sidecars.values(), *world.replaced_sidecars]:
            if sidecar.alive:
                sidecar.set_max_attempts(int(action.value))
    else:
        _upgrade(world, action)


def _set_ejection(world: World, action: FaultAction) -> None:
    site = world.fleet.sites[action.tier][action.target]
    world.record.event(world.kernel.now, "taken out" if action.value else "let back", site.name)
    (world.ejected.add if action.value else world.ejected.discard)((action.tier, site.name))
    for sidecar in [*world.sidecars.values(), *world.replaced_sidecars]:
        if sidecar.tier == action.tier and sidecar.alive:
            sidecar.set_ejected(site.name, action.value > 0)


def _upgrade(world: World, action: FaultAction) -> None:
    """Starts a new sidecar process, which takes over from the old one; that one ends after the longest deadline."""
    old_sidecar = world.sidecars[(0, action.target)]
    world.replaced_sidecars.append(old_sidecar)
    world.record.event(world.kernel.now, "upgraded", f"entry {action.target}")
    new_sidecar = world.sidecars[old_sidecar.key] = Sidecar(
        world,
        old_sidecar.key,
        old_sidecar.zone,
        0,
        old_sidecar.settings,
        world.fleet.sidecar_seed(old_sidecar.key) + len(world.replaced_sidecars),
    )
    new_sidecar.take_over(old_sidecar)
    old_sidecar.set_process_count(2)
    new_sidecar.set_process_count(2)
    remaining_ms = min(max(cls.deadline_ms for cls in world.plan.classes), MAX_OLD_PROCESS_MS)
    world.kernel.schedule(world.kernel.now + remaining_ms, _old_process_ended, world, old_sidecar, new_sidecar)


def _old_process_ended(world: World, old_sidecar: Sidecar, new_sidecar: Sidecar) -> None:
    """Ends the old process. It has no open requests: their deadlines have passed by then."""
    world.replaced_sidecars.remove(old_sidecar)
    if new_sidecar.alive:
        new_sidecar.set_process_count(1)
