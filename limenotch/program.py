"""The program: puts the parts together, runs them, and ends them in order."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal

from .config import Config, ConfigError, load
from .facade import Facade, Provider
from .net.calls import Calls
from .net.consumers import Consumers
from .net.directory import Directory
from .net.providers import Providers
from .net.sockets import Sockets

log = logging.getLogger(__name__)


async def serve(config: Config) -> None:
    """Serve until SIGTERM or SIGINT, then finish what was taken. Raises OSError if it can't listen."""
    facade = Facade(config.settings, config.seed, config.zones, config.kinds)
    sockets = Sockets(config.sockets)
    calls = Calls(facade, config.max_open)
    providers = Providers(calls, sockets.providers, config.connect_ms, config.idle_ms)
    listed = asyncio.Event()

    def heard(entries: list[Provider], whole: bool) -> None:
        # The pool first: what the facade orders may go to a provider that is new.
        providers.listed(entries, whole)
        listed.set()
        calls.carry_out(facade.heard(entries, whole))

    directory = Directory(config.directory, heard, lambda: calls.carry_out(facade.broken()))
    calls.invoker, calls.watch = providers, directory.watch
    consumers = Consumers(calls, facade, sockets, listed.is_set)

    def reload() -> None:
        """What may change under way: the directory's address and the limits. All else waits for a restart."""
        try:
            new = load(os.environ, again=True)
        except ConfigError as error:
            log.error("reload: %s; the configuration held stays", error)
            return
        log.info("reload: directory %s:%d, %d sockets", *new.directory, new.sockets)
        sockets.limit_to(new.sockets)
        calls.max_open = new.max_open
        directory.move(new.directory)

    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    calls.carry_out(facade.start())
    if config.known:
        directory.known(config.known)
    directory.watch()  # also where the module expects the list unasked: nobody else brings it here
    consumers.listen(config.listen)
    log.info("%s: listening on %s:%d, layer %d", config.name, *config.listen, config.settings.layer)
    gc.freeze()  # what stays for good is not looked through again
    await stop.wait()
    log.info("%s: leaving with %d calls open", config.name, len(calls.open))
    await consumers.leave()
