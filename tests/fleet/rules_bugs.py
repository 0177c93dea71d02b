"""Bugs injected into the rules, one at a time: the randomized run of its seed must find each."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from limenotch.fleet.rules import change_classification, core, leases, messages, versioned_rules

InjectBug = Callable[[pytest.MonkeyPatch], None]


def lease_counted_from_the_grant(patch: pytest.MonkeyPatch) -> None:
    """The lease counts from when the grant is handled, not from when it was requested."""
    real = leases.RulesLease.accept_grant

    def accept_grant(self: leases.RulesLease, now: float, grant: messages.LeaseGrant) -> bool:
        if grant.serial in self._requests:
            self._requests[grant.serial] = now
        return real(self, now, grant)

    patch.setattr(leases.RulesLease, "accept_grant", accept_grant)


def activated_before_earlier_leases_expired(patch: pytest.MonkeyPatch) -> None:
    """By a new leader, which knows none of these leases."""

    def may_activate(self: leases.RulesLeaseGranter, number: int, now: float) -> bool:
        return all(record.version >= number or record.expires_at_ms <= now for record in self.records.values())

    patch.setattr(leases.RulesLeaseGranter, "may_activate", may_activate)


def only_the_newest_version_in_force(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        versioned_rules.VersionedRules,
        "in_force_at",
        lambda self, name: change_classification.in_force(self.flat(self.newest), []),
    )


def share_granted_before_the_others_reduced_theirs(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(leases.RulesLeaseGranter, "_divisor", lambda self, now, key, request: len(self.records))


def grants_to_outdated_holders(patch: pytest.MonkeyPatch) -> None:
    real = core.Rules._grant

    def grant(self: core.Rules, name: str, request: messages.LeaseRequest) -> None:
        real(
            self,
            name,
            messages.LeaseRequest(
                request.serial,
                request.process_epoch,
                self.rules.newest,
                self.rules.active,
                request.divisor,
                request.granted_serial,
            ),
        )

    patch.setattr(core.Rules, "_grant", grant)


def grants_without_confirmed_leadership(patch: pytest.MonkeyPatch) -> None:
    """A leader that has been replaced goes on granting."""
    real = core.Rules._tick

    def tick(self: core.Rules) -> None:
        if self._lease_requests and self.is_leader:
            requests, self._lease_requests = self._lease_requests, {}
            for (name, _), request in requests.items():
                self._grant(name, request)
        real(self)

    patch.setattr(core.Rules, "_tick", tick)


BUGS: dict[Any, int] = {
    lease_counted_from_the_grant: 25,
    activated_before_earlier_leases_expired: 29,
    only_the_newest_version_in_force: 1,
    share_granted_before_the_others_reduced_theirs: 0,
    grants_to_outdated_holders: 0,
    grants_without_confirmed_leadership: 1,
}
