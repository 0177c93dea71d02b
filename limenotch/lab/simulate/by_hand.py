"""What operators do in the simulated world: endpoints taken out and let back, rules changed, processes replaced."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.faults import Deed
from .sidecar import Sidecar

if TYPE_CHECKING:
    from .world import World

KILL_MOST_MS = 3000.0  # after an upgrade the old process has the longest deadline, counted as so much at most


def carry_out(world: World, deed: Deed) -> None:
    """One deed, at every sidecar that it is for."""
    if deed.kind == "ban":
        _ban(world, deed)
    elif deed.kind == "retune":
        for sidecar in [*world.sidecars.values(), *world.leaving]:
            if sidecar.alive:
                sidecar.retune(int(deed.value))
    else:
        _upgrade(world, deed)


def _ban(world: World, deed: Deed) -> None:
    site = world.fleet.sites[deed.tier][deed.target]
    world.record.event(world.kernel.now, "taken out" if deed.value else "let back", site.name)
    (world.banned.add if deed.value else world.banned.discard)((deed.tier, site.name))
    for sidecar in [*world.sidecars.values(), *world.leaving]:
        if sidecar.tier == deed.tier and sidecar.alive:
            sidecar.ban(site.name, deed.value > 0)


def _upgrade(world: World, deed: Deed) -> None:
    """A new process takes over from the old one, which ends after its longest deadline."""
    old = world.sidecars[(0, deed.target)]
    world.leaving.append(old)
    world.record.event(world.kernel.now, "upgraded", f"entry {deed.target}")
    new = world.sidecars[old.key] = Sidecar(
        world, old.key, old.zone, 0, old.told, world.fleet.sidecar_seed(old.key) + len(world.leaving)
    )
    new.take_over(old)
    old.together(2)
    new.together(2)
    wait = min(max(cls.deadline_ms for cls in world.plan.classes), KILL_MOST_MS)
    world.kernel.at(world.kernel.now + wait, _alone, world, old, new)


def _alone(world: World, old: Sidecar, new: Sidecar) -> None:
    """The old process has ended; what it still has open is answered, as its calls end before that."""
    world.leaving.remove(old)
    if new.alive:
        new.together(1)
