"""Graceful shutdown: the signal that asks for it, and the order in which the parts end."""

from __future__ import annotations

import asyncio
import signal
from time import monotonic

from . import logs
from .wiring import Components

log = logs.get(__name__)

SIGNALS = (signal.SIGTERM, signal.SIGINT)


class ShutdownRequest:
    """Set by the first of SIGNALS, from which the times of the shutdown count."""

    def __init__(self) -> None:
        self._requested = asyncio.Event()
        self._requested_at = 0.0

    def install(self) -> None:
        """Handle the signals on the running event loop."""
        loop = asyncio.get_running_loop()
        for number in SIGNALS:
            loop.add_signal_handler(number, self._request)

    def _request(self) -> None:
        if not self._requested.is_set():
            self._requested_at = monotonic()
            self._requested.set()

    async def wait(self) -> float:
        """Wait for the first signal; when it came, by time.monotonic."""
        await self._requested.wait()
        return self._requested_at


async def shut_down(components: Components, requested_at: float) -> None:
    """Finish the requests taken, then end all parts. `requested_at`: time.monotonic of the first signal."""
    log.info(
        "shutting down", open_requests=len(components.requests.open), handed_over=components.successor.successor_serves
    )
    if components.fleet_node is not None:
        components.fleet_node.leave()
    await components.clients.shut_down(components.successor.successor_serves, requested_at)
