"""The program: puts the parts together, runs them, and ends them in order."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
from collections.abc import Callable
from random import Random
from time import monotonic
from typing import TYPE_CHECKING, Any

from tornado.ioloop import PeriodicCallback

from . import logs
from .config import Config, ConfigError, host_port, load
from .load_balancer import LoadBalancer
from .load_balancer_types import DiscoveredEndpoint
from .metrics import Metrics
from .net.admin.server import AdminServer
from .net.client_listener import ClientListener
from .net.discovery.client import DiscoveryClient
from .net.endpoint_pool import EndpointPool
from .net.pipe import BufferBudget
from .net.requests import RequestManager
from .net.sockets import DescriptorLimits
from .net.successor import InheritedState, Successor
from .operator_ejections import CHECK_INTERVAL_S, OperatorEjections
from .settings import Settings

if TYPE_CHECKING:
    from .configuration_applier import ConfigurationApplier
    from .fleet_node import FleetNode

log = logs.get(__name__)

# Where lists are pushed, what the agent has counts as told from a new process's first moment: it is heard first, and an
# earlier list is used if it is silent for so long. Long enough for a call's answer, and short against the start's 6 s.
AGENT_S = 3.0


async def serve(config: Config, settings: Settings = Settings()) -> None:  # noqa: B008 (frozen)
    """Serve until SIGTERM or SIGINT, then finish what was taken. Raises OSError if it can't listen."""
    held, serving = config, False
    facade = LoadBalancer(config.settings, config.seed, config.zones, config.kinds)
    others = among_others(config, settings)
    sockets = DescriptorLimits(config.sockets, settings.descriptors, others.descriptors if others is not None else 0)
    figures = Metrics()
    figures.register_classes(cls.name for cls in config.settings.classes)
    calls = RequestManager(facade, config.max_open, figures)
    budget = BufferBudget(buffered(config.memory_mb, 1))
    providers = EndpointPool(
        calls, sockets.providers, config.connect_timeout_ms, config.endpoint_idle_ms, settings.endpoints, budget
    )
    listed = asyncio.Event()

    def use(entries: list[DiscoveredEndpoint], whole: bool) -> None:
        # The pool first: what the facade orders may go to a provider that is new.
        providers.apply_list(entries, whole)
        listed.set()
        calls.execute(facade.endpoints_listed(entries, whole, directory.silence_ms()))

    def heard(entries: list[DiscoveredEndpoint], whole: bool) -> None:
        if others is not None:
            others.endpoints_listed(entries, whole)
            entries = others.override_entries(entries, whole)
        use(entries, whole)

    def broken() -> None:
        calls.execute(facade.discovery_failed())
        if others is not None:
            others.discovery_failed()

    # Of its own by seed and name: where the system's random numbers are alike everywhere, all would ask in step.
    random = Random(f"{config.seed:x}/{config.name}/{host_port(config.listen)}")
    directory = DiscoveryClient(config.discovery, heard, broken, settings.discovery, pushed(config), random)
    calls.attempt_runner, calls.watch_discovery = providers, directory.watch
    if others is not None:
        calls.interceptors = others.request_interceptors
        others.follow_endpoint_lists(use, directory.position)
    consumers = ClientListener(calls, facade, sockets, listed.is_set, settings.clients, budget)
    if others is not None:
        consumers.connection_ended = others.client_connection_closed

    def banned(name: str, out: bool, at_ms: float) -> None:
        log.info("taken out" if out else "may serve again", provider=name)
        providers.set_ejected(name, out)
        if others is not None:
            others.ejection_changed(name, out, at_ms)
        calls.execute(facade.set_ejected(name, out, at_ms))

    bans = OperatorEjections(config.state_path, banned)

    async def ban(name: str, out: bool) -> bool | None:
        if not providers.knows(name) and name not in bans.ejected:
            return None
        return await bans.set_ejected(name, out, facade.now_ms())

    def stats() -> bytes:
        return figures.render(
            {
                "current": len(calls.open) + len(calls.streaming),
                "cluster_size": len(providers),
                "cluster_unhealthy": facade.excluded_count(),
            }
        )

    extra = others.paths if others is not None else {}
    operators = AdminServer(lambda: serving and consumers.ready() and not consumers.shutting_down, stats, ban, extra)

    def limit(processes: int) -> None:
        """Of this sidecar, those alive: all of them are held to one sidecar's limits."""
        sockets.limit_to(held.sockets // processes)
        budget.limit = buffered(held.memory_mb, processes)

    def together(processes: int) -> None:
        limit(processes)
        calls.execute(facade.set_process_count(processes))

    def tell() -> dict[str, Any]:
        return {"list": directory.export_list(providers), "knowledge": facade.export_state()}

    successor = Successor(config.state_path, config.listen, tell, together)

    parts = Following(figures, providers, calls, facade, directory, banned)
    if others is not None:
        parts.adopted = others.config_applied
        parts.adopted(config)
    acting = follow(others, config, parts) if others is not None else None

    def reload() -> None:
        """All of a sound file or nothing; addresses to listen on, names and the seed wait for the next start."""
        nonlocal held
        try:
            new = load(os.environ, again=held)
        except ConfigError as error:
            figures.count_reload(False)
            log.error("reload: the configuration held stays", error=str(error))
            return
        figures.count_reload(True)
        held = new
        names = [cls.name for cls in new.settings.classes]
        log.info("reload", directory=host_port(new.discovery), sockets=new.sockets, classes=names)
        limit(successor.processes)
        if acting is not None:
            acting.file_reloaded(new)
        else:
            parts.apply_config(new)

    stop, told = asyncio.Event(), list[float]()

    def end() -> None:
        """What ends the process counts from the first signal, wherever that finds us."""
        told.append(monotonic())
        stop.set()

    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, end)
    calls.execute(facade.start())
    inherited = await successor.ask()
    if inherited is not None:
        together(successor.processes)
        take_over(inherited, directory, facade)
    if not listed.is_set() and config.known_list:
        if pushed(config):
            directory.use_known_list_after(config.known_list, AGENT_S)
        else:
            directory.use_known_list(config.known_list)
    bans.load()
    looking = PeriodicCallback(bans.reload_if_changed, CHECK_INTERVAL_S * 1000.0)
    directory.watch()  # also where the module expects the list unasked: nobody else brings it here
    listener = consumers.listen(config.listen, inherited.listener if inherited is not None else None)
    if config.admin is not None:
        operators.listen(config.admin)
        looking.start()
    successor.offer(listener)
    log.info("listening", listen=host_port(config.listen), layer=config.settings.tier_index, over=inherited is not None)
    if others is not None:
        others.start()
    gc.freeze()  # what stays for good is not looked through again
    await successor.serving()
    serving = True
    await stop.wait()
    log.info("leaving", open_calls=len(calls.open), handed_on=successor.serves)
    if others is not None:
        others.leave()
    await consumers.shut_down(successor.serves, told[0])
    looking.stop()
    operators.close()
    successor.close()
    directory.close()
    if others is not None:
        others.close()


