"""Long bodies through one process: MB per second of its core and its peak memory, and the cost of a short request."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
import tempfile
from pathlib import Path
from time import monotonic

from limenotch.lab.emulate.sidecars import free_port
from limenotch.net import http1

BODY = bytes(32_000_000)
PARALLEL_REQUESTS = 8
SHORT_REQUESTS = 3000
SETTINGS = {
    "classes": [{"name": "send", "effect": "idempotent", "target_ms": 20000.0, "hard_limit_ms": 60000.0}],
    "permissions": {"cancel": True, "max_attempts": 2},
}


async def serve_endpoint(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Responds with the number of bytes that the request's path names."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while head := await reader.readuntil(b"\r\n\r\n"):
            length = int(head.lower().partition(b"content-length: ")[2].split(b"\r")[0] or b"0")
            while length > 0:
                length -= len(await reader.read(min(length, 262_144)))
            size = int(head.split(b" ")[1].rpartition(b"/")[2])
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            for offset in range(0, size, 262_144):
                writer.write(BODY[offset : min(offset + 262_144, size)])
                await writer.drain()


async def send_request(port: int, name: int, request_bytes: int, response_bytes: int) -> None:
    headers = [
        (b"Host", b"s"),
        (b"X-Call-Id", b"%d" % name),
        (b"X-Call-Class", b"send"),
        (b"X-Budget", b"60000m"),
        (b"Connection", b"close"),
    ]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(http1.request_head(b"POST", b"/%d" % response_bytes, headers, request_bytes))
    for offset in range(0, request_bytes, 262_144):
        writer.write(BODY[offset : min(offset + 262_144, request_bytes)])
        await writer.drain()
    assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
    received_bytes = 0
    while data := await reader.read(262_144):
        received_bytes += len(data)
    assert received_bytes == response_bytes, (received_bytes, response_bytes)
    writer.close()


def cpu_and_memory(pid: int) -> tuple[float, float]:
    """Returns CPU seconds and the peak memory so far in MB."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        peak = next(line for line in file if line.startswith("VmHWM"))
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"), int(peak.split()[1]) / 1024


async def main() -> None:
    server = await asyncio.start_server(serve_endpoint, "127.0.0.1", 0, limit=262_144)
    port = free_port()
    with tempfile.TemporaryDirectory() as name:
        path = Path(name) / "config.json"
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        known = {"index": 1, "endpoints": [{"name": "a", "address": address, "status": "in_service"}]}
        path.write_text(
            json.dumps(
                {
                    "listen": f"127.0.0.1:{port}",
                    "discovery": f"127.0.0.1:{free_port()}",
                    "known": known,
                    "limits": {"memory_mb": 32, "sockets": 256},
                    "settings": SETTINGS,
                }
            )
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "limenotch",
            "serve",
            env={**os.environ, "LB_CONFIG": str(path)},
            stderr=asyncio.subprocess.DEVNULL,
        )
        while True:
            with contextlib.suppress(OSError, AssertionError, asyncio.IncompleteReadError):
                await send_request(port, 0, 0, 1)
                break
            await asyncio.sleep(0.05)
        cpu_before_s, memory = cpu_and_memory(process.pid)
        for number in range(SHORT_REQUESTS):
            await send_request(port, number, 0, 100)
        cpu_after_s, _ = cpu_and_memory(process.pid)
        print(
            f"short requests, one per connection: {(cpu_after_s - cpu_before_s) / SHORT_REQUESTS * 1e6:.0f} us of CPU "
            f"each; {memory:.0f} MB"
        )
        body_bytes = len(BODY)
        for description, request_bytes, response_bytes in (
            ("responses", 0, body_bytes),
            ("requests", body_bytes, 100),
            ("both ways", body_bytes, body_bytes),
        ):
            cpu_before_s, started_s = cpu_and_memory(process.pid)[0], monotonic()
            await asyncio.gather(
                *(send_request(port, number, request_bytes, response_bytes) for number in range(PARALLEL_REQUESTS))
            )
            total_mb = PARALLEL_REQUESTS * (request_bytes + response_bytes) / 1e6
            cpu_after_s, memory = cpu_and_memory(process.pid)
            print(
                f"{PARALLEL_REQUESTS} long {description} in parallel: {total_mb / (monotonic() - started_s):.0f} MB/s, "
                f"{total_mb / (cpu_after_s - cpu_before_s):.0f} MB per CPU second, peak memory {memory:.0f} MB so far"
            )
        process.kill()
        await process.wait()


if __name__ == "__main__":
    asyncio.run(main())
