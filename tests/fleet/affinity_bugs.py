"""Faults planted into the bindings by hand, one at a time: each must be found, in the run of its seed.

`BUGS` has for each the run and the seed in which it is found: as many as there are before it did not show it.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from limenotch.fleet.affinity import clocks, entries, eviction, last_seen, names, peers, table, values
from limenotch.fleet.affinity.rows import GRAVE, NIL
from limenotch.lab.fleet.bindings_drawings import outcome
from limenotch.lab.fleet.bindings_storms import crowd, storm
from limenotch.lab.fleet.scenario import load

Plant = Callable[[pytest.MonkeyPatch], None]
DRAWINGS = Path(__file__).parent / "drawings" / "bindings"


def drawn(name: str) -> Callable[[int], Any]:
    return lambda seed: outcome(load(DRAWINGS / f"{name}.txt"))


def revived_by_an_old_copy(patch: pytest.MonkeyPatch) -> None:
    """What is over by its age is taken all the same, whatever the grave says."""
    real = table.Shared.hear

    def hear(self: table.Shared, now: float, key: int, *rest: Any) -> bool:
        what, place, gen, move, count, by, seen, made, stamp, seer = rest[:10]
        row = self.rows.find(key)
        if not seer and row != NIL and self.rows.what[row] & GRAVE:
            gen, seen, made = self.rows.gen[row] + 1, now - 10.0, now - 10.0
        return real(self, now, key, what, place, gen, move, count, by, seen, made, stamp, seer, *rest[10:])

    patch.setattr(table.Shared, "hear", hear)


def aged_from_hearing(patch: pytest.MonkeyPatch) -> None:
    """An age counts from when its message was heard, not from when it was sent."""
    patch.setattr(clocks.Clock, "latest", lambda self, now, theirs: now)


def covered_before_told(patch: pytest.MonkeyPatch) -> None:
    """The cover speaks of a second that is still to come."""
    real = last_seen.Teller.batches

    def batches(self: last_seen.Teller, now: float, *rest: Any) -> Any:
        out = real(self, now, *rest)
        self.covered = now + 1000.0
        return out

    patch.setattr(last_seen.Teller, "batches", batches)


def silent_one_not_waited_for(patch: pytest.MonkeyPatch) -> None:
    def covered(self: peers.Peers, now: float, patience: float) -> float:
        return min((peer.covered for peer in self.live() if now - peer.spoke < 100), default=clocks.INFINITE)

    patch.setattr(peers.Peers, "covered", covered)


def dead_one_waited_for(patch: pytest.MonkeyPatch) -> None:
    def covered(self: peers.Peers, now: float, patience: float) -> float:
        return min((peer.covered for peer in self._peers.values()), default=clocks.INFINITE)

    patch.setattr(peers.Peers, "covered", covered)


def last_writer_wins(patch: pytest.MonkeyPatch) -> None:
    real = values.beats

    def beats(gen: int, move: int, count: int, by: str, than: tuple[int, int, int, str]) -> int:
        won = real(gen, move, count, by, than)
        return -won if (gen, move) == than[:2] else won

    patch.setattr(table, "beats", beats)


def given_way_by_own_clock(patch: pytest.MonkeyPatch) -> None:
    """A sight makes a row the last to give way where it was seen alone, and not where it was heard of."""
    real = table.Shared.hear

    def hear(self: table.Shared, now: float, key: int, *rest: Any) -> bool:
        row = self.rows.find(key)
        what, place, gen, move, count, by, seen, made, stamp, seer = rest[:10]
        stamp = self.rows.stamp[row] if row != NIL else stamp
        return real(self, now, key, what, place, gen, move, count, by, seen, made, stamp, seer, *rest[10:])

    patch.setattr(table.Shared, "hear", hear)


def half_open_push_out_open(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        eviction, "BY_WHAT", tuple(eviction.OPENED if each == eviction.OPENING else each for each in eviction.BY_WHAT)
    )


def providers_that_went_are_found(patch: pytest.MonkeyPatch) -> None:
    real = names.Providers.now

    def now(self: names.Providers, there: Any) -> list[int]:
        for number in real(self, there):
            self.gone[number] = False
        return []

    patch.setattr(names.Providers, "now", now)


def sights_held_back_for_good(patch: pytest.MonkeyPatch) -> None:
    """What changes ages by less than the part that is told is not told when the others' age runs out either."""
    patch.setattr(entries.Held, "others_end", lambda self, row: float("inf"))


BUGS: dict[Plant, tuple[Callable[[int], Any], int]] = {
    revived_by_an_old_copy: (storm, 0),
    aged_from_hearing: (storm, 0),
    covered_before_told: (storm, 2),
    silent_one_not_waited_for: (storm, 2),
    dead_one_waited_for: (storm, 7),
    last_writer_wins: (drawn("two-bind-at-once"), 0),
    given_way_by_own_clock: (crowd, 0),
    half_open_push_out_open: (drawn("flood-of-opening"), 0),
    providers_that_went_are_found: (storm, 2),
    sights_held_back_for_good: (storm, 0),
}
