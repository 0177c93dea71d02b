"""Faults planted into the rules by hand, one at a time: each must be found, in the storm of its seed."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from limenotch.fleet.rules import change_classification, core, leases, messages, versioned_rules

Plant = Callable[[pytest.MonkeyPatch], None]


def lease_kept_over_a_pause(patch: pytest.MonkeyPatch) -> None:
    """Counted from when the grant is handled, not from when it was asked for."""
    real = leases.Holder.grant

    def grant(self: leases.Holder, now: float, grant: messages.Grant) -> bool:
        if grant.serial in self._requests:
            self._requests[grant.serial] = now
        return real(self, now, grant)

    patch.setattr(leases.Holder, "grant", grant)


def activated_before_old_leases_ran_out(patch: pytest.MonkeyPatch) -> None:
    """By a new leader, which knows none of them."""

    def may(self: leases.Granter, number: int, now: float) -> bool:
        return all(record.version >= number or record.until <= now for record in self.records.values())

    patch.setattr(leases.Granter, "may_activate", may)


def newest_alone_in_force(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        versioned_rules.Book, "acting", lambda self, name: change_classification.in_force(self.flat(self.newest), [])
    )


def part_before_the_others_counted_up(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(leases.Granter, "_parts", lambda self, now, key, ask: len(self.records))


def granted_to_who_is_behind(patch: pytest.MonkeyPatch) -> None:
    real = core.Rules._grant

    def grant(self: core.Rules, name: str, ask: messages.AskLease) -> None:
        real(
            self,
            name,
            messages.AskLease(
                ask.serial, ask.process_epoch, self.book.newest, self.book.active, ask.parts, ask.granted
            ),
        )

    patch.setattr(core.Rules, "_grant", grant)


def granted_without_asking_the_log(patch: pytest.MonkeyPatch) -> None:
    """A leader that is none any more goes on granting."""
    real = core.Rules._tick

    def tick(self: core.Rules) -> None:
        if self._waiting and self.leads:
            waiting, self._waiting = self._waiting, {}
            for (name, _), ask in waiting.items():
                self._grant(name, ask)
        real(self)

    patch.setattr(core.Rules, "_tick", tick)


BUGS: dict[Any, int] = {
    lease_kept_over_a_pause: 25,
    activated_before_old_leases_ran_out: 29,
    newest_alone_in_force: 1,
    part_before_the_others_counted_up: 0,
    granted_to_who_is_behind: 0,
    granted_without_asking_the_log: 1,
}
