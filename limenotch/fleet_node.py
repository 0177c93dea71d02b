"""The fleet's side of the program: components, hub, codec and sockets put together. Imported only for `[fleet]`.

The replicated log and the adapters that need it exist only where `voters` are set, and start when the store has been
read. Until then, and permanently if the store is unreadable, this process is a member without a log. An adapter
(`fleet_adapters/`) exists where its table does; adapters that need no log start with the process.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, get_args

import msgspec
from tornado.ioloop import PeriodicCallback

from . import logs, toml
from .clocks import MS_PER_S
from .config import Config, host_port
from .configuration_applier import ConfigurationApplier
from .fleet import log_multiplexer
from .fleet.consensus import Consensus
from .fleet.consensus import messages as consensus_messages
from .fleet.hub import LOG_PREFIX, ComponentHub
from .fleet.interfaces import Component
from .fleet.membership import Membership
from .fleet.membership.messages import MembershipMessage
from .fleet.settings import Fleet, ResolvedFleet, resolve
from .fleet.wire import FrameCodec
from .fleet_adapters.base import FleetAdapter, NodeContext, message_types
from .fleet_adapters.endpoint_lists import ApplyChanges, DirectoryState, EndpointListsAdapter
from .fleet_adapters.replicated_notes import ReplicatedNotesAdapter
from .fleet_adapters.rules import RulesAdapter
from .load_balancer_types import DiscoveredEndpoint
from .net import http1
from .net.admin.queries import json_response
from .net.admin.server import RequestHandler
from .net.log_storage import FolderStorage, MemoryStorage, UnreadableError
from .net.peer_transport import Disk, PeerTransport
from .net.request import RequestInterceptor
from .store.records import StoredLog

log = logs.get(__name__)

# From the notice that this process leaves to the closing of its sockets, if a successor waits for their address.
CLOSE_DELAY_S = 0.5
# Where GET gives this node's state to operators.
PATH = "/fleet"
# Between two checks of who votes.
VOTER_CHECK_INTERVAL_S = 1.0


def members(membership: Membership, now: float) -> list[dict[str, Any]]:
    """The members of the group as this process sees them, for GET /fleet. `now` in ms of the fleet's clock."""
    return [
        {
            "name": member.name,
            "state": member.state.value,
            "incarnation": member.incarnation,
            "life": member.process_epoch,
            "address": host_port(member.address),
            "since_ms": round(now - member.since_ms),
        }
        for member in membership.members()
    ]


