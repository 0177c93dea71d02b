"""Graceful shutdown: the signals that request it, and the order in which the components end."""

from __future__ import annotations

import asyncio
import signal
from time import monotonic

from . import logs
from .wiring import Components

log = logs.get(__name__)

SIGNALS = (signal.SIGTERM, signal.SIGINT)


class ShutdownRequest:
    """A request to shut down, made by the first of SIGNALS. The schedule of the shutdown starts at that moment."""

    def __init__(self) -> None:
        self._requested = asyncio.Event()
        self._requested_at = 0.0

    def install(self) -> None:
        """Handles the signals on the running event loop from now on."""
        loop = asyncio.get_running_loop()
        for number in SIGNALS:
            loop.add_signal_handler(number, self._request)

    def _request(self) -> None:
        if not self._requested.is_set():
            self._requested_at = monotonic()
            self._requested.set()

    async def wait(self) -> float:
        """Waits for the first signal, and returns when it arrived, in seconds of `time.monotonic`."""
        await self._requested.wait()
        return self._requested_at


async def shut_down(components: Components, requested_at: float) -> bool:
    """Leaves the fleet, and returns when the accepted requests are answered and clients' connections are closed.

    `requested_at`: when the first signal arrived, in seconds of `time.monotonic`. Returns whether a process on standby
    waits for the end of this one.
    """
    successor = components.successor
    log.info(
        "shutting down",
        open_requests=len(components.requests.open),
        handed_over=successor.successor_serves,
        standby=bool(successor.standbys),
    )
    if components.fleet_node is not None:
        components.fleet_node.leave(successor.successor_serves)
    standby = bool(successor.standbys) and not successor.successor_serves
    await components.clients.shut_down(successor.successor_serves, requested_at, standby)
    await successor.send_final_state()
    return standby
