"""Requests that clients lose in an upgrade, while a process takes over from its predecessor, at a few hundred new
connections per second: with the listener handed over, and with SO_REUSEPORT alone.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import json
import os
import signal
import sys
import tempfile
from pathlib import Path

from limenotch.lab.emulate.sidecars import free_port
from limenotch.net import http1

RATE = 300  # new connections per second
ROUNDS = 5
SETTINGS = {
    "classes": [{"name": "look", "effect": "idempotent", "target_ms": 2000.0, "hard_limit_ms": 5000.0}],
    "permissions": {"cancel": True, "max_attempts": 2},
}


class Load:
    """Sends one request per connection at a fixed rate, and counts the outcomes."""

    def __init__(self, port: int) -> None:
        self._port, self.outcomes = port, collections.Counter[str]()
        self._tasks: set[asyncio.Task[None]] = set()
        self._count = 0

    async def run(self, stop: asyncio.Event) -> None:
        while not stop.is_set():
            task = asyncio.create_task(self._send_request())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / RATE)
        await asyncio.gather(*self._tasks)

    async def _send_request(self) -> None:
        self._count += 1
        headers = [
            (b"Host", b"s"),
            (b"X-Call-Id", b"%d" % self._count),
            (b"X-Call-Class", b"look"),
            (b"X-Budget", b"5000m"),
            (b"Connection", b"close"),
        ]
        outcome = "refused"
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
            outcome = "reset"
            writer.write(http1.write_request(b"GET", b"/api", headers))
            status_line = await reader.readline()
            outcome = status_line.split(b" ")[1].decode() if status_line else "closed"
            await reader.read()
            writer.close()
        except (OSError, IndexError):
            pass
        self.outcomes[outcome] += 1


async def serve_endpoint(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while await reader.readuntil(b"\r\n\r\n"):
            await asyncio.sleep(0.02)
            writer.write(http1.write_response(200, [], b"ok"))


async def start(folder: Path, port: int, provider_port: int, hand_over: bool) -> asyncio.subprocess.Process:
    """Starts a process and waits until it is ready according to its operators' address."""
    admin = free_port()
    known = [{"name": "a", "address": f"127.0.0.1:{provider_port}", "status": "in_service"}]
    path = folder / f"{admin}.json"
    path.write_text(
        json.dumps(
            {
                "listen": f"127.0.0.1:{port}",
                "discovery": f"127.0.0.1:{free_port()}",
                "admin_addr": f"127.0.0.1:{admin}",
                "known": {"index": 1, "endpoints": known},
                "settings": SETTINGS,
            }
        )
    )
    environ = {**os.environ, "LB_CONFIG": str(path), "TMPDIR": str(folder)}
    if not hand_over:
        del environ["TMPDIR"]
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "limenotch", "serve", env=environ, stderr=asyncio.subprocess.DEVNULL
    )
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", admin)
            writer.write(b"GET /healthcheck HTTP/1.1\r\nHost: o\r\n\r\n")
            ready = (await reader.read()).startswith(b"HTTP/1.1 200")
            writer.close()
            if ready:
                return process
        await asyncio.sleep(0.01)


async def measure(hand_over: bool) -> collections.Counter[str]:
    port = free_port()
    server = await asyncio.start_server(serve_endpoint, "127.0.0.1", 0)
    with tempfile.TemporaryDirectory() as name:
        process = await start(Path(name), port, server.sockets[0].getsockname()[1], hand_over)
        load, stop = Load(port), asyncio.Event()
        running = asyncio.create_task(load.run(stop))
        for _ in range(ROUNDS):
            await asyncio.sleep(1.0)
            successor = await start(Path(name), port, server.sockets[0].getsockname()[1], hand_over)
            process.send_signal(signal.SIGTERM)
            await process.wait()
            process = successor
        stop.set()
        await running
        process.kill()
        await process.wait()
    server.close()
    return load.outcomes


if __name__ == "__main__":
    for description, hand_over in (("handed over", True), ("SO_REUSEPORT", False)):
        outcomes = asyncio.run(measure(hand_over))
        lost = sum(count for outcome, count in outcomes.items() if not outcome.isdigit())
        print(
            f"{description:13} {ROUNDS} upgrades, {sum(outcomes.values())} requests on new connections: "
            f"{dict(outcomes)}; {lost / ROUNDS:.1f} lost per upgrade"
        )
