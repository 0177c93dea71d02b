"""Queries of the tiers' directories in simulated time: when each has an answer, and who is told of it."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf
from typing import TYPE_CHECKING, cast

from ..model.directory import Tell

if TYPE_CHECKING:
    from .sidecar import Sidecar
    from .world import World


class DirectoryQueries:
    """Runs each tier's directory at its next moment."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._due = [inf] * len(world.plan.tiers)

    def ask(self, sidecar: Sidecar) -> None:
        """A sidecar queries its tier's directory."""
        self._world.fleet.directories[sidecar.tier].ask(self._world.kernel.now, sidecar.key)
        self.look([sidecar.tier])

    def look(self, tiers: Iterable[int]) -> None:
        """Something has changed for these tiers: their directories may have an earlier moment."""
        for tier in tiers:
            due = self._world.fleet.directories[tier].due()
            if due < self._due[tier]:
                self._due[tier] = due
                self._world.kernel.at(due, self._run, tier, due)

    def _run(self, tier: int, due: float) -> None:
        if self._due[tier] != due:
            return
        self._due[tier] = inf
        world = self._world
        for told in world.fleet.directories[tier].run(world.kernel.now):
            sidecar = world.sidecars.get(cast(tuple[int, int], told.watcher))
            if sidecar is None or not sidecar.alive:
                continue
            if isinstance(told, Tell):
                world.record.told(len(told.entries))
            sidecar.heard(told)
            for other in world.leaving:
                if other.key == sidecar.key:
                    other.heard(told)
        self.look([tier])
