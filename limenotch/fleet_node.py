"""The fleet's side of the program: parts, hub, wire and sockets put together. Imported only where `[fleet]` is set.

The log and the layers above it are there only where `voters` are set, and join when the store has been read: until
then, and for good where it can't be read, this process is a member without a log. A layer is there where its table is
(`fleet_adapters/`); those that stand on no log are there from the start.
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
from .config import Address, Config, host_port
from .configuration_applier import ConfigurationApplier
from .fleet import log_multiplexer
from .fleet.consensus import Agreement
from .fleet.consensus import messages as of_the_log
from .fleet.hub import LOG, ComponentHub
from .fleet.membership import Membership
from .fleet.membership.messages import Spoken
from .fleet.settings import Fleet, Placed, place
from .fleet.wire import FrameCodec
from .fleet_adapters.base import FleetAdapter, NodeContext, message_types
from .fleet_adapters.endpoint_lists import EndpointListsAdapter, Use, Where
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

LEAVE_S = 0.5  # from the word that this process goes to the end of its sockets
PATH = "/fleet"
LOOK_S = 1.0  # between two looks at who votes


def members(membership: Membership, now: float) -> list[dict[str, Any]]:
    return [
        {
            "name": seen.name,
            "state": seen.state.value,
            "incarnation": seen.incarnation,
            "life": seen.life,
            "address": host_port(seen.address),
            "since_ms": round(now - seen.since),
        }
        for seen in membership.members()
    ]


class FleetNode:
    """One process among others. Made on the loop's thread."""

    def __init__(self, table: Fleet, sidecar: str) -> None:
        """Raises toml.FaultError on settings that can't be used."""
        self._placed = placed = place(table, sidecar)
        self.name, self.group = placed.name, placed.group
        # Of two processes of one name the later has the higher one, unless the wall clock was set back in between:
        # the only use of that clock here, and to membership it is just a number.
        self.life = time.time_ns() // 1000
        self._membership = Membership(
            placed.name, placed.at, self.life, placed.seeds, table.membership, _seed(), placed.addresses
        )
        self._hub = ComponentHub([("mb.", self._membership)], self._membership)
        self._among = NodeContext(placed.name, self.life, table.voters, placed.key, self._tell, self.now)
        self._rules = RulesAdapter(self._among, table.rules) if table.rules is not None else None
        self._lists = EndpointListsAdapter(self._among) if table.rules is not None else None
        self._layers = self._made(table)
        messages = (
            *get_args(Spoken),
            *message_types(of_the_log),
            *(m for layer in self._layers for m in layer.messages),
        )
        wire = FrameCodec(placed.key, placed.group, messages)
        self._others = PeerTransport(
            placed.listen, placed.name, self.life, self._hub, wire, table.streams, at=placed.at
        )
        self._disk = _disk(placed)
        self._agreement: Agreement | None = None
        self._why = "the log is not read yet" if self._disk is not None else "no log: fleet.voters has none"
        self._voters: tuple[str, ...] = table.voters
        self._looking = PeriodicCallback(self._look, LOOK_S * 1000.0)
        self._end: asyncio.TimerHandle | None = None
        self.descriptors = table.descriptors
        self.paths: dict[str, RequestHandler] = {PATH: self._answer}
        for layer in self._layers:
            for kind, told in layer.hears.items():
                self._hub.hears(kind, told)
            self.paths |= {path: self._through(layer, answer) for path, answer in layer.paths.items()}
            if not layer.above and (part := layer.part(None, 0)) is not None:
                self._hub.add(layer.prefix, part)
                layer.began()

    def _made(self, table: Fleet) -> list[FleetAdapter]:
        """Those that the table has, in the order in which they hear of what all are told."""
        layers: list[FleetAdapter] = []
        if table.bindings is not None:
            from .fleet_adapters.affinity import AffinityAdapter

            layers.append(AffinityAdapter(self._among, table.bindings))
        if table.voters:
            layers.append(ReplicatedNotesAdapter(self._among, table.agreement))
        if self._rules is not None:
            layers.append(self._rules)
        if table.wallet is not None:
            from .fleet_adapters.wallet import WalletAdapter

            layers.append(WalletAdapter(self._among, table.wallet, self._hub))
        if self._lists is not None:
            layers.append(self._lists)
        return layers

    def _tell(self, event: Any) -> None:
        self._others.tell(event)

    def now(self) -> float:
        """The clock that leases are counted on, in ms."""
        return self._others.now()

    # For the program

    @property
    def ruled(self) -> bool:
        """Whether this sidecar's rules are those that many agree on."""
        return self._rules is not None

    def follow(self, acting: ConfigurationApplier, counted: Callable[[], tuple[int, int]]) -> None:
        """Put what is agreed on in force there. To be called before `start`; without `[fleet.rules]` nothing is."""
        if self._rules is not None:
            self._rules.follow(acting, counted)

    def lists(self, use: Use, where: Where) -> None:
        """`use` is told what of the list changes by others' word; nothing without `[fleet.rules]`."""
        if self._lists is not None:
            self._lists.follow(use, where)

    def over(self, entries: list[DiscoveredEndpoint], whole: bool) -> list[DiscoveredEndpoint]:
        """What of the directory's word the program is to use instead, as others said more."""
        return self._lists.over(entries, whole) if self._lists is not None else entries

    def silent(self) -> None:
        """The watch on the directory ended."""
        if self._lists is not None:
            self._lists.silent()

    @property
    def beside(self) -> tuple[RequestInterceptor, ...]:
        """Who has a say in calls."""
        return tuple(layer.beside for layer in self._layers if layer.beside is not None)

    def listed(self, providers: Iterable[DiscoveredEndpoint], whole: bool) -> None:
        """This sidecar's own directory told its whole list, or what changed."""
        for layer in self._layers:
            layer.listed(providers, whole)

    def banned(self, name: str, out: bool, at_ms: float) -> None:
        for layer in self._layers:
            layer.banned(name, out, at_ms)

    def adopted(self, config: Config) -> None:
        """What is in force for the calls to come. To be called before `start`, too."""
        for layer in self._layers:
            layer.adopted(config)

    def gone(self, origin: str) -> None:
        """A consumer's connection of which calls came has ended."""
        for layer in self._layers:
            layer.gone(origin)

    # Life

    def start(self) -> None:
        self._others.start(self._found if self._disk is not None else None)

    async def _found(self) -> Disk | None:
        """The log and the layers above it, from what the disk has. A disk that can't be read costs the log alone."""
        disk, placed = self._disk, self._placed
        assert disk is not None
        try:
            held = await disk.open() if isinstance(disk, FolderStorage) else StoredLog(entries=[])
            agreement = Agreement(placed.name, placed.table.voters, held, placed.table.agreement, _seed())
            states = log_multiplexer.split_states(agreement.state)
            parts = [
                (layer, layer.part(states.get(layer.prefix), agreement.index)) for layer in self._layers if layer.above
            ]
        except (UnreadableError, msgspec.DecodeError, ValueError) as error:
            self._why = f"no log: {error}"
            log.error("fleet: goes on without the log", folder=placed.table.folder, error=str(error))
            disk.close()
            return None
        self._hub.add(LOG, agreement)
        for layer, part in parts:
            if part is not None:
                self._hub.add(layer.prefix, part)
                layer.began()
        self._hub.found(states)
        self._agreement, self._why = agreement, ""
        self._looking.start()
        return disk

    def _look(self) -> None:
        """Whether a voter was replaced."""
        assert self._agreement is not None
        voters = tuple(self._agreement.voters)
        if voters != self._voters:
            self._voters = voters
            for layer in self._layers:
                layer.voted(voters)

    def leave(self) -> None:
        """Tell the others. A little later the address is free: the next process of this sidecar may wait for it."""
        if self._end is None:
            self._others.leave()
            self._end = asyncio.get_running_loop().call_later(LEAVE_S, self._others.close)

    def close(self) -> None:
        self._looking.stop()
        for layer in self._layers:
            layer.close()
        if self._end is not None:
            self._end.cancel()
        self._others.close()

    # For operators

    def state(self) -> dict[str, Any]:
        at: Address = self._placed.at
        parts: dict[str, Any] = {"membership": self._membership.figures()}
        if self._disk is not None:
            parts["agreement"] = self._log_state()
        for layer in self._layers:
            gone = layer.above and self._why
            parts[layer.name] = {"state": "none", "why": self._why} if gone else layer.figures()
        return {
            "name": self.name,
            "group": self.group,
            "life": self.life,
            "at": host_port(at),
            "members": members(self._membership, self._others.now()),
            **self._others.state(),
            "parts": parts,
        }

    def _log_state(self) -> dict[str, Any]:
        if self._agreement is None:
            return {"role": "none", "why": self._why}
        return {**self._agreement.figures(), "store": self._disk.state() if self._disk is not None else ""}

    def _through(self, layer: FleetAdapter, answer: RequestHandler) -> RequestHandler:
        async def through(request: http1.Message) -> bytes:
            return layer.refuse(self._why) if layer.above and self._why else await answer(request)

        return through

    async def _answer(self, request: http1.Message) -> bytes:
        if request.method != b"GET":
            return http1.write_response(405, [(b"Allow", b"GET")], b"", close=True)
        return json_response(200, self.state())


def _seed() -> int:
    return int.from_bytes(os.urandom(8), "big")


def _disk(placed: Placed) -> FolderStorage | MemoryStorage | None:
    """None: no voters, so no log. Raises toml.FaultError where a library is not there."""
    table = placed.table
    if not table.voters:
        return None
    if table.folder is None:
        log.info("fleet: no folder, what is agreed is held in memory only")
        return MemoryStorage(placed.name)
    try:
        return FolderStorage(Path(table.folder))
    except ImportError as error:
        raise toml.FaultError(f"fleet.folder: needs the library {error}: pip install 'limenotch[fleet]'") from None
