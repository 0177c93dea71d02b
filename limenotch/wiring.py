"""Builds the parts of one process and connects them: what each part reports, and which other parts act on it."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping
from random import Random
from typing import TYPE_CHECKING, Any

from . import logs
from .config import Config, host_port
from .load_balancer import LoadBalancer
from .load_balancer_types import DiscoveredEndpoint
from .metrics import Metrics
from .net.admin.server import AdminServer, RequestHandler
from .net.client_listener import ClientListener
from .net.discovery.client import DiscoveryClient
from .net.endpoint_pool import EndpointPool
from .net.pipe import BufferBudget
from .net.requests import RequestManager
from .net.sockets import DescriptorLimits
from .net.successor import Successor
from .operator_ejections import OperatorEjections
from .settings import Settings

if TYPE_CHECKING:
    from .fleet_node import FleetNode

log = logs.get(__name__)

BUFFERED_MEMORY_FRACTION = 1 / 8  # of the memory limit; connections' own buffers may take as much again


def is_pushed(config: Config) -> bool:
    """Whether an agent near by holds the endpoint list and pushes it, by the settings."""
    return config.raw_settings.get("registry_mode") == "push"


def buffer_limit(memory_mb: float, processes: int) -> int:
    """Bytes of long bodies that one of `processes` processes may buffer under a limit of `memory_mb` megabytes."""
    return int(memory_mb * 1e6 * BUFFERED_MEMORY_FRACTION / processes)


def make_fleet_node(config: Config, settings: Settings) -> FleetNode | None:
    """This process's node of the fleet; None without a `[fleet]` table, and then nothing of the fleet is imported."""
    if settings.fleet is None:
        return None
    from .fleet_node import FleetNode

    return FleetNode(settings.fleet, config.name)


class Components:
    """The parts of one process, and what passes between them. Made on the event loop's thread.

    `config` is the configuration in force; a reload replaces it.
    """

    def __init__(self, config: Config, settings: Settings) -> None:
        """Raises toml.FaultError on fleet settings that can't be used."""
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
        self.buffers = BufferBudget(buffer_limit(config.memory_mb, 1))
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
        )
        self.ejections = OperatorEjections(config.state_path, self.set_ejected)
        self.successor = Successor(config.state_path, config.listen, self.export_state, self.set_process_count)
        if self.fleet_node is not None:
            self._connect_fleet_node(self.fleet_node)
        self.admin = AdminServer(self.is_ready, self.render_metrics, self.request_ejection, self._admin_paths())

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
        # Seeded by name and address too: where the system's random numbers are alike everywhere, all sidecars
        # would query discovery in step.
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
        """This process's discovery sent its complete list, or what changed; peers may know more."""
        if self.fleet_node is not None:
            self.fleet_node.endpoints_listed(endpoints, complete)
            endpoints = self.fleet_node.override_entries(endpoints, complete)
        self.apply_endpoints(endpoints, complete)

    def apply_endpoints(self, endpoints: list[DiscoveredEndpoint], complete: bool) -> None:
        """Put a list, or a change of it, in force."""
        # The pool first: the load balancer's commands may go to an endpoint that is new.
        self.endpoint_pool.apply_list(endpoints, complete)
        self.has_endpoint_list.set()
        self.requests.execute(self.load_balancer.endpoints_listed(endpoints, complete, self.discovery.silence_ms()))

    def discovery_failed(self) -> None:
        """A query of discovery failed, or the watch ended."""
        self.requests.execute(self.load_balancer.discovery_failed())
        if self.fleet_node is not None:
            self.fleet_node.discovery_failed()

    # Operators

    def set_ejected(self, name: str, ejected: bool, readmitted_at_ms: float) -> None:
        """An operator has ejected an endpoint, or readmitted it at `readmitted_at_ms` of Unix time."""
        log.info("endpoint ejected by operator" if ejected else "endpoint readmitted by operator", endpoint=name)
        self.endpoint_pool.set_ejected(name, ejected)
        if self.fleet_node is not None:
            self.fleet_node.ejection_changed(name, ejected, readmitted_at_ms)
        self.requests.execute(self.load_balancer.set_ejected(name, ejected, readmitted_at_ms))

    async def request_ejection(self, name: str, ejected: bool) -> bool | None:
        """Eject or readmit an endpoint: whether that is stored for the next process; None for an unknown name."""
        if not self.endpoint_pool.knows(name) and name not in self.ejections.ejected:
            return None
        return await self.ejections.set_ejected(name, ejected, self.load_balancer.now_ms())

    def is_ready(self) -> bool:
        """Whether this process serves requests: the answer to a health check."""
        return self.is_serving and self.clients.ready() and not self.clients.shutting_down

    def render_metrics(self) -> bytes:
        """All metrics of this process, in statsd's lines."""
        gauges = {
            "current": len(self.requests.open) + len(self.requests.streaming),
            "cluster_size": len(self.endpoint_pool),
            "cluster_unhealthy": self.load_balancer.excluded_count(),
        }
        return self.metrics.render(gauges, {"internal_errors": self.load_balancer.internal_errors.count})

    # The other processes of this sidecar

    def limit_resources(self) -> None:
        """Hold all live processes of this sidecar together to the limits of one."""
        processes = self.successor.process_count
        self.descriptors.set_limit(self.config.sockets // processes)
        self.buffers.limit = buffer_limit(self.config.memory_mb, processes)

    def set_process_count(self, processes: int) -> None:
        """So many processes of this sidecar live from now on, this one included."""
        self.limit_resources()
        self.requests.execute(self.load_balancer.set_process_count(processes))

    def export_state(self) -> dict[str, Any]:
        """What this process hands to its successor, as JSON values."""
        return {
            "list": self.discovery.export_list(self.endpoint_pool),
            "knowledge": self.load_balancer.export_state(),
        }

    def close(self) -> None:
        """Release what is still held once all requests are answered."""
        self.admin.close()
        self.successor.close()
        self.discovery.close()
        if self.fleet_node is not None:
            self.fleet_node.close()


def class_names(config: Config) -> Iterable[str]:
    """The traffic classes that a configuration names."""
    return (cls.name for cls in config.settings.classes)
