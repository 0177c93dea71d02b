"""Discovery in simulated time: runs each tier's directory model and delivers its updates to the sidecars."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf
from typing import TYPE_CHECKING, cast

from ..model.directory import ListUpdate

if TYPE_CHECKING:
    from .sidecar import Sidecar
    from .world import World


class DirectoryQueries:
    """Runs each tier's directory at the time of its next event."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._next_event_ms = [inf] * len(world.plan.tiers)

    def query(self, sidecar: Sidecar) -> None:
        """Queries the sidecar's directory for the complete list and a watch."""
        self._world.fleet.directories[sidecar.tier].query(self._world.kernel.now, sidecar.key)
        self.reschedule([sidecar.tier])

    def reschedule(self, tiers: Iterable[int]) -> None:
        """Schedules the directories of these tiers anew where their next event has moved to an earlier time."""
        for tier in tiers:
            next_event_ms = self._world.fleet.directories[tier].next_event_ms()
            if next_event_ms < self._next_event_ms[tier]:
                self._next_event_ms[tier] = next_event_ms
                self._world.kernel.schedule(next_event_ms, self._run, tier, next_event_ms)

    def _run(self, tier: int, next_event_ms: float) -> None:
        if self._next_event_ms[tier] != next_event_ms:
            return
        self._next_event_ms[tier] = inf
        world = self._world
        for update in world.fleet.directories[tier].run(world.kernel.now):
            sidecar = world.sidecars.get(cast(tuple[int, int], update.watcher))
            if sidecar is None or not sidecar.alive:
                continue
            if isinstance(update, ListUpdate):
                world.record.list_entries_sent(len(update.entries))
            sidecar.on_list_update(update)
            for replaced in world.replaced_sidecars:
                if replaced.key == sidecar.key:
                    replaced.on_list_update(update)
        self.reschedule([tier])
