"""Builds the components of one process, and connects what each component reports to those that act on it."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Iterable, Mapping
from functools import partial
from pathlib import Path
from random import Random
from time import monotonic
from typing import TYPE_CHECKING, Any

from . import logs
from .clocks import MS_PER_S
from .config import Config, host_port
from .load_balancer import LoadBalancer
from .load_balancer_types import DiscoveredEndpoint
from .metrics import Metrics
from .net import request_claims
from .net.address_owners import AddressOwners, without_replaced
from .net.admin.server import AdminServer, RequestHandler
from .net.client_listener import ClientListener
from .net.discovery.client import DiscoveryClient
from .net.endpoint_pool import EndpointPool
from .net.memory_control import MemoryControl
from .net.pipe import BufferBudget
from .net.process_memory import file_bytes
from .net.requests import RequestManager
from .net.sockets import DescriptorLimits
from .net.successor import Successor
from .operator_ejections import OperatorEjections
from .process_start import ProcessStart
from .resource_limits import ResourceLimits
from .settings import Settings

if TYPE_CHECKING:
    from .fleet_node import FleetNode

log = logs.get(__name__)


def is_pushed(config: Config) -> bool:
    """Whether, by the settings, discovery is a nearby agent that has the endpoint list and pushes it."""
    return config.raw_settings.get("registry_mode") == "push"


def make_fleet_node(config: Config, settings: Settings) -> FleetNode | None:
    """This process's node of the fleet; None without a `[fleet]` table, and then no module of the fleet is imported."""
    if settings.fleet is None:
        return None
    from .fleet_node import FleetNode

    return FleetNode(settings.fleet, config.name)