class FleetNode:
    """One process of a fleet. To be created on the loop's thread."""

    def __init__(self, table: Fleet, sidecar: str) -> None:
        """Raises toml.FaultError on unusable settings."""
        self._settings = resolve(table, sidecar)
        self.name = self._settings.name
        self.group = self._settings.group
        # Of two processes of one name the later has the higher epoch, unless the wall clock was set back in between.
        # This is the only use of the wall clock here, and membership treats it as a plain number.
        self.process_epoch = time.time_ns() // 1000
        self._membership = self._create_membership(table)
        self._hub = ComponentHub([("mb.", self._membership)], self._membership)
        self._context = NodeContext(
            self.name, self.process_epoch, table.voters, self._settings.key, self._dispatch, self.now
        )
        self._rules = RulesAdapter(self._context, table.rules) if table.rules is not None else None
        self._lists = EndpointListsAdapter(self._context) if table.rules is not None else None
        self._adapters = self._create_adapters(table)
        self._transport = self._create_transport(table)
        self._disk = _open_disk(self._settings)
        self._agreement: Consensus | None = None
        # Why there is no log; empty while there is one.
        self._no_log_reason = "the log is not read yet" if self._disk is not None else "no log: fleet.voters has none"
        self._voters: tuple[str, ...] = table.voters
        self._voter_check = PeriodicCallback(self._check_voters, VOTER_CHECK_INTERVAL_S * MS_PER_S)
        self._closing: asyncio.TimerHandle | None = None
        self._left = False
        self.descriptors = table.descriptors
        self.paths: dict[str, RequestHandler] = {PATH: self._handle_request}
        for adapter in self._adapters:
            self._register(adapter)

    def _create_membership(self, table: Fleet) -> Membership:
        resolved = self._settings
        return Membership(
            resolved.name,
            resolved.address,
            self.process_epoch,
            resolved.seeds,
            table.membership,
            _random_seed(),
            resolved.addresses,
        )

    def _create_adapters(self, table: Fleet) -> list[FleetAdapter]:
        """The adapters that the table asks for, in the order in which they are notified."""
        adapters: list[FleetAdapter] = []
        if table.bindings is not None:
            from .fleet_adapters.affinity import AffinityAdapter

            adapters.append(AffinityAdapter(self._context, table.bindings))
        if table.voters:
            adapters.append(ReplicatedNotesAdapter(self._context, table.agreement))
        if self._rules is not None:
            adapters.append(self._rules)
        if table.wallet is not None:
            from .fleet_adapters.wallet import WalletAdapter

            adapters.append(WalletAdapter(self._context, table.wallet, self._hub))
        if self._lists is not None:
            adapters.append(self._lists)
        return adapters

    def _create_transport(self, table: Fleet) -> PeerTransport:
        resolved = self._settings
        messages = (
            *get_args(MembershipMessage),
            *message_types(consensus_messages),
            *(message for adapter in self._adapters for message in adapter.messages),
        )
        codec = FrameCodec(resolved.key, resolved.group, messages)
        return PeerTransport(
            resolved.listen,
            resolved.name,
            self.process_epoch,
            self._hub,
            codec,
            table.streams,
            address=resolved.address,
        )

    def _register(self, adapter: FleetAdapter) -> None:
        """Register an adapter's handlers and routes, and start its component if that needs no log."""
        for kind, listener in adapter.action_handlers.items():
            self._hub.register_action_handler(kind, listener)
        self.paths |= {path: self._guard(adapter, handler) for path, handler in adapter.routes.items()}
        if not adapter.is_replicated:
            self._start_component(adapter, adapter.component(None, 0))

    def _start_component(self, adapter: FleetAdapter, component: Component | None) -> None:
        if component is not None:
            self._hub.add(adapter.prefix, component)
            adapter.started()

    def _dispatch(self, event: Any) -> None:
        self._transport.dispatch(event)

    def now(self) -> float:
        """The clock that leases are counted on, in ms."""
        return self._transport.now()

    # For the program

    @property
    def has_agreed_rules(self) -> bool:
        """Whether this sidecar's rules are those that the fleet agrees on."""
        return self._rules is not None

    def follow_rules(self, applier: ConfigurationApplier, counted: Callable[[], tuple[int, int]]) -> None:
        """Apply the agreed rules through `applier`. To be called before `start`; no effect without `[fleet.rules]`.

        `counted` gives the requests accepted so far, and those rejected or failed.
        """
        if self._rules is not None:
            self._rules.attach(applier, counted)

    def follow_endpoint_lists(self, use: ApplyChanges, where: DirectoryState) -> None:
        """Notify `use` of what peers change of the endpoint list; no effect without `[fleet.rules]`."""
        if self._lists is not None:
            self._lists.attach(use, where)

    def override_entries(self, entries: list[DiscoveredEndpoint], complete: bool) -> list[DiscoveredEndpoint]:
        """What the program is to use instead of discovery's entries, where peers reported more."""
        return self._lists.override(entries, complete) if self._lists is not None else entries

    def discovery_failed(self) -> None:
        """The watch on discovery ended."""
        if self._lists is not None:
            self._lists.discovery_failed()

    @property
    def request_interceptors(self) -> tuple[RequestInterceptor, ...]:
        """The interceptors of requests."""
        return tuple(adapter.interceptor for adapter in self._adapters if adapter.interceptor is not None)

    def endpoints_listed(self, endpoints: Iterable[DiscoveredEndpoint], complete: bool) -> None:
        """This sidecar's own discovery sent its complete list, or what changed."""
        for adapter in self._adapters:
            adapter.endpoints_listed(endpoints, complete)

    def ejection_changed(self, name: str, ejected: bool, at_ms: float) -> None:
        """An endpoint was ejected by an operator or the rules, or readmitted at `at_ms` of Unix time."""
        for adapter in self._adapters:
            adapter.ejection_changed(name, ejected, at_ms)

    def config_applied(self, config: Config) -> None:
        """The configuration for coming requests has changed. To be called before `start`, too."""
        for adapter in self._adapters:
            adapter.configuration_applied(config)

    def client_connection_closed(self, origin: str) -> None:
        """A client's connection that had brought requests has ended."""
        for adapter in self._adapters:
            adapter.connection_closed(origin)

    # Start and shutdown

    def start(self) -> None:
        """Open the sockets and begin to read the store."""
        self._transport.start(self._open_log if self._disk is not None else None)

    async def _open_log(self) -> Disk | None:
        """Start the log and the adapters that need it, from the disk. An unreadable disk disables the log alone."""
        disk = self._disk
        resolved = self._settings
        assert disk is not None
        try:
            stored = await disk.open() if isinstance(disk, FolderStorage) else StoredLog(entries=[])
            agreement = Consensus(
                resolved.name, resolved.table.voters, stored, resolved.table.agreement, _random_seed()
            )
            states = log_multiplexer.split_states(agreement.state)
            components = [
                (adapter, adapter.component(states.get(adapter.prefix), agreement.index))
                for adapter in self._adapters
                if adapter.is_replicated
            ]
        except (UnreadableError, msgspec.DecodeError, ValueError) as error:
            self._no_log_reason = f"no log: {error}"
            log.error("fleet: continuing without the log", folder=resolved.table.folder, error=str(error))
            disk.close()
            return None
        self._hub.add(LOG_PREFIX, agreement)
        for adapter, component in components:
            self._start_component(adapter, component)
        self._hub.record_snapshot_prefixes(states)
        self._agreement = agreement
        self._no_log_reason = ""
        self._voter_check.start()
        return disk

    def _check_voters(self) -> None:
        """Notify the adapters if the voters have changed."""
        assert self._agreement is not None
        voters = tuple(self._agreement.voters)
        if voters != self._voters:
            self._voters = voters
            for adapter in self._adapters:
                adapter.voters_changed(voters)

    def leave(self, successor_serves: bool) -> None:
        """Notify the peers that this process leaves. They still get what its last requests change, up to `close`.

        If a successor serves already, it waits for the address: the sockets are closed CLOSE_DELAY_S later.
        """
        if self._left:
            return
        self._left = True
        self._transport.leave()
        if successor_serves:
            self._closing = asyncio.get_running_loop().call_later(CLOSE_DELAY_S, self._transport.close)

    def close(self) -> None:
        """Close everything at once."""
        self._voter_check.stop()
        for adapter in self._adapters:
            adapter.close()
        if self._closing is not None:
            self._closing.cancel()
        self._transport.close()

    # For operators

    def state(self) -> dict[str, Any]:
        """The answer to GET /fleet."""
        components: dict[str, Any] = {"membership": self._membership.status()}
        if self._disk is not None:
            components["agreement"] = self._log_state()
        for adapter in self._adapters:
            components[adapter.name] = self._adapter_state(adapter)
        return {
            "name": self.name,
            "group": self.group,
            "life": self.process_epoch,
            "at": host_port(self._settings.address),
            "members": members(self._membership, self._transport.now()),
            **self._transport.state(),
            "parts": components,
        }

    def _adapter_state(self, adapter: FleetAdapter) -> dict[str, Any]:
        if adapter.is_replicated and self._no_log_reason:
            return {"state": "none", "why": self._no_log_reason}
        return adapter.status()

    def _log_state(self) -> dict[str, Any]:
        if self._agreement is None:
            return {"role": "none", "why": self._no_log_reason}
        return {**self._agreement.status(), "store": self._disk.state() if self._disk is not None else ""}

    def _guard(self, adapter: FleetAdapter, handler: RequestHandler) -> RequestHandler:
        """The handler, or the adapter's own rejection while the log that it needs is missing."""

        async def handle(request: http1.Message) -> bytes:
            if adapter.is_replicated and self._no_log_reason:
                return adapter.unavailable_response(self._no_log_reason)
            return await handler(request)

        return handle

    async def _handle_request(self, request: http1.Message) -> bytes:
        if request.method != b"GET":
            return http1.write_response(405, [(b"Allow", b"GET")], b"", close=True)
        return json_response(200, self.state())


def _random_seed() -> int:
    return int.from_bytes(os.urandom(8), "big")


def _open_disk(resolved: ResolvedFleet) -> FolderStorage | MemoryStorage | None:
    """The log's storage; None: no voters, so no log. Raises toml.FaultError if a library is missing."""
    table = resolved.table
    if not table.voters:
        return None
    if table.folder is None:
        log.info("fleet: no folder set, the log is kept in memory only")
        return MemoryStorage(resolved.name)
    try:
        return FolderStorage(Path(table.folder))
    except ImportError as error:
        raise toml.FaultError(f"fleet.folder: needs the library {error}: pip install 'limenotch[fleet]'") from None
