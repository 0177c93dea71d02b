"""Long bodies through one process: MB a second of its core and its peak memory, beside the cost of a short call."""

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
AT_ONCE = 8
SHORT = 3000
SETTINGS = {
    "classes": [{"name": "send", "effect": "idempotent", "target_ms": 20000.0, "hard_limit_ms": 60000.0}],
    "permissions": {"cancel": True, "max_attempts": 2},
}


async def provider(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answers with as many bytes as the request's path says."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while head := await reader.readuntil(b"\r\n\r\n"):
            length = int(head.lower().partition(b"content-length: ")[2].split(b"\r")[0] or b"0")
            while length > 0:
                length -= len(await reader.read(min(length, 262_144)))
            size = int(head.split(b" ")[1].rpartition(b"/")[2])
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            for at in range(0, size, 262_144):
                writer.write(BODY[at : min(at + 262_144, size)])
                await writer.drain()


async def call(port: int, name: int, up: int, down: int) -> None:
    headers = [
        (b"Host", b"s"),
        (b"X-Call-Id", b"%d" % name),
        (b"X-Call-Class", b"send"),
        (b"X-Budget", b"60000m"),
        (b"Connection", b"close"),
    ]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(http1.request_head(b"POST", b"/%d" % down, headers, up))
    for at in range(0, up, 262_144):
        writer.write(BODY[at : min(at + 262_144, up)])
        await writer.drain()
    assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
    got = 0
    while data := await reader.read(262_144):
        got += len(data)
    assert got == down, (got, down)
    writer.close()


def used(pid: int) -> tuple[float, float]:
    """Seconds of CPU, and the most memory so far in MB."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        peak = next(line for line in file if line.startswith("VmHWM"))
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"), int(peak.split()[1]) / 1024


async def main() -> None:
    server = await asyncio.start_server(provider, "127.0.0.1", 0, limit=262_144)
    port = free_port()
    with tempfile.TemporaryDirectory() as name:
        path = Path(name) / "config.json"
        at = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        known = {"index": 1, "endpoints": [{"name": "a", "address": at, "status": "in_service"}]}
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
                await call(port, 0, 0, 1)
                break
            await asyncio.sleep(0.05)
        cpu, memory = used(process.pid)
        for number in range(SHORT):
            await call(port, number, 0, 100)
        after, _ = used(process.pid)
        print(f"short calls, a connection each: {(after - cpu) / SHORT * 1e6:.0f} us of CPU a call; {memory:.0f} MB")
        long = len(BODY)
        for words, up, down in (("answers", 0, long), ("requests", long, 100), ("both ways", long, long)):
            cpu, began = used(process.pid)[0], monotonic()
            await asyncio.gather(*(call(port, number, up, down) for number in range(AT_ONCE)))
            whole = AT_ONCE * (up + down) / 1e6
            after, memory = used(process.pid)
            print(
                f"{AT_ONCE} long {words} at once: {whole / (monotonic() - began):.0f} MB a second, "
                f"{whole / (after - cpu):.0f} MB a second of CPU, at most {memory:.0f} MB of memory so far"
            )
        process.kill()
        await process.wait()


if __name__ == "__main__":
    asyncio.run(main())
