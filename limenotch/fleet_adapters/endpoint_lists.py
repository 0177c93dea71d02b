"""The directory's endpoint list, combined with what peers' directories and the log report of it.

The own directory's list passes through `override` on its way to the program; what peers change meanwhile reaches the
program in the same way, as changes. So a drain that a peer reported applies like one by the own directory, and ends
like one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from ..config import Address, ConfigError, address, host_port
from ..fleet.hub import ComponentEvent
from ..fleet.rules import endpoint_list_messages
from ..fleet.rules.api import VotersChanged
from ..fleet.rules.endpoint_list_messages import (
    AgreedEndpointsChanged,
    DirectoryListed,
    DirectorySilent,
    ListedEndpoint,
    PeerDrainsChanged,
)
from ..fleet.rules.endpoint_lists import EndpointLists
from ..load_balancer_types import DiscoveredEndpoint, DiscoveryStatus
from .base import FleetAdapter, NodeContext, message_types

PREFIX = "li."
STAGES = {
    DiscoveryStatus.IN_SERVICE: "ready",
    DiscoveryStatus.TERMINATING: "draining",
    DiscoveryStatus.TERMINATED: "gone",
}
PEER_STATUS = {"draining": DiscoveryStatus.TERMINATING, "gone": DiscoveryStatus.TERMINATED}
RESTRICTIVENESS = list(STAGES)  # each restricts more than the one before

ApplyChanges = Callable[[list[DiscoveredEndpoint], bool], None]
# The own directory's address, the index that it has reported, whether that came on a live watch, and how long ago that
# watch was requested, in ms.
DirectoryState = Callable[[], tuple[Address, int, bool, float]]


class EndpointListsAdapter(FleetAdapter):
    """Connects the endpoint list component with discovery and the program."""

    name, prefix = "lists", PREFIX
    messages = message_types(endpoint_list_messages)

    def __init__(self, context: NodeContext) -> None:
        super().__init__()
        self._context = context
        self._lists: EndpointLists | None = None
        self._directory_state: DirectoryState = lambda: (("", 0), 0, False, 0.0)
        self._apply_changes: ApplyChanges = lambda entries, complete: None
        self._own_entries: dict[str, DiscoveredEndpoint] = {}
        self._peer_restrictions: dict[str, str] = {}
        self._agreed_endpoints: dict[str, DiscoveredEndpoint] = {}
        self._reported: dict[str, DiscoveredEndpoint] = {}  # to the program
        self._silent = False
        self.action_handlers = {
            PeerDrainsChanged: self._peer_drains_changed,
            AgreedEndpointsChanged: self._agreed_endpoints_changed,
        }

    def attach(self, apply_changes: ApplyChanges, directory_state: DirectoryState) -> None:
        """`apply_changes` is called with the changes that peers' reports make."""
        self._apply_changes, self._directory_state = apply_changes, directory_state

    def component(self, state: bytes | None, index: int) -> EndpointLists:
        context = self._context
        self._lists = EndpointLists(
            context.name, context.process_epoch, host_port(self._directory_state()[0]), context.voters, state=state
        )
        return self._lists

    def started(self) -> None:
        """Pass on, in the next turn of the event loop, what the directory reported before the component gets events."""
        asyncio.get_running_loop().call_soon(self._report_missed)

    def _report_missed(self) -> None:
        if self._silent:
            self.discovery_failed()
        else:
            self._report(self._own_entries.values(), complete=True)

    def voters_changed(self, voters: tuple[str, ...]) -> None:
        self._context.dispatch(ComponentEvent(PREFIX, VotersChanged(voters)))

    def endpoints_listed(self, endpoints: Iterable[DiscoveredEndpoint], complete: bool) -> None:
        if self._lists is not None:
            self._report(endpoints, complete)
        elif self._directory_state()[2]:
            self._silent = False

    def _report(self, endpoints: Iterable[DiscoveredEndpoint], complete: bool) -> None:
        (at, index, live, elapsed_ms), reported = self._directory_state(), list(endpoints)
        if live:  # without a live watch the endpoints are from an earlier list, not a report
            self._silent = False
            ready = tuple(_listed_endpoint(endpoint) for endpoint in reported if endpoint.accepts_requests)
            stages = {endpoint.name: STAGES[endpoint.status] for endpoint in reported}
            requested_at_ms = self._context.now() - elapsed_ms
            self._context.dispatch(
                ComponentEvent(PREFIX, DirectoryListed(host_port(at), index, complete, stages, ready, requested_at_ms))
            )

    def discovery_failed(self) -> None:
        """The own directory's watch ended."""
        self._silent = True
        if self._lists is not None:
            self._context.dispatch(ComponentEvent(PREFIX, DirectorySilent(host_port(self._directory_state()[0]))))

    def override(self, entries: list[DiscoveredEndpoint], complete: bool) -> list[DiscoveredEndpoint]:
        """Returns the entries that the program uses instead of `entries`, which the own directory listed."""
        self._own_entries = {} if complete else self._own_entries
        for endpoint in entries:
            if endpoint.status is DiscoveryStatus.TERMINATED:
                self._own_entries.pop(endpoint.name, None)
            else:
                self._own_entries[endpoint.name] = endpoint
        changed = [self._restricted(endpoint) for endpoint in entries]
        if complete:
            self._reported = {}
        elif self._agreed_endpoints:
            # An endpoint that ended in the own list stays in use while it is among the agreed ones.
            changed = [
                entry
                for entry in changed
                if entry.status is not DiscoveryStatus.TERMINATED or entry.name not in self._agreed_endpoints
            ]
        self._record(changed)
        if complete:
            agreed = [
                self._restricted(entry)
                for name, entry in self._agreed_endpoints.items()
                if name not in self._own_entries
            ]
            self._record(agreed)
            changed += agreed
        return changed

    def _restricted(self, endpoint: DiscoveredEndpoint) -> DiscoveredEndpoint:
        status = PEER_STATUS.get(self._peer_restrictions.get(endpoint.name, ""), endpoint.status)
        return (
            endpoint
            if RESTRICTIVENESS.index(status) <= RESTRICTIVENESS.index(endpoint.status)
            else endpoint._replace(status=status)
        )

    def _record(self, entries: Iterable[DiscoveredEndpoint]) -> None:
        for endpoint in entries:
            if endpoint.status is DiscoveryStatus.TERMINATED:
                self._reported.pop(endpoint.name, None)
            else:
                self._reported[endpoint.name] = endpoint

    # By peers' reports

    def _peer_drains_changed(self, action: PeerDrainsChanged) -> None:
        self._peer_restrictions = action.restricted
        self._apply_difference()

    def _agreed_endpoints_changed(self, action: AgreedEndpointsChanged) -> None:
        self._agreed_endpoints = {
            endpoint.name: endpoint for endpoint in map(_discovered_endpoint, action.endpoints) if endpoint is not None
        }
        self._apply_difference()

    def _apply_difference(self) -> None:
        """Notify the program of every difference from what was reported to it."""
        expected = {
            name: self._restricted(endpoint)
            for name, endpoint in {**self._agreed_endpoints, **self._own_entries}.items()
        }
        changed = [
            endpoint
            for name, endpoint in expected.items()
            if self._reported.get(name, _terminated(endpoint)) != endpoint
        ]
        changed += [_terminated(endpoint) for name, endpoint in self._reported.items() if name not in expected]
        if changed:
            self._record(changed)
            self._apply_changes(changed, False)

    def status(self) -> dict[str, Any]:
        return self._lists.status() if self._lists is not None else {"state": "none"}


def _terminated(endpoint: DiscoveredEndpoint) -> DiscoveredEndpoint:
    return endpoint._replace(status=DiscoveryStatus.TERMINATED)


def _listed_endpoint(endpoint: DiscoveredEndpoint) -> ListedEndpoint:
    return ListedEndpoint(
        endpoint.name,
        host_port(endpoint.address),
        endpoint.zone,
        endpoint.kind,
        endpoint.group,
        endpoint.weight,
        endpoint.started_ms,
    )


def _discovered_endpoint(listed: ListedEndpoint) -> DiscoveredEndpoint | None:
    try:
        at = address(listed.address, "")
    except ConfigError:
        return None
    return DiscoveredEndpoint(
        listed.name,
        at,
        DiscoveryStatus.IN_SERVICE,
        listed.zone,
        listed.kind,
        listed.group,
        listed.weight,
        listed.since_ms,
    )
