"""The directory's list, with what peers' directories and the log say of it laid over.

What the own directory tells comes through `over` on its way to the program; what peers change meanwhile goes there the
same way, as changes. So a drain that a peer told acts as one of the directory's own does, and so does its end.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from ..config import Address, ConfigError, address, host_port
from ..fleet.hub import ComponentEvent
from ..fleet.rules import endpoint_list_messages
from ..fleet.rules.api import Voters
from ..fleet.rules.endpoint_list_messages import Arrived, DirectorySilent, Listed, Named, PeerDrain
from ..fleet.rules.endpoint_lists import Lists
from ..load_balancer_types import DiscoveredEndpoint, DiscoveryStatus
from .base import FleetAdapter, NodeContext, message_types

PREFIX = "li."
STAGES = {
    DiscoveryStatus.IN_SERVICE: "ready",
    DiscoveryStatus.TERMINATING: "draining",
    DiscoveryStatus.TERMINATED: "gone",
}
OVER = {"draining": DiscoveryStatus.TERMINATING, "gone": DiscoveryStatus.TERMINATED}
ORDER = list(STAGES)  # each restricts more than the one before

Use = Callable[[list[DiscoveredEndpoint], bool], None]
# Where the own directory is, up to which index it told, whether that came on a watch that stands, and how long ago that
# watch was asked for, in ms.
Where = Callable[[], tuple[Address, int, bool, float]]


class EndpointListsAdapter(FleetAdapter):
    name, prefix = "lists", PREFIX
    messages = message_types(endpoint_list_messages)

    def __init__(self, among: NodeContext) -> None:
        super().__init__()
        self._among = among
        self._lists: Lists | None = None
        self._where: Where = lambda: (("", 0), 0, False, 0.0)
        self._use: Use = lambda entries, whole: None
        self._own: dict[str, DiscoveredEndpoint] = {}
        self._drained: dict[str, str] = {}
        self._arrived: dict[str, DiscoveredEndpoint] = {}
        self._told: dict[str, DiscoveredEndpoint] = {}  # as the program has them
        self._silent = False
        self.action_handlers = {PeerDrain: self._drains, Arrived: self._arrives}

    def follow(self, use: Use, where: Where) -> None:
        """`use` is told what changes by others' word."""
        self._use, self._where = use, where

    def component(self, state: bytes | None, index: int) -> Lists:
        among = self._among
        self._lists = Lists(among.name, among.process_epoch, host_port(self._where()[0]), among.voters, state=state)
        return self._lists

    def started(self) -> None:
        """What the directory did before the log was read is told once the part hears events."""
        asyncio.get_running_loop().call_soon(self._catch_up)

    def _catch_up(self) -> None:
        if self._silent:
            self.silent()
        else:
            self._tell(self._own.values(), whole=True)

    def voters_changed(self, voters: tuple[str, ...]) -> None:
        self._among.dispatch(ComponentEvent(PREFIX, Voters(voters)))

    def endpoints_listed(self, providers: Iterable[DiscoveredEndpoint], whole: bool) -> None:
        if self._lists is not None:
            self._tell(providers, whole)
        elif self._where()[2]:
            self._silent = False

    def _tell(self, providers: Iterable[DiscoveredEndpoint], whole: bool) -> None:
        (at, index, live, ago_ms), told = self._where(), list(providers)
        if live:  # else it is a list of an earlier time, which is no word of the directory's
            self._silent = False
            ready = tuple(_named(p) for p in told if p.accepts_requests)
            stages = {p.name: STAGES[p.status] for p in told}
            asked = self._among.now() - ago_ms
            self._among.dispatch(ComponentEvent(PREFIX, Listed(host_port(at), index, whole, stages, ready, asked)))

    def silent(self) -> None:
        """The own directory's watch ended."""
        self._silent = True
        if self._lists is not None:
            self._among.dispatch(ComponentEvent(PREFIX, DirectorySilent(host_port(self._where()[0]))))

    def over(self, entries: list[DiscoveredEndpoint], whole: bool) -> list[DiscoveredEndpoint]:
        """What of the own directory's list is to be told the program instead."""
        self._own = {} if whole else self._own
        for provider in entries:
            if provider.status is DiscoveryStatus.TERMINATED:
                self._own.pop(provider.name, None)
            else:
                self._own[provider.name] = provider
        out = [self._under(provider) for provider in entries]
        if whole:
            self._told = {}
        elif self._arrived:
            out = [p for p in out if p.status is not DiscoveryStatus.TERMINATED or p.name not in self._arrived]
        self._remember(out)
        if whole:
            kept = [self._under(p) for name, p in self._arrived.items() if name not in self._own]
            self._remember(kept)
            out += kept
        return out

    def _under(self, provider: DiscoveredEndpoint) -> DiscoveredEndpoint:
        status = OVER.get(self._drained.get(provider.name, ""), provider.status)
        return provider if ORDER.index(status) <= ORDER.index(provider.status) else provider._replace(status=status)

    def _remember(self, entries: Iterable[DiscoveredEndpoint]) -> None:
        for provider in entries:
            if provider.status is DiscoveryStatus.TERMINATED:
                self._told.pop(provider.name, None)
            else:
                self._told[provider.name] = provider

    # By others' word

    def _drains(self, said: PeerDrain) -> None:
        self._drained = said.names
        self._change()

    def _arrives(self, said: Arrived) -> None:
        self._arrived = {p.name: p for p in map(_provider, said.entries) if p is not None}
        self._change()

    def _change(self) -> None:
        """What differs from what the program was told."""
        wanted = {name: self._under(p) for name, p in {**self._arrived, **self._own}.items()}
        changed = [p for name, p in wanted.items() if self._told.get(name, _gone(p)) != p]
        changed += [_gone(p) for name, p in self._told.items() if name not in wanted]
        if changed:
            self._remember(changed)
            self._use(changed, False)

    def status(self) -> dict[str, Any]:
        return self._lists.status() if self._lists is not None else {"state": "none"}


def _gone(provider: DiscoveredEndpoint) -> DiscoveredEndpoint:
    return provider._replace(status=DiscoveryStatus.TERMINATED)


def _named(p: DiscoveredEndpoint) -> Named:
    return Named(p.name, host_port(p.address), p.zone, p.kind, p.group, p.weight, p.started_ms)


def _provider(named: Named) -> DiscoveredEndpoint | None:
    try:
        at = address(named.address, "")
    except ConfigError:
        return None
    return DiscoveredEndpoint(
        named.name, at, DiscoveryStatus.IN_SERVICE, named.zone, named.kind, named.group, named.weight, named.since_ms
    )
