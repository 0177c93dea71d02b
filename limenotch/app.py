"""The program: starts the components of one process in order, runs them, and ends them in order."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import socket
from time import monotonic

from tornado.ioloop import PeriodicCallback

from . import logs
from .config import Config, host_port
from .load_balancer import LoadBalancer
from .net.discovery.client import DiscoveryClient
from .net.successor import InheritedState, adopted_socket
from .operator_ejections import CHECK_INTERVAL_S
from .process_start import ProcessStart
from .reload import ConfigurationReloader, configuration_fault
from .settings import Settings
from .shutdown import ShutdownRequest, shut_down
from .wiring import Components, is_pushed

log = logs.get(__name__)

# Where a nearby agent pushes lists, a new process has to follow the agent's list from its start: an earlier list is
# used only if the agent has not answered for so many seconds. Enough for an answer, and short compared with the 6 s
# that a start may take.
AGENT_TIMEOUT_S = 3.0


async def serve(
    config: Config,
    settings: Settings = Settings(),  # noqa: B008 (frozen)
    start: ProcessStart | None = None,
) -> None:
    """Serves until SIGTERM or SIGINT, then finishes the accepted requests.

    `start`: what the first step of the process found out; None: it shares its limits with no other process. Raises
    OSError if an address to listen on can't be bound.
    """
    inheritance = start.inheritance if start is not None else None
    components = Components(config, settings, start)
    reloader = ConfigurationReloader(components)
    components.successor.standbys.configuration_fault = configuration_fault
    shutdown = ShutdownRequest()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reloader.reload)
    shutdown.install()
    components.requests.execute(components.load_balancer.start())
    if inheritance is not None:
        inherited = components.successor.adopt(inheritance)
    else:
        inherited = await components.successor.request_handover()
    if inherited is not None:
        components.set_process_count(components.successor.process_count)
        import_inherited_state(inherited, components.discovery, components.load_balancer)
        import_request_ids(inherited, components)
    use_known_list(components)
    components.ejections.load()
    ejections_poll = PeriodicCallback(components.ejections.reload_if_changed, CHECK_INTERVAL_S * 1000.0)
    components.discovery.watch()  # also if the load balancer has not requested it by a command
    admin_listener = adopted_socket(inheritance.admin) if inheritance is not None else None
    start_listening(components, inherited, ejections_poll, admin_listener)
    await components.successor.confirm_serving()
    components.is_serving = True
    standby_waits = await shut_down(components, await shutdown.wait())
    ejections_poll.stop()
    components.close()
    if standby_waits:
        end_process_at_once()


def end_process_at_once() -> None:
    """Ends the process with exit code 0; its tasks are not cancelled first, which takes long with many connections."""
    logging.shutdown()
    os._exit(0)


def import_inherited_state(inherited: InheritedState, discovery: DiscoveryClient, load_balancer: LoadBalancer) -> None:
    """Takes over the predecessor's state. What is invalid is logged and left out: it must not prevent the start."""
    state = inherited.state
    try:
        load_balancer.import_endpoint_ages(state.get("knowledge"))
    except ValueError as error:
        log.warning("predecessor's endpoint ages rejected; starting without them", error=str(error))
    if isinstance(state.get("list"), dict):
        discovery.import_list(state["list"])
    try:
        load_balancer.import_state(state.get("knowledge"))
    except (ValueError, TypeError) as error:
        log.warning("predecessor's learned state rejected; starting without it", error=str(error))


def import_request_ids(inherited: InheritedState, components: Components) -> None:
    """Takes over the ids of the predecessor's requests, and claims new ones there. An earlier version sends none."""
    exported = inherited.state.get("request_ids")
    if exported is None:
        return
    try:
        components.requests.request_ids.import_keys(exported, monotonic())
    except (ValueError, TypeError) as error:
        log.warning("predecessor's ids of requests rejected", error=str(error))
    if components.successor.has_predecessor:
        components.claim_requests()


def use_known_list(components: Components) -> None:
    """Uses the endpoint list in the configuration, unless the predecessor has handed one over."""
    known_list = components.config.known_list
    if components.has_endpoint_list.is_set() or not known_list:
        return
    if is_pushed(components.config):
        components.discovery.use_known_list_after(known_list, AGENT_TIMEOUT_S)
    else:
        components.discovery.use_known_list(known_list)


def start_listening(
    components: Components,
    inherited: InheritedState | None,
    ejections_poll: PeriodicCallback,
    admin_listener: socket.socket | None,
) -> None:
    """Opens the operators' address, the client listener and the fleet's sockets.

    `admin_listener`: the operators' listener if there is one already. Raises OSError if an address can't be bound.
    """
    config = components.config
    if config.admin is not None:  # first: a process that can't start must not have accepted clients
        components.admin.listen(config.admin, admin_listener)
        ejections_poll.start()
    listener = components.clients.listen(config.listen, inherited.listener if inherited is not None else None)
    components.successor.offer_listener(listener)
    log.info(
        "listening",
        listen=host_port(config.listen),
        layer=config.settings.tier_index,
        inherited=inherited is not None,
    )
    if components.fleet_node is not None:
        components.fleet_node.start()
    components.limits.start()
    components.memory.start()
    gc.freeze()  # the garbage collector need not examine the objects that exist until the end of the process
