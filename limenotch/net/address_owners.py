"""Which listed endpoint a network address belongs to, when a new process came up at the address of an earlier one.

The list may name both for a while. What is sent to the earlier one then reaches the new one: it gets the load of two,
and a request may run in its zone and group while it counts as run in those of the earlier one.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ..config import Address
from ..load_balancer_types import DiscoveredEndpoint, DiscoveryStatus


class Replacement(NamedTuple):
    """An endpoint whose address belongs to a process that started later."""

    old: DiscoveredEndpoint
    new: DiscoveredEndpoint


class AddressOwners:
    """The listed endpoints by their addresses."""

    def __init__(self) -> None:
        """No endpoint is listed yet."""
        self._listed: dict[str, DiscoveredEndpoint] = {}
        self._at: dict[Address, set[str]] = {}

    def apply_list(self, endpoints: Iterable[DiscoveredEndpoint], complete: bool) -> list[Replacement]:
        """Applies a list, or changes if it is not `complete`, in time linear in its length.

        Returns the endpoints at the addresses in it that have been replaced there.
        """
        if complete:
            self._listed.clear()
            self._at.clear()
        addresses = dict[Address, None]()
        for endpoint in endpoints:
            self._remove(endpoint.name)
            if endpoint.status is not DiscoveryStatus.TERMINATED:
                self._listed[endpoint.name] = endpoint
                self._at.setdefault(endpoint.address, set()).add(endpoint.name)
                addresses[endpoint.address] = None
        return [replacement for address in addresses for replacement in self._replacements(address)]

    def _remove(self, name: str) -> None:
        endpoint = self._listed.pop(name, None)
        if endpoint is None:
            return
        names = self._at[endpoint.address]
        names.discard(name)
        if not names:
            del self._at[endpoint.address]

    def _replacements(self, address: Address) -> list[Replacement]:
        names = self._at.get(address, set())
        if len(names) < 2:
            return []
        endpoints = [self._listed[name] for name in sorted(names)]
        newest = max(endpoints, key=lambda endpoint: endpoint.started_ms)
        return [Replacement(endpoint, newest) for endpoint in endpoints if endpoint.started_ms < newest.started_ms]


def without_replaced(
    endpoints: Iterable[DiscoveredEndpoint], complete: bool, replacements: Iterable[Replacement]
) -> list[DiscoveredEndpoint]:
    """The list or the changes, with the replaced endpoints as terminated ones."""
    replaced = {replacement.old.name: replacement.old for replacement in replacements}
    kept = [endpoint for endpoint in endpoints if endpoint.name not in replaced]
    if complete:
        return kept
    return kept + [endpoint._replace(status=DiscoveryStatus.TERMINATED) for endpoint in replaced.values()]