class Components:
    """The components of one process, and the calls between them. To be created on the event loop's thread.

    `config` is the file's configuration in force; a reload replaces it.
    """

    def __init__(self, config: Config, settings: Settings, start: ProcessStart | None = None) -> None:
        """`start`: what the first step of this process found out; None: it shares its limits with no other process.

        Raises toml.FaultError if the fleet's settings can't be used.
        """
        self.config = config
        self.is_serving = False
        self.has_endpoint_list = asyncio.Event()
        self.load_balancer = LoadBalancer(config.settings, config.seed, config.zones, config.kinds)
        self.fleet_node = make_fleet_node(config, settings)
        fleet_descriptors = self.fleet_node.descriptors if self.fleet_node is not None else 0
        self.descriptors = DescriptorLimits(config.sockets, settings.descriptors, fleet_descriptors)
        self.metrics = Metrics()
        self.metrics.register_classes(class_names(config))
        self.requests = RequestManager(self.load_balancer, config.max_open, self.metrics)
        self.buffers = BufferBudget(0)  # its limit is set by `limits`
        self.memory = MemoryControl(self.buffers)
        self.memory.files = partial(file_bytes, config.state_path, folder_in_memory(settings))
        self._address_owners = AddressOwners()
        self.endpoint_pool = self._make_endpoint_pool(settings)
        self.discovery = self._make_discovery_client(settings)
        self.requests.attempt_runner = self.endpoint_pool
        self.requests.watch_discovery = self.discovery.watch
        self.clients = ClientListener(
            self.requests,
            self.load_balancer,
            self.descriptors,
            self.has_endpoint_list.is_set,
            settings.clients,
            self.buffers,
            self.memory,
        )
        self.ejections = OperatorEjections(config.state_path, self.set_ejected)
        self.successor = Successor(config.state_path, config.listen, self.export_state, self.set_process_count)
        self.successor.answer_successor = self._answer_claim
        self.successor.first_lines = self._lines_of_known_requests
        self.requests.request_ids.notify = self._notify_successors
        if self.fleet_node is not None:
            self._connect_fleet_node(self.fleet_node)
        self.limits = ResourceLimits(self, start or ProcessStart())
        self.limits.measure_base()
        self.admin = AdminServer(
            self.is_ready,
            self.render_metrics,
            self.request_ejection,
            self._admin_paths(),
            self.render_standby_metrics,
        )
        self.successor.standbys.operator_connected = self.admin.take_over

    def _make_endpoint_pool(self, settings: Settings) -> EndpointPool:
        return EndpointPool(
            self.requests,
            self.descriptors.endpoints,
            self.config.connect_timeout_ms,
            self.config.endpoint_idle_ms,
            settings.endpoints,
            self.buffers,
        )

    def _make_discovery_client(self, settings: Settings) -> DiscoveryClient:
        # Seeded with the name and the address too: with the same seed in all sidecars, all of them would query
        # discovery at the same times.
        random = Random(f"{self.config.seed:x}/{self.config.name}/{host_port(self.config.listen)}")
        return DiscoveryClient(
            self.config.discovery,
            self.receive_endpoints,
            self.discovery_failed,
            settings.discovery,
            is_pushed(self.config),
            random,
        )

    def _connect_fleet_node(self, fleet_node: FleetNode) -> None:
        self.requests.interceptors = fleet_node.request_interceptors
        self.clients.connection_ended = fleet_node.client_connection_closed
        fleet_node.follow_endpoint_lists(self.apply_endpoints, self.discovery.position)

    def _admin_paths(self) -> Mapping[str, RequestHandler]:
        return self.fleet_node.paths if self.fleet_node is not None else {}

    # The endpoint list

    def receive_endpoints(self, endpoints: list[DiscoveredEndpoint], complete: bool) -> None:
        """Handles a list that discovery sent, complete or changes; peers of the fleet may have newer entries."""
        if self.fleet_node is not None:
            self.fleet_node.endpoints_listed(endpoints, complete)
            endpoints = self.fleet_node.override_entries(endpoints, complete)
        self.apply_endpoints(endpoints, complete)

    def apply_endpoints(self, endpoints: list[DiscoveredEndpoint], complete: bool) -> None:
        """Applies a list, complete or changes."""
        replacements = self._address_owners.apply_list(endpoints, complete)
        for replacement in replacements:
            log.info("endpoint replaced at its address", endpoint=replacement.old.name, by=replacement.new.name)
            for request in self.requests.open.values():
                request.count_replaced(replacement.old, replacement.new)
        endpoints = without_replaced(endpoints, complete, replacements)
        # The pool first: the load balancer's commands may concern an endpoint that is new in this list.
        self.endpoint_pool.apply_list(endpoints, complete)
        self.limits.update()
        self.has_endpoint_list.set()
        self.requests.execute(self.load_balancer.endpoints_listed(endpoints, complete, self.discovery.silence_ms()))

    def discovery_failed(self) -> None:
        """Handles the failure of a query to discovery, or the end of a watch."""
        self.requests.execute(self.load_balancer.discovery_failed())
        if self.fleet_node is not None:
            self.fleet_node.discovery_failed()

    # Operators

    def set_ejected(self, name: str, ejected: bool, readmitted_at_ms: float) -> None:
        """Ejects an endpoint for an operator, or ends its ejection; `readmitted_at_ms` (Unix time) is when it ended."""
        log.info("endpoint ejected by operator" if ejected else "endpoint readmitted by operator", endpoint=name)
        self.endpoint_pool.set_ejected(name, ejected)
        if self.fleet_node is not None:
            self.fleet_node.ejection_changed(name, ejected, readmitted_at_ms)
        self.requests.execute(self.load_balancer.set_ejected(name, ejected, readmitted_at_ms))

    async def request_ejection(self, name: str, ejected: bool) -> bool | None:
        """Handles an operator's request to eject or readmit an endpoint.

        Returns whether that is stored for the next process, or None if no endpoint has this name.
        """
        if not self.endpoint_pool.knows(name) and name not in self.ejections.ejected:
            return None
        return await self.ejections.set_ejected(name, ejected, self.load_balancer.now_ms())

    def is_ready(self) -> bool:
        """Whether this process serves requests; health checks of operators get this."""
        return self.is_serving and self.clients.ready() and not self.clients.shutting_down

    def render_metrics(self) -> bytes:
        """All metrics of this process, as lines in statsd's format."""
        gauges = {
            "current": len(self.requests.open) + len(self.requests.streaming),
            "cluster_size": len(self.endpoint_pool),
            "cluster_unhealthy": self.load_balancer.excluded_count(),
        }
        return self.metrics.render(gauges, {"internal_errors": self.load_balancer.internal_errors.count})

    def render_standby_metrics(self) -> bytes:
        """The same of a process on standby, which has counted nothing yet."""
        metrics = Metrics()
        metrics.register_classes(class_names(self.config))
        gauges = {"cluster_size": len(self.endpoint_pool), "cluster_unhealthy": self.load_balancer.excluded_count()}
        return metrics.render({"current": 0, **gauges}, {"internal_errors": 0})

    # The other processes of this sidecar

    @property
    def _longest_known_s(self) -> float:
        """For how many seconds the id of an open request counts as known elsewhere."""
        return 2 * max(cls.deadline_ms for cls in self.load_balancer.classes) / MS_PER_S

    def _answer_claim(self, line: bytes) -> bytes | None:
        return request_claims.answer_claim(self.requests.request_ids, line, self._longest_known_s)

    def _notify_successors(self, key: bytes, left_s: float) -> None:
        self.successor.tell_successors(request_claims.remember_line(key, left_s))

    def _lines_of_known_requests(self) -> bytes:
        known = self.requests.request_ids.export(monotonic(), self._longest_known_s)
        return b"".join(request_claims.remember_line(bytes.fromhex(key), left_s) for key, left_s in known.items())

    def claim_requests(self) -> None:
        """From now on up to the predecessor's end, requests that may run only once are claimed there."""
        claims = request_claims.PredecessorClaims(self.requests.request_ids, self.successor.tell_predecessor)
        others = self.requests.interceptors
        self.requests.interceptors = (claims, *others)
        self.successor.predecessor_line = claims.handle_line
        self.successor.predecessor_ended = claims.predecessor_ended

    def set_process_count(self, processes: int) -> None:
        """Sets how many processes of this sidecar run from now on, this one included."""
        self.limits.update()
        self.requests.execute(self.load_balancer.set_process_count(processes))

    def export_state(self) -> dict[str, Any]:
        """The state that this process hands over to its successor, as JSON values."""
        return {
            "list": self.discovery.export_list(self.endpoint_pool),
            "knowledge": self.load_balancer.export_state(),
            "request_ids": self.requests.request_ids.export(monotonic(), self._longest_known_s),
        }

    def close(self) -> None:
        """Closes the remaining sockets, once all requests are answered."""
        self.limits.stop()
        self.memory.stop()
        self.admin.close()
        self.successor.close()
        self.discovery.close()
        if self.fleet_node is not None:
            self.fleet_node.close()


def folder_in_memory(settings: Settings) -> str | None:
    """The folder of the fleet's log if it is in the folder for temporary files, which counts as memory."""
    folder = settings.fleet.folder if settings.fleet is not None else None
    temporary = os.environ.get("TMPDIR")
    if not folder or not temporary or not Path(folder).resolve().is_relative_to(Path(temporary).resolve()):
        return None
    return str(folder)


def class_names(config: Config) -> Iterable[str]:
    """The names of the request classes in a configuration."""
    return (cls.name for cls in config.settings.classes)
