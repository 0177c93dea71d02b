"""Configuration changes in a running process: the file is read again, or the fleet has agreed on new rules."""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from . import logs
from .config import Config, ConfigError, host_port, load
from .settings_file import check_as, load_settings
from .toml import FaultError
from .wiring import Components, class_names, is_pushed

if TYPE_CHECKING:
    from .configuration_applier import ConfigurationApplier
    from .fleet_node import FleetNode

log = logs.get(__name__)


def configuration_fault(environ: Mapping[str, str]) -> str | None:
    """What is wrong with the configuration that a process with this environment would load; None: nothing."""
    try:
        check_as(load_settings(None, environ), load(environ).name)
    except (ConfigError, FaultError) as error:
        return str(error)
    return None


class ActiveConfiguration:
    """Applies a configuration, the file's or the one the fleet agreed on, to the components that depend on it."""

    def __init__(self, components: Components) -> None:
        self._components = components
        self._lease_clock_ms: Callable[[], float] = lambda: 0.0
        self._follows_agreed_rules = False
        self._unannounced: Config | None = None  # applied, but not reported to the fleet node for lack of a lease

    def follow_agreed_rules(self, lease_clock_ms: Callable[[], float]) -> None:
        """From now on a lease limits how long a configuration is valid; `lease_clock_ms` is monotonic, in ms."""
        self._lease_clock_ms = lease_clock_ms
        self._follows_agreed_rules = True

    def announce(self, config: Config) -> None:
        """Reports to the fleet node the configuration that applies to requests from now on."""
        if self._components.fleet_node is not None:
            self._components.fleet_node.config_applied(config)

    def apply_config(self, config: Config) -> None:
        """Applies `config` to requests that arrive from now on; open requests keep the rules of their arrival."""
        if self._follows_agreed_rules:
            self._unannounced = config
        else:
            self.announce(config)
        components = self._components
        components.metrics.register_classes(class_names(config))
        components.endpoint_pool.set_timeouts(config.connect_timeout_ms, config.endpoint_idle_ms)
        components.requests.max_open = config.max_open
        components.requests.execute(
            components.load_balancer.apply_settings(config.settings, config.zones, config.kinds)
        )
        components.discovery.set_pushed(is_pushed(config))
        components.discovery.move(config.discovery)

    def set_ejected(self, name: str, ejected: bool, at_ms: float) -> None:
        """Ejects an endpoint by agreed rules, or readmits it at `at_ms` (Unix time), which an ejection ignores."""
        self._components.set_ejected(name, ejected, at_ms)

    def set_lease(self, until_ms: float, slow_start_divisor: float, reject_without_lease: bool) -> None:
        """Sets until when the agreed rules are valid, on the lease clock; see LoadBalancer.set_lease."""
        now_ms = self._lease_clock_ms()
        if self._unannounced is not None and until_ms > now_ms:
            # A configuration is announced only while a lease is valid: without one, the classes in force are the
            # restricted ones, which allow less than the agreed rules, and less than the endpoints support.
            announced = self._unannounced
            self._unannounced = None
            self.announce(announced)
        load_balancer = self._components.load_balancer
        until_unix_ms = load_balancer.now_ms() + (until_ms - self._lease_clock_ms())
        self._components.requests.execute(
            load_balancer.set_lease(until_unix_ms, slow_start_divisor, reject_without_lease)
        )

    def request_counts(self) -> tuple[int, int]:
        """How many requests were accepted so far, and how many were rejected or failed."""
        count = self._components.metrics.count
        return count("taken"), count("deferred") + count("errored")


def follow_agreed_rules(
    fleet_node: FleetNode, config: Config, active: ActiveConfiguration
) -> ConfigurationApplier | None:
    """Makes the rules that the fleet agrees on replace the file's; None if there is no `[fleet.rules]` table."""
    if not fleet_node.has_agreed_rules:
        return None
    from .configuration_applier import ConfigurationApplier

    active.follow_agreed_rules(fleet_node.now)
    applier = ConfigurationApplier(config, active)
    fleet_node.follow_rules(applier, active.request_counts)
    return applier


class ConfigurationReloader:
    """Reads the configuration file again on request, and applies it if it is valid; otherwise nothing changes."""

    def __init__(self, components: Components) -> None:
        self._components = components
        self._active = ActiveConfiguration(components)
        self._applier: ConfigurationApplier | None = None
        if components.fleet_node is not None:
            self._active.announce(components.config)
            self._applier = follow_agreed_rules(components.fleet_node, components.config, self._active)

    def reload(self) -> None:
        """Reads the file again. Addresses to listen on, the name and the seed change only with the next start."""
        components = self._components
        try:
            config = load(os.environ, again=components.config)
        except ConfigError as error:
            components.metrics.count_reload(False)
            log.error("new configuration rejected; keeping the current one", error=str(error))
            return
        components.metrics.count_reload(True)
        components.config = config
        log.info(
            "configuration reloaded",
            discovery=host_port(config.discovery),
            sockets=config.sockets,
            classes=list(class_names(config)),
        )
        components.limits.update()
        if self._applier is not None:
            self._applier.file_reloaded(config)
        else:
            self._active.apply_config(config)
