"""Bugs injected into the affinity table, one at a time: the checker has to find each in the run with its seed.

`BUGS` has for each the run and the seed in which it is found: as many as there are before it did not show it.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from limenotch.fleet.affinity import clocks, entries, eviction, last_seen, names, peers, table, values
from limenotch.fleet.affinity.rows import NIL, TOMBSTONE
from limenotch.lab.fleet.bindings_drawings import outcome
from limenotch.lab.fleet.bindings_storms import crowded_run, fault_run
from limenotch.lab.fleet.scenario import load

InjectBug = Callable[[pytest.MonkeyPatch], None]
DRAWINGS = Path(__file__).parent / "drawings" / "bindings"


def expected_timeline(name: str) -> Callable[[int], Any]:
    return lambda seed: outcome(load(DRAWINGS / f"{name}.txt"))


def stale_replica_revives_binding(patch: pytest.MonkeyPatch) -> None:
    """A replica that is expired by its age is applied, in spite of the tombstone."""
    real = table.AffinityTable.apply_replica

    def apply_replica(self: table.AffinityTable, now: float, key: int, *rest: Any) -> bool:
        flags, placement, generation, moves, version, author, last_seen_ms, created_ms, stamp, from_observer = rest[:10]
        row = self.rows.find(key)
        if not from_observer and row != NIL and self.rows.flags[row] & TOMBSTONE:
            generation, last_seen_ms, created_ms = self.rows.generation[row] + 1, now - 10.0, now - 10.0
        return real(
            self,
            now,
            key,
            flags,
            placement,
            generation,
            moves,
            version,
            author,
            last_seen_ms,
            created_ms,
            stamp,
            from_observer,
            *rest[10:],
        )

    patch.setattr(table.AffinityTable, "apply_replica", apply_replica)


def age_counted_from_receipt(patch: pytest.MonkeyPatch) -> None:
    """An age counts from the receipt of its message instead of its sending."""
    patch.setattr(clocks.ClockOffset, "latest_local_ms", lambda self, now, remote_ms: now)


def watermark_ahead_of_updates(patch: pytest.MonkeyPatch) -> None:
    """The watermark is a second ahead of the updates sent."""
    real = last_seen.UpdateSender.next_batches

    def next_batches(self: last_seen.UpdateSender, now: float, *rest: Any) -> Any:
        out = real(self, now, *rest)
        self.watermark_ms = now + 1000.0
        return out

    patch.setattr(last_seen.UpdateSender, "next_batches", next_batches)


def silent_member_not_waited_for(patch: pytest.MonkeyPatch) -> None:
    def lowest_watermark_ms(self: peers.Peers, now: float, silence_grace_ms: float) -> float:
        return min(
            (peer.watermark_ms for peer in self.alive_peers() if now - peer.last_message_ms < 100),
            default=clocks.INFINITE,
        )

    patch.setattr(peers.Peers, "lowest_watermark_ms", lowest_watermark_ms)


def dead_member_waited_for(patch: pytest.MonkeyPatch) -> None:
    def lowest_watermark_ms(self: peers.Peers, now: float, silence_grace_ms: float) -> float:
        return min((peer.watermark_ms for peer in self._peers.values()), default=clocks.INFINITE)

    patch.setattr(peers.Peers, "lowest_watermark_ms", lowest_watermark_ms)


def last_writer_wins(patch: pytest.MonkeyPatch) -> None:
    real = values.compare_versions

    def compare_versions(
        generation: int, moves: int, version: int, author: str, other: tuple[int, int, int, str]
    ) -> int:
        won = real(generation, moves, version, author, other)
        return -won if (generation, moves) == other[:2] else won

    patch.setattr(table, "compare_versions", compare_versions)


def eviction_by_own_order(patch: pytest.MonkeyPatch) -> None:
    """A use moves a row to the end of the eviction order only at its observer, not where its update arrives."""
    real = table.AffinityTable.apply_replica

    def apply_replica(self: table.AffinityTable, now: float, key: int, *rest: Any) -> bool:
        row = self.rows.find(key)
        flags, placement, generation, moves, version, author, last_seen_ms, created_ms, stamp, from_observer = rest[:10]
        stamp = self.rows.stamp[row] if row != NIL else stamp
        return real(
            self,
            now,
            key,
            flags,
            placement,
            generation,
            moves,
            version,
            author,
            last_seen_ms,
            created_ms,
            stamp,
            from_observer,
            *rest[10:],
        )

    patch.setattr(table.AffinityTable, "apply_replica", apply_replica)


def opening_rows_evict_open_rows(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        eviction,
        "CLASS_BY_FLAGS",
        tuple(eviction.OPENED if each == eviction.OPENING else each for each in eviction.CLASS_BY_FLAGS),
    )


def bindings_of_removed_endpoints_found(patch: pytest.MonkeyPatch) -> None:
    real = names.EndpointNumbers.update_listed

    def update_listed(self: names.EndpointNumbers, listed: Any) -> list[int]:
        for number in real(self, listed):
            self.removed[number] = False
        return []

    patch.setattr(names.EndpointNumbers, "update_listed", update_listed)


def withheld_update_never_sent(patch: pytest.MonkeyPatch) -> None:
    """A use that changes the age by less than the announced share is not announced at the announced expiry either."""
    patch.setattr(entries.TableEntries, "announced_expiry_ms", lambda self, row: float("inf"))


BUGS: dict[InjectBug, tuple[Callable[[int], Any], int]] = {
    stale_replica_revives_binding: (fault_run, 0),
    age_counted_from_receipt: (fault_run, 0),
    watermark_ahead_of_updates: (fault_run, 2),
    silent_member_not_waited_for: (fault_run, 2),
    dead_member_waited_for: (fault_run, 7),
    last_writer_wins: (expected_timeline("two-bind-at-once"), 0),
    eviction_by_own_order: (crowded_run, 0),
    opening_rows_evict_open_rows: (expected_timeline("flood-of-opening"), 0),
    bindings_of_removed_endpoints_found: (fault_run, 2),
    withheld_update_never_sent: (fault_run, 0),
}