def among_others(config: Config, settings: Settings) -> FleetNode | None:
    """The fleet's side, off without its table: nothing of it is imported then."""
    if settings.fleet is None:
        return None
    from .fleet_node import FleetNode

    return FleetNode(settings.fleet, config.name)


class Following:
    """The parts that follow settings, be it those of the file or those that many agreed on."""

    def __init__(
        self,
        figures: Metrics,
        providers: EndpointPool,
        calls: RequestManager,
        facade: LoadBalancer,
        directory: DiscoveryClient,
        banned: Callable[[str, bool, float], None],
    ) -> None:
        self._figures, self._providers, self._calls = figures, providers, calls
        self._facade, self._directory, self.set_ejected = facade, directory, banned
        self.now: Callable[[], float] = lambda: 0.0  # the clock of leases, in ms
        self.adopted: Callable[[Config], None] = lambda config: None  # hears of what many hold, or of the file alone
        self.ruled = False
        self._unheard: Config | None = None

    def apply_config(self, config: Config) -> None:
        """For what comes from now on; open calls go on under what they were taken with."""
        if self.ruled:
            self._unheard = config
        else:
            self.adopted(config)
        self._figures.register_classes(cls.name for cls in config.settings.classes)
        self._providers.set_timeouts(config.connect_timeout_ms, config.endpoint_idle_ms)
        self._calls.max_open = config.max_open
        self._calls.execute(self._facade.apply_settings(config.settings, config.zones, config.kinds))
        self._directory.set_pushed(pushed(config))
        self._directory.move(config.discovery)

    def counted(self) -> tuple[int, int]:
        """Calls taken so far, and those rejected or failed."""
        count = self._figures.count
        return count("taken"), count("deferred") + count("errored")

    def set_lease(self, until_ms: float, cold_parts: float, refusing: bool) -> None:
        if self._unheard is not None and until_ms > self.now():
            # Without a lease classes are narrower than what is agreed on, and than what providers do.
            heard, self._unheard = self._unheard, None
            self.adopted(heard)
        until = self._facade.now_ms() + (until_ms - self.now())
        self._calls.execute(self._facade.set_lease(until, cold_parts, refusing))


def follow(others: FleetNode, config: Config, parts: Following) -> ConfigurationApplier | None:
    """Where `[fleet.rules]` is set, what is agreed on takes the place of the file's rules."""
    if not others.has_agreed_rules:
        return None
    from .configuration_applier import ConfigurationApplier

    parts.now, parts.ruled = others.now, True
    acting = ConfigurationApplier(config, parts)
    others.follow_rules(acting, parts.counted)
    return acting


def pushed(config: Config) -> bool:
    """Whether the settings say that an agent near by has the list, whoever asks it."""
    return config.raw_settings.get("registry_mode") == "push"


def buffered(memory_mb: float, processes: int) -> int:
    """Bytes of long bodies that one process may hold: an eighth, as much again is in connections' own buffers."""
    return int(memory_mb * 1e6 / 8 / processes)


def take_over(inherited: InheritedState, directory: DiscoveryClient, facade: LoadBalancer) -> None:
    """What the process before knew, as far as it is sound: a fault costs its knowledge, not the start."""
    told = inherited.state
    try:
        facade.import_endpoint_ages(told.get("knowledge"))
    except ValueError as error:
        log.warning("starts of the process before not taken", error=str(error))
    if isinstance(told.get("list"), dict):
        directory.import_list(told["list"])
    try:
        facade.import_state(told.get("knowledge"))
    except (ValueError, TypeError) as error:
        log.warning("knowledge of the process before not taken", error=str(error))
